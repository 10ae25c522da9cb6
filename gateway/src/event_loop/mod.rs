//! The event loop: the one task that owns the [`Balancer`], the clock, the timers and the open requests.
//!
//! Other tasks send events to the event loop's queue. The event loop hands them to the balancer and performs
//! the actions that the balancer returns. The only decision of the event loop itself is whether an attempt is
//! permitted ([`crate::permit`]).
mod attempts;
mod endpoints;
mod open_requests;
mod timers;

use crate::clock::Clock;
use crate::endpoint_list::EndpointList;
use crate::events::{DiscoveryEvent, GatewayEvent, Request, Response};
use crate::invariants::{Invariant, Violations};
use crate::list_expiry::ListExpiry;
use crate::loop_lag::LoopLag;
use crate::memory::{Memory, MemoryLease};
use crate::memory_budget::Work;
use crate::upstream::{Cancellation, Upstream};
use endpoints::Endpoints;
use open_requests::{OpenRequest, OpenRequests};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{
    Action, Arrival, Balancer, DiscoveryReport, EndpointId, Event, RequestClass, RequestId, SettingsError,
    UpdateKind,
};
use ternstack_settings::Deployment;
use timers::{Timer, Timers};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// The delay of a request's deadline timer beyond the deadline. The runtime rounds timers up to the next
/// millisecond, and the balancer must first handle an attempt that ends at the deadline.
const DEADLINE_TIMER_DELAY: Duration = Duration::from_millis(3);
/// A timer that fires later than this is overdue, because the process was stalled or busy.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);
/// The smallest timeout of a health check, in seconds.
const MIN_HEALTH_CHECK_TIMEOUT_S: f64 = 0.001;
/// The largest timeout of a health check, in seconds.
const MAX_HEALTH_CHECK_TIMEOUT_S: f64 = 60.0;

/// The channels, counters and measurements that an [`EventLoop`] shares with other tasks.
#[derive(Debug)]
pub struct Dependencies {
    /// The connections over which attempts and health checks are sent to endpoints.
    pub upstream: Upstream,
    /// The budget in which the memory of the endpoint list is reserved.
    pub memory: Arc<Memory>,
    /// The channel on which the balancer's requests for a watch of the endpoint list are sent.
    pub watch_requests: mpsc::Sender<()>,
    /// The counters of violated invariants.
    pub violations: Violations,
    /// The measurement of the event loop's lag.
    pub lag: LoopLag,
    /// The time at which the endpoint list expires, which the event loop sets.
    pub list_expiry: ListExpiry,
}

/// The event loop with its state.
pub struct EventLoop {
    balancer: Balancer,
    classes: Vec<RequestClass>,
    max_attempts: usize,
    max_open_requests: usize,
    max_retry_after_ms: f64,
    violations: Violations,
    lag: LoopLag,
    list_expiry: ListExpiry,
    /// The time at which the balancer last said that the list becomes stale.
    list_stale_at_ms: Option<f64>,
    clock: Clock,
    now_ms: f64,
    requests: OpenRequests,
    timers: Timers,
    endpoints: Endpoints,
    /// The memory of the endpoints.
    endpoints_lease: MemoryLease,
    upstream: Upstream,
    /// The health checks in flight. Dropping a sender cancels the health check.
    health_checks: BTreeMap<EndpointId, oneshot::Sender<Cancellation>>,
    health_check_timeout: Duration,
    watch_requests: mpsc::Sender<()>,
    /// The events that the balancer has not handled yet.
    pending_events: VecDeque<Event>,
}

impl EventLoop {
    /// Returns an event loop that uses the cached endpoint list until it receives an update. The age of the cached
    /// list counts from `started_at`.
    ///
    /// # Errors
    /// Fails if the balancer rejects the settings.
    pub fn new(
        deployment: Deployment, seed: u64, cached_list: EndpointList, started_at: Instant,
        dependencies: Dependencies,
    ) -> Result<Self, SettingsError> {
        let Dependencies { upstream, memory, watch_requests, violations, lag, list_expiry } = dependencies;
        let clock = Clock::start_at(started_at);
        // A load report that is older than the shortest latency objective is useless.
        let objectives_ms = deployment.balancer.classes.iter().map(|class| class.latency_objective_ms);
        let health_check_timeout_s = (objectives_ms.fold(f64::INFINITY, f64::min) / 1000.0)
            .clamp(MIN_HEALTH_CHECK_TIMEOUT_S, MAX_HEALTH_CHECK_TIMEOUT_S);
        let mut event_loop = EventLoop {
            max_attempts: deployment.balancer.max_attempts as usize,
            max_open_requests: deployment.max_open_requests,
            classes: deployment.balancer.classes.clone(),
            violations,
            lag,
            list_expiry,
            list_stale_at_ms: None,
            max_retry_after_ms: deployment.balancer.max_retry_after_ms,
            endpoints: Endpoints::new(deployment.names),
            endpoints_lease: memory.lease(Work::Accepted),
            balancer: Balancer::new(deployment.balancer, seed)?,
            now_ms: clock.at(started_at),
            clock,
            requests: OpenRequests::default(),
            timers: Timers::default(),
            upstream,
            health_checks: BTreeMap::new(),
            health_check_timeout: Duration::from_secs_f64(health_check_timeout_s),
            watch_requests,
            pending_events: VecDeque::new(),
        };
        event_loop.apply_cached_list(cached_list);
        Ok(event_loop)
    }

