//! The limits on what an upstream may send for one response.

use std::fmt;

use crate::unit;

/// Maximum size of all heads of a response together, interim ones included: twice what callers may
/// send by default.
pub const MAX_HEAD: unit::Bytes = unit::Bytes(32 * 1024);

/// Maximum number of interim (1xx) heads before the final one. The requests of the relay ask for
/// none.
const MAX_INTERIM_HEADS: u32 = 16;

/// Maximum size of a complete response body.
const MAX_BODY: unit::Bytes = unit::Bytes(16 * 1024 * 1024);

/// Maximum size of the body of an error response. It is kept until the last attempt has failed.
const MAX_ERROR_BODY: unit::Bytes = unit::Bytes(256 * 1024);

/// Maximum size of an event of a stream.
pub const MAX_EVENT: unit::Bytes = unit::Bytes(1024 * 1024);

/// Maximum size of a part of a response that is held without a reservation in the memory account, so
/// that ordinary responses are served while the account is exhausted.
pub const MAX_UNRESERVED: unit::Bytes = unit::Bytes(16 * 1024);

/// A limit on a response. An upstream that exceeds it is at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseLimit {
    /// The size of the response heads.
    Head,
    /// The number of interim heads.
    InterimHeads,
    /// The size of a complete body.
    Body,
    /// The size of the body of an error response.
    ErrorBody,
    /// The size of an event.
    Event,
}

impl ResponseLimit {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            ResponseLimit::Head => "head",
            ResponseLimit::InterimHeads => "interim_heads",
            ResponseLimit::Body => "body",
            ResponseLimit::ErrorBody => "error_body",
            ResponseLimit::Event => "event",
        }
    }
}

impl fmt::Display for ResponseLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response exceeds the limit of its {}", self.code())
    }
}

impl std::error::Error for ResponseLimit {}

/// What an upstream may still send until the final head of its response is complete.
#[derive(Debug)]
pub struct HeadAllowance {
    bytes: unit::Bytes,
    interim_heads: u32,
}

impl Default for HeadAllowance {
    fn default() -> HeadAllowance {
        HeadAllowance {
            bytes: MAX_HEAD,
            interim_heads: MAX_INTERIM_HEADS,
        }
    }
}

impl HeadAllowance {
    /// Records received bytes of a head.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseLimit::Head`] if the heads are too large.
    pub fn record_bytes(&mut self, bytes: unit::Bytes) -> Result<(), ResponseLimit> {
        if bytes > self.bytes {
            return Err(ResponseLimit::Head);
        }
        self.bytes = self.bytes.saturating_sub(bytes);
        Ok(())
    }

    /// Records the end of an interim head.
    ///
    /// # Errors
    ///
    /// Returns [`ResponseLimit::InterimHeads`] if there are too many of them.
    pub fn record_interim_head(&mut self) -> Result<(), ResponseLimit> {
        self.interim_heads = self
            .interim_heads
            .checked_sub(1)
            .ok_or(ResponseLimit::InterimHeads)?;
        Ok(())
    }
}

/// What an upstream may still send of a complete body.
#[derive(Debug)]
pub struct BodyAllowance {
    bytes: unit::Bytes,
    limit: ResponseLimit,
}

impl BodyAllowance {
    /// Returns the allowance for the body of a response that reports a success or an error.
    pub fn new(is_success: bool) -> BodyAllowance {
        let (bytes, limit) = if is_success {
            (MAX_BODY, ResponseLimit::Body)
        } else {
            (MAX_ERROR_BODY, ResponseLimit::ErrorBody)
        };
        BodyAllowance { bytes, limit }
    }

    /// Checks the announced length of a body.
    ///
    /// # Errors
    ///
    /// Returns the limit that the body would exceed.
    pub fn check(&self, announced: unit::Bytes) -> Result<(), ResponseLimit> {
        if announced > self.bytes {
            return Err(self.limit);
        }
        Ok(())
    }

    /// Records received bytes of a body.
    ///
    /// # Errors
    ///
    /// Returns the limit that the body exceeds.
    pub fn record_bytes(&mut self, bytes: unit::Bytes) -> Result<(), ResponseLimit> {
        self.check(bytes)?;
        self.bytes = self.bytes.saturating_sub(bytes);
        Ok(())
    }
}
