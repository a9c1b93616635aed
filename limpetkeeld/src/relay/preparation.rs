//! Prepares an attempt: obtains its plan, connects to the lead upstream and reserves memory on the
//! helpers.

use std::{mem, sync, time};

use limpetkeel::{
    AttemptResult, Error, Millis, Outcome, Plan, PlanProcesses, PlanRequest, PoolName,
    RelayedRequest, RequestId, Routed, Sent, StalePlan, UpstreamName,
};

use crate::{
    peer::message,
    relay::{
        availability, caller_request, drain, path, planning, request_summary, reservations,
        retry_budget, shared, upstream,
    },
};

/// Time between plan requests while the pool has no capacity.
const REPLAN_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Maximum time between plan requests while a request waits for its turn. A few of them fit into the
/// time for which the planner keeps it.
const MAX_REPLAN_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Maximum time a request waits for an upstream or a helper, as a share of its objective and capped
/// by [`MAX_CAPACITY_WAIT`]. The caller then receives a refusal with a retry delay.
const CAPACITY_WAIT_RATIO: f64 = 0.5;

/// Upper bound on the time a request waits for an upstream or a helper.
const MAX_CAPACITY_WAIT: Millis = Millis(2_000);

/// The reason why a plan could not be used.
pub enum PreparationFailure {
    /// An upstream could not be used.
    Unusable {
        /// The upstream at fault.
        at_fault: UpstreamName,
        /// The result that is reported to the planner.
        attempt_result: AttemptResult,
        /// The reason used in metrics and logs.
        reason: &'static str,
    },
    /// The plan contradicts the local tables.
    Stale(StalePlan),
}

/// Obtains a plan. While the pool has no upstream or no helper, waits for a share of the objective. A
/// request that waits for its turn does so until the planner refuses it.
///
/// # Errors
///
/// Returns the reason why the request is not sent.
pub async fn obtain_plan(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    relayed: &mut RelayedRequest<Routed>,
) -> Result<(Plan, planning::PlanGuard), request_summary::FailureReason> {
    let objective = request.admission.route.objective();
    let wait = Millis((objective.first_event.0 as f64 * CAPACITY_WAIT_RATIO) as u64)
        .min(MAX_CAPACITY_WAIT);
    let wait_until = shared.clock.now().after(wait);
    let mut is_waiting = false;
    loop {
        drain::limit_deadline(shared, relayed);
        let repeatable = retry_budget::is_repeatable(shared, relayed);
        let plan_request = build_plan_request(shared, request, relayed, repeatable);
        let refusal = match planning::obtain(shared, &plan_request, &request.head.id).await {
            Ok(planned) => return Ok(planned),
            Err(e) => e,
        };
        let interval = match refusal {
            Error::AwaitingCapacity { expected_in } => {
                if !mem::replace(&mut is_waiting, true) {
                    log_waiting(shared, request, expected_in);
                }
                expected_in
                    .duration()
                    .clamp(REPLAN_INTERVAL, MAX_REPLAN_INTERVAL)
            }
            Error::NoHelper | Error::NoUpstream(_) if shared.clock.now() < wait_until => {
                REPLAN_INTERVAL
            }
            _ => {
                tracing::info!(
                    event = "plan_refused",
                    request = %request.head.id,
                    pool = %plan_request.pool,
                    error = %refusal,
                );
                return Err(request_summary::FailureReason::from_refusal(&refusal));
            }
        };
        tokio::time::sleep(interval).await;
    }
}

/// Obtains the plan of a second attempt, which never uses the upstream of the first one or a cold
/// one. It does not wait.
///
/// # Errors
///
/// Returns the planner's refusal.
pub async fn obtain_hedge_plan(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    relayed: &RelayedRequest<Sent>,
) -> limpetkeel::Result<(Plan, planning::PlanGuard)> {
    // An upstream on trial is given repeatable requests first; a hedge is no trial.
    let mut plan_request = build_plan_request(shared, request, relayed, false);
    // A refused hedge must not take the place of a request that waits.
    plan_request.waiting_id = RequestId(rand::random());
    let unavailable = &mut plan_request.unavailable_upstreams;
    unavailable.push(relayed.plan().lead.upstream.clone());
    unavailable.extend(cold_upstreams(shared, &relayed.info().pool));
    planning::obtain(shared, &plan_request, &request.head.id).await
}

/// Returns the upstreams of a pool that are cold, as far as the local tables say.
fn cold_upstreams(shared: &shared::Shared, pool: &PoolName) -> Vec<UpstreamName> {
    let now = shared.clock.now();
    let tables = shared.tables.lock();
    let Some(limit) = tables.ingress.cold_limit(pool) else {
        return Vec::new();
    };
    let periods = tables.upstreams.cold_periods(now, pool).into_iter();
    let cold = periods.filter(|period| period.end(limit.lifetime) > now);
    cold.map(|period| period.upstream).collect()
}