    /// Runs until the event queue closes.
    pub async fn run(mut self, mut events: mpsc::Receiver<GatewayEvent>) {
        loop {
            let (next_due_at, lag) = (self.timers.next_due_at(), self.lag.clone());
            let timer_due = async {
                match next_due_at {
                    Some(due_at) => lag.sleep_until(due_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = timer_due => {}
            }
            self.fire_due_timers();
        }
    }

    fn on_event(&mut self, event: GatewayEvent) {
        match event {
            GatewayEvent::Request(request) => self.on_request(request),
            GatewayEvent::ClientDisconnected(id) => self.on_client_disconnected(id),
            GatewayEvent::AttemptEnded(result) => self.on_attempt_ended(result),
            GatewayEvent::HealthCheckEnded { endpoint, outcome, report } => {
                debug!(endpoint_id = endpoint.0, ?outcome, ?report, "health check ended");
                self.health_checks.remove(&endpoint);
                self.notify_balancer(Event::HealthCheckEnd { endpoint, outcome, report });
            }
            GatewayEvent::Discovery(event) => self.on_discovery(event),
        }
    }

    fn on_discovery(&mut self, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::Update(list) => {
                let kind = if list.is_complete { UpdateKind::Complete } else { UpdateKind::Delta };
                self.apply_list(kind, list);
                // The answer may have waited in the kernel while the process stalled.
                let as_of_ms = self.clock.at(self.lag.earliest_arrival());
                self.notify_balancer(Event::Discovery(DiscoveryReport::Confirmed { as_of_ms }));
            }
            DiscoveryEvent::OutOfReach { as_of } => {
                let as_of_ms = self.clock.at(as_of);
                self.notify_balancer(Event::Discovery(DiscoveryReport::OutOfReach { as_of_ms }));
            }
            DiscoveryEvent::Moved => {
                let at_ms = self.clock.now();
                self.notify_balancer(Event::Discovery(DiscoveryReport::Moved { at_ms }));
            }
            DiscoveryEvent::WatchLost => {
                let endpoints = Vec::new();
                self.notify_balancer(Event::EndpointUpdate { kind: UpdateKind::WatchLost, endpoints });
            }
        }
    }

    /// Fires the timers that are due. After a stall of the process, timers wait until the events that occurred
    /// during the stall have been handled, because a response or a disconnect among them may have come in time.
    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        let is_overdue = self.timers.next_due_at().is_some_and(|due_at| due_at + MAX_TIMER_DELAY <= now);
        if is_overdue && !self.lag.is_caught_up() {
            return;
        }
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer { token } => self.notify_balancer(Event::Timer { token }),
                Timer::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn notify_balancer(&mut self, event: Event) {
        self.pending_events.push_back(event);
        self.handle_pending_events();
    }

    /// Hands the pending events to the balancer and performs the returned actions, until no events are
    /// pending. An action may add further events.
    fn handle_pending_events(&mut self) {
        while let Some(event) = self.pending_events.pop_front() {
            self.now_ms = self.now_ms.max(self.clock.now());
            self.handle_event(event);
        }
    }

    /// Hands one event that occurred at `self.now_ms` to the balancer and performs the returned actions.
    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        self.share_list_expiry();
        for action in actions {
            self.perform(action);
        }
    }

