//! The engines that read long prompts, sized by demand.

use std::collections;

use xxhash_rust::xxh3;

use crate::{engine, name, planner::upstream, unit};

/// How fast the measured demand forgets, in milliseconds: a burst shows within a second.
const DEMAND_MEMORY_MS: f64 = 2_000.0;

/// Engines of the lane for each engine's worth of demand, so that the lane is not saturated.
const HEADROOM: f64 = 1.2;

/// Reading that waits in the lane and calls for one more engine, in milliseconds.
const BACKLOG_MS: f64 = 500.0;

/// The lane gives one engine back at most this often.
const SHRINK_INTERVAL: unit::Millis = unit::Millis(400);

/// Streams that an engine outside of the lane should have at most, as a part of its slots.
const STREAM_SHARE: f64 = 0.75;

/// The part of the engines that always stays outside of the lane.
const OUTSIDE_SHARE: f64 = 0.3;

/// The part of the engines that is always in the lane, so that a burst finds free readers.
const LEAST_SHARE: f64 = 0.15;

/// What a place later in the order weighs against a short stream, when the lane takes an engine.
const RANK_WEIGHT: f64 = 0.1;

/// The engines that the requests of one zone can reach.
pub(super) struct Reachable<'a> {
    pub(super) upstreams: &'a collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    pub(super) reaches: &'a dyn Fn(&upstream::Upstream) -> bool,
}

impl<'a> Reachable<'a> {
    fn get(&self, name: &name::UpstreamName) -> Option<&'a upstream::Upstream> {
        let upstream = self.upstreams.get(name);
        upstream.filter(|upstream| (self.reaches)(upstream))
    }

    fn iter(&self) -> impl Iterator<Item = &'a upstream::Upstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter(|upstream| (self.reaches)(upstream))
    }
}

#[derive(Debug, Default)]
pub(super) struct Lane {
    order: Vec<name::UpstreamName>,
    members: collections::BTreeSet<name::UpstreamName>,
    demand: f64,
    noted: unit::Timestamp,
    shrunk: unit::Timestamp,
}

impl Lane {
    /// Puts the upstreams in the order in which they join the lane: availability zones by turns,
    /// so that each zone has readers and writers when it is cut off.
    pub(super) fn arrange<'a>(&mut self, upstreams: impl Iterator<Item = &'a upstream::Upstream>) {
        let mut by_zone: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for upstream in upstreams {
            let hash = xxh3::xxh3_64(upstream.name().as_str().as_bytes());
            let zone = by_zone.entry(upstream.availability_zone()).or_default();
            zone.push((hash, upstream.name().clone()));
        }
        let mut ranked: Vec<_> = Vec::new();
        for (zone, names) in by_zone.values_mut().enumerate() {
            names.sort();
            let turns = names.drain(..).enumerate();
            ranked.extend(turns.map(|(turn, (_, name))| (turn, zone, name)));
        }
        ranked.sort();
        self.order = ranked.into_iter().map(|(_, _, name)| name).collect();
        let order = &self.order;
        self.members.retain(|name| order.contains(name));
    }

    /// Tells whether an upstream is in the lane.
    pub(super) fn holds(&self, name: &name::UpstreamName) -> bool {
        self.members.contains(name)
    }

    /// Counts the reading of a long prompt.
    pub(super) fn note(&mut self, now: unit::Timestamp, read_ms: f64) {
        self.forget(now);
        self.demand += read_ms / DEMAND_MEMORY_MS;
    }

    fn forget(&mut self, now: unit::Timestamp) {
        let elapsed = now.since(self.noted).0 as f64;
        self.demand *= (-elapsed / DEMAND_MEMORY_MS).exp();
        self.noted = now;
    }

    /// Fits the lane to the demand: at once when it grows, step by step when it shrinks.
    ///
    /// Only engines that can be reached count, so that a zone that is cut off has a lane of its own.
    pub(super) fn resize(
        &mut self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        reachable: &Reachable<'_>,
    ) {
        self.forget(now);
        let (mut all, mut streams) = (0_usize, 0);
        for upstream in reachable.iter() {
            all += 1;
            streams += upstream.streams();
        }
        let members = || self.members.iter().filter_map(|name| reachable.get(name));
        let size = members().count();
        let backlog: f64 = members().map(|upstream| upstream.backlog(now)).sum();
        let writers = (streams as f64 / (timing.slots() as f64 * STREAM_SHARE)).ceil() as usize;
        let outside = writers.max((all as f64 * OUTSIDE_SHARE).ceil() as usize);
        let most = all.saturating_sub(outside);
        let least = ((all as f64 * LEAST_SHARE).ceil() as usize).min(most);
        let wanted = (self.demand * HEADROOM + backlog / BACKLOG_MS).ceil() as usize;
        let target = wanted.clamp(least, most.max(least));
        for _ in size..target {
            let Some(name) = self.next_member(reachable) else {
                return;
            };
            self.members.insert(name);
        }
        if size > target && now.since(self.shrunk) >= SHRINK_INTERVAL {
            self.shrunk = now;
            self.give_back(now, reachable);
        }
    }

    /// Returns the engine that joins next: the one whose streams suffer least, early in the order
    /// where that is equal, so that planners that know little choose alike.
    fn next_member(&self, reachable: &Reachable<'_>) -> Option<name::UpstreamName> {
        let ranked = self.order.iter().enumerate();
        let free = ranked.filter(|(_, name)| !self.members.contains(*name));
        let free = free.filter_map(|(rank, name)| Some((rank, reachable.get(name)?)));
        let cost = |rank: usize, upstream: &upstream::Upstream| {
            upstream.streams() as f64 + rank as f64 * RANK_WEIGHT
        };
        free.min_by(|(a, x), (b, y)| cost(*a, x).total_cmp(&cost(*b, y)))
            .map(|(_, upstream)| upstream.name().clone())
    }

    /// Gives back the engine that has least to read, unless all are busy.
    fn give_back(&mut self, now: unit::Timestamp, reachable: &Reachable<'_>) {
        let members = self.order.iter().rev();
        let members = members.filter(|name| self.members.contains(*name));
        let idlest = members
            .filter_map(|name| reachable.get(name))
            .min_by(|a, b| a.backlog(now).total_cmp(&b.backlog(now)));
        if let Some(idlest) = idlest {
            self.members.remove(idlest.name());
        }
    }
}
