//! Drives a request from its plan through its attempts to its end.

use std::{sync, time};

use limpetkeel::{
    Demand, Error, Exchange, Final, Millis, Outcome, PlacedExchange, Plan, RequestId, Routed,
    UpstreamName, Verdict,
};

use crate::relay::{attempt, planning, port, reserve, shared, upstream};

/// Connections that one request may fail to establish before it is given up.
const MAX_UNREACHED: u32 = 5;

/// The pause before another plan is asked for when there is no room.
const REPLAN_PAUSE: time::Duration = time::Duration::from_millis(40);

/// A request waits for room this part of its objective, but no longer than
/// [`LONGEST_WAIT`]; then its caller is told to come back.
const WAIT_SHARE: f64 = 0.5;

/// The longest wait for room.
const LONGEST_WAIT: Millis = Millis(2_000);

/// When a caller should come back that found no room.
const COME_BACK: Millis = Millis(400);

/// Counts a request as in progress while it lives.
struct InProgress(sync::Arc<shared::Shared>);

impl InProgress {
    fn enter(shared: &sync::Arc<shared::Shared>) -> InProgress {
        shared.requests.lock().in_progress += 1;
        InProgress(shared.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.lock().in_progress -= 1;
    }
}

/// Why a request ends without the answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
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
    fn code(self) -> &'static str {
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

/// Serves a request; the caller's reply and events go to `outlet`.
pub async fn run(
    shared: sync::Arc<shared::Shared>,
    call: attempt::Call,
    exchange: Exchange<Routed>,
    mut outlet: attempt::Outlet,
) {
    let _in_progress = InProgress::enter(&shared);
    let deadline = shared.clock.instant(exchange.deadline());
    let received = exchange.received();
    let mut history = History::default();
    let serving = serve(&shared, &call, exchange, &mut outlet, &mut history);
    let ended = tokio::time::timeout_at(deadline, serving).await;
    let reply = match ended {
        Ok(Ok(Some(whole))) => Some(attempt::Reply::Whole(whole)),
        Ok(Ok(None)) => None,
        Ok(Err(end)) => Some(history.refuse(end)),
        Err(_) => Some(history.refuse(End::TimeUp)),
    };
    let result = result_of(reply.as_ref());
    let elapsed = shared.clock.now().since(received);
    tracing::info!(
        event = "request_ended",
        request = %call.head.id,
        route = %call.admission.route.name(),
        prompt_tokens = call.head.work.prompt.0,
        result,
        reason = history.end.map_or("", End::code),
        sends = history.sends,
        last_upstream = history.last.as_ref().map_or("", |name| name.as_str()),
        helpers = history.helpers,
        estimate_ms = history.estimate.0,
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
    if let Some(end) = history.end {
        relay.refused.with_label_values(&[end.code()]).inc();
    }
    if let Some(reply) = reply {
        outlet.finish(reply).await;
    }
}

fn result_of(reply: Option<&attempt::Reply>) -> &'static str {
    match reply {
        None | Some(attempt::Reply::Stream(..)) => "streamed",
        Some(attempt::Reply::Whole(_)) => "answered",
        Some(attempt::Reply::Refusal(port::Refusal::NotRun(_))) => "not_run",
        Some(attempt::Reply::Refusal(_)) => "failed",
    }
}

/// What is known of a request when it ends, also when its time is up in the middle of a step.
#[derive(Default)]
struct History {
    may_have_run: bool,
    sends: u32,
    last: Option<UpstreamName>,
    helpers: usize,
    estimate: Millis,
    end: Option<End>,
    /// An upstream's own error, which is passed on if no better answer comes.
    error: Option<attempt::Whole>,
}

impl History {
    fn note(&mut self, exchange: &Exchange<Routed>) {
        self.may_have_run = exchange.outcome() != Outcome::NotRun;
        self.sends = exchange.sends();
    }

