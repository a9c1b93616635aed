//! Screens possible causes of crashes: parts of prompts, and requests that are repeated.
//!
//! A crash is evidence against every cause of its request, since the cause cannot be seen from
//! outside. A response that ends well clears all causes of its request; one in progress does not,
//! since its upstream may still crash. What remains are the causes that the crashes have in common.
//! Their requests are admitted one at a time, as trials; a cause whose trial crashes is quarantined,
//! and is tried again after a back-off.

mod cause_table;
mod screened_cause;

use std::collections;

use crate::{crash_cause, grant, name, unit};

/// The most parts that a prompt may have. A request head of 16 KiB holds fewer.
pub const MAX_PARTS_PER_REQUEST: usize = 4_096;

/// The number of causes of a request: the request itself and its parts.
pub const MAX_CAUSES_PER_REQUEST: usize = 1 + MAX_PARTS_PER_REQUEST;

/// The number of causes with evidence that are kept: those of two of the largest requests.
const MAX_SCREENED_CAUSES: usize = 2 * MAX_CAUSES_PER_REQUEST;

/// The retry delay for a request that is refused because a trial of its cause is in progress.
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

/// Whether a request may be planned, in view of its causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No cause of the request is suspected.
    Clear,
    /// The request may run as the trial of its suspected causes.
    Trial,
    /// A cause is quarantined or on trial.
    Refused {
        /// The time until another trial may be possible.
        retry_after: unit::Millis,
    },
    /// The request itself is quarantined. No repetition of it can be expected to be served.
    Rejected,
}

/// The kind of a [`CauseDecision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CauseDecisionKind {
    /// The cause became suspected.
    Suspected,
    /// A request with the cause was admitted as a trial.
    TrialStarted,
    /// The cause was quarantined, or its quarantine was extended.
    Quarantined,
    /// The response to a request with the cause ended well.
    Cleared,
    /// The evidence against the cause or its quarantine expired, or made room for other causes.
    Expired,
}

impl CauseDecisionKind {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            CauseDecisionKind::Suspected => "suspected",
            CauseDecisionKind::TrialStarted => "trial_started",
            CauseDecisionKind::Quarantined => "quarantined",
            CauseDecisionKind::Cleared => "cleared",
            CauseDecisionKind::Expired => "expired",
        }
    }
}

/// A decision about a cause, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CauseDecision {
    /// The cause.
    pub cause: crash_cause::CrashCause,
    /// The number of crashes counted against the cause.
    pub crashes: u32,
    /// The decision.
    pub kind: CauseDecisionKind,
}

/// The causes of crashes with evidence against them.
#[derive(Debug, Default)]
pub struct CrashScreening {
    causes: cause_table::CauseTable,
    /// The quarantines that were lifted here and may still be listed elsewhere, with their crashes.
    lifted: collections::BTreeMap<crash_cause::CrashCause, u32>,
    updates: Vec<crash_cause::QuarantineUpdate>,
    decisions: Vec<CauseDecision>,
}

impl CrashScreening {
    /// Checks whether a request with these causes may be planned.
    pub fn screen(&mut self, now: unit::Timestamp, causes: &[crash_cause::CrashCause]) -> Verdict {
        self.remove_expired(now);
        let mut verdict = Verdict::Clear;
        if self.causes.is_empty() {
            return verdict;
        }
        let mut lacking = None;
        for cause in causes.iter().take(MAX_CAUSES_PER_REQUEST) {
            let Some(screened) = self.causes.get(*cause) else {
                continue;
            };
            let mut admission = screened.admission(now);
            if admission.is_refusal() && screened.phase() != screened_cause::Phase::OnTrial {
                let lacking = lacking.get_or_insert_with(|| self.evidence_lacking(causes));
                if lacking.iter().any(|other| other.explains(screened)) {
                    admission = screened_cause::Admission::Trial;
                }
            }
            verdict = match (verdict, admission) {
                (Verdict::Rejected, _) | (_, screened_cause::Admission::Free) => verdict,
                (_, screened_cause::Admission::Rejected) => Verdict::Rejected,
                (Verdict::Clear, screened_cause::Admission::Trial) => Verdict::Trial,
                (_, screened_cause::Admission::Trial) => verdict,
                (Verdict::Refused { retry_after }, screened_cause::Admission::Held(wait)) => {
                    let retry_after = retry_after.max(wait);
                    Verdict::Refused { retry_after }
                }
                (_, screened_cause::Admission::Held(wait)) => {
                    let retry_after = wait.max(TRIAL_RETRY_AFTER);
                    Verdict::Refused { retry_after }
                }
            };
        }
        verdict
    }

