//! The memory budget: the division of the limit, reservations, evictions, and the order of waiting holders.
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use ternstack_gateway::memory_budget::{HolderId, MemoryBudget, MemoryPlan, Reservation, Work};

const KIB: usize = 1024;

fn incomplete(budget: &mut MemoryBudget, bytes: usize) -> HolderId {
    let id = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.reserve(id, bytes, 0.0), Reservation::Granted);
    id
}

/// Returns a budget in which incomplete requests may reserve `bytes` together.
fn budget_for_incomplete(bytes: usize) -> MemoryBudget {
    MemoryBudget::new(bytes.div_ceil(3) * 4)
}

#[test]
fn the_plan_fits_into_the_limit_at_every_size() {
    for memory_mb in [0, 1, 16, 32, 64, 192, 2048, u64::MAX / 1_000_000] {
        for connections in [0, 16, 976, 65_536, usize::MAX] {
            let limit_bytes = memory_mb * 1_000_000;
            let plan = MemoryPlan::new(limit_bytes, connections);
            let planned = plan.max_connections as u64 * 8 * 1024 + plan.reservable_bytes as u64;
            assert!(planned <= limit_bytes, "{memory_mb} MB, {connections} connections: {plan:?}");
            assert!(plan.max_connections <= connections);
        }
    }
    let least = MemoryPlan::new(32_000_000, 976);
    assert_eq!(least.max_connections, 976, "the most descriptors of the platform fit into its least memory");
    assert!(least.reservable_bytes >= 64 * 128 * KIB, "{least:?}");
}

#[test]
fn the_holder_of_the_largest_incomplete_request_is_evicted_first() {
    let mut budget = budget_for_incomplete(100 * KIB);
    let (small, large) = (incomplete(&mut budget, 20 * KIB), incomplete(&mut budget, 70 * KIB));
    let newcomer = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.reserve(newcomer, 20 * KIB, 1.0), Reservation::Waiting { evicted: Some(large) });
    // The bytes that are being released suffice for another one.
    let another = budget.open(Work::IncompleteRequest, 1.0);
    assert_eq!(budget.reserve(another, 20 * KIB, 1.0), Reservation::Waiting { evicted: None });
    assert_eq!(budget.next_granted(), None, "the evicted holder has not released its bytes yet");
    assert_eq!(budget.reserve(large, 80 * KIB, 1.0), Reservation::Denied, "an evicted holder does not grow");
    budget.close(large);
    assert_eq!(budget.next_granted(), Some(newcomer));
    assert_eq!(budget.next_granted(), Some(another));
    assert_eq!((budget.bytes_of(small), budget.reserved_bytes()), (20 * KIB, 60 * KIB));
}

#[test]
fn a_request_that_would_itself_be_the_largest_is_denied() {
    let mut budget = budget_for_incomplete(100 * KIB);
    let (first, _second) = (incomplete(&mut budget, 50 * KIB), incomplete(&mut budget, 50 * KIB));
    assert_eq!(budget.reserve(first, 60 * KIB, 1.0), Reservation::Denied);
    assert_eq!(budget.bytes_of(first), 50 * KIB, "a denial releases nothing by itself");
}

#[test]
fn accepted_work_is_never_evicted_and_is_served_before_incomplete_requests() {
    let mut budget = MemoryBudget::new(100 * KIB);
    let accepted = budget.open(Work::Accepted, 0.0);
    assert_eq!(budget.reserve(accepted, 60 * KIB, 0.0), Reservation::Granted);
    let upload = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.reserve(upload, 20 * KIB, 1.0), Reservation::Denied, "nothing can be evicted for it");
    let upload = incomplete(&mut budget, 10 * KIB);
    let response = budget.open(Work::Accepted, 1.0);
    assert_eq!(budget.reserve(response, 64 * KIB, 1.0), Reservation::Waiting { evicted: Some(upload) });
    budget.close(upload);
    assert_eq!(budget.next_granted(), None);
    let later = budget.open(Work::IncompleteRequest, 2.0);
    assert_eq!(
        budget.reserve(later, 5 * KIB, 2.0),
        Reservation::Denied,
        "the freed bytes are the response's"
    );
    budget.close(accepted);
    assert_eq!(budget.next_granted(), Some(response));
}

