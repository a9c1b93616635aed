//! What the relay counts.

use crate::define;

/// Buckets of the time to the first byte of an answer, in seconds.
const FIRST_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.5, 5.0, 10.0, 20.0];

/// Buckets of the time that a plan takes to arrive, in seconds.
const PLAN_BUCKETS: [f64; 8] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/// Counters and histograms of the relay.
pub struct Metrics {
    /// Requests that ended, by form and result.
    pub ended: prometheus::IntCounterVec,
    /// Requests that the relay answered by itself, by reason.
    pub refused: prometheus::IntCounterVec,
    /// Attempts that were followed by another one, by reason.
    pub repeated: prometheus::IntCounterVec,
    /// Streams that went on at another upstream.
    pub resumed: prometheus::IntCounter,
    /// Callers that left before their answer was complete.
    pub abandoned: prometheus::IntCounter,
    /// Plans, by who made them.
    pub plans: prometheus::IntCounterVec,
    /// Seconds until a plan arrived.
    pub plan_seconds: prometheus::Histogram,
    /// Seconds to the first byte, by form and priority.
    pub first_seconds: prometheus::HistogramVec,
    /// Calls of the store, by kind and result.
    pub store_calls: prometheus::IntCounterVec,
    /// Entries of the store that could not be read.
    pub unreadable: prometheus::IntCounter,
    /// Reservations of memory, by result.
    pub reservations: prometheus::IntCounterVec,
    /// Log lines that were left out because their queue was full.
    pub lines_left_out: prometheus::IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two of them have the same name.
    pub(crate) fn new(define: &define::Definer<'_>) -> prometheus::Result<Metrics> {
        let first = prometheus::HistogramOpts::new(
            "limpetkeel_relay_first_byte_seconds",
            "Seconds from arrival to the first byte of the answer.",
        );
        let plan = prometheus::HistogramOpts::new(
            "limpetkeel_relay_plan_seconds",
            "Seconds until a plan arrived.",
        );
        Ok(Metrics {
            ended: define.counters(
                "limpetkeel_relay_requests_total",
                "Relayed requests that ended.",
                &["form", "result"],
            )?,
            refused: define.counters(
                "limpetkeel_relay_refusals_total",
                "Relayed requests answered by the relay itself, by reason.",
                &["reason"],
            )?,
            repeated: define.counters(
                "limpetkeel_relay_retries_total",
                "Attempts that were followed by another one, by reason.",
                &["reason"],
            )?,
            resumed: define.counter(
                "limpetkeel_relay_resumed_total",
                "Streams that went on at another upstream.",
            )?,
            abandoned: define.counter(
                "limpetkeel_relay_abandoned_total",
                "Callers that left before their answer was complete.",
            )?,
            plans: define.counters(
                "limpetkeel_relay_plans_total",
                "Plans, by the planner that made them.",
                &["planner"],
            )?,
            plan_seconds: define.add(prometheus::Histogram::with_opts(
                plan.buckets(PLAN_BUCKETS.to_vec()),
            ))?,
            first_seconds: define.add(prometheus::HistogramVec::new(
                first.buckets(FIRST_BUCKETS.to_vec()),
                &["form", "priority"],
            ))?,
            store_calls: define.counters(
                "limpetkeel_relay_store_calls_total",
                "Calls of the platform's store.",
                &["kind", "result"],
            )?,
            unreadable: define.counter(
                "limpetkeel_relay_unreadable_entries_total",
                "Entries of the store that could not be read.",
            )?,
            lines_left_out: define.gauge(
                "limpetkeel_log_lines_left_out",
                "Log lines left out since the start because their queue was full.",
            )?,
            reservations: define.counters(
                "limpetkeel_relay_reservations_total",
                "Reservations of engine memory, by result.",
                &["result"],
            )?,
        })
    }
}
