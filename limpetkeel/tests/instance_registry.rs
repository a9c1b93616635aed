//! Tests of the instance registry: the choice and the order of planners.

use limpetkeel::{Contact, InstanceRegistry, Millicores, Removal, Timestamp};

fn contact(name: &str, zone: &str) -> Contact {
    Contact {
        name: name.try_into().expect("name"),
        availability_zone: zone.try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: Millicores(500),
    }
}

fn registry() -> InstanceRegistry {
    let mut registry = InstanceRegistry::new(contact("x0", "x"));
    for zone in ["x", "y", "z"] {
        for number in 0..4 {
            registry.insert(contact(&format!("{zone}{number}"), zone));
        }
    }
    registry
}

/// Returns the names of the planners in the order in which they are tried.
fn planner_names(registry: &InstanceRegistry, now: u64) -> Vec<String> {
    let planners = registry.planners(Timestamp(now), "pool");
    planners.iter().map(|c| c.name.to_string()).collect()
}

#[test]
fn all_instances_choose_the_same_first_planners() {
    let mut other = InstanceRegistry::new(contact("z3", "z"));
    for contact in registry().contacts() {
        other.insert(contact);
    }
    assert_eq!(
        planner_names(&registry(), 0)[..2],
        planner_names(&other, 0)[..2]
    );
}

#[test]
fn one_planner_is_in_the_local_zone() {
    let planners = registry().planners(Timestamp(0), "pool");
    let local = planners
        .iter()
        .any(|contact| contact.availability_zone.as_str() == "x");
    assert!(local, "{planners:?}");
}

#[test]
fn a_suspected_planner_is_skipped_and_tried_again_later() {
    let mut registry = registry();
    let first = planner_names(&registry, 0)[0].clone();
    let name = first.as_str().try_into().expect("name");
    registry.record_failure(Timestamp(0), &name);
    assert!(!planner_names(&registry, 240).contains(&first));
    assert!(planner_names(&registry, 260).contains(&first));
}

#[test]
fn suspicion_doubles_with_each_failure_but_not_for_requests_in_flight() {
    let mut registry = registry();
    let first = planner_names(&registry, 0)[0].clone();
    let name = first.as_str().try_into().expect("name");
    registry.record_failure(Timestamp(0), &name);
    registry.record_failure(Timestamp(10), &name);
    assert!(
        planner_names(&registry, 270).contains(&first),
        "one failure"
    );
    registry.record_failure(Timestamp(270), &name);
    assert!(
        !planner_names(&registry, 760).contains(&first),
        "two failures"
    );
    assert!(planner_names(&registry, 780).contains(&first));
    registry.record_response(&name);
    registry.record_failure(Timestamp(1_000), &name);
    assert!(
        planner_names(&registry, 1_260).contains(&first),
        "a response resets the suspicion"
    );
}

#[test]
fn the_removal_of_an_instance_moves_only_its_keys() {
    let mut registry = registry();
    let keys: Vec<String> = (0..200).map(|key| format!("pool{key}")).collect();
    let first = |registry: &InstanceRegistry, key: &str| {
        registry.planners(Timestamp(0), key)[0].name.clone()
    };
    let before: Vec<_> = keys.iter().map(|key| first(&registry, key)).collect();
    let removed = "y1".try_into().expect("name");
    registry.remove(Timestamp(0), &removed, Removal::Certain);
    for (key, before) in keys.iter().zip(before) {
        let after = first(&registry, key);
        assert!(
            after == before || before == removed,
            "{key}: {before} to {after}"
        );
    }
}

#[test]
fn larger_instances_plan_and_watch() {
    let mut registry = registry();
    for name in ["x2", "y1", "z3"] {
        let large = Contact {
            processor: Millicores(2_000),
            ..contact(name, &name[..1])
        };
        registry.insert(large);
    }
    let planners = planner_names(&registry, 0);
    assert!(
        planners[..2]
            .iter()
            .all(|name| ["x2", "y1", "z3"].contains(&name.as_str()))
    );
    let watchers = registry.watchers(Timestamp(0));
    assert_eq!(watchers[0].name.as_str(), "x2", "the large one of the zone");
    assert_eq!(watchers.len(), 2);
}

#[test]
fn an_instance_with_a_doubtful_removal_stays_a_planner_until_it_registers_again() {
    let mut registry = registry();
    let listed = registry.contacts();
    let planners = planner_names(&registry, 0);
    registry.replace(Timestamp(1_000), Vec::new(), Removal::Doubtful);
    registry.remove_expired(Timestamp(4_900));
    assert_eq!(planner_names(&registry, 4_900), planners);
    assert!(registry.contacts().is_empty(), "not listed");
    for contact in &listed[..6] {
        registry.insert(contact.clone());
    }
    registry.remove_expired(Timestamp(5_000));
    assert_eq!(registry.contacts(), listed[..6]);
    assert_eq!(registry.len(), 6);
}

#[test]
fn a_planner_with_outdated_tables_is_skipped_for_a_short_time() {
    // A planner that is only behind must not be suspected for seconds like one that is gone.
    let mut registry = registry();
    let first = planner_names(&registry, 0)[0].clone();
    let name = first.as_str().try_into().expect("name");
    registry.record_outdated(Timestamp(0), &name);
    assert!(!planner_names(&registry, 100).contains(&first));
    assert!(planner_names(&registry, 400).contains(&first));
    assert_eq!(
        registry.watchers(Timestamp(100)).len(),
        2,
        "the instance still watches the store"
    );
}
