//! Plans where the relayed requests of one pool run.
//!
//! A planner answers at once and keeps a ledger of what it planned: the reading that each engine
//! still has before it, the streams that it writes, the memory that they take. It is told when a
//! plan ends; what it is not told lapses. Two planners of one pool do no harm beyond worse plans,
//! since every upstream admits for itself.
//!
//! Reading a long prompt delays every stream on the same engine. So the first engines of a fixed
//! order form a *lane* that reads long prompts in parts, and all others write. The lane grows and
//! shrinks with the demand.

mod health;
mod lane;
mod upstream;

use std::collections;

use crate::{engine, error, grant, name, plan, roster, unit};

/// A plan that is not settled lapses this long after its request's deadline.
const LAPSE_GRACE: unit::Millis = unit::Millis(500);

/// A prompt whose reading takes more than this part of the shortest pause is read in parts.
const LONG_SHARE: f64 = 0.4;

/// The pause that is assumed where no route declares one.
const DEFAULT_PAUSE: unit::Millis = unit::Millis(250);

/// The time in which an engine reads one part of a long prompt, in milliseconds. Shorter parts
/// disturb the streams of the lead less, longer ones need fewer helpers.
const PART_MS: f64 = 40.0;

/// Helpers that one request may name.
const MAX_HELPERS: usize = 16;

/// The part of an engine's memory that is planned; the rest absorbs longer answers than usual.
const MEMORY_PERCENT: u8 = 92;

/// A request whose estimate exceeds this part of its remaining time is refused at once.
const HOPELESS_SHARE: f64 = 0.9;

/// The preference for the own availability zone, in milliseconds: the round trip to another one.
const ZONE_MS: f64 = 2.0;

/// What a whole failure rate adds to the estimate of an upstream, in milliseconds.
const FAILURE_MS: f64 = 1_500.0;

/// An engine whose failure rate is at least this does not help: one that cannot be reached stalls
/// the whole request, and others can read its part.
const SOUND_RATE: f64 = 0.5;

/// What short work pays for a place in the lane, in milliseconds.
const LANE_MS: f64 = 300.0;

/// What short work pays for a place beside a long stream, in milliseconds: more long prompts are
/// going to be read there.
const LEAD_MS: f64 = 80.0;

/// What a long prompt pays for each short stream that its part delays, in milliseconds.
const DISTURBED_MS: f64 = 150.0;

#[derive(Debug)]
struct Ledger {
    parts: Vec<name::UpstreamName>,
    /// The reading of each part, in milliseconds.
    part_ms: f64,
    planned: unit::Timestamp,
    estimate: unit::Millis,
    lapses: unit::Timestamp,
}

