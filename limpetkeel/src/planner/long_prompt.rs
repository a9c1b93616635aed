//! Planning of prompts that several engines prefill.

use crate::{
    engine, error, grant, plan,
    planner::{self, PREFILL_SET_COST_MS, helpers, memory, screening, upstream},
    unit,
};

/// The percentage of an engine's memory that plans may use. The rest absorbs responses that are
/// longer than expected.
const USABLE_MEMORY_PERCENT: u8 = 92;

/// The number of parts that is assumed when the lead is chosen. It corresponds to the usual size of
/// the prefill set outside of bursts; a smaller set means larger parts.
const ASSUMED_PARTS: usize = 6;

/// The cost of a lead for each stream with a short prompt that it decodes, in milliseconds. It is
/// lower than that of a delayed stream, since it counts long prompts that are planned there later.
const SHORT_STREAM_COST_MS: f64 = 75.0;

/// The cost of a lead without enough free memory for the request, in milliseconds. It is ten times
/// that of a lead in the prefill set, since the reservations on other engines may fail.
const INSUFFICIENT_MEMORY_COST_MS: f64 = 10.0 * PREFILL_SET_COST_MS;

/// The cost of a lead on which memory is set aside for the request, in milliseconds. The memory is
/// meant for a part.
const HELD_PART_COST_MS: f64 = INSUFFICIENT_MEMORY_COST_MS;

/// The cost of a lead that could not be reached recently, in milliseconds. It exceeds the other
/// penalties, but such a lead is still preferred to refusing the request.
const UNRELIABLE_COST_MS: f64 = 10_000.0;

/// Returns the memory of an engine that plans may use.
pub(super) fn usable_memory(timing: &engine::EngineTiming) -> unit::Tokens {
    timing.memory().percent(USABLE_MEMORY_PERCENT)
}

impl planner::Planner {
    /// Plans a prompt that engines of the prefill set prefill for a lead, which decodes the stream.
    pub(super) fn plan_long_prompt(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        request: &plan::PlanRequest,
        isolation: screening::Isolation,
    ) -> error::Result<plan::Plan> {
        let prompt = request.size.prompt;
        if !self.waiting.contains(request.waiting_id) {
            self.prefill_set.add_demand(now, timing.prefill_ms(prompt));
        }
        self.resize_prefill_set(now, Some(timing), request);
        let usable_memory = usable_memory(timing);
        self.check_prompt_length(usable_memory, request.size)?;
        self.check_prefill(now, timing, request)?;
        let (lead, fits) = self.choose_lead(now, timing, request, usable_memory, isolation)?;
        let candidates = self.helper_candidates(now, &lead, request)?;
        let reservations = if fits {
            Some(Vec::new())
        } else {
            self.choose_reservations(now, &candidates, &lead, request, usable_memory)
        };
        let Some(reservations) = reservations else {
            return Err(self.wait_for_memory(now, timing, request, &lead));
        };
        let helper_request = helpers::HelperRequest {
            prompt,
            objective: request.objective,
            lead: &lead,
            reservations,
        };
        let selection = self.choose_helpers(now, timing, candidates, helper_request);
        Ok(plan::Plan {
            id: request.id,
            lead,
            helpers: selection.helpers,
            estimate: unit::Millis((selection.finish_ms + self.prefill_delay.ms(now)) as u64),
            timeliness: plan::Timeliness::InTime,
        })
    }

    /// Chooses the lead of a long prompt. Also returns `true` if the lead has enough free memory for
    /// the complete request.
    fn choose_lead(
        &self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        request: &plan::PlanRequest,
        usable_memory: unit::Tokens,
        isolation: screening::Isolation,
    ) -> error::Result<(grant::UpstreamAddress, bool)> {
        let fits = |upstream: &upstream::Upstream| {
            self.free_for(now, request, upstream, usable_memory) >= request.size.memory()
        };
        let zone = &request.availability_zone;
        let part = timing.prefill_part_ms(request.size.prompt, ASSUMED_PARTS);
        let cost = |upstream: &upstream::Upstream| {
            let in_prefill_set = self.prefill_set.contains(upstream.name());
            let delayed = upstream.streams_delayed_by(now, timing, part) as f64;
            let short_streams = upstream.stream_count_of(upstream::PromptLength::Short) as f64;
            let base_estimate = upstream.estimate(
                now,
                Some(timing),
                Default::default(),
                plan::Timeliness::InTime,
            );
            base_estimate
                + self.failure_and_zone_cost(now, upstream, request)
                + planner::isolation_cost(upstream, isolation)
                + delayed * helpers::DELAYED_STREAM_COST_MS
                + short_streams * SHORT_STREAM_COST_MS
                + if fits(upstream) {
                    0.0
                } else {
                    INSUFFICIENT_MEMORY_COST_MS
                }
                + if self
                    .waiting
                    .holds_part_on(request.waiting_id, upstream.name())
                {
                    HELD_PART_COST_MS
                } else {
                    0.0
                }
                + if self.health.is_reliable(now, zone, upstream) {
                    0.0
                } else {
                    UNRELIABLE_COST_MS
                }
                + if in_prefill_set {
                    PREFILL_SET_COST_MS
                } else {
                    0.0
                }
        };
        self.candidates(now, request)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|lead| (lead.address(), fits(lead)))
            .ok_or_else(|| self.no_candidate())
    }

    /// Chooses the engines that reserve memory for a prompt that does not fit into the memory of its
    /// lead: as few engines of the prefill set as possible. What they lack stays on the lead.
    ///
    /// The parts are so large that they would stall the streams of engines outside the set. Those are
    /// used only if memory is set aside there. Returns `None` if the engines have too little memory.
    fn choose_reservations(
        &self,
        now: unit::Timestamp,
        candidates: &[&upstream::Upstream],
        lead: &grant::UpstreamAddress,
        request: &plan::PlanRequest,
        usable_memory: unit::Tokens,
    ) -> Option<Vec<plan::Helper>> {
        let prompt = request.size.prompt;
        let free_for = |upstream| self.free_for(now, request, upstream, usable_memory);
        let set_aside = self.waiting.parts(request.waiting_id).iter();
        let set_aside = set_aside.filter_map(|part| self.upstreams.get(&part.upstream));
        let outside: Vec<_> = set_aside
            .filter(|upstream| !self.prefill_set.contains(upstream.name()))
            .filter(|upstream| *upstream.name() != lead.upstream && upstream.accepts_part())
            .collect();
        let engines = || {
            let engines = candidates.iter().chain(&outside);
            let engines = engines.map(|upstream| memory::EngineMemory {
                upstream,
                free: free_for(upstream),
            });
            engines.filter(|engine| engine.free.0 > 0).collect()
        };
        let on_lead = || {
            let lead_free = self.upstreams.get(&lead.upstream).map(free_for);
            lead_free
                .unwrap_or_default()
                .saturating_sub(request.size.output)
        };
        let parts = memory::divide(prompt, engines(), helpers::MAX_HELPERS).or_else(|| {
            let rest = prompt.saturating_sub(on_lead());
            memory::divide(rest, engines(), helpers::MAX_HELPERS)
        })?;
        let helpers = parts.iter().map(|part| plan::Helper {
            engine: part.upstream.address(),
            reserve: Some(part.free),
        });
        Some(helpers.collect())
    }
}
