//! Plans of relayed requests and the messages about them between instances and planners.

use crate::{crash_cause, grant, ingress, name, request_limit, request_size, revision, unit};

/// A request for a plan.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PlanRequest {
    /// The ID of the request and of its plan.
    pub id: grant::RequestId,
    /// The pool that serves the request.
    pub pool: name::PoolName,
    /// The availability zone of the instance that needs the plan.
    pub availability_zone: name::AvailabilityZoneName,
    /// The size of the request; zero for a plain service.
    pub size: request_size::RequestSize,
    /// What may crash the upstreams that run the request: the request itself, then the parts of its
    /// prompt that others may share.
    pub causes: Vec<crash_cause::CrashCause>,
    /// The latency objective of the request.
    pub objective: ingress::LatencyObjective,
    /// The time until the deadline. It is a duration since instances do not share a clock.
    pub remaining: unit::Millis,
    /// Identifies the request while it waits for its turn. It is the same in all of its plan requests.
    pub waiting_id: grant::RequestId,
    /// The time since the instance received the request.
    pub waited: unit::Millis,
    /// Whether the request may have run. Its caller could not be told to return, so that it is
    /// planned as long as its deadline allows.
    pub may_have_run: bool,
    /// Whether the caller has received a part of the response.
    pub is_resumed: bool,
    /// The upstreams that failed or declined the request. They are used only if no other one is
    /// left.
    pub excluded_upstreams: Vec<name::UpstreamName>,
    /// The upstreams that accept no requests from the instance. They are never used.
    pub unavailable_upstreams: Vec<name::UpstreamName>,
    /// The announcements of request limits that the instance has received.
    pub limits: Vec<request_limit::LimitNotice>,
    /// Whether the request may be sent again if this plan fails.
    pub repeatable: bool,
    /// The number of planners that may plan for the pool without knowing each other's plans.
    pub planners: u32,
    /// The revision of the latest change that the instance knows and that concerns the placement of
    /// the request. The planner's tables must include it.
    pub known_revision: revision::Revision,
}

/// An engine that prefills a part of a prompt for the lead.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Helper {
    /// The engine.
    pub engine: grant::UpstreamAddress,
    /// The memory to reserve on the engine for its part of the prompt, if any.
    pub reserve: Option<unit::Tokens>,
}

/// Whether the first event of a response is expected within its objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Timeliness {
    /// The objective can be met. Engines admit the request before late ones of its priority.
    #[default]
    InTime,
    /// The objective will be missed, so that requests in time go first.
    Late,
}

/// The upstreams that serve a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Plan {
    /// The ID of the request.
    pub id: grant::RequestId,
    /// The upstream that receives the request and sends the response.
    pub lead: grant::UpstreamAddress,
    /// The engines that prefill parts of the prompt, those with a reservation first.
    pub helpers: Vec<Helper>,
    /// The estimated time to the first token.
    pub estimate: unit::Millis,
    /// Whether the objective can be met.
    pub timeliness: Timeliness,
}

/// The result of an attempt on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AttemptResult {
    /// The upstream sent a successful response.
    Succeeded,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream declined the request, or another upstream reported it as faulty.
    Declined,
    /// The upstream sent an error or a malformed response, or the connection broke.
    Failed,
    /// The connection broke before the response began, or the upstream ended during the response.
    Crashed,
    /// The result says nothing about the upstream, since the caller disconnected or another
    /// upstream failed.
    Inconclusive,
    /// The upstream sent no response in time, or stopped sending.
    Silent,
    /// The path from the instance to the upstream failed, while others reach the upstream.
    PathFailed,
}

/// A report that a plan, or one attempt of it, has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PlanResult {
    /// The pool.
    pub pool: name::PoolName,
    /// The ID of the plan.
    pub id: grant::RequestId,
    /// The availability zone of the reporting instance.
    pub availability_zone: name::AvailabilityZoneName,
    /// The upstream of the attempt.
    pub upstream: name::UpstreamName,
    /// The result of the attempt.
    pub result: AttemptResult,
    /// Whether the response has begun, which means that the prompt was prefilled.
    pub response_begun: bool,
}

/// A plan that an instance reports to a planner that did not make it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReportedPlan {
    /// The pool.
    pub pool: name::PoolName,
    /// The plan.
    pub plan: Plan,
    /// The size of the request.
    pub size: request_size::RequestSize,
    /// What may crash the upstreams that run the request: the request itself, then the parts of its
    /// prompt that others may share.
    pub causes: Vec<crash_cause::CrashCause>,
    /// The latency objective of the request.
    pub objective: ingress::LatencyObjective,
    /// The time until the deadline of the request.
    pub remaining: unit::Millis,
    /// Whether the response has begun, which means that the prompt was prefilled.
    pub response_begun: bool,
}
