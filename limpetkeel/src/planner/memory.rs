//! The memory of the engines of a pool: what is free, when more will be, and its division among the
//! parts of a prompt.

use crate::{
    engine, error, grant, name, plan,
    planner::{self, helpers, long_prompt, upstream, waiting},
    request_size, unit,
};

/// When a plan that has lasted longer than expected is assumed to end, from now.
const OVERDUE_END: unit::Millis = unit::Millis(200);

/// The memory that a prompt may use on an engine.
#[derive(Clone, Copy)]
pub(super) struct EngineMemory<'a> {
    pub(super) upstream: &'a upstream::Upstream,
    pub(super) free: unit::Tokens,
}

/// Divides memory among the fewest engines that have enough, at most `max_parts`. The parts are as
/// even as the free memory allows.
///
/// Returns `None` if the engines have too little.
pub(super) fn divide(
    memory: unit::Tokens,
    mut engines: Vec<EngineMemory<'_>>,
    max_parts: usize,
) -> Option<Vec<EngineMemory<'_>>> {
    engines.sort_by_key(|engine| std::cmp::Reverse(engine.free));
    engines.truncate(max_parts);
    let mut total = unit::Tokens::ZERO;
    let enough = engines.iter().position(|engine| {
        total += engine.free;
        total >= memory
    });
    engines.truncate(enough? + 1);
    let mut rest = memory;
    for index in (0..engines.len()).rev() {
        let even_part = unit::Tokens(rest.0.div_ceil(index as u64 + 1));
        engines[index].free = engines[index].free.min(even_part);
        rest = rest.saturating_sub(engines[index].free);
    }
    Some(engines)
}

/// The memory of an engine over time, according to the expected ends of its plans.
struct MemoryForecast<'a> {
    upstream: &'a upstream::Upstream,
    usable: unit::Tokens,
    /// What plans use now, and what is set aside for the prompts that come first.
    taken: unit::Tokens,
    /// The expected ends of the plans and the memory that they free, in ascending order.
    releases: Vec<(unit::Timestamp, unit::Tokens)>,
}

impl<'a> MemoryForecast<'a> {
    /// Returns the memory that will be free at a time.
    fn free_at(&self, time: unit::Timestamp) -> unit::Tokens {
        let ended = self.releases.iter().take_while(|(end, _)| *end <= time);
        let freed: unit::Tokens = ended.map(|(_, tokens)| *tokens).sum();
        (self.usable + freed).saturating_sub(self.taken)
    }

    /// Returns when so much memory will be free, or when the last plan ends.
    fn free_from(&self, now: unit::Timestamp, memory: unit::Tokens) -> unit::Timestamp {
        let mut freed = self.usable;
        if freed >= self.taken + memory {
            return now;
        }
        let ends = self.releases.iter().find(|(_, tokens)| {
            freed += *tokens;
            freed >= self.taken + memory
        });
        ends.or(self.releases.last()).map_or(now, |(end, _)| *end)
    }

    fn at(&self, time: unit::Timestamp) -> EngineMemory<'a> {
        EngineMemory {
            upstream: self.upstream,
            free: self.free_at(time),
        }
    }
}

/// Divides memory among the engines that have enough at the earliest time.
fn divide_earliest(
    now: unit::Timestamp,
    memory: unit::Tokens,
    forecasts: &[MemoryForecast<'_>],
    max_parts: usize,
) -> Option<Vec<waiting::MemoryPart>> {
    let ends = forecasts.iter().flat_map(|forecast| &forecast.releases);
    let mut times: Vec<_> = ends.map(|(end, _)| *end).chain([now]).collect();
    times.sort();
    times.dedup();
    let divide_at = |time: unit::Timestamp| {
        let engines = forecasts.iter().map(|forecast| forecast.at(time)).collect();
        divide(memory, engines, max_parts)
    };
    let earliest = times.partition_point(|time| divide_at(*time).is_none());
    let parts = divide_at(*times.get(earliest)?)?;
    let parts = parts.into_iter().map(|part| waiting::MemoryPart {
        upstream: part.upstream.name().clone(),
        tokens: part.free,
    });
    Some(parts.collect())
}

/// The free memory of a pool, as its planner accounts for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreeMemory {
    /// The number of engines in the prefill set.
    pub prefill_engines: usize,
    /// The free memory of the prefill set.
    pub prefill: unit::Tokens,
    /// The largest free memory of an engine in the prefill set.
    pub largest_prefill: unit::Tokens,
    /// The number of engines outside the prefill set.
    pub other_engines: usize,
    /// The free memory outside the prefill set.
    pub other: unit::Tokens,
    /// The largest free memory of an engine outside the prefill set.
    pub largest_other: unit::Tokens,
    /// The number of requests that wait for their turn.
    pub waiting_requests: usize,
    /// The memory that is set aside for them.
    pub set_aside: unit::Tokens,
}

impl planner::Planner {
    /// Returns the memory that a request may use on an engine, which excludes what is set aside for
    /// requests that come first.
    pub(super) fn free_for(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        upstream: &upstream::Upstream,
        usable_memory: unit::Tokens,
    ) -> unit::Tokens {
        let set_aside = self.waiting.set_aside_before(now, request, upstream.name());
        upstream
            .free_memory(usable_memory)
            .saturating_sub(set_aside)
    }

