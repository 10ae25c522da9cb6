//! The event loop: the one task that owns the [`Balancer`], with its clock, its timers and the open requests.
//!
//! Other tasks reach it through its event queue. It feeds the balancer with events and carries out the balancer's
//! actions; it makes no decisions of its own, other than whether an attempt is permitted ([`crate::permit`]).
mod attempts;
mod endpoints;
mod open_requests;
mod timers;

use crate::clock::Clock;
use crate::endpoint_list::EndpointList;
use crate::events::{DiscoveryEvent, GatewayEvent, Request, Response};
use crate::invariants::{Invariant, Violations};
use crate::loop_lag::LoopLag;
use crate::upstream::{Cancellation, Upstream};
use endpoints::Endpoints;
use open_requests::{OpenRequest, OpenRequests};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use ternstack_balancer::{
    Action, Arrival, Balancer, EndpointId, Event, RequestClass, RequestId, SettingsError, UpdateKind,
};
use ternstack_settings::Deployment;
use timers::{Timer, Timers};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

/// A request's own deadline timer fires this much after its deadline: the runtime rounds timers up to the next
/// millisecond, and an attempt that ends at the deadline is decided on first.
const DEADLINE_TIMER_DELAY: Duration = Duration::from_millis(3);
/// Bounds of a health check's timeout, in seconds.
const MIN_HEALTH_CHECK_TIMEOUT_S: f64 = 0.001;
const MAX_HEALTH_CHECK_TIMEOUT_S: f64 = 60.0;

/// The tasks and counters that an [`EventLoop`] works with.
#[derive(Debug)]
pub struct Dependencies {
    /// Sends attempts and health checks to endpoints.
    pub upstream: Upstream,
    /// Asks for a watch of the endpoint list.
    pub watch_requests: mpsc::Sender<()>,
    /// Counts violated invariants.
    pub violations: Violations,
    /// How far the event loop lags.
    pub lag: LoopLag,
}

/// The event loop's state.
pub struct EventLoop {
    balancer: Balancer,
    classes: Vec<RequestClass>,
    max_attempts: usize,
    max_open_requests: usize,
    max_retry_after_ms: f64,
    violations: Violations,
    lag: LoopLag,
    clock: Clock,
    now_ms: f64,
    requests: OpenRequests,
    timers: Timers,
    endpoints: Endpoints,
    upstream: Upstream,
    /// The health checks in flight. A sender that is dropped cancels its check.
    health_checks: BTreeMap<EndpointId, oneshot::Sender<Cancellation>>,
    health_check_timeout: Duration,
    watch_requests: mpsc::Sender<()>,
    /// Events for the balancer that have not been handled yet.
    pending_events: VecDeque<Event>,
}

impl EventLoop {
    /// An event loop that starts from the cached endpoint list.
    ///
    /// # Errors
    /// Fails on settings that the balancer cannot work with.
    pub fn new(
        deployment: Deployment, seed: u64, cached_list: EndpointList, dependencies: Dependencies,
    ) -> Result<Self, SettingsError> {
        let Dependencies { upstream, watch_requests, violations, lag } = dependencies;
        let clock = Clock::start();
        // A load report is of no use once it is older than the shortest latency objective.
        let objectives_ms = deployment.balancer.classes.iter().map(|class| class.latency_objective_ms);
        let health_check_timeout_s = (objectives_ms.fold(f64::INFINITY, f64::min) / 1000.0)
            .clamp(MIN_HEALTH_CHECK_TIMEOUT_S, MAX_HEALTH_CHECK_TIMEOUT_S);
        let mut event_loop = EventLoop {
            max_attempts: deployment.balancer.max_attempts as usize,
            max_open_requests: deployment.max_open_requests,
            classes: deployment.balancer.classes.clone(),
            violations,
            lag,
            max_retry_after_ms: deployment.balancer.max_retry_after_ms,
            endpoints: Endpoints::new(deployment.names),
            balancer: Balancer::new(deployment.balancer, seed)?,
            now_ms: clock.now(),
            clock,
            requests: OpenRequests::default(),
            timers: Timers::default(),
            upstream,
            health_checks: BTreeMap::new(),
            health_check_timeout: Duration::from_secs_f64(health_check_timeout_s),
            watch_requests,
            pending_events: VecDeque::new(),
        };
        event_loop.apply_list(UpdateKind::Cached, cached_list);
        Ok(event_loop)
    }

