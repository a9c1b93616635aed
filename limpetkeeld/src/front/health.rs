//! Health, status and metrics.

use std::sync;

use limpetkeel::{Reach, Revision, Stage};

use crate::shared;

/// Answers that the process is alive.
pub struct Alive;

#[salvo::handler]
impl Alive {
    async fn handle(&self, res: &mut salvo::Response) {
        res.render("ok\n");
    }
}

/// Answers whether balancers should send requests.
pub struct Ready(sync::Arc<shared::Shared>);

impl Ready {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> Ready {
        Ready(shared.clone())
    }
}

#[salvo::handler]
impl Ready {
    async fn handle(&self, res: &mut salvo::Response) {
        let ready = self.0.membership.lock().own.is_ready();
        if ready {
            return res.render("ready\n");
        }
        res.status_code(http::StatusCode::SERVICE_UNAVAILABLE);
        res.render("not ready\n");
    }
}

/// What an instance says of itself.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct InstanceStatus {
    /// The instance.
    pub instance: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// Its stage.
    pub stage: String,
    /// The revision of the tables in force.
    pub revision: Revision,
    /// The upstreams that the platform listed.
    pub known_upstreams: usize,
    /// The pools that the instance keeps.
    pub kept_pools: Vec<String>,
    /// Requests in progress.
    pub in_progress: usize,
    /// Whether the platform answers.
    pub platform_reachable: bool,
    /// The live members of its availability zone.
    pub live_members: Vec<String>,
}

/// Answers with the status of the instance.
pub struct Status(sync::Arc<shared::Shared>);

impl Status {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> Status {
        Status(shared.clone())
    }
}

#[salvo::handler]
impl Status {
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
            in_force.directory.entries().len(),
        )
    };
    let membership = shared.membership.lock();
    let stage = match membership.own.get() {
        Some(Stage::Joining(_)) | None => "joining",
        Some(Stage::Live(_)) => "live",
        Some(Stage::Leaving(_)) => "leaving",
        Some(Stage::Gone(_)) => "gone",
    };
    let zone = &shared.settings.availability_zone;
    let live = membership
        .members
        .live(now, zone)
        .map(|contact| contact.name.to_string());
    InstanceStatus {
        instance: shared.settings.instance.to_string(),
        availability_zone: zone.to_string(),
        stage: stage.to_owned(),
        revision,
        known_upstreams,
        kept_pools: shared
            .keepers
            .lock()
            .pools()
            .map(ToString::to_string)
            .collect(),
        platform_reachable: membership.availability_zone.platform(now) != Reach::Separated,
        live_members: live.collect(),
        in_progress: shared.requests.lock().admitted,
    }
}

/// Answers with the metrics.
pub struct Metrics(sync::Arc<shared::Shared>);

impl Metrics {
    /// Creates the handler.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> Metrics {
        Metrics(shared.clone())
    }
}

#[salvo::handler]
impl Metrics {
    async fn handle(&self, res: &mut salvo::Response) {
        res.render(self.0.metrics.render());
    }
}
