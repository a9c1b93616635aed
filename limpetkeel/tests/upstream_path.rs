//! Tests of the network paths from an instance to upstreams.

#[path = "fixtures/registry.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod registry;

use limpetkeel::{
    AvailabilityZoneName, Contact, InstanceName, Millicores, Timestamp, UpstreamPaths,
    UpstreamRegistry,
};
use test_case::test_case;

fn instance(name: &str) -> InstanceName {
    name.try_into().expect("name")
}

fn zone(name: &str) -> AvailabilityZoneName {
    name.try_into().expect("name")
}

/// Returns the contact of an instance, whose name begins with the one of its zone.
fn contact(name: &str) -> Contact {
    Contact {
        name: instance(name),
        availability_zone: zone(&name[..1]),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(0),
    }
}

/// Returns the names of the instances that are asked for upstream `u`, which is in zone `a`.
fn asked(paths: &UpstreamPaths, now: Timestamp, peers: &[&str], draw: u64) -> Vec<String> {
    let peers = peers.iter().map(|name| contact(name)).collect();
    let candidates = paths.candidates(now, &registry::name("u"), Some(&zone("a")), peers, draw);
    let names = candidates.iter().map(|peer| peer.name.to_string());
    names.collect()
}

#[test]
fn a_path_is_direct_until_only_a_peer_connects() {
    let mut paths = UpstreamPaths::default();
    let (now, upstream) = (Timestamp(1_000), registry::name("u"));
    assert!(!paths.is_severed(&upstream));
    assert!(paths.record_severed(now, &upstream, instance("a1")));
    assert!(paths.is_severed(&upstream));
    assert!(!paths.is_severed(&registry::name("v")), "other paths");
    assert!(
        !paths.record_severed(now, &upstream, instance("b1")),
        "the change of the peer is no news"
    );
    assert_eq!(paths.peer(&upstream), Some(&instance("b1")));
    assert!(paths.record_direct(now, &upstream));
    assert!(!paths.is_severed(&upstream));
    assert!(!paths.record_direct(now, &upstream));
}

#[test]
fn an_attempt_from_before_the_return_of_a_path_does_not_sever_it() {
    let mut paths = UpstreamPaths::default();
    let upstream = registry::name("u");
    let (before, back, after) = (Timestamp(1_000), Timestamp(1_050), Timestamp(1_060));
    paths.record_severed(before, &upstream, instance("a1"));
    assert!(paths.record_direct(back, &upstream));
    assert!(!paths.record_severed(before, &upstream, instance("a1")));
    assert!(!paths.is_severed(&upstream));
    paths.remove_expired(after, &registry::registry(&["u"], 1));
    assert!(!paths.record_severed(before, &upstream, instance("a1")));
    assert!(paths.record_severed(after, &upstream, instance("a1")));
}

#[test]
fn a_failed_attempt_beside_a_successful_one_does_not_sever_a_path() {
    let mut paths = UpstreamPaths::default();
    let upstream = registry::name("u");
    assert!(!paths.record_direct(Timestamp(1_010), &upstream));
    assert!(!paths.record_severed(Timestamp(1_000), &upstream, instance("a1")));
}

#[test]
fn a_failed_search_for_peers_leaves_an_attempt_beside_a_successful_one_without_effect() {
    let mut paths = UpstreamPaths::default();
    let upstream = registry::name("u");
    paths.record_direct(Timestamp(1_010), &upstream);
    paths.record_search_failure(Timestamp(1_020), &upstream);
    assert!(!paths.may_search(Timestamp(1_030), &upstream));
    assert!(!paths.record_severed(Timestamp(1_000), &upstream, instance("a1")));
}

#[test]
fn severed_paths_are_probed_one_after_the_other_until_one_is_back() {
    let mut paths = UpstreamPaths::default();
    let start = Timestamp(1_000);
    for name in ["u", "v"] {
        paths.record_severed(start, &registry::name(name), instance("a1"));
    }
    let probes = (0..100).filter(|step| paths.begin_probe(Timestamp(1_000 + step * 10)));
    assert_eq!(probes.count(), 4, "in a second");
    let back = Timestamp(2_001);
    assert!(paths.record_direct(back, &registry::name("u")));
    assert!(paths.begin_probe(back), "the others may be back as well");
}

