//! Placement of long prompts, and of prompts that need a group of upstreams.

use crate::{grant, keeper, name, unit, upstream};

impl keeper::Keeper {
    /// Chooses upstreams for a long prompt, or reserves upstreams that drain for it.
    ///
    /// Only one request has a reservation at a time; otherwise two requests could each reserve
    /// half of the upstreams that both need. A more urgent request replaces the reservation.
    pub(super) fn pick_long(
        &mut self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        group_size: usize,
    ) -> Option<Vec<name::UpstreamName>> {
        self.cancel_stale_reservation(now);
        let has_reservation = self.has_reservation(request.id);
        let limited = group_size == 1 && !has_reservation;
        if limited && self.long_prefill_count() >= self.long_prefill_limit() {
            return None;
        }
        let share = unit::Tokens(request.size.memory().0.div_ceil(group_size as u64));
        let mut ready = self.ready_for_long(now, request, share);
        if ready.len() >= group_size {
            ready.truncate(group_size);
            // All groups list their upstreams in the same order, so that two groups cannot wait for
            // each other.
            ready.sort_unstable();
            return Some(ready);
        }
        if !has_reservation {
            self.start_reservation(now, request, group_size);
        }
        None
    }

    /// Returns `true` if the reservation belongs to this placement request.
    fn has_reservation(&self, id: grant::RequestId) -> bool {
        self.reservation
            .as_ref()
            .is_some_and(|reservation| reservation.id == id)
    }

    /// Returns the number of upstreams that prefill a long prompt.
    fn long_prefill_count(&self) -> usize {
        self.upstreams
            .values()
            .filter(|upstream| upstream.prefills_long())
            .count()
    }

    /// Returns how many upstreams may prefill long prompts at once, in proportion to the demand.
    fn long_prefill_limit(&self) -> usize {
        let upstreams = self.upstreams.len() as f64;
        let max_upstreams = (upstreams * f64::from(self.long_percent) / 100.0)
            .floor()
            .max(1.0);
        (upstreams * self.long_demand_share)
            .ceil()
            .clamp(1.0, max_upstreams) as usize
    }

    /// Returns the upstreams that can hold the share now.
    ///
    /// Upstreams reserved for the request come first, then those with the least committed memory.
    fn ready_for_long(
        &self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        share: unit::Tokens,
    ) -> Vec<name::UpstreamName> {
        let is_reserved = |upstream: &upstream::Upstream| {
            let reservation = self
                .reservation
                .as_ref()
                .filter(|reservation| reservation.id == request.id);
            reservation.is_some_and(|reservation| reservation.upstreams.contains(upstream.name()))
        };
        let mut ready: Vec<_> = self
            .eligible(now, request)
            .filter(|upstream| !upstream.is_draining() || is_reserved(upstream))
            .filter(|upstream| !upstream.prefills_long() && upstream.can_hold(share, request.rank))
            .collect();
        ready.sort_by_key(|upstream| (!is_reserved(upstream), upstream.committed_memory()));
        ready
            .into_iter()
            .map(|upstream| upstream.name().clone())
            .collect()
    }

    /// Returns the upstreams with recent reports that the request may use, regardless of load.
    fn eligible(
        &self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
    ) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.values().filter(move |upstream| {
            upstream.has_recent_report(now)
                && !upstream.is_updating()
                && !request.excluded_upstreams.contains(upstream.name())
        })
    }
}

/// Reservations.
impl keeper::Keeper {
    /// Reserves the upstreams that are expected to have enough free memory first.
    ///
    /// A reservation for a request of equal or higher rank stays.
    fn start_reservation(
        &mut self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        group_size: usize,
    ) {
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.rank <= request.rank)
        {
            return;
        }
        let mut candidates: Vec<_> = self.eligible(now, request).collect();
        if candidates.len() < group_size {
            return;
        }
        candidates.sort_by_key(|upstream| (upstream.prefills_long(), upstream.committed_memory()));
        let upstreams: Vec<_> = candidates[..group_size]
            .iter()
            .map(|upstream| upstream.name().clone())
            .collect();
        self.cancel_reservation();
        self.set_reserved(&upstreams, true);
        self.reservation = Some(keeper::Reservation {
            id: request.id,
            rank: request.rank,
            upstreams,
        });
    }

    /// Cancels the reservation if one of its upstreams has stopped reporting.
    ///
    /// The request can then reserve other upstreams.
    fn cancel_stale_reservation(&mut self, now: unit::Timestamp) {
        let Some(old) = &self.reservation else { return };
        let has_recent_report = |name| {
            let upstream: Option<&upstream::Upstream> = self.upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.has_recent_report(now))
        };
        if !old.upstreams.iter().all(has_recent_report) {
            self.cancel_reservation();
        }
    }

    /// Starts or ends draining the upstreams for a reservation.
    fn set_reserved(&mut self, names: &[name::UpstreamName], reserved: bool) {
        for name in names {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.set_reserved(reserved);
            }
            self.reindex(name);
        }
    }

    /// Cancels the reservation, if there is one.
    pub(super) fn cancel_reservation(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.set_reserved(&reservation.upstreams, false);
        }
    }

    /// Cancels the reservation if it belongs to this placement request.
    pub(super) fn cancel_reservation_for(&mut self, id: grant::RequestId) {
        if self.has_reservation(id) {
            self.cancel_reservation();
        }
    }

    /// Cancels the reservation if it includes this upstream.
    pub(super) fn cancel_reservation_on(&mut self, name: &name::UpstreamName) {
        if self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.upstreams.contains(name))
        {
            self.cancel_reservation();
        }
    }
}
