//! The task of one upstream connection: connects to the endpoint, carries attempts, and waits in the pool
//! between them.
use super::attempt::Attempt;
use super::exchange::exchange;
use super::pool::PooledConnection;
use super::{ConnectionSlot, Upstream};
use crate::events::RawRequest;
use crate::http1::{Reader, MAX_BODY_BYTES};
use crate::sockets::{is_local, with_nodelay};
use std::io;
use std::time::Duration;
use ternstack_balancer::Outcome;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};
use tracing::debug;

/// How long after a response a connection carries no attempt. Excess bytes that arrive in this time close the
/// connection, because they would be taken for the next response once another request has been sent. An
/// attempt waits for the end of the delay, because a new connection would cost the endpoint more.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// Connects to the endpoint of the first attempt, and carries attempts until the connection cannot be reused.
pub(super) async fn run(upstream: Upstream, _slot: ConnectionSlot, mut attempt: Attempt) {
    let stream = match dial(&upstream, &mut attempt).await {
        Ok(stream) => stream,
        Err(outcome) => return upstream.report_end(&attempt, outcome.into()).await,
    };
    loop {
        let mut reader = Reader::new(MAX_BODY_BYTES);
        let end = exchange(&upstream, &stream, &mut reader, &mut attempt).await;
        // A connection is not reused for an endpoint that has moved, restarted or stopped serving.
        let is_same_incarnation = attempt.is_endpoint_in_service();
        let keep_alive = end.response.as_ref().is_some_and(|response| response.message.keep_alive);
        if !(is_same_incarnation && keep_alive && reader.is_idle()) {
            let (endpoint_id, outcome) = (attempt.endpoint.0, end.outcome);
            debug!(endpoint_id, ?outcome, is_same_incarnation, "closing connection to endpoint");
            // The connection is closed before the end is reported, because the balancer may then retry at
            // once, and two attempts of a request must not be in flight together.
            drop(stream);
            return upstream.report_end(&attempt, end).await;
        }
        let reusable_at = Instant::now() + REUSE_DELAY;
        let pooled = upstream.pool.insert(attempt.endpoint);
        upstream.report_end(&attempt, end).await;
        attempt.raw = RawRequest::default(); // An idle connection keeps no request in memory.
        drop(reader);
        let Some(next) = next_attempt(&upstream, &stream, pooled, &attempt).await else { return };
        attempt = next;
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => {
                drop(stream);
                return upstream.report_end(&attempt, Outcome::NotSent.into()).await;
            }
            // The endpoint has closed the connection or sent excess bytes. The attempt has not been sent yet,
            // so it is started again on another connection.
            () = closed_or_excess_bytes(&stream) => return upstream.start(attempt),
            // The endpoint may have done so during a stall, also if the delay had passed before the stall.
            () = async {
                sleep_until(reusable_at).await;
                upstream.lag.catch_up().await;
            } => {}
        }
    }
}

/// Waits in the pool for the attempt after `last`. Returns `None` if the connection must be closed.
async fn next_attempt(
    upstream: &Upstream, stream: &TcpStream, mut pooled: PooledConnection, last: &Attempt,
) -> Option<Attempt> {
    let idle_until = Instant::now() + upstream.idle_timeout;
    tokio::select! {
        biased;
        // The channel fails if the pool has closed the connection.
        next = &mut pooled.next_attempt => return next.ok(),
        () = closed_or_excess_bytes(stream) => {}
        () = upstream.lag.sleep_until(idle_until) => {}
    }
    upstream.pool.remove(last.endpoint, pooled.number);
    None
}

/// Waits until the endpoint closes an idle connection or sends bytes that are not the response to a request.
async fn closed_or_excess_bytes(stream: &TcpStream) {
    // Tokio may still report the socket as readable after the last response, so only a read shows whether it
    // is.
    while stream.readable().await.is_ok() && has_nothing_to_read(stream) {}
}

/// Returns whether a connection is open and has no bytes to read.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    matches!(read, Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted))
}

/// Opens a connection for an attempt.
///
/// # Errors
/// Returns the outcome of the attempt if the connection cannot be opened in time.
async fn dial(upstream: &Upstream, attempt: &mut Attempt) -> Result<TcpStream, Outcome> {
    let dial_by = attempt.give_up_at.min(Instant::now() + upstream.connect_timeout);
    let dial_by = attempt.send_by.map_or(dial_by, |send_by| send_by.min(dial_by));
    let dialled = tokio::select! {
        biased;
        _ = &mut attempt.cancelled => return Err(Outcome::NotSent),
        dialled = upstream.lag.timeout_at(dial_by, TcpStream::connect(attempt.address)) => dialled,
    };
    match dialled.map(with_nodelay) {
        Some(Ok(stream)) => Ok(stream),
        // The endpoint is not to blame if this machine lacks descriptors, ports or memory.
        Some(Err(e)) if is_local(&e) => Err(Outcome::NotSent),
        None if attempt.is_past_send_by() => Err(Outcome::NotSent),
        _ => Err(Outcome::ConnectFailed),
    }
}
