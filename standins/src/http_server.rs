//! HTTP server helpers that the stand-ins share.

use std::net;

use salvo::http;

/// The maximum size of a request body: enough for a prompt of a million tokens, with headroom.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Responds with a status and a JSON value.
pub fn send_json<T: serde::Serialize + Send + Sync>(
    res: &mut salvo::Response,
    status: http::StatusCode,
    value: &T,
) {
    res.status_code(status);
    res.render(salvo::writing::Json(value));
}

/// Reads a JSON body. If it cannot be read or parsed, responds with status 400 and returns `None`.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    req: &mut salvo::Request,
    res: &mut salvo::Response,
) -> Option<T> {
    let parsed = match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(payload) => serde_json::from_slice(payload).map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    match parsed {
        Ok(value) => Some(value),
        Err(e) => {
            send_json(
                res,
                http::StatusCode::BAD_REQUEST,
                &serde_json::json!({ "error": e }),
            );
            None
        }
    }
}

/// Serves a router until the process exits. Prints an error and returns if the address cannot be
/// bound.
pub async fn serve(address: net::SocketAddr, router: salvo::Router) {
    let listener = limpetkeeld::listener::listen(address);
    match listener.and_then(salvo::conn::tcp::TcpAcceptor::try_from) {
        Ok(acceptor) => salvo::Server::new(acceptor).serve(router).await,
        Err(e) => eprintln!("{address}: {e}"),
    }
}

/// Responds with a status and an empty body.
pub fn send_status(res: &mut salvo::Response, status: http::StatusCode) {
    res.status_code(status);
}
