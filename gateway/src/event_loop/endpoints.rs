//! The servers of the endpoint list, as the event loop needs them to send attempts.
use crate::endpoint_list::{EndpointList, EndpointState};
use crate::permit::Locality;
use crate::upstream::Upstream;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use ternstack_balancer::{EndpointId, EndpointRecord, Readiness, UpdateKind};
use ternstack_settings::{stable_hash, NameTable};

/// A server as last listed.
struct ListedServer {
    uid: String,
    address: Option<SocketAddr>,
    locality: Locality,
    started_at_ms: f64,
    /// Replaced when the server moves, restarts or stops serving: connections and attempts of an earlier incarnation
    /// hold a weak reference, and end.
    incarnation: Arc<()>,
}

/// Where an attempt goes.
pub(super) struct Target {
    /// The server's address.
    pub(super) address: SocketAddr,
    /// The server's locality.
    pub(super) locality: Locality,
    /// The server's present incarnation.
    pub(super) incarnation: Weak<()>,
}

/// What the log says of a server.
pub(super) struct ServerDescription<'a> {
    /// The server's name.
    pub(super) uid: &'a str,
    /// Its last start in milliseconds of Unix time; 0 for long ago.
    pub(super) started_at_ms: f64,
}

/// All servers that the balancer knows.
pub(super) struct Endpoints {
    names: NameTable,
    ids: HashMap<String, EndpointId>,
    by_id: BTreeMap<EndpointId, ListedServer>,
    next_id: u32,
}

impl Endpoints {
    pub(super) fn new(names: NameTable) -> Self {
        Endpoints { names, ids: HashMap::new(), by_id: BTreeMap::new(), next_id: 0 }
    }

    /// Where an attempt to a server goes; `None` if the server has no address.
    pub(super) fn target(&self, server: EndpointId) -> Option<Target> {
        let listed = self.by_id.get(&server)?;
        let incarnation = Arc::downgrade(&listed.incarnation);
        Some(Target { address: listed.address?, locality: listed.locality, incarnation })
    }

    /// What the log says of a server.
    pub(super) fn describe(&self, server: EndpointId) -> Option<ServerDescription<'_>> {
        let listed = self.by_id.get(&server)?;
        Some(ServerDescription { uid: &listed.uid, started_at_ms: listed.started_at_ms })
    }

    /// Applies a list; its entries as the balancer takes them. Connections to servers that have moved, restarted or
    /// stopped serving are closed.
    pub(super) fn apply(
        &mut self, kind: UpdateKind, list: EndpointList, upstream: &Upstream,
    ) -> Vec<EndpointRecord> {
        let mut members = Vec::with_capacity(list.endpoints.len());
        for entry in list.endpoints {
            let server = self.id(&entry.uid);
            let Some(listed) = self.by_id.get_mut(&server) else { continue };
            let has_changed = listed.address != entry.address || listed.started_at_ms != entry.started_at_ms;
            if has_changed || entry.state != EndpointState::Serving {
                listed.end_incarnation();
                upstream.close_idle(server);
            }
            listed.address = entry.address.or(listed.address);
            listed.started_at_ms = entry.started_at_ms;
            listed.locality = Locality { zone: self.names.zone_number(&entry.zone), cell: entry.cell };
            members.push(EndpointRecord {
                endpoint: server,
                zone: listed.locality.zone,
                cell: listed.locality.cell,
                hash: stable_hash(&entry.uid),
                weight: entry.capacity_weight,
                readiness: match entry.state {
                    EndpointState::Serving => Readiness::Active,
                    EndpointState::Draining => Readiness::Draining,
                    EndpointState::Deleted => Readiness::Removed,
                },
                started_at_ms: entry.started_at_ms,
            });
        }
        if kind == UpdateKind::Complete {
            self.end_unlisted(&members, upstream);
        }
        members
    }

    /// Ends the incarnations of the servers that a complete list does not name.
    fn end_unlisted(&mut self, members: &[EndpointRecord], upstream: &Upstream) {
        let named: HashSet<EndpointId> = members.iter().map(|member| member.endpoint).collect();
        for (server, listed) in &mut self.by_id {
            if !named.contains(server) {
                listed.end_incarnation();
                upstream.close_idle(*server);
            }
        }
    }

    /// Removes the servers that the balancer has removed, which bounds the table's size.
    pub(super) fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.by_id.retain(|server, _| is_known(*server));
        self.ids.retain(|_, server| is_known(*server));
    }

    /// A server's id, a new one for a name that is not known.
    fn id(&mut self, uid: &str) -> EndpointId {
        if let Some(id) = self.ids.get(uid) {
            return *id;
        }
        let id = EndpointId(self.next_id);
        self.next_id += 1;
        self.ids.insert(uid.to_string(), id);
        let listed = ListedServer {
            uid: uid.to_string(),
            address: None,
            locality: Locality::default(),
            started_at_ms: 0.0,
            incarnation: Arc::new(()),
        };
        self.by_id.insert(id, listed);
        id
    }
}

impl ListedServer {
    fn end_incarnation(&mut self) {
        self.incarnation = Arc::new(());
    }
}
