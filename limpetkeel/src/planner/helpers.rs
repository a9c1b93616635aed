//! The choice of the engines that help a lead to prefill a long prompt.

use crate::{
    engine, error, grant, ingress, plan,
    planner::{self, upstream},
    unit,
};

/// The largest number of helpers that one request may name.
pub(super) const MAX_HELPERS: usize = 16;

/// The number of candidates that are considered. The others have longer backlogs.
const MAX_CANDIDATES: usize = 3 * MAX_HELPERS;

/// An engine with at least this failure rate does not help. An unreachable helper stalls the
/// complete request, and other engines can prefill its part.
const MAX_FAILURE_RATE: f64 = 0.5;

/// The cost of each stream that a part delays beyond its largest allowed gap, in milliseconds.
pub(super) const DELAYED_STREAM_COST_MS: f64 = 300.0;

/// The cost of each part, in milliseconds. Each engine may fail, and a pass has a fixed cost even if
/// it prefills few tokens.
const PART_COST_MS: f64 = 0.5;

/// The fraction of the first-token objective up to which a faster prefill costs other requests more
/// than it gains.
const RELAXED_FRACTION: f64 = 0.5;

/// The cost of a millisecond of prefill within that fraction. A millisecond beyond it additionally
/// costs 1.
const RELAXED_WEIGHT: f64 = 0.05;

/// A long prompt for which helpers are chosen.
pub(super) struct HelperRequest<'a> {
    pub(super) prompt: unit::Tokens,
    pub(super) objective: ingress::LatencyObjective,
    pub(super) lead: &'a grant::UpstreamAddress,
    /// The engines on which memory is reserved for parts of the prompt.
    pub(super) reservations: Vec<plan::Helper>,
}

/// The helpers of a prompt.
pub(super) struct HelperSelection {
    pub(super) helpers: Vec<plan::Helper>,
    /// The time until the prefill is complete, in milliseconds.
    pub(super) finish_ms: f64,
}

/// An engine that may prefill a part.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a upstream::Upstream,
    /// The time until the engine begins with the part, in milliseconds.
    wait_ms: f64,
}

impl<'a> Candidate<'a> {
    fn new(
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        upstream: &'a upstream::Upstream,
    ) -> Candidate<'a> {
        Candidate {
            upstream,
            wait_ms: upstream.wait_ms(now, timing),
        }
    }

    /// Returns the cost of the streams that a part of `ms` delays on the engine, in milliseconds.
    fn delay_cost_ms(&self, now: unit::Timestamp, timing: &engine::EngineTiming, ms: f64) -> f64 {
        self.upstream.streams_delayed_by(now, timing, ms) as f64 * DELAYED_STREAM_COST_MS
    }
}

/// The input for the division of a prompt into parts.
struct PrefillJob<'a> {
    now: unit::Timestamp,
    timing: &'a engine::EngineTiming,
    prompt: unit::Tokens,
    /// The time up to which a faster prefill costs other requests more than it gains, in
    /// milliseconds.
    relaxed_ms: f64,
    /// The engines that always prefill a part: those with reservations and the lead.
    required: Vec<Candidate<'a>>,
    /// The other candidates, in ascending order of their waiting time.
    optional: Vec<Candidate<'a>>,
}

/// A division of the prefill among the required engines and some of the optional ones.
struct Division<'a> {
    chosen: Vec<Candidate<'a>>,
    /// The time until the prefill is complete, in milliseconds.
    finish_ms: f64,
    /// The cost by which divisions are compared, in milliseconds.
    cost: f64,
}

