//! Sends admin requests to control servers. Each request has a connection of its own and gets one response.
use crate::frames::{write_message, ConnectionError, FrameReader};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::wire::{Message, Status};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The id of every proposal. The ids need not differ because each connection carries only one proposal.
const PROPOSAL_ID: u64 = 1;

/// An error of an admin request to one server.
#[derive(Debug, Error)]
#[error("{server}: {cause}")]
pub struct AdminError {
    /// The address of the server that the request was for.
    pub server: SocketAddr,
    /// The part of the request that failed.
    pub cause: AdminFailure,
}

/// The cause of an [`AdminError`].
#[derive(Debug, Error)]
pub enum AdminFailure {
    /// No connection to the server could be established.
    #[error("could not connect: {0}")]
    Connect(io::Error),
    /// The request could not be sent, or the response could not be read.
    #[error(transparent)]
    Frame(#[from] ConnectionError),
    /// The server closed the connection without sending a response.
    #[error("the server closed the connection without a response")]
    Closed,
    /// No response was received within the time limit, which is the value.
    #[error("no response within {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// The server rejected the proposal. The value is the reason that the server sent.
    #[error("proposal rejected: {0}")]
    Rejected(String),
    /// The response to a status request is not a status.
    #[error("unexpected response, expected a status")]
    NotAStatus,
    /// The response to a proposal is not a result, or is the result of another proposal.
    #[error("unexpected response, expected a revision or a rejection")]
    NotAProposalResult,
}

/// Requests the status of a server.
///
/// # Errors
/// An [`AdminError`] if connecting, sending and receiving together take longer than `time_limit`, if one of
/// them fails, or if the response is not a status.
pub async fn status(server: SocketAddr, time_limit: Duration) -> Result<Status, AdminError> {
    let response = request(server, &Message::GetStatus, time_limit).await;
    let status = response.and_then(|message| match message {
        Message::Status(status) => Ok(status),
        _ => Err(AdminFailure::NotAStatus),
    });
    status.map_err(|cause| AdminError { server, cause })
}

/// Proposes changes to the primary and returns the revision that they became part of. The revision is agreed,
/// and comes into force later.
///
/// # Errors
/// An [`AdminError`] if connecting, sending and receiving together take longer than `time_limit`, if one of
/// them fails, or if the server rejects the proposal, as every replica does.
pub async fn propose(
    server: SocketAddr, changes: Vec<Change>, time_limit: Duration,
) -> Result<Revision, AdminError> {
    let proposal = Message::Propose { proposal_id: PROPOSAL_ID, changes };
    let response = request(server, &proposal, time_limit).await;
    let revision = response.and_then(|message| match message {
        Message::Proposed { proposal_id: PROPOSAL_ID, revision } => revision.map_err(AdminFailure::Rejected),
        _ => Err(AdminFailure::NotAProposalResult),
    });
    revision.map_err(|cause| AdminError { server, cause })
}

async fn request(
    server: SocketAddr, message: &Message, time_limit: Duration,
) -> Result<Message, AdminFailure> {
    match timeout(time_limit, exchange(server, message)).await {
        Ok(response) => response,
        Err(_) => Err(AdminFailure::TimedOut(time_limit)),
    }
}

async fn exchange(server: SocketAddr, message: &Message) -> Result<Message, AdminFailure> {
    let mut stream = TcpStream::connect(server).await.map_err(AdminFailure::Connect)?;
    write_message(&mut stream, message, &mut Vec::new()).await?;
    let received = FrameReader::new(stream).next().await?;
    received.map(|received| received.message).ok_or(AdminFailure::Closed)
}
