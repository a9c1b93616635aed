//! Reservations in the memory account: they are released when they are dropped.

use limpetkeel::{Bytes, MemoryShare, STALLED_AFTER, Timestamp};
use limpetkeeld::relay::memory::Memory;

const MB: usize = 1 << 20;
const START: Timestamp = Timestamp(1_000);

fn reserved(memory: &Memory, share: MemoryShare) -> usize {
    memory.reserved(share).0 as usize
}

/// Guards against memory that stays reserved after its holder is gone.
#[test]
fn a_dropped_reservation_is_released() {
    let memory = Memory::new(Bytes(112 << 20));
    let share = MemoryShare::ResponseBodies;
    let mut reservation = memory.try_reserve(share, MB).expect("room");
    reservation.try_grow(MB).expect("room");
    assert_eq!(reserved(&memory, share), 2 * MB);
    reservation.shrink_to(10);
    assert_eq!((reservation.len(), reserved(&memory, share)), (10, 10));
    drop(reservation);
    assert_eq!(reserved(&memory, share), 0);
}

#[test]
fn a_failed_reservation_takes_nothing() {
    let memory = Memory::new(Bytes(112 << 20));
    let share = MemoryShare::QueuedEvents;
    let mut reservation = memory.try_reserve(share, MB).expect("room");
    assert!(reservation.try_grow(64 * MB).is_err());
    assert!(memory.try_reserve(share, 64 * MB).is_err());
    assert_eq!(reserved(&memory, share), MB);
}

/// Guards against a body that is dropped by the account and releases its bytes a second time.
#[test]
fn a_dropped_body_is_told_and_released_once() {
    let memory = Memory::new(Bytes(112 << 20));
    let stalled = memory.open_body(START);
    assert_eq!(stalled.try_grow(20 * MB, START), Ok(0));
    let later = START.after(STALLED_AFTER);
    let ordinary = memory.open_body(later);
    assert_eq!(ordinary.try_grow(4 * MB, later), Ok(1));
    assert!(stalled.dropped().is_cancelled());
    drop(stalled);
    let body = ordinary.complete(3 * MB).expect("body");
    assert_eq!(reserved(&memory, MemoryShare::RequestBodies), 3 * MB);
    drop(body);
    assert_eq!(reserved(&memory, MemoryShare::RequestBodies), 0);
}

/// Guards against a caller that disconnects in the middle of its body and leaves its memory behind.
#[test]
fn a_body_that_breaks_off_is_released() {
    let memory = Memory::new(Bytes(112 << 20));
    let body = memory.open_body(START);
    assert_eq!(body.try_grow(MB, START), Ok(0));
    drop(body);
    assert_eq!(reserved(&memory, MemoryShare::RequestBodies), 0);
}
