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

/// What the caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A stream of events, to its end.
    Streamed,
    /// The whole answer of an upstream.
    Answered,
    /// The statement that the request has not run.
    NotRun,
    /// Any other failure.
    Failed,
    /// Nothing more: the caller has gone.
    Abandoned,
}

impl Ending {
    /// Returns the ending under a reply.
    pub fn of(reply: &outlet::Reply) -> Ending {
        match reply {
            outlet::Reply::Stream(..) => Ending::Streamed,
            outlet::Reply::Whole(_) => Ending::Answered,
            outlet::Reply::Refusal(port::Refusal::NotRun(_)) => Ending::NotRun,
            outlet::Reply::Refusal(_) => Ending::Failed,
        }
    }

    /// Returns the name that counters and logs use.
    pub fn code(self) -> &'static str {
        match self {
            Ending::Streamed => "streamed",
            Ending::Answered => "answered",
            Ending::NotRun => "not_run",
            Ending::Failed => "failed",
            Ending::Abandoned => "abandoned",
        }
    }
}

/// How long a request took.
#[derive(Clone, Copy, Debug)]
pub struct Spans {
    /// To its end.
    elapsed: Millis,
    /// To the first event; nothing if there was none.
    first: Option<Millis>,
    /// The longest time between two events.
    longest_pause: Millis,
    /// From the last event to the end; nothing if there was none.
    silent: Option<Millis>,
}

impl Spans {
    /// Returns the spans of a request that ends now.
    pub fn new(now: Timestamp, received: Timestamp, outlet: &outlet::Outlet) -> Spans {
        Spans {
            elapsed: now.since(received),
            first: outlet.first().map(|at| at.since(received)),
            longest_pause: outlet.longest_pause(),
            silent: outlet.last().map(|at| now.since(at)),
        }
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
    pub fn record(&self, shared: &shared::Shared, call: &call::Call, ending: Ending, spans: Spans) {
        let result = ending.code();
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
            first_ms = spans.first.map_or(0, |span| span.0),
            longest_pause_ms = spans.longest_pause.0,
            silent_ms = spans.silent.map_or(0, |span| span.0),
            elapsed_ms = spans.elapsed.0,
        );
        let form = match call.admission.route.form() {
            limpetkeel::Form::Whole => "whole",
            limpetkeel::Form::Stream => "stream",
        };
        let relay = &shared.metrics.relay;
        relay.ended.with_label_values(&[form, result]).inc();
        if ending == Ending::Abandoned {
            relay.abandoned.inc();
        }
        if let Some(end) = self.end {
            relay.refused.with_label_values(&[end.code()]).inc();
        }
    }
}
