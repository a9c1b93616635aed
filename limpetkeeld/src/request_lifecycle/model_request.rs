//! The life cycle of a model request, whose response is streamed.

use std::{sync, time};

use bytes::Bytes;
use limpetkeel::{
    Admitted, ChunkDecision, Ended, Error, OutputUsage, Placed, Received, Request, RequestId,
    Streaming, Tokens, TokensPerSecond,
};
use tokio::sync::mpsc;

use crate::{engine, placement, request_lifecycle, shared};

/// The maximum gap between two tokens of a response; a longer one fails the attempt.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

/// The minimum prefill rate of an engine. The first token may take [`STALL_TIMEOUT`] plus the time
/// to read the prompt at this rate; a slower engine fails the attempt.
const MIN_PREFILL_RATE: TokensPerSecond = TokensPerSecond(5_000);

/// The lifetime of the reservations on helper engines, unless they are renewed.
const RESERVATION_TTL: time::Duration = time::Duration::from_millis(6_000);

/// The interval between renewals of a reservation.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(2_000);

/// The parts of a caller's request that are sent to the engine.
#[derive(Clone, Debug)]
pub struct Call {
    /// The path of the caller's request.
    pub path: &'static str,
    /// The request body.
    pub body: Bytes,
    /// Hashes of prefixes of the body, shortest first.
    pub prefixes: Vec<u64>,
}

/// One part of the response to the caller.
#[derive(Debug)]
pub struct Part {
    /// The choices, as encoded by the engine.
    pub choices: Box<serde_json::value::RawValue>,
    /// The token counts; the last part carries them.
    pub usage: Option<engine::Usage>,
}

/// The reason why an attempt did not deliver the complete response.
enum AttemptError {
    /// The connection was refused, so nothing was sent.
    NotSent,
    /// The attempt failed after it was sent.
    Failed(Error),
    /// The caller has disconnected.
    CallerDisconnected,
    /// The deadline has passed.
    DeadlineExceeded,
}

/// Serves a request and sends the parts of its response to `tx`.
///
/// Dropping the receiver means that the caller has disconnected, and ends the request.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: Request<Received>,
    call: Call,
    tx: mpsc::Sender<Part>,
) -> Request<Ended> {
    let (_in_progress, mut admitted) = request_lifecycle::InProgressGuard::admit(&shared, request);
    let ended = loop {
        let placed = request_lifecycle::place(&shared, admitted, &call.prefixes, tx.closed()).await;
        let (placed, grant_guard) = match placed {
            Ok(placed) => placed,
            Err(ended) => break ended,
        };
        match attempt(&shared, placed, grant_guard, &call, &tx).await {
            Ok(ended) => break ended,
            Err(requeued) => admitted = requeued,
        }
    };
    request_lifecycle::record_end(&shared, &ended);
    ended
}

/// Makes one attempt.
///
/// # Errors
///
/// Returns the request if it has to be placed again.
async fn attempt(
    shared: &sync::Arc<shared::Shared>,
    placed: Request<Placed>,
    mut grant_guard: placement::GrantGuard,
    call: &Call,
    tx: &mpsc::Sender<Part>,
) -> Result<Request<Ended>, Request<Admitted>> {
    let reservations = HelperReservations::reserve(shared, &placed).await;
    let Ok(reservations) = reservations else {
        wait_before_retry(&placed, shared).await;
        return Err(placed.return_grant());
    };
    let mut streaming = placed.send();
    let deadline = shared.clock.instant(streaming.deadline());
    let result = tokio::select! {
        result = stream_response(shared, &mut streaming, &mut grant_guard, call, tx) => result,
        () = reservations.renew() => Err(AttemptError::Failed(Error::UpstreamFailed)),
        () = tokio::time::sleep_until(deadline) => Err(AttemptError::DeadlineExceeded),
        () = tx.closed() => Err(AttemptError::CallerDisconnected),
    };
    conclude_attempt(shared, streaming, result).await
}

