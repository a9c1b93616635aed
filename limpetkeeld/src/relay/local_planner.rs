//! The planners of the local instance: plans for its own requests and those of peers, and reports
//! about plans.

use std::collections;

use limpetkeel::{
    CauseDecision, ColdReport, EjectionDecision, Error, Plan, PlanRequest, PlanResult, Planner,
    PoolName, QuarantineUpdate, ReportedPlan, RequestId, Timestamp,
};

use crate::{
    peer::message,
    relay::{planning, quarantine, shared},
};

/// Applies a report to the local planner.
pub fn apply_plan_report(shared: &shared::Shared, report: &message::PlanReport) {
    match report {
        message::PlanReport::ActivePlans(reported_plans) => {
            apply_reported_plans(shared, reported_plans)
        }
        message::PlanReport::ResponseBegun(pool, id) => apply_response_begun(shared, pool, *id),
        message::PlanReport::PlanEnded(plan_result) => {
            apply_plan_result(shared, plan_result, Planner::record_result)
        }
        message::PlanReport::AttemptFailed(plan_result) => {
            apply_plan_result(shared, plan_result, Planner::record_failure)
        }
    }
}

/// Adds plans made by another planner to the local planners.
fn apply_reported_plans(shared: &shared::Shared, reported_plans: &[ReportedPlan]) {
    let now = shared.clock.now();
    let tables = shared.tables.lock();
    let mut planners = shared.planners.lock();
    for reported_plan in reported_plans {
        current_planner(now, &tables, &mut planners, &reported_plan.pool)
            .record_reported_plan(now, reported_plan);
    }
}

type Planners = collections::BTreeMap<PoolName, Planner>;

/// Returns the local planner of a pool, updated to the shared tables.
fn current_planner<'a>(
    now: Timestamp,
    tables: &shared::Tables,
    planners: &'a mut Planners,
    pool: &PoolName,
) -> &'a mut Planner {
    let generation = tables.upstreams.generation();
    let planner = planners
        .entry(pool.clone())
        .or_insert_with(|| Planner::new(pool.clone()));
    planner.set_timing(tables.ingress.timing(pool), tables.ingress.shortest_gap());
    let cold_limit = tables.ingress.cold_limit(pool);
    let is_outdated = planner.is_outdated(generation);
    if is_outdated {
        planner.set_upstreams(generation, &tables.upstreams.ready_upstreams(pool));
    }
    if is_outdated || planner.has_other_cold_limit(cold_limit) {
        planner.set_cold(cold_limit, &tables.upstreams.cold_periods(now, pool));
    }
    if planner.evacuated_zones() != tables.evacuations.zones() {
        planner.set_evacuated_zones(tables.evacuations.zones().clone());
    }
    let generation = tables.quarantines.generation();
    if planner.has_outdated_quarantines(generation) {
        let quarantines: Vec<_> = tables.quarantines.entries().collect();
        planner.set_quarantines(now, generation, &quarantines);
    }
    planner
}

/// Plans a request with the local planner.
///
/// # Errors
///
/// Returns the planner's refusal.
pub fn plan_locally(
    shared: &shared::Shared,
    plan_request: &PlanRequest,
) -> limpetkeel::Result<Plan> {
    let now = shared.clock.now();
    let tables = shared.tables.lock();
    let mut planners = shared.planners.lock();
    let planner = current_planner(now, &tables, &mut planners, &plan_request.pool);
    let planned = planner.plan(now, plan_request);
    if let Err(Error::NoCapacity { .. }) = planned {
        log_free_memory(planner, plan_request);
    }
    let decisions = take_decisions(planner);
    drop((planners, tables));
    publish_decisions(shared, &plan_request.pool, decisions);
    planned
}

/// Logs the memory of a pool that lacks capacity for a request.
fn log_free_memory(planner: &Planner, plan_request: &PlanRequest) {
    let free = planner.free_memory(plan_request);
    tracing::info!(
        event = "capacity_lacking",
        pool = %plan_request.pool,
        prompt_tokens = plan_request.size.prompt.0,
        remaining_ms = plan_request.remaining.0,
        prefill_engines = free.prefill_engines,
        prefill_free = free.prefill.0,
        prefill_largest = free.largest_prefill.0,
        other_engines = free.other_engines,
        other_free = free.other.0,
        other_largest = free.largest_other.0,
        waiting = free.waiting_requests,
        set_aside = free.set_aside.0,
    );
}

/// The number of decisions about causes that are logged at once.
const MAX_LOGGED_CAUSES: usize = 64;