    /// Returns the suspected causes that a request lacks, one for each set of crashes. A request that
    /// lacks a cause with the crashes of one that it has tells the two causes apart.
    fn evidence_lacking(
        &self,
        causes: &[crash_cause::CrashCause],
    ) -> Vec<&screened_cause::ScreenedCause> {
        let causes: collections::BTreeSet<_> = causes.iter().collect();
        let mut lacking: Vec<&screened_cause::ScreenedCause> = Vec::new();
        for (cause, screened) in self.causes.suspected() {
            let is_known = || lacking.iter().any(|other| other.has_crashes_of(screened));
            if !causes.contains(&cause) && !is_known() {
                lacking.push(screened);
            }
        }
        lacking
    }

    /// Returns the request among the causes if it is suspected and explains its crashes as well as
    /// any of its parts does.
    fn repeated_request(
        &self,
        causes: &[crash_cause::CrashCause],
    ) -> Option<crash_cause::CrashCause> {
        let explaining = self.explaining_crashes(causes);
        let request = causes.iter().find(|cause| cause.is_request())?;
        let screened = self.causes.get(*request)?;
        let explains = screened.is_suspected() && Some(screened.crashes()) == explaining;
        explains.then_some(*request)
    }

    /// Returns the largest number of crashes of a suspected cause, or `None` if none is suspected.
    fn explaining_crashes(&self, causes: &[crash_cause::CrashCause]) -> Option<u32> {
        let screened = causes.iter().filter_map(|cause| self.causes.get(*cause));
        let suspected = screened.filter(|screened| screened.is_suspected());
        suspected.map(|screened| screened.crashes()).max()
    }

    /// Starts the trial of the suspected causes of a request that was planned after
    /// [`screen`](CrashScreening::screen) returned [`Verdict::Trial`]. If the request itself explains
    /// its crashes, its parts are not on trial.
    pub fn begin_trial(&mut self, plan: grant::RequestId, causes: &[crash_cause::CrashCause]) {
        match self.repeated_request(causes) {
            Some(request) => self.update(&[request], |screened| screened.begin_trial(plan)),
            None => self.update(causes, |screened| screened.begin_trial(plan)),
        }
    }

    /// Ends the trial of a plan without a result. Plans that are not trials are ignored.
    pub fn end_trial(&mut self, plan: grant::RequestId, causes: &[crash_cause::CrashCause]) {
        self.update(causes, |screened| screened.end_trial(plan));
    }

    /// Records that an upstream crashed before it had responded completely to a request with these
    /// causes.
    ///
    /// If causes of the request are suspected, those with the most crashes explain the crash, and
    /// it is not counted against the others. If the request itself is among them, it alone explains
    /// the crash: whether its parts crash upstreams, too, only other requests with them can tell.
    pub fn record_crash(
        &mut self,
        now: unit::Timestamp,
        crash: &Crash,
        causes: &[crash_cause::CrashCause],
    ) {
        self.remove_expired(now);
        let causes = &causes[..causes.len().min(MAX_CAUSES_PER_REQUEST)];
        let explaining = self.explaining_crashes(causes);
        let repeated = self.repeated_request(causes);
        let (counted, explained): (Vec<_>, Vec<_>) = causes.iter().partition(|cause| {
            let screened = self.causes.get(**cause);
            let crashes = screened.map_or(0, |screened| screened.crashes());
            explaining.is_none_or(|explaining| crashes >= explaining)
                && repeated.is_none_or(|request| request == **cause)
        });
        let (known, new): (Vec<_>, Vec<_>) = counted
            .into_iter()
            .partition(|cause| self.causes.contains(*cause));
        self.update(&known, |screened| screened.record_crash(now, crash));
        self.end_trial(crash.plan, &explained);
        for cause in new {
            self.evict();
            let screened = screened_cause::ScreenedCause::reported(now, cause, crash);
            self.causes.insert(cause, screened);
        }
    }

    /// Records that the response to a request with these causes ended well, which clears them.
    pub fn record_response(&mut self, causes: &[crash_cause::CrashCause]) {
        for cause in causes.iter().take(MAX_CAUSES_PER_REQUEST) {
            if let Some(screened) = self.causes.remove(*cause) {
                self.lift(*cause, &screened, CauseDecisionKind::Cleared);
            }
        }
    }

