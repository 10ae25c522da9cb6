//! Plays one run of a soak: a random site through all phases of its life, with faults in some phases.
use super::clients::{stay_idle, ShutdownState, SoakClient};
use super::faults::{self, Control, InjectionMethod, Kind, Phase};
use super::judge::{count_injected, FinishedRun, Outcome, PhaseStart, ShutdownTimes};
use super::plan::Plan;
use crate::error::Error;
use crate::history::EventKind;
use crate::links::{ConnectionHandling, Link, LinkFaults};
use crate::process::{Launch, START_OR_EXIT_TIMEOUT};
use crate::site::Site;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout_at, Instant};

/// Time limit for gateways to follow discovery to a new address, counted from the end of [`RELOAD_DURATION`].
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after SIGTERM in which clients still open new connections.
const CONNECTS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Time by which an exit may take longer than the client timeout.
const EXIT_MARGIN: Duration = Duration::from_millis(2500);
/// Time after SIGTERM at which SIGKILL comes, beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest deadline that delays SIGKILL.
const MAX_KILL_DELAY: Duration = Duration::from_secs(3);
/// Number of signals of the same kind that come in series.
const SIGNALS_IN_SERIES: usize = 3;
/// Time for which the faults of the start phase continue after all gateways serve.
const START_FAULT_DURATION: Duration = Duration::from_millis(300);
/// Time after the restart of a gateway in which links close the connections that the links accepted before.
const LINK_RECOVERY: Duration = Duration::from_millis(100);
/// Pause between two standstills of a process.
const STANDSTILL_PAUSE: Duration = Duration::from_millis(250);
/// Minimum length of the reload phase.
const RELOAD_DURATION: Duration = Duration::from_millis(700);
/// Time that gateways get to receive a drain notification after the reload.
const DRAIN_DURATION: Duration = Duration::from_millis(300);
/// Time for which the faults of the shutdown phase continue.
const SHUTDOWN_FAULT_DURATION: Duration = Duration::from_millis(600);

/// A measurement of how late the timers of the test program are, so that delays of the test program are not
/// counted as violations of a gateway.
struct HarnessLag {
    max_lag_ms: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl HarnessLag {
    const INTERVAL: Duration = Duration::from_millis(5);

    fn measure() -> Self {
        let max_lag_ms = Arc::new(AtomicU64::new(0));
        let task_max_lag_ms = max_lag_ms.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + Self::INTERVAL;
                sleep(Self::INTERVAL).await;
                task_max_lag_ms.fetch_max(due.elapsed().as_millis() as u64, Relaxed);
            }
        });
        HarnessLag { max_lag_ms, task }
    }
}

impl Drop for HarnessLag {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Plays a run and checks its history. A site that does not start is a violation and not an error.
///
/// # Errors
/// Returns an error if the run cannot be continued.
pub async fn play(launch: &Launch, plan: &Plan) -> Result<Outcome, Error> {
    let folder = tempfile::tempdir()?;
    let mut launch = launch.clone();
    launch.variables = faults::variables(folder.path())?;
    let controls: io::Result<Vec<_>> = (0..plan.site.gateways)
        .map(|gateway| {
            Control::create(folder.path(), &format!("g{gateway}"), plan.seed ^ (gateway as u64) << 32)
        })
        .collect();
    let controls = controls?;
    if plan.phases.contains(&Phase::Start) {
        set_faults(&controls, &plan.kinds, true)?;
    }
    let site = match Site::start(&launch, plan.site).await {
        Ok(site) => site,
        Err(error) => {
            let injected = count_injected(plan, &controls, 0)?;
            let violations = vec![format!("Start: {error}")];
            return Ok(Outcome { injected, violations, ..Outcome::default() });
        }
    };
    for host in site.hosts.iter().skip(1).step_by(3) {
        host.update_behaviour(|behaviour| behaviour.response_fault = plan.response_fault);
    }
    let lag = HarnessLag::measure();
    let shutdowns: Vec<Arc<ShutdownState>> = (0..plan.site.gateways).map(|_| Arc::default()).collect();
    let mut clients = start_clients(&site, plan, &shutdowns);
    let mut run = Run {
        plan,
        site,
        controls,
        standstill_count: 0,
        violations: Vec::new(),
        phase_starts: Vec::new(),
        shutdown_times: None,
    };
    run.play_phases(&shutdowns).await?;
    while clients.join_next().await.is_some() {}
    run.finish(lag.max_lag_ms.load(Relaxed)).judge()
}

fn set_faults(controls: &[Control], kinds: &[Kind], on: bool) -> io::Result<()> {
    for control in controls {
        for kind in kinds {
            control.set(*kind, on)?;
        }
    }
    Ok(())
}

fn start_clients(site: &Site, plan: &Plan, shutdowns: &[Arc<ShutdownState>]) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (gateway, shutdown) in shutdowns.iter().enumerate() {
        for number in 0..plan.clients {
            let client = SoakClient {
                gateway,
                address: site.gateways[gateway].address,
                recorder: site.recorder.clone(),
                requests: site.request_factory(),
                shutdown: shutdown.clone(),
                seed: plan.seed ^ ((gateway * 100 + number + 1) as u64),
            };
            clients.spawn(client.run());
        }
        for _ in 0..plan.crowd {
            clients.spawn(stay_idle(site.gateways[gateway].address, shutdown.clone()));
        }
    }
    clients
}

