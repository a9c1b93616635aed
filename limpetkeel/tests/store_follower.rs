//! Tests of the selection of the source of changes: how soon an instance watches the store itself
//! after its watchers have failed.

use std::collections;

use limpetkeel::{
    Contact, InstanceName, InstanceRegistry, Millicores, Millis, StoreFollower, StoreSource,
    Timestamp,
};
use test_case::test_case;

/// The shortest bound of the users for a change to be in force.
const IN_FORCE_LIMIT: Millis = Millis(2_000);

/// How a watcher fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatcherFailure {
    /// It does not respond.
    Silent,
    /// It reports at once that the store is unavailable to it.
    StoreUnavailable,
}

use WatcherFailure::{Silent, StoreUnavailable};

fn contact(name: &str, zone: &str) -> Contact {
    Contact {
        name: name.try_into().expect("name"),
        availability_zone: zone.try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(500),
    }
}

/// Returns `count` instances in three availability zones.
fn instances(count: usize) -> Vec<Contact> {
    let zones = ["x", "y", "z"].into_iter().cycle();
    zones
        .zip(0..count)
        .map(|(zone, number)| contact(&format!("{zone}{number}"), zone))
        .collect()
}

fn registry(local: &Contact, all: &[Contact]) -> InstanceRegistry {
    let mut registry = InstanceRegistry::new(local.clone());
    for contact in all {
        registry.insert(contact.clone());
    }
    registry
}

/// The tables were confirmed last when the watchers were still running, at this time.
const LAST_CONFIRMED: Timestamp = Timestamp(10_000);

/// Returns when a follower watches the store if its watchers fail in the given ways, one after the
/// other. The first call starts `elapsed` after the last confirmation.
fn time_of_store_watch(
    registry: &InstanceRegistry,
    elapsed: Millis,
    failures: &[WatcherFailure],
) -> Timestamp {
    let mut follower = StoreFollower::new(&registry.local().name);
    follower.record_current(LAST_CONFIRMED, Millis::ZERO);
    let mut now = LAST_CONFIRMED.after(elapsed);
    let mut failures = failures.iter();
    loop {
        match follower.source(now, registry) {
            StoreSource::Watcher {
                watcher, timeout, ..
            } => {
                if failures.next() == Some(&Silent) {
                    now = now.after(timeout);
                }
                follower.record_failed_watcher(now, &watcher.name);
            }
            StoreSource::StoreWatch { delay, .. } => return now.after(delay),
            StoreSource::StoreSnapshot { .. } => panic!("the instance has a snapshot"),
        }
    }
}

/// Returns the followers among the instances.
fn followers(all: &[Contact]) -> Vec<InstanceRegistry> {
    let registries = all.iter().map(|local| registry(local, all));
    registries
        .filter(|registry| {
            let watchers = registry.watchers(LAST_CONFIRMED);
            !watchers.contains(registry.local())
        })
        .collect()
}

#[test_case(18, &[Silent, Silent]; "18 instances, both watchers silent")]
#[test_case(18, &[StoreUnavailable, Silent]; "18 instances, one fails and the other is silent")]
#[test_case(18, &[Silent, StoreUnavailable]; "18 instances, one is silent and the other fails")]
#[test_case(300, &[Silent, Silent]; "300 instances, both watchers silent")]
#[test_case(300, &[StoreUnavailable, Silent]; "300 instances, one fails and the other is silent")]
#[test_case(300, &[StoreUnavailable, StoreUnavailable]; "300 instances, both fail")]
fn failing_watchers_delay_a_follower_within_the_limit(count: usize, failures: &[WatcherFailure]) {
    for registry in followers(&instances(count)) {
        for elapsed in [0, 200, 700, 1_100] {
            let at = time_of_store_watch(&registry, Millis(elapsed), failures);
            let delay = at.since(LAST_CONFIRMED);
            assert!(delay < IN_FORCE_LIMIT, "{}: {delay}", registry.local().name);
        }
    }
}

/// The interval in which calls count as simultaneous.
const SIMULTANEOUS: u64 = 50;

