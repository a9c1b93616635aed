//! The upstream registry: the upstreams of relayed traffic that the platform's store lists.
//!
//! Every entry has the revision of its last change, so that a late or duplicate response of the
//! store does not overwrite newer data. An entry of a later era may come from a copy that is older
//! than what is known: it neither brings back a process that has left nor one that was replaced.

use std::{collections, net};

use crate::{name, revision, unit};

/// How long an entry that disappeared while the store was unhealthy is kept. The platform rewrites
/// expired entries within two seconds after the store has recovered.
const MISSING_GRACE: unit::Millis = unit::Millis(2_500);

/// The state of an upstream, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
}

/// The registry entry of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The name, which usually changes when the upstream restarts.
    pub name: name::UpstreamName,
    /// The pool of the upstream.
    pub pool: name::PoolName,
    /// The availability zone of the upstream.
    pub availability_zone: name::AvailabilityZoneName,
    /// The address on which the upstream listens.
    pub address: net::SocketAddr,
    /// The number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// The state of the upstream.
    pub state: UpstreamState,
    /// When the upstream started. It distinguishes two processes with the same name.
    pub start_time: u64,
    /// How long the upstream stays cold, or [`COLD_LEFT_UNKNOWN`].
    pub cold_left: unit::Millis,
    /// The revision of the entry's last change.
    pub revision: revision::Revision,
}

impl Entry {
    /// Returns `true` if a later entry concerns the placement of requests in no other way than this
    /// one. An upstream that stays cold for a shorter time than known is no risk.
    fn is_repeated_by(&self, later: &Entry) -> bool {
        let same = Entry {
            revision: later.revision,
            cold_left: self.cold_left.min(later.cold_left),
            ..self.clone()
        };
        same == *later
    }
}

/// Stands for the time that an upstream stays cold if its entry does not say it.
pub const COLD_LEFT_UNKNOWN: unit::Millis = unit::Millis(u64::MAX);

/// How long an upstream counts as cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdPeriod {
    /// The upstream.
    pub upstream: name::UpstreamName,
    /// When its entry was received.
    pub since: unit::Timestamp,
    /// What the entry says, or [`COLD_LEFT_UNKNOWN`].
    pub cold_left: unit::Millis,
    /// When the upstream was set back to its first moment, if it was.
    pub restarted: Option<unit::Timestamp>,
}

impl ColdPeriod {
    /// Returns when the period ends, if upstreams of the pool stay cold for `lifetime`.
    pub fn end(&self, lifetime: unit::Millis) -> unit::Timestamp {
        let cold_left = match self.cold_left {
            COLD_LEFT_UNKNOWN => lifetime,
            cold_left => cold_left,
        };
        let by_entry = self.since.after(cold_left);
        let restarted = self.restarted.map(|at| at.after(lifetime));
        restarted.map_or(by_entry, |end| end.max(by_entry))
    }
}

/// An entry and whether it is missing from the store.
#[derive(Debug)]
struct TrackedEntry {
    entry: Entry,
    /// When and at which revision the entry disappeared, if it did so while the store was
    /// unhealthy.
    missing_since: Option<(unit::Timestamp, revision::Revision)>,
    /// When the entry was received, or `None` if the time has not been recorded yet.
    received: Option<unit::Timestamp>,
    /// The time from which the upstream counts as cold for the period of its pool, whatever its entry
    /// says.
    cold_restarted: Option<unit::Timestamp>,
}

/// Whether the removal of an entry means that its upstream or instance has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Removal {
    /// The store was healthy, so the process has stopped.
    Certain,
    /// The store was unhealthy or has lost entries, so the process may be running.
    Doubtful,
}

/// What is remembered of a removed entry.
#[derive(Clone, Copy, Debug)]
struct RemovedEntry {
    /// The revision of the removal.
    at: revision::Revision,
    /// When the process of the entry started.
    start_time: u64,
    /// Whether the process has left, so that a copy that lists it is outdated.
    has_left: bool,
}

/// The upstream registry.
#[derive(Debug, Default)]
pub struct UpstreamRegistry {
    entries: collections::BTreeMap<name::UpstreamName, TrackedEntry>,
    removed: collections::BTreeMap<name::UpstreamName, RemovedEntry>,
    /// The number of changes, by which users of the registry detect that their copy is outdated.
    generation: u64,
    /// The revision of the latest change of each pool's upstreams, apart from repeated entries.
    changed_at: collections::BTreeMap<name::PoolName, revision::Revision>,
}

