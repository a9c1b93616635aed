//! Forwards an event stream from an upstream to the caller.

use std::time;

use limpetkeel::{Contact, MemoryExhausted, Millis, Plan, RelayedRequest, ResponseLimit, Sent};

use crate::relay::{
    caller_request, drain, event_queue, events, memory, planning, reservations, response_writer,
    retry_budget, shared, upstream,
};

/// Timeout for the next event, as a multiple of the route's maximum gap. Somewhat more than half of
/// the gap that callers tolerate.
const GAP_TIMEOUT_FACTOR: f64 = 4.8;

/// Minimum timeout for the next event, also somewhat more than half of the gap that callers
/// tolerate.
const MIN_GAP_TIMEOUT: Millis = Millis(1_200);

/// A stream whose response head has been received.
pub struct OpenStream {
    response: upstream::Response,
    head: http::response::Parts,
    buffer: events::EventBuffer,
    event_received: bool,
    /// The first event, if it was awaited before the stream is forwarded.
    first_event: Option<events::Event>,
}

/// The reason why a stream was not forwarded to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No event arrived in time. The stream is still open.
    Stalled,
    /// The connection broke.
    Broken,
    /// The tunnel to the upstream broke.
    PathBroken,
    /// The stream begins with an event that cannot be first.
    NotEvents,
    /// An event exceeds its limit, or the stream contains bytes that are not an event.
    LimitExceeded(ResponseLimit),
    /// The instance has no memory for an event.
    NoMemory,
    /// The caller disconnected.
    CallerDisconnected,
}

impl Failure {
    fn from_upstream_error(e: upstream::Error) -> Failure {
        match e {
            upstream::Error::PathBroken => Failure::PathBroken,
            _ => Failure::Broken,
        }
    }

    fn from_queue_error(e: event_queue::Error) -> Failure {
        match e {
            event_queue::Error::Closed => Failure::CallerDisconnected,
            event_queue::Error::NoMemory => Failure::NoMemory,
        }
    }
}

/// An attempt whose stream stalled. It is kept until another attempt delivers an event; if none
/// does, its stream is continued.
pub struct Standby {
    /// The stalled stream.
    pub stream: Box<OpenStream>,
    /// The plan of the attempt.
    pub plan: Plan,
    /// The guard of the plan.
    pub plan_guard: planning::PlanGuard,
    /// The helper engines and their reservations.
    pub group: reservations::HelperGroup,
    /// The peer that has established the connection, if this instance has not.
    pub peer: Option<Contact>,
}

/// The state updated when events arrive.
pub struct StreamContext<'a> {
    /// The guard of the plan, which reports the start of the response.
    pub plan_guard: &'a mut planning::PlanGuard,
    /// An earlier stalled attempt, dropped when this stream delivers an event.
    pub standby: &'a mut Option<Standby>,
}

/// Returns the timeout for the next event of a stream.
fn gap_timeout(request: &caller_request::CallerRequest) -> time::Duration {
    let gap = request.admission.route.objective().max_gap;
    caller_request::scale(gap, GAP_TIMEOUT_FACTOR)
        .max(MIN_GAP_TIMEOUT)
        .duration()
}

/// Returns `true` if a response can begin with this event. An empty one is none, and without an ID it
/// is unknown whether an event follows the delivered ones.
fn can_begin(event: &events::Event, relayed: &RelayedRequest<Sent>) -> bool {
    let resumes = relayed.last_delivered_event().is_some();
    !event.bytes.trim_ascii().is_empty() && (event.id.is_some() || !resumes)
}

impl OpenStream {
    /// Creates a stream from a response. `head` is the response head to send to the caller.
    pub fn new(
        memory: &memory::Memory,
        response: upstream::Response,
        head: http::response::Parts,
    ) -> OpenStream {
        OpenStream {
            response,
            head,
            buffer: events::EventBuffer::new(memory),
            event_received: false,
            first_event: None,
        }
    }

    /// Returns `true` if an event has arrived.
    pub fn has_begun(&self) -> bool {
        self.event_received
    }

    /// Returns `true` if the first event has arrived and was not forwarded.
    pub fn has_first_event(&self) -> bool {
        self.first_event.is_some()
    }

    /// Waits for the first event and keeps it.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks off before, or begins with an empty event.
    pub async fn wait_for_first_event(&mut self) -> Result<(), Failure> {
        loop {
            if let Some(event) = self.next_event()? {
                if event.bytes.trim_ascii().is_empty() {
                    return Err(Failure::NotEvents);
                }
                self.first_event = Some(event);
                return Ok(());
            }
            let received = self.response.next().await;
            let received = received.map_err(Failure::from_upstream_error)?;
            let bytes = received.ok_or(Failure::Broken)?;
            let pushed = self.buffer.push(&bytes);
            pushed.map_err(|MemoryExhausted| Failure::NoMemory)?;
        }
    }

    /// Forwards events until the stream ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks off or the caller disconnects, and
    /// [`Failure::Stalled`] if no event arrives in time while a retry is possible. A stalled stream
    /// stays open. Without a deadline, the stream never counts as stalled.
    pub async fn run(
        &mut self,
        shared: &shared::Shared,
        request: &caller_request::CallerRequest,
        relayed: &mut RelayedRequest<Sent>,
        first_event_deadline: Option<tokio::time::Instant>,
        context: StreamContext<'_>,
        writer: &mut response_writer::ResponseWriter,
    ) -> Result<(), Failure> {
        let gap_timeout = gap_timeout(request);
        let mut deadline = first_event_deadline;
        loop {
            while let Some(event) = self.next_event()? {
                deadline = deadline.map(|_| tokio::time::Instant::now() + gap_timeout);
                if !self.event_received && !can_begin(&event, relayed) {
                    return Err(Failure::NotEvents);
                }
                if !std::mem::replace(&mut self.event_received, true) {
                    context.plan_guard.record_response_begun();
                }
                if event.id.is_none_or(|id| relayed.record_delivered(id)) {
                    *context.standby = None;
                    let forwarded = writer.forward(shared, request, relayed, &self.head, event);
                    forwarded.await.map_err(Failure::from_queue_error)?;
                }
            }
            let receiving = self.response.next();
            let received = match deadline {
                Some(deadline) => tokio::time::timeout_at(deadline, receiving).await,
                None => Ok(receiving.await),
            };
            let Ok(received) = received else {
                drain::limit_deadline(shared, relayed);
                if retry_budget::may_retry(shared, relayed) {
                    return Err(Failure::Stalled);
                }
                // Aborting a stalled stream gains nothing if the request cannot be retried.
                deadline = deadline.map(|deadline| deadline + gap_timeout);
                continue;
            };
            match received.map_err(Failure::from_upstream_error)? {
                Some(bytes) => {
                    let pushed = self.buffer.push(&bytes);
                    pushed.map_err(|MemoryExhausted| Failure::NoMemory)?;
                }
                None if writer.is_streaming() && self.is_complete() => return Ok(()),
                None => return Err(Failure::Broken),
            }
        }
    }

    /// Returns `true` if a response that has ended here is complete. Without any event, that needs a
    /// length or chunks: an upstream that stops after the head may close its connection cleanly.
    fn is_complete(&self) -> bool {
        self.buffer.is_empty() && (self.event_received || !self.response.ends_with_connection())
    }

    fn next_event(&mut self) -> Result<Option<events::Event>, Failure> {
        match self.first_event.take() {
            Some(event) => Ok(Some(event)),
            None => self.buffer.next_event().map_err(Failure::LimitExceeded),
        }
    }
}
