//! The order in which requests are granted and the choice of upstreams.

use crate::{error, grant, keeper, name, rank, unit, upstream};

/// The maximum number of upstreams compared for one request.
///
/// The others have a longer prefill backlog.
const MAX_CANDIDATES: usize = 4;

/// How many more requests than the best alternative an upstream may run and still be preferred
/// because it caches a prefix of the prompt.
const AFFINITY_MARGIN: usize = 4;

/// The queues whose head could not be placed in the current dispatch.
#[derive(Default)]
struct BlockedQueues {
    ranks: [[bool; keeper::LANE_COUNT]; 3],
}

impl BlockedQueues {
    fn mark(&mut self, rank: rank::Rank, lane: keeper::Lane) {
        self.ranks[rank as usize][lane as usize] = true;
    }

    /// Returns `true` if the rank or a more urgent rank is blocked in the lane.
    ///
    /// A blocked rank blocks the less urgent ranks of its lane, which would otherwise use every
    /// slot and all memory that becomes free before the more urgent request fits.
    fn blocks(&self, rank: rank::Rank, lane: keeper::Lane) -> bool {
        self.ranks[..=rank as usize]
            .iter()
            .any(|lanes| lanes[lane as usize])
    }

    fn is_marked(&self, rank: rank::Rank, lane: keeper::Lane) -> bool {
        self.ranks[rank as usize][lane as usize]
    }
}

impl keeper::Keeper {
    /// Grants the requests that can start now and refuses those that can no longer start in time.
    pub fn dispatch(&mut self, now: unit::Timestamp) -> Vec<grant::Decision> {
        let mut decisions = Vec::new();
        let mut blocked = BlockedQueues::default();
        while let Some((rank, lane)) = self.next_queue(&blocked) {
            match self.dispatch_head(now, rank, lane) {
                Some(decision) => decisions.push(decision),
                None => blocked.mark(rank, lane),
            }
        }
        self.update_throughput(now);
        decisions
    }

    /// Updates the throughput estimate of each lane.
    fn update_throughput(&mut self, now: unit::Timestamp) {
        for lane in keeper::Lane::ALL {
            let waits = rank::Rank::ALL
                .iter()
                .any(|rank| !self.queue(*rank, lane).is_empty());
            self.throughput[lane as usize].observe(now, waits);
        }
    }

    /// Returns the queue to serve next.
    ///
    /// A rank with enough floor credit for its head goes first, then the most urgent rank.
    fn next_queue(&self, blocked: &BlockedQueues) -> Option<(rank::Rank, keeper::Lane)> {
        let queues = rank::Rank::ALL
            .into_iter()
            .flat_map(|rank| keeper::Lane::ALL.into_iter().map(move |lane| (rank, lane)));
        let mut most_urgent = None;
        for (rank, lane) in queues {
            let Some(head) = self.queue(rank, lane).peek() else {
                continue;
            };
            let has_credit = self.floors.has_credit(rank, head.request.size.cost());
            if has_credit && !blocked.is_marked(rank, lane) {
                return Some((rank, lane));
            }
            if most_urgent.is_none() && !blocked.blocks(rank, lane) {
                most_urgent = Some((rank, lane));
            }
        }
        most_urgent
    }

    /// Grants or refuses the head of a queue, or returns `None` if it has to wait.
    fn dispatch_head(
        &mut self,
        now: unit::Timestamp,
        rank: rank::Rank,
        lane: keeper::Lane,
    ) -> Option<grant::Decision> {
        let head = self.queue(rank, lane).peek()?;
        if now > head.latest_start {
            return Some(self.refuse_head(rank, lane, error::Error::DeadlineWhileWaiting));
        }
        let group_size = match self.group_size_for(head.request.size) {
            Ok(group_size) => group_size,
            // The capacity may have been unknown when the request arrived.
            Err(e) => return Some(self.refuse_head(rank, lane, e)),
        };
        let request = if head.request.excluded_upstreams.is_empty() {
            None
        } else {
            Some(self.relax_exclusions(now, head.request.clone()))
        };
        let chosen = if lane == keeper::Lane::Short && group_size == 1 {
            let request = request.as_ref().unwrap_or(&head.request);
            self.pick_short(now, request).map(|name| vec![name])
        } else {
            let request = request.unwrap_or_else(|| head.request.clone());
            self.pick_long(now, &request, group_size)
        }?;
        let grant = self.place(now, rank, lane, &chosen)?;
        Some(grant::Decision::Granted(grant))
    }