impl UpstreamRegistry {
    /// Returns the generation, which increases with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the revision of the latest change of a pool's upstreams. Entries that are written
    /// again without a change do not count.
    pub fn changed_at(&self, pool: &name::PoolName) -> revision::Revision {
        self.changed_at.get(pool).copied().unwrap_or_default()
    }

    fn record_change(&mut self, pool: name::PoolName, at: revision::Revision) {
        let changed_at = self.changed_at.entry(pool).or_default();
        *changed_at = at.max(*changed_at);
    }

    /// Applies an entry if its revision is newer than the last one of the upstream, or if it is the
    /// known entry and that is missing. Returns `true` if the entry was applied.
    ///
    /// The first entry of an era does not replace that of a later process, and a process that was
    /// leaving counts as draining until a later entry of the era.
    pub fn upsert(&mut self, mut entry: Entry) -> bool {
        let known = self.entries.get(&entry.name);
        let removed = self.removed.get(&entry.name);
        let newest = known
            .map(|tracked| tracked.entry.revision)
            .max(removed.map(|removed| removed.at));
        let was_missing = known.is_some_and(|tracked| tracked.missing_since.is_some());
        let is_outdated = newest.is_some_and(|newest| {
            newest > entry.revision || (newest == entry.revision && !was_missing)
        });
        if is_outdated {
            return false;
        }
        let begins_era = newest.is_some_and(|newest| newest.era() < entry.revision.era());
        if begins_era {
            if known.is_some_and(|tracked| tracked.entry.start_time > entry.start_time) {
                return false;
            }
            let left_at = match (known, removed) {
                (Some(tracked), _) if tracked.entry.state == UpstreamState::Draining => {
                    Some(tracked.entry.start_time)
                }
                (None, Some(removed)) if removed.has_left => Some(removed.start_time),
                _ => None,
            };
            if left_at.is_some_and(|start_time| entry.start_time <= start_time) {
                entry.state = UpstreamState::Draining;
            }
        }
        let former = known.map(|tracked| &tracked.entry);
        let is_repeated =
            !was_missing && former.is_some_and(|former| former.is_repeated_by(&entry));
        let former_pool = former.map(|former| former.pool.clone());
        if !is_repeated {
            self.record_change(entry.pool.clone(), entry.revision);
            if let Some(pool) = former_pool {
                self.record_change(pool, entry.revision);
            }
        }
        self.removed.remove(&entry.name);
        self.generation += 1;
        let name = entry.name.clone();
        let same_process = self.entries.get(&name);
        let same_process = same_process.filter(|known| known.entry.start_time == entry.start_time);
        let is_repetition = same_process.is_some_and(|known| {
            entry.cold_left == COLD_LEFT_UNKNOWN && known.entry.cold_left == COLD_LEFT_UNKNOWN
        });
        let tracked = TrackedEntry {
            missing_since: None,
            received: same_process
                .filter(|_| is_repetition)
                .and_then(|known| known.received),
            cold_restarted: same_process.and_then(|known| known.cold_restarted),
            entry,
        };
        self.entries.insert(name, tracked);
        true
    }

    /// Removes an entry that was deleted at a revision, unless the entry is newer. If the removal is
    /// doubtful and the upstream was ready, the entry is only marked as missing.
    pub fn remove(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        at: revision::Revision,
        removal: Removal,
    ) {
        let Some(tracked) = self.entries.get_mut(name) else {
            return;
        };
        if tracked.entry.revision > at {
            return;
        }
        self.generation += 1;
        let pool = tracked.entry.pool.clone();
        match removal {
            Removal::Doubtful if tracked.entry.state == UpstreamState::Ready => {
                tracked.missing_since.get_or_insert((now, at));
            }
            _ => {
                let removed = RemovedEntry {
                    at,
                    start_time: tracked.entry.start_time,
                    has_left: true,
                };
                self.entries.remove(name);
                self.removed.insert(name.clone(), removed);
            }
        }
        self.record_change(pool, at);
    }

    /// Replaces the entries with all those that the store lists at a revision. `removal` applies to
    /// the entries that are no longer listed.
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

