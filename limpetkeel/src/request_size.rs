//! The size of requests in tokens.

use crate::unit;

/// Prompts of at least this length are placed as long prompts.
pub const LONG_PROMPT: unit::Tokens = unit::Tokens(32_000);

/// Decoding one output token takes about as much upstream time as prefilling this many tokens.
pub const DECODE_WEIGHT: u64 = 8;

/// The size of a request: its prompt tokens and its maximum output tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestSize {
    /// The number of prompt tokens.
    pub prompt: unit::Tokens,
    /// The maximum number of output tokens.
    pub output: unit::Tokens,
}

impl RequestSize {
    /// Returns the KV memory that the request needs when its response is complete.
    pub fn memory(self) -> unit::Tokens {
        self.prompt + self.output
    }

    /// Returns the cost in prefill-equivalent tokens, the unit of fair shares and floors.
    pub fn cost(self) -> unit::Tokens {
        let decode = self.output.0.saturating_mul(DECODE_WEIGHT);
        // At least one, so that calls of services, which have no tokens, are charged as well.
        unit::Tokens(self.prompt.0.saturating_add(decode).max(1))
    }

    /// Returns `true` if the prompt is placed as a long prompt.
    pub fn is_long(self) -> bool {
        self.prompt >= LONG_PROMPT
    }
}

/// Estimates prompt tokens from body sizes and learns from reported token counts.
///
/// # Example
///
/// ```
/// use limpetkeel::{Bytes, TokenEstimator, Tokens};
///
/// let mut estimator = TokenEstimator::default();
/// assert_eq!(estimator.estimate(Bytes(8_000)), Tokens(1_000));
/// for _ in 0..100 {
///     estimator.update(Bytes(8_000), Tokens(2_000));
/// }
/// assert!(estimator.estimate(Bytes(8_000)) > Tokens(1_900));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TokenEstimator {
    bytes_per_token: f64,
}

/// The weight of one report in the moving average.
const REPORT_WEIGHT: f64 = 0.05;

impl Default for TokenEstimator {
    fn default() -> TokenEstimator {
        TokenEstimator {
            bytes_per_token: 8.0,
        }
    }
}

impl TokenEstimator {
    /// Estimates the number of prompt tokens in a body.
    pub fn estimate(&self, body: unit::Bytes) -> unit::Tokens {
        unit::Tokens((body.0 as f64 / self.bytes_per_token).ceil() as u64)
    }

    /// Updates the estimate with the token count that an upstream reported for a body.
    pub fn update(&mut self, body: unit::Bytes, tokens: unit::Tokens) {
        if tokens.0 == 0 || body.0 == 0 {
            return;
        }
        let observed = body.0 as f64 / tokens.0 as f64;
        self.bytes_per_token += (observed - self.bytes_per_token) * REPORT_WEIGHT;
    }
}
