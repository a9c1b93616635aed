//! An HTTP client that checks that each response is complete and belongs to its request.

use std::time;

use futures_util::StreamExt as _;

use crate::engine;

/// Length in bytes of the prefix that all prompts of a workspace share.
const SHARED_PREFIX_BYTES: usize = 4_500;

/// A model request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// The route.
    pub route: String,
    /// The workspace.
    pub workspace: String,
    /// The number written into the prompt to make it unique.
    pub seed: u64,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// The number of tokens to generate.
    pub max_tokens: u64,
    /// Whether to request a streaming response.
    pub stream: bool,
    /// The timeout sent with the request, if any.
    pub timeout: Option<time::Duration>,
}

impl ModelRequest {
    /// Returns the request body: the prefix shared by the workspace, then text unique to the
    /// prompt.
    pub fn body(&self) -> Vec<u8> {
        let head = format!(
            "{{\"model\":\"{}\",\"messages\":[{{\"role\":\"user\",\"content\":\"",
            self.route
        );
        let tail = format!(
            "\"}}],\"max_tokens\":{},\"stream\":{}}}",
            self.max_tokens, self.stream
        );
        let length = (self.prompt_tokens * engine::BYTES_PER_TOKEN) as usize;
        let mut body = String::with_capacity(length + 64);
        body.push_str(&head);
        while body.len() < SHARED_PREFIX_BYTES.min(length) {
            body.push_str(&self.workspace);
            body.push(' ');
        }
        body.push_str(&format!("{:016x} ", self.seed));
        while body.len() + tail.len() < length {
            body.push_str("roof rack ");
        }
        body.push_str(&tail);
        body.into_bytes()
    }
}

/// The result of a request as the caller observed it.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// The HTTP status; zero if there was no response.
    pub status: u16,
    /// The outcome given by the response header or by an error event of the stream.
    pub outcome: Option<String>,
    /// The error code.
    pub code: Option<String>,
    /// The generated text, or the body of an error or service response.
    pub text: String,
    /// Whether the response ended normally: with the `[DONE]` event of a stream, or with a
    /// readable body.
    pub ended: bool,
    /// The time from sending to the first token of a stream.
    pub first_token: Option<time::Duration>,
    /// The times between consecutive tokens of a stream.
    pub gaps: Vec<time::Duration>,
    /// The time from sending to the end of the response.
    pub elapsed: time::Duration,
    /// Whether the complete response arrived and matches the request.
    pub complete: bool,
    /// Whether the received text is a prefix of the response expected for this request or, for a
    /// service call, whether the service echoed the body that was sent.
    pub matches_request: bool,
}

/// Sends model and service requests to a daemon or an engine.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    http: reqwest::Client,
}

impl Caller {
    /// Sends a model request to the daemon or engine at the base URL `daemon` and compares the
    /// response with the expected text.
    pub async fn send_model_request(&self, daemon: &str, request: &ModelRequest) -> CallResult {
        let body = request.body();
        let prompt_hash = engine::prompt_hash(&body);
        let started = time::Instant::now();
        let mut req = self
            .http
            .post(format!("{daemon}/v1/chat/completions"))
            .header("limpetkeel-workspace", &request.workspace)
            .header("content-type", "application/json");
        if let Some(timeout) = request.timeout {
            req = req.header("limpetkeel-timeout-ms", timeout.as_millis().to_string());
        }
        let mut result = CallResult::default();
        if let Ok(res) = req.body(body).send().await {
            result.read_response(res, request.stream, started).await;
        }
        result.elapsed = started.elapsed();
        result.compare_with_expected(prompt_hash, request.max_tokens);
        result
    }

