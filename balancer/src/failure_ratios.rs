//! The fractions of attempts that fail and that stall, by tenant, by class and over all.
//!
//! Rule: what fails for one tenant or class much more than for all others is the tenant's or class's fault
//! and not the endpoint's. This also excuses an endpoint that only that tenant or class uses.

/// Gain of a failure ratio for a new outcome.
pub(crate) const FAILURE_GAIN_RATIO: f64 = 0.2;

/// The same for a tenant, of which a gateway sees few requests.
const TENANT_GAIN_RATIO: f64 = 0.4;

/// Lower bound of the served fraction that an excess is divided by.
const MIN_SERVED_RATIO: f64 = 0.2;

/// The kinds of faults that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The attempt failed in any way, a stall included.
    Failure,
    /// It had no response in a time in which it should have had one.
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

    fn record(&mut self, failed: bool, stalled: bool, gain_ratio: f64) {
        self.failed += gain_ratio * (f64::from(u8::from(failed)) - self.failed);
        self.stalled += gain_ratio * (f64::from(u8::from(stalled)) - self.stalled);
    }
}

/// Failure and stall ratios by tenant, by class and over all.
#[derive(Debug)]
pub(crate) struct FailureRatios {
    by_tenant: Vec<FaultRatios>,
    by_class: Vec<FaultRatios>,
    overall: FaultRatios,
}

impl FailureRatios {
    /// No attempt has failed yet.
    pub fn new(tenant_count: usize, class_count: usize) -> Self {
        FailureRatios {
            by_tenant: vec![FaultRatios::default(); tenant_count],
            by_class: vec![FaultRatios::default(); class_count],
            overall: FaultRatios::default(),
        }
    }

    /// Counts an attempt's outcome.
    pub fn record(&mut self, tenant: Option<usize>, class: usize, failed: bool, stalled: bool) {
        self.by_class[class].record(failed, stalled, FAILURE_GAIN_RATIO);
        self.overall.record(failed, stalled, FAILURE_GAIN_RATIO);
        if let Some(tenant) = tenant {
            self.by_tenant[tenant].record(failed, stalled, TENANT_GAIN_RATIO);
        }
    }

    /// How far the tenant or the class, more than all others, accounts for a fault: 0 not at all, 1 fully.
    pub fn excuse_ratio(&self, tenant: Option<usize>, class: usize, kind: FaultKind) -> f64 {
        let of_tenant = tenant.map_or(0.0, |tenant| self.by_tenant[tenant].get(kind));
        let of_class = self.by_class[class].get(kind);
        let overall = self.overall.get(kind);
        (of_tenant.max(of_class) - overall).max(0.0) / (1.0 - overall).max(MIN_SERVED_RATIO)
    }

    /// How far the tenant alone accounts for failures; below 0 where it fails less than the others.
    pub fn tenant_excess_ratio(&self, tenant: Option<usize>) -> f64 {
        let overall = self.overall.failed;
        tenant.map_or(0.0, |tenant| {
            (self.by_tenant[tenant].failed - overall) / (1.0 - overall).max(MIN_SERVED_RATIO)
        })
    }
}
