//! Tests of the upstream registry: revisions, doubtful removals and restarted upstreams.

use limpetkeel::{
    Era, Millis, Removal, Revision, Timestamp, UpstreamRegistry, UpstreamRegistryEntry,
    UpstreamState,
};

fn entry(name: &str, revision: u64) -> UpstreamRegistryEntry {
    UpstreamRegistryEntry {
        name: name.try_into().expect("name"),
        pool: "desk".try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 8080).into(),
        slots: 6,
        state: UpstreamState::Ready,
        start_time: 1,
        cold_left: limpetkeel::Millis::ZERO,
        revision: Revision::new(Era(1), revision),
    }
}

/// Returns the names of the ready upstreams.
fn ready_names(registry: &UpstreamRegistry) -> Vec<String> {
    let pool = "desk".try_into().expect("name");
    let ready = registry.ready_upstreams(&pool);
    ready.iter().map(|e| e.name.to_string()).collect()
}

/// Returns a registry with the given upstreams at revision 1.
fn registry(names: &[&str]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for name in names {
        assert!(registry.upsert(entry(name, 1)));
    }
    registry
}

#[test]
fn an_older_entry_does_not_replace_a_newer_one() {
    let mut registry = registry(&["a"]);
    let mut draining = entry("a", 5);
    draining.state = UpstreamState::Draining;
    assert!(registry.upsert(draining));
    assert!(
        !registry.upsert(entry("a", 4)),
        "revision 4 is older than 5"
    );
    assert!(ready_names(&registry).is_empty());
}

#[test]
fn a_removed_upstream_is_restored_only_by_a_newer_entry() {
    let mut registry = registry(&["a"]);
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 3),
        Removal::Certain,
    );
    assert!(!registry.upsert(entry("a", 2)));
    assert!(ready_names(&registry).is_empty());
    assert!(registry.upsert(entry("a", 4)));
    assert_eq!(ready_names(&registry), ["a"]);
}

#[test]
fn an_older_removal_does_not_remove_a_newer_entry() {
    let mut registry = registry(&[]);
    registry.upsert(entry("a", 9));
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 8),
        Removal::Certain,
    );
    assert_eq!(ready_names(&registry), ["a"]);
}

#[test]
fn missing_entries_serve_until_the_end_of_the_grace_period() {
    let mut registry = registry(&["a", "b"]);
    registry.replace(
        Timestamp(0),
        Vec::new(),
        Revision::new(Era(1), 5),
        Removal::Doubtful,
    );
    assert_eq!(ready_names(&registry), ["a", "b"]);
    registry.remove_expired(Timestamp(2_000));
    assert_eq!(
        ready_names(&registry),
        ["a", "b"],
        "the platform may rewrite the entries within two seconds"
    );
    registry.remove_expired(Timestamp(2_600));
    assert!(
        ready_names(&registry).is_empty(),
        "the grace period has ended"
    );
}

#[test]
fn a_missing_entry_serves_only_if_no_other_upstream_is_ready() {
    let mut registry = registry(&["a", "b"]);
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 5),
        Removal::Doubtful,
    );
    assert_eq!(ready_names(&registry), ["b"]);
}

#[test]
fn a_doubtful_removal_removes_a_draining_upstream() {
    let mut registry = registry(&[]);
    let mut draining = entry("a", 2);
    draining.state = UpstreamState::Draining;
    registry.upsert(draining);
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 3),
        Removal::Doubtful,
    );
    assert!(registry.get(&name).is_none());
}

#[test]
fn a_rewritten_entry_serves_again() {
    let mut registry = registry(&["a"]);
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 5),
        Removal::Doubtful,
    );
    assert!(registry.upsert(entry("a", 7)));
    registry.remove_expired(Timestamp(Millis(60_000).0));
    assert_eq!(ready_names(&registry), ["a"]);
}

#[test]
fn the_generation_increases_with_each_change() {
    let mut registry = registry(&["a"]);
    let before = registry.generation();
    registry.upsert(entry("a", 1));
    assert_eq!(registry.generation(), before, "nothing changed");
    registry.upsert(entry("a", 2));
    assert!(registry.generation() > before);
}

#[test]
fn an_expired_entry_is_restored_only_by_a_newer_one() {
    let mut registry = registry(&["a"]);
    let name = "a".try_into().expect("name");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 5),
        Removal::Doubtful,
    );
    registry.remove_expired(Timestamp(3_000));
    assert!(!registry.upsert(entry("a", 1)), "a late response");
    assert!(
        registry.upsert(entry("a", 6)),
        "the platform wrote it again"
    );
}

#[test]
fn an_older_entry_does_not_restore_a_missing_one() {
    let mut registry = registry(&[]);
    registry.upsert(entry("a", 4));
    registry.replace(
        Timestamp(0),
        Vec::new(),
        Revision::new(Era(1), 5),
        Removal::Doubtful,
    );
    assert!(!registry.upsert(entry("a", 3)));
    assert!(registry.upsert(entry("a", 4)), "a peer that lists it");
}

