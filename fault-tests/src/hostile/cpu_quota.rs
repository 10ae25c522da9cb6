//! A processor quota for a process that this process started: like the kernel's quota of a control group, but
//! enforced by SIGSTOP and SIGCONT, which needs no privileges.
use rustix::process::{kill_process, Pid, Signal};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

/// The period in which the process may use its share once.
const PERIOD: Duration = Duration::from_millis(100);
/// The interval at which the process's processor time is read.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A quota that is enforced until this value is dropped.
pub(super) struct CpuQuota {
    id: u32,
    task: JoinHandle<()>,
}

impl CpuQuota {
    /// Holds the process `id` to `share` of a processor core.
    pub(super) fn enforce(id: u32, share: f64) -> Self {
        let task = tokio::spawn(async move {
            let allowed = PERIOD.mul_f64(share);
            loop {
                let period_end = Instant::now() + PERIOD;
                let used_before = used_time(id).unwrap_or_default();
                while Instant::now() < period_end {
                    let Some(used) = used_time(id) else { return };
                    if used.saturating_sub(used_before) >= allowed {
                        signal(id, Signal::STOP);
                        sleep_until(period_end).await;
                        signal(id, Signal::CONT);
                        break;
                    }
                    sleep(CHECK_INTERVAL).await;
                }
            }
        });
        CpuQuota { id, task }
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.task.abort();
        signal(self.id, Signal::CONT);
    }
}

fn signal(id: u32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(id as i32) {
        // A process that has exited needs no signal.
        let _ = kill_process(pid, signal);
    }
}

/// Returns the processor time of the process's main thread, or `None` once the process has exited.
fn used_time(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    Some(Duration::from_nanos(text.split_whitespace().next()?.parse().ok()?))
}