    /// Runs until the event queue closes.
    pub async fn run(mut self, mut events: mpsc::Receiver<GatewayEvent>) {
        loop {
            let next_due_at = self.timers.next_due_at();
            let timer_due = async {
                match next_due_at {
                    Some(due_at) => sleep_until(due_at).await,
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
                self.feed(Event::HealthCheckEnd { endpoint, outcome, report });
            }
            GatewayEvent::Discovery(DiscoveryEvent::WatchLost) => {
                self.feed(Event::EndpointUpdate { kind: UpdateKind::WatchLost, endpoints: Vec::new() });
            }
            GatewayEvent::Discovery(DiscoveryEvent::Update(list)) => {
                let kind = if list.is_complete { UpdateKind::Complete } else { UpdateKind::Delta };
                self.apply_list(kind, list);
            }
        }
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer { token } => self.feed(Event::Timer { token }),
                Timer::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn feed(&mut self, event: Event) {
        self.pending_events.push_back(event);
        self.handle_pending_events();
    }

    /// Hands the balancer the pending events and carries out its actions, including those on events that these
    /// actions cause.
    fn handle_pending_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.now_ms = self.now_ms.max(self.clock.now());
            self.balancer.handle(self.now_ms, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, give_up_at_ms } => {
                self.send_attempt(request, endpoint, give_up_at_ms);
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Reject { request, reason, retry_after_ms } => {
                debug!(request_id = request.0, ?reason, retry_after_ms, "request rejected");
                self.requests.respond(request, Response::Rejected { retry_after_ms });
            }
            Action::Fail { request } => {
                debug!(request_id = request.0, "request failed");
                self.requests.respond(request, Response::Failed);
            }
            Action::Timer { at_ms, token } => {
                self.timers.set(self.clock.instant(at_ms), Timer::Balancer { token });
            }
            Action::HealthCheck { endpoint } => self.start_health_check(endpoint),
            // A full channel means that a watch has been asked for already.
            Action::WatchEndpoints => drop(self.watch_requests.try_send(())),
            Action::Log(line) => info!("{line}"),
        }
    }

    fn on_request(&mut self, request: Request) {
        let Request { id, class, tenant, deadline, raw, respond_to } = request;
        if self.requests.without_response_count() >= self.max_open_requests {
            // The receiver is gone if the client's connection has just ended.
            let _ = respond_to.send(Response::Rejected { retry_after_ms: self.max_retry_after_ms });
            return;
        }
        debug!(request_id = id.0, class, tenant, "request");
        self.requests.insert(id, OpenRequest::new(class, deadline, raw, respond_to));
        self.timers.set(deadline + DEADLINE_TIMER_DELAY, Timer::Deadline(id));
        let time_left = deadline.saturating_duration_since(Instant::now());
        let client_timeout_ms = time_left.as_secs_f64() * 1000.0;
        self.feed(Event::Request(Arrival { request: id, class, tenant, client_timeout_ms }));
    }

    /// Responds at once, since a client that has only ended its sending side still reads.
    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.without_response(id) else { return };
        let response = match self.classes.get(request.class) {
            Some(class) if class.may_reject(request.may_have_run()) => {
                Response::Rejected { retry_after_ms: self.max_retry_after_ms }
            }
            _ => Response::Failed,
        };
        debug!(request_id = id.0, "client disconnected; request closed");
        self.close_request(id, response);
    }

    /// Responds to a request that the balancer has left without a response. That is a fault unless the event loop
    /// stalled over the deadline, when nothing could be decided.
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

    /// Ends a request whatever the balancer would do with it. The balancer sends no further attempts; those that it
    /// may not cancel are stopped unless they have been sent completely.
    fn close_request(&mut self, id: RequestId, response: Response) {
        self.requests.respond(id, response);
        self.feed(Event::ClientDisconnected { request: id });
        let attempts = self.requests.get_mut(id).into_iter().flat_map(|request| &mut request.attempts);
        for cancel in attempts.filter_map(|attempt| attempt.cancel.take()) {
            // The receiver is gone if the attempt has ended.
            let _ = cancel.send(Cancellation::IfUnsent);
        }
    }

    fn apply_list(&mut self, kind: UpdateKind, list: EndpointList) {
        let endpoints = self.endpoints.apply(kind, list, &self.upstream);
        if endpoints.is_empty() && kind != UpdateKind::Delta {
            warn!("the endpoint list is empty");
        }
        self.feed(Event::EndpointUpdate { kind, endpoints });
        let balancer = &self.balancer;
        self.endpoints.retain(|endpoint| balancer.knows(endpoint));
    }
}
