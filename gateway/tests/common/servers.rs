//! Stub servers, which stand for endpoints: a server that treats all requests alike, a server that the test
//! scripts, and a server whose accept backlog is full.
use super::*;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How a [`StubServer`] treats each request.
#[derive(Clone, Copy)]
pub enum ServerBehavior {
    /// Writes these bytes, and keeps the connection open.
    Respond(&'static str),
    /// Writes these bytes, and closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Reads the request, and never responds.
    Hang,
}

/// Serves each request, with a load report.
pub const SERVE: ServerBehavior = ServerBehavior::Respond(
    "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: util=0.5,qps=20\r\nContent-Length: 4\r\n\r\ndesk",
);

/// Rejects each request without processing it.
pub const REJECT: ServerBehavior =
    ServerBehavior::Respond("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");

/// An event at a [`StubServer`].
pub enum ServerEvent {
    /// A connection has been accepted.
    Connected,
    /// A complete request has been read.
    Request(CompleteMessage<RequestLine>),
    /// A connection has been closed, by the server or by the gateway.
    Closed,
}

/// A server that treats all requests alike.
pub struct StubServer {
    pub address: SocketAddr,
    pub events: mpsc::UnboundedReceiver<ServerEvent>,
}

impl StubServer {
    pub async fn start(behavior: ServerBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
        let address = listener.local_addr().expect("a listener has an address");
        let (event_sender, events) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let event_sender = event_sender.clone();
                let _ = event_sender.send(ServerEvent::Connected);
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(request) = read_message::<RequestLine>(&mut stream, &mut reader).await {
                        let _ = event_sender.send(ServerEvent::Request(request));
                        match behavior {
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
                    let _ = event_sender.send(ServerEvent::Closed);
                });
            }
        });
        StubServer { address, events }
    }

    /// Waits for the next event.
    pub async fn next_event(&mut self) -> ServerEvent {
        timeout(TEST_TIMEOUT, self.events.recv())
            .await
            .expect("the server has an event")
            .expect("the server is running")
    }

    /// Takes all events so far, without waiting; returns the ids of the requests and the number of accepted
    /// connections among these events.
    pub fn take_events(&mut self) -> (Vec<String>, usize) {
        let (mut ids, mut connections) = (Vec::new(), 0);
        while let Ok(event) = self.events.try_recv() {
            match event {
                ServerEvent::Request(request) => ids.push(header_value(&request, "x-correlation-id")),
                ServerEvent::Connected => connections += 1,
                ServerEvent::Closed => {}
            }
        }
        (ids, connections)
    }
}

/// A response with status 200 and a body of four bytes.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndesk";

/// A server whose connections the test accepts, reads and writes.
pub struct ScriptedServer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ScriptedServer {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
        ScriptedServer { address: listener.local_addr().expect("a listener has an address"), listener }
    }

    /// Accepts the next connection.
    pub async fn accept(&self) -> ScriptedConnection {
        let (stream, _) = timeout(TEST_TIMEOUT, self.listener.accept())
            .await
            .expect("the gateway connects to the server")
            .expect("the connection is accepted");
        ScriptedConnection { stream, reader: Reader::new(MAX_BODY_BYTES) }
    }
}

/// A connection from the gateway to a [`ScriptedServer`].
pub struct ScriptedConnection {
    pub stream: TcpStream,
    reader: Reader<RequestLine>,
}

impl ScriptedConnection {
    /// Reads the next complete request; returns `None` if the connection ends first.
    pub async fn read_request(&mut self) -> Option<CompleteMessage<RequestLine>> {
        timeout(TEST_TIMEOUT, read_message(&mut self.stream, &mut self.reader))
            .await
            .expect("the gateway sends a request or closes the connection")
    }

    pub async fn write(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.expect("the connection is open");
    }

    /// Waits until the gateway closes the connection; returns whether the gateway sent no byte before.
    pub async fn closes_without_data(&mut self) -> bool {
        self.reader.is_idle() && read_until_closed(&mut self.stream).await == 0
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.stream.set_zero_linger().expect("the linger option can be set");
    }
}

/// A server whose accept backlog is full, so that further connections are not established until the test
/// accepts the connections in the backlog.
pub struct FullBacklogServer {
    listener: TcpListener,
    pub address: SocketAddr,
    backlog_fillers: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub async fn start() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket is created");
        socket
            .bind("127.0.0.1:0".parse().expect("the address is well-formed"))
            .expect("a free port is bound");
        let listener = socket.listen(1).expect("the socket listens");
        let address = listener.local_addr().expect("a listener has an address");
        let mut backlog_fillers = Vec::new();
        // The backlog is full once a connection is not established in time. From then on, the kernel of a
        // connecting process repeats the handshake until there is room in the backlog.
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
            backlog_fillers.push(stream);
        }
        FullBacklogServer { listener, address, backlog_fillers }
    }

    /// Accepts connections up to the first connection from the gateway, and returns that connection. The
    /// connections that filled the backlog are closed.
    pub async fn accept_from_gateway(&mut self) -> TcpStream {
        let filler_addresses: Vec<_> = self
            .backlog_fillers
            .iter()
            .map(|stream| stream.local_addr().expect("a connection has an address"))
            .collect();
        loop {
            let accepted = timeout(TEST_TIMEOUT, self.listener.accept())
                .await
                .expect("a connection is established")
                .expect("the connection is accepted");
            if !filler_addresses.contains(&accepted.1) {
                return accepted.0;
            }
        }
    }
}
