//! How an instance gets a plan and reports its end.
//!
//! Each pool has one planner for all availability zones, on the instance that the pool's name
//! hashes to. One that does not answer at once costs a few milliseconds: the next one is asked,
//! and in the end the own instance plans with what it knows.

use std::{collections, sync, time};

use limpetkeel::{
    Assertion, Contact, Demand, Error, Plan, Planner, PoolName, RequestId, Settlement,
    UpstreamName, Verdict,
};

use crate::{
    peer::message,
    relay::{jobs, shared},
};

/// A planner that does not answer within this time is passed over: an eighth of the shortest
/// objective, and ten round trips between zones.
const PLAN_TIMEOUT: time::Duration = time::Duration::from_millis(30);

/// A note that is not taken within this time is lost; the plan then lapses by itself.
const NOTE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The time between two looks at whether held plans have another planner by now.
const ASSERT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// A plan that is settled when it is dropped.
pub struct Held {
    shared: sync::Arc<shared::Shared>,
    settlement: Settlement,
}

impl Held {
    /// Records that the answer has begun, and tells the planner.
    pub fn begin(&mut self) {
        self.settlement.begun = true;
        let (pool, id) = (self.settlement.pool.clone(), self.settlement.id);
        let planner = {
            let mut requests = self.shared.requests.lock();
            requests.plans.get_mut(&id).and_then(|held| {
                held.assertion.begun = true;
                held.planner.clone()
            })
        };
        tell(&self.shared, planner, message::Note::Begun(pool, id));
    }

    /// Records how an upstream of the plan fared.
    pub fn judge(&mut self, upstream: &UpstreamName, verdict: Verdict) {
        self.settlement.upstream = upstream.clone();
        self.settlement.verdict = verdict;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let settlement = self.settlement.clone();
        let held = self.shared.requests.lock().plans.remove(&settlement.id);
        let planner = held.and_then(|held| held.planner);
        tell(&self.shared, planner, message::Note::Settle(settlement));
    }
}

/// Tells a planner, nobody for the own one, without waiting for it.
fn tell(shared: &sync::Arc<shared::Shared>, planner: Option<Contact>, note: message::Note) {
    let Some(planner) = planner else {
        note_here(shared, note);
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        let req = message::Request::Note(note);
        if let Err(e) = shared.peers.call(planner.address, &req, NOTE_TIMEOUT).await {
            tracing::debug!(event = "note_lost", kind = req.kind(), error = %e);
        }
    });
}

/// Leaves a note to the own planner.
pub fn note_here(shared: &shared::Shared, note: message::Note) {
    let kind = note.kind();
    if !shared.jobs.submit(jobs::Job::Note(note)) {
        // What the planner is not told lapses, or is asserted again.
        tracing::warn!(event = "note_dropped", kind);
    }
}

/// Takes a note in.
pub fn take_in(shared: &shared::Shared, note: &message::Note) {
    match note {
        message::Note::Assert(assertions) => assert_here(shared, assertions),
        message::Note::Begun(pool, id) => begun_here(shared, pool, *id),
        message::Note::Settle(settlement) => settle_here(shared, settlement),
    }
}

/// Gets a plan for a request, which logs name by its caller's identity.
///
/// # Errors
///
/// Fails with the planner's refusal.
pub async fn obtain(
    shared: &sync::Arc<shared::Shared>,
    demand: &Demand,
    request: &str,
) -> limpetkeel::Result<(Plan, Held)> {
    let started = time::Instant::now();
    let (plan, planner) = ask(shared, demand, request).await?;
    let relay = &shared.metrics.relay;
    relay.plan_seconds.observe(started.elapsed().as_secs_f64());
    let label = if planner.is_some() { "peer" } else { "own" };
    relay.plans.with_label_values(&[label]).inc();
    let by = planner.as_ref().map_or("own", |p| p.name.as_str());
    let waited_ms = started.elapsed().as_millis() as u64;
    tracing::info!(
        event = "planned",
        request,
        plan = %plan.id,
        planner = by,
        waited_ms,
        lead = %plan.lead.upstream,
        helpers = plan.helpers.len(),
        estimate_ms = plan.estimate.0,
        remaining_ms = demand.remaining.0,
        avoided = demand.avoid.len(),
    );
    let now = shared.clock.now();
    let held = shared::HeldPlan {
        assertion: Assertion {
            pool: demand.pool.clone(),
            plan: plan.clone(),
            work: demand.work,
            objective: demand.objective,
            remaining: demand.remaining,
            begun: false,
        },
        deadline: now.after(demand.remaining),
        planner: planner.clone(),
    };
    let answered = planner.unwrap_or_else(|| own(shared));
    let mut requests = shared.requests.lock();
    requests.plans.insert(plan.id, held);
    let name = answered.name.clone();
    let before = requests.answered.insert(demand.pool.clone(), answered);
    drop(requests);
    if before.is_none_or(|before| before.name != name) {
        shared.planner_changed.notify_one();
    }
    let settlement = unjudged(shared, &demand.pool, &plan, false);
    let held = Held {
        shared: shared.clone(),
        settlement,
    };
    Ok((plan, held))
}

fn own(shared: &shared::Shared) -> Contact {
    shared.membership.lock().roll.own().clone()
}

