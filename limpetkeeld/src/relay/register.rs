//! Keeps the local instance registered in the store under a lease.

use std::{sync, time};

use limpetkeel::Millis;

use crate::relay::{port, shared, store_watch};

/// Lifetime of the lease. A crashed instance stays registered for this long; peers stop calling it
/// sooner, when it does not respond.
const LEASE_LIFETIME: Millis = Millis(9_000);

/// Interval between lease renewals. Two consecutive renewals may fail before the lease expires.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(LEASE_LIFETIME.0 / 3);

/// Delay after a failed call.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Upper bound of the random jitter added to the delay, in milliseconds, so that instances do not
/// retry at the same time.
const RETRY_JITTER_MS: u64 = 600;

/// Keeps the instance registered until it drains, then ends its lease.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut lease = None;
    while !shared.membership.lock().local_state.is_draining() {
        let delay = match renew_or_register(&shared, &mut lease).await {
            Ok(()) => RENEWAL_INTERVAL,
            Err(e) => {
                tracing::warn!(event = "registration_failed", error = %e);
                let jitter = rand::random_range(0..RETRY_JITTER_MS);
                RETRY_DELAY + time::Duration::from_millis(jitter)
            }
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = shared.era_changed.notified() => {
                let jitter = rand::random_range(0..RETRY_JITTER_MS);
                tokio::time::sleep(time::Duration::from_millis(jitter)).await;
            }
            () = shared.draining.cancelled() => {}
        }
    }
    if let Some(lease) = lease {
        let unregistered = store_watch::record_store_call(
            &shared,
            "unregister",
            shared.store.unregister(lease).await,
        );
        if let Err(e) = unregistered {
            // The lease expires by itself.
            tracing::info!(event = "unregistration_failed", error = %e);
        }
    }
}

/// Renews the lease, or registers the instance if it has no lease or the lease has expired.
async fn renew_or_register(
    shared: &shared::Shared,
    lease: &mut Option<port::LeaseId>,
) -> Result<(), port::StoreError> {
    let era = shared.tables.lock().revision.era();
    if let Some(current) = lease.filter(|lease| lease.era >= era) {
        match store_watch::record_store_call(shared, "renew", shared.store.renew(current).await) {
            Err(port::StoreError::Expired) => *lease = None,
            renewed => return renewed,
        }
    }
    let local = shared.membership.lock().instances.local().clone();
    let registered = shared.store.register(&local, LEASE_LIFETIME).await;
    *lease = Some(store_watch::record_store_call(
        shared, "register", registered,
    )?);
    tracing::info!(event = "registered", instance = %local.name);
    Ok(())
}
