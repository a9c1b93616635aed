//! The quarantine list: the parts of prompts that are quarantined on all instances.
//!
//! The list consists of the entries in the platform's store and of the updates of the local
//! planners. A local update takes effect at once and is queued to be written to the store. It
//! takes precedence over the entry of its part until the changes up to the revision of the write
//! have been applied, so that an older change that arrives meanwhile does not revert it.

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

/// An update of a local planner.
#[derive(Clone, Copy, Debug)]
struct LocalUpdate {
    update: prompt_part::QuarantineUpdate,
    /// The position among the local updates, by which they are written.
    position: u64,
    published_at: unit::Timestamp,
    /// The revision of the write, or `None` if it is outstanding.
    written_at: Option<revision::Revision>,
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
        self.modify(part, |list| list.stored.insert(part, entry));
        if self.stored.len() > MAX_QUARANTINES {
            self.remove_oldest();
        }
    }

    /// Applies the removal of an entry from the store at a revision.
    pub fn remove(&mut self, part: prompt_part::PartId, at: revision::Revision) {
        let known = self.stored.get(&part);
        if known.is_some_and(|known| known.revision <= at) {
            self.modify(part, |list| list.stored.remove(&part));
        }
    }

    /// Replaces the entries of the store with those at a revision.
    pub fn replace(&mut self, entries: Vec<Entry>, at: revision::Revision) {
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

    /// Records that all changes up to a revision have been applied.
    pub fn advance(&mut self, revision: revision::Revision) {
        self.revision = self.revision.max(revision);
        let included: Vec<_> = self
            .local
            .iter()
            .filter(|(_, local)| local.written_at.is_some_and(|at| at <= self.revision))
            .map(|(part, _)| *part)
            .collect();
        for part in included {
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
            written_at: None,
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
            let part = self.oldest_local(|local| local.written_at.is_none())?;
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
            local.written_at = Some(revision);
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
