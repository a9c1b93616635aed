//! The life cycle of a relayed request, one type for each state.
//!
//! `Routed` becomes `Placed` with a plan, `Placed` becomes `Sent` when the first byte may leave,
//! and `Sent` ends, or returns to `Routed` when another upstream may be tried. What the caller may
//! be told follows from the history: a request that may have run is never called not run.

use crate::{error, ingress, name, plan, unit};

/// The request waits for a plan.
#[derive(Debug)]
pub struct Routed(());

/// A planner chose where the request runs.
#[derive(Debug)]
pub struct Placed {
    plan: plan::Plan,
}

/// The request may be running.
#[derive(Debug)]
pub struct Sent {
    plan: plan::Plan,
    ran_before: bool,
}

/// What a request is, apart from its state.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The route.
    pub route: name::RouteName,
    /// The pool.
    pub pool: name::PoolName,
    /// Whether it may run again.
    pub repeat: ingress::Repeat,
    /// The upstreams that it may be sent to.
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
    delivered: Option<u64>,
    tried: Vec<name::UpstreamName>,
    state: S,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// It may have run, and may run only once.
    MayHaveRun,
    /// It was sent to as many upstreams as its route allows.
    SendsUsed,
    /// Too little of its time is left.
    OutOfTime,
}

/// Another attempt needs at least this long, or it cannot be answered in time.
const LEAST_TIME: unit::Millis = unit::Millis(30);

impl<S> Exchange<S> {
    /// Returns what the request is.
    pub fn subject(&self) -> &Subject {
        &self.subject
    }

    /// Returns when the request arrived.
    pub fn received(&self) -> unit::Timestamp {
        self.received
    }

    /// Returns the time by which the caller gets a final answer.
    pub fn deadline(&self) -> unit::Timestamp {
        self.deadline
    }

    /// Returns the upstreams to which the request was sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Returns the last event that the caller has, if any.
    pub fn delivered(&self) -> Option<u64> {
        self.delivered
    }

    /// Returns the upstreams that failed or declined the request.
    pub fn tried(&self) -> &[name::UpstreamName] {
        &self.tried
    }

    /// Returns what the caller may conclude when the request ends without an answer now.
    pub fn outcome(&self) -> error::Outcome {
        match (self.may_have_run, self.subject.repeat) {
            (false, _) => error::Outcome::NotRun,
            (true, ingress::Repeat::Never) => error::Outcome::Unknown,
            (true, _) => error::Outcome::Failed,
        }
    }

    /// Tells whether the request may be sent again, now or when its present attempt has failed.
    ///
    /// # Errors
    ///
    /// Fails with the reason why not.
    pub fn may_send(&self, now: unit::Timestamp) -> Result<(), Final> {
        if self.may_have_run && self.subject.repeat == ingress::Repeat::Never {
            return Err(Final::MayHaveRun);
        }
        if self.sends >= self.subject.max_sends {
            return Err(Final::SendsUsed);
        }
        if self.deadline.since(now) < LEAST_TIME {
            return Err(Final::OutOfTime);
        }
        Ok(())
    }

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
    /// Creates a request that has to end at `deadline`; its caller may have events already.
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

    /// Takes the plan.
    pub fn place(self, plan: plan::Plan) -> Exchange<Placed> {
        self.into_state(Placed { plan }).0
    }

    /// Goes on with an earlier attempt that was only silent; nothing is sent.
    pub fn go_on(self, plan: plan::Plan) -> Exchange<Sent> {
        let sent = Sent {
            plan,
            ran_before: true,
        };
        self.into_state(sent).0
    }
}

impl Exchange<Placed> {
    /// Returns the plan.
    pub fn plan(&self) -> &plan::Plan {
        &self.state.plan
    }

    /// Starts an attempt: from here on the request may have run.
    pub fn send(mut self) -> Exchange<Sent> {
        self.sends += 1;
        let ran_before = std::mem::replace(&mut self.may_have_run, true);
        let (exchange, placed) = self.into_state(());
        let sent = Sent {
            plan: placed.plan,
            ran_before,
        };
        exchange.into_state(sent).0
    }

    /// Gives the plan up: the upstream was not reached, so nothing was sent.
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

    /// Decides about an event by its number, and tells whether the caller still needs it.
    pub fn accept(&mut self, event: u64) -> bool {
        let next = self.delivered.is_none_or(|last| event > last);
        if next {
            self.delivered = Some(event);
        }
        next
    }

    /// Returns to `Routed` after the upstream stated that it did not run the request.
    pub fn declined(mut self, at_fault: Option<name::UpstreamName>) -> Exchange<Routed> {
        self.may_have_run = self.state.ran_before;
        let at_fault = at_fault.unwrap_or_else(|| self.state.plan.lead.upstream.clone());
        self.tried.push(at_fault);
        self.into_state(Routed(())).0
    }

    /// Returns to `Routed` after the attempt failed; the request may have run.
    pub fn failed(mut self) -> Exchange<Routed> {
        self.tried.push(self.state.plan.lead.upstream.clone());
        self.into_state(Routed(())).0
    }
}
