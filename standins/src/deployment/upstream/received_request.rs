//! The requests that an upstream has received.

use std::{collections, net};

use platform::names;

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request id.
    pub id: String,
    /// The request line.
    pub request_line: String,
    /// The headers, by name in lower case.
    pub headers: collections::BTreeMap<String, String>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Whether the upstream ran it.
    pub ran: bool,
    /// The address of its sender.
    pub source: net::IpAddr,
}

impl ReceivedRequest {
    /// Returns `true` if the prompt has a part.
    pub fn has_part(&self, part: u64) -> bool {
        let parts = self.headers.get(names::PROMPT_PARTS.as_str());
        let mut parts = parts.into_iter().flat_map(|parts| parts.split(','));
        parts.any(|entry| entry.starts_with(&format!("{part:x}:")))
    }
}
