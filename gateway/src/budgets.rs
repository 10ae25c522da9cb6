//! The budgets that bound what the gateway's peers take: descriptors and memory.
use crate::descriptors::Descriptors;
use crate::memory::Memory;
use crate::memory_budget::MemoryPlan;
use std::sync::Arc;

/// The limits of the process, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// The number of descriptors for client and upstream connections.
    pub descriptors: usize,
    /// The memory limit of the process, in bytes.
    pub memory_bytes: u64,
}

/// The budgets, shared by the gateway's tasks.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// The descriptors of client and upstream connections.
    pub descriptors: Arc<Descriptors>,
    /// The memory of large messages.
    pub memory: Arc<Memory>,
}

impl Budgets {
    /// Returns the budgets of a process with these limits. A process with little memory holds fewer
    /// connections than it has descriptors.
    pub fn new(limits: ProcessLimits) -> Self {
        let plan = MemoryPlan::new(limits.memory_bytes, limits.descriptors);
        Budgets {
            descriptors: Descriptors::new(plan.max_connections),
            memory: Memory::new(plan.reservable_bytes),
        }
    }
}