async fn wait_before_retry(request: &Request<Placed>, shared: &shared::Shared) {
    let deadline = shared.clock.instant(request.deadline());
    let end = tokio::time::Instant::now() + request_lifecycle::REFUSED_RETRY_DELAY;
    tokio::time::sleep_until(end.min(deadline)).await;
}

async fn conclude_attempt(
    shared: &shared::Shared,
    streaming: Request<Streaming>,
    result: Result<(), AttemptError>,
) -> Result<Request<Ended>, Request<Admitted>> {
    let error = match result {
        Ok(()) => return Ok(streaming.finish()),
        Err(AttemptError::DeadlineExceeded) => {
            return Ok(streaming.fail(Error::DeadlineWhileRunning));
        }
        Err(AttemptError::CallerDisconnected) => {
            return Ok(streaming.fail(Error::CallerDisconnected));
        }
        Err(AttemptError::NotSent) => {
            return Err(request_lifecycle::requeue_unsent(shared, streaming).await);
        }
        Err(AttemptError::Failed(e)) => e,
    };
    tracing::info!(event = "attempt_failed", grant = %streaming.grant().id, error = %error);
    match request_lifecycle::retry(shared, streaming, error) {
        Ok(admitted) => Err(admitted),
        Err(ended) => Ok(ended),
    }
}

async fn stream_response(
    shared: &sync::Arc<shared::Shared>,
    streaming: &mut Request<Streaming>,
    grant_guard: &mut placement::GrantGuard,
    call: &Call,
    tx: &mpsc::Sender<Part>,
) -> Result<(), AttemptError> {
    let mut response = submit(shared, streaming, call).await?;
    loop {
        let awaiting_first_token = streaming.first_token().is_none();
        let limit = if awaiting_first_token {
            first_token_limit(streaming)
        } else {
            STALL_TIMEOUT
        };
        let event = tokio::time::timeout(limit, response.next()).await;
        let event = event.map_err(|_| AttemptError::Failed(Error::UpstreamFailed))?;
        let chunk = match event.map_err(|e| AttemptError::Failed(e.into()))? {
            engine::Event::Chunk(chunk) => chunk,
            // An end marker before the last chunk means that the response was truncated.
            engine::Event::Done => return Err(AttemptError::Failed(Error::UpstreamFailed)),
        };
        let now = shared.clock.now();
        let delivery = streaming
            .accept(now, chunk.position)
            .map_err(AttemptError::Failed)?;
        if delivery == ChunkDecision::Stale {
            shared.metrics.stale_chunks.inc();
            continue;
        }
        if awaiting_first_token {
            record_first_token(shared, streaming, grant_guard);
        }
        let decode_time = streaming.first_token().map(|first| now.since(first));
        record_usage(shared, grant_guard, call, &chunk, decode_time);
        let part = Part {
            choices: chunk.choices,
            usage: chunk.usage,
        };
        tx.send(part)
            .await
            .map_err(|_| AttemptError::CallerDisconnected)?;
        if chunk.finished {
            return Ok(());
        }
    }
}

async fn submit(
    shared: &shared::Shared,
    streaming: &Request<Streaming>,
    call: &Call,
) -> Result<engine::ResponseStream, AttemptError> {
    let grant = streaming.grant();
    let lead = grant.upstreams.first().ok_or(AttemptError::NotSent)?;
    let info = streaming.info();
    let submission = engine::Submission {
        path: call.path,
        id: grant.id,
        attempt: streaming.attempt(),
        resume_from: streaming.delivered(),
        rank: info.rank,
        long_prompt: info.size.is_long(),
        group_size: grant.upstreams.len(),
        body: call.body.clone(),
    };
    // Engines send their response headers at once; only the first chunk takes long.
    let limit = first_token_limit(streaming);
    let result = tokio::time::timeout(limit, shared.engines.submit(lead, &submission)).await;
    match result {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(engine::Error::Unreachable)) => Err(AttemptError::NotSent),
        Ok(Err(e)) => Err(AttemptError::Failed(e.into())),
        Err(_) => Err(AttemptError::Failed(Error::UpstreamFailed)),
    }
}

