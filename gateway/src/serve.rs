//! The start of the gateway's tasks, and their graceful shutdown.
use crate::budgets::{Budgets, ProcessLimits};
use crate::config::Config;
use crate::control::{self, ControlConfig};
use crate::discovery::{self, FollowConfig};
use crate::endpoint_list::EndpointList;
use crate::event_loop::{Dependencies, EventLoop};
use crate::events::{DiscoveryAddressReceiver, EventSender, EVENT_QUEUE_CAPACITY};
use crate::invariants::Violations;
use crate::list_expiry::ListExpiry;
use crate::listener::{Frontend, ShutdownPhase, MAX_LINGERING_CONNECTIONS, MAX_SPARE_CONNECTIONS};
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

/// The number of descriptors outside the budget of client and upstream connections: those of the listener,
/// discovery, the runtime, the log and lingering evicted connections, and a margin.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_LINGERING_CONNECTIONS;
/// How long the gateway still serves requests as usual after SIGTERM. Under the platform's protocol, new
/// connections arrive for up to 0.4 s after the signal; the rest is a margin.
const STOPPING_DURATION: Duration = Duration::from_millis(550);
/// How long the gateway accepts further connections after idle connections have been closed. A client whose
/// request crossed the close of an idle connection sends the request again within this time.
const CLOSING_DURATION: Duration = Duration::from_millis(150);
/// How long the shutdown waits beyond the longest deadline of the requests that were read before the gateway
/// began to reject requests.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// The reason why a gateway did not start, or ended without being stopped.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The local address of the listener cannot be determined.
    #[error("LB_LISTEN: cannot determine the listener's address: {0}")]
    Listener(#[source] io::Error),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A task that the gateway depends on has ended. The process should be restarted.
    #[error("{task} ended unexpectedly")]
    TaskEnded {
        /// A description of the task, for the error message.
        task: &'static str,
    },
}

/// Serves until `stop` completes, and then shuts down gracefully: returns once no client is connected or the
/// time for the shutdown has passed. `discovery` yields discovery's address. Must run on a current-thread
/// runtime.
///
/// # Errors
/// Fails if the gateway cannot start, or if one of its tasks ends before `stop` completes.
pub async fn serve(
    config: Config, listener: TcpListener, discovery: DiscoveryAddressReceiver,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    serve_with_control(config, None, listener, discovery, stop).await
}

/// Serves as [`serve`] does. If `control` is given, the endpoint list comes from the control servers and
/// discovery is not polled.
///
/// # Errors
/// Fails if the gateway cannot start, or if one of its tasks ends before `stop` completes.
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

