//! The parts of prompts, which requests can have in common.

/// The ID of a part of a prompt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PartId(pub u64);

/// A part of which requests are held back, because upstreams crashed when they began to respond to
/// requests with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Quarantine {
    /// The part.
    pub part: PartId,
    /// The number of crashes.
    pub crashes: u32,
}

/// A change of the quarantines that other instances need to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum QuarantineUpdate {
    /// A part was quarantined, or crashed another upstream.
    Imposed(Quarantine),
    /// An upstream responded to a request with the part.
    Lifted(PartId),
}
