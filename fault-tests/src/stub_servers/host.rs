//! A stub host: serves requests, drains, and injects faults into its responses.
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

/// Header field with the load report of every response with status 200.
const LOAD_REPORT: &str = "X-Backend-Load: util=0.4,qps=20";
/// Response of a host that fails.
const ERROR_RESPONSE: &str = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
/// Response of a host that rejects the request unprocessed.
const REJECTION: &str = "HTTP/1.1 503 Draining\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

/// A fault of a stub host's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// The host never responds.
    Hang,
    /// The host resets the connection instead of responding.
    Reset,
    /// The host closes the connection instead of responding.
    Close,
    /// The host responds with status 500.
    Error,
    /// The host rejects the request unprocessed with status 503.
    Reject,
    /// The host closes the connection in the middle of the response's body.
    Truncated,
    /// The response has no Content-Length and ends with the connection.
    NoContentLength,
}

impl ResponseFault {
    /// All faults. The order is fixed, because a soak draws an index into the array from its seed.
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

/// A response fault that recurs on every connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecurringFault {
    /// Fault of the affected responses.
    pub fault: ResponseFault,
    /// Number of requests from one affected request to the next: request number `period` of a connection is
    /// the first one that is affected.
    pub period: usize,
}

/// The behaviour of a stub host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostBehaviour {
    /// Time that the host takes to process a request.
    pub service_time: Duration,
    /// Whether the host rejects new requests because it drains.
    pub drains: bool,
    /// Fault of the host's responses, if any.
    pub response_fault: Option<RecurringFault>,
}

impl HostBehaviour {
    /// Returns the fault of the response to a connection's request number `request_number`, counted from 1.
    fn fault_of(&self, request_number: usize) -> Option<ResponseFault> {
        let recurring =
            self.response_fault.filter(|recurring| request_number.is_multiple_of(recurring.period));
        recurring.map(|recurring| recurring.fault)
    }
}

/// A stub host, with a listener for each gateway.
#[derive(Debug)]
pub struct StubHost {
    /// Listen addresses, by index of the gateway.
    pub addresses: Vec<SocketAddr>,
    behaviour: watch::Sender<HostBehaviour>,
    _listeners: Listeners,
}

impl StubHost {
    /// Starts host `number`, with a listener for each gateway.
    ///
    /// # Errors
    /// Returns an error if a listener cannot be bound.
    pub async fn start(
        number: usize, gateways: usize, service_time: Duration, recorder: &HistoryRecorder,
    ) -> io::Result<Self> {
        let (behaviour, behaviour_seen) =
            watch::channel(HostBehaviour { service_time, drains: false, response_fault: None });
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

    /// Changes the behaviour of the host from the next request on.
    pub fn update_behaviour(&self, change: impl FnOnce(&mut HostBehaviour)) {
        self.behaviour.send_modify(change);
    }
}

/// A connection from a gateway to a host.
struct Connection {
    host: usize,
    gateway: usize,
    behaviour: watch::Receiver<HostBehaviour>,
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
                    // The read returns once the gateway closes the connection or sends more data.
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

    /// Creates a response with status 200, records it, and returns it as HTTP/1.1 text with the fault
    /// applied.
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
