//! What may be injected into a process, and how its shim is told.
use serde::Serialize;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The library that a gateway is started with, built from `shim/faults.rs`.
const SHIM: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/faults.so"));

/// The layout of the shim's `Control`.
const KINDS: usize = 32;
const OFFSET_AT: u64 = 8;
const HELD_AT: u64 = 20;
const RATES_AT: u64 = 24;
const INJECTED_AT: u64 = RATES_AT + 4 * KINDS as u64;
const LENGTH: u64 = INJECTED_AT + 8 * KINDS as u64;
/// A rate of this injects at every call.
const ALWAYS: u32 = 1 << 16;
/// How long a held write is held up: what the operators' page allows a gateway between reading its clock and writing.
const HELD_MS: u32 = 120;

/// How a kind of fault comes about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Means {
    /// The shim injects it at its place in the control, with this chance a call.
    Call(usize, f64),
    /// The shim's wall clock is off by so many ms.
    Clock(i64),
    /// The process is stopped for so long, again and again.
    Standstill(Duration),
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Its name in reports.
    pub name: &'static str,
    /// How it comes about.
    pub means: Means,
}

const fn call(name: &'static str, place: usize, chance: f64) -> Kind {
    Kind { name, means: Means::Call(place, chance) }
}

const fn clock(name: &'static str, ms: i64) -> Kind {
    Kind { name, means: Means::Clock(ms) }
}

const fn standstill(name: &'static str, ms: u64) -> Kind {
    Kind { name, means: Means::Standstill(Duration::from_millis(ms)) }
}

const HOUR_MS: i64 = 3_600_000;
/// Where the shim counts what it told of a stepped clock.
const CLOCK_STEP: usize = 26;

/// All kinds: each way in the operators' terms that a call fails, a clock steps or a process stands still.
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
    Kind { name: "none", means: Means::Call(31, 0.0) },
];

/// The kinds that break a client's connection: its request may be owed no answer any more.
pub const BREAKS_CLIENTS: [&str; 2] = ["client_etimedout", "client_ehostunreach"];

/// The kind of that name.
pub fn named(name: &str) -> Option<Kind> {
    ALL.into_iter().find(|kind| kind.name == name)
}

/// When in the life of a process a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From its start until it serves.
    Start,
    /// While it serves.
    Service,
    /// From a new configuration on.
    Reload,
    /// From SIGTERM to its end.
    Shutdown,
}

impl Phase {
    /// All phases, in their order.
    pub const ALL: [Phase; 4] = [Phase::Start, Phase::Service, Phase::Reload, Phase::Shutdown];
}

/// The control file of one process.
#[derive(Debug)]
pub struct Control {
    file: File,
}

impl Control {
    /// Makes the file of a process of that name.
    pub fn create(folder: &Path, name: &str, seed: u64) -> io::Result<Self> {
        let path = folder.join(format!("{name}.faults"));
        let file = File::options().create(true).truncate(true).read(true).write(true).open(path)?;
        file.set_len(LENGTH)?;
        file.write_all_at(&seed.to_ne_bytes(), 0)?;
        file.write_all_at(&HELD_MS.to_ne_bytes(), HELD_AT)?;
        Ok(Control { file })
    }

    /// From now on a kind is injected, or no more.
    pub fn set(&self, kind: Kind, on: bool) -> io::Result<()> {
        match kind.means {
            Means::Call(place, chance) => {
                let rate = if on { (chance * f64::from(ALWAYS)) as u32 } else { 0 };
                self.file.write_all_at(&rate.to_ne_bytes(), RATES_AT + 4 * place as u64)
            }
            // A clock that was stepped stays so.
            Means::Clock(ms) if on => self.file.write_all_at(&(ms * 1_000_000).to_ne_bytes(), OFFSET_AT),
            Means::Clock(_) | Means::Standstill(_) => Ok(()),
        }
    }

    /// How often a kind has been injected.
    pub fn injected(&self, kind: Kind) -> io::Result<u64> {
        let place = match kind.means {
            Means::Call(place, _) => place,
            Means::Clock(_) => CLOCK_STEP,
            Means::Standstill(_) => return Ok(0),
        };
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, INJECTED_AT + 8 * place as u64)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}

/// Writes the shim to a folder; the variables by which a gateway of any name loads it and finds its control there.
pub fn variables(folder: &Path) -> io::Result<Vec<(String, String)>> {
    let shim: PathBuf = folder.join("faults.so");
    std::fs::write(&shim, SHIM)?;
    let text = |path: &Path| path.display().to_string();
    Ok(vec![
        ("LD_PRELOAD".into(), text(&shim)),
        ("TERNSTACK_FAULTS".into(), format!("{}/{{name}}.faults", text(folder))),
        // Configurations lie in a folder of their own there.
        ("TERNSTACK_FAULTS_FOLDER".into(), text(&std::env::temp_dir())),
    ])
}
