//! The members of the system as one instance sees them.
//!
//! Three sources are joined. A heartbeat that advances shows that a member lives, and outweighs
//! the platform's list, which lags. A member's own announcement that it leaves holds until it
//! restarts. The list names members that were never heard, so that they can be contacted, and
//! marks members as leaving that did not say so themselves.

use std::{collections, net};

use xxhash_rust::xxh3;

use crate::{name, unit};

/// A member of the own availability zone is taken for dead when not heard for this long, and for
/// [`GOSSIP_ROUND`] more with each doubling of the members: news spread by doubling.
pub const DEAD_AFTER: unit::Millis = unit::Millis(4_000);

/// The time between two exchanges of gossip within an availability zone.
pub const GOSSIP_ROUND: unit::Millis = unit::Millis(1_000);

/// Other availability zones are heard less often. A member there whose connection fails is
/// suspected at once, so this need not be short.
const DEAD_AFTER_REMOTE: unit::Millis = unit::Millis(60_000);

/// A member that is neither heard nor listed is forgotten after this long.
const FORGET_AFTER: unit::Millis = unit::Millis(120_000);

/// How to reach a member.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Contact {
    /// The member's name.
    pub name: name::InstanceName,
    /// The member's availability zone.
    pub availability_zone: name::AvailabilityZoneName,
    /// Where the member takes messages of its peers.
    pub address: net::SocketAddr,
}

/// The count of a member's heartbeats: its start in the high half, its beats in the low half.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Heartbeat(u64);

impl Heartbeat {
    /// Starts the heartbeats of a process that started at that second of the Unix epoch.
    pub fn starting(unix_seconds: u32) -> Heartbeat {
        Heartbeat(u64::from(unix_seconds) << 32)
    }

    fn next(self) -> Heartbeat {
        Heartbeat(self.0 + 1)
    }

    fn start(self) -> u64 {
        self.0 >> 32
    }
}

/// What gossip says of one member; its name is sent only to those who do not know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The hash of the member's name.
    pub id: u64,
    /// The latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether the member has announced that it leaves.
    pub leaving: bool,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// How to reach the member.
    pub contact: Contact,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

#[derive(Clone, Debug)]
struct Member {
    contact: Contact,
    heartbeat: Heartbeat,
    heard: Option<unit::Timestamp>,
    known: unit::Timestamp,
    leaving: bool,
    listed: bool,
    /// The start of the process that the list reported as leaving.
    listed_leaving: Option<u64>,
}

impl Member {
    fn new(contact: Contact, now: unit::Timestamp) -> Member {
        Member {
            contact,
            heartbeat: Heartbeat::default(),
            heard: None,
            known: now,
            leaving: false,
            listed: false,
            listed_leaving: None,
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving == Some(self.heartbeat.start())
    }
}

fn id_of(name: &name::InstanceName) -> u64 {
    xxh3::xxh3_64(name.as_str().as_bytes())
}

/// All members that one instance knows, itself included.
#[derive(Debug)]
pub struct Members {
    own: Contact,
    members: collections::BTreeMap<u64, Member>,
}

impl Members {
    /// Creates the view of an instance that knows only itself.
    pub fn new(own: Contact, heartbeat: Heartbeat, now: unit::Timestamp) -> Members {
        let mut member = Member::new(own.clone(), now);
        member.heartbeat = heartbeat;
        member.heard = Some(now);
        let members = collections::BTreeMap::from([(id_of(&own.name), member)]);
        Members { own, members }
    }

    /// Returns the own contact.
    pub fn own(&self) -> &Contact {
        &self.own
    }

    fn own_member(&mut self) -> &mut Member {
        let own = self.own.clone();
        self.members
            .entry(id_of(&own.name))
            .or_insert_with(|| Member::new(own, unit::Timestamp::ZERO))
    }

    /// Counts one heartbeat of the own instance.
    pub fn beat(&mut self, now: unit::Timestamp) {
        let member = self.own_member();
        member.heartbeat = member.heartbeat.next();
        member.heard = Some(now);
    }

    /// Announces that the own instance leaves.
    pub fn announce_leaving(&mut self) {
        let member = self.own_member();
        member.leaving = true;
        member.heartbeat = member.heartbeat.next();
    }

    /// Forgets members that are neither heard nor listed.
    pub fn sweep(&mut self, now: unit::Timestamp) {
        let own = id_of(&self.own.name);
        self.members.retain(|id, member| {
            let last = member.heard.unwrap_or(member.known);
            *id == own || member.listed || now.since(last) < FORGET_AFTER
        });
    }
}

/// Gossip.
impl Members {
    /// Returns what to tell a peer: members of its availability zone, or all of them.
    pub fn digests(&self, only: Option<&name::AvailabilityZoneName>) -> Vec<Digest> {
        self.members
            .iter()
            .filter(|(_, member)| only.is_none_or(|zone| member.contact.availability_zone == *zone))
            .filter(|(_, member)| member.heard.is_some())
            .map(|(id, member)| Digest {
                id: *id,
                heartbeat: member.heartbeat,
                leaving: member.leaving,
            })
            .collect()
    }

