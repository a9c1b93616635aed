//! The relay's data in the platform's store, as instances pass it on to each other.

use std::{collections, sync};

use crate::{
    crash_cause, evacuation_list, ingress, instance_registry, member, name, quarantine_list,
    revision, upstream_registry,
};

/// A snapshot of the relay's data in the store.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct StoreSnapshot {
    /// The revision of the snapshot.
    pub revision: revision::Revision,
    /// The newest table of relayed traffic, unless there is none or the receiver has it.
    pub ingress: Option<sync::Arc<ingress::Declaration>>,
    /// The upstreams.
    pub upstreams: Vec<upstream_registry::Entry>,
    /// The instances of the system.
    pub instances: Vec<member::Contact>,
    /// The quarantined causes of crashes.
    pub quarantines: Vec<quarantine_list::Entry>,
    /// The evacuated availability zones.
    pub evacuations: Vec<evacuation_list::Entry>,
    /// The entries that cannot be decoded. They are counted by the instance that reads the store.
    #[serde(skip)]
    pub unreadable: Vec<String>,
}

impl StoreSnapshot {
    /// Returns the changes that lead from the given tables to this snapshot, for the followers of
    /// the local instance. `removal` applies to the upstreams that are no longer listed.
    pub fn changes_from(
        &self,
        version: u64,
        upstreams: &upstream_registry::UpstreamRegistry,
        instances: &instance_registry::InstanceRegistry,
        quarantines: &quarantine_list::QuarantineList,
        evacuations: &evacuation_list::EvacuationList,
        removal: upstream_registry::Removal,
    ) -> Changes {
        let mut changes = Vec::new();
        if let Some(ingress) = &self.ingress
            && ingress.version > version
        {
            changes.push(Change::Ingress(ingress.clone()));
        }
        let known: collections::BTreeMap<_, _> = upstreams
            .entries()
            .map(|entry| (&entry.name, entry))
            .collect();
        let listed: collections::BTreeSet<_> =
            self.upstreams.iter().map(|entry| &entry.name).collect();
        let removed = known.keys().filter(|name| !listed.contains(**name));
        changes.extend(removed.map(|name| Change::UpstreamRemoved((*name).clone(), self.revision)));
        let changed = self
            .upstreams
            .iter()
            .filter(|entry| known.get(&entry.name) != Some(entry));
        changes.extend(changed.cloned().map(Change::Upstream));
        let known = instances.contacts();
        let gone = known
            .iter()
            .filter(|contact| !self.instances.iter().any(|c| c.name == contact.name));
        changes.extend(gone.map(|contact| Change::InstanceRemoved(contact.name.clone())));
        let joined = self
            .instances
            .iter()
            .filter(|contact| !known.contains(contact));
        changes.extend(joined.cloned().map(Change::Instance));
        let known: collections::BTreeMap<_, _> = quarantines
            .stored_entries()
            .map(|entry| (entry.quarantine.cause, entry))
            .collect();
        let listed: collections::BTreeSet<_> = self
            .quarantines
            .iter()
            .map(|entry| entry.quarantine.cause)
            .collect();
        let removed = known.keys().filter(|part| !listed.contains(part));
        changes.extend(removed.map(|part| Change::QuarantineRemoved(*part, self.revision)));
        let changed = self
            .quarantines
            .iter()
            .filter(|entry| known.get(&entry.quarantine.cause) != Some(entry));
        changes.extend(changed.copied().map(Change::Quarantine));
        changes.extend(self.evacuation_changes(evacuations));
        Changes {
            revision: self.revision,
            changes: changes
                .into_iter()
                .map(|change| (change, removal))
                .collect(),
        }
    }
}

