//! Startup and shutdown of an instance.

use std::{fmt, io, sync};

use tokio::{signal::unix, time};

use crate::{
    front, gossip, keepers, listener, metrics, peer, peer_handler, placement, settings, shared,
    tables, version_orders, worker,
};

/// The interval between checks whether a draining instance has finished its requests.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long callers' connections may stay open after the last request before they are closed.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The reason why an instance could not start.
#[derive(Debug)]
pub enum Error {
    /// A metric cannot be registered.
    Metrics(prometheus::Error),
    /// The HTTP client cannot be created.
    HttpClient(reqwest::Error),
    /// The address for callers (`http_listen`) cannot be bound.
    HttpListen(io::Error),
    /// The signal handlers cannot be installed.
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

/// Runs an instance until it has drained or is stopped by a second signal.
///
/// # Errors
///
/// Returns an error if the instance cannot start.
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
    let shutdown = drain_on_signal(shared.clone(), server.handle())?;
    tracing::info!(
        event = "started",
        instance = %shared.settings.instance,
        availability_zone = %shared.settings.availability_zone,
        http = %shared.settings.http_listen,
        peers = %shared.settings.peer_listen,
    );
    server.serve(front::router(&shared)).await;
    let _ = shutdown.await;
    tracing::info!(event = "stopped", instance = %shared.settings.instance);
    Ok(())
}

fn start_tasks(shared: &sync::Arc<shared::Shared>) {
    tokio::spawn(peer::server::run(
        shared.settings.peer_listen,
        shared.settings.peer_key.clone(),
        shared.metrics.clone(),
        sync::Arc::new(peer_handler::PeerHandler::new(shared)),
    ));
    tokio::spawn(tables::run_watch(shared.clone()));
    tokio::spawn(tables::run_list(shared.clone()));
    tokio::spawn(gossip::run(shared.clone()));
    tokio::spawn(keepers::run_maintenance(shared.clone()));
    tokio::spawn(keepers::run_dispatch(shared.clone()));
    tokio::spawn(keepers::polling::run(shared.clone()));
    tokio::spawn(placement::run_renewals(shared.clone()));
    tokio::spawn(version_orders::run(shared.clone()));
}

fn drain_on_signal(
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
        let second_signal = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        tokio::select! {
            () = drain(&shared) => server.stop_graceful(CLOSE_TIMEOUT),
            () = second_signal => {
                tracing::warn!(event = "stopped_at_once");
                server.stop_forceful();
            }
        }
    }))
}

/// Drains the instance: fails the readiness check, announces the draining to peers, refuses the
/// placement requests that wait in its keepers, and waits for the requests in progress.
async fn drain(shared: &sync::Arc<shared::Shared>) {
    let now = shared.clock.now();
    shared
        .membership
        .lock()
        .local_state
        .transition(|state| state.start_draining(now));
    tracing::info!(event = "leaving", instance = %shared.settings.instance);
    gossip::announce_draining(shared).await;
    keepers::stop_all(shared);
    loop {
        let now = shared.clock.now();
        let stopped = {
            let mut membership = shared.membership.lock();
            let in_progress = shared.requests.lock().admitted;
            membership
                .local_state
                .transition(|state| state.finish_draining(now, in_progress));
            matches!(
                membership.local_state.get(),
                Some(limpetkeel::InstanceState::Stopped(_))
            )
        };
        if stopped {
            return;
        }
        time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}
