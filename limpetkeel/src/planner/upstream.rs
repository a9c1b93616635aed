//! The ledger of one upstream: its prefill backlog, its streams and its memory.

use std::collections;

use crate::{
    crash_screening, engine, grant, name, plan,
    planner::{delay, ledger},
    request_size, unit, upstream_registry,
};

/// The estimated wait for a free slot or for memory on a full upstream, in milliseconds. Requests
/// queue there.
const QUEUE_WAIT_MS: f64 = 400.0;

/// Whether the prompt of a stream is prefilled by one engine or by several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PromptLength {
    /// One engine prefills the prompt.
    Short,
    /// Several engines prefill the prompt.
    Long,
}

/// A request that an upstream decodes, now or after its prefill.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    /// The memory of the prompt and the complete response, without the parts reserved elsewhere.
    pub(super) memory: unit::Tokens,
    pub(super) prompt_length: PromptLength,
    /// The longest gap between two events that meets the objective.
    pub(super) max_gap: unit::Millis,
    /// Whether the response has begun, so that the stream has a slot.
    pub(super) has_begun: bool,
    pub(super) timeliness: plan::Timeliness,
}

impl Stream {
    /// Returns the memory if several engines prefill the prompt, otherwise zero.
    fn long_prompt_memory(&self) -> unit::Tokens {
        match self.prompt_length {
            PromptLength::Short => unit::Tokens::ZERO,
            PromptLength::Long => self.memory,
        }
    }
}

/// An upstream and the planned requests on it.
#[derive(Debug)]
pub(super) struct Upstream {
    entry: upstream_registry::Entry,
    /// When the planned prefill is complete, in milliseconds of the planner's clock.
    prefill_until_ms: f64,
    streams: collections::BTreeMap<grant::RequestId, Stream>,
    reservations: collections::BTreeMap<grant::RequestId, unit::Tokens>,
    /// The requests of other leads of which this upstream prefills a part.
    parts: collections::BTreeSet<grant::RequestId>,
    /// The plans of the requests that run here as trials.
    trials: collections::BTreeSet<grant::RequestId>,
    /// The memory of all streams and reservations.
    memory: unit::Tokens,
    /// The part of `memory` that belongs to prompts that several engines prefill.
    long_prompt_memory: unit::Tokens,
    /// How much later than estimated responses begin.
    delay: delay::Delay,
}

/// The weight of one response in the delay of an upstream.
const DELAY_WEIGHT: f64 = 0.5;

/// The delay that is expected of every response, in milliseconds, since the phase of the current
/// pass is unknown.
const EXPECTED_DELAY_MS: f64 = 60.0;

/// The half-life of a delay, in milliseconds. It is about the duration of a stream.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;

impl Upstream {
    pub(super) fn new(entry: &upstream_registry::Entry) -> Upstream {
        Upstream {
            entry: entry.clone(),
            prefill_until_ms: 0.0,
            streams: collections::BTreeMap::new(),
            reservations: collections::BTreeMap::new(),
            parts: collections::BTreeSet::new(),
            trials: collections::BTreeSet::new(),
            memory: unit::Tokens::ZERO,
            long_prompt_memory: unit::Tokens::ZERO,
            delay: delay::Delay::new(DELAY_WEIGHT, DELAY_HALF_LIFE_MS),
        }
    }

    /// Replaces the registry entry, whose address, zone or slots may have changed.
    pub(super) fn set_entry(&mut self, entry: &upstream_registry::Entry) {
        self.entry = entry.clone();
    }

    /// Records how much later than estimated a response began, in milliseconds; negative if it was
    /// early.
    pub(super) fn record_delay(&mut self, now: unit::Timestamp, ms: f64) {
        self.delay.record(now, ms - EXPECTED_DELAY_MS);
    }

    pub(super) fn name(&self) -> &name::UpstreamName {
        &self.entry.name
    }

    pub(super) fn availability_zone(&self) -> &name::AvailabilityZoneName {
        &self.entry.availability_zone
    }

    pub(super) fn start_time(&self) -> u64 {
        self.entry.start_time
    }

