//! One attempt of a request at one upstream.

use std::{sync, time};

use bytes::{Bytes, BytesMut};
use limpetkeel::{Admission, Exchange, Form, Millis, Repeat, Sent, Timestamp, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use crate::relay::{body, events, planning, port, shared, upstream};

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

/// A first event may take this part of what is left, so that another engine still has time.
const FIRST_SHARE: f64 = 0.45;

/// An engine has this many times the allowed pause to its next event.
const PAUSE_PATIENCE: f64 = 4.0;

/// The shortest and the longest silence within a stream that are borne.
const PAUSE_BOUNDS: (Millis, Millis) = (Millis(1_000), Millis(2_500));

/// Events that wait for a slow caller.
const EVENTS_AHEAD: usize = 16;

/// A caller's request, held until it ends.
pub struct Call {
    /// What its head says.
    pub head: port::CallHead,
    /// Its head as it came.
    pub parts: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its route and workspace.
    pub admission: Admission,
    /// Whether its pool has model engines.
    pub to_engine: bool,
}

/// A complete answer.
#[derive(Debug)]
pub struct Whole {
    /// The head, for the caller.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Reply {
    /// A complete answer of an upstream.
    Whole(Whole),
    /// A stream that has begun.
    Stream(
        http::response::Parts,
        mpsc::Receiver<Result<Bytes, body::Broken>>,
    ),
    /// An answer of the relay's own.
    Refusal(port::Refusal),
}

/// The way to the caller: first a reply, then the events of a stream.
pub struct Outlet {
    reply: Option<oneshot::Sender<Reply>>,
    events: Option<mpsc::Sender<Result<Bytes, body::Broken>>>,
    first: Option<Timestamp>,
    last: Option<Timestamp>,
    longest_pause: Millis,
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl Outlet {
    /// Creates the way to a caller.
    pub fn new(reply: oneshot::Sender<Reply>) -> Outlet {
        Outlet {
            reply: Some(reply),
            events: None,
            first: None,
            last: None,
            longest_pause: Millis::ZERO,
        }
    }

    /// Returns when the first event was passed on.
    pub fn first(&self) -> Option<Timestamp> {
        self.first
    }

    /// Returns the longest time between two events.
    pub fn longest_pause(&self) -> Millis {
        self.longest_pause
    }

    fn note_event(&mut self, now: Timestamp) {
        let pause = self.last.map_or(Millis::ZERO, |last| now.since(last));
        self.longest_pause = self.longest_pause.max(pause);
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Tells whether a stream has begun, so that no other reply can be given.
    pub fn is_streaming(&self) -> bool {
        self.events.is_some()
    }

    /// Gives the only reply, or breaks off the stream that has begun.
    pub async fn finish(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // A caller that has gone needs no reply.
            let _ = tx.send(reply);
        } else if let Some(events) = &self.events {
            let _ = events.send(Err(body::Broken)).await;
        }
    }

    async fn event(
        &mut self,
        head: &http::response::Parts,
        bytes: Bytes,
    ) -> Result<(), CallerGone> {
        if let Some(reply) = self.reply.take() {
            let (tx, rx) = mpsc::channel(EVENTS_AHEAD);
            let stream = Reply::Stream(head.clone(), rx);
            reply.send(stream).map_err(|_| CallerGone)?;
            self.events = Some(tx);
        }
        let events = self.events.as_ref().ok_or(CallerGone)?;
        events.send(Ok(bytes)).await.map_err(|_| CallerGone)
    }
}

/// How an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The upstream states that it did not run the request, and may name who is at fault.
    Declined(Option<UpstreamName>),
    /// The attempt failed; the request may have run.
    Failed(Cause),
    /// The upstream answered with an error of its own.
    Answered(Whole),
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

fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}

/// Returns how long the first bytes of an answer may take.
fn first_patience(call: &Call, left: Millis, estimate: Millis, last: bool) -> time::Duration {
    let route = &call.admission.route;
    let objective = route.objective().first;
    if last || route.repeat() == Repeat::Never {
        return left.duration();
    }
    let patience = match route.form() {
        Form::Whole => scale(objective, WHOLE_PATIENCE),
        Form::Stream => scale(objective, FIRST_PATIENCE)
            .max(scale(estimate, ESTIMATE_PATIENCE))
            .max(LEAST_FIRST),
    };
    patience.min(scale(left, FIRST_SHARE)).duration()
}

fn pause_patience(call: &Call) -> time::Duration {
    let pause = call.admission.route.objective().pause;
    let (least, most) = PAUSE_BOUNDS;
    scale(pause, PAUSE_PATIENCE).clamp(least, most).duration()
}

fn request(
    shared: &shared::Shared,
    call: &Call,
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
    let mut req = http::Request::new(call.body.clone());
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
}

/// Sends the request over a connection and passes its answer on.
///
/// # Errors
///
/// Fails if the answer is not complete, not the request's own, or an error.
pub async fn run(
    shared: &sync::Arc<shared::Shared>,
    call: &Call,
    exchange: &mut Exchange<Sent>,
    way: Way<'_>,
    outlet: &mut Outlet,
) -> Result<Option<Whole>, Failure> {
    let left = exchange.deadline().since(shared.clock.now());
    let last = !may_resume(shared, exchange);
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
        let from = Stream {
            answer: &mut answer,
            first_by: by,
            held: way.held,
        };
        stream(shared, call, exchange, from, outlet).await?;
        return Ok(None);
    }
    let collected = tokio::time::timeout_at(by, collect(&mut answer)).await;
    let body = collected.map_err(|_| Failure::Failed(Cause::Silent))??;
    let whole = Whole {
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

/// A stream whose head has arrived.
struct Stream<'a> {
    answer: &'a mut upstream::Answer,
    first_by: tokio::time::Instant,
    held: &'a mut planning::Held,
}

async fn stream(
    shared: &shared::Shared,
    call: &Call,
    exchange: &mut Exchange<Sent>,
    from: Stream<'_>,
    outlet: &mut Outlet,
) -> Result<(), Failure> {
    let answer = from.answer;
    let head = shared.codec.pass_answer(&answer.head);
    let patience = pause_patience(call);
    let mut by = from.first_by;
    let mut begun = false;
    let mut buffer = events::Buffer::default();
    loop {
        let received = tokio::time::timeout_at(by, answer.next()).await;
        let Ok(received) = received else {
            if may_resume(shared, exchange) {
                return Err(Failure::Failed(Cause::Silent));
            }
            // Nothing is gained by cutting off what cannot go on elsewhere.
            by += patience;
            continue;
        };
        let bytes = match received.map_err(|_| Failure::Failed(Cause::Broken))? {
            Some(bytes) => bytes,
            None if buffer.is_empty() && outlet.is_streaming() => return Ok(()),
            None => return Err(Failure::Failed(Cause::Broken)),
        };
        buffer.push(&bytes);
        loop {
            let next = buffer.take();
            let Some(event) = next.map_err(|_| Failure::Failed(Cause::NotEvents))? else {
                break;
            };
            by = tokio::time::Instant::now() + patience;
            if !std::mem::replace(&mut begun, true) {
                from.held.begin();
            }
            if event.id.is_some_and(|id| !exchange.accept(id)) {
                continue;
            }
            if !outlet.is_streaming() {
                note_first(shared, call, exchange);
            }
            outlet.note_event(shared.clock.now());
            let passed = outlet.event(&head, event.bytes).await;
            passed.map_err(|CallerGone| Failure::CallerGone)?;
        }
    }
}

/// Tells whether the stream could go on at another upstream.
fn may_resume(shared: &shared::Shared, exchange: &Exchange<Sent>) -> bool {
    let now = shared.clock.now();
    let bound = shared.retry_bound();
    let instances = shared.membership.lock().roll.len();
    let mut retries = shared.retries.lock();
    let pool = &exchange.subject().pool;
    let budget = retries
        .get_mut(pool)
        .is_some_and(|window| window.allows(now, &bound, instances));
    budget && exchange.may_resend(now)
}

fn note_first(shared: &shared::Shared, call: &Call, exchange: &Exchange<Sent>) {
    let elapsed = shared.clock.now().since(exchange.received());
    let priority = call.admission.priority().min(9).to_string();
    let histogram = &shared.metrics.relay.first_seconds;
    histogram
        .with_label_values(&["stream", &priority])
        .observe(elapsed.duration().as_secs_f64());
}
