//! A discovery that serves the endpoint list by itself, and that the test takes out of reach.
use super::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How a [`FailingDiscovery`] is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are accepted, and polls on them are never answered, not even after the outage.
    Silent,
    /// Connections are refused, and open ones are closed.
    Refusing,
    /// No new connection is established, and open ones fall silent for good.
    Unreachable,
    /// Each poll gets a response that is no endpoint list.
    Garbled,
    /// Each poll gets the first half of a response, and no more.
    Stalled,
}

impl Outage {
    /// Returns the bytes that a poll gets.
    fn response(self) -> &'static [u8] {
        match self {
            Outage::Silent | Outage::Refusing | Outage::Unreachable => b"",
            Outage::Garbled => b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"rev",
            Outage::Stalled => b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"rev",
        }
    }
}

/// The state that the connections of a [`FailingDiscovery`] share.
#[derive(Clone)]
struct State {
    outage: Option<Outage>,
    /// The number of times at which all connections so far became useless.
    generation: u64,
    revision: u64,
    /// The entries of the list, each with the revision that changed it last.
    entries: Vec<(u64, Value)>,
    /// The delay of each response.
    delay: Duration,
}

impl State {
    /// Returns the response to a poll for the changes after a revision, or for the complete list.
    fn response(&self, after: Option<u64>) -> String {
        let is_named = |(changed, _): &&(u64, Value)| after.is_none_or(|after| *changed > after);
        let entries = self.entries.iter().filter(is_named).map(|(_, entry)| entry.clone()).collect();
        ok_response(&endpoint_list(self.revision, after.is_none(), entries))
    }
}

/// A discovery that answers polls as the protocol says, unless the test takes it out of reach.
pub struct FailingDiscovery {
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl FailingDiscovery {
    /// Starts with a list of revision 41, which a gateway of [`gateway_config`] has cached.
    pub async fn start(entries: Vec<Value>) -> Self {
        let reserved_port = reusable_socket(([127, 0, 0, 1], 0).into());
        let address = reserved_port.local_addr().expect("a bound socket has an address");
        let state = State {
            outage: None,
            generation: 0,
            revision: 41,
            entries: entries.into_iter().map(|entry| (41, entry)).collect(),
            delay: Duration::ZERO,
        };
        let state = watch::Sender::new(state);
        tokio::spawn(accept(reserved_port, state.subscribe()));
        FailingDiscovery { address, state }
    }

    /// Changes the entry with the same uid, or adds one.
    pub fn set(&self, entry: Value) {
        self.state.send_modify(|state| {
            state.revision += 1;
            state.entries.retain(|(_, known)| known["uid"] != entry["uid"]);
            state.entries.push((state.revision, entry));
        });
    }

    /// Begins an outage, or ends it with `None`.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.state.send_modify(|state| (state.outage, state.generation) = (outage, state.generation + 1));
    }

    /// Lets all connections so far fall silent. New ones are served.
    pub fn silence_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Delays each further response.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }
}

/// Returns a bound socket whose port further sockets of this kind can share, unless one of them listens.
fn reusable_socket(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.set_reuseaddr(true).expect("the option can be set");
    socket.bind(address).expect("the port is free");
    socket
}

/// Listens with the smallest backlog, which [`fill_backlog`] can fill.
fn listen_at(address: SocketAddr) -> TcpListener {
    reusable_socket(address).listen(1).expect("the socket listens")
}

/// Connects until no further connection is established.
async fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(20), TcpStream::connect(address)).await {
        streams.push(stream);
    }
    streams
}

/// Accepts connections except during an outage in which none are established. `reserved_port` keeps the port from
/// other sockets while nothing listens there.
async fn accept(reserved_port: TcpSocket, mut state: watch::Receiver<State>) {
    let address = reserved_port.local_addr().expect("a bound socket has an address");
    let mut listener = Some(listen_at(address));
    loop {
        let outage = state.borrow_and_update().outage;
        let _backlog_fillers = match outage {
            Some(Outage::Unreachable) => fill_backlog(address).await,
            _ => Vec::new(),
        };
        if outage == Some(Outage::Refusing) {
            listener = None;
        }
        let is_accepting = !matches!(outage, Some(Outage::Refusing | Outage::Unreachable));
        let accepted = async {
            match &mut listener {
                Some(listener) if is_accepting => listener.accept().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve(stream, state.clone()));
                }
            }
            changed = state.changed() => if changed.is_err() { return },
        }
        if state.borrow().outage.is_none() {
            listener.get_or_insert_with(|| listen_at(address));
        }
    }
}

/// Answers the polls on one connection until the connection becomes useless.
async fn serve(mut stream: TcpStream, mut state: watch::Receiver<State>) {
    let generation = state.borrow().generation;
    let is_useless = |state: &State| state.outage.is_some() || state.generation != generation;
    let mut useless = state.clone();
    let outage = async { useless.wait_for(is_useless).await.map_or(None, |state| state.outage) };
    let outage = tokio::select! {
        biased;
        outage = outage => outage,
        () = answer_polls(&mut stream, &mut state) => return,
    };
    if outage == Some(Outage::Refusing) {
        return;
    }
    let response = outage.map_or(&b""[..], Outage::response);
    if stream.write_all(response).await.is_ok() {
        // The connection stays open until the gateway closes it.
        read_until_closed(&mut stream).await;
    }
}

async fn answer_polls(stream: &mut TcpStream, state: &mut watch::Receiver<State>) {
    let mut reader = Reader::new(MAX_BODY_BYTES);
    while let Some(poll) = read_message::<RequestLine>(stream, &mut reader).await {
        let target = String::from_utf8_lossy(poll.target()).into_owned();
        let number = |name: &str| {
            let value = target.split(['?', '&']).find_map(|part| part.strip_prefix(name));
            value.and_then(|value| value.parse::<u64>().ok())
        };
        let after = number("after=");
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0));
        let is_newer = |state: &State| after.is_none_or(|after| state.revision > after);
        drop(timeout(wait, state.wait_for(is_newer)).await);
        let delay = state.borrow().delay;
        sleep(delay).await;
        let response = state.borrow().response(after);
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}
