//! Tests of the quarantine list: entries of the store by revision, and local updates until the
//! store includes them.

use limpetkeel::{
    CrashCause, Era, MAX_LOCAL_UPDATES, MAX_QUARANTINES, Millis, QUARANTINE_LIFETIME, Quarantine,
    QuarantineList, QuarantineListEntry, QuarantineUpdate, Revision, Timestamp,
};

const NOW: Timestamp = Timestamp(1_000);

fn quarantine(part: u64, crashes: u32) -> Quarantine {
    Quarantine {
        cause: CrashCause::Part(part),
        crashes,
    }
}

fn entry(part: u64, crashes: u32, revision: u64) -> QuarantineListEntry {
    QuarantineListEntry {
        quarantine: quarantine(part, crashes),
        revision: Revision::new(Era(1), revision),
    }
}

fn imposed(part: u64, crashes: u32) -> QuarantineUpdate {
    QuarantineUpdate::Imposed(quarantine(part, crashes))
}

fn lifted(part: u64) -> QuarantineUpdate {
    QuarantineUpdate::Lifted(CrashCause::Part(part))
}

/// Returns the parts and their numbers of crashes, in the order of the parts.
fn listed(list: &QuarantineList) -> Vec<(u64, u32)> {
    let mut listed: Vec<_> = list
        .entries()
        .map(|q| match q.cause {
            CrashCause::Part(id) => (id, q.crashes),
            CrashCause::Request(digest) => panic!("{digest}"),
        })
        .collect();
    listed.sort_unstable();
    listed
}

#[test]
fn the_newest_change_of_a_part_is_listed() {
    let mut list = QuarantineList::default();
    list.insert(entry(1, 2, 5));
    list.insert(entry(1, 3, 7));
    list.insert(entry(1, 2, 5));
    assert_eq!(listed(&list), [(1, 3)]);
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 6));
    assert_eq!(listed(&list), [(1, 3)], "the removal is older");
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 8));
    assert_eq!(listed(&list), []);
}

#[test]
fn a_snapshot_replaces_the_entries() {
    let mut list = QuarantineList::default();
    list.insert(entry(1, 2, 5));
    list.insert(entry(2, 2, 6));
    list.replace(
        Timestamp(0),
        vec![entry(2, 4, 8), entry(3, 1, 9)],
        Revision::new(Era(1), 9),
    );
    assert_eq!(listed(&list), [(2, 4), (3, 1)]);
}

#[test]
fn the_generation_increases_only_with_changes_of_the_quarantines() {
    let mut list = QuarantineList::default();
    list.publish(NOW, imposed(1, 2));
    let published = list.generation();
    assert!(published > 0);
    list.record_written(imposed(1, 2), Revision::new(Era(1), 5));
    list.insert(entry(1, 2, 5));
    list.advance(Revision::new(Era(1), 5));
    list.replace(Timestamp(0), vec![entry(1, 2, 5)], Revision::new(Era(1), 6));
    list.remove(CrashCause::Part(2), Revision::new(Era(1), 7));
    assert_eq!(list.generation(), published);
    list.insert(entry(1, 3, 8));
    assert!(list.generation() > published);
}

#[test]
fn a_local_update_is_not_reverted_by_an_older_change() {
    let mut list = QuarantineList::default();
    list.publish(NOW, imposed(1, 3));
    list.insert(entry(1, 2, 4));
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 5));
    list.advance(Revision::new(Era(1), 5));
    assert_eq!(listed(&list), [(1, 3)]);
    list.record_written(imposed(1, 3), Revision::new(Era(1), 7));
    list.insert(entry(1, 1, 6));
    list.advance(Revision::new(Era(1), 6));
    assert_eq!(listed(&list), [(1, 3)], "the write is at revision 7");
    list.insert(entry(1, 3, 7));
    list.advance(Revision::new(Era(1), 7));
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 8));
    list.advance(Revision::new(Era(1), 8));
    assert_eq!(listed(&list), [], "the removal is newer than the write");
}

