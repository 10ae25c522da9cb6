//! The fractions of attempts that fail and that stall, by tenant, by class and overall.
//!
//! Rule: failures that are much more frequent for one tenant or class than overall are attributed to that
//! tenant or class and not to the endpoint, even if only that tenant or class uses the endpoint.

/// Smoothing gain of a failure ratio for a new outcome.
pub(crate) const FAILURE_GAIN: f64 = 0.2;

/// Smoothing gain of a tenant's ratios; greater, because a gateway has few requests of each tenant.
const TENANT_GAIN: f64 = 0.4;

/// Lower bound of the overall served fraction by which an excess of failures is divided.
const MIN_SERVED_RATIO: f64 = 0.2;

/// The kind of a fault of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The attempt failed in any way, including by a stall.
    Failure,
    /// The attempt stalled: although it was given enough time, it got no response or only a very late one.
    Stall,
}

/// The fractions of recent attempts that failed and that stalled, from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
struct FaultRatios {
    failed: f64,
    stalled: f64,
}

impl FaultRatios {
    fn get(&self, kind: FaultKind) -> f64 {
        match kind {
            FaultKind::Failure => self.failed,
            FaultKind::Stall => self.stalled,
        }
    }

    fn record(&mut self, failed: bool, stalled: bool, gain: f64) {
        self.failed += gain * (f64::from(u8::from(failed)) - self.failed);
        self.stalled += gain * (f64::from(u8::from(stalled)) - self.stalled);
    }
}

/// The failure and stall ratios by tenant, by class and overall.
#[derive(Debug)]
pub(crate) struct FailureRatios {
    by_tenant: Vec<FaultRatios>,
    by_class: Vec<FaultRatios>,
    overall: FaultRatios,
}

impl FailureRatios {
    /// Creates ratios of 0.
    pub fn new(tenant_count: usize, class_count: usize) -> Self {
        FailureRatios {
            by_tenant: vec![FaultRatios::default(); tenant_count],
            by_class: vec![FaultRatios::default(); class_count],
            overall: FaultRatios::default(),
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, tenant: Option<usize>, class: usize, failed: bool, stalled: bool) {
        self.by_class[class].record(failed, stalled, FAILURE_GAIN);
        self.overall.record(failed, stalled, FAILURE_GAIN);
        if let Some(tenant) = tenant {
            self.by_tenant[tenant].record(failed, stalled, TENANT_GAIN);
        }
    }

    /// Returns the fraction of a fault that is due to the request, that is, to its tenant or class: 0 if
    /// they have no more faults than the overall mean, and 1 if they account for the fault entirely.
    pub fn request_fault_ratio(&self, tenant: Option<usize>, class: usize, kind: FaultKind) -> f64 {
        let of_tenant = tenant.map_or(0.0, |tenant| self.by_tenant[tenant].get(kind));
        let of_class = self.by_class[class].get(kind);
        let overall = self.overall.get(kind);
        (of_tenant.max(of_class) - overall).max(0.0) / (1.0 - overall).max(MIN_SERVED_RATIO)
    }

    /// Returns the fraction of a failure that is due to the tenant alone; negative if the tenant fails less
    /// than the overall mean.
    pub fn tenant_excess_ratio(&self, tenant: Option<usize>) -> f64 {
        let overall = self.overall.failed;
        tenant.map_or(0.0, |tenant| {
            (self.by_tenant[tenant].failed - overall) / (1.0 - overall).max(MIN_SERVED_RATIO)
        })
    }
}
