//! Drives a request from its first plan through its attempts to the final response.

use std::{sync, time};

use limpetkeel::{
    AttemptResult, Plan, RelayedRequest, ResponseLimit, Routed, Sent, StalePlan, Timestamp,
    UpstreamName,
};

use crate::relay::{
    attempt, caller_request, drain, hedge, path, planning, preparation, request_summary,
    response_writer, retry_budget, shared, stream,
};

/// Number of failures to connect or to reserve memory after which a request is given up.
const MAX_FAILED_PREPARATIONS: u32 = 5;

/// Number of plans with an upstream that must not be used after which a request is given up. Plans
/// are only stale while tables change.
const MAX_STALE_PLANS: usize = 6;

/// How long a retry waits until the planner has the evidence of the attempt before it.
const MAX_EVIDENCE_WAIT: time::Duration = time::Duration::from_millis(100);

/// A request in progress. Dropping it logs the request and updates the metrics, also when the
/// caller disconnects.
struct ActiveRequest {
    shared: sync::Arc<shared::Shared>,
    request: caller_request::CallerRequest,
    received: Timestamp,
    writer: response_writer::ResponseWriter,
    summary: request_summary::RequestSummary,
    /// The result, or `None` while the request is in progress.
    result: Option<request_summary::RequestResult>,
}

impl ActiveRequest {
    async fn run(&mut self, relayed: RelayedRequest<Routed>) {
        let deadline = relayed.deadline();
        let pool = relayed.info().pool.clone();
        let serving = serve(
            &self.shared,
            &self.request,
            relayed,
            &mut self.writer,
            &mut self.summary,
        );
        let result = tokio::select! {
            biased;
            result = serving => result,
            reason = drain::deadline_passed(&self.shared, deadline) => Err(reason),
        };
        let response = match result {
            Ok(Completion::Streamed) => {
                self.result = Some(request_summary::RequestResult::Streamed);
                self.writer.complete_stream().await;
                return;
            }
            Ok(Completion::Abandoned) => return,
            Ok(Completion::Complete(response)) => response_writer::Response::Complete(response),
            Err(reason) => {
                let id = &self.request.head.id;
                drain::log_early_end(&self.shared, "driver", id, reason.code());
                self.summary.final_response(&self.shared, &pool, reason)
            }
        };
        self.result = Some(request_summary::RequestResult::from_response(&response));
        self.writer.finish(response);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        // A caller that disconnects aborts this task before a result is set.
        if self.result.is_none() {
            drain::log_early_end(&self.shared, "driver", &self.request.head.id, "aborted");
        }
        let result = self
            .result
            .unwrap_or(request_summary::RequestResult::Abandoned);
        let durations =
            request_summary::Durations::new(self.shared.clock.now(), self.received, &self.writer);
        self.summary
            .record(&self.shared, &self.request, result, durations);
    }
}

/// Serves a request and sends the response to `writer`.
pub async fn run(
    shared: sync::Arc<shared::Shared>,
    request: caller_request::CallerRequest,
    relayed: RelayedRequest<Routed>,
    writer: response_writer::ResponseWriter,
) {
    let mut active = ActiveRequest {
        shared,
        request,
        received: relayed.received(),
        writer,
        summary: request_summary::RequestSummary::default(),
        result: None,
    };
    active.run(relayed).await;
}

/// How a request was completed.
enum Completion {
    /// The complete response of an upstream, still to be sent to the caller.
    Complete(response_writer::CompleteResponse),
    /// A stream was forwarded to its end.
    Streamed,
    /// The caller disconnected.
    Abandoned,
}

/// The outcome of one attempt.
enum AttemptOutcome {
    /// The request is complete.
    Done(Completion),
    /// The request may be retried.
    Retry(RelayedRequest<Routed>),
}

/// The outcome of all attempts of a request.
enum RetryLoopOutcome {
    /// An attempt completed the request.
    Completed(Completion),
    /// No further attempt is allowed.
    GaveUp(RelayedRequest<Routed>, request_summary::FailureReason),
}

/// Runs the attempts of a request, and continues a stalled stream if all of them fail.
async fn serve(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    relayed: RelayedRequest<Routed>,
    writer: &mut response_writer::ResponseWriter,
    summary: &mut request_summary::RequestSummary,
) -> Result<Completion, request_summary::FailureReason> {
    let mut standby = None;
    match run_retry_loop(shared, request, relayed, &mut standby, writer, summary).await {
        RetryLoopOutcome::Completed(completion) => Ok(completion),
        RetryLoopOutcome::GaveUp(relayed, reason) => {
            let continued = continue_standby(shared, request, relayed, standby, writer).await;
            continued.ok_or(reason)
        }
    }
}