#[test]
fn the_oldest_removals_are_forgotten_first() {
    let mut registry = UpstreamRegistry::default();
    let names: Vec<String> = (0..1_100).rev().map(|n| format!("u{n:04}")).collect();
    for (revision, name) in (1..).zip(&names) {
        registry.upsert(entry(name, revision));
    }
    for (revision, name) in (2_000..).zip(&names) {
        let name = name.as_str().try_into().expect("name");
        registry.remove(
            Timestamp(0),
            &name,
            Revision::new(Era(1), revision),
            Removal::Certain,
        );
    }
    registry.remove_expired(Timestamp(0));
    let (oldest, latest) = (&names[0], &names[1_099]);
    assert!(registry.upsert(entry(oldest, 1)), "forgotten");
    assert!(!registry.upsert(entry(latest, 1_100)), "remembered");
}

/// Returns the entry of a process in the second era.
fn restored_entry(name: &str, revision: u64, start_time: u64) -> UpstreamRegistryEntry {
    UpstreamRegistryEntry {
        revision: Revision::new(Era(2), revision),
        start_time,
        ..entry(name, revision)
    }
}

#[test]
fn an_entry_of_a_later_era_replaces_one_with_a_higher_number() {
    let mut registry = registry(&["a"]);
    registry.upsert(entry("a", 47));
    let mut moved = restored_entry("a", 3, 1);
    moved.slots = 9;
    assert!(registry.upsert(moved));
    let name = "a".try_into().expect("name");
    assert_eq!(registry.get(&name).map(|entry| entry.slots), Some(9));
    assert!(!registry.upsert(entry("a", 48)), "a late response");
    registry.remove(
        Timestamp(0),
        &name,
        Revision::new(Era(1), 49),
        Removal::Certain,
    );
    assert_eq!(ready_names(&registry), ["a"]);
}

#[test]
fn a_process_that_has_left_does_not_return_with_an_older_copy() {
    let mut registry = registry(&["draining", "removed", "expired"]);
    let mut draining = entry("draining", 5);
    draining.state = UpstreamState::Draining;
    registry.upsert(draining);
    for (text, removal) in [
        ("removed", Removal::Certain),
        ("expired", Removal::Doubtful),
    ] {
        let name = text.try_into().expect("name");
        let revision = Revision::new(Era(1), 6);
        registry.remove(Timestamp(0), &name, revision, removal);
    }
    registry.remove_expired(Timestamp(2_500));
    for name in ["draining", "removed", "expired"] {
        registry.upsert(restored_entry(name, 4, 1));
    }
    assert_eq!(ready_names(&registry), ["expired"]);
    registry.upsert(restored_entry("removed", 5, 1));
    assert_eq!(ready_names(&registry), ["expired", "removed"]);
    registry.upsert(restored_entry("draining", 6, 2));
    assert_eq!(
        ready_names(&registry),
        ["draining", "expired", "removed"],
        "a new process"
    );
}

#[test]
fn an_older_copy_does_not_bring_back_the_former_process_of_an_upstream() {
    let mut registry = registry(&[]);
    let mut current = entry("a", 5);
    current.start_time = 2;
    registry.upsert(current);
    assert!(!registry.upsert(restored_entry("a", 3, 1)));
    assert_eq!(ready_names(&registry), ["a"]);
    assert!(registry.upsert(restored_entry("a", 6, 2)));
}

/// Guards against a limit that begins again with each rewritten entry, or never.
#[test]
fn a_cold_period_begins_when_an_entry_that_says_so_is_received() {
    let pool = "desk".try_into().expect("name");
    let since = |registry: &UpstreamRegistry| {
        let period = registry.cold_periods(Timestamp(90), &pool).remove(0);
        (period.since, period.cold_left)
    };
    let with_cold = |revision, cold_left| UpstreamRegistryEntry {
        cold_left,
        ..entry("a", revision)
    };
    let mut registry = UpstreamRegistry::default();
    registry.upsert(with_cold(1, limpetkeel::COLD_LEFT_UNKNOWN));
    registry.record_received(Timestamp(10));
    registry.upsert(with_cold(2, limpetkeel::COLD_LEFT_UNKNOWN));
    registry.record_received(Timestamp(20));
    assert_eq!(since(&registry).0, Timestamp(10), "the process is not new");
    registry.upsert(with_cold(3, Millis(5_000)));
    registry.record_received(Timestamp(30));
    assert_eq!(since(&registry), (Timestamp(30), Millis(5_000)));
    registry.upsert(with_cold(4, Millis(4_000)));
    assert_eq!(since(&registry), (Timestamp(90), Millis(4_000)));
    registry.upsert(with_cold(5, Millis::ZERO));
    registry.record_received(Timestamp(95));
    assert_eq!(since(&registry).1, Millis::ZERO);
}