/// A run that is being played.
struct Run<'a> {
    plan: &'a Plan,
    site: Site,
    controls: Vec<Control>,
    standstill_count: u64,
    violations: Vec<String>,
    phase_starts: Vec<PhaseStart>,
    shutdown_times: Option<ShutdownTimes>,
}

impl<'a> Run<'a> {
    async fn play_phases(&mut self, shutdowns: &[Arc<ShutdownState>]) -> Result<(), Error> {
        self.phase_starts.push(PhaseStart { phase: Phase::Start, at_us: 0 });
        self.spend(Phase::Start, START_FAULT_DURATION).await;
        self.inject(Phase::Start, false)?;
        self.begin(Phase::Service);
        self.serve().await?;
        self.begin(Phase::Reload);
        self.reload().await?;
        self.begin(Phase::Shutdown);
        self.shut_down(shutdowns).await
    }

    fn begin(&mut self, phase: Phase) {
        self.phase_starts.push(PhaseStart { phase, at_us: self.site.recorder.now_us() });
    }

    /// Starts or ends the injection of the run's faults if the plan injects them in `phase`.
    fn inject(&self, phase: Phase, on: bool) -> Result<(), Error> {
        if !self.plan.phases.contains(&phase) {
            return Ok(());
        }
        set_faults(&self.controls, &self.plan.kinds, on).map_err(Error::FaultControl)
    }

    /// Waits for `length`, and stops the gateways repeatedly if standstills are among the faults of `phase`.
    async fn spend(&mut self, phase: Phase, length: Duration) {
        let end = Instant::now() + length;
        let standstill = self.plan.kinds.iter().find_map(|kind| match kind.method {
            InjectionMethod::Standstill(standstill) if self.plan.phases.contains(&phase) => Some(standstill),
            _ => None,
        });
        while let Some(standstill) = standstill.filter(|_| Instant::now() < end) {
            // A process that has exited cannot be stopped, and is not continued below.
            let stopped: Vec<bool> =
                self.site.gateways.iter().map(|gateway| gateway.pause().is_ok()).collect();
            sleep(standstill).await;
            for (gateway, _) in self.site.gateways.iter().zip(&stopped).filter(|(_, stopped)| **stopped) {
                self.standstill_count += u64::from(gateway.resume().is_ok());
            }
            sleep(STANDSTILL_PAUSE).await;
        }
        sleep(end.saturating_duration_since(Instant::now())).await;
    }

    /// Plays the service phase: a host drains and serves again, and gateway 0 may be killed and restarted.
    async fn serve(&mut self) -> Result<(), Error> {
        let third = self.plan.service / 3;
        self.inject(Phase::Service, true)?;
        self.spend(Phase::Service, third).await;
        self.site.discovery.set_state(0, "DRAINING");
        self.spend(Phase::Service, third).await;
        if self.plan.kills {
            self.site.record_fault(0, "killed");
            self.site.gateways[0].kill().await?;
            self.site.restart(0).await?;
            // A link closes the connections that the link accepted while the gateway was unreachable.
            self.site.record_fault(0, "links close connections accepted while the gateway was down");
            sleep(LINK_RECOVERY).await;
            self.site.record_recovery(0);
        }
        self.site.discovery.set_state(0, "SERVING");
        self.spend(Phase::Service, third).await;
        self.inject(Phase::Service, false)
    }

    /// Plays the reload phase: discovery moves to a new address, and the old address refuses connections.
    async fn reload(&mut self) -> Result<(), Error> {
        self.inject(Phase::Reload, true)?;
        let since_us = self.site.recorder.now_us();
        for gateway in 0..self.site.gateways.len() {
            let link = Link::to(self.site.discovery.addresses[gateway]).await?;
            let old = std::mem::replace(&mut self.site.to_discovery[gateway], link);
            old.set(LinkFaults { connection_handling: ConnectionHandling::Refused, ..LinkFaults::default() });
            old.reset();
            let reloads = if self.plan.has_signal_series { SIGNALS_IN_SERIES } else { 1 };
            for _ in 0..reloads {
                self.site.gateways[gateway].reload(&self.site.gateway_config(gateway))?;
            }
        }
        self.spend(Phase::Reload, RELOAD_DURATION).await;
        let until = Instant::now() + RELOAD_TIMEOUT;
        while !self.all_notified_since(since_us) && Instant::now() < until {
            sleep(Duration::from_millis(50)).await;
        }
        if !self.all_notified_since(since_us) {
            self.violations
                .push("Reload: a gateway did not follow discovery to its new address within 4 s".into());
        }
        self.inject(Phase::Reload, false)?;
        // The drain is sent only over the new address, so that a gateway that ignored the reload is found.
        self.site.discovery.set_state(1, "DRAINING");
        sleep(DRAIN_DURATION).await;
        Ok(())
    }