/// Makes attempts until one completes the request or no further attempt is allowed.
async fn run_retry_loop(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    mut relayed: RelayedRequest<Routed>,
    standby: &mut Option<stream::Standby>,
    writer: &mut response_writer::ResponseWriter,
    summary: &mut request_summary::RequestSummary,
) -> RetryLoopOutcome {
    let mut failed_preparations = 0;
    loop {
        let (plan, mut plan_guard) = match plan_attempt(shared, request, &mut relayed).await {
            Ok(planned) => planned,
            Err(reason) => return RetryLoopOutcome::GaveUp(relayed, reason),
        };
        let placed = relayed.place(plan);
        summary.record_plan(placed.plan());
        match preparation::prepare(shared, &placed.info().pool, placed.plan()).await {
            Ok((group, connection)) => {
                if let Err(retry_budget::Exhausted) = retry_budget::take(shared, &placed) {
                    return RetryLoopOutcome::GaveUp(
                        placed.into_unreachable(),
                        request_summary::FailureReason::NoBudget,
                    );
                }
                let prepared = attempt::PreparedAttempt {
                    plan_guard,
                    group,
                    connection,
                };
                let sent = placed.send();
                summary.may_have_run = true;
                summary.sends = sent.send_count();
                match run_attempt(shared, request, sent, prepared, standby, writer, summary).await {
                    AttemptOutcome::Done(completion) => {
                        return RetryLoopOutcome::Completed(completion);
                    }
                    AttemptOutcome::Retry(routed) => relayed = routed,
                }
                summary.record_attempt(&relayed);
            }
            Err(preparation::PreparationFailure::Stale(stale)) => {
                // Dropping the guard gives the plan back without an attempt result.
                record_stale_plan(shared, request, &stale);
                relayed = placed.into_stale(stale.upstream);
                if relayed.stale_upstreams().len() >= MAX_STALE_PLANS {
                    return RetryLoopOutcome::GaveUp(
                        relayed,
                        request_summary::FailureReason::StalePlans,
                    );
                }
            }
            Err(preparation::PreparationFailure::Unusable {
                at_fault,
                attempt_result,
                reason,
            }) => {
                plan_guard.record_attempt_result(&at_fault, attempt_result);
                record_failed_attempt(shared, request, &at_fault, reason);
                relayed = placed.into_unreachable();
                failed_preparations += 1;
                if failed_preparations >= MAX_FAILED_PREPARATIONS {
                    return RetryLoopOutcome::GaveUp(
                        relayed,
                        request_summary::FailureReason::Unreachable,
                    );
                }
            }
        }
    }
}

/// Obtains the plan for the next attempt, if another attempt is allowed.
async fn plan_attempt(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    relayed: &mut RelayedRequest<Routed>,
) -> Result<(Plan, planning::PlanGuard), request_summary::FailureReason> {
    drain::limit_deadline(shared, relayed);
    if relayed.send_count() > 0 {
        relayed
            .check_send(shared.clock.now())
            .map_err(request_summary::FailureReason::NoRetry)?;
    }
    preparation::obtain_plan(shared, request, relayed).await
}

