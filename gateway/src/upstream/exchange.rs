//! One attempt on an open connection: sends the request, receives the response, and determines the outcome.
use super::attempt::{Attempt, Cancellation, Purpose};
use super::{ExchangeEnd, Upstream};
use crate::events::{RawRequest, ServedResponse, UnreadInput};
use crate::http1::{CompleteMessage, Reader, StatusLine};
use crate::invariants::{Invariant, Violations};
use crate::memory::MemoryLease;
use crate::memory_budget::{Work, SMALL_MESSAGE_BYTES};
use crate::permit::{Denial, FirstByte};
use crate::protocol::{UNPROCESSED, UNPROCESSED_VALUE};
use crate::sockets;
use bytes::{Buf, Bytes};
use std::io;
use std::time::Duration;
use ternstack_balancer::Outcome;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{debug, info};

/// The longest pause between two reads of a response. A response that pauses for longer counts as malformed,
/// because it is shorter than the length that it states.
const MAX_RESPONSE_GAP: Duration = Duration::from_millis(250);
/// The largest amount by which the time left that is sent to an endpoint may exceed the client's remaining
/// time. An attempt that takes longer to send is given up.
const TIME_LEFT_SLACK: Duration = Duration::from_millis(150);
/// The longest time for which the process may be preempted between reading its clock and writing.
const MAX_PREEMPTION: Duration = Duration::from_millis(150);

/// The longest time for which an attempt waits until its client's input has been read. The input counts as a
/// disconnect before that.
const MAX_UNREAD_INPUT_WAIT: Duration = Duration::from_millis(100);
/// The interval at which an attempt checks whether its client's input has been read.
const UNREAD_INPUT_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Sends an attempt and waits for the response, until the attempt is given up or cancelled.
pub(super) async fn exchange(
    upstream: &Upstream, stream: &TcpStream, reader: &mut Reader<StatusLine>, attempt: &mut Attempt,
) -> ExchangeEnd {
    // A client disconnect or an endpoint drain that would deny the attempt may still be unread after a stall of
    // the process, even if the attempt was decided after the stall.
    upstream.lag.catch_up().await;
    tokio::select! {
        biased;
        _ = &mut attempt.cancelled => return Outcome::NotSent.into(),
        () = wait_for_unread_input(&attempt.unread_input) => {}
    }
    if let Err(denial) = check_first_byte(attempt, upstream.list_expiry.get()) {
        debug!(purpose = ?attempt.purpose, ?denial, "attempt not sent");
        return Outcome::NotSent.into();
    }
    if let Err(outcome) = send(&upstream.violations, stream, attempt).await {
        return outcome.into();
    }
    tokio::select! {
        biased;
        () = cancelled_after_send(&mut attempt.cancelled) => Outcome::Cancelled.into(),
        end = receive(upstream, stream, reader) => end,
        () = upstream.lag.sleep_until(attempt.give_up_at) => Outcome::ResponseTimeout.into(),
    }
}

/// Waits until all that the client has sent has been read, because it may have disconnected behind it. Input that
/// takes longer to read than [`MAX_UNREAD_INPUT_WAIT`] ends the wait.
async fn wait_for_unread_input(unread_input: &UnreadInput) {
    let wait_until = Instant::now() + MAX_UNREAD_INPUT_WAIT;
    while unread_input.is_pending() && Instant::now() < wait_until {
        sleep(UNREAD_INPUT_CHECK_INTERVAL).await;
    }
}

/// Checks that an attempt's first byte may be written now.
fn check_first_byte(attempt: &mut Attempt, list_expires_at: Option<Instant>) -> Result<(), Denial> {
    FirstByte {
        give_up_at: attempt.give_up_at,
        send_by: attempt.send_by,
        has_unread_input: attempt.unread_input.is_pending(),
        endpoint_in_service: attempt.is_endpoint_in_service(),
        list_expires_at,
        is_cancelled: !matches!(attempt.cancelled.try_recv(), Err(TryRecvError::Empty)),
    }
    .check(Instant::now())
}

