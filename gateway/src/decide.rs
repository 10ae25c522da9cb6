//! The one task that owns the [`Balancer`], with its clock, its timers and the open requests. All else reaches
//! it through its queue. It carries out what the module decides, and decides nothing itself.
use crate::clock::Clock;
use crate::invariants::{Invariant, Violations};
use crate::loop_lag::LoopLag;
use crate::permit::{Denial, Earlier, Home, NextAttempt};
use crate::requests::{Answer, AttemptDone, EndpointList, Input, News, RawRequest, Request, State};
use crate::upstream::{Attempt, Errand, Stop, Upstream};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use ternstack_balancer::{
    Action, Arrival, AttemptEnd, Balancer, EndpointId, EndpointRecord, Event, Idempotency, LoadReport,
    Outcome, Readiness, RequestClass, RequestId, UpdateKind,
};
use ternstack_settings::{spread, Names, Site};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, Instant};
use tracing::{debug, info, warn};

/// A request that has no final answer yet, or still has attempts out.
struct Open {
    class: usize,
    answer_to: Option<oneshot::Sender<Answer>>,
    deadline: Instant,
    raw: RawRequest,
    attempts: Vec<Sent>,
    out: usize,
}

struct Sent {
    server: EndpointId,
    at: f64,
    earlier: Earlier, // As the request's next attempts see it.
    stop: Option<oneshot::Sender<Stop>>,
}

enum Due {
    Timer(u64),
    Deadline(RequestId),
}

/// A server as last listed.
struct Listed {
    uid: String,
    endpoint: Option<SocketAddr>,
    home: Home,
    boot_ms: f64,
    life: Arc<()>,
}

/// Timers fire in steps of a millisecond, rounded up: so much later the end of an attempt that runs to its request's
/// deadline has been told, and decided on.
const TIMER_GRAIN: Duration = Duration::from_millis(3);

/// A probe, up to the time left.
const PROBE: &[u8] = b"GET /status/load HTTP/1.1\r\nHost: backend.local\r\nX-Time-Left-Ms: ";

/// The deciding task's state.
pub struct Decider {
    balancer: Balancer,
    names: Names,
    max_attempts: usize,
    max_open: usize,
    classes: Vec<RequestClass>,
    violations: Violations,
    lag: LoopLag,
    refusal_ms: f64,
    clock: Clock,
    now: f64,
    open: BTreeMap<RequestId, Open>,
    unanswered: usize,
    due: BTreeMap<(Instant, u64), Due>,
    last_due: u64,
    numbers: HashMap<String, EndpointId>,
    servers: BTreeMap<EndpointId, Listed>,
    last_server: u32,
    upstream: Upstream,
    probes: BTreeMap<EndpointId, oneshot::Sender<Stop>>, // Those out; a dropped sender calls its probe off.
    probe_for: Duration,
    watch: mpsc::Sender<()>,
    events: VecDeque<Event>,
}

impl Decider {
    /// A module that has been given the warm copy. `watch` takes its wishes to hear from discovery.
    pub fn new(
        site: Site, seed: u64, known: EndpointList, upstream: Upstream, watch: mpsc::Sender<()>,
        violations: Violations, lag: LoopLag,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        // A report that is older than what the most hurried request takes is worth nothing.
        let aim_ms =
            site.balancer.classes.iter().map(|c| c.latency_objective_ms).fold(f64::INFINITY, f64::min);
        let mut decider = Decider {
            max_attempts: site.balancer.max_attempts as usize,
            max_open: site.max_open,
            classes: site.balancer.classes.clone(),
            violations,
            lag,
            refusal_ms: site.balancer.max_retry_after_ms,
            names: site.names,
            balancer: Balancer::new(site.balancer, seed).map_err(|e| e.to_string())?,
            now: clock.now(),
            clock,
            open: BTreeMap::new(),
            unanswered: 0,
            due: BTreeMap::new(),
            last_due: 0,
            numbers: HashMap::new(),
            servers: BTreeMap::new(),
            last_server: 0,
            upstream,
            probes: BTreeMap::new(),
            probe_for: Duration::from_secs_f64((aim_ms / 1000.0).clamp(0.001, 60.0)),
            watch,
            events: VecDeque::new(),
        };
        decider.list(UpdateKind::Cached, known);
        Ok(decider)
    }

