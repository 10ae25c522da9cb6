//! Stub discovery: serves the endpoint list with revisions by long polling, complete or as a delta.
use super::Listeners;
use crate::client::read_message;
use crate::history::{EventKind, HistoryRecorder};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use ternstack_gateway::http1::{Reader, RequestLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// A host in the endpoint list.
#[derive(Clone, Debug)]
struct ListedHost {
    /// Addresses by index of the gateway, because each gateway has its own link to the host.
    addresses: Vec<SocketAddr>,
    state: &'static str,
    boot_ms: u64,
    /// Revision of the list at the host's last change.
    revision: u64,
}

#[derive(Debug)]
struct HostList {
    revision: u64,
    hosts: BTreeMap<usize, ListedHost>,
}

impl HostList {
    /// Returns the list for a gateway as JSON: the hosts that changed after a revision, or without a revision
    /// all hosts that are not deleted.
    fn to_json(&self, gateway: usize, after: Option<u64>) -> Value {
        let changed = |host: &ListedHost| after.is_none_or(|revision| host.revision > revision);
        let listed = |host: &ListedHost| after.is_some() || host.state != "DELETED";
        let targets: Vec<Value> = self
            .hosts
            .iter()
            .filter(|(_, host)| changed(host) && listed(host))
            .map(|(number, host)| {
                json!({"uid": format!("s-{number}"), "endpoint": host.addresses[gateway].to_string(), "az": "a",
                       "pod_group": 0, "state": host.state, "capacity_hint": 1.0, "boot_ms": host.boot_ms})
            })
            .collect();
        json!({"rev": self.revision, "all": after.is_none(), "targets": targets})
    }
}

/// The endpoint list, shared by all connections.
type SharedList = Arc<Mutex<HostList>>;

fn lock(list: &Mutex<HostList>) -> MutexGuard<'_, HostList> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A stub of discovery, with a listener for each gateway.
#[derive(Debug)]
pub struct StubDiscovery {
    /// Listen addresses, by index of the gateway.
    pub addresses: Vec<SocketAddr>,
    list: SharedList,
    revision: watch::Sender<u64>,
    _listeners: Listeners,
}

impl StubDiscovery {
    /// Starts discovery with an empty endpoint list.
    ///
    /// # Errors
    /// Returns an error if a listener cannot be bound.
    pub async fn start(gateways: usize, recorder: &HistoryRecorder) -> io::Result<Self> {
        let list = Arc::new(Mutex::new(HostList { revision: 1, hosts: BTreeMap::new() }));
        let (revision, revision_seen) = watch::channel(1);
        let (mut addresses, mut listeners) = (Vec::new(), Listeners::default());
        for gateway in 0..gateways {
            let (list, revision, recorder) = (list.clone(), revision_seen.clone(), recorder.clone());
            let serve = move |stream| {
                let connection = Connection {
                    gateway,
                    list: list.clone(),
                    revision: revision.clone(),
                    recorder: recorder.clone(),
                };
                connection.serve(stream)
            };
            addresses.push(listeners.add(serve).await?);
        }
        Ok(StubDiscovery { addresses, list, revision, _listeners: listeners })
    }

    /// Adds a host with its addresses by gateway and its start time in ms.
    pub fn add(&self, host: usize, addresses: Vec<SocketAddr>, boot_ms: u64) {
        self.change(|list, revision| {
            list.hosts.insert(host, ListedHost { addresses, state: "SERVING", boot_ms, revision });
        });
    }

    /// Sets the state of a host: `SERVING`, `DRAINING` or `DELETED`. A host that is not listed is ignored.
    pub fn set_state(&self, host: usize, state: &'static str) {
        self.change(|list, revision| {
            if let Some(listed) = list.hosts.get_mut(&host) {
                (listed.state, listed.revision) = (state, revision);
            }
        });
    }

    fn change(&self, change: impl FnOnce(&mut HostList, u64)) {
        let mut list = lock(&self.list);
        list.revision += 1;
        let revision = list.revision;
        change(&mut list, revision);
        drop(list);
        self.revision.send_replace(revision);
    }

    /// Returns the complete list for a gateway, in the form of the gateway's configuration.
    pub fn complete_list(&self, gateway: usize) -> Value {
        lock(&self.list).to_json(gateway, None)
    }

    /// Records the states of all hosts as sent to a gateway that starts with the complete list.
    pub fn record_initial_list(&self, gateway: usize, recorder: &HistoryRecorder) {
        for (host, listed) in &lock(&self.list).hosts {
            let serving = listed.state == "SERVING";
            recorder.record(EventKind::EndpointStateSent { gateway, host: *host, serving });
        }
    }
}

/// A connection from a gateway to discovery.
struct Connection {
    gateway: usize,
    list: SharedList,
    revision: watch::Receiver<u64>,
    recorder: HistoryRecorder,
}

impl Connection {
    async fn serve(mut self, mut stream: TcpStream) {
        let mut reader = Reader::new(MAX_BODY_BYTES);
        while let Some((request, _)) =
            read_message::<RequestLine>(&mut stream, &mut reader, &self.recorder).await
        {
            let target = String::from_utf8_lossy(request.target()).into_owned();
            let after = query_number(&target, "after");
            if let Some(after) = after {
                let wait = Duration::from_millis(query_number(&target, "wait_ms").unwrap_or(0));
                // The result of the wait is ignored, because the response is the delta of the current list,
                // which is empty after a timeout.
                let _ = timeout(wait, self.revision.wait_for(|revision| *revision > after)).await;
            }
            let list = lock(&self.list).to_json(self.gateway, after);
            let text = list.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if stream.write_all((head + &text).as_bytes()).await.is_err() {
                return;
            }
            self.record_states(&list);
        }
    }

    fn record_states(&self, list: &Value) {
        for target in list["targets"].as_array().into_iter().flatten() {
            let number = target["uid"].as_str().and_then(|uid| uid.strip_prefix("s-")?.parse().ok());
            if let Some(host) = number {
                let serving = target["state"] == "SERVING";
                self.recorder.record(EventKind::EndpointStateSent { gateway: self.gateway, host, serving });
            }
        }
    }
}

/// Returns the numeric value of a query parameter, if the target has one.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let value = target.split(['?', '&']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|text| text.parse().ok())
}
