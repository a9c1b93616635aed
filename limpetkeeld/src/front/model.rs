//! Model requests in the OpenAI format, with streaming and non-streaming responses.

use std::sync;

use futures_util::StreamExt as _;
use limpetkeel::{Ended, Error, Outcome, Prefix, Request, RequestSize, RouteKind, Tokens};
use tokio::{sync::mpsc, task};

use crate::{
    clock, engine,
    front::{self, error_response},
    request_lifecycle::{self, model_request},
    shared,
};

/// The maximum number of response tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;

/// The number of response parts that are buffered for a slow caller.
const PART_BUFFER_LEN: usize = 64;

/// A completion API of the OpenAI format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Api {
    fn path(self) -> &'static str {
        match self {
            Api::Chat => "/v1/chat/completions",
            Api::Text => "/v1/completions",
        }
    }

    fn id_prefix(self) -> &'static str {
        match self {
            Api::Chat => "chatcmpl",
            Api::Text => "cmpl",
        }
    }

    fn chunk_object(self) -> &'static str {
        match self {
            Api::Chat => "chat.completion.chunk",
            Api::Text => "text_completion",
        }
    }
}

/// The fields of a request body that the daemon reads; the engine reads the others.
///
/// The name of the struct appears in the error that a caller gets for a body that is not an object.
#[derive(Debug, serde::Deserialize)]
struct Head {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    messages: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    prompt: Option<serde::de::IgnoredAny>,
}

impl Head {
    fn parse(api: Api, body: &[u8]) -> limpetkeel::Result<Head> {
        let head: Head =
            serde_json::from_slice(body).map_err(|e| Error::MalformedBody(e.to_string()))?;
        let missing = match api {
            Api::Chat if head.messages.is_none() => "the field messages is required",
            Api::Text if head.prompt.is_none() => "the field prompt is required",
            _ => return Ok(head),
        };
        Err(Error::MalformedBody(missing.to_owned()))
    }

    fn max_output(&self) -> Tokens {
        let max = self.max_completion_tokens.or(self.max_tokens);
        Tokens(max.unwrap_or(DEFAULT_MAX_TOKENS).max(1))
    }
}

/// Handles requests of one completion API.
pub struct CompletionHandler {
    shared: sync::Arc<shared::Shared>,
    api: Api,
}

impl CompletionHandler {
    /// Creates the handler of the given API.
    pub fn new(shared: &sync::Arc<shared::Shared>, api: Api) -> CompletionHandler {
        CompletionHandler {
            shared: shared.clone(),
            api,
        }
    }
}

#[salvo::handler]
impl CompletionHandler {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        error_response::close_if_draining(&self.shared, res);
        match self.start(req).await {
            Ok((running, true)) => running.respond_streaming(res).await,
            Ok((running, false)) => running.respond_complete(res).await,
            Err(e) => error_response::refuse(&self.shared, req, res, &e).await,
        }
    }
}

impl CompletionHandler {
    /// Decodes a request and starts to serve it; the flag is `true` if the response is streamed.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is invalid or refused before admission.
    async fn start(&self, req: &mut salvo::Request) -> limpetkeel::Result<(RunningRequest, bool)> {
        let shared = &self.shared;
        let workspace = front::parse_workspace(req)?;
        let timeout = front::parse_timeout(req)?;
        let body = front::BudgetedBody::read(shared, req).await?;
        let head = Head::parse(self.api, &body.bytes)?;
        let bytes = limpetkeel::Bytes(body.bytes.len() as u64);
        let prompt = shared.budgets.lock().estimator.estimate(bytes);
        let incoming = request_lifecycle::IncomingRequest {
            route: head.model.clone(),
            kind: RouteKind::Model,
            workspace,
            timeout,
            size: RequestSize {
                prompt,
                output: head.max_output(),
            },
            idempotent: true,
        };
        let request = incoming.resolve(shared)?;
        body.check_rank_share(request.info().rank)?;
        let prefixes = Prefix::hash_prefixes(&body.bytes)
            .into_iter()
            .map(|prefix| prefix.hash)
            .collect();
        let call = model_request::Call {
            path: self.api.path(),
            body: body.bytes.clone(),
            prefixes,
        };
        let (tx, parts) = mpsc::channel(PART_BUFFER_LEN);
        let shared = shared.clone();
        let serving = tokio::spawn(async move {
            let ended = model_request::serve(shared, request, call, tx).await;
            drop(body);
            ended
        });
        let envelope = ResponseEnvelope {
            id: format!("{}-{:016x}", self.api.id_prefix(), rand::random::<u64>()),
            created: clock::unix_millis().0 / 1000,
            model: head.model,
            api: self.api,
        };
        Ok((
            RunningRequest {
                parts,
                serving,
                envelope,
            },
            head.stream.unwrap_or(false),
        ))
    }
}

/// The fields that all parts of one response share.
struct ResponseEnvelope {
    id: String,
    created: u64,
    model: String,
    api: Api,
}

#[derive(serde::Serialize)]
struct ChunkBody<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: &'a serde_json::value::RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

