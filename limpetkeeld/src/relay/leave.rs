//! How an instance ends: it fails its readiness, finishes what it has, and stops.

use std::{io, sync, time};

use tokio::signal::unix;

use crate::relay::shared;

/// Balancers send connections for this long after the readiness fails: two checks a second apart,
/// and the time of one.
const ACCEPT_GRACE: time::Duration = time::Duration::from_millis(3_300);

/// The time between two checks of whether all requests have ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// After the last request, answers that were just written get this long to leave the machine.
const FLUSH: time::Duration = time::Duration::from_millis(200);

/// Waits for a signal to leave and returns when nothing is in progress, or when the time is up.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub async fn run(shared: &sync::Arc<shared::Shared>) -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let end = tokio::time::Instant::now() + shared.settings.leave_timeout.duration();
    let now = shared.clock.now();
    shared
        .membership
        .lock()
        .own
        .transition(|stage| stage.leave(now));
    shared.leaving.cancel();
    tracing::info!(event = "leaving", instance = %shared.settings.instance);
    tokio::time::sleep(ACCEPT_GRACE).await;
    shared.closing.cancel();
    while shared.requests.lock().in_progress > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let left = shared.requests.lock().in_progress;
    tokio::time::sleep(FLUSH).await;
    tracing::info!(event = "stopped", instance = %shared.settings.instance, in_progress = left);
    Ok(())
}
