//! Reloads the settings file while the instance runs.

use std::{path, sync, time};

use tokio::signal::unix;

use crate::relay::{settings, shared};

/// Interval between checks of the settings file, which may change without a SIGHUP.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Reloads the settings on SIGHUP and when the file has changed, until the process ends.
///
/// The retry limit takes effect at once. All other settings need a restart.
pub async fn run(shared: sync::Arc<shared::Shared>, file: path::PathBuf, mut sighup: unix::Signal) {
    let mut current = shared.settings.clone();
    loop {
        let signal = tokio::select! {
            _ = sighup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        match settings::Settings::read(&file) {
            Ok(reloaded) if reloaded == current && !signal => {}
            Ok(reloaded) => {
                let restart = reloaded.needs_restart(&current);
                tracing::info!(event = "reloaded", signal, restart_needed = restart);
                shared.set_retry_limit(reloaded.retry_limit);
                current = reloaded;
            }
            Err(e) => {
                // The previous settings stay in effect.
                tracing::warn!(event = "reload_refused", signal, error = %e);
            }
        }
    }
}