    /// Takes in what a peer said and returns the identities that are not known here.
    pub fn merge(&mut self, now: unit::Timestamp, digests: &[Digest]) -> Vec<u64> {
        let own = id_of(&self.own.name);
        let mut unknown = Vec::new();
        for digest in digests.iter().filter(|digest| digest.id != own) {
            let Some(member) = self.members.get_mut(&digest.id) else {
                unknown.push(digest.id);
                continue;
            };
            if digest.heartbeat <= member.heartbeat {
                continue;
            }
            if digest.heartbeat.start() > member.heartbeat.start() {
                member.leaving = false;
            }
            member.heartbeat = digest.heartbeat;
            member.leaving |= digest.leaving;
            member.heard = Some(now);
        }
        unknown
    }

    /// Returns the contacts of identities that a peer does not know.
    pub fn contacts(&self, ids: &[u64]) -> Vec<Contact> {
        ids.iter()
            .filter_map(|id| self.members.get(id))
            .map(|m| m.contact.clone())
            .collect()
    }

    /// Adds contacts that were not known; they count as live once their heartbeat advances.
    pub fn introduce(&mut self, now: unit::Timestamp, contacts: Vec<Contact>) {
        for contact in contacts {
            let id = id_of(&contact.name);
            self.members
                .entry(id)
                .or_insert_with(|| Member::new(contact, now));
        }
    }

    /// Takes in the platform's list.
    pub fn adopt_list(&mut self, now: unit::Timestamp, listed: Vec<Listed>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let own = id_of(&self.own.name);
        for line in listed {
            let id = id_of(&line.contact.name);
            if id == own {
                continue;
            }
            let member = self
                .members
                .entry(id)
                .or_insert_with(|| Member::new(line.contact.clone(), now));
            member.listed = true;
            if member.contact.address != line.contact.address && member.heard.is_none() {
                member.contact = line.contact;
            }
            if !line.leaving {
                member.listed_leaving = None;
            } else if member.listed_leaving.is_none() {
                member.listed_leaving = Some(member.heartbeat.start());
            }
        }
    }
}

/// Queries.
impl Members {
    /// Takes a member for dead until its heartbeat advances, after a connection to it failed.
    pub fn suspect(&mut self, name: &name::InstanceName) {
        if let Some(member) = self.members.get_mut(&id_of(name)) {
            member.heard = None;
        }
    }

    /// Returns the rule by which a member counts as live now.
    fn liveness(&self, now: unit::Timestamp) -> impl Fn(&Member) -> bool + '_ {
        let zone = &self.own.availability_zone;
        let local = |member: &Member| member.contact.availability_zone == *zone;
        let members = self.members.values().filter(|member| local(member)).count();
        let doublings = u64::from(members.next_power_of_two().trailing_zeros());
        let dead_after = DEAD_AFTER + unit::Millis(GOSSIP_ROUND.0 * doublings);
        move |member| {
            if member.contact.name == self.own.name {
                return !member.leaving;
            }
            let limit = if local(member) {
                dead_after
            } else {
                DEAD_AFTER_REMOTE
            };
            !member.is_leaving() && member.heard.is_some_and(|heard| now.since(heard) < limit)
        }
    }

    /// Lists the live members of an availability zone.
    pub fn live<'a>(
        &'a self,
        now: unit::Timestamp,
        availability_zone: &'a name::AvailabilityZoneName,
    ) -> impl Iterator<Item = &'a Contact> {
        let is_live = self.liveness(now);
        self.members
            .values()
            .filter(move |member| member.contact.availability_zone == *availability_zone)
            .filter(move |member| is_live(member))
            .map(|member| &member.contact)
    }

    /// Lists everyone worth a gossip message: live members, and those that were never heard.
    pub fn gossip_targets(&self, now: unit::Timestamp, local: bool) -> Vec<Contact> {
        let is_live = self.liveness(now);
        self.members
            .values()
            .filter(|member| member.contact.name != self.own.name)
            .filter(|member| {
                local == (member.contact.availability_zone == self.own.availability_zone)
            })
            .filter(|member| is_live(member) || member.listed || member.heard.is_none())
            .map(|member| member.contact.clone())
            .collect()
    }

    /// Returns the live member of the availability zone that the key hashes to.
    ///
    /// Rendezvous hashing: when a member goes, only its own keys move.
    pub fn owner(
        &self,
        now: unit::Timestamp,
        availability_zone: &name::AvailabilityZoneName,
        key: &str,
    ) -> Option<Contact> {
        self.live(now, availability_zone)
            .max_by_key(|contact| weight(contact, key))
            .cloned()
    }

    /// Returns the live member of any availability zone that the key hashes to.
    pub fn global_owner(&self, now: unit::Timestamp, key: &str) -> Option<Contact> {
        let is_live = self.liveness(now);
        self.members
            .values()
            .filter(|member| is_live(member))
            .map(|member| &member.contact)
            .max_by_key(|contact| weight(contact, key))
            .cloned()
    }

    /// Tells whether the own instance is among the first `count` owners of the key in its zone.
    pub fn is_among_owners(&self, now: unit::Timestamp, key: &str, count: usize) -> bool {
        let own = weight(&self.own, key);
        let zone = &self.own.availability_zone;
        self.live(now, zone)
            .filter(|contact| weight(contact, key) > own)
            .count()
            < count
    }
}

/// Returns the weight by which rendezvous hashing ranks a member for a key.
pub(crate) fn weight(contact: &Contact, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), id_of(&contact.name))
}
