//! The recent results of one upstream.

use crate::{planner::ejection, unit};

/// The half-life of a result, in milliseconds. It is as long as an upstream of a large pool takes to
/// return some twenty results.
const HALF_LIFE_MS: f64 = 5_000.0;

/// The number of failures without a success between them after which an upstream is ejected if the
/// others of its pool do not fail.
const MIN_FAILURES: u32 = 3;

/// The number of declined requests without a success between them after which an upstream is ejected.
/// A full engine frees a slot meanwhile.
const MIN_DECLINES: u32 = 6;

/// The shortest time in which so many requests were declined. A burst is over sooner.
const MIN_DECLINE_PERIOD: unit::Millis = unit::Millis(1_000);

/// Reports of silence within this time of a counted one are of the same pause, which every stream of
/// the upstream reports.
const PAUSE_SEPARATION: unit::Millis = unit::Millis(250);

/// The probability that an upstream that fails as often as its pool is ejected for one more failure.
/// With 1,200 requests a second, it happens once in ten minutes to a pool of which half fail.
const FALSE_EJECTION: f64 = 1e-6;

/// The fewest recent failures that show a failure rate.
const MIN_RATE_FAILURES: f64 = 4.0;

/// The lowest failure rate for which an upstream is ejected.
const MIN_RATE: f64 = 0.25;

/// The lowest ratio of the failure rate of an upstream to that of its pool for which it is ejected.
const MIN_RATIO: f64 = 3.0;

/// The number of standard deviations by which the failures exceed those that the rate of the pool
/// explains.
const MIN_DEVIATIONS: f64 = 4.0;

/// The shares of failures, of declined requests and of slow responses among results. They are kept
/// apart, since all responses of an overloaded pool are slow and failures are to be seen beside them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rates {
    pub(super) failures: f64,
    pub(super) declines: f64,
    pub(super) slow: f64,
}

/// The recent results of one upstream, decayed over time.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    failures: f64,
    declines: f64,
    slow: f64,
    total: f64,
    updated: unit::Timestamp,
    /// The failures since the last success.
    failures_in_row: u32,
    failing_since: unit::Timestamp,
    /// The time of the last report of silence that was counted, if there was one.
    last_silence: Option<unit::Timestamp>,
    /// The declined requests since the last success.
    declines_in_row: u32,
    declining_since: unit::Timestamp,
}

impl Tally {
    fn decay(&mut self, now: unit::Timestamp) {
        let factor = self.decay_factor(now);
        self.failures *= factor;
        self.declines *= factor;
        self.slow *= factor;
        self.total *= factor;
        self.updated = now;
    }

    fn decay_factor(&self, now: unit::Timestamp) -> f64 {
        let elapsed = now.since(self.updated).0 as f64;
        (-elapsed / HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }

    /// Counts a result, and a pause that several streams report once.
    pub(super) fn record(&mut self, now: unit::Timestamp, evidence: ejection::Evidence) {
        if let ejection::Evidence::Failure(ejection::Reason::Silent) = evidence {
            let last = self.last_silence;
            if last.is_some_and(|last| now.since(last) < PAUSE_SEPARATION) {
                return;
            }
            self.last_silence = Some(now);
        }
        self.decay(now);
        self.total += 1.0;
        match evidence {
            ejection::Evidence::Success => {
                self.failures_in_row = 0;
                self.declines_in_row = 0;
            }
            ejection::Evidence::Failure(ejection::Reason::Declined) => {
                self.declines += 1.0;
                if self.declines_in_row == 0 {
                    self.declining_since = now;
                }
                self.declines_in_row += 1;
            }
            ejection::Evidence::Failure(ejection::Reason::Slow) => self.slow += 1.0,
            ejection::Evidence::Failure(_) => {
                self.failures += 1.0;
                if self.failures_in_row == 0 {
                    self.failing_since = now;
                }
                self.failures_in_row += 1;
            }
        }
    }

    /// Returns the failures since the last success.
    pub(super) fn failures_in_row(&self) -> u32 {
        self.failures_in_row
    }

    /// Returns the time since the first failure after the last success, or zero if there is none.
    pub(super) fn failing_for(&self, now: unit::Timestamp) -> unit::Millis {
        if self.failures_in_row == 0 {
            return unit::Millis::ZERO;
        }
        now.since(self.failing_since)
    }

    /// Forgets the failures since the last success.
    pub(super) fn reset_row(&mut self) {
        self.failures_in_row = 0;
        self.declines_in_row = 0;
    }

    /// Returns the rates. Few results count as partly successful.
    pub(super) fn rates(&self, now: unit::Timestamp) -> Rates {
        let factor = self.decay_factor(now);
        let total = self.total * factor + 1.0;
        Rates {
            failures: self.failures * factor / total,
            declines: self.declines * factor / total,
            slow: self.slow * factor / total,
        }
    }

    /// Returns `true` if the results are far worse than the rates of the pool explain. `reason` is
    /// that of the latest failure.
    pub(super) fn is_outlier(
        &self,
        now: unit::Timestamp,
        reason: ejection::Reason,
        pool: Rates,
    ) -> bool {
        if reason == ejection::Reason::Declined {
            return self.declines_in_row >= needed_in_row(MIN_DECLINES, pool.declines)
                && now.since(self.declining_since) >= MIN_DECLINE_PERIOD;
        }
        if reason == ejection::Reason::Slow {
            return self.is_high(self.slow, pool.slow);
        }
        self.failures_in_row >= needed_in_row(MIN_FAILURES, pool.failures)
            || self.is_high(self.failures, pool.failures)
    }

    /// Returns `true` if the share of `count` is far above that of the pool.
    fn is_high(&self, count: f64, pool_rate: f64) -> bool {
        let deviation = (self.total * pool_rate * (1.0 - pool_rate)).sqrt();
        let explained = self.total * pool_rate + MIN_DEVIATIONS * deviation;
        count >= MIN_RATE_FAILURES + explained
            && count >= self.total * MIN_RATE.max(pool_rate * MIN_RATIO)
    }
}

/// Returns the number of failures in a row that `rate` explains too rarely, at least `min`.
fn needed_in_row(min: u32, rate: f64) -> u32 {
    if rate <= 0.0 {
        return min;
    }
    let needed = FALSE_EJECTION.ln() / rate.min(0.999).ln();
    min.max(needed.ceil() as u32)
}
