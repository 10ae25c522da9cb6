//! The staff's end: proposes changes to the origin, and keeps what was accepted.
use crate::installation::World;
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

/// Proposals, and what became of them.
#[derive(Debug, Default)]
pub struct Log {
    /// The version that each accepted proposal is part of, and when it was proposed, in us. In order.
    pub accepted: Vec<(Revision, u64)>,
    /// What the accepted changes leave under each key.
    pub left: BTreeMap<(Scope, Key), Option<Entry>>,
    /// Why proposals were refused.
    pub refused: Vec<String>,
    open: VecDeque<(u64, u64, Vec<Change>)>, // Revision, when, what.
}

/// Proposes to the origin, over a connection that is made anew where the origin has ended it as idle.
#[derive(Debug)]
pub struct Proposer {
    origin: SocketAddr,
    line: Option<(OwnedWriteHalf, JoinHandle<()>)>,
    number: u64,
    log: Arc<Mutex<Log>>,
}

impl Proposer {
    /// One that has proposed nothing.
    pub fn new(origin: SocketAddr) -> Self {
        Proposer { origin, line: None, number: 0, log: Arc::default() }
    }

    /// The connection.
    async fn line(&mut self) -> Result<&mut OwnedWriteHalf, String> {
        let problem = |e: std::io::Error| format!("origin: {e}");
        let open = self.line.take().filter(|(_, reading)| !reading.is_finished());
        let line = match open {
            Some(line) => line,
            None => {
                let stream = TcpStream::connect(self.origin).await.map_err(problem)?;
                stream.set_nodelay(true).map_err(problem)?;
                let (read, write) = stream.into_split();
                (write, tokio::spawn(read_all(read, Arc::clone(&self.log))))
            }
        };
        Ok(&mut self.line.insert(line).0)
    }

    /// Proposes changes that are to come into force together. The answer is not waited for.
    pub async fn propose(&mut self, changes: Vec<Change>) -> Result<(), String> {
        self.number += 1;
        let number = self.number;
        self.log().open.push_back((number, now_us(), changes.clone()));
        let mut bytes = Vec::new();
        encode(&Message::Propose { proposal_id: number, changes }, &mut bytes).map_err(|e| e.to_string())?;
        self.line().await?.write_all(&bytes).await.map_err(|e| format!("origin: {e}"))
    }

    /// Waits until every proposal has been answered.
    pub async fn answered(&self) -> Result<(), String> {
        let latest = Instant::now() + Duration::from_secs(10);
        while !self.log().open.is_empty() {
            if Instant::now() > latest {
                return Err("origin: a proposal was not answered within 10 s".into());
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Takes in what became of another's proposals, which touched other entries.
    pub fn take_in(&self, other: &mut Proposer) {
        let mut theirs = other.log();
        let mut ours = self.log();
        ours.left.append(&mut theirs.left);
        ours.accepted.append(&mut theirs.accepted);
        ours.accepted.sort_by_key(|(_, at_us)| *at_us);
        ours.refused.append(&mut theirs.refused);
    }

    /// What became of the proposals.
    pub fn log(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Proposer {
    fn drop(&mut self) {
        self.line.iter().for_each(|(_, reading)| reading.abort());
    }
}

impl Log {
    /// The last accepted version; 0 where there is none.
    pub fn last(&self) -> Revision {
        self.accepted.iter().map(|(number, _)| *number).max().unwrap_or(0)
    }

    /// The accepted versions that were proposed from `from_us` on, before `to_us`.
    pub fn between(&self, from_us: u64, to_us: u64) -> Vec<(Revision, u64)> {
        self.accepted.iter().copied().filter(|(_, at)| (from_us..to_us).contains(at)).collect()
    }

    fn answered(&mut self, answer: u64, version: Result<Revision, String>) {
        let Some(at) = self.open.iter().position(|(number, ..)| *number == answer) else { return };
        let Some((_, proposed_us, changes)) = self.open.remove(at) else { return };
        match version {
            Ok(number) => {
                self.accepted.push((number, proposed_us));
                self.left.extend(changes.into_iter().map(|c| ((c.scope, c.key), c.entry)));
            }
            Err(why) => self.refused.push(why),
        }
    }

    /// What each scope has to sum up to: the installation as drawn, and what was accepted since.
    pub fn digests(&self, world: &World) -> BTreeMap<Scope, Digest> {
        let mut digests: BTreeMap<Scope, Digest> = BTreeMap::new();
        let mut set = |scope, key, entry: &Entry| digests.entry(scope).or_default().add(scope, key, entry);
        for (scope, key, entry) in world.entries() {
            if !self.left.contains_key(&(scope, key)) {
                set(scope, key, &entry);
            }
        }
        for ((scope, key), entry) in &self.left {
            if let Some(entry) = entry {
                set(*scope, *key, entry);
            }
        }
        digests
    }
}

async fn read_all(mut read: OwnedReadHalf, log: Arc<Mutex<Log>>) {
    let mut buffer = Vec::new();
    // Ends with the connection; what is not answered then stays open, which the run finds.
    while read.read_buf(&mut buffer).await.is_ok_and(|n| n > 0) {
        while let Ok(Some((message, used))) = decode(&buffer) {
            buffer.drain(..used);
            if let Message::Proposed { proposal_id: number, revision: version } = message {
                log.lock().unwrap_or_else(PoisonError::into_inner).answered(number, version);
            }
        }
    }
}
