//! The keepers that this instance runs.

pub mod polling;

use std::{collections, sync};

use limpetkeel::{
    Contact, Decision, Error, HeldGrant, Keeper, LoadReport, Millis, PlacementRequest, Pool,
    PoolName, RequestId, Timestamp, UpstreamAddress, UpstreamName,
};
use tokio::time;

use crate::{peer::message, shared, worker};

/// The interval between maintenance rounds.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The dispatch interval while placement requests wait. Capacity becomes free as time passes,
/// without any message, because prefill work ends.
const DISPATCH_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// How long a keeper keeps running after its last placement request if this instance no longer
/// owns its pool.
const UNOWNED_KEEPER_GRACE: Millis = Millis(10_000);

/// A keeper of this instance, with the reply channels of its waiting placement requests.
struct RunningKeeper {
    keeper: Keeper,
    waiters: collections::HashMap<RequestId, worker::GrantSender>,
    last_request: Timestamp,
}

/// The keepers of this instance, by pool.
#[derive(Default)]
pub struct Keepers {
    by_pool: collections::BTreeMap<PoolName, RunningKeeper>,
}

impl Keepers {
    /// Returns the pools whose keepers run on this instance.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.by_pool.keys()
    }

    /// Returns `true` if the keeper of the pool runs on this instance.
    pub fn contains(&self, pool: &PoolName) -> bool {
        self.by_pool.contains_key(pool)
    }

    fn waiting_count(&self) -> usize {
        self.by_pool
            .values()
            .map(|running| running.keeper.waiting_count())
            .sum()
    }
}

impl RunningKeeper {
    fn new(pool: &Pool, now: Timestamp) -> RunningKeeper {
        RunningKeeper {
            keeper: Keeper::new(pool),
            waiters: collections::HashMap::new(),
            last_request: now,
        }
    }

    /// Makes the decisions that are possible now and sends them to the waiting requests.
    ///
    /// A grant whose requester has stopped waiting is released at once, and decisions are made
    /// again with the capacity that it frees.
    fn dispatch(&mut self, shared: &shared::Shared) {
        let now = shared.clock.now();
        loop {
            let decisions = self.keeper.dispatch(now);
            let mut released = false;
            for decision in decisions {
                released |= self.deliver(shared, now, decision);
            }
            if !released {
                return;
            }
        }
    }

    /// Sends a decision to its requester. Returns `true` if a grant was released because its
    /// requester has stopped waiting.
    fn deliver(&mut self, shared: &shared::Shared, now: Timestamp, decision: Decision) -> bool {
        let (id, decision) = match decision {
            Decision::Granted(grant) => (grant.id, Ok(grant)),
            Decision::Refused(id, e) => (id, Err(e)),
        };
        if decision.is_ok() {
            shared.metrics.grants.inc();
        }
        let delivered = self
            .waiters
            .remove(&id)
            .is_some_and(|waiter| waiter.send(decision.clone()).is_ok());
        let (false, Ok(grant)) = (delivered, decision) else {
            return false;
        };
        let upstreams: Vec<_> = grant
            .upstreams
            .into_iter()
            .map(|target| target.upstream)
            .collect();
        self.keeper
            .release(now, id, &upstreams, limpetkeel::OutputUsage::default());
        true
    }
}

/// Queues a placement request in the keeper of its pool. The first request creates the keeper.
pub fn request_placement(
    shared: &shared::Shared,
    request: PlacementRequest,
    respond_to: worker::GrantSender,
) {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let Some(pool) = in_force.tables.pool(&request.pool).cloned() else {
        let _ = respond_to.send(Err(Error::NoUpstream(request.pool)));
        return;
    };
    let upstreams = in_force
        .upstream_list
        .accepting_upstreams(pool.name(), &shared.settings.availability_zone);
    if shared.membership.lock().local_state.is_draining() {
        let _ = respond_to.send(Err(Error::KeeperUnreachable));
        return;
    }
    let mut keepers = shared.keepers.lock();
    let running = keepers
        .by_pool
        .entry(pool.name().clone())
        .or_insert_with(|| {
            let mut running = RunningKeeper::new(&pool, now);
            running.keeper.set_upstreams(&upstreams);
            running
        });
    running.last_request = now;
    let id = request.id;
    if let Err(e) = running.keeper.enqueue(now, request) {
        let _ = respond_to.send(Err(e));
        return;
    }
    running.waiters.insert(id, respond_to);
    running.dispatch(shared);
}

