//! Tests of what upstreams tell an instance about further requests.

#[path = "fixtures/registry.rs"]
mod registry;

use limpetkeel::{
    Era, MAX_PAUSE, Millis, Removal, Revision, Timestamp, UpstreamAddress, UpstreamAvailability,
    UpstreamProcess, UpstreamRegistry,
};

#[test]
fn an_upstream_is_available_until_it_says_otherwise() {
    let availability = UpstreamAvailability::default();
    assert!(availability.is_available(Timestamp(0), &registry::name("a")));
    assert!(
        availability
            .unavailable_upstreams(Timestamp(0), &registry::pool())
            .is_empty()
    );
}

#[test]
fn a_leaving_upstream_stays_unavailable_while_it_is_listed() {
    let registry = registry::registry(&["a", "b"], 1);
    let mut availability = UpstreamAvailability::default();
    let leaving = registry::process(&registry, "a");
    assert!(availability.record_leaving(&registry, leaving.clone()));
    assert!(
        !availability.record_leaving(&registry, leaving),
        "already known"
    );
    let much_later = Timestamp(86_400_000);
    availability.remove_expired(much_later, &registry);
    assert!(!availability.is_available(much_later, &registry::name("a")));
    assert_eq!(
        availability.unavailable_upstreams(much_later, &registry::pool()),
        [registry::name("a")]
    );
    let other_pool = "other".try_into().expect("name");
    assert!(
        availability
            .unavailable_upstreams(much_later, &other_pool)
            .is_empty()
    );
}

#[test]
fn an_upstream_that_restarts_under_its_name_is_available() {
    let mut registry = registry::registry(&["a", "b"], 1);
    let mut availability = UpstreamAvailability::default();
    let (a, b) = (
        registry::process(&registry, "a"),
        registry::process(&registry, "b"),
    );
    availability.record_leaving(&registry, a.clone());
    availability.record_pause(Timestamp(0), &registry, b.clone(), Millis(60_000));
    for name in ["a", "b"] {
        assert!(registry.upsert(registry::entry(name, 2, 2)));
    }
    availability.remove_expired(Timestamp(10), &registry);
    assert!(availability.is_available(Timestamp(10), &registry::name("a")));
    assert!(availability.is_available(Timestamp(10), &registry::name("b")));
    // Late responses of the processes that have ended.
    assert!(!availability.record_leaving(&registry, a));
    assert!(!availability.record_pause(Timestamp(20), &registry, b, Millis(60_000)));
    assert!(availability.is_available(Timestamp(20), &registry::name("a")));
    assert!(availability.is_available(Timestamp(20), &registry::name("b")));
}

#[test]
fn a_response_at_another_address_says_nothing_about_the_listed_process() {
    let mut registry = registry::registry(&["a"], 1);
    let former = UpstreamAddress {
        upstream: registry::name("a"),
        address: ([127, 0, 0, 1], 8080).into(),
    };
    let mut moved = registry::entry("a", 2, 2);
    moved.address = ([127, 0, 0, 1], 9090).into();
    assert!(registry.upsert(moved));
    assert_eq!(
        UpstreamProcess::at(&registry, &registry::pool(), &former),
        None
    );
}

#[test]
fn a_leaving_upstream_stays_unavailable_when_its_entry_returns() {
    let mut registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    availability.record_leaving(&registry, registry::process(&registry, "a"));
    registry.remove(
        Timestamp(1_000),
        &registry::name("a"),
        Revision::new(Era(1), 2),
        Removal::Certain,
    );
    availability.remove_expired(Timestamp(1_000), &registry);
    assert!(
        registry.upsert(registry::entry("a", 1, 3)),
        "the same process"
    );
    availability.remove_expired(Timestamp(4_000), &registry);
    assert!(!availability.is_available(Timestamp(4_000), &registry::name("a")));
}

#[test]
fn an_unlisted_upstream_is_forgotten_after_a_while() {
    let registry = UpstreamRegistry::default();
    let mut availability = UpstreamAvailability::default();
    availability.record_leaving(&registry, registry::process(&registry, "a"));
    availability.remove_expired(Timestamp(1_000), &registry);
    assert!(!availability.is_available(Timestamp(30_000), &registry::name("a")));
    availability.remove_expired(Timestamp(61_000), &registry);
    assert!(availability.is_available(Timestamp(61_000), &registry::name("a")));
}