    /// Decides until the queue closes.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        loop {
            let next = self.due.first_key_value().map(|((at, _), _)| *at);
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = due => {}
            }
            self.fire();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request(request) => self.request(request),
            Input::Gone(id) => self.gone(id),
            Input::AttemptDone(end) => self.attempt_done(end),
            Input::Probed { server, outcome, report } => {
                debug!(server = server.0, ?outcome, ?report, "probed");
                self.probes.remove(&server);
                self.feed(Event::HealthCheckEnd { endpoint: server, outcome, report });
            }
            Input::Discovery(News::Lost) => {
                self.feed(Event::EndpointUpdate { kind: UpdateKind::WatchLost, endpoints: Vec::new() });
            }
            Input::Discovery(News::Listed(endpoints)) => {
                let kind = if endpoints.all { UpdateKind::Complete } else { UpdateKind::Delta };
                self.list(kind, endpoints);
            }
        }
    }

    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        self.settle();
    }

    /// Hands the module what has happened, carries out its actions, and hands on what comes of them at once.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.now = self.now.max(self.clock.now());
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint: server, give_up_at_ms: until } => {
                self.send(request, server, until)
            }
            Action::Cancel { request, attempt } => {
                let sent =
                    self.open.get_mut(&request).and_then(|open| open.attempts.get_mut(attempt as usize));
                if let Some(stop) = sent.and_then(|sent| sent.stop.take()) {
                    // An attempt that has just ended takes no notice.
                    let _ = stop.send(Stop::All);
                }
            }
            Action::Reject { request, reason: cause, retry_after_ms } => {
                debug!(id = request.0, ?cause, "refused");
                self.answer(request, Answer::Refused { retry_after_ms });
            }
            Action::Fail { request } => {
                debug!(id = request.0, "failed");
                self.answer(request, Answer::Failed);
            }
            Action::Timer { at_ms: at, token } => self.set(self.clock.instant(at), Due::Timer(token)),
            Action::HealthCheck { endpoint: server } => self.probe(server),
            // A full channel means that a watch is already wanted.
            Action::WatchEndpoints => drop(self.watch.try_send(())),
            Action::Log(line) => info!("{line}"),
        }
    }

    fn set(&mut self, at: Instant, due: Due) {
        self.last_due += 1;
        self.due.insert((at, self.last_due), due);
    }

    /// Handles what is due.
    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            match entry.remove() {
                Due::Timer(token) => self.feed(Event::Timer { token }),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn request(&mut self, request: Request) {
        let Request { id, class, tenant, deadline, raw, answer_to } = request;
        if self.unanswered >= self.max_open {
            // A client that has left needs no answer.
            let _ = answer_to.send(Answer::Refused { retry_after_ms: self.refusal_ms });
            return;
        }
        debug!(id = id.0, class, tenant, "request");
        self.unanswered += 1;
        let answer_to = Some(answer_to);
        self.open.insert(id, Open { class, answer_to, deadline, raw, attempts: Vec::new(), out: 0 });
        self.set(deadline + TIMER_GRAIN, Due::Deadline(id));
        let left = deadline.saturating_duration_since(Instant::now());
        let patience_ms = left.as_secs_f64() * 1000.0;
        self.feed(Event::Request(Arrival { request: id, class, tenant, client_timeout_ms: patience_ms }));
    }

    /// Sends a request's next attempt, unless it may not begin: then it has ended, never sent.
    fn send(&mut self, id: RequestId, server: EndpointId, until: f64) {
        let until = self.clock.instant(until);
        let Some(open) = self.open.get_mut(&id) else {
            let detail = format_args!("an attempt of a request that is not open");
            return self.violations.record(Invariant::NothingAfterTheAnswer, id.0, detail);
        };
        let Some(class) = self.classes.get(open.class) else { return };
        let listed = self.servers.get(&server);
        let address = listed.and_then(|s| Some((s.endpoint?, s.home, Arc::downgrade(&s.life))));
        let until = until.min(open.deadline);
        let earlier: Vec<Earlier> = open.attempts.iter().map(|sent| sent.earlier).collect();
        let next = NextAttempt {
            class,
            earlier: &earlier,
            max_attempts: self.max_attempts,
            waiting: open.answer_to.is_some(),
            until,
            home: address.as_ref().map(|(_, home, _)| *home),
        };
        let permitted = next.check(Instant::now());
        let first = earlier.iter().find(|attempt| attempt.may_have_run);
        let send_by = first.and_then(|first| first.window_ends);
        let number = open.attempts.len() as u32;
        let home = next.home.unwrap_or(Home { zone: 0, cell: 0 });
        let window_ends = (class.idempotency == Idempotency::IdempotentWithKey)
            .then(|| self.clock.instant(self.now + class.deduplication_window_ms));
        let (stop, stopped) = oneshot::channel();
        let this = Earlier { home, window_ends, may_have_run: true, out: true };
        open.attempts.push(Sent { server, at: self.now, earlier: this, stop: Some(stop) });
        open.out += 1;
        match (permitted, address) {
            (Ok(()), Some((address, _, life))) => {
                debug!(id = id.0, number, server = server.0, "sending");
                let (errand, raw) = (Errand::Request { id, number }, open.raw.clone());
                self.upstream.start(Attempt { errand, server, life, address, raw, until, send_by, stopped });
            }
            (denied, _) => {
                let denial = denied.err().unwrap_or(Denial::NoServer);
                debug!(id = id.0, number, server = server.0, ?denial, "not sent");
                if let Some(invariant) = denial.violates() {
                    let detail = format_args!("attempt {number} at server {}: {denial:?}", server.0);
                    self.violations.record(invariant, id.0, detail);
                }
                self.end(id, number, Outcome::NotSent, 0.0, LoadReport::default());
            }
        }
    }

    /// Asks a server for its load report, over a connection like any other attempt's. Guards against a server that is
    /// asked again while it does not answer.
    fn probe(&mut self, server: EndpointId) {
        let address = self.servers.get(&server).and_then(|s| Some((s.endpoint?, Arc::downgrade(&s.life))));
        let Some((address, life)) = address.filter(|_| !self.probes.contains_key(&server)) else { return };
        let (stop, stopped) = oneshot::channel();
        self.probes.insert(server, stop);
        self.upstream.start(Attempt {
            errand: Errand::Probe,
            server,
            life,
            address,
            raw: RawRequest {
                before: Bytes::from_static(PROBE),
                after: Bytes::from_static(b"\r\n\r\n"),
                body: Bytes::new(),
            },
            until: Instant::now() + self.probe_for,
            send_by: None,
            stopped,
        });
    }

    fn attempt_done(&mut self, end: AttemptDone) {
        let AttemptDone { request: id, number, outcome, at, report, answer } = end;
        let Some(sent) = self.open.get(&id).and_then(|open| open.attempts.get(number as usize)) else {
            let detail = format_args!("attempt {number}");
            return self.violations.record(Invariant::AttemptKnown, id.0, detail);
        };
        let latency_ms = (self.clock.at(at) - sent.at).max(0.0);
        if let Some(listed) = self.servers.get(&sent.server) {
            let (busy, per_s) = (report.utilization, report.throughput_per_s);
            let age_ms = if listed.boot_ms > 0.0 { Some(self.now - listed.boot_ms) } else { None };
            debug!(
                id = id.0,
                number,
                server = listed.uid,
                age_ms,
                ?outcome,
                latency_ms,
                busy,
                per_s,
                "attempt"
            );
        }
        // The first 200 is the request's answer.
        if let Some(served) = answer {
            self.answer(id, Answer::Served(served));
        }
        self.end(id, number, outcome, latency_ms, report);
        self.settle();
    }

    /// Notes the end of an attempt for the module, and forgets the request once nothing of it is left.
    fn end(&mut self, id: RequestId, number: u32, outcome: Outcome, latency_ms: f64, report: LoadReport) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(sent) = open.attempts.get_mut(number as usize) else { return };
        sent.earlier.may_have_run = !outcome.never_ran();
        sent.earlier.out = false;
        let (request, attempt, server) = (id, number, sent.server);
        let complete = open.answer_to.is_none();
        open.out -= 1;
        self.events.push_back(Event::AttemptEnd(AttemptEnd {
            request,
            attempt,
            endpoint: server,
            outcome,
            latency_ms,
            request_complete: complete,
            report,
        }));
        self.forget(id);
    }

    /// Gives the final answer, unless it has been given.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(answer_to) = self.open.get_mut(&id).and_then(|open| open.answer_to.take()) else { return };
        self.unanswered -= 1;
        // If the client has just left, nobody needs it.
        let _ = answer_to.send(answer);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|open| open.answer_to.is_none() && open.out == 0) {
            self.open.remove(&id);
        }
    }

    /// Its client has left. It is answered at once all the same, for a client that has only ended its sending side.
    fn gone(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|open| open.answer_to.is_some()) else { return };
        let ran = open.attempts.iter().any(|sent| sent.earlier.may_have_run);
        let answer = match self.classes.get(open.class) {
            Some(class) if class.may_reject(ran) => Answer::Refused { retry_after_ms: self.refusal_ms },
            _ => Answer::Failed,
        };
        debug!(id = id.0, "its client has left");
        self.finish(id, answer);
    }

    /// The deadline timer. Guards against a module that leaves a request unanswered: its client is told in time all
    /// the same.
    fn overdue(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|open| open.answer_to.is_some()) {
            let lag_ms = self.lag.behind(Instant::now()).as_millis() as u64;
            info!(id = id.0, lag_ms, "no answer by the deadline");
            // Where the process stood still over the deadline, nothing could be decided.
            if lag_ms == 0 {
                self.violations.record(
                    Invariant::DecidedInTime,
                    id.0,
                    format_args!("no answer by the deadline"),
                );
            }
            self.finish(id, Answer::Overdue);
        }
    }

    /// Ends a request whatever the module would do with it. Guards against an attempt that begins after that: the
    /// module sends none, those it may not call off are stopped while they are not sent whole.
    fn finish(&mut self, id: RequestId, answer: Answer) {
        self.answer(id, answer);
        self.feed(Event::ClientDisconnected { request: id });
        let stops = self.open.get_mut(&id).into_iter().flat_map(|open| &mut open.attempts);
        for stop in stops.filter_map(|sent| sent.stop.take()) {
            // One that has ended takes no notice.
            let _ = stop.send(Stop::Unsent);
        }
    }

    fn number(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(uid) {
            return *id;
        }
        let id = EndpointId(self.last_server);
        self.last_server += 1;
        self.numbers.insert(uid.to_string(), id);
        let home = Home { zone: 0, cell: 0 };
        let listed = Listed { uid: uid.to_string(), endpoint: None, home, boot_ms: 0.0, life: Arc::new(()) };
        self.servers.insert(id, listed);
        id
    }

    /// Follows the endpoint list. Servers go by their uid; connections go with the address and the start.
    fn list(&mut self, kind: UpdateKind, endpoints: EndpointList) {
        let mut members = Vec::with_capacity(endpoints.targets.len());
        for entry in endpoints.targets {
            let server = self.number(&entry.uid);
            let Some(listed) = self.servers.get_mut(&server) else { continue };
            let moved = listed.endpoint != entry.endpoint || listed.boot_ms != entry.boot_ms;
            if moved || entry.state != State::Serving {
                listed.life = Arc::new(());
                self.upstream.forget(server);
            }
            (listed.endpoint, listed.boot_ms) = (entry.endpoint.or(listed.endpoint), entry.boot_ms);
            listed.home = Home { zone: self.names.zone(&entry.az), cell: entry.pod_group };
            members.push(EndpointRecord {
                endpoint: server,
                zone: listed.home.zone,
                cell: listed.home.cell,
                hash: spread(&entry.uid),
                weight: entry.capacity_hint,
                readiness: match entry.state {
                    State::Serving => Readiness::Active,
                    State::Draining => Readiness::Draining,
                    State::Deleted => Readiness::Removed,
                },
                started_at_ms: entry.boot_ms,
            });
        }
        if kind == UpdateKind::Complete {
            let named: HashSet<EndpointId> = members.iter().map(|member| member.endpoint).collect();
            for (server, listed) in self.servers.iter_mut() {
                if !named.contains(server) {
                    listed.life = Arc::new(());
                    self.upstream.forget(*server);
                }
            }
        }
        if members.is_empty() && kind != UpdateKind::Delta {
            warn!("the list of servers is empty");
        }
        self.feed(Event::EndpointUpdate { kind, endpoints: members });
        // Guards against a table that grows with each server that ever was: what the module has forgotten goes.
        let balancer = &self.balancer;
        self.servers.retain(|server, _| balancer.knows(*server));
        self.numbers.retain(|_, server| balancer.knows(*server));
    }
}
