//! Ordinary clients beside hostile ones: each sends one small request after another, and the readiness probe.
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use ternstack_gateway::http1::{Reader, StatusLine, MAX_BODY_BYTES};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How long an ordinary client waits for its response, as it tells the gateway.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The pause of an ordinary client between two requests.
const THINK_TIME: Duration = Duration::from_millis(60);
/// The interval of readiness probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The requests of ordinary clients and how they ended.
#[derive(Clone, Debug, Default)]
pub struct OrdinaryResults {
    /// Latencies of requests that were served with status 200.
    pub served: Vec<Duration>,
    /// Number of requests that were rejected with status 503 or 429.
    pub rejected: usize,
    /// Number of requests that ended with another status.
    pub failed: usize,
    /// Number of requests without a response in time.
    pub lost: usize,
    /// Number of requests whose connection was closed without a response, and that of their repetition as well.
    pub closed: usize,
    /// Number of readiness probes.
    pub probes: usize,
    /// Number of readiness probes without status 200 within the client timeout.
    pub failed_probes: usize,
}

impl OrdinaryResults {
    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.served.len() + self.rejected + self.failed + self.lost + self.closed
    }

    /// Returns the 99th percentile of the latencies of served requests.
    pub fn p99(&self) -> Duration {
        let mut latencies = self.served.clone();
        latencies.sort();
        latencies.get(latencies.len() * 99 / 100).copied().unwrap_or_default()
    }
}

/// The results, shared by all ordinary clients.
pub(super) type SharedResults = Arc<Mutex<OrdinaryResults>>;

fn update(results: &SharedResults, change: impl FnOnce(&mut OrdinaryResults)) {
    change(&mut results.lock().unwrap_or_else(PoisonError::into_inner));
}

/// Sends one request after another until `until`.
pub(super) async fn send_requests(
    gateway: SocketAddr, number: usize, results: SharedResults, patience: Duration, until: Instant,
) {
    let mut connection = None;
    let mut round = 0;
    while Instant::now() < until {
        let begun_at = Instant::now();
        let request = format!(
            "GET /api?d=1 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: ordinary-{number}-{round}\r\n\
             X-Service-Class: look\r\nX-Account: acme\r\nX-Time-Left-Ms: {}\r\n\r\n",
            CLIENT_TIMEOUT.as_millis()
        );
        let mut status = exchange(gateway, &mut connection, &request, patience).await;
        if status == Some(CLOSED) {
            // The gateway may have closed the connection before it read the request.
            status = exchange(gateway, &mut connection, &request, patience).await;
        }
        update(&results, |results| match status {
            Some(200) => results.served.push(begun_at.elapsed()),
            Some(429 | 503) => results.rejected += 1,
            Some(CLOSED) => results.closed += 1,
            None => results.lost += 1,
            Some(_) => results.failed += 1,
        });
        round += 1;
        sleep(THINK_TIME).await;
    }
}

/// Asks for the readiness until `until`.
pub(super) async fn probe_readiness(gateway: SocketAddr, results: SharedResults, until: Instant) {
    while Instant::now() < until {
        let probe = "GET /ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n";
        let status = exchange(gateway, &mut None, probe, CLIENT_TIMEOUT).await;
        update(&results, |results| {
            results.probes += 1;
            results.failed_probes += usize::from(status != Some(200));
        });
        sleep(PROBE_INTERVAL).await;
    }
}

/// The pseudo status of an exchange whose connection was closed without a response.
const CLOSED: u16 = 0;

/// Sends a request on the open connection or a new one. Returns the status of the response, [`CLOSED`], or
/// `None` if there was no response in time.
async fn exchange(
    gateway: SocketAddr, connection: &mut Option<TcpStream>, request: &str, patience: Duration,
) -> Option<u16> {
    let attempt = async {
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => TcpStream::connect(gateway).await.ok()?,
        };
        stream.set_nodelay(true).ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut reader: Reader<StatusLine> = Reader::new(MAX_BODY_BYTES);
        loop {
            if let Some(response) = reader.next(false).ok()? {
                let status = response.start_line.code;
                *connection = response.keep_alive.then_some(stream);
                return Some(status);
            }
            if stream.read_buf(reader.buffer()).await.ok()? == 0 {
                return None;
            }
        }
    };
    timeout(patience, attempt).await.map_or(None, |status| Some(status.unwrap_or(CLOSED)))
}
