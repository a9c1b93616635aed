//! What may crash the upstreams that run it: a part that prompts have in common, or a request that
//! is repeated.

use std::fmt;

/// A possible cause of crashes, by which requests are recognized.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub enum CrashCause {
    /// The part of a prompt with this ID.
    Part(u64),
    /// The request with this digest of what all its repetitions have in common.
    Request(u64),
}

impl CrashCause {
    /// Returns `true` if the cause is a request.
    pub fn is_request(self) -> bool {
        matches!(self, CrashCause::Request(_))
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashCause::Part(id) => write!(f, "{id:016x}"),
            CrashCause::Request(digest) => write!(f, "request-{digest:016x}"),
        }
    }
}

/// A cause whose requests are held back, because upstreams crashed when they began to respond to
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Quarantine {
    /// The cause.
    pub cause: CrashCause,
    /// The number of crashes.
    pub crashes: u32,
}

/// A change of the quarantines that other instances need to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum QuarantineUpdate {
    /// A cause was quarantined, or crashed another upstream.
    Imposed(Quarantine),
    /// An upstream responded to a request with the cause.
    Lifted(CrashCause),
}
