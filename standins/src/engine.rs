//! A model engine with continuous batching, KV memory, a prefix cache, priorities, cancellation and
//! resumption.
//!
//! | request | effect or response |
//! |---|---|
//! | `POST /v1/chat/completions`, `/v1/completions` | runs a completion; responds with a stream of events or a complete response |
//! | `POST /cancel/{id}` | cancels a request |
//! | `PUT /reservations/{id}` `{tokens, ttl_ms}` | reserves memory for a request that several engines share, or renews the reservation |
//! | `DELETE /reservations/{id}` | releases the reservation |
//! | `GET /load` | the load report, delayed by the report lag |
//! | `GET /events?after=N` | the evictions from the prefix cache after position N; old ones are missing |
//! | `POST /orders` `{fencing, version}` | switches to a version |
//! | `GET /stats` | the statistics, without lag |
//! | `PUT /fault` | injects a fault, or clears it |
//!
//! A completion request carries the headers `x-request-id`, `x-attempt`, `x-resume-from`,
//! `x-priority` and, if several engines share the request, `x-group-size`. Priority 0 is the highest.

mod batch;
mod cache;
mod order;
mod report;
mod stream;

use std::{sync, time};

use salvo::http;
use xxhash_rust::xxh3;

use crate::{fault, http_server};

pub use batch::StartedRequest;
pub use report::{Load, Stats};

/// The number of body bytes that count as one token.
pub const BYTES_PER_TOKEN: u64 = 8;

/// The length of a response, in tokens, if the request does not limit it.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Settings of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The capacity of the KV memory, in tokens.
    pub memory_tokens: u64,
    /// The maximum number of concurrently running requests.
    pub slots: u32,
    /// The prefill speed, in tokens per second.
    pub prefill_tokens_per_second: u64,
    /// The duration of a decoding step, without prefill.
    pub step_duration: time::Duration,
    /// The delay of the load report.
    pub report_lag: time::Duration,
    /// Whether orders with an outdated fencing number are applied.
    pub ignores_fencing: bool,
    /// Whether requests run in order of arrival, regardless of their priorities.
    pub first_come_first_served: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            memory_tokens: 400_000,
            slots: 32,
            prefill_tokens_per_second: 40_000,
            step_duration: time::Duration::from_millis(20),
            report_lag: time::Duration::from_millis(500),
            ignores_fencing: false,
            first_come_first_served: false,
        }
    }
}

/// Returns the text of one token of the response to a prompt.
///
/// Every engine generates the same response to the same prompt. A caller can thus check that a
/// response is complete and belongs to its request, even if it was resumed on another engine.
pub fn token_text(prompt_hash: u64, token: u64) -> String {
    format!(
        "{:08x} ",
        xxh3::xxh3_64_with_seed(&token.to_le_bytes(), prompt_hash) as u32
    )
}

/// Returns the hash of a request body, which determines the response.
pub fn prompt_hash(body: &[u8]) -> u64 {
    xxh3::xxh3_64(body)
}

/// The state that the request handlers of an engine share.
struct Engine {
    settings: Settings,
    batch: sync::Arc<batch::SharedBatch>,
    load_history: report::LoadHistory,
    orders: order::Orders,
    fault_injector: fault::FaultInjector,
}

/// Builds the router of an engine, and starts its batching loop and the sampling of its load.
pub fn router(settings: Settings) -> salvo::Router {
    let batch = sync::Arc::new(batch::SharedBatch::new(settings));
    tokio::spawn(batch::run(batch.clone()));
    let engine = sync::Arc::new(Engine {
        settings,
        batch,
        load_history: report::LoadHistory::default(),
        orders: order::Orders::new(settings.ignores_fencing),
        fault_injector: fault::FaultInjector::default(),
    });
    tokio::spawn(report::sample_load(engine.clone()));
    let path = |path: &str| salvo::Router::with_path(path);
    salvo::Router::new()
        .push(path("v1/chat/completions").post(RunCompletion(engine.clone())))
        .push(path("v1/completions").post(RunCompletion(engine.clone())))
        .push(path("cancel/{id}").post(CancelRequest(engine.clone())))
        .push(
            path("reservations/{id}")
                .put(ReserveMemory(engine.clone()))
                .delete(ReleaseReservation(engine.clone())),
        )
        .push(path("load").get(ReadLoad(engine.clone())))
        .push(path("events").get(ReadEvents(engine.clone())))
        .push(path("orders").post(ApplyOrder(engine.clone())))
        .push(path("stats").get(ReadStats(engine.clone())))
        .push(path("fault").put(SetFault(engine)))
}

/// The fields of a completion request that the engine uses.
#[derive(serde::Deserialize)]
struct CompletionRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

/// Parses a header; returns `None` if it is absent or malformed.
fn header<T: std::str::FromStr>(req: &salvo::Request, name: &str) -> Option<T> {
    req.headers().get(name)?.to_str().ok()?.parse().ok()
}

struct RunCompletion(sync::Arc<Engine>);