#[test]
fn an_unlisted_upstream_is_taken_for_the_one_that_is_listed_next() {
    let mut registry = UpstreamRegistry::default();
    let mut availability = UpstreamAvailability::default();
    availability.record_leaving(&registry, registry::process(&registry, "a"));
    assert!(registry.upsert(registry::entry("a", 1, 1)));
    availability.remove_expired(Timestamp(0), &registry);
    assert!(!availability.is_available(Timestamp(0), &registry::name("a")));
    assert!(registry.upsert(registry::entry("a", 2, 2)), "a restart");
    availability.remove_expired(Timestamp(0), &registry);
    assert!(availability.is_available(Timestamp(0), &registry::name("a")));
}

#[test]
fn a_pause_ends_with_its_time() {
    let registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    let paused = registry::process(&registry, "a");
    assert!(availability.record_pause(Timestamp(100), &registry, paused.clone(), Millis(2_000)));
    assert!(!availability.is_available(Timestamp(2_099), &registry::name("a")));
    assert!(availability.is_available(Timestamp(2_100), &registry::name("a")));
    assert!(
        availability
            .unavailable_upstreams(Timestamp(2_100), &registry::pool())
            .is_empty()
    );
    assert!(
        availability.record_pause(Timestamp(2_100), &registry, paused, Millis(1)),
        "a new pause"
    );
}

#[test]
fn the_longest_pause_wins() {
    let registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    let paused = registry::process(&registry, "a");
    for (now, pause) in [(0, 5_000), (100, 1_000), (200, 0)] {
        availability.record_pause(Timestamp(now), &registry, paused.clone(), Millis(pause));
        assert!(!availability.is_available(Timestamp(4_999), &registry::name("a")));
    }
    availability.record_pause(Timestamp(300), &registry, paused, Millis(9_000));
    assert!(!availability.is_available(Timestamp(9_299), &registry::name("a")));
    assert!(availability.is_available(Timestamp(9_300), &registry::name("a")));
}

#[test]
fn a_pause_has_an_upper_bound() {
    let registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    let paused = registry::process(&registry, "a");
    availability.record_pause(Timestamp(5), &registry, paused, Millis(u64::MAX));
    let end = Timestamp(5).after(MAX_PAUSE);
    assert!(!availability.is_available(Timestamp(end.0 - 1), &registry::name("a")));
    assert!(availability.is_available(end, &registry::name("a")));
}

#[test]
fn a_pause_of_zero_has_no_effect() {
    let registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    let paused = registry::process(&registry, "a");
    assert!(!availability.record_pause(Timestamp(5), &registry, paused, Millis(0)));
    assert!(availability.is_available(Timestamp(5), &registry::name("a")));
}

#[test]
fn a_pause_does_not_end_leaving() {
    let registry = registry::registry(&["a"], 1);
    let mut availability = UpstreamAvailability::default();
    let a = registry::process(&registry, "a");
    availability.record_pause(Timestamp(0), &registry, a.clone(), Millis(1_000));
    assert!(availability.record_leaving(&registry, a.clone()));
    availability.record_pause(Timestamp(500), &registry, a, Millis(1_000));
    availability.remove_expired(Timestamp(10_000), &registry);
    assert!(!availability.is_available(Timestamp(10_000), &registry::name("a")));
}

#[test]
fn the_time_until_an_upstream_is_available_is_that_of_the_shortest_pause() {
    let registry = registry::registry(&["a", "b", "c"], 1);
    let mut availability = UpstreamAvailability::default();
    let listed = registry.ready_upstreams(&registry::pool());
    let pause = |availability: &mut UpstreamAvailability, name, pause| {
        let paused = registry::process(&registry, name);
        availability.record_pause(Timestamp(0), &registry, paused, Millis(pause));
    };
    pause(&mut availability, "a", 3_000);
    pause(&mut availability, "b", 2_000);
    let wait = |availability: &UpstreamAvailability| {
        availability.time_until_available(Timestamp(500), &listed)
    };
    assert_eq!(wait(&availability), Some(Millis(0)), "c is available");
    availability.record_leaving(&registry, registry::process(&registry, "c"));
    assert_eq!(wait(&availability), Some(Millis(1_500)));
    for name in ["a", "b"] {
        availability.record_leaving(&registry, registry::process(&registry, name));
    }
    assert_eq!(wait(&availability), None, "all are leaving");
}
