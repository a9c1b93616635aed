//! An estimate of a queue's throughput while requests wait in it.

use crate::unit;

/// The minimum length of one sample.
const SAMPLE_PERIOD: unit::Millis = unit::Millis(500);

/// The weight of one sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.3;

/// An estimate of the cost granted per second while the queue is not empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    tokens_per_second: Option<f64>,
    sample_start: Option<unit::Timestamp>,
    sampled_cost: unit::Tokens,
}

impl Throughput {
    /// Adds the cost of a grant to the current sample.
    pub fn record_grant(&mut self, cost: unit::Tokens) {
        self.sampled_cost += cost;
    }

    /// Ends the current sample if it is long enough.
    ///
    /// The sample is discarded if no requests are waiting.
    pub fn observe(&mut self, now: unit::Timestamp, has_waiting: bool) {
        let Some(start) = self.sample_start.filter(|_| has_waiting) else {
            self.sample_start = has_waiting.then_some(now);
            self.sampled_cost = unit::Tokens::ZERO;
            return;
        };
        let elapsed = now.since(start);
        if elapsed < SAMPLE_PERIOD {
            return;
        }
        let sample = self.sampled_cost.0 as f64 * 1000.0 / elapsed.0 as f64;
        let rate = self.tokens_per_second.unwrap_or(sample);
        self.tokens_per_second = Some(rate + (sample - rate) * SAMPLE_WEIGHT);
        self.sample_start = Some(now);
        self.sampled_cost = unit::Tokens::ZERO;
    }

    /// Returns the time to grant `cost` at `percent` percent of the estimated rate.
    ///
    /// Returns zero before the first sample, so that no request is refused without a
    /// measurement.
    pub fn time_for(&self, cost: unit::Tokens, percent: u8) -> unit::Millis {
        let Some(rate) = self.tokens_per_second else {
            return unit::Millis::ZERO;
        };
        let rate = rate * f64::from(percent) / 100.0;
        unit::Millis((cost.0 as f64 * 1000.0 / rate.max(1.0)) as u64)
    }
}
