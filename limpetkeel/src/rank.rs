//! Ranks, the priority classes of requests.

use std::{fmt, ops};

/// The priority class of a request; a lower value is served first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// A user waits for the response.
    Urgent,
    /// Ordinary requests.
    Normal,
    /// The response may be late, but must be complete.
    Batch,
}

impl Rank {
    /// All ranks, in the order in which they are served.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Normal, Rank::Batch];

    /// Returns the name of the rank in tables and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Rank::Urgent => "urgent",
            Rank::Normal => "normal",
            Rank::Batch => "batch",
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One value for each rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PerRank<T> {
    /// The value for urgent requests.
    pub urgent: T,
    /// The value for normal requests.
    pub normal: T,
    /// The value for batch requests.
    pub batch: T,
}

impl<T> ops::Index<Rank> for PerRank<T> {
    type Output = T;

    fn index(&self, rank: Rank) -> &T {
        match rank {
            Rank::Urgent => &self.urgent,
            Rank::Normal => &self.normal,
            Rank::Batch => &self.batch,
        }
    }
}

impl<T> ops::IndexMut<Rank> for PerRank<T> {
    fn index_mut(&mut self, rank: Rank) -> &mut T {
        match rank {
            Rank::Urgent => &mut self.urgent,
            Rank::Normal => &mut self.normal,
            Rank::Batch => &mut self.batch,
        }
    }
}
