//! CPU and memory usage of processes and of the machine, read from `/proc`.
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};

/// The resolution of CPU times in `/proc`, in us: the kernel counts them in hundredths of a second.
const CPU_TICK_US: u64 = 10_000;
/// The size of a memory page in bytes: `/proc` gives resident memory in pages.
const PAGE_BYTES: u64 = 4096;

/// Returns the monotonic clock in us. All processes of a machine share this clock, so their times can be
/// compared.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// The CPU time and memory of one or several processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time since the process started, in us, in steps of 10,000.
    pub cpu_us: u64,
    /// Resident memory in bytes.
    #[serde(rename = "rss")]
    pub rss_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process; `None` if the process doesn't exist.
    pub fn of(pid: u32) -> Option<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name, in parentheses, may contain spaces and parentheses itself.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_whitespace();
        let user_ticks: u64 = fields.nth(11)?.parse().ok()?;
        let system_ticks: u64 = fields.next()?.parse().ok()?;
        let pages: u64 = fields.nth(8)?.parse().ok()?;
        Some(Usage { cpu_us: (user_ticks + system_ticks) * CPU_TICK_US, rss_bytes: pages * PAGE_BYTES })
    }

    /// Returns the sum of two usages.
    pub fn plus(self, other: Usage) -> Usage {
        Usage { cpu_us: self.cpu_us + other.cpu_us, rss_bytes: self.rss_bytes + other.rss_bytes }
    }
}

/// The load of the whole machine, including processes that don't belong to the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineLoad {
    /// Mean number of running and runnable tasks over the last minute.
    pub load: f64,
    /// Idle time of all cores since boot, in hundredths of a second.
    #[serde(rename = "idle")]
    pub idle_ticks: u64,
    /// Time of all cores since boot, in hundredths of a second.
    #[serde(rename = "all")]
    pub total_ticks: u64,
}

impl MachineLoad {
    /// Reads the current load; a value that `/proc` doesn't provide is 0.
    pub fn now() -> MachineLoad {
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
        let ticks: Vec<u64> = stat
            .lines()
            .next()
            .into_iter()
            .flat_map(|l| l.split_whitespace().skip(1).take(8))
            .filter_map(|n| n.parse().ok())
            .collect();
        MachineLoad {
            load: load.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0),
            idle_ticks: ticks.get(3).copied().unwrap_or(0) + ticks.get(4).copied().unwrap_or(0),
            total_ticks: ticks.iter().sum(),
        }
    }

    /// Returns the share (0 to 1) of the cores' time that was idle since an earlier reading.
    pub fn idle_since(&self, before: &MachineLoad) -> f64 {
        let total_ticks = self.total_ticks.saturating_sub(before.total_ticks).max(1);
        self.idle_ticks.saturating_sub(before.idle_ticks) as f64 / total_ticks as f64
    }
}
