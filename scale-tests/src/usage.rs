//! What processes and the machine take, as the kernel tells it.
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// The kernel tells processor time to processes in hundredths of a second.
const TICK_US: u64 = 10_000;
/// Memory is told in pages of this many bytes.
const PAGE: u64 = 4096;

/// The monotonic clock, in us: one for all processes of a machine.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// What a process has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time since its start, in us, in steps of 10,000.
    pub cpu_us: u64,
    /// Resident memory, in bytes.
    pub rss: u64,
}

impl Usage {
    /// Of this process; `None` where it is gone.
    pub fn of(pid: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name, in parentheses, may hold anything.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_whitespace();
        let user: u64 = fields.nth(11)?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        let pages: u64 = fields.nth(8)?.parse().ok()?;
        Some(Usage { cpu_us: (user + system) * TICK_US, rss: pages * PAGE })
    }

    /// Both together.
    pub fn plus(self, other: Usage) -> Usage {
        Usage { cpu_us: self.cpu_us + other.cpu_us, rss: self.rss + other.rss }
    }
}

/// How busy the machine is, with all that runs on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Tasks that run or wait to, over the last minute.
    pub load: f64,
    /// Time that its cores have stood idle, in hundredths of a second, since its start.
    pub idle: u64,
    /// Time in all, in the same.
    pub all: u64,
}

impl Machine {
    /// As it is now.
    pub fn now() -> Machine {
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let times: Vec<u64> = stat
            .lines()
            .next()
            .into_iter()
            .flat_map(|l| l.split_whitespace().skip(1).take(8))
            .filter_map(|n| n.parse().ok())
            .collect();
        Machine {
            load: load.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0),
            idle: times.get(3).copied().unwrap_or(0) + times.get(4).copied().unwrap_or(0),
            all: times.iter().sum(),
        }
    }

    /// The share of its cores' time that stood idle since `before`.
    pub fn idle_since(&self, before: &Machine) -> f64 {
        let all = self.all.saturating_sub(before.all).max(1);
        self.idle.saturating_sub(before.idle) as f64 / all as f64
    }
}
