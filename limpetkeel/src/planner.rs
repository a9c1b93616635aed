//! Plans where the relayed requests of one pool run.
//!
//! A planner answers at once and keeps a ledger of what it planned: the reading that each engine
//! still has before it, the streams that it writes, the memory that they take. It is told when a
//! plan ends; what it is not told lapses. Two planners of one pool do no harm beyond worse plans,
//! since every upstream admits for itself.
//!
//! Reading a long prompt delays every stream on the same engine. So some engines form a *lane* that
//! reads long prompts in parts, and all others write. The lane grows and shrinks with the demand,
//! and takes the engines with the fewest streams.

mod health;
mod lane;
mod ledger;
mod long;
mod parts;
mod upstream;

use std::collections;

use crate::{engine, error, grant, name, plan, roster, unit};

/// A prompt whose reading takes more than this part of the shortest pause is read in parts.
const LONG_SHARE: f64 = 0.4;

/// The pause that is assumed where no route declares one.
const DEFAULT_PAUSE: unit::Millis = unit::Millis(250);

/// A request whose estimate exceeds this part of its remaining time is refused at once.
const HOPELESS_SHARE: f64 = 0.9;

/// The preference for the own availability zone, in milliseconds: a zone that is cut off breaks all
/// streams that cross its edge, so a tenth of the shortest objective is well spent.
const ZONE_MS: f64 = 25.0;

/// What a whole failure rate adds to the estimate of an upstream, in milliseconds.
const FAILURE_MS: f64 = 1_500.0;

/// What short work pays for a place in the lane, in milliseconds.
const LANE_MS: f64 = 300.0;

/// What short work pays for a place beside a long stream, in milliseconds: more long prompts are
/// going to be read there.
const LEAD_MS: f64 = 80.0;

/// The ledger and the policy of one pool.
#[derive(Debug)]
pub struct Planner {
    pool: name::PoolName,
    timing: Option<engine::Timing>,
    shortest_pause: unit::Millis,
    upstreams: collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    lane: lane::Lane,
    health: health::Reachability,
    plans: collections::BTreeMap<grant::RequestId, ledger::Ledger>,
    generation: Option<u64>,
}

impl Planner {
    /// Creates a planner that knows no upstream yet.
    pub fn new(pool: name::PoolName) -> Planner {
        Planner {
            pool,
            timing: None,
            shortest_pause: DEFAULT_PAUSE,
            upstreams: collections::BTreeMap::new(),
            lane: lane::Lane::default(),
            health: health::Reachability::default(),
            plans: collections::BTreeMap::new(),
            generation: None,
        }
    }

    /// Tells whether the view of the roster is that of another generation.
    pub fn is_outdated(&self, generation: u64) -> bool {
        self.generation != Some(generation)
    }

    /// Takes over the upstreams that take work; those that stay keep their ledgers.
    pub fn set_upstreams(&mut self, generation: u64, serving: &[roster::Entry]) {
        self.generation = Some(generation);
        self.upstreams.retain(|name, upstream| {
            serving
                .iter()
                .any(|entry| entry.name == *name && entry.started == upstream.started())
        });
        for entry in serving {
            self.upstreams
                .entry(entry.name.clone())
                .or_insert_with(|| upstream::Upstream::new(entry));
        }
        self.lane.arrange(self.upstreams.values());
    }

    /// Takes over the published timing of the pool's engines and the shortest allowed pause.
    pub fn configure(
        &mut self,
        timing: Option<engine::Timing>,
        shortest_pause: Option<unit::Millis>,
    ) {
        self.timing = timing;
        self.shortest_pause = shortest_pause.unwrap_or(DEFAULT_PAUSE);
    }

