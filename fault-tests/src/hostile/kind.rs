//! The kinds of hostile clients, and what one such client does on each of its connections.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// A request that gets an error, after which the gateway closes the connection.
const MALFORMED_REQUEST: &[u8] = b"GET /api HTTP/1.1\r\n no field\r\n\r\n";
/// The size of the incomplete bodies, a little less than the largest body that the protocol permits.
const BODY_BYTES: usize = 60 * 1024;
/// The size of the incomplete heads, a little less than the largest head that a gateway accepts.
const HEAD_BYTES: usize = 15 * 1024;
/// The size of incomplete heads that fit into the memory which each connection has.
const SMALL_HEAD_BYTES: usize = 4000;
/// The size of a chunk of a chunked body.
const CHUNK_BYTES: usize = 1024;
/// The number of requests that a pipelining client sends at once.
const PIPELINED_REQUESTS: usize = 200;
/// The number of bytes that a flooding client writes at once.
const FLOOD_WRITE_BYTES: usize = 32 * 1024;
/// The receive buffer of a client that reads no responses, so that the responses stay at the gateway.
const SLOW_READER_BUFFER_BYTES: u32 = 2048;
/// The number of clients that send one request after another at full speed.
const SERIAL_CLIENTS: usize = 64;
/// The pause before a hostile client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two writes of a client that writes slowly.
const SLOW_WRITE_PAUSE: Duration = Duration::from_millis(30);
/// How long a client that abandons its requests waits before it disconnects.
const ABANDON_AFTER: Duration = Duration::from_millis(60);

/// A kind of hostile clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum HostileKind {
    /// Each client sends most of a large head and stays.
    HalfHead,
    /// Each client sends a part of a head that is too small for a reservation of memory, and stays.
    HalfSmallHead,
    /// Each client sends a head of thousands of short fields without an end and stays.
    ManyFields,
    /// Each client sends most of a large body and stays.
    HalfBody,
    /// Each client sends most of a large chunked body and stays.
    HalfChunkedBody,
    /// Each client sends a large body in small pieces with pauses.
    SlowWriter,
    /// Each client asks for a long response and reads nothing.
    SlowReader,
    /// Each client sends a malformed request, stays, and sends a little from time to time.
    MalformedAndStay,
    /// Each client sends a request with many more behind it and stays.
    Pipeline,
    /// Each client sends a complete request with a large body, disconnects soon and comes back with the next.
    Abandon,
    /// One client sends complete small requests at full speed, each for another tenant.
    RequestFlood,
    /// Some clients send one request after another at full speed, each with a deadline of ten minutes.
    SerialFlood,
    /// One client sends requests for unknown paths at full speed.
    UnknownPathFlood,
    /// One client sends malformed requests at full speed, each on a new connection.
    ReconnectFlood,
    /// One client sends a large body one byte at a time at full speed.
    ByteFlood,
}

impl HostileKind {
    /// All kinds, in the order of the table.
    pub const ALL: [HostileKind; 15] = [
        HostileKind::HalfHead,
        HostileKind::HalfSmallHead,
        HostileKind::ManyFields,
        HostileKind::HalfBody,
        HostileKind::HalfChunkedBody,
        HostileKind::SlowWriter,
        HostileKind::SlowReader,
        HostileKind::MalformedAndStay,
        HostileKind::Pipeline,
        HostileKind::Abandon,
        HostileKind::RequestFlood,
        HostileKind::SerialFlood,
        HostileKind::UnknownPathFlood,
        HostileKind::ReconnectFlood,
        HostileKind::ByteFlood,
    ];

    /// Returns the number of clients of this kind, if `crowd` clients attack at once.
    pub fn client_count(self, crowd: usize) -> usize {
        match self {
            HostileKind::SerialFlood => SERIAL_CLIENTS,
            _ if self.is_flood() => 1,
            _ => crowd,
        }
    }

    /// Returns whether the kind is one or some clients that send at full speed.
    pub fn is_flood(self) -> bool {
        use HostileKind::{ByteFlood, ReconnectFlood, RequestFlood, SerialFlood, UnknownPathFlood};
        matches!(self, RequestFlood | SerialFlood | UnknownPathFlood | ReconnectFlood | ByteFlood)
    }
}

/// A hostile client, which connects again whenever its connection ends.
pub(super) struct HostileClient {
    pub(super) kind: HostileKind,
    pub(super) number: usize,
    pub(super) gateway: SocketAddr,
    pub(super) until: Instant,
}

