//! Stand-ins on loopback for what is round the gateways: south side hosts, discovery and clients.
use crate::history::{Book, What};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, RequestLine, StartLine, StatusLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// The next whole message of a connection, and when its first byte came; `None` if the connection ends first.
pub(crate) async fn next<S: StartLine>(
    stream: &mut TcpStream, reader: &mut Reader<S>, book: &Book,
) -> Option<(CompleteMessage<S>, u64)> {
    let (mut ended, mut first) = (false, None);
    loop {
        if reader.has_begun() {
            first.get_or_insert_with(|| book.now_us());
        }
        match reader.next(ended) {
            Ok(Some(message)) => return Some((message, first.unwrap_or_else(|| book.now_us()))),
            Ok(None) if !ended => {}
            _ => return None,
        }
        ended = stream.read_buf(reader.buffer()).await.unwrap_or(0) == 0;
    }
}

fn field<S>(message: &CompleteMessage<S>, name: &str) -> String {
    message.fields.text(name).unwrap_or("").to_string()
}

/// Tasks that end with their owner.
#[derive(Debug, Default)]
struct Tasks(Vec<JoinHandle<()>>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

/// Accepts connections until its owner goes; `serve` takes each.
fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener, serve: impl Fn(TcpStream) -> F + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    })
}

async fn listener() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// What a host does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mishap {
    /// It takes a message and never answers.
    Hang,
    /// It resets the connection instead of answering.
    Reset,
    /// It closes the connection instead of answering.
    Close,
    /// It answers with an error.
    Error,
    /// It turns the message away unseen.
    TurnAway,
    /// It ends the connection in the middle of its answer.
    Half,
    /// Its answer ends with the connection.
    NoLength,
}

impl Mishap {
    /// All of them.
    pub const ALL: [Mishap; 7] = [
        Mishap::Hang,
        Mishap::Reset,
        Mishap::Close,
        Mishap::Error,
        Mishap::TurnAway,
        Mishap::Half,
        Mishap::NoLength,
    ];
}

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conduct {
    /// How long a message takes it.
    pub work: Duration,
    /// It turns new messages away.
    pub drains: bool,
    /// With every so many messages of a connection this happens.
    pub mishap: Option<(Mishap, usize)>,
}

/// A south side host.
#[derive(Debug)]
pub struct Host {
    /// Where it listens for each gateway.
    pub at: Vec<SocketAddr>,
    conduct: watch::Sender<Conduct>,
    _tasks: Tasks,
}

impl Host {
    /// Host `number`, with an ear for each of so many gateways.
    pub async fn start(number: usize, gateways: usize, work: Duration, book: &Book) -> io::Result<Self> {
        let (conduct, now) = watch::channel(Conduct { work, drains: false, mishap: None });
        let (mut at, mut tasks) = (Vec::new(), Tasks::default());
        for gateway in 0..gateways {
            let (listener, here) = listener().await?;
            at.push(here);
            let (book, now) = (book.clone(), now.clone());
            tasks.0.push(accept(listener, move |stream| {
                serve(stream, number, gateway, now.clone(), book.clone())
            }));
        }
        Ok(Host { at, conduct, _tasks: tasks })
    }

    /// From now on it does this.
    pub fn conduct(&self, change: impl FnOnce(&mut Conduct)) {
        self.conduct.send_modify(change);
    }
}

