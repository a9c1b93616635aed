//! The life cycle of a cause with evidence against it, one type for each state.
//!
//! `Reported` becomes `Suspected` with the second crash. `Suspected` and `Quarantined` become
//! `OnTrial` when a request with the cause is admitted. A trial that crashes leads to `Quarantined`;
//! one without a result leads back to the former state. A quarantine that expires leads back to
//! `Suspected`. A cause that is cleared is dropped.

use crate::{
    crash_cause,
    crash_screening::{Crash, UpstreamLifetime},
    grant,
    quarantine_list::QUARANTINE_LIFETIME,
    unit,
};

/// The number of crashes that make a cause suspected. A single crash happens to every cause of a
/// request whose upstream is killed.
const SUSPECTED_CRASHES: u32 = 2;

/// Crashes within this time of a counted one have the same cause, such as the loss of a zone, unless
/// their plans were made after it.
const CRASH_SEPARATION: unit::Millis = unit::Millis(200);

/// How long evidence is kept after the last crash. A part may come rarely.
const EVIDENCE_LIFETIME: unit::Millis = unit::Millis(3_600_000);

/// The time until the first trial of a quarantined part. It doubles with each further crash.
const INITIAL_PART_BACK_OFF: unit::Millis = unit::Millis(10_000);

/// The largest time between two trials of a quarantined cause.
const MAX_BACK_OFF: unit::Millis = unit::Millis(60_000);

/// The number of crashed upstreams that are remembered for one cause.
const MAX_CRASHED_UPSTREAMS: usize = 8;

/// Returns the time until the next trial of a quarantined cause.
///
/// A part may hold back sound requests of many callers. A request is tried as rarely as possible,
/// since only its own repetitions depend on it and a crash breaks every stream of the upstream.
fn back_off(cause: crash_cause::CrashCause, crashes: u32) -> unit::Millis {
    if cause.is_request() {
        return MAX_BACK_OFF;
    }
    let doublings = crashes.saturating_sub(SUSPECTED_CRASHES + 1);
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    unit::Millis(INITIAL_PART_BACK_OFF.0.saturating_mul(factor)).min(MAX_BACK_OFF)
}

/// The crashes that count against a cause.
#[derive(Debug)]
struct Evidence {
    cause: crash_cause::CrashCause,
    crashes: u32,
    last_crash: unit::Timestamp,
    /// The upstreams of the latest crashes.
    upstreams: Vec<UpstreamLifetime>,
}

impl Evidence {
    fn new(now: unit::Timestamp, cause: crash_cause::CrashCause, crash: &Crash) -> Evidence {
        Evidence {
            cause,
            crashes: 1,
            last_crash: now,
            upstreams: vec![crash.upstream.clone()],
        }
    }

    /// Returns `true` if a crash is of the same moment as the last one.
    fn is_at_once(&self, now: unit::Timestamp, crash: &Crash) -> bool {
        crash.planned_at < self.last_crash && now.since(self.last_crash) < CRASH_SEPARATION
    }

    /// Counts a crash.
    fn add(&mut self, now: unit::Timestamp, crash: &Crash) {
        self.crashes = self.crashes.saturating_add(1);
        self.last_crash = now;
        if self.upstreams.len() == MAX_CRASHED_UPSTREAMS {
            self.upstreams.remove(0);
        }
        self.upstreams.push(crash.upstream.clone());
    }
}

/// The state of a cause that may have crashed one upstream.
#[derive(Debug)]
pub(super) struct Reported(());

/// The state of a cause whose requests are admitted one at a time.
#[derive(Debug)]
pub(super) struct Suspected(());

/// The state of a cause whose requests are refused until the next trial.
#[derive(Debug)]
pub(super) struct Quarantined {
    next_trial: unit::Timestamp,
    /// Whether the quarantine was in the list that the instances have in common.
    listed: bool,
}

/// The state of a cause of which one request has been admitted.
#[derive(Debug)]
pub(super) struct OnTrial<S> {
    plan: grant::RequestId,
    former: S,
}

