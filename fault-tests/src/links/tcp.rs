//! A TCP link: accepts connections on its own address and forwards them to a destination with the faults that
//! are set.
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

/// Maximum number of bytes that are read and forwarded as one chunk.
const CHUNK_BYTES: usize = 16 * 1024;
/// Number of sends per second in a direction with a limited rate.
const SENDS_PER_S: usize = 50;
/// Time between two sends in a direction with a limited rate.
const SEND_INTERVAL: Duration = Duration::from_millis(20);
/// Time that forwarded data gets to arrive before the connection is reset, because a reset would discard the
/// data.
const DELIVERY_DELAY: Duration = Duration::from_millis(5);
/// Pause before the next try if a link that stopped refusing connections cannot bind its address again.
const RELISTEN_INTERVAL: Duration = Duration::from_millis(20);

/// The way in which a connection, or one direction of a connection, ended.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    Closed,
    Cut,
    Reset,
}

/// Binds a listener to a loopback address that no other link uses, so that no other program takes the port
/// while the link refuses connections.
async fn listen() -> io::Result<TcpListener> {
    static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(0);
    let [high, low] = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process_byte = std::process::id().to_be_bytes()[3];
    TcpListener::bind((Ipv4Addr::new(127, 16 + process_byte % 64, high, low.max(1)), 0)).await
}

/// A TCP link to a destination. Dropping the link closes its listener and resets its connections.
#[derive(Debug)]
pub struct Link {
    /// Address on which the link listens.
    pub address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    resets: watch::Sender<u64>,
    hits: Arc<AtomicU64>,
    accepting: JoinHandle<()>,
}

/// The state of a link that its connections share.
#[derive(Clone)]
struct LinkState {
    faults: watch::Receiver<LinkFaults>,
    resets: watch::Receiver<u64>,
    hits: Arc<AtomicU64>,
}

impl LinkState {
    /// Counts a connection or chunk that a fault has affected.
    fn record_hit(&self) {
        self.hits.fetch_add(1, Ordering::Relaxed);
    }
}

impl Link {
    /// Returns a link without faults to `destination`.
    ///
    /// # Errors
    /// Returns an error if the listener cannot be bound.
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

    /// Replaces the faults of the link, also for open connections.
    pub fn set(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Returns the current faults of the link.
    pub fn faults(&self) -> LinkFaults {
        *self.faults.borrow()
    }

    /// Returns how many connections and chunks a fault has affected since the last call.
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

/// Accepts connections until the link is dropped. The listener is closed while the link refuses connections.
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

/// Configures a connection so that dropping the stream resets the connection.
fn reset_on_drop(stream: &TcpStream) {
    // The call fails only if the connection has already ended.
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

/// Forwards both directions of a connection until both have closed, or until one is cut or reset.
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

/// Forwards one direction of a connection until the direction is closed, cut or reset.
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
        let forwardable = usize::try_from(remaining).unwrap_or(usize::MAX).min(read);
        if write_limited(&mut to, &chunk[..forwardable], faults.bytes_per_s, &state).await.is_err() {
            return ConnectionEnd::Reset;
        }
        forwarded_bytes += forwardable as u64;
        if let Some((_, action)) = faults.cut_after.filter(|(after, _)| forwarded_bytes >= *after) {
            state.record_hit();
            return cut(action).await;
        }
    }
}

/// Writes a chunk, in small parts at intervals if the rate of the direction is limited.
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

/// Cuts a connection and returns how it ended. [`CutAction::Silence`] never returns, because the connection
/// stays open until it is reset.
async fn cut(action: CutAction) -> ConnectionEnd {
    match action {
        CutAction::Reset => {
            sleep(DELIVERY_DELAY).await;
            ConnectionEnd::Reset
        }
        CutAction::End => ConnectionEnd::Cut,
        CutAction::Silence => std::future::pending().await,
    }
}
