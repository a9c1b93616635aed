//! Divides a stream into whole events.

use bytes::{Bytes, BytesMut};

/// An event that is longer than this is not an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, as the upstream wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// The stream holds something that is not an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotAnEvent;

/// Collects bytes until an event is whole, so that an event that was cut short is never passed on.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
}

impl Buffer {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Tells whether the last event is whole.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the next whole event.
    ///
    /// # Errors
    ///
    /// Fails if what is collected cannot be the beginning of an event.
    pub fn take(&mut self) -> Result<Option<Event>, NotAnEvent> {
        let end = self.bytes.windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            if self.bytes.len() > MAX_EVENT_BYTES {
                return Err(NotAnEvent);
            }
            return Ok(None);
        };
        let bytes = self.bytes.split_to(end + 2).freeze();
        let id = id_of(&bytes);
        Ok(Some(Event { bytes, id }))
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(line).ok()?.trim().parse().ok()
}
