//! The HTTP front end: decodes callers' requests and encodes responses. It makes no decisions.

mod error_response;
pub mod health;
mod model;
mod service;

use std::sync;

use limpetkeel::{Bytes, Error, Millis, Rank, WorkspaceName};

use crate::shared;

/// The header that names the workspace; required.
const WORKSPACE_HEADER: &str = "limpetkeel-workspace";

/// The header with a timeout in milliseconds, which shortens the route's timeout.
const TIMEOUT_HEADER: &str = "limpetkeel-timeout-ms";

/// Builds the router of the caller interface.
pub fn router(shared: &sync::Arc<shared::Shared>) -> salvo::Router {
    let with_path = |path: &str| salvo::Router::with_path(path);
    salvo::Router::new()
        .push(
            with_path("v1/chat/completions")
                .post(model::CompletionHandler::new(shared, model::Api::Chat)),
        )
        .push(
            with_path("v1/completions")
                .post(model::CompletionHandler::new(shared, model::Api::Text)),
        )
        .push(with_path("v1/models").get(model::ModelListHandler::new(shared)))
        .push(with_path("services/{route}/{**path}").goal(service::ServiceHandler::new(shared)))
        .push(with_path("services/{route}").goal(service::ServiceHandler::new(shared)))
        .push(with_path("healthz").get(health::LivenessHandler))
        .push(with_path("readyz").get(health::ReadinessHandler::new(shared)))
        .push(with_path("status").get(health::StatusHandler::new(shared)))
        .push(with_path("metrics").get(health::MetricsHandler::new(shared)))
        .push(with_path("{**path}").goal(error_response::NotFoundHandler))
}

fn parse_workspace(req: &salvo::Request) -> limpetkeel::Result<WorkspaceName> {
    let value = req
        .headers()
        .get(WORKSPACE_HEADER)
        .ok_or(Error::MissingWorkspace)?;
    let text = value
        .to_str()
        .map_err(|_| Error::MalformedHeader(WORKSPACE_HEADER.to_owned()))?;
    WorkspaceName::try_from(text)
}

fn parse_timeout(req: &salvo::Request) -> limpetkeel::Result<Option<Millis>> {
    let Some(value) = req.headers().get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|millis| *millis > 0);
    parsed
        .map(|millis| Some(Millis(millis)))
        .ok_or_else(|| Error::MalformedHeader(TIMEOUT_HEADER.to_owned()))
}

/// A request body and its reservation in the instance's body budget, which is released on drop.
struct BudgetedBody {
    shared: sync::Arc<shared::Shared>,
    reserved: Bytes,
    bytes: bytes::Bytes,
}

impl BudgetedBody {
    /// Reads a body within the size limit and the budget.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or malformed, or if the budget is exhausted.
    async fn read(
        shared: &sync::Arc<shared::Shared>,
        req: &mut salvo::Request,
    ) -> limpetkeel::Result<BudgetedBody> {
        let limit = shared.settings.max_body;
        let declared = req.headers().get(http::header::CONTENT_LENGTH);
        let declared = declared.and_then(|value| value.to_str().ok()?.parse().ok());
        // A body of undeclared length reserves the largest permitted size.
        let reserved = Bytes(declared.unwrap_or(limit.0));
        if reserved > limit {
            return Err(Error::BodyTooLarge(limit));
        }
        let mut body = BudgetedBody::reserve(shared, reserved)?;
        let payload = req.payload_with_max_size(limit.0 as usize).await;
        body.bytes = payload.map_err(|e| body_error(&e, limit))?.clone();
        Ok(body)
    }

    fn reserve(
        shared: &sync::Arc<shared::Shared>,
        bytes: Bytes,
    ) -> limpetkeel::Result<BudgetedBody> {
        let mut budgets = shared.budgets.lock();
        budgets.bodies.reserve(bytes)?;
        shared
            .metrics
            .body_bytes
            .set(budgets.bodies.reserved().0 as i64);
        Ok(BudgetedBody {
            shared: shared.clone(),
            reserved: bytes,
            bytes: bytes::Bytes::new(),
        })
    }

    /// Checks that the body fits the budget share of its rank.
    ///
    /// # Errors
    ///
    /// Returns an error if the share is exhausted.
    fn check_rank_share(&self, rank: Rank) -> limpetkeel::Result<()> {
        self.shared.budgets.lock().bodies.check_rank(rank)
    }
}

impl Drop for BudgetedBody {
    fn drop(&mut self) {
        let mut budgets = self.shared.budgets.lock();
        budgets.bodies.release(self.reserved);
        self.shared
            .metrics
            .body_bytes
            .set(budgets.bodies.reserved().0 as i64);
    }
}

fn body_error(error: &salvo::http::ParseError, limit: Bytes) -> Error {
    match error {
        salvo::http::ParseError::PayloadTooLarge => Error::BodyTooLarge(limit),
        other => Error::MalformedBody(other.to_string()),
    }
}
