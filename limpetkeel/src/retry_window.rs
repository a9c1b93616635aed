//! The budget of repeated sends, shared by all instances over a sliding window.
//!
//! The operator bounds the sends beyond the first of each request by a part of the requests and a
//! fixed allowance, summed over all instances. Each instance keeps to its own part of the
//! allowance, so that the sum holds without any agreement.

use std::collections;

use crate::unit;

/// The bound that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, over all instances.
    pub allowance: f64,
    /// The window.
    pub window: unit::Millis,
}

/// The part of the bound that is used: requests that end in one window may have been counted in
/// another, and an instance may know fewer members than there are.
const USED_SHARE: f64 = 0.7;

/// What one instance sent to one pool.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: collections::VecDeque<unit::Timestamp>,
    repeats: collections::VecDeque<unit::Timestamp>,
}

impl RetryWindow {
    fn trim(&mut self, now: unit::Timestamp, window: unit::Millis) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: unit::Timestamp, bound: &Bound) {
        self.trim(now, bound.window);
        self.requests.push_back(now);
    }

    /// Tells whether the budget has one more repeat.
    pub fn allows(&mut self, now: unit::Timestamp, bound: &Bound, instances: usize) -> bool {
        self.trim(now, bound.window);
        let own = bound.allowance / instances.max(1) as f64;
        let limit = (bound.ratio * self.requests.len() as f64 + own) * USED_SHARE;
        (self.repeats.len() + 1) as f64 <= limit
    }

    /// Takes one repeat out of the budget and tells whether there was one.
    pub fn spend(&mut self, now: unit::Timestamp, bound: &Bound, instances: usize) -> bool {
        let allowed = self.allows(now, bound, instances);
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }
}
