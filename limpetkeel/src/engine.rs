//! The time that a batching engine takes, computed from its published parameters.
//!
//! An engine works in passes. A pass that decodes at least one stream runs a fixed number of token
//! steps. Prompts are prefilled within a pass as well, so that every stream waits for them.

use crate::{error, unit};

/// The parameters of an engine as its operator publishes them.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineParameters {
    /// The number of requests that run concurrently.
    pub slots: u32,
    /// The KV-cache memory, in tokens.
    pub memory: unit::Tokens,
    /// The number of token steps in a pass that decodes streams.
    pub steps_per_pass: u32,
    /// The fixed time of a step, in milliseconds.
    pub step_ms: f64,
    /// The time that each decoded stream adds to a step, in milliseconds.
    pub step_ms_per_stream: f64,
    /// The time that a thousand tokens of context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// The prompt tokens that are prefilled per millisecond, without the time for attention.
    pub prefill_tokens_per_ms: f64,
    /// The attention time for a million pairs of a prompt token and an earlier one, in
    /// milliseconds.
    pub attention_ms_per_m_pairs: f64,
}

/// The timing of an engine, computed from validated parameters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTiming(EngineParameters);

impl TryFrom<EngineParameters> for EngineTiming {
    type Error = error::Error;

    /// # Errors
    ///
    /// Returns [`error::Error::InvalidDeclaration`] if a parameter is not finite, a parameter that
    /// must be positive is not, or a time is negative.
    fn try_from(parameters: EngineParameters) -> error::Result<EngineTiming> {
        let positive = [
            ("slots", f64::from(parameters.slots)),
            ("memory", parameters.memory.0 as f64),
            ("steps_per_pass", f64::from(parameters.steps_per_pass)),
            ("step_ms", parameters.step_ms),
            ("prefill_tokens_per_ms", parameters.prefill_tokens_per_ms),
        ];
        // Error messages contain these names, which differ from those of two fields.
        let not_negative = [
            ("stream_ms", parameters.step_ms_per_stream),
            ("context_ms_per_k", parameters.context_ms_per_k),
            ("pairs_ms_per_m", parameters.attention_ms_per_m_pairs),
        ];
        let invalid = positive
            .iter()
            .find(|(_, value)| !(value.is_finite() && *value > 0.0))
            .or_else(|| {
                not_negative
                    .iter()
                    .find(|(_, value)| !(value.is_finite() && *value >= 0.0))
            });
        match invalid {
            Some((field, _)) => Err(error::Error::InvalidDeclaration {
                field: format!("engine.{field}"),
                rule: error::Rule::Positive,
            }),
            None => Ok(EngineTiming(parameters)),
        }
    }
}

impl EngineTiming {
    /// Returns the number of requests that run concurrently.
    pub fn slots(&self) -> usize {
        self.0.slots as usize
    }

    /// Returns the KV-cache memory, in tokens.
    pub fn memory(&self) -> unit::Tokens {
        self.0.memory
    }

    /// Returns the time to prefill one of `parts` equal parts of a prompt, in milliseconds.
    ///
    /// The token pairs of the complete prompt are divided evenly among the parts.
    pub fn prefill_part_ms(&self, prompt: unit::Tokens, parts: usize) -> f64 {
        let tokens = prompt.0 as f64;
        let per_token = tokens / self.0.prefill_tokens_per_ms;
        let attention = tokens * tokens / 2.0 / 1e6 * self.0.attention_ms_per_m_pairs;
        (per_token + attention) / parts.max(1) as f64
    }

    /// Returns the time to prefill a complete prompt, in milliseconds.
    pub fn prefill_ms(&self, prompt: unit::Tokens) -> f64 {
        self.prefill_part_ms(prompt, 1)
    }

    /// Returns the time of a pass that only decodes, in milliseconds; `context` is the total of all
    /// streams.
    pub fn decode_pass_ms(&self, streams: usize, context: unit::Tokens) -> f64 {
        let step = self.0.step_ms
            + streams as f64 * self.0.step_ms_per_stream
            + context.0 as f64 / 1000.0 * self.0.context_ms_per_k;
        step * f64::from(self.0.steps_per_pass)
    }

    /// Returns the time to decode `output` tokens of one of `streams` streams, in milliseconds;
    /// `context` is the total of all streams.
    pub fn decode_ms(&self, output: unit::Tokens, streams: usize, context: unit::Tokens) -> f64 {
        let passes = output.0.div_ceil(u64::from(self.0.steps_per_pass));
        passes as f64 * self.decode_pass_ms(streams, context)
    }
}
