//! The quarantine list: the causes of crashes that are quarantined on all instances.
//!
//! The list consists of the entries in the platform's store and of the updates of the local
//! planners. A local update takes effect at once and is queued to be written to the store. It
//! takes precedence over the entry of its cause until the changes up to the revision of the write
//! have been applied, so that an older change that arrives meanwhile does not revert it.
//!
//! A store that was restored from a backup has lost the latest writes. The instance that wrote an
//! update queues it again, and the others keep the lost entries in force until then.

use std::collections;

use crate::{crash_cause, revision, unit};

/// The time after which an entry expires, in case no instance removes it.
pub const QUARANTINE_LIFETIME: unit::Millis = unit::Millis(300_000);

/// The largest number of entries from the store.
pub const MAX_QUARANTINES: usize = 1_024;

/// The largest number of local updates. It bounds the writes that are outstanding when the store
/// becomes available again.
pub const MAX_LOCAL_UPDATES: usize = 128;

/// An entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The quarantine.
    pub quarantine: crash_cause::Quarantine,
    /// The revision of the entry's last change.
    pub revision: revision::Revision,
}

/// How far a local update has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It is to be written to the store.
    Queued,
    /// It was written at a revision.
    Written(revision::Revision),
    /// The store has lost the entry, and the instance that wrote it writes it again.
    Retained,
}

/// An update that the entries of the store may not include.
#[derive(Clone, Copy, Debug)]
struct LocalUpdate {
    update: crash_cause::QuarantineUpdate,
    /// The position among the local updates, by which they are written.
    position: u64,
    published_at: unit::Timestamp,
    progress: Progress,
}

impl LocalUpdate {
    /// Returns `true` if the update was written at or before a revision of the same era.
    fn is_included(&self, at: revision::Revision) -> bool {
        match self.progress {
            Progress::Written(written) => written.era() == at.era() && written <= at,
            Progress::Queued | Progress::Retained => false,
        }
    }
}

/// The quarantine list.
#[derive(Debug, Default)]
pub struct QuarantineList {
    /// The entries in the store at `revision`.
    stored: collections::BTreeMap<crash_cause::CrashCause, Entry>,
    /// The revision up to which all changes have been applied.
    revision: revision::Revision,
    /// The local updates that the entries may not include.
    local: collections::BTreeMap<crash_cause::CrashCause, LocalUpdate>,
    /// The latest updates that this instance has written, which the entries include.
    written: collections::BTreeMap<crash_cause::CrashCause, LocalUpdate>,
    /// The position of the next local update.
    next_position: u64,
    /// The number of changes, by which users of the list detect that their copy is outdated.
    generation: u64,
    /// The revision of the latest entry or removal that changed a quarantine.
    changed_at: revision::Revision,
}

impl QuarantineList {
    /// Returns the generation, which increases with each change of the quarantines.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the revision of the latest entry or removal that changed a quarantine. Entries that
    /// are written again without a change do not count.
    pub fn changed_at(&self) -> revision::Revision {
        self.changed_at
    }

    /// Returns the quarantine of a cause.
    pub fn get(&self, cause: crash_cause::CrashCause) -> Option<crash_cause::Quarantine> {
        match self.local.get(&cause) {
            Some(local) => imposed(local.update),
            None => self.stored.get(&cause).map(|entry| entry.quarantine),
        }
    }

    /// Returns the quarantines.
    pub fn entries(&self) -> impl Iterator<Item = crash_cause::Quarantine> {
        let stored = self
            .stored
            .values()
            .map(|entry| entry.quarantine)
            .filter(|quarantine| !self.local.contains_key(&quarantine.cause));
        let local = self
            .local
            .values()
            .filter_map(|local| imposed(local.update));
        stored.chain(local)
    }

    /// Returns the entries in the store, without the local updates that it does not include yet.
    pub fn stored_entries(&self) -> impl Iterator<Item = &Entry> {
        self.stored.values()
    }

    /// Applies an entry of the store unless a newer one of the same cause is known. If the list is
    /// full, the oldest entry is removed.
    pub fn insert(&mut self, entry: Entry) {
        let cause = entry.quarantine.cause;
        let known = self.stored.get(&cause);
        if known.is_some_and(|known| known.revision > entry.revision) {
            return;
        }
        self.forget_written(cause, entry.revision);
        self.modify_at(entry.revision, cause, |list| {
            list.forget_retained(cause);
            list.stored.insert(cause, entry)
        });
        if self.stored.len() > MAX_QUARANTINES {
            self.remove_oldest();
        }
    }

