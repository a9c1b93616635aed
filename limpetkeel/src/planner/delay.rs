//! How much later than estimated responses begin.

use crate::unit;

/// An average of delays, in milliseconds, which decays while no response begins.
#[derive(Debug)]
pub(super) struct Delay {
    /// The weight of one response.
    weight: f64,
    half_life_ms: f64,
    ms: f64,
    updated: unit::Timestamp,
}

impl Delay {
    pub(super) const fn new(weight: f64, half_life_ms: f64) -> Delay {
        Delay {
            weight,
            half_life_ms,
            ms: 0.0,
            updated: unit::Timestamp::ZERO,
        }
    }

    /// Records how much later than estimated a response began, in milliseconds; negative if it was
    /// early. The average is not negative.
    pub(super) fn record(&mut self, now: unit::Timestamp, ms: f64) {
        let previous = self.ms(now);
        self.ms = (previous + (ms - previous) * self.weight).max(0.0);
        self.updated = now;
    }

    /// Returns the average decayed since its last update, in milliseconds.
    pub(super) fn ms(&self, now: unit::Timestamp) -> f64 {
        let elapsed = now.since(self.updated).0 as f64;
        self.ms * (-elapsed / self.half_life_ms * std::f64::consts::LN_2).exp()
    }
}
