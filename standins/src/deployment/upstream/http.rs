//! The HTTP messages of the upstream stand-in.

use std::{collections, net};

use platform::names;
use tokio::{io::AsyncReadExt as _, net as tcp};

use crate::deployment::upstream;

/// Encodes the header by which an upstream states that it is leaving.
pub(super) fn leaving_header() -> String {
    format!("{}: 1\r\n", names::LEAVING)
}

/// Encodes the header by which an upstream names its limit, in thousandths of a request per second.
pub(super) fn limit_header(limit: u32) -> String {
    format!(
        "{}: {}.{:03}\r\n",
        names::REQUEST_LIMIT,
        limit / 1_000,
        limit % 1_000
    )
}

/// Adds a header to a response.
pub(super) fn add_header(response: &str, header: &str) -> String {
    response.replacen("\r\n\r\n", &format!("\r\n{header}\r\n"), 1)
}

/// Encodes a chunk of the chunked transfer coding.
pub(super) fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The head of a request, and the bytes of the body that were read with it.
pub(super) struct Head {
    pub(super) text: String,
    pub(super) body_start: Vec<u8>,
}

/// Reads a connection up to the end of the request head.
pub(super) async fn read_head(stream: &mut tcp::TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    loop {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let body_start = bytes.split_off(end + 4);
            let text = String::from_utf8(bytes).ok()?;
            return Some(Head { text, body_start });
        }
        let mut buf = [0; 4096];
        let count = stream.read(&mut buf).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..count]);
    }
}

/// Parses a request head; the body is left empty.
pub(super) fn parse_head(text: &str, source: net::IpAddr) -> upstream::ReceivedRequest {
    let mut lines = text.lines();
    let request_line = lines.next().unwrap_or_default().to_owned();
    let headers: collections::BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let id = headers.get(names::REQUEST_ID.as_str()).cloned();
    upstream::ReceivedRequest {
        id: id.unwrap_or_default(),
        request_line,
        headers,
        body: Vec::new(),
        ran: false,
        source,
    }
}
