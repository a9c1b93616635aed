//! A caller's request.

use bytes::Bytes;
use limpetkeel::{Admission, Millis};

use crate::relay::port;

/// A caller's request, held until it ends.
pub struct Call {
    /// What its head says.
    pub head: port::CallHead,
    /// Its head as it came.
    pub parts: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its route and workspace.
    pub admission: Admission,
    /// The version of the table that admitted it.
    pub version: u64,
    /// Whether its pool has model engines.
    pub to_engine: bool,
}

/// Multiplies a span.
pub fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}
