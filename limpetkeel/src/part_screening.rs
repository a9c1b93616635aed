//! Screens the parts of prompts for those that crash upstreams.
//!
//! A crash is evidence against every part of its request, since the cause cannot be seen from
//! outside. A response that begins clears all parts of its request. What remains are the parts that
//! the crashes have in common. Their requests are admitted one at a time, as trials; a part whose
//! trial crashes is quarantined, and is tried again after a back-off.

mod screened_part;

use std::collections;

use crate::{grant, name, prompt_part, unit};

/// The number of parts of a request that are screened.
pub const MAX_PARTS_PER_REQUEST: usize = 32;

/// The number of parts with evidence that are kept.
const MAX_SCREENED_PARTS: usize = 1_024;

/// The retry delay for a request that is refused because a trial of its part is in progress.
const TRIAL_RETRY_AFTER: unit::Millis = unit::Millis(400);

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamLifetime {
    /// The name of the upstream.
    pub name: name::UpstreamName,
    /// When the process started, as in the upstream registry.
    pub start_time: u64,
}

/// The crash of an upstream under a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The plan.
    pub plan: grant::RequestId,
    /// When the plan was made.
    pub planned_at: unit::Timestamp,
    /// The upstream that crashed.
    pub upstream: UpstreamLifetime,
}

/// Whether a request may be planned, in view of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part of the request is suspected.
    Clear,
    /// The request may run as the trial of its suspected parts.
    Trial,
    /// A part is quarantined or on trial.
    Refused {
        /// The time until another trial may be possible.
        retry_after: unit::Millis,
    },
}

/// The kind of a [`PartDecision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartDecisionKind {
    /// The part became suspected.
    Suspected,
    /// A request with the part was admitted as a trial.
    TrialStarted,
    /// The part was quarantined, or its quarantine was extended.
    Quarantined,
    /// An upstream responded to a request with the part.
    Cleared,
    /// The evidence against the part or its quarantine expired, or made room for other parts.
    Expired,
}

impl PartDecisionKind {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            PartDecisionKind::Suspected => "suspected",
            PartDecisionKind::TrialStarted => "trial_started",
            PartDecisionKind::Quarantined => "quarantined",
            PartDecisionKind::Cleared => "cleared",
            PartDecisionKind::Expired => "expired",
        }
    }
}

/// A decision about a part, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartDecision {
    /// The part.
    pub part: prompt_part::PartId,
    /// The number of crashes counted against the part.
    pub crashes: u32,
    /// The decision.
    pub kind: PartDecisionKind,
}

/// The parts of prompts with evidence against them.
#[derive(Debug, Default)]
pub struct PartScreening {
    parts: collections::BTreeMap<prompt_part::PartId, screened_part::ScreenedPart>,
    /// The quarantines that were lifted here and may still be listed elsewhere, with their crashes.
    lifted: collections::BTreeMap<prompt_part::PartId, u32>,
    updates: Vec<prompt_part::QuarantineUpdate>,
    decisions: Vec<PartDecision>,
}

