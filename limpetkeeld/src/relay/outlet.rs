//! The way to the caller: first a reply, then the events of a stream.

use bytes::Bytes;
use limpetkeel::{Exchange, Millis, Sent, Timestamp};
use tokio::sync::{mpsc, oneshot};

use crate::relay::{body, call, events, port, shared};

/// Events that wait for a slow caller.
const EVENTS_AHEAD: usize = 16;

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

    /// Returns when the latest event was passed on.
    pub fn last(&self) -> Option<Timestamp> {
        self.last
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

    /// Passes an event on.
    ///
    /// # Errors
    ///
    /// Fails if the caller has gone.
    pub async fn pass(
        &mut self,
        shared: &shared::Shared,
        call: &call::Call,
        exchange: &Exchange<Sent>,
        head: &http::response::Parts,
        event: events::Event,
    ) -> Result<(), CallerGone> {
        if !self.is_streaming() {
            note_first(shared, call, exchange);
        }
        self.note_event(shared.clock.now());
        self.send(head, event.bytes).await
    }

    async fn send(&mut self, head: &http::response::Parts, bytes: Bytes) -> Result<(), CallerGone> {
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

fn note_first(shared: &shared::Shared, call: &call::Call, exchange: &Exchange<Sent>) {
    let elapsed = shared.clock.now().since(exchange.received());
    let priority = call.admission.priority().min(9).to_string();
    let histogram = &shared.metrics.relay.first_seconds;
    histogram
        .with_label_values(&["stream", &priority])
        .observe(elapsed.duration().as_secs_f64());
}