    fn forecast<'a>(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        usable: unit::Tokens,
        upstream: &'a upstream::Upstream,
    ) -> MemoryForecast<'a> {
        let mut releases: Vec<_> = upstream
            .memory_uses()
            .map(|(id, tokens)| {
                let end = self
                    .plans
                    .get(&id)
                    .map_or(now, |record| record.expected_end);
                (end.max(now.after(OVERDUE_END)), tokens)
            })
            .collect();
        releases.sort();
        let set_aside = self.waiting.set_aside_before(now, request, upstream.name());
        MemoryForecast {
            upstream,
            usable,
            taken: upstream.memory() + set_aside,
            releases,
        }
    }

    /// Lets a prompt wait for memory, which is set aside for it if it is its turn. Returns the error
    /// for its request.
    pub(super) fn wait_for_memory(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        request: &plan::PlanRequest,
        lead: &grant::UpstreamAddress,
    ) -> error::Error {
        let usable = long_prompt::usable_memory(timing);
        self.waiting
            .renew(now, request, timing.prefill_ms(request.size.prompt));
        self.renew_set_aside(now, request, usable, lead);
        let id = request.waiting_id;
        let own = self.waiting.parts(id);
        let awaited: Vec<_> = if own.is_empty() {
            self.waiting.all_parts().collect()
        } else {
            own.iter().collect()
        };
        let free_from = awaited.iter().filter_map(|part| {
            let upstream = self.upstreams.get(&part.upstream)?;
            let forecast = self.forecast(now, request, usable, upstream);
            Some(forecast.free_from(now, part.tokens))
        });
        let Some(expected_at) = free_from.max() else {
            // The engines that have enough memory together cannot be reached now.
            self.waiting.remove(id);
            return error::Error::NoHelper;
        };
        self.wait_in_turn(now, timing, request, expected_at.since(now))
    }

    /// Gives back what is set aside for a prompt on engines that it cannot use, and sets aside what
    /// it lacks where it is expected to be free first.
    fn renew_set_aside(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        usable: unit::Tokens,
        lead: &grant::UpstreamAddress,
    ) {
        let id = request.waiting_id;
        let can_help = |name: &name::UpstreamName| {
            let upstream = self.upstreams.get(name);
            upstream.is_some_and(|upstream| self.can_help(now, request, upstream))
        };
        let parts = self.waiting.parts(id).iter().map(|part| &part.upstream);
        let lost: Vec<_> = parts.filter(|name| !can_help(name)).cloned().collect();
        self.waiting.retain_usable(id, |name| !lost.contains(name));
        let pool_memory = unit::Tokens(usable.0 * self.open_upstream_count() as u64);
        let lacking = self.waiting.take_allowance(id, pool_memory);
        if lacking == unit::Tokens::ZERO {
            return;
        }
        let max_parts = helpers::MAX_HELPERS.saturating_sub(self.waiting.parts(id).len());
        let forecasts = |may_be_outside: bool| -> Vec<_> {
            self.upstreams
                .values()
                .filter(|upstream| may_be_outside || self.prefill_set.contains(upstream.name()))
                .filter(|upstream| *upstream.name() != lead.upstream)
                .filter(|upstream| !self.waiting.holds_part_on(id, upstream.name()))
                .filter(|upstream| self.can_help(now, request, upstream))
                .map(|upstream| self.forecast(now, request, usable, upstream))
                .collect()
        };
        // The prefill set of a small pool may be too small for the prompt, even if it is idle.
        let parts = divide_earliest(now, lacking, &forecasts(false), max_parts)
            .or_else(|| divide_earliest(now, lacking, &forecasts(true), max_parts));
        if let Some(parts) = parts {
            self.waiting.set_aside(id, parts);
        }
    }

    /// Checks that the engines that one request may use can hold a prompt.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::PromptTooLong`] if they cannot.
    pub(super) fn check_prompt_length(
        &self,
        usable: unit::Tokens,
        size: request_size::RequestSize,
    ) -> error::Result<()> {
        let helpers = self.open_upstream_count().saturating_sub(1);
        let helpers = helpers.min(helpers::MAX_HELPERS) as u64;
        let lead_memory = usable.saturating_sub(size.output);
        let longest = unit::Tokens(usable.0 * helpers) + lead_memory;
        if size.prompt > longest {
            return Err(error::Error::PromptTooLong(longest));
        }
        Ok(())
    }

    /// Returns the free memory of the engines that a request may use.
    pub fn free_memory(&self, request: &plan::PlanRequest) -> FreeMemory {
        let mut free_memory = FreeMemory {
            waiting_requests: self.waiting.len(),
            set_aside: self.waiting.total_set_aside(),
            ..FreeMemory::default()
        };
        let Some(timing) = self.timing else {
            return free_memory;
        };
        let usable_memory = long_prompt::usable_memory(&timing);
        let upstreams = self.upstreams.values();
        let available =
            upstreams.filter(|upstream: &&upstream::Upstream| self.is_usable(request, upstream));
        for upstream in available {
            let free = upstream.free_memory(usable_memory);
            if self.prefill_set.contains(upstream.name()) {
                free_memory.prefill_engines += 1;
                free_memory.prefill += free;
                free_memory.largest_prefill = free_memory.largest_prefill.max(free);
            } else {
                free_memory.other_engines += 1;
                free_memory.other += free;
                free_memory.largest_other = free_memory.largest_other.max(free);
            }
        }
        free_memory
    }
}
