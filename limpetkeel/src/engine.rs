//! How long a batching engine takes, worked out from the figures that it publishes.
//!
//! An engine works in passes. A pass in which any stream is written runs a fixed number of token
//! steps, and prompts are read in between, so that every stream waits for the prompts that the
//! pass reads.

use crate::{error, unit};

/// The figures of an engine as its operator publishes them.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Figures {
    /// Requests that run at once.
    pub slots: u32,
    /// KV memory.
    pub memory: unit::Tokens,
    /// Token steps of a pass in which streams are written.
    pub steps_per_pass: u32,
    /// Time of an empty step, in milliseconds.
    pub step_ms: f64,
    /// Time that each written stream adds to a step, in milliseconds.
    pub stream_ms: f64,
    /// Time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    pub pairs_ms_per_m: f64,
}

/// The checked timing of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing(Figures);

impl TryFrom<Figures> for Timing {
    type Error = error::Error;

    /// # Errors
    ///
    /// Fails if a figure that has to be positive is not, or if a time is negative.
    fn try_from(figures: Figures) -> error::Result<Timing> {
        let positive = [
            ("slots", f64::from(figures.slots)),
            ("memory", figures.memory.0 as f64),
            ("steps_per_pass", f64::from(figures.steps_per_pass)),
            ("step_ms", figures.step_ms),
            ("prefill_tokens_per_ms", figures.prefill_tokens_per_ms),
        ];
        let not_negative = [
            ("stream_ms", figures.stream_ms),
            ("context_ms_per_k", figures.context_ms_per_k),
            ("pairs_ms_per_m", figures.pairs_ms_per_m),
        ];
        let bad = positive
            .iter()
            .find(|(_, value)| !(value.is_finite() && *value > 0.0))
            .or_else(|| {
                not_negative
                    .iter()
                    .find(|(_, value)| !(value.is_finite() && *value >= 0.0))
            });
        match bad {
            Some((field, _)) => Err(error::Error::InvalidDeclaration {
                field: format!("engine.{field}"),
                rule: error::Rule::Positive,
            }),
            None => Ok(Timing(figures)),
        }
    }
}

impl Timing {
    /// Returns the number of requests that run at once.
    pub fn slots(&self) -> usize {
        self.0.slots as usize
    }

    /// Returns the KV memory.
    pub fn memory(&self) -> unit::Tokens {
        self.0.memory
    }

    /// Returns the time to read one of `parts` even parts of a prompt, in milliseconds.
    ///
    /// Every part carries its share of the pairs of the whole prompt.
    pub fn part_ms(&self, prompt: unit::Tokens, parts: usize) -> f64 {
        let tokens = prompt.0 as f64;
        let reading = tokens / self.0.prefill_tokens_per_ms;
        let pairs = tokens * tokens / 2.0 / 1e6 * self.0.pairs_ms_per_m;
        (reading + pairs) / parts.max(1) as f64
    }

    /// Returns the time to read a whole prompt, in milliseconds.
    pub fn read_ms(&self, prompt: unit::Tokens) -> f64 {
        self.part_ms(prompt, 1)
    }

    /// Returns the time of a pass that writes streams and reads nothing, in milliseconds.
    pub fn pass_ms(&self, streams: usize, context: unit::Tokens) -> f64 {
        let step = self.0.step_ms
            + streams as f64 * self.0.stream_ms
            + context.0 as f64 / 1000.0 * self.0.context_ms_per_k;
        step * f64::from(self.0.steps_per_pass)
    }
}