#[test]
fn incomplete_requests_leave_a_quarter_of_the_budget_to_responses() {
    let mut budget = MemoryBudget::new(100 * KIB);
    let upload = incomplete(&mut budget, 75 * KIB);
    let another = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.reserve(another, KIB, 0.0), Reservation::Waiting { evicted: Some(upload) });
    budget.set_work(upload, Work::Accepted, 0.0);
    let response = budget.open(Work::Accepted, 0.0);
    assert_eq!(budget.reserve(response, 25 * KIB, 0.0), Reservation::Granted);
}

#[test]
fn a_response_is_evicted_only_after_its_client_has_not_read_it_for_a_while() {
    let mut budget = MemoryBudget::new(100 * KIB);
    let unread = budget.open(Work::Accepted, 0.0);
    assert_eq!(budget.reserve(unread, 90 * KIB, 0.0), Reservation::Granted);
    budget.set_work(unread, Work::UnreadResponse, 1000.0);
    let response = budget.open(Work::Accepted, 0.0);
    assert_eq!(budget.reserve(response, 64 * KIB, 1400.0), Reservation::Waiting { evicted: None });
    assert_eq!(budget.evict_for_waiting(1499.0), None);
    assert_eq!(budget.evict_for_waiting(1500.0), Some(unread));
    assert_eq!(budget.evict_for_waiting(1600.0), None, "its bytes suffice");
    budget.close(unread);
    assert_eq!(budget.next_granted(), Some(response));
}

#[test]
fn an_evicted_request_that_was_complete_already_is_accepted_and_another_one_is_evicted() {
    let mut budget = budget_for_incomplete(100 * KIB);
    let (second, largest) = (incomplete(&mut budget, 45 * KIB), incomplete(&mut budget, 50 * KIB));
    let newcomer = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.reserve(newcomer, 20 * KIB, 1.0), Reservation::Waiting { evicted: Some(largest) });
    budget.set_work(largest, Work::Accepted, 2.0);
    assert_eq!(budget.next_granted(), None);
    assert_eq!(budget.evict_for_waiting(3.0), Some(second));
    budget.close(second);
    assert_eq!(budget.next_granted(), Some(newcomer));
    assert_eq!(budget.reserved_bytes(), 70 * KIB);
}

// Guards against requests behind open ones that take the memory of other work.
#[test]
fn requests_behind_open_ones_take_half_of_the_budget_and_give_way_to_all_other_work() {
    let mut budget = MemoryBudget::new(100 * KIB);
    let (small, large) = (budget.open(Work::ReadAhead, 0.0), budget.open(Work::ReadAhead, 0.0));
    assert!(budget.try_reserve(small, 20 * KIB) && budget.try_reserve(large, 30 * KIB));
    assert!(!budget.try_reserve(small, 21 * KIB), "they take at most half");
    assert!(budget.try_reserve(small, 10 * KIB), "a queue may shrink");
    let upload = budget.open(Work::IncompleteRequest, 0.0);
    assert_eq!(budget.evict_read_ahead_for(upload, 35 * KIB), None, "it fits beside them");
    assert_eq!(budget.evict_read_ahead_for(upload, 60 * KIB), Some(large));
    assert_eq!(budget.evict_read_ahead_for(upload, 60 * KIB), None, "the bytes of the largest suffice");
    assert_eq!(budget.reserve(upload, 60 * KIB, 0.0), Reservation::Waiting { evicted: None });
    assert!(!budget.try_reserve(large, 31 * KIB), "an evicted queue does not grow");
    assert!(!budget.try_reserve(small, 11 * KIB), "no queue grows while other work waits");
    budget.close(large);
    assert_eq!(budget.next_granted(), Some(upload));
    assert_eq!(budget.evict_read_ahead_for(upload, 76 * KIB), None, "nothing is evicted for a denial");
}

#[test]
fn a_reservation_beyond_the_whole_budget_is_denied() {
    let mut budget = MemoryBudget::new(100 * KIB);
    let response = budget.open(Work::Accepted, 0.0);
    assert_eq!(budget.reserve(response, 101 * KIB, 0.0), Reservation::Denied);
}

