//! The faults of processes, and the control file that tells a process's shim which to inject.
use serde::Serialize;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The library that is preloaded into gateways, built from `shim/faults.rs`.
const SHIM: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/faults.so"));

/// How many kinds the shim's `Control` has room for.
const MAX_KIND_COUNT: usize = 32;
/// Where the shim's `Control` holds the offset of the wall clock, in bytes from its start.
const CLOCK_OFFSET_AT_BYTES: u64 = 8;
/// Where it holds the delay of a held write.
const HELD_MS_AT_BYTES: u64 = 20;
/// Where it holds the rate of each kind.
const RATES_AT_BYTES: u64 = 24;
/// Where it holds the count of each kind.
const INJECTED_AT_BYTES: u64 = RATES_AT_BYTES + 4 * MAX_KIND_COUNT as u64;
/// Its length.
const CONTROL_BYTES: u64 = INJECTED_AT_BYTES + 8 * MAX_KIND_COUNT as u64;
/// The rate that injects a fault into every call.
const ALWAYS_RATE: u32 = 1 << 16;
/// How long a held write is delayed: what the protocol allows a gateway between reading its clock and writing.
const HELD_MS: u32 = 120;

/// How a kind of fault is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectionMethod {
    /// The shim has a system call fail.
    Call {
        /// The index of the kind in the shim's control.
        index: usize,
        /// The probability for each call, 0 to 1.
        probability: f64,
    },
    /// The shim steps the wall clock by so many ms.
    Clock(i64),
    /// The process is stopped for this time, repeatedly.
    Standstill(Duration),
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its name in reports.
    pub name: &'static str,
    /// How it is injected.
    pub method: InjectionMethod,
}

const fn call(name: &'static str, index: usize, probability: f64) -> Kind {
    Kind { name, method: InjectionMethod::Call { index, probability } }
}

const fn clock(name: &'static str, ms: i64) -> Kind {
    Kind { name, method: InjectionMethod::Clock(ms) }
}

const fn standstill(name: &'static str, ms: u64) -> Kind {
    Kind { name, method: InjectionMethod::Standstill(Duration::from_millis(ms)) }
}

/// An hour.
const HOUR_MS: i64 = 3_600_000;
/// The index at which the shim counts how often it has returned a stepped time.
const CLOCK_STEP_INDEX: usize = 26;

/// All kinds. The last one injects nothing.
pub const ALL: [Kind; 34] = [
    call("accept_econnaborted", 0, 0.3),
    call("accept_enfile", 1, 0.3),
    call("accept_enobufs", 2, 0.3),
    call("accept_eintr", 3, 0.3),
    call("socket_enfile", 4, 0.5),
    call("socket_enobufs", 5, 0.5),
    call("connect_eaddrnotavail", 6, 0.5),
    call("connect_enetunreach", 7, 0.5),
    call("connect_enobufs", 8, 0.5),
    call("wait_eintr", 9, 0.3),
    call("read_short", 10, 0.5),
    call("read_eintr", 11, 0.3),
    call("read_etimedout", 12, 0.02),
    call("read_ehostunreach", 13, 0.02),
    call("write_short", 14, 0.5),
    call("write_eintr", 15, 0.3),
    call("write_etimedout", 16, 0.02),
    call("write_ehostunreach", 17, 0.02),
    call("write_enobufs", 18, 0.3),
    call("file_open_enfile", 19, 0.5),
    call("file_read_eio", 20, 0.5),
    call("file_write_enospc", 21, 0.5),
    call("file_sync_eio", 22, 0.5),
    call("write_held_up", 23, 0.01),
    call("client_etimedout", 24, 0.01),
    call("client_ehostunreach", 25, 0.01),
    clock("clock_forward_5s", 5_000),
    clock("clock_back_5s", -5_000),
    clock("clock_forward_1h", HOUR_MS),
    clock("clock_back_1h", -HOUR_MS),
    standstill("standstill_120ms", 120),
    standstill("standstill_400ms", 400),
    standstill("standstill_700ms", 700),
    Kind { name: "none", method: InjectionMethod::Call { index: 31, probability: 0.0 } },
];

/// The kinds that break a client's connection, so that its request may stay unanswered.
pub const CLIENT_CONNECTION_FAULTS: [&str; 2] = ["client_etimedout", "client_ehostunreach"];

/// The kind with this name.
pub fn named(name: &str) -> Option<Kind> {
    ALL.into_iter().find(|kind| kind.name == name)
}

/// When in the life of a process a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From the start until it serves.
    Start,
    /// While it serves.
    Service,
    /// From a reload of the configuration on.
    Reload,
    /// From SIGTERM until it exits.
    Shutdown,
}

impl Phase {
    /// All phases, in order.
    pub const ALL: [Phase; 4] = [Phase::Start, Phase::Service, Phase::Reload, Phase::Shutdown];
}

/// The control file of one process.
#[derive(Debug)]
pub struct Control {
    file: File,
}

impl Control {
    /// Creates the file for a process with this name.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn create(folder: &Path, name: &str, seed: u64) -> io::Result<Self> {
        let path = folder.join(format!("{name}.faults"));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(CONTROL_BYTES)?;
        file.write_all_at(&seed.to_ne_bytes(), 0)?;
        file.write_all_at(&HELD_MS.to_ne_bytes(), HELD_MS_AT_BYTES)?;
        Ok(Control { file })
    }

    /// Begins or ends the injection of a kind.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn set(&self, kind: Kind, on: bool) -> io::Result<()> {
        match kind.method {
            InjectionMethod::Call { index, probability } => {
                let rate = if on { (probability * f64::from(ALWAYS_RATE)) as u32 } else { 0 };
                self.file.write_all_at(&rate.to_ne_bytes(), RATES_AT_BYTES + 4 * index as u64)
            }
            // A stepped clock is never set back.
            InjectionMethod::Clock(ms) if on => {
                self.file.write_all_at(&(ms * 1_000_000).to_ne_bytes(), CLOCK_OFFSET_AT_BYTES)
            }
            InjectionMethod::Clock(_) | InjectionMethod::Standstill(_) => Ok(()),
        }
    }

    /// How often a kind has been injected.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn injected(&self, kind: Kind) -> io::Result<u64> {
        let index = match kind.method {
            InjectionMethod::Call { index, .. } => index,
            InjectionMethod::Clock(_) => CLOCK_STEP_INDEX,
            InjectionMethod::Standstill(_) => return Ok(0),
        };
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, INJECTED_AT_BYTES + 8 * index as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

/// Writes the shim to a folder; the environment variables with which a gateway loads it and finds its control file
/// there.
///
/// # Errors
/// If the shim cannot be written.
pub fn variables(folder: &Path) -> io::Result<Vec<(String, String)>> {
    let shim: PathBuf = folder.join("faults.so");
    std::fs::write(&shim, SHIM)?;
    let text = |path: &Path| path.display().to_string();
    Ok(vec![
        ("LD_PRELOAD".into(), text(&shim)),
        ("TERNSTACK_FAULTS".into(), format!("{}/{{name}}.faults", text(folder))),
        // Only files in the folder of configurations are subject to faults.
        ("TERNSTACK_FAULTS_FOLDER".into(), text(&std::env::temp_dir())),
    ])
}
