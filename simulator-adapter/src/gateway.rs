//! The state of one simulated gateway.

use crate::names::NameInterner;
use ternstack_balancer::{Balancer, EndpointId, RequestId, SettingsError};
use ternstack_settings::{Deployment, NameTable};

/// A simulated gateway: its balancer, and the numbers by which the balancer knows the protocol's names.
pub struct Gateway {
    pub balancer: Balancer,
    /// Classes, tenants and zones, numbered by their position in the settings.
    pub names: NameTable,
    endpoints: NameInterner,
    requests: NameInterner,
}

impl Gateway {
    /// Creates a gateway without endpoints and requests. `seed` seeds the random generator of the balancer.
    pub fn new(mut deployment: Deployment, seed: u64) -> Result<Self, SettingsError> {
        // In the simulator a drain counts from the event that reports it, so that a list is never stale.
        deployment.balancer.drain_grace_ms = None;
        Ok(Gateway {
            balancer: Balancer::new(deployment.balancer, seed)?,
            names: deployment.names,
            endpoints: NameInterner::default(),
            requests: NameInterner::default(),
        })
    }

    pub fn endpoint_id(&mut self, name: &str) -> EndpointId {
        EndpointId(self.endpoints.intern(name) as u32)
    }

    pub fn request_id(&mut self, name: &str) -> RequestId {
        RequestId(self.requests.intern(name) as u64)
    }

    pub fn endpoint_name(&self, id: EndpointId) -> &str {
        self.endpoints.name(id.0 as usize)
    }

    pub fn request_name(&self, id: RequestId) -> &str {
        self.requests.name(id.0 as usize)
    }
}
