//! Obtains plans from planners and reports their results.
//!
//! Each pool has one planner for all availability zones, on the instance selected by hashing the
//! pool's name. If a planner does not respond within a few milliseconds, the next candidate is
//! tried; in the end the local instance plans with what it knows.

use std::{sync, time};

use limpetkeel::{
    AttemptResult, Contact, Error, Plan, PlanRequest, PlanResult, PoolName, ReportedPlan,
    UpstreamName,
};

use crate::{
    peer::message,
    relay::{freshness, jobs, shared},
};

/// Timeout of a plan request to a planner: a third of the shortest objective.
///
/// A packet that is lost on the way is sent again within it. With 30 ms, a lost packet in each few
/// hundred left a third of the plan requests of a loaded pool to second planners, which did not know
/// each other's plans.
const PLAN_TIMEOUT: time::Duration = time::Duration::from_millis(90);

/// Timeout of a report to a planner. A plan whose report is lost expires by itself.
const PLAN_REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Interval between checks for active plans whose pool has moved to another planner.
const REASSIGN_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Reports the result of a plan to its planner when dropped.
pub struct PlanGuard {
    shared: sync::Arc<shared::Shared>,
    plan_result: PlanResult,
}

impl PlanGuard {
    /// Records that the response has started and notifies the planner.
    pub fn record_response_begun(&mut self) {
        self.plan_result.response_begun = true;
        let (pool, id) = (self.plan_result.pool.clone(), self.plan_result.id);
        let planner = {
            let mut requests = self.shared.requests.lock();
            requests.plans.get_mut(&id).and_then(|active| {
                active.reported_plan.response_begun = true;
                active.planner.clone()
            })
        };
        send_plan_report(
            &self.shared,
            planner,
            message::PlanReport::ResponseBegun(pool, id),
        );
    }

    /// Records the attempt result of an upstream of the plan.
    pub fn record_attempt_result(
        &mut self,
        upstream: &UpstreamName,
        attempt_result: AttemptResult,
    ) {
        self.plan_result.upstream = upstream.clone();
        self.plan_result.result = attempt_result;
    }

    /// Returns the report that an upstream of the plan has stopped sending. The plan goes on, since
    /// its stream may be continued.
    pub fn silence_report(&self, upstream: &UpstreamName) -> SilenceReport {
        let plan_result = PlanResult {
            upstream: upstream.clone(),
            result: AttemptResult::Silent,
            ..self.plan_result.clone()
        };
        let planner = {
            let requests = self.shared.requests.lock();
            let active = requests.plans.get(&plan_result.id);
            active.and_then(|active| active.planner.clone())
        };
        SilenceReport {
            shared: self.shared.clone(),
            planner,
            report: message::PlanReport::AttemptFailed(plan_result),
        }
    }

    /// Records that an upstream of the plan sent a complete response.
    pub fn record_success(&mut self, upstream: &UpstreamName) {
        self.plan_result.response_begun = true;
        self.record_attempt_result(upstream, AttemptResult::Succeeded);
    }

    /// Reports the result and waits until the planner has received it.
    pub async fn report(mut self) {
        if let Some(reporting) = self.send_result() {
            // A report that is late is still on its way.
            let _ = tokio::time::timeout(PLAN_TIMEOUT, reporting).await;
        }
    }

    /// Reports the result unless it was reported before. Returns the task that sends it to a peer.
    fn send_result(&mut self) -> Option<tokio::task::JoinHandle<()>> {
        let plan_result = self.plan_result.clone();
        let active = self.shared.requests.lock().plans.remove(&plan_result.id)?;
        send_plan_report(
            &self.shared,
            active.planner,
            message::PlanReport::PlanEnded(plan_result),
        )
    }
}

impl Drop for PlanGuard {
    fn drop(&mut self) {
        // The report is sent in the background.
        let _ = self.send_result();
    }
}

/// A report that an upstream has stopped sending, which is sent once the path to it was checked.
pub struct SilenceReport {
    shared: sync::Arc<shared::Shared>,
    planner: Option<Contact>,
    report: message::PlanReport,
}

impl SilenceReport {
    /// Sends the report in the background.
    pub fn send(self) {
        let _ = send_plan_report(&self.shared, self.planner, self.report);
    }
}

