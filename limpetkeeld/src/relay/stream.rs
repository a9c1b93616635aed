//! A stream of events on its way from an upstream to the caller.

use std::time;

use limpetkeel::{Exchange, Millis, Plan, Sent};

use crate::relay::{budget, call, events, outlet, planning, reserve, shared, upstream};

/// An engine has this many times the allowed pause to its next event: somewhat more than half of
/// what callers bear.
const PAUSE_PATIENCE: f64 = 4.8;

/// The shortest silence that counts, again somewhat more than half of what callers bear.
const LEAST_PATIENCE: Millis = Millis(1_200);

/// A stream whose head has arrived.
pub struct Open {
    answer: upstream::Answer,
    head: http::response::Parts,
    buffer: events::Buffer,
    begun: bool,
}

/// Why a stream was not passed on to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It fell silent, and may still go on.
    Silent,
    /// The connection broke.
    Broken,
    /// It holds something that is not an event.
    NotEvents,
    /// The caller has gone.
    CallerGone,
}

/// An attempt whose stream fell silent. It is kept until another one delivers: if none can, the
/// stream goes on here.
pub struct Standby {
    /// The stream.
    pub open: Open,
    /// Where it runs.
    pub plan: Plan,
    /// Its plan.
    pub held: planning::Held,
    /// Its group.
    pub group: reserve::Group,
}

/// What is told when events arrive.
pub struct Progress<'a> {
    /// The plan.
    pub held: &'a mut planning::Held,
    /// An earlier attempt, which ends with the first event of this one.
    pub standby: &'a mut Option<Standby>,
}

fn patience(call: &call::Call) -> time::Duration {
    let pause = call.admission.route.objective().pause;
    call::scale(pause, PAUSE_PATIENCE)
        .max(LEAST_PATIENCE)
        .duration()
}

impl Open {
    /// Takes over an answer whose head is to be passed on as given.
    pub fn new(answer: upstream::Answer, head: http::response::Parts) -> Open {
        Open {
            answer,
            head,
            buffer: events::Buffer::default(),
            begun: false,
        }
    }

    /// Passes events on until the stream ends.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks off, or if it falls silent while it could go on elsewhere. A
    /// silent stream is still open.
    pub async fn run(
        &mut self,
        shared: &shared::Shared,
        call: &call::Call,
        exchange: &mut Exchange<Sent>,
        first_by: tokio::time::Instant,
        progress: Progress<'_>,
        outlet: &mut outlet::Outlet,
    ) -> Result<(), Failure> {
        let patience = patience(call);
        let mut by = first_by;
        loop {
            while let Some(event) = self.next_event()? {
                by = tokio::time::Instant::now() + patience;
                if !std::mem::replace(&mut self.begun, true) {
                    progress.held.begin();
                }
                if event.id.is_none_or(|id| exchange.accept(id)) {
                    *progress.standby = None;
                    let passed = outlet.pass(shared, call, exchange, &self.head, event);
                    passed
                        .await
                        .map_err(|outlet::CallerGone| Failure::CallerGone)?;
                }
            }
            let received = tokio::time::timeout_at(by, self.answer.next()).await;
            let Ok(received) = received else {
                if budget::may_resend(shared, exchange) {
                    return Err(Failure::Silent);
                }
                // Nothing is gained by cutting off what cannot go on elsewhere.
                by += patience;
                continue;
            };
            match received.map_err(|_| Failure::Broken)? {
                Some(bytes) => self.buffer.push(&bytes),
                None if self.buffer.is_empty() && outlet.is_streaming() => return Ok(()),
                None => return Err(Failure::Broken),
            }
        }
    }

    fn next_event(&mut self) -> Result<Option<events::Event>, Failure> {
        let taken = self.buffer.take();
        taken.map_err(|events::NotAnEvent| Failure::NotEvents)
    }
}
