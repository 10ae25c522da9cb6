//! The known endpoints, the eligible ones among them, and the subset that this gateway uses.

use crate::endpoint::Endpoint;
use crate::ids::EndpointId;
use crate::zone::{PerZoneSide, ZoneSide};
use std::collections::BTreeMap;

/// All known endpoints, with indexes of the eligible ones and of the subset in use.
#[derive(Debug, Default)]
pub(crate) struct EndpointSet {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// Endpoints that may get requests, in an order that is the same at all gateways.
    eligible: PerZoneSide<Vec<EndpointId>>,
    /// Eligible endpoints that this gateway uses.
    subset: PerZoneSide<Vec<EndpointId>>,
}

impl EndpointSet {
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    pub fn contains(&self, id: EndpointId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Removes an endpoint; the indexes contain its id until they are rebuilt.
    pub fn remove(&mut self, id: EndpointId) -> Option<Endpoint> {
        self.by_id.remove(&id)
    }

    /// Inserts an endpoint; the indexes contain its id once they are rebuilt.
    pub fn insert(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.by_id.insert(id, endpoint);
    }

    /// Removes the endpoints for which `keep` returns false; the indexes contain their ids until they are
    /// rebuilt.
    pub fn retain(&mut self, keep: impl Fn(&Endpoint) -> bool) {
        self.by_id.retain(|_, endpoint| keep(endpoint));
    }

    /// Returns the number of known endpoints, whether eligible or not.
    pub fn known_count(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Iterates over all known endpoints.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.by_id.values_mut()
    }

    /// Returns the endpoints that may get requests, by side, in an order that is the same at all gateways.
    pub fn eligible(&self) -> &PerZoneSide<Vec<EndpointId>> {
        &self.eligible
    }

    /// Returns the number of eligible endpoints in the gateway's own zone and in all other zones together.
    pub fn eligible_count(&self) -> usize {
        self.eligible.len()
    }

    /// Returns the endpoints that this gateway uses, by side.
    pub fn subset(&self) -> &PerZoneSide<Vec<EndpointId>> {
        &self.subset
    }

    pub fn subset_mut(&mut self) -> &mut PerZoneSide<Vec<EndpointId>> {
        &mut self.subset
    }

    /// Adds all eligible endpoints of a side to the subset.
    pub fn use_all_eligible(&mut self, side: ZoneSide) {
        let eligible = self.eligible.get(side);
        self.subset.get_mut(side).clone_from(eligible);
    }

    /// Rebuilds the index of eligible endpoints, and removes endpoints that are no longer eligible from the
    /// subset.
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

    /// Iterates over the endpoints in use, local ones first.
    pub fn in_use(&self) -> impl Iterator<Item = &Endpoint> {
        self.get_all(self.subset.iter())
    }

    /// Calls `visit` for each endpoint in use, local ones first.
    pub fn for_each_in_use(&mut self, mut visit: impl FnMut(EndpointId, &mut Endpoint)) {
        for id in self.subset.iter() {
            if let Some(endpoint) = self.by_id.get_mut(id) {
                visit(*id, endpoint);
            }
        }
    }

    /// Iterates over the endpoints with the given ids, and skips ids of unknown endpoints.
    pub fn get_all<'a>(
        &'a self, ids: impl Iterator<Item = &'a EndpointId>,
    ) -> impl Iterator<Item = &'a Endpoint> {
        ids.filter_map(|id| self.by_id.get(id))
    }

    /// Returns the mean of `value` over the endpoints in use for which it is `Some`.
    pub fn mean(&self, value: impl Fn(&Endpoint) -> Option<f64>) -> Option<f64> {
        mean(self.in_use().filter_map(value))
    }

    /// Returns the mean of `value` over the endpoints with the given ids for which it is `Some`.
    pub fn mean_of<'a>(
        &'a self, ids: impl Iterator<Item = &'a EndpointId>, value: impl Fn(&Endpoint) -> Option<f64>,
    ) -> Option<f64> {
        mean(self.get_all(ids).filter_map(value))
    }

    /// Returns the mean failure ratio of the endpoints in use that are not ejected.
    pub fn mean_failure_ratio(&self) -> f64 {
        self.mean(|endpoint| endpoint.health.ratio_unless_ejected()).unwrap_or(0.0)
    }

    /// Returns the lowest error ratio of a class among the endpoints in use. An endpoint is excluded for a
    /// class by the distance of its own error ratio to the lowest one, so that no endpoint is excluded where
    /// all endpoints fail the class.
    pub fn least_error_ratio(&self, class: usize) -> f64 {
        self.in_use().map(|endpoint| endpoint.class_errors.error_ratio(class)).fold(1.0, f64::min)
    }

    /// Returns the mean capacity of the endpoints in use whose capacity is known, in requests per second; 0
    /// if none is known.
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
