//! A stub discovery, and the endpoint lists that it serves.
use super::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// A target line of discovery's list.
pub fn target(n: usize, at: SocketAddr, state: &str) -> Value {
    json!({"uid": format!("s-{n}"), "endpoint": at.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0, "novel": {}})
}

pub fn list(rev: u64, all: bool, targets: Vec<Value>) -> Value {
    json!({"rev": rev, "all": all, "targets": targets})
}

/// Discovery that answers each call with what the test gives it.
pub struct Discovery {
    pub at: SocketAddr,
    calls: mpsc::UnboundedReceiver<(String, oneshot::Sender<String>)>,
}

impl Discovery {
    pub async fn start() -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").await.expect("a free port"))
    }

    pub fn start_on(listener: TcpListener) -> Self {
        let at = listener.local_addr().expect("an address");
        let (tell, calls) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let tell = tell.clone();
                tokio::spawn(async move {
                    let mut reader = Reader::new(MAX_BODY_BYTES);
                    while let Some(ask) = next::<RequestLine>(&mut stream, &mut reader).await {
                        let (answer, answered) = oneshot::channel::<String>();
                        let _ = tell.send((String::from_utf8_lossy(ask.target()).into_owned(), answer));
                        let Ok(text) = answered.await else { break };
                        drop(stream.write_all(text.as_bytes()).await);
                    }
                });
            }
        });
        Discovery { at, calls }
    }

    /// The next call's path and query; it waits until it is answered, or ends if that is dropped.
    pub async fn call(&mut self) -> (String, oneshot::Sender<String>) {
        timeout(LONG, self.calls.recv()).await.expect("a call").expect("discovery runs")
    }
}

pub fn ok(body: &Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
