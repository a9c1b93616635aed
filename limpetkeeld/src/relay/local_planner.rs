//! The planners of the local instance: plans for its own requests and those of peers, and reports
//! about plans.

use std::collections;

use limpetkeel::{
    CauseDecision, Error, Plan, PlanRequest, PlanResult, Planner, PoolName, QuarantineUpdate,
    ReportedPlan, RequestId, Timestamp,
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
        message::PlanReport::PlanEnded(plan_result) => apply_plan_result(shared, plan_result),
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
    if planner.is_outdated(generation) {
        planner.set_upstreams(generation, &tables.upstreams.ready_upstreams(pool));
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
    let screened = take_screened(planner);
    drop((planners, tables));
    publish_screened(shared, &plan_request.pool, screened);
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

/// What a planner has decided about causes of crashes.
struct Screened {
    decisions: Vec<CauseDecision>,
    updates: Vec<QuarantineUpdate>,
}

/// Takes what a planner has decided about causes of crashes since the last call.
fn take_screened(planner: &mut Planner) -> Screened {
    Screened {
        decisions: planner.take_cause_decisions(),
        updates: planner.take_quarantine_updates(),
    }
}

/// Logs and counts the decisions of a local planner, and publishes its quarantines. The caller must
/// not hold a lock.
fn publish_screened(shared: &shared::Shared, pool: &PoolName, screened: Screened) {
    for update in screened.updates {
        quarantine::publish(shared, update);
    }
    for decision in screened.decisions {
        let code = decision.kind.code();
        let relay = &shared.metrics.relay;
        relay.part_decisions.with_label_values(&[code]).inc();
        tracing::info!(
            event = "cause_screened",
            pool = %pool,
            cause = %decision.cause,
            decision = code,
            crashes = decision.crashes,
        );
    }
}

/// Applies the start of a response to the local planner.
fn apply_response_begun(shared: &shared::Shared, pool: &PoolName, id: RequestId) {
    let now = shared.clock.now();
    let screened = match shared.planners.lock().get_mut(pool) {
        Some(planner) => {
            planner.record_response_begun(now, id);
            take_screened(planner)
        }
        None => return,
    };
    publish_screened(shared, pool, screened);
}

/// Applies a plan result to the local planner.
fn apply_plan_result(shared: &shared::Shared, plan_result: &PlanResult) {
    let now = shared.clock.now();
    let tables = shared.tables.lock();
    let mut planners = shared.planners.lock();
    if !planners.contains_key(&plan_result.pool) {
        return;
    }
    // The planner needs the current upstreams to tell a crash from a planned stop.
    let planner = current_planner(now, &tables, &mut planners, &plan_result.pool);
    planner.record_result(now, plan_result);
    let screened = take_screened(planner);
    drop((planners, tables));
    publish_screened(shared, &plan_result.pool, screened);
}

/// Releases a plan whose requester has stopped waiting.
pub fn discard_plan(shared: &shared::Shared, plan_request: &PlanRequest, plan: &Plan) {
    apply_plan_result(
        shared,
        &planning::neutral_plan_result(shared, &plan_request.pool, plan, false),
    );
}
