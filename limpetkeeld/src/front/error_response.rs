//! Error responses in the OpenAI format, with the outcome header.

use std::time;

use futures_util::StreamExt as _;
use limpetkeel::{Category, Error, Outcome};

use crate::shared;

/// The header that reports whether the request ran; see [`Outcome`].
pub const OUTCOME_HEADER: &str = "limpetkeel-outcome";

/// The value of `Retry-After`, in seconds, for requests refused for lack of capacity.
const RETRY_AFTER_SECONDS: u32 = 1;

/// The time allowed to receive and discard the rest of a refused request's body; the connection of
/// a slower caller is closed.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The maximum number of bytes of a refused request's body that are received and discarded; the
/// connection of a caller that sends more is closed.
const MAX_DISCARD_BYTES: usize = 64 * 1024 * 1024;

async fn discard_body(mut body: salvo::http::ReqBody) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.next().await {
        discarded += frame.data_ref().map_or(0, bytes::Bytes::len);
        if discarded > MAX_DISCARD_BYTES {
            return;
        }
    }
}

/// Returns the HTTP status of an error.
pub fn status(error: &Error) -> http::StatusCode {
    match error {
        Error::UnknownRoute(_) => return http::StatusCode::NOT_FOUND,
        Error::BodyTooLarge(_) => return http::StatusCode::PAYLOAD_TOO_LARGE,
        Error::DeadlineWhileRunning | Error::DeadlineWhileWaiting => {
            return http::StatusCode::GATEWAY_TIMEOUT;
        }
        _ => {}
    }
    match error.category() {
        Category::Input => http::StatusCode::BAD_REQUEST,
        Category::Capacity => http::StatusCode::TOO_MANY_REQUESTS,
        Category::Unavailable => http::StatusCode::SERVICE_UNAVAILABLE,
        Category::Upstream => http::StatusCode::BAD_GATEWAY,
        Category::Conflict => http::StatusCode::CONFLICT,
    }
}

fn error_type(error: &Error) -> &'static str {
    match error.category() {
        Category::Input => "invalid_request_error",
        Category::Capacity => "rate_limit_error",
        Category::Unavailable | Category::Upstream => "server_error",
        Category::Conflict => "conflict_error",
    }
}

/// Returns the JSON body of an error.
pub fn body(error: &Error, outcome: Outcome) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "message": error.to_string(),
            "type": error_type(error),
            "param": null,
            "code": error.code(),
            "outcome": outcome.as_str(),
        }
    })
}

/// Responds with an error.
pub fn render(res: &mut salvo::Response, error: &Error, outcome: Outcome) {
    res.status_code(status(error));
    let value = http::HeaderValue::from_static(outcome.as_str());
    res.headers_mut().insert(OUTCOME_HEADER, value);
    if error.category() == Category::Capacity {
        let value = http::HeaderValue::from(RETRY_AFTER_SECONDS);
        res.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    res.render(salvo::writing::Json(body(error, outcome)));
}

/// Responds with an error to a request that was never admitted or whose task failed; logs the error
/// and updates the metrics.
///
/// The rest of the body is received and discarded first: if the connection closed while the caller
/// still sent, the caller would not see the response.
pub async fn refuse(
    shared: &shared::Shared,
    req: &mut salvo::Request,
    res: &mut salvo::Response,
    refusal: &Error,
) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard_body(req.take_body())).await;
    let outcome = refusal.outcome();
    shared
        .metrics
        .refusals
        .with_label_values(&[refusal.code(), outcome.as_str()])
        .inc();
    tracing::info!(event = "request_refused", code = refusal.code(), outcome = %outcome);
    render(res, refusal, outcome);
}

/// Adds `Connection: close` to the response if the instance is draining.
pub fn close_if_draining(shared: &shared::Shared, res: &mut salvo::Response) {
    if shared.membership.lock().local_state.is_draining() {
        let value = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, value);
    }
}

/// Handles requests for paths that do not exist.
pub struct NotFoundHandler;

#[salvo::handler]
impl NotFoundHandler {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let path = req.uri().path().to_owned();
        render(res, &Error::UnknownRoute(path), Outcome::NotRun);
    }
}
