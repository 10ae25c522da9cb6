//! A stub of discovery, and the endpoint lists that the stub serves.
use super::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Returns an entry of discovery's endpoint list, with the uid `s-NUMBER`.
pub fn endpoint_entry(number: usize, address: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("s-{number}"), "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0, "novel": {}})
}

/// Returns an endpoint list: the complete list if `is_complete`, otherwise the changes since the preceding
/// revision.
pub fn endpoint_list(revision: u64, is_complete: bool, entries: Vec<Value>) -> Value {
    json!({"rev": revision, "all": is_complete, "targets": entries})
}

/// A stub of discovery. The test responds to each poll.
pub struct StubDiscovery {
    pub address: SocketAddr,
    polls: mpsc::UnboundedReceiver<(String, oneshot::Sender<String>)>,
}

impl StubDiscovery {
    pub async fn start() -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound"))
    }

    pub fn start_on(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("a listener has an address");
        let (poll_sender, polls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let poll_sender = poll_sender.clone();
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(poll) = read_message::<RequestLine>(&mut stream, &mut reader).await {
                        let (responder, response) = oneshot::channel::<String>();
                        let _ = poll_sender
                            .send((String::from_utf8_lossy(poll.target()).into_owned(), responder));
                        let Ok(text) = response.await else { break };
                        drop(stream.write_all(text.as_bytes()).await);
                    }
                });
            }
        });
        StubDiscovery { address, polls }
    }

    /// Waits for the next poll; returns the path and query of the poll, and the sender of the response. The
    /// connection of the poll stays open without a response until the test sends one, and is closed if the
    /// test drops the sender.
    pub async fn next_poll(&mut self) -> (String, oneshot::Sender<String>) {
        timeout(TEST_TIMEOUT, self.polls.recv())
            .await
            .expect("a poll is received")
            .expect("the stub discovery is running")
    }
}

/// Returns a response with status 200 and a JSON body.
pub fn ok_response(body: &Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
