//! How an instance gets a plan and reports its end.
//!
//! Each pool has one planner for all availability zones, on the instance that the pool's name
//! hashes to. One that does not answer at once costs a few milliseconds: the next one is asked,
//! and in the end the own instance plans with what it knows.

use std::{net, sync, time};

use limpetkeel::{
    Contact, Demand, Error, Millis, Plan, Planner, PoolName, RequestId, Settlement, UpstreamName,
    Verdict,
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

/// Where a plan came from.
enum Origin {
    /// The own planner.
    Own,
    /// Another instance's planner.
    Peer(Contact),
}

/// A plan that is settled when it is dropped.
pub struct Held {
    shared: sync::Arc<shared::Shared>,
    origin: Origin,
    settlement: Settlement,
}

impl Held {
    /// Records that the answer has begun, and tells the planner.
    pub fn begin(&mut self) {
        self.settlement.begun = true;
        let (pool, id) = (self.settlement.pool.clone(), self.settlement.id);
        match &self.origin {
            Origin::Own => {
                // A note that finds no room is made up for by the next one.
                self.shared.jobs.submit(jobs::Job::Begun(pool, id));
            }
            Origin::Peer(planner) => {
                let note = message::Request::Begun(pool, id);
                tell(&self.shared, planner.address, note);
            }
        }
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
        match &self.origin {
            Origin::Own => {
                if !self.shared.jobs.submit(jobs::Job::Settle(settlement)) {
                    tracing::warn!(event = "settlement_dropped", plan = %self.settlement.id);
                }
            }
            Origin::Peer(planner) => {
                let note = message::Request::Settle(settlement);
                tell(&self.shared, planner.address, note);
            }
        }
    }
}

/// Sends a note to a planner without waiting for it.
fn tell(shared: &sync::Arc<shared::Shared>, address: net::SocketAddr, note: message::Request) {
    let shared = shared.clone();
    tokio::spawn(async move {
        if let Err(e) = shared.peers.call(address, &note, NOTE_TIMEOUT).await {
            tracing::debug!(event = "note_lost", kind = note.kind(), error = %e);
        }
    });
}

/// Gets a plan.
///
/// # Errors
///
/// Fails with the planner's refusal.
pub async fn obtain(
    shared: &sync::Arc<shared::Shared>,
    demand: &Demand,
) -> limpetkeel::Result<(Plan, Held)> {
    let started = time::Instant::now();
    let (plan, origin) = ask(shared, demand).await?;
    let relay = &shared.metrics.relay;
    relay.plan_seconds.observe(started.elapsed().as_secs_f64());
    let planner = match &origin {
        Origin::Own => "own",
        Origin::Peer(_) => "peer",
    };
    relay.plans.with_label_values(&[planner]).inc();
    let settlement = Settlement {
        pool: demand.pool.clone(),
        id: plan.id,
        availability_zone: demand.availability_zone.clone(),
        upstream: plan.lead.upstream.clone(),
        verdict: Verdict::Unjudged,
        begun: false,
    };
    let held = Held {
        shared: shared.clone(),
        origin,
        settlement,
    };
    Ok((plan, held))
}

async fn ask(
    shared: &sync::Arc<shared::Shared>,
    demand: &Demand,
) -> limpetkeel::Result<(Plan, Origin)> {
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
                return decided.map(|plan| (plan, Origin::Peer(planner)));
            }
            Ok(_) | Err(_) => {}
        }
        shared.membership.lock().roll.suspect(now, &planner.name);
        tracing::info!(
            event = "planner_passed_over",
            planner = %planner.name,
            pool = %demand.pool,
            request = %demand.id,
        );
    }
    let plan = shared.jobs.plan(demand.clone()).await?;
    Ok((plan, Origin::Own))
}

/// Plans a request in the own planner.
///
/// # Errors
///
/// Fails with the planner's refusal.
pub fn plan_here(shared: &shared::Shared, demand: &Demand) -> limpetkeel::Result<Plan> {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let generation = in_force.roster.generation();
    let timing = in_force.ingress.timing(&demand.pool);
    let pause: Option<Millis> = in_force.ingress.shortest_pause();
    let mut planners = shared.planners.lock();
    let planner = planners
        .entry(demand.pool.clone())
        .or_insert_with(|| Planner::new(demand.pool.clone()));
    planner.configure(timing, pause);
    if planner.is_outdated(generation) {
        planner.set_upstreams(generation, &in_force.roster.serving(&demand.pool));
    }
    planner.plan(now, demand)
}

/// Takes in that the answer under a plan of the own planner has begun.
pub fn begun_here(shared: &shared::Shared, pool: &PoolName, id: RequestId) {
    let now = shared.clock.now();
    if let Some(planner) = shared.planners.lock().get_mut(pool) {
        planner.begun(now, id);
    }
}

/// Takes in the end of a plan of the own planner.
pub fn settle_here(shared: &shared::Shared, settlement: &Settlement) {
    let now = shared.clock.now();
    if let Some(planner) = shared.planners.lock().get_mut(&settlement.pool) {
        planner.settle(now, settlement);
    }
}

/// Ends a plan that nobody awaits any more.
pub fn forget(shared: &shared::Shared, demand: &Demand, plan: &Plan) {
    let settlement = Settlement {
        pool: demand.pool.clone(),
        id: plan.id,
        availability_zone: demand.availability_zone.clone(),
        upstream: plan.lead.upstream.clone(),
        verdict: Verdict::Unjudged,
        begun: false,
    };
    settle_here(shared, &settlement);
}
