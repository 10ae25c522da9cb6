//! A gateway's tasks: how they are started, and how they end in a graceful shutdown.
use crate::config::Config;
use crate::control::{self, ControlConfig};
use crate::descriptors::Descriptors;
use crate::discovery::{self, FollowConfig};
use crate::endpoint_list::EndpointList;
use crate::event_loop::{Dependencies, EventLoop};
use crate::events::{DiscoveryAddressReceiver, EventSender, EVENT_QUEUE_COUNT};
use crate::invariants::Violations;
use crate::listener::{Frontend, ShutdownPhase, LINGERING_CONNECTION_COUNT, SPARE_CONNECTION_COUNT};
use crate::loop_lag::LoopLag;
use crate::upstream::Upstream;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::SettingsError;
use ternstack_settings::Deployment;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{info, warn};

/// Descriptors that are neither clients' nor servers': the listener, discovery, the runtime, the log, evicted connections
/// that linger, and some spare.
const RESERVED_DESCRIPTOR_COUNT: usize = 16 + LINGERING_CONNECTION_COUNT;
/// How long the gateway goes on as usual after SIGTERM. The platform's protocol has new connections arrive for up to 0.4 s
/// more; the rest is a margin.
const STOPPING_TIME: Duration = Duration::from_millis(550);
/// How long a request that has crossed the end of an idle connection may take to be sent again.
const CLOSING_TIME: Duration = Duration::from_millis(150);
/// The shutdown ends this long after the longest deadline of a request that was read before it rejects requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Why a gateway has not started, or has ended before it was told to.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The listener has no address.
    #[error("LB_LISTEN: {0}")]
    Listener(#[source] io::Error),
    /// The balancer cannot work with the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A task without which the gateway cannot work has ended; the process is best restarted.
    #[error("{task} has ended")]
    TaskEnded {
        /// The task.
        task: &'static str,
    },
}

/// Serves until `stop` completes, and then until no client is connected. `discovery` yields discovery's address. Needs a
/// current-thread runtime.
///
/// # Errors
/// Fails if the gateway cannot start, or one of its tasks ends.
pub async fn serve(
    config: Config, listener: TcpListener, discovery: DiscoveryAddressReceiver,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    serve_with_control(config, None, listener, discovery, stop).await
}

/// As [`serve`]. With a `control` the endpoint list comes from the control servers, and discovery is not polled.
///
/// # Errors
/// As [`serve`].
pub async fn serve_with_control(
    config: Config, control: Option<ControlConfig>, listener: TcpListener,
    discovery: DiscoveryAddressReceiver, stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let mut gateway = Gateway::start(config, control, listener, discovery)?;
    tokio::select! {
        () = stop => {}
        error = gateway.task_ended() => return Err(error),
    }
    gateway.shut_down().await;
    Ok(())
}

/// A running gateway.
struct Gateway {
    frontend: Arc<Frontend>,
    phase: watch::Sender<ShutdownPhase>,
    violations: Violations,
    longest_deadline: Duration,
    event_loop: JoinHandle<()>,
    list_follower: JoinHandle<()>,
    accept_loop: JoinHandle<()>,
    lag_monitor: JoinHandle<()>,
}

impl Gateway {
    fn start(
        config: Config, control: Option<ControlConfig>, listener: TcpListener,
        discovery: DiscoveryAddressReceiver,
    ) -> Result<Self, ServeError> {
        let Config { name, seed, max_sockets, cached_list, deployment, .. } = config;
        let address = listener.local_addr().map_err(ServeError::Listener)?;
        let (events, event_queue) = mpsc::channel(EVENT_QUEUE_COUNT);
        let (watch_requests, watch_requested) = watch_request_channel(&deployment);
        let (phase, phase_now) = watch::channel(ShutdownPhase::Serving);
        let (violations, lag) = (Violations::default(), LoopLag::default());
        let descriptors = budgeted_descriptors(max_sockets);
        let upstream = new_upstream(&deployment, events.clone(), descriptors.clone())
            .with_violations(violations.clone());
        let longest_deadline = longest_deadline(&deployment);
        let list_source = ListSource::new(control, discovery, &deployment, &cached_list);
        let cached_list = list_source.initial_list(cached_list);
        let (revision, endpoints) = (cached_list.revision, cached_list.endpoints.len());
        let dependencies =
            Dependencies { upstream, watch_requests, violations: violations.clone(), lag: lag.clone() };
        let event_loop = EventLoop::new(deployment.clone(), seed, cached_list, dependencies)?;
        let frontend = Frontend::new(deployment, events.clone(), phase_now, descriptors, lag.clone());

        let lag_monitor = tokio::spawn(lag.run());
        let event_loop = tokio::spawn(event_loop.run(event_queue));
        let list_follower = list_source.spawn(watch_requested, events);
        let accept_loop = tokio::spawn(frontend.clone().accept(listener));
        info!(name, listen = %address, endpoints, revision, "serving");
        Ok(Gateway {
            frontend,
            phase,
            violations,
            longest_deadline,
            event_loop,
            list_follower,
            accept_loop,
            lag_monitor,
        })
    }