    pub(super) fn lifetime(&self) -> crash_screening::UpstreamLifetime {
        crash_screening::UpstreamLifetime {
            name: self.entry.name.clone(),
            start_time: self.entry.start_time,
        }
    }

    pub(super) fn address(&self) -> grant::UpstreamAddress {
        grant::UpstreamAddress {
            upstream: self.entry.name.clone(),
            address: self.entry.address,
        }
    }

    /// Returns the number of streams.
    pub(super) fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns `true` if the planned streams use all slots.
    pub(super) fn is_full(&self) -> bool {
        self.stream_count() >= self.entry.slots.max(1) as usize
    }

    /// Returns how much later than estimated responses begin, in milliseconds.
    pub(super) fn delay_ms(&self, now: unit::Timestamp) -> f64 {
        self.delay.ms(now)
    }

    /// Returns the number of streams whose prompts have the given length.
    pub(super) fn stream_count_of(&self, prompt_length: PromptLength) -> usize {
        let streams = self.streams.values();
        streams
            .filter(|stream| stream.prompt_length == prompt_length)
            .count()
    }

    /// Returns the expected remaining time of the current pass, in milliseconds.
    fn current_pass_ms(&self, timing: &engine::EngineTiming) -> f64 {
        if self.streams.is_empty() {
            0.0
        } else {
            timing.decode_pass_ms(self.stream_count(), self.memory) / 2.0
        }
    }

    /// Returns the time until the prefill of a request that arrives now begins, in milliseconds.
    pub(super) fn wait_ms(&self, now: unit::Timestamp, timing: &engine::EngineTiming) -> f64 {
        self.backlog_ms(now) + self.current_pass_ms(timing)
    }

    /// Returns the number of streams whose largest allowed gap the next pass would reach or exceed
    /// if it prefilled for another `ms` after the backlog.
    pub(super) fn streams_delayed_by(
        &self,
        now: unit::Timestamp,
        timing: &engine::EngineTiming,
        ms: f64,
    ) -> usize {
        let pass_ms =
            timing.decode_pass_ms(self.stream_count(), self.memory) + self.backlog_ms(now) + ms;
        let streams = self.streams.values();
        streams
            .filter(|stream| stream.max_gap.0 as f64 <= pass_ms)
            .count()
    }

    /// Returns the free memory if the upstream may use `capacity`.
    pub(super) fn free_memory(&self, capacity: unit::Tokens) -> unit::Tokens {
        capacity.saturating_sub(self.memory)
    }

    /// Returns the memory of all streams and reservations.
    pub(super) fn memory(&self) -> unit::Tokens {
        self.memory
    }

    /// Returns the memory of each plan.
    pub(super) fn memory_uses(&self) -> impl Iterator<Item = (grant::RequestId, unit::Tokens)> {
        let streams = self.streams.iter().map(|(id, stream)| (*id, stream.memory));
        let reservations = self.reservations.iter().map(|(id, memory)| (*id, *memory));
        streams.chain(reservations)
    }

    /// Returns the memory of the prompts that several engines prefill.
    pub(super) fn long_prompt_memory(&self) -> unit::Tokens {
        self.long_prompt_memory
    }

    /// Returns the time of the planned prefill that is not complete yet, in milliseconds.
    pub(super) fn backlog_ms(&self, now: unit::Timestamp) -> f64 {
        (self.prefill_until_ms - now.0 as f64).max(0.0)
    }

