//! Plans on which upstreams the relayed requests of one pool run.
//!
//! A planner does not hold requests: it plans a request or refuses it. A request that has to wait
//! keeps its turn while its instance goes on asking.
//!
//! The planner keeps a ledger of its plans: the prefill backlog of each engine, the streams that it
//! decodes and the memory that they use. Instances report the end of a plan; a plan whose end is not
//! reported expires. Two planners for one pool only lead to worse plans, since every upstream does
//! its own admission control.
//!
//! Prefilling a long prompt delays every stream on the same engine. Therefore some engines form
//! the *prefill set*, which prefills long prompts in parts, while the other engines decode. The
//! prefill set grows and shrinks with the demand, and the engines with the fewest streams join it
//! first.

mod admission;
mod cold;
mod delay;
mod ejection;
mod evacuation;
mod evidence;
mod health;
mod helpers;
mod ledger;
mod long_prompt;
mod memory;
mod prefill_queue;
mod prefill_set;
mod request_limits;
mod screening;
mod upstream;
mod waiting;

use std::collections;

pub use cold::ColdReport;
pub use ejection::{EjectionDecision, EjectionDecisionKind, Reason as EjectionReason};
pub use memory::FreeMemory;

use crate::{crash_screening, engine, error, grant, name, plan, unit, upstream_registry};

/// A prompt whose prefill takes more than this fraction of the shortest gap is split into parts.
const LONG_PROMPT_FRACTION: f64 = 0.4;

/// The gap between two events that is assumed if no streaming route declares one.
const DEFAULT_GAP: unit::Millis = unit::Millis(250);

/// A request whose estimate exceeds this fraction of its remaining time is refused immediately.
const MAX_DEADLINE_FRACTION: f64 = 0.9;

/// The cost of an upstream in a remote availability zone, in milliseconds.
///
/// A partition breaks every stream that crosses zones, which justifies a tenth of the shortest
/// latency objective.
const REMOTE_ZONE_COST_MS: f64 = 25.0;

/// The cost of an upstream whose failure rate is 1, in milliseconds. Lower rates cost
/// proportionally less.
const FAILURE_COST_MS: f64 = 1_500.0;

/// The cost of an upstream in a busy prefill set, in milliseconds, for a short request or for the lead
/// of a long prompt.
const PREFILL_SET_COST_MS: f64 = 300.0;

/// The utilization of an idle prefill set. Short requests use its engines once the others are as good
/// as full, so that a long prompt usually finds an engine without streams.
const MIN_UTILIZATION: f64 = 0.25;

/// The cost for a short request of an upstream that decodes a stream with a long prompt, in
/// milliseconds. Such an upstream is likely to prefill more long prompts.
const LONG_STREAM_COST_MS: f64 = 80.0;

/// The gain of sending a short request to an upstream whose request limit is outdated, in
/// milliseconds. It exceeds the cost of an upstream in the prefill set, which gets few requests.
const OUTDATED_LIMIT_GAIN_MS: f64 = 2.0 * PREFILL_SET_COST_MS;

/// The cost of an upstream on which a trial runs, in milliseconds. The trial may break off every
/// stream there.
const TRIAL_LEAD_COST_MS: f64 = 1_000.0;

/// The cost of the lead of a trial for each stream that it decodes, in milliseconds.
const TRIAL_STREAM_COST_MS: f64 = 400.0;

/// Plans the requests of one pool and keeps the ledger of its upstreams.
#[derive(Debug)]
pub struct Planner {
    pool: name::PoolName,
    timing: Option<engine::EngineTiming>,
    shortest_gap: unit::Millis,
    upstreams: collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    prefill_set: prefill_set::PrefillSet,
    health: health::UpstreamHealth,
    plans: collections::BTreeMap<grant::RequestId, ledger::PlanRecord>,
    /// The number of causes in the plans.
    planned_causes: usize,
    screening: crash_screening::CrashScreening,
    waiting: waiting::WaitingList,
    /// How much later than computed the responses to long prompts begin.
    prefill_delay: delay::Delay,
    request_limits: request_limits::RequestLimits,
    ejections: ejection::Ejections,
    cold: cold::ColdUpstreams,
    /// The availability zones to whose upstreams nothing new is sent.
    evacuated_zones: collections::BTreeSet<name::AvailabilityZoneName>,
    registry_generation: Option<u64>,
    quarantine_generation: Option<u64>,
}

