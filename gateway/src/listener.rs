//! The platform's front: the listener, clients' connections, and HTTP requests made into the program's own.
//!
//! Nothing of HTTP goes further than the opaque bytes of a raw request, so that another front could stand beside
//! this one and hand the same kind of [`Request`] to the same queue.
use crate::answer::{Plain, Wording};
use crate::budget::Doing;
use crate::descriptors::{Descriptor, Descriptors};
use crate::http1::{Ask, Reader, Whole, MAX_BODY};
use crate::loop_lag::LoopLag;
use crate::requests::{Answer, Input, Queue, RawRequest, Request};
use crate::sockets::{self, concerns_one_connection, lacks_descriptors, opened};
use bytes::{Buf, Bytes, BytesMut};
use std::collections::HashSet;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_balancer::{Idempotency, RequestId};
use ternstack_settings::Site;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tracing::{debug, warn};

/// A request must have come whole this long after its first byte, and a first one after the connection: whoever
/// sends what never ends is owed an error within 3 s.
const READ_TIME: Duration = Duration::from_millis(2500);
/// An answer must have been taken this long after it was written.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// A client's connection may stand idle for so long. Clients that ask once keep theirs for good, and what they
/// hold is missing where others want to connect.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// After the last answer, what the client is still sending is read for so long, lest the answer be lost.
const LINGER: Duration = Duration::from_millis(500);
/// So many bytes are read at once in that time, with a pause after each, lest a flood cost the others their CPU.
const LINGER_BYTES: usize = 64 * 1024;
const LINGER_PAUSE: Duration = Duration::from_millis(5);
/// What a client sends while its request is open is kept up to so many bytes; what comes beyond is read and thrown
/// away, so that its leaving is noticed, and the connection ends with the answer.
const EARLY: usize = 4 * 1024;
/// A client that sends more than so much beyond its request does not wait for the answer: it counts as having left.
const FLOOD: usize = 1 << 20;
/// The pause after each piece of what is thrown away, lest a flood cost the others their CPU.
const FLOOD_PAUSE: Duration = Duration::from_millis(1);
/// A connection that comes while the gateway closes has so long to send its request.
const LATE_COMER: Duration = Duration::from_millis(100);
/// As the listener goes, failed accepts are made again for so long at most.
const LAST_ACCEPTS: Duration = Duration::from_millis(200);
/// Bytes that are read so soon after their connection was accepted may have come long before.
const AT_ONCE: Duration = Duration::from_millis(20);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// A lack of descriptors is told of at most this often.
const WARN_PAUSE: Duration = Duration::from_secs(5);
/// So many clients past the budget are taken in for a refusal.
pub const SPARE: usize = 24;
/// So many connections that gave way may still be read on for a moment while they end.
pub const ENDING: usize = 8;

/// Tells a client that waits for it to send its body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

const ID: &str = "X-Correlation-Id";
const CLASS: &str = "X-Service-Class";
const TENANT: &str = "X-Account";
const TIME_LEFT: &str = "X-Time-Left-Ms";
const KEY: &str = "Idempotency-Key";

/// How far the gateway's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It serves what still comes, one request a connection.
    Stopping,
    /// It ends connections that stand idle.
    Closing,
    /// It accepts nobody any more, and refuses what still comes on connections that it has.
    Refusing,
}

/// What all connections of this front share.
pub struct Front {
    site: Site,
    queue: Queue,
    phase: watch::Receiver<Phase>,
    last: AtomicU64,
    descriptors: Arc<Descriptors>,
    spare: Arc<Semaphore>,
    ending: Semaphore,
    live: AtomicUsize,
    ids: Mutex<HashSet<Bytes>>,
    refusal_ms: f64,
    lag: LoopLag,
}

/// A connection that is being served, from its accept on.
struct Live(Arc<Front>);

impl Live {
    fn new(front: Arc<Front>) -> Self {
        front.live.fetch_add(1, Ordering::Relaxed);
        Live(front)
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        self.0.live.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What lets a connection in.
enum Entry {
    /// A descriptor, and what tells that it is given away.
    Descriptor(Descriptor, oneshot::Receiver<()>),
    /// None: it gets a refusal only.
    Spare(OwnedSemaphorePermit),
}

/// The id of an open request, which no other may bear until this one has its answer.
struct OpenId<'a> {
    front: &'a Front,
    id: Bytes,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        held(&self.front.ids).remove(&self.id);
    }
}

