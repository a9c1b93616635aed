//! Collects what is logged and counted when a request ends, including when its deadline passes in
//! the middle of a step.

use limpetkeel::{
    Error, Millis, NoRetryReason, Outcome, Plan, PoolName, RelayedRequest, Routed, Timestamp,
    UpstreamName,
};

use crate::relay::{availability, caller_request, port, response_writer, shared};

/// Retry delay sent to a caller whose request did not run, unless the upstreams have named one.
const RETRY_AFTER: Millis = Millis(400);

/// The reason why a request ended without an upstream response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The planner refused to place the request.
    NoPlan,
    /// Upstreams crashed on the request or a part of its prompt, which is on trial or quarantined.
    PartHeldBack {
        /// The time until another such request may be admitted.
        retry_after: Millis,
    },
    /// Upstreams crashed on this request before, and it is not run again.
    RequestQuarantined,
    /// The request would have waited too long for the capacity of upstreams.
    NoCapacity {
        /// The time until capacity is expected.
        retry_after: Millis,
    },
    /// Connecting to upstreams or reserving memory on them failed too often.
    Unreachable,
    /// Every plan contained an upstream that the local tables rule out.
    StalePlans,
    /// A retry is not allowed.
    NoRetry(NoRetryReason),
    /// The shared retry budget is exhausted.
    NoBudget,
    /// The deadline passed.
    DeadlineExceeded,
    /// The instance had to stop before the deadline.
    DrainEnded,
}

impl FailureReason {
    /// Returns the reason that corresponds to the refusal of a planner.
    pub fn from_refusal(refusal: &Error) -> FailureReason {
        match *refusal {
            Error::PartHeldBack { retry_after } => FailureReason::PartHeldBack { retry_after },
            Error::RequestQuarantined => FailureReason::RequestQuarantined,
            Error::NoCapacity { retry_after } => FailureReason::NoCapacity { retry_after },
            _ => FailureReason::NoPlan,
        }
    }

    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            FailureReason::NoPlan => "no_plan",
            FailureReason::PartHeldBack { .. } => "part_held_back",
            FailureReason::RequestQuarantined => "request_quarantined",
            FailureReason::NoCapacity { .. } => "no_capacity",
            FailureReason::Unreachable => "unreached",
            FailureReason::StalePlans => "stale_plans",
            FailureReason::NoRetry(NoRetryReason::MayHaveRun) => "may_have_run",
            FailureReason::NoRetry(NoRetryReason::MaxSendsReached) => "sends_used",
            FailureReason::NoRetry(NoRetryReason::DeadlineTooClose) => "out_of_time",
            FailureReason::NoBudget => "no_budget",
            FailureReason::DeadlineExceeded => "time_up",
            FailureReason::DrainEnded => "drain_ended",
        }
    }
}

/// The result of a request from the caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestResult {
    /// A stream was delivered to its end.
    Streamed,
    /// The complete response of an upstream was returned.
    Completed,
    /// A refusal was returned, which states that the request did not run.
    NotRun,
    /// The request failed in any other way.
    Failed,
    /// The caller disconnected.
    Abandoned,
}

impl RequestResult {
    /// Returns the result that corresponds to a response.
    pub fn from_response(response: &response_writer::Response) -> RequestResult {
        match response {
            response_writer::Response::Stream(..) => RequestResult::Streamed,
            response_writer::Response::Complete(_) => RequestResult::Completed,
            response_writer::Response::Refusal(port::Refusal::NotRun(_)) => RequestResult::NotRun,
            response_writer::Response::Refusal(_) => RequestResult::Failed,
        }
    }

    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            RequestResult::Streamed => "streamed",
            RequestResult::Completed => "answered",
            RequestResult::NotRun => "not_run",
            RequestResult::Failed => "failed",
            RequestResult::Abandoned => "abandoned",
        }
    }
}

/// The durations of a request.
#[derive(Clone, Copy, Debug)]
pub struct Durations {
    /// From arrival to the end of the request.
    elapsed: Millis,
    /// From arrival to the first event, or `None` without events.
    to_first_event: Option<Millis>,
    /// The longest time between two consecutive events.
    longest_gap: Millis,
    /// From the last event to the end, or `None` without events.
    since_last_event: Option<Millis>,
}

