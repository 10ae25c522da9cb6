//! The endpoint list from the control plane, which replaces discovery for gateways whose operators' file has
//! a `[gateway]` section. This module follows the replicated hosts of the gateway's services and the zones,
//! and publishes the hosts to the event loop as endpoints.
//!
//! A host that drains, or whose zone is out of service, is published as draining, and a removed host as
//! deleted. Without a lease, or while a service is stale, no further host is published, and a published host
//! is draining if any known revision drains it, removes it or changes its address. The first complete list is
//! an exception: it contains all known hosts even without a lease, so that a gateway restarted from a
//! snapshot can serve.
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

/// The reason why a gateway cannot take its endpoint list from the control plane.
#[derive(Debug, Error)]
pub enum ControlConfigError {
    /// The operators' file cannot be read or is not valid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The operators' file has no `[gateway]` section.
    #[error("{}: expected [gateway] with name, zone and services", .path.display())]
    MissingGateway {
        /// The path of the operators' file.
        path: PathBuf,
    },
}

/// The configuration of this gateway in the operators' file.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    client: GatewayClientConfig,
    zone_names: BTreeMap<u16, String>,
}

impl ControlConfig {
    /// Reads the operators' file.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is not valid or has no `[gateway]` section. The error of an invalid
    /// file names the file, the line, the key and the expected value.
    pub fn from_file(path: &Path) -> Result<Self, ControlConfigError> {
        let operator = OperatorFile::from_file(path)?;
        let missing = || ControlConfigError::MissingGateway { path: path.to_path_buf() };
        Self::new(&operator).ok_or_else(missing)
    }

    /// Returns the configuration in the `[gateway]` section of the operators' file; `None` without such a
    /// section.
    pub fn new(operator: &OperatorFile) -> Option<Self> {
        let zone_names = operator.zones.iter().map(|zone| (zone.number, zone.name.clone())).collect();
        Some(ControlConfig { client: operator.gateway_client_config()?, zone_names })
    }
}

/// Publishes the replicated endpoints until the event loop ends. `cached_list` is the cached list of the
/// configuration. The balancer's `watch_requests` are discarded, because the control plane sends updates
/// without being asked.
pub async fn follow(
    config: ControlConfig, cached_list: EndpointList, mut watch_requests: mpsc::Receiver<()>,
    events: EventSender,
) {
    let ControlConfig { client, zone_names } = config;
    let services = client.scopes.iter().map(|wanted| wanted.scope).collect();
    let mut view = EndpointView::new(services, zone_names, &cached_list);
    let restore_task = tokio::task::spawn_blocking(move || GatewayClient::new(client));
    let Ok(client) = restore_task.await else {
        return warn!("cannot start the control-plane client: restoring its snapshot failed");
    };
    let changes = SharedChanges::new();
    tokio::select! {
        never = client.run(|_, event| changes.record(event)) => match never {},
        () = publish_changes(&client, &mut view, &changes, &events) => {}
        never = discard_requests(&mut watch_requests) => match never {},
    }
}

/// The pending changes, which the control-plane client records and [`publish_changes`] takes.
struct SharedChanges {
    pending: Mutex<UnpublishedChanges>,
    recorded: Notify,
}

impl SharedChanges {
    /// Returns pending changes that comprise all endpoints, because the snapshot may already contain some.
    fn new() -> Self {
        SharedChanges { pending: Mutex::new(UnpublishedChanges::All), recorded: Notify::new() }
    }

    /// Records the changes that an event causes. The control-plane client calls this function while it holds
    /// its lock, so the function only wakes the publisher.
    fn record(&self, event: ClientEvent) {
        match event {
            ClientEvent::LeaseAcquired => info!("control-plane lease acquired"),
            ClientEvent::LeaseExpired => {
                warn!("control-plane lease expired; endpoints may only drain until the next lease");
            }
            ClientEvent::Follower(_) => {}
        }
        let mut pending = self.lock();
        pending.record(event);
        if !pending.is_empty() {
            self.recorded.notify_one();
        }
    }

    /// Waits until there are pending changes, and takes them.
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

/// Publishes the pending changes as endpoint lists until the event loop ends.
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

/// Discards watch requests, so that the channel never fills up.
async fn discard_requests(requests: &mut mpsc::Receiver<()>) -> Infallible {
    while requests.recv().await.is_some() {}
    std::future::pending().await
}