    /// Estimates the time to the first token, or to the response of a plain service, in
    /// milliseconds.
    pub(super) fn estimate(
        &self,
        now: unit::Timestamp,
        timing: Option<&engine::EngineTiming>,
        size: request_size::RequestSize,
        timeliness: plan::Timeliness,
    ) -> f64 {
        let slots = self.entry.slots.max(1) as usize;
        let Some(timing) = timing else {
            let queue_ms = (self.stream_count() + 1).saturating_sub(slots) as f64 * QUEUE_WAIT_MS;
            return self.stream_count() as f64 / slots as f64 * QUEUE_WAIT_MS + queue_ms;
        };
        // Of `slots` streams that began at different times, one ends in this part of the time that
        // each of them takes.
        let stream_ms = timing.decode_ms(ledger::expected_output(size), slots, self.memory);
        let queued = (self.streams_ahead(timeliness) + 1).saturating_sub(slots);
        let queue_ms = queued as f64 * stream_ms / slots as f64;
        let next_pass_ms = timing.decode_pass_ms(self.stream_count(), self.memory);
        // The prompt is prefilled in the next pass.
        let current_pass_ms = self.current_pass_ms(timing);
        let lacking = size
            .memory()
            .saturating_sub(self.free_memory(timing.memory()));
        let memory_ms = if lacking.0 > 0 { QUEUE_WAIT_MS } else { 0.0 };
        current_pass_ms
            + self.delay.ms(now)
            + self.backlog_ms(now)
            + next_pass_ms
            + timing.prefill_ms(size.prompt)
            + queue_ms
            + memory_ms
    }

    /// Returns the number of streams that get a slot before a request.
    fn streams_ahead(&self, timeliness: plan::Timeliness) -> usize {
        let streams = self.streams.values();
        let ahead = streams.filter(|stream| match timeliness {
            plan::Timeliness::InTime => {
                stream.has_begun || stream.timeliness == plan::Timeliness::InTime
            }
            plan::Timeliness::Late => true,
        });
        ahead.count()
    }

    /// Records that the response to a request has begun.
    pub(super) fn begin_stream(&mut self, id: grant::RequestId) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.has_begun = true;
        }
    }

    /// Adds prefill to the backlog.
    pub(super) fn add_prefill(&mut self, now: unit::Timestamp, ms: f64) {
        self.prefill_until_ms = self.prefill_until_ms.max(now.0 as f64) + ms;
    }

    /// Removes cancelled prefill from the backlog.
    pub(super) fn remove_prefill(&mut self, now: unit::Timestamp, ms: f64) {
        self.prefill_until_ms = (self.prefill_until_ms - ms).max(now.0 as f64);
    }

    /// Adds a stream and its memory.
    pub(super) fn add_stream(&mut self, id: grant::RequestId, stream: Stream) {
        self.memory += stream.memory;
        self.long_prompt_memory += stream.long_prompt_memory();
        self.streams.insert(id, stream);
    }

    /// Reserves memory for a part of a prompt.
    pub(super) fn reserve(&mut self, id: grant::RequestId, memory: unit::Tokens) {
        self.memory += memory;
        self.long_prompt_memory += memory;
        self.reservations.insert(id, memory);
    }

    /// Returns `true` if the upstream accepts a part of another request. An engine helps as many
    /// leads as it has slots and declines further parts.
    pub(super) fn accepts_part(&self) -> bool {
        self.parts.len() < self.entry.slots as usize
    }

    /// Adds a part of a request that another upstream leads.
    pub(super) fn add_part(&mut self, id: grant::RequestId) {
        self.parts.insert(id);
    }

    /// Removes the part of a request that has been prefilled, unless its memory is reserved here.
    pub(super) fn finish_part(&mut self, id: grant::RequestId) {
        if !self.reservations.contains_key(&id) {
            self.parts.remove(&id);
        }
    }

    /// Adds a trial, which may crash the upstream.
    pub(super) fn begin_trial(&mut self, id: grant::RequestId) {
        self.trials.insert(id);
    }

    /// Returns `true` if a trial runs on the upstream.
    pub(super) fn has_trial(&self) -> bool {
        !self.trials.is_empty()
    }

    /// Removes the stream, the part and the reservation of a request.
    pub(super) fn release(&mut self, id: grant::RequestId) {
        self.parts.remove(&id);
        self.trials.remove(&id);
        let stream = self.streams.remove(&id);
        let reserved = self.reservations.remove(&id).unwrap_or_default();
        let (freed, freed_long) = stream.map_or_else(Default::default, |stream| {
            (stream.memory, stream.long_prompt_memory())
        });
        self.memory = self.memory.saturating_sub(freed + reserved);
        self.long_prompt_memory = self
            .long_prompt_memory
            .saturating_sub(freed_long + reserved);
    }
}