/// Sends a report to a planner without waiting for it, and returns the task that sends it. `None` is
/// the local planner.
fn send_plan_report(
    shared: &sync::Arc<shared::Shared>,
    planner: Option<Contact>,
    report: message::PlanReport,
) -> Option<tokio::task::JoinHandle<()>> {
    let Some(planner) = planner else {
        submit_plan_report(shared, report);
        return None;
    };
    let shared = shared.clone();
    Some(tokio::spawn(async move {
        let req = message::Request::ReportPlan(report);
        if let Err(e) = shared
            .peers
            .call(planner.address, &req, PLAN_REPORT_TIMEOUT)
            .await
        {
            tracing::debug!(event = "note_lost", kind = req.kind(), error = %e);
        }
    }))
}

/// Queues a report for the local planner.
pub fn submit_plan_report(shared: &shared::Shared, report: message::PlanReport) {
    let kind = report.kind();
    if !shared.jobs.try_submit(jobs::Job::ApplyPlanReport(report)) {
        // The planner's record of the plan expires or is reported again.
        tracing::warn!(event = "note_dropped", kind);
    }
}

/// Obtains a plan and a guard that reports its result. `request` is the caller's request ID, used
/// in logs.
///
/// # Errors
///
/// Returns the planner's refusal.
pub async fn obtain(
    shared: &sync::Arc<shared::Shared>,
    plan_request: &PlanRequest,
    request: &str,
) -> limpetkeel::Result<(Plan, PlanGuard)> {
    let started = time::Instant::now();
    let (plan, planner) = request_plan(shared, plan_request, request).await?;
    let relay = &shared.metrics.relay;
    relay.plan_seconds.observe(started.elapsed().as_secs_f64());
    let label = if planner.is_some() { "peer" } else { "own" };
    relay.plans.with_label_values(&[label]).inc();
    let planner_name = planner.as_ref().map_or("own", |p| p.name.as_str());
    let waited_ms = started.elapsed().as_millis() as u64;
    tracing::info!(
        event = "planned",
        request,
        plan = %plan.id,
        planner = planner_name,
        waited_ms,
        lead = %plan.lead.upstream,
        helpers = plan.helpers.len(),
        estimate_ms = plan.estimate.0,
        remaining_ms = plan_request.remaining.0,
        avoided = plan_request.excluded_upstreams.len(),
    );
    let now = shared.clock.now();
    let active = shared::ActivePlan {
        reported_plan: ReportedPlan {
            pool: plan_request.pool.clone(),
            plan: plan.clone(),
            size: plan_request.size,
            causes: plan_request.causes.clone(),
            objective: plan_request.objective,
            remaining: plan_request.remaining,
            response_begun: false,
        },
        deadline: now.after(plan_request.remaining),
        planner: planner.clone(),
    };
    let planned_by = planner.unwrap_or_else(|| local_contact(shared));
    let mut requests = shared.requests.lock();
    requests.plans.insert(plan.id, active);
    let name = planned_by.name.clone();
    let previous = requests
        .latest_planners
        .insert(plan_request.pool.clone(), planned_by);
    drop(requests);
    if previous.is_none_or(|previous| previous.name != name) {
        shared.planner_changed.notify_one();
    }
    let plan_result = neutral_plan_result(shared, &plan_request.pool, &plan, false);
    let guard = PlanGuard {
        shared: shared.clone(),
        plan_result,
    };
    Ok((plan, guard))
}

/// Returns the contact of the local instance.
fn local_contact(shared: &shared::Shared) -> Contact {
    shared.membership.lock().instances.local().clone()
}

/// Requests a plan from the pool's planners in order, and plans locally if none responds. The
/// returned contact is the planner, or `None` for the local instance.
async fn request_plan(
    shared: &sync::Arc<shared::Shared>,
    plan_request: &PlanRequest,
    request: &str,
) -> limpetkeel::Result<(Plan, Option<Contact>)> {
    let now = shared.clock.now();
    let planners = shared
        .membership
        .lock()
        .instances
        .planners(now, plan_request.pool.as_str());
    let mut planner_count = 1;
    for planner in planners {
        if shared.is_local(&planner) {
            break;
        }
        let requester = freshness::local_requester(shared);
        let req = message::Request::RequestPlan(plan_request.clone(), requester);
        let response = shared.peers.call(planner.address, &req, PLAN_TIMEOUT).await;
        let is_outdated = match response {
            Ok(message::Response::Plan(Err(Error::KeeperUnreachable))) => false,
            Ok(message::Response::Plan(Err(Error::PlannerOutdated))) => true,
            Ok(message::Response::Plan(planned)) => {
                shared
                    .membership
                    .lock()
                    .instances
                    .record_response(&planner.name);
                return planned.map(|plan| (plan, Some(planner)));
            }
            Ok(_) | Err(_) => false,
        };
        pass_over(shared, plan_request, &planner, is_outdated, request);
        // Every other instance may be without a planner as well.
        planner_count = shared.membership.lock().instances.len() as u32;
    }
    let plan_request = PlanRequest {
        planners: planner_count,
        ..plan_request.clone()
    };
    let plan = shared.jobs.plan(plan_request).await?;
    Ok((plan, None))
}