    /// Removes the entries that have been missing for too long, and limits the number of remembered
    /// removals.
    pub fn remove_expired(&mut self, now: unit::Timestamp) {
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter_map(|(name, tracked)| {
                let (since, at) = tracked.missing_since?;
                let removed = RemovedEntry {
                    at,
                    start_time: tracked.entry.start_time,
                    has_left: false,
                };
                (now.since(since) >= MISSING_GRACE).then(|| (name.clone(), removed))
            })
            .collect();
        for (name, removed) in expired {
            self.generation += 1;
            self.entries.remove(&name);
            self.removed.insert(name, removed);
        }
        let excess = self.removed.len().saturating_sub(MAX_REMOVED);
        if excess > 0 {
            let mut revisions: Vec<_> = self.removed.values().map(|removed| removed.at).collect();
            revisions.sort();
            let oldest_kept = revisions[excess];
            self.removed.retain(|_, removed| removed.at >= oldest_kept);
        }
    }

    /// Records when the entries that have been applied since the last call were received.
    pub fn record_received(&mut self, now: unit::Timestamp) {
        for tracked in self.entries.values_mut() {
            tracked.received.get_or_insert(now);
        }
    }

    /// Makes the upstreams of a zone count as cold from `at` for the period of their pool, since they got
    /// no requests before.
    pub fn restart_cold_periods(&mut self, at: unit::Timestamp, zone: &name::AvailabilityZoneName) {
        for tracked in self.entries.values_mut() {
            if tracked.entry.availability_zone == *zone {
                tracked.cold_restarted = tracked.cold_restarted.max(Some(at));
            }
        }
        self.generation += 1;
    }

    /// Returns the cold periods of the upstreams of a pool, of which some may be over. `now` stands for
    /// the time of entries that were received since the last call of
    /// [`record_received`](UpstreamRegistry::record_received).
    pub fn cold_periods(&self, now: unit::Timestamp, pool: &name::PoolName) -> Vec<ColdPeriod> {
        let of_pool = self.entries.values();
        let of_pool = of_pool.filter(|tracked| tracked.entry.pool == *pool);
        let periods = of_pool.map(|tracked| ColdPeriod {
            upstream: tracked.entry.name.clone(),
            since: tracked.received.unwrap_or(now),
            cold_left: tracked.entry.cold_left,
            restarted: tracked.cold_restarted,
        });
        periods.collect()
    }

    /// Returns the entry of an upstream, even if it is missing.
    pub fn get(&self, name: &name::UpstreamName) -> Option<&Entry> {
        self.entries.get(name).map(|tracked| &tracked.entry)
    }

    /// Returns `true` if the entry of an upstream was removed and has not returned.
    pub fn was_removed(&self, name: &name::UpstreamName) -> bool {
        self.removed.contains_key(name)
    }

    /// Returns `true` if the entry of an upstream is missing.
    pub fn is_missing(&self, name: &name::UpstreamName) -> bool {
        let tracked = self.entries.get(name);
        tracked.is_some_and(|tracked| tracked.missing_since.is_some())
    }

    /// Returns `true` if a pool has a ready upstream whose entry is not missing. Missing ones are
    /// not used then.
    pub fn has_present_upstream(&self, pool: &name::PoolName) -> bool {
        self.entries()
            .any(|entry| entry.pool == *pool && entry.state == UpstreamState::Ready)
    }

    /// Returns all entries, even if they are missing.
    pub fn known_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|tracked| &tracked.entry)
    }

    /// Returns the entries that are not missing.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|tracked| tracked.missing_since.is_none())
            .map(|tracked| &tracked.entry)
    }

    /// Returns the ready upstreams of a pool. Upstreams whose entries are missing are returned only
    /// if no other upstream is ready.
    pub fn ready_upstreams(&self, pool: &name::PoolName) -> Vec<Entry> {
        let ready = |tracked: &&TrackedEntry| {
            tracked.entry.pool == *pool && tracked.entry.state == UpstreamState::Ready
        };
        let (present, missing): (Vec<_>, Vec<_>) = self
            .entries
            .values()
            .filter(ready)
            .partition(|tracked| tracked.missing_since.is_none());
        let chosen = if present.is_empty() { missing } else { present };
        chosen
            .into_iter()
            .map(|tracked| tracked.entry.clone())
            .collect()
    }

    /// Returns `true` if any upstream is ready.
    pub fn has_ready_upstream(&self) -> bool {
        self.entries
            .values()
            .any(|tracked| tracked.entry.state == UpstreamState::Ready)
    }
}

/// The largest number of removals that are remembered, so that a late response of the store does
/// not restore a removed entry.
const MAX_REMOVED: usize = 1_024;
