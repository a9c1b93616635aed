//! Admission control: requests that cannot be held or finished in time are refused on arrival.

use crate::{error, grant, keeper, rank, request_size, unit, upstream, workspace};

/// The maximum number of placement requests that wait in one keeper.
const MAX_WAITING: usize = 50_000;

/// The percentage of the estimated wait that the remaining time must cover.
///
/// More urgent requests may arrive while the request waits.
const WAIT_MARGIN_PERCENT: u8 = 130;

/// The percentage that scales the estimated service time.
///
/// Upstreams serve several requests at once and prefer more urgent ones.
const SERVICE_MARGIN_PERCENT: u8 = 200;

/// The maximum percentage of an upstream's memory that one group uses.
const GROUP_MEMORY_PERCENT: u8 = 95;

impl keeper::Keeper {
    /// Queues a placement request.
    ///
    /// # Errors
    ///
    /// Returns an error if the pool has no upstream in this availability zone, if the queue is
    /// full, if all upstreams together cannot hold the request, or if it cannot finish before its
    /// deadline.
    pub fn enqueue(
        &mut self,
        now: unit::Timestamp,
        request: grant::PlacementRequest,
    ) -> error::Result<()> {
        if self.upstreams.is_empty() {
            return Err(error::Error::NoUpstream(self.pool.clone()));
        }
        if self.waiting_count() >= MAX_WAITING {
            return Err(error::Error::QueueFull);
        }
        let group_size = self.group_size_for(request.size)?;
        let lane = keeper::Lane::of(request.size, group_size);
        let service = self.service_time(request.size, group_size);
        let wait = self.wait_time(&request, lane).percent(WAIT_MARGIN_PERCENT);
        if wait + service > request.remaining {
            return Err(error::Error::WouldMissDeadline);
        }
        self.record_requested_cost(request.size);
        let deadline = now.after(request.remaining);
        let latest_start = unit::Timestamp(deadline.0.saturating_sub(service.0));
        let rank = request.rank;
        let waiting = workspace::WaitingRequest {
            request,
            latest_start,
        };
        self.queues[rank].get_mut(lane).push(waiting);
        Ok(())
    }

    /// Returns the number of upstreams that a request needs.
    ///
    /// Upstreams without a report are assumed to have the smallest reported memory. Before the
    /// first report, every request is assumed to fit on one upstream.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::PromptTooLong`] if all upstreams together cannot hold the request.
    pub(super) fn group_size_for(&self, size: request_size::RequestSize) -> error::Result<usize> {
        let Some(memory) = self.memory_range else {
            return Ok(1);
        };
        if size.memory() <= memory.largest {
            return Ok(1);
        }
        let share = memory.smallest.percent(GROUP_MEMORY_PERCENT);
        let group_size = size.memory().0.div_ceil(share.0.max(1)) as usize;
        if group_size > self.upstreams.len() {
            let total = unit::Tokens(share.0 * self.upstreams.len() as u64);
            return Err(error::Error::PromptTooLong(total));
        }
        Ok(group_size)
    }

    /// Estimates the time from placement to the end of the request.
    fn service_time(&self, size: request_size::RequestSize, group_size: usize) -> unit::Millis {
        let capacity = self
            .upstreams
            .values()
            .find_map(upstream::Upstream::capacity);
        let Some(capacity) = capacity else {
            return unit::Millis::ZERO;
        };
        let prefill = capacity
            .prefill_speed
            .time_for(unit::Tokens(size.prompt.0 / group_size as u64));
        let decode = unit::Millis((self.ms_per_output_token * size.output.0 as f64) as u64);
        (prefill + decode).percent(SERVICE_MARGIN_PERCENT)
    }

    /// Estimates how long a placement request waits.
    ///
    /// More urgent requests go first, but the floor of the rank bounds the wait.
    fn wait_time(&self, request: &grant::PlacementRequest, lane: keeper::Lane) -> unit::Millis {
        let same_rank = self
            .queue(request.rank, lane)
            .cost_ahead(&request.workspace);
        let more_urgent = rank::Rank::ALL
            .iter()
            .filter(|rank| **rank < request.rank)
            .map(|rank| self.queue(*rank, lane).cost())
            .sum::<unit::Tokens>();
        let by_rank_order = self
            .lane_throughput(lane)
            .time_for(more_urgent + same_rank, 100);
        let by_floor = self
            .lane_throughput(lane)
            .time_for(same_rank, self.floors.percent(request.rank).max(1));
        by_rank_order.min(by_floor)
    }

    /// Updates the share of long prompts in the requested cost, weighted by the request's cost.
    fn record_requested_cost(&mut self, size: request_size::RequestSize) {
        let long = if size.is_long() { 1.0 } else { 0.0 };
        let weight = (size.cost().0 as f64 / 1_000_000.0).min(0.2);
        self.long_demand_share += (long - self.long_demand_share) * weight;
    }
}
