//! The path of a model request, whose answer streams.

use std::{sync, time};

use bytes::Bytes;
use limpetkeel::{
    Admitted, Delivery, Ended, Error, Placed, Received, Request, RequestId, Streaming, Tokens,
    TokensPerSecond, Usage,
};
use tokio::sync::mpsc;

use crate::{engine, path, placing, shared};

/// An answer whose next token takes longer has stalled.
const STALL: time::Duration = time::Duration::from_millis(5_000);

/// An engine that reads its prompt more slowly than this has stalled.
const SLOWEST_PREFILL: TokensPerSecond = TokensPerSecond(5_000);

/// Reservations on the members of a group lapse after this long.
const RESERVATION_TTL: time::Duration = time::Duration::from_millis(6_000);

/// The time between two renewals of a reservation.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(2_000);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path under which the caller asked.
    pub path: &'static str,
    /// The body.
    pub body: Bytes,
    /// Hashes of growing prefixes of the body.
    pub prefixes: Vec<u64>,
}

/// One part of the answer for the caller.
#[derive(Debug)]
pub struct Part {
    /// The choices, as the engine wrote them.
    pub choices: Box<serde_json::value::RawValue>,
    /// The token counts, with the last part.
    pub usage: Option<engine::Usage>,
}

/// How an attempt ended, if not with the request.
enum Failure {
    /// The connection was refused: nothing was sent.
    NotSent,
    /// The attempt failed after it was sent.
    Failed(Error),
    /// The caller has gone.
    CallerGone,
    /// The deadline has passed.
    Deadline,
}

/// Serves a request; parts of the answer go to `tx`, which the caller's end closes.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: Request<Received>,
    call: Call,
    tx: mpsc::Sender<Part>,
) -> Request<Ended> {
    let (_in_progress, mut admitted) = path::InProgress::admit(&shared, request);
    let ended = loop {
        let placed = path::place(&shared, admitted, &call.prefixes, tx.closed()).await;
        let (placed, hold) = match placed {
            Ok(placed) => placed,
            Err(ended) => break ended,
        };
        match attempt(&shared, placed, hold, &call, &tx).await {
            Ok(ended) => break ended,
            Err(again) => admitted = again,
        }
    };
    path::record(&shared, &ended);
    ended
}

/// Makes one attempt; returns the request for another one if it may have one.
async fn attempt(
    shared: &sync::Arc<shared::Shared>,
    placed: Request<Placed>,
    mut hold: placing::Hold,
    call: &Call,
    tx: &mpsc::Sender<Part>,
) -> Result<Request<Ended>, Request<Admitted>> {
    let group = Group::reserve(shared, &placed).await;
    let Ok(group) = group else {
        pause(&placed, shared).await;
        return Err(placed.unplace());
    };
    let mut streaming = placed.send();
    let deadline = shared.clock.instant(streaming.deadline());
    let streamed = tokio::select! {
        streamed = stream(shared, &mut streaming, &mut hold, call, tx) => streamed,
        () = group.renew() => Err(Failure::Failed(Error::UpstreamFailed)),
        () = tokio::time::sleep_until(deadline) => Err(Failure::Deadline),
        () = tx.closed() => Err(Failure::CallerGone),
    };
    settle(shared, streaming, streamed).await
}

async fn pause(request: &Request<Placed>, shared: &shared::Shared) {
    let deadline = shared.clock.instant(request.deadline());
    let end = tokio::time::Instant::now() + path::REFUSED_PAUSE;
    tokio::time::sleep_until(end.min(deadline)).await;
}

async fn settle(
    shared: &shared::Shared,
    streaming: Request<Streaming>,
    streamed: Result<(), Failure>,
) -> Result<Request<Ended>, Request<Admitted>> {
    let error = match streamed {
        Ok(()) => return Ok(streaming.finish()),
        Err(Failure::Deadline) => return Ok(streaming.fail(Error::DeadlineWhileRunning)),
        Err(Failure::CallerGone) => return Ok(streaming.fail(Error::CallerGone)),
        Err(Failure::NotSent) => return Err(path::not_sent(shared, streaming).await),
        Err(Failure::Failed(e)) => e,
    };
    tracing::info!(event = "attempt_failed", grant = %streaming.grant().id, error = %error);
    match path::retry(shared, streaming, error) {
        Ok(admitted) => Err(admitted),
        Err(ended) => Ok(ended),
    }
}

