//! Control machines: an origin, and the distributors between it and the gateways. Each answers any number of followers, one
//! answer at a time to each, so that nothing queues for whoever reads slowly.
use crate::asking::{lock, Line};
use crate::choice::Choice;
use crate::clock::Clock;
use crate::frames::{write, Broken, Counter, Frames};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use ternstack_replication::lease::LeaseConfig;
use ternstack_replication::primary::{Primary, PrimaryEvent, ProposalError, Proposer};
use ternstack_replication::replica::Replica;
use ternstack_replication::scope::{Change, Revision};
use ternstack_replication::store::Store;
use ternstack_replication::wire::{FrameError, Member, Message, PollRequest, PollResponse, Status, Traffic};
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{info, warn};

/// A connection over which nothing has come for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// One that has not taken an answer in for so long is closed.
const UNREAD: Duration = Duration::from_secs(10);
/// An ask to which there is no answer yet is looked at again after so long.
const HELD: Duration = Duration::from_millis(50);
/// The pause after a connection could not be accepted, as no descriptor is free.
const FULL: Duration = Duration::from_millis(100);
/// Proposals of one connection that may wait for their version; more are read once these have it.
const PROPOSALS: usize = 64;
/// What was removed is remembered for so long, in ms: a region may be apart for an hour.
const REMOVED_MS: f64 = 2.0 * 3_600_000.0;
/// How often it is looked at what to forget, in ms.
const FORGET_MS: f64 = 60_000.0;

/// A core that answers followers. Times are ms of the machine's clock.
pub trait Granting: Send + 'static {
    /// The answer to an ask; `None` where there is none, and the follower tries elsewhere.
    fn asked(&mut self, now: f64, ask: &PollRequest) -> Option<PollResponse>;
    /// What it has.
    fn store(&self) -> &Store;
    /// How many hold leases by it.
    fn leases(&self, now: f64) -> usize;
    /// For how many ms its own lease lasts yet; `None` if it needs none.
    fn lease_ms(&self, now: f64) -> Option<f64>;
    /// Takes a proposal and numbers it; an error for whoever does not.
    fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, String>;
    /// Forgets what was removed before a version.
    fn forget(&mut self, before: Revision);
}

impl Granting for Primary {
    fn asked(&mut self, now: f64, ask: &PollRequest) -> Option<PollResponse> {
        // A single process is its own majority, until voters are there.
        self.confirm_leadership(now);
        Primary::handle_poll(self, now, ask)
    }

    fn store(&self) -> &Store {
        Primary::store(self)
    }

    fn leases(&self, now: f64) -> usize {
        self.lessor().holders(now).count()
    }

    fn lease_ms(&self, _: f64) -> Option<f64> {
        None
    }

    fn propose(&mut self, proposer: Proposer, changes: Vec<Change>) -> Result<u64, String> {
        Primary::propose(self, proposer, changes).map_err(|unfit: ProposalError| unfit.to_string())
    }

    fn forget(&mut self, before: Revision) {
        Primary::compact(self, before);
    }
}

impl Granting for Replica {
    fn asked(&mut self, now: f64, ask: &PollRequest) -> Option<PollResponse> {
        Replica::handle_poll(self, now, ask)
    }

    fn store(&self) -> &Store {
        Replica::store(self)
    }

    fn leases(&self, now: f64) -> usize {
        self.lessor().holders(now).count()
    }

    fn lease_ms(&self, now: f64) -> Option<f64> {
        Some((self.follower().lease_until() - now).max(0.0))
    }

    fn propose(&mut self, _: Proposer, _: Vec<Change>) -> Result<u64, String> {
        Err("a distributor takes no proposals, expected an origin".into())
    }

    fn forget(&mut self, before: Revision) {
        self.purge_tombstones(before);
    }
}

/// The way back for a proposal's answer: to its connection, with the number that it has there.
type Reply = (mpsc::Sender<(u64, Revision)>, u64);

/// A control machine. It runs for as long as the future of its `run` is polled; dropping that closes its connections.
pub struct Machine<C> {
    name: String,
    core: Mutex<C>,
    clock: Clock,
    counter: Counter,
    /// There may be something to do sooner: a proposal, or an ask.
    wake: Notify,
    waiting: Mutex<HashMap<u64, Reply>>,
}

impl<C: Granting> Machine<C> {
    fn make(name: &str, clock: Clock, core: C) -> Arc<Self> {
        Arc::new(Machine {
            name: name.to_string(),
            core: Mutex::new(core),
            clock,
            counter: Counter::default(),
            wake: Notify::new(),
            waiting: Mutex::new(HashMap::new()),
        })
    }