#[test]
fn an_upstream_that_no_peer_reaches_is_not_sought_again_at_once() {
    let mut paths = UpstreamPaths::default();
    let (now, upstream) = (Timestamp(1_000), registry::name("u"));
    paths.record_search_failure(now, &upstream);
    assert!(
        !paths.is_severed(&upstream),
        "it is the upstream that failed"
    );
    assert!(!paths.may_search(Timestamp(1_100), &upstream));
    assert!(paths.may_search(Timestamp(1_100), &registry::name("v")));
    assert!(paths.may_search(Timestamp(2_000), &upstream));
}

#[test]
fn a_search_that_fails_once_leaves_a_severed_path_to_other_peers() {
    let mut paths = UpstreamPaths::default();
    let (now, upstream) = (Timestamp(1_000), registry::name("u"));
    paths.record_severed(now, &upstream, instance("a1"));
    paths.record_search_failure(now, &upstream);
    assert!(paths.is_severed(&upstream));
    assert!(paths.may_search(now, &upstream));
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn neighbors_in_the_order_are_of_different_zones(draw: u64) {
    let paths = UpstreamPaths::default();
    let peers = ["a1", "a2", "a3", "b1", "b2", "c1"];
    let asked = asked(&paths, Timestamp(0), &peers, draw);
    assert_eq!(asked.len(), 4, "the number is bounded: {asked:?}");
    assert!(asked[0].starts_with('a'), "the zone of the upstream first");
    let mut zones: Vec<_> = asked[..3].iter().map(|name| &name[..1]).collect();
    zones.sort_unstable();
    assert_eq!(zones, ["a", "b", "c"]);
}

#[test]
fn the_peer_that_reaches_an_upstream_is_asked_first() {
    let mut paths = UpstreamPaths::default();
    let now = Timestamp(1_000);
    paths.record_severed(now, &registry::name("v"), instance("b2"));
    let peers = ["a1", "a2", "b1", "b2", "c1"];
    assert_eq!(asked(&paths, now, &peers, 1)[0], "b2", "it reaches another");
    paths.record_severed(now, &registry::name("u"), instance("c1"));
    let order = asked(&paths, now, &peers, 1);
    assert_eq!(
        order[..2],
        ["c1", "b2"],
        "the one that reaches it goes first"
    );
}

#[test]
fn a_peer_that_did_not_connect_is_passed_over_for_a_while() {
    let mut paths = UpstreamPaths::default();
    let (now, upstream) = (Timestamp(1_000), registry::name("u"));
    paths.record_severed(now, &upstream, instance("a1"));
    paths.record_peer_failure(now, &upstream, &instance("a1"));
    let peers = ["a1", "a2"];
    assert_eq!(asked(&paths, now, &peers, 1), ["a2"]);
    assert_eq!(asked(&paths, Timestamp(4_000), &peers, 1).len(), 2);
}

#[test]
fn peers_that_failed_for_other_upstreams_are_asked_last() {
    let mut paths = UpstreamPaths::default();
    let now = Timestamp(1_000);
    for name in ["v", "w"] {
        paths.record_peer_failure(now, &registry::name(name), &instance("a1"));
    }
    for draw in 0..8 {
        let order = asked(&paths, now, &["a1", "a2"], draw);
        assert_eq!(order, ["a2", "a1"]);
    }
}

#[test]
fn paths_to_upstreams_that_are_gone_are_forgotten() {
    let mut paths = UpstreamPaths::default();
    let now = Timestamp(1_000);
    paths.record_severed(now, &registry::name("u"), instance("a1"));
    paths.record_severed(now, &registry::name("v"), instance("a1"));
    paths.remove_expired(now, &registry::registry(&["u"], 1));
    assert!(paths.is_severed(&registry::name("u")));
    assert!(!paths.is_severed(&registry::name("v")));
    paths.remove_expired(now, &UpstreamRegistry::default());
    assert_eq!(paths.severed_count(), 0);
}
