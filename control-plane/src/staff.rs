//! What the staff's commands ask of control machines: one message, one answer.
use crate::frames::{write, Frames};
use std::net::SocketAddr;
use std::time::Duration;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::wire::{Message, Status};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Sends one message to a machine and waits for the answer, both within a time.
pub async fn call(at: SocketAddr, message: &Message, within: Duration) -> Result<Message, String> {
    let answer = timeout(within, async {
        let mut stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
        write(&mut stream, message, &mut Vec::new()).await.map_err(|e| e.to_string())?;
        let answer = Frames::new(stream).next().await.map_err(|e| e.to_string())?;
        answer.map(|(message, _)| message).ok_or_else(|| "it ended the connection".to_string())
    });
    let answer = answer.await.unwrap_or_else(|_| Err(format!("no answer within {} s", within.as_secs_f64())));
    answer.map_err(|e| format!("{at}: {e}"))
}

/// How it is at a machine.
pub async fn status(at: SocketAddr, within: Duration) -> Result<Status, String> {
    match call(at, &Message::GetStatus, within).await? {
        Message::Status(status) => Ok(status),
        _ => Err(format!("{at}: expected a status")),
    }
}

/// Proposes changes to an origin: the version that they are part of. It is in force later.
pub async fn propose(at: SocketAddr, changes: Vec<Change>, within: Duration) -> Result<Revision, String> {
    match call(at, &Message::Propose { proposal_id: 1, changes }, within).await? {
        Message::Proposed { proposal_id: 1, revision } => {
            revision.map_err(|why| format!("{at}: refused: {why}"))
        }
        _ => Err(format!("{at}: expected a version, or why there is none")),
    }
}
