//! Links between the instances of the system: HTTP/2 streams that carry `bincode` messages.
//!
//! One stream carries one request and its response. Both sides prove that they know the shared key
//! before any other message is read.

pub mod client;
mod handshake;
pub mod message;
pub mod server;
pub mod tunnel;

use std::fmt;

use bytes::Bytes;
use limpetkeel::MemoryShare;

use crate::relay::memory;

/// The version of the peer protocol. A peer with another version is refused, and the error contains
/// its version.
pub const VERSION: u32 = 7;

/// The maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 2 * 1024 * 1024;

/// The maximum length of a message of the handshake, in bytes. Its sender is not authenticated yet.
const MAX_HANDSHAKE_BYTES: usize = 4 * 1024;

/// The maximum size of the headers of a message, in bytes. Messages have none but the path.
const MAX_HEADER_BYTES: u32 = 16 * 1024;

/// The maximum number of messages on a link that have no response yet.
const MAX_PENDING_MESSAGES: u32 = 1_024;

/// The flow-control window, in bytes; large enough for one complete message.
const WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// The reason why a message got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The peer is unreachable, or the link broke.
    Unreachable,
    /// The peer did not respond in time.
    TimedOut,
    /// The peer did not prove that it knows the shared key.
    Unauthenticated,
    /// The peer uses this other version of the protocol.
    Version(u32),
    /// A message is too long or does not decode.
    Malformed,
}

impl Error {
    /// Returns the name of the error in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Error::Unreachable => "unreachable",
            Error::TimedOut => "timed_out",
            Error::Unauthenticated => "unproven",
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

/// A received message that is not decoded yet, and its memory, which is released on drop.
struct ReceivedMessage {
    bytes: Vec<u8>,
    _memory: Option<memory::Reservation>,
}

/// Receives a message. Its bytes are reserved in the memory account, if there is one.
async fn receive_message(
    body: &mut h2::RecvStream,
    max_bytes: usize,
    memory: Option<&memory::Memory>,
) -> Result<ReceivedMessage, Error> {
    let mut message = Vec::new();
    // Messages of peers are never refused, so that reserving their bytes does not fail.
    let mut reservation =
        memory.and_then(|memory| memory.try_reserve(MemoryShare::Messages, 0).ok());
    while let Some(bytes) = body.data().await {
        let bytes = bytes?;
        let _ = body.flow_control().release_capacity(bytes.len());
        if message.len() + bytes.len() > max_bytes {
            return Err(Error::Malformed);
        }
        if let Some(reservation) = &mut reservation {
            let _ = reservation.try_grow(bytes.len());
        }
        message.extend_from_slice(&bytes);
    }
    Ok(ReceivedMessage {
        bytes: message,
        _memory: reservation,
    })
}
