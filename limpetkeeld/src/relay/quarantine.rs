//! Writes the quarantine updates of the local planners to the store.

use std::{sync, time};

use limpetkeel::{QUARANTINE_LIFETIME, QuarantineUpdate, Revision};

use crate::relay::{port, shared, store_watch};

/// Minimum time between two writes, so that a burst of updates leaves the store's limit on writes
/// to others.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Delay after the first failed write. It doubles with each consecutive failure.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Maximum delay after a failed write: half of the bound for a change to take effect.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Upper bound of the random jitter added to the delay, in milliseconds, so that instances do not
/// retry at the same time.
const RETRY_JITTER_MS: u64 = 150;

/// Applies an update of a local planner to the quarantine list and queues it to be written to the
/// store.
///
/// # Panics
///
/// Panics in debug builds if the thread has locked a shared table, since the list is at the lowest
/// lock level.
pub fn publish(shared: &shared::Shared, update: QuarantineUpdate) {
    let now = shared.clock.now();
    shared.tables.lock().quarantines.publish(now, update);
    shared.quarantine_queued.notify_one();
}

/// Writes queued updates to the store until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let now = shared.clock.now();
        let next = shared.tables.lock().quarantines.next_write(now);
        let Some(update) = next else {
            shared.quarantine_queued.notified().await;
            continue;
        };
        let written = write(&shared, update).await;
        record(&shared, update, written);
        if written.is_ok() {
            retry_delay = MIN_RETRY_DELAY;
            tokio::time::sleep(WRITE_INTERVAL).await;
        } else {
            let jitter = rand::random_range(0..RETRY_JITTER_MS);
            tokio::time::sleep(retry_delay + time::Duration::from_millis(jitter)).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

/// Writes an update and returns the revision of the write.
async fn write(
    shared: &shared::Shared,
    update: QuarantineUpdate,
) -> Result<Revision, port::StoreError> {
    match update {
        QuarantineUpdate::Imposed(quarantine) => {
            let written = shared.store.quarantine(quarantine, QUARANTINE_LIFETIME);
            store_watch::record_store_call(shared, "quarantine", written.await)
        }
        QuarantineUpdate::Lifted(cause) => {
            let lifted = shared.store.lift_quarantine(cause).await;
            store_watch::record_store_call(shared, "lift_quarantine", lifted)
        }
    }
}

/// Records and logs the result of a write.
fn record(
    shared: &shared::Shared,
    update: QuarantineUpdate,
    written: Result<Revision, port::StoreError>,
) {
    let (cause, crashes) = match update {
        QuarantineUpdate::Imposed(quarantine) => (quarantine.cause, Some(quarantine.crashes)),
        QuarantineUpdate::Lifted(cause) => (cause, None),
    };
    let mut tables = shared.tables.lock();
    match written {
        Ok(revision) => {
            tables.quarantines.record_written(update, revision);
            tracing::info!(event = "quarantine_published", %cause, crashes, %revision);
        }
        Err(e) => {
            tables.quarantines.record_failed(update);
            tracing::warn!(event = "quarantine_write_failed", %cause, crashes, error = %e);
        }
    }
}
