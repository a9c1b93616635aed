//! The life cycle of a request: resolution, admission, attempts and end.

pub mod model_request;
pub mod service_call;

use std::{sync, time};

use limpetkeel::{
    Admitted, Ended, Error, Millis, Placed, PlacementRequest, Rank, Received, Request, RequestId,
    RequestInfo, RequestSize, RouteKind, Streaming, Tokens, WorkspaceName,
};

use crate::{placement, shared};

/// The delay before the next placement request after a connection was refused.
const REFUSED_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// A decoded request of a caller, before it is resolved to a route and admitted.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// The name of the route.
    pub route: String,
    /// The expected kind of the route.
    pub kind: RouteKind,
    /// The workspace that sent the request.
    pub workspace: WorkspaceName,
    /// The timeout that the caller requests, if any.
    pub timeout: Option<Millis>,
    /// The size of the request.
    pub size: RequestSize,
    /// `true` if the request may be retried after an upstream failed it.
    pub idempotent: bool,
}

impl IncomingRequest {
    /// Resolves the route of the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the route does not exist or is of the other kind, or if the instance
    /// does not accept new requests.
    pub fn resolve(self, shared: &shared::Shared) -> limpetkeel::Result<Request<Received>> {
        let now = shared.clock.now();
        let in_force = shared.in_force.lock();
        let route = in_force.tables.route(&self.route, self.kind)?;
        let accepts_requests = shared
            .membership
            .lock()
            .local_state
            .get()
            .is_some_and(|state| state.accepts_requests(now));
        if !accepts_requests {
            return Err(Error::Draining);
        }
        let timeout = route.timeout(self.timeout);
        let info = RequestInfo {
            route: route.name().clone(),
            pool: route.pool().clone(),
            rank: route.rank(),
            workspace: self.workspace,
            size: self.size,
            idempotent: self.idempotent,
        };
        Ok(Request::new(info, now, timeout))
    }
}

/// Keeps a request counted as in progress until it is dropped.
pub struct InProgressGuard {
    shared: sync::Arc<shared::Shared>,
}

impl InProgressGuard {
    /// Admits a request and counts it as in progress.
    pub fn admit(
        shared: &sync::Arc<shared::Shared>,
        request: Request<Received>,
    ) -> (InProgressGuard, Request<Admitted>) {
        shared.requests.lock().admitted += 1;
        shared.metrics.in_progress.inc();
        (
            InProgressGuard {
                shared: shared.clone(),
            },
            request.admit(),
        )
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.shared.requests.lock().admitted -= 1;
        self.shared.metrics.in_progress.dec();
    }
}

/// Obtains a grant for a request before its deadline.
///
/// # Errors
///
/// Returns the ended request if no keeper grants it in time or `caller_disconnected` completes.
async fn place(
    shared: &sync::Arc<shared::Shared>,
    request: Request<Admitted>,
    prefixes: &[u64],
    caller_disconnected: impl Future<Output = ()>,
) -> Result<(Request<Placed>, placement::GrantGuard), Request<Ended>> {
    let now = shared.clock.now();
    let id = RequestId(rand::random());
    let placement_request: PlacementRequest =
        request.placement_request(now, id, &shared.settings.instance, prefixes);
    let deadline = shared.clock.instant(request.deadline());
    let placement = tokio::select! {
        placement = placement::obtain_grant(shared, placement_request.clone()) => placement,
        () = tokio::time::sleep_until(deadline) => Err(Error::DeadlineWhileWaiting),
        () = caller_disconnected => Err(Error::CallerDisconnected),
    };
    match placement {
        Ok(placement) => {
            let grant_guard = placement::GrantGuard::new(shared, &placement, &placement_request);
            Ok((request.place(placement.grant), grant_guard))
        }
        Err(e) => Err(request.refuse(e)),
    }
}

/// Records the end of a request in metrics, the retry budget and the log.
pub fn record_end(shared: &shared::Shared, request: &Request<Ended>) {
    let info = request.info();
    let code = request.error().map_or("ok", Error::code);
    let outcome = request
        .outcome()
        .map_or("answered", limpetkeel::Outcome::as_str);
    count_outcome(shared, info.rank, code, outcome);
    if request.error().is_none() {
        shared.budgets.lock().retries.record_success();
    }
    let elapsed = shared.clock.now().since(request.received());
    tracing::info!(
        event = "request_ended",
        route = %info.route,
        workspace = %info.workspace,
        rank = %info.rank,
        prompt_tokens = info.size.prompt.0,
        delivered_tokens = request.delivered(),
        attempts = request.attempt(),
        elapsed_ms = elapsed.0,
        code,
        outcome,
    );
}

fn count_outcome(shared: &shared::Shared, rank: Rank, code: &str, outcome: &str) {
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
async fn requeue_unsent(
    shared: &shared::Shared,
    streaming: Request<Streaming>,
) -> Request<Admitted> {
    shared
        .metrics
        .retries
        .with_label_values(&["upstream_refused"])
        .inc();
    tokio::time::sleep(REFUSED_RETRY_DELAY).await;
    streaming.connection_refused()
}

/// Returns a request to the queue after a failed attempt, or ends it.
///
/// # Errors
///
/// Returns the ended request if it may not be retried or the retry budget is exhausted.
fn retry(
    shared: &shared::Shared,
    streaming: Request<Streaming>,
    cause: Error,
) -> Result<Request<Admitted>, Request<Ended>> {
    let now = shared.clock.now();
    if !streaming.may_retry(now) {
        return Err(streaming.fail(cause));
    }
    if let Err(exhausted) = shared.budgets.lock().retries.take() {
        return Err(streaming.fail(exhausted));
    }
    shared
        .metrics
        .retries
        .with_label_values(&[cause.code()])
        .inc();
    streaming.retry(now, cause)
}

/// Returns the prompt length class, which is a metric label.
fn length_class(prompt: Tokens) -> &'static str {
    match prompt.0 {
        0..4_000 => "under_4k",
        4_000..32_000 => "under_32k",
        32_000..100_000 => "under_100k",
        _ => "over_100k",
    }
}