async fn stream(
    shared: &sync::Arc<shared::Shared>,
    streaming: &mut Request<Streaming>,
    hold: &mut placing::Hold,
    call: &Call,
    tx: &mpsc::Sender<Part>,
) -> Result<(), Failure> {
    let mut answer = submit(shared, streaming, call).await?;
    loop {
        let waits_for_first = streaming.first_token().is_none();
        let limit = if waits_for_first {
            first_token_limit(streaming)
        } else {
            STALL
        };
        let event = tokio::time::timeout(limit, answer.next()).await;
        let event = event.map_err(|_| Failure::Failed(Error::UpstreamFailed))?;
        let chunk = match event.map_err(|e| Failure::Failed(e.into()))? {
            engine::Event::Chunk(chunk) => chunk,
            // The end mark before the last chunk: the answer was cut short.
            engine::Event::Done => return Err(Failure::Failed(Error::UpstreamFailed)),
        };
        let now = shared.clock.now();
        let delivery = streaming
            .accept(now, chunk.position)
            .map_err(Failure::Failed)?;
        if delivery == Delivery::Stale {
            shared.metrics.stale_chunks.inc();
            continue;
        }
        if waits_for_first {
            note_first_token(shared, streaming, hold);
        }
        let decoding = streaming.first_token().map(|first| now.since(first));
        note_usage(shared, hold, call, &chunk, decoding);
        let part = Part {
            choices: chunk.choices,
            usage: chunk.usage,
        };
        tx.send(part).await.map_err(|_| Failure::CallerGone)?;
        if chunk.finished {
            return Ok(());
        }
    }
}

async fn submit(
    shared: &shared::Shared,
    streaming: &Request<Streaming>,
    call: &Call,
) -> Result<engine::ResponseStream, Failure> {
    let grant = streaming.grant();
    let lead = grant.places.first().ok_or(Failure::NotSent)?;
    let identity = streaming.identity();
    let submission = engine::Submission {
        path: call.path,
        id: grant.id,
        attempt: streaming.attempt(),
        resume_from: streaming.delivered(),
        rank: identity.rank,
        long_prompt: identity.work.is_long(),
        group_size: grant.places.len(),
        body: call.body.clone(),
    };
    // The engine answers with its headers at once; what takes long is the first chunk.
    let limit = first_token_limit(streaming);
    let submitted = tokio::time::timeout(limit, shared.engines.submit(lead, &submission)).await;
    match submitted {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(engine::Error::Unreachable)) => Err(Failure::NotSent),
        Ok(Err(e)) => Err(Failure::Failed(e.into())),
        Err(_) => Err(Failure::Failed(Error::UpstreamFailed)),
    }
}

fn first_token_limit(streaming: &Request<Streaming>) -> time::Duration {
    let prompt = streaming.identity().work.prompt + Tokens(streaming.delivered());
    STALL + SLOWEST_PREFILL.time_for(prompt).duration()
}

fn note_first_token(
    shared: &shared::Shared,
    streaming: &Request<Streaming>,
    hold: &mut placing::Hold,
) {
    hold.note_prefilled();
    if streaming.attempt() > 1 {
        return;
    }
    let elapsed = shared.clock.now().since(streaming.received());
    let identity = streaming.identity();
    let labels = [
        identity.rank.as_str(),
        path::length_class(identity.work.prompt),
    ];
    let histogram = shared.metrics.first_token.with_label_values(&labels);
    histogram.observe(elapsed.duration().as_secs_f64());
}

fn note_usage(
    shared: &shared::Shared,
    hold: &mut placing::Hold,
    call: &Call,
    chunk: &engine::Chunk,
    decoding: Option<limpetkeel::Millis>,
) {
    let Some(usage) = chunk.usage else { return };
    let decoding = decoding.unwrap_or_default();
    hold.note_usage(Usage {
        output: usage.completion_tokens,
        decoding,
    });
    let body = limpetkeel::Bytes(call.body.len() as u64);
    shared
        .budgets
        .lock()
        .estimator
        .correct(body, usage.prompt_tokens);
}

/// Memory on the members of a group, given back when the attempt ends.
struct Group {
    shared: sync::Arc<shared::Shared>,
    id: RequestId,
    members: Vec<std::net::SocketAddr>,
    share: Tokens,
}

impl Group {
    /// Reserves memory on every member but the first, all or nothing, in the grant's order.
    async fn reserve(
        shared: &sync::Arc<shared::Shared>,
        placed: &Request<Placed>,
    ) -> Result<Group, engine::Error> {
        let places = &placed.grant().places;
        let memory = placed.identity().work.memory();
        let share = Tokens(memory.0.div_ceil(places.len().max(1) as u64));
        let id = placed.grant().id;
        let mut group = Group {
            shared: shared.clone(),
            id,
            members: Vec::new(),
            share,
        };
        for place in places.iter().skip(1) {
            // Listed before the call: a lost answer may hide a reservation that took effect.
            group.members.push(place.address);
            shared
                .engines
                .reserve(place.address, id, share, RESERVATION_TTL)
                .await?;
        }
        Ok(group)
    }

    /// Renews the reservations; returns when a member is lost.
    async fn renew(&self) {
        loop {
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            for member in &self.members {
                let renewed =
                    self.shared
                        .engines
                        .reserve(*member, self.id, self.share, RESERVATION_TTL);
                if renewed.await.is_err() {
                    return;
                }
            }
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        for member in std::mem::take(&mut self.members) {
            let (shared, id) = (self.shared.clone(), self.id);
            tokio::spawn(async move { shared.engines.release_reservation(member, id).await });
        }
    }
}
