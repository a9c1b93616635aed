//! The engines that prefill long prompts, sized by demand.

use std::collections;

use xxhash_rust::xxh3;

use crate::{
    engine, name,
    planner::{long_prompt, upstream},
    unit,
};

/// The time constant of the demand average, in milliseconds. A burst is visible within a second.
const DEMAND_TIME_CONSTANT_MS: f64 = 2_000.0;

/// The ratio of the size of the set to the demand, so that its engines are not saturated.
const SIZE_HEADROOM: f64 = 1.2;

/// The prefill backlog of the set for which one more engine joins it, in milliseconds.
const BACKLOG_PER_ENGINE_MS: f64 = 500.0;

/// The fraction of the memory of the set that long prompts should use.
const MAX_MEMORY_FRACTION: f64 = 0.75;

/// The shortest time between two reductions of the set.
const SHRINK_INTERVAL: unit::Millis = unit::Millis(100);

/// The fraction of its surplus engines that leaves the set at each reduction. Most of them have left
/// two seconds after the demand has ended, and a short lull keeps most of them.
const SHRINK_FRACTION: f64 = 0.125;

/// The fraction of the slots outside the set that the streams of all engines should use. The rest is
/// for streams that arrive together.
const MAX_STREAM_FRACTION: f64 = 0.6;

/// The fraction of the engines that always stays outside the set.
const OUTSIDE_FRACTION: f64 = 0.3;

/// The fraction of the engines that is always in the set, so that a burst finds free engines.
const MIN_FRACTION: f64 = 0.15;

/// The cost of each position in the join order, in streams, when an engine joins the set.
const POSITION_COST: f64 = 0.1;

/// The engines that requests from one availability zone can reach.
pub(super) struct ReachableUpstreams<'a> {
    pub(super) upstreams: &'a collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    pub(super) is_reachable: &'a dyn Fn(&upstream::Upstream) -> bool,
    /// Whether an engine limits its requests. The set prefers such engines, since a part is not a
    /// request.
    pub(super) is_limited: &'a dyn Fn(&name::UpstreamName) -> bool,
}

impl<'a> ReachableUpstreams<'a> {
    fn get(&self, name: &name::UpstreamName) -> Option<&'a upstream::Upstream> {
        let upstream = self.upstreams.get(name);
        upstream.filter(|upstream| (self.is_reachable)(upstream))
    }

    fn iter(&self) -> impl Iterator<Item = &'a upstream::Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(|upstream| (self.is_reachable)(upstream))
    }
}

/// The engines that prefill long prompts, and the demand that determines their number.
#[derive(Debug, Default)]
pub(super) struct PrefillSet {
    /// All engines, in the order in which they join the set if they have equally many streams.
    join_order: Vec<name::UpstreamName>,
    members: collections::BTreeSet<name::UpstreamName>,
    /// The number of engines that the recent long prompts keep busy.
    demand: f64,
    demand_updated: unit::Timestamp,
    last_removal: unit::Timestamp,
}

