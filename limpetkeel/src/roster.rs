//! The upstreams of relayed traffic, as the platform's store names them.
//!
//! Every entry carries the revision of its last change, so that a late or repeated answer of the
//! store never undoes a newer one.

use std::{collections, net};

use crate::{name, revision, unit};

/// An entry that vanished while the store was in trouble may be back within this long; the
/// platform writes lapsed entries again within two seconds of the store's return.
const RETURN_GRACE: unit::Millis = unit::Millis(2_500);

/// What an upstream says of its readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The name, new with most starts of the upstream.
    pub name: name::UpstreamName,
    /// The pool that it belongs to.
    pub pool: name::PoolName,
    /// Its availability zone.
    pub availability_zone: name::AvailabilityZoneName,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes work.
    pub standing: Standing,
    /// When it started, which tells two lives under one name apart.
    pub started: u64,
    /// The revision of the entry's last change.
    pub revision: revision::Revision,
}

#[derive(Debug)]
struct Listed {
    entry: Entry,
    /// Since when the entry is missing, if it vanished while the store was in trouble.
    missing_since: Option<unit::Timestamp>,
}

/// How an entry vanished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Removal {
    /// The store was well: the upstream is gone.
    Certain,
    /// The store was in trouble: the entry may have lapsed though the upstream lives.
    Doubtful,
}

/// All upstreams that are known.
#[derive(Debug, Default)]
pub struct Roster {
    entries: collections::BTreeMap<name::UpstreamName, Listed>,
    removed: collections::BTreeMap<name::UpstreamName, revision::Revision>,
    /// Counts changes, so that others see whether their view is current.
    generation: u64,
}

impl Roster {
    /// Returns a number that grows with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes in an entry and tells whether it was newer.
    pub fn upsert(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.name);
        let newest = known
            .map(|listed| listed.entry.revision)
            .max(self.removed.get(&entry.name).copied());
        let back = known.is_some_and(|listed| listed.missing_since.is_some());
        if newest.is_some_and(|newest| newest >= entry.revision) && !back {
            return false;
        }
        self.removed.remove(&entry.name);
        self.generation += 1;
        let name = entry.name.clone();
        let listed = Listed {
            entry,
            missing_since: None,
        };
        self.entries.insert(name, listed);
        true
    }

    /// Takes out an entry that was deleted at a revision.
    pub fn remove(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        at: revision::Revision,
        removal: Removal,
    ) {
        let Some(listed) = self.entries.get_mut(name) else {
            return;
        };
        if listed.entry.revision > at {
            return;
        }
        self.generation += 1;
        match removal {
            Removal::Doubtful if listed.entry.standing == Standing::Ready => {
                listed.missing_since.get_or_insert(now);
            }
            _ => {
                self.entries.remove(name);
                self.removed.insert(name.clone(), at);
            }
        }
    }

    /// Replaces the roster by one that was complete at a revision.
    pub fn replace(
        &mut self,
        now: unit::Timestamp,
        entries: Vec<Entry>,
        at: revision::Revision,
        removal: Removal,
    ) {
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|name| !entries.iter().any(|entry| entry.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(now, &name, at, removal);
        }
        for entry in entries {
            self.upsert(entry);
        }
    }

    /// Forgets entries that stayed missing, and old removals.
    pub fn sweep(&mut self, now: unit::Timestamp) {
        let before = self.entries.len();
        self.entries.retain(|_, listed| {
            listed
                .missing_since
                .is_none_or(|since| now.since(since) < RETURN_GRACE)
        });
        if self.entries.len() != before {
            self.generation += 1;
        }
        while self.removed.len() > MAX_REMOVED {
            self.removed.pop_first();
        }
    }

    /// Returns an upstream.
    pub fn get(&self, name: &name::UpstreamName) -> Option<&Entry> {
        self.entries.get(name).map(|listed| &listed.entry)
    }

    /// Returns every entry that is not missing.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|listed| listed.missing_since.is_none())
            .map(|listed| &listed.entry)
    }

    /// Returns the upstreams of a pool that take work; those whose entry is missing only if no
    /// other is left.
    pub fn serving(&self, pool: &name::PoolName) -> Vec<Entry> {
        let ready = |listed: &&Listed| {
            listed.entry.pool == *pool && listed.entry.standing == Standing::Ready
        };
        let (present, missing): (Vec<_>, Vec<_>) = self
            .entries
            .values()
            .filter(ready)
            .partition(|listed| listed.missing_since.is_none());
        let chosen = if present.is_empty() { missing } else { present };
        chosen
            .into_iter()
            .map(|listed| listed.entry.clone())
            .collect()
    }

    /// Tells whether any upstream takes work.
    pub fn is_serving(&self) -> bool {
        self.entries
            .values()
            .any(|listed| listed.entry.standing == Standing::Ready)
    }
}

/// Removals that are remembered, so that a late answer does not bring an entry back.
const MAX_REMOVED: usize = 1_024;
