//! A single attempt to serve a request on one upstream.

use std::{sync, time};

use bytes::Bytes;
use limpetkeel::{
    AttemptResult, BodyAllowance, Contact, Millis, Plan, RelayedRequest, ResponseForm,
    ResponseLimit, RetryPolicy, Sent, Timeliness, UpstreamName, UpstreamProcess,
};

use crate::relay::{
    availability, caller_request, path, planning, port, reservations, response_body,
    response_writer, retry_budget, shared, stream, upstream,
};

/// Timeout for a complete response, as a multiple of the route's objective, while a retry is
/// possible.
const COMPLETE_TIMEOUT_FACTOR: f64 = 2.5;

/// Timeout for the first event of a stream, as a multiple of the route's objective.
const FIRST_EVENT_TIMEOUT_FACTOR: f64 = 3.0;

/// Minimum timeout for the first event of a stream.
///
/// Callers abandon a silent stream after two seconds. Retrying on another engine sooner than this
/// doubles the load on engines that are only busy.
const MIN_FIRST_EVENT_TIMEOUT: Millis = Millis(1_500);

/// Timeout for the first event of a stream, as a multiple of the planner's estimate.
const ESTIMATE_TIMEOUT_FACTOR: f64 = 3.0;

/// Added to the remaining time to get the timeout of the last attempt, so that the request's
/// deadline ends that attempt before its own timeout does.
const LAST_ATTEMPT_MARGIN: Millis = Millis(1_000);

/// The highest status that HTTP defines a class for.
const MAX_STATUS: u16 = 599;

/// Maximum timeout as a share of the remaining time, so that a retry still has time.
const MAX_TIMEOUT_SHARE: f64 = 0.45;

/// The ways in which an attempt fails.
pub enum Failure {
    /// The upstream reported that it did not run the request. It may name the upstream at fault.
    Declined(Option<UpstreamName>),
    /// The attempt failed and the request may have run.
    Failed(Cause),
    /// The stream stalled and is still open.
    Stalled(Box<stream::OpenStream>),
    /// The upstream returned an error response.
    ErrorResponse(response_writer::CompleteResponse),
    /// The caller disconnected.
    CallerDisconnected,
}

/// The reason for a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection broke before the response began.
    Crashed,
    /// The connection broke during the response, or the response was malformed. If the upstream is
    /// gone by then, it has crashed.
    Broken,
    /// The tunnel to the upstream through a peer broke.
    PathBroken,
    /// The response exceeds a limit.
    LimitExceeded(ResponseLimit),
    /// The instance has no memory for the response.
    NoMemory,
    /// The response did not arrive in time.
    TimedOut,
    /// The response is for another request, unsigned, or encoded, which callers do not accept.
    Mismatched,
    /// The response is not a stream of events, or its events cannot follow the delivered ones.
    NotEvents,
}

impl Cause {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Cause::Crashed => "crashed",
            Cause::Broken => "broken",
            Cause::PathBroken => "path_broken",
            Cause::LimitExceeded(_) => "over_limit",
            Cause::NoMemory => "no_memory",
            Cause::TimedOut => "silent",
            Cause::Mismatched => "not_own",
            Cause::NotEvents => "not_events",
        }
    }

    /// Returns the result of the attempt as its planner is told, unless the path has failed.
    pub fn attempt_result(self) -> AttemptResult {
        match self {
            Cause::Crashed => AttemptResult::Crashed,
            Cause::TimedOut => AttemptResult::Silent,
            Cause::NoMemory => AttemptResult::Inconclusive,
            Cause::PathBroken => AttemptResult::PathFailed,
            Cause::Broken | Cause::LimitExceeded(_) | Cause::Mismatched | Cause::NotEvents => {
                AttemptResult::Failed
            }
        }
    }
}

/// Returns the timeout for the first event of a stream, or for a complete response.
///
/// `last` means that no retry is allowed after this attempt.
fn response_timeout(
    request: &caller_request::CallerRequest,
    plan: &Plan,
    remaining: Millis,
    last: bool,
) -> time::Duration {
    let route = &request.admission.route;
    let objective = route.objective().first_event;
    let max_timeout = caller_request::scale(remaining, MAX_TIMEOUT_SHARE);
    let estimate_timeout = caller_request::scale(plan.estimate, ESTIMATE_TIMEOUT_FACTOR);
    // A retry would prefill the complete prompt again and take as long.
    let too_late_for_retry = !plan.helpers.is_empty() && max_timeout < estimate_timeout;
    if last || too_late_for_retry || route.retry_policy() == RetryPolicy::Never {
        return (remaining + LAST_ATTEMPT_MARGIN).duration();
    }
    let timeout = match route.form() {
        ResponseForm::Complete => caller_request::scale(objective, COMPLETE_TIMEOUT_FACTOR),
        ResponseForm::Stream => caller_request::scale(objective, FIRST_EVENT_TIMEOUT_FACTOR)
            .max(estimate_timeout)
            .max(MIN_FIRST_EVENT_TIMEOUT),
    };
    timeout.min(max_timeout).duration()
}

