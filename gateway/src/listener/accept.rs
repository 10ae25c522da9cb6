//! The accept loop, and the accepts at the end of a graceful shutdown.
use super::connection::ClientConnection;
use super::{ClientSlot, ConnectionGuard, Frontend, ShutdownPhase};
use crate::descriptors::AdmittedClient;
use crate::sockets::{is_connection_error, lacks_descriptors, with_nodelay};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

/// The delay before a failed accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The interval at which the accept loop looks for room for another connection.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// The shortest interval between two warnings about failed accepts.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);
/// How long failed accepts are retried at the end of a graceful shutdown.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(200);

/// A connection that has been accepted and not been admitted yet.
struct AcceptedConnection {
    stream: TcpStream,
    /// The earliest time at which the connection's first bytes may have arrived.
    arrived_at: Instant,
}

impl Frontend {
    /// Accepts client connections until [`ShutdownPhase::Rejecting`], and then the connections that wait in
    /// the kernel at that time, because closing the listener would reset those connections together with
    /// their requests.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut phase = self.phase.clone();
        let mut without_room = None;
        tokio::select! {
            () = self.accept_loop(&listener, &mut without_room) => {}
            // Waiting fails only if the sender is dropped, which does not happen while the gateway runs.
            _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Rejecting) => {}
        }
        match listener.into_std() {
            Ok(listener) => self.accept_backlog(&listener, without_room).await,
            Err(e) => warn!(error = %e, "cannot accept the last connections"),
        }
    }

    /// Accepts connections until this function is cancelled. A connection that waits for room is kept in
    /// `without_room`, so that it is not lost with the cancellation.
    async fn accept_loop(
        self: &Arc<Self>, listener: &TcpListener, without_room: &mut Option<AcceptedConnection>,
    ) {
        let mut warned_at: Option<Instant> = None;
        // The time since which connections may have been waiting in the kernel, which is the last time when
        // none waited.
        let mut waiting_since: Option<Instant> = None;
        loop {
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
                    *without_room = Some(AcceptedConnection { stream, arrived_at });
                    // Another connection may be evicted, and its bytes may have arrived during a stall.
                    self.lag.catch_up().await;
                    // The next connections wait in the kernel, so that the descriptors beyond the budget
                    // suffice.
                    while !self.budgets.descriptors.can_accept() {
                        sleep(ROOM_CHECK_INTERVAL).await;
                    }
                    let has_evicted = without_room.take().is_some_and(|accepted| self.admit(accepted));
                    if has_evicted {
                        // The evicted connection is closed before the next one is accepted, so that the
                        // budget holds.
                        tokio::task::yield_now().await;
                    }
                }
                // The listener itself still works.
                Err(e) if is_connection_error(&e) => {
                    debug!(error = %e, "connection failed before its accept")
                }
                // The delay avoids a busy loop while this machine lacks a resource.
                Err(e) => {
                    if warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
                        warn!(error = %e, "cannot accept connections; retrying");
                        warned_at = Some(Instant::now());
                    }
                    if lacks_descriptors(&e) {
                        self.budgets.descriptors.make_room();
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the kernel before the listener is closed, after the connection
    /// `without_room` that has been accepted before.
    async fn accept_backlog(
        self: &Arc<Self>, listener: &std::net::TcpListener, without_room: Option<AcceptedConnection>,
    ) {
        let retry_until = Instant::now() + FINAL_ACCEPT_TIMEOUT;
        if let Some(accepted) = without_room {
            self.admit_until(accepted, retry_until).await;
        }
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if is_connection_error(&e) && Instant::now() < retry_until => continue,
                Err(e) if e.kind() != io::ErrorKind::WouldBlock && Instant::now() < retry_until => {
                    warn!(error = %e, "cannot accept connections; retrying");
                    sleep(RETRY_DELAY).await;
                    continue;
                }
                Err(_) => return,
            };
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            match with_nodelay(stream) {
                Ok(stream) => {
                    let accepted = AcceptedConnection { stream, arrived_at: Instant::now() };
                    self.admit_until(accepted, retry_until).await;
                }
                Err(e) => debug!(error = %e, "cannot use an accepted connection"),
            }
        }
    }

    /// Admits a connection as soon as there is room, or closes it at `until`.
    async fn admit_until(self: &Arc<Self>, accepted: AcceptedConnection, until: Instant) {
        while !self.budgets.descriptors.can_accept() {
            if Instant::now() >= until {
                return warn!("too many clients at shutdown; closing a connection without a response");
            }
            sleep(ROOM_CHECK_INTERVAL).await;
        }
        if self.admit(accepted) {
            tokio::task::yield_now().await;
        }
    }

    /// Spawns the task that serves a connection. Returns true if another connection was evicted for the new
    /// one and is still being closed.
    fn admit(self: &Arc<Self>, accepted: AcceptedConnection) -> bool {
        let AcceptedConnection { stream, arrived_at } = accepted;
        let Some(AdmittedClient { descriptor, evicted, has_evicted }) = self.budgets.descriptors.admit()
        else {
            // Every caller has checked that there is room, without a pause since then.
            warn!("no descriptor for a client; closing its connection");
            return false;
        };
        let slot = ClientSlot { descriptor, evicted };
        // The connection is counted before its task first runs, so that a shutdown waits for the connection.
        let guard = ConnectionGuard::new(self.clone());
        tokio::spawn(async move {
            let connection = ClientConnection::new(&guard, stream, slot, arrived_at);
            if let Err(e) = connection.serve().await {
                debug!(error = %e, "client connection failed");
            }
        });
        has_evicted
    }
}
