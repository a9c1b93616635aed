//! The schedule of a graceful shutdown, derived from the drain timeout.

use crate::unit;

/// Upper bound on the time between sending and handling the termination signal. The drain timeout
/// runs from the sending.
const SIGNAL_DELAY: unit::Millis = unit::Millis(200);

/// Time to write the final responses to callers.
const RESPONSE_TIME: unit::Millis = unit::Millis(300);

/// The times by which a draining instance ends each part of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    since: unit::Timestamp,
    drain_timeout: unit::Millis,
}

impl DrainSchedule {
    /// Creates the schedule of an instance that started to drain at `since`.
    pub fn new(since: unit::Timestamp, drain_timeout: unit::Millis) -> DrainSchedule {
        DrainSchedule {
            since,
            drain_timeout,
        }
    }

    /// Returns when the drain started.
    pub fn since(self) -> unit::Timestamp {
        self.since
    }

    /// Returns when the requests in progress are ended with a final response.
    pub fn requests_end(self) -> unit::Timestamp {
        let margin = SIGNAL_DELAY + RESPONSE_TIME;
        self.since.after(self.drain_timeout.saturating_sub(margin))
    }

    /// Returns when the process stops, even if a caller has not taken its response.
    pub fn stop(self) -> unit::Timestamp {
        self.since
            .after(self.drain_timeout.saturating_sub(SIGNAL_DELAY))
    }
}
