//! The lock order of shared tables.

use limpetkeel::{LockLevel, OrderedMutex};

#[test]
fn tables_can_be_locked_in_order() {
    let first = OrderedMutex::new(LockLevel::Tables, 1);
    let second = OrderedMutex::new(LockLevel::Members, 2);
    let held = first.lock();
    assert_eq!(*held + *second.lock(), 3);
    assert_eq!(*second.lock(), 2);
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "lock order")]
fn locking_out_of_order_panics_in_debug_builds() {
    let first = OrderedMutex::new(LockLevel::Tables, 1);
    let second = OrderedMutex::new(LockLevel::Members, 2);
    let _held = second.lock();
    let _wrong = first.lock();
}