fn held<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Front {
    /// A front whose clients share the budget of `descriptors` with the servers.
    pub fn new(
        site: Site, queue: Queue, phase: watch::Receiver<Phase>, descriptors: Arc<Descriptors>, lag: LoopLag,
    ) -> Arc<Self> {
        Arc::new(Front {
            lag,
            refusal_ms: site.balancer.max_retry_after_ms,
            site,
            queue,
            phase,
            last: AtomicU64::new(0),
            descriptors,
            spare: Arc::new(Semaphore::new(SPARE)),
            ending: Semaphore::new(ENDING),
            live: AtomicUsize::new(0),
            ids: Mutex::default(),
        })
    }

    /// Accepts clients until the gateway accepts nobody any more. Guards against connections that are up and not
    /// accepted when the listener goes: they would be reset with the requests that they brought.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.accept_all(&listener) => {}
            // The sender lives as long as the program.
            _ = phase.wait_for(|phase| *phase >= Phase::Refusing) => {}
        }
        match listener.into_std() {
            Ok(listener) => self.accept_waiting(&listener).await,
            Err(e) => warn!("cannot accept who waits: {e}"),
        }
    }

    /// Accepts who waits as the listener goes.
    async fn accept_waiting(self: &Arc<Self>, listener: &std::net::TcpListener) {
        let last = Instant::now() + LAST_ACCEPTS;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if concerns_one_connection(&e) && Instant::now() < last => continue,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock && Instant::now() < last => {
                    warn!("cannot accept: {e}; trying again");
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
                Err(_) => return,
            };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            match (opened(stream), self.spare.clone().try_acquire_owned()) {
                (Ok(stream), Ok(spare)) => drop(self.enter(stream, spare, Instant::now())),
                (Err(e), _) => debug!("client: {e}"),
                (_, Err(_)) => warn!("too many clients at the end: one is left without an answer"),
            }
        }
    }

    async fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        let mut warned: Option<Instant> = None;
        // Since when connections may have been waiting: from the last moment in which none was.
        let mut waiting: Option<Instant> = None;
        loop {
            // Guards against clients that wait unheard: where there is no descriptor and nobody gives way, a few more
            // are taken in and told to come back later. Beyond these the listener's own queue has to do.
            let Ok(spare) = self.spare.clone().acquire_owned().await else { return };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => {
                    waiting = None;
                    listener.accept().await
                }
            };
            let since = *waiting.get_or_insert_with(|| self.lag.arrival());
            match opened(accepted.map(|(stream, _)| stream)) {
                Ok(stream) => {
                    if self.enter(stream, spare, since) {
                        // Guards against holding more than there may be: who gives way ends before the next comes.
                        tokio::task::yield_now().await;
                    }
                }
                // Nothing is wrong with the listener.
                Err(e) if concerns_one_connection(&e) => debug!("cannot accept a connection: {e}"),
                // Guards against a busy loop while this machine lacks something: others go on, and end.
                Err(e) => {
                    if warned.is_none_or(|at| at.elapsed() >= WARN_PAUSE) {
                        warn!("cannot accept: {e}; trying again");
                        warned = Some(Instant::now());
                    }
                    if lacks_descriptors(&e) {
                        self.descriptors.make_room();
                    }
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Takes a client in, whose connection may have waited since some moment; true if another one has given way, which has
    /// yet to end.
    fn enter(self: &Arc<Self>, stream: TcpStream, spare: OwnedSemaphorePermit, since: Instant) -> bool {
        let (entry, made_room) = match self.descriptors.enter() {
            Some((descriptor, ended, made_room)) => (Entry::Descriptor(descriptor, ended), made_room),
            None => (Entry::Spare(spare), false),
        };
        // Counted before its task runs: a gateway that ends must not take it for nobody.
        let live = Live::new(self.clone());
        tokio::spawn(async move {
            if let Err(e) = live.0.serve(stream, entry, since).await {
                debug!("client: {e}");
            }
        });
        made_room
    }

    /// Takes an id for a request; `None` while another open request bears it.
    fn take_id(&self, id: Bytes) -> Option<OpenId<'_>> {
        let free = held(&self.ids).insert(id.clone());
        // Made only if it is free: dropping it would free the id of the other request.
        free.then(|| OpenId { front: self, id })
    }

    /// Waits until no client's connection is left.
    pub async fn empty(&self) {
        while self.live.load(Ordering::Relaxed) > 0 {
            sleep(ACCEPT_PAUSE).await;
        }
    }

    fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Serves a client until one side ends the connection.
    async fn serve(&self, mut stream: TcpStream, entry: Entry, since: Instant) -> io::Result<()> {
        let (descriptor, mut given_away) = match entry {
            Entry::Descriptor(descriptor, given_away) => (Ok(descriptor), Some(given_away)),
            Entry::Spare(spare) => (Err(spare), None),
        };
        let full = descriptor.is_err();
        let does = |doing| descriptor.iter().for_each(|descriptor| descriptor.does(doing));
        let mut reader = Reader::<Ask>::new(MAX_BODY);
        // A request that came behind another one, and since when any such bytes are there.
        let (mut ready, mut early) = (None, Some(since));
        let mut phase = self.phase.clone();
        let accepted = Instant::now();
        let mut served = false;
        loop {
            if reader.is_idle() && ready.is_none() {
                let first = tokio::select! {
                    biased;
                    read = sockets::read(&stream, reader.buffer()) => Some(read?),
                    () = async {
                        // The sender lives as long as the program.
                        let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
                        sleep_until(accepted + LATE_COMER).await;
                    } => None,
                    () = gone(&mut given_away) => None,
                    () = sleep(IDLE_TIME) => None,
                };
                match first {
                    Some(0) => return Ok(()),
                    Some(_) if accepted.elapsed() < AT_ONCE => {}
                    // What was not there with its connection has not waited with it.
                    Some(_) => early = None,
                    None => {
                        let evicted = descriptor.is_ok_and(|d| d.is_lost());
                        debug!(evicted, phase = ?self.phase(), "ending a connection at rest");
                        return self.end(&mut stream, evicted).await;
                    }
                }
            }
            does(Doing::Reading);
            let until = if served { Instant::now() } else { accepted } + READ_TIME;
            served = true;
            let asked = match ready.take() {
                Some(ask) => Some(Ok(Ok(Some((ask, early.unwrap_or_else(Instant::now)))))),
                None => tokio::select! {
                    biased;
                    asked = timeout_at(until, read(&stream, &mut reader, &mut early, &self.lag)) => Some(asked),
                    // Too slow for times in which descriptors are short.
                    () = gone(&mut given_away) => None,
                },
            };
            let (wording, keep_alive) = match asked {
                None => {
                    debug!("evicted in the middle of a request");
                    // Guards against a close without an answer: the rest of the request may have come by now.
                    let refusal = Answer::Refused { retry_after_ms: self.refusal_ms };
                    write(&stream, refusal.word(false)).await?;
                    return self.end(&mut stream, true).await;
                }
                Some(Ok(Ok(Some((ask, arrived))))) => {
                    does(Doing::Open);
                    let goes_on = ask.keep_alive;
                    let mut left = false;
                    let (reader, early) = (&mut reader, &mut early);
                    let client = ClientSide { stream: &stream, reader, early, lag: &self.lag };
                    let answered = self.answered(ask, arrived, client, full, &mut left).await;
                    // A bad request ends the connection, and nothing more is taken from one that has left.
                    let bad = matches!(answered, Err(Plain::Bad(_) | Plain::Method));
                    let goes_on = goes_on && !bad && !left;
                    // So does one that floods, a lack of descriptors, and the gateway's own end.
                    let lost = descriptor.as_ref().is_ok_and(Descriptor::is_lost);
                    let flooded = reader.buffer().len() >= EARLY;
                    let over = full || lost || flooded || self.phase() != Phase::Serving;
                    // Guards against an end with requests that have been read: each of them is owed its answer.
                    ready = if goes_on && over { reader.next(false).ok().flatten() } else { None };
                    let keep_alive = goes_on && (!over || ready.is_some());
                    if !keep_alive {
                        let phase = self.phase();
                        debug!(bad, left, full, lost, flooded, ?phase, "a connection ends with its answer");
                    }
                    let wording = match answered {
                        Ok(answer) => answer.word(keep_alive),
                        Err(plain) => plain.word(keep_alive),
                    };
                    (wording, keep_alive)
                }
                Some(Ok(Ok(None))) => return Ok(()),
                Some(Ok(Err(ReadError::Malformed(malformed)))) => (Plain::from(malformed).word(false), false),
                Some(Ok(Err(ReadError::Io(e)))) => return Err(e),
                Some(Err(_)) => (Plain::TooSlow.word(false), false),
            };
            write(&stream, wording).await?;
            if !keep_alive {
                return linger(&mut stream).await;
            }
            does(Doing::Idle);
        }
    }

    /// Ends a connection on which nothing is owed. Guards against a reset, which a request that crosses the end would
    /// meet. One whose descriptor is given away holds another for that, as far as there are any.
    async fn end(&self, stream: &mut TcpStream, given_away: bool) -> io::Result<()> {
        let room = given_away.then(|| self.ending.try_acquire());
        match room {
            Some(Err(_)) => Ok(()),
            _held => linger(stream).await,
        }
    }

    /// The answer to a request, to be written even if its client has `gone`: one that has only ended its sending side
    /// still reads.
    async fn answered(
        &self, ask: Whole<Ask>, arrived: Instant, mut client: ClientSide<'_>, full: bool, gone: &mut bool,
    ) -> Result<Answer, Plain> {
        let path = ask.target().split(|b| *b == b'?').next().unwrap_or_default();
        match (path, ask.method()) {
            (b"/ready", b"GET") if self.phase() == Phase::Serving => return Err(Plain::Ready),
            (b"/ready", b"GET") => return Err(Plain::Stopping),
            (b"/api", b"GET" | b"POST") => {}
            (b"/ready" | b"/api", _) => return Err(Plain::Method),
            _ => return Err(Plain::NotFound),
        }
        let (answer_to, mut answer) = oneshot::channel();
        let request = self.request(&ask, arrived, answer_to).map_err(Plain::Bad)?;
        let refused = Answer::Refused { retry_after_ms: self.refusal_ms };
        if full || self.phase() == Phase::Refusing {
            return Ok(refused);
        }
        // Guards against an id that is in use: no answer could be told from the other's.
        let open = ask.fields.bytes(ID).and_then(|id| self.take_id(id));
        let _open = open.ok_or(Plain::Bad("X-Correlation-Id is that of an open request"))?;
        let id = request.id;
        drop(ask);
        tokio::select! {
            biased;
            permit = self.queue.reserve() => match permit {
                Ok(permit) => permit.send(Input::Request(request)),
                // The queue only closes when the gateway ends.
                Err(_) => return Ok(Answer::Failed),
            },
            // Guards against a client that leaves while its request waits to be taken: it never is.
            () = client.left() => {
                *gone = true;
                return Ok(refused);
            }
        }
        tokio::select! {
            biased;
            answer = &mut answer => return Ok(answer.unwrap_or(Answer::Failed)),
            () = client.left() => *gone = true,
        }
        let _ = self.queue.send(Input::Gone(id)).await;
        Ok(answer.await.unwrap_or(Answer::Failed))
    }

    /// Makes a request of an HTTP one: takes out what decisions need, and leaves the rest as it came.
    fn request(
        &self, ask: &Whole<Ask>, arrived: Instant, answer_to: oneshot::Sender<Answer>,
    ) -> Result<Request, &'static str> {
        let fields = &ask.fields;
        if fields.all(ID).count() != 1 || fields.get(ID).is_none_or(<[u8]>::is_empty) {
            return Err("X-Correlation-Id is missing or given twice");
        }
        let class = fields.text(CLASS).and_then(|name| self.site.names.class(name));
        let class = class.ok_or("X-Service-Class is missing or not in the settings")?;
        let rules = &self.site.balancer.classes[class];
        // Without its key, no server could drop a repeat.
        if rules.idempotency == Idempotency::IdempotentWithKey && fields.get(KEY).is_none_or(<[u8]>::is_empty)
        {
            return Err("Idempotency-Key is missing");
        }
        let left_ms = match fields.get(TIME_LEFT) {
            None => rules.deadline_ms,
            Some(_) => {
                let told = fields.text(TIME_LEFT).filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
                let told = told.and_then(|text| text.parse::<f64>().ok());
                // Nobody waits longer than the class allows for all tries together.
                told.ok_or("X-Time-Left-Ms is no time")?.min(rules.deadline_ms)
            }
        };
        let tenant = fields.text(TENANT).and_then(|name| self.site.names.tenant(name));
        let id = RequestId(self.last.fetch_add(1, Ordering::Relaxed));
        // Its time runs since it came: behind another one, or while the process stood still.
        let now = Instant::now();
        let waited = now.saturating_duration_since(arrived);
        let left = Duration::from_secs_f64(left_ms / 1000.0).saturating_sub(waited);
        debug!(
            id = id.0,
            correlation = fields.text(ID),
            left_ms,
            waited_ms = waited.as_millis() as u64,
            "taken"
        );
        Ok(Request { id, class, tenant, deadline: now + left, raw: raw(ask), answer_to })
    }
}