/// Records that a planner did not plan, because it is unreachable or its tables are outdated.
fn pass_over(
    shared: &shared::Shared,
    plan_request: &PlanRequest,
    planner: &Contact,
    is_outdated: bool,
    request: &str,
) {
    let now = shared.clock.now();
    {
        let instances = &mut shared.membership.lock().instances;
        if is_outdated {
            instances.record_outdated(now, &planner.name);
        } else {
            instances.record_failure(now, &planner.name);
        }
    }
    let reason = if is_outdated {
        shared.metrics.relay.outdated_planners.inc();
        "outdated"
    } else {
        "unreachable"
    };
    tracing::info!(
        event = "planner_passed_over",
        planner = %planner.name,
        pool = %plan_request.pool,
        request,
        reason,
        known = %plan_request.known_revision,
    );
}

/// Transfers active plans to the latest planner of their pool, until the process ends.
///
/// A new planner does not know the plans of its predecessor until they are reported.
pub async fn run_reassignments(shared: sync::Arc<shared::Shared>) {
    loop {
        let changed = shared.planner_changed.notified();
        // A timeout is not an error: the plans are checked in either case.
        let _ = tokio::time::timeout(REASSIGN_INTERVAL, changed).await;
        for (planner, reported_plans) in reassign_plans(&shared) {
            let planner = (!shared.is_local(&planner)).then_some(planner);
            send_plan_report(
                &shared,
                planner,
                message::PlanReport::ActivePlans(reported_plans),
            );
        }
    }
}

/// Reassigns the active plans whose pool has a new planner, releases them at the previous planner,
/// and returns them grouped by new planner.
fn reassign_plans(shared: &sync::Arc<shared::Shared>) -> Vec<(Contact, Vec<ReportedPlan>)> {
    let now = shared.clock.now();
    let membership = shared.membership.lock();
    let mut requests = shared.requests.lock();
    let shared::Requests {
        plans,
        latest_planners,
        ..
    } = &mut *requests;
    let mut by_planner: Vec<(Contact, Vec<ReportedPlan>)> = Vec::new();
    for active in plans.values_mut() {
        let Some(current) = latest_planners.get(&active.reported_plan.pool) else {
            continue;
        };
        let previous = active
            .planner
            .as_ref()
            .unwrap_or(membership.instances.local());
        if previous.name == current.name {
            continue;
        }
        let former = active.planner.take();
        let plan_result = neutral_plan_result(
            shared,
            &active.reported_plan.pool,
            &active.reported_plan.plan,
            true,
        );
        send_plan_report(shared, former, message::PlanReport::PlanEnded(plan_result));
        active.planner = (!shared.is_local(current)).then(|| current.clone());
        active.reported_plan.remaining = active.deadline.since(now);
        let reported_plan = active.reported_plan.clone();
        match by_planner.iter_mut().find(|(p, _)| p.name == current.name) {
            Some((_, reported_plans)) => reported_plans.push(reported_plan),
            None => by_planner.push((current.clone(), vec![reported_plan])),
        }
    }
    by_planner
}

/// Returns a plan result that releases a plan without an attempt result.
pub fn neutral_plan_result(
    shared: &shared::Shared,
    pool: &PoolName,
    plan: &Plan,
    response_begun: bool,
) -> PlanResult {
    PlanResult {
        pool: pool.clone(),
        id: plan.id,
        availability_zone: shared.settings.availability_zone.clone(),
        upstream: plan.lead.upstream.clone(),
        result: AttemptResult::Inconclusive,
        response_begun,
    }
}