async fn serve(
    mut stream: TcpStream, host: usize, gateway: usize, conduct: watch::Receiver<Conduct>, book: Book,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(MAX_BODY_BYTES);
    let (mut serial, mut asked) = (0, 0);
    while let Some((ask, first_us)) = next::<RequestLine>(&mut stream, &mut reader, &book).await {
        let id = field(&ask, "x-correlation-id");
        let now = *conduct.borrow();
        asked += 1;
        let mishap = now.mishap.filter(|(_, every)| asked % every == 0).map(|(mishap, _)| mishap);
        let ran = !now.drains && mishap != Some(Mishap::TurnAway);
        if let Ok(left_ms) = field(&ask, "x-time-left-ms").parse() {
            book.note(What::ToldTime { id: id.clone(), first_us, left_ms });
        }
        book.note(What::Arrived { id: id.clone(), host, gateway, first_us, ran });
        match mishap {
            Some(Mishap::Hang) => {
                // Until the gateway gives up.
                let _ = stream.read_buf(reader.buffer()).await;
                return;
            }
            Some(Mishap::Reset) => return drop(stream.set_zero_linger()),
            Some(Mishap::Close) => return,
            Some(Mishap::Error) => {
                let error = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(error.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            Some(Mishap::TurnAway | Mishap::Half | Mishap::NoLength) | None => {}
        }
        let text = if ran {
            sleep(now.work).await;
            serial += 1;
            let body =
                format!("host {host} made this for {id}, its {serial}th for gateway {gateway}: {:-<64}", "");
            book.note(What::Made { id, host, body: body.clone() });
            let load = "X-Backend-Load: util=0.4,qps=20";
            match mishap {
                Some(Mishap::NoLength) => format!("HTTP/1.1 200 OK\r\n{load}\r\n\r\n{body}"),
                Some(Mishap::Half) => {
                    let half = &body[..body.len() / 2];
                    format!("HTTP/1.1 200 OK\r\n{load}\r\nContent-Length: {}\r\n\r\n{half}", body.len())
                }
                _ => format!("HTTP/1.1 200 OK\r\n{load}\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
            }
        } else {
            "HTTP/1.1 503 Draining\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string()
        };
        let ends = matches!(mishap, Some(Mishap::Half | Mishap::NoLength));
        if stream.write_all(text.as_bytes()).await.is_err() || !ask.keep_alive || ends {
            return;
        }
    }
}

/// A host as discovery lists it.
#[derive(Clone, Debug)]
struct Listed {
    endpoints: Vec<SocketAddr>, // By gateway: each is told of its own link.
    state: &'static str,
    boot_ms: u64,
    rev: u64, // When it last changed.
}

#[derive(Debug)]
struct Register {
    rev: u64,
    hosts: BTreeMap<usize, Listed>,
}

impl Register {
    fn body(&self, gateway: usize, after: Option<u64>) -> Value {
        let changed = |listed: &&Listed| after.is_none_or(|rev| listed.rev > rev);
        let gone = |listed: &&Listed| after.is_some() || listed.state != "DELETED";
        let targets: Vec<Value> = self
            .hosts
            .iter()
            .filter(|(_, listed)| changed(listed) && gone(listed))
            .map(|(n, listed)| {
                json!({"uid": format!("s-{n}"), "endpoint": listed.endpoints[gateway].to_string(), "az": "a",
                       "pod_group": 0, "state": listed.state, "capacity_hint": 1.0, "boot_ms": listed.boot_ms})
            })
            .collect();
        json!({"rev": self.rev, "all": after.is_none(), "targets": targets})
    }
}

/// Discovery, with an ear for each gateway.
#[derive(Debug)]
pub struct Discovery {
    /// Where it listens for each gateway.
    pub at: Vec<SocketAddr>,
    register: Arc<Mutex<Register>>,
    changed: watch::Sender<u64>,
    _tasks: Tasks,
}

fn lock(register: &Mutex<Register>) -> MutexGuard<'_, Register> {
    register.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Discovery {
    /// Discovery for so many gateways, with an empty list.
    pub async fn start(gateways: usize, book: &Book) -> io::Result<Self> {
        let register = Arc::new(Mutex::new(Register { rev: 1, hosts: BTreeMap::new() }));
        let (changed, rev) = watch::channel(1);
        let (mut at, mut tasks) = (Vec::new(), Tasks::default());
        for gateway in 0..gateways {
            let (listener, here) = listener().await?;
            at.push(here);
            let (register, rev, book) = (register.clone(), rev.clone(), book.clone());
            tasks.0.push(accept(listener, move |stream| {
                tell(stream, gateway, register.clone(), rev.clone(), book.clone())
            }));
        }
        Ok(Discovery { at, register, changed, _tasks: tasks })
    }

    /// Lists a host at these addresses, one for each gateway.
    pub fn list(&self, host: usize, endpoints: Vec<SocketAddr>, boot_ms: u64) {
        self.change(|register, rev| {
            register.hosts.insert(host, Listed { endpoints, state: "SERVING", boot_ms, rev });
        });
    }

    /// A host's state from now on: `SERVING`, `DRAINING` or `DELETED`.
    pub fn state(&self, host: usize, state: &'static str) {
        self.change(|register, rev| {
            if let Some(listed) = register.hosts.get_mut(&host) {
                (listed.state, listed.rev) = (state, rev);
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut Register, u64)) {
        let mut register = lock(&self.register);
        register.rev += 1;
        let rev = register.rev;
        change(&mut register, rev);
        drop(register);
        self.changed.send_replace(rev);
    }

    /// The whole list, as a gateway knows it at its start.
    pub fn whole(&self, gateway: usize) -> Value {
        lock(&self.register).body(gateway, None)
    }

    /// Notes that a gateway starts with such a whole list, from which it knows what it knows.
    pub fn tell_at_start(&self, gateway: usize, book: &Book) {
        for (host, listed) in &lock(&self.register).hosts {
            book.note(What::Told { gateway, host: *host, serving: listed.state == "SERVING" });
        }
    }
}

async fn tell(
    mut stream: TcpStream, gateway: usize, register: Arc<Mutex<Register>>, mut rev: watch::Receiver<u64>,
    book: Book,
) {
    let mut reader = Reader::new(MAX_BODY_BYTES);
    while let Some((ask, _)) = next::<RequestLine>(&mut stream, &mut reader, &book).await {
        let target = String::from_utf8_lossy(ask.target()).into_owned();
        let asked = |name: &str| -> Option<u64> {
            let rest = target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            rest.and_then(|text| text.parse().ok())
        };
        let after = asked("after");
        if let Some(after) = after {
            let wait = Duration::from_millis(asked("wait_ms").unwrap_or(0));
            // Whether something newer came or not, the list as it is then is the answer.
            let _ = timeout(wait, rev.wait_for(|rev| *rev > after)).await;
        }
        let body = lock(&register).body(gateway, after);
        let text = body.to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if stream.write_all((head + &text).as_bytes()).await.is_err() {
            return;
        }
        for target in body["targets"].as_array().into_iter().flatten() {
            let number = target["uid"].as_str().and_then(|uid| uid.strip_prefix("s-")?.parse().ok());
            if let Some(host) = number {
                book.note(What::Told { gateway, host, serving: target["state"] == "SERVING" });
            }
        }
    }
}

/// How a message ends whose client got no connection.
pub const NO_CONNECTION: &str = "no connection";

/// A message that a client sends.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its id: 16 hexadecimal digits.
    pub id: String,
    /// Its class: `look`, `book` or `sign`.
    pub class: &'static str,
    /// How long the client waits.
    pub patience: Duration,
}

impl Message {
    /// The message as its client writes it.
    pub(crate) fn text(&self) -> String {
        let (id, class, left) = (&self.id, self.class, self.patience.as_millis());
        let head = format!(
            "Host: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: {left}\r\n"
        );
        match class {
            "look" => format!("GET /api?d=1 HTTP/1.1\r\n{head}\r\n"),
            "book" => format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: k{id}\r\nContent-Length: 8\r\n\r\nroom=two"
            ),
            _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 8\r\n\r\nroom=two"),
        }
    }
}

/// A client of one gateway. It sends one message at a time and keeps its connection.
#[derive(Debug)]
pub struct Client {
    gateway: usize,
    at: SocketAddr,
    book: Book,
    stream: Option<TcpStream>,
}

impl Client {
    /// A client that reaches gateway number `gateway` at `at`.
    pub fn new(gateway: usize, at: SocketAddr, book: &Book) -> Self {
        Client { gateway, at, book: book.clone(), stream: None }
    }

    /// Sends a message and waits for its end, however that looks; the status where there was a whole answer.
    pub async fn ask(&mut self, message: &Message) -> Option<u16> {
        let mut kept = self.stream.is_some();
        let mut noted = false;
        loop {
            let mut stream = match self.stream.take() {
                Some(stream) => stream,
                None => {
                    let dialled = timeout(message.patience, TcpStream::connect(self.at)).await;
                    let Ok(Ok(stream)) = dialled else { return self.unanswered(message, NO_CONNECTION) };
                    let _ = stream.set_nodelay(true);
                    stream
                }
            };
            let sent = stream.write_all(message.text().as_bytes()).await.is_ok();
            if sent && !noted {
                noted = true;
                self.book.note(What::Asked {
                    id: message.id.clone(),
                    class: message.class.into(),
                    gateway: self.gateway,
                    patience_ms: message.patience.as_millis() as u64,
                });
            }
            let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
            // A little longer than its patience: what comes late is seen.
            let answer = timeout(
                message.patience + Duration::from_secs(1),
                next(&mut stream, &mut reader, &self.book),
            );
            match answer.await {
                Ok(Some((whole, _))) => return Some(self.answered(message, whole, &reader, stream)),
                Err(_) => return self.unanswered(message, "nothing came in time"),
                // The end of an idle connection crossed the message: it goes once more, over a new one.
                Ok(None) if kept && !reader.has_begun() => {
                    kept = false;
                    self.book.note(What::Again { id: message.id.clone(), gateway: self.gateway });
                }
                Ok(None) => return self.unanswered(message, "the connection ended"),
            }
        }
    }

    fn answered(
        &mut self, message: &Message, whole: CompleteMessage<StatusLine>, reader: &Reader<StatusLine>,
        stream: TcpStream,
    ) -> u16 {
        let status = whole.start_line.code;
        let note = What::Answered {
            id: message.id.clone(),
            status,
            body: String::from_utf8_lossy(&whole.body).into_owned(),
            advice: whole.fields.text("retry-after").is_some(),
        };
        // More than the answer is a second one.
        if !reader.is_idle() {
            self.book.note(note.clone());
        }
        self.book.note(note);
        if whole.keep_alive {
            self.stream = Some(stream);
        }
        status
    }

    fn unanswered(&self, message: &Message, how: &str) -> Option<u16> {
        self.book.note(What::Unanswered { id: message.id.clone(), how: how.into() });
        None
    }
}
