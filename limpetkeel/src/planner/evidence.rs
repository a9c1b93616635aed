//! Evidence about upstreams in the results of plans, for their ejection.

use crate::{
    grant, name, plan,
    planner::{self, ejection, ledger, upstream},
    unit,
};

/// A response is slow if it begins later than this multiple of its estimate.
const SLOW_ESTIMATE_FACTOR: f64 = 3.0;

/// A response is slow if it begins later than this multiple of its objective.
const SLOW_OBJECTIVE_FACTOR: f64 = 2.0;

/// Returns the time after which a response that has not begun is slow. `estimate_ms` excludes the
/// delay that is known of the upstream.
pub(super) fn slow_after(estimate_ms: f64, objective: unit::Millis) -> unit::Millis {
    let by_estimate = estimate_ms.max(0.0) * SLOW_ESTIMATE_FACTOR;
    let by_objective = objective.0 as f64 * SLOW_OBJECTIVE_FACTOR;
    unit::Millis(by_estimate.max(by_objective) as u64)
}

impl planner::Planner {
    /// Returns the decisions about the ejection of upstreams since the last call.
    pub fn take_ejection_decisions(&mut self) -> Vec<ejection::EjectionDecision> {
        self.ejections.take_decisions()
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected_upstreams(&self) -> usize {
        self.ejections.count()
    }

    /// Returns `true` if a request may use an upstream, in view of ejections.
    ///
    /// A long prompt, which occupies several engines, uses only upstreams that are in service without
    /// restriction.
    pub(super) fn admits(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        upstream: &upstream::Upstream,
    ) -> bool {
        let name = upstream.name();
        if self.is_long(request.size.prompt) {
            return self.ejections.is_serving(name);
        }
        let estimate = upstream.estimate(
            now,
            self.timing.as_ref(),
            request.size,
            plan::Timeliness::InTime,
        );
        if !self.ejections.is_in_service(name)
            && estimate > request.remaining.0 as f64 * ejection::MAX_TRIAL_FRACTION
        {
            return false;
        }
        let streams = upstream.stream_count();
        self.ejections
            .admits(now, name, streams, request.repeatable)
    }

    /// Returns `true` if a request would be the trial of an upstream.
    pub(super) fn would_be_trial(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        upstream: &upstream::Upstream,
    ) -> bool {
        self.ejections
            .is_due(now, upstream.name(), request.repeatable)
    }

    /// Returns `true` if a request reaches an upstream that is not ejected. Otherwise it may use the
    /// ejected ones. Full and unavailable upstreams count, so that their load never brings a failing
    /// upstream back.
    pub(super) fn reaches_any_in_service(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> bool {
        let zone = &request.availability_zone;
        self.upstreams.values().any(|upstream| {
            self.ejections.is_in_service(upstream.name())
                && self.health.is_reachable(now, zone, upstream)
        })
    }

    /// Weighs the result of an attempt as evidence about the upstreams of its plan.
    pub(super) fn weigh_result(&mut self, now: unit::Timestamp, plan_result: &plan::PlanResult) {
        let record = self.plans.get(&plan_result.id);
        let planned_at = record.map_or(now, |record| record.planned_at);
        let participants = record.map_or_else(Vec::new, |record| record.participants.clone());
        let evidence = match plan_result.result {
            plan::AttemptResult::Unreachable | plan::AttemptResult::PathFailed => return,
            plan::AttemptResult::Succeeded if participants.len() > 1 => {
                for name in participants {
                    let evidence = ejection::Evidence::Success;
                    self.observe(now, &name, plan_result.id, planned_at, evidence);
                }
                return;
            }
            plan::AttemptResult::Succeeded => match record {
                Some(record) if record.was_slow => return,
                Some(record) if !record.response_begun && self.is_slow(now, record) => {
                    ejection::Evidence::Failure(ejection::Reason::Slow)
                }
                _ => ejection::Evidence::Success,
            },
            plan::AttemptResult::Inconclusive => {
                let has_waited = record.is_some_and(|record| {
                    !record.response_begun
                        && !plan_result.response_begun
                        && self.is_slow(now, record)
                });
                if !has_waited {
                    return;
                }
                ejection::Evidence::Failure(ejection::Reason::Slow)
            }
            plan::AttemptResult::Declined => {
                let upstream = self.upstreams.get(&plan_result.upstream);
                if upstream.is_none_or(|upstream| upstream.is_full()) {
                    return;
                }
                ejection::Evidence::Failure(ejection::Reason::Declined)
            }
            plan::AttemptResult::Silent => {
                if participants.len() > 1 || self.may_be_cut_off(now, plan_result) {
                    return;
                }
                ejection::Evidence::Failure(ejection::Reason::Silent)
            }
            plan::AttemptResult::Crashed => ejection::Evidence::Failure(ejection::Reason::Crashed),
            plan::AttemptResult::Failed => ejection::Evidence::Failure(ejection::Reason::Failed),
        };
        let upstream = plan_result.upstream.clone();
        self.observe(now, &upstream, plan_result.id, planned_at, evidence);
    }

    /// Weighs the start of a response: a late one counts against its upstream, and any other one ends
    /// its trial.
    pub(super) fn weigh_start(&mut self, now: unit::Timestamp, id: grant::RequestId) {
        let Some(record) = self.plans.get(&id) else {
            return;
        };
        let is_slow = self.is_slow(now, record);
        let [lead] = &record.participants[..] else {
            return;
        };
        let (lead, planned_at) = (lead.clone(), record.planned_at);
        let evidence = if is_slow {
            ejection::Evidence::Failure(ejection::Reason::Slow)
        } else if self.ejections.is_on_trial(&lead, id) {
            ejection::Evidence::Success
        } else {
            return;
        };
        if let Some(record) = self.plans.get_mut(&id) {
            record.was_slow = is_slow;
        }
        self.observe(now, &lead, id, planned_at, evidence);
    }

    /// Returns `true` if the response to a plan that one upstream serves is slow if it begins now.
    ///
    /// Engines of the prefill set do not count, since parts of long prompts delay their streams.
    fn is_slow(&self, now: unit::Timestamp, record: &ledger::PlanRecord) -> bool {
        let [lead] = &record.participants[..] else {
            return false;
        };
        now.since(record.planned_at) >= record.slow_after && !self.prefill_set.contains(lead)
    }

    /// Returns `true` if an upstream may be silent since its zone cannot be reached.
    fn may_be_cut_off(&self, now: unit::Timestamp, plan_result: &plan::PlanResult) -> bool {
        let upstream = self.upstreams.get(&plan_result.upstream);
        upstream.is_some_and(|upstream| {
            let (from, zone) = (&plan_result.availability_zone, upstream.availability_zone());
            self.health.is_partitioned(now, from, zone)
        })
    }

    /// Records evidence about an upstream.
    fn observe(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        plan: grant::RequestId,
        planned_at: unit::Timestamp,
        evidence: ejection::Evidence,
    ) {
        let Some(upstream) = self.upstreams.get(name) else {
            return;
        };
        let observation = ejection::Observation {
            upstream: name,
            start_time: upstream.start_time(),
            plan,
            planned_at,
            evidence,
            is_needed: self.is_last_of_cut_off_zone(now, upstream),
        };
        self.ejections.record(now, observation);
    }

    /// Returns `true` if an upstream is the last one in service of a zone that is cut off from another
    /// one.
    fn is_last_of_cut_off_zone(&self, now: unit::Timestamp, upstream: &upstream::Upstream) -> bool {
        let zone = upstream.availability_zone();
        self.health.is_cut_off(now, zone)
            && !self.upstreams.values().any(|other| {
                other.availability_zone() == zone
                    && other.name() != upstream.name()
                    && self.ejections.is_in_service(other.name())
            })
    }
}
