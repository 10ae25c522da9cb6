//! The endpoint list from the control plane, in discovery's place: for gateways whose operators' file has a `[gateway]`
//! section. Follows the replicated hosts of its services and the zones, and publishes them to the event loop.
//!
//! A host that drains, or whose zone is out of service, is published as draining, and a removed one as deleted. Without a
//! lease, or while a service is stale, no host is added to those published, and published hosts that any known revision drains,
//! removes or gives another address are draining. The first complete list is the exception: it has all known hosts, with
//! a lease or without, so that a restart from a snapshot can serve.
use crate::endpoint_list::EndpointList;
use crate::events::{DiscoveryEvent, EventSender, GatewayEvent};
use endpoint_view::EndpointView;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use ternstack_control_plane::gateway_client::{ClientEvent, GatewayClient, GatewayClientConfig};
use ternstack_control_plane::operator_file::{OperatorFile, OperatorFileError};
use thiserror::Error;
use tokio::sync::{mpsc, Notify};
use tracing::{debug, info, warn};
use unpublished_changes::UnpublishedChanges;

mod endpoint_view;
mod unpublished_changes;

pub use endpoint_view::with_replicated_uids;

/// Why a gateway cannot take its endpoint list from the control plane.
#[derive(Debug, Error)]
pub enum ControlConfigError {
    /// The operators' file is not valid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The operators' file is not one of a gateway.
    #[error("{}: expected [gateway] with name, zone and services", .path.display())]
    MissingGateway {
        /// The file.
        path: PathBuf,
    },
}

/// What the operators' file says about this gateway.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    client: GatewayClientConfig,
    zone_names: BTreeMap<u16, String>,
}

impl ControlConfig {
    /// Reads the operators' file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is not valid or has no `[gateway]`; the error names file, line, key and what was
    /// expected.
    pub fn from_file(path: &Path) -> Result<Self, ControlConfigError> {
        let operator = OperatorFile::from_file(path)?;
        let missing = || ControlConfigError::MissingGateway { path: path.to_path_buf() };
        Self::new(&operator).ok_or_else(missing)
    }

    /// The configuration of the file's `[gateway]`; `None` if it has none.
    pub fn new(operator: &OperatorFile) -> Option<Self> {
        let zone_names = operator.zones.iter().map(|zone| (zone.number, zone.name.clone())).collect();
        Some(ControlConfig { client: operator.gateway_client_config()?, zone_names })
    }
}

/// Publishes the replicated endpoints until the event loop ends. `cached_list` is the configured one. `watch_requests` has
/// the balancer's requests to discovery, which need no answer: updates come without being requested.
pub async fn follow(
    config: ControlConfig, cached_list: EndpointList, mut watch_requests: mpsc::Receiver<()>,
    events: EventSender,
) {
    let ControlConfig { client, zone_names } = config;
    let services = client.scopes.iter().map(|wanted| wanted.scope).collect();
    let mut view = EndpointView::new(services, zone_names, &cached_list);
    let restoring = tokio::task::spawn_blocking(move || GatewayClient::new(client));
    let Ok(client) = restoring.await else {
        return warn!("control-plane client not started: its snapshot could not be restored");
    };
    let changes = SharedChanges::new();
    tokio::select! {
        never = client.run(|_, event| changes.record(event)) => match never {},
        () = publish_changes(&client, &mut view, &changes, &events) => {}
        never = ignore(&mut watch_requests) => match never {},
    }
}

/// The pending changes, shared between the client, which records them, and [`publish_changes`].
struct SharedChanges {
    pending: Mutex<UnpublishedChanges>,
    recorded: Notify,
}

impl SharedChanges {
    /// All endpoints are to be published: the snapshot may have some already.
    fn new() -> Self {
        SharedChanges { pending: Mutex::new(UnpublishedChanges::All), recorded: Notify::new() }
    }

    /// Records what an event changes. Called by the client under its lock, so it only wakes the publisher.
    fn record(&self, event: ClientEvent) {
        match event {
            ClientEvent::LeaseAcquired => info!("control-plane lease acquired"),
            ClientEvent::LeaseExpired => {
                warn!("control-plane lease expired; endpoints only drain until the next lease");
            }
            ClientEvent::Follower(_) => {}
        }
        let mut pending = self.lock();
        pending.record(event);
        if !pending.is_empty() {
            self.recorded.notify_one();
        }
    }

    /// Takes the pending changes; waits until there are some.
    async fn take(&self) -> UnpublishedChanges {
        loop {
            let taken = std::mem::take(&mut *self.lock());
            if !taken.is_empty() {
                return taken;
            }
            self.recorded.notified().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, UnpublishedChanges> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Publishes updates until the event loop ends.
async fn publish_changes(
    client: &GatewayClient, view: &mut EndpointView, changes: &SharedChanges, events: &EventSender,
) {
    loop {
        let pending = changes.take().await;
        for list in client.with_core(|core, now_ms| view.update(core, now_ms, pending)) {
            let (revision, is_complete) = (list.revision, list.is_complete);
            debug!(revision, is_complete, endpoints = list.endpoints.len(), "endpoint list replicated");
            if events.send(GatewayEvent::Discovery(DiscoveryEvent::Update(list))).await.is_err() {
                return;
            }
        }
    }
}

/// Discards requests, so that their sender never waits.
async fn ignore(requests: &mut mpsc::Receiver<()>) -> Infallible {
    while requests.recv().await.is_some() {}
    std::future::pending().await
}
