//! How many engines read a long prompt, and which.

use crate::{
    engine, grant, ingress, plan,
    planner::{self, upstream},
    unit,
};

/// Helpers that one request may name.
pub(super) const MAX_HELPERS: usize = 16;

/// Engines that are weighed for each helper that a request may name; the others have more to do.
const WEIGHED: usize = 3 * MAX_HELPERS;

/// An engine whose failure rate is at least this does not help: one that cannot be reached stalls
/// the whole request, and others can read its part.
const SOUND_RATE: f64 = 0.5;

/// What a long prompt pays for each stream that its part delays beyond its pause, in milliseconds.
pub(super) const DELAYED_MS: f64 = 150.0;

/// What each further part costs, in milliseconds: an engine may fail, and a pass takes a while even
/// if it reads little.
const PART_COST_MS: f64 = 0.5;

/// The part of its objective in which the reading of a prompt costs others more than it gains.
const EASY_SHARE: f64 = 0.5;

/// What a millisecond of reading is worth within that part, where one beyond it counts whole.
const EASY_WEIGHT: f64 = 0.05;

/// A long prompt whose lead is known.
pub(super) struct Job<'a> {
    pub(super) prompt: unit::Tokens,
    pub(super) objective: ingress::Objective,
    pub(super) lead: &'a grant::Place,
    /// The engines that hold parts of it.
    pub(super) reserved: Vec<plan::Helper>,
}

/// The engines that read a prompt beside its lead, and when they will have done so.
pub(super) struct Team {
    pub(super) helpers: Vec<plan::Helper>,
    pub(super) finish_ms: f64,
}

/// One way to divide the reading.
struct Division<'a> {
    helpers: Vec<&'a upstream::Upstream>,
    finish_ms: f64,
    cost: f64,
}

impl planner::Planner {
    /// Lists the engines that may help a lead.
    pub(super) fn sound<'a>(
        &'a self,
        now: unit::Timestamp,
        lead: &grant::Place,
        demand: &'a plan::Demand,
    ) -> Vec<&'a upstream::Upstream> {
        let zone = &demand.availability_zone;
        self.candidates(now, demand)
            .filter(|upstream| *upstream.name() != lead.upstream)
            .filter(|upstream| self.health.trusts(now, zone, upstream))
            .filter(|upstream| self.health.failure_rate(now, upstream.name()) < SOUND_RATE)
            .collect()
    }

    /// Chooses the engines of the lane that read a prompt beside its lead: as many as it takes for
    /// its objective, where they delay the fewest streams.
    pub(super) fn choose_helpers(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        demand: &plan::Demand,
        job: Job<'_>,
    ) -> Team {
        let is_reserved = |upstream: &upstream::Upstream| {
            let mut reserved = job.reserved.iter();
            reserved.any(|helper| helper.place.upstream == *upstream.name())
        };
        let mut others = self.sound(now, job.lead, demand);
        // An engine takes one part of a prompt only.
        others.retain(|upstream| self.lane.holds(upstream.name()) && !is_reserved(upstream));
        others.sort_by(|a, b| self.wait_ms(now, a).total_cmp(&self.wait_ms(now, b)));
        others.truncate(WEIGHED);
        let fewest = job.reserved.len().max(usize::from(!others.is_empty()));
        let most = (job.reserved.len() + others.len()).min(MAX_HELPERS);
        let divisions = (fewest..=most).map(|count| self.divide(now, timing, &job, &others, count));
        let best = divisions.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut helpers = job.reserved;
        let finish_ms = best.as_ref().map_or(0.0, |best| best.finish_ms);
        let chosen = best.into_iter().flat_map(|best| best.helpers);
        helpers.extend(chosen.map(|upstream| plan::Helper {
            place: upstream.place(),
            reserve: None,
        }));
        Team { helpers, finish_ms }
    }

    /// Divides the reading among the lead and `count` helpers.
    fn divide<'a>(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        job: &Job<'_>,
        others: &[&'a upstream::Upstream],
        count: usize,
    ) -> Division<'a> {
        let part = timing.part_ms(job.prompt, count + 1);
        let harm = |upstream: &upstream::Upstream| self.harm_ms(now, timing, upstream, part);
        let mut ranked: Vec<_> = others
            .iter()
            .map(|upstream| (self.wait_ms(now, upstream) + harm(upstream), *upstream))
            .collect();
        ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        ranked.truncate(count - job.reserved.len());
        let helpers: Vec<_> = ranked.into_iter().map(|(_, upstream)| upstream).collect();
        let reserved = job.reserved.iter().map(|helper| &helper.place);
        let fixed = reserved.chain([job.lead]);
        let fixed = fixed.filter_map(|place| self.upstreams.get(&place.upstream));
        let readers = fixed.chain(helpers.iter().copied());
        let mut waits = 0.0_f64;
        let mut harms = 0.0;
        for upstream in readers {
            waits = waits.max(self.wait_ms(now, upstream));
            harms += harm(upstream);
        }
        let finish_ms = waits + part;
        let easy = job.objective.first.0 as f64 * EASY_SHARE;
        let beyond = (finish_ms - easy).max(0.0);
        Division {
            helpers,
            finish_ms,
            cost: finish_ms * EASY_WEIGHT + beyond + harms + count as f64 * PART_COST_MS,
        }
    }

    /// Returns when an engine begins to read what it is given now, in milliseconds.
    fn wait_ms(&self, now: unit::Timestamp, upstream: &upstream::Upstream) -> f64 {
        let present = self
            .timing
            .map_or(0.0, |timing| upstream.present_ms(&timing));
        upstream.backlog(now) + present
    }

    /// Returns what a part of `ms` costs others on its engine, in milliseconds.
    fn harm_ms(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        upstream: &upstream::Upstream,
        ms: f64,
    ) -> f64 {
        upstream.delayed_by(now, timing, ms) as f64 * DELAYED_MS
    }
}