/// Applies a change to the keeper of a pool, if it runs here, and dispatches waiting requests.
fn with_keeper(shared: &shared::Shared, pool: &PoolName, change: impl FnOnce(&mut RunningKeeper)) {
    let mut keepers = shared.keepers.lock();
    if let Some(running) = keepers.by_pool.get_mut(pool) {
        change(running);
        running.dispatch(shared);
    }
}

/// Releases a grant, or withdraws a waiting placement request.
pub fn release(shared: &shared::Shared, release: &message::Release) {
    let now = shared.clock.now();
    with_keeper(shared, &release.pool, |running| {
        running.waiters.remove(&release.id);
        running
            .keeper
            .release(now, release.id, &release.upstreams, release.usage);
    });
}

/// Records that the first token of a request has arrived.
pub fn record_prefilled(shared: &shared::Shared, held: &HeldGrant) {
    let now = shared.clock.now();
    with_keeper(shared, &held.pool, |running| {
        running.keeper.record_first_token(now, held)
    });
}

/// Renews the holds of grants that an instance uses.
pub fn renew_grants(shared: &shared::Shared, held: &[HeldGrant]) {
    let now = shared.clock.now();
    for held in held {
        with_keeper(shared, &held.pool, |running| {
            running.keeper.renew_holds(now, held)
        });
    }
}

/// Applies a load report, and cancels the orphaned requests: those that run on the upstream without
/// a grant that any instance renews.
pub fn apply_report(
    shared: &sync::Arc<shared::Shared>,
    pool: &PoolName,
    upstream: &UpstreamName,
    report: &LoadReport,
) {
    let now = shared.clock.now();
    let mut orphans = Vec::new();
    with_keeper(shared, pool, |running| {
        match running.keeper.apply_report(now, upstream, report) {
            Ok(ids) => orphans = ids,
            Err(e) => tracing::warn!(event = "report_refused", upstream = %upstream, error = %e),
        }
    });
    let target = shared
        .keepers
        .lock()
        .by_pool
        .get(pool)
        .and_then(|running| running.address_of(upstream));
    let Some(target) = target else { return };
    cancel_requests(
        shared,
        orphans.into_iter().map(|id| (target.clone(), id)).collect(),
    );
}

impl RunningKeeper {
    fn address_of(&self, name: &UpstreamName) -> Option<UpstreamAddress> {
        self.keeper
            .upstreams()
            .find(|upstream| upstream.name() == name)
            .map(|upstream| upstream.address())
    }
}

/// Applies evictions from an upstream's prefix cache; `gap` means that earlier events were lost.
pub fn apply_cache_events(
    shared: &shared::Shared,
    pool: &PoolName,
    upstream: &UpstreamName,
    evicted: &[u64],
    gap: bool,
) {
    with_keeper(shared, pool, |running| {
        running.keeper.apply_cache_events(upstream, evicted, gap)
    });
}

/// Drains the next upstream of a local keeper that does not serve `version` yet, and returns it
/// once it is ready for the order.
pub fn next_version_order(
    shared: &shared::Shared,
    pool: &PoolName,
    version: &str,
) -> Option<UpstreamAddress> {
    let now = shared.clock.now();
    let mut keepers = shared.keepers.lock();
    keepers
        .by_pool
        .get_mut(pool)?
        .keeper
        .next_version_order(now, version)
}

/// Stops draining an upstream of the pool for an order, because orders are no longer permitted.
pub fn stop_version_orders(shared: &shared::Shared, pool: &PoolName) {
    with_keeper(shared, pool, |running| running.keeper.stop_version_orders());
}

/// Dispatches waiting requests in all keepers, because capacity becomes free as time passes.
pub fn dispatch(shared: &shared::Shared) {
    let mut keepers = shared.keepers.lock();
    for running in keepers.by_pool.values_mut() {
        running.dispatch(shared);
    }
}

/// The state that a pool's keeper should have, as input of maintenance.
struct DesiredKeeper {
    pool: Pool,
    owned: bool,
    upstreams: Vec<(UpstreamName, std::net::SocketAddr)>,
}

