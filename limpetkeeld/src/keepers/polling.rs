//! Polling of upstreams for load reports and cache events, by the instance that runs the keeper of
//! their pool.

use std::{
    collections,
    sync::{self, atomic},
};

use limpetkeel::{Pool, RouteKind, Timestamp, UpstreamAddress, UpstreamName};
use tokio::time;

use crate::{shared, worker};

/// The interval between checks for upstreams that are due for a poll.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Returns the upstreams that this instance polls: those of its keepers, or all upstreams of the
/// availability zone under a policy without a keeper.
fn upstreams_to_poll(shared: &shared::Shared) -> Vec<(Pool, UpstreamAddress)> {
    let in_force = shared.in_force.lock();
    let zone = &shared.settings.availability_zone;
    let poll_all = shared.settings.policy != limpetkeel::Policy::Keeper;
    let keepers = shared.keepers.lock();
    let pools = in_force.tables.pools();
    let pools = pools.filter(|pool| poll_all || keepers.contains(pool.name()));
    let targets = pools.flat_map(|pool| {
        let upstreams = in_force
            .upstream_list
            .accepting_upstreams(pool.name(), zone)
            .into_iter();
        upstreams.map(|(upstream, address)| (pool.clone(), UpstreamAddress { upstream, address }))
    });
    targets.collect()
}

/// Polls upstreams until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut event_positions = collections::HashMap::new();
    let mut last_polls: collections::HashMap<UpstreamName, Timestamp> = collections::HashMap::new();
    loop {
        let now = shared.clock.now();
        let targets = upstreams_to_poll(&shared);
        last_polls.retain(|name, _| targets.iter().any(|(_, target)| target.upstream == *name));
        for (pool, target) in targets {
            let due = last_polls
                .get(&target.upstream)
                .is_none_or(|at| now.since(*at) >= shared.settings.report_interval);
            if !due {
                continue;
            }
            last_polls.insert(target.upstream.clone(), now);
            let position = event_positions
                .entry(target.upstream.clone())
                .or_insert_with(|| sync::Arc::new(atomic::AtomicU64::new(0)))
                .clone();
            tokio::spawn(poll(shared.clone(), pool, target, position));
        }
        time::sleep(CHECK_INTERVAL).await;
    }
}

async fn poll(
    shared: sync::Arc<shared::Shared>,
    pool: Pool,
    target: UpstreamAddress,
    position: sync::Arc<atomic::AtomicU64>,
) {
    let report = match pool.kind() {
        RouteKind::Model => shared.engines.load_report(target.address).await.ok(),
        RouteKind::Service => shared.services.load_report(target.address).await,
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
        let balancer = budgets.balancers.entry(pool.name().clone()).or_default();
        return balancer.set_reported_load(&target.upstream, report.running.len());
    }
    let (pool_name, upstream) = (pool.name().clone(), target.upstream.clone());
    let job = worker::Job::Report {
        pool: pool_name,
        upstream,
        report,
    };
    shared.jobs.submit(job).await;
    if pool.kind() == RouteKind::Model {
        poll_cache_events(&shared, &pool, &target, &position).await;
    }
}

async fn poll_cache_events(
    shared: &shared::Shared,
    pool: &Pool,
    target: &UpstreamAddress,
    position: &atomic::AtomicU64,
) {
    let after = position.load(atomic::Ordering::Relaxed);
    let Ok(events) = shared.engines.cache_events(target.address, after).await else {
        return;
    };
    position.store(events.last, atomic::Ordering::Relaxed);
    let gap = events.from != after;
    if gap || !events.evicted.is_empty() {
        let (pool, upstream) = (pool.name().clone(), target.upstream.clone());
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
