//! The end that asks: a connection to one machine after another, asks when they are due, answers as they come. What is
//! asked, taken and acted on is the core's; whom to call is [`Choice`]'s.
use crate::choice::Choice;
use crate::clock::Clock;
use crate::frames::{write, Broken, Counter, Frames};
use std::convert::Infallible;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_replication::follower::{Follower, FollowerEvent, ResponseError};
use ternstack_replication::replica::Replica;
use ternstack_replication::storage::Storage;
use ternstack_replication::wire::{Message, PollRequest, PollResponse};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};
use tracing::{debug, info, warn};

/// A core that asks. Times are ms of the drive's clock.
pub(crate) trait Asking {
    /// When the next ask is due, if nothing comes until then.
    fn next_poll(&mut self, now: f64) -> f64;
    /// The next ask, if it is due.
    fn ask(&mut self, now: f64) -> Option<PollRequest>;
    /// Takes an answer.
    fn granted(&mut self, now: f64, grant: PollResponse) -> Result<Vec<FollowerEvent>, ResponseError>;
    /// The connection is another one.
    fn moved(&mut self);
    /// Until when its lease lasts.
    fn lease_until(&self) -> f64;
}

impl<K: Storage> Asking for Follower<K> {
    fn next_poll(&mut self, _: f64) -> f64 {
        Follower::next_poll(self)
    }

    fn ask(&mut self, now: f64) -> Option<PollRequest> {
        Follower::poll(self, now)
    }

    fn granted(&mut self, now: f64, grant: PollResponse) -> Result<Vec<FollowerEvent>, ResponseError> {
        Follower::handle_response(self, now, grant)
    }

    fn moved(&mut self) {
        Follower::reconnected(self);
    }

    fn lease_until(&self) -> f64 {
        Follower::lease_until(self)
    }
}

impl Asking for Replica {
    fn next_poll(&mut self, now: f64) -> f64 {
        Replica::next_poll(self, now)
    }

    fn ask(&mut self, now: f64) -> Option<PollRequest> {
        Replica::poll(self, now)
    }

    fn granted(&mut self, now: f64, grant: PollResponse) -> Result<Vec<FollowerEvent>, ResponseError> {
        Replica::handle_response(self, now, grant)
    }

    fn moved(&mut self) {
        Replica::reconnected(self);
    }

    fn lease_until(&self) -> f64 {
        self.follower().lease_until()
    }
}

/// Takes a core, also where a task that held it has panicked: each step leaves it whole.
pub(crate) fn lock<T>(core: &Mutex<T>) -> MutexGuard<'_, T> {
    core.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a call needs.
pub(crate) struct Line<'a, A> {
    pub name: &'a str,
    pub core: &'a Mutex<A>,
    pub clock: Clock,
    pub machines: &'a [SocketAddr],
    pub counter: &'a Counter,
    /// The core may have something to ask sooner.
    pub wake: &'a Notify,
    /// The core is looked at this often, in ms, where others give it something to tell.
    pub look_ms: f64,
    /// A machine that can't be reached by then is not there.
    pub dial: Duration,
}

/// Why a connection is left.
enum End {
    /// A better machine has been reached, of that place in the order.
    Better(usize, TcpStream),
    /// It ended, or is of no use.
    Left(String),
}

type Dialling = Pin<Box<dyn Future<Output = Result<TcpStream, String>> + Send>>;

async fn dial(at: Option<SocketAddr>, within: Duration) -> Result<TcpStream, String> {
    let at = at.ok_or("there is no machine to call")?;
    let dialled = timeout(within, TcpStream::connect(at)).await;
    let stream =
        dialled.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    Ok(stream)
}