fn desired_keepers(shared: &shared::Shared, now: Timestamp) -> Vec<DesiredKeeper> {
    let in_force = shared.in_force.lock();
    let membership = shared.membership.lock();
    let zone = &shared.settings.availability_zone;
    let owned = |pool: &Pool| {
        pool_owner(&membership, now, pool.name(), zone).is_some_and(|owner| shared.is_local(&owner))
    };
    let desired = in_force.tables.pools().map(|pool| DesiredKeeper {
        pool: pool.clone(),
        owned: owned(pool),
        upstreams: in_force
            .upstream_list
            .accepting_upstreams(pool.name(), zone),
    });
    desired.collect()
}

/// Returns the member that owns a pool in an availability zone and runs its keeper.
pub fn pool_owner(
    membership: &shared::Membership,
    now: Timestamp,
    pool: &PoolName,
    availability_zone: &limpetkeel::AvailabilityZoneName,
) -> Option<Contact> {
    membership
        .members
        .owner(now, availability_zone, pool.as_str())
}

/// Creates, configures and drops keepers, and releases expired grants.
pub fn maintain(shared: &sync::Arc<shared::Shared>) {
    let now = shared.clock.now();
    let desired = desired_keepers(shared, now);
    let mut keepers = shared.keepers.lock();
    keepers.by_pool.retain(|name, running| {
        let needed = desired.iter().any(|desired| {
            desired.pool.name() == name
                && (desired.owned || now.since(running.last_request) < UNOWNED_KEEPER_GRACE)
        });
        needed || running.refuse_waiting()
    });
    let mut cancellations = Vec::new();
    for desired in &desired {
        let name = desired.pool.name().clone();
        if desired.owned && !keepers.by_pool.contains_key(&name) {
            keepers
                .by_pool
                .insert(name.clone(), RunningKeeper::new(&desired.pool, now));
            tracing::info!(event = "keeping", pool = %name);
        }
        let Some(running) = keepers.by_pool.get_mut(&name) else {
            continue;
        };
        running.keeper.configure(&desired.pool);
        running.keeper.set_upstreams(&desired.upstreams);
        let expired = running.keeper.release_expired(now);
        // Only the owner cancels, because the entry instances renew their grants with the owner.
        if desired.owned {
            cancellations.extend(expired);
        }
        running.dispatch(shared);
    }
    shared
        .metrics
        .running_keepers
        .set(keepers.by_pool.len() as i64);
    shared
        .metrics
        .waiting_requests
        .set(keepers.waiting_count() as i64);
    drop(keepers);
    cancel_requests(shared, cancellations);
}

impl RunningKeeper {
    /// Refuses the waiting placement requests, so that their instances send them to another keeper.
    ///
    /// Always returns `false`, which makes `retain` drop the keeper.
    fn refuse_waiting(&mut self) -> bool {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.send(Err(Error::KeeperUnreachable));
        }
        false
    }
}

/// Drops all keepers when this instance drains, and refuses their waiting placement requests, so
/// that the requesting instances send them to other keepers.
pub fn stop_all(shared: &shared::Shared) {
    let mut keepers = shared.keepers.lock();
    keepers
        .by_pool
        .retain(|_, running| running.refuse_waiting());
}

fn cancel_requests(
    shared: &sync::Arc<shared::Shared>,
    cancellations: Vec<(UpstreamAddress, RequestId)>,
) {
    for (target, id) in cancellations {
        shared.metrics.cancellations.inc();
        tracing::info!(event = "cancel", upstream = %target.upstream, grant = %id);
        let shared = shared.clone();
        tokio::spawn(async move { shared.engines.cancel(target.address, id).await });
    }
}

/// Runs maintenance at intervals until the process ends.
pub async fn run_maintenance(shared: sync::Arc<shared::Shared>) {
    let mut ticks = time::interval(MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.jobs.submit(worker::Job::Maintain).await;
    }
}

/// Dispatches at short intervals while placement requests wait, until the process ends.
pub async fn run_dispatch(shared: sync::Arc<shared::Shared>) {
    loop {
        let waiting = shared.keepers.lock().waiting_count();
        let interval = if waiting > 0 {
            DISPATCH_INTERVAL
        } else {
            MAINTENANCE_INTERVAL
        };
        time::sleep(interval).await;
        if waiting > 0 {
            shared.jobs.submit(worker::Job::Dispatch).await;
        }
    }
}
