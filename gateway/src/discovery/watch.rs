//! One watch of discovery: a first poll, which opens the connection, and the polls that continue it.
//!
//! Where the endpoint list becomes stale, a first poll without a response is accompanied by probes. A probe is a
//! poll on a second connection that is given up early. Discovery that was out of reach when the first poll was
//! sent, and may never respond to it, responds to the next probe after its return; discovery that is only slow
//! responds to the first poll.
use super::connection::DiscoveryConnection;
use super::error::{WatchError, STATUS_OK};
use super::silence::Silence;
use super::timing::{PollTiming, PollTimings, EMPTY_POLL_DELAY};
use crate::endpoint_list::EndpointList;
use crate::events::{DiscoveryEvent, EventSender, GatewayEvent};
use crate::http1::{Reader, StatusLine};
use crate::loop_lag::LoopLag;
use crate::protocol::endpoints_target;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tracing::{debug, info, warn};

/// The largest accepted endpoint list: 4 KiB for each of 1,024 endpoints, an eighth of the smallest gateway's
/// memory.
const MAX_LIST_BYTES: usize = 1 << 22;

/// The response to a poll.
struct PollResponse {
    list: EndpointList,
    /// Whether discovery responded without waiting for a change.
    is_immediate: bool,
    /// Whether the connection can carry another poll.
    keep_alive: bool,
}

/// The response to the first poll on a connection, with the reader of that connection.
struct FirstResponse {
    response: PollResponse,
    reader: Reader<StatusLine>,
}

/// One watch, with the state of the [`Watcher`](super::Watcher) that its polls change.
pub(super) struct Watch<'a> {
    pub(super) connection: &'a mut DiscoveryConnection,
    /// The connection of the probes; `None` if the endpoint list does not become stale.
    pub(super) probe_connection: Option<&'a mut DiscoveryConnection>,
    pub(super) timings: &'a PollTimings,
    pub(super) revision: &'a mut Option<u64>,
    pub(super) has_had_response: &'a mut bool,
    pub(super) events: &'a EventSender,
    pub(super) lag: &'a LoopLag,
}

impl<'a> Watch<'a> {
    /// Polls discovery until a poll fails or the event loop ends. Each poll has a deadline of its own, so
    /// that a silent discovery is noticed. The deadline of the first poll includes the time to connect.
    pub(super) async fn run(&mut self, address: SocketAddr) -> Result<(), WatchError> {
        let FirstResponse { mut response, mut reader } = self.first_response(address).await?;
        loop {
            *self.has_had_response = true;
            let PollResponse { list, is_immediate, keep_alive } = response;
            if self.is_of_another_history(&list) {
                let (revision, known) = (list.revision, *self.revision);
                warn!(revision, known, "revision of discovery went back; requesting the complete list");
                *self.revision = None;
            } else {
                // The pause avoids a busy loop if discovery responds to polls without waiting for a change.
                let is_idle = list.endpoints.is_empty() && is_immediate;
                *self.revision = Some(list.revision);
                if self.events.send(GatewayEvent::Discovery(DiscoveryEvent::Update(list))).await.is_err() {
                    return Ok(());
                }
                if is_idle {
                    sleep(EMPTY_POLL_DELAY).await;
                }
            }
            response = self.next_response(address, keep_alive, &mut reader).await?;
        }
    }

    /// Returns whether a list contains changes to a revision that this gateway does not have, because another
    /// process with revisions of its own has taken discovery's place.
    fn is_of_another_history(&self, list: &EndpointList) -> bool {
        !list.is_complete && self.revision.is_some_and(|known| list.revision < known)
    }

    /// Returns the polls that start from the present revision.
    fn polls(&self, address: SocketAddr) -> Polls<'a> {
        Polls { address, revision: *self.revision, lag: self.lag, events: self.events, timings: self.timings }
    }

    /// Opens the connection and sends the first poll on it, beside probes if the endpoint list becomes stale. If a
    /// probe is answered first, its connection replaces the watch's.
    async fn first_response(&mut self, address: SocketAddr) -> Result<FirstResponse, WatchError> {
        let polls = self.polls(address);
        info!(discovery = %address, revision = *self.revision, "watching discovery");
        let deadline = Instant::now() + self.timings.first.total();
        let silence = self.connection.silence();
        let first = polls.reported(self.connection.silence(), polls.open(self.connection, deadline));
        let (Some(probe_connection), Some(interval)) =
            (self.probe_connection.as_deref_mut(), self.timings.probe_interval)
        else {
            return first.await;
        };
        let response = tokio::select! {
            biased;
            response = first => return response,
            response = polls.probe(probe_connection, interval, &silence) => response,
        };
        debug!("a probe of discovery was answered before the first poll");
        std::mem::swap(self.connection, probe_connection);
        probe_connection.reserve(address);
        Ok(response)
    }

    /// Sends a poll that continues the watch, on another connection unless `keep_alive`.
    async fn next_response(
        &mut self, address: SocketAddr, keep_alive: bool, reader: &mut Reader<StatusLine>,
    ) -> Result<PollResponse, WatchError> {
        let polls = self.polls(address);
        let deadline = Instant::now() + self.timings.next.total();
        let silence = self.connection.silence();
        let next = async {
            if !keep_alive || !reader.is_idle() {
                *reader = Reader::new(MAX_LIST_BYTES);
                self.connection.dial(address, deadline).await?;
            }
            polls.send(self.connection, reader, &self.timings.next, deadline).await
        };
        polls.reported(silence, next).await
    }
}