impl PrefillSet {
    /// Sets the upstreams and their join order. The order alternates between availability zones,
    /// so that a partitioned zone has engines for prefill and for decoding.
    pub(super) fn set_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a upstream::Upstream>,
    ) {
        let mut by_zone: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for upstream in upstreams {
            let hash = xxh3::xxh3_64(upstream.name().as_str().as_bytes());
            let zone = by_zone.entry(upstream.availability_zone()).or_default();
            zone.push((hash, upstream.name().clone()));
        }
        let mut ranked: Vec<_> = Vec::new();
        for (zone, names) in by_zone.values_mut().enumerate() {
            names.sort();
            let rounds = names.drain(..).enumerate();
            ranked.extend(rounds.map(|(round, (_, name))| (round, zone, name)));
        }
        ranked.sort();
        self.join_order = ranked.into_iter().map(|(_, _, name)| name).collect();
        let join_order = &self.join_order;
        self.members.retain(|name| join_order.contains(name));
    }

    /// Removes upstreams from the set.
    pub(super) fn remove_members(&mut self, names: &collections::BTreeSet<name::UpstreamName>) {
        self.members.retain(|name| !names.contains(name));
    }

    /// Returns `true` if an upstream is in the set.
    pub(super) fn contains(&self, name: &name::UpstreamName) -> bool {
        self.members.contains(name)
    }

    /// Returns the number of engines in the set.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns how busy the recent long prompts keep the engines of the set, from 0 to 1.
    pub(super) fn utilization(&self, now: unit::Timestamp) -> f64 {
        let elapsed = now.since(self.demand_updated).0 as f64;
        let demand = self.demand * (-elapsed / DEMAND_TIME_CONSTANT_MS).exp();
        (demand / self.members.len().max(1) as f64).min(1.0)
    }

    /// Adds the prefill of a long prompt to the demand.
    pub(super) fn add_demand(&mut self, now: unit::Timestamp, prefill_ms: f64) {
        self.decay_demand(now);
        self.demand += prefill_ms / DEMAND_TIME_CONSTANT_MS;
    }

    /// Decays the demand to the present.
    fn decay_demand(&mut self, now: unit::Timestamp) {
        let elapsed = now.since(self.demand_updated).0 as f64;
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT_MS).exp();
        self.demand_updated = now;
    }

    /// Adapts the size of the set to the demand for prefill and for memory, of which the waiting
    /// prompts need `waiting_memory`. It grows to its target at once and shrinks by
    /// [`SHRINK_FRACTION`] of its surplus per [`SHRINK_INTERVAL`].
    ///
    /// Only reachable engines count, so that a partitioned zone has enough engines in the set.
    pub(super) fn resize(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        reachable: &ReachableUpstreams<'_>,
        waiting_memory: unit::Tokens,
    ) {
        self.decay_demand(now);
        let (mut engines, mut streams, mut memory) = (0_usize, 0, waiting_memory);
        for upstream in reachable.iter() {
            engines += 1;
            streams += upstream.stream_count();
            memory += upstream.long_prompt_memory();
        }
        let members = || self.members.iter().filter_map(|name| reachable.get(name));
        let size = members().count();
        let backlog_ms: f64 = members().map(|upstream| upstream.backlog_ms(now)).sum();
        let decoders =
            (streams as f64 / (timing.slots() as f64 * MAX_STREAM_FRACTION)).ceil() as usize;
        let outside = decoders.max((engines as f64 * OUTSIDE_FRACTION).ceil() as usize);
        let max_size = engines.saturating_sub(outside);
        let min_size = ((engines as f64 * MIN_FRACTION).ceil() as usize).min(max_size);
        let by_time =
            (self.demand * SIZE_HEADROOM + backlog_ms / BACKLOG_PER_ENGINE_MS).ceil() as usize;
        let usable_memory = long_prompt::usable_memory(timing).0.max(1) as f64;
        let by_memory = (memory.0 as f64 / usable_memory / MAX_MEMORY_FRACTION).ceil() as usize;
        let needed = by_time.max(by_memory);
        let target = needed.clamp(min_size, max_size.max(min_size));
        for _ in size..target {
            let Some(name) = self.choose_next(reachable) else {
                return;
            };
            self.members.insert(name);
        }
        if now.since(self.last_removal) < SHRINK_INTERVAL {
            return;
        }
        if size > target {
            self.last_removal = now;
            let surplus = (size - target) as f64;
            for _ in 0..(surplus * SHRINK_FRACTION).ceil() as usize {
                self.remove_least_loaded(now, reachable);
            }
        } else if self.prefers_other(reachable) {
            self.last_removal = now;
            self.members.extend(self.choose_next(reachable));
            self.remove_least_loaded(now, reachable);
        }
    }

    /// Returns `true` if an engine outside the set limits its requests and a member does not.
    fn prefers_other(&self, reachable: &ReachableUpstreams<'_>) -> bool {
        let any = |is_member: bool, is_limited: bool| {
            self.join_order.iter().any(|name| {
                (reachable.is_limited)(name) == is_limited
                    && self.members.contains(name) == is_member
                    && reachable.get(name).is_some()
            })
        };
        any(false, true) && any(true, false)
    }

    /// Returns the engine that joins next: one with a request limit before one without, preferring few
    /// streams and an early position in the join order. The order lets planners with empty ledgers choose the same engines.
    fn choose_next(&self, reachable: &ReachableUpstreams<'_>) -> Option<name::UpstreamName> {
        let ordered = self.join_order.iter().enumerate();
        let outside = ordered.filter(|(_, name)| !self.members.contains(*name));
        let outside = outside.filter_map(|(position, name)| Some((position, reachable.get(name)?)));
        let cost = |position: usize, upstream: &upstream::Upstream| {
            upstream.stream_count() as f64 + position as f64 * POSITION_COST
        };
        let is_unlimited = |upstream: &upstream::Upstream| !(reachable.is_limited)(upstream.name());
        outside
            .min_by(|(a, x), (b, y)| {
                let by_limit = is_unlimited(x).cmp(&is_unlimited(y));
                by_limit.then(cost(*a, x).total_cmp(&cost(*b, y)))
            })
            .map(|(_, upstream)| upstream.name().clone())
    }

    /// Removes a reachable engine: one without a request limit before one with, the one with the
    /// smallest prefill backlog, and the latest in the join order among equals.
    fn remove_least_loaded(&mut self, now: unit::Timestamp, reachable: &ReachableUpstreams<'_>) {
        let members = self.join_order.iter().rev();
        let members = members.filter(|name| self.members.contains(*name));
        let is_limited = |upstream: &upstream::Upstream| (reachable.is_limited)(upstream.name());
        let least_loaded = members
            .filter_map(|name| reachable.get(name))
            .min_by(|a, b| {
                let by_limit = is_limited(a).cmp(&is_limited(b));
                by_limit.then(a.backlog_ms(now).total_cmp(&b.backlog_ms(now)))
            });
        if let Some(least_loaded) = least_loaded {
            self.members.remove(least_loaded.name());
        }
    }
}
