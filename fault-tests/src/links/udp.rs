//! A pair of UDP links, one for each direction between two addresses.
use super::DirectionFaults;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Size of the receive buffer, which holds the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A pair of UDP links between two peers. A peer receives datagrams from the same address that it sends to.
/// Dropping the pair ends both links.
#[derive(Debug)]
pub struct UdpLinkPair {
    /// Address that the first peer sends to and receives from.
    pub first_sends_to: SocketAddr,
    /// Address that the second peer sends to and receives from.
    pub second_sends_to: SocketAddr,
    forward: watch::Sender<DirectionFaults>,
    reverse: watch::Sender<DirectionFaults>,
    tasks: [JoinHandle<()>; 2],
}

impl UdpLinkPair {
    /// Returns links without faults between the peers `first` and `second`. Random faults are drawn from
    /// `seed`.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
    pub async fn between(first: SocketAddr, second: SocketAddr, seed: u64) -> io::Result<Self> {
        let to_second = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let to_first = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
        let (forward, forward_faults) = watch::channel(DirectionFaults::default());
        let (reverse, reverse_faults) = watch::channel(DirectionFaults::default());
        let first_sends_to = to_second.local_addr()?;
        let second_sends_to = to_first.local_addr()?;
        let forwarder = Forwarder {
            receive_from: to_second.clone(),
            send_with: to_first.clone(),
            destination: second,
            faults: forward_faults,
        };
        let reverse_forwarder = Forwarder {
            receive_from: to_first,
            send_with: to_second,
            destination: first,
            faults: reverse_faults,
        };
        let tasks = [tokio::spawn(forwarder.run(seed)), tokio::spawn(reverse_forwarder.run(seed ^ 1))];
        Ok(UdpLinkPair { first_sends_to, second_sends_to, forward, reverse, tasks })
    }

    /// Replaces the faults of both directions: `forward` is from the first to the second peer.
    pub fn set(&self, forward: DirectionFaults, reverse: DirectionFaults) {
        self.forward.send_replace(forward);
        self.reverse.send_replace(reverse);
    }
}

impl Drop for UdpLinkPair {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The forwarder of the datagrams of one direction.
struct Forwarder {
    receive_from: Arc<UdpSocket>,
    send_with: Arc<UdpSocket>,
    destination: SocketAddr,
    faults: watch::Receiver<DirectionFaults>,
}

impl Forwarder {
    async fn run(self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut reordered: Option<Vec<u8>> = None;
        while let Ok((length, _)) = self.receive_from.recv_from(&mut buffer).await {
            let faults = *self.faults.borrow();
            if faults.stalled || rng.random_bool(faults.loss_ratio.clamp(0.0, 1.0)) {
                continue;
            }
            let datagram = buffer[..length].to_vec();
            if reordered.is_none() && rng.random_bool(faults.reorder_ratio.clamp(0.0, 1.0)) {
                reordered = Some(datagram);
                continue;
            }
            let copies = 1 + usize::from(rng.random_bool(faults.duplicate_ratio.clamp(0.0, 1.0)));
            let mut datagrams = vec![datagram; copies];
            datagrams.extend(reordered.take());
            let delay = faults.draw_delay(&mut rng);
            let (socket, destination) = (self.send_with.clone(), self.destination);
            tokio::spawn(async move {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                for datagram in datagrams {
                    // An error is ignored, because a datagram to a peer that does not listen counts as lost.
                    let _ = socket.send_to(&datagram, destination).await;
                }
            });
        }
    }
}
