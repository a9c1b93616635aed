//! Reports of load runs, as a table for the terminal or as JSON.

use std::collections;

use hdrhistogram::Histogram;
use limpetkeel::Rank;

use super::{
    ENGINE_TOKENS_PER_SECOND, ENGINES_PER_ZONE, Measurements, RunConfig,
    measurements::{ClassStats, LengthClass},
};

/// Percentiles of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct LatencySummary {
    /// The number of samples.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

impl From<&Histogram<u64>> for LatencySummary {
    fn from(histogram: &Histogram<u64>) -> LatencySummary {
        let milliseconds_at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        LatencySummary {
            count: histogram.len(),
            p50_ms: milliseconds_at(0.50),
            p95_ms: milliseconds_at(0.95),
            p99_ms: milliseconds_at(0.99),
        }
    }
}

/// One line of the report.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Line {
    /// The name of the request class.
    pub class: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests with a complete and correct response.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Requests that were refused and not run.
    pub refused: u64,
    /// Requests that failed or whose outcome is unknown.
    pub failed: u64,
    /// Prompt and output tokens of completed requests per second.
    pub tokens_per_second: f64,
    /// The time to the first token.
    pub first_token: LatencySummary,
}

/// The report of one run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// The scenario.
    pub scenario: String,
    /// The placement policy.
    pub policy: String,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The factor by which time is scaled; always 1.
    pub time_scale: f64,
    /// The duration of the run in seconds.
    pub span_seconds: f64,
    /// The statistics of all requests, then of each rank, then of each length class.
    pub lines: Vec<Line>,
    /// The time between consecutive tokens.
    pub between_tokens: LatencySummary,
    /// Tokens of completed requests per second, as a fraction of the engines' capacity.
    pub goodput_of_limit: f64,
    /// The fraction of tokens that engines processed for requests that did not complete.
    pub wasted: f64,
    /// Jain's fairness index over the small workspaces.
    pub jain_index: f64,
    /// The fraction of the tokens requested by the small workspaces that was served.
    pub small_workspaces_served: f64,
    /// The number of errors with each code.
    pub errors: collections::BTreeMap<String, u64>,
    /// Admitted requests whose deadline was exceeded while they waited or ran.
    #[serde(rename = "missed_timeouts")]
    pub deadline_exceeded: u64,
    /// Responses that ended normally but were incomplete or belonged to another request.
    #[serde(rename = "wrong_answers")]
    pub wrong_responses: u64,
}

const LENGTH_CLASSES: [LengthClass; 4] = [
    LengthClass::Under4k,
    LengthClass::Under32k,
    LengthClass::Under100k,
    LengthClass::Over100k,
];

impl Report {
    /// Creates the report of a run from its measurements.
    pub fn new(config: &RunConfig, measurements: &Measurements) -> Report {
        let seconds = measurements.span.as_secs_f64();
        let line = |class: String, stats: ClassStats| Line {
            class,
            offered: stats.offered,
            completed: stats.completed,
            refused: stats.refused,
            failed: stats.failed,
            tokens_per_second: stats.tokens as f64 / seconds,
            first_token: LatencySummary::from(&stats.first_token),
        };
        let mut lines = vec![line("all".to_owned(), measurements.sum(|_| true))];
        for is_extra in [false, true] {
            let name = if is_extra { "flood" } else { "calm" };
            for rank in Rank::ALL {
                let stats =
                    measurements.sum(|class| class.rank == rank && class.is_extra == is_extra);
                lines.push(line(format!("{name} {rank}"), stats));
            }
        }
        for length in LENGTH_CLASSES {
            let stats = measurements.sum(|class| class.length == length && !class.is_extra);
            lines.push(line(format!("calm {}", length.as_str()), stats));
        }
        lines.retain(|line| line.offered > 0);
        Report {
            scenario: config.scenario.name.to_owned(),
            policy: config.policy.clone(),
            seed: config.seed,
            time_scale: 1.0,
            span_seconds: seconds,
            between_tokens: LatencySummary::from(&measurements.gaps),
            goodput_of_limit: goodput_fraction(config, measurements),
            wasted: wasted_fraction(measurements),
            jain_index: measurements.jain_index(),
            small_workspaces_served: small_workspaces_served_fraction(measurements),
            errors: measurements.errors_by_code.clone(),
            deadline_exceeded: measurements.deadline_exceeded,
            wrong_responses: measurements.wrong_responses,
            lines,
        }
    }
}

fn goodput_fraction(config: &RunConfig, measurements: &Measurements) -> f64 {
    let limit = f64::from(3 * ENGINES_PER_ZONE) * ENGINE_TOKENS_PER_SECOND;
    let tokens = measurements.sum(|_| true).tokens as f64;
    // Requests that arrived during the configured span may end after it.
    tokens
        / (limit
            * measurements
                .span
                .as_secs_f64()
                .max(config.span.as_secs_f64()))
}

fn wasted_fraction(measurements: &Measurements) -> f64 {
    let useful = measurements.sum(|_| true).tokens as f64;
    // Cached prefixes count as useful tokens although no engine prefilled them, so the
    // difference can be negative.
    (1.0 - useful / measurements.engine_tokens.max(1) as f64).max(0.0)
}

fn small_workspaces_served_fraction(measurements: &Measurements) -> f64 {
    let small_workspaces = measurements
        .workspaces
        .iter()
        .filter(|(name, _)| name.starts_with("ws-") && name.as_str() > "ws-2" && name.len() == 4);
    let (requested_tokens, served_tokens) =
        small_workspaces.fold((0, 0), |(requested_tokens, served_tokens), (_, usage)| {
            (
                requested_tokens + usage.requested_tokens,
                served_tokens + usage.served_tokens,
            )
        });
    served_tokens as f64 / (requested_tokens.max(1)) as f64
}

/// Prints a report as a table to the standard output.
pub fn print(report: &Report) {
    println!(
        "\n{} with {}, seed {}, {:.0} s, time scale {}",
        report.scenario, report.policy, report.seed, report.span_seconds, report.time_scale
    );
    println!(
        "{:<18} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "class",
        "offered",
        "answered",
        "refused",
        "failed",
        "tokens/s",
        "p50 ms",
        "p95 ms",
        "p99 ms"
    );
    for line in &report.lines {
        println!(
            "{:<18} {:>8} {:>8} {:>8} {:>7} {:>9.0} {:>9.0} {:>9.0} {:>9.0}",
            line.class,
            line.offered,
            line.completed,
            line.refused,
            line.failed,
            line.tokens_per_second,
            line.first_token.p50_ms,
            line.first_token.p95_ms,
            line.first_token.p99_ms
        );
    }
    println!(
        "between tokens p50 {:.0} p95 {:.0} p99 {:.0} ms; goodput {:.2} of the limit; \
         wasted {:.3}; small workspaces: Jain {:.3}, served {:.3}",
        report.between_tokens.p50_ms,
        report.between_tokens.p95_ms,
        report.between_tokens.p99_ms,
        report.goodput_of_limit,
        report.wasted,
        report.jain_index,
        report.small_workspaces_served,
    );
    println!(
        "missed timeouts {}, wrong answers {}, errors {:?}",
        report.deadline_exceeded, report.wrong_responses, report.errors
    );
}
