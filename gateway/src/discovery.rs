//! Discovery's watch: asks for the endpoint list, follows its changes, and hands on what it reads.
use crate::http1::{Reader, Status, Whole};
use crate::requests::{EndpointList, Input, News, Queue};
use crate::sockets::opened;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};
use tracing::{debug, info, warn};

/// What a watch that fell silent should have told counts as told this long after it did.
const TOLD: Duration = Duration::from_secs(6);
/// How long a call that begins a watch may wait at discovery, and how much longer it may take before the watch counts
/// as silent: longer than discovery keeps a call in its line, lest the place there be wasted and the next call wait
/// behind it.
const FIRST: Patience = Patience { wait_ms: 1_000, grace: Duration::from_millis(3_500) };
/// The same of the calls that continue it, which stand in no line. Either is over well before [`TOLD`] is, so that
/// what was missed has been asked for by then; yet calls are few.
const NEXT: Patience = Patience { wait_ms: 4_000, grace: Duration::from_millis(500) };
/// Before a silent watch is opened anew: so long for each gateway before this one, ...
const RENEW: Duration = Duration::from_millis(50);
/// ... and so long for all of a large fleet, whose watches fall silent at once: the rest of [`TOLD`] is for the call.
const RENEW_ALL: Duration = Duration::from_millis(1_000);
/// The pause after an answer that came at once and told nothing; a watch breaks after 200 ms.
const PAUSE: Duration = Duration::from_millis(50);
/// The most bytes of a list: 4 KiB for each of 1,024 servers, an eighth of the least memory. It is read as it comes.
const MAX_LIST: usize = 1 << 22;

// What a silent watch missed is asked for before it counts as told.
const _: () = assert!(FIRST.all().as_millis() + RENEW_ALL.as_millis() < TOLD.as_millis());
const _: () = assert!(NEXT.all().as_millis() + RENEW_ALL.as_millis() < TOLD.as_millis());

/// How long a call may wait at discovery, and how much longer it may take.
struct Patience {
    wait_ms: u64,
    grace: Duration,
}

impl Patience {
    const fn all(&self) -> Duration {
        Duration::from_millis(self.wait_ms).saturating_add(self.grace)
    }
}

/// Why a watch has ended.
enum End {
    /// Nothing came within the call's time, over a connection that is up.
    Silent,
    /// A call failed.
    Failed(String),
    /// Nobody listens any more.
    Unheard,
}

impl From<String> for End {
    fn from(problem: String) -> Self {
        End::Failed(problem)
    }
}

/// How long gateway `me` of `instances` waits before it opens a silent watch anew: each has its turn.
pub fn turn(me: u32, instances: u32) -> Duration {
    RENEW.min(RENEW_ALL / instances.max(1)) * me
}

/// Watches discovery each time it is told to, from the list of revision `rev` on, until a call fails; and at once
/// where it has moved to. A watch that falls silent is opened anew in the gateway's `turn`, once.
pub async fn follow(
    mut discovery: watch::Receiver<SocketAddr>, dial_timeout: Duration, mut rev: Option<u64>, turn: Duration,
    mut asked: mpsc::Receiver<()>, queue: Queue,
) {
    loop {
        let mut moved = tokio::select! {
            asked = asked.recv() => match asked {
                Some(()) => false,
                None => return,
            },
            Ok(()) = discovery.changed() => true,
        };
        let mut heard = true;
        let problem = loop {
            // What was asked for while a watch was on is answered by the watch that begins now.
            while asked.try_recv().is_ok() {}
            let at = *discovery.borrow_and_update();
            // Guards against another discovery that counts its versions otherwise: there, the whole list.
            rev = rev.filter(|_| !moved);
            // Guards against a discovery that is gone: what stays silent is left to the module's pauses.
            let pause = if heard { Duration::ZERO } else { turn };
            let watched = async {
                sleep(pause).await;
                watch_at(at, dial_timeout, &mut rev, &mut heard, &queue).await
            };
            tokio::select! {
                biased;
                Ok(()) = discovery.changed() => moved = true,
                end = watched => match end {
                    End::Unheard => return,
                    End::Failed(problem) => break problem,
                    End::Silent if std::mem::take(&mut heard) => {
                        info!("discovery: the watch has fallen silent");
                        moved = false;
                    }
                    End::Silent => break "no answer in time".into(),
                },
            }
        };
        warn!("discovery: {problem}");
        while asked.try_recv().is_ok() {}
        if queue.send(Input::Discovery(News::Lost)).await.is_err() {
            return;
        }
    }
}

/// One watch, over one connection, for as long as its calls succeed; `heard` is set once one does.
async fn watch_at(
    discovery: SocketAddr, dial_timeout: Duration, rev: &mut Option<u64>, heard: &mut bool, queue: &Queue,
) -> End {
    let watched = watch_calls(discovery, dial_timeout, rev, heard, queue).await;
    watched.err().unwrap_or(End::Unheard)
}

async fn watch_calls(
    discovery: SocketAddr, dial_timeout: Duration, rev: &mut Option<u64>, heard: &mut bool, queue: &Queue,
) -> Result<(), End> {
    let mut stream = dial(discovery, dial_timeout).await?;
    let mut reader = Reader::<Status>::new(MAX_LIST);
    info!(%discovery, rev, "watching discovery");
    let mut patience = FIRST;
    loop {
        let query = match rev {
            Some(rev) => format!("?after={rev}&wait_ms={}", patience.wait_ms),
            None => String::new(),
        };
        let text = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        // Guards against discovery falling silent: each call has its own deadline.
        let asked_at = Instant::now();
        let answer = timeout(patience.all(), call(&mut stream, &mut reader, &text)).await;
        let answer = answer.map_err(|_| End::Silent)??;
        if answer.start != Status(200) {
            return Err(End::Failed(format!("status {}", answer.start.0)));
        }
        let endpoints = EndpointList::from_slice(&answer.body).map_err(|e| format!("malformed list: {e}"))?;
        debug!(rev = endpoints.rev, all = endpoints.all, entries = endpoints.targets.len(), "endpoint list");
        // Guards against a discovery that answers without waiting: it is not asked over and over.
        let idle = endpoints.targets.is_empty() && asked_at.elapsed() < PAUSE;
        *rev = Some(endpoints.rev);
        (*heard, patience) = (true, NEXT);
        if queue.send(Input::Discovery(News::Listed(endpoints))).await.is_err() {
            return Ok(());
        }
        if idle {
            sleep(PAUSE).await;
        }
        if !answer.keep_alive || !reader.is_idle() {
            reader = Reader::new(MAX_LIST);
            stream = dial(discovery, dial_timeout).await?;
        }
    }
}

async fn dial(discovery: SocketAddr, dial_timeout: Duration) -> Result<TcpStream, String> {
    let dialled = timeout(dial_timeout, TcpStream::connect(discovery)).await;
    opened(dialled.map_err(|_| "cannot connect in time")?).map_err(|e| format!("cannot connect: {e}"))
}

async fn call(
    stream: &mut TcpStream, reader: &mut Reader<Status>, text: &str,
) -> Result<Whole<Status>, String> {
    stream.write_all(text.as_bytes()).await.map_err(|e| format!("cannot ask: {e}"))?;
    let mut ended = false;
    loop {
        match reader.next(ended) {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) if ended => return Err("the connection ended".into()),
            Ok(None) => {}
            Err(e) => return Err(format!("garbage: {e:?}")),
        }
        let read = stream.read_buf(reader.buffer()).await.map_err(|e| format!("connection: {e}"))?;
        ended = read == 0;
    }
}