/// What goes on: method, path, query, end-to-end fields and body as they came.
fn raw(ask: &Whole<Ask>) -> RawRequest {
    let mut before = BytesMut::with_capacity(128);
    for part in [ask.method(), b" ", ask.target(), b" HTTP/1.1\r\n", TIME_LEFT.as_bytes(), b": "] {
        before.extend_from_slice(part);
    }
    let mut after = BytesMut::with_capacity(512);
    after.extend_from_slice(b"\r\n");
    if ask.fields.get("host").is_none() {
        after.extend_from_slice(b"Host: backend.local\r\n"); // HTTP/1.1 needs one; HTTP/1.0 has none.
    }
    // Guards against a `Connection` field that names the id: no server gets a request without it.
    ask.fields.write_end_to_end(&mut after, &[TIME_LEFT], &[ID, KEY]);
    if !ask.body.is_empty() || ask.method() == b"POST" {
        after.extend_from_slice(format!("Content-Length: {}\r\n", ask.body.len()).as_bytes());
    }
    after.extend_from_slice(b"\r\n");
    RawRequest { before: before.freeze(), after: after.freeze(), body: ask.body.clone() }
}

/// Waits until a descriptor is given away; for ever without one.
async fn gone(given_away: &mut Option<oneshot::Receiver<()>>) {
    match given_away {
        // An error comes only once the descriptor is gone too.
        Some(given_away) => drop(given_away.await),
        None => std::future::pending().await,
    }
}

