//! The results of a phase: what the members of each role used between two samples, and how fast changes came
//! into force.
use crate::fleet::{fetch_status, Fleet};
use crate::options::Plan;
use crate::timeline::PropagationTimes;
use crate::traffic::Traffic;
use crate::usage::{now_us, MachineLoad, Usage};
use crate::worker_process::WorkerReport;
use serde::Serialize;

/// A sample of the counters of all processes and of the machine.
#[derive(Debug)]
pub struct Sample {
    at_us: u64,
    machine: MachineLoad,
    hollow_workers: Vec<(u32, Usage)>, // Process id and usage.
    report: WorkerReport,
    everything: Option<(Usage, WorkerReport)>,
    distributors: Vec<(u32, Usage, Traffic)>, // Process id, usage and traffic.
    origin: (Usage, Traffic),
    run: Usage,
}

/// The mean usage of one member of a role over a phase.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MemberUsage {
    /// CPU time as a share of one core.
    #[serde(rename = "cpu")]
    pub cpu_share: f64,
    /// Resident memory in bytes at the end of the phase.
    #[serde(rename = "rss")]
    pub rss_bytes: f64,
    /// Number of messages and bytes per second.
    pub traffic: Traffic,
}

/// The results of one phase.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PhaseResult {
    /// The phase's name in reports.
    pub phase: String,
    /// Time between the two samples, in s.
    pub seconds: f64,
    /// Number of revisions proposed during the phase.
    #[serde(rename = "versions")]
    pub revisions: usize,
    /// Time from the proposal of a change until the change was in force at a gateway, in ms: median, 99th
    /// percentile and maximum.
    pub in_force_ms: [f64; 3],
    /// Histogram of the times from proposal to in force: `(ms, count)`.
    #[serde(rename = "in_force")]
    pub in_force_histogram: Vec<(f64, u64)>,
    /// Number of pairs of a revision and a gateway that the revision has not reached.
    pub missing: u64,
    /// Time from the end of the phase until all gateways had the last revision and all their scopes, in ms.
    pub settled_ms: f64,
    /// Time from the start of a restarted gateway until all its scopes were there, in ms: median and 90th
    /// percentile. `None` for phases that restart no gateways.
    pub ready_ms: Option<(f64, f64)>,
    /// Usage of a hollow gateway.
    pub gateway: MemberUsage,
    /// Bytes of replicated state in a hollow gateway, by the gateway's own count.
    #[serde(rename = "gateway_state")]
    pub gateway_state_bytes: f64,
    /// Increase of the bytes read by the gateway that has read most, in bytes a second. For the first phase,
    /// the increase is counted from the start of the gateways.
    #[serde(rename = "most_bytes_per_s")]
    pub max_bytes_per_s: f64,
    /// Usage of a gateway that follows all scopes, including its process; `None` if the fleet has none.
    pub everything: Option<MemberUsage>,
    /// Bytes of replicated state in a gateway that follows all scopes, by the gateway's own count.
    #[serde(rename = "everything_state")]
    pub everything_state_bytes: f64,
    /// Usage of a distributor.
    pub distributor: MemberUsage,
    /// Highest CPU time of any distributor, as a share of one core.
    #[serde(rename = "distributor_cpu_most")]
    pub max_distributor_cpu_share: f64,
    /// Usage of the origin.
    pub origin: MemberUsage,
    /// CPU time of the process that executes the run, as a share of one core.
    #[serde(rename = "run_cpu")]
    pub run_cpu_share: f64,
    /// Mean number of running and runnable tasks on the machine over the last minute of the phase.
    pub load: f64,
    /// Share (0 to 1) of the machine's CPU time that was idle.
    #[serde(rename = "idle")]
    pub idle_share: f64,
}

impl Sample {
    /// Takes a sample of the whole fleet now.
    pub async fn take(fleet: &mut Fleet) -> Result<Sample, String> {
        let mut distributors = Vec::new();
        for process in &fleet.distributors {
            let status = fetch_status(process.address).await?;
            distributors.push((process.pid(), process.usage(), Traffic::from_counts(&status.traffic)));
        }
        let origin = fetch_status(fleet.origin.address).await?;
        let report = fleet.report(&[]).await?;
        let everything = fleet.report_everything(&[]).await?;
        Ok(Sample {
            report,
            everything: everything.and_then(|r| Some((fleet.everything.as_ref()?.usage(), r))),
            distributors,
            origin: (fleet.origin.usage(), Traffic::from_counts(&origin.traffic)),
            hollow_workers: fleet.hollow_workers.iter().map(|p| (p.pid(), p.usage())).collect(),
            run: Usage::of(std::process::id()).unwrap_or_default(),
            machine: MachineLoad::now(),
            at_us: now_us(),
        })
    }
}