/// Builds a plan request.
fn build_plan_request<S>(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    relayed: &RelayedRequest<S>,
    repeatable: bool,
) -> PlanRequest {
    let now = shared.clock.now();
    let pool = &relayed.info().pool;
    let mut unavailable_upstreams = availability::unavailable_upstreams(shared, pool);
    let known_revision = {
        let tables = shared.tables.lock();
        if !relayed.stale_upstreams().is_empty() {
            unavailable_upstreams.extend_from_slice(relayed.stale_upstreams());
            let (upstreams, evacuations) = (&tables.upstreams, &tables.evacuations);
            let ruled_out = limpetkeel::ruled_out_upstreams(upstreams, evacuations, pool);
            unavailable_upstreams.extend(ruled_out);
        }
        tables.known_revision(pool)
    };
    PlanRequest {
        id: RequestId(rand::random()),
        pool: pool.clone(),
        availability_zone: shared.settings.availability_zone.clone(),
        size: request.head.size,
        causes: request.causes(),
        objective: request.admission.route.objective(),
        remaining: relayed.deadline().since(now),
        waiting_id: request.waiting_id,
        waited: now.since(relayed.received()),
        may_have_run: relayed.outcome() != Outcome::NotRun,
        is_resumed: relayed.last_delivered_event().is_some(),
        excluded_upstreams: relayed.tried_upstreams().to_vec(),
        unavailable_upstreams,
        limits: availability::limit_notices(shared, pool),
        repeatable,
        planners: 1,
        known_revision,
    }
}

/// Logs and counts that a request waits for its turn.
fn log_waiting(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    expected_in: Millis,
) {
    shared.metrics.relay.capacity_waits.inc();
    tracing::info!(
        event = "awaiting_capacity",
        request = %request.head.id,
        prompt_tokens = request.head.size.prompt.0,
        expected_ms = expected_in.0,
    );
}

/// Connects to the lead upstream and reserves memory on its helpers.
///
/// # Errors
///
/// Returns the reason why the plan cannot be used. Nothing of the request has been sent by then.
pub async fn prepare(
    shared: &sync::Arc<shared::Shared>,
    pool: &PoolName,
    plan: &Plan,
) -> Result<(reservations::HelperGroup, upstream::Connection), PreparationFailure> {
    let mut processes = PlanProcesses::default();
    check_tables(shared, pool, plan, &mut processes)?;
    check_available(shared, plan)?;
    let reserving = reservations::HelperGroup::reserve(shared, plan.id, &plan.helpers);
    let connecting = path::connect(shared, &plan.lead, message::TunnelPurpose::Request);
    let (group, connection) = tokio::join!(reserving, connecting);
    let connection = connection.map_err(|e| PreparationFailure::Unusable {
        at_fault: plan.lead.upstream.clone(),
        attempt_result: AttemptResult::Unreachable,
        reason: e.code(),
    })?;
    let group = group.map_err(|e| match e {
        reservations::Error::Refused(at_fault) => PreparationFailure::Unusable {
            at_fault,
            attempt_result: AttemptResult::Declined,
            reason: "not_reserved",
        },
        reservations::Error::NoResponse(at_fault) => PreparationFailure::Unusable {
            at_fault,
            attempt_result: AttemptResult::Unreachable,
            reason: "reservation_unanswered",
        },
    })?;
    check_tables(shared, pool, plan, &mut processes)?;
    check_available(shared, plan)?;
    Ok((group, connection))
}

/// Checks that a plan does not contradict the tables of this instance, which may be newer than those
/// of its planner.
///
/// # Errors
///
/// Returns the first upstream that must not be used.
fn check_tables(
    shared: &shared::Shared,
    pool: &PoolName,
    plan: &Plan,
    processes: &mut PlanProcesses,
) -> Result<(), PreparationFailure> {
    let tables = shared.tables.lock();
    processes
        .check(&tables.upstreams, &tables.evacuations, pool, plan)
        .map_err(PreparationFailure::Stale)
}

/// Checks that all upstreams of a plan accept requests from this instance.
///
/// # Errors
///
/// Returns the first upstream that has said otherwise. This is no news to the planner's health
/// records, since other instances may still use the upstream.
fn check_available(shared: &shared::Shared, plan: &Plan) -> Result<(), PreparationFailure> {
    let Some(name) = availability::find_unavailable(shared, plan) else {
        return Ok(());
    };
    Err(PreparationFailure::Unusable {
        at_fault: name.clone(),
        attempt_result: AttemptResult::Inconclusive,
        reason: "unavailable",
    })
}