/// A cause in one state of its life cycle.
#[derive(Debug)]
pub(super) struct Cause<S> {
    evidence: Evidence,
    state: S,
}

impl<S> Cause<S> {
    fn begin_trial(self, plan: grant::RequestId) -> Cause<OnTrial<S>> {
        Cause {
            evidence: self.evidence,
            state: OnTrial {
                plan,
                former: self.state,
            },
        }
    }

    fn quarantine(self, now: unit::Timestamp, listed: bool) -> Cause<Quarantined> {
        let next_trial = now.after(back_off(self.evidence.cause, self.evidence.crashes));
        Cause {
            evidence: self.evidence,
            state: Quarantined { next_trial, listed },
        }
    }
}

impl Cause<Reported> {
    fn suspect(self) -> Cause<Suspected> {
        Cause {
            evidence: self.evidence,
            state: Suspected(()),
        }
    }
}

impl Cause<Quarantined> {
    fn release(self) -> Cause<Suspected> {
        Cause {
            evidence: self.evidence,
            state: Suspected(()),
        }
    }
}

impl<S> Cause<OnTrial<S>> {
    /// Returns to the former state.
    fn end(self) -> Cause<S> {
        Cause {
            evidence: self.evidence,
            state: self.state.former,
        }
    }
}

/// The state of a cause, ordered by the strength of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    Reported,
    Suspected,
    Quarantined,
    OnTrial,
}

impl Phase {
    /// The states, in their order.
    pub(super) const ALL: [Phase; 4] = [
        Phase::Reported,
        Phase::Suspected,
        Phase::Quarantined,
        Phase::OnTrial,
    ];
}

/// How a request with the cause is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Like any other request.
    Free,
    /// As a trial.
    Trial,
    /// Not before this time has passed.
    Held(unit::Millis),
    /// Not at all, since the cause is a request that is quarantined.
    Rejected,
}

impl Admission {
    /// Returns `true` if the request is not admitted now.
    pub(super) fn is_refusal(self) -> bool {
        matches!(self, Admission::Held(_) | Admission::Rejected)
    }
}

/// A cause in any of its states.
#[derive(Debug)]
pub(super) enum ScreenedCause {
    Reported(Cause<Reported>),
    Suspected(Cause<Suspected>),
    SuspectedOnTrial(Cause<OnTrial<Suspected>>),
    Quarantined(Cause<Quarantined>),
    QuarantinedOnTrial(Cause<OnTrial<Quarantined>>),
}

impl ScreenedCause {
    /// Creates a cause after its first crash.
    pub(super) fn reported(
        now: unit::Timestamp,
        cause: crash_cause::CrashCause,
        crash: &Crash,
    ) -> ScreenedCause {
        ScreenedCause::Reported(Cause {
            evidence: Evidence::new(now, cause, crash),
            state: Reported(()),
        })
    }

    /// Quarantines a cause because the quarantine is in the common list. A known quarantine is only
    /// extended if it has more crashes in the list.
    pub(super) fn listed(
        now: unit::Timestamp,
        known: Option<ScreenedCause>,
        quarantine: crash_cause::Quarantine,
    ) -> ScreenedCause {
        let crash_cause::Quarantine { cause, crashes } = quarantine;
        let mut evidence = Evidence {
            cause,
            crashes,
            last_crash: now,
            upstreams: Vec::new(),
        };
        match known {
            Some(ScreenedCause::Quarantined(mut cause)) if cause.evidence.crashes >= crashes => {
                cause.state.listed = true;
                return ScreenedCause::Quarantined(cause);
            }
            Some(ScreenedCause::QuarantinedOnTrial(mut cause)) => {
                cause.evidence.crashes = cause.evidence.crashes.max(crashes);
                cause.state.former.listed = true;
                return ScreenedCause::QuarantinedOnTrial(cause);
            }
            Some(ScreenedCause::SuspectedOnTrial(cause)) => {
                evidence.crashes = evidence.crashes.max(cause.evidence.crashes);
                let plan = cause.state.plan;
                let cause = Cause {
                    evidence,
                    ..cause.end()
                }
                .quarantine(now, true);
                return ScreenedCause::QuarantinedOnTrial(cause.begin_trial(plan));
            }
            Some(known) => evidence.crashes = crashes.max(known.crashes()),
            None => {}
        }
        let cause = Cause {
            evidence,
            state: Suspected(()),
        };
        ScreenedCause::Quarantined(cause.quarantine(now, true))
    }

