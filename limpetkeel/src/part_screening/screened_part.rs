//! The life cycle of a part with evidence against it, one type for each state.
//!
//! `Reported` becomes `Suspected` with the second crash. `Suspected` and `Quarantined` become
//! `OnTrial` when a request with the part is admitted. A trial that crashes leads to `Quarantined`;
//! one without a result leads back to the former state. A part that is cleared is dropped.

use crate::{
    grant,
    part_screening::{Crash, UpstreamLifetime},
    quarantine_list::QUARANTINE_LIFETIME,
    unit,
};

/// The number of crashes that make a part suspected. A single crash happens to every part of a
/// prompt whose upstream is killed.
const SUSPECTED_CRASHES: u32 = 2;

/// Crashes within this time of a counted one have the same cause, such as the loss of a zone, unless
/// their plans were made after it.
const CRASH_SEPARATION: unit::Millis = unit::Millis(200);

/// How long evidence without a quarantine is kept after the last crash.
const EVIDENCE_LIFETIME: unit::Millis = unit::Millis(30_000);

/// The time until the first trial of a quarantined part. It doubles with each further crash.
const INITIAL_BACK_OFF: unit::Millis = unit::Millis(10_000);

/// The largest time between two trials of a quarantined part.
const MAX_BACK_OFF: unit::Millis = unit::Millis(60_000);

/// The number of crashed upstreams that are remembered for one part.
const MAX_CRASHED_UPSTREAMS: usize = 8;

/// Returns the time until the next trial of a quarantined part.
fn back_off(crashes: u32) -> unit::Millis {
    let doublings = crashes.saturating_sub(SUSPECTED_CRASHES + 1);
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    unit::Millis(INITIAL_BACK_OFF.0.saturating_mul(factor)).min(MAX_BACK_OFF)
}

/// The crashes that count against a part.
#[derive(Debug)]
struct Evidence {
    crashes: u32,
    last_crash: unit::Timestamp,
    /// The upstreams of the latest crashes.
    upstreams: Vec<UpstreamLifetime>,
}

impl Evidence {
    fn new(now: unit::Timestamp, crash: &Crash) -> Evidence {
        Evidence {
            crashes: 1,
            last_crash: now,
            upstreams: vec![crash.upstream.clone()],
        }
    }

    /// Returns `true` if a crash has the same cause as an earlier one.
    fn has_cause_of(&self, now: unit::Timestamp, crash: &Crash) -> bool {
        let at_once =
            crash.planned_at < self.last_crash && now.since(self.last_crash) < CRASH_SEPARATION;
        at_once || self.upstreams.contains(&crash.upstream)
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

/// The state of a part that may have crashed one upstream.
#[derive(Debug)]
pub(super) struct Reported(());

/// The state of a part whose requests are admitted one at a time.
#[derive(Debug)]
pub(super) struct Suspected(());

/// The state of a part whose requests are refused until the next trial.
#[derive(Debug)]
pub(super) struct Quarantined {
    next_trial: unit::Timestamp,
    /// Whether the quarantine was in the list that the instances have in common.
    listed: bool,
}

/// The state of a part of which one request has been admitted.
#[derive(Debug)]
pub(super) struct OnTrial<S> {
    plan: grant::RequestId,
    former: S,
}

/// A part in one state of its life cycle.
#[derive(Debug)]
pub(super) struct Part<S> {
    evidence: Evidence,
    state: S,
}

impl<S> Part<S> {
    fn begin_trial(self, plan: grant::RequestId) -> Part<OnTrial<S>> {
        Part {
            evidence: self.evidence,
            state: OnTrial {
                plan,
                former: self.state,
            },
        }
    }

    fn quarantine(self, now: unit::Timestamp, listed: bool) -> Part<Quarantined> {
        let next_trial = now.after(back_off(self.evidence.crashes));
        Part {
            evidence: self.evidence,
            state: Quarantined { next_trial, listed },
        }
    }
}

impl Part<Reported> {
    fn suspect(self) -> Part<Suspected> {
        Part {
            evidence: self.evidence,
            state: Suspected(()),
        }
    }
}

impl<S> Part<OnTrial<S>> {
    /// Returns to the former state.
    fn end(self) -> Part<S> {
        Part {
            evidence: self.evidence,
            state: self.state.former,
        }
    }
}

/// The state of a part, ordered by the strength of the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    Reported,
    Suspected,
    Quarantined,
    OnTrial,
}

/// How a request with the part is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Like any other request.
    Free,
    /// As a trial.
    Trial,
    /// Not before this time has passed.
    Held(unit::Millis),
}

