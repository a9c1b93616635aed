//! The life cycle of a relayed request, one type for each state.
//!
//! `Routed` becomes `Placed` with a plan. `Placed` becomes `Sent` when the first byte may have been
//! sent. `Sent` becomes `Hedged` with a second attempt until one of the two goes on as `Sent`. `Sent`
//! ends, or returns to `Routed` if the request can be retried. The outcome that is
//! reported to the caller depends on all attempts: a request that may have run is never reported as
//! not run.

use crate::{error, ingress, name, plan, unit};

/// The state of a request that waits for a plan.
#[derive(Debug)]
pub struct Routed(());

/// The state of a request that has a plan and has not been sent under it.
#[derive(Debug)]
pub struct Placed {
    plan: plan::Plan,
}

/// The state of a request that may be running.
#[derive(Debug)]
pub struct Sent {
    plan: plan::Plan,
    /// Whether an earlier attempt may have run.
    may_have_run_before: bool,
}

/// The state of a request that may be running on two upstreams.
#[derive(Debug)]
pub struct Hedged {
    first: plan::Plan,
    second: plan::Plan,
}

/// The properties of a request that do not depend on its state.
#[derive(Clone, Debug)]
pub struct RelayedRequestInfo {
    /// The route.
    pub route: name::RouteName,
    /// The pool.
    pub pool: name::PoolName,
    /// How the request may be retried.
    pub retry_policy: ingress::RetryPolicy,
    /// The largest number of times that the request may be sent.
    pub max_sends: u32,
}

/// A relayed request in one state of its life cycle.
#[derive(Debug)]
pub struct RelayedRequest<S> {
    info: RelayedRequestInfo,
    received: unit::Timestamp,
    deadline: unit::Timestamp,
    send_count: u32,
    may_have_run: bool,
    /// The number of the last event that was delivered to the caller.
    last_delivered_event: Option<u64>,
    /// The upstreams that failed or declined the request.
    tried_upstreams: Vec<name::UpstreamName>,
    /// The upstreams of plans that contradicted the local tables. They are never used.
    stale_upstreams: Vec<name::UpstreamName>,
    state: S,
}

/// The reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRetryReason {
    /// The request may have run and must run at most once.
    MayHaveRun,
    /// The request was sent as many times as its route allows.
    MaxSendsReached,
    /// The deadline is too close for another attempt.
    DeadlineTooClose,
}

/// The shortest time before the deadline in which an attempt can still succeed.
const MIN_ATTEMPT_TIME: unit::Millis = unit::Millis(30);

impl<S> RelayedRequest<S> {
    /// Returns the properties of the request.
    pub fn info(&self) -> &RelayedRequestInfo {
        &self.info
    }

    /// Returns when the request arrived.
    pub fn received(&self) -> unit::Timestamp {
        self.received
    }

    /// Returns the time by which the caller receives the final response.
    pub fn deadline(&self) -> unit::Timestamp {
        self.deadline
    }

    /// Shortens the deadline to `end` if that is earlier.
    pub fn limit_deadline(&mut self, end: unit::Timestamp) {
        self.deadline = self.deadline.min(end);
    }

    /// Returns how many times the request was sent.
    pub fn send_count(&self) -> u32 {
        self.send_count
    }

    /// Returns the number of the last event that was delivered to the caller, if any.
    pub fn last_delivered_event(&self) -> Option<u64> {
        self.last_delivered_event
    }

    /// Returns the upstreams that failed or declined the request.
    pub fn tried_upstreams(&self) -> &[name::UpstreamName] {
        &self.tried_upstreams
    }

    /// Returns the upstreams of plans that contradicted the local tables.
    pub fn stale_upstreams(&self) -> &[name::UpstreamName] {
        &self.stale_upstreams
    }

    /// Returns `true` if the request may be sent again after its next attempt, should that fail.
    pub fn is_repeatable(&self) -> bool {
        self.info.retry_policy != ingress::RetryPolicy::Never
            && self.send_count + 1 < self.info.max_sends
    }

    /// Returns the outcome that is reported to the caller if the request ends now without a
    /// response.
    pub fn outcome(&self) -> error::Outcome {
        match (self.may_have_run, self.info.retry_policy) {
            (false, _) => error::Outcome::NotRun,
            (true, ingress::RetryPolicy::Never) => error::Outcome::Unknown,
            (true, _) => error::Outcome::Failed,
        }
    }

    /// Checks whether the request may be sent, now or after the current attempt has failed.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent.
    pub fn check_send(&self, now: unit::Timestamp) -> Result<(), NoRetryReason> {
        if self.may_have_run && self.info.retry_policy == ingress::RetryPolicy::Never {
            return Err(NoRetryReason::MayHaveRun);
        }
        if self.send_count >= self.info.max_sends {
            return Err(NoRetryReason::MaxSendsReached);
        }
        if self.deadline.since(now) < MIN_ATTEMPT_TIME {
            return Err(NoRetryReason::DeadlineTooClose);
        }
        Ok(())
    }

    /// Replaces the state and returns the previous one.
    fn into_state<T>(self, state: T) -> (RelayedRequest<T>, S) {
        let relayed = RelayedRequest {
            info: self.info,
            received: self.received,
            deadline: self.deadline,
            send_count: self.send_count,
            may_have_run: self.may_have_run,
            last_delivered_event: self.last_delivered_event,
            tried_upstreams: self.tried_upstreams,
            stale_upstreams: self.stale_upstreams,
            state,
        };
        (relayed, self.state)
    }
}