impl StoreSnapshot {
    /// Returns the changes of the evacuated zones that lead from a list to this snapshot.
    fn evacuation_changes(&self, known: &evacuation_list::EvacuationList) -> Vec<Change> {
        let is_listed = |zone: &name::AvailabilityZoneName| {
            let mut listed = self.evacuations.iter();
            listed.any(|entry| entry.availability_zone == *zone)
        };
        let lifted = known.zones().iter().filter(|zone| !is_listed(zone));
        let lifted = lifted.map(|zone| Change::EvacuationLifted(zone.clone(), self.revision));
        let known: Vec<_> = known.entries().collect();
        let changed = self.evacuations.iter();
        let changed = changed.filter(|entry| !known.contains(entry)).cloned();
        lifted.chain(changed.map(Change::Evacuation)).collect()
    }
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
    /// The entry of a quarantined cause was written.
    Quarantine(quarantine_list::Entry),
    /// The entry of a quarantined cause was deleted at a revision.
    QuarantineRemoved(crash_cause::CrashCause, revision::Revision),
    /// The value that was written to this key cannot be decoded and is ignored.
    Unreadable(String),
    /// The evacuation of an availability zone was written.
    Evacuation(evacuation_list::Entry),
    /// The evacuation of an availability zone was deleted at a revision.
    EvacuationLifted(name::AvailabilityZoneName, revision::Revision),
}

/// What a change concerns.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Ingress,
    Upstream(name::UpstreamName),
    Instance(name::InstanceName),
    Quarantine(crash_cause::CrashCause),
    Unreadable(String),
    Evacuation(name::AvailabilityZoneName),
}

impl Change {
    fn subject(&self) -> Subject {
        match self {
            Change::Ingress(_) => Subject::Ingress,
            Change::Upstream(entry) => Subject::Upstream(entry.name.clone()),
            Change::UpstreamRemoved(name, _) => Subject::Upstream(name.clone()),
            Change::Instance(contact) => Subject::Instance(contact.name.clone()),
            Change::InstanceRemoved(name) => Subject::Instance(name.clone()),
            Change::Quarantine(entry) => Subject::Quarantine(entry.quarantine.cause),
            Change::QuarantineRemoved(part, _) => Subject::Quarantine(*part),
            Change::Unreadable(key) => Subject::Unreadable(key.clone()),
            Change::Evacuation(entry) => Subject::Evacuation(entry.availability_zone.clone()),
            Change::EvacuationLifted(zone, _) => Subject::Evacuation(zone.clone()),
        }
    }

    /// Returns `true` if a later change of the same subject makes this one redundant.
    ///
    /// A draining entry is kept before its removal, since a doubtful removal of an upstream that is
    /// known to be ready only marks it as missing.
    fn is_superseded_by(&self, later: &Change) -> bool {
        match (self, later) {
            (Change::Ingress(declaration), Change::Ingress(later)) => {
                declaration.version <= later.version
            }
            (Change::Upstream(entry), Change::UpstreamRemoved(..)) => {
                entry.state == upstream_registry::UpstreamState::Ready
            }
            _ => true,
        }
    }
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

impl Changes {
    /// Removes the changes that later ones make redundant, so that a burst of tables or of
    /// restarts is applied and forwarded once.
    pub fn remove_superseded(&mut self) {
        let mut latest: collections::BTreeMap<Subject, Change> = collections::BTreeMap::new();
        let mut kept = Vec::with_capacity(self.changes.len());
        for (change, removal) in self.changes.drain(..).rev() {
            let subject = change.subject();
            let later = latest.get(&subject);
            if later.is_some_and(|later| change.is_superseded_by(later)) {
                continue;
            }
            latest.insert(subject, change.clone());
            kept.push((change, removal));
        }
        kept.reverse();
        self.changes = kept;
    }
}

/// The largest number of changes in a log. A follower that is further behind gets a complete
/// snapshot. The changes of all upstreams and instances of a large deployment fit.
const MAX_LOGGED: usize = 1_024;

/// The latest changes, for the instances that follow the local one.
#[derive(Debug, Default)]
pub struct StoreChangeLog {
    /// The revision after which the log is complete.
    complete_after: revision::Revision,
    changes: collections::VecDeque<(revision::Revision, Change, upstream_registry::Removal)>,
}

impl StoreChangeLog {
    /// Clears the log after the first snapshot of an era has been applied.
    pub fn reset(&mut self, at: revision::Revision) {
        self.complete_after = at;
        self.changes.clear();
    }

    /// Appends changes, and removes those that they make redundant and the oldest ones if the log
    /// is too long.
    pub fn append(&mut self, changes: &Changes) {
        let latest: collections::BTreeMap<_, _> = changes
            .changes
            .iter()
            .map(|(change, _)| (change.subject(), change))
            .collect();
        self.changes.retain(|(_, earlier, _)| {
            let later = latest.get(&earlier.subject());
            !later.is_some_and(|later| earlier.is_superseded_by(later))
        });
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