/// Returns the priority of a request in the queue of an engine. A late request comes after those in
/// time of its own priority, and before those of the next one.
fn engine_priority(request: &caller_request::CallerRequest, plan: &Plan) -> u8 {
    let late = u8::from(plan.timeliness == Timeliness::Late);
    request
        .admission
        .priority()
        .saturating_mul(2)
        .saturating_add(late)
}

/// Builds the request to the lead upstream.
fn build_request<S>(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    relayed: &RelayedRequest<S>,
    plan: &Plan,
    helpers: &[port::HelperRef],
    remaining: Millis,
) -> http::Request<Bytes> {
    let dispatch = port::Dispatch {
        remaining,
        upstream: &plan.lead.upstream,
        workspace: request.admission.workspace.as_ref().map(|w| &w.name),
        strip_key: request.admission.uses_keys,
        priority: request
            .targets_engine
            .then(|| engine_priority(request, plan)),
        helpers,
        resume_after: relayed.last_delivered_event(),
    };
    let mut req = http::Request::new(request.body.bytes.clone());
    *req.method_mut() = request.parts.method.clone();
    *req.uri_mut() = request.parts.uri.clone();
    *req.headers_mut() = shared.codec.encode_request(&request.parts, &dispatch);
    req
}

/// The resources prepared for an attempt.
pub struct PreparedAttempt {
    /// The plan's guard, which reports the start of the response and the attempt result.
    pub plan_guard: planning::PlanGuard,
    /// The helper engines of the plan and their reservations.
    pub group: reservations::HelperGroup,
    /// The connection to the lead upstream.
    pub connection: upstream::Connection,
}

/// The beginning of a successful response.
pub enum Begun {
    /// A complete response.
    Complete(response_writer::CompleteResponse),
    /// A stream whose response head has been received.
    Stream(Box<stream::OpenStream>),
}

impl Begun {
    /// Returns `true` if a complete response or the first event of a stream has arrived.
    pub fn has_arrived(&self) -> bool {
        match self {
            Begun::Complete(_) => true,
            Begun::Stream(stream) => stream.has_first_event(),
        }
    }
}

/// A request to the lead upstream that is ready to be sent.
pub struct Outgoing {
    connection: upstream::Connection,
    req: http::Request<Bytes>,
    process: Option<UpstreamProcess>,
    response_deadline: tokio::time::Instant,
}

impl Outgoing {
    /// Builds the request to the lead upstream of a plan.
    pub fn new<S>(
        shared: &shared::Shared,
        request: &caller_request::CallerRequest,
        relayed: &RelayedRequest<S>,
        plan: &Plan,
        connection: upstream::Connection,
        helpers: &[port::HelperRef],
    ) -> Outgoing {
        let remaining = relayed.deadline().since(shared.clock.now());
        let last = !retry_budget::may_retry(shared, relayed);
        let timeout = response_timeout(request, plan, remaining, last);
        Outgoing {
            connection,
            req: build_request(shared, request, relayed, plan, helpers, remaining),
            process: availability::process_at(shared, &relayed.info().pool, &plan.lead),
            response_deadline: tokio::time::Instant::now() + timeout,
        }
    }

    /// Returns the peer that has established the connection, if this instance has not.
    pub fn peer(&self) -> Option<&Contact> {
        self.connection.peer()
    }

    /// Returns when a complete response or the first event has to arrive.
    pub fn response_deadline(&self) -> tokio::time::Instant {
        self.response_deadline
    }

