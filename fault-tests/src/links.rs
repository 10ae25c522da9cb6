//! Links: every path between two parts of a rig goes through one, and each of its directions fails by itself.
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What becomes of a connection that is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Then {
    /// It is reset on both sides.
    Reset,
    /// It ends on both sides.
    End,
    /// It stays open, and nothing goes on in this direction.
    Silence,
}

/// What a link does with a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Door {
    /// It is taken on.
    #[default]
    Open,
    /// Nothing listens.
    Refused,
    /// It comes up, and is reset at once.
    Reset,
    /// It comes up, and nothing ever crosses it.
    BlackHole,
}

/// One direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Way {
    /// Nothing crosses until this is over; what was sent meanwhile then does.
    pub held: bool,
    /// Each piece comes so much later, in ms.
    pub delay_ms: u64,
    /// And up to so much more, in ms.
    pub jitter_ms: u64,
    /// The most bytes a second.
    pub bytes_per_s: Option<u64>,
    /// A connection is cut off after so many bytes of it.
    pub cut_after: Option<(u64, Then)>,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// The part of them that comes twice.
    pub repeat: f64,
    /// The part of them that comes behind the next one.
    pub reorder: f64,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// New connections.
    pub door: Door,
    /// From who connects to who listens.
    pub there: Way,
    /// The other direction.
    pub back: Way,
}

impl Faults {
    /// Cut in both directions: nothing is said, and open connections stay open.
    pub fn cut() -> Self {
        let held = Way { held: true, ..Way::default() };
        Faults { there: held, back: held, ..Faults::default() }
    }
}

/// How a connection's way through a link ended.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Ended,
    Cut,
    Reset,
}

/// An address of its own on loopback, with a port from the kernel. Guards against another program's taking the
/// port of a link that refuses for a while.
async fn listen() -> io::Result<TcpListener> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes()[3];
    TcpListener::bind((Ipv4Addr::new(127, 16 + process % 64, high, low.max(1)), 0)).await
}

/// A TCP link to an address.
#[derive(Debug)]
pub struct Link {
    /// Where the other side is told to connect.
    pub at: SocketAddr,
    faults: watch::Sender<Faults>,
    resets: watch::Sender<u64>,
    struck: Arc<AtomicU64>,
    accepting: JoinHandle<()>,
}

/// What a connection through a link looks at.
#[derive(Clone)]
struct Now {
    faults: watch::Receiver<Faults>,
    resets: watch::Receiver<u64>,
    struck: Arc<AtomicU64>,
}

impl Now {
    /// A fault has met something.
    fn strike(&self) {
        self.struck.fetch_add(1, Ordering::Relaxed);
    }
}

impl Link {
    /// A sound link to `to`.
    pub async fn to(to: SocketAddr) -> io::Result<Self> {
        let listener = listen().await?;
        let at = listener.local_addr()?;
        let (faults, now) = watch::channel(Faults::default());
        let (resets, reset) = watch::channel(0);
        let struck = Arc::new(AtomicU64::new(0));
        let now = Now { faults: now, resets: reset, struck: struck.clone() };
        Ok(Link { at, faults, resets, struck, accepting: tokio::spawn(accept(at, Some(listener), to, now)) })
    }

    /// From now on this is wrong with it.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// What is wrong with it.
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// How often a fault has met something since the last call: a connection, or a piece of what crosses one.
    pub fn struck(&self) -> u64 {
        self.struck.swap(0, Ordering::Relaxed)
    }

    /// Resets all connections that cross it now.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

async fn accept(at: SocketAddr, mut listener: Option<TcpListener>, to: SocketAddr, now: Now) {
    let mut faults = now.faults.clone();
    loop {
        let door = faults.borrow_and_update().door;
        if door == Door::Refused {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            match TcpListener::bind(at).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
            continue;
        };
        tokio::select! {
            changed = faults.changed() => if changed.is_err() { return },
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(carry(stream, to, door, now.clone()));
            }
        }
    }
}

/// Makes the connection's end a reset.
fn reset_at_end(stream: &TcpStream) {
    // A connection that is gone already needs none.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn carry(mut from: TcpStream, to: SocketAddr, door: Door, now: Now) {
    let mut resets = now.resets.clone();
    resets.borrow_and_update();
    if door != Door::Open {
        now.strike();
    }
    match door {
        Door::Reset | Door::Refused => return reset_at_end(&from),
        Door::BlackHole => {
            let mut unread = [0; 1024];
            let swallow = async { while from.read(&mut unread).await.is_ok_and(|n| n > 0) {} };
            tokio::select! { () = swallow => {}, _ = resets.changed() => {} }
            return;
        }
        Door::Open => {}
    }
    let Ok(mut other) = TcpStream::connect(to).await else { return reset_at_end(&from) };
    let _ = (from.set_nodelay(true), other.set_nodelay(true));
    let fate = {
        let ((from_read, from_write), (to_read, to_write)) = (from.split(), other.split());
        let there = pump(from_read, to_write, now.clone(), |f| f.there);
        let back = pump(to_read, from_write, now.clone(), |f| f.back);
        tokio::pin!(there, back);
        let (mut there_over, mut back_over) = (false, false);
        loop {
            let fate = tokio::select! {
                fate = &mut there, if !there_over => { there_over = true; fate }
                fate = &mut back, if !back_over => { back_over = true; fate }
                _ = resets.changed() => {
                    now.strike();
                    Fate::Reset
                }
            };
            if fate != Fate::Ended || (there_over && back_over) {
                break fate;
            }
        }
    };
    if fate == Fate::Reset {
        reset_at_end(&from);
        reset_at_end(&other);
    }
}