/// Sends an attempt completely.
///
/// # Errors
/// Returns the outcome of an attempt that was not sent completely. The endpoint cannot have run such an
/// attempt.
async fn send(violations: &Violations, stream: &TcpStream, attempt: &mut Attempt) -> Result<(), Outcome> {
    let time_left_read_at = Instant::now();
    let send_by = attempt.send_by.map_or(attempt.give_up_at, |by| by.min(attempt.give_up_at));
    let send_by = send_by.min(time_left_read_at + TIME_LEFT_SLACK);
    tokio::select! {
        biased;
        _ = &mut attempt.cancelled => return Err(Outcome::NotSent),
        sent = write(stream, &attempt.raw, attempt.give_up_at - time_left_read_at, send_by) => {
            sent.map_err(|_| attempt.incomplete_send_outcome())?;
        }
        () = sleep_until(send_by) => return Err(attempt.incomplete_send_outcome()),
    }
    let send_time = time_left_read_at.elapsed();
    if send_time > TIME_LEFT_SLACK + MAX_PREEMPTION {
        if let Purpose::Request { id, attempt } = attempt.purpose {
            let send_ms = send_time.as_millis();
            let detail = format_args!(
                "sending attempt {attempt} took {send_ms} ms after the time left was determined"
            );
            violations.record(Invariant::TimeLeftForwarded, id.0, detail);
        }
    }
    Ok(())
}

/// Waits until an attempt that has been sent completely is cancelled. Never completes after
/// [`Cancellation::IfUnsent`].
async fn cancelled_after_send(cancelled: &mut oneshot::Receiver<Cancellation>) {
    if let Ok(Cancellation::IfUnsent) = cancelled.await {
        std::future::pending().await
    }
}

async fn write(
    stream: &TcpStream, raw: &RawRequest, time_left: Duration, send_by: Instant,
) -> io::Result<()> {
    let time_left_ms = Bytes::from(time_left.as_millis().to_string());
    let head = raw.before_time_left.clone().chain(time_left_ms).chain(raw.after_time_left.clone());
    let mut bytes = head.chain(raw.body.clone());
    sockets::write_all_while(stream, &mut bytes, || Instant::now() < send_by).await
}

/// Receives the response to an attempt. A malformed response, or one that pauses for longer than
/// [`MAX_RESPONSE_GAP`], is a `ServerError`, because the endpoint may have run the request. The same holds for
/// a response that is larger than the whole memory budget.
async fn receive(upstream: &Upstream, stream: &TcpStream, reader: &mut Reader<StatusLine>) -> ExchangeEnd {
    let mut is_closed = false;
    let mut lease: Option<MemoryLease> = None;
    loop {
        match reader.next(is_closed) {
            Ok(Some(message)) => {
                if let Some(lease) = &lease {
                    lease.set_bytes(message.memory_bytes());
                }
                let outcome = outcome(&message);
                return ExchangeEnd { outcome, response: Some(ServedResponse { message, lease }) };
            }
            Ok(None) if is_closed => return Outcome::ConnectionLost.into(),
            Ok(None) => {}
            Err(_) => return Outcome::ServerError.into(),
        }
        if reader.memory_bytes() > SMALL_MESSAGE_BYTES {
            // All at once, so that two responses that are received in part do not wait for each other.
            let bytes = reader.memory_bytes().max(reader.max_memory_bytes());
            let lease = lease.get_or_insert_with(|| upstream.memory.lease(Work::Accepted));
            if lease.reserve(bytes).await.is_err() {
                info!(bytes, "response does not fit into the memory budget");
                return Outcome::ServerError.into();
            }
        }
        let has_begun = reader.has_begun();
        let read = sockets::read(stream, reader.buffer());
        let read = if has_begun {
            upstream.lag.timeout_at(Instant::now() + MAX_RESPONSE_GAP, read).await
        } else {
            Some(read.await)
        };
        match read {
            Some(Ok(read_bytes)) => is_closed = read_bytes == 0,
            Some(Err(_)) => return Outcome::ConnectionLost.into(),
            None => return Outcome::ServerError.into(),
        }
    }
}

/// Returns the outcome that corresponds to a complete response. Status 200 is `Served`, and a 503 or 504 that
/// the endpoint marks as not processed is `Rejected`. Any other response, including an unmarked 503 or 504,
/// is `ServerError`, because the request may have run. [`receive`] gives the same outcome to a malformed or
/// interrupted response.
fn outcome(response: &CompleteMessage<StatusLine>) -> Outcome {
    match response.start_line.code {
        200 => Outcome::Served,
        503 | 504 if response.fields.get(UNPROCESSED) == Some(UNPROCESSED_VALUE) => Outcome::Rejected,
        _ => Outcome::ServerError,
    }
}
