//! Complete bodies of responses, which are held until they have been written to the caller.

use bytes::Bytes;
use limpetkeel::{BodyAllowance, MemoryExhausted, MemoryShare, ResponseLimit};

use crate::relay::{memory, response_memory, upstream};

/// The first size of a buffer whose final length is not known, in bytes.
const MIN_BUFFER_BYTES: usize = 4 * 1024;

/// The reason why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection broke.
    Broken,
    /// The tunnel to the upstream broke.
    PathBroken,
    /// The body exceeds a limit.
    LimitExceeded(ResponseLimit),
    /// The instance has no memory for the body.
    NoMemory,
}

impl From<upstream::Error> for Error {
    fn from(e: upstream::Error) -> Error {
        match e {
            upstream::Error::PathBroken => Error::PathBroken,
            _ => Error::Broken,
        }
    }
}

impl From<ResponseLimit> for Error {
    fn from(limit: ResponseLimit) -> Error {
        Error::LimitExceeded(limit)
    }
}

impl From<MemoryExhausted> for Error {
    fn from(_: MemoryExhausted) -> Error {
        Error::NoMemory
    }
}

/// A body with its memory, which is released when the last byte has been written.
struct HeldBody {
    bytes: Vec<u8>,
    _memory: response_memory::ResponseMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Receives the body of a response.
///
/// # Errors
///
/// Returns an error if the body breaks off, exceeds a limit or finds no memory.
pub async fn receive(
    memory: &memory::Memory,
    response: &mut upstream::Response,
    mut allowance: BodyAllowance,
) -> Result<Bytes, Error> {
    let announced = response.announced_len();
    if let Some(len) = announced {
        allowance.check(len)?;
    }
    let max_capacity = announced.map_or(usize::MAX, |len| len.0 as usize);
    let mut memory = response_memory::ResponseMemory::new(memory, MemoryShare::ResponseBodies);
    let mut bytes = Vec::new();
    while let Some(chunk) = response.next().await? {
        allowance.record_bytes(limpetkeel::Bytes(chunk.len() as u64))?;
        let capacity = grown_capacity(&bytes, chunk.len(), max_capacity);
        memory.resize(capacity)?;
        bytes.reserve_exact(capacity - bytes.len());
        bytes.extend_from_slice(&chunk);
    }
    bytes.shrink_to_fit();
    memory.resize(bytes.len())?;
    Ok(Bytes::from_owner(HeldBody {
        bytes,
        _memory: memory,
    }))
}

/// Returns the capacity of a buffer that has room for so many more bytes. It doubles, but not beyond
/// `max_capacity`, so that a body of known length has no slack.
pub fn grown_capacity(buffer: &Vec<u8>, additional: usize, max_capacity: usize) -> usize {
    let needed = buffer.len() + additional;
    if needed <= buffer.capacity() {
        return buffer.capacity();
    }
    let doubled = (buffer.capacity() * 2).max(MIN_BUFFER_BYTES);
    doubled.min(max_capacity).max(needed)
}
