//! The kinds of faults of processes, and the control file that selects the faults that a process's shim
//! injects.
use serde::Serialize;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Shared library that is preloaded into gateways, built from `shim/faults.rs`.
const SHIM: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/faults.so"));

/// Number of kinds in the shim's `Control`.
const MAX_KINDS: usize = 32;
/// Position of the wall clock's offset in the control file, in bytes. All positions follow the layout of the
/// shim's `Control`.
const CLOCK_OFFSET_POSITION_BYTES: u64 = 8;
/// Position of the delay of a delayed write in the control file, in bytes.
const WRITE_DELAY_POSITION_BYTES: u64 = 20;
/// Position of the rates of all kinds in the control file, in bytes.
const RATES_POSITION_BYTES: u64 = 24;
/// Position of the numbers of injected faults of all kinds in the control file, in bytes.
const INJECTED_POSITION_BYTES: u64 = RATES_POSITION_BYTES + 4 * MAX_KINDS as u64;
/// Length of the control file, in bytes.
const CONTROL_BYTES: u64 = INJECTED_POSITION_BYTES + (8 + 4) * MAX_KINDS as u64;
/// Rate that injects a fault into every call; smaller rates are fractions of it.
const ALWAYS_RATE: u32 = 1 << 16;
/// Delay of a delayed write, in ms: the time that the protocol permits a gateway between reading its clock
/// and writing.
const WRITE_DELAY_MS: u32 = 120;

/// The way in which a kind of fault is injected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectionMethod {
    /// The shim makes a system call fail.
    Call {
        /// Index of the kind in the shim's `Control`.
        index: usize,
        /// Probability of a fault for each call, 0 to 1.
        probability: f64,
    },
    /// The shim steps the wall clock by the given time, in ms; a negative time steps the clock back.
    Clock(i64),
    /// The process is stopped (SIGSTOP) repeatedly, each time for the given duration.
    Standstill(Duration),
}

/// A kind of fault that a soak injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Name of the kind in reports.
    pub name: &'static str,
    /// Way in which the fault is injected.
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

/// Step of the clock kinds `clock_forward_1h` and `clock_back_1h`, in ms.
const HOUR_MS: i64 = 3_600_000;
/// Index in the shim's `Control` of the number of reads of the clock that returned a stepped time.
const CLOCK_STEP_INDEX: usize = 26;

/// All kinds of faults. The last kind, `none`, injects nothing.
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

/// Names of the kinds that break a client's connection, so that the client's request may stay unanswered.
pub const CLIENT_CONNECTION_FAULTS: [&str; 2] = ["client_etimedout", "client_ehostunreach"];

/// Returns the kind named `name`.
pub fn named(name: &str) -> Option<Kind> {
    ALL.into_iter().find(|kind| kind.name == name)
}

/// The phases in the life of a gateway process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From the start of the process until shortly after all gateways serve.
    Start,
    /// From the end of the start phase until the reload.
    Service,
    /// From the reload of the configuration until the shutdown.
    Reload,
    /// From SIGTERM until the process exits.
    Shutdown,
}

impl Phase {
    /// All phases, in order of time.
    pub const ALL: [Phase; 4] = [Phase::Start, Phase::Service, Phase::Reload, Phase::Shutdown];
}

/// The control file of one process, which the process's shim maps into memory.
#[derive(Debug)]
pub struct Control {
    file: File,
}

impl Control {
    /// Creates the control file of the gateway named `name`. The shim draws from `seed`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn create(folder: &Path, name: &str, seed: u64) -> io::Result<Self> {
        let path = folder.join(format!("{name}.faults"));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(CONTROL_BYTES)?;
        file.write_all_at(&seed.to_ne_bytes(), 0)?;
        file.write_all_at(&WRITE_DELAY_MS.to_ne_bytes(), WRITE_DELAY_POSITION_BYTES)?;
        Ok(Control { file })
    }

    /// Starts or ends the injection of a kind. Clock steps stay, and standstills need no control file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn set(&self, kind: Kind, on: bool) -> io::Result<()> {
        match kind.method {
            InjectionMethod::Call { index, probability } => {
                let rate = if on { (probability * f64::from(ALWAYS_RATE)) as u32 } else { 0 };
                self.file.write_all_at(&rate.to_ne_bytes(), RATES_POSITION_BYTES + 4 * index as u64)
            }
            // A stepped clock stays stepped when the injection ends.
            InjectionMethod::Clock(ms) if on => {
                self.file.write_all_at(&(ms * 1_000_000).to_ne_bytes(), CLOCK_OFFSET_POSITION_BYTES)
            }
            InjectionMethod::Clock(_) | InjectionMethod::Standstill(_) => Ok(()),
        }
    }

    /// Returns how often a kind has been injected, 0 for standstills.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read.
    pub fn injected(&self, kind: Kind) -> io::Result<u64> {
        let index = match kind.method {
            InjectionMethod::Call { index, .. } => index,
            InjectionMethod::Clock(_) => CLOCK_STEP_INDEX,
            InjectionMethod::Standstill(_) => return Ok(0),
        };
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, INJECTED_POSITION_BYTES + 8 * index as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

/// Writes the shim to a folder. Returns the environment variables with which a gateway loads the shim and
/// finds its control file in the folder.
///
/// # Errors
/// Returns an error if the shim cannot be written.
pub fn variables(folder: &Path) -> io::Result<Vec<(String, String)>> {
    let shim: PathBuf = folder.join("faults.so");
    std::fs::write(&shim, SHIM)?;
    let text = |path: &Path| path.display().to_string();
    Ok(vec![
        ("LD_PRELOAD".into(), text(&shim)),
        ("TERNSTACK_FAULTS".into(), format!("{}/{{name}}.faults", text(folder))),
        // Only files in the directory of temporary files are subject to faults; the configurations are among
        // them.
        ("TERNSTACK_FAULTS_FOLDER".into(), text(&std::env::temp_dir())),
    ])
}
