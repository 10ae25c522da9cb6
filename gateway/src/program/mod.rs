//! The program: reads its configuration, starts the log, and serves until it is told to stop.
//!
//! It is a module of the library so that tests can run the same program as processes of their own.
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

/// How many log lines may be buffered. More are dropped, so that a slow reader of the log delays no request.
const MAX_BUFFERED_LOG_LINE_COUNT: usize = 1024;
/// How long a call that fails for a moment is retried at the start: the requirement is that nine in ten starts are
/// ready within 10 s.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How many connections may wait to be accepted.
const LISTEN_BACKLOG_COUNT: u32 = 1024;
/// The exit code where the operators' file cannot be worked with.
const EXIT_FAULTY_OPERATOR_FILE: u8 = 2;

/// Why the program ends before it is told to.
#[derive(Debug, Error)]
enum ProgramError {
    #[error("cannot start: {0}")]
    Runtime(#[source] io::Error),
    #[error("{name}: {source}")]
    Signal { name: &'static str, source: io::Error },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("--operator: expected the path of the operators' file")]
    OperatorArgument,
    #[error("{0}")]
    OperatorFile(String),
    #[error("LB_LISTEN = {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error(transparent)]
    Serve(#[from] ServeError),
}

impl ProgramError {
    fn exit_code(&self) -> ExitCode {
        match self {
            ProgramError::OperatorArgument | ProgramError::OperatorFile(_) => {
                ExitCode::from(EXIT_FAULTY_OPERATOR_FILE)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

/// Reads the environment, and serves until SIGTERM or SIGINT, after which the exit code is 0.
pub fn main() -> ExitCode {
    let build = || Builder::new_current_thread().enable_all().build();
    match retry_at_start(build, may_pass) {
        Ok(runtime) => runtime.block_on(start()),
        Err(e) => fail(&ProgramError::Runtime(e)),
    }
}

/// Ends the program before the log has been started.
fn fail(error: &ProgramError) -> ExitCode {
    eprintln!("ternstack-gateway: {error}");
    error.exit_code()
}

/// What the program needs to serve.
struct Setup {
    signals: Signals,
    config: Config,
    control: Option<ControlConfig>,
}

impl Setup {
    fn read() -> Result<Self, ProgramError> {
        // First of all, as a signal that comes before its handler ends the program.
        let signals = Signals::handle()?;
        let config = retry_at_start(Config::from_env, may_become_readable)?;
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

async fn start() -> ExitCode {
    let Setup { signals, config, control } = match Setup::read() {
        Ok(setup) => setup,
        Err(e) => return fail(&e),
    };
    // The guard writes the buffered lines when it is dropped.
    let (log, _guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINE_COUNT)
        .finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(config.log_level).with_ansi(false).with_writer(log).init();
    match serve(config, control, signals).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            e.exit_code()
        }
    }
}

/// Retries a call while its error may pass. Blocks, since nothing else is to be done meanwhile.
fn retry_at_start<T, E>(
    mut call: impl FnMut() -> Result<T, E>, may_pass: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let retry_until = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(e) if may_pass(&e) && Instant::now() < retry_until => std::thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
}

/// Whether an error may be over soon.
fn may_pass(error: &io::Error) -> bool {
    is_local(error)
        || error.kind() == io::ErrorKind::AddrInUse
        || error.raw_os_error() == Some(Errno::IO.raw_os_error())
}

/// Whether a configuration that could not be read may become readable soon.
fn may_become_readable(error: &ConfigError) -> bool {
    matches!(error, ConfigError::Unreadable { source, .. } if may_pass(source))
}

/// The signals that the program handles.
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

/// The operators' file: at `--operator`, or else at `LB_OPERATOR`. Other arguments belong to tests and are skipped.
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
    let (discovery, discovery_now) = watch::channel(config.discovery);
    let address = config.listen;
    let listener = retry_at_start(|| listen(address), may_pass)
        .map_err(|source| ProgramError::Listen { address, source })?;
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::spawn(reload::reload_on_hangup(hangup, discovery));
    Ok(crate::serve_with_control(config, control, listener, discovery_now, stop).await?)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG_COUNT)
}
