//! The gateway's end of control, for whom an operators' file names one: it follows what is agreed on of its services' hosts
//! and of the zones, and hands that on in discovery's place. Without such a file nothing here runs.
//!
//! The module sees a host that drains, or whose zone is lost, as draining; one that was removed as gone. While there is no
//! lease, or a service is behind, nothing arrives, and whatever some known version drains or removes drains.
use crate::endpoint_list::{Endpoint, EndpointList, EndpointState};
use crate::events::{DiscoveryEvent, EventSender, GatewayEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use ternstack_control_plane::gateway_client::{ClientEvent, GatewayClient, GatewayClientConfig};
use ternstack_control_plane::operator_file::OperatorFile;
use ternstack_replication::follower::{Acting, Follower, News as Agreed};
use ternstack_replication::scope::{Entry, Host, Key, Scope};
use ternstack_replication::store::Keeps;
use ternstack_replication::tables::Tables;
use tokio::sync::{mpsc, Notify};
use tracing::{debug, info, warn};

/// So many changed keys are looked at one by one; from there on all are.
const ONE_BY_ONE: usize = 256;

/// What the operators' file tells this gateway.
#[derive(Clone, Debug)]
pub struct Control {
    client: GatewayClientConfig,
    zones: BTreeMap<u16, String>,
}

impl Control {
    /// Reads the operators' file. The error names it, the line, the key and what was expected.
    pub fn from_file(path: &Path) -> Result<Self, String> {
        let operator = OperatorFile::from_file(path).map_err(|e| e.to_string())?;
        let missing = || format!("{}: expected [gateway] with name, zone and services", path.display());
        Self::new(&operator).ok_or_else(missing)
    }

    /// What the file's `[gateway]` is told; `None` if it has none.
    pub fn new(operator: &OperatorFile) -> Option<Self> {
        let zones = operator.zones.iter().map(|zone| (zone.number, zone.name.clone())).collect();
        Some(Control { client: operator.gateway_client_config()?, zones })
    }
}

/// A host's uid here: its key's, as names are not agreed on.
fn uid(key: Key) -> String {
    format!("{:016x}", key.0)
}

/// The warm copy with uids as they are here, so that the agreed list goes on from it.
pub fn renamed(mut known: EndpointList) -> EndpointList {
    known.endpoints.iter_mut().for_each(|entry| entry.uid = uid(Key::of(&entry.uid)));
    known
}

/// What has to be looked at again.
#[derive(Debug, Default)]
struct Dirty {
    all: bool,
    keys: BTreeSet<Key>,
}

impl Dirty {
    fn hear(&mut self, told: ClientEvent) {
        match told {
            ClientEvent::Follower(Agreed::Changed(Scope::Hosts(_), key)) => {
                self.keys.insert(key);
                // Guards against a set that grows while nobody takes it.
                self.all |= self.keys.len() > ONE_BY_ONE;
            }
            ClientEvent::Follower(
                Agreed::Changed(Scope::Zones, _) | Agreed::Whole(_) | Agreed::Behind(_),
            ) => {
                self.all = true;
            }
            ClientEvent::LeaseAcquired => {
                info!("control: leased");
                self.all = true;
            }
            ClientEvent::LeaseExpired => {
                warn!("control: the lease has run out; nothing new arrives until there is one");
                self.all = true;
            }
            ClientEvent::Follower(_) => {}
        }
        if self.all {
            self.keys.clear();
        }
    }

    fn is_clean(&self) -> bool {
        !self.all && self.keys.is_empty()
    }
}

/// What the module was told, and how to tell it more.
struct View {
    services: Vec<Scope>,
    zones: BTreeMap<u16, String>,
    /// The cells of hosts in the warm copy.
    cells: BTreeMap<Key, u32>,
    told: BTreeMap<Key, Endpoint>,
    /// All services have been whole once: what is not there is gone.
    complete: bool,
    /// This is the look by which they are.
    first: bool,
}

impl View {
    /// A host as it is to be seen, `None` if it is gone; the outer `None` if that is not known.
    fn host(&self, core: &Follower<Tables>, now: f64, key: Key) -> Option<Option<Endpoint>> {
        let (mut seen, mut unknown) = (None, false);
        for &scope in &self.services {
            let acting = core.acting(now, scope);
            let entry = core.entry(now, scope, key);
            match (acting, entry) {
                (Acting::Unknown, _) => unknown = true,
                (_, Some(Entry::Host(host))) => {
                    let mut endpoint = self.endpoint(core, now, key, &host);
                    if acting == Acting::Neutral && self.complete && !self.first {
                        // Versions in force may be heard of without a lease: nothing takes work by these that took none.
                        let Some(told) = self.told.get(&key) else { continue };
                        if told.state == EndpointState::Draining || told.address != endpoint.address {
                            endpoint.state = EndpointState::Draining;
                        }
                    }
                    // Of two services the stricter word counts.
                    if seen.as_ref().is_some_and(|seen: &Endpoint| seen.state == EndpointState::Draining) {
                        endpoint.state = EndpointState::Draining;
                    }
                    seen = Some(endpoint);
                }
                // Some known version has it no more, and none is in force here: it is not gone, but gets nothing new.
                (Acting::Neutral, _) if core.keeps().get(scope, key).is_some() => {
                    let told = self.told.get(&key).cloned();
                    seen = told.map(|told| Endpoint { state: EndpointState::Draining, ..told }).or(seen);
                }
                _ => {}
            }
        }
        // Guards against taking for gone what another service may have that is not there.
        (seen.is_some() || !unknown && self.complete).then_some(seen)
    }

    fn endpoint(&self, core: &Follower<Tables>, now: f64, key: Key, host: &Host) -> Endpoint {
        let zone = Key::numbered(u32::from(host.zone));
        let lost = core.entry(now, Scope::Zones, zone) == Some(Entry::Zone(false));
        let state = if host.drains || lost { EndpointState::Draining } else { EndpointState::Serving };
        Endpoint {
            uid: uid(key),
            address: Some(SocketAddr::V4(host.address)),
            zone: self.zones.get(&host.zone).cloned().unwrap_or_else(|| host.zone.to_string()),
            // Cells are not agreed on. Guards against a repeat that goes to another cell: each counts as one of its own.
            cell: self.cells.get(&key).copied().unwrap_or((key.0 >> 32) as u32 | 1 << 31),
            state,
            capacity_weight: f64::from(host.weight_milli) / 1000.0,
            started_at_ms: f64::from(host.started_s) * 1000.0,
        }
    }

    /// The keys that a service has or had.
    fn keys(&self, core: &Follower<Tables>) -> BTreeSet<Key> {
        let there = self.services.iter().flat_map(|scope| core.keeps().entries(*scope)).map(|(key, _)| key);
        there.chain(self.told.keys().copied()).collect()
    }

    /// The lists that make the module see what is there now, in their order.
    fn look(&mut self, core: &Follower<Tables>, now: f64, dirty: Dirty) -> Vec<EndpointList> {
        let revision = core.in_force();
        let known = |scope: &Scope| core.acting(now, *scope) != Acting::Unknown;
        self.first = !self.complete && self.services.iter().all(known);
        self.complete |= self.first;
        let first = self.first;
        let keys = if dirty.all || first { self.keys(core) } else { dirty.keys };
        let (mut changed, mut gone) = (Vec::new(), Vec::new());
        for key in keys {
            match self.host(core, now, key) {
                Some(Some(endpoint)) if first || self.told.get(&key) != Some(&endpoint) => {
                    self.told.insert(key, endpoint.clone());
                    changed.push(endpoint);
                }
                Some(None) => gone.extend(self.told.remove(&key)),
                _ => {}
            }
        }
        if first {
            return vec![EndpointList { revision, is_complete: true, endpoints: changed }];
        }
        // Guards against settings by which only drains bind: what is agreed to be gone drains before.
        let leaving = gone.iter().map(|entry| Endpoint { state: EndpointState::Draining, ..entry.clone() });
        changed.extend(leaving);
        let deleted =
            gone.into_iter().map(|entry| Endpoint { state: EndpointState::Deleted, ..entry }).collect();
        let lists = [changed, deleted].into_iter().filter(|targets: &Vec<_>| !targets.is_empty());
        lists.map(|targets| EndpointList { revision, is_complete: false, endpoints: targets }).collect()
    }
}

/// Follows, and hands on what is agreed, until nobody listens. `known` is the warm copy as it was read; `asked` has the
/// module's wishes to hear from discovery, which is not asked here.
pub async fn follow(
    control: Control, known: EndpointList, mut asked: mpsc::Receiver<()>, queue: EventSender,
) {
    let Control { client, zones } = control;
    let services = client.scopes.iter().map(|wanted| wanted.scope).collect();
    let cells = known.endpoints.iter().map(|entry| (Key::of(&entry.uid), entry.cell)).collect();
    let mut view = View { services, zones, cells, told: BTreeMap::new(), complete: false, first: false };
    let reading = tokio::task::spawn_blocking(move || GatewayClient::new(client));
    let Ok(following) = reading.await else { return warn!("control: the snapshot could not be read") };
    let (dirty, changed) = (Mutex::new(Dirty { all: true, keys: BTreeSet::new() }), Notify::new());
    let tell = |_, told| {
        let mut dirty = dirty.lock().unwrap_or_else(PoisonError::into_inner);
        dirty.hear(told);
        if !dirty.is_clean() {
            changed.notify_one();
        }
    };
    tokio::select! {
        never = following.run(tell) => match never {},
        () = hand_on(&following, &mut view, &dirty, &changed, &queue) => {}
        never = unheard(&mut asked) => match never {},
    }
}

async fn hand_on(
    following: &Arc<GatewayClient>, view: &mut View, dirty: &Mutex<Dirty>, changed: &Notify,
    queue: &EventSender,
) {
    loop {
        let seen = std::mem::take(&mut *dirty.lock().unwrap_or_else(PoisonError::into_inner));
        if seen.is_clean() {
            changed.notified().await;
            continue;
        }
        for list in following.with_core(|core, now| view.look(core, now, seen)) {
            debug!(
                rev = list.revision,
                all = list.is_complete,
                entries = list.endpoints.len(),
                "agreed list"
            );
            if queue.send(GatewayEvent::Discovery(DiscoveryEvent::Update(list))).await.is_err() {
                return;
            }
        }
    }
}

/// Takes wishes to hear from discovery; what is agreed comes by itself.
async fn unheard(asked: &mut mpsc::Receiver<()>) -> Infallible {
    while asked.recv().await.is_some() {}
    std::future::pending().await
}
