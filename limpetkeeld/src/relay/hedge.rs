//! Starts an attempt and, if its response is slow, a second one on another upstream.
//!
//! The first of the two that delivers a complete response or an event goes on, and the other one is
//! dropped, which closes its connection and releases its plan, reservations and memory. Nothing is
//! forwarded before that, so that a response never mixes the two.

use std::sync;

use limpetkeel::{
    AttemptResult, Contact, FirstAttempt, HedgeLimit, Hedged, Millis, Plan, PoolName,
    RelayedRequest, Sent, Timestamp, UpstreamAddress,
};

use crate::relay::{
    attempt, caller_request, drain, drive, path, planning, preparation, reservations, retry_budget,
    shared,
};

/// An attempt whose response has begun or that has failed.
pub struct Started {
    /// The request with the plan of the attempt.
    pub sent: RelayedRequest<Sent>,
    /// The guard of the plan.
    pub plan_guard: planning::PlanGuard,
    /// The helper engines and their reservations.
    pub group: reservations::HelperGroup,
    /// The peer that has established the connection, if this instance has not.
    pub peer: Option<Contact>,
    /// When a complete response or the first event has to arrive.
    pub response_deadline: tokio::time::Instant,
    /// The beginning of the response.
    pub begun: Result<attempt::Begun, attempt::Failure>,
}

/// The resources of a running attempt other than its connection.
struct Running {
    plan_guard: planning::PlanGuard,
    group: reservations::HelperGroup,
    peer: Option<Contact>,
    response_deadline: tokio::time::Instant,
    sent_at: Timestamp,
}

impl Running {
    fn into_started(
        self,
        sent: RelayedRequest<Sent>,
        begun: Result<attempt::Begun, attempt::Failure>,
    ) -> Started {
        Started {
            sent,
            plan_guard: self.plan_guard,
            group: self.group,
            peer: self.peer,
            response_deadline: self.response_deadline,
            begun,
        }
    }
}

/// One of two attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    First,
    Second,
}

/// A request whose first attempt may be hedged.
struct HedgedRequest<'a> {
    shared: &'a sync::Arc<shared::Shared>,
    request: &'a caller_request::CallerRequest,
    limit: HedgeLimit,
    pool: PoolName,
    plan: Plan,
}

/// Starts an attempt and hedges it if the settings ask for it. `has_streamed` means that the caller
/// has received events of an earlier attempt.
pub async fn start(
    shared: &sync::Arc<shared::Shared>,
    request: &caller_request::CallerRequest,
    mut sent: RelayedRequest<Sent>,
    prepared: attempt::PreparedAttempt,
    has_streamed: bool,
) -> Started {
    drain::limit_deadline(shared, &mut sent);
    let plan = sent.plan().clone();
    let (outgoing, running) = send_out(shared, request, &sent, &plan, prepared);
    let limit = shared.settings.hedge_limit;
    // A retry beside a stalled stream is a second attempt already.
    if !limit.is_enabled() || has_streamed || sent.send_count() > 1 {
        let begun = outgoing.send(shared, request).await;
        return running.into_started(sent, begun);
    }
    let hedged = HedgedRequest {
        shared,
        request,
        limit,
        pool: sent.info().pool.clone(),
        plan,
    };
    hedged.run(sent, outgoing, running).await
}

/// Builds the request of an attempt.
fn send_out<S>(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    relayed: &RelayedRequest<S>,
    plan: &Plan,
    prepared: attempt::PreparedAttempt,
) -> (attempt::Outgoing, Running) {
    let attempt::PreparedAttempt {
        plan_guard,
        group,
        connection,
    } = prepared;
    let outgoing =
        attempt::Outgoing::new(shared, request, relayed, plan, connection, group.helpers());
    let running = Running {
        plan_guard,
        group,
        peer: outgoing.peer().cloned(),
        response_deadline: outgoing.response_deadline(),
        sent_at: shared.clock.now(),
    };
    (outgoing, running)
}

