//! The relay's data in the platform's store, as instances pass it on to each other.

use std::{collections, sync};

use crate::{ingress, member, name, revision, upstream_registry};

/// A snapshot of the relay's data in the store.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct StoreSnapshot {
    /// The revision of the snapshot.
    pub revision: revision::Revision,
    /// The newest table of relayed traffic, if any.
    pub ingress: Option<sync::Arc<ingress::Declaration>>,
    /// The upstreams.
    pub upstreams: Vec<upstream_registry::Entry>,
    /// The instances of the system.
    pub instances: Vec<member::Contact>,
}

/// One change in the store.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// A newer table of relayed traffic was written.
    Ingress(sync::Arc<ingress::Declaration>),
    /// The entry of an upstream was written.
    Upstream(upstream_registry::Entry),
    /// The entry of an upstream was deleted at a revision.
    UpstreamRemoved(name::UpstreamName, revision::Revision),
    /// The entry of an instance was written.
    Instance(member::Contact),
    /// The entry of an instance was deleted.
    InstanceRemoved(name::InstanceName),
    /// The value that was written to this key cannot be decoded and is ignored.
    Unreadable(String),
}

/// A sequence of changes.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    pub revision: revision::Revision,
    /// The changes in order. The [`upstream_registry::Removal`] of a change applies if it is a
    /// deletion.
    pub changes: Vec<(Change, upstream_registry::Removal)>,
}

/// The largest number of changes in a log. A follower that is further behind gets a complete
/// snapshot.
const MAX_LOGGED: usize = 256;

/// The latest changes, for the instances that follow the local one.
#[derive(Debug, Default)]
pub struct StoreChangeLog {
    /// The revision after which the log is complete.
    complete_after: revision::Revision,
    changes: collections::VecDeque<(revision::Revision, Change, upstream_registry::Removal)>,
}

impl StoreChangeLog {
    /// Clears the log after a complete snapshot has been applied.
    pub fn reset(&mut self, at: revision::Revision) {
        self.complete_after = at;
        self.changes.clear();
    }

    /// Appends changes and removes the oldest ones if the log is too long.
    pub fn append(&mut self, changes: &Changes) {
        for (change, removal) in &changes.changes {
            let entry = (changes.revision, change.clone(), *removal);
            self.changes.push_back(entry);
        }
        while self.changes.len() > MAX_LOGGED {
            if let Some((revision, ..)) = self.changes.pop_front() {
                self.complete_after = self.complete_after.max(revision);
            }
        }
    }

    /// Returns the changes after a revision, with `revision` as the revision up to which they are
    /// complete.
    ///
    /// Returns `None` if the log does not reach back to `after`.
    pub fn since(
        &self,
        after: revision::Revision,
        revision: revision::Revision,
    ) -> Option<Changes> {
        if after < self.complete_after {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, ..)| *at > after);
        let changes = newer.map(|(_, change, removal)| (change.clone(), *removal));
        Some(Changes {
            revision,
            changes: changes.collect(),
        })
    }
}