    /// Applies the removal of an entry from the store at a revision.
    pub fn remove(&mut self, cause: crash_cause::CrashCause, at: revision::Revision) {
        self.forget_written(cause, at);
        let known = self.stored.get(&cause);
        if known.is_some_and(|known| known.revision <= at) {
            self.modify_at(at, cause, |list| list.stored.remove(&cause));
        }
    }

    /// Forgets a written update of a cause that another instance has updated since.
    fn forget_written(&mut self, cause: crash_cause::CrashCause, at: revision::Revision) {
        if let Some(local) = self.written.get(&cause)
            && let Progress::Written(written) = local.progress
            && written < at
        {
            self.written.remove(&cause);
        }
    }

    /// Forgets a retained quarantine, because the store lists the cause again.
    fn forget_retained(&mut self, cause: crash_cause::CrashCause) {
        let local = self.local.get(&cause);
        if local.is_some_and(|local| local.progress == Progress::Retained) {
            self.local.remove(&cause);
        }
    }

    /// Replaces the entries of the store with those at a revision.
    ///
    /// If the revision is of a later era, the store may have lost what it acknowledged: written
    /// updates that it does not include are queued again, and other lost quarantines are retained.
    pub fn replace(&mut self, now: unit::Timestamp, entries: Vec<Entry>, at: revision::Revision) {
        if self.revision.era() < at.era() && self.revision != revision::Revision::default() {
            self.recover_lost(now, &entries);
        }
        let listed: collections::BTreeSet<_> =
            entries.iter().map(|entry| entry.quarantine.cause).collect();
        let removed: Vec<_> = self
            .stored
            .keys()
            .filter(|cause| !listed.contains(cause))
            .copied()
            .collect();
        for cause in removed {
            self.remove(cause, at);
        }
        for entry in entries {
            self.insert(entry);
        }
        self.advance(at);
    }