impl<A: Asking> Line<'_, A> {
    /// Calls one machine after another, for as long as it is polled. `called` hears of each connection, `tell` of news.
    pub async fn run(
        &self, mut choice: Choice, mut called: impl FnMut(Option<usize>),
        mut tell: impl FnMut(f64, Vec<FollowerEvent>),
    ) -> Infallible {
        let mut better = None;
        loop {
            let machine = choice.machine();
            let at = self.machines.get(machine).copied();
            let dialled = match better.take() {
                Some(stream) => Ok(stream),
                None => dial(at, self.dial).await,
            };
            let why = match dialled {
                Err(why) => why,
                Ok(stream) => {
                    choice.connected(self.clock.now());
                    lock(self.core).moved();
                    called(Some(machine));
                    let end = self.talk(stream, &mut choice, &mut tell).await;
                    called(None);
                    match end {
                        End::Left(why) => why,
                        End::Better(place, stream) => {
                            info!(name = self.name, "a better control machine is back");
                            choice.taken(place);
                            better = Some(stream);
                            continue;
                        }
                    }
                }
            };
            let pause = Duration::from_secs_f64(choice.failed() / 1000.0);
            info!(name = self.name, machine = ?at, why, "leaving a control machine");
            sleep(pause).await;
        }
    }

    async fn talk(
        &self, mut stream: TcpStream, choice: &mut Choice, tell: &mut impl FnMut(f64, Vec<FollowerEvent>),
    ) -> End {
        let (reader, mut writer) = stream.split();
        let (mut frames, mut scratch, mut asked) = (Frames::new(reader), Vec::new(), None);
        let (mut received, mut better): (u64, Option<(usize, Dialling)>) = (0, None);
        loop {
            let now = self.clock.now();
            if frames.received() > received {
                received = frames.received();
                choice.heard(now);
            }
            if now >= choice.leave_at() {
                return End::Left("it gives no lease".into());
            }
            if now >= choice.better_at() {
                let dial_it = |(place, n): (usize, usize)| -> (usize, Dialling) {
                    (place, Box::pin(dial(self.machines.get(n).copied(), self.dial)))
                };
                better = choice.better(now).map(dial_it);
            }
            let ask = lock(self.core).ask(now);
            if let Some(ask) = ask {
                let message = Message::PollRequest(ask);
                let by = self.clock.at(choice.leave_at());
                match timeout_at(by, write(&mut writer, &message, &mut scratch)).await {
                    Ok(Ok(bytes)) => self.counter.written(&message, bytes, None),
                    Ok(Err(why)) => return End::Left(why.to_string()),
                    Err(_) => return End::Left("it does not read".into()),
                }
                if let Message::PollRequest(ask) = message {
                    asked = Some(ask);
                }
            }
            let now = self.clock.now();
            let next = lock(self.core).next_poll(now).min(now + self.look_ms);
            let until = next.min(choice.leave_at()).min(choice.better_at());
            let dialled = async {
                match &mut better {
                    Some((_, dialling)) => dialling.await,
                    None => pending().await,
                }
            };
            tokio::select! {
                read = frames.next() => match read {
                    Ok(Some((Message::PollResponse(grant), bytes))) => {
                        let message = Message::PollResponse(grant);
                        self.counter.read(&message, bytes, asked.as_ref());
                        if let Message::PollResponse(grant) = message {
                            self.take(grant, choice, tell);
                        }
                    }
                    Ok(Some(_)) => return End::Left("it sent something else than an answer".into()),
                    Ok(None) => return End::Left("it ended the connection".into()),
                    Err(broken @ Broken::Malformed(_)) => {
                        warn!(name = self.name, "from a control machine: {broken}");
                        return End::Left(broken.to_string());
                    }
                    Err(broken) => return End::Left(broken.to_string()),
                },
                dialled = dialled => match (dialled, better.take()) {
                    (Ok(stream), Some((place, _))) => return End::Better(place, stream),
                    (Err(why), _) => debug!(name = self.name, why, "a better control machine is still away"),
                    _ => {}
                },
                () = self.wake.notified() => {}
                () = sleep_until(self.clock.at(until)) => {}
            }
        }
    }

    fn take(&self, grant: PollResponse, choice: &mut Choice, tell: &mut impl FnMut(f64, Vec<FollowerEvent>)) {
        let now = self.clock.now();
        let mut core = lock(self.core);
        let before = core.lease_until();
        let granted = core.granted(now, grant);
        let renewed = core.lease_until() > before;
        drop(core);
        match granted {
            Ok(news) => {
                if renewed {
                    choice.renewed(now);
                }
                tell(now, news);
            }
            Err(why) => debug!(name = self.name, "not taken: {why}"),
        }
    }
}
