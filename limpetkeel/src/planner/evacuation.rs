//! The exclusion of evacuated availability zones from everything new, with the ledgers of their streams
//! kept.

use std::collections;

use crate::{
    name, plan,
    planner::{self, upstream},
};

impl planner::Planner {
    /// Sets the evacuated availability zones. Their upstreams get nothing new; their ledgers are kept
    /// for the streams that still run there.
    pub fn set_evacuated_zones(
        &mut self,
        zones: collections::BTreeSet<name::AvailabilityZoneName>,
    ) {
        self.evacuated_zones = zones;
        self.leave_evacuated();
    }

    /// Returns the evacuated availability zones.
    pub fn evacuated_zones(&self) -> &collections::BTreeSet<name::AvailabilityZoneName> {
        &self.evacuated_zones
    }

    /// Removes the upstreams of evacuated zones from the prefill set, and gives back the memory that
    /// is set aside on them.
    pub(super) fn leave_evacuated(&mut self) {
        if self.evacuated_zones.is_empty() {
            return;
        }
        let is_open = |name: &name::UpstreamName| {
            let upstream = self.upstreams.get(name);
            upstream.is_some_and(|upstream| !self.is_evacuated(upstream))
        };
        let closed: collections::BTreeSet<_> = self
            .upstreams
            .keys()
            .filter(|name| !is_open(name))
            .cloned()
            .collect();
        self.waiting.retain_listed(|name| !closed.contains(name));
        self.prefill_set.remove_members(&closed);
    }

    /// Returns `true` if the zone of an upstream is evacuated.
    fn is_evacuated(&self, upstream: &upstream::Upstream) -> bool {
        self.evacuated_zones.contains(upstream.availability_zone())
    }

    /// Returns `true` if a request may use an upstream.
    pub(super) fn is_usable(
        &self,
        request: &plan::PlanRequest,
        upstream: &upstream::Upstream,
    ) -> bool {
        is_available(request, &self.evacuated_zones, upstream)
    }

    /// Returns the number of upstreams outside the evacuated zones.
    pub(super) fn open_upstream_count(&self) -> usize {
        if self.evacuated_zones.is_empty() {
            return self.upstreams.len();
        }
        let open = self.upstreams.values();
        open.filter(|upstream| !self.is_evacuated(upstream)).count()
    }
}

/// Returns `true` if the request may use an upstream, given the evacuated zones.
pub(super) fn is_available(
    request: &plan::PlanRequest,
    evacuated_zones: &collections::BTreeSet<name::AvailabilityZoneName>,
    upstream: &upstream::Upstream,
) -> bool {
    !request.unavailable_upstreams.contains(upstream.name())
        && !evacuated_zones.contains(upstream.availability_zone())
}
