//! Handlers for health checks, status and metrics.

use std::sync;

use limpetkeel::{InstanceState, Reachability, Revision};

use crate::shared;

/// Handles `GET /healthz`; responds with 200 while the process runs.
pub struct LivenessHandler;

#[salvo::handler]
impl LivenessHandler {
    async fn handle(&self, res: &mut salvo::Response) {
        res.render("ok\n");
    }
}

/// Handles `GET /readyz`; responds with 200 while load balancers should send requests to the
/// instance, otherwise with 503.
pub struct ReadinessHandler(sync::Arc<shared::Shared>);

impl ReadinessHandler {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> ReadinessHandler {
        ReadinessHandler(shared.clone())
    }
}

#[salvo::handler]
impl ReadinessHandler {
    async fn handle(&self, res: &mut salvo::Response) {
        let ready = self.0.membership.lock().local_state.is_ready();
        if ready {
            return res.render("ready\n");
        }
        res.status_code(http::StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    }
}

/// The status of an instance, as returned by `GET /status`.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct InstanceStatus {
    /// The name of the instance.
    pub instance: String,
    /// The availability zone of the instance.
    pub availability_zone: String,
    /// The life-cycle state of the instance.
    pub stage: String,
    /// The revision of the tables in force.
    #[serde(flatten)]
    pub revision: Revision,
    /// The number of upstreams in the platform's list.
    pub known_upstreams: usize,
    /// The pools whose keepers run on the instance.
    pub kept_pools: Vec<String>,
    /// The number of requests in progress.
    pub in_progress: usize,
    /// `false` once calls to the platform have failed for long enough that it counts as
    /// unreachable.
    pub platform_reachable: bool,
    /// The names of the live members of the availability zone.
    pub live_members: Vec<String>,
}

/// Handles `GET /status`.
pub struct StatusHandler(sync::Arc<shared::Shared>);

impl StatusHandler {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> StatusHandler {
        StatusHandler(shared.clone())
    }
}

#[salvo::handler]
impl StatusHandler {
    async fn handle(&self, res: &mut salvo::Response) {
        res.render(salvo::writing::Json(status(&self.0)));
    }
}

fn status(shared: &shared::Shared) -> InstanceStatus {
    let now = shared.clock.now();
    let (revision, known_upstreams) = {
        let in_force = shared.in_force.lock();
        (
            in_force.tables.revision(),
            in_force.upstream_list.entries().len(),
        )
    };
    let membership = shared.membership.lock();
    let state = match membership.local_state.get() {
        Some(InstanceState::Joining(_)) | None => "joining",
        Some(InstanceState::Live(_)) => "live",
        Some(InstanceState::Draining(_)) => "leaving",
        Some(InstanceState::Stopped(_)) => "gone",
    };
    let zone = &shared.settings.availability_zone;
    let live_names = membership
        .members
        .live_members(now, zone)
        .map(|contact| contact.name.to_string());
    InstanceStatus {
        instance: shared.settings.instance.to_string(),
        availability_zone: zone.to_string(),
        stage: state.to_owned(),
        revision,
        known_upstreams,
        kept_pools: shared
            .keepers
            .lock()
            .pools()
            .map(ToString::to_string)
            .collect(),
        platform_reachable: membership.reachability.platform_reachability(now)
            != Reachability::Separated,
        live_members: live_names.collect(),
        in_progress: shared.requests.lock().admitted,
    }
}

/// Handles `GET /metrics`.
pub struct MetricsHandler(sync::Arc<shared::Shared>);

impl MetricsHandler {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> MetricsHandler {
        MetricsHandler(shared.clone())
    }
}

#[salvo::handler]
impl MetricsHandler {
    async fn handle(&self, res: &mut salvo::Response) {
        res.render(self.0.metrics.render());
    }
}
