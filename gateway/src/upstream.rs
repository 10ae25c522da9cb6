//! Attempts: connections to servers, sending, and how each attempt ended.
//!
//! A connection is a task that carries one attempt at a time. While it is idle it waits for the next one, for the
//! server to close, or for its time to be up; the most recently used idle connection is taken first.
use crate::descriptors::Descriptors;
use crate::http1::{Reader, Status, Whole, MAX_BODY};
use crate::invariants::{Invariant, Violations};
use crate::loop_lag::catch_up;
use crate::permit::{Denial, FirstByte};
use crate::requests::{AttemptDone, Input, Queue, RawRequest, LOAD};
use crate::sockets::{self, is_local, opened};
use bytes::{Buf, Bytes};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use ternstack_balancer::{EndpointId, LoadReport, Outcome, RequestId};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};
use tracing::debug;

/// A connection is closed after this part of the time in which the server would close it.
const IDLE_PART: f64 = 0.9;
/// An answer that has begun may pause for so long; one that stops in its middle is spoilt.
const ANSWER_GAP: Duration = Duration::from_millis(250);
/// A connection rests for so long after an answer, also where its next attempt is there before. Bytes that come behind
/// an answer some milliseconds later show themselves then, and end the connection; once another request is out there
/// they would be taken for its answer. The attempt waits rather than to take a new connection: those that servers
/// hold cost them work all day.
const REST: Duration = Duration::from_millis(10);
/// The time that a server is told may be over what is left to the client by so much. An attempt that is not sent whole so
/// long after its time was stamped is given up: the server has not begun on it, and would be told too much.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);
/// Marks an answer of 503 or 504 to what has not been run.
const NOT_RUN: &str = "X-Unprocessed";

/// What a connection is asked to carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Errand {
    /// A request.
    Request {
        /// The request.
        id: RequestId,
        /// The attempt's number among the request's, in send order.
        number: u32,
    },
    /// A question for the server's load report, where the settings permit it.
    Probe,
}

/// How far an attempt is to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Unless it has been sent whole: nobody waits for it any more, yet what a server may have begun on runs on.
    Unsent,
    /// Sent or not.
    All,
}

/// One attempt to have a request served, or a probe answered, by a server.
#[derive(Debug)]
pub struct Attempt {
    /// What it is for.
    pub errand: Errand,
    /// The server it goes to.
    pub server: EndpointId,
    /// The server's present life: it ends with its address, its start or its service.
    pub life: Weak<()>,
    /// Where the server listens.
    pub address: SocketAddr,
    /// What is sent.
    pub raw: RawRequest,
    /// When it is given up.
    pub until: Instant,
    /// For a repeat that servers drop for a while only: when it must have been sent whole.
    pub send_by: Option<Instant>,
    /// Fires when it is to stop; a sender that is dropped stops all of it.
    pub stopped: oneshot::Receiver<Stop>,
}

impl Attempt {
    /// How an attempt ends that was begun and not sent whole: it never ran.
    fn not_sent_whole(&self) -> Outcome {
        if self.is_late() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Whether the time in which a repeat may still be sent is over.
    fn is_late(&self) -> bool {
        self.send_by.is_some_and(|by| by <= Instant::now())
    }
}

/// An idle connection, as the pool sees it.
#[derive(Debug)]
struct Idle {
    number: u64,
    next: oneshot::Sender<Attempt>,
}

#[derive(Debug, Default)]
struct Pool {
    idle: BTreeMap<EndpointId, Vec<Idle>>,
    last: u64,
}

/// The way to the servers: all connections to them.
#[derive(Clone, Debug)]
pub struct Upstream {
    pool: Arc<Mutex<Pool>>,
    queue: Queue,
    descriptors: Arc<Descriptors>,
    violations: Violations,
    idle_for: Duration,
    dial_timeout: Duration,
}

impl Upstream {
    /// Connections within the budget of `descriptors`, each closed when it has been idle for a little less than `idle_ms`.
    pub fn new(queue: Queue, descriptors: Arc<Descriptors>, idle_ms: f64, dial_timeout: Duration) -> Self {
        let idle_for = Duration::from_secs_f64((idle_ms * IDLE_PART / 1000.0).min(86_400.0));
        let violations = Violations::default();
        Upstream { pool: Arc::default(), queue, descriptors, violations, idle_for, dial_timeout }
    }