#[test]
fn a_write_may_be_watched_before_it_is_acknowledged() {
    let mut list = QuarantineList::default();
    list.insert(entry(1, 2, 4));
    list.publish(NOW, lifted(1));
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 5));
    list.insert(entry(1, 9, 6));
    list.advance(Revision::new(Era(1), 6));
    assert_eq!(listed(&list), [], "the write is outstanding");
    list.record_written(lifted(1), Revision::new(Era(1), 5));
    assert_eq!(listed(&list), [(1, 9)], "another instance wrote later");
}

#[test]
fn the_writes_of_two_instances_end_with_the_same_list() {
    let (mut first, mut second) = (QuarantineList::default(), QuarantineList::default());
    first.publish(NOW, imposed(1, 3));
    second.publish(NOW, imposed(1, 2));
    first.record_written(imposed(1, 3), Revision::new(Era(1), 4));
    second.record_written(imposed(1, 2), Revision::new(Era(1), 5));
    for list in [&mut first, &mut second] {
        list.insert(entry(1, 3, 4));
        list.insert(entry(1, 2, 5));
        list.advance(Revision::new(Era(1), 5));
        assert_eq!(listed(list), [(1, 2)]);
    }
}

#[test]
fn a_later_update_replaces_the_queued_one_of_its_part() {
    let mut list = QuarantineList::default();
    list.publish(NOW, imposed(1, 2));
    list.publish(NOW, imposed(2, 2));
    list.publish(NOW, lifted(1));
    assert_eq!(listed(&list), [(2, 2)]);
    assert_eq!(list.next_write(NOW), Some(imposed(2, 2)));
    list.record_written(imposed(2, 2), Revision::new(Era(1), 4));
    assert_eq!(list.next_write(NOW), Some(lifted(1)));
    list.record_written(lifted(1), Revision::new(Era(1), 5));
    assert_eq!(list.next_write(NOW), None);
}

#[test]
fn an_update_that_is_replaced_during_its_write_is_followed_by_the_newer_one() {
    let mut list = QuarantineList::default();
    list.publish(NOW, imposed(1, 2));
    assert_eq!(list.next_write(NOW), Some(imposed(1, 2)));
    list.publish(NOW, lifted(1));
    list.record_written(imposed(1, 2), Revision::new(Era(1), 4));
    list.insert(entry(1, 2, 4));
    list.advance(Revision::new(Era(1), 4));
    assert_eq!(listed(&list), []);
    assert_eq!(list.next_write(NOW), Some(lifted(1)));
}

#[test]
fn a_failed_write_is_repeated_after_the_others_until_the_quarantine_would_have_expired() {
    let mut list = QuarantineList::default();
    list.publish(NOW, imposed(1, 2));
    list.publish(NOW.after(Millis(1)), imposed(2, 2));
    list.record_failed(imposed(1, 2));
    assert_eq!(list.next_write(NOW), Some(imposed(2, 2)));
    list.record_failed(imposed(2, 2));
    assert_eq!(list.next_write(NOW), Some(imposed(1, 2)));
    let expired = NOW.after(QUARANTINE_LIFETIME).after(Millis(1));
    assert_eq!(list.next_write(expired), Some(imposed(2, 2)));
    assert_eq!(listed(&list), [(2, 2)]);
    assert_eq!(list.next_write(expired.after(Millis(1))), None);
    assert_eq!(listed(&list), []);
}

#[test]
fn the_list_is_bounded() {
    let mut list = QuarantineList::default();
    for number in 0..2_000 {
        list.insert(entry(number, 2, number + 1));
    }
    assert_eq!(listed(&list).len(), MAX_QUARANTINES);
    assert!(list.get(CrashCause::Part(0)).is_none());
    assert!(list.get(CrashCause::Part(1_999)).is_some());
    for number in 10_000..12_000 {
        list.publish(NOW, imposed(number, 2));
    }
    assert_eq!(listed(&list).len(), MAX_QUARANTINES + MAX_LOCAL_UPDATES);
    assert!(list.get(CrashCause::Part(11_999)).is_some());
}

/// Returns the entry of a part in the second era.
fn restored_entry(part: u64, crashes: u32, revision: u64) -> QuarantineListEntry {
    QuarantineListEntry {
        revision: Revision::new(Era(2), revision),
        ..entry(part, crashes, revision)
    }
}