impl RelayedRequest<Routed> {
    /// Creates a request without a plan. `last_delivered_event` is the number of the last event
    /// that the caller received on an earlier connection, if any.
    pub fn new(
        info: RelayedRequestInfo,
        received: unit::Timestamp,
        deadline: unit::Timestamp,
        last_delivered_event: Option<u64>,
    ) -> RelayedRequest<Routed> {
        RelayedRequest {
            info,
            received,
            deadline,
            send_count: 0,
            may_have_run: false,
            last_delivered_event,
            tried_upstreams: Vec::new(),
            stale_upstreams: Vec::new(),
            state: Routed(()),
        }
    }

    /// Sets the plan.
    pub fn place(self, plan: plan::Plan) -> RelayedRequest<Placed> {
        self.into_state(Placed { plan }).0
    }

    /// Continues an earlier attempt that had stopped sending events. Nothing is sent and no send is
    /// counted.
    pub fn continue_attempt(self, plan: plan::Plan) -> RelayedRequest<Sent> {
        let sent = Sent {
            plan,
            may_have_run_before: true,
        };
        self.into_state(sent).0
    }
}

impl RelayedRequest<Placed> {
    /// Returns the plan.
    pub fn plan(&self) -> &plan::Plan {
        &self.state.plan
    }

    /// Starts an attempt. Afterwards the request may have run.
    pub fn send(mut self) -> RelayedRequest<Sent> {
        self.send_count += 1;
        let may_have_run_before = std::mem::replace(&mut self.may_have_run, true);
        let (relayed, placed) = self.into_state(());
        let sent = Sent {
            plan: placed.plan,
            may_have_run_before,
        };
        relayed.into_state(sent).0
    }

    /// Returns to `Routed` after the upstream could not be reached. Nothing was sent.
    pub fn into_unreachable(mut self) -> RelayedRequest<Routed> {
        self.tried_upstreams
            .push(self.state.plan.lead.upstream.clone());
        self.into_state(Routed(())).0
    }

    /// Returns to `Routed` with a plan that contradicts the local tables because of an upstream.
    /// Nothing was sent.
    pub fn into_stale(mut self, upstream: name::UpstreamName) -> RelayedRequest<Routed> {
        self.stale_upstreams.push(upstream);
        self.into_state(Routed(())).0
    }
}

impl RelayedRequest<Sent> {
    /// Returns the plan.
    pub fn plan(&self) -> &plan::Plan {
        &self.state.plan
    }

    /// Starts a second attempt beside the first one.
    pub fn hedge(mut self, second: plan::Plan) -> RelayedRequest<Hedged> {
        self.send_count += 1;
        let (relayed, sent) = self.into_state(());
        let first = sent.plan;
        relayed.into_state(Hedged { first, second }).0
    }

    /// Records that the event with this number is delivered to the caller. Returns `false` if the
    /// caller has already received it.
    pub fn record_delivered(&mut self, event: u64) -> bool {
        let is_new = self.last_delivered_event.is_none_or(|last| event > last);
        if is_new {
            self.last_delivered_event = Some(event);
        }
        is_new
    }

    /// Returns to `Routed` after the upstream reported that it did not run the request. `at_fault`
    /// is the upstream to avoid, the lead if `None`.
    pub fn into_declined(mut self, at_fault: Option<name::UpstreamName>) -> RelayedRequest<Routed> {
        self.may_have_run = self.state.may_have_run_before;
        let at_fault = at_fault.unwrap_or_else(|| self.state.plan.lead.upstream.clone());
        self.tried_upstreams.push(at_fault);
        self.into_state(Routed(())).0
    }

    /// Returns to `Routed` after the attempt failed. The request may have run.
    pub fn into_failed(mut self) -> RelayedRequest<Routed> {
        self.tried_upstreams
            .push(self.state.plan.lead.upstream.clone());
        self.into_state(Routed(())).0
    }
}

impl RelayedRequest<Hedged> {
    /// Returns the plan of the first attempt.
    pub fn first(&self) -> &plan::Plan {
        &self.state.first
    }

    /// Returns the plan of the second attempt.
    pub fn second(&self) -> &plan::Plan {
        &self.state.second
    }

    /// Continues with the first attempt, after the second one was cancelled or has failed.
    pub fn into_first(self) -> RelayedRequest<Sent> {
        let (relayed, hedged) = self.into_state(());
        relayed.continue_hedged(hedged.first, hedged.second)
    }

    /// Continues with the second attempt, after the first one was cancelled or has failed.
    pub fn into_second(self) -> RelayedRequest<Sent> {
        let (relayed, hedged) = self.into_state(());
        relayed.continue_hedged(hedged.second, hedged.first)
    }
}

impl RelayedRequest<()> {
    /// Continues with one of two attempts. The upstream of the other one may have run the request.
    fn continue_hedged(mut self, plan: plan::Plan, other: plan::Plan) -> RelayedRequest<Sent> {
        self.tried_upstreams.push(other.lead.upstream);
        let sent = Sent {
            plan,
            may_have_run_before: true,
        };
        self.into_state(sent).0
    }
}
