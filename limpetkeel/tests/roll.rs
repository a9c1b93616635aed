//! The roll: who is asked for plans, and in which order.

use limpetkeel::{Contact, Roll, Timestamp};

fn contact(name: &str, zone: &str) -> Contact {
    Contact {
        name: name.try_into().expect("name"),
        availability_zone: zone.try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn roll() -> Roll {
    let mut roll = Roll::new(contact("x0", "x"));
    for zone in ["x", "y", "z"] {
        for number in 0..4 {
            roll.list(contact(&format!("{zone}{number}"), zone));
        }
    }
    roll
}

fn names(roll: &Roll, now: u64) -> Vec<String> {
    let planners = roll.planners(Timestamp(now), "pool");
    planners.iter().map(|c| c.name.to_string()).collect()
}

#[test]
fn every_instance_asks_the_same_planner_first() {
    let mut other = Roll::new(contact("z3", "z"));
    for listed in roll().listed() {
        other.list(listed);
    }
    assert_eq!(names(&roll(), 0)[..2], names(&other, 0)[..2]);
}

#[test]
fn the_last_one_asked_is_of_the_own_zone() {
    let planners = roll().planners(Timestamp(0), "pool");
    let local = planners
        .iter()
        .any(|contact| contact.availability_zone.as_str() == "x");
    assert!(local, "{planners:?}");
}

#[test]
fn one_that_did_not_answer_is_passed_over_and_tried_again() {
    let mut roll = roll();
    let first = names(&roll, 0)[0].clone();
    let name = first.as_str().try_into().expect("name");
    roll.suspect(Timestamp(0), &name);
    assert!(!names(&roll, 1_400).contains(&first));
    assert!(names(&roll, 1_600).contains(&first));
}

#[test]
fn suspicion_doubles_with_each_miss_but_not_with_requests_under_way() {
    let mut roll = roll();
    let first = names(&roll, 0)[0].clone();
    let name = first.as_str().try_into().expect("name");
    roll.suspect(Timestamp(0), &name);
    roll.suspect(Timestamp(10), &name);
    assert!(names(&roll, 1_600).contains(&first), "one miss");
    roll.suspect(Timestamp(1_600), &name);
    assert!(!names(&roll, 4_000).contains(&first), "two misses");
    assert!(names(&roll, 4_700).contains(&first));
    roll.trust(&name);
    roll.suspect(Timestamp(5_000), &name);
    assert!(names(&roll, 6_600).contains(&first), "an answer resets it");
}

#[test]
fn an_instance_that_leaves_moves_only_its_own_keys() {
    let mut roll = roll();
    let keys: Vec<String> = (0..200).map(|key| format!("pool{key}")).collect();
    let first = |roll: &Roll, key: &str| roll.planners(Timestamp(0), key)[0].name.clone();
    let before: Vec<_> = keys.iter().map(|key| first(&roll, key)).collect();
    let gone = "y1".try_into().expect("name");
    roll.unlist(&gone);
    for (key, before) in keys.iter().zip(before) {
        let after = first(&roll, key);
        assert!(
            after == before || before == gone,
            "{key}: {before} to {after}"
        );
    }
}