    /// Returns whether discovery has sent a host's state to every gateway after `since_us`, in µs since the
    /// start of the run.
    fn all_notified_since(&self, since_us: u64) -> bool {
        let events = self.site.recorder.since(0);
        let is_notified = |number: usize| {
            events.iter().any(|event| {
                event.at_us > since_us
                    && matches!(event.kind, EventKind::EndpointStateSent { gateway, .. } if gateway == number)
            })
        };
        (0..self.site.gateways.len()).all(is_notified)
    }

    /// Plays the shutdown phase: all gateways are asked to exit while their clients continue to send
    /// requests.
    async fn shut_down(&mut self, shutdowns: &[Arc<ShutdownState>]) -> Result<(), Error> {
        for (number, gateway) in self.site.gateways.iter_mut().enumerate() {
            if gateway.has_exited() {
                self.violations.push(format!("Crash: gateway {number} exited unexpectedly"));
            }
        }
        self.inject(Phase::Shutdown, true)?;
        let sigterm_at = Instant::now();
        let sigterm_at_us = self.site.recorder.now_us();
        self.send_sigterm();
        sleep(CONNECTS_AFTER_SIGTERM).await;
        shutdowns.iter().for_each(|shutdown| shutdown.connects_stopped.store(true, Relaxed));
        let standstills_before = self.standstill_count;
        self.spend(Phase::Shutdown, SHUTDOWN_FAULT_DURATION).await;
        let stopped = self.stopped_time(self.standstill_count - standstills_before);
        if self.plan.is_killed_at_shutdown {
            // A process that was stopped could do nothing meanwhile, so that its kill comes later.
            let longest_deadline = self.plan.site.client_timeout.min(MAX_KILL_DELAY);
            self.await_exits_until(sigterm_at + longest_deadline + KILL_MARGIN + stopped).await;
            let killed_at_us = self.site.recorder.now_us();
            self.shutdown_times = Some(ShutdownTimes { sigterm_at_us, killed_at_us });
            for gateway in &mut self.site.gateways {
                // A gateway that has exited cannot be killed.
                let _ = gateway.kill().await;
            }
        } else {
            let limit = self.plan.site.client_timeout + EXIT_MARGIN + stopped;
            self.await_exits_until(sigterm_at + START_OR_EXIT_TIMEOUT).await;
            if sigterm_at.elapsed() > limit {
                let elapsed = sigterm_at.elapsed();
                self.violations
                    .push(format!("Exit: the gateways took {elapsed:?}, expected at most {limit:?}"));
            }
        }
        shutdowns.iter().for_each(|shutdown| shutdown.clients_stopped.store(true, Relaxed));
        Ok(())
    }

    /// Returns the total time for which processes were stopped in `standstill_count` standstills.
    fn stopped_time(&self, standstill_count: u64) -> Duration {
        let lengths = self.plan.kinds.iter().map(|kind| match kind.method {
            InjectionMethod::Standstill(length) => length * standstill_count as u32,
            _ => Duration::ZERO,
        });
        lengths.sum()
    }

    /// Sends SIGTERM to all gateways, and further signals if they come in series.
    fn send_sigterm(&self) {
        let repeats = if self.plan.has_signal_series { SIGNALS_IN_SERIES } else { 1 };
        for (number, gateway) in self.site.gateways.iter().enumerate() {
            for _ in 0..repeats {
                // A gateway that has already exited cannot be signalled, and is recorded as crashed.
                let _ = gateway.send_sigterm();
                if self.plan.has_signal_series {
                    let _ = gateway.reload(&self.site.gateway_config(number));
                }
            }
        }
    }

    /// Waits until all gateways have exited by themselves, at most until `kill_at`.
    async fn await_exits_until(&mut self, kill_at: Instant) {
        for (number, gateway) in self.site.gateways.iter_mut().enumerate() {
            match timeout_at(kill_at, gateway.wait_for_exit()).await {
                Ok(Ok(Some(0))) | Err(_) => {}
                Ok(Ok(code)) => self
                    .violations
                    .push(format!("Exit: gateway {number} exited with code {code:?}, expected 0")),
                Ok(Err(error)) => self.violations.push(format!("Exit: gateway {number}: {error}")),
            }
        }
    }

    fn finish(self, harness_lag_ms: u64) -> FinishedRun<'a> {
        FinishedRun {
            plan: self.plan,
            site: self.site,
            controls: self.controls,
            standstill_count: self.standstill_count,
            violations: self.violations,
            phase_starts: self.phase_starts,
            shutdown_times: self.shutdown_times,
            harness_lag_ms,
        }
    }
}