    /// How it is there.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let core = lock(&self.core);
        let store = core.store();
        Status {
            name: self.name.clone(),
            in_force: store.in_force(),
            through: store.through(),
            digest: store.total_digest(),
            followers: core.leases(now) as u64,
            lease_ms: core.lease_ms(now).map(|ms| ms as u64),
            traffic: self.counter.counts(),
        }
    }

    /// Messages and bytes so far, in both directions.
    pub fn counts(&self) -> Traffic {
        self.counter.counts()
    }

    /// Reads of the core, at now in ms of its clock. It must not wait in there.
    pub fn with<R>(&self, read: impl FnOnce(&C, f64) -> R) -> R {
        read(&lock(&self.core), self.clock.now())
    }

    /// Takes connections, and answers on each.
    async fn accept(self: Arc<Self>, listener: TcpListener) -> Infallible {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => drop(connections.spawn(self.clone().answer(stream, from))),
                    Err(e) => {
                        warn!(name = self.name, "cannot take a connection: {e}");
                        sleep(FULL).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    async fn answer(self: Arc<Self>, stream: TcpStream, from: SocketAddr) {
        match self.converse(stream, from).await {
            Ok(()) | Err(Broken::Failed(_)) => {}
            Err(broken) => warn!(name = self.name, %from, "closing a connection: {broken}"),
        }
    }

    async fn converse(&self, mut stream: TcpStream, from: SocketAddr) -> Result<(), Broken> {
        stream.set_nodelay(true).map_err(Broken::Failed)?;
        let (reader, mut writer) = stream.split();
        let (mut frames, mut scratch) = (Frames::new(reader), Vec::new());
        // Made for who proposes only; so many of its proposals are out.
        let (mut replies, mut out) = (None, 0);
        // The last ask, where there is no answer to it yet: better a late one than a follower that calls around.
        let mut held: Option<PollRequest> = None;
        loop {
            let again = async {
                match &held {
                    Some(_) => sleep(HELD).await,
                    None => pending().await,
                }
            };
            let reply = async {
                match &mut replies {
                    Some((_, replies)) => mpsc::Receiver::recv(replies).await,
                    None => pending().await,
                }
            };
            let message = tokio::select! {
                Some((number, version)) = reply => {
                    out -= 1;
                    Some(Message::Proposed { proposal_id: number, revision: Ok(version) })
                }
                () = again => {
                    self.grant(&mut held, &mut writer, &mut scratch).await?;
                    None
                }
                read = timeout(IDLE, frames.next()), if out < PROPOSALS => {
                    let Ok(read) = read else { return Ok(()) };
                    let Some((message, bytes)) = read? else { return Ok(()) };
                    self.counter.read(&message, bytes, None);
                    match message {
                        Message::PollRequest(ask) => {
                            held = Some(ask);
                            self.grant(&mut held, &mut writer, &mut scratch).await?;
                            None
                        }
                        Message::Propose { proposal_id: number, changes } => {
                            let (reply, _) = replies.get_or_insert_with(|| mpsc::channel(PROPOSALS));
                            match self.take(from, changes, (reply.clone(), number)) {
                                Ok(()) => {
                                    out += 1;
                                    None
                                }
                                Err(why) => Some(Message::Proposed { proposal_id: number, revision: Err(why) }),
                            }
                        }
                        Message::GetStatus => Some(Message::Status(self.status())),
                        Message::PollResponse(_) | Message::Proposed { .. } | Message::Status(_) => {
                            let what = "an answer, expected an ask, a proposal or a look";
                            return Err(Broken::Malformed(FrameError::Content(what.into())));
                        }
                    }
                }
            };
            if let Some(message) = message {
                let bytes = unread(write(&mut writer, &message, &mut scratch)).await?;
                self.counter.written(&message, bytes, None);
            }
        }
    }

    /// Answers the ask that is held, if there is an answer. The lease counts from here on, at its holder from the ask.
    async fn grant(
        &self, held: &mut Option<PollRequest>, writer: &mut WriteHalf<'_>, scratch: &mut Vec<u8>,
    ) -> Result<(), Broken> {
        let Some(ask) = held else { return Ok(()) };
        let grant = lock(&self.core).asked(self.clock.now(), ask);
        self.wake.notify_one();
        let Some(grant) = grant else { return Ok(()) };
        let grant = Message::PollResponse(grant);
        let bytes = unread(write(writer, &grant, scratch)).await?;
        self.counter.written(&grant, bytes, Some(ask));
        *held = None;
        Ok(())
    }

    /// Takes a proposal; its answer goes that way once it is part of a version.
    fn take(&self, from: SocketAddr, changes: Vec<Change>, reply: Reply) -> Result<(), String> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let proposer = Proposer { name: from.to_string(), proposed_ms: since.as_millis() as u64 };
        // Held over both, so that its version is not told before the way is known.
        let mut waiting = lock(&self.waiting);
        let number = lock(&self.core).propose(proposer, changes)?;
        waiting.insert(number, reply);
        self.wake.notify_one();
        Ok(())
    }

    /// Forgets what was removed long ago.
    async fn forget(&self) -> Infallible {
        let mut past: VecDeque<(f64, Revision)> = VecDeque::new();
        loop {
            sleep(Duration::from_secs_f64(FORGET_MS / 1000.0)).await;
            let now = self.clock.now();
            let mut core = lock(&self.core);
            past.push_back((now, core.store().in_force()));
            let mut before = None;
            while past.front().is_some_and(|(at, _)| now - at > REMOVED_MS) {
                before = past.pop_front().map(|(_, number)| number);
            }
            if let Some(before) = before {
                core.forget(before);
            }
        }
    }
}