impl From<engine::Usage> for UsageBody {
    fn from(usage: engine::Usage) -> UsageBody {
        UsageBody {
            prompt_tokens: usage.prompt_tokens.0,
            completion_tokens: usage.completion_tokens.0,
            total_tokens: usage.prompt_tokens.0 + usage.completion_tokens.0,
        }
    }
}

impl ResponseEnvelope {
    fn encode_event(&self, part: &model_request::Part) -> String {
        let body = ChunkBody {
            id: &self.id,
            object: self.api.chunk_object(),
            created: self.created,
            model: &self.model,
            choices: &part.choices,
            usage: part.usage.map(UsageBody::from),
        };
        // Serialization cannot fail: the body holds only text, numbers and JSON already parsed.
        let encoded = serde_json::to_string(&body).unwrap_or_default();
        format!("data: {encoded}\n\n")
    }

    fn encode_complete(
        &self,
        text: &str,
        reason: Option<&str>,
        usage: UsageBody,
    ) -> serde_json::Value {
        let (object, choice) = match self.api {
            Api::Chat => (
                "chat.completion",
                serde_json::json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "logprobs": null,
                    "finish_reason": reason,
                }),
            ),
            Api::Text => (
                "text_completion",
                serde_json::json!({
                    "index": 0, "text": text, "logprobs": null, "finish_reason": reason,
                }),
            ),
        };
        serde_json::json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
    }
}

/// One choice of a response part, reduced to its text and finish reason.
#[derive(serde::Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Option<DeltaText>,
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(serde::Deserialize)]
struct DeltaText {
    #[serde(default)]
    content: Option<String>,
}

/// A request in progress and the receiving end of its response parts.
struct RunningRequest {
    parts: mpsc::Receiver<model_request::Part>,
    serving: task::JoinHandle<Request<Ended>>,
    envelope: ResponseEnvelope,
}

/// Waits for a request to end, and returns its error and outcome if it failed.
async fn error_of(serving: task::JoinHandle<Request<Ended>>) -> Option<(Error, Outcome)> {
    match serving.await {
        Ok(ended) => Some((ended.error()?.clone(), ended.outcome()?)),
        Err(_) => Some((Error::WorkerStopped, Outcome::Unknown)),
    }
}

impl RunningRequest {
    /// Responds with a stream of events.
    ///
    /// The status is sent with the first part, so that a request that fails before it gets an
    /// error response.
    async fn respond_streaming(mut self, res: &mut salvo::Response) {
        let Some(first) = self.parts.recv().await else {
            if let Some((e, outcome)) = error_of(self.serving).await {
                error_response::render(res, &e, outcome);
            }
            return;
        };
        let content_type = http::HeaderValue::from_static("text/event-stream");
        res.headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        let no_cache = http::HeaderValue::from_static("no-cache");
        res.headers_mut()
            .insert(http::header::CACHE_CONTROL, no_cache);
        let first = self.envelope.encode_event(&first);
        let rest = futures_util::stream::unfold(Some(self), |running| async move {
            let mut running = running?;
            if let Some(part) = running.parts.recv().await {
                let event = running.envelope.encode_event(&part);
                return Some((event, Some(running)));
            }
            let event = match error_of(running.serving).await {
                None => "data: [DONE]\n\n".to_owned(),
                Some((e, outcome)) => format!("data: {}\n\n", error_response::body(&e, outcome)),
            };
            Some((event, None))
        });
        let events = futures_util::stream::iter([first]).chain(rest);
        res.stream(events.map(Ok::<String, std::convert::Infallible>));
    }

    /// Responds with one JSON object.
    async fn respond_complete(mut self, res: &mut salvo::Response) {
        let (mut text, mut reason, mut usage) = (String::new(), None, UsageBody::default());
        while let Some(part) = self.parts.recv().await {
            let choices: Vec<Choice> = serde_json::from_str(part.choices.get()).unwrap_or_default();
            for choice in choices {
                let delta_text = choice.delta.and_then(|delta| delta.content).or(choice.text);
                text.push_str(&delta_text.unwrap_or_default());
                reason = choice.finish_reason.or(reason);
            }
            usage = part.usage.map_or(usage, UsageBody::from);
        }
        if let Some((e, outcome)) = error_of(self.serving).await {
            return error_response::render(res, &e, outcome);
        }
        let body = self
            .envelope
            .encode_complete(&text, reason.as_deref(), usage);
        res.render(salvo::writing::Json(body));
    }
}

/// Handles `GET /v1/models`, which lists the model routes.
pub struct ModelListHandler(sync::Arc<shared::Shared>);

impl ModelListHandler {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> ModelListHandler {
        ModelListHandler(shared.clone())
    }
}

#[salvo::handler]
impl ModelListHandler {
    async fn handle(&self, res: &mut salvo::Response) {
        let in_force = self.0.in_force.lock();
        let routes = in_force
            .tables
            .routes()
            .filter(|route| route.kind() == RouteKind::Model);
        let models: Vec<_> = routes
            .map(|route| {
                serde_json::json!({
                    "id": route.name(),
                    "object": "model",
                    "created": 0,
                    "owned_by": "limpetkeel",
                })
            })
            .collect();
        drop(in_force);
        let body = serde_json::json!({ "object": "list", "data": models });
        res.render(salvo::writing::Json(body));
    }
}
