//! The request limits that upstreams announce: what one instance has received, and its notices to
//! the planners.
//!
//! A limit holds for the requests of all instances together, so that it is enforced by the planner of
//! the pool. An instance adds the announcements that it has received to its plan requests, so
//! that a new planner learns them as well.

use std::{cmp, collections};

use crate::{error, name, unit, upstream_availability, upstream_registry};

/// The largest rate. It exceeds what any upstream serves and keeps intervals above zero.
const MAX_PER_SECOND: f64 = 1e6;

/// The largest number of notices in one plan request. The latest ones come first.
const MAX_NOTICES: usize = 32;

/// A finite number of requests per second that is not negative.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

// The number is never NaN.
impl Eq for RequestRate {}

impl TryFrom<f64> for RequestRate {
    type Error = error::Error;

    /// # Errors
    ///
    /// Returns [`error::Error::InvalidDeclaration`] if the number is negative or not finite.
    fn try_from(per_second: f64) -> error::Result<RequestRate> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(error::Error::InvalidDeclaration {
                field: "request_rate".to_owned(),
                rule: error::Rule::Positive,
            });
        }
        Ok(RequestRate(per_second.min(MAX_PER_SECOND)))
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> f64 {
        rate.0
    }
}

/// What an upstream process says about the rate of requests in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AnnouncedLimit {
    /// It names no limit, which ends an earlier one.
    Unlimited,
    /// It takes so many requests from all instances together.
    Limited(RequestRate),
}

/// An announcement that an instance has received, for a planner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LimitNotice {
    /// The upstream.
    pub upstream: name::UpstreamName,
    /// When the process started.
    pub start_time: u64,
    /// What it said last.
    pub limit: AnnouncedLimit,
    /// How long ago the instance received it. It is a duration since instances do not share a clock.
    pub age: unit::Millis,
}

/// The latest announcement of an upstream process.
#[derive(Debug)]
struct Announcement {
    pool: name::PoolName,
    start_time: u64,
    limit: AnnouncedLimit,
    received: unit::Timestamp,
}

/// What the upstreams have told one instance about their limits.
#[derive(Debug, Default)]
pub struct AnnouncedLimits {
    announcements: collections::BTreeMap<name::UpstreamName, Announcement>,
}

impl AnnouncedLimits {
    /// Records what a process said at `now`. Returns `true` if it said something else before.
    ///
    /// A process that is not listed, or that never named a limit and names none, is not recorded.
    pub fn record(
        &mut self,
        now: unit::Timestamp,
        process: &upstream_availability::UpstreamProcess,
        limit: AnnouncedLimit,
    ) -> bool {
        let Some(start_time) = process.start_time() else {
            return false;
        };
        let known = self.announcements.get(process.name());
        let known = known.filter(|known| known.start_time == start_time);
        let previous = known.map_or(AnnouncedLimit::Unlimited, |known| known.limit);
        if known.is_none() && limit == AnnouncedLimit::Unlimited {
            self.announcements.remove(process.name());
            return false;
        }
        let announcement = Announcement {
            pool: process.pool().clone(),
            start_time,
            limit,
            received: now,
        };
        self.announcements
            .insert(process.name().clone(), announcement);
        previous != limit
    }

    /// Returns the latest announcements of the upstreams of a pool.
    pub fn notices(&self, now: unit::Timestamp, pool: &name::PoolName) -> Vec<LimitNotice> {
        let of_pool = self.announcements.iter();
        let mut of_pool: Vec<_> = of_pool
            .filter(|(_, announcement)| announcement.pool == *pool)
            .collect();
        of_pool.sort_by_key(|(_, announcement)| cmp::Reverse(announcement.received));
        let latest = of_pool.into_iter().take(MAX_NOTICES);
        let notices = latest.map(|(name, announcement)| LimitNotice {
            upstream: name.clone(),
            start_time: announcement.start_time,
            limit: announcement.limit,
            age: now.since(announcement.received),
        });
        notices.collect()
    }

    /// Forgets the processes that `registry` no longer lists.
    pub fn remove_replaced(&mut self, registry: &upstream_registry::UpstreamRegistry) {
        self.announcements.retain(|name, announcement| {
            let listed = registry.get(name);
            listed.is_some_and(|listed| listed.start_time == announcement.start_time)
        });
    }
}
