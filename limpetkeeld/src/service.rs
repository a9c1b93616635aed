//! The HTTP client for plain services.

use std::{net, time};

use bytes::Bytes;
use limpetkeel::{Capacity, LoadReport, Tokens, TokensPerSecond, UpstreamAddress};

/// The timeout of a load report.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// A call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: http::Method,
    /// The path and query, relative to the root of the service.
    pub path: String,
    /// The caller's headers.
    pub headers: http::HeaderMap,
    /// The caller's body.
    pub body: Bytes,
}

/// The complete response of a service.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: http::StatusCode,
    /// The headers to forward to the caller.
    pub headers: http::HeaderMap,
    /// The response body.
    pub body: Bytes,
}

#[derive(serde::Deserialize)]
struct LoadBody {
    slots: u32,
}

/// An HTTP client for all services.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Creates a client that connects from `source`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(source: net::IpAddr) -> reqwest::Result<Client> {
        let http = reqwest::Client::builder()
            .local_address(source)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // Following a redirect would send the request once more.
            .redirect(reqwest::redirect::Policy::none())
            // Connections are not reused: an idle connection can break after the request was
            // written, while a new one that fails to connect shows that nothing was sent.
            .pool_max_idle_per_host(0)
            .build()?;
        Ok(Client { http })
    }

    /// Makes a call and receives the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`limpetkeel::Error::UpstreamRefused`] if nothing was sent, and
    /// [`limpetkeel::Error::UpstreamFailed`] if the call may have run.
    pub async fn call(
        &self,
        target: &UpstreamAddress,
        call: &Call,
    ) -> limpetkeel::Result<Response> {
        let res = self
            .http
            .request(
                call.method.clone(),
                format!("http://{}{}", target.address, call.path),
            )
            .headers(end_to_end_headers(&call.headers))
            .body(call.body.clone())
            .send()
            .await
            .map_err(|e| {
                if e.is_connect() {
                    limpetkeel::Error::UpstreamRefused
                } else {
                    limpetkeel::Error::UpstreamFailed
                }
            })?;
        let (status, headers) = (res.status(), end_to_end_headers(res.headers()));
        let body = res
            .bytes()
            .await
            .map_err(|_| limpetkeel::Error::UpstreamFailed)?;
        Ok(Response {
            status,
            headers,
            body,
        })
    }

    /// Requests the load report; returns `None` if the service does not respond with a valid one.
    pub async fn load_report(&self, address: net::SocketAddr) -> Option<LoadReport> {
        let req = self
            .http
            .get(format!("http://{address}/_load"))
            .timeout(LOAD_TIMEOUT);
        let load: LoadBody = req.send().await.ok()?.json().await.ok()?;
        let capacity = Capacity {
            memory: Tokens(u64::MAX),
            slots: load.slots,
            prefill_speed: TokensPerSecond(1),
        };
        Some(LoadReport {
            capacity,
            running: Vec::new(),
            version: None,
        })
    }
}

fn end_to_end_headers(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut forwarded = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && name != http::header::CONTENT_LENGTH {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}
