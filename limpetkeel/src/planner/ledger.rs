//! The life cycle of plans in the ledger: recording, the first token, completion and expiry.

use crate::{
    crash_cause, crash_screening, grant, name, plan,
    planner::{self, evidence, health, upstream},
    request_size, unit,
};

/// How long after the deadline of its request a plan expires if its end is not reported.
const EXPIRY_GRACE: unit::Millis = unit::Millis(500);

/// The percentage of the allowed output that a response is expected to have.
const EXPECTED_OUTPUT_PERCENT: u8 = 50;

/// Returns the expected output of a request.
pub(super) fn expected_output(size: request_size::RequestSize) -> unit::Tokens {
    size.output.percent(EXPECTED_OUTPUT_PERCENT)
}

/// A plan that has not ended, and the upstreams whose resources it uses.
#[derive(Debug)]
pub(super) struct PlanRecord {
    /// The upstreams that prefill a part of the prompt: the helpers, then the lead.
    pub(super) participants: Vec<name::UpstreamName>,
    /// The time to prefill one part, in milliseconds.
    pub(super) part_ms: f64,
    pub(super) planned_at: unit::Timestamp,
    /// The expected time from the plan to the first token.
    pub(super) estimate: unit::Millis,
    /// The delay of long prompts that is included in the estimate, in milliseconds.
    prefill_delay_ms: f64,
    /// The time to decode the complete response.
    decode: unit::Millis,
    /// When the response is expected to end, which frees the memory.
    pub(super) expected_end: unit::Timestamp,
    pub(super) expires_at: unit::Timestamp,
    /// What may crash the upstreams that run the request.
    pub(super) causes: Vec<crash_cause::CrashCause>,
    /// The process of the lead, unless it was unknown or draining.
    pub(super) lead: Option<crash_screening::UpstreamLifetime>,
    pub(super) response_begun: bool,
    /// The time after which a response that has not begun is slow.
    pub(super) slow_after: unit::Millis,
    /// Whether the response began late.
    pub(super) was_slow: bool,
}

impl PlanRecord {
    /// Returns `true` if several engines prefill the prompt and the response has not begun.
    pub(super) fn is_prefilling(&self) -> bool {
        self.participants.len() > 1 && !self.response_begun
    }

    /// Returns the time to prefill the complete prompt, in milliseconds.
    pub(super) fn prefill_ms(&self) -> f64 {
        self.part_ms * self.participants.len() as f64
    }
}

impl planner::Planner {
    /// Records a plan of another planner; a known plan is ignored.
    pub fn record_reported_plan(
        &mut self,
        now: unit::Timestamp,
        reported_plan: &plan::ReportedPlan,
    ) {
        if !self.plans.contains_key(&reported_plan.plan.id) {
            self.record_plan(now, reported_plan);
        }
    }