    /// Sends the request and waits for a complete response or the response head of a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream declines the request, or if the response is late,
    /// incomplete, for another request or an error response.
    pub async fn send(
        self,
        shared: &sync::Arc<shared::Shared>,
        request: &caller_request::CallerRequest,
    ) -> Result<Begun, Failure> {
        let response_deadline = self.response_deadline;
        let peer = self.peer().cloned();
        let sent = tokio::time::timeout_at(response_deadline, self.connection.send(self.req)).await;
        let mut response = sent
            .map_err(|_| Failure::Failed(Cause::TimedOut))?
            .map_err(|e| match e {
                upstream::Error::Broken => Failure::Failed(Cause::Crashed),
                upstream::Error::PathBroken => Failure::Failed(Cause::PathBroken),
                upstream::Error::LimitExceeded(limit) => {
                    Failure::Failed(Cause::LimitExceeded(limit))
                }
                _ => Failure::Failed(Cause::Broken),
            })?;
        let status = response.head.status;
        // The request offers no upgrade, and the HTTP client accepts numbers up to 999.
        if status.is_informational() || status.as_u16() > MAX_STATUS {
            return Err(Failure::Failed(Cause::Broken));
        }
        let response_head = shared.codec.decode_response(&response.head);
        let own_id = response_head
            .id
            .as_deref()
            .map(|id| id == &*request.head.id);
        if let Some(process) = self.process
            && own_id != Some(false)
        {
            availability::record_response(shared, &process, &response_head);
            if let Some(peer) = &peer
                && let Some(statement) = availability::statement(&process, &response_head)
            {
                path::report_statement(shared, peer, statement);
            }
        }
        // A decline may come without an ID. With another ID it says nothing about this request.
        if response_head.declined && own_id != Some(false) {
            let at_fault = response_head.at_fault.as_deref();
            return Err(Failure::Declined(
                at_fault.and_then(|at| resolve_upstream(shared, at)),
            ));
        }
        if own_id != Some(true) || !response_head.signed || response.is_encoded() {
            return Err(Failure::Failed(Cause::Mismatched));
        }
        let success = status.is_success();
        if success && request.admission.route.form() == ResponseForm::Stream {
            if !response.may_contain_events() {
                return Err(Failure::Failed(Cause::NotEvents));
            }
            let head = shared.codec.encode_response(&response.head);
            let stream = stream::OpenStream::new(&shared.memory, response, head);
            return Ok(Begun::Stream(Box::new(stream)));
        }
        let allowance = BodyAllowance::new(success);
        let collecting = response_body::receive(&shared.memory, &mut response, allowance);
        let collected = tokio::time::timeout_at(response_deadline, collecting).await;
        let body = collected
            .map_err(|_| Failure::Failed(Cause::TimedOut))?
            .map_err(|e| match e {
                response_body::Error::Broken => Failure::Failed(Cause::Broken),
                response_body::Error::PathBroken => Failure::Failed(Cause::PathBroken),
                response_body::Error::LimitExceeded(limit) => {
                    Failure::Failed(Cause::LimitExceeded(limit))
                }
                response_body::Error::NoMemory => Failure::Failed(Cause::NoMemory),
            })?;
        let complete = response_writer::CompleteResponse {
            head: shared.codec.encode_response(&response.head),
            body,
        };
        if success {
            Ok(Begun::Complete(complete))
        } else {
            Err(Failure::ErrorResponse(complete))
        }
    }

    /// Sends the request and waits for a complete response or the first event of a stream. A stream
    /// without an event is returned when it is late.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Outgoing::send`] does, and if a stream breaks off before its first
    /// event.
    pub async fn send_until_arrival(
        self,
        shared: &sync::Arc<shared::Shared>,
        request: &caller_request::CallerRequest,
    ) -> Result<Begun, Failure> {
        let response_deadline = self.response_deadline;
        let mut begun = self.send(shared, request).await?;
        if let Begun::Stream(stream) = &mut begun {
            let arrival = stream.wait_for_first_event();
            let arrived = tokio::time::timeout_at(response_deadline, arrival).await;
            // A late stream stays open.
            if let Ok(Err(e)) = arrived {
                return Err(stream_failure(e, stream.has_begun()));
            }
        }
        Ok(begun)
    }
}

/// Returns the failure of an attempt whose stream was not forwarded to its end.
pub fn stream_failure(failure: stream::Failure, has_begun: bool) -> Failure {
    match failure {
        stream::Failure::Stalled => Failure::Failed(Cause::TimedOut),
        stream::Failure::Broken if !has_begun => Failure::Failed(Cause::Crashed),
        stream::Failure::Broken => Failure::Failed(Cause::Broken),
        stream::Failure::PathBroken => Failure::Failed(Cause::PathBroken),
        stream::Failure::NotEvents => Failure::Failed(Cause::NotEvents),
        stream::Failure::LimitExceeded(limit) => Failure::Failed(Cause::LimitExceeded(limit)),
        stream::Failure::NoMemory => Failure::Failed(Cause::NoMemory),
        stream::Failure::CallerDisconnected => Failure::CallerDisconnected,
    }
}

/// Forwards a stream to the caller as it arrives.
///
/// Returns a complete response, or `None` if a stream was forwarded to its end.
///
/// # Errors
///
/// Returns an error if the stream is late or breaks off, or if the caller disconnects.
pub async fn forward(
    shared: &shared::Shared,
    request: &caller_request::CallerRequest,
    relayed: &mut RelayedRequest<Sent>,
    begun: Begun,
    response_deadline: tokio::time::Instant,
    context: stream::StreamContext<'_>,
    writer: &mut response_writer::ResponseWriter,
) -> Result<Option<response_writer::CompleteResponse>, Failure> {
    let mut stream = match begun {
        Begun::Complete(response) => return Ok(Some(response)),
        Begun::Stream(stream) => stream,
    };
    let deadline = Some(response_deadline);
    let forwarding = stream.run(shared, request, relayed, deadline, context, writer);
    match forwarding.await {
        Ok(()) => Ok(None),
        Err(stream::Failure::Stalled) => Err(Failure::Stalled(stream)),
        Err(e) => Err(stream_failure(e, stream.has_begun())),
    }
}

/// Resolves an upstream that a response names by its name or its address.
fn resolve_upstream(shared: &shared::Shared, text: &str) -> Option<UpstreamName> {
    let tables = shared.tables.lock();
    if let Ok(name) = UpstreamName::try_from(text)
        && tables.upstreams.get(&name).is_some()
    {
        return Some(name);
    }
    let address: std::net::SocketAddr = text.parse().ok()?;
    let mut entries = tables.upstreams.entries();
    let entry = entries.find(|entry| entry.address == address)?;
    Some(entry.name.clone())
}
