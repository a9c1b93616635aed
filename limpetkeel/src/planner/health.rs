//! The failure rates of upstreams and their reachability from each availability zone.

use std::collections;

use crate::{name, plan, planner::upstream, unit};

/// How long an upstream that could not be reached is skipped.
const UNREACHABLE_COOLDOWN: unit::Millis = unit::Millis(2_000);

/// An availability zone in which this many upstreams could not be reached counts as partitioned.
const PARTITION_THRESHOLD: usize = 2;

/// How long other requests skip a partitioned zone while one request tries it. This exceeds the
/// connect timeout.
const TRIAL_COOLDOWN: unit::Millis = unit::Millis(300);

/// How much longer a long prompt skips a zone or an upstream after its last connection failure,
/// unless a short request has reached it. An unreachable helper stalls its lead for more than a
/// second.
const LONG_PROMPT_COOLDOWN: unit::Millis = unit::Millis(6_000);

/// The half-life of a failure rate, in milliseconds. The decay lets a recovered upstream receive
/// requests again.
const FAILURE_HALF_LIFE_MS: f64 = 2_500.0;

/// The weight of one attempt in the failure rate.
const ATTEMPT_WEIGHT: f64 = 0.25;

/// The weight of a declined request in the failure rate. It is higher since the ledger showed free
/// capacity: the upstream is draining, partitioned, or has unaccounted work.
const DECLINED_WEIGHT: f64 = 0.75;

/// The origin and the target of one attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptPath<'a> {
    /// The availability zone of the instance that made the attempt.
    pub(super) from: &'a name::AvailabilityZoneName,
    pub(super) upstream: &'a name::UpstreamName,
    /// The availability zone of the upstream.
    pub(super) zone: &'a name::AvailabilityZoneName,
}

/// The zone of an instance and the zone of an upstream.
type ZonePair = (name::AvailabilityZoneName, name::AvailabilityZoneName);

/// The failure rates and the recent connection failures of all upstreams.
#[derive(Debug, Default)]
pub(super) struct UpstreamHealth {
    /// The failure rate of each upstream and the time of its last update.
    failure_rates: collections::BTreeMap<name::UpstreamName, (f64, unit::Timestamp)>,
    /// For each pair of zones, the upstreams that could not be reached and when their cooldown
    /// ends.
    unreachable:
        collections::BTreeMap<ZonePair, collections::BTreeMap<name::UpstreamName, unit::Timestamp>>,
}

/// Returns `true` if a cooldown still counts for long prompts. An expired one shows nothing about
/// the zone.
fn is_recent(now: unit::Timestamp, until: unit::Timestamp) -> bool {
    until.after(LONG_PROMPT_COOLDOWN) > now
}

impl UpstreamHealth {
    /// Records the result of an attempt.
    pub(super) fn record(
        &mut self,
        now: unit::Timestamp,
        path: AttemptPath<'_>,
        result: plan::AttemptResult,
    ) {
        let pair = (path.from.clone(), path.zone.clone());
        match result {
            plan::AttemptResult::Inconclusive | plan::AttemptResult::PathFailed => return,
            // Silence does not show that the upstream was reached.
            plan::AttemptResult::Silent => {}
            plan::AttemptResult::Unreachable => {
                self.record_unreachable(now, pair, path.upstream);
                return;
            }
            _ => {
                self.unreachable.remove(&pair);
            }
        }
        let rate = self.failure_rate(now, path.upstream);
        let rate = match result {
            plan::AttemptResult::Declined => rate + (1.0 - rate) * DECLINED_WEIGHT,
            plan::AttemptResult::Failed
            | plan::AttemptResult::Crashed
            | plan::AttemptResult::Silent => rate + (1.0 - rate) * ATTEMPT_WEIGHT,
            _ => rate - rate * ATTEMPT_WEIGHT,
        };
        self.failure_rates
            .insert(path.upstream.clone(), (rate, now));
    }

