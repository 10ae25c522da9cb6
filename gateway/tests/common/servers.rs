//! Stub servers: one that does the same with every request, one that a test scripts, one that accepts nobody.
use super::*;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What a server does with a request.
#[derive(Clone, Copy)]
pub enum ServerBehavior {
    Respond(&'static str),
    RespondAndClose(&'static str),
    Close,
    Hang,
}

pub const SERVED: ServerBehavior = ServerBehavior::Respond(
    "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: util=0.5,qps=20\r\nContent-Length: 4\r\n\r\ndesk",
);

pub const REJECTED: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");

/// What a server has seen.
pub enum Seen {
    Connected,
    Request(CompleteMessage<RequestLine>),
    Ended,
}

pub struct Server {
    pub at: SocketAddr,
    pub seen: mpsc::UnboundedReceiver<Seen>,
}

impl Server {
    /// A server that does the same with every request.
    pub async fn start(does: ServerBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let at = listener.local_addr().expect("an address");
        let (tell, seen) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let tell = tell.clone();
                let _ = tell.send(Seen::Connected);
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(ask) = next::<RequestLine>(&mut stream, &mut reader).await {
                        let _ = tell.send(Seen::Request(ask));
                        match does {
                            ServerBehavior::Respond(text) => drop(stream.write_all(text.as_bytes()).await),
                            ServerBehavior::RespondAndClose(text) => {
                                drop(stream.write_all(text.as_bytes()).await);
                                break;
                            }
                            ServerBehavior::Close => break,
                            ServerBehavior::Hang => {}
                        }
                    }
                    drop(stream);
                    let _ = tell.send(Seen::Ended);
                });
            }
        });
        Server { at, seen }
    }

    pub async fn next(&mut self) -> Seen {
        timeout(LONG, self.seen.recv()).await.expect("something is seen").expect("the server runs")
    }

    /// The ids of all requests seen so far, and the number of connections.
    pub fn so_far(&mut self) -> (Vec<String>, usize) {
        let (mut ids, mut connections) = (Vec::new(), 0);
        while let Ok(seen) = self.seen.try_recv() {
            match seen {
                Seen::Request(ask) => ids.push(field(&ask, "x-correlation-id")),
                Seen::Connected => connections += 1,
                Seen::Ended => {}
            }
        }
        (ids, connections)
    }
}

pub const DESK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";

/// A server whose connections the test plays by hand.
pub struct ScriptedServer {
    pub at: SocketAddr,
    listener: TcpListener,
}

impl ScriptedServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        ScriptedServer { at: listener.local_addr().expect("an address"), listener }
    }

    /// The next connection.
    pub async fn accept(&self) -> ScriptedConnection {
        let (stream, _) = timeout(LONG, self.listener.accept()).await.expect("one comes").expect("accepted");
        ScriptedConnection { stream, reader: Reader::new(MAX_BODY_BYTES) }
    }
}

/// One connection of a [`ScriptedServer`].
pub struct ScriptedConnection {
    pub stream: TcpStream,
    reader: Reader<RequestLine>,
}

impl ScriptedConnection {
    /// The next whole request; `None` if the connection ends first.
    pub async fn request(&mut self) -> Option<CompleteMessage<RequestLine>> {
        timeout(LONG, next(&mut self.stream, &mut self.reader)).await.expect("a request or an end")
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("it is up");
    }

    /// Waits for the end; true if not a byte came before it.
    pub async fn ends(&mut self) -> bool {
        self.reader.is_idle() && ends(&mut self.stream).await == 0
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("a socket");
    }
}

/// A server whose connections do not come up until it is told: its queue is full.
pub struct UnacceptingServer {
    listener: TcpListener,
    pub at: SocketAddr,
    before: Vec<TcpStream>,
}

impl UnacceptingServer {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
        let listener = socket.listen(1).expect("it listens");
        let at = listener.local_addr().expect("an address");
        let mut before = Vec::new();
        // Until one does not come up: then the queue is full, and whoever connects tries again by itself.
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(300), TcpStream::connect(at)).await {
            before.push(stream);
        }
        UnacceptingServer { listener, at, before }
    }

    /// Lets all connect; the first connection that is not one of its own.
    pub async fn hears(&mut self) -> TcpStream {
        let own: Vec<_> = self.before.iter().map(|s| s.local_addr().expect("an address")).collect();
        loop {
            let accepted =
                timeout(LONG, self.listener.accept()).await.expect("one comes up").expect("accepted");
            if !own.contains(&accepted.1) {
                return accepted.0;
            }
        }
    }
}
