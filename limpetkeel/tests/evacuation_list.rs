//! Tests of the evacuation list: late and repeated changes, and a store that was restored.

use limpetkeel::{AvailabilityZoneName, Era, EvacuationEntry, EvacuationList, Revision, Timestamp};

fn zone(name: &str) -> AvailabilityZoneName {
    name.try_into().expect("name")
}

fn entry(name: &str, era: u64, number: u64) -> EvacuationEntry {
    EvacuationEntry {
        availability_zone: zone(name),
        revision: Revision::new(Era(era), number),
    }
}

fn at(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

/// Returns the names of the evacuated zones.
fn zones(list: &EvacuationList) -> Vec<&str> {
    list.zones().iter().map(|zone| zone.as_str()).collect()
}

#[test]
fn two_zones_are_evacuated_and_lifted_independently() {
    let mut list = EvacuationList::default();
    assert!(list.insert(entry("x", 1, 3)));
    assert!(list.insert(entry("y", 1, 4)));
    assert!(!list.insert(entry("y", 1, 5)), "written again");
    assert_eq!(zones(&list), ["x", "y"]);
    assert_eq!(list.changed_at(), at(1, 4));
    assert!(list.lift(Timestamp(900), &zone("x"), at(1, 6)));
    assert_eq!(zones(&list), ["y"]);
    assert_eq!(list.lifted_at(&zone("x")), Some(Timestamp(900)));
    assert_eq!(list.lifted_at(&zone("y")), None);
    assert_eq!(list.changed_at(), at(1, 6));
}

#[test]
fn a_late_change_does_not_revert_a_newer_one() {
    let mut list = EvacuationList::default();
    list.insert(entry("x", 1, 5));
    assert!(!list.lift(Timestamp(0), &zone("x"), at(1, 4)));
    assert_eq!(zones(&list), ["x"]);
    assert!(list.lift(Timestamp(0), &zone("x"), at(1, 7)));
    assert!(!list.insert(entry("x", 1, 6)));
    assert!(list.insert(entry("x", 1, 8)));
    assert_eq!(list.lifted_at(&zone("x")), None, "evacuated again");
}

#[test]
fn a_snapshot_replaces_the_evacuations_of_its_era() {
    let mut list = EvacuationList::default();
    list.insert(entry("x", 1, 3));
    let changes = list.replace(Timestamp(50), vec![entry("z", 1, 8)], at(1, 9));
    assert_eq!(changes.evacuated, [zone("z")]);
    assert_eq!(changes.lifted, [zone("x")]);
    assert_eq!(zones(&list), ["z"]);
    assert_eq!(list.lifted_at(&zone("x")), Some(Timestamp(50)));
}

#[test]
fn an_evacuation_that_a_restored_store_lacks_is_kept_and_then_lifted() {
    let mut list = EvacuationList::default();
    list.insert(entry("x", 1, 50));
    list.insert(entry("y", 1, 60));
    list.replace(Timestamp(1_000), Vec::new(), at(2, 3));
    assert_eq!(
        zones(&list),
        ["x", "y"],
        "the operator may write them again"
    );
    list.insert(entry("y", 2, 4));
    list.replace(Timestamp(3_000), vec![entry("y", 2, 4)], at(2, 5));
    assert!(list.remove_expired(Timestamp(6_900), at(2, 6)).is_empty());
    assert_eq!(list.remove_expired(Timestamp(7_000), at(2, 7)), [zone("x")]);
    assert_eq!(zones(&list), ["y"]);
    assert_eq!(list.lifted_at(&zone("x")), Some(Timestamp(7_000)));
    // A peer that still keeps it must not bring it back.
    list.replace(
        Timestamp(7_100),
        vec![entry("x", 1, 50), entry("y", 2, 4)],
        at(2, 8),
    );
    assert_eq!(zones(&list), ["y"]);
}

#[test]
fn an_instance_that_starts_keeps_a_lost_evacuation_of_a_peer_for_a_while() {
    let mut list = EvacuationList::default();
    let changes = list.replace(Timestamp(0), vec![entry("x", 1, 50)], at(2, 8));
    assert_eq!(changes.evacuated, [zone("x")]);
    assert_eq!(list.remove_expired(Timestamp(6_000), at(2, 9)), [zone("x")]);
}