/// Guards against a connection that is held for an answer that nobody reads.
async fn unread(written: impl std::future::Future<Output = Result<usize, Broken>>) -> Result<usize, Broken> {
    timeout(UNREAD, written)
        .await
        .unwrap_or_else(|_| Err(Broken::Failed(std::io::ErrorKind::TimedOut.into())))
}

impl Machine<Primary> {
    /// An origin that leads from now on, with all agreed versions, in force or to come.
    pub fn origin(name: &str, terms: LeaseConfig, store: Store) -> Arc<Self> {
        let clock = Clock::start();
        Self::make(name, clock, Primary::new(terms, clock.now(), 1, store))
    }

    /// Takes a proposal from within the process; the number that the origin gave it.
    pub fn propose(&self, changes: Vec<Change>) -> Result<u64, ProposalError> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let proposer = Proposer { name: self.name.clone(), proposed_ms: since.as_millis() as u64 };
        let number = lock(&self.core).propose(proposer, changes);
        self.wake.notify_one();
        number
    }

    /// Serves on a listener, for as long as it is polled.
    pub async fn run(self: Arc<Self>, listener: TcpListener) -> Infallible {
        tokio::select! {
            never = self.clone().accept(listener) => never,
            never = self.tick() => never,
            never = self.forget() => never,
        }
    }

    /// Puts proposals together, and brings versions into force.
    async fn tick(&self) -> Infallible {
        loop {
            let now = self.clock.now();
            let (happened, next) = {
                let mut core = lock(&self.core);
                let happened = core.tick(now);
                // Guards against a version that waits for nobody but a lease to run out.
                let store = core.store();
                let until = (store.through() > store.in_force()).then_some(now + LOOK_MS);
                (happened, core.next_tick().unwrap_or(f64::INFINITY).min(until.unwrap_or(f64::INFINITY)))
            };
            for what in happened {
                match what {
                    PrimaryEvent::Agreed { revision: version, proposals } => {
                        info!(name = self.name, version, proposals = proposals.len(), "agreed");
                        let mut waiting = lock(&self.waiting);
                        for (reply, number) in proposals.iter().filter_map(|n| waiting.remove(n)) {
                            // A connection that has ended needs no answer; it has no more out than fit.
                            let _ = reply.try_send((number, version));
                        }
                    }
                    PrimaryEvent::InForce(version) => info!(name = self.name, version, "in force"),
                }
            }
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(self.clock.at(next)) => {}
            }
        }
    }
}

/// How often an origin looks whether a version may come into force, where no ask makes it look.
const LOOK_MS: f64 = 25.0;

impl Machine<Replica> {
    /// A distributor that knows nothing yet, and so answers nobody.
    pub fn distributor(member: Member, terms: LeaseConfig) -> Arc<Self> {
        let clock = Clock::start();
        let name = member.name.clone();
        Self::make(&name, clock, Replica::new(terms, member, clock.now()))
    }

    /// Serves on a listener, and follows the first of `grantors` that gives it leases, for as long as it is polled.
    pub async fn run(
        self: Arc<Self>, listener: TcpListener, grantors: Vec<SocketAddr>, terms: LeaseConfig,
    ) -> Infallible {
        let never = Notify::new();
        let line = Line {
            name: &self.name,
            core: &self.core,
            clock: self.clock,
            machines: &grantors,
            counter: &self.counter,
            // It is looked at often enough; asks come by the hundreds a second.
            wake: &never,
            look_ms: terms.prompt_poll_delay_ms() / 2.0,
            dial: Duration::from_secs_f64(terms.response_timeout_ms() / 2000.0),
        };
        let choice =
            Choice::new((0..grantors.len()).collect(), terms.response_timeout_ms(), seed(&self.name));
        tokio::select! {
            never = self.clone().accept(listener) => never,
            never = line.run(choice, |_| {}, |_, _| {}) => never,
            never = self.forget() => never,
        }
    }
}

/// A number of the member's own.
pub(crate) fn seed(name: &str) -> u64 {
    ternstack_replication::scope::Key::of(name).0
}
