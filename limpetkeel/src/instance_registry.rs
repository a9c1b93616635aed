//! The instance registry: the instances that the store lists, and which of them respond.

use std::collections;

use crate::{member, name, unit, upstream_registry};

/// How long an instance that did not respond is skipped before it is tried again.
///
/// A lost packet delays the messages of one connection for about as long. Requests that go to another
/// planner meanwhile are unknown to the first one, so that both overload the same upstreams.
const INITIAL_SUSPICION: unit::Millis = unit::Millis(250);

/// The upper bound of the suspicion, which doubles with each further failure. Partitions of a zone
/// last for seconds.
const MAX_SUSPICION: unit::Millis = unit::Millis(6_000);

/// How long a planner whose tables were outdated is skipped. A change reaches all instances that
/// receive changes within a few hundred milliseconds.
const OUTDATED_BACKOFF: unit::Millis = unit::Millis(300);

/// The number of planners that are chosen from all availability zones, before one of the local
/// availability zone.
const HASHED_PLANNERS: usize = 2;

/// The number of instances of an availability zone that watch the store. Each change costs a call
/// for each watcher; with two watchers, the zone stays current if one fails.
const WATCHERS: usize = 2;

/// How long an instance whose entry disappeared while the store was unhealthy is kept. It covers the
/// time until the instance finds that its lease has ended, and registers again.
const UNLISTED_GRACE: unit::Millis = unit::Millis(4_000);

/// The key for the rendezvous hashing of watchers.
const WATCH_KEY: &str = "store-watch";

/// The period during which an instance is skipped.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: unit::Timestamp,
    duration: unit::Millis,
}

/// The instance registry, as seen by the local instance.
#[derive(Debug)]
pub struct InstanceRegistry {
    local: member::Contact,
    contacts: collections::BTreeMap<name::InstanceName, member::Contact>,
    /// When the entries of instances disappeared whose removal is doubtful.
    unlisted: collections::BTreeMap<name::InstanceName, unit::Timestamp>,
    suspicions: collections::BTreeMap<name::InstanceName, Suspicion>,
    /// The instances that declined to plan because of their outdated tables, each with the time until
    /// which it is not asked again.
    outdated: collections::BTreeMap<name::InstanceName, unit::Timestamp>,
}

impl InstanceRegistry {
    /// Creates an empty registry for the local instance.
    pub fn new(local: member::Contact) -> InstanceRegistry {
        InstanceRegistry {
            local,
            contacts: collections::BTreeMap::new(),
            unlisted: collections::BTreeMap::new(),
            suspicions: collections::BTreeMap::new(),
            outdated: collections::BTreeMap::new(),
        }
    }

    /// Returns the contact of the local instance.
    pub fn local(&self) -> &member::Contact {
        &self.local
    }

    /// Returns the number of instances, including the local one.
    pub fn len(&self) -> usize {
        let local_listed = self.contacts.contains_key(&self.local.name);
        self.contacts.len() + usize::from(!local_listed)
    }

    /// Returns `true` if no other instance is listed.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// Returns the listed instances.
    pub fn contacts(&self) -> Vec<member::Contact> {
        let listed = self.contacts.values();
        listed
            .filter(|contact| !self.unlisted.contains_key(&contact.name))
            .cloned()
            .collect()
    }

    /// Adds or replaces an instance.
    pub fn insert(&mut self, contact: member::Contact) {
        self.unlisted.remove(&contact.name);
        self.contacts.insert(contact.name.clone(), contact);
    }

    /// Removes an instance whose entry was deleted. If the removal is doubtful, the instance is kept
    /// for a while.
    pub fn remove(
        &mut self,
        now: unit::Timestamp,
        name: &name::InstanceName,
        removal: upstream_registry::Removal,
    ) {
        match removal {
            upstream_registry::Removal::Doubtful if self.contacts.contains_key(name) => {
                self.unlisted.entry(name.clone()).or_insert(now);
            }
            _ => {
                self.contacts.remove(name);
                self.unlisted.remove(name);
                self.suspicions.remove(name);
                self.outdated.remove(name);
            }
        }
    }

    /// Replaces the instances with all those that the store lists. `removal` applies to the ones that
    /// are no longer listed.
    pub fn replace(
        &mut self,
        now: unit::Timestamp,
        contacts: Vec<member::Contact>,
        removal: upstream_registry::Removal,
    ) {
        let missing: Vec<_> = self
            .contacts
            .keys()
            .filter(|name| !contacts.iter().any(|contact| contact.name == **name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(now, &name, removal);
        }
        for contact in contacts {
            self.insert(contact);
        }
    }

    /// Removes the instances that have been unlisted for too long.
    pub fn remove_expired(&mut self, now: unit::Timestamp) {
        let since = self.unlisted.iter();
        let expired: Vec<_> = since
            .filter(|(_, since)| now.since(**since) >= UNLISTED_GRACE)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.remove(now, &name, upstream_registry::Removal::Certain);
        }
    }

