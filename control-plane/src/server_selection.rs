//! Selection of the control server to connect to, with backoff between attempts and failback to preferred
//! servers. The module does no I/O; all times are in ms of the caller's clock.
//!
//! Servers are ranked, the preferred one first. When the current server fails, or grants no lease for half
//! the duration of a lease, the client moves on to the next server. Once all servers have been tried without
//! a lease, a server that still responds is kept for longer, because in a partitioned region no other server
//! can grant a lease. A client that is not connected to its preferred server tries higher ranked servers at
//! random intervals, so that not all clients return to a recovered server at once.
use ternstack_replication::scope::Key;

/// The number of consecutive failures after which [`MAX_SUSTAINED_BACKOFF_MS`] applies.
const FAST_RETRIES: u32 = 2;
/// The upper bound of the random backoff after the first failures.
const MAX_FAST_BACKOFF_MS: f64 = 40.0;
/// The upper bound of the random backoff after further failures. The bound does not grow with the number of
/// failures, so that a client finds a server before its lease expires.
const MAX_SUSTAINED_BACKOFF_MS: f64 = 500.0;
/// The minimum interval between failback attempts; the maximum is twice as long.
const MIN_FAILBACK_INTERVAL_MS: f64 = 20_000.0;
/// The minimum time for which a server that responds without granting a lease is kept once all servers have
/// been tried; the maximum is twice as long.
const MIN_EXTENDED_LEASE_TIMEOUT_MS: f64 = 15_000.0;

/// Returns the random seed of a member's selection, which differs between members and is the same at each
/// start.
pub(crate) fn seed_of(member_name: &str) -> u64 {
    Key::of(member_name).0
}

/// A server to try that is ranked above the connected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailbackCandidate {
    /// The rank of the server; 0 is the preferred server.
    pub rank: usize,
    /// The index of the server in the caller's list of servers.
    pub server: usize,
}

/// The selection state of one client.
#[derive(Clone, Debug)]
pub struct ServerSelection {
    /// The indices of the servers, the preferred server first.
    ranking: Vec<usize>,
    current_rank: usize,
    /// The number of failures since a server last granted a lease.
    consecutive_failures: u32,
    /// The time without a lease, or without a received byte, after which the current server is left.
    lease_timeout_ms: f64,
    last_received_at_ms: f64,
    last_renewed_at_ms: f64,
    /// The time without a lease after which a server that responds is left once all servers have been tried.
    extended_lease_timeout_ms: f64,
    next_candidate_rank: usize,
    /// The time of the next failback attempt; infinity while the preferred server is connected.
    next_failback_at_ms: f64,
    random_state: u64,
}

impl ServerSelection {
    /// Creates a selection whose current server is the first of `ranking`, which must not be empty. A server
    /// is left after `lease_timeout_ms` without a lease or without a received byte. `seed` determines all
    /// random intervals and has to differ between clients.
    pub fn new(ranking: Vec<usize>, lease_timeout_ms: f64, seed: u64) -> Self {
        let mut selection = ServerSelection {
            ranking,
            current_rank: 0,
            consecutive_failures: 0,
            lease_timeout_ms,
            last_received_at_ms: 0.0,
            last_renewed_at_ms: 0.0,
            extended_lease_timeout_ms: 0.0,
            next_candidate_rank: 0,
            next_failback_at_ms: f64::INFINITY,
            random_state: seed,
        };
        selection.extended_lease_timeout_ms = MIN_EXTENDED_LEASE_TIMEOUT_MS * (1.0 + selection.random_unit());
        selection
    }

    /// Returns the index of the server that is connected or is to be connected next.
    pub fn current_server(&self) -> usize {
        self.ranking.get(self.current_rank).copied().unwrap_or_default()
    }

    /// Records that a connection to the current server has been established.
    pub fn on_connected(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
        self.last_renewed_at_ms = now_ms;
        self.next_failback_at_ms = match self.current_rank {
            0 => f64::INFINITY,
            _ => self.random_failback_at_ms(now_ms),
        };
    }

    /// Selects the next server after the current one could not be connected, was disconnected or was left.
    /// Returns the backoff before the next connection attempt, in ms.
    pub fn on_failure(&mut self) -> f64 {
        self.current_rank = (self.current_rank + 1) % self.ranking.len().max(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let max_backoff_ms = match self.consecutive_failures > FAST_RETRIES {
            true => MAX_SUSTAINED_BACKOFF_MS,
            false => MAX_FAST_BACKOFF_MS,
        };
        max_backoff_ms * self.random_unit()
    }

    /// Records that bytes have been received from the current server.
    pub fn on_received(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
    }

    /// Records that the current server has granted or renewed the lease.
    pub fn on_lease_renewed(&mut self, now_ms: f64) {
        self.last_received_at_ms = now_ms;
        self.last_renewed_at_ms = now_ms;
        self.consecutive_failures = 0;
    }

    /// Returns the time at which the current server is to be left unless bytes or a lease are received
    /// before, in ms.
    pub fn deadline_ms(&self) -> f64 {
        let all_tried = self.consecutive_failures as usize >= self.ranking.len();
        let no_lease_timeout_ms =
            if all_tried { self.extended_lease_timeout_ms } else { self.lease_timeout_ms };
        let receive_deadline_ms = self.last_received_at_ms + self.lease_timeout_ms;
        receive_deadline_ms.min(self.last_renewed_at_ms + no_lease_timeout_ms)
    }

    /// Returns the time at which a higher ranked server is to be tried, in ms; infinity while the preferred
    /// server is connected.
    pub fn next_failback_at_ms(&self) -> f64 {
        self.next_failback_at_ms
    }

    /// Returns the server to try now and schedules the next attempt. Successive calls return the servers
    /// above the current one in turn; there is none above the preferred server.
    pub fn next_failback_candidate(&mut self, now_ms: f64) -> Option<FailbackCandidate> {
        self.next_failback_at_ms = self.random_failback_at_ms(now_ms);
        let rank = self.next_candidate_rank.checked_rem(self.current_rank)?;
        self.next_candidate_rank = rank + 1;
        Some(FailbackCandidate { rank, server: self.ranking[rank] })
    }

    /// Makes the candidate of that rank the current server, after a connection to the candidate was
    /// established.
    pub fn on_failback(&mut self, rank: usize) {
        self.current_rank = rank;
    }

    fn random_failback_at_ms(&mut self, now_ms: f64) -> f64 {
        now_ms + MIN_FAILBACK_INTERVAL_MS * (1.0 + self.random_unit())
    }

    /// Returns a random number that is at least 0 and less than 1, from the SplitMix64 generator.
    fn random_unit(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random_state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
