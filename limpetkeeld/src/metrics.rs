//! Counters, gauges and histograms in the Prometheus form.

use prometheus::Encoder as _;

use crate::define;

pub mod relay;

/// Buckets of the time to the first token, in seconds; one ends at the target.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.3, 2.5, 5.0, 15.0, 60.0,
];

/// Everything that the daemon counts.
pub struct Metrics {
    registry: prometheus::Registry,
    /// Requests that ended, by rank and result.
    pub requests: prometheus::IntCounterVec,
    /// Requests that got no whole answer, by code.
    pub refusals: prometheus::IntCounterVec,
    /// Attempts that were repeated, by the code that caused it.
    pub retries: prometheus::IntCounterVec,
    /// Chunks that were dropped as late, crossed or repeated.
    pub stale_chunks: prometheus::IntCounter,
    /// Seconds to the first token, by rank and length.
    pub first_token: prometheus::HistogramVec,
    /// Messages to peers, by kind.
    pub peer_messages: prometheus::IntCounterVec,
    /// Bytes on peer links, by direction.
    pub peer_bytes: prometheus::IntCounterVec,
    /// Failures on peer links, by code.
    pub peer_errors: prometheus::IntCounterVec,
    /// Calls of the platform, by kind and result.
    pub platform_calls: prometheus::IntCounterVec,
    /// Polls of upstreams, by result.
    pub upstream_polls: prometheus::IntCounterVec,
    /// Bytes of load reports and cache events.
    pub upstream_poll_bytes: prometheus::IntCounter,
    /// Requests that were cancelled on an upstream because nobody answered for them.
    pub cancels: prometheus::IntCounter,
    /// Orders to upstreams, by result.
    pub orders: prometheus::IntCounterVec,
    /// Grants that were given.
    pub grants: prometheus::IntCounter,
    /// Requests in progress.
    pub in_progress: prometheus::IntGauge,
    /// Asks that wait in the own keepers.
    pub waiting: prometheus::IntGauge,
    /// Bytes of bodies that are held.
    pub body_bytes: prometheus::IntGauge,
    /// The revision of the tables in force.
    pub table_revision: prometheus::IntGauge,
    /// Live members of the own availability zone.
    pub live_members: prometheus::IntGauge,
    /// Pools that this instance keeps.
    pub kept_pools: prometheus::IntGauge,
    /// What the relay counts.
    pub relay: relay::Metrics,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if two of them have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = prometheus::Registry::new();
        let define = define::Definer(&registry);
        let first_token = prometheus::HistogramOpts::new(
            "limpetkeel_first_token_seconds",
            "Seconds from arrival to the first token.",
        )
        .buckets(FIRST_TOKEN_BUCKETS.to_vec());
        Ok(Metrics {
            requests: define.counters(
                "limpetkeel_requests_total",
                "Requests that ended.",
                &["rank", "result"],
            )?,
            refusals: define.counters(
                "limpetkeel_refusals_total",
                "Requests without a whole answer, by code and outcome.",
                &["code", "outcome"],
            )?,
            retries: define.counters(
                "limpetkeel_retries_total",
                "Attempts that were repeated, by cause.",
                &["code"],
            )?,
            stale_chunks: define.counter(
                "limpetkeel_stale_chunks_total",
                "Chunks dropped as late, crossed or repeated.",
            )?,
            first_token: define.add(prometheus::HistogramVec::new(
                first_token,
                &["rank", "length"],
            ))?,
            peer_messages: define.counters(
                "limpetkeel_peer_messages_total",
                "Messages sent to peers.",
                &["kind"],
            )?,
            peer_bytes: define.counters(
                "limpetkeel_peer_bytes_total",
                "Bytes on peer links.",
                &["direction"],
            )?,
            peer_errors: define.counters(
                "limpetkeel_peer_errors_total",
                "Failures on peer links.",
                &["code"],
            )?,
            platform_calls: define.counters(
                "limpetkeel_platform_calls_total",
                "Calls of the platform.",
                &["kind", "result"],
            )?,
            upstream_polls: define.counters(
                "limpetkeel_upstream_polls_total",
                "Load reports that were requested.",
                &["result"],
            )?,
            upstream_poll_bytes: define.counter(
                "limpetkeel_upstream_poll_bytes_total",
                "Bytes of load reports and cache events, without HTTP headers.",
            )?,
            cancels: define.counter(
                "limpetkeel_cancels_total",
                "Requests cancelled on an upstream because nobody answered for them.",
            )?,
            orders: define.counters(
                "limpetkeel_orders_total",
                "Orders to upstreams.",
                &["result"],
            )?,
            grants: define.counter("limpetkeel_grants_total", "Grants given by own keepers.")?,
            in_progress: define.gauge("limpetkeel_in_progress", "Requests in progress.")?,
            waiting: define.gauge("limpetkeel_waiting", "Asks that wait in own keepers.")?,
            body_bytes: define.gauge("limpetkeel_body_bytes", "Bytes of bodies held.")?,
            table_revision: define.gauge(
                "limpetkeel_table_revision",
                "Revision of the tables in force.",
            )?,
            live_members: define.gauge(
                "limpetkeel_live_members",
                "Live members of the availability zone.",
            )?,
            relay: relay::Metrics::new(&define)?,
            kept_pools: define.gauge("limpetkeel_kept_pools", "Pools that this instance keeps.")?,
            registry,
        })
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        // Writing to a vector cannot fail.
        let _ = encoder.encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Counts a call of the platform and passes its result on.
    pub fn platform_call<T>(
        &self,
        kind: &str,
        result: crate::platform::Result<T>,
    ) -> crate::platform::Result<T> {
        let label = match &result {
            Ok(_) => "ok",
            Err(crate::platform::Error::Conflict(_)) => "conflict",
            Err(crate::platform::Error::Refused) => "refused",
            Err(crate::platform::Error::Unanswered) => "unanswered",
            Err(crate::platform::Error::Malformed) => "malformed",
        };
        self.platform_calls.with_label_values(&[kind, label]).inc();
        result
    }
}
