//! Which control machine to call, and when to leave it: decisions without I/O. Times are ms of the caller's clock.
//!
//! The machines stand in an order, best first. One that fails, or gives no lease for half a lease, is left for the next; once
//! all have been tried and none gave one, whoever at least answers is kept, as a region apart gains nothing by calling
//! around. Whoever is not at the best tries better ones with patience, each at moments of its own, so that a machine's
//! return is not met by a herd.

/// After this many failures in a row pauses are longer, in machines.
const FIRST_FAILURES: u32 = 2;
/// Pauses before the next call are drawn up to this, in ms: first, and once several have failed. They do not grow on.
const PAUSE_MS: [f64; 2] = [40.0, 500.0];
/// A better machine is tried after one to two times this, in ms.
const BETTER_MS: f64 = 20_000.0;
/// Where no machine gives a lease, one that answers is kept for one to two times this, in ms.
const APART_MS: f64 = 15_000.0;

/// The choice of a member.
#[derive(Clone, Debug)]
pub struct Choice {
    order: Vec<usize>,
    at: usize,
    failures: u32, // In a row, without a lease in between.
    patience_ms: f64,
    heard: f64,
    renewed: f64,
    apart_ms: f64,
    better: usize,
    better_at: f64,
    state: u64,
}

impl Choice {
    /// `order` has the machines, best first, at least one. `patience_ms` is half a lease; `seed` is the member's own, as its
    /// moments are drawn from it.
    pub fn new(order: Vec<usize>, patience_ms: f64, seed: u64) -> Self {
        let mut choice = Choice {
            order,
            at: 0,
            failures: 0,
            patience_ms,
            heard: 0.0,
            renewed: 0.0,
            apart_ms: 0.0,
            better: 0,
            better_at: f64::INFINITY,
            state: seed,
        };
        choice.apart_ms = APART_MS * (1.0 + choice.draw());
        choice
    }

    /// The machine to call, or that is called.
    pub fn machine(&self) -> usize {
        self.order.get(self.at).copied().unwrap_or_default()
    }

    /// A connection to it is up.
    pub fn connected(&mut self, now: f64) {
        (self.heard, self.renewed) = (now, now);
        self.better_at = match self.at {
            0 => f64::INFINITY,
            _ => now + BETTER_MS * (1.0 + self.draw()),
        };
    }

    /// It could not be called, its connection ended, or it was left. The next one is to be called after so many ms.
    pub fn failed(&mut self) -> f64 {
        self.at = (self.at + 1) % self.order.len().max(1);
        self.failures = self.failures.saturating_add(1);
        PAUSE_MS[usize::from(self.failures > FIRST_FAILURES)] * self.draw()
    }

    /// Bytes came from it.
    pub fn heard(&mut self, now: f64) {
        self.heard = now;
    }

    /// It gave a lease.
    pub fn renewed(&mut self, now: f64) {
        (self.heard, self.renewed, self.failures) = (now, now, 0);
    }

    /// When it is to be left, if nothing comes until then.
    pub fn leave_at(&self) -> f64 {
        let all_tried = self.failures as usize >= self.order.len();
        let lease = if all_tried { self.apart_ms } else { self.patience_ms };
        (self.heard + self.patience_ms).min(self.renewed + lease)
    }

    /// When a better one is to be tried.
    pub fn better_at(&self) -> f64 {
        self.better_at
    }

    /// A better machine to try now, with its place; the next try is another's, later.
    pub fn better(&mut self, now: f64) -> Option<(usize, usize)> {
        self.better_at = now + BETTER_MS * (1.0 + self.draw());
        let place = self.better.checked_rem(self.at)?;
        self.better = place + 1;
        Some((place, self.order[place]))
    }

    /// The better one of that place is the machine from now on.
    pub fn taken(&mut self, place: usize) {
        self.at = place;
    }

    /// From 0 to 1: SplitMix64.
    fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