/// What a planner has decided about causes of crashes and about failing upstreams.
struct Decisions {
    screened: Vec<CauseDecision>,
    updates: Vec<QuarantineUpdate>,
    ejections: Vec<EjectionDecision>,
    cold: ColdReport,
}

/// Takes what a planner has decided since the last call.
fn take_decisions(planner: &mut Planner) -> Decisions {
    Decisions {
        screened: planner.take_cause_decisions(),
        updates: planner.take_quarantine_updates(),
        ejections: planner.take_ejection_decisions(),
        cold: planner.take_cold_report(),
    }
}

/// Logs and counts the decisions of a local planner, and publishes its quarantines. The caller must
/// not hold a lock.
fn publish_decisions(shared: &shared::Shared, pool: &PoolName, decisions: Decisions) {
    for update in decisions.updates {
        quarantine::publish(shared, update);
    }
    for decision in decisions.ejections {
        publish_ejection(shared, pool, &decision);
    }
    publish_cold(shared, pool, &decisions.cold);
    let unlogged = decisions.screened.len().saturating_sub(MAX_LOGGED_CAUSES);
    if unlogged > 0 {
        tracing::info!(event = "causes_screened", pool = %pool, unlogged);
    }
    for (position, decision) in decisions.screened.iter().enumerate() {
        let code = decision.kind.code();
        let relay = &shared.metrics.relay;
        relay.part_decisions.with_label_values(&[code]).inc();
        if position >= MAX_LOGGED_CAUSES {
            continue;
        }
        tracing::info!(
            event = "cause_screened",
            pool = %pool,
            cause = %decision.cause,
            decision = code,
            crashes = decision.crashes,
        );
    }
}

/// Logs the upstreams that became cold, and counts the requests that this concerned.
fn publish_cold(shared: &shared::Shared, pool: &PoolName, report: &ColdReport) {
    let relay = &shared.metrics.relay;
    relay
        .cold_upstreams
        .with_label_values(&[pool.as_str()])
        .set(report.cold as i64);
    for (result, count) in [("admitted", report.admitted), ("diverted", report.diverted)] {
        relay
            .cold_requests
            .with_label_values(&[result])
            .inc_by(count);
    }
    for (upstream, left) in &report.became_cold {
        tracing::info!(
            event = "upstream_cold",
            pool = %pool,
            upstream = %upstream,
            left_ms = left.0,
            cold = report.cold,
        );
    }
}

/// Logs and counts that an upstream was ejected or returned to service.
fn publish_ejection(shared: &shared::Shared, pool: &PoolName, decision: &EjectionDecision) {
    let relay = &shared.metrics.relay;
    let reason = decision.kind.code();
    relay
        .ejected_upstreams
        .with_label_values(&[pool.as_str()])
        .set(decision.ejected as i64);
    if decision.kind.is_ejection() {
        relay.ejections.with_label_values(&[reason]).inc();
        tracing::info!(
            event = "upstream_ejected",
            pool = %pool,
            upstream = %decision.upstream,
            reason,
            ejected = decision.ejected,
        );
    } else {
        relay.restorations.with_label_values(&[reason]).inc();
        tracing::info!(
            event = "upstream_restored",
            pool = %pool,
            upstream = %decision.upstream,
            reason,
            ejected = decision.ejected,
        );
    }
}

/// Applies the start of a response to the local planner.
fn apply_response_begun(shared: &shared::Shared, pool: &PoolName, id: RequestId) {
    let now = shared.clock.now();
    let decisions = match shared.planners.lock().get_mut(pool) {
        Some(planner) => {
            planner.record_response_begun(now, id);
            take_decisions(planner)
        }
        None => return,
    };
    publish_decisions(shared, pool, decisions);
}

/// Applies a plan result to the local planner.
fn apply_plan_result(
    shared: &shared::Shared,
    plan_result: &PlanResult,
    record: fn(&mut Planner, Timestamp, &PlanResult),
) {
    let now = shared.clock.now();
    let tables = shared.tables.lock();
    let mut planners = shared.planners.lock();
    if !planners.contains_key(&plan_result.pool) {
        return;
    }
    // The planner needs the current upstreams to tell a crash from a planned stop.
    let planner = current_planner(now, &tables, &mut planners, &plan_result.pool);
    record(planner, now, plan_result);
    let decisions = take_decisions(planner);
    drop((planners, tables));
    publish_decisions(shared, &plan_result.pool, decisions);
}

/// Releases a plan whose requester has stopped waiting.
pub fn discard_plan(shared: &shared::Shared, plan_request: &PlanRequest, plan: &Plan) {
    apply_plan_result(
        shared,
        &planning::neutral_plan_result(shared, &plan_request.pool, plan, false),
        Planner::record_result,
    );
}
