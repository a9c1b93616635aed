//! Tests of the doubt about removals from the store.

use limpetkeel::{Removal, RemovalDoubt, Timestamp};

/// How long a machine is in touch again after the store has returned, and how long it may use an
/// upstream after its removal, in the users' deployments; in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// The time within which entries are back after the return of the store, in milliseconds.
const BACK_MS: u64 = 2_000;

#[test]
fn removals_by_a_store_that_responds_are_certain() {
    let mut doubt = RemovalDoubt::default();
    assert_eq!(doubt.classify(Timestamp(0)), Removal::Certain);
    doubt.record_response(Timestamp(10));
    assert_eq!(doubt.classify(Timestamp(10)), Removal::Certain);
}

#[test]
fn removals_during_an_outage_are_doubtful_however_long_it_lasts() {
    let mut doubt = RemovalDoubt::default();
    doubt.record_failure();
    for now in [0, 5_000, 60_000] {
        assert_eq!(doubt.classify(Timestamp(now)), Removal::Doubtful);
    }
}

#[test]
fn doubt_ends_before_instances_are_in_touch_again() {
    let mut doubt = RemovalDoubt::default();
    doubt.record_failure();
    doubt.record_failure();
    let back = 10_000;
    doubt.record_response(Timestamp(back));
    let at = |elapsed| doubt.classify(Timestamp(back + elapsed));
    assert_eq!(at(0), Removal::Doubtful);
    assert_eq!(at(BACK_MS), Removal::Doubtful);
    assert_eq!(at(CONTACT_MS), Removal::Certain);
}

#[test]
fn later_responses_do_not_extend_the_doubt() {
    let mut doubt = RemovalDoubt::default();
    doubt.record_failure();
    for now in [10_000, 11_000, 12_000, 13_000] {
        doubt.record_response(Timestamp(now));
    }
    assert_eq!(doubt.classify(Timestamp(13_000)), Removal::Certain);
}

#[test]
fn a_restored_store_is_doubted_for_longer() {
    let mut doubt = RemovalDoubt::default();
    doubt.record_failure();
    doubt.record_restore(Timestamp(10_000));
    assert_eq!(doubt.classify(Timestamp(15_000)), Removal::Doubtful);
    assert_eq!(doubt.classify(Timestamp(16_000)), Removal::Certain);
}