    fn evidence(&self) -> &Evidence {
        match self {
            ScreenedCause::Reported(cause) => &cause.evidence,
            ScreenedCause::Suspected(cause) => &cause.evidence,
            ScreenedCause::SuspectedOnTrial(cause) => &cause.evidence,
            ScreenedCause::Quarantined(cause) => &cause.evidence,
            ScreenedCause::QuarantinedOnTrial(cause) => &cause.evidence,
        }
    }

    /// Returns the number of crashes.
    pub(super) fn crashes(&self) -> u32 {
        self.evidence().crashes
    }

    /// Returns the time of the last crash.
    pub(super) fn last_crash(&self) -> unit::Timestamp {
        self.evidence().last_crash
    }

    /// Returns `true` if the cause explains the crashes of another cause as well as that cause does:
    /// it was in the requests of the same crashes, and has at least as many.
    pub(super) fn explains(&self, other: &ScreenedCause) -> bool {
        let (own, others) = (self.evidence(), other.evidence());
        self.is_suspected()
            && own.crashes >= others.crashes
            && !others.upstreams.is_empty()
            && others.upstreams.iter().all(|u| own.upstreams.contains(u))
    }

    /// Returns `true` if both causes have the same crashes, as far as they are remembered.
    pub(super) fn has_crashes_of(&self, other: &ScreenedCause) -> bool {
        let (own, others) = (self.evidence(), other.evidence());
        own.crashes == others.crashes && own.upstreams == others.upstreams
    }

    /// Returns `true` if a plan is the trial of the cause.
    fn is_trial(&self, plan: grant::RequestId) -> bool {
        match self {
            ScreenedCause::SuspectedOnTrial(cause) => cause.state.plan == plan,
            ScreenedCause::QuarantinedOnTrial(cause) => cause.state.plan == plan,
            _ => false,
        }
    }

    /// Returns the state.
    pub(super) fn phase(&self) -> Phase {
        match self {
            ScreenedCause::Reported(_) => Phase::Reported,
            ScreenedCause::Suspected(_) => Phase::Suspected,
            ScreenedCause::Quarantined(_) => Phase::Quarantined,
            ScreenedCause::SuspectedOnTrial(_) | ScreenedCause::QuarantinedOnTrial(_) => {
                Phase::OnTrial
            }
        }
    }

    /// Returns `true` if requests with the cause are admitted only as trials.
    pub(super) fn is_suspected(&self) -> bool {
        self.phase() != Phase::Reported
    }

    /// Returns `true` if the cause is quarantined, on trial or not.
    pub(super) fn is_quarantined(&self) -> bool {
        matches!(
            self,
            ScreenedCause::Quarantined(_) | ScreenedCause::QuarantinedOnTrial(_)
        )
    }

    /// Returns `true` if the cause is quarantined and was in the common list.
    pub(super) fn is_listed(&self) -> bool {
        match self {
            ScreenedCause::Quarantined(cause) => cause.state.listed,
            ScreenedCause::QuarantinedOnTrial(cause) => cause.state.former.listed,
            _ => false,
        }
    }

    /// Returns `true` if the evidence or the quarantine has expired. See
    /// [`expire`](ScreenedCause::expire).
    pub(super) fn is_expired(&self, now: unit::Timestamp) -> bool {
        let age = now.since(self.last_crash());
        match self.phase() {
            Phase::Reported | Phase::Suspected => age >= EVIDENCE_LIFETIME,
            Phase::Quarantined => age >= QUARANTINE_LIFETIME,
            Phase::OnTrial => false,
        }
    }