    /// Counts what must never happen where the whole gateway does.
    pub fn counting(mut self, violations: Violations) -> Self {
        self.violations = violations;
        self
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an attempt on its way: over an idle connection if there is one, else over a new one.
    pub fn start(&self, mut attempt: Attempt) {
        loop {
            let idle = self.pool().idle.get_mut(&attempt.server).and_then(Vec::pop);
            let Some(idle) = idle else { break };
            // A connection that has just closed gives the attempt back, with nothing sent.
            match idle.next.send(attempt) {
                Ok(()) => return,
                Err(back) => attempt = back,
            }
        }
        let slot = self.slot();
        let upstream = self.clone();
        tokio::spawn(async move {
            match slot {
                Some(slot) => carry(upstream, slot, attempt).await,
                None => upstream.end(&attempt, Outcome::NotSent, None).await,
            }
        });
    }

    /// Closes the idle connections to a server.
    pub fn forget(&self, server: EndpointId) {
        self.pool().idle.remove(&server);
    }

    /// Counts a new connection. Guards against running out of sockets: past the budget, the connection that has
    /// been idle for longest makes room; if none is idle, a client's does that waits; else nothing can be sent.
    fn slot(&self) -> Option<Slot> {
        if !self.descriptors.has_room() && self.end_oldest() {
            self.descriptors.replace_server();
        } else if !self.descriptors.open_server() {
            return None;
        }
        Some(Slot(self.clone()))
    }

    /// Ends the connection that has been idle for longest, if any is.
    fn end_oldest(&self) -> bool {
        let mut pool = self.pool();
        let oldest = pool.idle.iter().filter_map(|(server, row)| Some((row.first()?.number, *server))).min();
        let Some(row) = oldest.and_then(|oldest| pool.idle.get_mut(&oldest.1)) else { return false };
        drop(row.remove(0));
        true
    }

    /// Offers an idle connection; what it is to carry next comes out of the receiver.
    fn offer(&self, server: EndpointId) -> (u64, oneshot::Receiver<Attempt>) {
        let (next, attempt) = oneshot::channel();
        let mut pool = self.pool();
        pool.last += 1;
        let number = pool.last;
        pool.idle.entry(server).or_default().push(Idle { number, next });
        (number, attempt)
    }

    fn withdraw(&self, server: EndpointId, number: u64) {
        let mut pool = self.pool();
        if let Some(row) = pool.idle.get_mut(&server) {
            row.retain(|idle| idle.number != number);
            if row.is_empty() {
                pool.idle.remove(&server);
            }
        }
    }

    async fn end(&self, attempt: &Attempt, outcome: Outcome, answer: Option<Whole<Status>>) {
        let text = answer.as_ref().map(|a| match attempt.errand {
            Errand::Request { .. } => a.fields.text(LOAD).unwrap_or(""),
            Errand::Probe => std::str::from_utf8(&a.body).unwrap_or(""),
        });
        let report = text.map(read_report).unwrap_or_default();
        let input = match attempt.errand {
            Errand::Request { id: request, number } => {
                let answer = answer.filter(|_| outcome == Outcome::Served);
                Input::AttemptDone(AttemptDone {
                    request,
                    number,
                    outcome,
                    at: Instant::now(),
                    report,
                    answer,
                })
            }
            Errand::Probe => Input::Probed { server: attempt.server, outcome, report },
        };
        // The queue only closes when the gateway ends.
        let _ = self.queue.send(input).await;
    }
}

/// A counted connection.
struct Slot(Upstream);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.descriptors.close_server();
    }
}

