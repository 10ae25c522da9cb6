//! The gateway's program: reads its configuration, puts the parts together, and ends in good order.
#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;
use ternstack_gateway::config::Config;
use ternstack_gateway::decide::{Decider, QUEUE};
use ternstack_gateway::intake::{Intake, Phase};
use ternstack_gateway::inventory;
use ternstack_gateway::relay::SouthSide;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::info;
use tracing_appender::non_blocking::NonBlockingBuilder;

/// Descriptors that are no client's and no host's: the listener, discovery, the runtime, the log, some to spare.
const OWN_SOCKETS: usize = 24;
/// After SIGTERM new connections come for so long, with a little to spare.
const NEW_COME: Duration = Duration::from_millis(550);
/// After SIGTERM all must be over this long after the longest deadline.
const LAST: Duration = Duration::from_millis(600);
/// Lines that may wait for the log; beyond that lines are dropped, so that no reader of it can hold up a message.
const LOG_LINES: usize = 1024;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("ternstack-gateway: {problem}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let config = Config::from_env()?;
    let (log, _flushed_at_the_end) =
        NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES).finish(std::io::stderr());
    tracing_subscriber::fmt().with_max_level(config.log).with_ansi(false).with_writer(log).init();

    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let listener =
        TcpListener::bind(config.listen).await.map_err(|e| format!("LB_LISTEN = {}: {e}", config.listen))?;
    let (queue, inputs) = mpsc::channel(QUEUE);
    let (watch_wanted, watch_asked) = mpsc::channel(1);
    let (phase, phase_now) = watch::channel(Phase::Serving);

    let site = config.site;
    let dial_timeout = Duration::from_secs_f64(site.dial_timeout_ms / 1000.0);
    let sockets = config.sockets.saturating_sub(OWN_SOCKETS);
    let south = SouthSide::new(queue.clone(), sockets / 2, site.balancer.idle_ms, dial_timeout);
    let longest = site.balancer.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let rev = config.known.rev;
    let hosts = config.known.targets.len();
    let decider = Decider::new(site.clone(), config.seed, config.known, south, watch_wanted)?;
    let intake = Intake::new(site, queue.clone(), phase_now, sockets - sockets / 2);

    tokio::spawn(decider.run(inputs));
    tokio::spawn(inventory::follow(config.discovery, dial_timeout, rev, watch_asked, queue));
    tokio::spawn(intake.clone().accept(listener));
    info!(name = config.name, listen = %config.listen, hosts, rev, "serving");

    term.recv().await;
    let told = Instant::now();
    let last = told + Duration::from_secs_f64(longest / 1000.0) + LAST;
    info!("stopping");
    phase.send_replace(Phase::Stopping);
    sleep(NEW_COME).await;
    phase.send_replace(Phase::Closing);
    tokio::select! {
        () = intake.empty() => info!("nothing is owed"),
        () = sleep_until(last) => info!("out of time"),
    }
    Ok(())
}
