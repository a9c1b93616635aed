//! The instances that the store lists, and which of them answer.

use std::collections;

use crate::{member, name, unit};

/// An instance that did not answer is passed over for this long, then tried again: long enough
/// that a frozen planner costs few requests, short enough that a revived one is used soon.
const SUSPICION: unit::Millis = unit::Millis(1_500);

/// The suspicion doubles with each further miss, up to this: a zone is cut off for seconds.
const LONGEST_SUSPICION: unit::Millis = unit::Millis(6_000);

/// Planners that are asked before the one of the own availability zone.
const PLANNERS: usize = 2;

/// Instances of an availability zone that watch the store. Each change costs a call for each of
/// them; with two, the loss of one leaves the zone current.
const WATCHERS: usize = 2;

/// The key by which watchers are chosen.
const WATCH_KEY: &str = "store-watch";

/// Since when, and for how long, an instance is passed over.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    until: unit::Timestamp,
    span: unit::Millis,
}

/// The instances of the system as one of them sees them.
#[derive(Debug)]
pub struct Roll {
    own: member::Contact,
    listed: collections::BTreeMap<name::InstanceName, member::Contact>,
    suspected: collections::BTreeMap<name::InstanceName, Suspicion>,
}

impl Roll {
    /// Creates a roll with the own instance only.
    pub fn new(own: member::Contact) -> Roll {
        Roll {
            own,
            listed: collections::BTreeMap::new(),
            suspected: collections::BTreeMap::new(),
        }
    }

    /// Returns the own contact.
    pub fn own(&self) -> &member::Contact {
        &self.own
    }

    /// Returns the number of instances, the own one included.
    pub fn len(&self) -> usize {
        let own_listed = self.listed.contains_key(&self.own.name);
        self.listed.len() + usize::from(!own_listed)
    }

    /// Tells whether no other instance is known.
    pub fn is_empty(&self) -> bool {
        self.len() <= 1
    }

    /// Returns the list.
    pub fn listed(&self) -> Vec<member::Contact> {
        self.listed.values().cloned().collect()
    }

    /// Lists an instance.
    pub fn list(&mut self, contact: member::Contact) {
        self.listed.insert(contact.name.clone(), contact);
    }

    /// Takes an instance off the list.
    pub fn unlist(&mut self, name: &name::InstanceName) {
        self.listed.remove(name);
        self.suspected.remove(name);
    }

    /// Replaces the list.
    pub fn replace(&mut self, contacts: Vec<member::Contact>) {
        self.listed = contacts
            .into_iter()
            .map(|contact| (contact.name.clone(), contact))
            .collect();
    }

    /// Passes an instance over for a while, since it did not answer.
    pub fn suspect(&mut self, now: unit::Timestamp, name: &name::InstanceName) {
        let before = self.suspected.get(name);
        let span = before.map_or(SUSPICION, |before| {
            // Requests that were under way together count as one miss.
            if now < before.until {
                before.span
            } else {
                unit::Millis(before.span.0 * 2).min(LONGEST_SUSPICION)
            }
        });
        let until = now.after(span);
        self.suspected
            .insert(name.clone(), Suspicion { until, span });
    }

    /// Notes that an instance answered.
    pub fn trust(&mut self, name: &name::InstanceName) {
        self.suspected.remove(name);
    }

    fn trusted(&self, now: unit::Timestamp) -> impl Iterator<Item = &member::Contact> {
        self.listed.values().filter(move |contact| {
            let suspicion = self.suspected.get(&contact.name);
            suspicion.is_none_or(|suspicion| suspicion.until <= now)
        })
    }

    /// Returns the instances to ask for plans of a key, in order: those that the key hashes to
    /// first, then one of the own availability zone.
    ///
    /// Rendezvous hashing: when an instance goes, only its own keys move. The last one holds when
    /// the own zone is cut off.
    pub fn planners(&self, now: unit::Timestamp, key: &str) -> Vec<member::Contact> {
        let mut ranked: Vec<_> = self.trusted(now).collect();
        ranked.sort_by_key(|contact| std::cmp::Reverse(member::weight(contact, key)));
        let zone = &self.own.availability_zone;
        let local = ranked
            .iter()
            .skip(PLANNERS)
            .find(|contact| contact.availability_zone == *zone);
        let first = ranked.iter().take(PLANNERS);
        first
            .chain(local)
            .map(|contact| (*contact).clone())
            .collect()
    }

    /// Returns the instances of the own availability zone that follow the store for the others of
    /// the zone, in order.
    pub fn watchers(&self, now: unit::Timestamp) -> Vec<member::Contact> {
        let zone = &self.own.availability_zone;
        let local = self.trusted(now).filter(|c| c.availability_zone == *zone);
        let mut ranked: Vec<_> = local.collect();
        ranked.sort_by_key(|contact| std::cmp::Reverse(member::weight(contact, WATCH_KEY)));
        ranked.into_iter().take(WATCHERS).cloned().collect()
    }

    /// Returns another instance that answers; `draw` is a random number.
    pub fn any(&self, now: unit::Timestamp, draw: u64) -> Option<member::Contact> {
        let others: Vec<_> = self
            .trusted(now)
            .filter(|contact| contact.name != self.own.name)
            .collect();
        let index = draw.checked_rem(others.len() as u64)?;
        others.get(index as usize).map(|contact| (*contact).clone())
    }
}
