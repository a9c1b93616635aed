//! Plans of prompts that several engines read.

use crate::{
    engine, error, grant, plan,
    planner::{self, LANE_MS, upstream},
    unit,
};

/// The time in which an engine reads one part of a long prompt, in milliseconds. Shorter parts
/// disturb the streams of the lead less, longer ones need fewer helpers.
const PART_MS: f64 = 40.0;

/// Helpers that one request may name.
const MAX_HELPERS: usize = 16;

/// The part of an engine's memory that is planned; the rest absorbs longer answers than usual.
const MEMORY_PERCENT: u8 = 92;

/// An engine whose failure rate is at least this does not help: one that cannot be reached stalls
/// the whole request, and others can read its part.
const SOUND_RATE: f64 = 0.5;

/// What a long prompt pays for each short stream that its part delays, in milliseconds.
const DISTURBED_MS: f64 = 150.0;

impl planner::Planner {
    /// Plans a prompt that the engines of the lane read for a lead that writes.
    pub(super) fn plan_long(
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
        let estimate = self.reading_ms(now, timing, prompt, &lead, &helpers);
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

    /// Returns when a long prompt will be read by all its engines, in milliseconds.
    fn reading_ms(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        prompt: unit::Tokens,
        lead: &grant::Place,
        helpers: &[plan::Helper],
    ) -> f64 {
        let part = timing.part_ms(prompt, helpers.len() + 1);
        let helping = helpers
            .iter()
            .filter_map(|helper| self.upstreams.get(&helper.place.upstream))
            .map(|upstream| upstream.backlog(now));
        let leading = self
            .upstreams
            .get(&lead.upstream)
            .map(|upstream| upstream.estimate(now, Some(timing), Default::default()));
        part + helping.chain(leading).fold(0.0, f64::max)
    }
}