impl HostileClient {
    /// Attacks until `until`.
    pub(super) async fn run(self) {
        let mut round = 0;
        while Instant::now() < self.until {
            // A connection that the gateway refuses, closes or resets is an expected end of a round.
            let _ = self.attack(round).await;
            round += 1;
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if self.kind == HostileKind::SlowReader {
            socket.set_recv_buffer_size(SLOW_READER_BUFFER_BYTES)?;
        }
        let stream = socket.connect(self.gateway).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn attack(&self, round: usize) -> std::io::Result<()> {
        let mut stream = self.connect().await?;
        let id = format!("hostile-{}-{round}", self.number);
        if let Some(incomplete) = self.incomplete_request(&id) {
            return self.write_and_stay(&mut stream, incomplete.as_bytes()).await;
        }
        match self.kind {
            HostileKind::SlowWriter => self.write_slowly(&mut stream, &id).await,
            HostileKind::SlowReader => {
                stream.write_all(get(&id, "acme").as_bytes()).await?;
                self.stay().await;
                Ok(())
            }
            HostileKind::MalformedAndStay => self.send_malformed(&mut stream).await,
            HostileKind::Abandon => {
                let body = "b".repeat(BODY_BYTES);
                let request = format!("{}Content-Length: {BODY_BYTES}\r\n\r\n{body}", post_head(&id));
                stream.write_all(request.as_bytes()).await?;
                sleep(ABANDON_AFTER).await;
                Ok(())
            }
            HostileKind::SerialFlood => self.send_serially(&mut stream, &id).await,
            HostileKind::ReconnectFlood => self.reconnect(stream).await,
            HostileKind::ByteFlood => self.send_bytes(&mut stream, &id).await,
            _ => self.flood(stream, &id).await,
        }
    }

    /// Returns what a client of the kinds that stop in the middle sends; `None` for the other kinds.
    fn incomplete_request(&self, id: &str) -> Option<String> {
        match self.kind {
            HostileKind::HalfHead => {
                Some(format!("GET /api HTTP/1.1\r\nX-Facts: {}", "a".repeat(HEAD_BYTES)))
            }
            HostileKind::HalfSmallHead => {
                Some(format!("GET /api HTTP/1.1\r\nX-Facts: {}", "a".repeat(SMALL_HEAD_BYTES)))
            }
            HostileKind::ManyFields => {
                Some(format!("GET /api HTTP/1.1\r\n{}", "a:b\r\n".repeat(HEAD_BYTES / 5)))
            }
            HostileKind::HalfBody => {
                let body = "b".repeat(BODY_BYTES - 1);
                Some(format!("{}Content-Length: {BODY_BYTES}\r\n\r\n{body}", post_head(id)))
            }
            HostileKind::HalfChunkedBody => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "c".repeat(CHUNK_BYTES));
                let chunks = chunk.repeat(BODY_BYTES / CHUNK_BYTES);
                Some(format!("{}Transfer-Encoding: chunked\r\n\r\n{chunks}", post_head(id)))
            }
            HostileKind::Pipeline => {
                Some((0..PIPELINED_REQUESTS).map(|n| get(&format!("{id}-{n}"), "acme")).collect())
            }
            _ => None,
        }
    }

    /// Sends malformed requests at full speed, each on a new connection.
    async fn reconnect(&self, mut stream: TcpStream) -> std::io::Result<()> {
        while Instant::now() < self.until {
            stream.write_all(MALFORMED_REQUEST).await?;
            stream = self.connect().await?;
        }
        Ok(())
    }

    /// Sends a large body one byte at a time at full speed.
    async fn send_bytes(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        stream.write_all(format!("{}Content-Length: 65536\r\n\r\n", post_head(id)).as_bytes()).await?;
        while Instant::now() < self.until {
            stream.write_all(b"b").await?;
        }
        Ok(())
    }

    /// Waits until the attack ends.
    async fn stay(&self) {
        sleep(self.until.saturating_duration_since(Instant::now())).await;
    }

    /// Writes `bytes`, then waits until the gateway closes the connection or the attack ends.
    async fn write_and_stay(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        stream.write_all(bytes).await?;
        self.read_until_closed(stream).await
    }

    async fn read_until_closed(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut buffer = [0; 1024];
        let left = self.until.saturating_duration_since(Instant::now());
        // The attack's end closes the connection as well.
        let _ =
            timeout(left, async { while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {} }).await;
        Ok(())
    }

    async fn write_slowly(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let head = format!("{}Content-Length: {BODY_BYTES}\r\n\r\n", post_head(id));
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..BODY_BYTES / CHUNK_BYTES {
            stream.write_all(&[b'b'; CHUNK_BYTES]).await?;
            sleep(SLOW_WRITE_PAUSE).await;
        }
        self.read_until_closed(stream).await
    }

    /// Sends a malformed request and, while the gateway still reads, a byte from time to time.
    async fn send_malformed(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(MALFORMED_REQUEST).await?;
        while Instant::now() < self.until {
            stream.write_all(b"x").await?;
            sleep(SLOW_WRITE_PAUSE).await;
        }
        Ok(())
    }

    /// Sends the next request as soon as the response to the last one has begun.
    async fn send_serially(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let mut response = vec![0; 4 * BODY_BYTES];
        let mut number = 0;
        while Instant::now() < self.until {
            number += 1;
            let request = get(&format!("{id}-{number}"), &format!("tenant-{number}"));
            stream.write_all(request.replace("look", "report").as_bytes()).await?;
            if stream.read(&mut response).await? == 0 {
                break;
            }
        }
        Ok(())
    }

    /// Sends small requests at full speed, and reads the responses at the same time.
    async fn flood(&self, stream: TcpStream, id: &str) -> std::io::Result<()> {
        let (mut responses, mut requests) = stream.into_split();
        let reader = tokio::spawn(async move {
            let mut buffer = vec![0; FLOOD_WRITE_BYTES];
            while responses.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
        });
        let mut number = 0;
        let mut batch = String::new();
        let written = async {
            while Instant::now() < self.until {
                batch.clear();
                while batch.len() < FLOOD_WRITE_BYTES {
                    number += 1;
                    batch.push_str(&self.flood_request(id, number));
                }
                requests.write_all(batch.as_bytes()).await?;
            }
            Ok(())
        };
        let left = self.until.saturating_duration_since(Instant::now());
        let written = timeout(left, written).await.unwrap_or(Ok(()));
        reader.abort();
        written
    }

    fn flood_request(&self, id: &str, number: usize) -> String {
        match self.kind {
            HostileKind::UnknownPathFlood => format!("GET /none/{number} HTTP/1.1\r\n\r\n"),
            _ => get(&format!("{id}-{number}"), &format!("tenant-{number}")),
        }
    }
}

fn get(id: &str, tenant: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: look\r\n\
         X-Account: {tenant}\r\n\r\n"
    )
}

/// Returns the head of a request of the non-idempotent class, without the fields that frame the body.
fn post_head(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: sign\r\n"
    )
}
