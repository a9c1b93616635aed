//! Starts a relay instance and runs it until it has drained.

use std::{convert, fmt, io, net, path, sync, time};

use bytes::Bytes;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use limpetkeel::MemoryShare;
use tokio::{signal::unix, sync::Semaphore};
use tracing_appender::non_blocking;

use crate::{
    listener, metrics, peer,
    relay::{
        body, drain, front, jobs, peer_fallback, peer_handler, planning, port, quarantine,
        register, reload, settings, shared, store_watch, worker,
    },
};

/// Errors while starting an instance.
#[derive(Debug)]
pub enum Error {
    /// A metric could not be registered.
    Metrics(prometheus::Error),
    /// An address could not be bound.
    Listen(net::SocketAddr, io::Error),
    /// Signal handlers could not be installed.
    Signals(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Metrics(e) => write!(f, "metrics: {e}"),
            Error::Listen(address, e) => write!(f, "listen on {address}: {e}"),
            Error::Signals(e) => write!(f, "signals: {e}"),
        }
    }
}

impl std::error::Error for Error {}

/// The dependencies that the calling program provides to an instance.
pub struct Dependencies {
    /// The codec for messages of callers and upstreams.
    pub codec: Box<dyn port::Codec>,
    /// The client of the platform's store.
    pub store: Box<dyn port::Store>,
    /// The counter of log lines dropped because the log queue was full.
    pub dropped_log_lines: non_blocking::ErrorCounter,
}

/// Runs an instance until it has drained. `file` is the settings file to reload.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
pub async fn run(
    file: path::PathBuf,
    settings: settings::Settings,
    dependencies: Dependencies,
) -> Result<(), Error> {
    let signals = drain::Signals::install().map_err(Error::Signals)?;
    let hangup = unix::signal(unix::SignalKind::hangup()).map_err(Error::Signals)?;
    let metrics = sync::Arc::new(metrics::Metrics::new().map_err(Error::Metrics)?);
    let (queue, rx) = jobs::Queue::new();
    let shared = shared::Shared::new(
        settings,
        metrics,
        dependencies.codec,
        dependencies.store,
        queue,
    );
    let shared = sync::Arc::new(shared);
    worker::start(&shared, rx);
    let ready = listener::listen(shared.settings.ready_listen)
        .map_err(|e| Error::Listen(shared.settings.ready_listen, e))?;
    tokio::spawn(serve_status(shared.clone(), ready, StatusPage::Ready));
    let status = listener::listen(shared.settings.status_listen)
        .map_err(|e| Error::Listen(shared.settings.status_listen, e))?;
    let metrics = StatusPage::Metrics(dependencies.dropped_log_lines);
    tokio::spawn(serve_status(shared.clone(), status, metrics));
    tokio::spawn(peer::server::run(
        shared.settings.peer_listen,
        shared.settings.peer_key.clone(),
        shared.metrics.clone(),
        sync::Arc::new(peer_handler::PeerHandler::new(&shared)),
    ));
    tokio::spawn(store_watch::run(shared.clone()));
    tokio::spawn(peer_fallback::run(shared.clone()));
    tokio::spawn(store_watch::run_expiry(shared.clone()));
    tokio::spawn(planning::run_reassignments(shared.clone()));
    tokio::spawn(quarantine::run(shared.clone()));
    let registration = tokio::spawn(register::run(shared.clone()));
    tracing::info!(
        event = "started",
        version = env!("CARGO_PKG_VERSION"),
        instance = %shared.settings.instance,
        availability_zone = %shared.settings.availability_zone,
        http = %shared.settings.http_listen,
        peers = %shared.settings.peer_listen,
        memory_limit = shared.settings.memory_limit.0,
        connection_limit = shared.connections.lock().table.limit(),
    );
    tokio::spawn(reload::run(shared.clone(), file, hangup));
    let front_task = tokio::spawn(front::listen(shared.clone()));
    let result = tokio::select! {
        () = drain::run(&shared, signals) => Ok(()),
        Ok(Err(e)) = front_task => Err(Error::Listen(shared.settings.http_listen, e)),
    };
    registration.abort();
    result
}

/// The response served on an operator address.
#[derive(Clone)]
enum StatusPage {
    /// Readiness, for load balancers.
    Ready,
    /// The metrics, including the number of dropped log lines.
    Metrics(non_blocking::ErrorCounter),
}

/// The most connections of a status page. Probes and scrapes need a few.
const MAX_STATUS_CONNECTIONS: usize = 32;

/// The time after which an idle connection of a status page is closed.
const STATUS_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Serves a status page on a listener.
async fn serve_status(
    shared: sync::Arc<shared::Shared>,
    listener: tokio::net::TcpListener,
    page: StatusPage,
) {
    let permits = sync::Arc::new(Semaphore::new(MAX_STATUS_CONNECTIONS));
    loop {
        // The semaphore is never closed.
        let permit = permits.clone().acquire_owned().await;
        let stream = listener::accept(&listener).await;
        let (shared, page) = (shared.clone(), page.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let handler = service::service_fn(move |_: http::Request<Incoming>| {
                let res = status_response(&shared, &page);
                async move { Ok::<_, convert::Infallible>(res) }
            });
            let _ = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(STATUS_IDLE_TIMEOUT)
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
    }
}

/// Sets the gauges of memory and connections.
fn update_gauges(shared: &shared::Shared) {
    let connections = shared.connections.lock().table.len();
    shared.metrics.relay.connections.set(connections as i64);
    let severed_paths = shared.paths.lock().severed_count();
    let gauge = &shared.metrics.relay.severed_paths;
    gauge.set(severed_paths as i64);
    for share in MemoryShare::all() {
        let reserved = shared.memory.reserved(share);
        let gauge = &shared.metrics.relay.memory_bytes;
        gauge
            .with_label_values(&[share.name()])
            .set(reserved.0 as i64);
    }
}

/// Returns the current response of a status page.
fn status_response(shared: &shared::Shared, page: &StatusPage) -> http::Response<body::Body> {
    let (code, text) = match page {
        StatusPage::Metrics(dropped_lines) => {
            let dropped_lines = dropped_lines.dropped_lines() as i64;
            shared.metrics.relay.dropped_log_lines.set(dropped_lines);
            update_gauges(shared);
            (http::StatusCode::OK, shared.metrics.render())
        }
        StatusPage::Ready => {
            if shared.membership.lock().local_state.is_ready() {
                (http::StatusCode::OK, "ready\n".to_owned())
            } else {
                (
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "not ready\n".to_owned(),
                )
            }
        }
    };
    let mut res = http::Response::new(body::complete(Bytes::from(text)));
    *res.status_mut() = code;
    res
}