    /// Plans a request.
    ///
    /// # Errors
    ///
    /// Fails if no upstream can be reached, if the prompt is larger than the whole pool, if there
    /// is no memory for it now, or if it could not be answered in time.
    pub fn plan(
        &mut self,
        now: unit::Timestamp,
        demand: &plan::Demand,
    ) -> error::Result<plan::Plan> {
        self.expire(now);
        let plan = match self.timing {
            Some(timing) if self.is_long(demand.work.prompt) => {
                self.plan_long(now, &timing, demand)?
            }
            timing => self.plan_one(now, timing.as_ref(), demand)?,
        };
        if let Some(lead) = self.upstreams.get(&plan.lead.upstream) {
            let (from, zone) = (&demand.availability_zone, lead.availability_zone());
            self.health.note_trial(now, from, zone);
        }
        let assertion = plan::Assertion {
            pool: self.pool.clone(),
            plan,
            work: demand.work,
            objective: demand.objective,
            remaining: demand.remaining,
            begun: false,
        };
        self.enter(now, &assertion);
        Ok(assertion.plan)
    }

    /// Tells whether several engines read a prompt.
    fn is_long(&self, prompt: unit::Tokens) -> bool {
        let limit = self.shortest_pause.0 as f64 * LONG_SHARE;
        let reads_long = |timing: engine::Timing| timing.read_ms(prompt) > limit;
        self.timing.is_some_and(reads_long) && self.upstreams.len() > 1
    }

    /// Plans a request that one upstream serves alone.
    fn plan_one(
        &mut self,
        now: unit::Timestamp,
        timing: Option<&engine::Timing>,
        demand: &plan::Demand,
    ) -> error::Result<plan::Plan> {
        self.resize_lane(now, timing, &demand.availability_zone);
        let cost = |upstream: &upstream::Upstream| {
            let cost = upstream.estimate(now, timing, demand.work);
            let in_lane = self.lane.holds(upstream.name());
            let leads = upstream.streams_of(upstream::Length::Long) > 0;
            cost + self.distance(now, upstream, demand)
                + if in_lane { LANE_MS } else { 0.0 }
                + if leads { LEAD_MS } else { 0.0 }
        };
        let lead = self
            .candidates(now, demand)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .ok_or_else(|| error::Error::NoUpstream(self.pool.clone()))?;
        // What speaks against an upstream takes no time.
        let estimate = lead.estimate(now, timing, demand.work);
        if estimate > demand.remaining.0 as f64 * HOPELESS_SHARE {
            return Err(error::Error::WouldMissDeadline);
        }
        Ok(plan::Plan {
            id: demand.id,
            lead: lead.place(),
            helpers: Vec::new(),
            estimate: unit::Millis(estimate as u64),
        })
    }

    fn resize_lane(
        &mut self,
        now: unit::Timestamp,
        timing: Option<&engine::Timing>,
        zone: &name::AvailabilityZoneName,
    ) {
        let Some(timing) = timing else {
            return;
        };
        let health = &self.health;
        let reachable = lane::Reachable {
            upstreams: &self.upstreams,
            reaches: &|upstream| health.trusts(now, zone, upstream),
        };
        self.lane.resize(now, timing, &reachable);
    }

    /// Lists the upstreams that can be reached and have not failed the request; if all have,
    /// those that can be reached.
    fn candidates<'a>(
        &'a self,
        now: unit::Timestamp,
        demand: &'a plan::Demand,
    ) -> impl Iterator<Item = &'a upstream::Upstream> {
        let zone = &demand.availability_zone;
        let reachable =
            move |upstream: &&upstream::Upstream| self.health.reaches(now, zone, upstream);
        let fresh = |upstream: &&upstream::Upstream| !demand.avoid.contains(upstream.name());
        let any = self
            .upstreams
            .values()
            .any(|upstream| reachable(&upstream) && fresh(&upstream));
        let any_reachable = self.upstreams.values().any(|upstream| reachable(&upstream));
        self.upstreams.values().filter(move |upstream| {
            (!any_reachable || reachable(upstream)) && (!any || fresh(upstream))
        })
    }

    fn distance(
        &self,
        now: unit::Timestamp,
        upstream: &upstream::Upstream,
        demand: &plan::Demand,
    ) -> f64 {
        let away = *upstream.availability_zone() != demand.availability_zone;
        self.health.failure_rate(now, upstream.name()) * FAILURE_MS
            + if away { ZONE_MS } else { 0.0 }
    }
}