#[salvo::handler]
impl RunCompletion {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let engine = &self.0;
        let fault = match engine.fault_injector.apply_before_work().await {
            Ok(fault) => fault,
            Err(status) => return http_server::send_status(res, status),
        };
        let accepts_events =
            header::<String>(req, "accept").is_some_and(|a| a.contains("event-stream"));
        let chat = req.uri().path().ends_with("chat/completions");
        let id = header::<String>(req, "x-request-id")
            .and_then(|id| u64::from_str_radix(&id, 16).ok())
            .unwrap_or_else(rand::random);
        let attempt = header(req, "x-attempt").unwrap_or(1);
        let resume_from = header(req, "x-resume-from").unwrap_or(0);
        let priority = header(req, "x-priority").unwrap_or(0);
        let group_size = header(req, "x-group-size").unwrap_or(1);
        let Ok(body) = req.payload_with_max_size(http_server::MAX_BODY_BYTES).await else {
            return http_server::send_status(res, http::StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(request) = serde_json::from_slice::<CompletionRequest>(body) else {
            return http_server::send_status(res, http::StatusCode::BAD_REQUEST);
        };
        let max_tokens = request.max_tokens.or(request.max_completion_tokens);
        let submission = batch::Submission {
            id,
            attempt,
            priority,
            group_size,
            resume_from,
            prompt_tokens: (body.len() as u64).div_ceil(BYTES_PER_TOKEN),
            prompt_hash: prompt_hash(body),
            prefixes: limpetkeel::Prefix::hash_prefixes(body),
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        };
        let response = stream::CompletionResponse {
            id,
            attempt,
            chat,
            model: request.model,
            fault,
        };
        match engine.batch.submit(submission) {
            Ok(tokens) if accepts_events || request.stream => response.send_stream(res, tokens),
            Ok(tokens) => response.send_complete(res, tokens).await,
            Err(batch::TooLarge) => {
                let error = serde_json::json!({ "error": { "message": "too large" } });
                http_server::send_json(res, http::StatusCode::BAD_REQUEST, &error);
            }
        }
    }
}

struct CancelRequest(sync::Arc<Engine>);

#[salvo::handler]
impl CancelRequest {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let id: String = req.param("id").unwrap_or_default();
        if let Ok(id) = u64::from_str_radix(&id, 16) {
            self.0.batch.cancel(id);
        }
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

#[derive(serde::Deserialize)]
struct ReserveBody {
    tokens: u64,
    ttl_ms: u64,
}

struct ReserveMemory(sync::Arc<Engine>);

#[salvo::handler]
impl ReserveMemory {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let id: String = req.param("id").unwrap_or_default();
        let Some(body) = http_server::read_json::<ReserveBody>(req, res).await else {
            return;
        };
        let Ok(id) = u64::from_str_radix(&id, 16) else {
            return http_server::send_status(res, http::StatusCode::BAD_REQUEST);
        };
        let ttl = time::Duration::from_millis(body.ttl_ms);
        let reserved = self.0.batch.reserve(id, body.tokens, ttl);
        let status = if reserved {
            http::StatusCode::NO_CONTENT
        } else {
            http::StatusCode::CONFLICT
        };
        res.status_code(status);
    }
}

struct ReleaseReservation(sync::Arc<Engine>);

#[salvo::handler]
impl ReleaseReservation {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let id: String = req.param("id").unwrap_or_default();
        if let Ok(id) = u64::from_str_radix(&id, 16) {
            self.0.batch.release_reservation(id);
        }
        res.status_code(http::StatusCode::NO_CONTENT);
    }
}

struct ReadLoad(sync::Arc<Engine>);

#[salvo::handler]
impl ReadLoad {
    async fn handle(&self, res: &mut salvo::Response) {
        let load = self.0.load_history.delayed_by(self.0.settings.report_lag);
        http_server::send_json(res, http::StatusCode::OK, &load);
    }
}

struct ReadEvents(sync::Arc<Engine>);

#[salvo::handler]
impl ReadEvents {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let after: u64 = req.query("after").unwrap_or(0);
        let events = self.0.batch.cache_events(after);
        http_server::send_json(res, http::StatusCode::OK, &events);
    }
}

struct ApplyOrder(sync::Arc<Engine>);

#[salvo::handler]
impl ApplyOrder {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let Some(order) = http_server::read_json::<order::Order>(req, res).await else {
            return;
        };
        let applied = self
            .0
            .orders
            .apply(order, self.0.batch.memory_by_holder().len());
        let status = if applied {
            http::StatusCode::NO_CONTENT
        } else {
            http::StatusCode::CONFLICT
        };
        res.status_code(status);
    }
}

struct ReadStats(sync::Arc<Engine>);

#[salvo::handler]
impl ReadStats {
    async fn handle(&self, res: &mut salvo::Response) {
        http_server::send_json(res, http::StatusCode::OK, &self.0.stats());
    }
}

struct SetFault(sync::Arc<Engine>);

#[salvo::handler]
impl SetFault {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        self.0.fault_injector.handle_put(req, res).await;
    }
}
