//! Complete bodies of responses, which are held until they have been received.

use bytes::Bytes;
use limpetkeel::{BodyAllowance, ResponseLimit};

use crate::relay::upstream;

/// The first size of the buffer of a body whose length is not announced, in bytes.
const MIN_BUFFER_BYTES: usize = 4 * 1024;

/// The reason why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection broke.
    Broken,
    /// The body exceeds a limit.
    LimitExceeded(ResponseLimit),
}

/// Receives the body of a response.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds a limit.
pub async fn receive(
    response: &mut upstream::Response,
    mut allowance: BodyAllowance,
) -> Result<Bytes, Error> {
    let announced = response.announced_len();
    if let Some(len) = announced {
        allowance.check(len).map_err(Error::LimitExceeded)?;
    }
    let max_buffer = announced.map_or(usize::MAX, |len| len.0 as usize);
    let mut body = Vec::new();
    while let Some(bytes) = response.next().await.map_err(|_| Error::Broken)? {
        let received = limpetkeel::Bytes(bytes.len() as u64);
        allowance
            .record_bytes(received)
            .map_err(Error::LimitExceeded)?;
        let capacity = grown_capacity(&body, bytes.len(), max_buffer);
        body.reserve_exact(capacity - body.len());
        body.extend_from_slice(&bytes);
    }
    body.shrink_to_fit();
    Ok(Bytes::from(body))
}

/// Returns the capacity of a buffer that has room for so many more bytes. It doubles, but not beyond
/// `max_buffer`, so that a body with an announced length has no slack.
fn grown_capacity(body: &Vec<u8>, additional: usize, max_buffer: usize) -> usize {
    let needed = body.len() + additional;
    if needed <= body.capacity() {
        return body.capacity();
    }
    let doubled = (body.capacity() * 2).max(MIN_BUFFER_BYTES);
    doubled.min(max_buffer).max(needed)
}