impl Planner {
    /// Creates a planner without upstreams.
    pub fn new(pool: name::PoolName) -> Planner {
        Planner {
            pool,
            timing: None,
            shortest_gap: DEFAULT_GAP,
            upstreams: collections::BTreeMap::new(),
            prefill_set: prefill_set::PrefillSet::default(),
            health: health::UpstreamHealth::default(),
            plans: collections::BTreeMap::new(),
            planned_causes: 0,
            screening: crash_screening::CrashScreening::default(),
            waiting: waiting::WaitingList::default(),
            prefill_delay: delay::Delay::new(
                prefill_queue::DELAY_WEIGHT,
                prefill_queue::DELAY_HALF_LIFE_MS,
            ),
            request_limits: request_limits::RequestLimits::default(),
            ejections: ejection::Ejections::default(),
            cold: cold::ColdUpstreams::default(),
            evacuated_zones: collections::BTreeSet::new(),
            registry_generation: None,
            quarantine_generation: None,
        }
    }

    /// Returns `true` if the upstreams were set from another generation of the upstream registry.
    pub fn is_outdated(&self, generation: u64) -> bool {
        self.registry_generation != Some(generation)
    }

    /// Replaces the upstreams with the `ready` ones. An upstream that was present and has not
    /// restarted keeps its ledger.
    pub fn set_upstreams(&mut self, generation: u64, ready: &[upstream_registry::Entry]) {
        self.registry_generation = Some(generation);
        self.upstreams.retain(|name, upstream| {
            ready
                .iter()
                .any(|entry| entry.name == *name && entry.start_time == upstream.start_time())
        });
        self.waiting
            .retain_listed(|name| self.upstreams.contains_key(name));
        let start_time_of =
            |name: &name::UpstreamName| Some(self.upstreams.get(name)?.start_time());
        self.request_limits.retain_listed(start_time_of);
        for entry in ready {
            self.upstreams
                .entry(entry.name.clone())
                .and_modify(|upstream| upstream.set_entry(entry))
                .or_insert_with(|| upstream::Upstream::new(entry));
        }
        self.prefill_set.set_upstreams(self.upstreams.values());
        self.ejections.set_upstreams(&self.upstreams);
        self.leave_evacuated();
    }

    /// Sets the timing of the pool's engines and the shortest gap that a streaming route allows.
    pub fn set_timing(
        &mut self,
        timing: Option<engine::EngineTiming>,
        shortest_gap: Option<unit::Millis>,
    ) {
        self.timing = timing;
        self.shortest_gap = shortest_gap.unwrap_or(DEFAULT_GAP);
    }