/// The polls of one watch that start from the same revision.
struct Polls<'a> {
    address: SocketAddr,
    revision: Option<u64>,
    lag: &'a LoopLag,
    events: &'a EventSender,
    timings: &'a PollTimings,
}

impl Polls<'_> {
    /// Sends polls on `connection`, each of them given up after `interval`, until one has a response. The first of
    /// them follows one interval after the call, at which the first poll begins, whose silence is `first_silence`.
    async fn probe(
        &self, connection: &mut DiscoveryConnection, interval: Duration, first_silence: &Silence,
    ) -> FirstResponse {
        let begun_at = Instant::now();
        let mut due_at = begun_at + interval;
        self.lag.sleep_until(due_at).await;
        // The first poll shows by now what a probe would have shown.
        if first_silence.has_lasted(self.timings.min_silence) {
            self.report_out_of_reach(begun_at).await;
        }
        loop {
            due_at = Instant::now() + interval;
            let probe = self.reported(connection.silence(), self.open(connection, due_at));
            if let Ok(response) = probe.await {
                return response;
            }
            self.lag.sleep_until(due_at).await;
        }
    }

    /// Opens a connection, and sends the first poll on it.
    async fn open(
        &self, connection: &mut DiscoveryConnection, deadline: Instant,
    ) -> Result<FirstResponse, WatchError> {
        connection.dial(self.address, deadline).await?;
        let mut reader = Reader::new(MAX_LIST_BYTES);
        let response = self.send(connection, &mut reader, &self.timings.first, deadline).await?;
        Ok(FirstResponse { response, reader })
    }

    /// Sends one poll on an open connection and waits for its response until `deadline`.
    async fn send(
        &self, connection: &mut DiscoveryConnection, reader: &mut Reader<StatusLine>, timing: &PollTiming,
        deadline: Instant,
    ) -> Result<PollResponse, WatchError> {
        let target = endpoints_target(self.revision, timing.wait_ms);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let polled_at = Instant::now();
        let Some(response) = self.lag.timeout_at(deadline, connection.call(reader, &request)).await else {
            return Err(if reader.has_begun() { WatchError::Stalled } else { WatchError::Silent });
        };
        let response = response?;
        if response.start_line.code != STATUS_OK {
            return Err(WatchError::Status(response.start_line.code));
        }
        let list = EndpointList::from_slice(&response.body)?;
        debug!(
            revision = list.revision,
            is_complete = list.is_complete,
            endpoints = list.endpoints.len(),
            "endpoint list received"
        );
        let is_immediate = polled_at.elapsed() < EMPTY_POLL_DELAY;
        Ok(PollResponse { list, is_immediate, keep_alive: response.keep_alive })
    }

    /// Waits for the result of a poll that is sent now, and reports a failure that shows that discovery is out of
    /// reach.
    async fn reported<T>(
        &self, silence: Silence, poll: impl Future<Output = Result<T, WatchError>>,
    ) -> Result<T, WatchError> {
        let polled_at = Instant::now();
        let result = poll.await;
        if let Err(error) = &result {
            let was_silent = silence.has_lasted(self.timings.min_silence);
            let ended_at = self.lag.earliest_arrival();
            if let Some(as_of) = error.out_of_reach_as_of(polled_at, ended_at, was_silent) {
                self.report_out_of_reach(as_of).await;
            }
        }
        result
    }

    /// Reports that discovery has had nothing to send up to `as_of`, if the endpoint list becomes stale.
    async fn report_out_of_reach(&self, as_of: Instant) {
        if self.timings.probe_interval.is_some() {
            // The queue is closed only when the gateway stops.
            let _ = self.events.send(GatewayEvent::Discovery(DiscoveryEvent::OutOfReach { as_of })).await;
        }
    }
}
