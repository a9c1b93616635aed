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

/// An engine that may read a part, and when it begins to, in milliseconds.
#[derive(Clone, Copy)]
struct Reader<'a> {
    upstream: &'a upstream::Upstream,
    wait_ms: f64,
}

impl<'a> Reader<'a> {
    fn new(
        now: unit::Timestamp,
        timing: &engine::Timing,
        upstream: &'a upstream::Upstream,
    ) -> Reader<'a> {
        Reader {
            upstream,
            wait_ms: upstream.wait_ms(now, timing),
        }
    }

    /// Returns what a part of `ms` costs others on the engine, in milliseconds.
    fn harm_ms(&self, now: unit::Timestamp, timing: &engine::Timing, ms: f64) -> f64 {
        self.upstream.delayed_by(now, timing, ms) as f64 * DELAYED_MS
    }
}

/// A prompt that is about to be divided.
struct Reading<'a> {
    now: unit::Timestamp,
    timing: &'a engine::Timing,
    prompt: unit::Tokens,
    /// Within this time, reading costs others more than it gains, in milliseconds.
    easy_ms: f64,
    /// The engines that take part in any case: those with reservations and the lead.
    fixed: Vec<Reader<'a>>,
    /// The others, those that begin soonest first.
    others: Vec<Reader<'a>>,
}

/// One way to divide the reading: the engines that join the fixed ones.
struct Division<'a> {
    joining: Vec<Reader<'a>>,
    finish_ms: f64,
    cost: f64,
}

impl<'a> Reading<'a> {
    /// Divides the reading evenly, with `joining` engines beside the fixed ones.
    fn divide(&self, joining: usize) -> Division<'a> {
        let parts = self.fixed.len() + joining;
        let part = self.timing.part_ms(self.prompt, parts);
        let harm = |reader: &Reader<'_>| reader.harm_ms(self.now, self.timing, part);
        let others = self.others.iter();
        let mut ranked: Vec<_> = others.map(|reader| (harm(reader), *reader)).collect();
        let cost = |(harm, reader): &(f64, Reader<'_>)| reader.wait_ms + harm;
        ranked.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        ranked.truncate(joining);
        let fixed = self.fixed.iter().map(|reader| (harm(reader), *reader));
        let mut waits = 0.0_f64;
        let mut harms = 0.0;
        for (harm, reader) in fixed.chain(ranked.iter().copied()) {
            waits = waits.max(reader.wait_ms);
            harms += harm;
        }
        let finish_ms = waits + part;
        let beyond = (finish_ms - self.easy_ms).max(0.0);
        Division {
            joining: ranked.into_iter().map(|(_, reader)| reader).collect(),
            finish_ms,
            cost: finish_ms * EASY_WEIGHT + beyond + harms + parts as f64 * PART_COST_MS,
        }
    }
}

impl planner::Planner {
    /// Lists the engines of the lane that may help a lead.
    pub(super) fn readers<'a>(
        &'a self,
        now: unit::Timestamp,
        lead: &grant::Place,
        demand: &'a plan::Demand,
    ) -> Vec<&'a upstream::Upstream> {
        let zone = &demand.availability_zone;
        self.candidates(now, demand)
            .filter(|upstream| self.lane.holds(upstream.name()))
            .filter(|upstream| *upstream.name() != lead.upstream)
            .filter(|upstream| self.health.trusts(now, zone, upstream))
            .filter(|upstream| self.health.failure_rate(now, upstream.name()) < SOUND_RATE)
            .collect()
    }

    /// Chooses the engines that read a prompt beside its lead: as many as it takes for its
    /// objective, where they delay the fewest streams.
    pub(super) fn choose_helpers(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        readers: Vec<&upstream::Upstream>,
        job: Job<'_>,
    ) -> Team {
        let is_reserved = |upstream: &upstream::Upstream| {
            let mut reserved = job.reserved.iter();
            reserved.any(|helper| helper.place.upstream == *upstream.name())
        };
        // An engine takes one part of a prompt only.
        let others = readers.into_iter().filter(|u| !is_reserved(u));
        let mut others: Vec<_> = others.map(|u| Reader::new(now, timing, u)).collect();
        others.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        others.truncate(WEIGHED);
        let reserved = job.reserved.iter().map(|helper| &helper.place);
        let fixed = reserved.chain([job.lead]);
        let fixed = fixed.filter_map(|place| self.upstreams.get(&place.upstream));
        let fixed: Vec<_> = fixed.map(|u| Reader::new(now, timing, u)).collect();
        let least = usize::from(!others.is_empty() && job.reserved.is_empty());
        let most = others.len().min(MAX_HELPERS - job.reserved.len());
        let reading = Reading {
            now,
            timing,
            prompt: job.prompt,
            easy_ms: job.objective.first.0 as f64 * EASY_SHARE,
            fixed,
            others,
        };
        let divisions = (least..=most).map(|joining| reading.divide(joining));
        let best = divisions.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut helpers = job.reserved;
        let finish_ms = best.as_ref().map_or(0.0, |best| best.finish_ms);
        let joining = best.into_iter().flat_map(|best| best.joining);
        helpers.extend(joining.map(|reader| plan::Helper {
            place: reader.upstream.place(),
            reserve: None,
        }));
        Team { helpers, finish_ms }
    }
}