    fn refuse_head(
        &mut self,
        rank: rank::Rank,
        lane: keeper::Lane,
        refusal: error::Error,
    ) -> grant::Decision {
        let discarded = self.queues[rank].get_mut(lane).discard();
        let id = discarded.map_or(grant::RequestId(0), |waiting| waiting.request.id);
        self.cancel_reservation_for(id);
        grant::Decision::Refused(id, refusal)
    }

    /// Allows a request on the upstreams where it failed if no others report.
    ///
    /// A request that can never be placed would block its lane.
    fn relax_exclusions(
        &self,
        now: unit::Timestamp,
        mut request: grant::PlacementRequest,
    ) -> grant::PlacementRequest {
        let mut reporting = self
            .upstreams
            .values()
            .filter(|upstream| upstream.has_recent_report(now));
        if reporting.all(|upstream| request.excluded_upstreams.contains(upstream.name())) {
            request.excluded_upstreams.clear();
        }
        request
    }

    /// Removes the head of a queue and places it on the chosen upstreams.
    fn place(
        &mut self,
        now: unit::Timestamp,
        rank: rank::Rank,
        lane: keeper::Lane,
        chosen: &[name::UpstreamName],
    ) -> Option<grant::Grant> {
        let request = self.queues[rank].get_mut(lane).pop()?.request;
        self.cancel_reservation_for(request.id);
        let cost = request.size.cost();
        let mut waits = rank::PerRank::default();
        for rank in rank::Rank::ALL {
            waits[rank] = self.queues[rank].len() > 0;
        }
        self.floors.charge(rank, cost, waits);
        self.throughput[lane as usize].record_grant(cost);
        let share = unit::Tokens(request.size.memory().0.div_ceil(chosen.len() as u64));
        let mut upstreams = Vec::with_capacity(chosen.len());
        for name in chosen {
            let Some(upstream) = self.upstreams.get_mut(name) else {
                continue;
            };
            upstream.hold(now, &request, share, lane != keeper::Lane::Short);
            upstreams.push(upstream.address());
            self.prefixes.insert(&request.prefixes, name);
            self.reindex(name);
        }
        Some(grant::Grant {
            id: request.id,
            upstreams,
        })
    }
}

/// Short prompts.
impl keeper::Keeper {
    /// Chooses an upstream for a short prompt, preferring one that caches a prefix of it.
    fn pick_short(
        &self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
    ) -> Option<name::UpstreamName> {
        let best = self
            .best_candidate(now, request, &self.open_without_long)
            .or_else(|| self.best_beside_long(now, request))?;
        let cached = self
            .prefixes
            .longest_match(&request.prefixes)
            .and_then(|name| self.upstreams.get(name));
        let Some(cached) = cached else {
            return Some(best.name().clone());
        };
        let similar_load = cached.load() <= best.load() + AFFINITY_MARGIN;
        let usable =
            similar_load && !cached.prefills_long() && self.can_place(now, request, cached);
        Some(if usable { cached } else { best }.name().clone())
    }

    /// Chooses an upstream that prefills a long prompt, for when no other can run the short one.
    ///
    /// Inside the upstream, a long prompt yields to a short one unless the long one is more urgent.
    fn best_beside_long(
        &self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
    ) -> Option<&upstream::Upstream> {
        self.best_candidate(now, request, &self.open_with_long)
            .filter(|upstream| upstream.yields_to(request.rank))
    }

    /// Returns the upstream with the shortest prefill backlog, then the lowest load.
    ///
    /// Only the first [`MAX_CANDIDATES`] upstreams of the index are considered, and of them those
    /// that can run the request.
    fn best_candidate<'a>(
        &'a self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        index: &'a crate::backlog_index::BacklogIndex,
    ) -> Option<&'a upstream::Upstream> {
        index
            .iter()
            .filter_map(|name| self.upstreams.get(name))
            .take(MAX_CANDIDATES)
            .filter(|upstream| self.can_place(now, request, upstream))
            .min_by_key(|upstream| (upstream.prefill_end().max(now), upstream.load()))
    }

    /// Returns `true` if a short prompt can be placed on the upstream now.
    fn can_place(
        &self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        upstream: &upstream::Upstream,
    ) -> bool {
        upstream.has_recent_report(now)
            && !upstream.is_draining()
            && upstream.within_prefill_window(now)
            && upstream.can_hold(request.size.memory(), request.rank)
            && !request.excluded_upstreams.contains(upstream.name())
    }
}
