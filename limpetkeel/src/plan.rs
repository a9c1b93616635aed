//! Where a relayed request runs.

use crate::{grant, ingress, name, unit, work};

/// What an instance asks a planner for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// The identity of the request and of its plan.
    pub id: grant::RequestId,
    /// The pool that may serve it.
    pub pool: name::PoolName,
    /// Where the asking instance runs.
    pub availability_zone: name::AvailabilityZoneName,
    /// Its size; nothing for calls of plain services.
    pub work: work::Work,
    /// When its answer has its full value.
    pub objective: ingress::Objective,
    /// The time that is left to it. A span, since instances do not share a clock.
    pub remaining: unit::Millis,
    /// Upstreams that already failed or declined it.
    pub avoid: Vec<name::UpstreamName>,
}

/// An engine that reads a part of a prompt for the lead.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Helper {
    /// The engine.
    pub place: grant::Place,
    /// Memory to reserve there, in which it keeps a part of the prompt.
    pub reserve: Option<unit::Tokens>,
}

/// Where a request runs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Plan {
    /// The request.
    pub id: grant::RequestId,
    /// The upstream that gets the request and writes the answer.
    pub lead: grant::Place,
    /// Engines that read parts of the prompt, those with a reservation first.
    pub helpers: Vec<Helper>,
    /// The time to the first token that the planner expects.
    pub estimate: unit::Millis,
}

/// How one upstream fared with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// It answered well.
    Good,
    /// It could not be reached.
    Unreachable,
    /// It declined the request, or another upstream could not work with it.
    Declined,
    /// It failed, or fell silent.
    Failed,
    /// Nothing can be said: the caller left, or another upstream failed.
    Unjudged,
}

/// The end of a plan, or of one attempt under it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Settlement {
    /// The pool.
    pub pool: name::PoolName,
    /// The plan.
    pub id: grant::RequestId,
    /// Where the instance runs that reports.
    pub availability_zone: name::AvailabilityZoneName,
    /// The upstream that the verdict is about.
    pub upstream: name::UpstreamName,
    /// How it fared.
    pub verdict: Verdict,
    /// Whether the answer began, so that the prompt was read.
    pub begun: bool,
}

/// A plan that an instance holds, for a planner that did not make it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Assertion {
    /// The pool.
    pub pool: name::PoolName,
    /// The plan.
    pub plan: Plan,
    /// The size of the request.
    pub work: work::Work,
    /// When its answer has its full value.
    pub objective: ingress::Objective,
    /// The time that is left to the request.
    pub remaining: unit::Millis,
    /// Whether the answer has begun, so that the prompt was read.
    pub begun: bool,
}
