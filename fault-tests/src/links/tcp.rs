//! A TCP link: accepts connections on its own address and forwards them, with the faults that are set.
use super::{ConnectionHandling, CutAction, DirectionFaults, LinkFaults};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The most bytes that are read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// A limited direction sends this often a second.
const SENDS_PER_S: usize = 50;
/// The time between two sends of a limited direction.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Delivered data gets this long to arrive before the connection is reset, as a reset would discard it.
const DELIVERY_TIME: Duration = Duration::from_millis(5);
/// The pause after an attempt to listen again has failed.
const RELISTEN_INTERVAL: Duration = Duration::from_millis(20);

/// How a connection, or one direction of it, ended.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    Closed,
    Cut,
    Reset,
}

/// Listens on a loopback address of its own, so that no other program takes the port while the link refuses
/// connections.
async fn listen() -> io::Result<TcpListener> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = std::process::id().to_be_bytes()[3];
    TcpListener::bind((Ipv4Addr::new(127, 16 + process % 64, high, low.max(1)), 0)).await
}

/// A TCP link to an address. Its connections and its listener end when it is dropped.
#[derive(Debug)]
pub struct Link {
    /// Where peers connect to.
    pub address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    resets: watch::Sender<u64>,
    hits: Arc<AtomicU64>,
    accepting: JoinHandle<()>,
}

/// A connection's view of its link.
#[derive(Clone)]
struct LinkState {
    faults: watch::Receiver<LinkFaults>,
    resets: watch::Receiver<u64>,
    hits: Arc<AtomicU64>,
}

impl LinkState {
    /// Counts a connection or chunk that a fault affected.
    fn record_hit(&self) {
        self.hits.fetch_add(1, Ordering::Relaxed);
    }
}

impl Link {
    /// A link without faults to `destination`.
    ///
    /// # Errors
    /// If its listener cannot be bound.
    pub async fn to(destination: SocketAddr) -> io::Result<Self> {
        let listener = listen().await?;
        let address = listener.local_addr()?;
        let (faults, faults_seen) = watch::channel(LinkFaults::default());
        let (resets, resets_seen) = watch::channel(0);
        let hits = Arc::new(AtomicU64::new(0));
        let state = LinkState { faults: faults_seen, resets: resets_seen, hits: hits.clone() };
        let accepting = tokio::spawn(accept(address, Some(listener), destination, state));
        Ok(Link { address, faults, resets, hits, accepting })
    }

    /// Replaces its faults, for open connections too.
    pub fn set(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Its present faults.
    pub fn faults(&self) -> LinkFaults {
        *self.faults.borrow()
    }

    /// How many connections and chunks a fault has affected since the last call.
    pub fn take_hit_count(&self) -> u64 {
        self.hits.swap(0, Ordering::Relaxed)
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
        self.reset();
    }
}

/// Accepts connections until the link is dropped; there is no listener while it refuses them.
async fn accept(
    address: SocketAddr, mut listener: Option<TcpListener>, destination: SocketAddr, state: LinkState,
) {
    let mut faults = state.faults.clone();
    loop {
        let handling = faults.borrow_and_update().connection_handling;
        if handling == ConnectionHandling::Refused {
            listener = None;
            if faults.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Some(open) = &listener else {
            match TcpListener::bind(address).await {
                Ok(bound) => listener = Some(bound),
                Err(_) => sleep(RELISTEN_INTERVAL).await,
            }
            continue;
        };
        tokio::select! {
            changed = faults.changed() => if changed.is_err() { return },
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(handle_connection(stream, destination, handling, state.clone()));
            }
        }
    }
}

/// Has the connection reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // Fails only for a connection that has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn handle_connection(
    mut client: TcpStream, destination: SocketAddr, handling: ConnectionHandling, state: LinkState,
) {
    let mut resets = state.resets.clone();
    resets.borrow_and_update();
    if handling != ConnectionHandling::Open {
        state.record_hit();
    }
    match handling {
        ConnectionHandling::Reset | ConnectionHandling::Refused => return reset_on_drop(&client),
        ConnectionHandling::BlackHole => {
            let mut discarded = [0; 1024];
            let discard = async { while client.read(&mut discarded).await.is_ok_and(|n| n > 0) {} };
            tokio::select! { () = discard => {}, _ = resets.changed() => {} }
            return;
        }
        ConnectionHandling::Open => {}
    }
    let Ok(mut server) = TcpStream::connect(destination).await else { return reset_on_drop(&client) };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if forward_both(&mut client, &mut server, resets, &state).await == ConnectionEnd::Reset {
        reset_on_drop(&client);
        reset_on_drop(&server);
    }
}

