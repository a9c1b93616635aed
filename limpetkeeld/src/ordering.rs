//! Orders to upstreams, given under a lease by the instance that keeps their pool.

use std::{collections, sync};

use limpetkeel::{LEASE_LIFETIME, Pool, PoolName, RouteKind, Tenure, Timestamp};
use tokio::time;

use crate::{keeping, shared};

/// The time between two rounds.
const ROUND: time::Duration = time::Duration::from_millis(500);

/// A lease is renewed when this long has passed since the last time.
const RENEWAL: limpetkeel::Millis = limpetkeel::Millis(LEASE_LIFETIME.0 / 3);

#[derive(Default)]
struct Office {
    tenure: Tenure,
    asked: Option<Timestamp>,
}

/// Orders versions for the kept pools, until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut offices: collections::BTreeMap<PoolName, Office> = collections::BTreeMap::new();
    loop {
        time::sleep(ROUND).await;
        let pools = versioned(&shared);
        offices.retain(|name, _| {
            let versioned = pools.iter().any(|pool| pool.name() == name);
            if !versioned {
                keeping::stop_orders(&shared, name);
            }
            versioned
        });
        for pool in pools {
            let office = offices.entry(pool.name().clone()).or_default();
            office.hold(&shared, &pool).await;
            office.order(&shared, &pool).await;
        }
    }
}

/// The kept pools whose version the operators declared.
fn versioned(shared: &shared::Shared) -> Vec<Pool> {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let membership = shared.membership.lock();
    let zone = &shared.settings.availability_zone;
    let kept = |pool: &&Pool| {
        let owner = keeping::owner_of(&membership, now, pool.name(), zone);
        pool.kind() == RouteKind::Model
            && pool.version().is_some()
            && owner.is_some_and(|owner| shared.is_own(&owner))
    };
    in_force.tables.pools().filter(kept).cloned().collect()
}

impl Office {
    /// Acquires or renews the lease.
    async fn hold(&mut self, shared: &shared::Shared, pool: &Pool) {
        let asked = shared.clock.now();
        if self.asked.is_some_and(|last| asked.since(last) < RENEWAL) {
            return;
        }
        self.asked = Some(asked);
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
        self.tenure = match shared.metrics.platform_call("lease", lease) {
            Ok(Some(fencing)) => std::mem::take(&mut self.tenure).granted(asked, now, fencing),
            Ok(None) => Tenure::None,
            // The lease goes on until its own end.
            Err(_) => return,
        };
    }

    /// Orders the next upstream that is ready, if the lease allows it.
    async fn order(&mut self, shared: &shared::Shared, pool: &Pool) {
        let now = shared.clock.now();
        self.tenure = std::mem::take(&mut self.tenure).settle(now, pool.checks_fencing());
        if self.tenure.may_order(now).is_none() {
            return keeping::stop_orders(shared, pool.name());
        }
        let Some(version) = pool.version() else {
            return;
        };
        let Some(place) = keeping::next_order(shared, pool.name(), version) else {
            return;
        };
        // Looked at again: the process may have been paused since.
        let Some(fencing) = self.tenure.may_order(shared.clock.now()) else {
            return;
        };
        let ordered = shared
            .engines
            .order_version(place.address, fencing, version)
            .await;
        let result = if ordered.is_ok() { "ok" } else { "failed" };
        shared.metrics.orders.with_label_values(&[result]).inc();
        tracing::info!(event = "ordered", upstream = %place.upstream, version, result);
    }
}
