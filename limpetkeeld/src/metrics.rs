//! Prometheus metrics: counters, gauges and histograms.

use prometheus::Encoder as _;

use crate::metric_registrar;

pub mod relay;

/// Buckets of the time to the first token, in seconds; 1.3 s is the target.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.3, 2.5, 5.0, 15.0, 60.0,
];

/// The metrics of the daemon.
pub struct Metrics {
    registry: prometheus::Registry,
    /// Ended requests, by rank and result.
    pub requests: prometheus::IntCounterVec,
    /// Requests without a complete response, by error code and outcome.
    pub refusals: prometheus::IntCounterVec,
    /// Retried attempts, by the error code that caused the retry.
    pub retries: prometheus::IntCounterVec,
    /// Chunks dropped because they were duplicates or belong to another request or attempt.
    pub stale_chunks: prometheus::IntCounter,
    /// The time from arrival to the first token in seconds, by rank and prompt length.
    pub first_token_seconds: prometheus::HistogramVec,
    /// Messages sent to peers, by kind.
    pub peer_messages: prometheus::IntCounterVec,
    /// Bytes on peer links, by direction.
    pub peer_bytes: prometheus::IntCounterVec,
    /// Failures on peer links, by error code.
    pub peer_errors: prometheus::IntCounterVec,
    /// Calls to the platform, by kind and result.
    pub platform_calls: prometheus::IntCounterVec,
    /// Polls of upstreams, by result.
    pub upstream_polls: prometheus::IntCounterVec,
    /// Bytes of load reports and cache events, without HTTP headers.
    pub upstream_poll_bytes: prometheus::IntCounter,
    /// Requests cancelled on an upstream because no instance renewed their grant.
    pub cancellations: prometheus::IntCounter,
    /// Orders to upstreams, by result.
    pub orders: prometheus::IntCounterVec,
    /// Grants made by the local keepers.
    pub grants: prometheus::IntCounter,
    /// Requests in progress.
    pub in_progress: prometheus::IntGauge,
    /// Placement requests that wait in the local keepers.
    pub waiting_requests: prometheus::IntGauge,
    /// Bytes of the request bodies that are buffered in memory.
    pub body_bytes: prometheus::IntGauge,
    /// The revision of the tables in force.
    pub table_revision: prometheus::IntGauge,
    /// Live members of the local availability zone.
    pub live_members: prometheus::IntGauge,
    /// Pools whose keepers run on this instance.
    pub running_keepers: prometheus::IntGauge,
    /// Relay metrics.
    pub relay: relay::Metrics,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = prometheus::Registry::new();
        let registrar = metric_registrar::MetricRegistrar(&registry);
        let first_token_opts = prometheus::HistogramOpts::new(
            "limpetkeel_first_token_seconds",
            "Seconds from arrival to the first token.",
        )
        .buckets(FIRST_TOKEN_BUCKETS.to_vec());
        Ok(Metrics {
            requests: registrar.counter_vec(
                "limpetkeel_requests_total",
                "Requests that ended.",
                &["rank", "result"],
            )?,
            refusals: registrar.counter_vec(
                "limpetkeel_refusals_total",
                "Requests without a whole answer, by code and outcome.",
                &["code", "outcome"],
            )?,
            retries: registrar.counter_vec(
                "limpetkeel_retries_total",
                "Attempts that were repeated, by cause.",
                &["code"],
            )?,
            stale_chunks: registrar.counter(
                "limpetkeel_stale_chunks_total",
                "Chunks dropped as late, crossed or repeated.",
            )?,
            first_token_seconds: registrar.register(prometheus::HistogramVec::new(
                first_token_opts,
                &["rank", "length"],
            ))?,
            peer_messages: registrar.counter_vec(
                "limpetkeel_peer_messages_total",
                "Messages sent to peers.",
                &["kind"],
            )?,
            peer_bytes: registrar.counter_vec(
                "limpetkeel_peer_bytes_total",
                "Bytes on peer links.",
                &["direction"],
            )?,
            peer_errors: registrar.counter_vec(
                "limpetkeel_peer_errors_total",
                "Failures on peer links.",
                &["code"],
            )?,
            platform_calls: registrar.counter_vec(
                "limpetkeel_platform_calls_total",
                "Calls of the platform.",
                &["kind", "result"],
            )?,
            upstream_polls: registrar.counter_vec(
                "limpetkeel_upstream_polls_total",
                "Load reports that were requested.",
                &["result"],
            )?,
            upstream_poll_bytes: registrar.counter(
                "limpetkeel_upstream_poll_bytes_total",
                "Bytes of load reports and cache events, without HTTP headers.",
            )?,
            cancellations: registrar.counter(
                "limpetkeel_cancels_total",
                "Requests cancelled on an upstream because nobody answered for them.",
            )?,
            orders: registrar.counter_vec(
                "limpetkeel_orders_total",
                "Orders to upstreams.",
                &["result"],
            )?,
            grants: registrar.counter("limpetkeel_grants_total", "Grants given by own keepers.")?,
            in_progress: registrar.gauge("limpetkeel_in_progress", "Requests in progress.")?,
            waiting_requests: registrar
                .gauge("limpetkeel_waiting", "Asks that wait in own keepers.")?,
            body_bytes: registrar.gauge("limpetkeel_body_bytes", "Bytes of bodies held.")?,
            table_revision: registrar.gauge(
                "limpetkeel_table_revision",
                "Revision of the tables in force.",
            )?,
            live_members: registrar.gauge(
                "limpetkeel_live_members",
                "Live members of the availability zone.",
            )?,
            relay: relay::Metrics::new(&registrar)?,
            running_keepers: registrar
                .gauge("limpetkeel_kept_pools", "Pools that this instance keeps.")?,
            registry,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        let encoder = prometheus::TextEncoder::new();
        // Encoding fails only if the writer fails, which a `Vec` never does.
        let _ = encoder.encode(&self.registry.gather(), &mut buf);
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Records a call to the platform in the metrics and returns its result unchanged.
    pub fn platform_call<T>(
        &self,
        kind: &str,
        result: crate::platform::Result<T>,
    ) -> crate::platform::Result<T> {
        let label = match &result {
            Ok(_) => "ok",
            Err(crate::platform::Error::Conflict(_)) => "conflict",
            Err(crate::platform::Error::Refused) => "refused",
            Err(crate::platform::Error::ResponseLost) => "unanswered",
            Err(crate::platform::Error::Malformed) => "malformed",
        };
        self.platform_calls.with_label_values(&[kind, label]).inc();
        result
    }
}