/// Runs one attempt and reports its result to the planner.
async fn run_attempt(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    sent: RelayedRequest<Sent>,
    prepared: attempt::PreparedAttempt,
    standby: &mut Option<stream::Standby>,
    writer: &mut response_writer::ResponseWriter,
    summary: &mut request_summary::RequestSummary,
) -> AttemptOutcome {
    let started = hedge::start(shared, request, sent, prepared, writer.is_streaming()).await;
    let (mut sent, mut plan_guard) = (started.sent, started.plan_guard);
    summary.sends = sent.send_count();
    let lead_address = sent.plan().lead.clone();
    let lead = lead_address.upstream.clone();
    let peer = started.peer;
    let result = match started.begun {
        Ok(begun) => {
            let context = stream::StreamContext {
                plan_guard: &mut plan_guard,
                standby,
            };
            let deadline = started.response_deadline;
            attempt::forward(shared, request, &mut sent, begun, deadline, context, writer).await
        }
        Err(failure) => Err(failure),
    };
    let (at_fault, attempt_result, reason) = match result {
        Ok(response) => {
            plan_guard.record_success(&lead);
            return AttemptOutcome::Done(
                response.map_or(Completion::Streamed, Completion::Complete),
            );
        }
        Err(attempt::Failure::CallerDisconnected) => {
            return AttemptOutcome::Done(Completion::Abandoned);
        }
        Err(attempt::Failure::ErrorResponse(response))
            if !response.head.status.is_server_error() =>
        {
            plan_guard.record_attempt_result(&lead, AttemptResult::Succeeded);
            return AttemptOutcome::Done(Completion::Complete(response));
        }
        Err(attempt::Failure::ErrorResponse(response)) => {
            summary.upstream_error = Some(response);
            (lead, AttemptResult::Failed, "answered_error")
        }
        Err(attempt::Failure::Declined(at_fault)) => {
            let blamed = at_fault.clone().unwrap_or(lead);
            plan_guard.record_attempt_result(&blamed, AttemptResult::Declined);
            record_failed_attempt(shared, request, &blamed, "declined");
            return AttemptOutcome::Retry(sent.into_declined(at_fault));
        }
        Err(attempt::Failure::Stalled(stream)) => {
            let report = plan_guard.silence_report(&lead);
            path::report_silence(shared, lead_address, peer.clone(), report);
            record_failed_attempt(shared, request, &lead, "silent");
            let plan = sent.plan().clone();
            *standby = Some(stream::Standby {
                stream,
                plan,
                plan_guard,
                group: started.group,
                peer,
            });
            return AttemptOutcome::Retry(sent.into_failed());
        }
        Err(attempt::Failure::Failed(cause)) => {
            if let attempt::Cause::LimitExceeded(limit) = cause {
                record_exceeded_limit(shared, request, &lead, limit);
            }
            record_failed_attempt(shared, request, &lead, cause.code());
            let reporting = path::report_failure(shared, lead_address, peer, cause, plan_guard);
            if matches!(cause, attempt::Cause::Crashed | attempt::Cause::Broken) {
                // The planner needs the evidence before it plans a retry.
                let _ = tokio::time::timeout(MAX_EVIDENCE_WAIT, reporting).await;
            }
            return retry(shared, writer, sent);
        }
    };
    plan_guard.record_attempt_result(&at_fault, attempt_result);
    record_failed_attempt(shared, request, &at_fault, reason);
    retry(shared, writer, sent)
}

/// Returns a request whose attempt has failed for a retry, and counts a stream that goes on.
fn retry(
    shared: &shared::Shared,
    writer: &response_writer::ResponseWriter,
    sent: RelayedRequest<Sent>,
) -> AttemptOutcome {
    if writer.is_streaming() {
        shared.metrics.relay.resumed_streams.inc();
    }
    AttemptOutcome::Retry(sent.into_failed())
}

/// Continues to forward a stalled stream after the other attempts have failed.
async fn continue_standby(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    relayed: RelayedRequest<Routed>,
    standby: Option<stream::Standby>,
    writer: &mut response_writer::ResponseWriter,
) -> Option<Completion> {
    let mut standby = standby?;
    let lead = standby.plan.lead.clone();
    let mut sent = relayed.continue_attempt(standby.plan);
    let context = stream::StreamContext {
        plan_guard: &mut standby.plan_guard,
        standby: &mut None,
    };
    let result = standby
        .stream
        .run(
            shared, request, &mut sent,
            // The other attempts have failed, so that nothing is gained by giving this one up.
            None, context, writer,
        )
        .await;
    let failure = match result {
        Ok(()) => {
            standby.plan_guard.record_success(&lead.upstream);
            return Some(Completion::Streamed);
        }
        Err(stream::Failure::CallerDisconnected) => return Some(Completion::Abandoned),
        Err(failure) => failure,
    };
    let failure = attempt::stream_failure(failure, standby.stream.has_begun());
    if let attempt::Failure::Failed(cause) = failure {
        record_failed_attempt(shared, request, &lead.upstream, cause.code());
        path::report_failure(shared, lead, standby.peer, cause, standby.plan_guard);
    }
    None
}

/// Counts and logs a plan that contradicts the local tables.
fn record_stale_plan(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    stale: &StalePlan,
) {
    let reason = stale.reason.code();
    let stale_plans = &shared.metrics.relay.stale_plans;
    stale_plans.with_label_values(&[reason]).inc();
    tracing::info!(
        event = "plan_stale",
        request = %request.head.id,
        upstream = %stale.upstream,
        reason,
    );
}

/// Counts and logs a response that exceeds a limit.
fn record_exceeded_limit(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    upstream: &UpstreamName,
    limit: ResponseLimit,
) {
    let responses = &shared.metrics.relay.responses_over_limit;
    responses.with_label_values(&[limit.code()]).inc();
    tracing::warn!(
        event = "response_over_limit",
        request = %request.head.id,
        upstream = %upstream,
        limit = limit.code(),
    );
}

/// Counts and logs a failed attempt.
pub fn record_failed_attempt(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    at_fault: &UpstreamName,
    reason: &'static str,
) {
    let retries = &shared.metrics.relay.retries;
    retries.with_label_values(&[reason]).inc();
    tracing::info!(
        event = "attempt_failed",
        request = %request.head.id,
        upstream = %at_fault,
        reason,
        cause = %request.own_cause,
    );
}
