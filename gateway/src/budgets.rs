//! The budgets that bound what the gateway's peers take: descriptors, memory and processor time.
use crate::descriptors::Descriptors;
use crate::memory::Memory;
use crate::memory_budget::MemoryPlan;
use crate::work_budget::{ConnectionId, WorkBudget, WorkMeter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// The limits of the process, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// The number of descriptors for client and upstream connections.
    pub descriptors: usize,
    /// The number of descriptors for client connections beyond these.
    pub spare_descriptors: usize,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// The share of one processor core that the process may use, up to 1.
    pub cores: f64,
}

/// The budgets, shared by the gateway's tasks.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// The descriptors of client and upstream connections.
    pub descriptors: Arc<Descriptors>,
    /// The memory of large messages.
    pub memory: Arc<Memory>,
    start: Instant,
    work: Arc<Mutex<WorkBudget>>,
}

impl Budgets {
    /// Returns the budgets of a process with these limits. A process with little memory holds fewer
    /// connections than it has descriptors.
    pub fn new(limits: ProcessLimits) -> Self {
        let plan = MemoryPlan::new(limits.memory_bytes, limits.descriptors);
        Budgets {
            descriptors: Descriptors::with_spares(plan.max_connections, limits.spare_descriptors),
            memory: Memory::new(plan.reservable_bytes),
            start: Instant::now(),
            work: Arc::new(Mutex::new(WorkBudget::new(limits.cores))),
        }
    }

    /// Records that a client connection has waited for its client or for an endpoint until now.
    pub fn rest(&self, meter: &mut WorkMeter) {
        self.work().rest(meter, self.now_ms());
    }

    /// Charges a client connection for work on bytes that have been waiting since its last charge, pause or rest.
    /// Returns how long the connection must pause, in milliseconds.
    pub fn charge(&self, id: ConnectionId, meter: &mut WorkMeter, cost_us: f64) -> f64 {
        self.work().charge_backlog(id, meter, cost_us, self.now_ms())
    }

    fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Forgets the work of a client connection that has ended.
    pub fn remove_connection(&self, id: ConnectionId) {
        self.work().remove(id);
    }

    fn work(&self) -> MutexGuard<'_, WorkBudget> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