enum ReadError {
    Io(io::Error),
    Malformed(crate::http1::Malformed),
}

/// Reads the next request, and when it was there; `None` if the client ends the connection before it is whole. `early` is
/// since when bytes behind the last request are there.
async fn read(
    stream: &TcpStream, reader: &mut Reader<Ask>, early: &mut Option<Instant>, lag: &LoopLag,
) -> Result<Option<(Whole<Ask>, Instant)>, ReadError> {
    let mut continued = false;
    // Without a further read it has been there since those bytes came.
    let mut arrived = early.take();
    loop {
        if let Some(ask) = reader.next(false).map_err(ReadError::Malformed)? {
            let arrived = arrived.unwrap_or_else(|| lag.arrival());
            *early = (!reader.is_idle()).then_some(arrived);
            return Ok(Some((ask, arrived)));
        }
        let expects = |f: &crate::http1::Fields| {
            f.get("expect").is_some_and(|e| e.eq_ignore_ascii_case(b"100-continue"))
        };
        if !continued && reader.awaiting_body().is_some_and(expects) {
            continued = true;
            sockets::write_all(stream, &mut &CONTINUE[..]).await.map_err(ReadError::Io)?;
        }
        if sockets::read(stream, reader.buffer()).await.map_err(ReadError::Io)? == 0 {
            return Ok(None);
        }
        arrived = None;
    }
}

