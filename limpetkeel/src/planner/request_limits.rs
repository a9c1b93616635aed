//! The request limits of upstreams, which the planner enforces for all instances.
//!
//! The requests to a limited upstream are spaced evenly. The plans of a predecessor are not known, so
//! a new limit starts with the pause after a request.

use std::collections;

use crate::{
    error, name, plan,
    planner::{self, upstream, waiting},
    request_limit, unit,
};

/// The lowest rate that is used, in requests per second. A request now and then finds out whether the
/// upstream still names its limit.
const MIN_PER_SECOND: f64 = 0.25;

/// The age from which the announcement of a limit is outdated.
const MAX_AGE: unit::Millis = unit::Millis(4_000);

/// The latest announcement of an upstream process.
#[derive(Debug)]
struct Limit {
    start_time: u64,
    limit: request_limit::AnnouncedLimit,
    /// When an instance received it, in the planner's clock.
    received: unit::Timestamp,
    /// When the upstream takes the next request, in milliseconds of the planner's clock.
    next_at_ms: f64,
}

impl Limit {
    /// Returns the time between two requests, in milliseconds, or `None` without a limit.
    fn interval_ms(&self) -> Option<f64> {
        match self.limit {
            request_limit::AnnouncedLimit::Unlimited => None,
            request_limit::AnnouncedLimit::Limited(rate) => {
                Some(1_000.0 / f64::from(rate).max(MIN_PER_SECOND))
            }
        }
    }

    /// Returns the time until the upstream takes the next request, in milliseconds.
    fn wait_ms(&self, now: unit::Timestamp) -> f64 {
        match self.interval_ms() {
            Some(_) => (self.next_at_ms - now.0 as f64).max(0.0),
            None => 0.0,
        }
    }
}

/// The limits of a pool, and the requests that wait while all upstreams are limited. They use no
/// prefill capacity and no memory meanwhile.
#[derive(Debug, Default)]
pub(super) struct RequestLimits {
    limits: collections::BTreeMap<name::UpstreamName, Limit>,
    waiting: waiting::WaitingList,
}

impl RequestLimits {
    /// Forgets the limits of processes that have ended.
    pub(super) fn retain_listed(
        &mut self,
        start_time_of: impl Fn(&name::UpstreamName) -> Option<u64>,
    ) {
        self.limits
            .retain(|name, limit| start_time_of(name) == Some(limit.start_time));
    }

    /// Applies a notice of an instance unless a later one is known. A new limit is divided among
    /// `planners` that do not know each other's plans.
    fn apply(&mut self, now: unit::Timestamp, notice: &request_limit::LimitNotice, planners: u32) {
        let received = unit::Timestamp(now.0.saturating_sub(notice.age.0));
        let known = self.limits.get(&notice.upstream);
        let known = known.filter(|known| known.start_time == notice.start_time);
        if known.is_some_and(|known| known.received > received) {
            return;
        }
        let mut limit = Limit {
            start_time: notice.start_time,
            limit: notice.limit,
            received,
            next_at_ms: now.0 as f64,
        };
        let interval_ms = limit.interval_ms().unwrap_or(0.0);
        let after_pause_ms = now.0 as f64 + interval_ms * f64::from(planners.max(1));
        limit.next_at_ms = match known.and_then(|known| Some((known, known.interval_ms()?))) {
            Some((known, known_interval_ms)) if known_interval_ms <= interval_ms => {
                known.next_at_ms
            }
            Some((known, _)) => known.next_at_ms.min(after_pause_ms),
            None => after_pause_ms,
        };
        self.limits.insert(notice.upstream.clone(), limit);
    }

    /// Returns `true` if an upstream has named a limit.
    pub(super) fn is_limited(&self, name: &name::UpstreamName) -> bool {
        let limit = self.limits.get(name);
        limit.is_some_and(|limit| limit.interval_ms().is_some())
    }