/// A step of a random sequence. Holders are picked by index.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open(Work),
    Reserve { holder: usize, bytes: usize },
    TryReserve { holder: usize, bytes: usize },
    SetWork { holder: usize, work: Work },
    Close { holder: usize },
    EvictForWaiting,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let work = *g
            .choose(&[Work::ReadAhead, Work::IncompleteRequest, Work::Accepted, Work::UnreadResponse])
            .expect("not empty");
        let holder = usize::arbitrary(g);
        match u8::arbitrary(g) % 9 {
            8 => Step::TryReserve { holder, bytes: usize::arbitrary(g) % (80 * KIB) },
            0 | 1 => Step::Open(work),
            2..=4 => Step::Reserve { holder, bytes: usize::arbitrary(g) % (80 * KIB) },
            5 => Step::SetWork { holder, work },
            6 => Step::Close { holder },
            _ => Step::EvictForWaiting,
        }
    }
}

/// Plays a sequence as the gateway's tasks would: an evicted or denied holder ends, and a waiting one does
/// nothing until its reservation is granted. Returns whether the invariants held throughout.
fn plays_within_the_budget(steps: Vec<Step>) -> bool {
    const RESERVABLE_BYTES: usize = 200 * KIB;
    let mut budget = MemoryBudget::new(RESERVABLE_BYTES);
    let mut works: BTreeMap<HolderId, Work> = BTreeMap::new();
    let mut waiting: Vec<HolderId> = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        let now_ms = number as f64 * 200.0;
        let pick = |index: usize, works: &BTreeMap<HolderId, Work>| {
            works.keys().nth(index % works.len().max(1)).copied()
        };
        let mut ended = None;
        match step {
            Step::Open(work) => drop(works.insert(budget.open(work, now_ms), work)),
            Step::Reserve { holder, bytes } => {
                let Some(id) = pick(holder, &works).filter(|id| !waiting.contains(id)) else { continue };
                if works.get(&id) == Some(&Work::ReadAhead) {
                    continue;
                }
                while let Some(evicted) = budget.evict_read_ahead_for(id, bytes) {
                    if works.remove(&evicted) != Some(Work::ReadAhead) {
                        return false;
                    }
                    budget.close(evicted);
                }
                match budget.reserve(id, bytes, now_ms) {
                    Reservation::Granted => {}
                    Reservation::Denied => ended = Some(id),
                    Reservation::Waiting { evicted } => {
                        waiting.push(id);
                        ended = evicted;
                    }
                }
            }
            Step::TryReserve { holder, bytes } => {
                let id = pick(holder, &works).filter(|id| works.get(id) == Some(&Work::ReadAhead));
                let Some(id) = id else { continue };
                budget.try_reserve(id, bytes);
            }
            Step::SetWork { holder, work } => {
                let Some(id) = pick(holder, &works).filter(|id| !waiting.contains(id)) else { continue };
                if work == Work::ReadAhead || works.get(&id) == Some(&Work::ReadAhead) {
                    continue;
                }
                budget.set_work(id, work, now_ms);
                works.insert(id, work);
            }
            Step::Close { holder } => ended = pick(holder, &works),
            Step::EvictForWaiting => ended = budget.evict_for_waiting(now_ms),
        }
        let was_evicted = matches!(step, Step::EvictForWaiting | Step::Reserve { .. });
        if let Some(id) = ended {
            if was_evicted && works.get(&id) == Some(&Work::Accepted) && !matches!(step, Step::Reserve { .. })
            {
                return false;
            }
            budget.close(id);
            works.remove(&id);
            waiting.retain(|waiting| *waiting != id);
        }
        while let Some(granted) = budget.next_granted() {
            let position = waiting.iter().position(|waiting| *waiting == granted);
            let Some(position) = position else { return false };
            waiting.remove(position);
        }
        let held: usize = works.keys().map(|id| budget.bytes_of(*id)).sum();
        if budget.reserved_bytes() > RESERVABLE_BYTES || budget.reserved_bytes() != held {
            return false;
        }
    }
    let ids: Vec<HolderId> = works.into_keys().collect();
    ids.into_iter().for_each(|id| budget.close(id));
    budget.reserved_bytes() == 0
}

#[test]
fn random_reservations_never_exceed_the_budget_and_closing_releases_everything() {
    QuickCheck::new().tests(2000).quickcheck(plays_within_the_budget as fn(Vec<Step>) -> bool);
}
