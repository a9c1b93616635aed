//! The life cycle of one upstream process: in service, ejected, on trial, recovering.
//!
//! `Serving` becomes `Ejected` on evidence of failures. `Ejected` becomes `OnTrial` with one request.
//! `OnTrial` becomes `Recovering` if that succeeds, otherwise `Ejected` again for twice as long.
//! `Recovering` takes twice as many requests after each step, becomes `Serving` after the last one,
//! and is ejected by one failure.

use crate::{
    grant,
    planner::ejection::{MAX_TRIAL_INTERVAL, MIN_TRIAL_INTERVAL, tally},
    unit,
};

/// The number of requests that run at a time on an upstream whose trial has succeeded.
const FIRST_STEP: usize = 2;

/// The number of requests at a time from which a recovering upstream is in service again.
const LAST_STEP: usize = 8;

/// How long after its return an upstream that fails again is ejected for twice as long as before.
/// It exceeds the longest time between two trials.
const RELAPSE_PERIOD: unit::Millis = unit::Millis(10_000);

/// The state of an upstream that is used without restriction.
#[derive(Debug)]
pub(super) struct Serving {
    /// When the upstream came back into service.
    since: unit::Timestamp,
}

/// The state of an upstream that gets no requests.
#[derive(Debug)]
pub(super) struct Ejected {
    since: unit::Timestamp,
    trial_at: unit::Timestamp,
}

/// The state of an upstream that gets one request.
#[derive(Debug)]
pub(super) struct OnTrial {
    plan: grant::RequestId,
}

/// The state of an upstream that gets few requests at a time.
#[derive(Debug)]
pub(super) struct Recovering {
    since: unit::Timestamp,
    limit: usize,
    successes: usize,
}

/// The record of an upstream process in one state.
#[derive(Debug)]
pub(super) struct Record<S> {
    pub(super) start_time: u64,
    pub(super) tally: tally::Tally,
    /// The time from an ejection to the trial.
    interval: unit::Millis,
    state: S,
}

impl<S> Record<S> {
    fn into_state<T>(self, state: T) -> Record<T> {
        Record {
            start_time: self.start_time,
            tally: self.tally,
            interval: self.interval,
            state,
        }
    }

    fn into_ejected(self, now: unit::Timestamp, interval: unit::Millis) -> Record<Ejected> {
        let mut ejected = self.into_state(Ejected {
            since: now,
            trial_at: now.after(interval),
        });
        ejected.interval = interval;
        ejected
    }

    /// Returns the interval after a failed trial or a relapse.
    fn longer_interval(&self) -> unit::Millis {
        unit::Millis(self.interval.0 * 2).min(MAX_TRIAL_INTERVAL)
    }
}

impl Record<Serving> {
    pub(super) fn new(start_time: u64) -> Record<Serving> {
        Record {
            start_time,
            tally: tally::Tally::default(),
            interval: unit::Millis::ZERO,
            state: Serving {
                since: unit::Timestamp::ZERO,
            },
        }
    }

    /// Returns `true` if a plan was made after the upstream came back into service.
    pub(super) fn covers(&self, planned_at: unit::Timestamp) -> bool {
        planned_at >= self.state.since
    }

    pub(super) fn eject(self, now: unit::Timestamp) -> Record<Ejected> {
        let is_relapse =
            self.interval > unit::Millis::ZERO && now.since(self.state.since) < RELAPSE_PERIOD;
        let interval = if is_relapse {
            self.longer_interval()
        } else {
            // An upstream that has failed for some time is not expected to recover sooner.
            let failing_for = self.tally.failing_for(now);
            failing_for.clamp(MIN_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL)
        };
        self.into_ejected(now, interval)
    }
}

impl Record<Ejected> {
    pub(super) fn is_due(&self, now: unit::Timestamp) -> bool {
        self.state.trial_at <= now
    }

    pub(super) fn since(&self) -> unit::Timestamp {
        self.state.since
    }

