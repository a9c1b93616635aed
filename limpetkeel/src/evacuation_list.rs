//! The evacuation list: the availability zones to whose upstreams nothing new is sent.
//!
//! An evacuation lasts until its key is deleted from the platform's store. A store that was restored
//! from a backup may have lost the key; the evacuation is then kept for a while, in which the operator
//! writes it again.

use std::collections;

use crate::{name, revision, unit};

/// How long an evacuation is kept that a later era of the store does not list.
const LOST_GRACE: unit::Millis = unit::Millis(6_000);

/// The largest number of lifted evacuations that are remembered.
const MAX_LIFTS: usize = 64;

/// An evacuation in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The availability zone.
    pub availability_zone: name::AvailabilityZoneName,
    /// The revision of the entry's last change.
    pub revision: revision::Revision,
}

/// An evacuation in force.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    revision: revision::Revision,
    /// When the evacuation was found missing from a later era.
    lost_since: Option<unit::Timestamp>,
}

/// The end of an evacuation.
#[derive(Clone, Copy, Debug)]
struct Lift {
    revision: revision::Revision,
    at: unit::Timestamp,
}

/// The evacuation list.
#[derive(Debug, Default)]
pub struct EvacuationList {
    evacuations: collections::BTreeMap<name::AvailabilityZoneName, Evacuation>,
    /// The names of the evacuated zones.
    zones: collections::BTreeSet<name::AvailabilityZoneName>,
    lifts: collections::BTreeMap<name::AvailabilityZoneName, Lift>,
    /// The revision of the latest evacuation or lift.
    changed_at: revision::Revision,
}

impl EvacuationList {
    /// Returns the evacuated zones.
    pub fn zones(&self) -> &collections::BTreeSet<name::AvailabilityZoneName> {
        &self.zones
    }

    /// Returns `true` if a zone is evacuated.
    pub fn contains(&self, zone: &name::AvailabilityZoneName) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuations, for peers.
    pub fn entries(&self) -> impl Iterator<Item = Entry> {
        self.evacuations.iter().map(|(zone, evacuation)| Entry {
            availability_zone: zone.clone(),
            revision: evacuation.revision,
        })
    }

    /// Returns the revision of the latest evacuation or lift.
    pub fn changed_at(&self) -> revision::Revision {
        self.changed_at
    }

    /// Returns when the latest evacuation of a zone was lifted, unless it is evacuated again. The
    /// upstreams of the zone may be cold since.
    pub fn lifted_at(&self, zone: &name::AvailabilityZoneName) -> Option<unit::Timestamp> {
        let lift = self.lifts.get(zone).filter(|_| !self.contains(zone));
        lift.map(|lift| lift.at)
    }

    /// Applies an evacuation, unless a later change of the zone is known. Returns `true` if the zone
    /// was not evacuated.
    pub fn insert(&mut self, entry: Entry) -> bool {
        let zone = entry.availability_zone;
        let lifted = self.lifts.get(&zone);
        if lifted.is_some_and(|lift| lift.revision >= entry.revision) {
            return false;
        }
        let known = self.evacuations.get(&zone);
        if known.is_some_and(|known| known.revision >= entry.revision) {
            return false;
        }
        let is_new = known.is_none();
        if is_new {
            self.changed_at = self.changed_at.max(entry.revision);
        }
        let evacuation = Evacuation {
            revision: entry.revision,
            lost_since: None,
        };
        self.evacuations.insert(zone.clone(), evacuation);
        self.zones.insert(zone);
        is_new
    }

    /// Applies the deletion of an evacuation at a revision, unless a later one is known. Returns
    /// `true` if the zone was evacuated.
    pub fn lift(
        &mut self,
        now: unit::Timestamp,
        zone: &name::AvailabilityZoneName,
        at: revision::Revision,
    ) -> bool {
        let known = self.evacuations.get(zone);
        if known.is_some_and(|known| known.revision > at) {
            return false;
        }
        let was_evacuated = self.evacuations.remove(zone).is_some();
        self.zones.remove(zone);
        let lift = Lift {
            revision: at,
            at: now,
        };
        let known_lift = self.lifts.get(zone);
        if known_lift.is_none_or(|known| known.revision < at) {
            self.lifts.insert(zone.clone(), lift);
        }
        if was_evacuated {
            self.changed_at = self.changed_at.max(at);
        }
        if self.lifts.len() > MAX_LIFTS {
            let oldest = self.lifts.iter().min_by_key(|(_, lift)| lift.at);
            if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
                self.lifts.remove(&zone);
            }
        }
        was_evacuated
    }

    /// Replaces the evacuations with those that the store lists at a revision.
    ///
    /// An evacuation of an earlier era that is not listed may have been lost with the newest contents
    /// of the store; it is kept for a while.
    pub fn replace(
        &mut self,
        now: unit::Timestamp,
        entries: Vec<Entry>,
        at: revision::Revision,
    ) -> Changes {
        let listed: collections::BTreeSet<_> = entries
            .iter()
            .map(|entry| entry.availability_zone.clone())
            .collect();
        let unlisted = self.zones.difference(&listed).cloned();
        let mut changes = Changes::default();
        for zone in unlisted.collect::<Vec<_>>() {
            let is_of_era = |evacuation: &&mut Evacuation| evacuation.revision.era() == at.era();
            match self.evacuations.get_mut(&zone) {
                Some(lost) if !is_of_era(&lost) => {
                    lost.lost_since.get_or_insert(now);
                }
                _ => {
                    if self.lift(now, &zone, at) {
                        changes.lifted.push(zone);
                    }
                }
            }
        }
        for entry in entries {
            let zone = entry.availability_zone.clone();
            if self.insert(entry) {
                changes.evacuated.push(zone);
            }
        }
        // A peer that still keeps a lost evacuation passes it on.
        for evacuation in self.evacuations.values_mut() {
            if evacuation.revision.era() < at.era() {
                evacuation.lost_since.get_or_insert(now);
            }
        }
        changes
    }

    /// Lifts the evacuations that a later era has not listed in time, and returns their zones. `at` is
    /// the revision up to which all changes have been applied.
    pub fn remove_expired(
        &mut self,
        now: unit::Timestamp,
        at: revision::Revision,
    ) -> Vec<name::AvailabilityZoneName> {
        let expired = self.evacuations.iter().filter(|(_, evacuation)| {
            let since = evacuation.lost_since;
            since.is_some_and(|since| now.since(since) >= LOST_GRACE)
        });
        let mut expired: Vec<_> = expired.map(|(zone, _)| zone.clone()).collect();
        expired.retain(|zone| self.lift(now, zone, at));
        expired
    }
}

/// The zones whose evacuation has begun or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The zones that are evacuated now.
    pub evacuated: Vec<name::AvailabilityZoneName>,
    /// The zones that are no longer evacuated.
    pub lifted: Vec<name::AvailabilityZoneName>,
}