#[test]
fn a_written_quarantine_that_the_store_has_lost_is_written_again() {
    let mut list = QuarantineList::default();
    list.publish(Timestamp(0), imposed(1, 2));
    list.publish(Timestamp(0), imposed(2, 3));
    list.record_written(imposed(1, 2), Revision::new(Era(1), 46));
    list.record_written(imposed(2, 3), Revision::new(Era(1), 47));
    list.insert(entry(1, 2, 46));
    list.advance(Revision::new(Era(1), 46));
    assert_eq!(list.next_write(Timestamp(1)), None);
    list.replace(
        Timestamp(2),
        vec![restored_entry(2, 2, 30)],
        Revision::new(Era(2), 50),
    );
    assert_eq!(listed(&list), [(1, 2), (2, 3)]);
    for update in [imposed(1, 2), imposed(2, 3)] {
        assert!(list.next_write(Timestamp(3)).is_some());
        list.record_written(update, Revision::new(Era(2), 51));
    }
    assert_eq!(list.next_write(Timestamp(4)), None);
}

#[test]
fn a_lost_quarantine_of_another_instance_is_kept_until_it_is_listed_or_expires() {
    let mut list = QuarantineList::default();
    list.replace(
        Timestamp(0),
        vec![entry(1, 2, 40), entry(2, 2, 41)],
        Revision::new(Era(1), 47),
    );
    list.replace(Timestamp(0), Vec::new(), Revision::new(Era(2), 50));
    assert_eq!(listed(&list), [(1, 2), (2, 2)]);
    assert_eq!(list.next_write(Timestamp(1)), None, "not its own");
    list.insert(restored_entry(1, 3, 51));
    list.remove(CrashCause::Part(1), Revision::new(Era(2), 52));
    assert_eq!(listed(&list), [(2, 2)]);
    list.remove_expired(Timestamp(QUARANTINE_LIFETIME.0 + 1));
    assert_eq!(listed(&list), []);
}

#[test]
fn a_lifted_quarantine_that_the_store_lists_again_is_lifted_again() {
    let mut list = QuarantineList::default();
    list.insert(entry(1, 2, 40));
    list.publish(Timestamp(0), lifted(1));
    list.record_written(lifted(1), Revision::new(Era(1), 45));
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 45));
    list.advance(Revision::new(Era(1), 47));
    list.replace(
        Timestamp(1),
        vec![restored_entry(1, 2, 40)],
        Revision::new(Era(2), 44),
    );
    assert_eq!(listed(&list), []);
    assert_eq!(list.next_write(Timestamp(2)), Some(lifted(1)));
}

#[test]
fn an_update_that_another_instance_has_replaced_is_not_written_again() {
    let mut list = QuarantineList::default();
    list.publish(Timestamp(0), imposed(1, 2));
    list.record_written(imposed(1, 2), Revision::new(Era(1), 45));
    list.insert(entry(1, 2, 45));
    list.advance(Revision::new(Era(1), 45));
    list.remove(CrashCause::Part(1), Revision::new(Era(1), 46));
    list.advance(Revision::new(Era(1), 46));
    list.replace(Timestamp(1), Vec::new(), Revision::new(Era(2), 44));
    assert_eq!(listed(&list), []);
    assert_eq!(list.next_write(Timestamp(2)), None);
}

#[test]
fn a_write_that_is_acknowledged_after_its_era_has_ended_is_repeated() {
    let mut list = QuarantineList::default();
    list.replace(Timestamp(0), Vec::new(), Revision::new(Era(1), 45));
    list.publish(Timestamp(0), imposed(1, 2));
    list.replace(Timestamp(1), Vec::new(), Revision::new(Era(2), 40));
    list.record_written(imposed(1, 2), Revision::new(Era(1), 46));
    assert_eq!(list.next_write(Timestamp(2)), Some(imposed(1, 2)));
    list.record_written(imposed(1, 2), Revision::new(Era(2), 41));
    assert_eq!(list.next_write(Timestamp(3)), None);
}