    pub(super) fn begin_trial(self, plan: grant::RequestId) -> Record<OnTrial> {
        self.into_state(OnTrial { plan })
    }

    /// Returns to service without a trial.
    pub(super) fn release(self, now: unit::Timestamp) -> Record<Serving> {
        self.into_state(Serving { since: now })
    }

    /// Begins to recover after a success of a request that had no other upstream.
    pub(super) fn recover(self, now: unit::Timestamp) -> Record<Recovering> {
        self.into_state(Recovering::new(now))
    }
}

impl Record<OnTrial> {
    pub(super) fn plan(&self) -> grant::RequestId {
        self.state.plan
    }

    pub(super) fn succeed(self, now: unit::Timestamp) -> Record<Recovering> {
        self.into_state(Recovering::new(now))
    }

    pub(super) fn fail(self, now: unit::Timestamp) -> Record<Ejected> {
        let interval = self.longer_interval();
        self.into_ejected(now, interval)
    }

    /// Ends a trial without a result. The next one may begin at once.
    pub(super) fn abandon(self, now: unit::Timestamp) -> Record<Ejected> {
        self.into_state(Ejected {
            since: now,
            trial_at: now,
        })
    }
}

impl Recovering {
    fn new(now: unit::Timestamp) -> Recovering {
        Recovering {
            since: now,
            limit: FIRST_STEP,
            successes: 0,
        }
    }
}

impl Record<Recovering> {
    pub(super) fn covers(&self, planned_at: unit::Timestamp) -> bool {
        planned_at >= self.state.since
    }

    /// Returns `true` if the upstream takes another request beside so many.
    pub(super) fn accepts(&self, stream_count: usize) -> bool {
        stream_count < self.state.limit
    }

    /// Counts a success; the last one of a step doubles the limit.
    ///
    /// # Errors
    ///
    /// Returns the record as one in service after the last step.
    pub(super) fn succeed(
        mut self,
        now: unit::Timestamp,
    ) -> Result<Record<Recovering>, Record<Serving>> {
        self.state.successes += 1;
        if self.state.successes < self.state.limit {
            return Ok(self);
        }
        self.state.successes = 0;
        self.state.limit *= 2;
        if self.state.limit < LAST_STEP {
            return Ok(self);
        }
        self.tally = tally::Tally::default();
        Err(self.into_state(Serving { since: now }))
    }

    pub(super) fn fail(self, now: unit::Timestamp) -> Record<Ejected> {
        let interval = self.longer_interval();
        self.into_ejected(now, interval)
    }
}

/// The record of an upstream process in any state.
#[derive(Debug)]
pub(super) enum RecordState {
    Serving(Record<Serving>),
    Ejected(Record<Ejected>),
    OnTrial(Record<OnTrial>),
    Recovering(Record<Recovering>),
}

impl RecordState {
    pub(super) fn start_time(&self) -> u64 {
        match self {
            RecordState::Serving(record) => record.start_time,
            RecordState::Ejected(record) => record.start_time,
            RecordState::OnTrial(record) => record.start_time,
            RecordState::Recovering(record) => record.start_time,
        }
    }

    pub(super) fn tally(&self) -> &tally::Tally {
        match self {
            RecordState::Serving(record) => &record.tally,
            RecordState::Ejected(record) => &record.tally,
            RecordState::OnTrial(record) => &record.tally,
            RecordState::Recovering(record) => &record.tally,
        }
    }

    pub(super) fn tally_mut(&mut self) -> &mut tally::Tally {
        match self {
            RecordState::Serving(record) => &mut record.tally,
            RecordState::Ejected(record) => &mut record.tally,
            RecordState::OnTrial(record) => &mut record.tally,
            RecordState::Recovering(record) => &mut record.tally,
        }
    }

    /// Returns `true` while the upstream is ejected or on trial.
    pub(super) fn is_out_of_service(&self) -> bool {
        matches!(self, RecordState::Ejected(_) | RecordState::OnTrial(_))
    }
}
