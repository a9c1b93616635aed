//! The causes with evidence against them, ordered by how weak and how old their evidence is.

use std::collections;

use crate::{crash_cause, crash_screening::screened_cause, unit};

/// The order in which causes make room for others, and in which the evidence of a state expires.
type Position = (
    screened_cause::Phase,
    unit::Timestamp,
    crash_cause::CrashCause,
);

fn position(cause: crash_cause::CrashCause, screened: &screened_cause::ScreenedCause) -> Position {
    (screened.phase(), screened.last_crash(), cause)
}

/// A table of causes.
#[derive(Debug, Default)]
pub(super) struct CauseTable {
    causes: collections::BTreeMap<crash_cause::CrashCause, screened_cause::ScreenedCause>,
    order: collections::BTreeSet<Position>,
}

impl CauseTable {
    pub(super) fn len(&self) -> usize {
        self.causes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    pub(super) fn contains(&self, cause: crash_cause::CrashCause) -> bool {
        self.causes.contains_key(&cause)
    }

    pub(super) fn get(
        &self,
        cause: crash_cause::CrashCause,
    ) -> Option<&screened_cause::ScreenedCause> {
        self.causes.get(&cause)
    }

    /// Inserts a cause or replaces its state.
    pub(super) fn insert(
        &mut self,
        cause: crash_cause::CrashCause,
        screened: screened_cause::ScreenedCause,
    ) {
        self.remove(cause);
        self.order.insert(position(cause, &screened));
        self.causes.insert(cause, screened);
    }

    pub(super) fn remove(
        &mut self,
        cause: crash_cause::CrashCause,
    ) -> Option<screened_cause::ScreenedCause> {
        let screened = self.causes.remove(&cause)?;
        self.order.remove(&position(cause, &screened));
        Some(screened)
    }

    /// Returns the causes, in an unspecified order.
    pub(super) fn iter(
        &self,
    ) -> impl Iterator<Item = (crash_cause::CrashCause, &screened_cause::ScreenedCause)> {
        self.causes
            .iter()
            .map(|(cause, screened)| (*cause, screened))
    }

    /// Returns the causes that are suspected, quarantined or on trial.
    pub(super) fn suspected(
        &self,
    ) -> impl Iterator<Item = (crash_cause::CrashCause, &screened_cause::ScreenedCause)> {
        let order = self.order.iter().rev();
        let suspected = order.take_while(|(phase, ..)| *phase != screened_cause::Phase::Reported);
        suspected.filter_map(|(_, _, cause)| Some((*cause, self.causes.get(cause)?)))
    }

    /// Returns the cause with the weakest evidence, and the oldest of several.
    pub(super) fn weakest(&self) -> Option<crash_cause::CrashCause> {
        self.order.first().map(|(_, _, cause)| *cause)
    }

    /// Returns a cause whose evidence or quarantine has expired.
    pub(super) fn expired(&self, now: unit::Timestamp) -> Option<crash_cause::CrashCause> {
        screened_cause::Phase::ALL.into_iter().find_map(|phase| {
            let first = (phase, unit::Timestamp(0), crash_cause::CrashCause::Part(0));
            let (oldest_phase, _, cause) = self.order.range(first..).next()?;
            let screened = self.causes.get(cause)?;
            (*oldest_phase == phase && screened.is_expired(now)).then_some(*cause)
        })
    }
}
