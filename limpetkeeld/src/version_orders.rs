//! Orders to upstreams to change their version, sent under a lease by the instance that runs the
//! keeper of their pool.

use std::{collections, sync};

use limpetkeel::{LEASE_LIFETIME, LeaseState, Pool, PoolName, RouteKind, Timestamp};
use tokio::time;

use crate::{keepers, shared};

/// The interval between rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The interval at which a lease is renewed.
const RENEWAL_INTERVAL: limpetkeel::Millis = limpetkeel::Millis(LEASE_LIFETIME.0 / 3);

/// The lease for the orders of one pool, and when it was last requested.
#[derive(Default)]
struct OrderLease {
    lease_state: LeaseState,
    requested_at: Option<Timestamp>,
}

/// Sends orders for the pools that this instance owns, until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut leases: collections::BTreeMap<PoolName, OrderLease> = collections::BTreeMap::new();
    loop {
        time::sleep(ROUND_INTERVAL).await;
        let pools = pools_with_version(&shared);
        leases.retain(|name, _| {
            let versioned = pools.iter().any(|pool| pool.name() == name);
            if !versioned {
                keepers::stop_version_orders(&shared, name);
            }
            versioned
        });
        for pool in pools {
            let order_lease = leases.entry(pool.name().clone()).or_default();
            order_lease.renew(&shared, &pool).await;
            order_lease.send_order(&shared, &pool).await;
        }
    }
}

/// Returns the model pools that this instance owns and for which operators declared a version.
fn pools_with_version(shared: &shared::Shared) -> Vec<Pool> {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let membership = shared.membership.lock();
    let zone = &shared.settings.availability_zone;
    let has_order = |pool: &&Pool| {
        let owner = keepers::pool_owner(&membership, now, pool.name(), zone);
        pool.kind() == RouteKind::Model
            && pool.version().is_some()
            && owner.is_some_and(|owner| shared.is_local(&owner))
    };
    in_force.tables.pools().filter(has_order).cloned().collect()
}

impl OrderLease {
    /// Acquires the lease, or renews it if the renewal is due.
    async fn renew(&mut self, shared: &shared::Shared, pool: &Pool) {
        let requested_at = shared.clock.now();
        if self
            .requested_at
            .is_some_and(|last| requested_at.since(last) < RENEWAL_INTERVAL)
        {
            return;
        }
        self.requested_at = Some(requested_at);
        let name = format!(
            "orders.{}.{}",
            shared.settings.availability_zone,
            pool.name()
        );
        let holder = shared.settings.instance.as_str();
        let lease = shared
            .platform
            .acquire_lease(&name, holder, LEASE_LIFETIME)
            .await;
        let now = shared.clock.now();
        self.lease_state = match shared.metrics.platform_call("lease", lease) {
            Ok(Some(fencing)) => {
                std::mem::take(&mut self.lease_state).apply_grant(requested_at, now, fencing)
            }
            Ok(None) => LeaseState::None,
            // A failed call leaves the lease valid until it expires.
            Err(_) => return,
        };
    }

    /// Sends an order to the next upstream that is ready, if the lease permits orders.
    async fn send_order(&mut self, shared: &shared::Shared, pool: &Pool) {
        let now = shared.clock.now();
        self.lease_state = std::mem::take(&mut self.lease_state).update(now, pool.checks_fencing());
        if self.lease_state.order_fencing(now).is_none() {
            return keepers::stop_version_orders(shared, pool.name());
        }
        let Some(version) = pool.version() else {
            return;
        };
        let Some(target) = keepers::next_version_order(shared, pool.name(), version) else {
            return;
        };
        // The lease is checked again because the process may have been paused in the meantime.
        let Some(fencing) = self.lease_state.order_fencing(shared.clock.now()) else {
            return;
        };
        let ordered = shared
            .engines
            .order_version(target.address, fencing, version)
            .await;
        let result = if ordered.is_ok() { "ok" } else { "failed" };
        shared.metrics.orders.with_label_values(&[result]).inc();
        tracing::info!(event = "ordered", upstream = %target.upstream, version, result);
    }
}
