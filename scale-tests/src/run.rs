//! Executes a plan: starts the fleet, plays its phases (quiet, changes, ten times the changes, faults),
//! measures each phase, and checks the invariants at the end.
use crate::faults::Fault;
use crate::fleet::{fetch_status, Fleet};
use crate::full_state_cost::{self, FullStateCost};
use crate::installation::{ChangeStream, Installation};
use crate::invariants::{check_invariants, longest_conflict, DrainEvidence, Evidence, HeldScope, Violation};
use crate::options::Plan;
use crate::phase_result::{PhaseResult, Sample};
use crate::proposer::Proposer;
use crate::real_gateways::{ClientResults, RealGateways};
use crate::usage::now_us;
use crate::worker_process::{WorkerCommand, WorkerReport};
use rustix::process::Signal;
use serde::Serialize;
use std::time::Duration;
use ternstack_fault_tests::links::{DirectionFaults, LinkFaults};
use ternstack_fault_tests::process::Launch;
use ternstack_replication::scope::{Change, Entry, Key, Revision, Scope};
use tokio::time::{sleep, sleep_until, Instant};

/// The operators' bound on a change: within this time, a drain is in force at every gateway.
const DRAIN_BOUND: Duration = Duration::from_secs(5);
/// Time from the beginning of a fault until a host is drained.
const DRAIN_DELAY: Duration = Duration::from_millis(500);
/// How long changes continue after the end of a fault.
const CHANGES_AFTER_FAULT: Duration = Duration::from_secs(2);
/// The time for all distributors to get the origin's state, after which the run fails.
const DISTRIBUTOR_SYNC_TIMEOUT: Duration = Duration::from_secs(300);
/// The time for all gateways to get their scopes at the start. The run continues afterwards, and the report
/// shows how many gateways lack scopes.
const GATEWAY_START_TIMEOUT: Duration = Duration::from_secs(180);
/// The time after changes for all gateways to get the last revision. The run continues afterwards; gateways
/// that still lack the last revision at the end of the run violate an invariant.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);

/// How the fleet started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StartResult {
    /// Time until every distributor had the full state, in ms.
    pub distributors_ms: f64,
    /// Number of hollow gateways, all started at once.
    pub gateways: u64,
    /// Number of gateways that got all their scopes before the timeout.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Time from the start of a gateway until it held all its scopes, in ms: median.
    pub p50_ms: f64,
    /// Time from the start of a gateway until it held all its scopes, in ms: 90th percentile.
    pub p90_ms: f64,
    /// Time from the start of a gateway until it held all its scopes, in ms: maximum.
    #[serde(rename = "last_ms")]
    pub max_ms: f64,
    /// Number of followers of everything (gateways that follow all scopes), and number of those followers
    /// that got all scopes before the timeout.
    pub everything: (u64, u64),
}

/// The result of draining a host during a phase.
#[derive(Clone, Debug, Serialize)]
pub struct DrainResult {
    /// The phase's name in reports.
    pub phase: String,
    /// Number of followers of the host's service that were probed after the bound on a drain had passed, or at
    /// the end of a phase shorter than the bound.
    #[serde(rename = "asked")]
    pub probed: u64,
    /// Number of probed followers that still sent new requests to the host.
    #[serde(rename = "still")]
    pub still_sending: u64,
    /// Whether the invariants are checked for this drain. A drain is not checked if the phase was shorter than
    /// the bound, nor while a region is cut off, because the region's gateways can't learn of the drain then.
    pub judged: bool,
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The plan that was executed.
    pub plan: Plan,
    /// How the fleet started.
    pub start: StartResult,
    /// The result of each phase, in order.
    #[serde(rename = "rows")]
    pub phases: Vec<PhaseResult>,
    /// The results of all drains, in order.
    pub drains: Vec<DrainResult>,
    /// Number of accepted proposals.
    pub accepted: usize,
    /// The longest time for which two followers acted on different revisions, and the bound on it, in ms.
    #[serde(rename = "contradiction_ms")]
    pub conflict_ms: (f64, f64),
    /// The cost of a change when a version is the full state; `None` if not measured.
    #[serde(rename = "before")]
    pub full_state_cost: Option<FullStateCost>,
    /// Requests of the real gateways' clients, by phase and gateway; empty for a run without real gateways.
    pub real: Vec<ClientResults>,
    /// For the real gateway that follows the control servers: requests to a drained server after the bound on
    /// a drain, and requests to all servers in the same time.
    pub real_drain: Option<(u64, u64)>,
    /// The violated invariants; empty for a run that passes.
    #[serde(rename = "offences")]
    pub violations: Vec<Violation>,
}

