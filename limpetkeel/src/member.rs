//! The members of the system, as seen by the local instance.
//!
//! The view combines three sources. An advancing heartbeat shows that a member is running and takes
//! precedence over the platform's list, which lags. A member's announcement that it is draining is
//! valid until the member restarts. The list names members without a heartbeat, so that they can be
//! contacted, and marks members as draining that have not announced it.

use std::{collections, net};

use xxhash_rust::xxh3;

use crate::{name, unit};

/// The time without a heartbeat after which a member of the local availability zone counts as dead.
///
/// [`GOSSIP_ROUND`] is added for each doubling of the number of members, since each round of gossip
/// doubles the number of members that know of a heartbeat.
pub const DEAD_AFTER: unit::Millis = unit::Millis(4_000);

/// The interval between two rounds of gossip within an availability zone.
pub const GOSSIP_ROUND: unit::Millis = unit::Millis(1_000);

/// The time without a heartbeat after which a member of a remote availability zone counts as dead.
///
/// Heartbeats of remote zones arrive less often. A remote member whose connection fails is suspected
/// immediately, so this time can be long.
const DEAD_AFTER_REMOTE: unit::Millis = unit::Millis(60_000);

/// How long a member without heartbeats that is not listed is remembered.
const FORGET_AFTER: unit::Millis = unit::Millis(120_000);

/// The name, the availability zone and the address of a member.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Contact {
    /// The member's name.
    pub name: name::InstanceName,
    /// The member's availability zone.
    pub availability_zone: name::AvailabilityZoneName,
    /// The address on which the member accepts messages of its peers.
    pub address: net::SocketAddr,
    /// The processor time of the member's machine, by which roles are assigned; zero if unknown.
    pub processor: unit::Millicores,
}

/// The heartbeat counter of a member: the start time of its process in the upper 32 bits, the
/// number of heartbeats in the lower 32 bits.
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
    /// Creates the counter of a process that started at the given Unix time.
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

/// The gossip about one member. The name of the member is sent only to peers that do not know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The hash of the member's name.
    pub id: u64,
    /// The latest heartbeat.
    pub heartbeat: Heartbeat,
    /// Whether the member has announced that it is draining.
    pub draining: bool,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The contact of the member.
    pub contact: Contact,
    /// Whether the platform is removing the member.
    pub draining: bool,
}

/// What is known about a member.
#[derive(Clone, Debug)]
struct Member {
    contact: Contact,
    heartbeat: Heartbeat,
    /// When the heartbeat last advanced, or `None` if it never did or the member is suspected.
    last_heartbeat: Option<unit::Timestamp>,
    first_known: unit::Timestamp,
    /// Whether the member has announced that it is draining.
    announced_draining: bool,
    listed: bool,
    /// The start time of the process that the list reported as draining.
    listed_draining: Option<u64>,
}

impl Member {
    fn new(contact: Contact, now: unit::Timestamp) -> Member {
        Member {
            contact,
            heartbeat: Heartbeat::default(),
            last_heartbeat: None,
            first_known: now,
            announced_draining: false,
            listed: false,
            listed_draining: None,
        }
    }

    fn is_draining(&self) -> bool {
        self.announced_draining || self.listed_draining == Some(self.heartbeat.start())
    }
}

/// Returns the ID of a member, the hash of its name.
fn id_of(name: &name::InstanceName) -> u64 {
    xxh3::xxh3_64(name.as_str().as_bytes())
}

/// The members that the local instance knows, including itself.
#[derive(Debug)]
pub struct Members {
    local: Contact,
    members: collections::BTreeMap<u64, Member>,
}

impl Members {
    /// Creates a view that contains only the local instance.
    pub fn new(local: Contact, heartbeat: Heartbeat, now: unit::Timestamp) -> Members {
        let mut member = Member::new(local.clone(), now);
        member.heartbeat = heartbeat;
        member.last_heartbeat = Some(now);
        let members = collections::BTreeMap::from([(id_of(&local.name), member)]);
        Members { local, members }
    }

