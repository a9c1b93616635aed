//! Links between the system's own processes: `h2` streams that carry `bincode` messages.
//!
//! One stream carries one request and its response. Both sides prove the shared key before any
//! other message is read.

pub mod client;
mod handshake;
pub mod message;
pub mod server;

use std::fmt;

use bytes::Bytes;

/// The version of the messages; a peer of another version is refused with its number.
pub const VERSION: u32 = 3;

/// A message is at most this long.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// The flow-control window: one whole message fits.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Why a message did not get its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer cannot be reached, or the link broke.
    Unreachable,
    /// The peer did not answer in time.
    TimedOut,
    /// The peer did not prove the shared key.
    Unproven,
    /// The peer speaks another version.
    Version(u32),
    /// A message is too long or does not decode.
    Malformed,
}

impl Error {
    /// Returns the name that counters use.
    pub fn code(self) -> &'static str {
        match self {
            Error::Unreachable => "unreachable",
            Error::TimedOut => "timed_out",
            Error::Unproven => "unproven",
            Error::Version(_) => "version",
            Error::Malformed => "malformed",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for Error {}

impl From<h2::Error> for Error {
    fn from(_: h2::Error) -> Error {
        Error::Unreachable
    }
}

fn encode<T: serde::Serialize>(message: &T) -> Result<Bytes, Error> {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
    encoded.map(Bytes::from).map_err(|_| Error::Malformed)
}

fn decode<T: serde::de::DeserializeOwned>(message: &[u8]) -> Result<T, Error> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    match bincode::serde::decode_from_slice(message, config) {
        Ok((value, len)) if len == message.len() => Ok(value),
        Ok(_) | Err(_) => Err(Error::Malformed),
    }
}

async fn receive(body: &mut h2::RecvStream) -> Result<Vec<u8>, Error> {
    let mut message = Vec::new();
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        let _ = body.flow_control().release_capacity(bytes.len());
        if message.len() + bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::Malformed);
        }
        message.extend_from_slice(&bytes);
    }
    Ok(message)
}
