//! The keeper of a pool in one availability zone.
//!
//! The keeper queues the placement requests of all entry instances of the availability zone. It
//! assigns each one to an upstream as late as possible, in order of rank, fair share and length,
//! when an upstream has enough memory, a free slot and a short prefill backlog. Two keepers of one
//! pool are harmless, since each counts the requests that an upstream reports beyond its own holds
//! as committed.

mod admission;
mod long_prompt;
mod placement;
mod rollout;

use std::{collections, net};

use crate::{
    backlog_index, error, floors, grant, name, pool, prefix, rank, request_size, throughput, unit,
    upstream, workspace,
};

/// The weight of one release in the moving average of the time per output token.
const OUTPUT_TOKEN_TIME_WEIGHT: f64 = 0.05;

/// A separate queue within each rank, so that a blocked head does not delay other prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    /// Short prompts.
    Short,
    /// Long prompts that one upstream can hold.
    Long,
    /// Prompts that need a group of upstreams.
    Group,
}

/// The number of lanes of each rank.
const LANE_COUNT: usize = 3;

impl Lane {
    const ALL: [Lane; LANE_COUNT] = [Lane::Short, Lane::Long, Lane::Group];

    /// Returns the lane for a request that needs `group_size` upstreams.
    fn of(size: request_size::RequestSize, group_size: usize) -> Lane {
        if group_size > 1 {
            return Lane::Group;
        }
        if size.is_long() {
            Lane::Long
        } else {
            Lane::Short
        }
    }
}

/// The queues of one rank.
#[derive(Debug, Default)]
struct Lanes {
    queues: [workspace::FairQueue; LANE_COUNT],
}

impl Lanes {
    fn get(&self, lane: Lane) -> &workspace::FairQueue {
        &self.queues[lane as usize]
    }

    fn get_mut(&mut self, lane: Lane) -> &mut workspace::FairQueue {
        &mut self.queues[lane as usize]
    }

    fn len(&self) -> usize {
        self.queues.iter().map(workspace::FairQueue::len).sum()
    }
}

/// Upstreams that drain for the request at the head of the long or the group lane.
#[derive(Debug)]
struct Reservation {
    id: grant::RequestId,
    rank: rank::Rank,
    upstreams: Vec<name::UpstreamName>,
}

/// Output statistics of an ended request, reported by its entry instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OutputUsage {
    /// The number of output tokens.
    pub output_tokens: unit::Tokens,
    /// The time from the first to the last output token.
    pub decode_time: unit::Millis,
}

/// Places the requests of one availability zone on the upstreams of one pool.
#[derive(Debug)]
pub struct Keeper {
    pool: name::PoolName,
    long_percent: u8,
    upstreams: collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    /// Upstreams that accept requests and prefill no long prompt.
    open_without_long: backlog_index::BacklogIndex,
    /// Upstreams that accept requests and prefill a long prompt.
    open_with_long: backlog_index::BacklogIndex,
    queues: rank::PerRank<Lanes>,
    floors: floors::Floors,
    throughput: [throughput::Throughput; LANE_COUNT],
    prefixes: prefix::PrefixIndex,
    /// Moving average of the share of long prompts in the requested cost, from 0 to 1.
    long_demand_share: f64,
    /// Moving average of the time per output token, in milliseconds.
    ms_per_output_token: f64,
    reservation: Option<Reservation>,
    memory_range: Option<MemoryRange>,
}

/// The smallest and the largest memory of an upstream, among those that have reported.
#[derive(Clone, Copy, Debug)]
struct MemoryRange {
    smallest: unit::Tokens,
    largest: unit::Tokens,
}

impl MemoryRange {
    fn of(
        upstreams: &collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    ) -> Option<Self> {
        let reported = upstreams.values().filter_map(upstream::Upstream::capacity);
        let memory: Vec<_> = reported.map(|capacity| capacity.memory).collect();
        let (smallest, largest) = (*memory.iter().min()?, *memory.iter().max()?);
        Some(MemoryRange { smallest, largest })
    }
}

impl Keeper {
    /// Creates a keeper without upstreams.
    pub fn new(pool: &pool::Pool) -> Keeper {
        Keeper {
            pool: pool.name().clone(),
            long_percent: pool.long_percent(),
            upstreams: collections::BTreeMap::new(),
            open_without_long: backlog_index::BacklogIndex::default(),
            open_with_long: backlog_index::BacklogIndex::default(),
            queues: rank::PerRank::default(),
            floors: floors::Floors::new(pool.floors()),
            throughput: [throughput::Throughput::default(); LANE_COUNT],
            prefixes: prefix::PrefixIndex::default(),
            long_demand_share: 0.0,
            ms_per_output_token: 0.0,
            reservation: None,
            memory_range: None,
        }
    }

    /// Applies changed settings of the pool.
    pub fn configure(&mut self, pool: &pool::Pool) {
        self.long_percent = pool.long_percent();
        self.floors.set_percent(pool.floors());
    }

    /// Returns the number of waiting placement requests.
    pub fn waiting_count(&self) -> usize {
        rank::Rank::ALL
            .iter()
            .map(|rank| self.queues[*rank].len())
            .sum()
    }

