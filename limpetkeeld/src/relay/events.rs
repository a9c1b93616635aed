//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum event size, in bytes. A longer event is rejected as malformed.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A complete event, byte for byte as the upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the terminating blank line.
    pub bytes: Bytes,
    /// The numeric event ID, if present.
    pub id: Option<u64>,
}

/// The stream contains bytes that are not an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAnEvent;

/// Buffers bytes until an event is complete, so that a truncated event is never forwarded.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns `true` if no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`NotAnEvent`] if the buffer exceeds the maximum event size without a complete
    /// event.
    pub fn next_event(&mut self) -> Result<Option<Event>, NotAnEvent> {
        let end = self.bytes.windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            if self.bytes.len() > MAX_EVENT_BYTES {
                return Err(NotAnEvent);
            }
            return Ok(None);
        };
        let bytes = self.bytes.split_to(end + 2).freeze();
        let id = parse_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }
}

/// Returns the numeric ID of an event, if present.
fn parse_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}
