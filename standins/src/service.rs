//! A plain service that records the requests that it runs.
//!
//! `GET /_ran` lists the records, `PUT /_fault` injects a fault, and `GET /_load` reports the load. A
//! request to any other path is run: it is recorded with its idempotency key, and the response
//! echoes its body.

use std::{sync, time};

use salvo::http;

use crate::{fault, http_server};

/// A record of a request that was run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RecordedRequest {
    /// The path of the request.
    pub path: String,
    /// The idempotency key, if the request has one.
    pub key: Option<String>,
    /// The workspace, if the request names one.
    pub workspace: Option<String>,
    /// The body, as text.
    pub body: String,
}

/// Settings of the service.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The time that one request takes.
    pub work_duration: time::Duration,
    /// The maximum number of concurrently running requests.
    pub slots: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            work_duration: time::Duration::from_millis(5),
            slots: 64,
        }
    }
}

/// The state that the request handlers of the service share.
struct Service {
    settings: Settings,
    recorded: parking_lot::Mutex<Vec<RecordedRequest>>,
    fault_injector: fault::FaultInjector,
    slots: tokio::sync::Semaphore,
}

/// Builds the router of a service.
pub fn router(settings: Settings) -> salvo::Router {
    let service = sync::Arc::new(Service {
        settings,
        recorded: parking_lot::Mutex::default(),
        fault_injector: fault::FaultInjector::default(),
        slots: tokio::sync::Semaphore::new(settings.slots as usize),
    });
    salvo::Router::new()
        .push(salvo::Router::with_path("_ran").get(ReadRecords(service.clone())))
        .push(salvo::Router::with_path("_fault").put(SetFault(service.clone())))
        .push(salvo::Router::with_path("_load").get(ReadLoad(service.clone())))
        .push(salvo::Router::with_path("{**path}").goal(RunRequest(service)))
}

struct RunRequest(sync::Arc<Service>);

#[salvo::handler]
impl RunRequest {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        let service = &self.0;
        let deferred_fault = match service.fault_injector.apply_before_work().await {
            Ok(fault) => fault,
            Err(status) => return http_server::send_status(res, status),
        };
        let Ok(_slot) = service.slots.acquire().await else {
            return;
        };
        let header = |req: &salvo::Request, name: &str| {
            req.headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let key = header(req, "idempotency-key");
        let workspace = header(req, "limpetkeel-workspace");
        let path = req.uri().path().to_owned();
        let payload = req.payload_with_max_size(http_server::MAX_BODY_BYTES).await;
        let body = payload.map(|body| String::from_utf8_lossy(body).into_owned());
        let body = body.unwrap_or_default();
        service.recorded.lock().push(RecordedRequest {
            path: path.clone(),
            key,
            workspace,
            body: body.clone(),
        });
        tokio::time::sleep(service.settings.work_duration).await;
        if deferred_fault.is_some() {
            return fault::drop_response(res);
        }
        let response = serde_json::json!({ "path": path, "echo": body });
        http_server::send_json(res, http::StatusCode::OK, &response);
    }
}

struct ReadRecords(sync::Arc<Service>);

#[salvo::handler]
impl ReadRecords {
    async fn handle(&self, res: &mut salvo::Response) {
        let recorded = self.0.recorded.lock().clone();
        http_server::send_json(res, http::StatusCode::OK, &recorded);
    }
}

struct SetFault(sync::Arc<Service>);

#[salvo::handler]
impl SetFault {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        self.0.fault_injector.handle_put(req, res).await;
    }
}

struct ReadLoad(sync::Arc<Service>);

#[salvo::handler]
impl ReadLoad {
    async fn handle(&self, res: &mut salvo::Response) {
        let busy = self.0.settings.slots as usize - self.0.slots.available_permits();
        let load = serde_json::json!({ "slots": self.0.settings.slots, "busy": busy });
        http_server::send_json(res, http::StatusCode::OK, &load);
    }
}
