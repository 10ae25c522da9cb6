//! The order in which a gateway calls replicas, by rendezvous hashing: it needs no table, and when a replica fails, only its
//! own followers move, and spread over the others.
use sha2::{Digest, Sha256};

/// A replica and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLocation {
    /// Its name, which is unique.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
}

/// The replicas, as indices, in the order in which a member of that name and location calls them.
///
/// The first is in the member's zone if there is one, else in its region, else anywhere. After that, replicas of the region
/// and others alternate, and the hash decides which begin: with two replicas in a zone, all followers of a failed one would
/// move to the other if the zone, or even the region, always came first.
pub fn preference_order(member: &str, zone: &str, region: &str, replicas: &[ReplicaLocation]) -> Vec<usize> {
    let hash_with = |of: &str| {
        let hash = Sha256::new().chain_update(member).chain_update([0]).chain_update(of).finalize();
        hash.iter().take(8).fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
    };
    let mut ranked: Vec<usize> = (0..replicas.len()).collect();
    ranked.sort_by_cached_key(|n| (std::cmp::Reverse(hash_with(&replicas[*n].name)), *n));
    let first = ranked.iter().position(|n| replicas[*n].zone == zone && replicas[*n].region == region);
    let first = first.or_else(|| ranked.iter().position(|n| replicas[*n].region == region)).unwrap_or(0);
    if ranked.is_empty() {
        return ranked;
    }
    let mut order = vec![ranked.remove(first)];
    let (same_region, elsewhere): (Vec<usize>, Vec<usize>) =
        ranked.into_iter().partition(|n| replicas[*n].region == region);
    let (mut first_in_turn, mut second_in_turn) = (same_region.into_iter(), elsewhere.into_iter());
    if hash_with("") % 2 == 0 {
        std::mem::swap(&mut first_in_turn, &mut second_in_turn);
    }
    loop {
        let previous_len = order.len();
        order.extend(first_in_turn.next());
        order.extend(second_in_turn.next());
        if order.len() == previous_len {
            return order;
        }
    }
}
