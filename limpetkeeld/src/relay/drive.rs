//! Drives a request from its plan through its attempts to its end.

use std::{sync, time};

use limpetkeel::{
    Demand, Error, Exchange, Millis, PlacedExchange, Plan, RequestId, Routed, Sent, Timestamp,
    UpstreamName, Verdict,
};

use crate::relay::{
    attempt, budget, call, history, outlet, planning, reserve, shared, stream, upstream,
};

/// Connections that one request may fail to establish before it is given up.
const MAX_UNREACHED: u32 = 5;

/// The pause before another plan is asked for when there is no room.
const REPLAN_PAUSE: time::Duration = time::Duration::from_millis(40);

/// A request waits for room this part of its objective, but no longer than
/// [`LONGEST_WAIT`]; then its caller is told to come back.
const WAIT_SHARE: f64 = 0.5;

/// The longest wait for room.
const LONGEST_WAIT: Millis = Millis(2_000);

/// A request in progress, which is recorded when it ends or its caller goes.
struct Serving {
    shared: sync::Arc<shared::Shared>,
    call: call::Call,
    received: Timestamp,
    outlet: outlet::Outlet,
    history: history::History,
    /// How it ended; nothing while it is in progress.
    ended: Option<history::Ending>,
}

impl Serving {
    async fn run(&mut self, exchange: Exchange<Routed>) {
        let deadline = self.shared.clock.instant(exchange.deadline());
        let serving = serve(
            &self.shared,
            &self.call,
            exchange,
            &mut self.outlet,
            &mut self.history,
        );
        let ended = tokio::time::timeout_at(deadline, serving).await;
        let reply = match ended {
            Ok(Ok(Served::Streamed)) => {
                self.ended = Some(history::Ending::Streamed);
                return;
            }
            Ok(Ok(Served::Abandoned)) => return,
            Ok(Ok(Served::Whole(whole))) => outlet::Reply::Whole(whole),
            Ok(Err(end)) => self.history.refuse(end),
            Err(_) => self.history.refuse(history::End::TimeUp),
        };
        self.ended = Some(history::Ending::of(&reply));
        self.outlet.finish(reply).await;
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.shared.requests.lock().in_progress -= 1;
        // The task of a request ends early when its caller closes the connection.
        let ending = self.ended.unwrap_or(history::Ending::Abandoned);
        let spans = history::Spans::new(self.shared.clock.now(), self.received, &self.outlet);
        self.history.record(&self.shared, &self.call, ending, spans);
    }
}

/// Serves a request; the caller's reply and events go to `outlet`.
pub async fn run(
    shared: sync::Arc<shared::Shared>,
    call: call::Call,
    exchange: Exchange<Routed>,
    outlet: outlet::Outlet,
) {
    shared.requests.lock().in_progress += 1;
    let mut serving = Serving {
        shared,
        call,
        received: exchange.received(),
        outlet,
        history: history::History::default(),
        ended: None,
    };
    serving.run(exchange).await;
}

/// What a request came to.
enum Served {
    /// The whole answer of an upstream, which is to be passed on.
    Whole(outlet::Whole),
    /// A stream was passed on to its end.
    Streamed,
    /// The caller has gone.
    Abandoned,
}

/// What one attempt came to.
enum Attempted {
    /// The request is over.
    Done(Served),
    /// Another attempt may be made.
    Again(Exchange<Routed>),
}

/// What all attempts of a request came to.
enum Attempts {
    /// It is over.
    Served(Served),
    /// No other attempt is made.
    GivenUp(Exchange<Routed>, history::End),
}

async fn serve(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    exchange: Exchange<Routed>,
    outlet: &mut outlet::Outlet,
    history: &mut history::History,
) -> Result<Served, history::End> {
    let mut standby = None;
    match try_all(shared, call, exchange, &mut standby, outlet, history).await {
        Attempts::Served(served) => Ok(served),
        Attempts::GivenUp(exchange, end) => {
            let gone_on = go_on(shared, call, exchange, standby, outlet).await;
            gone_on.ok_or(end)
        }
    }
}

