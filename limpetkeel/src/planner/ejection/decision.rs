//! Evidence about upstreams, and what a planner decides from it.

use crate::name;

/// The kind of failure for which an upstream is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// An error response, a malformed one, or a connection that broke.
    Failed,
    /// A connection that broke before the response began.
    Crashed,
    /// No response, or a stream that stopped.
    Silent,
    /// Responses that begin much later than estimated.
    Slow,
    /// Requests were declined although slots were free.
    Declined,
}

/// What a result says about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::planner) enum Evidence {
    Success,
    Failure(Reason),
}

/// What a planner has decided about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionDecisionKind {
    /// The upstream gets no more requests.
    Ejected(Reason),
    /// A trial or one of the first requests after it has failed.
    EjectedAgain(Reason),
    /// The upstream is in service again, since it has served requests.
    Recovered,
    /// The upstream is in service again, since the others fail as well.
    SharedFailure,
    /// The upstream is in service again, since another one has failed more often.
    Replaced,
}

impl EjectionDecisionKind {
    /// Returns the reason in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            EjectionDecisionKind::Ejected(reason) | EjectionDecisionKind::EjectedAgain(reason) => {
                match reason {
                    Reason::Failed => "failed",
                    Reason::Crashed => "crashed",
                    Reason::Silent => "silent",
                    Reason::Slow => "slow",
                    Reason::Declined => "declined",
                }
            }
            EjectionDecisionKind::Recovered => "recovered",
            EjectionDecisionKind::SharedFailure => "shared_failure",
            EjectionDecisionKind::Replaced => "replaced",
        }
    }

    /// Returns `true` if the upstream was ejected.
    pub fn is_ejection(self) -> bool {
        matches!(
            self,
            EjectionDecisionKind::Ejected(_) | EjectionDecisionKind::EjectedAgain(_)
        )
    }
}

/// A decision of a planner about an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectionDecision {
    /// The upstream.
    pub upstream: name::UpstreamName,
    /// The decision.
    pub kind: EjectionDecisionKind,
    /// The number of upstreams of the pool that are ejected now.
    pub ejected: usize,
}
