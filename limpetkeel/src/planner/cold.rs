//! The limit on requests to cold upstreams, which have started recently and crash under full load.
//!
//! The requests to a cold upstream are spaced evenly, at half of the rate that it tolerates, so that
//! three planners that do not know each other stay below its bound together. A planner begins with
//! the pause after a request, since the plans of its predecessor are not known.

use std::collections;

use crate::{
    ingress, name, plan,
    planner::{self, upstream},
    unit, upstream_registry,
};

/// The fraction of the rate of a cold upstream that one planner uses.
const USED_FRACTION: f64 = 0.5;

/// The resolution of the random part of a pause.
const PAUSE_STEPS: u64 = 1_000;

/// A cold upstream process.
#[derive(Debug)]
struct ColdUpstream {
    start_time: u64,
    until: unit::Timestamp,
    /// When the upstream takes the next request, in milliseconds of the planner's clock; `None` before
    /// the first request after it became known as cold.
    next_at_ms: Option<f64>,
}

/// What happened to requests while upstreams were cold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ColdReport {
    /// The upstreams that became cold, and for how long.
    pub became_cold: Vec<(name::UpstreamName, unit::Millis)>,
    /// The number of upstreams that are cold now.
    pub cold: usize,
    /// The requests that were planned on cold upstreams.
    pub admitted: u64,
    /// The requests that were planned elsewhere while the limit of a cold upstream was reached.
    pub diverted: u64,
}

/// The cold upstreams of a pool.
#[derive(Debug, Default)]
pub(super) struct ColdUpstreams {
    limit: Option<ingress::ColdLimit>,
    upstreams: collections::BTreeMap<name::UpstreamName, ColdUpstream>,
    report: ColdReport,
}

impl ColdUpstreams {
    /// Returns the time between two requests, in milliseconds, if the limit is divided among
    /// `planners`.
    fn interval_ms(&self, planners: u32) -> Option<f64> {
        let limit = self.limit?;
        Some(1_000.0 / (limit.per_second * USED_FRACTION) * f64::from(planners.max(1)))
    }

    /// Replaces the cold periods of the listed upstreams. A process that was cold keeps its spacing.
    fn set_periods(
        &mut self,
        limit: Option<ingress::ColdLimit>,
        periods: &[upstream_registry::ColdPeriod],
        start_time_of: impl Fn(&name::UpstreamName) -> Option<u64>,
    ) {
        self.limit = limit;
        let mut known = std::mem::take(&mut self.upstreams);
        let Some(limit) = limit else {
            return;
        };
        for period in periods {
            let Some(start_time) = start_time_of(&period.upstream) else {
                continue;
            };
            let until = period.end(limit.lifetime);
            if until <= period.since {
                continue;
            }
            let known = known.remove(&period.upstream);
            let known = known.filter(|known| known.start_time == start_time);
            let upstream = ColdUpstream {
                start_time,
                until,
                next_at_ms: known.and_then(|known| known.next_at_ms),
            };
            self.upstreams.insert(period.upstream.clone(), upstream);
        }
    }

    /// Forgets the upstreams that are no longer cold, and begins the pauses of those that have become
    /// cold.
    ///
    /// Planners that share the limit would all begin at the same moment after a cut, so that the
    /// pause of each has a random part then. `random` is a uniformly distributed random number.
    fn refresh(&mut self, now: unit::Timestamp, planners: u32, random: u64) {
        self.upstreams.retain(|_, upstream| upstream.until > now);
        self.report.cold = self.upstreams.len();
        let Some(interval_ms) = self.interval_ms(planners) else {
            return;
        };
        let random_part = if planners > 1 {
            (random % PAUSE_STEPS) as f64 / PAUSE_STEPS as f64
        } else {
            0.0
        };
        for (name, upstream) in &mut self.upstreams {
            if upstream.next_at_ms.is_none() {
                upstream.next_at_ms = Some(now.0 as f64 + interval_ms * (1.0 + random_part));
                let left = upstream.until.since(now);
                self.report.became_cold.push((name.clone(), left));
            }
        }
    }

    /// Returns `true` if an upstream is cold.
    pub(super) fn is_cold(&self, now: unit::Timestamp, name: &name::UpstreamName) -> bool {
        let upstream = self.upstreams.get(name);
        upstream.is_some_and(|upstream| upstream.until > now)
    }

    /// Returns the time until a cold upstream takes the next request and the time between two
    /// requests, in milliseconds.
    pub(super) fn spacing(
        &self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
    ) -> Option<(f64, f64)> {
        let upstream = self.upstreams.get(name)?;
        if upstream.until <= now {
            return None;
        }
        let interval_ms = self.interval_ms(1)?;
        let wait_ms = upstream.next_at_ms? - now.0 as f64;
        Some((wait_ms.max(0.0), interval_ms))
    }

    /// Returns `true` if an upstream is not cold, or takes a request now.
    pub(super) fn allows(&self, now: unit::Timestamp, name: &name::UpstreamName) -> bool {
        self.spacing(now, name)
            .is_none_or(|(wait_ms, _)| wait_ms == 0.0)
    }

    /// Counts a request that has been planned on an upstream.
    fn count(&mut self, now: unit::Timestamp, lead: &name::UpstreamName, planners: u32) {
        if self.upstreams.is_empty() {
            return;
        }
        let interval_ms = self.interval_ms(planners).unwrap_or(0.0);
        if let Some(upstream) = self.upstreams.get_mut(lead) {
            let from_ms = upstream.next_at_ms.unwrap_or(0.0).max(now.0 as f64);
            upstream.next_at_ms = Some(from_ms + interval_ms);
            self.report.admitted += 1;
        } else if self.upstreams.keys().any(|name| !self.allows(now, name)) {
            self.report.diverted += 1;
        }
    }
}

impl planner::Planner {
    /// Sets the limit on cold upstreams and how long each upstream of the pool is cold.
    pub fn set_cold(
        &mut self,
        limit: Option<ingress::ColdLimit>,
        periods: &[upstream_registry::ColdPeriod],
    ) {
        let start_time_of =
            |name: &name::UpstreamName| Some(self.upstreams.get(name)?.start_time());
        self.cold.set_periods(limit, periods, start_time_of);
    }

    /// Returns `true` if the limit on cold upstreams differs from `limit`.
    pub fn has_other_cold_limit(&self, limit: Option<ingress::ColdLimit>) -> bool {
        self.cold.limit != limit
    }

    /// Returns what happened to requests because of cold upstreams since the last call.
    pub fn take_cold_report(&mut self) -> ColdReport {
        let report = ColdReport {
            cold: self.cold.report.cold,
            ..ColdReport::default()
        };
        std::mem::replace(&mut self.cold.report, report)
    }

    /// Updates the cold upstreams before a request is planned.
    pub(super) fn refresh_cold(&mut self, now: unit::Timestamp, request: &plan::PlanRequest) {
        self.cold.refresh(now, request.planners, request.id.0);
    }

    /// Counts a planned request against the limit of a cold upstream.
    pub(super) fn count_cold(
        &mut self,
        now: unit::Timestamp,
        lead: &name::UpstreamName,
        planners: u32,
    ) {
        self.cold.count(now, lead, planners);
    }

    /// Returns `true` if neither a request limit nor a cold limit keeps a request from an upstream.
    pub(super) fn limits_allow(&self, now: unit::Timestamp, upstream: &upstream::Upstream) -> bool {
        let name = upstream.name();
        self.request_limits.allows(now, name) && self.cold.allows(now, name)
    }
}