fn first_token_limit(streaming: &Request<Streaming>) -> time::Duration {
    let prompt = streaming.info().size.prompt + Tokens(streaming.delivered());
    STALL_TIMEOUT + MIN_PREFILL_RATE.time_for(prompt).duration()
}

fn record_first_token(
    shared: &shared::Shared,
    streaming: &Request<Streaming>,
    grant_guard: &mut placement::GrantGuard,
) {
    grant_guard.record_prefilled();
    if streaming.attempt() > 1 {
        return;
    }
    let elapsed = shared.clock.now().since(streaming.received());
    let info = streaming.info();
    let labels = [
        info.rank.as_str(),
        request_lifecycle::length_class(info.size.prompt),
    ];
    let histogram = shared
        .metrics
        .first_token_seconds
        .with_label_values(&labels);
    histogram.observe(elapsed.duration().as_secs_f64());
}

fn record_usage(
    shared: &shared::Shared,
    grant_guard: &mut placement::GrantGuard,
    call: &Call,
    chunk: &engine::Chunk,
    decode_time: Option<limpetkeel::Millis>,
) {
    let Some(usage) = chunk.usage else { return };
    let decode_time = decode_time.unwrap_or_default();
    grant_guard.set_usage(OutputUsage {
        output_tokens: usage.completion_tokens,
        decode_time,
    });
    let body = limpetkeel::Bytes(call.body.len() as u64);
    shared
        .budgets
        .lock()
        .estimator
        .update(body, usage.prompt_tokens);
}

/// The reservations of memory on the helper engines of a grant, which are released on drop.
struct HelperReservations {
    shared: sync::Arc<shared::Shared>,
    id: RequestId,
    helpers: Vec<std::net::SocketAddr>,
    tokens_per_engine: Tokens,
}

impl HelperReservations {
    /// Reserves memory on every engine of the grant but the first, in the grant's order.
    ///
    /// # Errors
    ///
    /// Returns an error if one engine does not confirm; the reservations made so far are then
    /// released.
    async fn reserve(
        shared: &sync::Arc<shared::Shared>,
        placed: &Request<Placed>,
    ) -> Result<HelperReservations, engine::Error> {
        let targets = &placed.grant().upstreams;
        let memory = placed.info().size.memory();
        let tokens_per_engine = Tokens(memory.0.div_ceil(targets.len().max(1) as u64));
        let id = placed.grant().id;
        let mut reservations = HelperReservations {
            shared: shared.clone(),
            id,
            helpers: Vec::new(),
            tokens_per_engine,
        };
        for target in targets.iter().skip(1) {
            // Added before the call, because the reservation may exist even if its response is
            // lost.
            reservations.helpers.push(target.address);
            shared
                .engines
                .reserve(target.address, id, tokens_per_engine, RESERVATION_TTL)
                .await?;
        }
        Ok(reservations)
    }

    /// Renews the reservations until a renewal fails.
    async fn renew(&self) {
        loop {
            tokio::time::sleep(RENEWAL_INTERVAL).await;
            for helper in &self.helpers {
                let renewed = self.shared.engines.reserve(
                    *helper,
                    self.id,
                    self.tokens_per_engine,
                    RESERVATION_TTL,
                );
                if renewed.await.is_err() {
                    return;
                }
            }
        }
    }
}

impl Drop for HelperReservations {
    fn drop(&mut self) {
        for helper in std::mem::take(&mut self.helpers) {
            let (shared, id) = (self.shared.clone(), self.id);
            tokio::spawn(async move { shared.engines.release_reservation(helper, id).await });
        }
    }
}
