//! A client of one gateway, and the requests that it sends.
use crate::history::{EventKind, HistoryRecorder};
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StartLine, StatusLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Reason in [`EventKind::ResponseMissing`] if the client could not connect.
pub const NO_CONNECTION: &str = "no connection";

/// Time that a client waits beyond its timeout, so that a late response is recorded.
const LATE_RESPONSE_WAIT: Duration = Duration::from_secs(1);

/// Reads the next complete message of a connection. Returns the message and the time at which its first byte
/// was read, in µs since the start of the run, or `None` if the connection ends or fails before the message
/// is complete.
pub(crate) async fn read_message<S: StartLine>(
    stream: &mut TcpStream, reader: &mut Reader<S>, recorder: &HistoryRecorder,
) -> Option<(CompleteMessage<S>, u64)> {
    let (mut ended, mut first_byte_at_us) = (false, None);
    loop {
        if reader.has_begun() {
            first_byte_at_us.get_or_insert_with(|| recorder.now_us());
        }
        match reader.next(ended) {
            Ok(Some(message)) => {
                return Some((message, first_byte_at_us.unwrap_or_else(|| recorder.now_us())))
            }
            Ok(None) if !ended => {}
            _ => return None,
        }
        ended = stream.read_buf(reader.buffer()).await.unwrap_or(0) == 0;
    }
}

/// A request of a client, with the values of the HTTP fields that vary.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request: 16 hexadecimal digits.
    pub id: String,
    /// Service class of the request: `look`, `book` or `sign`.
    pub class: &'static str,
    /// Time that the client waits for the response.
    pub client_timeout: Duration,
}

impl Request {
    /// Returns the request as HTTP/1.1 text.
    pub(crate) fn to_http(&self) -> String {
        let (id, class, timeout_ms) = (&self.id, self.class, self.client_timeout.as_millis());
        let head = format!(
            "Host: backend.local\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: {timeout_ms}\r\n"
        );
        match class {
            "look" => format!("GET /api?d=1 HTTP/1.1\r\n{head}\r\n"),
            "book" => format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: k{id}\r\nContent-Length: 8\r\n\r\nroom=two"
            ),
            _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 8\r\n\r\nroom=two"),
        }
    }

    /// Returns the event that records the sending of the request to a gateway.
    pub(crate) fn sent_to(&self, gateway: usize) -> EventKind {
        EventKind::RequestSent {
            id: self.id.clone(),
            class: self.class.into(),
            gateway,
            client_timeout_ms: self.client_timeout.as_millis() as u64,
        }
    }

    /// Returns the event that records the response to the request.
    pub(crate) fn answered_by(&self, response: &CompleteMessage<StatusLine>) -> EventKind {
        EventKind::ResponseReceived {
            id: self.id.clone(),
            status: response.start_line.code,
            body: String::from_utf8_lossy(&response.body).into_owned(),
            has_retry_after: response.fields.text("retry-after").is_some(),
        }
    }
}

/// A client of one gateway that sends one request at a time and keeps its connection open between requests.
#[derive(Debug)]
pub struct Client {
    gateway: usize,
    address: SocketAddr,
    recorder: HistoryRecorder,
    stream: Option<TcpStream>,
}

impl Client {
    /// Returns a client of the gateway with index `gateway`, which is reached at `address`. The client
    /// connects with its first request.
    pub fn new(gateway: usize, address: SocketAddr, recorder: &HistoryRecorder) -> Self {
        Client { gateway, address, recorder: recorder.clone(), stream: None }
    }

    /// Sends a request and waits for the response. Returns the status, or `None` if there was no complete
    /// response.
    pub async fn send(&mut self, request: &Request) -> Option<u16> {
        let mut reused = self.stream.is_some();
        let mut recorded = false;
        loop {
            let Some(mut stream) = self.connection(request).await else {
                return self.record_missing(request, NO_CONNECTION);
            };
            let sent = stream.write_all(request.to_http().as_bytes()).await.is_ok();
            if sent && !recorded {
                recorded = true;
                self.recorder.record(request.sent_to(self.gateway));
            }
            let mut reader = Reader::<StatusLine>::new(MAX_BODY_BYTES);
            let response = timeout(
                request.client_timeout + LATE_RESPONSE_WAIT,
                read_message(&mut stream, &mut reader, &self.recorder),
            );
            match response.await {
                Ok(Some((response, _))) => return Some(self.receive(request, &response, &reader, stream)),
                Err(_) => return self.record_missing(request, "no response in time"),
                // The gateway closed the idle connection while the request was on the way, so that the
                // request is resent once over a new connection.
                Ok(None) if reused && !reader.has_begun() => {
                    reused = false;
                    self.recorder
                        .record(EventKind::RequestResent { id: request.id.clone(), gateway: self.gateway });
                }
                Ok(None) => return self.record_missing(request, "the connection ended"),
            }
        }
    }

    /// Returns the open connection or a new one, or `None` if no connection is established within the
    /// client's timeout.
    async fn connection(&mut self, request: &Request) -> Option<TcpStream> {
        if let Some(stream) = self.stream.take() {
            return Some(stream);
        }
        let connected = timeout(request.client_timeout, TcpStream::connect(self.address)).await;
        let stream = connected.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    fn receive(
        &mut self, request: &Request, response: &CompleteMessage<StatusLine>, reader: &Reader<StatusLine>,
        stream: TcpStream,
    ) -> u16 {
        let event = request.answered_by(response);
        // Data after the response counts as a second response, so that the history shows the violation.
        if !reader.is_idle() {
            self.recorder.record(event.clone());
        }
        self.recorder.record(event);
        if response.keep_alive {
            self.stream = Some(stream);
        }
        response.start_line.code
    }

    fn record_missing(&self, request: &Request, reason: &str) -> Option<u16> {
        self.recorder.record(EventKind::ResponseMissing { id: request.id.clone(), reason: reason.into() });
        None
    }
}
