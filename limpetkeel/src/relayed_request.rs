//! The life cycle of a relayed request, one type for each state.
//!
//! `Routed` becomes `Placed` with a plan. `Placed` becomes `Sent` when the first byte may have been
//! sent. `Sent` ends, or returns to `Routed` if the request can be retried. The outcome that is
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

/// The properties of a request that do not depend on its state.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The route.
    pub route: name::RouteName,
    /// The pool.
    pub pool: name::PoolName,
    /// How the request may be retried.
    pub repeat: ingress::Repeat,
    /// The largest number of times that the request may be sent.
    pub max_sends: u32,
}

/// A relayed request in one state of its life cycle.
#[derive(Debug)]
pub struct Exchange<S> {
    subject: Subject,
    received: unit::Timestamp,
    deadline: unit::Timestamp,
    sends: u32,
    may_have_run: bool,
    /// The number of the last event that was delivered to the caller.
    delivered: Option<u64>,
    /// The upstreams that failed or declined the request.
    tried: Vec<name::UpstreamName>,
    state: S,
}

/// The reason why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// The request may have run and must run at most once.
    MayHaveRun,
    /// The request was sent as many times as its route allows.
    SendsUsed,
    /// The deadline is too close for another attempt.
    OutOfTime,
}

/// The shortest time before the deadline in which an attempt can still succeed.
const MIN_ATTEMPT_TIME: unit::Millis = unit::Millis(30);

impl<S> Exchange<S> {
    /// Returns the properties of the request.
    pub fn subject(&self) -> &Subject {
        &self.subject
    }

    /// Returns when the request arrived.
    pub fn received(&self) -> unit::Timestamp {
        self.received
    }

    /// Returns the time by which the caller receives the final response.
    pub fn deadline(&self) -> unit::Timestamp {
        self.deadline
    }

    /// Returns how many times the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the number of the last event that was delivered to the caller, if any.
    pub fn delivered(&self) -> Option<u64> {
        self.delivered
    }

    /// Returns the upstreams that failed or declined the request.
    pub fn tried(&self) -> &[name::UpstreamName] {
        &self.tried
    }

    /// Returns the outcome that is reported to the caller if the request ends now without a
    /// response.
    pub fn outcome(&self) -> error::Outcome {
        match (self.may_have_run, self.subject.repeat) {
            (false, _) => error::Outcome::NotRun,
            (true, ingress::Repeat::Never) => error::Outcome::Unknown,
            (true, _) => error::Outcome::Failed,
        }
    }

    /// Checks whether the request may be sent, now or after the current attempt has failed.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not be sent.
    pub fn may_send(&self, now: unit::Timestamp) -> Result<(), Final> {
        if self.may_have_run && self.subject.repeat == ingress::Repeat::Never {
            return Err(Final::MayHaveRun);
        }
        if self.sends >= self.subject.max_sends {
            return Err(Final::SendsUsed);
        }
        if self.deadline.since(now) < MIN_ATTEMPT_TIME {
            return Err(Final::OutOfTime);
        }
        Ok(())
    }

    /// Replaces the state and returns the previous one.
    fn into_state<T>(self, state: T) -> (Exchange<T>, S) {
        let exchange = Exchange {
            subject: self.subject,
            received: self.received,
            deadline: self.deadline,
            sends: self.sends,
            may_have_run: self.may_have_run,
            delivered: self.delivered,
            tried: self.tried,
            state,
        };
        (exchange, self.state)
    }
}

impl Exchange<Routed> {
    /// Creates a request without a plan. `delivered` is the number of the last event that the caller
    /// received on an earlier connection, if any.
    pub fn new(
        subject: Subject,
        received: unit::Timestamp,
        deadline: unit::Timestamp,
        delivered: Option<u64>,
    ) -> Exchange<Routed> {
        Exchange {
            subject,
            received,
            deadline,
            sends: 0,
            may_have_run: false,
            delivered,
            tried: Vec::new(),
            state: Routed(()),
        }
    }

    /// Sets the plan.
    pub fn place(self, plan: plan::Plan) -> Exchange<Placed> {
        self.into_state(Placed { plan }).0
    }

    /// Resumes an earlier attempt that had stopped sending events. Nothing is sent and no send is
    /// counted.
    pub fn go_on(self, plan: plan::Plan) -> Exchange<Sent> {
        let sent = Sent {
            plan,
            may_have_run_before: true,
        };
        self.into_state(sent).0
    }
}

impl Exchange<Placed> {
    /// Returns the plan.
    pub fn plan(&self) -> &plan::Plan {
        &self.state.plan
    }

    /// Starts an attempt. Afterwards the request may have run.
    pub fn send(mut self) -> Exchange<Sent> {
        self.sends += 1;
        let may_have_run_before = std::mem::replace(&mut self.may_have_run, true);
        let (exchange, placed) = self.into_state(());
        let sent = Sent {
            plan: placed.plan,
            may_have_run_before,
        };
        exchange.into_state(sent).0
    }

    /// Returns to `Routed` after the upstream could not be reached. Nothing was sent.
    pub fn unreached(mut self) -> Exchange<Routed> {
        self.tried.push(self.state.plan.lead.upstream.clone());
        self.into_state(Routed(())).0
    }
}

impl Exchange<Sent> {
    /// Returns the plan.
    pub fn plan(&self) -> &plan::Plan {
        &self.state.plan
    }

    /// Records that the event with this number is delivered to the caller. Returns `false` if the
    /// caller has already received it.
    pub fn accept(&mut self, event: u64) -> bool {
        let is_new = self.delivered.is_none_or(|last| event > last);
        if is_new {
            self.delivered = Some(event);
        }
        is_new
    }

    /// Returns to `Routed` after the upstream reported that it did not run the request. `at_fault`
    /// is the upstream to avoid, the lead if `None`.
    pub fn declined(mut self, at_fault: Option<name::UpstreamName>) -> Exchange<Routed> {
        self.may_have_run = self.state.may_have_run_before;
        let at_fault = at_fault.unwrap_or_else(|| self.state.plan.lead.upstream.clone());
        self.tried.push(at_fault);
        self.into_state(Routed(())).0
    }

    /// Returns to `Routed` after the attempt failed. The request may have run.
    pub fn failed(mut self) -> Exchange<Routed> {
        self.tried.push(self.state.plan.lead.upstream.clone());
        self.into_state(Routed(())).0
    }
}
