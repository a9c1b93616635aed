//! The ledger of one upstream: reading ahead of it, streams and memory.

use std::collections;

use crate::{engine, grant, name, roster, unit, work};

/// What one request waits for beyond a full upstream, in milliseconds: it queues there.
const FULL_MS: f64 = 400.0;

/// How long the prompt of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Length {
    /// Its engine reads it alone.
    Short,
    /// Other engines help to read it.
    Long,
}

/// A request that is written, or will be when it is read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    /// The memory that it takes when it is complete.
    pub(super) memory: unit::Tokens,
    pub(super) length: Length,
    /// The longest pause between events with which its answer has its full value.
    pub(super) pause: unit::Millis,
}

#[derive(Debug)]
pub(super) struct Upstream {
    entry: roster::Entry,
    /// When the planned reading is done, in milliseconds of the planner's clock.
    reads_until: f64,
    writes: collections::BTreeMap<grant::RequestId, Stream>,
    reserved: collections::BTreeMap<grant::RequestId, unit::Tokens>,
    memory: unit::Tokens,
    /// How much later than planned answers begin, in milliseconds, and when that was noted.
    delay: (f64, unit::Timestamp),
}

/// The weight of one answer in the delay of an upstream.
const DELAY_WEIGHT: f64 = 0.5;

/// Answers begin this much later than planned without a reason: the phase of a pass is unknown.
const USUAL_DELAY_MS: f64 = 60.0;

/// A delay halves in this long without news: about the time that a stream lives.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;

impl Upstream {
    pub(super) fn new(entry: &roster::Entry) -> Upstream {
        Upstream {
            entry: entry.clone(),
            reads_until: 0.0,
            writes: collections::BTreeMap::new(),
            reserved: collections::BTreeMap::new(),
            memory: unit::Tokens::ZERO,
            delay: (0.0, unit::Timestamp::ZERO),
        }
    }

    /// Notes how much later than planned an answer began; a negative delay was early.
    pub(super) fn note_delay(&mut self, now: unit::Timestamp, ms: f64) {
        let before = self.delay_ms(now);
        let unusual = ms - USUAL_DELAY_MS;
        let delay = (before + (unusual - before) * DELAY_WEIGHT).max(0.0);
        self.delay = (delay, now);
    }

    fn delay_ms(&self, now: unit::Timestamp) -> f64 {
        let (delay, at) = self.delay;
        let elapsed = now.since(at).0 as f64;
        delay * (-elapsed / DELAY_HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    pub(super) fn name(&self) -> &name::UpstreamName {
        &self.entry.name
    }

    pub(super) fn availability_zone(&self) -> &name::AvailabilityZoneName {
        &self.entry.availability_zone
    }

    pub(super) fn started(&self) -> u64 {
        self.entry.started
    }

    pub(super) fn place(&self) -> grant::Place {
        grant::Place {
            upstream: self.entry.name.clone(),
            address: self.entry.address,
        }
    }

    /// Returns the requests that are written here.
    pub(super) fn streams(&self) -> usize {
        self.writes.len()
    }

    /// Returns the streams of one length that are written here.
    pub(super) fn streams_of(&self, length: Length) -> usize {
        let streams = self.writes.values();
        streams.filter(|stream| stream.length == length).count()
    }

    /// Returns what is left of the present pass on average, in milliseconds.
    fn present_ms(&self, timing: &engine::Timing) -> f64 {
        if self.writes.is_empty() {
            0.0
        } else {
            timing.pass_ms(self.streams(), self.memory) / 2.0
        }
    }

    /// Returns when what is given now begins to be read, in milliseconds.
    pub(super) fn wait_ms(&self, now: unit::Timestamp, timing: &engine::Timing) -> f64 {
        self.backlog(now) + self.present_ms(timing)
    }

    /// Returns the streams that the next pass would delay beyond their pause if it read for `ms`
    /// besides all that is planned.
    pub(super) fn delayed_by(
        &self,
        now: unit::Timestamp,
        timing: &engine::Timing,
        ms: f64,
    ) -> usize {
        let pass = timing.pass_ms(self.streams(), self.memory) + self.backlog(now) + ms;
        let streams = self.writes.values();
        streams
            .filter(|stream| stream.pause.0 as f64 <= pass)
            .count()
    }

    /// Returns the memory that is left of `room`.
    pub(super) fn free(&self, room: unit::Tokens) -> unit::Tokens {
        room.saturating_sub(self.memory)
    }

    /// Returns the planned reading that is not done yet, in milliseconds.
    pub(super) fn backlog(&self, now: unit::Timestamp) -> f64 {
        (self.reads_until - now.0 as f64).max(0.0)
    }

    /// Estimates the time to the first token, or to the answer of a plain service, in
    /// milliseconds.
    pub(super) fn estimate(
        &self,
        now: unit::Timestamp,
        timing: Option<&engine::Timing>,
        work: work::Work,
    ) -> f64 {
        let slots = self.entry.slots.max(1) as usize;
        let waiting = (self.streams() + 1).saturating_sub(slots) as f64 * FULL_MS;
        let Some(timing) = timing else {
            return self.streams() as f64 / slots as f64 * FULL_MS + waiting;
        };
        let pass = timing.pass_ms(self.streams(), self.memory);
        // The prompt is read in the next pass.
        let present = self.present_ms(timing);
        let lacking = work.memory().saturating_sub(self.free(timing.memory()));
        let memory_ms = if lacking.0 > 0 { FULL_MS } else { 0.0 };
        present
            + self.delay_ms(now)
            + self.backlog(now)
            + pass
            + timing.read_ms(work.prompt)
            + waiting
            + memory_ms
    }

    /// Adds reading.
    pub(super) fn read(&mut self, now: unit::Timestamp, ms: f64) {
        self.reads_until = self.reads_until.max(now.0 as f64) + ms;
    }

    /// Takes reading back that will not be done.
    pub(super) fn unread(&mut self, now: unit::Timestamp, ms: f64) {
        self.reads_until = (self.reads_until - ms).max(now.0 as f64);
    }

    /// Adds a stream.
    pub(super) fn write(&mut self, id: grant::RequestId, stream: Stream) {
        self.memory += stream.memory;
        self.writes.insert(id, stream);
    }

    /// Sets memory aside for a part of a prompt.
    pub(super) fn reserve(&mut self, id: grant::RequestId, memory: unit::Tokens) {
        self.memory += memory;
        self.reserved.insert(id, memory);
    }

    /// Gives back what a request takes.
    pub(super) fn release(&mut self, id: grant::RequestId) {
        let freed = self.writes.remove(&id).map(|stream| stream.memory);
        let freed = freed.into_iter();
        let freed: unit::Tokens = freed.chain(self.reserved.remove(&id)).sum();
        self.memory = self.memory.saturating_sub(freed);
    }
}
