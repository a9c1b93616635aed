//! Accepts and serves caller connections.

use std::{convert, io, sync};

use bytes::Bytes;
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service,
};
use hyper_util::rt;
use limpetkeel::{
    Denial, MemoryExhausted, MemoryShare, Millis, RelayedRequest, RelayedRequestInfo, RequestId,
    RequestLimits, Routed, Timestamp,
};
use tokio::sync::oneshot;

use crate::{
    listener,
    relay::{
        body, caller_body, caller_connection, caller_request, caller_stream, drain, drive,
        exchange, memory, port, response_writer, shared, task,
    },
};

/// Minimum read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// The largest read buffer, in bytes. The stream of the connection ends a head that exceeds the limit
/// in force, and bounds each read, by which hyper grows the buffer of a body.
const MAX_BUFFER_BYTES: usize = 16 * 1024 * 1024;

/// Length of the shortest header line: a name of one character, the colon and the line end.
const MIN_HEADER_LINE_BYTES: usize = 4;

/// The memory of a connection that waits to be accepted: its receive buffer, which the system doubles.
const WAITING_CONNECTION_BYTES: usize = 2 * caller_connection::RECEIVE_BUFFER_BYTES;

/// The number of connections that may wait to be accepted whatever the memory limit is.
const MIN_BACKLOG: u64 = 16;

/// Header lines whose memory is part of the state of a connection.
const MAX_UNRESERVED_LINES: usize = 100;

/// Memory of a header line beside its text, in bytes: its entry in the map of headers, which grows
/// by doubling, and in the copy that is sent to an upstream.
const HEADER_LINE_MEMORY_BYTES: usize = 512;

/// Parts of a prompt whose memory is part of the state of a request.
const MAX_UNRESERVED_PARTS: usize = 32;

/// Memory of a part of a prompt, in bytes: in the request, in its plan, and while the plan is
/// requested.
const PART_MEMORY_BYTES: usize = 64;

/// Retry delay sent with a not-run refusal at admission, such as before the first routing table
/// arrives or when there is no memory for the body.
const RETRY_AFTER: Millis = Millis(300);

/// Accepts caller connections until the instance stops listening.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(shared: sync::Arc<shared::Shared>) -> io::Result<()> {
    let backlog = backlog(&shared.memory);
    // Reserved as long as the instance listens. Its share is for nothing else.
    let waiting = backlog as usize * WAITING_CONNECTION_BYTES;
    let _waiting = shared
        .memory
        .try_reserve(MemoryShare::WaitingConnections, waiting);
    let listener = listener::listen_with_buffers(
        shared.settings.http_listen,
        caller_connection::RECEIVE_BUFFER_BYTES as u32,
        caller_connection::SEND_BUFFER_BYTES as u32,
        backlog,
    )?;
    loop {
        tokio::select! {
            stream = listener::accept(&listener) => {
                admit_connection(&shared, stream).await;
            }
            () = shared.closing.cancelled() => return Ok(()),
        }
    }
}

/// Returns the number of connections that may wait to be accepted within the memory of their share.
fn backlog(memory: &memory::Memory) -> u32 {
    let share = memory.maximum(MemoryShare::WaitingConnections).0;
    let backlog = share / WAITING_CONNECTION_BYTES as u64;
    backlog.clamp(MIN_BACKLOG, u64::from(listener::MAX_BACKLOG)) as u32
}

/// Serves a connection in its own task, or closes it if there is no room.
async fn admit_connection(shared: &sync::Arc<shared::Shared>, stream: tokio::net::TcpStream) {
    let limits = caller_connection::limits(shared);
    let buffer_len = buffer_len(limits);
    match caller_connection::CallerConnection::admit(shared, buffer_len).await {
        Ok(connection) => {
            let activity = caller_stream::ConnectionActivity::new(connection);
            tokio::spawn(serve_connection(
                shared.clone(),
                stream,
                sync::Arc::new(activity),
                limits,
            ));
        }
        Err(caller_connection::Refused) => {
            let closed = &shared.metrics.relay.closed_connections;
            closed.with_label_values(&["refused"]).inc();
            tracing::info!(event = "connection_closed", reason = "refused");
        }
    }
}

/// Returns the largest size of the read buffer of a connection, in bytes.
fn buffer_len(limits: RequestLimits) -> usize {
    (limits.max_head.0 as usize).max(MIN_BUFFER_BYTES)
}

