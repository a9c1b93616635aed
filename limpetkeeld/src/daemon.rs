//! Starts an instance and ends it.

use std::{fmt, io, sync};

use tokio::{signal::unix, time};

use crate::{
    answers, front, gossip, keeping, listener, metrics, ordering, peer, placing, settings, shared,
    tables, worker,
};

/// The time between two checks of whether a leaving instance holds nothing any more.
const DEPART_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Connections of callers that stay open after the last request are closed after this long.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Why an instance could not start.
#[derive(Debug)]
pub enum Error {
    /// A metric is defined twice.
    Metrics(prometheus::Error),
    /// The HTTP client cannot start.
    HttpClient(reqwest::Error),
    /// The address for callers cannot be bound.
    HttpListen(io::Error),
    /// Signals cannot be received.
    Signals(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Metrics(e) => write!(f, "metrics: {e}"),
            Error::HttpClient(e) => write!(f, "http client: {e}"),
            Error::HttpListen(e) => write!(f, "http_listen: {e}"),
            Error::Signals(e) => write!(f, "signals: {e}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs an instance until it has left.
///
/// # Errors
///
/// Fails if the instance cannot start.
pub async fn run(settings: settings::Settings) -> Result<(), Error> {
    let metrics = sync::Arc::new(metrics::Metrics::new().map_err(Error::Metrics)?);
    let (jobs, rx) = worker::Queue::new();
    let shared = shared::Shared::new(settings, metrics, jobs).map_err(Error::HttpClient)?;
    let shared = sync::Arc::new(shared);
    worker::start(&shared, rx);
    start_tasks(&shared);
    let listener = listener::listen(shared.settings.http_listen).map_err(Error::HttpListen)?;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener).map_err(Error::HttpListen)?;
    let server = salvo::Server::new(acceptor);
    let leaving = leave_on_signal(shared.clone(), server.handle())?;
    tracing::info!(
        event = "started",
        instance = %shared.settings.instance,
        availability_zone = %shared.settings.availability_zone,
        http = %shared.settings.http_listen,
        peers = %shared.settings.peer_listen,
    );
    server.serve(front::router(&shared)).await;
    let _ = leaving.await;
    tracing::info!(event = "stopped", instance = %shared.settings.instance);
    Ok(())
}

fn start_tasks(shared: &sync::Arc<shared::Shared>) {
    tokio::spawn(peer::server::run(
        shared.settings.peer_listen,
        shared.settings.peer_key.clone(),
        shared.metrics.clone(),
        sync::Arc::new(answers::Answers::new(shared)),
    ));
    tokio::spawn(tables::run_watch(shared.clone()));
    tokio::spawn(tables::run_list(shared.clone()));
    tokio::spawn(gossip::run(shared.clone()));
    tokio::spawn(keeping::run_upkeep(shared.clone()));
    tokio::spawn(keeping::run_dispatch(shared.clone()));
    tokio::spawn(keeping::polls::run(shared.clone()));
    tokio::spawn(placing::run_asserts(shared.clone()));
    tokio::spawn(ordering::run(shared.clone()));
}

fn leave_on_signal(
    shared: sync::Arc<shared::Shared>,
    server: salvo::server::ServerHandle,
) -> Result<tokio::task::JoinHandle<()>, Error> {
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(Error::Signals)?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(Error::Signals)?;
    Ok(tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let second = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        tokio::select! {
            () = leave(&shared) => server.stop_graceful(CLOSE_TIMEOUT),
            () = second => {
                tracing::warn!(event = "stopped_at_once");
                server.stop_forceful();
            }
        }
    }))
}

/// Leaves: fails readiness, hands the keepers over, and waits for the requests in progress.
async fn leave(shared: &sync::Arc<shared::Shared>) {
    let now = shared.clock.now();
    shared
        .membership
        .lock()
        .own
        .transition(|stage| stage.leave(now));
    tracing::info!(event = "leaving", instance = %shared.settings.instance);
    gossip::announce_leaving(shared).await;
    keeping::abandon_all(shared);
    loop {
        let now = shared.clock.now();
        let gone = {
            let mut membership = shared.membership.lock();
            let in_progress = shared.requests.lock().admitted;
            membership
                .own
                .transition(|stage| stage.depart(now, in_progress));
            matches!(membership.own.get(), Some(limpetkeel::Stage::Gone(_)))
        };
        if gone {
            return;
        }
        time::sleep(DEPART_INTERVAL).await;
    }
}
