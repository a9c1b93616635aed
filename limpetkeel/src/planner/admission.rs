//! The admission of requests that one engine serves alone, and their order under overload.
//!
//! In a surge of short prompts, all slots are taken and every request would wait about equally long, so
//! that none meets its objective. Therefore requests that will miss their objective anyway let those
//! pass that can still meet it, and a request whose caller would give up before its turn is refused at
//! once.

use crate::{error, grant, ingress, plan, planner, unit};

/// The shortest time without an event after which callers give up a stream.
const MIN_PATIENCE: unit::Millis = unit::Millis(2_000);

/// The time without an event after which callers give up a stream, as a multiple of the objective.
const OBJECTIVE_PATIENCE: u64 = 4;

/// The same time as a multiple of the longest gap that meets the objective.
const GAP_PATIENCE: u64 = 8;

/// The percentage of a caller's patience that the estimate of a late response may take. Requests in
/// time that arrive later delay it further.
const USABLE_PATIENCE_PERCENT: u8 = 80;

/// The shortest retry delay of a refused request. A surge lasts for seconds, and callers return once.
const MIN_RETRY_AFTER_MS: f64 = 1_000.0;

/// Returns how long a caller waits for an event of a stream.
fn patience(objective: ingress::LatencyObjective) -> unit::Millis {
    let by_objective = objective.first_event.0.saturating_mul(OBJECTIVE_PATIENCE);
    let by_gap = objective.max_gap.0.saturating_mul(GAP_PATIENCE);
    MIN_PATIENCE.max(unit::Millis(by_objective.max(by_gap)))
}

/// Returns when refused callers should return: at their expected turn, spread over as much time again,
/// so that they do not return together.
fn retry_after(id: grant::RequestId, estimate_ms: f64) -> unit::Millis {
    let spread = (id.0 % 1_000) as f64 / 1_000.0;
    unit::Millis((estimate_ms.max(MIN_RETRY_AFTER_MS) * (1.0 + spread)) as u64)
}

/// The upstream that may serve a request.
pub(super) struct Candidate {
    pub(super) lead: grant::UpstreamAddress,
    /// The expected time to the first token, in milliseconds.
    pub(super) estimate_ms: f64,
    pub(super) timeliness: plan::Timeliness,
}

impl Candidate {
    /// Returns `true` if the response is expected to begin within the objective.
    pub(super) fn meets_objective(&self, request: &plan::PlanRequest) -> bool {
        let objective = request.objective.first_event;
        self.estimate_ms <= objective.saturating_sub(request.waited).0 as f64
    }

    /// Admits the request.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::WouldMissDeadline`] or [`error::Error::NoCapacity`] if the response
    /// would come too late for its caller.
    pub(super) fn admit(self, request: &plan::PlanRequest) -> error::Result<plan::Plan> {
        if self.estimate_ms > request.remaining.0 as f64 * planner::MAX_DEADLINE_FRACTION {
            return Err(error::Error::WouldMissDeadline);
        }
        if self.timeliness == plan::Timeliness::Late && !request.may_have_run {
            let usable = patience(request.objective).percent(USABLE_PATIENCE_PERCENT);
            if self.estimate_ms > usable.saturating_sub(request.waited).0 as f64 {
                let retry_after = retry_after(request.id, self.estimate_ms);
                return Err(error::Error::NoCapacity { retry_after });
            }
        }
        Ok(plan::Plan {
            id: request.id,
            lead: self.lead,
            helpers: Vec::new(),
            estimate: unit::Millis(self.estimate_ms as u64),
            timeliness: self.timeliness,
        })
    }
}