/// A part in any of its states.
#[derive(Debug)]
pub(super) enum ScreenedPart {
    Reported(Part<Reported>),
    Suspected(Part<Suspected>),
    SuspectedOnTrial(Part<OnTrial<Suspected>>),
    Quarantined(Part<Quarantined>),
    QuarantinedOnTrial(Part<OnTrial<Quarantined>>),
}

impl ScreenedPart {
    /// Creates a part after its first crash.
    pub(super) fn reported(now: unit::Timestamp, crash: &Crash) -> ScreenedPart {
        ScreenedPart::Reported(Part {
            evidence: Evidence::new(now, crash),
            state: Reported(()),
        })
    }

    /// Quarantines a part because the quarantine is in the common list. A known quarantine is only
    /// extended if it has more crashes in the list.
    pub(super) fn listed(
        now: unit::Timestamp,
        known: Option<ScreenedPart>,
        crashes: u32,
    ) -> ScreenedPart {
        let mut evidence = Evidence {
            crashes,
            last_crash: now,
            upstreams: Vec::new(),
        };
        match known {
            Some(ScreenedPart::Quarantined(mut part)) if part.evidence.crashes >= crashes => {
                part.state.listed = true;
                return ScreenedPart::Quarantined(part);
            }
            Some(ScreenedPart::QuarantinedOnTrial(mut part)) => {
                part.evidence.crashes = part.evidence.crashes.max(crashes);
                part.state.former.listed = true;
                return ScreenedPart::QuarantinedOnTrial(part);
            }
            Some(ScreenedPart::SuspectedOnTrial(part)) => {
                evidence.crashes = evidence.crashes.max(part.evidence.crashes);
                let plan = part.state.plan;
                let part = Part {
                    evidence,
                    ..part.end()
                }
                .quarantine(now, true);
                return ScreenedPart::QuarantinedOnTrial(part.begin_trial(plan));
            }
            Some(known) => evidence.crashes = crashes.max(known.crashes()),
            None => {}
        }
        let part = Part {
            evidence,
            state: Suspected(()),
        };
        ScreenedPart::Quarantined(part.quarantine(now, true))
    }

