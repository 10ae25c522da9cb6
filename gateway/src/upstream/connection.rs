//! The task of one connection: it dials, carries attempts, and is pooled between them.
use super::attempt::Attempt;
use super::exchange::exchange;
use super::pool::Offer;
use super::{ConnectionSlot, Upstream};
use crate::events::RawRequest;
use crate::http1::{Reader, MAX_BODY_BYTES};
use crate::sockets::{is_local, with_nodelay};
use std::io;
use std::time::Duration;
use ternstack_balancer::Outcome;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at, Instant};
use tracing::debug;

/// The time after a response for which a connection carries no attempt. Excess bytes that follow a response within that time
/// close the connection; once the next request was sent they would be taken for its response. An attempt waits for the
/// rest of it, as a new connection would cost the endpoint more.
const REST_AFTER_RESPONSE: Duration = Duration::from_millis(10);

/// Dials for a first attempt, and carries attempts until one leaves the connection unfit for more.
pub(super) async fn run(upstream: Upstream, _slot: ConnectionSlot, mut attempt: Attempt) {
    let mut decided_at = Instant::now();
    let stream = match dial(&upstream, &mut attempt).await {
        Ok(stream) => stream,
        Err(outcome) => return upstream.report_end(&attempt, outcome.into()).await,
    };
    loop {
        let mut reader = Reader::new(MAX_BODY_BYTES);
        let end = exchange(&upstream.violations, &stream, &mut reader, &mut attempt, decided_at).await;
        // An endpoint that has moved or restarted gets new connections only.
        let is_same_incarnation = attempt.is_endpoint_in_service();
        let keep_alive = end.response.as_ref().is_some_and(|response| response.keep_alive);
        if !(is_same_incarnation && keep_alive && reader.is_idle()) {
            let (endpoint_id, outcome) = (attempt.endpoint.0, end.outcome);
            debug!(endpoint_id, ?outcome, is_same_incarnation, "closing connection to endpoint");
            // Closed before the end is reported: the balancer may retry at once, and no two attempts may be in flight.
            drop(stream);
            return upstream.report_end(&attempt, end).await;
        }
        let rested_at = Instant::now() + REST_AFTER_RESPONSE;
        let offer = upstream.pool.offer(attempt.endpoint);
        upstream.report_end(&attempt, end).await;
        attempt.raw = RawRequest::default(); // An idle connection keeps no request in memory.
        drop(reader);
        let Some(next) = next_attempt(&upstream, &stream, offer, &attempt).await else { return };
        attempt = next;
        decided_at = Instant::now();
        tokio::select! {
            biased;
            _ = &mut attempt.cancelled => {
                drop(stream);
                return upstream.report_end(&attempt, Outcome::NotSent.into()).await;
            }
            // The endpoint has closed the connection or sent excess bytes. Nothing has been sent yet, so the attempt
            // takes another connection.
            () = closed_or_excess_bytes(&stream) => return upstream.start(attempt),
            () = sleep_until(rested_at) => {}
        }
    }
}

/// Waits in the pool for the attempt after `last`; `None` if the connection is to close.
async fn next_attempt(
    upstream: &Upstream, stream: &TcpStream, mut offer: Offer, last: &Attempt,
) -> Option<Attempt> {
    let idle_until = Instant::now() + upstream.idle_timeout;
    tokio::select! {
        biased;
        // An error means that the pool has closed the connection.
        next = &mut offer.next_attempt => return next.ok(),
        () = closed_or_excess_bytes(stream) => {}
        () = sleep_until(idle_until) => {}
    }
    upstream.pool.withdraw(last.endpoint, offer.number);
    None
}

/// Waits until an idle connection is closed by the endpoint or receives bytes that no request asked for.
async fn closed_or_excess_bytes(stream: &TcpStream) {
    // The socket may still be marked readable from the last response; only a read tells.
    while stream.readable().await.is_ok() && has_nothing_to_read(stream) {}
}

/// Whether a connection is up with nothing to read from it.
fn has_nothing_to_read(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    matches!(read, Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted))
}

/// Opens a connection for an attempt; the attempt's outcome if that fails.
async fn dial(upstream: &Upstream, attempt: &mut Attempt) -> Result<TcpStream, Outcome> {
    let dial_by = attempt.give_up_at.min(Instant::now() + upstream.connect_timeout);
    let dial_by = attempt.send_by.map_or(dial_by, |send_by| send_by.min(dial_by));
    let dialled = tokio::select! {
        biased;
        _ = &mut attempt.cancelled => return Err(Outcome::NotSent),
        dialled = timeout_at(dial_by, TcpStream::connect(attempt.address)) => dialled,
    };
    match dialled.map(with_nodelay) {
        Ok(Ok(stream)) => Ok(stream),
        // This machine's lack of descriptors or ports is not the endpoint's fault.
        Ok(Err(e)) if is_local(&e) => Err(Outcome::NotSent),
        Err(_) if attempt.is_past_send_by() => Err(Outcome::NotSent),
        _ => Err(Outcome::ConnectFailed),
    }
}