    /// Adds the resources of a plan to the ledgers of its upstreams. The prefill is added only if
    /// the response has not begun.
    pub(super) fn record_plan(&mut self, now: unit::Timestamp, reported_plan: &plan::ReportedPlan) {
        let plan::ReportedPlan { plan, size, .. } = reported_plan;
        let mut reserved = unit::Tokens::ZERO;
        for helper in &plan.helpers {
            let Some(upstream) = self.upstreams.get_mut(&helper.engine.upstream) else {
                continue;
            };
            upstream.add_part(plan.id);
            if let Some(tokens) = helper.reserve {
                upstream.reserve(plan.id, tokens);
                reserved += tokens;
            }
            if reported_plan.response_begun {
                upstream.finish_part(plan.id);
            }
        }
        let prompt_length = if self.is_long(size.prompt) {
            upstream::PromptLength::Long
        } else {
            upstream::PromptLength::Short
        };
        let mut lead_lifetime = None;
        if let Some(lead) = self.upstreams.get_mut(&plan.lead.upstream) {
            lead_lifetime = Some(lead.lifetime());
            let stream = upstream::Stream {
                memory: size.memory().saturating_sub(reserved),
                prompt_length,
                max_gap: reported_plan.objective.max_gap,
                has_begun: reported_plan.response_begun,
                timeliness: plan.timeliness,
            };
            lead.add_stream(plan.id, stream);
        }
        let helpers = plan.helpers.iter().map(|helper| &helper.engine);
        let engines = helpers.chain([&plan.lead]);
        let participants: Vec<_> = engines.map(|engine| engine.upstream.clone()).collect();
        let part_ms = self.timing.map_or(0.0, |timing| {
            timing.prefill_part_ms(size.prompt, participants.len())
        });
        let prefilling = participants
            .iter()
            .filter(|_| !reported_plan.response_begun);
        for name in prefilling {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.add_prefill(now, part_ms);
            }
        }
        let lead = self.upstreams.get(&plan.lead.upstream);
        let decode = self.timing.zip(lead).map(|(timing, lead)| {
            let output = expected_output(*size);
            let decode_ms = timing.decode_ms(output, lead.stream_count(), lead.memory());
            unit::Millis(decode_ms as u64)
        });
        let decode = decode.unwrap_or_default();
        let until_first_token = if reported_plan.response_begun {
            unit::Millis::ZERO
        } else {
            plan.estimate
        };
        let record = PlanRecord {
            participants,
            part_ms,
            planned_at: now,
            estimate: plan.estimate,
            prefill_delay_ms: self.prefill_delay.ms(now),
            decode,
            expected_end: now.after(until_first_token + decode),
            expires_at: now.after(reported_plan.remaining + EXPIRY_GRACE),
            causes: self.kept_causes(&reported_plan.causes),
            lead: lead_lifetime,
            response_begun: reported_plan.response_begun,
            slow_after: evidence::slow_after(
                plan.estimate.0 as f64 - lead.map_or(0.0, |lead| lead.delay_ms(now)),
                reported_plan.objective.first_event,
            ),
            was_slow: false,
        };
        self.planned_causes += record.causes.len();
        self.plans.insert(plan.id, record);
    }

    /// Records that the response of a plan has begun.
    ///
    /// An engine that took longer than estimated is slow or has unaccounted work. The delay is
    /// added to its estimates and decays over time.
    pub fn record_response_begun(&mut self, now: unit::Timestamp, id: grant::RequestId) {
        self.weigh_start(now, id);
        let Some(record) = self.plans.get_mut(&id) else {
            return;
        };
        record.response_begun = true;
        record.expected_end = now.after(record.decode);
        for name in &record.participants {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.finish_part(id);
                upstream.begin_stream(id);
            }
        }
        let elapsed = now.since(record.planned_at).0 as f64;
        let delay = elapsed - record.estimate.0 as f64;
        // With helpers, the delay cannot be attributed to one engine.
        if let [lead] = &record.participants[..] {
            if let Some(upstream) = self.upstreams.get_mut(lead) {
                upstream.record_delay(now, delay);
            }
        } else {
            // The estimate includes the delay that was known then.
            self.prefill_delay
                .record(now, delay + record.prefill_delay_ms);
        }
    }

    /// Records the result of an attempt and releases the resources of its plan.
    pub fn record_result(&mut self, now: unit::Timestamp, plan_result: &plan::PlanResult) {
        self.record_failure(now, plan_result);
        self.screen_result(now, plan_result);
        self.release(now, plan_result.id, plan_result.response_begun);
    }

    /// Records the result of an attempt whose plan keeps its resources, such as a stream that has
    /// stopped and may go on.
    pub fn record_failure(&mut self, now: unit::Timestamp, plan_result: &plan::PlanResult) {
        self.weigh_result(now, plan_result);
        let zone = self
            .upstreams
            .get(&plan_result.upstream)
            .map(|upstream| upstream.availability_zone().clone());
        if let Some(zone) = zone {
            let path = health::AttemptPath {
                from: &plan_result.availability_zone,
                upstream: &plan_result.upstream,
                zone: &zone,
            };
            self.health.record(now, path, plan_result.result);
        }
    }

    /// Releases the resources of a plan. Unless the prompt was `prefilled`, its prefill is removed
    /// from the backlogs as well.
    fn release(&mut self, now: unit::Timestamp, id: grant::RequestId, prefilled: bool) {
        let Some(record) = self.plans.remove(&id) else {
            return;
        };
        self.planned_causes -= record.causes.len();
        self.screening.end_trial(id, &record.causes);
        if let Some(lead) = record.participants.last() {
            self.ejections.end_trial(now, lead, id);
        }
        for name in &record.participants {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.release(id);
                if !prefilled {
                    upstream.remove_prefill(now, record.part_ms);
                }
            }
        }
    }

    /// Releases the plans that have expired.
    pub(super) fn release_expired(&mut self, now: unit::Timestamp) {
        let expired: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, record)| record.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.release(now, id, true);
        }
    }

    /// Returns the number of plans that have neither ended nor been released after their expiry.
    pub fn in_progress(&self) -> usize {
        self.plans.len()
    }
}
