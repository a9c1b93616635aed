//! The path of a request: from admission through its attempts to its end.

pub mod call;
pub mod model;

use std::{sync, time};

use limpetkeel::{
    Admitted, Ask, Ended, Error, Identity, Millis, Placed, Rank, Received, Request, RequestId,
    RouteKind, Streaming, Tokens, Work, WorkspaceName,
};

use crate::{placing, shared};

/// The pause before an ask that follows a refused connection.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(20);

/// What a caller asks for, before it is admitted.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The route that the caller named.
    pub route: String,
    /// The kind of route that the caller expects.
    pub kind: RouteKind,
    /// Whose share it counts against.
    pub workspace: WorkspaceName,
    /// The timeout that the caller asks for.
    pub timeout: Option<Millis>,
    /// Its size.
    pub work: Work,
    /// Whether it may run again after an upstream failed it.
    pub idempotent: bool,
}

impl Arrival {
    /// Joins the request to its route.
    ///
    /// # Errors
    ///
    /// Fails if the route does not exist or is of the other kind, or if the instance takes no
    /// new work.
    pub fn receive(self, shared: &shared::Shared) -> limpetkeel::Result<Request<Received>> {
        let now = shared.clock.now();
        let in_force = shared.in_force.lock();
        let route = in_force.tables.route(&self.route, self.kind)?;
        let takes = shared
            .membership
            .lock()
            .own
            .get()
            .is_some_and(|stage| stage.takes_work(now));
        if !takes {
            return Err(Error::Draining);
        }
        let timeout = route.timeout(self.timeout);
        let identity = Identity {
            route: route.name().clone(),
            pool: route.pool().clone(),
            rank: route.rank(),
            workspace: self.workspace,
            work: self.work,
            idempotent: self.idempotent,
        };
        Ok(Request::new(identity, now, timeout))
    }
}

/// Counts a request as in progress while it lives.
pub struct InProgress {
    shared: sync::Arc<shared::Shared>,
}

impl InProgress {
    /// Admits a request.
    pub fn admit(
        shared: &sync::Arc<shared::Shared>,
        request: Request<Received>,
    ) -> (InProgress, Request<Admitted>) {
        shared.requests.lock().admitted += 1;
        shared.metrics.in_progress.inc();
        (
            InProgress {
                shared: shared.clone(),
            },
            request.admit(),
        )
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.shared.requests.lock().admitted -= 1;
        self.shared.metrics.in_progress.dec();
    }
}

/// Gets a grant for a request before its deadline.
///
/// # Errors
///
/// Ends the request if no keeper grants it in time.
async fn place(
    shared: &sync::Arc<shared::Shared>,
    request: Request<Admitted>,
    prefixes: &[u64],
    caller_gone: impl Future<Output = ()>,
) -> Result<(Request<Placed>, placing::Hold), Request<Ended>> {
    let now = shared.clock.now();
    let id = RequestId(rand::random());
    let ask: Ask = request.ask(now, id, &shared.settings.instance, prefixes);
    let deadline = shared.clock.instant(request.deadline());
    let obtained = tokio::select! {
        obtained = placing::obtain(shared, ask.clone()) => obtained,
        () = tokio::time::sleep_until(deadline) => Err(Error::DeadlineWhileWaiting),
        () = caller_gone => Err(Error::CallerGone),
    };
    match obtained {
        Ok(placement) => {
            let hold = placing::Hold::new(shared, &placement, &ask);
            Ok((request.place(placement.grant), hold))
        }
        Err(e) => Err(request.refuse(e)),
    }
}

/// Counts and logs the end of a request.
pub fn record(shared: &shared::Shared, request: &Request<Ended>) {
    let identity = request.identity();
    let code = request.error().map_or("ok", Error::code);
    let outcome = request
        .outcome()
        .map_or("answered", limpetkeel::Outcome::as_str);
    count(shared, identity.rank, code, outcome);
    if request.error().is_none() {
        shared.budgets.lock().retries.deposit();
    }
    let elapsed = shared.clock.now().since(request.received());
    tracing::info!(
        event = "request_ended",
        route = %identity.route,
        workspace = %identity.workspace,
        rank = %identity.rank,
        prompt_tokens = identity.work.prompt.0,
        delivered_tokens = request.delivered(),
        attempts = request.attempt(),
        elapsed_ms = elapsed.0,
        code,
        outcome,
    );
}

fn count(shared: &shared::Shared, rank: Rank, code: &str, outcome: &str) {
    shared
        .metrics
        .requests
        .with_label_values(&[rank.as_str(), outcome])
        .inc();
    if code != "ok" {
        shared
            .metrics
            .refusals
            .with_label_values(&[code, outcome])
            .inc();
    }
}

/// Returns a request to the queue after its connection was refused.
async fn not_sent(shared: &shared::Shared, streaming: Request<Streaming>) -> Request<Admitted> {
    shared
        .metrics
        .retries
        .with_label_values(&["upstream_refused"])
        .inc();
    tokio::time::sleep(REFUSED_PAUSE).await;
    streaming.not_sent()
}

/// Returns a request to the queue after a failed attempt, or ends it.
///
/// # Errors
///
/// Ends the request if it may not run again or the retry budget is spent.
fn retry(
    shared: &shared::Shared,
    streaming: Request<Streaming>,
    cause: Error,
) -> Result<Request<Admitted>, Request<Ended>> {
    let now = shared.clock.now();
    if !streaming.may_retry(now) {
        return Err(streaming.fail(cause));
    }
    if let Err(spent) = shared.budgets.lock().retries.spend() {
        return Err(streaming.fail(spent));
    }
    shared
        .metrics
        .retries
        .with_label_values(&[cause.code()])
        .inc();
    streaming.retry(now, cause)
}

/// The length class that metrics use.
fn length_class(prompt: Tokens) -> &'static str {
    match prompt.0 {
        0..4_000 => "under_4k",
        4_000..32_000 => "under_32k",
        32_000..100_000 => "under_100k",
        _ => "over_100k",
    }
}
