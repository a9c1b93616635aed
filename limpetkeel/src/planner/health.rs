//! Which upstreams answer, and from which availability zones they are reached.

use std::collections;

use crate::{name, plan, planner::upstream, unit};

/// An upstream that could not be reached is passed over for this long.
const UNREACHABLE: unit::Millis = unit::Millis(2_000);

/// A zone in which this many upstreams could not be reached counts as cut off.
const CUT_AFTER: usize = 2;

/// While one request tries a zone that was cut off, others leave it out for this long: more than a
/// connection may take.
const TRIAL: unit::Millis = unit::Millis(300);

/// After the last miss, long work leaves a zone or an upstream out for this much longer unless short
/// work has reached it: a helper that cannot be reached stalls its lead for more than a second.
const DISTRUST: unit::Millis = unit::Millis(6_000);

/// A failure rate halves in this long, so that a recovered upstream is tried again.
const HALF_LIFE_MS: f64 = 2_500.0;

/// The weight of one answer in the failure rate.
const WEIGHT: f64 = 0.25;

/// The weight of a declined request: the ledger saw room, so the upstream is leaving, cut off, or
/// has work that nobody here knows of.
const DECLINED_WEIGHT: f64 = 0.75;

/// One report: who saw which upstream.
#[derive(Clone, Copy)]
pub(super) struct Seen<'a> {
    pub(super) from: &'a name::AvailabilityZoneName,
    pub(super) upstream: &'a name::UpstreamName,
    pub(super) zone: &'a name::AvailabilityZoneName,
}

type Pair = (name::AvailabilityZoneName, name::AvailabilityZoneName);

#[derive(Debug, Default)]
pub(super) struct Reachability {
    rates: collections::BTreeMap<name::UpstreamName, (f64, unit::Timestamp)>,
    /// From one zone to another: the upstreams that were not reached, and until when that counts.
    missed: collections::BTreeMap<Pair, collections::BTreeMap<name::UpstreamName, unit::Timestamp>>,
}

impl Reachability {
    pub(super) fn note(&mut self, now: unit::Timestamp, seen: Seen<'_>, verdict: plan::Verdict) {
        let pair = (seen.from.clone(), seen.zone.clone());
        match verdict {
            plan::Verdict::Unjudged => return,
            plan::Verdict::Unreachable => {
                self.miss(now, pair, seen.upstream);
                return;
            }
            _ => {
                self.missed.remove(&pair);
            }
        }
        let rate = self.failure_rate(now, seen.upstream);
        let rate = match verdict {
            plan::Verdict::Declined => rate + (1.0 - rate) * DECLINED_WEIGHT,
            plan::Verdict::Failed => rate + (1.0 - rate) * WEIGHT,
            _ => rate - rate * WEIGHT,
        };
        self.rates.insert(seen.upstream.clone(), (rate, now));
    }

    /// Notes that an upstream was not reached. A zone that was cut off and is tried in vain stays so.
    fn miss(&mut self, now: unit::Timestamp, pair: Pair, upstream: &name::UpstreamName) {
        let until = now.after(UNREACHABLE);
        let missed = self.missed.entry(pair).or_default();
        if missed.len() >= CUT_AFTER {
            missed.values_mut().for_each(|earlier| *earlier = until);
        }
        missed.insert(upstream.clone(), until);
    }

    /// Leaves a zone that was cut off to the request that tries it now.
    pub(super) fn note_trial(
        &mut self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        zone: &name::AvailabilityZoneName,
    ) {
        let pair = (from.clone(), zone.clone());
        if let Some(missed) = self.missed.get_mut(&pair)
            && missed.len() >= CUT_AFTER
        {
            for until in missed.values_mut() {
                *until = (*until).max(now.after(TRIAL));
            }
        }
    }

    /// Returns the decayed part of an upstream's answers that failed.
    pub(super) fn failure_rate(&self, now: unit::Timestamp, name: &name::UpstreamName) -> f64 {
        let Some((rate, at)) = self.rates.get(name) else {
            return 0.0;
        };
        rate * (-(now.since(*at).0 as f64) / HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    /// Tells whether requests from a zone are expected to reach an upstream.
    pub(super) fn reaches(
        &self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        self.answered(now, unit::Millis::ZERO, from, upstream)
    }

    /// Tells whether long work from a zone may rely on an upstream.
    pub(super) fn trusts(
        &self,
        now: unit::Timestamp,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        self.answered(now, DISTRUST, from, upstream)
    }

    /// Tells whether no miss of an upstream, or of its zone, is so recent that it counts, or became
    /// irrelevant less than `longer` ago.
    fn answered(
        &self,
        now: unit::Timestamp,
        longer: unit::Millis,
        from: &name::AvailabilityZoneName,
        upstream: &upstream::Upstream,
    ) -> bool {
        if self.missed.is_empty() {
            return true;
        }
        let pair = (from.clone(), upstream.availability_zone().clone());
        let Some(missed) = self.missed.get(&pair) else {
            return true;
        };
        let current = missed.iter().filter(|(_, until)| until.after(longer) > now);
        let cut = current.clone().count() >= CUT_AFTER && pair.0 != pair.1;
        !cut && !current.into_iter().any(|(name, _)| name == upstream.name())
    }
}