    /// Returns the state after the end of the current one: a cause whose quarantine has expired is
    /// still suspected, unless its evidence has expired as well.
    pub(super) fn expire(self, now: unit::Timestamp) -> Option<ScreenedCause> {
        match self {
            ScreenedCause::Quarantined(cause)
                if now.since(cause.evidence.last_crash) < EVIDENCE_LIFETIME =>
            {
                Some(ScreenedCause::Suspected(cause.release()))
            }
            _ => None,
        }
    }

    /// Returns how a request with the cause is admitted.
    pub(super) fn admission(&self, now: unit::Timestamp) -> Admission {
        match self {
            ScreenedCause::Reported(_) => Admission::Free,
            ScreenedCause::Suspected(_) => Admission::Trial,
            ScreenedCause::Quarantined(cause) if cause.state.next_trial <= now => Admission::Trial,
            ScreenedCause::Quarantined(cause) if cause.evidence.cause.is_request() => {
                Admission::Rejected
            }
            ScreenedCause::Quarantined(cause) => Admission::Held(cause.state.next_trial.since(now)),
            ScreenedCause::SuspectedOnTrial(_) | ScreenedCause::QuarantinedOnTrial(_) => {
                Admission::Held(unit::Millis::ZERO)
            }
        }
    }

    /// Starts a trial, unless one is in progress.
    pub(super) fn begin_trial(self, plan: grant::RequestId) -> ScreenedCause {
        match self {
            ScreenedCause::Suspected(cause) => {
                ScreenedCause::SuspectedOnTrial(cause.begin_trial(plan))
            }
            ScreenedCause::Quarantined(cause) => {
                ScreenedCause::QuarantinedOnTrial(cause.begin_trial(plan))
            }
            other => other,
        }
    }

    /// Ends the trial of a plan without a result.
    pub(super) fn end_trial(self, plan: grant::RequestId) -> ScreenedCause {
        match self {
            ScreenedCause::SuspectedOnTrial(cause) if cause.state.plan == plan => {
                ScreenedCause::Suspected(cause.end())
            }
            ScreenedCause::QuarantinedOnTrial(cause) if cause.state.plan == plan => {
                ScreenedCause::Quarantined(cause.end())
            }
            other => other,
        }
    }

    /// Records that an upstream crashed under a plan. A crash of the same moment as the last one counts
    /// only if the plan is the trial of the cause. A process that has crashed before and still responds
    /// to connections may itself be at fault, so that it is no further evidence.
    pub(super) fn record_crash(mut self, now: unit::Timestamp, crash: &Crash) -> ScreenedCause {
        let plan = crash.plan;
        if self.evidence().upstreams.contains(&crash.upstream) {
            return self.end_trial(plan);
        }
        if self.evidence().is_at_once(now, crash) && !self.is_trial(plan) {
            return self;
        }
        let evidence = match &mut self {
            ScreenedCause::Reported(cause) => &mut cause.evidence,
            ScreenedCause::Suspected(cause) => &mut cause.evidence,
            ScreenedCause::SuspectedOnTrial(cause) => &mut cause.evidence,
            ScreenedCause::Quarantined(cause) => &mut cause.evidence,
            ScreenedCause::QuarantinedOnTrial(cause) => &mut cause.evidence,
        };
        evidence.add(now, crash);
        match self {
            ScreenedCause::Reported(cause) if cause.evidence.crashes >= SUSPECTED_CRASHES => {
                ScreenedCause::Suspected(cause.suspect())
            }
            ScreenedCause::SuspectedOnTrial(cause) if cause.state.plan == plan => {
                ScreenedCause::Quarantined(cause.end().quarantine(now, false))
            }
            ScreenedCause::Quarantined(cause) => {
                let listed = cause.state.listed;
                ScreenedCause::Quarantined(cause.quarantine(now, listed))
            }
            ScreenedCause::QuarantinedOnTrial(cause) if cause.state.plan == plan => {
                let listed = cause.state.former.listed;
                ScreenedCause::Quarantined(cause.end().quarantine(now, listed))
            }
            other => other,
        }
    }
}
