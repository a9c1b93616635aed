//! Mutexes with a fixed lock order for the shared tables.
//!
//! Every shared table is an [`OrderedMutex`] with a [`LockLevel`]. A thread may lock a table only
//! while all tables that it has locked have a lower level; debug builds check this on each lock.
//! The guards are not `Send`, so the compiler rejects spawning a future that holds one across an
//! await.

use std::{cell, ops};

/// The position of a shared table in the lock order; lower levels are locked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LockLevel {
    /// The routes and pools in force.
    Tables = 1,
    /// The members of all availability zones.
    Members = 2,
    /// The keepers that this instance runs.
    Keepers = 3,
    /// The requests that this instance owns.
    Requests = 4,
    /// The run-once updates that wait for a write to the store.
    RunOnce = 5,
    /// The retry budgets and the hedges and, where there is no memory account, the byte budget of
    /// request bodies.
    Budgets = 6,
    /// The upstreams that accept no requests from this instance.
    UpstreamAvailability = 7,
    /// The connections of callers.
    Connections = 8,
    /// The memory account. It is the last, so that a reservation can be released anywhere.
    Memory = 9,
}

thread_local! {
    /// The levels of the tables that the thread has locked, in debug builds.
    static HELD_LEVELS: cell::RefCell<Vec<LockLevel>> = const { cell::RefCell::new(Vec::new()) };
}

/// A mutex around a shared table that checks the lock order in debug builds.
#[derive(Debug)]
pub struct OrderedMutex<T> {
    level: LockLevel,
    table: parking_lot::Mutex<T>,
}

impl<T> OrderedMutex<T> {
    /// Creates an unlocked mutex around a table.
    pub fn new(level: LockLevel, table: T) -> OrderedMutex<T> {
        OrderedMutex {
            level,
            table: parking_lot::Mutex::new(table),
        }
    }

    /// Locks the table, blocking the thread until it is available.
    ///
    /// # Panics
    ///
    /// Panics in debug builds if the thread has locked a table of the same or a higher level.
    pub fn lock(&self) -> OrderedGuard<'_, T> {
        if cfg!(debug_assertions) {
            record_lock(self.level);
        }
        OrderedGuard {
            level: self.level,
            table: self.table.lock(),
        }
    }
}

/// Checks the lock order and records the level as locked by this thread.
fn record_lock(level: LockLevel) {
    HELD_LEVELS.with_borrow_mut(|held| {
        if let Some(highest) = held.iter().max() {
            assert!(
                *highest < level,
                "lock order: {level:?} requested while {highest:?} is held"
            );
        }
        held.push(level);
    });
}

/// Exclusive access to a locked table, which is unlocked on drop.
pub struct OrderedGuard<'a, T> {
    level: LockLevel,
    table: parking_lot::MutexGuard<'a, T>,
}

impl<T> ops::Deref for OrderedGuard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.table
    }
}

impl<T> ops::DerefMut for OrderedGuard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.table
    }
}

impl<T> Drop for OrderedGuard<'_, T> {
    fn drop(&mut self) {
        if cfg!(debug_assertions) {
            HELD_LEVELS.with_borrow_mut(|held| held.retain(|level| *level != self.level));
        }
    }
}
