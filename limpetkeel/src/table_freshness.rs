//! The comparison of a planner's tables with those of the instance that requests a plan.
//!
//! A change of the store reaches the instances at different moments. What binds a plan is the latest
//! change that the requesting instance knows and that concerns the placement of the request, not the
//! latest revision of the store, which every heartbeat raises.

use crate::{name, revision, unit};

/// How much longer than a requesting instance a planner may have been without the store.
///
/// It exceeds the time after which an instance that lost its watchers watches the store itself, so
/// that a planner is not refused while all instances have lost the store.
pub const MAX_PLANNER_LAG: unit::Millis = unit::Millis(2_000);

/// How current the tables of an instance are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableFreshness {
    /// The availability zone of the instance.
    pub availability_zone: name::AvailabilityZoneName,
    /// The revision up to which all changes have been applied.
    pub revision: revision::Revision,
    /// The time since the tables were known to be current, or `None` if they never were.
    pub age: Option<unit::Millis>,
    /// Whether neither the store nor a watcher responds.
    pub is_disconnected: bool,
}

/// What the instance that requests a plan knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequesterTables {
    /// The availability zone of the instance.
    pub availability_zone: name::AvailabilityZoneName,
    /// The revision of the latest known change that concerns the placement of the request.
    pub known_revision: revision::Revision,
    /// The time since the tables were known to be current, or `None` if they never were.
    pub age: Option<unit::Millis>,
}

/// Whether a planner may plan for a requesting instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableComparison {
    /// The tables include all changes that the requesting instance knows.
    Sufficient,
    /// The tables lack a change that the requesting instance knows.
    Behind,
    /// The planner has lost the store, and the requesting instance has heard from it since.
    Disconnected,
}

impl TableComparison {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            TableComparison::Sufficient => "sufficient",
            TableComparison::Behind => "behind",
            TableComparison::Disconnected => "disconnected",
        }
    }
}

impl TableFreshness {
    /// Compares the tables of a planner with what a requesting instance knows.
    ///
    /// A planner that has lost the store goes on planning for its own availability zone, and for
    /// instances that have lost the store as well.
    pub fn compare(&self, requester: &RequesterTables) -> TableComparison {
        if self.revision < requester.known_revision {
            return TableComparison::Behind;
        }
        let is_older = match (self.age, requester.age) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(age), Some(requester_age)) => age > requester_age + MAX_PLANNER_LAG,
        };
        if self.is_disconnected && is_older && self.availability_zone != requester.availability_zone
        {
            return TableComparison::Disconnected;
        }
        TableComparison::Sufficient
    }
}
