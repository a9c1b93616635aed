//! Graceful shutdown: the instance fails its readiness check, finishes its requests, and stops.

use std::{
    io,
    sync::{self, atomic},
    time,
};

use limpetkeel::{DrainSchedule, RelayedRequest, Timestamp};
use tokio::signal::unix;

use crate::relay::{request_summary, shared};

/// Interval between checks for requests in progress.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time to send the last reports to peers and releases to upstreams before the process exits.
const REPORT_DELAY: time::Duration = time::Duration::from_millis(200);

/// Maximum number of unfinished requests that are logged one by one, and of requests and connections
/// that ended early during the drain.
const MAX_LOGGED_REQUESTS: usize = 64;

/// The handlers of the signals that start a drain. Without them a signal ends the process.
pub struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if a signal handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal, including one that came after the handlers were installed.
    async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for SIGTERM or SIGINT, then returns when no request is in progress or the drain timeout
/// has passed. Further signals have no effect.
pub async fn run(shared: &sync::Arc<shared::Shared>, mut signals: Signals) {
    signals.recv().await;
    let now = shared.clock.now();
    let schedule = DrainSchedule::new(now, shared.settings.drain_timeout);
    let deadline = shared.clock.instant(schedule.stop());
    shared
        .membership
        .lock()
        .local_state
        .transition(|state| state.start_draining(now));
    shared.draining.cancel();
    tracing::info!(
        event = "leaving",
        instance = %shared.settings.instance,
        drain_timeout_ms = shared.settings.drain_timeout.0,
    );
    let accept_until = schedule.accepts_connections_until();
    tokio::time::sleep_until(shared.clock.instant(accept_until)).await;
    shared.closing.cancel();
    // A connection whose request is still arriving is not in progress, so check once more.
    loop {
        wait_until_idle(shared, deadline).await;
        let reported = tokio::time::Instant::now() + REPORT_DELAY;
        tokio::time::sleep_until(reported.min(deadline)).await;
        let is_idle = shared.requests.lock().in_progress.is_empty();
        if is_idle || tokio::time::Instant::now() >= deadline {
            break;
        }
    }
    let in_progress = record_unfinished(shared);
    tracing::info!(event = "stopped", instance = %shared.settings.instance, in_progress);
}

/// Waits until no request is in progress or the deadline has passed.
async fn wait_until_idle(shared: &shared::Shared, deadline: tokio::time::Instant) {
    while !shared.requests.lock().in_progress.is_empty() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Shortens the deadline of a request to the end of the drain.
pub fn limit_deadline<S>(shared: &shared::Shared, relayed: &mut RelayedRequest<S>) {
    relayed.limit_deadline(effective_deadline(shared, relayed.deadline()));
}

/// Returns the time by which a request with this deadline ends.
fn effective_deadline(shared: &shared::Shared, deadline: Timestamp) -> Timestamp {
    let membership = shared.membership.lock();
    let state = membership.local_state.get();
    state.map_or(deadline, |state| {
        state.effective_deadline(deadline, shared.settings.drain_timeout)
    })
}

/// Waits until a request with this deadline has to end, and returns the reason: the deadline, or
/// the end of the drain if the instance drains meanwhile.
pub async fn deadline_passed(
    shared: &shared::Shared,
    deadline: Timestamp,
) -> request_summary::FailureReason {
    tokio::select! {
        () = tokio::time::sleep_until(shared.clock.instant(deadline)) => {
            return request_summary::FailureReason::DeadlineExceeded;
        }
        () = shared.draining.cancelled() => {}
    }
    let end = effective_deadline(shared, deadline);
    tokio::time::sleep_until(shared.clock.instant(end)).await;
    if end < deadline {
        request_summary::FailureReason::DrainEnded
    } else {
        request_summary::FailureReason::DeadlineExceeded
    }
}

/// Logs which task ended a request or its connection early during a drain, and why. Does nothing
/// unless the instance is draining.
pub fn log_early_end(shared: &shared::Shared, task: &str, request: &str, reason: &str) {
    let schedule = {
        let membership = shared.membership.lock();
        let state = membership.local_state.get();
        state.and_then(|state| state.drain_schedule(shared.settings.drain_timeout))
    };
    let Some(schedule) = schedule else {
        return;
    };
    let logged = shared
        .logged_early_ends
        .fetch_add(1, atomic::Ordering::Relaxed);
    if logged >= MAX_LOGGED_REQUESTS {
        return;
    }
    tracing::info!(
        event = "ended_while_draining",
        task,
        request,
        reason,
        draining_ms = shared.clock.now().since(schedule.since()).0,
        closing = shared.closing.is_cancelled(),
    );
}

/// Counts and logs the requests that are still in progress, and returns their number.
fn record_unfinished(shared: &shared::Shared) -> usize {
    let now = shared.clock.now();
    let unfinished: Vec<_> = {
        let requests = shared.requests.lock();
        requests.in_progress.values().cloned().collect()
    };
    let relay = &shared.metrics.relay;
    relay.unfinished_requests.inc_by(unfinished.len() as u64);
    for exchange in unfinished.iter().take(MAX_LOGGED_REQUESTS) {
        tracing::warn!(
            event = "request_unfinished",
            request = %exchange.request,
            elapsed_ms = now.since(exchange.received).0,
        );
    }
    unfinished.len()
}