/// Returns the CPU time between two readings as a share of one core.
fn cpu_share(begin: Usage, end: Usage, seconds: f64) -> f64 {
    end.cpu_us.saturating_sub(begin.cpu_us) as f64 / 1e6 / seconds
}

impl PhaseResult {
    /// Computes the usage of each role between two samples. The propagation times are left empty.
    pub fn between(phase: &str, begin: &Sample, end: &Sample, plan: &Plan) -> PhaseResult {
        let seconds = (end.at_us.saturating_sub(begin.at_us) as f64 / 1e6).max(1e-3);
        let gateways = plan.size.gateways as f64;
        // A process that is missing in the first sample was started in between, so its counters began at 0.
        let hollow_worker = |(pid, now): &(u32, Usage)| {
            let before =
                begin.hollow_workers.iter().find(|(p, _)| p == pid).map(|(_, u)| *u).unwrap_or_default();
            (cpu_share(before, *now, seconds), now.rss_bytes as f64)
        };
        let hollow_workers: Vec<_> = end.hollow_workers.iter().map(hollow_worker).collect();
        let distributor = |(pid, now, traffic): &(u32, Usage, Traffic)| {
            let before = begin.distributors.iter().find(|(p, ..)| p == pid).cloned().unwrap_or_default();
            let traffic = traffic.since(&before.2).divided_by(seconds);
            MemberUsage {
                cpu_share: cpu_share(before.1, *now, seconds),
                rss_bytes: now.rss_bytes as f64,
                traffic,
            }
        };
        let distributors: Vec<_> = end.distributors.iter().map(distributor).collect();
        let distributor_count = distributors.len().max(1) as f64;
        let everything = end.everything.as_ref().map(|(now, report)| {
            let (usage, traffic) =
                begin.everything.as_ref().map(|(u, r)| (*u, r.traffic.clone())).unwrap_or_default();
            let followers = report.followers.max(1) as f64;
            MemberUsage {
                cpu_share: cpu_share(usage, *now, seconds) / followers,
                rss_bytes: now.rss_bytes as f64 / followers,
                traffic: report.traffic.since(&traffic).divided_by(seconds * followers),
            }
        });
        PhaseResult {
            phase: phase.into(),
            seconds,
            gateway: MemberUsage {
                cpu_share: hollow_workers.iter().map(|w| w.0).sum::<f64>() / gateways,
                rss_bytes: hollow_workers.iter().map(|w| w.1).sum::<f64>() / gateways,
                traffic: end.report.traffic.since(&begin.report.traffic).divided_by(seconds * gateways),
            },
            gateway_state_bytes: end.report.state_bytes as f64 / gateways,
            max_bytes_per_s: end.report.max_bytes_read.saturating_sub(begin.report.max_bytes_read) as f64
                / seconds,
            everything,
            everything_state_bytes: end
                .everything
                .as_ref()
                .map_or(0.0, |(_, r)| r.state_bytes as f64 / r.followers.max(1) as f64),
            max_distributor_cpu_share: distributors.iter().map(|d| d.cpu_share).fold(0.0, f64::max),
            distributor: MemberUsage {
                cpu_share: distributors.iter().map(|d| d.cpu_share).sum::<f64>() / distributor_count,
                rss_bytes: distributors.iter().map(|d| d.rss_bytes).sum::<f64>() / distributor_count,
                traffic: distributors
                    .iter()
                    .fold(Traffic::default(), |sum, d| sum.plus(&d.traffic))
                    .divided_by(distributor_count),
            },
            origin: MemberUsage {
                cpu_share: cpu_share(begin.origin.0, end.origin.0, seconds),
                rss_bytes: end.origin.0.rss_bytes as f64,
                traffic: end.origin.1.since(&begin.origin.1).divided_by(seconds),
            },
            run_cpu_share: cpu_share(begin.run, end.run, seconds),
            load: end.machine.load,
            idle_share: end.machine.idle_since(&begin.machine),
            ..PhaseResult::default()
        }
    }

    /// Sets the propagation times of the `revisions` revisions proposed during the phase.
    pub fn set_propagation_times(&mut self, propagation: &PropagationTimes, revisions: usize) {
        let times = &propagation.times;
        self.revisions = revisions;
        self.in_force_ms = [times.quantile_ms(0.5), times.quantile_ms(0.99), times.max_ms()];
        self.in_force_histogram = times.buckets();
        self.missing = propagation.missing;
    }

    /// Returns a summary of the phase in one line, for the progress output.
    pub fn summary(&self) -> String {
        let [p50, p99, max] = self.in_force_ms;
        format!(
            "{}: {} revisions in force after {p50:.0} ms (p50), {p99:.0} ms (p99), {max:.0} ms (max)",
            self.phase, self.revisions
        )
    }
}
