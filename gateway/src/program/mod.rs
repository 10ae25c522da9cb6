//! The gateway program: reads the configuration, starts the log, and serves until it receives SIGTERM or
//! SIGINT.
//!
//! The program is a module of the library, so that tests can run it in processes of their own.
mod reload;

use crate::config::{Config, ConfigError};
use crate::control::ControlConfig;
use crate::sockets::{is_local, socket};
use crate::ServeError;
use rustix::io::Errno;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::error;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// The maximum number of buffered log lines. Further lines are dropped, so that a slow reader of the log
/// delays no request.
const MAX_BUFFERED_LOG_LINES: usize = 1024;
/// How long a call with a transient error is retried on start. The requirement is that nine in ten starts are
/// ready within 10 s.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of connections that wait in the kernel to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The exit code if the operators' file or its command-line argument is invalid.
const EXIT_INVALID_OPERATOR_FILE: u8 = 2;

/// An error that ends the program without a signal.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("cannot handle the signal {name}: {source}")]
    Signal { name: &'static str, source: io::Error },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("--operator: expected the path of the operators' file")]
    OperatorArgument,
    #[error("operators' file: {0}")]
    OperatorFile(String),
    #[error("LB_LISTEN: cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            ProgramError::OperatorArgument | ProgramError::OperatorFile(_) => {
                ExitCode::from(EXIT_INVALID_OPERATOR_FILE)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

/// Reads the environment and serves until SIGTERM or SIGINT. Returns the exit code, which is 0 after such a
/// signal.
pub fn main() -> ExitCode {
    let started_at = Instant::now();
    let build_runtime = || Builder::new_current_thread().enable_all().build();
    match retry_on_start(build_runtime, is_transient) {
        Ok(runtime) => runtime.block_on(start(started_at)),
        Err(e) => exit_with_error(&ProgramError::Runtime(e)),
    }
}

/// Prints an error that occurred before the log was started, and returns the exit code.
fn exit_with_error(error: &ProgramError) -> ExitCode {
    eprintln!("ternstack-gateway: {error}");
    error.exit_code()
}

/// The signal handlers and the configuration, which are read before the log is started.
struct Setup {
    signals: Signals,
    config: Config,
    control: Option<ControlConfig>,
}

impl Setup {
    fn read(started_at: Instant) -> Result<Self, ProgramError> {
        // The signal handlers come first, because a signal that arrives before its handler is installed kills
        // the program.
        let signals = Signals::handle()?;
        let mut config = retry_on_start(Config::from_env, is_transiently_unreadable)?;
        config.started_at = started_at;
        let control = match operator_file(std::env::args_os().skip(1))? {
            Some(path) => {
                let control = ControlConfig::from_file(&path);
                Some(control.map_err(|e| ProgramError::OperatorFile(e.to_string()))?)
            }
            None => None,
        };
        Ok(Setup { signals, config, control })
    }
}

async fn start(started_at: Instant) -> ExitCode {
    let Setup { signals, config, control } = match Setup::read(started_at) {
        Ok(setup) => setup,
        Err(e) => return exit_with_error(&e),
    };
    // Dropping the guard writes the buffered log lines.
    let (log, _guard) =
        NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LOG_LINES).finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(config.log_level).with_ansi(false).with_writer(log).init();
    match serve(config, control, signals).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(error = %e, "gateway failed");
            e.exit_code()
        }
    }
}

/// Calls `call` again while it fails with a transient error, for up to [`START_RETRY_TIMEOUT`]. Blocks
/// between the calls, because no other task runs during the start.
fn retry_on_start<T, E>(
    mut call: impl FnMut() -> Result<T, E>, is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let retry_until = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(e) if is_transient(&e) && Instant::now() < retry_until => std::thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
}

/// Returns whether a call that failed with `error` may soon succeed.
fn is_transient(error: &io::Error) -> bool {
    is_local(error)
        || error.kind() == io::ErrorKind::AddrInUse
        || error.raw_os_error() == Some(Errno::IO.raw_os_error())
}

/// Returns whether a configuration file that could not be read may soon be readable.
fn is_transiently_unreadable(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable { source, .. } if is_transient(source))
}

/// The streams of the signals that the program handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn handle() -> Result<Self, ProgramError> {
        let handle = |kind, name| signal(kind).map_err(|source| ProgramError::Signal { name, source });
        Ok(Signals {
            terminate: handle(SignalKind::terminate(), "SIGTERM")?,
            interrupt: handle(SignalKind::interrupt(), "SIGINT")?,
            hangup: handle(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

/// Returns the path of the operators' file, from the argument `--operator` or else from the variable
/// `LB_OPERATOR`. Other arguments are skipped, because tests that run the program pass arguments of their
/// own.
fn operator_file(mut args: impl Iterator<Item = OsString>) -> Result<Option<PathBuf>, ProgramError> {
    while let Some(arg) = args.next() {
        if arg == "--operator" {
            let path = args.next().ok_or(ProgramError::OperatorArgument)?;
            return Ok(Some(path.into()));
        }
        if let Some(path) = arg.to_str().and_then(|arg| arg.strip_prefix("--operator=")) {
            return Ok(Some(path.into()));
        }
    }
    Ok(std::env::var_os("LB_OPERATOR").map(PathBuf::from))
}

async fn serve(config: Config, control: Option<ControlConfig>, signals: Signals) -> Result<(), ProgramError> {
    let Signals { mut terminate, mut interrupt, hangup } = signals;
    let (discovery, discovery_address) = watch::channel(config.discovery);
    let address = config.listen;
    let listener = retry_on_start(|| listen(address), is_transient)
        .map_err(|source| ProgramError::Listen { address, source })?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::spawn(reload::reload_on_hangup(hangup, discovery));
    Ok(crate::serve_with_control(config, control, listener, discovery_address, stop).await?)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
