//! What the platform's store holds for the relay, as one instance hands it to another.

use std::{collections, sync};

use crate::{ingress, member, name, revision, roster};

/// Everything that the store holds for the relay, complete at one revision.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Catalog {
    /// The revision at which it was complete.
    pub revision: revision::Revision,
    /// The newest table of routes.
    pub ingress: Option<sync::Arc<ingress::Declaration>>,
    /// The upstreams.
    pub upstreams: Vec<roster::Entry>,
    /// The instances of the system.
    pub instances: Vec<member::Contact>,
}

/// One change in the store.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// A newer table of routes.
    Ingress(sync::Arc<ingress::Declaration>),
    /// An upstream has a new entry.
    Upstream(roster::Entry),
    /// An upstream's entry was deleted.
    UpstreamGone(name::UpstreamName, revision::Revision),
    /// An instance was listed.
    Instance(member::Contact),
    /// An instance is no longer listed.
    InstanceGone(name::InstanceName),
    /// Something was written that cannot be read; it names nothing to use.
    Unreadable(String),
}

/// Changes in their order.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Changes {
    /// The revision up to which they are complete.
    pub revision: revision::Revision,
    /// The changes, each with what a deletion in it means.
    pub changes: Vec<(Change, roster::Removal)>,
}

/// Changes that a log keeps; a follower that is further behind gets the whole catalog.
const MAX_LOGGED: usize = 256;

/// The latest changes, for instances that follow this one.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// The log is complete after this revision.
    from: revision::Revision,
    changes: collections::VecDeque<(revision::Revision, Change, roster::Removal)>,
}

impl ChangeLog {
    /// Starts again after a whole catalog was adopted.
    pub fn reset(&mut self, at: revision::Revision) {
        self.from = at;
        self.changes.clear();
    }

    /// Adds changes.
    pub fn append(&mut self, changes: &Changes) {
        for (change, removal) in &changes.changes {
            let entry = (changes.revision, change.clone(), *removal);
            self.changes.push_back(entry);
        }
        while self.changes.len() > MAX_LOGGED {
            if let Some((revision, ..)) = self.changes.pop_front() {
                self.from = self.from.max(revision);
            }
        }
    }

    /// Returns the changes after a revision, if the log reaches back to it.
    pub fn since(
        &self,
        after: revision::Revision,
        revision: revision::Revision,
    ) -> Option<Changes> {
        if after < self.from {
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