    /// Calls a service through the daemon at the base URL `daemon` and compares the echoed body
    /// with the one sent.
    pub async fn call_service(
        &self,
        daemon: &str,
        route: &str,
        workspace: &str,
        key: Option<&str>,
        body: &str,
    ) -> CallResult {
        let started = time::Instant::now();
        let mut req = self
            .http
            .post(format!("{daemon}/services/{route}/book"))
            .header("limpetkeel-workspace", workspace);
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let mut result = CallResult::default();
        if let Ok(res) = req.body(body.to_owned()).send().await {
            result.read_head(&res);
            let text = res.text().await;
            result.ended = text.is_ok();
            result.text = text.unwrap_or_default();
            result.read_error_code();
            let echo: Option<EchoBody> = serde_json::from_str(&result.text).ok();
            result.matches_request = echo.is_some_and(|echo| echo.echo == body);
            result.complete = result.status == 200 && result.matches_request;
        }
        result.elapsed = started.elapsed();
        result
    }
}

#[derive(serde::Deserialize)]
struct EchoBody {
    echo: String,
}

#[derive(serde::Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(serde::Deserialize)]
struct ErrorFields {
    code: Option<String>,
    outcome: Option<String>,
}

#[derive(serde::Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

#[derive(serde::Deserialize)]
struct Choice {
    delta: Option<Message>,
    message: Option<Message>,
}

#[derive(serde::Deserialize)]
struct Message {
    content: String,
}

impl Completion {
    fn text(self) -> String {
        let message = |choice: Choice| choice.delta.or(choice.message);
        self.choices
            .into_iter()
            .filter_map(message)
            .map(|message| message.content)
            .collect()
    }
}

impl CallResult {
    fn read_head(&mut self, res: &reqwest::Response) {
        self.status = res.status().as_u16();
        let outcome = res.headers().get("limpetkeel-outcome");
        self.outcome = outcome
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
    }

    fn read_error_code(&mut self) {
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&self.text) {
            self.code = body.error.code;
        }
    }

    async fn read_response(
        &mut self,
        res: reqwest::Response,
        stream: bool,
        started: time::Instant,
    ) {
        self.read_head(&res);
        if self.status == 200 && stream {
            return self.read_event_stream(res, started).await;
        }
        let Ok(text) = res.text().await else { return };
        self.text = text;
        self.read_error_code();
        if self.status == 200
            && let Ok(completion) = serde_json::from_str::<Completion>(&self.text)
        {
            self.text = completion.text();
            self.ended = true;
        }
    }

    async fn read_event_stream(&mut self, res: reqwest::Response, started: time::Instant) {
        let mut buffer = Vec::new();
        let mut last = started;
        let mut bytes = res.bytes_stream();
        while let Some(Ok(chunk)) = bytes.next().await {
            buffer.extend_from_slice(&chunk);
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event: Vec<u8> = buffer.drain(..end + 2).collect();
                self.apply_event(&event, started, &mut last);
            }
        }
    }

    fn apply_event(&mut self, event: &[u8], started: time::Instant, last: &mut time::Instant) {
        let Some(data) = event.strip_prefix(b"data: ") else {
            return;
        };
        if data.starts_with(b"[DONE]") {
            self.ended = true;
            return;
        }
        if let Ok(body) = serde_json::from_slice::<ErrorBody>(data) {
            self.code = body.error.code;
            self.outcome = body.error.outcome;
            return;
        }
        let Ok(completion) = serde_json::from_slice::<Completion>(data) else {
            return;
        };
        let now = time::Instant::now();
        if self.first_token.is_none() {
            self.first_token = Some(now - started);
        } else {
            self.gaps.push(now - *last);
        }
        *last = now;
        self.text.push_str(&completion.text());
    }

    fn compare_with_expected(&mut self, prompt_hash: u64, max_tokens: u64) {
        if self.status != 200 {
            return;
        }
        let expected: String = (0..max_tokens)
            .map(|token| engine::token_text(prompt_hash, token))
            .collect();
        self.matches_request = expected.starts_with(&self.text);
        self.complete = self.ended && self.text == expected;
    }
}
