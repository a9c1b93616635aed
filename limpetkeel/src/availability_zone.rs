//! Reachability of the platform and of other availability zones from the local one.

use std::collections;

use crate::{name, unit};

/// A party whose calls have failed for this long is reported as [`Reachability::Separated`].
const SEPARATED_AFTER: unit::Millis = unit::Millis(3_000);

/// Reachability of the platform or of another availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Reachability {
    /// The last call received a response.
    Reachable,
    /// Calls fail, but not yet for long enough to count as separated.
    Doubtful,
    /// Calls have failed for so long that the party counts as unreachable.
    Separated,
}

/// Tracks since when all calls to one party have failed.
#[derive(Clone, Copy, Debug, Default)]
struct FailureTracker {
    failing_since: Option<unit::Timestamp>,
}

impl FailureTracker {
    fn record(&mut self, now: unit::Timestamp, responded: bool) {
        if responded {
            self.failing_since = None;
        } else {
            self.failing_since.get_or_insert(now);
        }
    }

    fn reachability(&self, now: unit::Timestamp) -> Reachability {
        match self.failing_since {
            None => Reachability::Reachable,
            Some(since) if now.since(since) < SEPARATED_AFTER => Reachability::Doubtful,
            Some(_) => Reachability::Separated,
        }
    }
}

/// The local availability zone's view of the platform and of the other availability zones.
#[derive(Debug)]
pub struct ZoneReachability {
    name: name::AvailabilityZoneName,
    platform: FailureTracker,
    other_zones: collections::BTreeMap<name::AvailabilityZoneName, FailureTracker>,
}

impl ZoneReachability {
    /// Creates a view in which the platform and all availability zones are reachable.
    pub fn new(name: name::AvailabilityZoneName) -> ZoneReachability {
        ZoneReachability {
            name,
            platform: FailureTracker::default(),
            other_zones: collections::BTreeMap::new(),
        }
    }

    /// Returns the name of the local availability zone.
    pub fn name(&self) -> &name::AvailabilityZoneName {
        &self.name
    }

    /// Records whether a call to the platform received a response.
    pub fn record_platform_call(&mut self, now: unit::Timestamp, responded: bool) {
        self.platform.record(now, responded);
    }

    /// Records whether a call to a member of `other` received a response.
    ///
    /// Calls within the local availability zone are ignored.
    pub fn record_peer_call(
        &mut self,
        now: unit::Timestamp,
        other: &name::AvailabilityZoneName,
        responded: bool,
    ) {
        if *other != self.name {
            self.other_zones
                .entry(other.clone())
                .or_default()
                .record(now, responded);
        }
    }

    /// Returns the reachability of the platform.
    pub fn platform_reachability(&self, now: unit::Timestamp) -> Reachability {
        self.platform.reachability(now)
    }

    /// Returns the reachability of another availability zone.
    ///
    /// An availability zone without recorded calls counts as reachable.
    pub fn zone_reachability(
        &self,
        now: unit::Timestamp,
        other: &name::AvailabilityZoneName,
    ) -> Reachability {
        self.other_zones
            .get(other)
            .map_or(Reachability::Reachable, |tracker| tracker.reachability(now))
    }
}
