//! The order in which a gateway prefers replicas, by rendezvous hashing: no table is needed, and when a replica
//! fails, only its own followers move, and they spread over the other replicas.
use sha2::{Digest, Sha256};

/// A replica and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaLocation {
    /// The name of the replica, which is unique among all replicas.
    pub name: String,
    /// The name of the zone that the replica runs in.
    pub zone: String,
    /// The name of the region that the zone belongs to.
    pub region: String,
}

/// Returns the indices into `replicas` in the order in which the member `member` tries to connect to the
/// replicas. `zone` and `region` are the location of the member.
///
/// The first replica is in the member's zone if there is one, else in the member's region, else anywhere. The
/// other replicas alternate between the region and elsewhere, and a hash of the member's name decides which of
/// the two begins. If the zone or the region always came first, all followers of a failed replica would move to
/// the only other replica of a zone that has two.
pub fn preference_order(member: &str, zone: &str, region: &str, replicas: &[ReplicaLocation]) -> Vec<usize> {
    let hash_with = |name: &str| {
        let hash = Sha256::new().chain_update(member).chain_update([0]).chain_update(name).finalize();
        hash.iter().take(8).fold(0u64, |sum, byte| sum << 8 | u64::from(*byte))
    };
    let mut ranked: Vec<usize> = (0..replicas.len()).collect();
    ranked.sort_by_cached_key(|index| (std::cmp::Reverse(hash_with(&replicas[*index].name)), *index));
    let first =
        ranked.iter().position(|index| replicas[*index].zone == zone && replicas[*index].region == region);
    let first =
        first.or_else(|| ranked.iter().position(|index| replicas[*index].region == region)).unwrap_or(0);
    if ranked.is_empty() {
        return ranked;
    }
    let mut order = vec![ranked.remove(first)];
    let (same_region, elsewhere): (Vec<usize>, Vec<usize>) =
        ranked.into_iter().partition(|index| replicas[*index].region == region);
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
