//! The schedule of a graceful shutdown, derived from the drain timeout.

use crate::unit;

/// Interval at which load balancers check the readiness of an instance.
const READINESS_CHECK_INTERVAL: unit::Millis = unit::Millis(1_000);

/// Number of consecutive failed readiness checks after which a load balancer sends no new
/// connections to an instance.
const FAILED_READINESS_CHECKS: u64 = 2;

/// Upper bound on the duration of a readiness check.
const READINESS_CHECK_DURATION: unit::Millis = unit::Millis(500);

/// Time in which load balancers are known to have noticed the failed readiness checks.
const READINESS_LAG: unit::Millis =
    unit::Millis(FAILED_READINESS_CHECKS * READINESS_CHECK_INTERVAL.0 + READINESS_CHECK_DURATION.0);

/// How long connections are still accepted after [`READINESS_LAG`]. Load balancers use instances
/// that are not ready if too few others are, and a refusal with a retry delay is better for their
/// callers than a connection that is reset.
const LATE_CONNECTIONS: unit::Millis = unit::Millis(800);

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

    /// Returns when load balancers have stopped sending connections. Until then, refusing the
    /// requests that may not end in time would affect many callers.
    pub fn load_balancers_react(self) -> unit::Timestamp {
        self.since.after(READINESS_LAG).min(self.requests_end())
    }

    /// Returns when the instance stops accepting connections.
    pub fn accepts_connections_until(self) -> unit::Timestamp {
        self.since
            .after(READINESS_LAG + LATE_CONNECTIONS)
            .min(self.requests_end())
    }

    /// Returns `true` if a request that arrives now and ends by `deadline` is taken. Once load
    /// balancers have reacted, only a request that ends before the drain does is taken.
    pub fn takes_request(self, now: unit::Timestamp, deadline: unit::Timestamp) -> bool {
        now < self.load_balancers_react() || deadline <= self.requests_end()
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