/// Makes attempts until one ends the request or no other one may be made.
async fn try_all(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    mut exchange: Exchange<Routed>,
    standby: &mut Option<stream::Standby>,
    outlet: &mut outlet::Outlet,
    history: &mut history::History,
) -> Attempts {
    let mut unreached = 0;
    loop {
        let (plan, mut held) = match next(shared, call, &exchange).await {
            Ok(planned) => planned,
            Err(end) => return Attempts::GivenUp(exchange, end),
        };
        let placed = exchange.place(plan);
        history.plan(placed.plan());
        match prepare(shared, &placed).await {
            Ok((group, connection)) => {
                if let Err(budget::Spent) = budget::spend(shared, &placed) {
                    return Attempts::GivenUp(placed.unreached(), history::End::NoBudget);
                }
                let ready = Ready {
                    held,
                    group,
                    connection,
                };
                let sent = placed.send();
                history.may_have_run = true;
                history.sends = sent.sends();
                match attempt(shared, call, sent, ready, standby, outlet, history).await {
                    Attempted::Done(served) => return Attempts::Served(served),
                    Attempted::Again(again) => exchange = again,
                }
                history.note(&exchange);
            }
            Err((at_fault, verdict)) => {
                held.judge(&at_fault, verdict);
                count_repeat(shared, call, &at_fault, "not_connected");
                exchange = placed.unreached();
                unreached += 1;
                if unreached >= MAX_UNREACHED {
                    return Attempts::GivenUp(exchange, history::End::Unreached);
                }
            }
        }
    }
}

/// Gets the plan of the next attempt, if there may be one.
async fn next(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    exchange: &Exchange<Routed>,
) -> Result<(Plan, planning::Held), history::End> {
    if exchange.sends() > 0 {
        exchange
            .may_send(shared.clock.now())
            .map_err(history::End::Final)?;
    }
    place(shared, call, exchange).await
}

/// What an attempt takes.
struct Ready {
    held: planning::Held,
    group: reserve::Group,
    connection: upstream::Connection,
}

async fn attempt(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    mut sent: Exchange<Sent>,
    ready: Ready,
    standby: &mut Option<stream::Standby>,
    outlet: &mut outlet::Outlet,
    history: &mut history::History,
) -> Attempted {
    let mut held = ready.held;
    let lead = sent.plan().lead.upstream.clone();
    let way = attempt::Way {
        connection: ready.connection,
        helpers: ready.group.helpers(),
        held: &mut held,
        standby,
    };
    let ran = attempt::run(shared, call, &mut sent, way, outlet).await;
    let (at_fault, verdict, reason) = match ran {
        Ok(whole) => {
            held.judge(&lead, Verdict::Good);
            return Attempted::Done(whole.map_or(Served::Streamed, Served::Whole));
        }
        Err(attempt::Failure::CallerGone) => return Attempted::Done(Served::Abandoned),
        Err(attempt::Failure::Answered(whole)) if !whole.head.status.is_server_error() => {
            held.judge(&lead, Verdict::Good);
            return Attempted::Done(Served::Whole(whole));
        }
        Err(attempt::Failure::Answered(whole)) => {
            history.error = Some(whole);
            (lead, Verdict::Failed, "answered_error")
        }
        Err(attempt::Failure::Declined(at_fault)) => {
            let blamed = at_fault.clone().unwrap_or(lead);
            held.judge(&blamed, Verdict::Declined);
            count_repeat(shared, call, &blamed, "declined");
            return Attempted::Again(sent.declined(at_fault));
        }
        Err(attempt::Failure::Silent(open)) => {
            held.judge(&lead, Verdict::Failed);
            count_repeat(shared, call, &lead, "silent");
            let plan = sent.plan().clone();
            *standby = Some(stream::Standby {
                open,
                plan,
                held,
                group: ready.group,
            });
            return Attempted::Again(sent.failed());
        }
        Err(attempt::Failure::Failed(cause)) => (lead, Verdict::Failed, cause.code()),
    };
    held.judge(&at_fault, verdict);
    count_repeat(shared, call, &at_fault, reason);
    if outlet.is_streaming() {
        shared.metrics.relay.resumed.inc();
    }
    Attempted::Again(sent.failed())
}

/// Goes on with a stream that was only silent, now that no other attempt is made.
async fn go_on(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    exchange: Exchange<Routed>,
    standby: Option<stream::Standby>,
    outlet: &mut outlet::Outlet,
) -> Option<Served> {
    let mut standby = standby?;
    let mut sent = exchange.go_on(standby.plan);
    let by = tokio::time::Instant::now();
    let progress = stream::Progress {
        held: &mut standby.held,
        standby: &mut None,
    };
    let ran = standby
        .open
        .run(shared, call, &mut sent, by, progress, outlet)
        .await;
    match ran {
        Ok(()) => Some(Served::Streamed),
        Err(stream::Failure::CallerGone) => Some(Served::Abandoned),
        Err(_) => None,
    }
}

fn count_repeat(
    shared: &shared::Shared,
    call: &call::Call,
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
    call: &call::Call,
    exchange: &Exchange<Routed>,
) -> Result<(Plan, planning::Held), history::End> {
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
        let refusal = match planning::obtain(shared, &demand, &call.head.id).await {
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
            return Err(history::End::NoPlan);
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
