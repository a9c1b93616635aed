//! Polls of the load of upstreams, by the instance that keeps their pool.

use std::{
    collections,
    sync::{self, atomic},
};

use limpetkeel::{Place, Pool, RouteKind, Timestamp, UpstreamName};
use tokio::time;

use crate::{shared, worker};

/// The time between two looks at which upstreams are due.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The upstreams whose load this instance has to know.
fn polled(shared: &shared::Shared) -> Vec<(Pool, Place)> {
    let in_force = shared.in_force.lock();
    let zone = &shared.settings.availability_zone;
    let all = shared.settings.policy != limpetkeel::Policy::Keeper;
    let keepers = shared.keepers.lock();
    let pools = in_force.tables.pools();
    let pools = pools.filter(|pool| all || keepers.keeps(pool.name()));
    let places = pools.flat_map(|pool| {
        let listed = in_force.directory.serving(pool.name(), zone).into_iter();
        listed.map(|(upstream, address)| (pool.clone(), Place { upstream, address }))
    });
    places.collect()
}

/// Polls the load of the kept upstreams until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut last_events = collections::HashMap::new();
    let mut polled_at: collections::HashMap<UpstreamName, Timestamp> = collections::HashMap::new();
    loop {
        let now = shared.clock.now();
        let places = polled(&shared);
        polled_at.retain(|name, _| places.iter().any(|(_, place)| place.upstream == *name));
        for (pool, place) in places {
            let due = polled_at
                .get(&place.upstream)
                .is_none_or(|at| now.since(*at) >= shared.settings.report_interval);
            if !due {
                continue;
            }
            polled_at.insert(place.upstream.clone(), now);
            let position = last_events
                .entry(place.upstream.clone())
                .or_insert_with(|| sync::Arc::new(atomic::AtomicU64::new(0)))
                .clone();
            tokio::spawn(poll(shared.clone(), pool, place, position));
        }
        time::sleep(LOOK_INTERVAL).await;
    }
}

async fn poll(
    shared: sync::Arc<shared::Shared>,
    pool: Pool,
    place: Place,
    position: sync::Arc<atomic::AtomicU64>,
) {
    let report = match pool.kind() {
        RouteKind::Model => shared.engines.load_report(place.address).await.ok(),
        RouteKind::Service => shared.services.load_report(place.address).await,
    };
    let result = if report.is_some() { "ok" } else { "failed" };
    shared
        .metrics
        .upstream_polls
        .with_label_values(&[result])
        .inc();
    let Some(report) = report else { return };
    if shared.settings.policy != limpetkeel::Policy::Keeper {
        let mut budgets = shared.budgets.lock();
        let baseline = budgets.baselines.entry(pool.name().clone()).or_default();
        return baseline.report(&place.upstream, report.running.len());
    }
    let (pool_name, upstream) = (pool.name().clone(), place.upstream.clone());
    let job = worker::Job::Report {
        pool: pool_name,
        upstream,
        report,
    };
    shared.jobs.submit(job).await;
    if pool.kind() == RouteKind::Model {
        poll_cache(&shared, &pool, &place, &position).await;
    }
}

async fn poll_cache(
    shared: &shared::Shared,
    pool: &Pool,
    place: &Place,
    position: &atomic::AtomicU64,
) {
    let after = position.load(atomic::Ordering::Relaxed);
    let Ok(events) = shared.engines.cache_events(place.address, after).await else {
        return;
    };
    position.store(events.last, atomic::Ordering::Relaxed);
    let gap = events.from != after;
    if gap || !events.evicted.is_empty() {
        let (pool, upstream) = (pool.name().clone(), place.upstream.clone());
        let evicted = events.evicted;
        shared
            .jobs
            .submit(worker::Job::CacheEvents {
                pool,
                upstream,
                evicted,
                gap,
            })
            .await;
    }
}
