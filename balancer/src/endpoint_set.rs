//! The endpoints: all known ones, those that may get requests, and the subset that this gateway uses.

use crate::endpoint::Endpoint;
use crate::ids::EndpointId;
use crate::zone::{PerZoneSide, ZoneSide};
use std::collections::BTreeMap;

/// All known endpoints, indexed by whether they are eligible and in use.
#[derive(Debug, Default)]
pub(crate) struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// Those that may get requests, in an order that all gateways share.
    eligible: PerZoneSide<Vec<EndpointId>>,
    /// Those of them that this gateway uses.
    subset: PerZoneSide<Vec<EndpointId>>,
}

impl EndpointSet {
    /// An endpoint by its id.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    /// An endpoint by its id, to be changed.
    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    /// Whether an endpoint is known.
    pub fn contains(&self, id: EndpointId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Takes an endpoint out; it stays in the indexes until they are rebuilt.
    pub fn remove(&mut self, id: EndpointId) -> Option<Endpoint> {
        self.by_id.remove(&id)
    }

    /// Puts an endpoint in; the indexes have it once they are rebuilt.
    pub fn insert(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.by_id.insert(id, endpoint);
    }

    /// Keeps the endpoints for which a condition holds.
    pub fn retain(&mut self, keep: impl Fn(&Endpoint) -> bool) {
        self.by_id.retain(|_, endpoint| keep(endpoint));
    }

    /// Number of known endpoints.
    pub fn known_count(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All known endpoints, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.by_id.values_mut()
    }

    /// The endpoints that may get requests, by side, in an order that all gateways share.
    pub fn eligible(&self) -> &PerZoneSide<Vec<EndpointId>> {
        &self.eligible
    }

    /// Number of endpoints that may get requests.
    pub fn eligible_count(&self) -> usize {
        self.eligible.len()
    }

    /// The endpoints that this gateway uses, by side.
    pub fn subset(&self) -> &PerZoneSide<Vec<EndpointId>> {
        &self.subset
    }

    /// The endpoints that this gateway uses, to be changed.
    pub fn subset_mut(&mut self) -> &mut PerZoneSide<Vec<EndpointId>> {
        &mut self.subset
    }

    /// Takes all eligible endpoints of a side into the subset.
    pub fn use_all_eligible(&mut self, side: ZoneSide) {
        let eligible = self.eligible.get(side);
        self.subset.get_mut(side).clone_from(eligible);
    }

    /// Rebuilds the list of eligible endpoints, and drops from the subset what is none any more.
    pub fn rebuild(&mut self, own_zone: u32) {
        for side in ZoneSide::BOTH {
            let is_eligible = |endpoint: &Endpoint| {
                endpoint.is_active() && ZoneSide::of(endpoint.record.zone, own_zone) == side
            };
            let mut eligible: Vec<_> =
                self.by_id.iter().filter(|(_, endpoint)| is_eligible(endpoint)).collect();
            eligible.sort_by_key(|(id, endpoint)| (endpoint.record.hash, **id));
            let eligible: Vec<_> = eligible.into_iter().map(|(id, _)| *id).collect();
            self.subset.get_mut(side).retain(|id| eligible.contains(id));
            *self.eligible.get_mut(side) = eligible;
        }
    }

    /// The endpoints in use, the local ones first.
    pub fn in_use(&self) -> impl Iterator<Item = &Endpoint> {
        self.of(self.subset.iter())
    }

    /// Calls `visit` with each endpoint in use, the local ones first.
    pub fn for_each_in_use(&mut self, mut visit: impl FnMut(EndpointId, &mut Endpoint)) {
        for id in self.subset.iter() {
            if let Some(endpoint) = self.by_id.get_mut(id) {
                visit(*id, endpoint);
            }
        }
    }

    /// The known endpoints among some ids.
    pub fn of<'a>(&'a self, ids: impl Iterator<Item = &'a EndpointId>) -> impl Iterator<Item = &'a Endpoint> {
        ids.filter_map(|id| self.by_id.get(id))
    }

    /// The mean of a value over the endpoints in use that have it.
    pub fn mean(&self, value: impl Fn(&Endpoint) -> Option<f64>) -> Option<f64> {
        mean(self.in_use().filter_map(value))
    }

    /// The mean of a value over those of some endpoints that have it.
    pub fn mean_of<'a>(
        &'a self, ids: impl Iterator<Item = &'a EndpointId>, value: impl Fn(&Endpoint) -> Option<f64>,
    ) -> Option<f64> {
        mean(self.of(ids).filter_map(value))
    }

    /// The mean failure ratio of the endpoints in use that are not ejected.
    pub fn mean_failure_ratio(&self) -> f64 {
        self.mean(|endpoint| endpoint.health.ratio_unless_ejected()).unwrap_or(0.0)
    }

    /// The least fraction of a class's responses that are errors: where all endpoints fail it, none is
    /// excluded.
    pub fn least_error_ratio(&self, class: usize) -> f64 {
        self.in_use().map(|endpoint| endpoint.class_errors.error_ratio(class)).fold(1.0, f64::min)
    }

    /// The mean capacity of the endpoints in use that have one, in requests a second; 0 if none has.
    pub fn mean_capacity_per_s(&self) -> f64 {
        self.mean(|endpoint| endpoint.load.capacity_per_s).unwrap_or(0.0)
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sum = 0.0;
    let mut count = 0.0;
    values.for_each(|value| {
        sum += value;
        count += 1.0;
    });
    (count > 0.0).then(|| sum / count)
}
