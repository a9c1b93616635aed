//! The guaranteed share of a pool for each rank while another rank overloads it.

use crate::{rank, unit};

/// The maximum credit of a rank, in cost tokens.
///
/// It limits the burst that follows a long wait.
const MAX_CREDIT: f64 = 4_000_000.0;

/// The credit that each rank has accumulated towards its floor.
///
/// Every grant credits each waiting rank with its percentage of the grant's cost and charges the
/// rank that was served.
#[derive(Clone, Debug)]
pub struct Floors {
    percent: rank::PerRank<u8>,
    credit: rank::PerRank<f64>,
}

impl Floors {
    /// Creates the floors with no credit for any rank.
    pub fn new(percent: rank::PerRank<u8>) -> Floors {
        Floors {
            percent,
            credit: rank::PerRank::default(),
        }
    }

    /// Replaces the percentages and keeps the credit.
    pub fn set_percent(&mut self, percent: rank::PerRank<u8>) {
        self.percent = percent;
    }

    /// Returns the percentage of the pool that is guaranteed to a rank.
    pub fn percent(&self, rank: rank::Rank) -> u8 {
        self.percent[rank]
    }

    /// Charges a grant to the served rank and credits the waiting ranks.
    ///
    /// A rank that neither waits nor was served loses its credit.
    pub fn charge(&mut self, served: rank::Rank, cost: unit::Tokens, waits: rank::PerRank<bool>) {
        let cost = cost.0 as f64;
        for rank in rank::Rank::ALL {
            if !waits[rank] && rank != served {
                self.credit[rank] = 0.0;
                continue;
            }
            let earned = cost * f64::from(self.percent[rank]) / 100.0;
            let spent = if rank == served { cost } else { 0.0 };
            self.credit[rank] = (self.credit[rank] + earned - spent).clamp(0.0, MAX_CREDIT);
        }
    }

    /// Returns `true` if the rank has the credit for a request of this cost.
    pub fn has_credit(&self, rank: rank::Rank, cost: unit::Tokens) -> bool {
        self.credit[rank] >= (cost.0 as f64).min(MAX_CREDIT)
    }
}
