//! The endpoints of the endpoint list, as the event loop needs them to send attempts.
use crate::endpoint_list::{EndpointList, EndpointState};
use crate::permit::EndpointLocality;
use crate::upstream::Upstream;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use ternstack_balancer::{EndpointId, EndpointRecord, Readiness, UpdateKind};
use ternstack_settings::{stable_hash, NameTable};

/// An endpoint as last listed.
struct ListedEndpoint {
    uid: String,
    address: Option<SocketAddr>,
    locality: EndpointLocality,
    started_at_ms: f64,
    /// Replaced when the endpoint moves, restarts or stops serving: connections and attempts of an earlier incarnation
    /// hold a weak reference, and end.
    incarnation: Arc<()>,
}

/// Where an attempt goes.
pub(super) struct ReachableEndpoint {
    /// The endpoint's address.
    pub(super) address: SocketAddr,
    /// The endpoint's locality.
    pub(super) locality: EndpointLocality,
    /// The endpoint's present incarnation.
    pub(super) incarnation: Weak<()>,
}

/// What the log says of an endpoint.
pub(super) struct EndpointDescription<'a> {
    /// The endpoint's name.
    pub(super) uid: &'a str,
    /// Its last start in milliseconds of Unix time; 0 for long ago.
    pub(super) started_at_ms: f64,
}

/// All endpoints that the balancer knows.
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

    /// Where an attempt to an endpoint goes; `None` if the endpoint has no address.
    pub(super) fn reachable(&self, endpoint: EndpointId) -> Option<ReachableEndpoint> {
        let listed = self.by_id.get(&endpoint)?;
        let incarnation = Arc::downgrade(&listed.incarnation);
        Some(ReachableEndpoint { address: listed.address?, locality: listed.locality, incarnation })
    }

    /// What the log says of an endpoint.
    pub(super) fn describe(&self, endpoint: EndpointId) -> Option<EndpointDescription<'_>> {
        let listed = self.by_id.get(&endpoint)?;
        Some(EndpointDescription { uid: &listed.uid, started_at_ms: listed.started_at_ms })
    }

    /// Applies a list; returns the balancer's records of its endpoints. Connections to endpoints that have moved, restarted or
    /// stopped serving are closed.
    pub(super) fn apply(
        &mut self, kind: UpdateKind, list: EndpointList, upstream: &Upstream,
    ) -> Vec<EndpointRecord> {
        let mut records = Vec::with_capacity(list.endpoints.len());
        for update in list.endpoints {
            let endpoint = self.id(&update.uid);
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

    /// Ends the incarnations of the endpoints that a complete list does not name.
    fn end_unlisted(&mut self, records: &[EndpointRecord], upstream: &Upstream) {
        let named: HashSet<EndpointId> = records.iter().map(|record| record.endpoint).collect();
        for (endpoint, listed) in &mut self.by_id {
            if !named.contains(endpoint) {
                listed.end_incarnation();
                upstream.close_idle(*endpoint);
            }
        }
    }

    /// Removes the endpoints that the balancer has removed, which bounds the table's size.
    pub(super) fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.by_id.retain(|endpoint, _| is_known(*endpoint));
        self.ids.retain(|_, endpoint| is_known(*endpoint));
    }

    /// An endpoint's id, a new one for a name that is not known.
    fn id(&mut self, uid: &str) -> EndpointId {
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
