//! Plans of prompts that several engines read.

use crate::{
    engine, error, grant, plan,
    planner::{self, LANE_MS, parts, upstream},
    unit,
};

/// The part of an engine's memory that is planned; the rest absorbs longer answers than usual.
const MEMORY_PERCENT: u8 = 92;

/// The parts of a prompt that its lead is chosen for: a lane of usual size outside of bursts, since
/// a smaller lane means larger parts.
const FEW_PARTS: usize = 6;

/// What a long prompt pays for each short stream beside which it is written, in milliseconds: half of
/// what a delayed stream costs, since other long prompts follow it there.
const BESIDE_MS: f64 = 75.0;

/// What a long prompt pays for a lead that cannot hold it, in milliseconds: as much as ten places in
/// the lane, since its reservations elsewhere may fail.
const UNFIT_MS: f64 = 10.0 * LANE_MS;

/// What a long prompt pays for a lead that was not reached lately, in milliseconds: more than for
/// any other fault, but not more than for being refused.
const DISTRUSTED_MS: f64 = 10_000.0;

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
        self.resize_lane(now, Some(timing), &demand.availability_zone);
        let room = timing.memory().percent(MEMORY_PERCENT);
        let (lead, fits) = self.choose_lead(now, timing, demand, room)?;
        let readers = self.readers(now, &lead, demand);
        let reserved = if fits {
            Vec::new()
        } else {
            self.reservations(&readers, prompt, room)?
        };
        let job = parts::Job {
            prompt,
            objective: demand.objective,
            lead: &lead,
            reserved,
        };
        let team = self.choose_helpers(now, timing, readers, job);
        Ok(plan::Plan {
            id: demand.id,
            lead,
            helpers: team.helpers,
            estimate: unit::Millis(team.finish_ms as u64),
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
        let zone = &demand.availability_zone;
        let part = timing.part_ms(demand.work.prompt, FEW_PARTS);
        let cost = |upstream: &upstream::Upstream| {
            let in_lane = self.lane.holds(upstream.name());
            let delayed = upstream.delayed_by(now, timing, part) as f64;
            let beside = upstream.streams_of(upstream::Length::Short) as f64;
            let pass = upstream.estimate(now, Some(timing), Default::default());
            pass + self.distance(now, upstream, demand)
                + delayed * parts::DELAYED_MS
                + beside * BESIDE_MS
                + if fits(upstream) { 0.0 } else { UNFIT_MS }
                + if self.health.trusts(now, zone, upstream) {
                    0.0
                } else {
                    DISTRUSTED_MS
                }
                + if in_lane { LANE_MS } else { 0.0 }
        };
        self.candidates(now, demand)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .map(|lead| (lead.place(), fits(lead)))
            .ok_or_else(|| error::Error::NoUpstream(self.pool.clone()))
    }

    /// Divides a prompt that the lead cannot hold among as few engines of the lane as possible.
    ///
    /// Its parts are large, so that they would stop all streams of other engines.
    fn reservations(
        &self,
        readers: &[&upstream::Upstream],
        prompt: unit::Tokens,
        room: unit::Tokens,
    ) -> error::Result<Vec<plan::Helper>> {
        reserve(prompt, readers.to_vec(), room).ok_or_else(|| {
            let whole = unit::Tokens(room.0 * self.upstreams.len() as u64);
            if prompt > whole {
                error::Error::PromptTooLong(whole)
            } else {
                error::Error::NoMemory
            }
        })
    }
}

/// Divides the memory of a prompt among the fewest engines that have the room.
fn reserve(
    prompt: unit::Tokens,
    mut engines: Vec<&upstream::Upstream>,
    room: unit::Tokens,
) -> Option<Vec<plan::Helper>> {
    engines.sort_by_key(|upstream| std::cmp::Reverse(upstream.free(room)));
    let fewest = prompt.0.div_ceil(room.0.max(1)).max(1) as usize;
    let counts = fewest..=engines.len().min(parts::MAX_HELPERS);
    let share = |count: usize| unit::Tokens(prompt.0.div_ceil(count as u64));
    let mut fitting = counts.filter(|count| engines[count - 1].free(room) >= share(*count));
    let count = fitting.next()?;
    let helpers = engines.iter().take(count).map(|upstream| plan::Helper {
        place: upstream.place(),
        reserve: Some(share(count)),
    });
    Some(helpers.collect())
}