/// Carries one direction of a connection, until it ends.
async fn pump(
    mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, link: Now,
    way: impl Fn(&Faults) -> Way,
) -> Fate {
    let mut faults = link.faults.clone();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut piece, mut crossed) = (vec![0; 16 * 1024], 0u64);
    loop {
        let Ok(read) = from.read(&mut piece).await else { return Fate::Reset };
        while way(&faults.borrow_and_update()).held {
            link.strike();
            if faults.changed().await.is_err() {
                return Fate::Reset;
            }
        }
        let now = way(&faults.borrow());
        let delay = now.delay_ms + if now.jitter_ms > 0 { rng.random_range(0..=now.jitter_ms) } else { 0 };
        if delay > 0 {
            link.strike();
            sleep(Duration::from_millis(delay)).await;
        }
        if read == 0 {
            return if to.shutdown().await.is_ok() { Fate::Ended } else { Fate::Reset };
        }
        let left = now.cut_after.map_or(u64::MAX, |(after, _)| after.saturating_sub(crossed));
        let goes = usize::try_from(left).unwrap_or(usize::MAX).min(read);
        let step = now.bytes_per_s.map_or(goes.max(1), |b| (b as usize / 50).max(1));
        for part in piece[..goes].chunks(step) {
            if to.write_all(part).await.is_err() {
                return Fate::Reset;
            }
            if now.bytes_per_s.is_some() {
                link.strike();
                sleep(Duration::from_millis(20)).await;
            }
        }
        crossed += goes as u64;
        if let Some((_, then)) = now.cut_after.filter(|(after, _)| crossed >= *after) {
            link.strike();
            match then {
                Then::Reset => {
                    // What was let through arrives before the reset does.
                    sleep(Duration::from_millis(5)).await;
                    return Fate::Reset;
                }
                Then::End => return Fate::Cut,
                Then::Silence => std::future::pending().await,
            }
        }
    }
}

/// A pair of UDP links between two addresses. Each side sees the address that it was told for the other one.
#[derive(Debug)]
pub struct Datagrams {
    /// Where the first side sends to, and what it hears from.
    pub first_sends_to: SocketAddr,
    /// The same of the second side.
    pub second_sends_to: SocketAddr,
    there: watch::Sender<Way>,
    back: watch::Sender<Way>,
    tasks: [JoinHandle<()>; 2],
}

impl Datagrams {
    /// Sound links between `first` and `second`; chance is drawn from `seed`.
    pub async fn between(first: SocketAddr, second: SocketAddr, seed: u64) -> io::Result<Self> {
        let to_second = std::sync::Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let to_first = std::sync::Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let ((there, there_now), (back, back_now)) =
            (watch::channel(Way::default()), watch::channel(Way::default()));
        Ok(Datagrams {
            first_sends_to: to_second.local_addr()?,
            second_sends_to: to_first.local_addr()?,
            there,
            back,
            tasks: [
                tokio::spawn(forward(to_second.clone(), to_first.clone(), second, there_now, seed)),
                tokio::spawn(forward(to_first, to_second, first, back_now, seed ^ 1)),
            ],
        })
    }

    /// From now on this is wrong with each direction: first to second, and second to first.
    pub fn set(&self, there: Way, back: Way) {
        self.there.send_replace(there);
        self.back.send_replace(back);
    }
}

impl Drop for Datagrams {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn forward(
    from: std::sync::Arc<UdpSocket>, out: std::sync::Arc<UdpSocket>, to: SocketAddr,
    way: watch::Receiver<Way>, seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut datagram = vec![0; 65_536];
    let mut behind: Option<Vec<u8>> = None;
    while let Ok((len, _)) = from.recv_from(&mut datagram).await {
        let now = *way.borrow();
        // A datagram that meets a cut is gone.
        if now.held || rng.random_bool(now.loss.clamp(0.0, 1.0)) {
            continue;
        }
        let this = datagram[..len].to_vec();
        if behind.is_none() && rng.random_bool(now.reorder.clamp(0.0, 1.0)) {
            behind = Some(this);
            continue;
        }
        let copies = 1 + usize::from(rng.random_bool(now.repeat.clamp(0.0, 1.0)));
        let mut all = vec![this; copies];
        all.extend(behind.take());
        let delay = now.delay_ms + if now.jitter_ms > 0 { rng.random_range(0..=now.jitter_ms) } else { 0 };
        let out = out.clone();
        tokio::spawn(async move {
            if delay > 0 {
                sleep(Duration::from_millis(delay)).await;
            }
            for one in all {
                // Nobody may be there, which a datagram does not tell.
                let _ = out.send_to(&one, to).await;
            }
        });
    }
}