async fn ask(
    shared: &sync::Arc<shared::Shared>,
    demand: &Demand,
    request: &str,
) -> limpetkeel::Result<(Plan, Option<Contact>)> {
    let now = shared.clock.now();
    let planners = shared
        .membership
        .lock()
        .roll
        .planners(now, demand.pool.as_str());
    for planner in planners {
        if shared.is_own(&planner) {
            break;
        }
        let req = message::Request::Plan(demand.clone());
        let answer = shared.peers.call(planner.address, &req, PLAN_TIMEOUT).await;
        let now = shared.clock.now();
        match answer {
            Ok(message::Response::Planned(Err(Error::KeeperUnreachable))) => {}
            Ok(message::Response::Planned(decided)) => {
                shared.membership.lock().roll.trust(&planner.name);
                return decided.map(|plan| (plan, Some(planner)));
            }
            Ok(_) | Err(_) => {}
        }
        shared.membership.lock().roll.suspect(now, &planner.name);
        tracing::info!(
            event = "planner_passed_over",
            planner = %planner.name,
            pool = %demand.pool,
            request,
        );
    }
    let plan = shared.jobs.plan(demand.clone()).await?;
    Ok((plan, None))
}

/// Hands held plans over to the planners that answered last, until the process ends.
///
/// A planner that takes over knows nothing of what others planned; this tells it.
pub async fn run_asserts(shared: sync::Arc<shared::Shared>) {
    loop {
        let changed = shared.planner_changed.notified();
        // An elapsed time is seen by the next look.
        let _ = tokio::time::timeout(ASSERT_INTERVAL, changed).await;
        for (planner, assertions) in moved(&shared) {
            let planner = (!shared.is_own(&planner)).then_some(planner);
            tell(&shared, planner, message::Note::Assert(assertions));
        }
    }
}

/// Moves the held plans whose planner has changed, and returns them by their new planner.
fn moved(shared: &sync::Arc<shared::Shared>) -> Vec<(Contact, Vec<Assertion>)> {
    let now = shared.clock.now();
    let membership = shared.membership.lock();
    let mut requests = shared.requests.lock();
    let shared::Requests {
        plans, answered, ..
    } = &mut *requests;
    let mut by_planner: Vec<(Contact, Vec<Assertion>)> = Vec::new();
    for held in plans.values_mut() {
        let Some(present) = answered.get(&held.assertion.pool) else {
            continue;
        };
        let before = held.planner.as_ref().unwrap_or(membership.roll.own());
        if before.name == present.name {
            continue;
        }
        let former = held.planner.take();
        let end = unjudged(shared, &held.assertion.pool, &held.assertion.plan, true);
        tell(shared, former, message::Note::Settle(end));
        held.planner = (!shared.is_own(present)).then(|| present.clone());
        held.assertion.remaining = held.deadline.since(now);
        let assertion = held.assertion.clone();
        match by_planner.iter_mut().find(|(p, _)| p.name == present.name) {
            Some((_, assertions)) => assertions.push(assertion),
            None => by_planner.push((present.clone(), vec![assertion])),
        }
    }
    by_planner
}

/// Returns the settlement that only gives a plan back.
fn unjudged(shared: &shared::Shared, pool: &PoolName, plan: &Plan, begun: bool) -> Settlement {
    Settlement {
        pool: pool.clone(),
        id: plan.id,
        availability_zone: shared.settings.availability_zone.clone(),
        upstream: plan.lead.upstream.clone(),
        verdict: Verdict::Unjudged,
        begun,
    }
}

/// Takes in plans that another planner made.
fn assert_here(shared: &shared::Shared, assertions: &[Assertion]) {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let mut planners = shared.planners.lock();
    for assertion in assertions {
        planner(&in_force, &mut planners, &assertion.pool).assert(now, assertion);
    }
}

type Planners = collections::BTreeMap<PoolName, Planner>;

/// Returns the planner of a pool, current with the tables in force.
fn planner<'a>(
    in_force: &shared::InForce,
    planners: &'a mut Planners,
    pool: &PoolName,
) -> &'a mut Planner {
    let generation = in_force.roster.generation();
    let planner = planners
        .entry(pool.clone())
        .or_insert_with(|| Planner::new(pool.clone()));
    planner.configure(
        in_force.ingress.timing(pool),
        in_force.ingress.shortest_pause(),
    );
    if planner.is_outdated(generation) {
        planner.set_upstreams(generation, &in_force.roster.serving(pool));
    }
    planner
}

/// Plans a request in the own planner.
///
/// # Errors
///
/// Fails with the planner's refusal.
pub fn plan_here(shared: &shared::Shared, demand: &Demand) -> limpetkeel::Result<Plan> {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let mut planners = shared.planners.lock();
    planner(&in_force, &mut planners, &demand.pool).plan(now, demand)
}

/// Takes in that the answer under a plan of the own planner has begun.
fn begun_here(shared: &shared::Shared, pool: &PoolName, id: RequestId) {
    let now = shared.clock.now();
    if let Some(planner) = shared.planners.lock().get_mut(pool) {
        planner.begun(now, id);
    }
}

/// Takes in the end of a plan of the own planner.
fn settle_here(shared: &shared::Shared, settlement: &Settlement) {
    let now = shared.clock.now();
    if let Some(planner) = shared.planners.lock().get_mut(&settlement.pool) {
        planner.settle(now, settlement);
    }
}

/// Ends a plan that nobody awaits any more.
pub fn forget(shared: &shared::Shared, demand: &Demand, plan: &Plan) {
    settle_here(shared, &unjudged(shared, &demand.pool, plan, false));
}