/// The ledger and the policy of one pool.
#[derive(Debug)]
pub struct Planner {
    pool: name::PoolName,
    timing: Option<engine::Timing>,
    shortest_pause: unit::Millis,
    upstreams: collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    lane: lane::Lane,
    health: health::Reachability,
    plans: collections::BTreeMap<grant::RequestId, Ledger>,
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
            Some(timing) if self.is_long(&timing, demand) => {
                self.plan_long(now, &timing, demand)?
            }
            timing => self.plan_one(now, timing.as_ref(), demand)?,
        };
        let helpers = plan.helpers.iter().map(|helper| &helper.place.upstream);
        let parts = helpers.chain([&plan.lead.upstream]).cloned().collect();
        let lapses = now.after(demand.remaining + LAPSE_GRACE);
        let part_ms = self.timing.map_or(0.0, |timing| {
            timing.part_ms(demand.work.prompt, plan.helpers.len() + 1)
        });
        let ledger = Ledger {
            parts,
            part_ms,
            planned: now,
            estimate: plan.estimate,
            lapses,
        };
        self.plans.insert(demand.id, ledger);
        Ok(plan)
    }

    fn is_long(&self, timing: &engine::Timing, demand: &plan::Demand) -> bool {
        let limit = self.shortest_pause.0 as f64 * LONG_SHARE;
        timing.read_ms(demand.work.prompt) > limit && self.upstreams.len() > 1
    }

    /// Plans a request that one upstream serves alone.
    fn plan_one(
        &mut self,
        now: unit::Timestamp,
        timing: Option<&engine::Timing>,
        demand: &plan::Demand,
    ) -> error::Result<plan::Plan> {
        self.resize_lane(now, timing);
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
        let lead = lead.place();
        if let Some(upstream) = self.upstreams.get_mut(&lead.upstream) {
            let reading = timing.map_or(0.0, |timing| timing.read_ms(demand.work.prompt));
            upstream.read(now, reading);
            upstream.write(demand.id, demand.work.memory(), upstream::Length::Short);
        }
        Ok(plan::Plan {
            id: demand.id,
            lead,
            helpers: Vec::new(),
            estimate: unit::Millis(estimate as u64),
        })
    }

    /// Plans a prompt that the engines of the lane read for a lead that writes.
    fn plan_long(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        demand: &plan::Demand,
    ) -> error::Result<plan::Plan> {
        let prompt = demand.work.prompt;
        self.lane.note(now, timing.read_ms(prompt));
        self.resize_lane(now, Some(timing));
        let room = timing.memory().percent(MEMORY_PERCENT);
        let (lead, fits) = self.choose_lead(now, timing, demand, room)?;
        let mut lane: Vec<_> = self
            .candidates(now, demand)
            .filter(|upstream| self.lane.holds(upstream.name()))
            .filter(|upstream| *upstream.name() != lead.upstream)
            .filter(|upstream| self.health.failure_rate(now, upstream.name()) < SOUND_RATE)
            .collect();
        lane.sort_by(|a, b| a.backlog(now).total_cmp(&b.backlog(now)));
        let reserved = if fits {
            Vec::new()
        } else {
            self.reservations(&lane, demand, room)?
        };
        let parts = (timing.read_ms(prompt) / PART_MS).ceil() as usize;
        let count = parts.clamp(2, MAX_HELPERS + 1) - 1;
        let mut helpers = reserved;
        for upstream in lane {
            if helpers.len() >= count {
                break;
            }
            let place = upstream.place();
            // An engine takes one part of a prompt only.
            if !helpers.iter().any(|helper| helper.place == place) {
                helpers.push(plan::Helper {
                    place,
                    reserve: None,
                });
            }
        }
        let estimate = self.enter(now, timing, demand, &lead, &helpers);
        Ok(plan::Plan {
            id: demand.id,
            lead,
            helpers,
            estimate: unit::Millis(estimate as u64),
        })
    }

    /// Chooses where a long prompt is written, and tells whether it fits there whole.
    fn choose_lead(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        demand: &plan::Demand,
        room: unit::Tokens,
    ) -> error::Result<(grant::Place, bool)> {
        let fits = |upstream: &upstream::Upstream| upstream.free(room) >= demand.work.memory();
        let cost = |upstream: &upstream::Upstream| {
            let in_lane = self.lane.holds(upstream.name());
            let disturbed = upstream.streams_of(upstream::Length::Short);
            let pass = upstream.estimate(now, Some(timing), Default::default());
            pass + self.distance(now, upstream, demand)
                + disturbed as f64 * DISTURBED_MS
                + if fits(upstream) { 0.0 } else { 10.0 * LANE_MS }
                + if in_lane { LANE_MS } else { 0.0 }
        };
        self.candidates(now, demand)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|lead| (lead.place(), fits(lead)))
            .ok_or_else(|| error::Error::NoUpstream(self.pool.clone()))
    }

    /// Divides a prompt that the lead cannot hold among as few engines as possible.
    fn reservations(
        &self,
        lane: &[&upstream::Upstream],
        demand: &plan::Demand,
        room: unit::Tokens,
    ) -> error::Result<Vec<plan::Helper>> {
        let prompt = demand.work.prompt;
        let mut by_room: Vec<_> = lane.to_vec();
        by_room.sort_by_key(|upstream| std::cmp::Reverse(upstream.free(room)));
        let fewest = prompt.0.div_ceil(room.0.max(1)).max(1) as usize;
        for count in fewest..=by_room.len().min(MAX_HELPERS) {
            let share = unit::Tokens(prompt.0.div_ceil(count as u64));
            if by_room[count - 1].free(room) >= share {
                let chosen = by_room.iter().take(count);
                return Ok(chosen
                    .map(|upstream| plan::Helper {
                        place: upstream.place(),
                        reserve: Some(share),
                    })
                    .collect());
            }
        }
        let whole = unit::Tokens(room.0 * self.upstreams.len() as u64);
        if prompt > whole {
            return Err(error::Error::PromptTooLong(whole));
        }
        Err(error::Error::NoMemory)
    }

    /// Enters a long prompt in the ledgers and returns when it will be read, in milliseconds.
    fn enter(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        demand: &plan::Demand,
        lead: &grant::Place,
        helpers: &[plan::Helper],
    ) -> f64 {
        let mut estimate: f64 = 0.0;
        let part = timing.part_ms(demand.work.prompt, helpers.len() + 1);
        let mut reserved = unit::Tokens::ZERO;
        for helper in helpers {
            if let Some(upstream) = self.upstreams.get_mut(&helper.place.upstream) {
                upstream.read(now, part);
                estimate = estimate.max(upstream.backlog(now));
                if let Some(tokens) = helper.reserve {
                    upstream.reserve(demand.id, tokens);
                    reserved += tokens;
                }
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(&lead.upstream) {
            upstream.read(now, part);
            let passes = upstream.estimate(now, Some(timing), Default::default());
            estimate = estimate.max(passes);
            let memory = demand.work.memory().saturating_sub(reserved);
            upstream.write(demand.id, memory, upstream::Length::Long);
        }
        estimate
    }

    fn resize_lane(&mut self, now: unit::Timestamp, timing: Option<&engine::Timing>) {
        if let Some(timing) = timing {
            self.lane.resize(now, timing, &self.upstreams);
        }
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

/// Progress and ends.
impl Planner {
    /// Enters a plan that another planner made.
    pub fn assert(&mut self, now: unit::Timestamp, assertion: &plan::Assertion) {
        let plan = &assertion.plan;
        if self.plans.contains_key(&plan.id) {
            return;
        }
        let parts = plan.helpers.len() + 1;
        let prompt = assertion.work.prompt;
        let part_ms = self.timing.map_or(0.0, |t| t.part_ms(prompt, parts));
        let mut reserved = unit::Tokens::ZERO;
        let places = plan.helpers.iter().map(|helper| &helper.place);
        let parts: Vec<_> = places
            .chain([&plan.lead])
            .map(|place| place.upstream.clone())
            .collect();
        for helper in &plan.helpers {
            let reserve = helper.reserve.unwrap_or(unit::Tokens::ZERO);
            reserved += reserve;
            if let Some(upstream) = self.upstreams.get_mut(&helper.place.upstream) {
                upstream.reserve(plan.id, reserve);
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(&plan.lead.upstream) {
            let length = if parts.len() > 1 {
                upstream::Length::Long
            } else {
                upstream::Length::Short
            };
            let memory = assertion.work.memory().saturating_sub(reserved);
            upstream.write(plan.id, memory, length);
        }
        if !assertion.begun {
            for name in &parts {
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.read(now, part_ms);
                }
            }
        }
        let ledger = Ledger {
            parts,
            part_ms,
            planned: now,
            estimate: plan.estimate,
            lapses: now.after(assertion.remaining + LAPSE_GRACE),
        };
        self.plans.insert(plan.id, ledger);
    }

    /// Takes in that the answer under a plan has begun.
    ///
    /// An engine that took longer than planned has work of which this planner does not know, or
    /// is slow; it is planned with that delay for a while.
    pub fn begun(&mut self, now: unit::Timestamp, id: grant::RequestId) {
        let Some(ledger) = self.plans.get(&id) else {
            return;
        };
        let took = now.since(ledger.planned).0 as f64;
        let delay = took - ledger.estimate.0 as f64;
        // With helpers, nobody knows which engine was late.
        if let [alone] = &ledger.parts[..]
            && let Some(upstream) = self.upstreams.get_mut(alone)
        {
            upstream.note_delay(now, delay);
        }
    }

    /// Takes in how an upstream fared, and ends its plan unless the request goes on under it.
    pub fn settle(&mut self, now: unit::Timestamp, settlement: &plan::Settlement) {
        let zone = self
            .upstreams
            .get(&settlement.upstream)
            .map(|upstream| upstream.availability_zone().clone());
        if let Some(zone) = zone {
            let seen = health::Seen {
                from: &settlement.availability_zone,
                upstream: &settlement.upstream,
                zone: &zone,
            };
            self.health.note(now, seen, settlement.verdict);
        }
        self.release(now, settlement.id, settlement.begun);
    }

    /// Gives back what a plan takes; its reading too, if the prompt was not read.
    fn release(&mut self, now: unit::Timestamp, id: grant::RequestId, read: bool) {
        let Some(ledger) = self.plans.remove(&id) else {
            return;
        };
        for name in &ledger.parts {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.release(id);
                if !read {
                    upstream.unread(now, ledger.part_ms);
                }
            }
        }
    }

    /// Releases the plans that have lapsed.
    fn expire(&mut self, now: unit::Timestamp) {
        let lapsed: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, ledger)| ledger.lapses <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.release(now, id, true);
        }
    }

    /// Returns the number of plans that have not ended.
    pub fn in_progress(&self) -> usize {
        self.plans.len()
    }
}