    /// Applies the quarantines that the instances have in common.
    ///
    /// A cause that was not quarantined here starts with its back-off. A quarantine that was listed
    /// before and is missing is lifted; one that was imposed here and has never been listed stays.
    pub fn set_quarantines(
        &mut self,
        now: unit::Timestamp,
        quarantines: &[crash_cause::Quarantine],
    ) {
        let listed = quarantines.iter().map(|quarantine| quarantine.cause);
        let listed: collections::BTreeSet<_> = listed.collect();
        self.lifted.retain(|cause, _| listed.contains(cause));
        let withdrawn: Vec<_> = self
            .causes
            .iter()
            .filter(|(cause, screened)| screened.is_listed() && !listed.contains(cause))
            .map(|(cause, _)| cause)
            .collect();
        for cause in withdrawn {
            self.causes.remove(cause);
        }
        for quarantine in quarantines {
            let lifted = self.lifted.get(&quarantine.cause);
            if lifted.is_some_and(|crashes| *crashes >= quarantine.crashes) {
                continue;
            }
            self.lifted.remove(&quarantine.cause);
            let known = self.causes.remove(quarantine.cause);
            let screened = screened_cause::ScreenedCause::listed(now, known, *quarantine);
            self.evict();
            self.causes.insert(quarantine.cause, screened);
        }
    }

    /// Returns the changes of quarantines since the last call, which other instances need to know.
    pub fn take_updates(&mut self) -> Vec<crash_cause::QuarantineUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<CauseDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the number of causes with evidence.
    pub fn len(&self) -> usize {
        self.causes.len()
    }

    /// Returns `true` if there is no evidence against any cause.
    pub fn is_empty(&self) -> bool {
        self.causes.is_empty()
    }

    /// Applies a transition to the causes with evidence, and records the decisions that follow.
    fn update(
        &mut self,
        causes: &[crash_cause::CrashCause],
        transition: impl Fn(screened_cause::ScreenedCause) -> screened_cause::ScreenedCause,
    ) {
        for cause in causes.iter().take(MAX_CAUSES_PER_REQUEST) {
            let Some(screened) = self.causes.remove(*cause) else {
                continue;
            };
            let before = (screened.phase(), screened.crashes());
            let screened = transition(screened);
            let (phase, crashes) = (screened.phase(), screened.crashes());
            let decision = match (before.0, phase) {
                (screened_cause::Phase::Reported, screened_cause::Phase::Suspected) => {
                    Some(CauseDecisionKind::Suspected)
                }
                (screened_cause::Phase::OnTrial, screened_cause::Phase::OnTrial) => None,
                (_, screened_cause::Phase::OnTrial) => Some(CauseDecisionKind::TrialStarted),
                (_, screened_cause::Phase::Quarantined) if crashes > before.1 => {
                    self.lifted.remove(cause);
                    let quarantine = crash_cause::Quarantine {
                        cause: *cause,
                        crashes,
                    };
                    self.updates
                        .push(crash_cause::QuarantineUpdate::Imposed(quarantine));
                    Some(CauseDecisionKind::Quarantined)
                }
                _ => None,
            };
            if let Some(kind) = decision {
                self.record_decision(*cause, &screened, kind);
            }
            self.causes.insert(*cause, screened);
        }
    }

    /// Records that a cause was removed, and that its quarantine ends everywhere if it had one.
    fn lift(
        &mut self,
        cause: crash_cause::CrashCause,
        screened: &screened_cause::ScreenedCause,
        kind: CauseDecisionKind,
    ) {
        if screened.is_quarantined() {
            self.updates
                .push(crash_cause::QuarantineUpdate::Lifted(cause));
            if screened.is_listed() {
                self.lifted.insert(cause, screened.crashes());
            }
        }
        if screened.is_suspected() {
            self.record_decision(cause, screened, kind);
        }
    }

    fn record_decision(
        &mut self,
        cause: crash_cause::CrashCause,
        screened: &screened_cause::ScreenedCause,
        kind: CauseDecisionKind,
    ) {
        self.decisions.push(CauseDecision {
            cause,
            crashes: screened.crashes(),
            kind,
        });
    }

    /// Ends the quarantines that have expired, and removes the causes whose evidence has.
    fn remove_expired(&mut self, now: unit::Timestamp) {
        while let Some(cause) = self.causes.expired(now) {
            if let Some(screened) = self.causes.remove(cause) {
                self.lift(cause, &screened, CauseDecisionKind::Expired);
                if let Some(screened) = screened.expire(now) {
                    self.causes.insert(cause, screened);
                }
            }
        }
    }

    /// Makes room for another cause: of those with the weakest evidence, the oldest is removed.
    fn evict(&mut self) {
        if self.causes.len() < MAX_SCREENED_CAUSES {
            return;
        }
        if let Some(cause) = self.causes.weakest()
            && let Some(screened) = self.causes.remove(cause)
        {
            self.lift(cause, &screened, CauseDecisionKind::Expired);
        }
    }
}
