//! One connection of a [`PollingClient`]. The connection sends polls when they are due, applies responses
//! when they arrive, and meanwhile tries to connect to a preferred server.
use crate::frames::{write_message, ConnectionError, FrameReader, ReceivedMessage};
use crate::lock::lock;
use crate::polling_client::{connect, DisconnectReason, PollingClient, PollingCore, PollingObserver};
use crate::server_selection::{FailbackCandidate, ServerSelection};
use std::future::{pending, Future};
use std::pin::Pin;
use ternstack_replication::wire::{Message, PollRequest, PollResponse};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout_at};
use tracing::{debug, warn};

/// The way in which a connection ended.
pub(crate) enum ConnectionEnd {
    /// A new connection to a preferred server, `stream`, replaces this one. `rank` is the server's rank.
    Failback { rank: usize, stream: TcpStream },
    /// The connection could not be established, was lost or was given up.
    Disconnected(DisconnectReason),
}

/// A connection attempt to a preferred server.
struct FailbackAttempt {
    rank: usize,
    connecting: Pin<Box<dyn Future<Output = Result<TcpStream, DisconnectReason>> + Send>>,
}

/// An event that a connection waits for.
#[allow(
    clippy::large_enum_variant,
    reason = "only one event exists at a time and is handled at once; boxing would allocate for each message"
)]
enum Event {
    /// A message was read, the stream ended (`None`), or reading failed.
    Read(Result<Option<ReceivedMessage>, ConnectionError>),
    /// The connection attempt to a preferred server has ended.
    FailbackConnected(Result<TcpStream, DisconnectReason>),
    /// The time of a poll, a failback attempt or the deadline has been reached, or the core has been changed.
    Due,
}

/// The state of a connection to a server.
pub(crate) struct ServerConnection<'a, C> {
    client: &'a PollingClient<'a, C>,
    reader: FrameReader<ReadHalf<'a>>,
    writer: WriteHalf<'a>,
    /// A buffer for frames to write, kept to save allocations.
    scratch: Vec<u8>,
    /// The last poll that was sent. The traffic counter needs the poll to count the bytes of the response by
    /// cause.
    last_poll: Option<PollRequest>,
    /// The number of bytes received when the selection was last notified.
    received_bytes: u64,
    /// The running connection attempt to a preferred server.
    failback: Option<FailbackAttempt>,
}

impl<'a, C: PollingCore> ServerConnection<'a, C> {
    /// Creates the state of a connection on a stream that has just been connected.
    pub fn new(client: &'a PollingClient<'a, C>, stream: &'a mut TcpStream) -> Self {
        let (reader, writer) = stream.split();
        ServerConnection {
            client,
            reader: FrameReader::new(reader),
            writer,
            scratch: Vec::new(),
            last_poll: None,
            received_bytes: 0,
            failback: None,
        }
    }

    /// Polls over the connection until the connection ends.
    pub async fn run(
        mut self, selection: &mut ServerSelection, observer: &mut impl PollingObserver,
    ) -> ConnectionEnd {
        loop {
            if let Err(reason) = self.advance(selection).await {
                return ConnectionEnd::Disconnected(reason);
            }
            match self.next_event(selection).await {
                Event::Read(read) => {
                    if let Err(reason) = self.on_read(read, selection, observer) {
                        return ConnectionEnd::Disconnected(reason);
                    }
                }
                Event::FailbackConnected(connected) => {
                    if let Some(end) = self.on_failback_connected(connected) {
                        return end;
                    }
                }
                Event::Due => {}
            }
        }
    }

    /// Does the work that is due now: notifies the selection of received bytes, checks the deadline, starts a
    /// failback attempt and sends a poll.
    async fn advance(&mut self, selection: &mut ServerSelection) -> Result<(), DisconnectReason> {
        let now_ms = self.client.clock.now_ms();
        if self.reader.received_bytes() > self.received_bytes {
            self.received_bytes = self.reader.received_bytes();
            selection.on_received(now_ms);
        }
        if now_ms >= selection.deadline_ms() {
            return Err(DisconnectReason::NoLease);
        }
        if now_ms >= selection.next_failback_at_ms() {
            let candidate = selection.next_failback_candidate(now_ms);
            self.failback = candidate.map(|candidate| self.start_failback(candidate));
        }
        let poll = lock(self.client.core).poll(now_ms);
        match poll {
            Some(poll) => self.send_poll(poll, selection).await,
            None => Ok(()),
        }
    }