    /// Plans a request and enters the plan in the ledger.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::NoUpstream`] if the pool has no upstream,
    /// [`error::Error::UpstreamsUnavailable`] if the request may use none of them,
    /// [`error::Error::PromptTooLong`] if the prompt exceeds the plannable memory of the pool,
    /// [`error::Error::AwaitingCapacity`] if the request has to wait for its turn,
    /// [`error::Error::NoCapacity`] if it would have to wait too long for its turn or if its caller
    /// would give up before the response begins, [`error::Error::NoHelper`] if
    /// no engine accepts a part of the prompt,
    /// [`error::Error::PlannerFull`] if the prompt has more parts than there is memory for,
    /// [`error::Error::PartHeldBack`] if upstreams crashed on a part of the prompt,
    /// [`error::Error::RequestQuarantined`] if they crashed on the request itself, and
    /// [`error::Error::WouldMissDeadline`] if the estimate of a request that one upstream serves
    /// alone leaves too little of its remaining time.
    pub fn plan(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> error::Result<plan::Plan> {
        self.release_expired(now);
        self.waiting.remove_expired(now);
        self.apply_limit_notices(now, request);
        self.refresh_cold(now, request);
        if self.open_upstream_count() == 0 {
            return Err(self.no_candidate());
        }
        if !self.has_room_for_causes(request.causes.len()) {
            return Err(error::Error::PlannerFull);
        }
        let isolation = self.screen(now, request)?;
        let isolated;
        let request = match isolation {
            screening::Isolation::None => request,
            // An upstream that is on trial itself would say nothing about the cause.
            screening::Isolation::Trial => {
                isolated = plan::PlanRequest {
                    repeatable: false,
                    ..request.clone()
                };
                &isolated
            }
        };
        if request.repeatable {
            self.ejections.record_repeatable(now);
        }
        self.check_request_limits(now, request)?;
        let plan = match self.timing {
            Some(timing) if self.is_long(request.size.prompt) => {
                self.plan_long_prompt(now, &timing, request, isolation)?
            }
            timing => self.plan_single(now, timing.as_ref(), request, isolation)?,
        };
        self.waiting.remove(request.waiting_id);
        self.request_limits
            .count(now, &plan.lead.upstream, request.planners);
        self.count_cold(now, &plan.lead.upstream, request.planners);
        if let Some(lead) = self.upstreams.get(&plan.lead.upstream) {
            let (from, zone) = (&request.availability_zone, lead.availability_zone());
            self.health.record_trial(now, from, zone);
        }
        let reported_plan = plan::ReportedPlan {
            pool: self.pool.clone(),
            plan,
            size: request.size,
            causes: request.causes.clone(),
            objective: request.objective,
            remaining: request.remaining,
            response_begun: false,
        };
        self.record_plan(now, &reported_plan);
        let lead = &reported_plan.plan.lead.upstream;
        if self.ejections.is_due(now, lead, request.repeatable) {
            self.ejections.begin_trial(lead, reported_plan.plan.id);
        }
        if isolation == screening::Isolation::Trial {
            self.begin_trial(&reported_plan);
        }
        Ok(reported_plan.plan)
    }

    /// Returns `true` if a prompt is prefilled by several engines.
    fn is_long(&self, prompt: unit::Tokens) -> bool {
        let limit = self.shortest_gap.0 as f64 * LONG_PROMPT_FRACTION;
        let exceeds_limit = |timing: engine::EngineTiming| timing.prefill_ms(prompt) > limit;
        self.timing.is_some_and(exceeds_limit) && self.upstreams.len() > 1
    }

    /// Plans a request that one upstream serves without helpers.
    fn plan_single(
        &mut self,
        now: unit::Timestamp,
        timing: Option<&engine::EngineTiming>,
        request: &plan::PlanRequest,
        isolation: screening::Isolation,
    ) -> error::Result<plan::Plan> {
        self.resize_prefill_set(now, timing, request);
        let in_time =
            self.choose_single(now, timing, request, isolation, plan::Timeliness::InTime)?;
        let may_be_late = timing.is_some() && !request.is_resumed;
        if !may_be_late || in_time.meets_objective(request) {
            return in_time.admit(request);
        }
        let late = self.choose_single(now, timing, request, isolation, plan::Timeliness::Late)?;
        late.admit(request)
    }

    /// Chooses the upstream that serves a request alone, with the lowest cost if the request has the
    /// given timeliness.
    fn choose_single(
        &self,
        now: unit::Timestamp,
        timing: Option<&engine::EngineTiming>,
        request: &plan::PlanRequest,
        isolation: screening::Isolation,
        timeliness: plan::Timeliness,
    ) -> error::Result<admission::Candidate> {
        let utilization = self.prefill_set.utilization(now).max(MIN_UTILIZATION);
        let prefill_set_cost_ms = PREFILL_SET_COST_MS * utilization;
        let cost = |upstream: &upstream::Upstream| {
            let cost = upstream.estimate(now, timing, request.size, timeliness);
            let in_prefill_set = self.prefill_set.contains(upstream.name());
            let decodes_long = upstream.stream_count_of(upstream::PromptLength::Long) > 0;
            cost + self.failure_and_zone_cost(now, upstream, request)
                + isolation_cost(upstream, isolation)
                + if self.would_be_trial(now, request, upstream) {
                    -ejection::TRIAL_GAIN_MS
                } else {
                    0.0
                }
                + if self.request_limits.is_outdated(now, upstream.name()) {
                    -OUTDATED_LIMIT_GAIN_MS
                } else {
                    0.0
                }
                + if in_prefill_set {
                    prefill_set_cost_ms
                } else {
                    0.0
                }
                + if decodes_long {
                    LONG_STREAM_COST_MS
                } else {
                    0.0
                }
        };
        let lead = self
            .candidates(now, request)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .ok_or_else(|| self.no_candidate())?;
        // The penalties in the cost are preferences and do not delay the response.
        Ok(admission::Candidate {
            lead: lead.address(),
            estimate_ms: lead.estimate(now, timing, request.size, timeliness),
            timeliness,
        })
    }

    /// Resizes the prefill set, counting only the engines that the request can reach and may use.
    fn resize_prefill_set(
        &mut self,
        now: unit::Timestamp,
        timing: Option<&engine::EngineTiming>,
        request: &plan::PlanRequest,
    ) {
        let Some(timing) = timing else {
            return;
        };
        let (health, limits) = (&self.health, &self.request_limits);
        let (ejections, cold) = (&self.ejections, &self.cold);
        let evacuated = &self.evacuated_zones;
        let zone = &request.availability_zone;
        let reachable = prefill_set::ReachableUpstreams {
            upstreams: &self.upstreams,
            is_reachable: &|upstream| {
                evacuation::is_available(request, evacuated, upstream)
                    && health.is_reliable(now, zone, upstream)
                    && ejections.is_serving(upstream.name())
            },
            is_limited: &|name| limits.is_limited(name) || cold.is_cold(now, name),
        };
        self.prefill_set
            .resize(now, timing, &reachable, self.waiting.demand());
    }

    /// Returns the available and reachable upstreams that the request has not tried yet.
    ///
    /// If every such upstream has been tried, returns all of them. If none is reachable,
    /// reachability is ignored. Unavailable upstreams, those whose request limit or cold limit is reached and,
    /// while another one is reachable, ejected ones are never returned.
    fn candidates<'a>(
        &'a self,
        now: unit::Timestamp,
        request: &'a plan::PlanRequest,
    ) -> impl Iterator<Item = &'a upstream::Upstream> {
        let zone = &request.availability_zone;
        let reachable =
            move |upstream: &&upstream::Upstream| self.health.is_reachable(now, zone, upstream);
        let untried =
            |upstream: &&upstream::Upstream| !request.excluded_upstreams.contains(upstream.name());
        let available = self.upstreams.values();
        let any_in_service = self.reaches_any_in_service(now, request);
        let available = available.filter(move |upstream| {
            self.is_usable(request, upstream)
                && self.limits_allow(now, upstream)
                && (!any_in_service || self.admits(now, request, upstream))
        });
        let any_untried = available
            .clone()
            .any(|upstream| reachable(&upstream) && untried(&upstream));
        let any_reachable = available.clone().any(|upstream| reachable(&upstream));
        available.filter(move |upstream| {
            (!any_reachable || reachable(upstream)) && (!any_untried || untried(upstream))
        })
    }

    /// Returns the error for a request without candidates.
    fn no_candidate(&self) -> error::Error {
        if self.upstreams.is_empty() {
            error::Error::NoUpstream(self.pool.clone())
        } else {
            error::Error::UpstreamsUnavailable(self.pool.clone())
        }
    }

    /// Returns the cost of an upstream for its failures and its availability zone, in milliseconds.
    fn failure_and_zone_cost(
        &self,
        now: unit::Timestamp,
        upstream: &upstream::Upstream,
        request: &plan::PlanRequest,
    ) -> f64 {
        let remote = *upstream.availability_zone() != request.availability_zone;
        self.health.failure_rate(now, upstream.name()) * FAILURE_COST_MS
            + if remote { REMOTE_ZONE_COST_MS } else { 0.0 }
    }
}

/// Returns the cost of an upstream for keeping trials and other requests apart, in milliseconds.
fn isolation_cost(upstream: &upstream::Upstream, isolation: screening::Isolation) -> f64 {
    let trial_cost = if upstream.has_trial() {
        TRIAL_LEAD_COST_MS
    } else {
        0.0
    };
    match isolation {
        screening::Isolation::None => trial_cost,
        screening::Isolation::Trial => {
            trial_cost + upstream.stream_count() as f64 * TRIAL_STREAM_COST_MS
        }
    }
}
