//! The program: reads its configuration, starts the log, and serves until it is told to stop. It is a module of the
//! library so that a rig can start the same program as processes of its own.
use crate::config::Config;
use crate::control::Control;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::{error, info};
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Lines that may wait for the log; beyond that they are dropped, so that no reader of it holds up a request.
const LOG_LINES: usize = 1024;

/// The exit code where the operators' file cannot be worked with.
const FAULTY_OPERATOR: u8 = 2;

/// Reads the environment, and serves until SIGTERM or SIGINT. The exit code is 0 after these.
#[tokio::main(flavor = "current_thread")]
pub async fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(problem) => {
            eprintln!("ternstack-gateway: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let control = match operator_file(std::env::args_os().skip(1)).and_then(|file| match file {
        Some(path) => Control::from_file(&path).map(Some),
        None => Ok(None),
    }) {
        Ok(control) => control,
        Err(problem) => {
            eprintln!("ternstack-gateway: {problem}");
            return ExitCode::from(FAULTY_OPERATOR);
        }
    };
    let (log, _written_at_the_end) =
        NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(config.log).with_ansi(false).with_writer(log).init();
    match run(config, control).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("{problem}");
            ExitCode::FAILURE
        }
    }
}

/// The operators' file: at `--operator`, or else at `LB_OPERATOR`. Other arguments are a rig's, and skipped.
fn operator_file(mut args: impl Iterator<Item = OsString>) -> Result<Option<PathBuf>, String> {
    while let Some(arg) = args.next() {
        if arg == "--operator" {
            let path = args.next().ok_or("--operator: expected the path of the operators' file")?;
            return Ok(Some(path.into()));
        }
        if let Some(path) = arg.to_str().and_then(|arg| arg.strip_prefix("--operator=")) {
            return Ok(Some(path.into()));
        }
    }
    Ok(std::env::var_os("LB_OPERATOR").map(PathBuf::from))
}

async fn run(config: Config, control: Option<Control>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    // Guards against SIGHUP ending the program, as it does where nothing takes it.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let (discovery, discovery_now) = watch::channel(config.discovery);
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("LB_LISTEN = {}: {e}", config.listen))?;
    let told = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    tokio::spawn(follow_the_file(hangup, discovery));
    crate::serve_agreed(config, control, listener, discovery_now, told).await
}

/// Rereads the configuration at each SIGHUP and follows its `discovery`. What is wrong with a new file is told,
/// and the old one stays in force.
async fn follow_the_file(mut hangup: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        let read = tokio::task::spawn_blocking(Config::from_env_again).await;
        match read.unwrap_or_else(|e| Err(e.to_string())) {
            Ok(config) => {
                info!(discovery = %config.discovery, "configuration reread");
                discovery
                    .send_if_modified(|old| std::mem::replace(old, config.discovery) != config.discovery);
            }
            Err(problem) => error!("{problem}; the old configuration stays in force"),
        }
    }
}
