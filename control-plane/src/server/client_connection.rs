//! One connection of a client to a control server. The server processes one message at a time and sends the
//! response before it reads the next message, so that responses do not queue up for a client that reads
//! slowly.
use super::proposals::{AgreedProposal, ConnectionProposals};
use super::{ControlServer, ServerCore};
use crate::frames::{write_message, ConnectionError, FrameReader, ReceivedMessage};
use crate::lock::lock;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_replication::scope::Change;
use ternstack_replication::wire::{self, Message, PollRequest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A connection on which nothing is received for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A connection whose client does not read a response for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which the core is asked again for a response to a pending poll.
const POLL_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// An event that a connection waits for.
#[allow(
    clippy::large_enum_variant,
    reason = "only one event exists at a time and is handled at once; boxing would allocate for each message"
)]
enum Event {
    /// A message was read, the stream ended (`None`), or reading failed.
    Read(Result<Option<ReceivedMessage>, ConnectionError>),
    /// Nothing was received within [`IDLE_TIMEOUT`].
    Idle,
    /// [`POLL_RETRY_INTERVAL`] has passed while a poll is pending.
    RetryPoll,
    /// A proposal of this connection has become part of a revision.
    ProposalAgreed(AgreedProposal),
}

/// The step that follows an event of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

/// The state of a connection to a client.
pub(super) struct ClientConnection<'a, C> {
    server: &'a ControlServer<C>,
    client: SocketAddr,
    reader: FrameReader<ReadHalf<'a>>,
    writer: WriteHalf<'a>,
    /// A buffer for frames to write, kept to save allocations.
    scratch: Vec<u8>,
    proposals: ConnectionProposals,
    /// The last poll if the core has had no response to it yet. The poll is kept because a late response is
    /// better than a client that disconnects and tries all servers.
    pending_poll: Option<PollRequest>,
}

impl<'a, C: ServerCore> ClientConnection<'a, C> {
    /// Creates the state of a connection on an accepted stream.
    ///
    /// # Errors
    /// The error of setting `TCP_NODELAY` on the stream.
    pub fn new(
        server: &'a ControlServer<C>, stream: &'a mut TcpStream, client: SocketAddr,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.split();
        Ok(ClientConnection {
            server,
            client,
            reader: FrameReader::new(reader),
            writer,
            scratch: Vec::new(),
            proposals: ConnectionProposals::default(),
            pending_poll: None,
        })
    }

    /// Responds to messages until the client closes the connection or sends nothing for [`IDLE_TIMEOUT`].
    pub async fn run(mut self) -> Result<(), ConnectionError> {
        loop {
            let event = self.next_event().await;
            if self.on_event(event).await? == Next::Close {
                return Ok(());
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        let may_read = self.proposals.has_capacity();
        let has_pending_poll = self.pending_poll.is_some();
        let poll_retry = async {
            match has_pending_poll {
                true => sleep(POLL_RETRY_INTERVAL).await,
                false => pending().await,
            }
        };
        tokio::select! {
            agreed = self.proposals.next_agreed() => Event::ProposalAgreed(agreed),
            () = poll_retry => Event::RetryPoll,
            read = timeout(IDLE_TIMEOUT, self.reader.next()), if may_read => match read {
                Ok(read) => Event::Read(read),
                Err(_) => Event::Idle,
            },
        }
    }

    async fn on_event(&mut self, event: Event) -> Result<Next, ConnectionError> {
        match event {
            Event::Read(read) => {
                let Some(received) = read? else { return Ok(Next::Close) };
                self.server.traffic.record_read(&received.message, received.frame_bytes, None);
                self.on_message(received.message).await?;
            }
            Event::Idle => return Ok(Next::Close),
            Event::RetryPoll => self.respond_to_pending_poll().await?,
            Event::ProposalAgreed(AgreedProposal { proposal_id, revision }) => {
                self.proposals.on_agreed();
                self.respond(Message::Proposed { proposal_id, revision: Ok(revision) }).await?;
            }
        }
        Ok(Next::Continue)
    }

    async fn on_message(&mut self, message: Message) -> Result<(), ConnectionError> {
        match message {
            Message::PollRequest(poll) => {
                self.pending_poll = Some(poll);
                self.respond_to_pending_poll().await
            }
            Message::Propose { proposal_id, changes } => self.on_proposal(proposal_id, changes).await,
            Message::GetStatus => self.respond(Message::Status(self.server.status())).await,
            Message::PollResponse(_) | Message::Proposed { .. } | Message::Status(_) => {
                let problem = "a response, expected a poll, a proposal or a status request";
                Err(ConnectionError::Malformed(wire::FrameError::Content(problem.into())))
            }
        }
    }

    /// Responds to the pending poll if the core has a response. A lease starts at this response for the
    /// server, but at the earlier poll for the client, so that the client never holds a lease longer than the
    /// server assumes.
    async fn respond_to_pending_poll(&mut self) -> Result<(), ConnectionError> {
        let Some(poll) = &self.pending_poll else { return Ok(()) };
        let response = lock(&self.server.core).on_poll(self.server.clock.now_ms(), poll);
        self.server.wake.notify_one();
        let Some(response) = response else { return Ok(()) };
        let message = Message::PollResponse(response);
        let frame_bytes = write_in_time(&mut self.writer, &message, &mut self.scratch).await?;
        self.server.traffic.record_written(&message, frame_bytes, Some(poll));
        self.pending_poll = None;
        Ok(())
    }

    /// Accepts a proposal, or rejects the proposal at once. An accepted proposal is answered when it has
    /// become part of a revision.
    async fn on_proposal(&mut self, proposal_id: u64, changes: Vec<Change>) -> Result<(), ConnectionError> {
        let reply = self.proposals.reply_for(proposal_id);
        match self.server.accept_proposal(self.client, changes, reply) {
            Ok(()) => {
                self.proposals.on_accepted();
                Ok(())
            }
            Err(rejected) => {
                let revision = Err(rejected.to_string());
                self.respond(Message::Proposed { proposal_id, revision }).await
            }
        }
    }

    async fn respond(&mut self, message: Message) -> Result<(), ConnectionError> {
        let frame_bytes = write_in_time(&mut self.writer, &message, &mut self.scratch).await?;
        self.server.traffic.record_written(&message, frame_bytes, None);
        Ok(())
    }
}

/// Writes a message within [`WRITE_TIMEOUT`], so that a client that does not read cannot keep its connection
/// open.
async fn write_in_time(
    writer: &mut WriteHalf<'_>, message: &Message, scratch: &mut Vec<u8>,
) -> Result<usize, ConnectionError> {
    match timeout(WRITE_TIMEOUT, write_message(writer, message, scratch)).await {
        Ok(written) => written,
        Err(_) => Err(ConnectionError::Io(io::ErrorKind::TimedOut.into())),
    }
}