    /// Queues the written updates again that the entries of a new era do not include, and retains
    /// the quarantines that they have lost.
    fn recover_lost(&mut self, now: unit::Timestamp, entries: &[Entry]) {
        let mut lost: Vec<_> = std::mem::take(&mut self.written).into_values().collect();
        let local = self.local.values();
        lost.extend(local.filter(|local| matches!(local.progress, Progress::Written(_))));
        for local in &mut lost {
            local.progress = Progress::Queued;
        }
        let stored = self.stored.values().map(|entry| entry.quarantine);
        let unpublished = stored.filter(|quarantine| {
            let is_lost = |local: &LocalUpdate| cause_of(local.update) == quarantine.cause;
            !lost.iter().any(is_lost) && !self.local.contains_key(&quarantine.cause)
        });
        let retained = unpublished.map(|quarantine| LocalUpdate {
            update: crash_cause::QuarantineUpdate::Imposed(quarantine),
            position: 0,
            published_at: now,
            progress: Progress::Retained,
        });
        lost.extend(retained.collect::<Vec<_>>());
        for mut local in lost {
            let cause = cause_of(local.update);
            let listed = entries.iter().find(|entry| entry.quarantine.cause == cause);
            let is_included = match (local.update, listed) {
                (crash_cause::QuarantineUpdate::Imposed(quarantine), Some(entry)) => {
                    entry.quarantine.crashes >= quarantine.crashes
                }
                (crash_cause::QuarantineUpdate::Lifted(_), None) => true,
                _ => false,
            };
            if is_included {
                self.modify(cause, |list| list.local.remove(&cause));
            } else {
                local.position = self.take_position();
                self.modify(cause, |list| list.local.insert(cause, local));
            }
        }
    }

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: revision::Revision) {
        self.revision = self.revision.max(revision);
        let included: Vec<_> = self
            .local
            .iter()
            .filter(|(_, local)| local.is_included(self.revision))
            .map(|(cause, local)| (*cause, *local))
            .collect();
        for (cause, local) in included {
            self.modify(cause, |list| list.local.remove(&cause));
            self.written.insert(cause, local);
        }
        while self.written.len() > MAX_LOCAL_UPDATES {
            let oldest = self.written.iter().min_by_key(|(_, local)| local.position);
            let Some(cause) = oldest.map(|(cause, _)| *cause) else {
                break;
            };
            self.written.remove(&cause);
        }
    }

    /// Removes the updates and the retained quarantines that are older than [`QUARANTINE_LIFETIME`].
    pub fn remove_expired(&mut self, now: unit::Timestamp) {
        let is_current = |local: &LocalUpdate| now.since(local.published_at) <= QUARANTINE_LIFETIME;
        self.written.retain(|_, local| is_current(local));
        let expired: Vec<_> = self
            .local
            .iter()
            .filter(|(_, local)| local.progress == Progress::Retained && !is_current(local))
            .map(|(cause, _)| *cause)
            .collect();
        for cause in expired {
            self.modify(cause, |list| list.local.remove(&cause));
        }
    }

    /// Applies an update of a local planner and queues it to be written to the store. It replaces
    /// an earlier update of the same cause. If the queue is full, the oldest update is removed. The
    /// end of a quarantine that nobody knows is not published.
    pub fn publish(&mut self, now: unit::Timestamp, update: crash_cause::QuarantineUpdate) {
        let cause = cause_of(update);
        let is_listed = self.stored.contains_key(&cause) || self.local.contains_key(&cause);
        if imposed(update).is_none() && !is_listed {
            return;
        }
        let local = LocalUpdate {
            update,
            position: self.take_position(),
            published_at: now,
            progress: Progress::Queued,
        };
        self.modify(cause, |list| list.local.insert(cause, local));
        if self.local.len() > MAX_LOCAL_UPDATES
            && let Some(oldest) = self.oldest_local(|_| true)
        {
            self.modify(oldest, |list| list.local.remove(&oldest));
        }
    }

    /// Returns the update to write to the store next.
    ///
    /// Updates whose writes have failed for longer than [`QUARANTINE_LIFETIME`] are discarded.
    pub fn next_write(&mut self, now: unit::Timestamp) -> Option<crash_cause::QuarantineUpdate> {
        loop {
            let cause = self.oldest_local(|local| local.progress == Progress::Queued)?;
            let local = self.local.get(&cause)?;
            if now.since(local.published_at) <= QUARANTINE_LIFETIME {
                return Some(local.update);
            }
            self.modify(cause, |list| list.local.remove(&cause));
        }
    }

    /// Records that an update was written at a revision.
    ///
    /// An update that has been replaced since remains queued, and so does one that was written in an
    /// era that has ended.
    pub fn record_written(
        &mut self,
        update: crash_cause::QuarantineUpdate,
        revision: revision::Revision,
    ) {
        if let Some(local) = self.local.get_mut(&cause_of(update))
            && local.update == update
            && revision.era() >= self.revision.era()
        {
            local.progress = Progress::Written(revision);
        }
        self.advance(self.revision);
    }

    /// Records that the write of an update failed. It is written again after the other updates.
    pub fn record_failed(&mut self, update: crash_cause::QuarantineUpdate) {
        let position = self.take_position();
        if let Some(local) = self.local.get_mut(&cause_of(update)) {
            local.position = position;
        }
    }

    fn take_position(&mut self) -> u64 {
        self.next_position += 1;
        self.next_position
    }

    /// Returns the cause of the first of the local updates that fulfill a condition.
    fn oldest_local(
        &self,
        condition: impl Fn(&LocalUpdate) -> bool,
    ) -> Option<crash_cause::CrashCause> {
        let candidates = self.local.iter().filter(|(_, local)| condition(local));
        let oldest = candidates.min_by_key(|(_, local)| local.position);
        oldest.map(|(cause, _)| *cause)
    }

    /// Removes the entry with the lowest revision.
    fn remove_oldest(&mut self) {
        let oldest = self.stored.values().min_by_key(|entry| entry.revision);
        if let Some(cause) = oldest.map(|entry| entry.quarantine.cause) {
            self.modify(cause, |list| list.stored.remove(&cause));
        }
    }

    /// Performs a modification that an entry or a removal at a revision causes.
    fn modify_at<T>(
        &mut self,
        at: revision::Revision,
        cause: crash_cause::CrashCause,
        modification: impl FnOnce(&mut QuarantineList) -> T,
    ) {
        let generation = self.generation;
        self.modify(cause, modification);
        if self.generation != generation {
            self.changed_at = self.changed_at.max(at);
        }
    }

    /// Performs a modification that concerns one cause, and increments the generation if the
    /// quarantine of the cause has changed.
    fn modify<T>(
        &mut self,
        cause: crash_cause::CrashCause,
        modification: impl FnOnce(&mut QuarantineList) -> T,
    ) {
        let before = self.get(cause);
        modification(self);
        if self.get(cause) != before {
            self.generation += 1;
        }
    }
}

/// Returns the cause that an update concerns.
fn cause_of(update: crash_cause::QuarantineUpdate) -> crash_cause::CrashCause {
    match update {
        crash_cause::QuarantineUpdate::Imposed(quarantine) => quarantine.cause,
        crash_cause::QuarantineUpdate::Lifted(cause) => cause,
    }
}

/// Returns the quarantine that an update imposes.
fn imposed(update: crash_cause::QuarantineUpdate) -> Option<crash_cause::Quarantine> {
    match update {
        crash_cause::QuarantineUpdate::Imposed(quarantine) => Some(quarantine),
        crash_cause::QuarantineUpdate::Lifted(_) => None,
    }
}
