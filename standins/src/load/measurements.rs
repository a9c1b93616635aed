//! Measurements of a load run.

use std::{collections, time};

use hdrhistogram::Histogram;
use limpetkeel::Rank;

use super::Arrival;
use crate::caller::CallResult;

/// A class of prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum LengthClass {
    /// Fewer than 4,000 tokens.
    Under4k,
    /// 4,000 to 31,999 tokens.
    Under32k,
    /// 32,000 to 99,999 tokens.
    Under100k,
    /// 100,000 tokens or more.
    Over100k,
}

impl LengthClass {
    /// Returns the class of a prompt with the given number of tokens.
    pub fn of(prompt_tokens: u64) -> LengthClass {
        match prompt_tokens {
            0..4_000 => LengthClass::Under4k,
            4_000..32_000 => LengthClass::Under32k,
            32_000..100_000 => LengthClass::Under100k,
            _ => LengthClass::Over100k,
        }
    }

    /// Returns the name used in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            LengthClass::Under4k => "under 4k",
            LengthClass::Under32k => "under 32k",
            LengthClass::Under100k => "under 100k",
            LengthClass::Over100k => "over 100k",
        }
    }
}

/// The key by which measurements are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClass {
    /// The rank.
    pub rank: Rank,
    /// The length class of the prompt.
    pub length: LengthClass,
    /// Whether the requests belong to the disturbance and not to the baseline load.
    pub is_extra: bool,
}

/// The counters and latencies of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassStats {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests with a complete and correct response.
    pub completed: u64,
    /// Prompt and output tokens of the completed requests.
    pub tokens: u64,
    /// Requests that were refused and not run.
    pub refused: u64,
    /// Requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// The time to the first token, in microseconds.
    pub first_token: Histogram<u64>,
}

fn new_histogram() -> Histogram<u64> {
    // `Histogram::new` only fails for more than five significant digits.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}

impl Default for ClassStats {
    fn default() -> ClassStats {
        ClassStats {
            offered: 0,
            completed: 0,
            tokens: 0,
            refused: 0,
            failed: 0,
            first_token: new_histogram(),
        }
    }
}

impl ClassStats {
    /// Adds the counters and latencies of another class.
    pub fn add(&mut self, other: &ClassStats) {
        self.offered += other.offered;
        self.completed += other.completed;
        self.tokens += other.tokens;
        self.refused += other.refused;
        self.failed += other.failed;
        self.first_token += &other.first_token;
    }
}

/// The tokens that one workspace requested and was served.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceUsage {
    /// Prompt and output tokens of all requests.
    pub requested_tokens: u64,
    /// Prompt and output tokens of the completed requests.
    pub served_tokens: u64,
}

/// The measurements of a load run.
pub struct Measurements {
    /// The statistics of each request class.
    pub by_class: collections::BTreeMap<RequestClass, ClassStats>,
    /// The times between consecutive tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// The usage of each workspace.
    pub workspaces: collections::BTreeMap<String, WorkspaceUsage>,
    /// The number of errors with each code.
    pub errors_by_code: collections::BTreeMap<String, u64>,
    /// Admitted requests whose deadline was exceeded while they waited or ran.
    pub deadline_exceeded: u64,
    /// Responses with status 200 that ended normally but were incomplete or belonged to another
    /// request.
    pub wrong_responses: u64,
    /// Tokens that the engines prefilled and decoded.
    pub engine_tokens: u64,
    /// The duration of the run, from its start to the end of the last request.
    pub span: time::Duration,
}

impl Default for Measurements {
    fn default() -> Measurements {
        Measurements {
            by_class: collections::BTreeMap::new(),
            gaps: new_histogram(),
            workspaces: collections::BTreeMap::new(),
            errors_by_code: collections::BTreeMap::new(),
            deadline_exceeded: 0,
            wrong_responses: 0,
            engine_tokens: 0,
            span: time::Duration::ZERO,
        }
    }
}

fn as_micros_at_least_one(span: time::Duration) -> u64 {
    (span.as_micros() as u64).max(1)
}

impl Measurements {
    /// Records the result of one request.
    pub fn record(&mut self, arrival: &Arrival, result: &CallResult) {
        let class = RequestClass {
            rank: arrival.rank,
            length: LengthClass::of(arrival.prompt_tokens),
            is_extra: arrival.is_extra,
        };
        let tokens = arrival.prompt_tokens + arrival.max_tokens;
        let stats = self.by_class.entry(class).or_default();
        let usage = self
            .workspaces
            .entry(arrival.workspace.clone())
            .or_default();
        stats.offered += 1;
        usage.requested_tokens += tokens;
        if let Some(first) = result.first_token {
            let _ = stats.first_token.record(as_micros_at_least_one(first));
        }
        for gap in &result.gaps {
            let _ = self.gaps.record(as_micros_at_least_one(*gap));
        }
        if result.complete {
            stats.completed += 1;
            stats.tokens += tokens;
            usage.served_tokens += tokens;
            return;
        }
        if result.outcome.as_deref() == Some("not-run") {
            stats.refused += 1;
        } else {
            stats.failed += 1;
        }
        self.wrong_responses += u64::from(result.ended && result.status == 200);
        let code = result
            .code
            .clone()
            .unwrap_or_else(|| "no answer".to_owned());
        self.deadline_exceeded += u64::from(code.starts_with("deadline"));
        *self.errors_by_code.entry(code).or_default() += 1;
    }

    /// Returns the sum over all classes that match a predicate.
    pub fn sum(&self, mut matches: impl FnMut(&RequestClass) -> bool) -> ClassStats {
        let mut sum = ClassStats::default();
        for (_, stats) in self.by_class.iter().filter(|(class, _)| matches(class)) {
            sum.add(stats);
        }
        sum
    }

    /// Returns Jain's fairness index over the fractions of requested tokens that the small
    /// workspaces were served.
    pub fn jain_index(&self) -> f64 {
        let small_workspaces = ["ws-3", "ws-4", "ws-5", "ws-6", "ws-7", "ws-8", "ws-9"];
        let shares: Vec<f64> = small_workspaces
            .iter()
            .filter_map(|name| self.workspaces.get(*name))
            .map(|usage| usage.served_tokens as f64 / usage.requested_tokens.max(1) as f64)
            .collect();
        let (sum, sum_of_squares) = shares
            .iter()
            .fold((0.0, 0.0), |(sum, sum_of_squares), share| {
                (sum + share, sum_of_squares + share * share)
            });
        if sum_of_squares == 0.0 {
            0.0
        } else {
            sum * sum / (shares.len() as f64 * sum_of_squares)
        }
    }
}