    /// Returns the contact of the local instance.
    pub fn local(&self) -> &Contact {
        &self.local
    }

    fn local_member(&mut self) -> &mut Member {
        let local = self.local.clone();
        self.members
            .entry(id_of(&local.name))
            .or_insert_with(|| Member::new(local, unit::Timestamp::ZERO))
    }

    /// Increments the heartbeat of the local instance.
    pub fn increment_heartbeat(&mut self, now: unit::Timestamp) {
        let member = self.local_member();
        member.heartbeat = member.heartbeat.next();
        member.last_heartbeat = Some(now);
    }

    /// Announces that the local instance is draining.
    pub fn announce_draining(&mut self) {
        let member = self.local_member();
        member.announced_draining = true;
        member.heartbeat = member.heartbeat.next();
    }

    /// Removes the members that are not listed and have had no heartbeat for too long.
    pub fn remove_expired(&mut self, now: unit::Timestamp) {
        let local_id = id_of(&self.local.name);
        self.members.retain(|id, member| {
            let last = member.last_heartbeat.unwrap_or(member.first_known);
            *id == local_id || member.listed || now.since(last) < FORGET_AFTER
        });
    }
}

/// Gossip.
impl Members {
    /// Returns the digests for a peer: those of the members of one availability zone, or of all
    /// members if `zone` is `None`. Members without a heartbeat are skipped.
    pub fn digests(&self, zone: Option<&name::AvailabilityZoneName>) -> Vec<Digest> {
        self.members
            .iter()
            .filter(|(_, member)| zone.is_none_or(|zone| member.contact.availability_zone == *zone))
            .filter(|(_, member)| member.last_heartbeat.is_some())
            .map(|(id, member)| Digest {
                id: *id,
                heartbeat: member.heartbeat,
                draining: member.announced_draining,
            })
            .collect()
    }

    /// Applies the digests of a peer and returns the IDs of unknown members.
    pub fn apply_digests(&mut self, now: unit::Timestamp, digests: &[Digest]) -> Vec<u64> {
        let local_id = id_of(&self.local.name);
        let mut unknown = Vec::new();
        for digest in digests.iter().filter(|digest| digest.id != local_id) {
            let Some(member) = self.members.get_mut(&digest.id) else {
                unknown.push(digest.id);
                continue;
            };
            if digest.heartbeat <= member.heartbeat {
                continue;
            }
            if digest.heartbeat.start() > member.heartbeat.start() {
                member.announced_draining = false;
            }
            member.heartbeat = digest.heartbeat;
            member.announced_draining |= digest.draining;
            member.last_heartbeat = Some(now);
        }
        unknown
    }

    /// Returns the contacts of the given member IDs; unknown IDs are skipped.
    pub fn contacts(&self, ids: &[u64]) -> Vec<Contact> {
        ids.iter()
            .filter_map(|id| self.members.get(id))
            .map(|m| m.contact.clone())
            .collect()
    }

    /// Adds unknown contacts. Their members count as live when their heartbeats advance.
    pub fn add_contacts(&mut self, now: unit::Timestamp, contacts: Vec<Contact>) {
        for contact in contacts {
            let id = id_of(&contact.name);
            self.members
                .entry(id)
                .or_insert_with(|| Member::new(contact, now));
        }
    }

    /// Applies the platform's list.
    ///
    /// A listed address replaces the known one only while the member has no heartbeat.
    pub fn apply_list(&mut self, now: unit::Timestamp, listed: Vec<ListedMember>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let local_id = id_of(&self.local.name);
        for entry in listed {
            let id = id_of(&entry.contact.name);
            if id == local_id {
                continue;
            }
            let member = self
                .members
                .entry(id)
                .or_insert_with(|| Member::new(entry.contact.clone(), now));
            member.listed = true;
            if member.contact.address != entry.contact.address && member.last_heartbeat.is_none() {
                member.contact = entry.contact;
            }
            if !entry.draining {
                member.listed_draining = None;
            } else if member.listed_draining.is_none() {
                member.listed_draining = Some(member.heartbeat.start());
            }
        }
    }
}

