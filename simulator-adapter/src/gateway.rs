//! One simulated gateway.

use crate::names::NameInterner;
use ternstack_balancer::{Balancer, EndpointId, RequestId, SettingsError};
use ternstack_settings::{Deployment, NameTable};

/// A gateway: its balancer, and the protocol's names with the numbers that the balancer has for them.
pub struct Gateway {
    pub balancer: Balancer,
    /// Classes, tenants and zones, by the settings.
    pub names: NameTable,
    endpoints: NameInterner,
    requests: NameInterner,
}

impl Gateway {
    /// A gateway that knows only its settings; `seed` is that of the balancer's random generator.
    pub fn new(deployment: Deployment, seed: u64) -> Result<Self, SettingsError> {
        Ok(Gateway {
            balancer: Balancer::new(deployment.balancer, seed)?,
            names: deployment.names,
            endpoints: NameInterner::default(),
            requests: NameInterner::default(),
        })
    }

    pub fn endpoint_id(&mut self, name: &str) -> EndpointId {
        EndpointId(self.endpoints.number(name) as u32)
    }

    pub fn request_id(&mut self, name: &str) -> RequestId {
        RequestId(self.requests.number(name) as u64)
    }

    pub fn endpoint_name(&self, id: EndpointId) -> &str {
        self.endpoints.name(id.0 as usize)
    }

    pub fn request_name(&self, id: RequestId) -> &str {
        self.requests.name(id.0 as usize)
    }
}
