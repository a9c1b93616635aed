//! The memory of the engines of a pool, inside and outside the prefill set.

use crate::{
    plan,
    planner::{self, long_prompt, upstream},
    unit,
};

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
}

impl planner::Planner {
    /// Returns the free memory of the engines that a request may use.
    pub fn free_memory(&self, request: &plan::PlanRequest) -> FreeMemory {
        let mut free_memory = FreeMemory::default();
        let Some(timing) = self.timing else {
            return free_memory;
        };
        let usable_memory = long_prompt::usable_memory(&timing);
        let upstreams = self.upstreams.values();
        let available = upstreams
            .filter(|upstream: &&upstream::Upstream| planner::is_available(request, upstream));
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
