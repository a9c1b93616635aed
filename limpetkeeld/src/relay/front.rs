//! Where callers connect.

use std::{convert, io, sync};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use limpetkeel::{Denial, Exchange, Limits, Millis, Routed, Subject};
use tokio::sync::oneshot;

use crate::{
    listener,
    relay::{body, call, drive, outlet, port, shared, task},
};

/// What callers may send before any table is known.
const DEFAULT_LIMITS: Limits = Limits {
    head: limpetkeel::Bytes(16 * 1024),
    body: limpetkeel::Bytes(4 * 1024 * 1024),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

/// The smallest buffer that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;

/// When a caller should come back to an instance that has no table yet.
const COME_BACK: Millis = Millis(300);

/// The time that a caller may take for its body.
const BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Accepts callers until the instance stops listening.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen(shared: sync::Arc<shared::Shared>) -> io::Result<()> {
    let listener = listener::listen(shared.settings.http_listen)?;
    loop {
        tokio::select! {
            stream = listener::accept(&listener) => {
                tokio::spawn(connection(shared.clone(), stream));
            }
            () = shared.closing.cancelled() => return Ok(()),
        }
    }
}

async fn connection(shared: sync::Arc<shared::Shared>, stream: tokio::net::TcpStream) {
    let limits = shared.in_force.lock().ingress.limits();
    let limits = limits.unwrap_or(DEFAULT_LIMITS);
    let handler = service::service_fn({
        let shared = shared.clone();
        move |req| answer(shared.clone(), req)
    });
    let serving = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout).duration())
        .max_buf_size((limits.head.0 as usize).max(LEAST_BUFFER))
        .serve_connection(rt::TokioIo::new(stream), handler);
    tokio::pin!(serving);
    tokio::select! {
        // An error here is a caller that has gone or sent no request.
        _ = serving.as_mut() => return,
        () = shared.closing.cancelled() => serving.as_mut().graceful_shutdown(),
    }
    let _ = serving.await;
}

async fn answer(
    shared: sync::Arc<shared::Shared>,
    req: http::Request<Incoming>,
) -> Result<http::Response<body::Body>, convert::Infallible> {
    let (parts, incoming) = req.into_parts();
    let head = shared.codec.decode_call(&parts);
    let id = head.as_ref().ok().map(|head| head.id.clone());
    let mut res = match admit(&shared, parts, head, incoming).await {
        Ok((call, exchange)) => relay(&shared, call, exchange).await,
        Err(refusal) => refuse(&shared, id.as_deref(), refusal),
    };
    if shared.membership.lock().own.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(res)
}

fn refuse(
    shared: &shared::Shared,
    id: Option<&str>,
    refusal: port::Refusal,
) -> http::Response<body::Body> {
    let res = shared.codec.encode_refusal(id, refusal);
    res.map(|()| body::whole(Bytes::new()))
}

/// Joins a request to its route and reads its body.
async fn admit(
    shared: &sync::Arc<shared::Shared>,
    parts: http::request::Parts,
    head: Result<port::CallHead, port::HeadError>,
    incoming: Incoming,
) -> Result<(call::Call, Exchange<Routed>), port::Refusal> {
    let received = shared.clock.now();
    let head = head.map_err(|e| {
        count_refusal(shared, e.code(), None);
        port::Refusal::BadHead
    })?;
    let path = parts.uri.path();
    let (admitted, limits, version) = {
        let ingress = &shared.in_force.lock().ingress;
        let admitted = ingress.admit(&head.host, path, head.key.as_deref());
        let limits = ingress.limits().unwrap_or(DEFAULT_LIMITS);
        (admitted, limits, ingress.version())
    };
    let admission = admitted.map_err(|denial| {
        let (code, refusal) = match denial {
            Denial::NoTable => ("no_table", port::Refusal::NotRun(COME_BACK)),
            Denial::UnknownRoute => ("unknown_route", port::Refusal::UnknownRoute),
            Denial::UnknownKey => ("unknown_key", port::Refusal::UnknownKey),
        };
        count_refusal(shared, code, Some(&head.id));
        refusal
    })?;
    let body = read(shared, incoming, limits).await.inspect_err(|_| {
        count_refusal(shared, "body", Some(&head.id));
    })?;
    let pool = admission.route.pool(rand::random()).cloned();
    let Some(pool) = pool else {
        return Err(port::Refusal::NotRun(COME_BACK));
    };
    let to_engine = shared.in_force.lock().ingress.timing(&pool).is_some();
    let timeout = admission.route.timeout();
    let allowed = head.remaining.map_or(timeout, |left| left.min(timeout));
    let subject = Subject {
        route: admission.route.name().clone(),
        pool,
        repeat: admission.route.repeat(),
        max_sends: admission.route.max_sends(),
    };
    let exchange = Exchange::new(
        subject,
        received,
        received.after(allowed),
        head.resume_after,
    );
    let call = call::Call {
        head,
        parts,
        body,
        admission,
        version,
        to_engine,
    };
    Ok((call, exchange))
}

fn count_refusal(shared: &shared::Shared, code: &str, id: Option<&str>) {
    shared
        .metrics
        .relay
        .refused
        .with_label_values(&[code])
        .inc();
    let version = shared.in_force.lock().ingress.version();
    let request = id.unwrap_or("");
    tracing::info!(event = "request_denied", request, reason = code, version);
}

/// Reads a body; each part of it is taken out of the budget as it arrives.
async fn read(
    shared: &sync::Arc<shared::Shared>,
    mut incoming: Incoming,
    limits: Limits,
) -> Result<call::HeldBody, port::Refusal> {
    let mut held = call::HeldBody::new(shared);
    let mut body = BytesMut::new();
    let reading = async {
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| port::Refusal::NotRun(COME_BACK))?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if (body.len() + part.len()) as u64 > limits.body.0 {
                return Err(port::Refusal::BodyTooLarge);
            }
            let taken = held.take(part.len());
            taken.map_err(|_| port::Refusal::NotRun(COME_BACK))?;
            body.extend_from_slice(&part);
        }
        Ok(())
    };
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    read.unwrap_or(Err(port::Refusal::NotRun(COME_BACK)))?;
    held.bytes = body.freeze();
    Ok(held)
}

/// Drives a request in a task of its own, which ends when the caller goes.
async fn relay(
    shared: &sync::Arc<shared::Shared>,
    call: call::Call,
    exchange: Exchange<Routed>,
) -> http::Response<body::Body> {
    let id = call.head.id.clone();
    let (tx, rx) = oneshot::channel();
    let outlet = outlet::Outlet::new(tx);
    let driver = task::Owned::spawn(drive::run(shared.clone(), call, exchange, outlet));
    match rx.await {
        Ok(outlet::Reply::Whole(whole)) => {
            http::Response::from_parts(whole.head, body::whole(whole.body))
        }
        Ok(outlet::Reply::Stream(head, events)) => {
            http::Response::from_parts(head, body::streamed(events, driver))
        }
        Ok(outlet::Reply::Refusal(refusal)) => refuse(shared, Some(&id), refusal),
        Err(_) => {
            tracing::error!(event = "driver_lost", request = %id);
            refuse(shared, Some(&id), port::Refusal::Failed)
        }
    }
}
