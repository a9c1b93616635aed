//! Splits a byte stream into complete server-sent events.

use bytes::Bytes;
use limpetkeel::{MAX_EVENT, MAX_UNRESERVED, MemoryExhausted, MemoryShare, ResponseLimit};

use crate::relay::{memory, response_body, response_memory};

/// A complete event, byte for byte as the upstream sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes of the event, including the terminating blank line.
    pub bytes: Bytes,
    /// The numeric event ID, if present.
    pub id: Option<u64>,
}

/// Buffers bytes until an event is complete, so that a truncated event is never forwarded.
#[derive(Debug)]
pub struct EventBuffer {
    bytes: Vec<u8>,
    /// The number of bytes at the beginning that belong to events that were removed.
    removed: usize,
    /// The number of bytes that have been searched for the end of an event.
    searched: usize,
    memory: response_memory::ResponseMemory,
}

impl EventBuffer {
    /// Creates an empty buffer that reserves its memory.
    pub fn new(memory: &memory::Memory) -> EventBuffer {
        EventBuffer {
            bytes: Vec::new(),
            removed: 0,
            searched: 0,
            memory: response_memory::ResponseMemory::new(memory, MemoryShare::QueuedEvents),
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance has no memory for a partial event of this size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), MemoryExhausted> {
        self.compact();
        let capacity = response_body::grown_capacity(&self.bytes, bytes.len(), usize::MAX);
        self.memory.resize(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Drops the removed events, and returns memory that a former large event needed.
    fn compact(&mut self) {
        if self.removed == 0 {
            return;
        }
        self.bytes.drain(..self.removed);
        self.searched -= self.removed;
        self.removed = 0;
        self.bytes.shrink_to(MAX_UNRESERVED.0 as usize);
    }

    /// Returns `true` if no partial event is buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.removed
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseLimit::Event`] if the buffer exceeds the maximum event size without a
    /// complete event.
    pub fn next_event(&mut self) -> Result<Option<Event>, ResponseLimit> {
        // The end may begin with the last byte that has been searched.
        let start = self.searched.saturating_sub(1).max(self.removed);
        let mut pairs = self.bytes[start..].windows(2);
        let Some(end) = pairs.position(|pair| pair == b"\n\n") else {
            self.searched = self.bytes.len();
            if (self.bytes.len() - self.removed) as u64 > MAX_EVENT.0 {
                return Err(ResponseLimit::Event);
            }
            return Ok(None);
        };
        let end = start + end + 2;
        // A copy, so that an event in the queue of a slow caller does not keep the buffer alive.
        let bytes = Bytes::copy_from_slice(&self.bytes[self.removed..end]);
        self.removed = end;
        self.searched = end;
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
