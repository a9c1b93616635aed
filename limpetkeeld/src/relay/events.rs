//! Splits a byte stream into complete server-sent events.

use bytes::{Buf as _, Bytes, BytesMut};
use limpetkeel::{MAX_EVENT, ResponseLimit};

/// A complete event, byte for byte as the upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the terminating blank line.
    pub bytes: Bytes,
    /// The numeric event ID, if present.
    pub id: Option<u64>,
}

/// Buffers bytes until an event is complete, so that a truncated event is never forwarded.
#[derive(Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// The number of buffered bytes in which no event ends.
    searched: usize,
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
    /// Returns [`ResponseLimit::Event`] if the buffer exceeds the maximum event size without a
    /// complete event.
    pub fn next_event(&mut self) -> Result<Option<Event>, ResponseLimit> {
        // The end may begin with the last byte that has been searched.
        let start = self.searched.saturating_sub(1);
        let end = self.bytes[start..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            self.searched = self.bytes.len();
            if self.bytes.len() as u64 > MAX_EVENT.0 {
                return Err(ResponseLimit::Event);
            }
            return Ok(None);
        };
        // A copy, so that an event in the queue of a slow caller does not keep the buffer alive.
        let bytes = Bytes::copy_from_slice(&self.bytes[..start + end + 2]);
        self.bytes.advance(bytes.len());
        self.searched = 0;
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
