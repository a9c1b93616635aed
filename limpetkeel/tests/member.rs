//! Tests of membership: heartbeats, announcements, the platform's lagging list, and key ownership.

use limpetkeel::{
    AvailabilityZoneName, Contact, DEAD_AFTER, GOSSIP_ROUND, Heartbeat, ListedMember, Members,
    Timestamp,
};

fn zone() -> AvailabilityZoneName {
    "songino".try_into().expect("name")
}

fn contact(name: &str) -> Contact {
    Contact {
        processor: limpetkeel::Millicores::ZERO,
        name: name.try_into().expect("name"),
        availability_zone: zone(),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn members(name: &str, start: u32) -> Members {
    Members::new(contact(name), Heartbeat::starting(start), Timestamp(0))
}

/// Increments the heartbeat of `from` and sends its gossip to `to`.
fn gossip(from: &mut Members, to: &mut Members, now: Timestamp) {
    from.increment_heartbeat(now);
    let unknown = to.apply_digests(now, &from.digests(None));
    let contacts = from.contacts(&unknown);
    if !contacts.is_empty() {
        to.add_contacts(now, contacts);
        to.apply_digests(now, &from.digests(None));
    }
}

/// Returns the names of the live members.
fn live(members: &Members, now: Timestamp) -> Vec<String> {
    members
        .live_members(now, &zone())
        .map(|contact| contact.name.to_string())
        .collect()
}

#[test]
fn a_listed_member_whose_heartbeats_stop_is_dead() {
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    gossip(&mut b, &mut a, Timestamp(0));
    let listed = ListedMember {
        contact: contact("b"),
        draining: false,
    };
    a.apply_list(Timestamp(0), vec![listed]);
    // With two members, one gossip round is added.
    let limit = DEAD_AFTER.0 + GOSSIP_ROUND.0;
    assert_eq!(live(&a, Timestamp(limit - 1)).len(), 2);
    assert_eq!(live(&a, Timestamp(limit)), ["a"]);
}

#[test]
fn a_listed_member_is_not_live_before_its_first_heartbeat() {
    let mut a = members("a", 1);
    a.apply_list(
        Timestamp(0),
        vec![ListedMember {
            contact: contact("b"),
            draining: false,
        }],
    );
    assert_eq!(live(&a, Timestamp(0)), ["a"]);
    assert_eq!(a.gossip_targets(Timestamp(0), true).len(), 1);
}

#[test]
fn a_draining_member_is_not_live_until_it_restarts() {
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    gossip(&mut b, &mut a, Timestamp(0));
    b.announce_draining();
    gossip(&mut b, &mut a, Timestamp(10));
    assert_eq!(live(&a, Timestamp(10)), ["a"]);
    // The list lags and does not show yet that the member is draining.
    a.apply_list(
        Timestamp(20),
        vec![ListedMember {
            contact: contact("b"),
            draining: false,
        }],
    );
    assert_eq!(live(&a, Timestamp(20)), ["a"]);
    let mut restarted = members("b", 2);
    gossip(&mut restarted, &mut a, Timestamp(30));
    assert_eq!(live(&a, Timestamp(30)).len(), 2);
}

#[test]
fn a_member_listed_as_draining_is_not_live_until_it_restarts() {
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    gossip(&mut b, &mut a, Timestamp(0));
    a.apply_list(
        Timestamp(0),
        vec![ListedMember {
            contact: contact("b"),
            draining: true,
        }],
    );
    gossip(&mut b, &mut a, Timestamp(1));
    assert_eq!(live(&a, Timestamp(1)), ["a"]);
    let mut restarted = members("b", 2);
    gossip(&mut restarted, &mut a, Timestamp(2));
    assert_eq!(live(&a, Timestamp(2)).len(), 2);
}

#[test]
fn an_old_heartbeat_does_not_revive_a_suspected_member() {
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    gossip(&mut b, &mut a, Timestamp(0));
    let old_digests = b.digests(None);
    a.suspect(&contact("b").name);
    a.apply_digests(Timestamp(1), &old_digests);
    assert_eq!(live(&a, Timestamp(1)), ["a"]);
    gossip(&mut b, &mut a, Timestamp(2));
    assert_eq!(live(&a, Timestamp(2)).len(), 2);
}

#[test]
fn the_loss_of_a_member_moves_only_its_keys() {
    let mut view = members("a", 1);
    let mut others: Vec<_> = ["b", "c", "d"].map(|name| members(name, 1)).into();
    others
        .iter_mut()
        .for_each(|other| gossip(other, &mut view, Timestamp(0)));
    let keys: Vec<_> = (0..200).map(|key| format!("key-{key}")).collect();
    let owners = |members: &Members, now| -> Vec<_> {
        keys.iter()
            .map(|key| members.owner(now, &zone(), key).expect("owner").name)
            .collect()
    };
    let before = owners(&view, Timestamp(0));
    view.suspect(&contact("c").name);
    let after = owners(&view, Timestamp(0));
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || before.as_str() == "c");
    }
    let watchers = ["a", "b", "c", "d"].iter().filter(|name| {
        let mut view = members(name, 1);
        let peers = ["a", "b", "c", "d"].iter().filter(|peer| peer != name);
        peers.for_each(|peer| gossip(&mut members(peer, 1), &mut view, Timestamp(0)));
        view.is_among_owners(Timestamp(0), "watch", 2)
    });
    assert_eq!(watchers.count(), 2);
}
