//! The event loop's table of endpoints, with the addresses to which attempts are sent.
use crate::endpoint_list::{EndpointList, EndpointState};
use crate::permit::EndpointLocality;
use crate::upstream::Upstream;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use ternstack_balancer::{EndpointId, EndpointRecord, Readiness, UpdateKind};
use ternstack_settings::{stable_hash, NameTable};

/// The memory of an endpoint in the tables of the event loop and of the balancer, without its name.
const ENDPOINT_BYTES: usize = 2 << 10;

/// An endpoint with the values of the last list that named it.
struct ListedEndpoint {
    uid: String,
    address: Option<SocketAddr>,
    locality: EndpointLocality,
    started_at_ms: f64,
    /// The token of the endpoint's present incarnation, replaced when the endpoint moves, restarts or stops
    /// serving. Connections and attempts hold a weak reference, by which they notice that their incarnation
    /// has ended.
    incarnation: Arc<()>,
}

/// The destination of an attempt.
pub(super) struct ReachableEndpoint {
    /// The address at which the endpoint listens.
    pub(super) address: SocketAddr,
    /// The endpoint's zone and cell.
    pub(super) locality: EndpointLocality,
    /// The token of the endpoint's present incarnation, which is dropped when the incarnation ends.
    pub(super) incarnation: Weak<()>,
}

/// The values of an endpoint that are written to the log.
pub(super) struct EndpointDescription<'a> {
    /// The endpoint's name in the endpoint list.
    pub(super) uid: &'a str,
    /// The time of the endpoint's last start, in milliseconds of Unix time; 0 if the endpoint started long
    /// ago.
    pub(super) started_at_ms: f64,
}

/// The endpoints that the balancer knows.
pub(super) struct Endpoints {
    names: NameTable,
    ids: HashMap<String, EndpointId>,
    by_id: BTreeMap<EndpointId, ListedEndpoint>,
    next_id: u32,
}

impl Endpoints {
    pub(super) fn new(names: NameTable) -> Self {
        Endpoints { names, ids: HashMap::new(), by_id: BTreeMap::new(), next_id: 0 }
    }

    /// Returns the destination of an attempt; `None` if the endpoint is not known or has no address.
    pub(super) fn reachable(&self, endpoint: EndpointId) -> Option<ReachableEndpoint> {
        let listed = self.by_id.get(&endpoint)?;
        let incarnation = Arc::downgrade(&listed.incarnation);
        Some(ReachableEndpoint { address: listed.address?, locality: listed.locality, incarnation })
    }

    /// Returns the values of an endpoint for the log; `None` if the endpoint is not known.
    pub(super) fn describe(&self, endpoint: EndpointId) -> Option<EndpointDescription<'_>> {
        let listed = self.by_id.get(&endpoint)?;
        Some(EndpointDescription { uid: &listed.uid, started_at_ms: listed.started_at_ms })
    }

    /// Applies a list, and returns the records of its endpoints for the balancer. Closes the connections to
    /// endpoints that have moved, restarted or stopped serving.
    pub(super) fn apply(
        &mut self, kind: UpdateKind, list: EndpointList, upstream: &Upstream,
    ) -> Vec<EndpointRecord> {
        let mut records = Vec::with_capacity(list.endpoints.len());
        for update in list.endpoints {
            let endpoint = self.id_or_insert(&update.uid);
            let Some(listed) = self.by_id.get_mut(&endpoint) else { continue };
            let has_changed =
                listed.address != update.address || listed.started_at_ms != update.started_at_ms;
            if has_changed || update.state != EndpointState::Serving {
                listed.end_incarnation();
                upstream.close_idle(endpoint);
            }
            listed.address = update.address.or(listed.address);
            listed.started_at_ms = update.started_at_ms;
            listed.locality =
                EndpointLocality { zone: self.names.zone_number(&update.zone), cell: update.cell };
            records.push(EndpointRecord {
                endpoint,
                zone: listed.locality.zone,
                cell: listed.locality.cell,
                hash: stable_hash(&update.uid),
                weight: update.capacity_weight,
                readiness: match update.state {
                    EndpointState::Serving => Readiness::Active,
                    EndpointState::Draining => Readiness::Draining,
                    EndpointState::Deleted => Readiness::Removed,
                },
                started_at_ms: update.started_at_ms,
            });
        }
        if kind == UpdateKind::Complete {
            self.end_unlisted(&records, upstream);
        }
        records
    }

    /// Ends the incarnations of the endpoints that are missing in a complete list.
    fn end_unlisted(&mut self, records: &[EndpointRecord], upstream: &Upstream) {
        let listed_ids: HashSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        for (endpoint, listed) in &mut self.by_id {
            if !listed_ids.contains(endpoint) {
                listed.end_incarnation();
                upstream.close_idle(*endpoint);
            }
        }
    }

    /// Returns the memory that the endpoints take, here and in the balancer.
    pub(super) fn memory_bytes(&self) -> usize {
        self.by_id.values().map(|listed| ENDPOINT_BYTES + 2 * listed.uid.len()).sum()
    }

    /// Removes the endpoints that the balancer no longer knows, which bounds the size of the table.
    pub(super) fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.by_id.retain(|endpoint, _| is_known(*endpoint));
        self.ids.retain(|_, endpoint| is_known(*endpoint));
    }

    /// Returns the id of the endpoint with the name `uid`, and adds the endpoint if the name is not known.
    fn id_or_insert(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(uid.to_string(), id);
        let listed = ListedEndpoint {
            uid: uid.to_string(),
            address: None,
            locality: EndpointLocality::default(),
            started_at_ms: 0.0,
            incarnation: Arc::new(()),
        };
        self.by_id.insert(id, listed);
        id
    }
}

impl ListedEndpoint {
    fn end_incarnation(&mut self) {
        self.incarnation = Arc::new(());
    }
}