/// Serves one caller connection, and closes it gracefully once the instance stops listening.
async fn serve_connection(
    shared: sync::Arc<shared::Shared>,
    stream: tokio::net::TcpStream,
    activity: sync::Arc<caller_stream::ConnectionActivity>,
    limits: RequestLimits,
) {
    let exchange = sync::Arc::new(exchange::ConnectionExchange::default());
    let handler = service::service_fn({
        let (shared, exchange, activity) = (shared.clone(), exchange.clone(), activity.clone());
        move |req| handle(shared.clone(), exchange.clone(), activity.clone(), req)
    });
    let stream = caller_stream::CallerStream::new(stream, activity.clone(), limits);
    let serving = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .max_headers(buffer_len(limits) / MIN_HEADER_LINE_BYTES)
        .serve_connection(rt::TokioIo::new(stream), handler);
    tokio::pin!(serving);
    let result = tokio::select! {
        // A request that has arrived on a connection that is being closed is refused first.
        biased;
        result = serving.as_mut() => result,
        () = activity.connection.closed() => return,
        () = shared.closing.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    // An error means that the caller disconnected, that it sent no valid request, or that the driver of
    // its request ended in the middle of the response.
    if let Err(e) = result
        && let Some(request) = exchange.latest_request()
    {
        drain::log_early_end(&shared, "connection", &request, &e.to_string());
    }
}

/// Handles one request. A draining instance adds `connection: close` to the response.
async fn handle(
    shared: sync::Arc<shared::Shared>,
    exchange: sync::Arc<exchange::ConnectionExchange>,
    activity: sync::Arc<caller_stream::ConnectionActivity>,
    req: http::Request<Incoming>,
) -> Result<http::Response<caller_stream::TrackedBody>, convert::Infallible> {
    let (parts, incoming) = req.into_parts();
    let is_open = activity.begin_body(!incoming.is_end_stream());
    let head = shared.codec.decode_request(&parts);
    let id = head.as_ref().ok().map(|head| head.id.clone());
    let begun = exchange::Exchange {
        request: id.clone().unwrap_or_default(),
        received: shared.clock.now(),
    };
    exchange.begin(&shared, begun);
    let mut admitted = if is_open {
        admit(&shared, parts, head, incoming, &activity).await
    } else {
        Err(port::Refusal::NotRun(RETRY_AFTER))
    };
    if !activity.connection.begin_response() {
        record_refusal(&shared, "connection_closed", id.as_deref());
        admitted = Err(port::Refusal::NotRun(RETRY_AFTER));
        activity.refuse_body();
    }
    if admitted.is_err() && activity.has_unread_body() {
        activity.refuse_body();
    }
    let closes = activity.refuses_body();
    let mut res = match admitted {
        Ok((request, relayed)) => relay_request(&shared, request, relayed).await,
        Err(refusal) => refusal_response(&shared, id.as_deref(), refusal),
    };
    if closes || shared.membership.lock().local_state.is_draining() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(res.map(|body| caller_stream::TrackedBody::new(body, activity)))
}

/// Encodes a refusal as a response with an empty body.
fn refusal_response(
    shared: &shared::Shared,
    id: Option<&str>,
    refusal: port::Refusal,
) -> http::Response<body::Body> {
    let res = shared.codec.encode_refusal(id, refusal);
    res.map(|()| body::complete(Bytes::new()))
}

/// Reserves the memory of many header lines and of many parts of a prompt, which may take far more
/// than their text.
fn reserve_head(
    shared: &shared::Shared,
    headers: &http::HeaderMap,
    parts: usize,
) -> Result<memory::Reservation, MemoryExhausted> {
    let lines = headers.len().saturating_sub(MAX_UNRESERVED_LINES);
    let parts = parts.saturating_sub(MAX_UNRESERVED_PARTS);
    let len = lines * HEADER_LINE_MEMORY_BYTES + parts * PART_MEMORY_BYTES;
    shared.memory.try_reserve(MemoryShare::RequestHeads, len)
}

/// Matches a request to its route and reads its body.
async fn admit(
    shared: &sync::Arc<shared::Shared>,
    parts: http::request::Parts,
    head: Result<port::RequestHead, port::HeadError>,
    incoming: Incoming,
    activity: &caller_stream::ConnectionActivity,
) -> Result<(caller_request::CallerRequest, RelayedRequest<Routed>), port::Refusal> {
    let received = shared.clock.now();
    let head = head.map_err(|e| {
        record_refusal(shared, e.code(), None);
        match e {
            port::HeadError::TooManyParts => port::Refusal::HeadTooLarge,
            _ => port::Refusal::InvalidHead,
        }
    })?;
    let reserved = reserve_head(shared, &parts.headers, head.parts.len());
    let head_memory = reserved.map_err(|MemoryExhausted| {
        record_refusal(shared, "no_memory", Some(&head.id));
        port::Refusal::NotRun(RETRY_AFTER)
    })?;
    let path = parts.uri.path();
    let (admitted, limits, version) = {
        let ingress = &shared.tables.lock().ingress;
        let admitted = ingress.admit(&head.host, path, head.key.as_deref());
        let limits = ingress.limits();
        let limits = limits.unwrap_or(caller_connection::DEFAULT_LIMITS);
        (admitted, limits, ingress.version())
    };
    let admission = admitted.map_err(|denial| {
        let (code, refusal) = match denial {
            Denial::NoTable => ("no_table", port::Refusal::NotRun(RETRY_AFTER)),
            Denial::UnknownRoute => ("unknown_route", port::Refusal::UnknownRoute),
            Denial::UnknownKey => ("unknown_key", port::Refusal::UnknownKey),
        };
        record_refusal(shared, code, Some(&head.id));
        refusal
    })?;
    let timeout = admission.route.timeout();
    let allowed = head
        .remaining
        .map_or(timeout, |remaining| remaining.min(timeout));
    let deadline = received.after(allowed);
    let body = caller_body::receive(shared, incoming, limits, deadline).await;
    let body = body.map_err(|e| {
        record_refusal(shared, e.code(), Some(&head.id));
        body_refusal(e)
    })?;
    activity.end_body();
    let pool = admission.route.pool(rand::random()).cloned();
    let Some(pool) = pool else {
        return Err(port::Refusal::NotRun(RETRY_AFTER));
    };
    let targets_engine = shared.tables.lock().ingress.timing(&pool).is_some();
    if !takes_request(shared, &head.id, deadline) {
        record_refusal(shared, "draining", Some(&head.id));
        return Err(port::Refusal::NotRun(RETRY_AFTER));
    }
    let info = RelayedRequestInfo {
        route: admission.route.name().clone(),
        pool,
        retry_policy: admission.route.retry_policy(),
        max_sends: admission.route.max_sends(),
    };
    let relayed = RelayedRequest::new(info, received, deadline, head.resume_after);
    let request = caller_request::CallerRequest {
        waiting_id: RequestId(rand::random()),
        own_cause: caller_request::own_cause(&head, &parts, &body.bytes),
        head,
        parts,
        head_memory,
        body,
        admission,
        version,
        targets_engine,
    };
    Ok((request, relayed))
}

/// Returns `true` unless the instance is draining and would have to cut off a request with this
/// deadline. Logs a request that is taken while draining.
fn takes_request(shared: &shared::Shared, id: &str, deadline: Timestamp) -> bool {
    let now = shared.clock.now();
    let drain_timeout = shared.settings.drain_timeout;
    let (taken, schedule) = {
        let membership = shared.membership.lock();
        let Some(state) = membership.local_state.get() else {
            return true;
        };
        let taken = state.takes_request(now, deadline, drain_timeout);
        (taken, state.drain_schedule(drain_timeout))
    };
    if taken && let Some(schedule) = schedule {
        tracing::info!(
            event = "taken_while_draining",
            request = id,
            draining_ms = now.since(schedule.since()).0,
            given_ms = deadline.min(schedule.requests_end()).since(now).0,
        );
    }
    taken
}

/// Counts and logs a refused request.
fn record_refusal(shared: &shared::Shared, code: &str, id: Option<&str>) {
    shared
        .metrics
        .relay
        .refusals
        .with_label_values(&[code])
        .inc();
    let version = shared.tables.lock().ingress.version();
    let request = id.unwrap_or("");
    tracing::info!(event = "request_denied", request, reason = code, version);
}

/// Returns the refusal of a request whose body was not received.
fn body_refusal(error: caller_body::Error) -> port::Refusal {
    match error {
        caller_body::Error::TooLarge => port::Refusal::BodyTooLarge,
        caller_body::Error::TooSlow => port::Refusal::TooSlow,
        caller_body::Error::NoMemory
        | caller_body::Error::Draining
        | caller_body::Error::Broken => port::Refusal::NotRun(RETRY_AFTER),
    }
}

/// Drives a request in its own task, which is aborted when the caller disconnects.
async fn relay_request(
    shared: &sync::Arc<shared::Shared>,
    request: caller_request::CallerRequest,
    relayed: RelayedRequest<Routed>,
) -> http::Response<body::Body> {
    let id = request.head.id.clone();
    let (tx, rx) = oneshot::channel();
    let writer = response_writer::ResponseWriter::new(tx);
    let driver = task::AbortOnDrop::spawn(drive::run(shared.clone(), request, relayed, writer));
    match rx.await {
        Ok(response_writer::Response::Complete(response)) => {
            http::Response::from_parts(response.head, body::complete(response.body))
        }
        Ok(response_writer::Response::Stream(head, events)) => {
            http::Response::from_parts(head, body::from_queue(events, driver))
        }
        Ok(response_writer::Response::Refusal(refusal)) => {
            refusal_response(shared, Some(&id), refusal)
        }
        Err(_) => {
            tracing::error!(event = "driver_lost", request = %id);
            refusal_response(shared, Some(&id), port::Refusal::Failed)
        }
    }
}
