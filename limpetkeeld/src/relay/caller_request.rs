//! Caller requests.

use limpetkeel::{Admission, CrashCause, Millis, RequestId};
use xxhash_rust::xxh3;

use crate::relay::{caller_body, memory, port};

/// A caller's request, kept until it completes.
pub struct CallerRequest {
    /// The decoded request head.
    pub head: port::RequestHead,
    /// The request head as received.
    pub parts: http::request::Parts,
    /// The memory of the header lines.
    pub head_memory: memory::Reservation,
    /// The request body.
    pub body: caller_body::BufferedBody,
    /// The matched route and workspace.
    pub admission: Admission,
    /// The version of the routing table that admitted the request.
    pub version: u64,
    /// Identifies the request to planners while it waits for its turn.
    pub waiting_id: RequestId,
    /// Whether the pool consists of model engines.
    pub targets_engine: bool,
    /// The cause of crashes that the request itself may be. See [`own_cause`].
    pub own_cause: CrashCause,
}

impl CallerRequest {
    /// Returns what may crash the upstreams that run the request: the request itself, then the parts
    /// of its prompt that others may share.
    pub fn causes(&self) -> Vec<CrashCause> {
        let mut causes = vec![self.own_cause];
        causes.extend(&self.head.parts);
        causes
    }
}

/// Returns the cause by which a request is recognized when it is repeated, at any instance: the
/// digest of its method, host, path, caller, body and the part of the prompt that is its own.
pub fn own_cause(
    head: &port::RequestHead,
    parts: &http::request::Parts,
    body: &[u8],
) -> CrashCause {
    let own_part = head.own_part.map(|part| part.to_string());
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let fields = [
        parts.method.as_str().as_bytes(),
        head.host.as_bytes(),
        path.as_bytes(),
        head.key.as_deref().unwrap_or_default().as_bytes(),
        own_part.as_deref().unwrap_or_default().as_bytes(),
        body,
    ];
    let mut hasher = xxh3::Xxh3::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    CrashCause::Request(hasher.digest())
}

/// Multiplies a duration by a factor.
pub fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}