    fn refuse(&mut self, end: End) -> attempt::Reply {
        if let Some(error) = self.error.take() {
            return attempt::Reply::Whole(error);
        }
        self.end = Some(end);
        attempt::Reply::Refusal(match (self.may_have_run, end) {
            (false, _) => port::Refusal::NotRun(COME_BACK),
            (true, End::TimeUp | End::Final(Final::OutOfTime)) => port::Refusal::TimedOut,
            (true, _) => port::Refusal::Failed,
        })
    }
}

async fn serve(
    shared: &sync::Arc<shared::Shared>,
    call: &attempt::Call,
    mut exchange: Exchange<Routed>,
    outlet: &mut attempt::Outlet,
    history: &mut History,
) -> Result<Option<attempt::Whole>, End> {
    let mut unreached = 0;
    loop {
        let now = shared.clock.now();
        if exchange.sends() > 0 {
            exchange.may_send(now).map_err(End::Final)?;
        }
        let (plan, mut held) = place(shared, call, &exchange).await?;
        let lead = plan.lead.clone();
        history.last = Some(lead.upstream.clone());
        history.helpers = plan.helpers.len();
        history.estimate = plan.estimate;
        let placed = exchange.place(plan);
        let ready = prepare(shared, &placed).await;
        let (group, connection) = match ready {
            Ok(ready) => ready,
            Err((at_fault, verdict)) => {
                held.judge(&at_fault, verdict);
                unreached += 1;
                if unreached >= MAX_UNREACHED {
                    return Err(End::Unreached);
                }
                count_repeat(shared, call, &at_fault, "not_connected");
                exchange = placed.unreached();
                continue;
            }
        };
        spend(shared, &placed)?;
        let mut sent = placed.send();
        history.may_have_run = true;
        history.sends = sent.sends();
        let way = attempt::Way {
            connection,
            helpers: group.helpers(),
            held: &mut held,
        };
        let ran = attempt::run(shared, call, &mut sent, way, outlet).await;
        let (at_fault, verdict, reason) = match ran {
            Ok(whole) => {
                held.judge(&lead.upstream, Verdict::Good);
                return Ok(whole);
            }
            Err(attempt::Failure::CallerGone) => {
                shared.metrics.relay.abandoned.inc();
                return Ok(None);
            }
            Err(attempt::Failure::NotConnected) => {
                exchange = sent.declined(None);
                (lead.upstream, Verdict::Unreachable, "not_connected")
            }
            Err(attempt::Failure::Declined(at_fault)) => {
                let blamed = at_fault.clone().unwrap_or(lead.upstream);
                exchange = sent.declined(at_fault);
                (blamed, Verdict::Declined, "declined")
            }
            Err(attempt::Failure::Answered(whole)) => {
                let retry = whole.head.status.is_server_error();
                history.error = Some(whole);
                if !retry {
                    held.judge(&lead.upstream, Verdict::Good);
                    return Ok(history.error.take());
                }
                exchange = sent.failed();
                (lead.upstream, Verdict::Failed, "answered_error")
            }
            Err(attempt::Failure::Failed(cause)) => {
                exchange = sent.failed();
                (lead.upstream, Verdict::Failed, cause.code())
            }
        };
        held.judge(&at_fault, verdict);
        history.note(&exchange);
        count_repeat(shared, call, &at_fault, reason);
        if outlet.is_streaming() {
            shared.metrics.relay.resumed.inc();
        }
    }
}

fn count_repeat(
    shared: &shared::Shared,
    call: &attempt::Call,
    at_fault: &UpstreamName,
    reason: &'static str,
) {
    let repeated = &shared.metrics.relay.repeated;
    repeated.with_label_values(&[reason]).inc();
    tracing::info!(
        event = "attempt_failed",
        request = %call.head.id,
        upstream = %at_fault,
        reason,
    );
}

/// Gets a plan, and waits a while for room.
async fn place(
    shared: &sync::Arc<shared::Shared>,
    call: &attempt::Call,
    exchange: &Exchange<Routed>,
) -> Result<(Plan, planning::Held), End> {
    let objective = call.admission.route.objective();
    let wait = Millis((objective.first.0 as f64 * WAIT_SHARE) as u64).min(LONGEST_WAIT);
    let give_up = shared.clock.now().after(wait);
    loop {
        let now = shared.clock.now();
        let demand = Demand {
            id: RequestId(rand::random()),
            pool: exchange.subject().pool.clone(),
            availability_zone: shared.settings.availability_zone.clone(),
            work: call.head.work,
            objective,
            remaining: exchange.deadline().since(now),
            avoid: exchange.tried().to_vec(),
        };
        let refusal = match planning::obtain(shared, &demand).await {
            Ok(planned) => return Ok(planned),
            Err(e) => e,
        };
        let may_change = matches!(refusal, Error::NoMemory | Error::NoUpstream(_));
        if !may_change || shared.clock.now() >= give_up {
            tracing::info!(
                event = "plan_refused",
                request = %call.head.id,
                pool = %demand.pool,
                error = %refusal,
            );
            return Err(End::NoPlan);
        }
        tokio::time::sleep(REPLAN_PAUSE).await;
    }
}

/// Connects to the lead and reserves the memory of its group.
///
/// # Errors
///
/// Fails with the upstream at fault; nothing of the request was sent.
async fn prepare(
    shared: &sync::Arc<shared::Shared>,
    placed: &Exchange<PlacedExchange>,
) -> Result<(reserve::Group, upstream::Connection), (UpstreamName, Verdict)> {
    let plan = placed.plan();
    let reserving = reserve::Group::reserve(shared, plan.id, &plan.helpers);
    let connecting = upstream::Connection::open(plan.lead.address);
    let (group, connection) = tokio::join!(reserving, connecting);
    let connection = connection.map_err(|_| (plan.lead.upstream.clone(), Verdict::Unreachable))?;
    let group = group.map_err(|e| match e {
        reserve::Error::Refused(name) => (name, Verdict::Declined),
        reserve::Error::Unanswered(name) => (name, Verdict::Unreachable),
    })?;
    Ok((group, connection))
}

/// Counts a first send, or takes a repeated one out of the budget.
fn spend(shared: &shared::Shared, placed: &Exchange<PlacedExchange>) -> Result<(), End> {
    let now = shared.clock.now();
    let bound = shared.retry_bound();
    let instances = shared.membership.lock().roll.len();
    let mut retries = shared.retries.lock();
    let window = retries.entry(placed.subject().pool.clone()).or_default();
    if placed.sends() == 0 {
        window.note_request(now, &bound);
        return Ok(());
    }
    if window.spend(now, &bound, instances) {
        Ok(())
    } else {
        Err(End::NoBudget)
    }
}
