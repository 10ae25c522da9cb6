//! A client that proposes changes to the origin and records which ones the origin accepted.
use crate::installation::Installation;
use crate::usage::now_us;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_replication::scope::{Change, Digest, Entry, Key, Revision, Scope};
use ternstack_replication::wire::{decode, encode, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// The proposals of a [`Proposer`] and their results.
#[derive(Debug, Default)]
pub struct ProposalLog {
    /// The accepted proposals in order: the revision that a proposal is part of, and the time of the proposal
    /// in us of the monotonic clock.
    pub accepted: Vec<(Revision, u64)>,
    /// The last accepted entry of each changed key; `None` for a removed key.
    pub changed_entries: BTreeMap<(Scope, Key), Option<Entry>>,
    /// The origin's reasons for rejecting proposals.
    pub rejected: Vec<String>,
    pending: VecDeque<(u64, u64, Vec<Change>)>, // Proposal id, when proposed in us, changes.
}

/// Proposes changes to the origin over one connection. The connection is opened again if the origin has
/// closed it as idle.
#[derive(Debug)]
pub struct Proposer {
    origin: SocketAddr,
    connection: Option<(OwnedWriteHalf, JoinHandle<()>)>,
    last_proposal_id: u64,
    log: Arc<Mutex<ProposalLog>>,
}

impl Proposer {
    /// Creates a proposer with an empty log; the connection is opened with the first proposal.
    pub fn new(origin: SocketAddr) -> Self {
        Proposer { origin, connection: None, last_proposal_id: 0, log: Arc::default() }
    }

    /// Returns the open connection, or opens a new one.
    async fn connection(&mut self) -> Result<&mut OwnedWriteHalf, String> {
        let connect_error =
            |e: std::io::Error| format!("cannot connect to the origin at {}: {e}", self.origin);
        let open = self.connection.take().filter(|(_, reader)| !reader.is_finished());
        let connection = match open {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect(self.origin).await.map_err(connect_error)?;
                stream.set_nodelay(true).map_err(connect_error)?;
                let (read, write) = stream.into_split();
                (write, tokio::spawn(read_answers(read, Arc::clone(&self.log))))
            }
        };
        Ok(&mut self.connection.insert(connection).0)
    }

    /// Proposes changes that are to come into force in one revision. Doesn't wait for the origin's answer.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Result<(), String> {
        self.last_proposal_id += 1;
        let proposal_id = self.last_proposal_id;
        self.log().pending.push_back((proposal_id, now_us(), changes.clone()));
        let mut bytes = Vec::new();
        encode(&Message::Propose { proposal_id, changes }, &mut bytes)
            .map_err(|e| format!("cannot encode proposal {proposal_id}: {e}"))?;
        self.connection()
            .await?
            .write_all(&bytes)
            .await
            .map_err(|e| format!("cannot send proposal {proposal_id} to the origin: {e}"))
    }

    /// Waits until the origin has answered every proposal.
    ///
    /// # Errors
    /// A proposal that is still unanswered after 10 s.
    pub async fn wait_for_answers(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.log().pending.is_empty() {
            if Instant::now() > deadline {
                return Err("the origin did not answer a proposal within 10 s".into());
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Moves the results of another proposer's proposals into this log. The other proposer must have changed
    /// other entries.
    pub fn take_results_of(&self, other: &mut Proposer) {
        let mut other_log = other.log();
        let mut own_log = self.log();
        own_log.changed_entries.append(&mut other_log.changed_entries);
        own_log.accepted.append(&mut other_log.accepted);
        own_log.accepted.sort_by_key(|(_, at_us)| *at_us);
        own_log.rejected.append(&mut other_log.rejected);
    }

    /// Locks and returns the log of proposals.
    pub fn log(&self) -> MutexGuard<'_, ProposalLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Proposer {
    fn drop(&mut self) {
        self.connection.iter().for_each(|(_, reader)| reader.abort());
    }
}

impl ProposalLog {
    /// Returns the highest accepted revision; 0 if there is none.
    pub fn last_revision(&self) -> Revision {
        self.accepted.iter().map(|(revision, _)| *revision).max().unwrap_or(0)
    }

    /// Returns the accepted revisions that were proposed at `from_us` or later and before `to_us`.
    pub fn accepted_between(&self, from_us: u64, to_us: u64) -> Vec<(Revision, u64)> {
        self.accepted.iter().copied().filter(|(_, at)| (from_us..to_us).contains(at)).collect()
    }

    fn record_answer(&mut self, proposal_id: u64, result: Result<Revision, String>) {
        let Some(index) = self.pending.iter().position(|(id, ..)| *id == proposal_id) else { return };
        let Some((_, proposed_us, changes)) = self.pending.remove(index) else { return };
        match result {
            Ok(revision) => {
                self.accepted.push((revision, proposed_us));
                self.changed_entries.extend(changes.into_iter().map(|c| ((c.scope, c.key), c.entry)));
            }
            Err(reason) => self.rejected.push(reason),
        }
    }

    /// Returns the digest that each scope must have: the initial installation with all accepted changes
    /// applied.
    pub fn expected_digests(&self, installation: &Installation) -> BTreeMap<Scope, Digest> {
        let mut digests: BTreeMap<Scope, Digest> = BTreeMap::new();
        let mut add = |scope, key, entry: &Entry| digests.entry(scope).or_default().add(scope, key, entry);
        for (scope, key, entry) in installation.initial_entries() {
            if !self.changed_entries.contains_key(&(scope, key)) {
                add(scope, key, &entry);
            }
        }
        for ((scope, key), entry) in &self.changed_entries {
            if let Some(entry) = entry {
                add(*scope, *key, entry);
            }
        }
        digests
    }
}

async fn read_answers(mut read: OwnedReadHalf, log: Arc<Mutex<ProposalLog>>) {
    let mut buffer = Vec::new();
    // Returns when the connection closes. Unanswered proposals stay pending, and `wait_for_answers` reports
    // them.
    while read.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
        while let Ok(Some((message, used))) = decode(&buffer) {
            buffer.drain(..used);
            if let Message::Proposed { proposal_id, revision } = message {
                log.lock().unwrap_or_else(PoisonError::into_inner).record_answer(proposal_id, revision);
            }
        }
    }
}
