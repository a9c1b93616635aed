//! Relay metrics.

use crate::metric_registrar;

/// Histogram buckets for the time to the first response byte, in seconds.
const FIRST_BYTE_BUCKETS: [f64; 10] = [0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.5, 5.0, 10.0, 20.0];

/// Histogram buckets for the time to obtain a plan, in seconds.
const PLAN_BUCKETS: [f64; 8] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/// Counters, gauges and histograms of the relay.
pub struct Metrics {
    /// Completed, failed and abandoned requests, by response form and result.
    pub requests: prometheus::IntCounterVec,
    /// Requests that the relay refused or failed without an upstream response, by reason.
    pub refusals: prometheus::IntCounterVec,
    /// Failed attempts that may be retried, by reason.
    pub retries: prometheus::IntCounterVec,
    /// Responses of upstreams that exceeded a limit, by limit.
    pub responses_over_limit: prometheus::IntCounterVec,
    /// Streams that broke off after they started and may continue on another upstream.
    pub resumed_streams: prometheus::IntCounter,
    /// Requests whose caller disconnected before the response was complete.
    pub abandoned_requests: prometheus::IntCounter,
    /// Requests that were still in progress when a drain ended.
    pub unfinished_requests: prometheus::IntCounter,
    /// Plans, by whether a peer or the local instance made them.
    pub plans: prometheus::IntCounterVec,
    /// Seconds from the plan request to the plan.
    pub plan_seconds: prometheus::Histogram,
    /// Seconds from arrival to the first response byte, by response form and priority.
    pub first_byte_seconds: prometheus::HistogramVec,
    /// Plan requests that this planner declined because of its tables, by reason.
    pub plan_declines: prometheus::IntCounterVec,
    /// Planners that declined a request of this instance because of their tables.
    pub outdated_planners: prometheus::IntCounter,
    /// Plans that were given back because they contradict the local tables, by reason.
    pub stale_plans: prometheus::IntCounterVec,
    /// Hedged requests and requests that were not hedged when due, by result.
    pub hedges: prometheus::IntCounterVec,
    /// Evacuated availability zones.
    pub evacuated_zones: prometheus::IntGauge,
    /// Decisions about causes of crashes, by kind.
    pub part_decisions: prometheus::IntCounterVec,
    /// Store calls, by kind and result.
    pub store_calls: prometheus::IntCounterVec,
    /// Store entries that could not be parsed.
    pub unreadable_entries: prometheus::IntCounter,
    /// Upstreams that said that they accept no requests for now or any longer, by reason.
    pub unavailable_upstreams: prometheus::IntCounterVec,
    /// Paths to upstreams that were severed or restored, by change.
    pub path_changes: prometheus::IntCounterVec,
    /// Paths to upstreams on which only a peer connects.
    pub severed_paths: prometheus::IntGauge,
    /// Tunnels that were requested of peers or served for them, by role and result.
    pub tunnels: prometheus::IntCounterVec,
    /// Memory reservations on engines, by result.
    pub reservations: prometheus::IntCounterVec,
    /// Requests that waited for the capacity of upstreams.
    pub capacity_waits: prometheus::IntCounter,
    /// Changes of the request limits that upstreams announce.
    pub limit_changes: prometheus::IntCounter,
    /// Upstreams that the local planners have ejected, by reason.
    pub ejections: prometheus::IntCounterVec,
    /// Upstreams that the local planners have returned to service, by reason.
    pub restorations: prometheus::IntCounterVec,
    /// Upstreams that are ejected by the local planners, by pool.
    pub ejected_upstreams: prometheus::IntGaugeVec,
    /// Upstreams that are cold, by pool, as the local planners know.
    pub cold_upstreams: prometheus::IntGaugeVec,
    /// Requests while upstreams were cold, by whether a cold one got them.
    pub cold_requests: prometheus::IntCounterVec,
    /// Bytes that are reserved in the memory account, by share.
    pub memory_bytes: prometheus::IntGaugeVec,
    /// Connections of callers.
    pub connections: prometheus::IntGauge,
    /// Connections of callers that were closed to make room, refused or too slow, by reason.
    pub closed_connections: prometheus::IntCounterVec,
    /// Request bodies that were dropped to make room for others.
    pub dropped_bodies: prometheus::IntCounter,
    /// Log lines dropped because the log queue was full.
    pub dropped_log_lines: prometheus::IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new(
        registrar: &metric_registrar::MetricRegistrar<'_>,
    ) -> prometheus::Result<Metrics> {
        let first_byte = prometheus::HistogramOpts::new(
            "limpetkeel_relay_first_byte_seconds",
            "Seconds from arrival to the first byte of the answer.",
        );
        let plan = prometheus::HistogramOpts::new(
            "limpetkeel_relay_plan_seconds",
            "Seconds until a plan arrived.",
        );
        Ok(Metrics {
            requests: registrar.counter_vec(
                "limpetkeel_relay_requests_total",
                "Relayed requests that ended.",
                &["form", "result"],
            )?,
            refusals: registrar.counter_vec(
                "limpetkeel_relay_refusals_total",
                "Relayed requests answered by the relay itself, by reason.",
                &["reason"],
            )?,
            retries: registrar.counter_vec(
                "limpetkeel_relay_retries_total",
                "Attempts that were followed by another one, by reason.",
                &["reason"],
            )?,
            responses_over_limit: registrar.counter_vec(
                "limpetkeel_relay_responses_over_limit_total",
                "Responses of upstreams that exceeded a limit, by limit.",
                &["limit"],
            )?,
            resumed_streams: registrar.counter(
                "limpetkeel_relay_resumed_total",
                "Streams that went on at another upstream.",
            )?,
            abandoned_requests: registrar.counter(
                "limpetkeel_relay_abandoned_total",
                "Callers that left before their answer was complete.",
            )?,
            unfinished_requests: registrar.counter(
                "limpetkeel_relay_unfinished_total",
                "Requests in progress when the drain timeout ended.",
            )?,
            plans: registrar.counter_vec(
                "limpetkeel_relay_plans_total",
                "Plans, by the planner that made them.",
                &["planner"],
            )?,
            plan_seconds: registrar.register(prometheus::Histogram::with_opts(
                plan.buckets(PLAN_BUCKETS.to_vec()),
            ))?,
            first_byte_seconds: registrar.register(prometheus::HistogramVec::new(
                first_byte.buckets(FIRST_BYTE_BUCKETS.to_vec()),
                &["form", "priority"],
            ))?,
            plan_declines: registrar.counter_vec(
                "limpetkeel_relay_plan_declines_total",
                "Plan requests of other instances declined because of older tables, by reason.",
                &["reason"],
            )?,
            outdated_planners: registrar.counter(
                "limpetkeel_relay_outdated_planners_total",
                "Planners passed over because of their older tables.",
            )?,
            stale_plans: registrar.counter_vec(
                "limpetkeel_relay_stale_plans_total",
                "Plans given back because of an upstream that must not be used, by reason.",
                &["reason"],
            )?,
            hedges: registrar.counter_vec(
                "limpetkeel_relay_hedges_total",
                "Requests that were slow enough for a second attempt, by result.",
                &["result"],
            )?,
            evacuated_zones: registrar.gauge(
                "limpetkeel_relay_evacuated_zones",
                "Availability zones to whose upstreams nothing new is sent.",
            )?,
            part_decisions: registrar.counter_vec(
                "limpetkeel_relay_part_decisions_total",
                "Decisions about parts of prompts and requests that may crash upstreams, by kind.",
                &["decision"],
            )?,
            store_calls: registrar.counter_vec(
                "limpetkeel_relay_store_calls_total",
                "Calls of the platform's store.",
                &["kind", "result"],
            )?,
            unreadable_entries: registrar.counter(
                "limpetkeel_relay_unreadable_entries_total",
                "Entries of the store that could not be read.",
            )?,
            unavailable_upstreams: registrar.counter_vec(
                "limpetkeel_relay_unavailable_upstreams_total",
                "Upstreams that said that they accept no requests, by reason.",
                &["reason"],
            )?,
            ejections: registrar.counter_vec(
                "limpetkeel_relay_ejections_total",
                "Upstreams that were ejected since they failed, by reason.",
                &["reason"],
            )?,
            restorations: registrar.counter_vec(
                "limpetkeel_relay_restorations_total",
                "Ejected upstreams that returned to service, by reason.",
                &["reason"],
            )?,
            ejected_upstreams: registrar.register(prometheus::IntGaugeVec::new(
                prometheus::Opts::new(
                    "limpetkeel_relay_ejected_upstreams",
                    "Upstreams that the local planners have ejected, by pool.",
                ),
                &["pool"],
            ))?,
            cold_upstreams: registrar.register(prometheus::IntGaugeVec::new(
                prometheus::Opts::new(
                    "limpetkeel_relay_cold_upstreams",
                    "Upstreams that are cold, by pool.",
                ),
                &["pool"],
            ))?,
            cold_requests: registrar.counter_vec(
                "limpetkeel_relay_cold_requests_total",
                "Requests that cold upstreams got, or did not get because of their limit.",
                &["result"],
            )?,
            memory_bytes: registrar.gauge_vec(
                "limpetkeel_relay_memory_bytes",
                "Bytes reserved in the memory account, by share.",
                &["share"],
            )?,
            connections: registrar.gauge(
                "limpetkeel_relay_connections",
                "Open connections of callers.",
            )?,
            closed_connections: registrar.counter_vec(
                "limpetkeel_relay_closed_connections_total",
                "Connections of callers that were closed or refused for lack of room or time.",
                &["reason"],
            )?,
            dropped_bodies: registrar.counter(
                "limpetkeel_relay_dropped_bodies_total",
                "Request bodies that were dropped to make room for others.",
            )?,
            dropped_log_lines: registrar.gauge(
                "limpetkeel_log_lines_left_out",
                "Log lines left out since the start because their queue was full.",
            )?,
            limit_changes: registrar.counter(
                "limpetkeel_relay_limit_changes_total",
                "Changes of the request limits that upstreams announce.",
            )?,
            capacity_waits: registrar.counter(
                "limpetkeel_relay_capacity_waits_total",
                "Requests that waited for the capacity of upstreams.",
            )?,
            path_changes: registrar.counter_vec(
                "limpetkeel_relay_path_changes_total",
                "Paths to upstreams that were severed or restored.",
                &["change"],
            )?,
            severed_paths: registrar.gauge(
                "limpetkeel_relay_severed_paths",
                "Paths to upstreams on which only a peer connects.",
            )?,
            tunnels: registrar.counter_vec(
                "limpetkeel_relay_tunnels_total",
                "Tunnels to upstreams, requested of peers or served for them.",
                &["role", "result"],
            )?,
            reservations: registrar.counter_vec(
                "limpetkeel_relay_reservations_total",
                "Reservations of engine memory, by result.",
                &["result"],
            )?,
        })
    }
}
