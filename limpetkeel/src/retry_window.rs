//! The retry budget of all instances over a sliding window.
//!
//! A retry is any send of a request after the first one. The operator limits the retries of all
//! instances to a ratio of the requests plus a fixed allowance. Each instance uses an equal share
//! of the allowance, so that the limit holds without coordination.

use std::collections;

use crate::unit;

/// The limit that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// The retries that each request adds to the limit.
    pub ratio: f64,
    /// The retries of all instances that are allowed in addition.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: unit::Millis,
}

/// The fraction of the limit that is used. Requests that end in one window may have been counted in
/// another, and an instance may know fewer instances than are running.
const USED_FRACTION: f64 = 0.7;

/// The recent requests and retries of one instance for one pool.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: collections::VecDeque<unit::Timestamp>,
    retries: collections::VecDeque<unit::Timestamp>,
}

impl RetryWindow {
    /// Removes the requests and retries that are older than the window.
    fn trim(&mut self, now: unit::Timestamp, window: unit::Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: unit::Timestamp, limit: &RetryLimit) {
        self.trim(now, limit.window);
        self.requests.push_back(now);
    }

    /// Returns `true` if the budget allows another retry. `instances` is the number of known
    /// instances.
    pub fn allows(&mut self, now: unit::Timestamp, limit: &RetryLimit, instances: usize) -> bool {
        self.trim(now, limit.window);
        let allowance = limit.allowance / instances.max(1) as f64;
        let max_retries = (limit.ratio * self.requests.len() as f64 + allowance) * USED_FRACTION;
        (self.retries.len() + 1) as f64 <= max_retries
    }

    /// Takes one retry out of the budget. Returns `true` if the budget allowed it.
    pub fn take(&mut self, now: unit::Timestamp, limit: &RetryLimit, instances: usize) -> bool {
        let allowed = self.allows(now, limit, instances);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}
