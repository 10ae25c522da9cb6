//! Admin requests to control servers: one connection, one request, one response.
use crate::frames::{write_message, ConnectionError, FrameReader};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::wire::{Message, Status};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The id of the only proposal of a connection.
const PROPOSAL_ID: u64 = 1;

/// An admin request that failed at a server.
#[derive(Debug, Error)]
#[error("{server}: {cause}")]
pub struct AdminError {
    /// The address of the server.
    pub server: SocketAddr,
    /// What failed.
    pub cause: AdminFailure,
}

/// What failed in an admin request.
#[derive(Debug, Error)]
pub enum AdminFailure {
    /// The server could not be connected.
    #[error("{0}")]
    Connect(io::Error),
    /// The request could not be sent, or the response could not be read.
    #[error("{0}")]
    Frame(#[from] ConnectionError),
    /// The server closed the connection without a response.
    #[error("it ended the connection")]
    Closed,
    /// There was no response in time.
    #[error("no answer within {} s", .0.as_secs_f64())]
    TimedOut(Duration),
    /// The server rejected the proposal, for this reason.
    #[error("refused: {0}")]
    Rejected(String),
    /// The response to a status request is not a status.
    #[error("expected a status")]
    NotAStatus,
    /// The response to a proposal is not one to this proposal.
    #[error("expected a version, or why there is none")]
    NotAProposalResult,
}

/// Requests the status of a server. `time_limit` covers connecting, sending and the response.
pub async fn status(server: SocketAddr, time_limit: Duration) -> Result<Status, AdminError> {
    let response = request(server, &Message::GetStatus, time_limit).await;
    let status = response.and_then(|message| match message {
        Message::Status(status) => Ok(status),
        _ => Err(AdminFailure::NotAStatus),
    });
    status.map_err(|cause| AdminError { server, cause })
}

/// Proposes changes to the primary and returns the version that they are part of, which comes into force later. `time_limit`
/// covers connecting, sending and the response.
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