    /// Records that an instance did not respond, so that it is skipped for a while.
    pub fn record_failure(&mut self, now: unit::Timestamp, name: &name::InstanceName) {
        let previous = self.suspicions.get(name);
        let duration = previous.map_or(INITIAL_SUSPICION, |previous| {
            // Failures of requests that were in flight together count as one.
            if now < previous.until {
                previous.duration
            } else {
                unit::Millis(previous.duration.0 * 2).min(MAX_SUSPICION)
            }
        });
        let until = now.after(duration);
        self.suspicions
            .insert(name.clone(), Suspicion { until, duration });
    }

    /// Records that an instance responded, which ends its suspicion.
    pub fn record_response(&mut self, name: &name::InstanceName) {
        self.suspicions.remove(name);
    }

    /// Records that an instance responded that its tables are too old to plan, or made a plan that
    /// contradicts the local ones. It is not suspected, but plans nothing for a short time.
    pub fn record_outdated(&mut self, now: unit::Timestamp, name: &name::InstanceName) {
        self.suspicions.remove(name);
        self.outdated
            .insert(name.clone(), now.after(OUTDATED_BACKOFF));
    }

    /// Returns the listed instances that are not suspected.
    fn unsuspected(&self, now: unit::Timestamp) -> impl Iterator<Item = &member::Contact> {
        self.contacts.values().filter(move |contact| {
            let suspicion = self.suspicions.get(&contact.name);
            suspicion.is_none_or(|suspicion| suspicion.until <= now)
        })
    }

    /// Returns the instances that are not suspected in the order in which they take a role: the
    /// larger ones first, those of one size by the hash of `key`.
    ///
    /// Rendezvous hashing is used, so that the removal of an instance moves only the keys of that
    /// instance.
    fn ranked(&self, now: unit::Timestamp, key: &str) -> Vec<&member::Contact> {
        let mut ranked: Vec<_> = self.unsuspected(now).collect();
        ranked.sort_by_cached_key(|contact| {
            let weight = member::weight(contact, key);
            std::cmp::Reverse((contact.processor, weight))
        });
        ranked
    }

    /// Returns the planners of a key in the order in which they are tried: the instances that rank
    /// first, then one of the local availability zone, which is reachable even if the zone is
    /// partitioned.
    pub fn planners(&self, now: unit::Timestamp, key: &str) -> Vec<member::Contact> {
        let is_outdated = |contact: &member::Contact| {
            let until = self.outdated.get(&contact.name);
            until.is_some_and(|until| *until > now)
        };
        let mut ranked = self.ranked(now, key);
        ranked.retain(|contact| !is_outdated(contact));
        let zone = &self.local.availability_zone;
        let in_zone = ranked
            .iter()
            .skip(HASHED_PLANNERS)
            .find(|contact| contact.availability_zone == *zone);
        let hashed = ranked.iter().take(HASHED_PLANNERS);
        hashed
            .chain(in_zone)
            .map(|contact| (*contact).clone())
            .collect()
    }

    /// Returns the instances of the local availability zone that watch the store on behalf of the
    /// zone, in the order in which they are tried.
    pub fn watchers(&self, now: unit::Timestamp) -> Vec<member::Contact> {
        let zone = &self.local.availability_zone;
        let in_zone = self
            .ranked(now, WATCH_KEY)
            .into_iter()
            .filter(|contact| contact.availability_zone == *zone);
        in_zone.take(WATCHERS).cloned().collect()
    }

    /// Returns the instances that are neither suspected nor the local one.
    pub fn peers(&self, now: unit::Timestamp) -> Vec<member::Contact> {
        self.unsuspected(now)
            .filter(|contact| contact.name != self.local.name)
            .cloned()
            .collect()
    }

    /// Returns a random instance that is neither suspected nor the local one. `draw` is a uniformly
    /// distributed random number.
    pub fn random_peer(&self, now: unit::Timestamp, draw: u64) -> Option<member::Contact> {
        let mut peers = self.peers(now);
        let index = draw.checked_rem(peers.len() as u64)?;
        Some(peers.swap_remove(index as usize))
    }
}