/// A connection's life: dialled for a first attempt, it carries attempts until one leaves it unfit for more.
async fn carry(upstream: Upstream, _slot: Slot, mut attempt: Attempt) {
    let mut decided = Instant::now();
    let stream = match dial(&upstream, &mut attempt).await {
        Ok(stream) => stream,
        Err(outcome) => return upstream.end(&attempt, outcome, None).await,
    };
    loop {
        let mut reader = Reader::new(MAX_BODY);
        let (outcome, answer) = exchange(&upstream, &stream, &mut reader, &mut attempt, decided).await;
        // Guards against a new server at an old address, or one that started anew: it gets new connections only.
        let same = attempt.life.strong_count() > 0;
        let fit = same && answer.as_ref().is_some_and(|a| a.keep_alive) && reader.is_idle();
        if !fit {
            debug!(server = attempt.server.0, ?outcome, same, "closing a connection to a server");
            // Closed before the end is told: the module may send another attempt at once, and never are two out.
            drop(stream);
            return upstream.end(&attempt, outcome, answer).await;
        }
        let rested = Instant::now() + REST;
        let (number, mut next) = upstream.offer(attempt.server);
        upstream.end(&attempt, outcome, answer).await;
        attempt.raw = RawRequest::default(); // An idle connection holds no request's bytes.
        drop(reader);
        let up = Instant::now() + upstream.idle_for;
        attempt = tokio::select! {
            biased;
            next = &mut next => match next {
                Ok(attempt) => attempt,
                Err(_) => return, // Closed to make room, or since the server left.
            },
            () = unfit(&stream) => return upstream.withdraw(attempt.server, number),
            _ = sleep_until(up) => return upstream.withdraw(attempt.server, number),
        };
        decided = Instant::now();
        tokio::select! {
            biased;
            _ = &mut attempt.stopped => {
                drop(stream);
                return upstream.end(&attempt, Outcome::NotSent, None).await;
            }
            // A server that closed a moment ago, or says more than it was asked: nothing is sent yet, so this attempt
            // takes another connection, and nothing is sent twice.
            () = unfit(&stream) => return upstream.start(attempt),
            () = sleep_until(rested) => {}
        }
    }
}

/// Whether a connection is up with nothing to read from it.
fn is_silent(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    matches!(read, Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted))
}

/// Waits until an idle connection ends or brings bytes that nobody asked for.
async fn unfit(stream: &TcpStream) {
    // Guards against readiness left over from the last answer: only a look tells.
    while stream.readable().await.is_ok() && is_silent(stream) {}
}

/// Opens a connection; the outcome if none comes up.
async fn dial(upstream: &Upstream, attempt: &mut Attempt) -> Result<TcpStream, Outcome> {
    let until = attempt.until.min(Instant::now() + upstream.dial_timeout);
    let until = attempt.send_by.map_or(until, |by| by.min(until));
    let dialled = tokio::select! {
        biased;
        _ = &mut attempt.stopped => return Err(Outcome::NotSent),
        dialled = timeout_at(until, TcpStream::connect(attempt.address)) => dialled,
    };
    match dialled.map(opened) {
        Ok(Ok(stream)) => Ok(stream),
        // Guards against blaming the server for this machine's lack of descriptors or ports.
        Ok(Err(e)) if is_local(&e) => Err(Outcome::NotSent),
        Err(_) if attempt.is_late() => Err(Outcome::NotSent),
        _ => Err(Outcome::ConnectFailed),
    }
}

/// Sends an attempt that was `decided` at some moment and waits for its answer, until it is given up or stopped.
async fn exchange(
    upstream: &Upstream, stream: &TcpStream, reader: &mut Reader<Status>, attempt: &mut Attempt,
    decided: Instant,
) -> (Outcome, Option<Whole<Status>>) {
    // Guards against a connection that took its time, or a process that stood still: what happened meanwhile counts.
    catch_up(decided).await;
    if let Err(denial) = may_begin(attempt) {
        debug!(errand = ?attempt.errand, ?denial, "not sent");
        return (Outcome::NotSent, None);
    }
    if let Err(outcome) = send(upstream, stream, attempt).await {
        return (outcome, None);
    }
    tokio::select! {
        biased;
        () = called_off(&mut attempt.stopped) => (Outcome::Cancelled, None),
        end = receive(stream, reader) => end,
        _ = sleep_until(attempt.until) => (Outcome::ResponseTimeout, None),
    }
}