    fn start_failback(&self, candidate: FailbackCandidate) -> FailbackAttempt {
        let address = self.client.servers.get(candidate.server).copied();
        let connecting = Box::pin(connect(address, self.client.connect_timeout));
        FailbackAttempt { rank: candidate.rank, connecting }
    }

    async fn send_poll(
        &mut self, poll: PollRequest, selection: &ServerSelection,
    ) -> Result<(), DisconnectReason> {
        let message = Message::PollRequest(poll);
        let deadline = self.client.clock.instant_at(selection.deadline_ms());
        let writing = write_message(&mut self.writer, &message, &mut self.scratch);
        let written = timeout_at(deadline, writing).await;
        let frame_bytes = written.map_err(|_| DisconnectReason::WriteTimedOut)??;
        self.client.traffic.record_written(&message, frame_bytes, None);
        if let Message::PollRequest(poll) = message {
            self.last_poll = Some(poll);
        }
        Ok(())
    }

    async fn next_event(&mut self, selection: &ServerSelection) -> Event {
        let client = self.client;
        let now_ms = client.clock.now_ms();
        let next_poll_at_ms = lock(client.core).next_poll_at_ms(now_ms);
        let next_check_at_ms = next_poll_at_ms.min(now_ms + client.check_interval_ms);
        let due_at_ms = next_check_at_ms.min(selection.deadline_ms()).min(selection.next_failback_at_ms());
        let failback_connected = async {
            match &mut self.failback {
                Some(attempt) => (&mut attempt.connecting).await,
                None => pending().await,
            }
        };
        tokio::select! {
            read = self.reader.next() => Event::Read(read),
            connected = failback_connected => Event::FailbackConnected(connected),
            () = client.wake.notified() => Event::Due,
            () = sleep_until(client.clock.instant_at(due_at_ms)) => Event::Due,
        }
    }

    fn on_read(
        &mut self, read: Result<Option<ReceivedMessage>, ConnectionError>, selection: &mut ServerSelection,
        observer: &mut impl PollingObserver,
    ) -> Result<(), DisconnectReason> {
        let received = read.inspect_err(|error| {
            if matches!(error, ConnectionError::Malformed(_)) {
                warn!(name = self.client.name, "received invalid data from a control server: {error}");
            }
        })?;
        let ReceivedMessage { message, frame_bytes } = received.ok_or(DisconnectReason::Closed)?;
        if !matches!(message, Message::PollResponse(_)) {
            return Err(DisconnectReason::UnexpectedMessage);
        }
        self.client.traffic.record_read(&message, frame_bytes, self.last_poll.as_ref());
        if let Message::PollResponse(response) = message {
            self.apply(response, selection, observer);
        }
        Ok(())
    }

    fn apply(
        &self, response: PollResponse, selection: &mut ServerSelection, observer: &mut impl PollingObserver,
    ) {
        let now_ms = self.client.clock.now_ms();
        let mut core = lock(self.client.core);
        let previous_expiry_ms = core.lease_expires_at_ms();
        let applied = core.on_response(now_ms, response);
        let is_renewed = core.lease_expires_at_ms() > previous_expiry_ms;
        drop(core);
        match applied {
            Ok(events) => {
                if is_renewed {
                    selection.on_lease_renewed(now_ms);
                }
                observer.on_applied(now_ms, events);
            }
            Err(error) => debug!(name = self.client.name, "rejecting poll response: {error}"),
        }
    }

    /// Returns the end of this connection if the attempt to connect to a preferred server succeeded.
    fn on_failback_connected(
        &mut self, connected: Result<TcpStream, DisconnectReason>,
    ) -> Option<ConnectionEnd> {
        let attempt = self.failback.take()?;
        match connected {
            Ok(stream) => Some(ConnectionEnd::Failback { rank: attempt.rank, stream }),
            Err(reason) => {
                debug!(name = self.client.name, %reason, "could not connect to a preferred control server");
                None
            }
        }
    }
}
