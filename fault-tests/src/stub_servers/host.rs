//! A stub host: it serves requests, drains, and responds with faults on demand.
use super::{field, Listeners};
use crate::client::read_message;
use crate::history::{EventKind, HistoryRecorder};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// The load report in every response of 200.
const LOAD_REPORT: &str = "X-Backend-Load: util=0.4,qps=20";
/// The response of a host that fails.
const ERROR_RESPONSE: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// The response of a host that has not processed the request.
const REJECTION: &str = "HTTP/1.1 503 Draining\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A fault of a host's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// It never responds.
    Hang,
    /// It resets the connection instead.
    Reset,
    /// It closes the connection instead.
    Close,
    /// It responds with an error.
    Error,
    /// It rejects the request unprocessed.
    Reject,
    /// It closes the connection in the middle of the response.
    Truncated,
    /// The response has no length and ends with the connection.
    NoContentLength,
}

impl ResponseFault {
    /// All faults. Soaks draw from this order.
    pub const ALL: [ResponseFault; 7] = [
        ResponseFault::Hang,
        ResponseFault::Reset,
        ResponseFault::Close,
        ResponseFault::Error,
        ResponseFault::Reject,
        ResponseFault::Truncated,
        ResponseFault::NoContentLength,
    ];
}

/// A response fault that recurs on each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultEvery {
    /// The fault.
    pub fault: ResponseFault,
    /// It affects every request of a connection whose number this divides.
    pub request_count: usize,
}

/// How a host behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerBehaviour {
    /// How long it processes a request.
    pub service_time: Duration,
    /// Whether it rejects new requests.
    pub drains: bool,
    /// The fault of its responses, if any.
    pub response_fault: Option<FaultEvery>,
}

impl ServerBehaviour {
    /// The fault of the response to a connection's request with this number, counted from 1.
    fn fault_of(&self, request_number: usize) -> Option<ResponseFault> {
        let every = self.response_fault.filter(|every| request_number.is_multiple_of(every.request_count));
        every.map(|every| every.fault)
    }
}

/// A stub host.
#[derive(Debug)]
pub struct StubHost {
    /// Where it listens for each gateway.
    pub addresses: Vec<SocketAddr>,
    behaviour: watch::Sender<ServerBehaviour>,
    _listeners: Listeners,
}

impl StubHost {
    /// Starts host `number`, with a listener for each gateway.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start(
        number: usize, gateways: usize, service_time: Duration, recorder: &HistoryRecorder,
    ) -> io::Result<Self> {
        let (behaviour, behaviour_seen) =
            watch::channel(ServerBehaviour { service_time, drains: false, response_fault: None });
        let (mut addresses, mut listeners) = (Vec::new(), Listeners::default());
        for gateway in 0..gateways {
            let (recorder, behaviour) = (recorder.clone(), behaviour_seen.clone());
            let serve = move |stream| {
                let connection = Connection {
                    host: number,
                    gateway,
                    behaviour: behaviour.clone(),
                    recorder: recorder.clone(),
                    response_count: 0,
                };
                connection.serve(stream)
            };
            addresses.push(listeners.add(serve).await?);
        }
        Ok(StubHost { addresses, behaviour, _listeners: listeners })
    }

    /// Changes its behaviour from the next request on.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut ServerBehaviour)) {
        self.behaviour.send_modify(change);
    }
}

/// A connection from a gateway to a host.
struct Connection {
    host: usize,
    gateway: usize,
    behaviour: watch::Receiver<ServerBehaviour>,
    recorder: HistoryRecorder,
    response_count: u64,
}

impl Connection {
    async fn serve(mut self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(MAX_BODY_BYTES);
        let mut request_count = 0;
        while let Some((request, first_byte_at_us)) =
            read_message::<RequestLine>(&mut stream, &mut reader, &self.recorder).await
        {
            let id = field(&request, "x-correlation-id");
            let behaviour = *self.behaviour.borrow();
            request_count += 1;
            let fault = behaviour.fault_of(request_count);
            let processed = !behaviour.drains && fault != Some(ResponseFault::Reject);
            self.record_arrival(&id, &field(&request, "x-time-left-ms"), first_byte_at_us, processed);
            let response = match fault {
                Some(ResponseFault::Hang) => {
                    // Returns once the gateway closes the connection or sends more.
                    let _ = stream.read_buf(reader.buffer()).await;
                    return;
                }
                Some(ResponseFault::Reset) => return drop(stream.set_zero_linger()),
                Some(ResponseFault::Close) => return,
                Some(ResponseFault::Error) => {
                    if stream.write_all(ERROR_RESPONSE.as_bytes()).await.is_err() {
                        return;
                    }
                    continue;
                }
                _ if processed => {
                    sleep(behaviour.service_time).await;
                    self.respond(id, fault)
                }
                _ => REJECTION.to_string(),
            };
            let ends = matches!(fault, Some(ResponseFault::Truncated | ResponseFault::NoContentLength));
            if stream.write_all(response.as_bytes()).await.is_err() || !request.keep_alive || ends {
                return;
            }
        }
    }

    fn record_arrival(&self, id: &str, deadline_field: &str, first_byte_at_us: u64, processed: bool) {
        if let Ok(remaining_ms) = deadline_field.parse() {
            self.recorder.record(EventKind::DeadlineForwarded {
                id: id.into(),
                first_byte_at_us,
                remaining_ms,
            });
        }
        let (host, gateway) = (self.host, self.gateway);
        self.recorder.record(EventKind::RequestReceived {
            id: id.into(),
            host,
            gateway,
            first_byte_at_us,
            processed,
        });
    }

    /// Creates and records a response of 200, in HTTP with its fault.
    fn respond(&mut self, id: String, fault: Option<ResponseFault>) -> String {
        self.response_count += 1;
        let Connection { host, gateway, response_count, .. } = self;
        let body = format!(
            "host {host} made this for {id}, its {response_count}th for gateway {gateway}: {:-<64}",
            ""
        );
        self.recorder.record(EventKind::ResponseCreated { id, host: *host, body: body.clone() });
        let length = body.len();
        match fault {
            Some(ResponseFault::NoContentLength) => {
                format!("HTTP/1.1 200 OK\r\n{LOAD_REPORT}\r\n\r\n{body}")
            }
            Some(ResponseFault::Truncated) => {
                let half = &body[..length / 2];
                format!("HTTP/1.1 200 OK\r\n{LOAD_REPORT}\r\nContent-Length: {length}\r\n\r\n{half}")
            }
            _ => format!("HTTP/1.1 200 OK\r\n{LOAD_REPORT}\r\nContent-Length: {length}\r\n\r\n{body}"),
        }
    }
}