    /// Records that an upstream could not be reached. A failed trial extends the cooldown of every
    /// upstream of a partitioned zone, so that the zone stays partitioned.
    fn record_unreachable(
        &mut self,
        now: unit::Timestamp,
        pair: ZonePair,
        upstream: &name::UpstreamName,
    ) {
        let until = now.after(UNREACHABLE_COOLDOWN);
        let cooldowns = self.unreachable.entry(pair).or_default();
        cooldowns.retain(|_, earlier| is_recent(now, *earlier));
        if cooldowns.len() >= PARTITION_THRESHOLD {
            cooldowns.values_mut().for_each(|earlier| *earlier = until);
        }
        cooldowns.insert(upstream.clone(), until);
    }

    /// Records that a request is about to try a zone. If the zone is partitioned, other requests
    /// skip it until the trial has had time to connect.
    pub(super) fn record_trial(
        &mut self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        zone: &name::AvailabilityZoneName,
    ) {
        let pair = (from.clone(), zone.clone());
        let Some(cooldowns) = self.unreachable.get_mut(&pair) else {
            return;
        };
        cooldowns.retain(|_, earlier| is_recent(now, *earlier));
        if cooldowns.len() >= PARTITION_THRESHOLD {
            for until in cooldowns.values_mut() {
                *until = (*until).max(now.after(TRIAL_COOLDOWN));
            }
        }
    }

    /// Returns the failure rate of an upstream, from 0 to 1, decayed since its last update.
    pub(super) fn failure_rate(&self, now: unit::Timestamp, name: &name::UpstreamName) -> f64 {
        let Some((rate, updated)) = self.failure_rates.get(name) else {
            return 0.0;
        };
        rate * (-(now.since(*updated).0 as f64) / FAILURE_HALF_LIFE_MS * std::f64::consts::LN_2)
            .exp()
    }

    /// Returns `true` if requests from one zone skip another one, which could not be reached.
    pub(super) fn is_partitioned(
        &self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        zone: &name::AvailabilityZoneName,
    ) -> bool {
        if self.unreachable.is_empty() || from == zone {
            return false;
        }
        let cooldowns = self.unreachable.get(&(from.clone(), zone.clone()));
        cooldowns.is_some_and(|cooldowns| {
            let current = cooldowns.values().filter(|until| **until > now);
            current.count() >= PARTITION_THRESHOLD
        })
    }

    /// Returns `true` if a zone is partitioned from another one, in either direction.
    pub(super) fn is_cut_off(
        &self,
        now: unit::Timestamp,
        zone: &name::AvailabilityZoneName,
    ) -> bool {
        let mut pairs = self.unreachable.keys();
        pairs.any(|(from, to)| (from == zone || to == zone) && self.is_partitioned(now, from, to))
    }

    /// Returns `true` if an upstream is considered reachable from a zone.
    pub(super) fn is_reachable(
        &self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        self.is_past_cooldown(now, unit::Millis::ZERO, from, upstream)
    }

    /// Returns `true` if an upstream has no recent connection failure from a zone, so that a long
    /// prompt may use it.
    pub(super) fn is_reliable(
        &self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        self.is_past_cooldown(now, LONG_PROMPT_COOLDOWN, from, upstream)
    }

    /// Returns `true` if neither the upstream nor its zone is in a cooldown, extended by
    /// `extra_cooldown`. Partitions are assumed only between different zones.
    fn is_past_cooldown(
        &self,
        now: unit::Timestamp,
        extra_cooldown: unit::Millis,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        if self.unreachable.is_empty() {
            return true;
        }
        let pair = (from.clone(), upstream.availability_zone().clone());
        let Some(cooldowns) = self.unreachable.get(&pair) else {
            return true;
        };
        let current = cooldowns
            .iter()
            .filter(|(_, until)| until.after(extra_cooldown) > now);
        let partitioned = current.clone().count() >= PARTITION_THRESHOLD && pair.0 != pair.1;
        !partitioned && !current.into_iter().any(|(name, _)| name == upstream.name())
    }
}