    /// Waits until a task ends that the gateway cannot work without.
    async fn task_ended(&mut self) -> ServeError {
        let task = tokio::select! {
            _ = &mut self.event_loop => "the event loop",
            _ = &mut self.list_follower => "the endpoint list's follower",
            _ = &mut self.accept_loop => "the accept loop",
        };
        ServeError::TaskEnded { task }
    }

    /// Shuts down gracefully: goes through the phases, and waits until every client has its response.
    async fn shut_down(self) {
        info!("graceful shutdown begun");
        self.phase.send_replace(ShutdownPhase::Stopping);
        sleep(STOPPING_TIME).await;
        self.phase.send_replace(ShutdownPhase::Closing);
        sleep(CLOSING_TIME).await;
        // A request that is read from here on might not have its response before the process is killed.
        self.phase.send_replace(ShutdownPhase::Rejecting);
        let drain_until = Instant::now() + self.longest_deadline + DRAIN_GRACE;
        let drained = async {
            // A task that has failed has closed its listener as well.
            let _ = self.accept_loop.await;
            self.frontend.wait_until_empty().await;
        };
        tokio::select! {
            () = drained => info!("graceful shutdown complete"),
            () = sleep_until(drain_until) => warn!("graceful shutdown timed out with connections still open"),
        }
        for task in [self.event_loop, self.list_follower, self.lag_monitor] {
            task.abort();
        }
        info!(violations = self.violations.total(), "stopped");
    }
}

/// The channel of the event loop's requests for a watch.
fn watch_request_channel(deployment: &Deployment) -> (mpsc::Sender<()>, mpsc::Receiver<()>) {
    let (watch_requests, watch_requested) = mpsc::channel(1);
    if !deployment.balancer.poll_discovery {
        // Pushed lists arrive on a watch too, which the balancer does not request then. The channel is empty.
        let _ = watch_requests.try_send(());
    }
    (watch_requests, watch_requested)
}

/// The descriptors that clients and endpoints share, out of `max_sockets`.
fn budgeted_descriptors(max_sockets: usize) -> Arc<Descriptors> {
    Descriptors::new(max_sockets.saturating_sub(RESERVED_DESCRIPTOR_COUNT + SPARE_CONNECTION_COUNT))
}

fn new_upstream(deployment: &Deployment, events: EventSender, descriptors: Arc<Descriptors>) -> Upstream {
    let connect_timeout = Duration::from_secs_f64(deployment.connect_timeout_ms / 1000.0);
    Upstream::new(events, descriptors, deployment.balancer.connection_idle_timeout_ms, connect_timeout)
}

fn longest_deadline(deployment: &Deployment) -> Duration {
    let deadlines_ms = deployment.balancer.classes.iter().map(|class| class.deadline_ms);
    Duration::from_secs_f64(deadlines_ms.fold(0.0, f64::max) / 1000.0)
}

/// Where the endpoint list comes from.
enum ListSource {
    /// From the control servers.
    Control {
        control: Box<ControlConfig>,
        /// The cached list as it was configured.
        cached_list: EndpointList,
    },
    /// From discovery.
    Discovery { address: DiscoveryAddressReceiver, config: FollowConfig },
}

impl ListSource {
    fn new(
        control: Option<ControlConfig>, address: DiscoveryAddressReceiver, deployment: &Deployment,
        cached_list: &EndpointList,
    ) -> Self {
        if let Some(control) = control {
            return ListSource::Control { control: Box::new(control), cached_list: cached_list.clone() };
        }
        // Where lists are pushed, each gateway polls a discovery of its own and has no others to wait for.
        let gateway_count =
            if deployment.balancer.poll_discovery { deployment.balancer.gateway_count } else { 1 };
        let index = deployment.balancer.gateway_index.min(gateway_count - 1);
        let config = FollowConfig {
            connect_timeout: Duration::from_secs_f64(deployment.connect_timeout_ms / 1000.0),
            // A cached list of any revision, 0 too, is continued with changes.
            revision: (!cached_list.endpoints.is_empty()).then_some(cached_list.revision),
            renewal_delay: discovery::renewal_delay(index, gateway_count),
        };
        ListSource::Discovery { address, config }
    }

    /// The list that the event loop starts from, with endpoint names as this source has them.
    fn initial_list(&self, cached_list: EndpointList) -> EndpointList {
        match self {
            ListSource::Control { .. } => control::with_replicated_uids(cached_list),
            ListSource::Discovery { .. } => cached_list,
        }
    }

    /// Starts to follow the list.
    fn spawn(self, watch_requested: mpsc::Receiver<()>, events: EventSender) -> JoinHandle<()> {
        match self {
            ListSource::Control { control, cached_list } => {
                tokio::spawn(control::follow(*control, cached_list, watch_requested, events))
            }
            ListSource::Discovery { address, config } => {
                tokio::spawn(discovery::follow(address, config, watch_requested, events))
            }
        }
    }
}