/// Forwards both directions until both have closed, or until one is cut or reset.
async fn forward_both(
    client: &mut TcpStream, server: &mut TcpStream, mut resets: watch::Receiver<u64>, state: &LinkState,
) -> ConnectionEnd {
    let ((client_read, client_write), (server_read, server_write)) = (client.split(), server.split());
    let forward = forward_direction(client_read, server_write, state.clone(), |faults| faults.forward);
    let reverse = forward_direction(server_read, client_write, state.clone(), |faults| faults.reverse);
    tokio::pin!(forward, reverse);
    let (mut forward_ended, mut reverse_ended) = (false, false);
    loop {
        let end = tokio::select! {
            end = &mut forward, if !forward_ended => { forward_ended = true; end }
            end = &mut reverse, if !reverse_ended => { reverse_ended = true; end }
            _ = resets.changed() => {
                state.record_hit();
                ConnectionEnd::Reset
            }
        };
        if end != ConnectionEnd::Closed || (forward_ended && reverse_ended) {
            return end;
        }
    }
}

/// Forwards one direction of a connection until it ends.
async fn forward_direction(
    mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, state: LinkState,
    direction: impl Fn(&LinkFaults) -> DirectionFaults,
) -> ConnectionEnd {
    let mut link_faults = state.faults.clone();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut chunk, mut forwarded_bytes) = (vec![0; CHUNK_BYTES], 0u64);
    loop {
        let Ok(read) = from.read(&mut chunk).await else { return ConnectionEnd::Reset };
        while direction(&link_faults.borrow_and_update()).stalled {
            state.record_hit();
            if link_faults.changed().await.is_err() {
                return ConnectionEnd::Reset;
            }
        }
        let faults = direction(&link_faults.borrow());
        let delay = faults.draw_delay(&mut rng);
        if !delay.is_zero() {
            state.record_hit();
            sleep(delay).await;
        }
        if read == 0 {
            return if to.shutdown().await.is_ok() { ConnectionEnd::Closed } else { ConnectionEnd::Reset };
        }
        let remaining = faults.cut_after.map_or(u64::MAX, |(after, _)| after.saturating_sub(forwarded_bytes));
        let permitted = usize::try_from(remaining).unwrap_or(usize::MAX).min(read);
        if write_limited(&mut to, &chunk[..permitted], faults.bytes_per_s, &state).await.is_err() {
            return ConnectionEnd::Reset;
        }
        forwarded_bytes += permitted as u64;
        if let Some((_, action)) = faults.cut_after.filter(|(after, _)| forwarded_bytes >= *after) {
            state.record_hit();
            return cut(action).await;
        }
    }
}

/// Writes a chunk, in small parts at intervals if the direction is limited.
async fn write_limited(
    to: &mut (impl AsyncWrite + Unpin), chunk: &[u8], bytes_per_s: Option<u64>, state: &LinkState,
) -> io::Result<()> {
    let part_bytes = bytes_per_s.map_or(chunk.len(), |limit| limit as usize / SENDS_PER_S);
    for part in chunk.chunks(part_bytes.max(1)) {
        to.write_all(part).await?;
        if bytes_per_s.is_some() {
            state.record_hit();
            sleep(SEND_INTERVAL).await;
        }
    }
    Ok(())
}

/// Waits as the action asks for; [`CutAction::Silence`] lasts until the connection is reset.
async fn cut(action: CutAction) -> ConnectionEnd {
    match action {
        CutAction::Reset => {
            sleep(DELIVERY_TIME).await;
            ConnectionEnd::Reset
        }
        CutAction::End => ConnectionEnd::Cut,
        CutAction::Silence => std::future::pending().await,
    }
}
