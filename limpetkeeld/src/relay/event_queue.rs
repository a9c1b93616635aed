//! The queue of a stream's events between the upstream and a caller that may read slowly.
//!
//! Its size in bytes is bounded. While it is full, nothing more is read from the upstream.

use std::{sync, task};

use bytes::Bytes;
use hyper::body;
use limpetkeel::{MemoryExhausted, MemoryShare};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::relay::{body::StreamBroken, memory, response_memory};

/// Maximum number of queued events.
const MAX_EVENTS: usize = 16;

/// Maximum size of the queued events, in bytes. A larger event is queued alone.
const MAX_BYTES: u32 = 64 * 1024;

/// The reason why an event was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The receiver was dropped, since the caller disconnected.
    Closed,
    /// The instance has no memory for the event.
    NoMemory,
}

/// An event that takes up space in its queue until it has been written to the caller's connection.
struct QueuedEvent {
    bytes: Bytes,
    _space: OwnedSemaphorePermit,
    _memory: response_memory::ResponseMemory,
}

impl AsRef<[u8]> for QueuedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A message to the receiver.
#[derive(Debug)]
enum Message {
    Event(Bytes),
    /// The stream is complete.
    End,
}

/// Creates a queue.
pub fn channel(memory: &memory::Memory) -> (Sender, Receiver) {
    let (tx, rx) = mpsc::channel(MAX_EVENTS);
    let sender = Sender {
        tx,
        space: sync::Arc::new(Semaphore::new(MAX_BYTES as usize)),
        memory: memory.clone(),
    };
    let receiver = Receiver {
        rx,
        has_ended: false,
    };
    (sender, receiver)
}

/// The sending side of a queue. Dropping it breaks off the stream after the queued events, unless
/// [`Sender::complete`] was called.
#[derive(Debug)]
pub struct Sender {
    tx: mpsc::Sender<Message>,
    space: sync::Arc<Semaphore>,
    memory: memory::Memory,
}

impl Sender {
    /// Queues an event, and waits for space if the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected or there is no memory for a large event.
    pub async fn send(&self, event: Bytes) -> Result<(), Error> {
        let mut memory =
            response_memory::ResponseMemory::new(&self.memory, MemoryShare::QueuedEvents);
        let held = memory.resize(event.len());
        held.map_err(|MemoryExhausted| Error::NoMemory)?;
        let len = u32::try_from(event.len()).unwrap_or(MAX_BYTES);
        let waiting = self.space.clone().acquire_many_owned(len.min(MAX_BYTES));
        let space = tokio::select! {
            space = waiting => space.map_err(|_| Error::Closed)?,
            () = self.tx.closed() => return Err(Error::Closed),
        };
        let event = Bytes::from_owner(QueuedEvent {
            bytes: event,
            _space: space,
            _memory: memory,
        });
        let sent = self.tx.send(Message::Event(event)).await;
        sent.map_err(|_| Error::Closed)
    }

    /// Ends the stream as a complete one.
    pub async fn complete(self) {
        // The caller may have disconnected.
        let _ = self.tx.send(Message::End).await;
    }
}

/// The receiving side of a queue.
#[derive(Debug)]
pub struct Receiver {
    rx: mpsc::Receiver<Message>,
    has_ended: bool,
}

impl Receiver {
    /// Polls for the next frame of the body; `None` at the end of a complete stream.
    pub fn poll_frame(
        &mut self,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, StreamBroken>>> {
        if self.has_ended {
            return task::Poll::Ready(None);
        }
        let message = task::ready!(self.rx.poll_recv(cx));
        self.has_ended = !matches!(message, Some(Message::Event(_)));
        task::Poll::Ready(match message {
            Some(Message::Event(event)) => Some(Ok(body::Frame::data(event))),
            Some(Message::End) => None,
            None => Some(Err(StreamBroken)),
        })
    }
}
