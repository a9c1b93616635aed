//! The memory account: who gets memory, who is refused, and which bodies are dropped.

use limpetkeel::{BodyId, Bytes, MemoryAccount, MemoryExhausted, MemoryShare, Millis, Timestamp};

const MB: u64 = 1 << 20;
const START: Timestamp = Timestamp(1_000);

/// An account with 64 MB for shares: 22.4 MB for request bodies, 9.6 MB of them guaranteed.
fn account() -> MemoryAccount {
    MemoryAccount::new(Bytes(112 * MB))
}

fn open(account: &mut MemoryAccount, megabytes: u64, now: Timestamp) -> BodyId {
    let body = account.open_body(now);
    let dropped = account.grow_body(body, Bytes(megabytes * MB), now);
    assert_eq!(dropped, Ok(Vec::new()));
    body
}

fn stalled() -> Timestamp {
    START.after(limpetkeel::STALLED_AFTER)
}

#[test]
fn a_share_has_a_maximum_and_released_bytes_are_available_again() {
    let mut account = account();
    let maximum = account.maximum(MemoryShare::RequestHeads);
    assert_eq!(
        account.try_reserve(MemoryShare::RequestHeads, maximum),
        Ok(())
    );
    let one_more = account.try_reserve(MemoryShare::RequestHeads, Bytes(1));
    assert_eq!(one_more, Err(MemoryExhausted));
    account.release(MemoryShare::RequestHeads, Bytes(1));
    assert_eq!(
        account.try_reserve(MemoryShare::RequestHeads, Bytes(1)),
        Ok(())
    );
    assert_eq!(account.reserved(MemoryShare::RequestHeads), maximum);
}

/// Guards against bodies and responses that take the memory of connections and events.
#[test]
fn the_guaranteed_part_of_a_share_is_available_when_the_others_are_full() {
    let mut account = account();
    for share in MemoryShare::all() {
        if share != MemoryShare::QueuedEvents && share != MemoryShare::Messages {
            while account.try_reserve(share, Bytes(MB / 4)).is_ok() {}
        }
    }
    let events = account.try_reserve(MemoryShare::QueuedEvents, Bytes(6 * MB));
    assert_eq!(events, Ok(()));
    let beyond = account.try_reserve(MemoryShare::QueuedEvents, Bytes(MB));
    assert_eq!(beyond, Err(MemoryExhausted));
}

#[test]
fn all_shares_together_leave_room_for_tables_and_plans() {
    let mut account = account();
    for share in MemoryShare::all() {
        if share != MemoryShare::Messages {
            while account.try_reserve(share, Bytes(MB / 4)).is_ok() {}
        }
    }
    let reserved: Bytes = MemoryShare::all()
        .map(|share| account.reserved(share))
        .sum();
    assert!(reserved <= Bytes((112 - 48) * MB), "{reserved}");
}

#[test]
fn messages_of_peers_and_the_store_are_never_refused() {
    let mut account = account();
    for _ in 0..200 {
        let message = account.try_reserve(MemoryShare::Messages, Bytes(MB));
        assert_eq!(message, Ok(()));
    }
    let body = account.open_body(START);
    let guaranteed = account.grow_body(body, Bytes(9 * MB), START);
    assert_eq!(guaranteed, Ok(Vec::new()));
    let beyond = account.grow_body(body, Bytes(MB), START);
    assert_eq!(beyond, Err(MemoryExhausted));
}

#[test]
fn stalled_bodies_are_dropped_before_moving_ones_and_large_ones_first() {
    let mut account = account();
    let small = open(&mut account, 2, START);
    let large = open(&mut account, 6, START);
    let moving = open(&mut account, 14, START);
    account.touch_body(moving, stalled());
    let ordinary = account.open_body(stalled());
    let dropped = account.grow_body(ordinary, Bytes(2 * MB), stalled());
    assert_eq!(dropped, Ok(vec![large]));
    let next = account.grow_body(ordinary, Bytes(5 * MB), stalled());
    assert_eq!(next, Ok(vec![small]));
    let moving = account.grow_body(moving, Bytes(1), stalled());
    assert_eq!(moving, Ok(Vec::new()));
}

#[test]
fn a_body_that_was_dropped_gets_no_more_memory_and_cannot_be_completed() {
    let mut account = account();
    let large = open(&mut account, 22, START);
    let ordinary = account.open_body(stalled());
    let dropped = account.grow_body(ordinary, Bytes(MB), stalled());
    assert_eq!(dropped, Ok(vec![large]));
    assert_eq!(account.reserved(MemoryShare::RequestBodies), Bytes(MB));
    let grown = account.grow_body(large, Bytes(1), stalled());
    assert_eq!(grown, Err(MemoryExhausted));
    account.close_body(large);
    assert_eq!(account.complete_body(large, Bytes(0)), Err(MemoryExhausted));
    assert_eq!(account.reserved(MemoryShare::RequestBodies), Bytes(MB));
}

/// Guards against moving bodies of similar size that replace each other without end.
#[test]
fn a_moving_body_is_dropped_only_for_a_much_smaller_one() {
    let mut account = account();
    let first = open(&mut account, 12, START);
    let _second = open(&mut account, 10, START);
    let similar = account.open_body(START);
    let refused = account.grow_body(similar, Bytes(7 * MB), START);
    assert_eq!(refused, Err(MemoryExhausted));
    let ordinary = account.grow_body(similar, Bytes(MB), START);
    assert_eq!(ordinary, Ok(vec![first]));
}

/// Guards against a refused request that drops others without getting their memory.
#[test]
fn no_body_is_dropped_when_that_would_not_make_enough_room() {
    let mut account = account();
    let running = open(&mut account, 22, START);
    account
        .complete_body(running, Bytes(22 * MB))
        .expect("body");
    let stalled_body = account.open_body(START);
    account
        .grow_body(stalled_body, Bytes(1_000), START)
        .expect("room");
    let large = account.open_body(stalled());
    let refused = account.grow_body(large, Bytes(4 * MB), stalled());
    assert_eq!(refused, Err(MemoryExhausted));
    let grown = account.grow_body(stalled_body, Bytes(1), stalled());
    assert_eq!(grown, Ok(Vec::new()));
}

#[test]
fn a_complete_body_keeps_its_size_and_is_not_dropped() {
    let mut account = account();
    let body = open(&mut account, 20, START);
    account.complete_body(body, Bytes(18 * MB)).expect("body");
    assert_eq!(account.reserved(MemoryShare::RequestBodies), Bytes(18 * MB));
    let later = stalled().after(Millis(60_000));
    let other = account.open_body(later);
    let refused = account.grow_body(other, Bytes(9 * MB), later);
    assert_eq!(refused, Err(MemoryExhausted));
    account.release(MemoryShare::RequestBodies, Bytes(18 * MB));
    assert_eq!(account.reserved(MemoryShare::RequestBodies), Bytes::ZERO);
}

#[test]
fn a_small_memory_limit_still_allows_some_connections() {
    let account = MemoryAccount::new(Bytes(MB));
    assert_eq!(account.maximum(MemoryShare::RequestHeads), Bytes(4 * MB));
    assert_eq!(
        account.maximum(MemoryShare::RequestBodies),
        Bytes(MB / 2).percent(35)
    );
}
