//! The quarantine list: the parts of prompts that are quarantined on all instances.
//!
//! The list consists of the entries in the platform's store and of the updates of the local
//! planners. A local update takes effect at once and is queued to be written to the store. It
//! takes precedence over the entry of its part until the changes up to the revision of the write
//! have been applied, so that an older change that arrives meanwhile does not revert it.
//!
//! A store that comes back from an older copy has lost the latest writes. The instance that wrote an
//! update queues it again, and the others keep the lost entries in force until then.

use std::collections;

use crate::{prompt_part, revision, unit};

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
    pub quarantine: prompt_part::Quarantine,
    /// The revision of the entry's last change.
    pub revision: revision::Revision,
}

/// How far a local update has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
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
    update: prompt_part::QuarantineUpdate,
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
    stored: collections::BTreeMap<prompt_part::PartId, Entry>,
    /// The revision up to which all changes have been applied.
    revision: revision::Revision,
    /// The local updates that the entries may not include.
    local: collections::BTreeMap<prompt_part::PartId, LocalUpdate>,
    /// The latest updates that this instance has written, which the entries include.
    written: collections::BTreeMap<prompt_part::PartId, LocalUpdate>,
    /// The position of the next local update.
    next_position: u64,
    /// The number of changes, by which users of the list detect that their copy is outdated.
    generation: u64,
}

impl QuarantineList {
    /// Returns the generation, which increases with each change of the quarantines.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the quarantine of a part.
    pub fn get(&self, part: prompt_part::PartId) -> Option<prompt_part::Quarantine> {
        match self.local.get(&part) {
            Some(local) => imposed(local.update),
            None => self.stored.get(&part).map(|entry| entry.quarantine),
        }
    }

