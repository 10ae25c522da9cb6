//! The accept loop, and the last accepts of a graceful shutdown.
use super::connection::ClientConnection;
use super::{ClientSlot, ConnectionGuard, Frontend, ShutdownPhase};
use crate::descriptors::AdmittedClient;
use crate::sockets::{concerns_one_connection, lacks_descriptors, with_nodelay};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

/// The pause after a failed accept.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Failed accepts are logged at most this often.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);
/// The time for which failed accepts of a graceful shutdown are retried.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);

impl Frontend {
    /// Accepts clients until [`ShutdownPhase::Rejecting`], and then those whose connections are up by that time: closing
    /// the listener would reset them together with the requests that they brought.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        tokio::select! {
            () = self.accept_all(&listener) => {}
            // The sender lives as long as the program.
            _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Rejecting) => {}
        }
        match listener.into_std() {
            Ok(listener) => self.accept_waiting(&listener).await,
            Err(e) => warn!("cannot accept the last connections: {e}"),
        }
    }

    async fn accept_all(self: &Arc<Self>, listener: &TcpListener) {
        let mut warned_at: Option<Instant> = None;
        // Since when connections may have been waiting: since the last moment at which none was.
        let mut waiting_since: Option<Instant> = None;
        loop {
            // Without a free descriptor a few clients more are accepted in order to be rejected with retry advice.
            // Beyond these, connections wait in the listener's own queue.
            let Ok(spare) = self.spare.clone().acquire_owned().await else { return };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = std::future::ready(()) => {
                    waiting_since = None;
                    listener.accept().await
                }
            };
            let arrived_at = *waiting_since.get_or_insert_with(|| self.lag.earliest_arrival());
            match with_nodelay(accepted.map(|(stream, _)| stream)) {
                Ok(stream) => {
                    if self.admit(stream, spare, arrived_at) {
                        // The evicted connection ends before the next is accepted, which keeps within the budget.
                        tokio::task::yield_now().await;
                    }
                }
                // Nothing is wrong with the listener.
                Err(e) if concerns_one_connection(&e) => debug!("cannot accept a connection: {e}"),
                // The pause prevents a busy loop while this machine lacks a resource.
                Err(e) => {
                    if warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
                        warn!("cannot accept: {e}; trying again");
                        warned_at = Some(Instant::now());
                    }
                    if lacks_descriptors(&e) {
                        self.descriptors.make_room();
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that wait as the listener is about to be closed.
    async fn accept_waiting(self: &Arc<Self>, listener: &std::net::TcpListener) {
        let retry_until = Instant::now() + FINAL_ACCEPT_TIMEOUT;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if concerns_one_connection(&e) && Instant::now() < retry_until => continue,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock && Instant::now() < retry_until => {
                    warn!("cannot accept: {e}; trying again");
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Err(_) => return,
            };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            match (with_nodelay(stream), self.spare.clone().try_acquire_owned()) {
                (Ok(stream), Ok(spare)) => drop(self.admit(stream, spare, Instant::now())),
                (Err(e), _) => debug!("cannot accept a connection: {e}"),
                (_, Err(_)) => warn!("too many clients at shutdown; one gets no response"),
            }
        }
    }

    /// Serves a connection that arrived at `arrived_at` or later. True if another connection was evicted for it and has
    /// yet to end.
    fn admit(self: &Arc<Self>, stream: TcpStream, spare: OwnedSemaphorePermit, arrived_at: Instant) -> bool {
        let (slot, has_evicted) = match self.descriptors.admit() {
            Some(AdmittedClient { descriptor, evicted, has_evicted }) => {
                (ClientSlot::Admitted { descriptor, evicted }, has_evicted)
            }
            None => (ClientSlot::Spare { _permit: spare }, false),
        };
        // Counted before its task first runs, so that a shutdown waits for it.
        let guard = ConnectionGuard::new(self.clone());
        tokio::spawn(async move {
            let connection = ClientConnection::new(&guard.0, stream, slot, arrived_at);
            if let Err(e) = connection.serve().await {
                debug!("client connection failed: {e}");
            }
        });
        has_evicted
    }
}
