//! Which of the machines between a member calls: by rendezvous hashing, so that it needs no table, and the death of one
//! machine moves nobody else and spreads its members.
use sha2::{Digest, Sha256};

/// A machine between, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLocation {
    /// Its name; no two have the same.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// The machines, as indices, in the order in which a member of that name and place calls them.
///
/// The first is one of its zone; without any there, of its region, and else any. From the second on one of the near (zone or
/// region) and one of the far take turns, a draw says which begin: with two machines to a zone, the dead one's members would
/// all meet at the other if its zone, or even its region, came first throughout.
pub fn preference_order(member: &str, zone: &str, region: &str, machines: &[ReplicaLocation]) -> Vec<usize> {
    let draw = |of: &str| {
        let hash = Sha256::new().chain_update(member).chain_update([0]).chain_update(of).finalize();
        hash.iter().take(8).fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
    };
    let mut drawn: Vec<usize> = (0..machines.len()).collect();
    drawn.sort_by_cached_key(|n| (std::cmp::Reverse(draw(&machines[*n].name)), *n));
    let first = drawn.iter().position(|n| machines[*n].zone == zone && machines[*n].region == region);
    let first = first.or_else(|| drawn.iter().position(|n| machines[*n].region == region)).unwrap_or(0);
    if drawn.is_empty() {
        return drawn;
    }
    let mut order = vec![drawn.remove(first)];
    let (near, far): (Vec<usize>, Vec<usize>) =
        drawn.into_iter().partition(|n| machines[*n].region == region);
    let (mut one, mut other) = (near.into_iter(), far.into_iter());
    if draw("") % 2 == 0 {
        std::mem::swap(&mut one, &mut other);
    }
    loop {
        let before = order.len();
        order.extend(one.next());
        order.extend(other.next());
        if order.len() == before {
            return order;
        }
    }
}