impl Durations {
    /// Computes the durations of a request that ends at `now`.
    pub fn new(
        now: Timestamp,
        received: Timestamp,
        writer: &response_writer::ResponseWriter,
    ) -> Durations {
        Durations {
            elapsed: now.since(received),
            to_first_event: writer.first_event_at().map(|at| at.since(received)),
            longest_gap: writer.longest_gap(),
            since_last_event: writer.last_event_at().map(|at| now.since(at)),
        }
    }
}

/// The state of a request that is logged and counted when it ends.
#[derive(Default)]
pub struct RequestSummary {
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
    /// The number of times the request was sent to an upstream.
    pub sends: u32,
    last_upstream: Option<UpstreamName>,
    helper_count: usize,
    estimate: Millis,
    failure: Option<FailureReason>,
    /// The latest error response of an upstream. It is returned to the caller if no attempt
    /// succeeds.
    pub upstream_error: Option<response_writer::CompleteResponse>,
}

impl RequestSummary {
    /// Records the latest plan.
    pub fn record_plan(&mut self, plan: &Plan) {
        self.last_upstream = Some(plan.lead.upstream.clone());
        self.helper_count = plan.helpers.len();
        self.estimate = plan.estimate;
    }

    /// Records the state of the request after an attempt.
    pub fn record_attempt(&mut self, relayed: &RelayedRequest<Routed>) {
        self.may_have_run = relayed.outcome() != Outcome::NotRun;
        self.sends = relayed.send_count();
    }

    /// Returns the response to a failed request: the upstream's error response if there is one,
    /// otherwise a refusal for `reason`. The caller of a request that did not run is told when an
    /// upstream of the pool accepts requests again, if none does now.
    pub fn final_response(
        &mut self,
        shared: &shared::Shared,
        pool: &PoolName,
        reason: FailureReason,
    ) -> response_writer::Response {
        if let Some(error) = self.upstream_error.take() {
            return response_writer::Response::Complete(error);
        }
        self.failure = Some(reason);
        response_writer::Response::Refusal(match (self.may_have_run, reason) {
            (false, FailureReason::PartHeldBack { retry_after }) => {
                port::Refusal::NotRun(retry_after)
            }
            (false, FailureReason::NoCapacity { retry_after }) => {
                port::Refusal::NotRun(retry_after.max(RETRY_AFTER))
            }
            // A promise that the request did not run would invite the caller to repeat it.
            (_, FailureReason::RequestQuarantined) => port::Refusal::Failed,
            (false, _) => {
                let pool_pause = availability::pool_pause(shared, pool);
                port::Refusal::NotRun(pool_pause.unwrap_or(RETRY_AFTER))
            }
            (
                true,
                FailureReason::DeadlineExceeded
                | FailureReason::DrainEnded
                | FailureReason::NoRetry(NoRetryReason::DeadlineTooClose),
            ) => port::Refusal::TimedOut,
            (true, _) => port::Refusal::Failed,
        })
    }

    /// Logs the end of the request and updates the metrics.
    pub fn record(
        &self,
        shared: &shared::Shared,
        request: &caller_request::CallerRequest,
        result: RequestResult,
        durations: Durations,
    ) {
        let code = result.code();
        tracing::info!(
            event = "request_ended",
            request = %request.head.id,
            route = %request.admission.route.name(),
            version = request.version,
            prompt_tokens = request.head.size.prompt.0,
            result = code,
            reason = self.failure.map_or("", FailureReason::code),
            sends = self.sends,
            last_upstream = self.last_upstream.as_ref().map_or("", |name| name.as_str()),
            helpers = self.helper_count,
            estimate_ms = self.estimate.0,
            first_ms = durations.to_first_event.map_or(0, |span| span.0),
            longest_pause_ms = durations.longest_gap.0,
            silent_ms = durations.since_last_event.map_or(0, |span| span.0),
            elapsed_ms = durations.elapsed.0,
        );
        let form = match request.admission.route.form() {
            limpetkeel::ResponseForm::Complete => "whole",
            limpetkeel::ResponseForm::Stream => "stream",
        };
        let relay = &shared.metrics.relay;
        relay.requests.with_label_values(&[form, code]).inc();
        if result == RequestResult::Abandoned {
            relay.abandoned_requests.inc();
        }
        if let Some(reason) = self.failure {
            relay.refusals.with_label_values(&[reason.code()]).inc();
        }
    }
}