/// The values of [`Outcome::real`] and [`Outcome::real_drain`].
type RealGatewayResults = (Vec<ClientResults>, Option<(u64, u64)>);

/// A run in progress.
struct Run<'a> {
    plan: &'a Plan,
    installation: &'a Installation,
    fleet: Fleet,
    proposer: Proposer,
    changes: ChangeStream<'a>,
    drain_count: u32,
    drains: Vec<DrainResult>,
}

/// The commands that start processes.
#[derive(Clone, Debug)]
pub struct LaunchCommands {
    /// Starts a worker process of the fleet.
    pub worker: Launch,
    /// Starts a real gateway; `None` if the program can't start one.
    pub gateway: Option<Launch>,
}

/// Executes a plan. `report_progress` is called with a line of text after each step.
///
/// # Errors
/// A process that can't be started or doesn't answer. Violated invariants are part of the outcome instead.
pub async fn execute(
    launch_commands: &LaunchCommands, plan: &Plan, with_full_state_cost: bool,
    report_progress: &dyn Fn(String),
) -> Result<Outcome, String> {
    let launch = &launch_commands.worker;
    let installation = Installation::generate(plan.size)?;
    let full_state_cost = with_full_state_cost.then(|| full_state_cost::measure(&installation));
    report_progress(format!(
        "starting a fleet of {} gateways and {} hosts",
        plan.size.gateways, plan.size.hosts
    ));
    let started = Instant::now();
    let fleet = Fleet::start(launch, plan, &installation).await?;
    let proposer = Proposer::new(fleet.origin.address);
    let changes = ChangeStream::new(&installation, plan.size.seed);
    let mut run = Run {
        plan,
        installation: &installation,
        fleet,
        proposer,
        changes,
        drain_count: 0,
        drains: Vec::new(),
    };
    run.wait_for_distributors().await?;
    let mut start =
        StartResult { distributors_ms: started.elapsed().as_secs_f64() * 1e3, ..StartResult::default() };
    report_progress(format!(
        "{} distributors have the full state after {:.0} ms",
        plan.distributors, start.distributors_ms
    ));
    let mut phases = vec![run.start_gateways(&mut start).await?];
    report_progress(format!(
        "{} of {} gateways have all their scopes, the last one after {:.0} ms",
        start.complete, start.gateways, start.max_ms
    ));
    let begin = run.sample().await?;
    sleep(Duration::from_secs(plan.quiet_s)).await;
    phases.push(run.phase_result("quiet", &begin, &[]).await?);
    let change_phases = [("changes", 1.0), ("ten times the changes", 10.0)];
    for (name, factor) in change_phases.into_iter().take(if plan.tenfold { 2 } else { 1 }) {
        phases.push(run.run_changes(name, factor).await?);
        report_progress(phases.last().map_or(String::new(), PhaseResult::summary));
    }
    for fault in &plan.faults {
        phases.push(run.run_fault(*fault).await?);
        report_progress(phases.last().map_or(String::new(), PhaseResult::summary));
    }
    let (real, real_drain) = match (&launch_commands.gateway, plan.real) {
        (Some(gateway), true) => run.run_real_gateways(gateway, report_progress).await?,
        _ => Default::default(),
    };
    let (evidence, drains) = run.collect_evidence().await?;
    let (_, longest_us) = longest_conflict(&evidence.spans);
    let accepted = run.proposer.log().accepted.len();
    run.fleet.shut_down().await;
    Ok(Outcome {
        plan: plan.clone(),
        start,
        phases,
        drains,
        accepted,
        conflict_ms: (longest_us as f64 / 1e3, plan.lease.max_conflict_ms()),
        full_state_cost,
        real,
        real_drain,
        violations: check_invariants(&evidence, &plan.lease),
    })
}

