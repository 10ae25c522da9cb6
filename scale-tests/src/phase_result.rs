//! What was taken between two moments of a run, by role.
use crate::fleet::{look, Fleet};
use crate::options::Plan;
use crate::timeline::Reached;
use crate::traffic::Traffic;
use crate::usage::{now_us, Machine, Usage};
use crate::worker_process::Report;
use serde::Serialize;

/// A moment.
#[derive(Debug)]
pub struct Mark {
    at_us: u64,
    machine: Machine,
    hollows: Vec<(u32, Usage)>,
    report: Report,
    everything: Option<(Usage, Report)>,
    distributors: Vec<(u32, Usage, Traffic)>,
    origin: (Usage, Traffic),
    run: Usage,
}

/// What one member of a role takes, in the mean.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Taken {
    /// Share of a core.
    pub cpu: f64,
    /// Resident bytes, at the end.
    pub rss: f64,
    /// Messages and bytes a second.
    pub traffic: Traffic,
}

/// A phase of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// The phase.
    pub phase: String,
    /// How long it was measured, in s.
    pub seconds: f64,
    /// Versions proposed in it.
    pub versions: usize,
    /// From the proposal of a change to in force at a gateway, in ms: half of them, 99 in 100, the last.
    pub in_force_ms: [f64; 3],
    /// The histogram of that: `(ms, how many)`.
    pub in_force: Vec<(f64, u64)>,
    /// Versions that have not come into force, over all gateways.
    pub missing: u64,
    /// From the end of it until all gateways held the last version and all their scopes, in ms.
    pub settled_ms: f64,
    /// From the begin of a restarted gateway's life until it had all: half of them, and nine in ten.
    pub ready_ms: Option<(f64, f64)>,
    /// A hollow gateway.
    pub gateway: Taken,
    /// Bytes of state that a hollow gateway keeps, as it reckons itself.
    pub gateway_state: f64,
    /// Bytes a second to the gateway that was sent most. Since its start, for the first phase.
    pub most_bytes_per_s: f64,
    /// A follower of everything, with its process.
    pub everything: Option<Taken>,
    /// Bytes of state that it keeps.
    pub everything_state: f64,
    /// A distributor.
    pub distributor: Taken,
    /// The distributor that took most of a core.
    pub distributor_cpu_most: f64,
    /// The origin.
    pub origin: Taken,
    /// The run's own process, of a core.
    pub run_cpu: f64,
    /// Tasks that ran or waited on the machine, over the minute before the end.
    pub load: f64,
    /// The share of its cores' time that stood idle.
    pub idle: f64,
}

impl Mark {
    /// This moment.
    pub async fn of(fleet: &mut Fleet) -> Result<Mark, String> {
        let mut distributors = Vec::new();
        for part in &fleet.distributors {
            let status = look(part.at).await?;
            distributors.push((part.pid(), part.usage(), Traffic::of(&status.traffic)));
        }
        let origin = look(fleet.origin.at).await?;
        let report = fleet.report(&[]).await?;
        let everything = fleet.report_everything(&[]).await?;
        Ok(Mark {
            report,
            everything: everything.and_then(|r| Some((fleet.everything.as_ref()?.usage(), r))),
            distributors,
            origin: (fleet.origin.usage(), Traffic::of(&origin.traffic)),
            hollows: fleet.hollows.iter().map(|p| (p.pid(), p.usage())).collect(),
            run: Usage::of(std::process::id()).unwrap_or_default(),
            machine: Machine::now(),
            at_us: now_us(),
        })
    }
}

/// The share of a core between two readings.
fn cpu(begin: Usage, end: Usage, seconds: f64) -> f64 {
    end.cpu_us.saturating_sub(begin.cpu_us) as f64 / 1e6 / seconds
}

impl Row {
    /// What was taken between two moments.
    pub fn between(phase: &str, begin: &Mark, end: &Mark, plan: &Plan) -> Row {
        let seconds = (end.at_us.saturating_sub(begin.at_us) as f64 / 1e6).max(1e-3);
        let gateways = plan.size.gateways as f64;
        // Processes that were not there yet count from their start.
        let hollow = |(pid, now): &(u32, Usage)| {
            let before = begin.hollows.iter().find(|(p, _)| p == pid).map(|(_, u)| *u).unwrap_or_default();
            (cpu(before, *now, seconds), now.rss as f64)
        };
        let hollows: Vec<_> = end.hollows.iter().map(hollow).collect();
        let distributor = |(pid, now, traffic): &(u32, Usage, Traffic)| {
            let before = begin.distributors.iter().find(|(p, ..)| p == pid).cloned().unwrap_or_default();
            let traffic = traffic.since(&before.2).over(seconds);
            Taken { cpu: cpu(before.1, *now, seconds), rss: now.rss as f64, traffic }
        };
        let distributors: Vec<_> = end.distributors.iter().map(distributor).collect();
        let count = distributors.len().max(1) as f64;
        let everything = end.everything.as_ref().map(|(now, report)| {
            let (usage, before) =
                begin.everything.as_ref().map(|(u, r)| (*u, r.traffic.clone())).unwrap_or_default();
            let each = report.followers.max(1) as f64;
            Taken {
                cpu: cpu(usage, *now, seconds) / each,
                rss: now.rss as f64 / each,
                traffic: report.traffic.since(&before).over(seconds * each),
            }
        });
        Row {
            phase: phase.into(),
            seconds,
            gateway: Taken {
                cpu: hollows.iter().map(|h| h.0).sum::<f64>() / gateways,
                rss: hollows.iter().map(|h| h.1).sum::<f64>() / gateways,
                traffic: end.report.traffic.since(&begin.report.traffic).over(seconds * gateways),
            },
            gateway_state: end.report.state_bytes as f64 / gateways,
            most_bytes_per_s: end.report.most_bytes.saturating_sub(begin.report.most_bytes) as f64 / seconds,
            everything,
            everything_state: end
                .everything
                .as_ref()
                .map_or(0.0, |(_, r)| r.state_bytes as f64 / r.followers.max(1) as f64),
            distributor_cpu_most: distributors.iter().map(|d| d.cpu).fold(0.0, f64::max),
            distributor: Taken {
                cpu: distributors.iter().map(|d| d.cpu).sum::<f64>() / count,
                rss: distributors.iter().map(|d| d.rss).sum::<f64>() / count,
                traffic: distributors
                    .iter()
                    .fold(Traffic::default(), |sum, d| sum.plus(&d.traffic))
                    .over(count),
            },
            origin: Taken {
                cpu: cpu(begin.origin.0, end.origin.0, seconds),
                rss: end.origin.0.rss as f64,
                traffic: end.origin.1.since(&begin.origin.1).over(seconds),
            },
            run_cpu: cpu(begin.run, end.run, seconds),
            load: end.machine.load,
            idle: end.machine.idle_since(&begin.machine),
            ..Row::default()
        }
    }

    /// Takes in when the phase's versions came into force.
    pub fn reached(&mut self, reached: &Reached, versions: usize) {
        let times = &reached.times;
        self.versions = versions;
        self.in_force_ms = [times.quantile_ms(0.5), times.quantile_ms(0.99), times.longest_ms()];
        self.in_force = times.steps();
        self.missing = reached.missing;
    }

    /// The phase in a line, for who waits.
    pub fn line(&self) -> String {
        let [p50, p99, last] = self.in_force_ms;
        format!(
            "{}: {} versions in force after {p50:.0} ms (half), {p99:.0} ms (99 in 100), {last:.0} ms (last)",
            self.phase, self.versions
        )
    }
}