    /// Returns the time until a limited upstream takes the next request and the time between two
    /// requests, in milliseconds.
    fn spacing(&self, now: unit::Timestamp, name: &name::UpstreamName) -> Option<(f64, f64)> {
        let limit = self.limits.get(name)?;
        Some((limit.wait_ms(now), limit.interval_ms()?))
    }

    /// Returns `true` if the limit of an upstream, if any, allows a request now.
    pub(super) fn allows(&self, now: unit::Timestamp, name: &name::UpstreamName) -> bool {
        let limit = self.limits.get(name);
        limit.is_none_or(|limit| limit.wait_ms(now) == 0.0)
    }

    /// Returns `true` if a request should find out whether a limit still holds.
    pub(super) fn is_outdated(&self, now: unit::Timestamp, name: &name::UpstreamName) -> bool {
        let limit = self.limits.get(name);
        limit.is_some_and(|limit| {
            limit.interval_ms().is_some() && now.since(limit.received) >= MAX_AGE
        })
    }

    /// Counts a request to an upstream. The limit is divided among `planners` that do not know each
    /// other's plans.
    pub(super) fn count(&mut self, now: unit::Timestamp, name: &name::UpstreamName, planners: u32) {
        let Some(limit) = self.limits.get_mut(name) else {
            return;
        };
        if let Some(interval_ms) = limit.interval_ms() {
            let from_ms = limit.next_at_ms.max(now.0 as f64);
            limit.next_at_ms = from_ms + interval_ms * f64::from(planners.max(1));
        }
    }
}

impl planner::Planner {
    /// Applies the announcements that the instance of a request has received.
    pub(super) fn apply_limit_notices(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) {
        for notice in &request.limits {
            let upstream = self.upstreams.get(&notice.upstream);
            if upstream.is_some_and(|upstream| upstream.start_time() == notice.start_time) {
                self.request_limits.apply(now, notice, request.planners);
            }
        }
    }

    /// Checks that an upstream takes the request now, if all of them are limited. Requests wait in
    /// the order in which their objectives fall due.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::AwaitingCapacity`] if the request has to wait for the limit of an
    /// upstream, and [`error::Error::NoCapacity`] if it would wait too long.
    pub(super) fn check_request_limits(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> error::Result<()> {
        self.request_limits.waiting.remove_expired(now);
        let upstreams = self.upstreams.values();
        let any_in_service = self.reaches_any_in_service(now, request);
        let available = upstreams.filter(|upstream: &&upstream::Upstream| {
            self.is_usable(request, upstream)
                && (!any_in_service || self.admits(now, request, upstream))
        });
        let mut waits_ms = Vec::new();
        let mut per_ms = 0.0;
        for upstream in available {
            let announced = self.request_limits.spacing(now, upstream.name());
            let cold = self.cold.spacing(now, upstream.name());
            let (wait_ms, interval_ms) = match (announced, cold) {
                (Some((wait_ms, interval_ms)), Some((cold_wait_ms, cold_interval_ms))) => {
                    (wait_ms.max(cold_wait_ms), interval_ms.max(cold_interval_ms))
                }
                (Some(spacing), None) | (None, Some(spacing)) => spacing,
                (None, None) => return Ok(()),
            };
            waits_ms.push(wait_ms);
            per_ms += 1.0 / interval_ms;
        }
        let before = self.request_limits.waiting.count_before(now, request);
        let ready = waits_ms.iter().filter(|wait_ms| **wait_ms == 0.0).count();
        if before < ready || waits_ms.is_empty() {
            self.request_limits.waiting.remove(request.waiting_id);
            return Ok(());
        }
        let next_ms = waits_ms.into_iter().fold(f64::INFINITY, f64::min);
        let expected_in = unit::Millis((next_ms + before as f64 / per_ms).ceil() as u64);
        let waiting = &mut self.request_limits.waiting;
        if expected_in > waiting::longest_wait(request) {
            return Err(waiting.refuse(request, expected_in));
        }
        waiting.renew(now, request, 0.0);
        Err(error::Error::AwaitingCapacity { expected_in })
    }
}