#[test_case(&[Silent, Silent]; "silent watchers")]
#[test_case(&[StoreUnavailable, StoreUnavailable]; "failing watchers")]
fn followers_do_not_call_the_store_at_once(failures: &[WatcherFailure]) {
    let followers = followers(&instances(300));
    let mut calls = collections::BTreeMap::<u64, usize>::new();
    for registry in &followers {
        let at = time_of_store_watch(registry, Millis(200), failures);
        *calls.entry(at.0 / SIMULTANEOUS).or_default() += 1;
    }
    let most = calls.values().copied().max().unwrap_or_default();
    assert!(most <= followers.len() / 4, "{most} of {}", followers.len());
}

#[test]
fn a_follower_allows_a_watcher_less_time_if_its_tables_are_old() {
    let all = instances(18);
    let registry = &followers(&all)[0];
    let mut follower = StoreFollower::new(&registry.local().name);
    follower.record_current(LAST_CONFIRMED, Millis(600));
    let timeout_at =
        |follower: &mut StoreFollower, now: Timestamp| match follower.source(now, registry) {
            StoreSource::Watcher { wait, timeout, .. } => {
                assert!(wait < timeout);
                timeout
            }
            other => panic!("{other:?}"),
        };
    let old = timeout_at(&mut follower, LAST_CONFIRMED);
    follower.record_current(LAST_CONFIRMED, Millis::ZERO);
    assert!(old < timeout_at(&mut follower, LAST_CONFIRMED));
}

#[test]
fn the_followers_are_divided_between_the_watchers() {
    let mut counts = collections::BTreeMap::<InstanceName, usize>::new();
    for registry in followers(&instances(300)) {
        let mut follower = StoreFollower::new(&registry.local().name);
        follower.record_current(LAST_CONFIRMED, Millis::ZERO);
        match follower.source(LAST_CONFIRMED, &registry) {
            StoreSource::Watcher { watcher, .. } => {
                *counts.entry(watcher.name).or_default() += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(counts.len(), 6, "two watchers in each of three zones");
    assert!(counts.values().all(|count| *count >= 30), "{counts:?}");
}

fn reads_the_store(source: &StoreSource) -> bool {
    matches!(source, StoreSource::StoreSnapshot { .. })
}

#[test]
fn an_instance_without_a_snapshot_reads_the_store() {
    let all = instances(18);
    let mut follower = StoreFollower::new(&all[0].name);
    let registry = registry(&all[0], &all);
    assert!(reads_the_store(&follower.source(Timestamp(0), &registry)));
    follower.record_current(Timestamp(0), Millis::ZERO);
    assert!(!reads_the_store(&follower.source(Timestamp(0), &registry)));
}

#[test]
fn only_watchers_read_the_store_after_its_history_was_lost() {
    let all = instances(300);
    let mut readers = 0;
    for local in &all {
        let registry = registry(local, &all);
        let mut follower = StoreFollower::new(&local.name);
        follower.record_current(LAST_CONFIRMED, Millis::ZERO);
        let watchers = registry.watchers(LAST_CONFIRMED);
        follower.record_failed_watcher(LAST_CONFIRMED, &watchers[0].name);
        follower.record_history_lost();
        readers += usize::from(reads_the_store(&follower.source(LAST_CONFIRMED, &registry)));
        // Without a watcher, the store is read within the limit.
        for watcher in &watchers {
            follower.record_failed_watcher(LAST_CONFIRMED, &watcher.name);
        }
        match follower.source(LAST_CONFIRMED, &registry) {
            StoreSource::StoreSnapshot { delay } => assert!(delay < IN_FORCE_LIMIT),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(readers, 6, "two watchers in each of three zones");
}

#[test]
fn a_watcher_watches_the_store_without_delay() {
    let all = instances(18);
    let watcher = registry(&all[0], &all).watchers(LAST_CONFIRMED)[0].clone();
    let registry = registry(&watcher, &all);
    let name: InstanceName = watcher.name;
    let mut follower = StoreFollower::new(&name);
    follower.record_current(LAST_CONFIRMED, Millis::ZERO);
    let source = follower.source(LAST_CONFIRMED, &registry);
    assert!(
        matches!(
            source,
            StoreSource::StoreWatch {
                delay: Millis::ZERO,
                ..
            }
        ),
        "{source:?}"
    );
}
