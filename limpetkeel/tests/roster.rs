//! The roster: revisions, removals in doubt, and upstreams that start again.

use limpetkeel::{Millis, Removal, Revision, Roster, RosterEntry, Standing, Timestamp};

fn entry(name: &str, revision: u64) -> RosterEntry {
    RosterEntry {
        name: name.try_into().expect("name"),
        pool: "desk".try_into().expect("name"),
        availability_zone: "songino".try_into().expect("name"),
        address: ([127, 0, 0, 1], 8080).into(),
        slots: 6,
        standing: Standing::Ready,
        started: 1,
        revision: Revision(revision),
    }
}

fn serving(roster: &Roster) -> Vec<String> {
    let pool = "desk".try_into().expect("name");
    let serving = roster.serving(&pool);
    serving.iter().map(|e| e.name.to_string()).collect()
}

fn roster(names: &[&str]) -> Roster {
    let mut roster = Roster::default();
    for name in names {
        assert!(roster.upsert(entry(name, 1)));
    }
    roster
}

#[test]
fn a_late_answer_does_not_undo_a_newer_one() {
    let mut roster = roster(&["a"]);
    let mut draining = entry("a", 5);
    draining.standing = Standing::Draining;
    assert!(roster.upsert(draining));
    assert!(!roster.upsert(entry("a", 4)), "revision 4 is older than 5");
    assert!(serving(&roster).is_empty());
}

#[test]
fn a_removed_upstream_comes_back_only_with_a_newer_entry() {
    let mut roster = roster(&["a"]);
    let name = "a".try_into().expect("name");
    roster.remove(Timestamp(0), &name, Revision(3), Removal::Certain);
    assert!(!roster.upsert(entry("a", 2)));
    assert!(serving(&roster).is_empty());
    assert!(roster.upsert(entry("a", 4)));
    assert_eq!(serving(&roster), ["a"]);
}

#[test]
fn a_late_removal_does_not_touch_a_newer_entry() {
    let mut roster = roster(&[]);
    roster.upsert(entry("a", 9));
    let name = "a".try_into().expect("name");
    roster.remove(Timestamp(0), &name, Revision(8), Removal::Certain);
    assert_eq!(serving(&roster), ["a"]);
}

#[test]
fn entries_that_lapse_together_still_serve_until_they_could_be_back() {
    let mut roster = roster(&["a", "b"]);
    roster.replace(Timestamp(0), Vec::new(), Revision(5), Removal::Doubtful);
    assert_eq!(serving(&roster), ["a", "b"]);
    roster.sweep(Timestamp(2_000));
    assert_eq!(serving(&roster), ["a", "b"], "back within two seconds");
    roster.sweep(Timestamp(2_600));
    assert!(serving(&roster).is_empty(), "still missing: gone");
}

#[test]
fn a_missing_entry_serves_only_if_no_other_is_left() {
    let mut roster = roster(&["a", "b"]);
    let name = "a".try_into().expect("name");
    roster.remove(Timestamp(0), &name, Revision(5), Removal::Doubtful);
    assert_eq!(serving(&roster), ["b"]);
}

#[test]
fn a_draining_upstream_that_vanishes_is_gone_even_in_doubt() {
    let mut roster = roster(&[]);
    let mut draining = entry("a", 2);
    draining.standing = Standing::Draining;
    roster.upsert(draining);
    let name = "a".try_into().expect("name");
    roster.remove(Timestamp(0), &name, Revision(3), Removal::Doubtful);
    assert!(roster.get(&name).is_none());
}

#[test]
fn an_entry_that_is_back_serves_again() {
    let mut roster = roster(&["a"]);
    let name = "a".try_into().expect("name");
    roster.remove(Timestamp(0), &name, Revision(5), Removal::Doubtful);
    assert!(roster.upsert(entry("a", 7)));
    roster.sweep(Timestamp(Millis(60_000).0));
    assert_eq!(serving(&roster), ["a"]);
}

#[test]
fn the_generation_grows_with_each_change() {
    let mut roster = roster(&["a"]);
    let before = roster.generation();
    roster.upsert(entry("a", 1));
    assert_eq!(roster.generation(), before, "nothing changed");
    roster.upsert(entry("a", 2));
    assert!(roster.generation() > before);
}