    /// Iterates over the upstreams in order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.values()
    }

    /// Replaces the set of upstreams; upstreams in both sets keep their holds and reports.
    pub fn set_upstreams(&mut self, listed: &[(name::UpstreamName, net::SocketAddr)]) {
        let removed: Vec<_> = self
            .upstreams
            .keys()
            .filter(|name| !listed.iter().any(|(listed, _)| listed == *name))
            .cloned()
            .collect();
        for name in removed {
            self.upstreams.remove(&name);
            self.prefixes.remove_upstream(&name);
            self.reindex(&name);
            self.cancel_reservation_on(&name);
        }
        for (name, address) in listed {
            self.upstreams
                .entry(name.clone())
                .or_insert_with(|| upstream::Upstream::new(name.clone(), *address));
        }
        self.memory_range = MemoryRange::of(&self.upstreams);
    }

    fn queue(&self, rank: rank::Rank, lane: Lane) -> &workspace::FairQueue {
        self.queues[rank].get(lane)
    }

    fn lane_throughput(&self, lane: Lane) -> &throughput::Throughput {
        &self.throughput[lane as usize]
    }

    /// Updates the position of an upstream in the backlog indexes after a change.
    fn reindex(&mut self, name: &name::UpstreamName) {
        let open = self
            .upstreams
            .get(name)
            .filter(|upstream| upstream.has_free_slot() && !upstream.is_draining());
        let Some(upstream) = open else {
            self.open_without_long.remove(name);
            return self.open_with_long.remove(name);
        };
        let (index, other) = if upstream.prefills_long() {
            (&mut self.open_with_long, &mut self.open_without_long)
        } else {
            (&mut self.open_without_long, &mut self.open_with_long)
        };
        other.remove(name);
        index.insert(name, upstream.prefill_end());
    }
}

/// Releases.
impl Keeper {
    /// Releases a grant, or removes the placement request if it is still waiting.
    ///
    /// An instance that gave up before it received the grant passes no upstreams; then all
    /// upstreams are searched.
    pub fn release(
        &mut self,
        now: unit::Timestamp,
        id: grant::RequestId,
        upstreams: &[name::UpstreamName],
        usage: OutputUsage,
    ) {
        if usage.output_tokens.0 > 1 {
            let observed = usage.decode_time.0 as f64 / (usage.output_tokens.0 - 1) as f64;
            self.ms_per_output_token +=
                (observed - self.ms_per_output_token) * OUTPUT_TOKEN_TIME_WEIGHT;
        }
        for name in upstreams {
            self.release_on(now, id, name);
        }
        if !upstreams.is_empty() {
            return;
        }
        if !self.remove_waiting(id) {
            let names: Vec<_> = self.upstreams.keys().cloned().collect();
            for name in names {
                self.release_on(now, id, &name);
            }
        }
    }

    fn release_on(
        &mut self,
        now: unit::Timestamp,
        id: grant::RequestId,
        name: &name::UpstreamName,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if upstream.release(now, id) {
            self.reindex(name);
        }
    }

    /// Removes a waiting placement request and returns `true` if there was one.
    fn remove_waiting(&mut self, id: grant::RequestId) -> bool {
        let mut found = false;
        for rank in rank::Rank::ALL {
            for lane in Lane::ALL {
                let queue = self.queues[rank].get_mut(lane);
                found |= !queue
                    .remove_where(|waiting| waiting.request.id == id)
                    .is_empty();
            }
        }
        if found {
            self.cancel_reservation_for(id);
        }
        found
    }
}

/// Recovery and reports.
impl Keeper {
    /// Applies the load report of an upstream and returns the orphaned requests to cancel there.
    ///
    /// Reports of unknown upstreams are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the reported slots or prefill speed are zero.
    pub fn apply_report(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        report: &upstream::LoadReport,
    ) -> error::Result<Vec<grant::RequestId>> {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return Ok(Vec::new());
        };
        let previous_capacity = upstream.capacity();
        let orphans = upstream.apply_report(now, report)?;
        if previous_capacity != Some(report.capacity) {
            self.memory_range = MemoryRange::of(&self.upstreams);
        }
        self.reindex(name);
        Ok(orphans)
    }

    /// Records that the first token of a request has arrived, so its prefill is complete.
    pub fn record_first_token(&mut self, now: unit::Timestamp, held: &grant::HeldGrant) {
        for name in &held.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.record_first_token(now, held.id);
                self.reindex(name);
            }
        }
    }

    /// Renews the holds of a grant that its entry instance still uses, and adds missing ones.
    pub fn renew_holds(&mut self, now: unit::Timestamp, held: &grant::HeldGrant) {
        let share = unit::Tokens(held.size.memory().0 / held.upstreams.len().max(1) as u64);
        for name in &held.upstreams {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.renew_hold(now, held, share);
                self.reindex(name);
            }
        }
    }

    /// Releases expired holds and returns the requests to cancel, each with its upstream.
    pub fn release_expired(
        &mut self,
        now: unit::Timestamp,
    ) -> Vec<(grant::UpstreamAddress, grant::RequestId)> {
        let mut cancels = Vec::new();
        let names: Vec<_> = self.upstreams.keys().cloned().collect();
        for name in names {
            let Some(upstream) = self.upstreams.get_mut(&name) else {
                continue;
            };
            let target = upstream.address();
            let expired = upstream.release_expired(now);
            cancels.extend(expired.into_iter().map(|id| (target.clone(), id)));
            self.reindex(&name);
        }
        cancels
    }

    /// Applies the cache events of an upstream.
    ///
    /// After a gap in the events, the cache content of the upstream counts as unknown.
    pub fn apply_cache_events(&mut self, name: &name::UpstreamName, evicted: &[u64], gap: bool) {
        if gap {
            self.prefixes.remove_upstream(name);
        }
        for prefix in evicted {
            self.prefixes.remove(*prefix, name);
        }
    }
}
