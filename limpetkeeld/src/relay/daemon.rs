//! Starts a relaying instance and runs it until it has left.

use std::{convert, fmt, io, net, path, sync};

use bytes::Bytes;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use tracing_appender::non_blocking;

use crate::{
    listener, metrics, peer,
    relay::{
        answers, body, follow, front, jobs, leave, planning, port, register, reload, settings,
        shared, worker,
    },
};

/// Why an instance could not start.
#[derive(Debug)]
pub enum Error {
    /// A metric is defined twice.
    Metrics(prometheus::Error),
    /// An address cannot be bound.
    Listen(net::SocketAddr, io::Error),
    /// Signals cannot be received.
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

/// What an instance works with that is not its own.
pub struct Outside {
    /// The messages of callers and upstreams.
    pub codec: Box<dyn port::Codec>,
    /// The platform's store.
    pub store: Box<dyn port::Store>,
    /// Counts the log lines that found no room.
    pub lines_left_out: non_blocking::ErrorCounter,
}

/// Runs an instance with the settings of a file until it has left.
///
/// # Errors
///
/// Fails if the instance cannot start.
pub async fn run(
    file: path::PathBuf,
    settings: settings::Settings,
    outside: Outside,
) -> Result<(), Error> {
    let metrics = sync::Arc::new(metrics::Metrics::new().map_err(Error::Metrics)?);
    let (queue, rx) = jobs::Queue::new();
    let shared = shared::Shared::new(settings, metrics, outside.codec, outside.store, queue);
    let shared = sync::Arc::new(shared);
    worker::start(&shared, rx);
    let ready = listener::listen(shared.settings.ready_listen)
        .map_err(|e| Error::Listen(shared.settings.ready_listen, e))?;
    tokio::spawn(serve_status(shared.clone(), ready, Page::Ready));
    let status = listener::listen(shared.settings.status_listen)
        .map_err(|e| Error::Listen(shared.settings.status_listen, e))?;
    let metrics = Page::Metrics(outside.lines_left_out);
    tokio::spawn(serve_status(shared.clone(), status, metrics));
    tokio::spawn(peer::server::run(
        shared.settings.peer_listen,
        shared.settings.peer_key.clone(),
        shared.metrics.clone(),
        sync::Arc::new(answers::Answers::new(&shared)),
    ));
    tokio::spawn(follow::run(shared.clone()));
    tokio::spawn(follow::run_peers(shared.clone()));
    tokio::spawn(follow::run_sweep(shared.clone()));
    tokio::spawn(planning::run_asserts(shared.clone()));
    let registration = tokio::spawn(register::run(shared.clone()));
    tracing::info!(
        event = "started",
        version = env!("CARGO_PKG_VERSION"),
        instance = %shared.settings.instance,
        availability_zone = %shared.settings.availability_zone,
        http = %shared.settings.http_listen,
        peers = %shared.settings.peer_listen,
    );
    let reloads = tokio::spawn(reload::run(shared.clone(), file));
    let fronts = tokio::spawn(front::listen(shared.clone()));
    let left = tokio::select! {
        left = leave::run(&shared) => left.map_err(Error::Signals),
        Ok(Err(e)) = reloads => Err(Error::Signals(e)),
        Ok(Err(e)) = fronts => Err(Error::Listen(shared.settings.http_listen, e)),
    };
    registration.abort();
    left
}

/// What an address for operators answers.
#[derive(Clone)]
enum Page {
    /// Whether balancers should send connections.
    Ready,
    /// The metrics, with the log lines that were left out.
    Metrics(non_blocking::ErrorCounter),
}

async fn serve_status(
    shared: sync::Arc<shared::Shared>,
    listener: tokio::net::TcpListener,
    page: Page,
) {
    loop {
        let stream = listener::accept(&listener).await;
        let (shared, page) = (shared.clone(), page.clone());
        tokio::spawn(async move {
            let handler = service::service_fn(move |_: http::Request<Incoming>| {
                let res = status(&shared, &page);
                async move { Ok::<_, convert::Infallible>(res) }
            });
            let _ = http1::Builder::new()
                .serve_connection(rt::TokioIo::new(stream), handler)
                .await;
        });
    }
}

fn status(shared: &shared::Shared, page: &Page) -> http::Response<body::Body> {
    let (code, text) = match page {
        Page::Metrics(left_out) => {
            let left_out = left_out.dropped_lines() as i64;
            shared.metrics.relay.lines_left_out.set(left_out);
            (http::StatusCode::OK, shared.metrics.render())
        }
        Page::Ready => {
            if shared.membership.lock().own.is_ready() {
                (http::StatusCode::OK, "ready\n".to_owned())
            } else {
                (
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "not ready\n".to_owned(),
                )
            }
        }
    };
    let mut res = http::Response::new(body::whole(Bytes::from(text)));
    *res.status_mut() = code;
    res
}
