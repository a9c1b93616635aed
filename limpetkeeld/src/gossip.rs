//! Gossip between members: heartbeats, contacts and table revisions.

use std::sync;

use limpetkeel::{AvailabilityZoneName, Contact, GOSSIP_ROUND};
use tokio::time;

use crate::{peer::message, shared, tables};

/// The number of rounds between two gossip calls to another availability zone.
const REMOTE_ROUND_INTERVAL: u32 = 4;

/// The timeout of one gossip call.
const GOSSIP_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Gossips until the process ends: in every round with a random member of the local availability
/// zone, and every few rounds also with one of another zone.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    contact_seeds(&shared).await;
    let mut rounds: u32 = 0;
    loop {
        rounds = rounds.wrapping_add(1);
        advance_heartbeat(&shared);
        for local in [true, false] {
            if local || rounds.is_multiple_of(REMOTE_ROUND_INTERVAL) {
                tokio::spawn(gossip_with_random_member(shared.clone(), local));
            }
        }
        let jitter = time::Duration::from_millis(rand::random_range(0..200));
        time::sleep(GOSSIP_ROUND.duration() - time::Duration::from_millis(100) + jitter).await;
    }
}

fn advance_heartbeat(shared: &shared::Shared) {
    let now = shared.clock.now();
    let mut membership = shared.membership.lock();
    membership.members.increment_heartbeat(now);
    membership.members.remove_expired(now);
    let zone = &shared.settings.availability_zone;
    let live = membership.members.live_members(now, zone).count();
    shared.metrics.live_members.set(live as i64);
}

/// Gossips with the configured seeds, so that an instance can join while the platform is
/// unavailable.
async fn contact_seeds(shared: &shared::Shared) {
    for seed in &shared.settings.seeds {
        let _ = gossip_with(shared, *seed, None).await;
    }
}

async fn gossip_with_random_member(shared: sync::Arc<shared::Shared>, local: bool) {
    let now = shared.clock.now();
    let targets = shared.membership.lock().members.gossip_targets(now, local);
    if targets.is_empty() {
        return;
    }
    let target = &targets[rand::random_range(0..targets.len())];
    let zone_filter = local.then(|| shared.settings.availability_zone.clone());
    let replied = gossip_with(&shared, target.address, zone_filter.as_ref()).await;
    let now = shared.clock.now();
    let mut membership = shared.membership.lock();
    membership
        .reachability
        .record_peer_call(now, &target.availability_zone, replied);
}

fn local_gossip(
    shared: &shared::Shared,
    zone_filter: Option<&AvailabilityZoneName>,
) -> message::Gossip {
    let revision = shared.in_force.lock().tables.revision();
    let membership = shared.membership.lock();
    message::Gossip {
        from: membership.members.local().clone(),
        digests: membership.members.digests(zone_filter),
        revision,
    }
}

/// Gossips with one peer, and returns `true` if the peer replied.
///
/// Also exchanges unknown contacts, and fetches the tables if the peer has a newer revision.
async fn gossip_with(
    shared: &shared::Shared,
    address: std::net::SocketAddr,
    zone_filter: Option<&AvailabilityZoneName>,
) -> bool {
    let gossip = message::Request::Gossip(local_gossip(shared, zone_filter));
    let response = shared.peers.call(address, &gossip, GOSSIP_TIMEOUT).await;
    let Ok(message::Response::Gossip(reply)) = response else {
        return false;
    };
    let now = shared.clock.now();
    let (wanted, contacts) = {
        let mut membership = shared.membership.lock();
        let wanted = membership.members.apply_digests(now, &reply.digests);
        (wanted, membership.members.contacts(&reply.unknown))
    };
    if !wanted.is_empty() || !contacts.is_empty() {
        exchange_contacts(
            shared,
            address,
            message::ContactExchange { contacts, wanted },
        )
        .await;
    }
    let local_revision = shared.in_force.lock().tables.revision();
    if reply.revision > local_revision {
        tables::fetch_from(shared, address).await;
    }
    true
}

async fn exchange_contacts(
    shared: &shared::Shared,
    address: std::net::SocketAddr,
    exchange: message::ContactExchange,
) {
    let req = message::Request::ExchangeContacts(exchange);
    let response = shared.peers.call(address, &req, GOSSIP_TIMEOUT).await;
    if let Ok(message::Response::Contacts(contacts)) = response {
        let now = shared.clock.now();
        shared.membership.lock().members.add_contacts(now, contacts);
    }
}

/// Applies gossip from a peer and returns the reply; fetches the peer's tables if they are newer.
pub fn handle(shared: &sync::Arc<shared::Shared>, gossip: message::Gossip) -> message::GossipReply {
    let now = shared.clock.now();
    let local = gossip.from.availability_zone == shared.settings.availability_zone;
    let local_revision = shared.in_force.lock().tables.revision();
    if gossip.revision > local_revision {
        let (shared, from) = (shared.clone(), gossip.from.address);
        tokio::spawn(async move { tables::fetch_from(&shared, from).await });
    }
    let mut membership = shared.membership.lock();
    membership.members.add_contacts(now, vec![gossip.from]);
    let unknown = membership.members.apply_digests(now, &gossip.digests);
    let zone_filter = local.then_some(&shared.settings.availability_zone);
    message::GossipReply {
        digests: membership.members.digests(zone_filter),
        unknown,
        revision: local_revision,
    }
}

/// Announces to the members of the local availability zone that this instance is draining; other
/// zones learn of it by gossip.
pub async fn announce_draining(shared: &sync::Arc<shared::Shared>) {
    let now = shared.clock.now();
    let peers: Vec<Contact> = {
        let mut membership = shared.membership.lock();
        membership.members.announce_draining();
        membership.members.gossip_targets(now, true)
    };
    let calls = peers.into_iter().map(|peer| {
        let shared = shared.clone();
        async move {
            let zone_filter = &shared.settings.availability_zone;
            gossip_with(&shared, peer.address, Some(zone_filter)).await
        }
    });
    futures_util::future::join_all(calls).await;
}
