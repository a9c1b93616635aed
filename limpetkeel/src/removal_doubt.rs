//! How far the removal of an entry from the platform's store can be trusted.
//!
//! An entry may expire because its process could not renew it while the store was unavailable. Such
//! entries are back soon after the return of the store, so that what is removed later, by a store
//! that responds, has ended.

use crate::{unit, upstream_registry};

/// How long after the return of the store a removal may be due to its outage. The platform states
/// that entries are back within about two seconds.
const RETURN_PERIOD: unit::Millis = unit::Millis(2_500);

/// How long after the store was restored from a backup a removal may be due to the age of the
/// backup. It covers three heartbeats and the time to write the entries again.
const RESTORE_PERIOD: unit::Millis = unit::Millis(6_000);

/// The state of a store that does not respond.
#[derive(Debug)]
struct Unavailable(());

/// The state of a store that responds.
#[derive(Debug)]
struct Available {
    /// The time until which removals may be due to an outage or a backup.
    doubtful_until: unit::Timestamp,
}

/// The doubt about removals in a state of the store.
#[derive(Debug)]
struct Doubt<S> {
    state: S,
}

impl Doubt<Available> {
    fn until(doubtful_until: unit::Timestamp) -> Doubt<Available> {
        Doubt {
            state: Available { doubtful_until },
        }
    }

    fn fail(self) -> Doubt<Unavailable> {
        Doubt {
            state: Unavailable(()),
        }
    }

    fn extend(self, until: unit::Timestamp) -> Doubt<Available> {
        Doubt::until(self.state.doubtful_until.max(until))
    }
}

impl Doubt<Unavailable> {
    fn recover(self, now: unit::Timestamp) -> Doubt<Available> {
        Doubt::until(now.after(RETURN_PERIOD))
    }
}

/// The doubt in any state of the store.
#[derive(Debug)]
enum DoubtState {
    Available(Doubt<Available>),
    Unavailable(Doubt<Unavailable>),
}

/// The doubt about the removal of entries, as seen by one instance.
#[derive(Debug)]
pub struct RemovalDoubt(DoubtState);

impl Default for RemovalDoubt {
    fn default() -> RemovalDoubt {
        let trusted = Doubt::until(unit::Timestamp::ZERO);
        RemovalDoubt(DoubtState::Available(trusted))
    }
}

impl RemovalDoubt {
    /// Records that the store did not respond, or has lost its history.
    pub fn record_failure(&mut self) {
        self.update(|state| match state {
            DoubtState::Available(doubt) => DoubtState::Unavailable(doubt.fail()),
            unavailable => unavailable,
        });
    }

    /// Records that the store has responded.
    pub fn record_response(&mut self, now: unit::Timestamp) {
        self.update(|state| match state {
            DoubtState::Unavailable(doubt) => DoubtState::Available(doubt.recover(now)),
            available => available,
        });
    }

    /// Records that the store responds and was restored from a backup.
    pub fn record_restore(&mut self, now: unit::Timestamp) {
        self.record_response(now);
        self.update(|state| match state {
            DoubtState::Available(doubt) => {
                DoubtState::Available(doubt.extend(now.after(RESTORE_PERIOD)))
            }
            unavailable => unavailable,
        });
    }

    /// Returns how to treat an entry that the store reports as removed at `now`.
    pub fn classify(&self, now: unit::Timestamp) -> upstream_registry::Removal {
        match &self.0 {
            DoubtState::Available(doubt) if now >= doubt.state.doubtful_until => {
                upstream_registry::Removal::Certain
            }
            _ => upstream_registry::Removal::Doubtful,
        }
    }

    fn update(&mut self, change: impl FnOnce(DoubtState) -> DoubtState) {
        let state = std::mem::replace(
            &mut self.0,
            DoubtState::Available(Doubt::until(unit::Timestamp::ZERO)),
        );
        self.0 = change(state);
    }
}