    /// Shares the time at which the endpoint list becomes stale with the attempts under way.
    fn share_list_expiry(&mut self) {
        let stale_at_ms = self.balancer.list_stale_at_ms();
        if stale_at_ms != self.list_stale_at_ms {
            self.list_stale_at_ms = stale_at_ms;
            self.list_expiry.set(stale_at_ms.map(|at_ms| self.clock.instant(at_ms)));
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, give_up_at_ms } => {
                self.send_attempt(request, endpoint, give_up_at_ms);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, reason, retry_after_ms } => {
                debug!(request_id = request.0, ?reason, retry_after_ms, "request rejected");
                self.respond(request, Response::Rejected { retry_after_ms });
            }
            Action::Fail { request } => {
                debug!(request_id = request.0, "request failed");
                self.respond(request, Response::Failed);
            }
            Action::Timer { at_ms, token } => {
                let _ = self.timers.set(self.clock.instant(at_ms), Timer::Balancer { token });
            }
            Action::HealthCheck { endpoint } => self.start_health_check(endpoint),
            // If the channel is full, a watch has already been requested.
            Action::WatchEndpoints => drop(self.watch_requests.try_send(())),
            Action::Log(line) => info!("{line}"),
        }
    }

    /// Sends the response to a request's client connection, unless a response has been sent before.
    fn respond(&mut self, id: RequestId, response: Response) {
        // A timer that stayed until the deadline would keep memory for each request of a fast client.
        if let Some(deadline_timer) = self.requests.respond(id, response) {
            self.timers.cancel(deadline_timer);
        }
    }

    fn on_request(&mut self, request: Request) {
        let Request { id, class, tenant, deadline, .. } = request;
        if self.requests.without_response_count() >= self.max_open_requests {
            // The receiver has been dropped if the client connection has just been closed.
            let _ = request.respond_to.send(Response::Rejected { retry_after_ms: self.max_retry_after_ms });
            return;
        }
        debug!(request_id = id.0, class, tenant, "request received");
        let deadline_timer = self.timers.set(deadline + DEADLINE_TIMER_DELAY, Timer::Deadline(id));
        self.requests.insert(id, OpenRequest::new(request, &self.classes[class], deadline_timer));
        let time_left = deadline.saturating_duration_since(Instant::now());
        let client_timeout_ms = time_left.as_secs_f64() * 1000.0;
        self.notify_balancer(Event::Request(Arrival { request: id, class, tenant, client_timeout_ms }));
    }

    /// Closes the request of a client that has disconnected. Responds at once, because a client that has only
    /// ended its sending side can still read the response.
    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.without_response(id) else { return };
        let response = match self.classes.get(request.class) {
            Some(class) if class.may_reject(request.may_have_run()) => {
                Response::Rejected { retry_after_ms: self.max_retry_after_ms }
            }
            _ => Response::Failed,
        };
        debug!(request_id = id.0, "client disconnected; closing request");
        self.close_request(id, response);
    }

    /// Responds to a request that the balancer has given no response by its deadline. That violates an
    /// invariant, unless the event loop was stalled at the deadline and could decide nothing.
    fn on_deadline(&mut self, id: RequestId) {
        if self.requests.without_response(id).is_none() {
            return;
        }
        let lag_ms = self.lag.at(Instant::now()).as_millis() as u64;
        info!(request_id = id.0, lag_ms, "no response by the deadline");
        if lag_ms == 0 {
            let detail = format_args!("no response by the deadline");
            self.violations.record(Invariant::DecidedInTime, id.0, detail);
        }
        self.close_request(id, Response::TimedOut);
    }

    /// Responds to a request and tells the balancer that its client has disconnected, so that the balancer
    /// sends no further attempts. Attempts that the balancer does not cancel are cancelled here unless they
    /// have been sent completely.
    fn close_request(&mut self, id: RequestId, response: Response) {
        self.respond(id, response);
        self.notify_balancer(Event::ClientDisconnected { request: id });
        let attempts = self.requests.get_mut(id).into_iter().flat_map(|request| &mut request.attempts);
        for cancel in attempts.filter_map(|attempt| attempt.cancel.take()) {
            // The receiver has been dropped if the attempt has ended.
            let _ = cancel.send(Cancellation::IfUnsent);
        }
    }

    /// Applies the cached list at the start of the process, which is the time in `self.now_ms` then.
    fn apply_cached_list(&mut self, list: EndpointList) {
        let update = self.endpoint_update(UpdateKind::Cached, list);
        self.handle_event(update);
        self.forget_unknown_endpoints();
    }

    fn apply_list(&mut self, kind: UpdateKind, list: EndpointList) {
        let update = self.endpoint_update(kind, list);
        self.notify_balancer(update);
        self.forget_unknown_endpoints();
    }

    /// Applies a list to the table of endpoints, and returns the update for the balancer.
    fn endpoint_update(&mut self, kind: UpdateKind, list: EndpointList) -> Event {
        let endpoints = self.endpoints.apply(kind, list, &self.upstream);
        if endpoints.is_empty() && kind != UpdateKind::Delta {
            warn!("endpoint list is empty");
        }
        Event::EndpointUpdate { kind, endpoints }
    }

    fn forget_unknown_endpoints(&mut self) {
        let balancer = &self.balancer;
        self.endpoints.retain(|endpoint| balancer.knows(endpoint));
        self.endpoints_lease.set_bytes(self.endpoints.memory_bytes());
    }
}
