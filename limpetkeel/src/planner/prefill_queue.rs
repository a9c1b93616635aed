//! The limit on the prefill that long prompts have in progress on the engines.
//!
//! A prompt that waits inside an engine uses memory there and cannot be reordered. Therefore prompts
//! with a long objective wait in the waiting list until the prefill set has caught up.

use crate::{
    engine, error, plan,
    planner::{self, helpers, ledger, long_prompt, waiting},
    request_size, unit,
};

/// The prefill in progress for each engine of the prefill set beyond which prompts wait, in
/// milliseconds. The last part of a prompt ends a few passes after the first, so that less would
/// leave engines idle.
const MAX_PREFILL_MS: f64 = 1_500.0;

/// Prompts with a shorter objective do not wait: it would be missed.
const MIN_WAITING_OBJECTIVE: unit::Millis = unit::Millis(3_000);

/// How much longer than twice its estimate a prefill counts as in progress if its response is not
/// reported.
const MAX_PREFILL_DELAY: unit::Millis = unit::Millis(2_000);

/// The weight of one response in the delay of long prompts. The last of many parts ends later than
/// the backlogs of the engines suggest, since every part waits for the pass in progress. The delay
/// belongs to no single engine.
pub(super) const DELAY_WEIGHT: f64 = 0.1;

/// The half-life of the delay of long prompts, in milliseconds. It is about the time that one takes
/// under load.
pub(super) const DELAY_HALF_LIFE_MS: f64 = 5_000.0;

/// Returns the shortest expected time from the plan of a long prompt to the end of its response, in
/// milliseconds. A step costs the context of the largest part.
fn run_ms(timing: &engine::EngineTiming, size: request_size::RequestSize) -> f64 {
    let usable = long_prompt::usable_memory(timing).0.max(1);
    let holders = size.prompt.0.div_ceil(usable).max(1);
    let largest_part = unit::Tokens(size.prompt.0 / holders);
    timing.prefill_part_ms(size.prompt, helpers::MAX_HELPERS + 1)
        + timing.decode_ms(ledger::expected_output(size), 1, largest_part)
}

impl planner::Planner {
    /// Checks that the prefill set has caught up far enough for a long prompt.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::AwaitingCapacity`] or [`error::Error::NoCapacity`] if it has not.
    pub(super) fn check_prefill(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        request: &plan::PlanRequest,
    ) -> error::Result<()> {
        if request.objective.first_event < MIN_WAITING_OBJECTIVE {
            return Ok(());
        }
        let in_progress = self.plans.values().filter(|record| {
            let usual = unit::Millis(record.estimate.0.saturating_mul(2));
            record.is_prefilling() && now.since(record.planned_at) < usual + MAX_PREFILL_DELAY
        });
        let in_progress_ms: f64 = in_progress.map(ledger::PlanRecord::prefill_ms).sum();
        let ahead_ms = in_progress_ms + self.waiting.prefill_ms_before(now, request);
        let wait_ms = ahead_ms / self.prefill_set.len().max(1) as f64 - MAX_PREFILL_MS;
        if wait_ms <= 0.0 {
            return Ok(());
        }
        let expected_in = unit::Millis(wait_ms as u64);
        if expected_in > waiting::longest_wait(request) {
            return Err(self.waiting.refuse(request, expected_in));
        }
        self.waiting
            .renew(now, request, timing.prefill_ms(request.size.prompt));
        Err(self.wait_in_turn(now, timing, request, expected_in))
    }

    /// Returns the error for the request of a waiting prompt. A prompt that would miss its deadline
    /// does not wait.
    pub(super) fn wait_in_turn(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        request: &plan::PlanRequest,
        expected_in: unit::Millis,
    ) -> error::Error {
        let run_ms = self.prefill_delay.ms(now) + run_ms(timing, request.size);
        let end_ms = expected_in.0 as f64 + run_ms;
        if end_ms <= request.remaining.0 as f64 * planner::MAX_DEADLINE_FRACTION {
            return error::Error::AwaitingCapacity { expected_in };
        }
        self.waiting.refuse(request, expected_in)
    }
}