impl<'a> PrefillJob<'a> {
    /// Divides the prefill evenly among the required engines and the `count` optional ones with the
    /// lowest cost.
    fn divide(&self, count: usize) -> Division<'a> {
        let parts = self.required.len() + count;
        let part_ms = self.timing.prefill_part_ms(self.prompt, parts);
        let delay_cost =
            |candidate: &Candidate<'_>| candidate.delay_cost_ms(self.now, self.timing, part_ms);
        let optional = self.optional.iter();
        let mut ranked: Vec<_> = optional
            .map(|candidate| (delay_cost(candidate), *candidate))
            .collect();
        let cost = |(delay_cost, candidate): &(f64, Candidate<'_>)| candidate.wait_ms + delay_cost;
        ranked.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        ranked.truncate(count);
        let required = self
            .required
            .iter()
            .map(|candidate| (delay_cost(candidate), *candidate));
        let mut longest_wait = 0.0_f64;
        let mut total_delay_cost = 0.0;
        for (delay_cost, candidate) in required.chain(ranked.iter().copied()) {
            longest_wait = longest_wait.max(candidate.wait_ms);
            total_delay_cost += delay_cost;
        }
        let finish_ms = longest_wait + part_ms;
        let excess_ms = (finish_ms - self.relaxed_ms).max(0.0);
        Division {
            chosen: ranked.into_iter().map(|(_, candidate)| candidate).collect(),
            finish_ms,
            cost: finish_ms * RELAXED_WEIGHT
                + excess_ms
                + total_delay_cost
                + parts as f64 * PART_COST_MS,
        }
    }
}

impl planner::Planner {
    /// Returns the engines of the prefill set that may help a lead.
    ///
    /// This answers bursts of long prompts: an engine that is asked for more parts than it accepts
    /// declines the complete request.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NoHelper`] if all of them help as many leads as they accept.
    pub(super) fn helper_candidates<'a>(
        &'a self,
        now: unit::Timestamp,
        lead: &grant::UpstreamAddress,
        request: &'a plan::PlanRequest,
    ) -> error::Result<Vec<&'a upstream::Upstream>> {
        let (accepting, full): (Vec<_>, Vec<_>) = self
            .candidates(now, request)
            .filter(|upstream| self.prefill_set.contains(upstream.name()))
            .filter(|upstream| *upstream.name() != lead.upstream)
            .filter(|upstream| self.can_help(now, request, upstream))
            .partition(|upstream| upstream.accepts_part());
        if accepting.is_empty() && !full.is_empty() {
            return Err(error::Error::NoHelper);
        }
        Ok(accepting)
    }

    /// Returns `true` if an engine may prefill a part of the prompt of a request.
    pub(super) fn can_help(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        upstream: &upstream::Upstream,
    ) -> bool {
        let zone = &request.availability_zone;
        self.is_usable(request, upstream)
            && self.health.is_reliable(now, zone, upstream)
            && self.ejections.is_serving(upstream.name())
            && self.health.failure_rate(now, upstream.name()) < MAX_FAILURE_RATE
    }

    /// Chooses the helpers of a lead: the division with the lowest cost, which weighs the time of
    /// the prefill against the streams that it delays and the number of parts.
    pub(super) fn choose_helpers(
        &self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        candidates: Vec<&upstream::Upstream>,
        request: HelperRequest<'_>,
    ) -> HelperSelection {
        let is_reserved = |upstream: &upstream::Upstream| {
            let mut reservations = request.reservations.iter();
            reservations.any(|helper| helper.engine.upstream == *upstream.name())
        };
        // An engine prefills at most one part of a prompt.
        let optional = candidates.into_iter().filter(|u| !is_reserved(u));
        let mut optional: Vec<_> = optional.map(|u| Candidate::new(now, timing, u)).collect();
        optional.sort_by(|a, b| a.wait_ms.total_cmp(&b.wait_ms));
        optional.truncate(MAX_CANDIDATES);
        let reserved = request.reservations.iter().map(|helper| &helper.engine);
        let required = reserved.chain([request.lead]);
        let required = required.filter_map(|engine| self.upstreams.get(&engine.upstream));
        let required: Vec<_> = required.map(|u| Candidate::new(now, timing, u)).collect();
        let min_count = usize::from(!optional.is_empty() && request.reservations.is_empty());
        let max_count = optional.len().min(MAX_HELPERS - request.reservations.len());
        let job = PrefillJob {
            now,
            timing,
            prompt: request.prompt,
            relaxed_ms: request.objective.first_event.0 as f64 * RELAXED_FRACTION,
            required,
            optional,
        };
        let divisions = (min_count..=max_count).map(|count| job.divide(count));
        let best = divisions.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut helpers = request.reservations;
        let finish_ms = best.as_ref().map_or(0.0, |best| best.finish_ms);
        let chosen = best.into_iter().flat_map(|best| best.chosen);
        helpers.extend(chosen.map(|candidate| plan::Helper {
            engine: candidate.upstream.address(),
            reserve: None,
        }));
        HelperSelection { helpers, finish_ms }
    }
}