impl Run<'_> {
    async fn sample(&mut self) -> Result<Sample, String> {
        Sample::take(&mut self.fleet).await
    }

    /// Waits until every distributor has the origin's state.
    async fn wait_for_distributors(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + DISTRIBUTOR_SYNC_TIMEOUT;
        loop {
            let origin = fetch_status(self.fleet.origin.address).await?;
            let mut behind = 0;
            for process in &self.fleet.distributors {
                let status = fetch_status(process.address).await?;
                behind += usize::from(status.digest != origin.digest || status.in_force != origin.in_force);
            }
            if behind == 0 {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "{behind} distributors lack the origin's state after {DISTRIBUTOR_SYNC_TIMEOUT:?}"
                ));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Starts all gateways at once, and waits until they have their scopes or the timeout passes.
    async fn start_gateways(&mut self, start: &mut StartResult) -> Result<PhaseResult, String> {
        let begin = self.sample().await?;
        self.fleet.start_hollow_gateways(self.plan, self.installation).await?;
        let deadline = Instant::now() + GATEWAY_START_TIMEOUT;
        let (report, everything) = loop {
            let report = self.fleet.report(&[]).await?;
            let everything = self.fleet.report_everything(&[]).await?;
            let is_complete = |r: &WorkerReport| r.complete == r.followers;
            let all_complete = is_complete(&report) && everything.as_ref().is_none_or(is_complete);
            if all_complete || Instant::now() > deadline {
                break (report, everything);
            }
            sleep(Duration::from_millis(250)).await;
        };
        (start.gateways, start.complete) = (report.followers, report.complete);
        start.p50_ms = report.startup_times.quantile_ms(0.5);
        start.p90_ms = report.startup_times.quantile_ms(0.9);
        start.max_ms = report.startup_times.max_ms();
        start.everything = everything.map_or((0, 0), |r| (r.followers, r.complete));
        self.phase_result("start, all at once", &begin, &[]).await
    }

    /// Proposes changes until `end`, at the given rates a second for configuration and for hosts.
    async fn propose_changes(
        &mut self, end: Instant, configuration_per_s: f64, hosts_per_s: f64,
    ) -> Result<(), String> {
        let interval = |rate: f64| (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        let (configuration_interval, host_interval) = (interval(configuration_per_s), interval(hosts_per_s));
        let start = Instant::now();
        let mut next_configuration = configuration_interval.map(|i| start + i / 2);
        let mut next_host = host_interval.map(|i| start + i / 3);
        loop {
            let next = [next_configuration, next_host].into_iter().flatten().min().filter(|next| *next < end);
            let Some(next) = next else { break };
            sleep_until(next).await;
            let change = if next_configuration == Some(next) {
                next_configuration = configuration_interval.map(|i| next + i);
                self.changes.next_configuration_change()
            } else {
                next_host = host_interval.map(|i| next + i);
                self.changes.next_host_change()
            };
            self.proposer.propose(vec![change]).await?;
        }
        sleep_until(end).await;
        Ok(())
    }

    /// Waits until all followers have the last revision and all their scopes, or the timeout passes. Returns
    /// the time that this took, in ms, and the last report.
    async fn wait_until_settled(&mut self) -> Result<(f64, WorkerReport), String> {
        let start = Instant::now();
        self.proposer.wait_for_answers().await?;
        let last_revision = self.proposer.log().last_revision();
        loop {
            let report = self.fleet.report(&[]).await?;
            let everything = self.fleet.report_everything(&[]).await?;
            let is_settled = |r: &WorkerReport| r.min_revision >= last_revision && r.complete == r.followers;
            let all_settled = is_settled(&report) && everything.as_ref().is_none_or(is_settled);
            if all_settled || start.elapsed() > SETTLE_TIMEOUT {
                return Ok((start.elapsed().as_secs_f64() * 1e3, report));
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn phase_result(
        &mut self, name: &str, begin: &Sample, proposals: &[(Revision, u64)],
    ) -> Result<PhaseResult, String> {
        let end = self.sample().await?;
        let mut result = PhaseResult::between(name, begin, &end, self.plan);
        if !proposals.is_empty() {
            result.set_propagation_times(&self.fleet.report(proposals).await?.propagation, proposals.len());
        }
        Ok(result)
    }

    /// Runs a phase of changes at `factor` times the plan's rate of configuration changes, with a drain from
    /// its beginning.
    async fn run_changes(&mut self, name: &str, factor: f64) -> Result<PhaseResult, String> {
        let (begin, from_us) = (self.sample().await?, now_us());
        let end = Instant::now() + Duration::from_secs(self.plan.seconds);
        let (scope, key) = self.drain_next_host().await?;
        let bound = Instant::now() + DRAIN_BOUND;
        let probe_at = bound.min(end);
        self.propose_changes(probe_at, factor * self.plan.changes_per_s, self.plan.host_changes_per_s)
            .await?;
        self.probe_drain(name, scope, key, bound <= end).await?;
        self.propose_changes(end, factor * self.plan.changes_per_s, self.plan.host_changes_per_s).await?;
        let end = self.sample().await?;
        let (settled_ms, _) = self.wait_until_settled().await?;
        let proposals = self.proposer.log().accepted_between(from_us, now_us());
        let mut result = PhaseResult::between(name, &begin, &end, self.plan);
        result.set_propagation_times(&self.fleet.report(&proposals).await?.propagation, proposals.len());
        result.settled_ms = settled_ms;
        Ok(result)
    }

    /// Drains a reserved host of the largest service, a different one each time until all have been drained.
    async fn drain_next_host(&mut self) -> Result<(Scope, Key), String> {
        // The largest service is service 0, whose hosts are numbered from 0.
        let number = self.drain_count % self.installation.reserved_hosts().min(self.installation.hosts_of(0));
        self.drain_count += 1;
        let (scope, key, host) = self.installation.host(number);
        let entry = Some(Entry::Host(ternstack_replication::scope::Host { draining: true, ..host }));
        self.proposer.propose(vec![Change { scope, key, entry }]).await?;
        Ok((scope, key))
    }

    /// Counts the followers that still send requests to a draining host, and records the result.
    async fn probe_drain(&mut self, phase: &str, scope: Scope, key: Key, judged: bool) -> Result<(), String> {
        let (probed, still_sending) = self.fleet.probe(scope, key).await?;
        self.drains.push(DrainResult { phase: phase.into(), probed, still_sending, judged });
        Ok(())
    }

    async fn begin_fault(&mut self, fault: Fault) -> Result<(), String> {
        let stalled = DirectionFaults { stalled: true, ..DirectionFaults::default() };
        let forward_stalled = LinkFaults { forward: stalled, ..LinkFaults::default() };
        let reverse_stalled = LinkFaults { reverse: stalled, ..LinkFaults::default() };
        let last = self.fleet.distributors.len() - 1;
        match fault {
            Fault::Kill => self.fleet.distributors[last].kill().await?,
            Fault::Stop => self.fleet.distributors[last].send_signal(Signal::STOP)?,
            Fault::CutThere => self.fleet.first_gateway_links[0].set(forward_stalled),
            Fault::CutBack => self.fleet.first_gateway_links[0].set(reverse_stalled),
            Fault::DistributorCutThere => self.fleet.set_origin_link_faults(|n| n == last, forward_stalled),
            Fault::DistributorCutBack => self.fleet.set_origin_link_faults(|n| n == last, reverse_stalled),
            Fault::Region => {
                let installation = self.installation;
                self.fleet.set_origin_link_faults(
                    |n| installation.region_of(installation.zone_of(n)) == 0,
                    LinkFaults::partition(),
                );
            }
            Fault::ZoneLost => self.set_zone_serving(false).await?,
            Fault::RestartTenth => self.restart_gateways(10, false).await?,
            Fault::RestartTenthKept => self.restart_gateways(10, true).await?,
            Fault::RestartAll => self.restart_gateways(1, false).await?,
            Fault::SlowReader => {
                let slow = DirectionFaults { bytes_per_s: Some(500), ..DirectionFaults::default() };
                let faults = LinkFaults { reverse: slow, ..LinkFaults::default() };
                self.fleet.first_gateway_links.iter().for_each(|link| link.set(faults));
            }
            Fault::Burst => {}
        }
        Ok(())
    }

    async fn end_fault(&mut self, fault: Fault) -> Result<(), String> {
        let last = self.fleet.distributors.len() - 1;
        match fault {
            Fault::Kill => self.fleet.restart_distributor(last).await?,
            Fault::Stop => self.fleet.distributors[last].send_signal(Signal::CONT)?,
            Fault::ZoneLost => self.set_zone_serving(true).await?,
            _ => {
                self.fleet.first_gateway_links.iter().for_each(|link| link.set(LinkFaults::default()));
                self.fleet.set_origin_link_faults(|_| true, LinkFaults::default());
            }
        }
        Ok(())
    }

    async fn restart_gateways(&mut self, every: usize, from_snapshot: bool) -> Result<(), String> {
        self.fleet.send_command(&WorkerCommand::Restart { every, from_snapshot }, false).await.map(drop)
    }

    async fn set_zone_serving(&mut self, serves: bool) -> Result<(), String> {
        let entry = Some(Entry::Zone(serves));
        self.proposer.propose(vec![Change { scope: Scope::Zones, key: Key::from_number(0), entry }]).await
    }

    /// Runs a phase with a fault: changes continue during and after the fault, a host is drained shortly
    /// after its beginning, and the phase ends when all followers have settled.
    async fn run_fault(&mut self, fault: Fault) -> Result<PhaseResult, String> {
        let (begin, from_us, start) = (self.sample().await?, now_us(), Instant::now());
        let duration = Duration::from_secs_f64(fault.duration_s());
        self.begin_fault(fault).await?;
        let (mut configuration_per_s, hosts_per_s) = (self.plan.changes_per_s, self.plan.host_changes_per_s);
        if fault == Fault::Burst {
            configuration_per_s = 100.0;
        }
        let drain_at = start + DRAIN_DELAY;
        self.propose_changes(drain_at, configuration_per_s, hosts_per_s).await?;
        let (scope, key) = self.drain_next_host().await?;
        // The fault may end before or after the time at which the drained host's followers are probed.
        let (mut ended, mut probed) = (false, false);
        let (end_fault_at, probe_at) = (start + duration, Instant::now() + DRAIN_BOUND);
        let end = probe_at.max(end_fault_at + CHANGES_AFTER_FAULT);
        while !(ended && probed) {
            if !ended && (probed || end_fault_at <= probe_at) {
                self.propose_changes(end_fault_at, configuration_per_s, hosts_per_s).await?;
                self.end_fault(fault).await?;
                (ended, configuration_per_s) = (true, self.plan.changes_per_s);
            } else {
                self.propose_changes(probe_at, configuration_per_s, hosts_per_s).await?;
                self.probe_drain(fault.name(), scope, key, fault != Fault::Region).await?;
                probed = true;
            }
        }
        self.propose_changes(end, configuration_per_s, hosts_per_s).await?;
        if fault == Fault::Kill {
            self.wait_for_distributors().await?;
        }
        let (settled_ms, report) = self.wait_until_settled().await?;
        let end = self.sample().await?;
        let proposals = self.proposer.log().accepted_between(from_us, now_us());
        let mut result = PhaseResult::between(fault.name(), &begin, &end, self.plan);
        result.set_propagation_times(&self.fleet.report(&proposals).await?.propagation, proposals.len());
        result.settled_ms = settled_ms;
        if matches!(fault, Fault::RestartTenth | Fault::RestartTenthKept | Fault::RestartAll) {
            result.ready_ms =
                Some((report.startup_times.quantile_ms(0.5), report.startup_times.quantile_ms(0.9)));
        }
        Ok(result)
    }

    /// Runs two real gateways beside the fleet: a quiet phase, a phase with ten times the changes, and a
    /// drain.
    async fn run_real_gateways(
        &mut self, gateway: &Launch, report_progress: &dyn Fn(String),
    ) -> Result<RealGatewayResults, String> {
        let gateways =
            RealGateways::start(gateway, &self.fleet, self.plan, self.installation, &mut self.proposer)
                .await?;
        report_progress("started the real gateways".into());
        let length = Duration::from_secs(self.plan.seconds);
        let mut results = gateways.run_phase("quiet", length, None).await?;
        let mut server_proposer = Proposer::new(self.fleet.origin.address);
        let (configuration_per_s, hosts_per_s) =
            (10.0 * self.plan.changes_per_s, self.plan.host_changes_per_s);
        let (proposed, phase_results) = tokio::join!(
            self.propose_changes(Instant::now() + length, configuration_per_s, hosts_per_s),
            gateways.run_phase("ten times the changes", length, Some(&mut server_proposer))
        );
        proposed?;
        results.extend(phase_results?);
        let drain = gateways.drain(&mut server_proposer, DRAIN_BOUND).await?;
        server_proposer.wait_for_answers().await?;
        // The expected state at the end includes the accepted changes to the gateways' servers.
        self.proposer.take_results_of(&mut server_proposer);
        Ok((results, Some(drain)))
    }

    /// Collects the evidence for the invariants at the end of the run, and returns the results of all drains.
    async fn collect_evidence(&mut self) -> Result<(Evidence, Vec<DrainResult>), String> {
        let (_, report) = self.wait_until_settled().await?;
        let distributors_have_all_changes = self.wait_for_distributors().await.is_ok();
        let digests = self.proposer.log().expected_digests(self.installation);
        let origin = fetch_status(self.fleet.origin.address).await?;
        let mut expected_digest = ternstack_replication::scope::Digest::default();
        digests.values().for_each(|d| expected_digest.join(*d));
        let mut evidence = Evidence {
            followers: (report.followers, report.complete),
            rollbacks: report.rollbacks,
            spans: self.fleet.spans().await?,
            exited_processes: self.fleet.exited_processes(),
            drains: Vec::new(),
            origin_has_all_changes: origin.digest == expected_digest,
            distributors_have_all_changes,
            ..Evidence::default()
        };
        if report.min_revision < self.proposer.log().last_revision() {
            evidence.followers.1 = evidence.followers.1.min(report.followers - 1);
        }
        evidence.held = self
            .fleet
            .holdings()
            .await?
            .into_iter()
            .map(|((scope, digest), followers)| HeldScope { scope, digest, followers })
            .collect();
        evidence.expected_digests = digests;
        let drains = std::mem::take(&mut self.drains);
        evidence.drains = drains
            .iter()
            .filter(|d| d.judged)
            .map(|d| DrainEvidence {
                host: format!("the host drained in phase {}", d.phase),
                probed: d.probed,
                still_sending: d.still_sending,
            })
            .collect();
        Ok((evidence, drains))
    }
}
