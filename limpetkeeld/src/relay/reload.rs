//! Reads the settings again while the instance runs.

use std::{io, path, sync, time};

use tokio::signal::unix;

use crate::relay::{settings, shared};

/// The time between two looks at the file: it may change without a signal.
const LOOK_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Takes over changed settings, at each SIGHUP and when the file has changed, until the process
/// ends.
///
/// The bound on repeated sends changes at once; addresses and names need a restart.
///
/// # Errors
///
/// Fails if signals cannot be received.
pub async fn run(shared: sync::Arc<shared::Shared>, file: path::PathBuf) -> io::Result<()> {
    let mut hangups = unix::signal(unix::SignalKind::hangup())?;
    let mut last = shared.settings.clone();
    loop {
        let signal = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(LOOK_INTERVAL) => false,
        };
        match settings::Settings::read(&file) {
            Ok(read) if read == last && !signal => {}
            Ok(read) => {
                let restart = read.needs_restart(&last);
                tracing::info!(event = "reloaded", signal, restart_needed = restart);
                shared.set_retry_bound(read.retry_bound);
                last = read;
            }
            Err(e) => {
                // The settings in force stay.
                tracing::warn!(event = "reload_refused", signal, error = %e);
            }
        }
    }
}