impl PartScreening {
    /// Checks whether a request with these parts may be planned.
    pub fn screen(&mut self, now: unit::Timestamp, parts: &[prompt_part::PartId]) -> Verdict {
        self.remove_expired(now);
        let mut verdict = Verdict::Clear;
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            let Some(screened) = self.parts.get(part) else {
                continue;
            };
            let admission = match screened.admission(now) {
                screened_part::Admission::Held(_) if self.lacks_other_cause(screened, parts) => {
                    screened_part::Admission::Trial
                }
                admission => admission,
            };
            verdict = match (verdict, admission) {
                (_, screened_part::Admission::Free) => verdict,
                (Verdict::Clear, screened_part::Admission::Trial) => Verdict::Trial,
                (_, screened_part::Admission::Trial) => verdict,
                (Verdict::Refused { retry_after }, screened_part::Admission::Held(wait)) => {
                    let retry_after = retry_after.max(wait);
                    Verdict::Refused { retry_after }
                }
                (_, screened_part::Admission::Held(wait)) => {
                    let retry_after = wait.max(TRIAL_RETRY_AFTER);
                    Verdict::Refused { retry_after }
                }
            };
        }
        verdict
    }

    /// Returns `true` if a request lacks a part that explains the crashes of `screened` as well, and
    /// `screened` is not on trial. Only such a request tells the two parts apart.
    fn lacks_other_cause(
        &self,
        screened: &screened_part::ScreenedPart,
        parts: &[prompt_part::PartId],
    ) -> bool {
        screened.phase() != screened_part::Phase::OnTrial
            && self
                .parts
                .iter()
                .any(|(part, other)| !parts.contains(part) && other.explains(screened))
    }

    /// Starts the trial of the suspected parts of a request that was planned after
    /// [`screen`](PartScreening::screen) returned [`Verdict::Trial`].
    pub fn begin_trial(&mut self, plan: grant::RequestId, parts: &[prompt_part::PartId]) {
        self.update(parts, |screened| screened.begin_trial(plan));
    }

    /// Ends the trial of a plan without a result. Plans that are not trials are ignored.
    pub fn end_trial(&mut self, plan: grant::RequestId, parts: &[prompt_part::PartId]) {
        self.update(parts, |screened| screened.end_trial(plan));
    }

    /// Records that an upstream crashed before it responded to a request with these parts.
    ///
    /// If parts of the request are suspected, those with the most crashes explain the crash, and
    /// it is not counted against the others.
    pub fn record_crash(
        &mut self,
        now: unit::Timestamp,
        crash: &Crash,
        parts: &[prompt_part::PartId],
    ) {
        self.remove_expired(now);
        let parts = &parts[..parts.len().min(MAX_PARTS_PER_REQUEST)];
        let screened = parts.iter().filter_map(|part| self.parts.get(part));
        let suspected = screened.filter(|screened| screened.is_suspected());
        let explaining = suspected.map(|screened| screened.crashes()).max();
        let (counted, explained): (Vec<_>, Vec<_>) = parts.iter().partition(|part| {
            let crashes = self
                .parts
                .get(part)
                .map_or(0, |screened| screened.crashes());
            explaining.is_none_or(|explaining| crashes >= explaining)
        });
        for part in &counted {
            if !self.parts.contains_key(part) {
                self.evict();
                let screened = screened_part::ScreenedPart::reported(now, crash);
                self.parts.insert(*part, screened);
            }
        }
        self.update(&counted, |screened| screened.record_crash(now, crash));
        self.end_trial(crash.plan, &explained);
    }

    /// Records that an upstream has begun to respond to a request with these parts, which clears
    /// them.
    pub fn record_response(&mut self, parts: &[prompt_part::PartId]) {
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            if let Some(screened) = self.parts.remove(part) {
                self.lift(*part, &screened, PartDecisionKind::Cleared);
            }
        }
    }

    /// Applies the quarantines that the instances have in common.
    ///
    /// A part that was not quarantined here starts with its back-off. A quarantine that was listed
    /// before and is missing is lifted; one that was imposed here and has never been listed stays.
    pub fn set_quarantines(
        &mut self,
        now: unit::Timestamp,
        quarantines: &[prompt_part::Quarantine],
    ) {
        let is_listed = |part: &prompt_part::PartId| {
            quarantines
                .iter()
                .any(|quarantine| quarantine.part == *part)
        };
        self.lifted.retain(|part, _| is_listed(part));
        let withdrawn: Vec<_> = self
            .parts
            .iter()
            .filter(|(part, screened)| screened.is_listed() && !is_listed(part))
            .map(|(part, _)| *part)
            .collect();
        for part in withdrawn {
            self.parts.remove(&part);
        }
        for quarantine in quarantines {
            let lifted = self.lifted.get(&quarantine.part);
            if lifted.is_some_and(|crashes| *crashes >= quarantine.crashes) {
                continue;
            }
            self.lifted.remove(&quarantine.part);
            let known = self.parts.remove(&quarantine.part);
            let screened = screened_part::ScreenedPart::listed(now, known, quarantine.crashes);
            self.evict();
            self.parts.insert(quarantine.part, screened);
        }
    }

    /// Returns the changes of quarantines since the last call, which other instances need to know.
    pub fn take_updates(&mut self) -> Vec<prompt_part::QuarantineUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<PartDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the number of parts with evidence.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns `true` if there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Applies a transition to the parts with evidence, and records the decisions that follow.
    fn update(
        &mut self,
        parts: &[prompt_part::PartId],
        transition: impl Fn(screened_part::ScreenedPart) -> screened_part::ScreenedPart,
    ) {
        for part in parts.iter().take(MAX_PARTS_PER_REQUEST) {
            let Some(screened) = self.parts.remove(part) else {
                continue;
            };
            let before = (screened.phase(), screened.crashes());
            let screened = transition(screened);
            let (phase, crashes) = (screened.phase(), screened.crashes());
            let decision = match (before.0, phase) {
                (screened_part::Phase::Reported, screened_part::Phase::Suspected) => {
                    Some(PartDecisionKind::Suspected)
                }
                (screened_part::Phase::OnTrial, screened_part::Phase::OnTrial) => None,
                (_, screened_part::Phase::OnTrial) => Some(PartDecisionKind::TrialStarted),
                (_, screened_part::Phase::Quarantined) if crashes > before.1 => {
                    self.lifted.remove(part);
                    let quarantine = prompt_part::Quarantine {
                        part: *part,
                        crashes,
                    };
                    self.updates
                        .push(prompt_part::QuarantineUpdate::Imposed(quarantine));
                    Some(PartDecisionKind::Quarantined)
                }
                _ => None,
            };
            if let Some(kind) = decision {
                self.record_decision(*part, &screened, kind);
            }
            self.parts.insert(*part, screened);
        }
    }

    /// Records that a part was removed, and that its quarantine ends everywhere if it had one.
    fn lift(
        &mut self,
        part: prompt_part::PartId,
        screened: &screened_part::ScreenedPart,
        kind: PartDecisionKind,
    ) {
        if screened.is_quarantined() {
            self.updates
                .push(prompt_part::QuarantineUpdate::Lifted(part));
            if screened.is_listed() {
                self.lifted.insert(part, screened.crashes());
            }
        }
        if screened.is_suspected() {
            self.record_decision(part, screened, kind);
        }
    }

    fn record_decision(
        &mut self,
        part: prompt_part::PartId,
        screened: &screened_part::ScreenedPart,
        kind: PartDecisionKind,
    ) {
        self.decisions.push(PartDecision {
            part,
            crashes: screened.crashes(),
            kind,
        });
    }

    /// Removes the parts whose evidence or quarantine has expired.
    fn remove_expired(&mut self, now: unit::Timestamp) {
        let expired: Vec<_> = self
            .parts
            .iter()
            .filter(|(_, screened)| screened.is_expired(now))
            .map(|(part, _)| *part)
            .collect();
        for part in expired {
            if let Some(screened) = self.parts.remove(&part) {
                self.lift(part, &screened, PartDecisionKind::Expired);
            }
        }
    }

    /// Makes room for another part: of those with the weakest evidence, the oldest is removed.
    fn evict(&mut self) {
        if self.parts.len() < MAX_SCREENED_PARTS {
            return;
        }
        let weakest = self
            .parts
            .iter()
            .min_by_key(|(_, screened)| (screened.phase(), screened.last_crash()));
        if let Some(part) = weakest.map(|(part, _)| *part)
            && let Some(screened) = self.parts.remove(&part)
        {
            self.lift(part, &screened, PartDecisionKind::Expired);
        }
    }
}
