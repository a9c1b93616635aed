//! Errors in the OpenAI form, with the outcome header.

use std::time;

use futures_util::StreamExt as _;
use limpetkeel::{Category, Error, Outcome};

use crate::shared;

/// Says what the caller may conclude.
pub const OUTCOME_HEADER: &str = "limpetkeel-outcome";

/// Seconds after which a caller may repeat a request that found no room.
const RETRY_AFTER_SECONDS: u32 = 1;

/// A caller that takes longer to send a refused body is cut off.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A longer refused body is cut off.
const MAX_DISCARD_BYTES: usize = 64 * 1024 * 1024;

async fn discard(mut body: salvo::http::ReqBody) {
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

fn kind(error: &Error) -> &'static str {
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
            "type": kind(error),
            "param": null,
            "code": error.code(),
            "outcome": outcome.as_str(),
        }
    })
}

/// Answers with an error.
pub fn error(res: &mut salvo::Response, error: &Error, outcome: Outcome) {
    res.status_code(status(error));
    let value = http::HeaderValue::from_static(outcome.as_str());
    res.headers_mut().insert(OUTCOME_HEADER, value);
    if error.category() == Category::Capacity {
        let value = http::HeaderValue::from(RETRY_AFTER_SECONDS);
        res.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    res.render(salvo::writing::Json(body(error, outcome)));
}

/// Answers with an error of a request that was never admitted, and counts it.
///
/// What is left of the body is read and dropped first: a connection that closes while the caller
/// still writes would hide the answer.
pub async fn refuse(
    shared: &shared::Shared,
    req: &mut salvo::Request,
    res: &mut salvo::Response,
    refusal: &Error,
) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard(req.take_body())).await;
    let outcome = refusal.outcome();
    shared
        .metrics
        .refusals
        .with_label_values(&[refusal.code(), outcome.as_str()])
        .inc();
    tracing::info!(event = "request_refused", code = refusal.code(), outcome = %outcome);
    error(res, refusal, outcome);
}

/// Asks the caller to close the connection if the instance is leaving.
pub fn close_if_leaving(shared: &shared::Shared, res: &mut salvo::Response) {
    if shared.membership.lock().own.is_leaving() {
        let value = http::HeaderValue::from_static("close");
        res.headers_mut().insert(http::header::CONNECTION, value);
    }
}

/// Answers requests for paths that do not exist.
pub struct NotFound;

#[salvo::handler]
impl NotFound {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let path = req.uri().path().to_owned();
        error(res, &Error::UnknownRoute(path), Outcome::NotRun);
    }
}