impl HedgedRequest<'_> {
    async fn run(
        &self,
        sent: RelayedRequest<Sent>,
        outgoing: attempt::Outgoing,
        running: Running,
    ) -> Started {
        let first = outgoing.send_until_arrival(self.shared, self.request);
        tokio::pin!(first);
        let prepared = tokio::select! {
            biased;
            begun = &mut first => {
                self.record_arrival(&running, &begun);
                return running.into_started(sent, begun);
            }
            prepared = self.prepare_when_slow(&sent) => prepared,
        };
        let Some((second_plan, prepared)) = prepared else {
            let begun = first.await;
            self.record_arrival(&running, &begun);
            return running.into_started(sent, begun);
        };
        let hedged = sent.hedge(second_plan);
        let (outgoing, second_running) = send_out(
            self.shared,
            self.request,
            &hedged,
            hedged.second(),
            prepared,
        );
        self.log_hedge(&hedged, &running);
        let second = outgoing.send_until_arrival(self.shared, self.request);
        tokio::pin!(second);
        let (side, begun) = tokio::select! {
            biased;
            begun = &mut first => (Side::First, begun),
            begun = &mut second => (Side::Second, begun),
        };
        let (side, begun) = if is_final(&begun) {
            (side, begun)
        } else if side == Side::First {
            self.report_failure(&hedged.first().lead, running, &begun);
            let begun = second.await;
            self.record_arrival(&second_running, &begun);
            self.count("second_alone");
            return second_running.into_started(hedged.into_second(), begun);
        } else {
            self.report_failure(&hedged.second().lead, second_running, &begun);
            let begun = first.await;
            self.record_arrival(&running, &begun);
            self.count("first_alone");
            return running.into_started(hedged.into_first(), begun);
        };
        // Returning drops the other attempt, whose guard reports no result.
        match side {
            Side::First => {
                self.record_arrival(&running, &begun);
                self.count("first_won");
                running.into_started(hedged.into_first(), begun)
            }
            Side::Second => {
                self.record_time(&running);
                self.record_arrival(&second_running, &begun);
                self.count("second_won");
                second_running.into_started(hedged.into_second(), begun)
            }
        }
    }

    /// Waits until the response of the first attempt is slow, and prepares a second attempt. Returns
    /// `None` if there is none.
    async fn prepare_when_slow(
        &self,
        sent: &RelayedRequest<Sent>,
    ) -> Option<(Plan, attempt::PreparedAttempt)> {
        let now = self.shared.clock.now();
        let first = self.first_attempt();
        let delay = {
            let mut hedging = self.shared.hedging.lock();
            hedging.record_request(now, &self.limit, &first);
            hedging.delay(now, &self.limit, &first)
        };
        let delay = delay?;
        tokio::time::sleep(delay.duration()).await;
        match self.prepare(sent, delay).await {
            Ok(prepared) => Some(prepared),
            Err(reason) => {
                self.count(reason);
                None
            }
        }
    }

    /// Prepares a second attempt.
    ///
    /// # Errors
    ///
    /// Returns the code of the reason why there is none.
    async fn prepare(
        &self,
        sent: &RelayedRequest<Sent>,
        delay: Millis,
    ) -> Result<(Plan, attempt::PreparedAttempt), &'static str> {
        let (shared, first) = (self.shared, self.first_attempt());
        if shared.draining.is_cancelled() {
            return Err("draining");
        }
        if !retry_budget::may_retry(shared, sent) {
            return Err("no_budget");
        }
        let now = shared.clock.now();
        let checked = shared.hedging.lock().check_limit(now, &self.limit, &first);
        checked.map_err(limpetkeel::NoHedgeReason::code)?;
        let planned = preparation::obtain_hedge_plan(shared, self.request, sent).await;
        let (plan, mut plan_guard) = planned.map_err(|_| "no_plan")?;
        let now = shared.clock.now();
        let taken = {
            let mut hedging = shared.hedging.lock();
            hedging.take(now, &self.limit, &first, delay, &plan)
        };
        taken.map_err(limpetkeel::NoHedgeReason::code)?;
        match preparation::prepare(shared, &sent.info().pool, &plan).await {
            Ok((group, connection)) => {
                retry_budget::take_hedge(shared, sent)
                    .map_err(|retry_budget::Exhausted| "no_budget")?;
                let prepared = attempt::PreparedAttempt {
                    plan_guard,
                    group,
                    connection,
                };
                Ok((plan, prepared))
            }
            Err(preparation::PreparationFailure::Stale(_)) => Err("stale_plan"),
            Err(preparation::PreparationFailure::Unusable {
                at_fault,
                attempt_result,
                ..
            }) => {
                plan_guard.record_attempt_result(&at_fault, attempt_result);
                Err("not_connected")
            }
        }
    }

    fn first_attempt(&self) -> FirstAttempt<'_> {
        let route = &self.request.admission.route;
        FirstAttempt {
            route: route.name(),
            pool: &self.pool,
            retry_policy: route.retry_policy(),
            size: self.request.head.size,
            plan: &self.plan,
        }
    }

    /// Records the response time of an attempt if its response has arrived.
    fn record_arrival(&self, running: &Running, begun: &Result<attempt::Begun, attempt::Failure>) {
        if begun.as_ref().is_ok_and(attempt::Begun::has_arrived) {
            self.record_time(running);
        }
    }

    /// Records the time since an attempt was sent as a response time.
    fn record_time(&self, running: &Running) {
        let now = self.shared.clock.now();
        let elapsed = now.since(running.sent_at);
        let mut hedging = self.shared.hedging.lock();
        hedging.record_response_time(now, &self.first_attempt(), elapsed);
    }

    /// Reports the failure of an attempt while the other one is running. A check of the path runs
    /// in the background.
    fn report_failure(
        &self,
        lead: &UpstreamAddress,
        running: Running,
        begun: &Result<attempt::Begun, attempt::Failure>,
    ) {
        let name = &lead.upstream;
        let cause = match begun {
            Ok(_) => attempt::Cause::TimedOut,
            Err(attempt::Failure::Failed(cause)) => *cause,
            Err(failure) => {
                let (at_fault, result, reason) = match failure {
                    attempt::Failure::Declined(at_fault) => {
                        let at_fault = at_fault.as_ref().unwrap_or(name);
                        (at_fault, AttemptResult::Declined, "declined")
                    }
                    _ => (name, AttemptResult::Failed, "answered_error"),
                };
                let mut plan_guard = running.plan_guard;
                plan_guard.record_attempt_result(at_fault, result);
                drive::record_failed_attempt(self.shared, self.request, at_fault, reason);
                return;
            }
        };
        drive::record_failed_attempt(self.shared, self.request, name, cause.code());
        let (plan_guard, peer) = (running.plan_guard, running.peer);
        path::report_failure(self.shared, lead.clone(), peer, cause, plan_guard);
    }

    fn count(&self, result: &'static str) {
        let hedges = &self.shared.metrics.relay.hedges;
        hedges.with_label_values(&[result]).inc();
    }

    fn log_hedge(&self, hedged: &RelayedRequest<Hedged>, running: &Running) {
        let elapsed = self.shared.clock.now().since(running.sent_at);
        tracing::info!(
            event = "hedge_sent",
            request = %self.request.head.id,
            first = %hedged.first().lead.upstream,
            second = %hedged.second().lead.upstream,
            elapsed_ms = elapsed.0,
            estimate_ms = hedged.second().estimate.0,
        );
    }
}

/// Returns `true` if an attempt has delivered the response to forward. A late stream, a decline and a
/// failure leave the other attempt running.
fn is_final(begun: &Result<attempt::Begun, attempt::Failure>) -> bool {
    match begun {
        Ok(begun) => begun.has_arrived(),
        Err(attempt::Failure::ErrorResponse(response)) => !response.head.status.is_server_error(),
        Err(_) => false,
    }
}
