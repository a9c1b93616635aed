//! Keeps the own instance listed in the store, under a lease.

use std::{sync, time};

use limpetkeel::Millis;

use crate::relay::{follow, port, shared};

/// An instance that dies without a word stays listed for this long; peers pass it over sooner.
const LEASE_LIFETIME: Millis = Millis(9_000);

/// The time between two renewals: two may fail before the lease ends.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(LEASE_LIFETIME.0 / 3);

/// The pause after a failed call.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(700);

/// What is added to that pause at random, so that the instances do not return together.
const RETRY_JITTER_MS: u64 = 600;

/// Keeps the instance listed until it leaves.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut lease = None;
    while !shared.membership.lock().own.is_leaving() {
        let pause = match keep(&shared, &mut lease).await {
            Ok(()) => RENEWAL_INTERVAL,
            Err(e) => {
                tracing::warn!(event = "registration_failed", error = %e);
                let jitter = rand::random_range(0..RETRY_JITTER_MS);
                RETRY_PAUSE + time::Duration::from_millis(jitter)
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = shared.leaving.cancelled() => {}
        }
    }
    if let Some(lease) = lease {
        let ended = follow::count(&shared, "unregister", shared.store.unregister(lease).await);
        if let Err(e) = ended {
            // The lease ends by itself.
            tracing::info!(event = "unregistration_failed", error = %e);
        }
    }
}

async fn keep(
    shared: &shared::Shared,
    lease: &mut Option<port::LeaseId>,
) -> Result<(), port::StoreError> {
    if let Some(held) = *lease {
        match follow::count(shared, "renew", shared.store.renew(held).await) {
            Err(port::StoreError::Lapsed) => *lease = None,
            renewed => return renewed,
        }
    }
    let own = shared.membership.lock().roll.own().clone();
    let registered = shared.store.register(&own, LEASE_LIFETIME).await;
    *lease = Some(follow::count(shared, "register", registered)?);
    tracing::info!(event = "registered", instance = %own.name);
    Ok(())
}