/// The tasks of a running gateway, and the state that the shutdown needs.
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
        let budgets = budgets(&config);
        let Config { name, seed, started_at, cached_list, mut deployment, .. } = config;
        if control.is_some() {
            // Control servers have no drains that count before they have reached the gateway.
            deployment.balancer.drain_grace_ms = None;
        }
        let address = listener.local_addr().map_err(ServeError::Listener)?;
        let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (watch_requests, watch_request_queue) = watch_request_channel(&deployment);
        let (phase, phase_receiver) = watch::channel(ShutdownPhase::Serving);
        let (violations, lag) = (Violations::default(), LoopLag::default());
        let list_expiry = ListExpiry::default();
        let upstream = new_upstream(&deployment, events.clone(), &budgets)
            .with_violations(violations.clone())
            .with_lag(lag.clone())
            .with_list_expiry(list_expiry.clone());
        let longest_deadline = longest_deadline(&deployment);
        let list_source =
            ListSource::new(control, discovery, &deployment, &cached_list, &budgets, lag.clone());
        let cached_list = list_source.initial_list(cached_list);
        let (revision, endpoints) = (cached_list.revision, cached_list.endpoints.len());
        let dependencies = Dependencies {
            upstream,
            memory: budgets.memory.clone(),
            watch_requests,
            violations: violations.clone(),
            lag: lag.clone(),
            list_expiry,
        };
        let event_loop = EventLoop::new(deployment.clone(), seed, cached_list, started_at, dependencies)?;
        let frontend = Frontend::new(deployment, events.clone(), phase_receiver, budgets, lag.clone());

        let lag_monitor = tokio::spawn(lag.run());
        let event_loop = tokio::spawn(event_loop.run(event_queue));
        let list_follower = list_source.spawn(watch_request_queue, events);
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

    /// Waits until a task that the gateway depends on ends.
    async fn task_ended(&mut self) -> ServeError {
        let task = tokio::select! {
            _ = &mut self.event_loop => "the event loop",
            _ = &mut self.list_follower => "the endpoint list's follower",
            _ = &mut self.accept_loop => "the accept loop",
        };
        ServeError::TaskEnded { task }
    }

    /// Shuts down gracefully: goes through the shutdown phases, and waits until every client connection has
    /// been closed or the time for the shutdown has passed.
    async fn shut_down(self) {
        info!("graceful shutdown begun");
        self.phase.send_replace(ShutdownPhase::Stopping);
        sleep(STOPPING_DURATION).await;
        self.phase.send_replace(ShutdownPhase::Closing);
        sleep(CLOSING_DURATION).await;
        // Requests are rejected from here on, because the platform might kill the process before they get a
        // response.
        self.phase.send_replace(ShutdownPhase::Rejecting);
        let drain_until = Instant::now() + self.longest_deadline + DRAIN_GRACE;
        let drained = async {
            // An accept loop that has failed has closed the listener as well, so its error does not matter
            // here.
            let _ = self.accept_loop.await;
            self.frontend.wait_until_drained().await;
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

/// Returns the channel on which the event loop requests a watch of the endpoint list.
fn watch_request_channel(deployment: &Deployment) -> (mpsc::Sender<()>, mpsc::Receiver<()>) {
    let (watch_requests, watch_request_queue) = mpsc::channel(1);
    if !deployment.balancer.poll_discovery {
        // Pushed lists also arrive on a watch, which the balancer does not request, so the first request is
        // made here. The new channel has room for it.
        let _ = watch_requests.try_send(());
    }
    (watch_requests, watch_request_queue)
}

/// Returns the budgets that client and upstream connections share.
fn budgets(config: &Config) -> Budgets {
    Budgets::new(ProcessLimits {
        descriptors: config.max_sockets.saturating_sub(RESERVED_DESCRIPTORS + MAX_SPARE_CONNECTIONS),
        spare_descriptors: MAX_SPARE_CONNECTIONS,
        memory_bytes: config.max_memory_bytes,
        cores: config.cores,
    })
}

fn new_upstream(deployment: &Deployment, events: EventSender, budgets: &Budgets) -> Upstream {
    let connect_timeout = Duration::from_secs_f64(deployment.connect_timeout_ms / 1000.0);
    let idle_timeout_ms = deployment.balancer.connection_idle_timeout_ms;
    Upstream::new(events, budgets.descriptors.clone(), idle_timeout_ms, connect_timeout)
        .with_memory(budgets.memory.clone())
}

fn longest_deadline(deployment: &Deployment) -> Duration {
    let deadlines_ms = deployment.balancer.classes.iter().map(|class| class.deadline_ms);
    Duration::from_secs_f64(deadlines_ms.fold(0.0, f64::max) / 1000.0)
}

/// The source of the endpoint list.
enum ListSource {
    /// The control servers supply the list.
    Control {
        control: Box<ControlConfig>,
        /// The cached list with the endpoint names of the configuration.
        cached_list: EndpointList,
    },
    /// Discovery supplies the list.
    Discovery { address: DiscoveryAddressReceiver, config: FollowConfig },
}

impl ListSource {
    fn new(
        control: Option<ControlConfig>, address: DiscoveryAddressReceiver, deployment: &Deployment,
        cached_list: &EndpointList, budgets: &Budgets, lag: LoopLag,
    ) -> Self {
        if let Some(control) = control {
            return ListSource::Control { control: Box::new(control), cached_list: cached_list.clone() };
        }
        // If lists are pushed, each gateway polls a discovery instance of its own, so that renewals need no
        // stagger.
        let gateway_count =
            if deployment.balancer.poll_discovery { deployment.balancer.gateway_count } else { 1 };
        let index = deployment.balancer.gateway_index.min(gateway_count - 1);
        let config = FollowConfig {
            connect_timeout: Duration::from_secs_f64(deployment.connect_timeout_ms / 1000.0),
            // Discovery continues a non-empty cached list with changes, even if its revision is 0.
            revision: (!cached_list.endpoints.is_empty()).then_some(cached_list.revision),
            renewal_delay: discovery::renewal_delay(index, gateway_count),
            list_lifetime: deployment
                .balancer
                .list_lifetime_ms()
                .map(|lifetime_ms| Duration::from_secs_f64(lifetime_ms / 1000.0)),
            memory: budgets.memory.clone(),
            lag,
        };
        ListSource::Discovery { address, config }
    }

    /// Returns the cached list that the event loop starts from, with the endpoint names that this source
    /// uses.
    fn initial_list(&self, cached_list: EndpointList) -> EndpointList {
        match self {
            ListSource::Control { .. } => control::with_replicated_uids(cached_list),
            ListSource::Discovery { .. } => cached_list,
        }
    }

    /// Spawns the task that follows the endpoint list and sends the updates to the event loop.
    fn spawn(self, watch_request_queue: mpsc::Receiver<()>, events: EventSender) -> JoinHandle<()> {
        match self {
            ListSource::Control { control, cached_list } => {
                tokio::spawn(control::follow(*control, cached_list, watch_request_queue, events))
            }
            ListSource::Discovery { address, config } => {
                tokio::spawn(discovery::follow(address, config, watch_request_queue, events))
            }
        }
    }
}
