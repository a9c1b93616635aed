//! The budgets of an instance for buffered request bodies and for retries.

use crate::{error, rank, unit};

/// The percentage of the body budget up to which requests of each rank are accepted.
const BODY_PERCENT: rank::PerRank<u8> = rank::PerRank {
    urgent: 100,
    normal: 85,
    batch: 60,
};

/// Limits the bytes of request bodies that an instance buffers.
///
/// Requests of lower ranks may use only a part of the budget, so that they cannot starve urgent
/// ones.
#[derive(Debug)]
pub struct BodyBudget {
    limit: unit::Bytes,
    reserved: unit::Bytes,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: unit::Bytes) -> BodyBudget {
        BodyBudget {
            limit,
            reserved: unit::Bytes::ZERO,
        }
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> unit::Bytes {
        self.reserved
    }

    /// Reserves bytes for a body whose rank is not known yet.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::BodyBudgetExhausted`] if the budget has fewer bytes left.
    pub fn reserve(&mut self, bytes: unit::Bytes) -> error::Result<()> {
        if self.reserved + bytes > self.limit {
            return Err(error::Error::BodyBudgetExhausted);
        }
        self.reserved += bytes;
        Ok(())
    }

    /// Checks the reserved bytes against the limit of a rank, after the rank became known.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::BodyBudgetExhausted`] if more bytes are reserved than the rank
    /// allows.
    pub fn check_rank(&self, rank: rank::Rank) -> error::Result<()> {
        if self.reserved > self.limit.percent(BODY_PERCENT[rank]) {
            return Err(error::Error::BodyBudgetExhausted);
        }
        Ok(())
    }

    /// Returns reserved bytes to the budget.
    pub fn release(&mut self, bytes: unit::Bytes) {
        self.reserved = self.reserved.saturating_sub(bytes);
    }
}

/// The number of successful requests that earn one retry.
const SUCCESSES_PER_RETRY: f64 = 10.0;

/// The largest number of available retries, which is also the initial number.
const MAX_AVAILABLE_RETRIES: f64 = 50.0;

/// Limits retries to a fraction of the successful requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            available: MAX_AVAILABLE_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.available = (self.available + 1.0 / SUCCESSES_PER_RETRY).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry out of the budget.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::RetryBudgetExhausted`] if no retry is available.
    pub fn take(&mut self) -> error::Result<()> {
        if self.available < 1.0 {
            return Err(error::Error::RetryBudgetExhausted);
        }
        self.available -= 1.0;
        Ok(())
    }
}
