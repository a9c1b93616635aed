//! Receives the bodies of callers' requests into memory that the memory account has reserved.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use limpetkeel::{RequestLimits, Timestamp};

use crate::relay::{drain, memory, request_summary, shared};

/// The longest time without a byte of a body.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The first size of the buffer of a body whose length is not known, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 * 1024;

/// Errors of receiving a request body. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body exceeds the limit.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The instance stops before the body has arrived.
    Draining,
    /// There is no memory for the body.
    NoMemory,
    /// The caller broke off the body, or it is malformed.
    Broken,
}

impl Error {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Error::TooLarge => "body_too_large",
            Error::TooSlow => "body_too_slow",
            Error::Draining => "draining",
            Error::NoMemory => "no_memory",
            Error::Broken => "body_broken",
        }
    }
}

/// A request body and its memory, which is released on drop.
#[derive(Debug)]
pub struct BufferedBody {
    /// The body.
    pub bytes: Bytes,
    _memory: memory::Reservation,
}

/// A body that is being received. Its buffer has no more room than the account has reserved.
struct BodyBuffer {
    memory: memory::IncomingReservation,
    buf: Vec<u8>,
    /// The length of the body, or the largest one that is allowed.
    max_len: usize,
}

impl BodyBuffer {
    /// Appends a chunk. Copying it frees the larger buffer that the chunk may be a part of.
    async fn push(&mut self, shared: &shared::Shared, chunk: &[u8]) -> Result<(), Error> {
        let len = self.buf.len() + chunk.len();
        if len > self.max_len {
            return Err(Error::TooLarge);
        }
        let capacity = self.buf.capacity();
        if len > capacity {
            let doubled = len.max(2 * capacity).max(FIRST_BUFFER_BYTES);
            let wanted = doubled.min(self.max_len);
            let grown = self.memory.try_grow(wanted - capacity, shared.clock.now());
            let dropped = grown.map_err(|_| Error::NoMemory)?;
            if dropped > 0 {
                let metric = &shared.metrics.relay.dropped_bodies;
                metric.inc_by(dropped as u64);
                // The tasks of the dropped bodies free their buffers first.
                tokio::task::yield_now().await;
            }
            self.buf.reserve_exact(wanted - self.buf.len());
        } else {
            self.memory.touch(shared.clock.now());
        }
        self.buf.extend_from_slice(chunk);
        Ok(())
    }

    fn finish(mut self) -> Result<BufferedBody, Error> {
        self.buf.shrink_to_fit();
        let memory = self.memory.complete(self.buf.len());
        Ok(BufferedBody {
            bytes: Bytes::from(self.buf),
            _memory: memory.map_err(|_| Error::NoMemory)?,
        })
    }
}

/// Receives a request body. A body that is announced to be too large is not read.
///
/// # Errors
///
/// Returns an error if the body is too large, too slow or malformed, or if there is no memory for
/// it. The caller may still be sending the rest of the body.
pub async fn receive(
    shared: &sync::Arc<shared::Shared>,
    mut incoming: Incoming,
    limits: RequestLimits,
    deadline: Timestamp,
) -> Result<BufferedBody, Error> {
    let max_len = limits.max_body.0 as usize;
    let announced = incoming.size_hint().exact().map(|len| len as usize);
    if announced.is_some_and(|len| len > max_len) {
        return Err(Error::TooLarge);
    }
    let mut buffer = BodyBuffer {
        memory: shared.memory.open_body(shared.clock.now()),
        buf: Vec::new(),
        max_len: announced.unwrap_or(max_len),
    };
    let dropped = buffer.memory.dropped();
    let receiving = async {
        loop {
            let frame = tokio::time::timeout(STALL_TIMEOUT, incoming.frame()).await;
            match frame.map_err(|_| Error::TooSlow)? {
                None => return buffer.finish(),
                Some(Err(_)) => return Err(Error::Broken),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        buffer.push(shared, &chunk).await?;
                    }
                }
            }
        }
    };
    tokio::select! {
        received = receiving => received,
        () = dropped.cancelled() => Err(Error::NoMemory),
        reason = drain::deadline_passed(shared, deadline) => Err(match reason {
            request_summary::FailureReason::DrainEnded => Error::Draining,
            _ => Error::TooSlow,
        }),
    }
}