/// Liveness and ownership.
impl Members {
    /// Treats a member as dead until its heartbeat advances, after a connection to it has failed.
    pub fn suspect(&mut self, name: &name::InstanceName) {
        if let Some(member) = self.members.get_mut(&id_of(name)) {
            member.last_heartbeat = None;
        }
    }

    /// Returns a predicate for the members that are live at `now`.
    fn liveness_check(&self, now: unit::Timestamp) -> impl Fn(&Member) -> bool + '_ {
        let local_zone = &self.local.availability_zone;
        let in_local_zone = |member: &Member| member.contact.availability_zone == *local_zone;
        let member_count = self
            .members
            .values()
            .filter(|member| in_local_zone(member))
            .count();
        let doublings = u64::from(member_count.next_power_of_two().trailing_zeros());
        let dead_after_local = DEAD_AFTER + unit::Millis(GOSSIP_ROUND.0 * doublings);
        move |member| {
            if member.contact.name == self.local.name {
                return !member.announced_draining;
            }
            let limit = if in_local_zone(member) {
                dead_after_local
            } else {
                DEAD_AFTER_REMOTE
            };
            !member.is_draining()
                && member
                    .last_heartbeat
                    .is_some_and(|at| now.since(at) < limit)
        }
    }

    /// Returns the live members of an availability zone.
    pub fn live_members<'a>(
        &'a self,
        now: unit::Timestamp,
        availability_zone: &'a name::AvailabilityZoneName,
    ) -> impl Iterator<Item = &'a Contact> {
        let is_live = self.liveness_check(now);
        self.members
            .values()
            .filter(move |member| member.contact.availability_zone == *availability_zone)
            .filter(move |member| is_live(member))
            .map(|member| &member.contact)
    }

    /// Returns the members to which gossip is sent: those that are live, listed, or without a
    /// heartbeat. If `local` is `true`, only members of the local availability zone are returned;
    /// otherwise, only those of remote zones.
    pub fn gossip_targets(&self, now: unit::Timestamp, local: bool) -> Vec<Contact> {
        let is_live = self.liveness_check(now);
        self.members
            .values()
            .filter(|member| member.contact.name != self.local.name)
            .filter(|member| {
                local == (member.contact.availability_zone == self.local.availability_zone)
            })
            .filter(|member| is_live(member) || member.listed || member.last_heartbeat.is_none())
            .map(|member| member.contact.clone())
            .collect()
    }

    /// Returns the live member of an availability zone that owns a key.
    ///
    /// Rendezvous hashing is used, so that the loss of a member moves only the keys of that member.
    pub fn owner(
        &self,
        now: unit::Timestamp,
        availability_zone: &name::AvailabilityZoneName,
        key: &str,
    ) -> Option<Contact> {
        self.live_members(now, availability_zone)
            .max_by_key(|contact| weight(contact, key))
            .cloned()
    }

    /// Returns the live member that owns a key over all availability zones.
    pub fn global_owner(&self, now: unit::Timestamp, key: &str) -> Option<Contact> {
        let is_live = self.liveness_check(now);
        self.members
            .values()
            .filter(|member| is_live(member))
            .map(|member| &member.contact)
            .max_by_key(|contact| weight(contact, key))
            .cloned()
    }

    /// Returns `true` if the local instance is among the `count` members with the highest weights
    /// for a key in the local availability zone.
    pub fn is_among_owners(&self, now: unit::Timestamp, key: &str, count: usize) -> bool {
        let local_weight = weight(&self.local, key);
        let zone = &self.local.availability_zone;
        self.live_members(now, zone)
            .filter(|contact| weight(contact, key) > local_weight)
            .count()
            < count
    }
}

/// Returns the weight of a member for a key in rendezvous hashing. The highest weight wins.
pub(crate) fn weight(contact: &Contact, key: &str) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), id_of(&contact.name))
}