/// A client's connection while its request is open.
struct ClientSide<'a> {
    stream: &'a TcpStream,
    reader: &'a mut Reader<Ask>,
    /// Since when bytes behind the request are there.
    early: &'a mut Option<Instant>,
    lag: &'a LoopLag,
}

impl ClientSide<'_> {
    /// Waits until the client has left: it has closed, or ended its sending side, or it floods.
    async fn left(&mut self) {
        while self.reader.buffer().len() < EARLY {
            match sockets::read(self.stream, self.reader.buffer()).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {
                    self.early.get_or_insert_with(|| self.lag.arrival());
                }
            }
        }
        let (mut thrown, mut bytes) = (0, BytesMut::new());
        while thrown < FLOOD {
            bytes.clear();
            bytes.reserve(LINGER_BYTES);
            match sockets::read(self.stream, &mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(more) => thrown += more,
            }
            sleep(FLOOD_PAUSE).await;
        }
    }
}

async fn write(stream: &TcpStream, (head, body): Wording) -> io::Result<()> {
    let mut bytes = head.chain(body);
    timeout(WRITE_TIME, sockets::write_all(stream, &mut bytes)).await?
}

/// Ends the connection after its last answer. Guards against a reset that would overtake the answer while the
/// client is still sending.
async fn linger(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let until = Instant::now() + LINGER;
    let mut bytes = BytesMut::new();
    // A flood always has bytes to read, and a time-out is looked at only where none are.
    while Instant::now() < until {
        bytes.clear();
        bytes.reserve(LINGER_BYTES);
        match timeout_at(until, sockets::read(stream, &mut bytes)).await {
            Ok(Ok(more)) if more > 0 => {}
            _ => return Ok(()),
        }
        if bytes.len() >= LINGER_BYTES / 4 {
            sleep(LINGER_PAUSE).await;
        }
    }
    Ok(())
}
