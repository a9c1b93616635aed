//! Screening of requests by possible causes of crashes: evidence from results, and trials.

use crate::{crash_cause, crash_screening, error, plan, planner, unit};

/// The number of causes that the plans of one planner contain at most, apart from those of requests
/// with few causes.
const MAX_PLANNED_CAUSES: usize = 1 << 19;

/// The number of causes up to which a request needs no room among the planned ones.
const FEW_CAUSES: usize = 64;

/// Whether a request is kept apart from other requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Isolation {
    /// The request shares its lead with others.
    None,
    /// The request is a trial, which may crash its lead.
    Trial,
}

impl planner::Planner {
    /// Returns `true` if the quarantines were set from another generation of the quarantine list.
    pub fn has_outdated_quarantines(&self, generation: u64) -> bool {
        self.quarantine_generation != Some(generation)
    }

    /// Applies the quarantines that the instances have in common. See
    /// [`CrashScreening::set_quarantines`](crash_screening::CrashScreening::set_quarantines).
    pub fn set_quarantines(
        &mut self,
        now: unit::Timestamp,
        generation: u64,
        quarantines: &[crash_cause::Quarantine],
    ) {
        self.quarantine_generation = Some(generation);
        self.screening.set_quarantines(now, quarantines);
    }

    /// Returns the changes of quarantines since the last call, which other instances need to know.
    pub fn take_quarantine_updates(&mut self) -> Vec<crash_cause::QuarantineUpdate> {
        self.screening.take_updates()
    }

    /// Returns the decisions about causes since the last call.
    pub fn take_cause_decisions(&mut self) -> Vec<crash_screening::CauseDecision> {
        self.screening.take_decisions()
    }

    /// Returns `true` if there is room for a plan with so many causes.
    pub(super) fn has_room_for_causes(&self, count: usize) -> bool {
        count <= FEW_CAUSES || self.planned_causes + count <= MAX_PLANNED_CAUSES
    }

    /// Returns the causes of a plan that are kept: all of them, or the first ones of a plan of
    /// another planner for which there is no room.
    pub(super) fn kept_causes(
        &self,
        causes: &[crash_cause::CrashCause],
    ) -> Vec<crash_cause::CrashCause> {
        let has_room = self.has_room_for_causes(causes.len());
        let kept = if has_room { causes.len() } else { FEW_CAUSES };
        causes[..kept].to_vec()
    }

    /// Checks whether a request may be planned, in view of its causes.
    pub(super) fn screen(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> error::Result<Isolation> {
        match self.screening.screen(now, &request.causes) {
            crash_screening::Verdict::Clear => Ok(Isolation::None),
            crash_screening::Verdict::Trial => Ok(Isolation::Trial),
            crash_screening::Verdict::Refused { retry_after } => {
                Err(error::Error::PartHeldBack { retry_after })
            }
            crash_screening::Verdict::Rejected => Err(error::Error::RequestQuarantined),
        }
    }

    /// Starts a trial of the suspected causes of a request that has been planned.
    pub(super) fn begin_trial(&mut self, trial: &plan::ReportedPlan) {
        let plan = &trial.plan;
        self.screening.begin_trial(plan.id, &trial.causes);
        if let Some(lead) = self.upstreams.get_mut(&plan.lead.upstream) {
            lead.begin_trial(plan.id);
        }
    }

    /// Evaluates the result of an attempt as evidence about its causes.
    ///
    /// The crash of an upstream that was draining or restarted says nothing. The causes of a
    /// response that ended well are sound.
    pub(super) fn screen_result(&mut self, now: unit::Timestamp, plan_result: &plan::PlanResult) {
        let Some(record) = self.plans.get(&plan_result.id) else {
            return;
        };
        if plan_result.result == plan::AttemptResult::Succeeded && plan_result.response_begun {
            self.screening.record_response(&record.causes);
            return;
        }
        let current = self.upstreams.get(&plan_result.upstream);
        let current = current.map(|upstream| upstream.lifetime());
        if plan_result.result != plan::AttemptResult::Crashed || current != record.lead {
            return;
        }
        let Some(lead) = &record.lead else {
            return;
        };
        let crash = crash_screening::Crash {
            plan: plan_result.id,
            planned_at: record.planned_at,
            upstream: lead.clone(),
        };
        self.screening.record_crash(now, &crash, &record.causes);
    }
}