    /// Returns the quarantines.
    pub fn entries(&self) -> impl Iterator<Item = prompt_part::Quarantine> {
        let stored = self
            .stored
            .values()
            .map(|entry| entry.quarantine)
            .filter(|quarantine| !self.local.contains_key(&quarantine.part));
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

    /// Applies an entry of the store unless a newer one of the same part is known. If the list is
    /// full, the oldest entry is removed.
    pub fn insert(&mut self, entry: Entry) {
        let part = entry.quarantine.part;
        let known = self.stored.get(&part);
        if known.is_some_and(|known| known.revision > entry.revision) {
            return;
        }
        self.forget_written(part, entry.revision);
        self.modify(part, |list| {
            list.forget_retained(part);
            list.stored.insert(part, entry)
        });
        if self.stored.len() > MAX_QUARANTINES {
            self.remove_oldest();
        }
    }

    /// Applies the removal of an entry from the store at a revision.
    pub fn remove(&mut self, part: prompt_part::PartId, at: revision::Revision) {
        self.forget_written(part, at);
        let known = self.stored.get(&part);
        if known.is_some_and(|known| known.revision <= at) {
            self.modify(part, |list| list.stored.remove(&part));
        }
    }

    /// Forgets a written update of a part that another instance has updated since.
    fn forget_written(&mut self, part: prompt_part::PartId, at: revision::Revision) {
        let written = self.written.get(&part).map(|written| written.progress);
        if written.is_some_and(|progress| progress < Progress::Written(at)) {
            self.written.remove(&part);
        }
    }

    /// Forgets a retained quarantine, because the store lists the part again.
    fn forget_retained(&mut self, part: prompt_part::PartId) {
        let local = self.local.get(&part);
        if local.is_some_and(|local| local.progress == Progress::Retained) {
            self.local.remove(&part);
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
            entries.iter().map(|entry| entry.quarantine.part).collect();
        let removed: Vec<_> = self
            .stored
            .keys()
            .filter(|part| !listed.contains(part))
            .copied()
            .collect();
        for part in removed {
            self.remove(part, at);
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
            let is_lost = |local: &LocalUpdate| part_of(local.update) == quarantine.part;
            !lost.iter().any(is_lost) && !self.local.contains_key(&quarantine.part)
        });
        let retained = unpublished.map(|quarantine| LocalUpdate {
            update: prompt_part::QuarantineUpdate::Imposed(quarantine),
            position: 0,
            published_at: now,
            progress: Progress::Retained,
        });
        lost.extend(retained.collect::<Vec<_>>());
        for mut local in lost {
            let part = part_of(local.update);
            let listed = entries.iter().find(|entry| entry.quarantine.part == part);
            let is_included = match (local.update, listed) {
                (prompt_part::QuarantineUpdate::Imposed(quarantine), Some(entry)) => {
                    entry.quarantine.crashes >= quarantine.crashes
                }
                (prompt_part::QuarantineUpdate::Lifted(_), None) => true,
                _ => false,
            };
            if is_included {
                self.modify(part, |list| list.local.remove(&part));
            } else {
                local.position = self.take_position();
                self.modify(part, |list| list.local.insert(part, local));
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
            .map(|(part, local)| (*part, *local))
            .collect();
        for (part, local) in included {
            self.modify(part, |list| list.local.remove(&part));
            self.written.insert(part, local);
        }
        while self.written.len() > MAX_LOCAL_UPDATES {
            let oldest = self.written.iter().min_by_key(|(_, local)| local.position);
            let Some(part) = oldest.map(|(part, _)| *part) else {
                break;
            };
            self.written.remove(&part);
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
            .map(|(part, _)| *part)
            .collect();
        for part in expired {
            self.modify(part, |list| list.local.remove(&part));
        }
    }

    /// Applies an update of a local planner and queues it to be written to the store. It replaces
    /// an earlier update of the same part. If the queue is full, the oldest update is removed.
    pub fn publish(&mut self, now: unit::Timestamp, update: prompt_part::QuarantineUpdate) {
        let part = part_of(update);
        let local = LocalUpdate {
            update,
            position: self.take_position(),
            published_at: now,
            progress: Progress::Queued,
        };
        self.modify(part, |list| list.local.insert(part, local));
        if self.local.len() > MAX_LOCAL_UPDATES
            && let Some(oldest) = self.oldest_local(|_| true)
        {
            self.modify(oldest, |list| list.local.remove(&oldest));
        }
    }

    /// Returns the update to write to the store next.
    ///
    /// Updates whose writes have failed for longer than [`QUARANTINE_LIFETIME`] are discarded.
    pub fn next_write(&mut self, now: unit::Timestamp) -> Option<prompt_part::QuarantineUpdate> {
        loop {
            let part = self.oldest_local(|local| local.progress == Progress::Queued)?;
            let local = self.local.get(&part)?;
            if now.since(local.published_at) <= QUARANTINE_LIFETIME {
                return Some(local.update);
            }
            self.modify(part, |list| list.local.remove(&part));
        }
    }

    /// Records that an update was written at a revision.
    ///
    /// An update that has been replaced since remains queued.
    pub fn record_written(
        &mut self,
        update: prompt_part::QuarantineUpdate,
        revision: revision::Revision,
    ) {
        if let Some(local) = self.local.get_mut(&part_of(update))
            && local.update == update
        {
            local.progress = Progress::Written(revision);
        }
        self.advance(self.revision);
    }

    /// Records that the write of an update failed. It is written again after the other updates.
    pub fn record_failed(&mut self, update: prompt_part::QuarantineUpdate) {
        let position = self.take_position();
        if let Some(local) = self.local.get_mut(&part_of(update)) {
            local.position = position;
        }
    }

    fn take_position(&mut self) -> u64 {
        self.next_position += 1;
        self.next_position
    }

    /// Returns the part of the first of the local updates that fulfill a condition.
    fn oldest_local(
        &self,
        condition: impl Fn(&LocalUpdate) -> bool,
    ) -> Option<prompt_part::PartId> {
        let candidates = self.local.iter().filter(|(_, local)| condition(local));
        let oldest = candidates.min_by_key(|(_, local)| local.position);
        oldest.map(|(part, _)| *part)
    }

    /// Removes the entry with the lowest revision.
    fn remove_oldest(&mut self) {
        let oldest = self.stored.values().min_by_key(|entry| entry.revision);
        if let Some(part) = oldest.map(|entry| entry.quarantine.part) {
            self.modify(part, |list| list.stored.remove(&part));
        }
    }

    /// Performs a modification that concerns one part, and increments the generation if the
    /// quarantine of the part has changed.
    fn modify<T>(
        &mut self,
        part: prompt_part::PartId,
        modification: impl FnOnce(&mut QuarantineList) -> T,
    ) {
        let before = self.get(part);
        modification(self);
        if self.get(part) != before {
            self.generation += 1;
        }
    }
}

/// Returns the part that an update concerns.
fn part_of(update: prompt_part::QuarantineUpdate) -> prompt_part::PartId {
    match update {
        prompt_part::QuarantineUpdate::Imposed(quarantine) => quarantine.part,
        prompt_part::QuarantineUpdate::Lifted(part) => part,
    }
}

/// Returns the quarantine that an update imposes.
fn imposed(update: prompt_part::QuarantineUpdate) -> Option<prompt_part::Quarantine> {
    match update {
        prompt_part::QuarantineUpdate::Imposed(quarantine) => Some(quarantine),
        prompt_part::QuarantineUpdate::Lifted(_) => None,
    }
}
