//! The gateway around ternstack's decisions, one module for each stage of a request.
//!
//! [`listener`] takes requests from clients, [`decide`] is the one task that owns the
//! [`Balancer`](ternstack_balancer::Balancer), [`upstream`] carries requests to servers, [`answer`] words what
//! the client gets, and [`discovery`] follows discovery's list. [`http1`] parses and frames bytes, [`clock`]
//! tells the time, [`requests`] is what these tell each other, [`config`] reads what the gateway is told at its
//! start. [`permit`] decides whether an attempt may begin, [`invariants`] counts what must never happen, [`loop_lag`] tells
//! how long the process stood still. [`budget`] decides who holds a descriptor and who gives way, [`descriptors`] tells them; [`sockets`]
//! makes a new connection fit for use; [`program`] is the whole as a process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod answer;
pub mod budget;
pub mod clock;
pub mod config;
pub mod control;
pub mod decide;
pub mod descriptors;
pub mod discovery;
pub mod http1;
pub mod invariants;
pub mod listener;
pub mod loop_lag;
pub mod permit;
pub mod program;
pub mod requests;
pub mod sockets;
pub mod upstream;

use config::Config;
use control::Control;
use decide::Decider;
use descriptors::Descriptors;
use invariants::Violations;
use listener::{Front, Phase, ENDING, SPARE};
use loop_lag::LoopLag;
use requests::QUEUE;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};
use upstream::Upstream;

/// Descriptors that are no client's and no server's: the listener, discovery, the runtime, the log, connections that
/// gave way and are ending, some spare.
const OWN_SOCKETS: usize = 16 + ENDING;
/// Once the gateway is told to stop, new connections come for so long, with a little to spare.
const NEW_COME: Duration = Duration::from_millis(550);
/// After idle connections have ended, a request that crossed such an end has so long to come again.
const COME_AGAIN: Duration = Duration::from_millis(150);
/// All must be over this long after the longest deadline, counted from the last moment in which a request is taken.
const LAST: Duration = Duration::from_millis(500);

/// Serves until `told` to stop, and then until nothing is owed. `discovery` tells where discovery answers now.
/// It needs a current-thread runtime.
pub async fn serve(
    config: Config, listener: TcpListener, discovery: watch::Receiver<SocketAddr>,
    told: impl Future<Output = ()>,
) -> Result<(), String> {
    serve_agreed(config, None, listener, discovery, told).await
}

/// The same; where there is a `control`, what is agreed on there takes the place of discovery, which is not asked.
pub async fn serve_agreed(
    config: Config, control: Option<Control>, listener: TcpListener, discovery: watch::Receiver<SocketAddr>,
    told: impl Future<Output = ()>,
) -> Result<(), String> {
    let Config { name, seed, sockets, known, site, .. } = config;
    let as_read = control.is_some().then(|| known.clone());
    let known = if control.is_some() { control::renamed(known) } else { known };
    let listen = listener.local_addr().map_err(|e| format!("LB_LISTEN: {e}"))?;
    let (queue, inputs) = mpsc::channel(QUEUE);
    let (watch_wanted, watch_asked) = mpsc::channel(1);
    let (phase, phase_now) = watch::channel(Phase::Serving);

    let dial_timeout = Duration::from_secs_f64(site.dial_timeout_ms / 1000.0);
    let longest = site.balancer.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let descriptors = Descriptors::new(sockets.saturating_sub(OWN_SOCKETS + SPARE));
    let (violations, lag) = (Violations::default(), LoopLag::default());
    let upstream = Upstream::new(
        queue.clone(),
        descriptors.clone(),
        site.balancer.connection_idle_timeout_ms,
        dial_timeout,
    )
    .counting(violations.clone());
    let (rev, servers) = (known.rev, known.targets.len());
    // A known list of any revision, 0 too, saves discovery the whole one.
    let held = (servers > 0).then_some(rev);
    // Where lists are pushed each gateway has its own to call, and waits for nobody.
    let others = if site.balancer.poll_discovery { site.balancer.gateway_count } else { 1 };
    let turn = discovery::turn(site.balancer.gateway_index.min(others - 1), others);
    if !site.balancer.poll_discovery {
        // Guards against pushed lists that nobody reads: on sockets a watch is what they come on.
        watch_wanted.try_send(()).map_err(|e| format!("discovery: {e}"))?;
    }
    let decider =
        Decider::new(site.clone(), seed, known, upstream, watch_wanted, violations.clone(), lag.clone())?;
    let front = Front::new(site, queue.clone(), phase_now, descriptors, lag.clone());

    let measuring = tokio::spawn(lag.run());
    let mut deciding = tokio::spawn(decider.run(inputs));
    let mut following = match control {
        Some(control) => {
            tokio::spawn(control::follow(control, as_read.unwrap_or_default(), watch_asked, queue))
        }
        None => tokio::spawn(discovery::follow(discovery, dial_timeout, held, turn, watch_asked, queue)),
    };
    let mut accepting = tokio::spawn(front.clone().accept(listener));
    info!(name, %listen, servers, rev, "serving");
    tokio::select! {
        () = told => {}
        // Without any of these nothing can be decided, taken or heard: better started anew than here and deaf.
        _ = &mut deciding => return Err("the deciding task has ended".into()),
        _ = &mut following => return Err("the task that follows the endpoint list has ended".into()),
        _ = &mut accepting => return Err("the accepting task has ended".into()),
    }

    info!("stopping");
    phase.send_replace(Phase::Stopping);
    sleep(NEW_COME).await;
    phase.send_replace(Phase::Closing);
    // Guards against leaving a client alone whose request crossed the end of an idle connection.
    sleep(COME_AGAIN).await;
    // What comes from here on might not be answered before the process is killed, so it is not taken.
    phase.send_replace(Phase::Refusing);
    let last = Instant::now() + Duration::from_secs_f64(longest / 1000.0) + LAST;
    tokio::select! {
        () = async {
            // A task that fails has dropped its listener as well.
            let _ = accepting.await;
            front.empty().await;
        } => info!("nothing is owed"),
        () = sleep_until(last) => warn!("out of time with connections still open"),
    }
    for task in [deciding, following, measuring] {
        task.abort();
    }
    info!(violations = violations.total(), "stopped");
    Ok(())
}
