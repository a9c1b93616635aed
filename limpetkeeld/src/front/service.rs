//! The handler of calls to plain services.

use std::sync;

use limpetkeel::{CallKey, IdempotencyKey, RequestSize, RouteKind};

use crate::{
    front::{self, error_response},
    request_lifecycle, service, shared,
};

/// The header whose key identifies a run-once call.
const KEY_HEADER: &str = "idempotency-key";

/// Handles requests of any method to `/services/{route}/{path}`.
pub struct ServiceHandler(sync::Arc<shared::Shared>);

impl ServiceHandler {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> ServiceHandler {
        ServiceHandler(shared.clone())
    }
}

/// A decoded request, and its key if it is a run-once call.
struct DecodedRequest {
    incoming: request_lifecycle::IncomingRequest,
    call: service::Call,
    key: Option<CallKey>,
    body: front::BudgetedBody,
}

#[salvo::handler]
impl ServiceHandler {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let shared = &self.0;
        error_response::close_if_draining(shared, res);
        let decoded = match decode(shared, req).await {
            Ok(decoded) => decoded,
            Err(e) => return error_response::refuse(shared, req, res, &e).await,
        };
        let request = decoded.incoming.resolve(shared);
        let request = request.and_then(|request| {
            decoded.body.check_rank_share(request.info().rank)?;
            Ok(request)
        });
        let request = match request {
            Ok(request) => request,
            Err(e) => return error_response::refuse(shared, req, res, &e).await,
        };
        // The call runs in its own task, so that a caller's disconnect does not abort a call that
        // may already run on the service.
        let serving = request_lifecycle::service_call::serve(
            shared.clone(),
            request,
            decoded.call,
            decoded.key,
        );
        let Ok(completed) = tokio::spawn(serving).await else {
            return error_response::refuse(shared, req, res, &limpetkeel::Error::WorkerStopped)
                .await;
        };
        render(res, completed);
    }
}

fn render(res: &mut salvo::Response, completed: request_lifecycle::service_call::CompletedCall) {
    if let Some(response) = completed.response {
        res.status_code(response.status);
        res.headers_mut().extend(response.headers);
        res.body(response.body);
    } else if let (Some(e), Some(outcome)) =
        (completed.request.error(), completed.request.outcome())
    {
        error_response::render(res, e, outcome);
    }
}

async fn decode(
    shared: &sync::Arc<shared::Shared>,
    req: &mut salvo::Request,
) -> limpetkeel::Result<DecodedRequest> {
    let workspace = front::parse_workspace(req)?;
    let key = parse_key(req, &workspace)?;
    let method = req.method().clone();
    let route: String = req.param("route").unwrap_or_default();
    let path = service_path(req, &route);
    let headers = req.headers().clone();
    let timeout = front::parse_timeout(req)?;
    let body = front::BudgetedBody::read(shared, req).await?;
    let incoming = request_lifecycle::IncomingRequest {
        route,
        kind: RouteKind::Service,
        workspace,
        timeout,
        size: RequestSize::default(),
        idempotent: key.is_none() && method.is_idempotent(),
    };
    let call = service::Call {
        method,
        path,
        headers,
        body: body.bytes.clone(),
    };
    Ok(DecodedRequest {
        incoming,
        call,
        key,
        body,
    })
}

fn parse_key(
    req: &salvo::Request,
    workspace: &limpetkeel::WorkspaceName,
) -> limpetkeel::Result<Option<CallKey>> {
    let Some(value) = req.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let malformed = || limpetkeel::Error::MalformedHeader(KEY_HEADER.to_owned());
    let key = IdempotencyKey::try_from(value.to_str().map_err(|_| malformed())?)?;
    Ok(Some(CallKey {
        workspace: workspace.clone(),
        key,
    }))
}

fn service_path(req: &salvo::Request, route: &str) -> String {
    let uri = req.uri();
    let path = uri.path();
    let rest = path
        .strip_prefix("/services/")
        .and_then(|rest| rest.strip_prefix(route));
    let rest = rest.filter(|rest| !rest.is_empty()).unwrap_or("/");
    match uri.query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest.to_owned(),
    }
}
