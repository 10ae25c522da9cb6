//! The gateway's program: reads its configuration, starts the log, and serves until it is told to stop.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use ternstack_gateway::config::Config;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tracing::error;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Lines that may wait for the log; beyond that they are dropped, so that no reader of it holds up a message.
const LOG_LINES: usize = 1024;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(problem) => {
            eprintln!("ternstack-gateway: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let (log, _written_at_the_end) =
        NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(config.log).with_ansi(false).with_writer(log).init();
    match run(config).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("{problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run(config: Config) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("LB_LISTEN = {}: {e}", config.listen))?;
    let told = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    ternstack_gateway::serve(config, listener, told).await
}