/// Whether an attempt's first byte may be written now.
fn may_begin(attempt: &mut Attempt) -> Result<(), Denial> {
    FirstByte {
        until: attempt.until,
        send_by: attempt.send_by,
        server_in_service: attempt.life.strong_count() > 0,
        waiting: matches!(attempt.stopped.try_recv(), Err(TryRecvError::Empty)),
    }
    .check(Instant::now())
}

/// Writes an attempt whole; the outcome where that fails. Without its last byte the server cannot have begun on it.
async fn send(upstream: &Upstream, stream: &TcpStream, attempt: &mut Attempt) -> Result<(), Outcome> {
    let stamped = Instant::now();
    let by = attempt.send_by.map_or(attempt.until, |by| by.min(attempt.until)).min(stamped + TOLD_SLACK);
    tokio::select! {
        biased;
        _ = &mut attempt.stopped => return Err(Outcome::NotSent),
        sent = write(stream, &attempt.raw, attempt.until - stamped, by) => {
            sent.map_err(|_| attempt.not_sent_whole())?;
        }
        () = sleep_until(by) => return Err(attempt.not_sent_whole()),
    }
    let took = stamped.elapsed();
    if took > TOLD_SLACK + HELD_UP {
        if let Errand::Request { id, number } = attempt.errand {
            let detail = format_args!(
                "attempt {number} was written {} ms after its time was stamped",
                took.as_millis()
            );
            upstream.violations.record(Invariant::TimeTold, id.0, detail);
        }
    }
    Ok(())
}

/// Waits until what has been sent is called off, maybe for ever.
async fn called_off(stopped: &mut oneshot::Receiver<Stop>) {
    if let Ok(Stop::Unsent) = stopped.await {
        std::future::pending().await
    }
}

async fn write(stream: &TcpStream, raw: &RawRequest, left: Duration, by: Instant) -> io::Result<()> {
    let before = raw.before.clone().chain(Bytes::from(left.as_millis().to_string()));
    let mut bytes = before.chain(raw.after.clone()).chain(raw.body.clone());
    sockets::write_all_while(stream, &mut bytes, || Instant::now() < by).await
}

async fn receive(stream: &TcpStream, reader: &mut Reader<Status>) -> (Outcome, Option<Whole<Status>>) {
    let mut ended = false;
    loop {
        match reader.next(ended) {
            Ok(Some(answer)) => return (outcome(&answer), Some(answer)),
            Ok(None) if ended => return (Outcome::ConnectionLost, None),
            Ok(None) => {}
            Err(_) => return (Outcome::ServerError, None),
        }
        let begun = reader.has_begun();
        let read = sockets::read(stream, reader.buffer());
        // Guards against a length that does not fit: what is missing never comes, and the server has answered.
        match timeout(if begun { ANSWER_GAP } else { Duration::MAX }, read).await {
            Ok(Ok(read)) => ended = read == 0,
            Ok(Err(_)) => return (Outcome::ConnectionLost, None),
            Err(_) => return (Outcome::ServerError, None),
        }
    }
}

/// What an answer says of whether the request has run.
fn outcome(answer: &Whole<Status>) -> Outcome {
    match answer.start.0 {
        200 => Outcome::Served,
        503 | 504 if answer.fields.get(NOT_RUN) == Some(b"1") => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}

/// Reads a load report: `util=0.5,qps=20`, or the same as a JSON object, as a probe's answer may hold it.
/// Guards against a module that hears nothing: servers write a value by the settings' name (`utilization`) or by
/// the operators' (`util`). What cannot be read, or is no number from 0 up, is left out: a report is advice.
pub fn read_report(text: &str) -> LoadReport {
    let mut report = LoadReport::default();
    let mut take = |name: &str, value: Option<f64>| {
        let value = value.filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "utilization" | "util" => report.utilization = value,
            "throughput" | "qps" => report.throughput_per_s = value,
            "backlog" | "queue" => report.queue_length = value,
            _ => {}
        }
    };
    if let Ok(object) = serde_json::from_str::<serde_json::Map<String, serde_json::Value>>(text) {
        object.iter().for_each(|(name, value)| take(name, value.as_f64()));
    } else {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        pairs.for_each(|(name, value)| take(name.trim(), value.trim().parse().ok()));
    }
    report
}