    fn evidence(&self) -> &Evidence {
        match self {
            ScreenedPart::Reported(part) => &part.evidence,
            ScreenedPart::Suspected(part) => &part.evidence,
            ScreenedPart::SuspectedOnTrial(part) => &part.evidence,
            ScreenedPart::Quarantined(part) => &part.evidence,
            ScreenedPart::QuarantinedOnTrial(part) => &part.evidence,
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

    /// Returns `true` if the part explains the crashes of another part as well as that part does:
    /// it was in a request of the same crash, and has at least as many crashes.
    pub(super) fn explains(&self, other: &ScreenedPart) -> bool {
        let (own, others) = (self.evidence(), other.evidence());
        self.is_suspected()
            && own.crashes >= others.crashes
            && own.upstreams.iter().any(|u| others.upstreams.contains(u))
    }

    /// Returns `true` if a plan is the trial of the part.
    fn is_trial(&self, plan: grant::RequestId) -> bool {
        match self {
            ScreenedPart::SuspectedOnTrial(part) => part.state.plan == plan,
            ScreenedPart::QuarantinedOnTrial(part) => part.state.plan == plan,
            _ => false,
        }
    }

    /// Returns the state.
    pub(super) fn phase(&self) -> Phase {
        match self {
            ScreenedPart::Reported(_) => Phase::Reported,
            ScreenedPart::Suspected(_) => Phase::Suspected,
            ScreenedPart::Quarantined(_) => Phase::Quarantined,
            ScreenedPart::SuspectedOnTrial(_) | ScreenedPart::QuarantinedOnTrial(_) => {
                Phase::OnTrial
            }
        }
    }

    /// Returns `true` if requests with the part are admitted only as trials.
    pub(super) fn is_suspected(&self) -> bool {
        self.phase() != Phase::Reported
    }

    /// Returns `true` if the part is quarantined, on trial or not.
    pub(super) fn is_quarantined(&self) -> bool {
        matches!(
            self,
            ScreenedPart::Quarantined(_) | ScreenedPart::QuarantinedOnTrial(_)
        )
    }

    /// Returns `true` if the part is quarantined and was in the common list.
    pub(super) fn is_listed(&self) -> bool {
        match self {
            ScreenedPart::Quarantined(part) => part.state.listed,
            ScreenedPart::QuarantinedOnTrial(part) => part.state.former.listed,
            _ => false,
        }
    }

    /// Returns `true` if the evidence or the quarantine has expired.
    pub(super) fn is_expired(&self, now: unit::Timestamp) -> bool {
        let age = now.since(self.last_crash());
        match self.phase() {
            Phase::Reported | Phase::Suspected => age >= EVIDENCE_LIFETIME,
            Phase::Quarantined => age >= QUARANTINE_LIFETIME,
            Phase::OnTrial => false,
        }
    }

    /// Returns how a request with the part is admitted.
    pub(super) fn admission(&self, now: unit::Timestamp) -> Admission {
        match self {
            ScreenedPart::Reported(_) => Admission::Free,
            ScreenedPart::Suspected(_) => Admission::Trial,
            ScreenedPart::Quarantined(part) if part.state.next_trial <= now => Admission::Trial,
            ScreenedPart::Quarantined(part) => Admission::Held(part.state.next_trial.since(now)),
            ScreenedPart::SuspectedOnTrial(_) | ScreenedPart::QuarantinedOnTrial(_) => {
                Admission::Held(unit::Millis::ZERO)
            }
        }
    }

    /// Starts a trial, unless one is in progress.
    pub(super) fn begin_trial(self, plan: grant::RequestId) -> ScreenedPart {
        match self {
            ScreenedPart::Suspected(part) => ScreenedPart::SuspectedOnTrial(part.begin_trial(plan)),
            ScreenedPart::Quarantined(part) => {
                ScreenedPart::QuarantinedOnTrial(part.begin_trial(plan))
            }
            other => other,
        }
    }

    /// Ends the trial of a plan without a result.
    pub(super) fn end_trial(self, plan: grant::RequestId) -> ScreenedPart {
        match self {
            ScreenedPart::SuspectedOnTrial(part) if part.state.plan == plan => {
                ScreenedPart::Suspected(part.end())
            }
            ScreenedPart::QuarantinedOnTrial(part) if part.state.plan == plan => {
                ScreenedPart::Quarantined(part.end())
            }
            other => other,
        }
    }

    /// Records that an upstream crashed under a plan. A crash with the cause of an earlier one counts
    /// only if the plan is the trial of the part.
    pub(super) fn record_crash(mut self, now: unit::Timestamp, crash: &Crash) -> ScreenedPart {
        let plan = crash.plan;
        if self.evidence().has_cause_of(now, crash) && !self.is_trial(plan) {
            return self;
        }
        let evidence = match &mut self {
            ScreenedPart::Reported(part) => &mut part.evidence,
            ScreenedPart::Suspected(part) => &mut part.evidence,
            ScreenedPart::SuspectedOnTrial(part) => &mut part.evidence,
            ScreenedPart::Quarantined(part) => &mut part.evidence,
            ScreenedPart::QuarantinedOnTrial(part) => &mut part.evidence,
        };
        evidence.add(now, crash);
        match self {
            ScreenedPart::Reported(part) if part.evidence.crashes >= SUSPECTED_CRASHES => {
                ScreenedPart::Suspected(part.suspect())
            }
            ScreenedPart::SuspectedOnTrial(part) if part.state.plan == plan => {
                ScreenedPart::Quarantined(part.end().quarantine(now, false))
            }
            ScreenedPart::Quarantined(part) => {
                let listed = part.state.listed;
                ScreenedPart::Quarantined(part.quarantine(now, listed))
            }
            ScreenedPart::QuarantinedOnTrial(part) if part.state.plan == plan => {
                let listed = part.state.former.listed;
                ScreenedPart::Quarantined(part.end().quarantine(now, listed))
            }
            other => other,
        }
    }
}
