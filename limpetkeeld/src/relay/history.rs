//! What is known of a request when it ends, also when its time is up in the middle of a step.

use limpetkeel::{Exchange, Final, Millis, Outcome, Plan, Routed, Timestamp, UpstreamName};

use crate::relay::{call, outlet, port, shared};

/// When a caller should come back that found no room.
const COME_BACK: Millis = Millis(400);

/// Why a request ends without the answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The planner refused it.
    NoPlan,
    /// Upstreams were not reached too often.
    Unreached,
    /// It may not be sent again.
    Final(Final),
    /// The shared budget of repeats is spent.
    NoBudget,
    /// Its time is up.
    TimeUp,
}

impl End {
    /// Returns the name that counters and logs use.
    pub fn code(self) -> &'static str {
        match self {
            End::NoPlan => "no_plan",
            End::Unreached => "unreached",
            End::Final(Final::MayHaveRun) => "may_have_run",
            End::Final(Final::SendsUsed) => "sends_used",
            End::Final(Final::OutOfTime) => "out_of_time",
            End::NoBudget => "no_budget",
            End::TimeUp => "time_up",
        }
    }
}

fn result_of(reply: Option<&outlet::Reply>) -> &'static str {
    match reply {
        None | Some(outlet::Reply::Stream(..)) => "streamed",
        Some(outlet::Reply::Whole(_)) => "answered",
        Some(outlet::Reply::Refusal(port::Refusal::NotRun(_))) => "not_run",
        Some(outlet::Reply::Refusal(_)) => "failed",
    }
}

/// What is known of a request when it ends, also when its time is up in the middle of a step.
#[derive(Default)]
pub struct History {
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// The upstreams to which it was sent.
    pub sends: u32,
    last: Option<UpstreamName>,
    helpers: usize,
    estimate: Millis,
    end: Option<End>,
    /// An upstream's own error, which is passed on if no better answer comes.
    pub error: Option<outlet::Whole>,
}

impl History {
    /// Notes the latest plan.
    pub fn plan(&mut self, plan: &Plan) {
        self.last = Some(plan.lead.upstream.clone());
        self.helpers = plan.helpers.len();
        self.estimate = plan.estimate;
    }

    /// Notes how an attempt left the request.
    pub fn note(&mut self, exchange: &Exchange<Routed>) {
        self.may_have_run = exchange.outcome() != Outcome::NotRun;
        self.sends = exchange.sends();
    }

    /// Ends the request without a better answer.
    pub fn refuse(&mut self, end: End) -> outlet::Reply {
        if let Some(error) = self.error.take() {
            return outlet::Reply::Whole(error);
        }
        self.end = Some(end);
        outlet::Reply::Refusal(match (self.may_have_run, end) {
            (false, _) => port::Refusal::NotRun(COME_BACK),
            (true, End::TimeUp | End::Final(Final::OutOfTime)) => port::Refusal::TimedOut,
            (true, _) => port::Refusal::Failed,
        })
    }

    /// Logs and counts the end.
    pub fn record(
        &self,
        shared: &shared::Shared,
        call: &call::Call,
        received: Timestamp,
        outlet: &outlet::Outlet,
        reply: Option<&outlet::Reply>,
    ) {
        let result = result_of(reply);
        let elapsed = shared.clock.now().since(received);
        tracing::info!(
            event = "request_ended",
            request = %call.head.id,
            route = %call.admission.route.name(),
            version = call.version,
            prompt_tokens = call.head.work.prompt.0,
            result,
            reason = self.end.map_or("", End::code),
            sends = self.sends,
            last_upstream = self.last.as_ref().map_or("", |name| name.as_str()),
            helpers = self.helpers,
            estimate_ms = self.estimate.0,
            first_ms = outlet.first().map_or(0, |at| at.since(received).0),
            longest_pause_ms = outlet.longest_pause().0,
            elapsed_ms = elapsed.0,
        );
        let form = match call.admission.route.form() {
            limpetkeel::Form::Whole => "whole",
            limpetkeel::Form::Stream => "stream",
        };
        let relay = &shared.metrics.relay;
        relay.ended.with_label_values(&[form, result]).inc();
        if let Some(end) = self.end {
            relay.refused.with_label_values(&[end.code()]).inc();
        }
    }
}
