//! Encoding of completion responses: a stream of events, or one JSON object.

use std::io;

use futures_util::StreamExt as _;
use salvo::http;
use tokio::sync::mpsc;

use super::batch;
use crate::{fault, http_server};

/// The number of tokens that are sent before a stream fault takes effect.
const TOKENS_BEFORE_FAULT: u64 = 3;

/// A response to a completion request.
pub struct CompletionResponse {
    /// The id of the request.
    pub id: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// Whether the response is a chat message rather than a text completion.
    pub chat: bool,
    /// The name of the model.
    pub model: String,
    /// The fault to inject into the response.
    pub fault: Option<fault::FaultKind>,
}

impl CompletionResponse {
    /// Encodes a token as an event of the stream.
    fn encode_event(&self, id: u64, token: &batch::Token) -> String {
        let finish_reason = token.usage.map(|_| "stop");
        let choice = if self.chat {
            serde_json::json!({
                "index": 0, "delta": { "content": token.text }, "finish_reason": finish_reason,
            })
        } else {
            serde_json::json!({ "index": 0, "text": token.text, "finish_reason": finish_reason })
        };
        let usage = token.usage.map(|(prompt, output)| {
            serde_json::json!({
                "prompt_tokens": prompt,
                "completion_tokens": output,
                "total_tokens": prompt + output,
            })
        });
        let chunk = serde_json::json!({
            "id": format!("{id:016x}"),
            "attempt": self.attempt,
            "token": token.position,
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        });
        format!("data: {chunk}\n\n")
    }

    /// Sends a stream of events.
    pub fn send_stream(
        self,
        res: &mut salvo::Response,
        tokens: mpsc::UnboundedReceiver<batch::Token>,
    ) {
        res.headers_mut().insert(
            http::header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/event-stream"),
        );
        let state = (self, tokens, 0u64, false);
        let events =
            futures_util::stream::unfold(state, |(response, mut tokens, sent, done)| async move {
                if done {
                    return None;
                }
                let fault_due = sent >= TOKENS_BEFORE_FAULT;
                if fault_due && response.fault == Some(fault::FaultKind::Cut) {
                    let error = io::Error::other("stream cut");
                    return Some((Err(error), (response, tokens, sent, true)));
                }
                if fault_due && response.fault == Some(fault::FaultKind::Truncate) {
                    return Some((
                        Ok("data: [DONE]\n\n".to_owned()),
                        (response, tokens, sent, true),
                    ));
                }
                let Some(token) = tokens.recv().await else {
                    let error = io::Error::other("cancelled");
                    return Some((Err(error), (response, tokens, sent, true)));
                };
                let mut text = response.encode_event(response.id, &token);
                if fault_due && response.fault == Some(fault::FaultKind::Duplicate) {
                    text = text.repeat(2);
                }
                if fault_due && response.fault == Some(fault::FaultKind::MixStreams) {
                    text.insert_str(0, &response.encode_event(response.id ^ 1, &token));
                }
                let is_last = token.usage.is_some();
                if is_last {
                    text.push_str("data: [DONE]\n\n");
                }
                Some((Ok(text), (response, tokens, sent + 1, is_last)))
            });
        res.stream(events.boxed());
    }

    /// Sends a complete response as one JSON object.
    pub async fn send_complete(
        self,
        res: &mut salvo::Response,
        mut tokens: mpsc::UnboundedReceiver<batch::Token>,
    ) {
        let mut text = String::new();
        let mut usage = (0, 0);
        while let Some(token) = tokens.recv().await {
            text.push_str(&token.text);
            usage = token.usage.unwrap_or(usage);
        }
        if self.fault.is_some() {
            return fault::drop_response(res);
        }
        let response = serde_json::json!({
            "id": format!("{:016x}", self.id),
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": { "prompt_tokens": usage.0, "completion_tokens": usage.1 },
        });
        http_server::send_json(res, http::StatusCode::OK, &response);
    }
}
