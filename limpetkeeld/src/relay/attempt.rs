//! One attempt of a request at one upstream.

use std::{sync, time};

use bytes::{Bytes, BytesMut};
use limpetkeel::{Exchange, Form, Millis, Repeat, Sent, UpstreamName};

use crate::relay::{budget, call, outlet, planning, port, shared, stream, upstream};

/// A whole answer is at most this long: it is held until it is complete.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// An upstream that may be replaced has this many times the objective to answer.
const WHOLE_PATIENCE: f64 = 2.5;

/// An engine has this many times the objective to its first event.
const FIRST_PATIENCE: f64 = 3.0;

/// Even with a short objective, a first event may take this long. Callers leave a silent stream
/// after two seconds; asking another engine sooner doubles the load of engines that are only busy.
const LEAST_FIRST: Millis = Millis(1_500);

/// A first event may take this many times what the planner expects.
const ESTIMATE_PATIENCE: f64 = 3.0;

/// The last attempt is ended by the deadline of its request, so its own patience lasts longer.
const OVERTIME: Millis = Millis(1_000);

/// A first event may take this part of what is left, so that another engine still has time.
const FIRST_SHARE: f64 = 0.45;

/// How an attempt failed.
pub enum Failure {
    /// The upstream states that it did not run the request, and may name who is at fault.
    Declined(Option<UpstreamName>),
    /// The attempt failed; the request may have run.
    Failed(Cause),
    /// The stream fell silent; it may still go on.
    Silent(stream::Open),
    /// The upstream answered with an error of its own.
    Answered(outlet::Whole),
    /// The caller has gone.
    CallerGone,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection broke, or its bytes were no answer.
    Broken,
    /// The upstream fell silent.
    Silent,
    /// The answer belongs to another request, or nobody vouches for it.
    NotOwn,
    /// The stream holds something that is not an event.
    NotEvents,
}

impl Cause {
    /// Returns the name that counters and logs use.
    pub fn code(self) -> &'static str {
        match self {
            Cause::Broken => "broken",
            Cause::Silent => "silent",
            Cause::NotOwn => "not_own",
            Cause::NotEvents => "not_events",
        }
    }
}

/// Returns how long the first bytes of an answer may take.
fn first_patience(call: &call::Call, left: Millis, estimate: Millis, last: bool) -> time::Duration {
    let route = &call.admission.route;
    let objective = route.objective().first;
    if last || route.repeat() == Repeat::Never {
        return (left + OVERTIME).duration();
    }
    let patience = match route.form() {
        Form::Whole => call::scale(objective, WHOLE_PATIENCE),
        Form::Stream => call::scale(objective, FIRST_PATIENCE)
            .max(call::scale(estimate, ESTIMATE_PATIENCE))
            .max(LEAST_FIRST),
    };
    patience.min(call::scale(left, FIRST_SHARE)).duration()
}

fn request(
    shared: &shared::Shared,
    call: &call::Call,
    exchange: &Exchange<Sent>,
    helpers: &[port::HelperRef],
    left: Millis,
) -> http::Request<Bytes> {
    let dispatch = port::Dispatch {
        left,
        upstream: &exchange.plan().lead.upstream,
        workspace: call.admission.workspace.as_ref().map(|w| &w.name),
        hide_key: call.admission.keyed,
        priority: call.to_engine.then(|| call.admission.priority()),
        helpers,
        resume_after: exchange.delivered(),
    };
    let mut req = http::Request::new(call.body.bytes.clone());
    *req.method_mut() = call.parts.method.clone();
    *req.uri_mut() = call.parts.uri.clone();
    *req.headers_mut() = shared.codec.encode_call(&call.parts, &dispatch);
    req
}

/// What an attempt runs over.
pub struct Way<'a> {
    /// The connection to the lead.
    pub connection: upstream::Connection,
    /// The engines that help.
    pub helpers: &'a [port::HelperRef],
    /// The plan, which is told when the answer begins.
    pub held: &'a mut planning::Held,
    /// An earlier attempt that fell silent; it ends when this one delivers.
    pub standby: &'a mut Option<stream::Standby>,
}

/// Sends the request over a connection and passes its answer on.
///
/// # Errors
///
/// Fails if the answer is not complete, not the request's own, or an error.
pub async fn run(
    shared: &sync::Arc<shared::Shared>,
    call: &call::Call,
    exchange: &mut Exchange<Sent>,
    way: Way<'_>,
    outlet: &mut outlet::Outlet,
) -> Result<Option<outlet::Whole>, Failure> {
    let left = exchange.deadline().since(shared.clock.now());
    let last = !budget::may_resend(shared, exchange);
    let patience = first_patience(call, left, exchange.plan().estimate, last);
    let by = tokio::time::Instant::now() + patience;
    let req = request(shared, call, exchange, way.helpers, left);
    let sent = tokio::time::timeout_at(by, way.connection.send(req)).await;
    let mut answer = sent
        .map_err(|_| Failure::Failed(Cause::Silent))?
        .map_err(|_| Failure::Failed(Cause::Broken))?;
    let said = shared.codec.decode_answer(&answer.head);
    if said.declined {
        let at_fault = said.at_fault.as_deref();
        return Err(Failure::Declined(at_fault.and_then(|at| named(shared, at))));
    }
    if said.id.as_deref() != Some(&*call.head.id) || !said.sealed {
        return Err(Failure::Failed(Cause::NotOwn));
    }
    let success = answer.head.status.is_success();
    if success && call.admission.route.form() == Form::Stream {
        let head = shared.codec.pass_answer(&answer.head);
        let mut open = stream::Open::new(answer, head);
        let progress = stream::Progress {
            held: way.held,
            standby: way.standby,
        };
        let ran = open.run(shared, call, exchange, by, progress, outlet).await;
        return match ran {
            Ok(()) => Ok(None),
            Err(stream::Failure::Silent) => Err(Failure::Silent(open)),
            Err(stream::Failure::Broken) => Err(Failure::Failed(Cause::Broken)),
            Err(stream::Failure::NotEvents) => Err(Failure::Failed(Cause::NotEvents)),
            Err(stream::Failure::CallerGone) => Err(Failure::CallerGone),
        };
    }
    let collected = tokio::time::timeout_at(by, collect(&mut answer)).await;
    let body = collected.map_err(|_| Failure::Failed(Cause::Silent))??;
    let whole = outlet::Whole {
        head: shared.codec.pass_answer(&answer.head),
        body,
    };
    if success {
        Ok(Some(whole))
    } else {
        Err(Failure::Answered(whole))
    }
}

/// Returns the upstream that another one named, by its name or its address.
fn named(shared: &shared::Shared, text: &str) -> Option<UpstreamName> {
    let in_force = shared.in_force.lock();
    if let Ok(name) = UpstreamName::try_from(text)
        && in_force.roster.get(&name).is_some()
    {
        return Some(name);
    }
    let address: std::net::SocketAddr = text.parse().ok()?;
    let mut entries = in_force.roster.entries();
    let entry = entries.find(|entry| entry.address == address)?;
    Some(entry.name.clone())
}

async fn collect(answer: &mut upstream::Answer) -> Result<Bytes, Failure> {
    let mut body = BytesMut::new();
    loop {
        match answer.next().await {
            Err(_) => return Err(Failure::Failed(Cause::Broken)),
            Ok(None) => return Ok(body.freeze()),
            Ok(Some(bytes)) if body.len() + bytes.len() <= MAX_ANSWER_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Ok(Some(_)) => return Err(Failure::Failed(Cause::Broken)),
        }
    }
}
