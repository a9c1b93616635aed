//! The adapter for plain services.

use std::{net, time};

use bytes::Bytes;
use limpetkeel::{Capacity, Place, Report, Tokens, TokensPerSecond};

/// A load report that is not answered within this time has failed.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// A connection that is not established within this time has failed.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// A call of a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// Path and query, from the service's root.
    pub path: String,
    /// The caller's headers.
    pub headers: http::HeaderMap,
    /// The caller's body.
    pub body: Bytes,
}

/// The whole answer of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: http::StatusCode,
    /// The headers that are passed on.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

#[derive(serde::Deserialize)]
struct Load {
    slots: u32,
}

/// A client of all services.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Creates a client that connects from the given address.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library cannot start.
    pub fn new(source: net::IpAddr) -> reqwest::Result<Client> {
        let http = reqwest::Client::builder()
            .local_address(source)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // An idle connection can break after the request was written; a fresh one tells
            // apart what was not sent from what may have run.
            .pool_max_idle_per_host(0)
            .build()?;
        Ok(Client { http })
    }

    /// Makes a call and receives the whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`limpetkeel::Error::UpstreamRefused`] if nothing was sent, and with
    /// [`limpetkeel::Error::UpstreamFailed`] if the call may have run.
    pub async fn call(&self, place: &Place, call: &Call) -> limpetkeel::Result<Answer> {
        let res = self
            .http
            .request(
                call.method.clone(),
                format!("http://{}{}", place.address, call.path),
            )
            .headers(end_to_end(&call.headers))
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
        let (status, headers) = (res.status(), end_to_end(res.headers()));
        let body = res
            .bytes()
            .await
            .map_err(|_| limpetkeel::Error::UpstreamFailed)?;
        Ok(Answer {
            status,
            headers,
            body,
        })
    }

    /// Reads the load report.
    pub async fn load_report(&self, address: net::SocketAddr) -> Option<Report> {
        let req = self
            .http
            .get(format!("http://{address}/_load"))
            .timeout(LOAD_TIMEOUT);
        let load: Load = req.send().await.ok()?.json().await.ok()?;
        let capacity = Capacity {
            memory: Tokens(u64::MAX),
            slots: load.slots,
            prefill: TokensPerSecond(1),
        };
        Some(Report {
            capacity,
            running: Vec::new(),
            version: None,
        })
    }
}

fn end_to_end(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = http::HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_HEADERS.contains(&name.as_str()) && name != http::header::CONTENT_LENGTH {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
