//! The keepers that this instance runs.

pub mod polls;

use std::{collections, sync};

use limpetkeel::{
    Ask, Contact, Decision, Error, Held, Keeper, Millis, Place, Pool, PoolName, Report, RequestId,
    Timestamp, UpstreamName,
};
use tokio::time;

use crate::{peer::message, shared, worker};

/// The time between two rounds of upkeep.
const UPKEEP_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// While asks wait, time alone can make room: prefill work ends.
const DISPATCH_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// A keeper that others still ask is kept for this long, though this instance no longer owns it.
const ASKED_GRACE: Millis = Millis(10_000);

/// A keeper and the asks that wait for its decisions.
struct Kept {
    keeper: Keeper,
    waiters: collections::HashMap<RequestId, worker::GrantSender>,
    last_asked: Timestamp,
}

/// The keepers of this instance by pool.
#[derive(Default)]
pub struct Keepers {
    by_pool: collections::BTreeMap<PoolName, Kept>,
}

impl Keepers {
    /// Lists the pools that are kept.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.by_pool.keys()
    }

    /// Tells whether the pool is kept.
    pub fn keeps(&self, pool: &PoolName) -> bool {
        self.by_pool.contains_key(pool)
    }

    fn waiting(&self) -> usize {
        self.by_pool
            .values()
            .map(|kept| kept.keeper.waiting())
            .sum()
    }
}

impl Kept {
    fn new(pool: &Pool, now: Timestamp) -> Kept {
        Kept {
            keeper: Keeper::new(pool),
            waiters: collections::HashMap::new(),
            last_asked: now,
        }
    }

    /// Decides and hands the decisions out; a grant that nobody awaits is released at once.
    fn dispatch(&mut self, shared: &shared::Shared) {
        let now = shared.clock.now();
        loop {
            let decisions = self.keeper.dispatch(now);
            let mut returned = false;
            for decision in decisions {
                returned |= self.deliver(shared, now, decision);
            }
            if !returned {
                return;
            }
        }
    }

    fn deliver(&mut self, shared: &shared::Shared, now: Timestamp, decision: Decision) -> bool {
        let (id, answer) = match decision {
            Decision::Granted(grant) => (grant.id, Ok(grant)),
            Decision::Refused(id, e) => (id, Err(e)),
        };
        if answer.is_ok() {
            shared.metrics.grants.inc();
        }
        let awaited = self
            .waiters
            .remove(&id)
            .is_some_and(|waiter| waiter.send(answer.clone()).is_ok());
        let (false, Ok(grant)) = (awaited, answer) else {
            return false;
        };
        let upstreams: Vec<_> = grant
            .places
            .into_iter()
            .map(|place| place.upstream)
            .collect();
        self.keeper
            .release(now, id, &upstreams, limpetkeel::Usage::default());
        true
    }
}

/// Queues an ask; a keeper is created for the first one.
pub fn ask(shared: &shared::Shared, ask: Ask, reply: worker::GrantSender) {
    let now = shared.clock.now();
    let in_force = shared.in_force.lock();
    let Some(pool) = in_force.tables.pool(&ask.pool).cloned() else {
        let _ = reply.send(Err(Error::NoUpstream(ask.pool)));
        return;
    };
    let listed = in_force
        .directory
        .serving(pool.name(), &shared.settings.availability_zone);
    if shared.membership.lock().own.is_leaving() {
        let _ = reply.send(Err(Error::KeeperUnreachable));
        return;
    }
    let mut keepers = shared.keepers.lock();
    let kept = keepers
        .by_pool
        .entry(pool.name().clone())
        .or_insert_with(|| {
            let mut kept = Kept::new(&pool, now);
            kept.keeper.set_upstreams(&listed);
            kept
        });
    kept.last_asked = now;
    let id = ask.id;
    if let Err(e) = kept.keeper.ask(now, ask) {
        let _ = reply.send(Err(e));
        return;
    }
    kept.waiters.insert(id, reply);
    kept.dispatch(shared);
}

/// Runs a change on the keeper of a pool, if there is one, and grants what became possible.
fn with_keeper(shared: &shared::Shared, pool: &PoolName, change: impl FnOnce(&mut Kept)) {
    let mut keepers = shared.keepers.lock();
    if let Some(kept) = keepers.by_pool.get_mut(pool) {
        change(kept);
        kept.dispatch(shared);
    }
}

/// Ends a grant, or withdraws an ask.
pub fn release(shared: &shared::Shared, release: &message::Release) {
    let now = shared.clock.now();
    with_keeper(shared, &release.pool, |kept| {
        kept.waiters.remove(&release.id);
        kept.keeper
            .release(now, release.id, &release.upstreams, release.usage);
    });
}

/// Notes a first token.
pub fn prefilled(shared: &shared::Shared, held: &Held) {
    let now = shared.clock.now();
    with_keeper(shared, &held.pool, |kept| kept.keeper.prefilled(now, held));
}

/// Renews grants.
pub fn assert(shared: &shared::Shared, held: &[Held]) {
    let now = shared.clock.now();
    for held in held {
        with_keeper(shared, &held.pool, |kept| kept.keeper.assert(now, held));
    }
}

/// Takes in a load report and cancels what nobody answers for.
pub fn report(
    shared: &sync::Arc<shared::Shared>,
    pool: &PoolName,
    upstream: &UpstreamName,
    report: &Report,
) {
    let now = shared.clock.now();
    let mut orphans = Vec::new();
    with_keeper(shared, pool, |kept| {
        match kept.keeper.report(now, upstream, report) {
            Ok(ids) => orphans = ids,
            Err(e) => tracing::warn!(event = "report_refused", upstream = %upstream, error = %e),
        }
    });
    let place = shared
        .keepers
        .lock()
        .by_pool
        .get(pool)
        .and_then(|kept| kept.place(upstream));
    let Some(place) = place else { return };
    cancel(
        shared,
        orphans.into_iter().map(|id| (place.clone(), id)).collect(),
    );
}

impl Kept {
    fn place(&self, name: &UpstreamName) -> Option<Place> {
        self.keeper
            .upstreams()
            .find(|upstream| upstream.name() == name)
            .map(|up| up.place())
    }
}

/// Takes in cache events.
pub fn cache_events(
    shared: &shared::Shared,
    pool: &PoolName,
    upstream: &UpstreamName,
    evicted: &[u64],
    gap: bool,
) {
    with_keeper(shared, pool, |kept| {
        kept.keeper.cache_events(upstream, evicted, gap)
    });
}

/// Returns the upstream of an own keeper to order now, if one is ready for it.
pub fn next_order(shared: &shared::Shared, pool: &PoolName, wanted: &str) -> Option<Place> {
    let now = shared.clock.now();
    let mut keepers = shared.keepers.lock();
    keepers
        .by_pool
        .get_mut(pool)?
        .keeper
        .next_order(now, wanted)
}

/// Opens the upstream of an own keeper that was being emptied for an order.
pub fn stop_orders(shared: &shared::Shared, pool: &PoolName) {
    with_keeper(shared, pool, |kept| kept.keeper.stop_orders());
}

/// Grants what has become possible with time.
pub fn dispatch(shared: &shared::Shared) {
    let mut keepers = shared.keepers.lock();
    for kept in keepers.by_pool.values_mut() {
        kept.dispatch(shared);
    }
}

/// What upkeep needs to know of one pool.
struct Wanted {
    pool: Pool,
    owned: bool,
    upstreams: Vec<(UpstreamName, std::net::SocketAddr)>,
}

fn wanted(shared: &shared::Shared, now: Timestamp) -> Vec<Wanted> {
    let in_force = shared.in_force.lock();
    let membership = shared.membership.lock();
    let zone = &shared.settings.availability_zone;
    let owned = |pool: &Pool| {
        owner_of(&membership, now, pool.name(), zone).is_some_and(|owner| shared.is_own(&owner))
    };
    let wanted = in_force.tables.pools().map(|pool| Wanted {
        pool: pool.clone(),
        owned: owned(pool),
        upstreams: in_force.directory.serving(pool.name(), zone),
    });
    wanted.collect()
}

/// Returns the member that keeps a pool in an availability zone.
pub fn owner_of(
    membership: &shared::Membership,
    now: Timestamp,
    pool: &PoolName,
    availability_zone: &limpetkeel::AvailabilityZoneName,
) -> Option<Contact> {
    membership
        .members
        .owner(now, availability_zone, pool.as_str())
}

/// Creates, configures and drops keepers, and releases what has lapsed.
pub fn upkeep(shared: &sync::Arc<shared::Shared>) {
    let now = shared.clock.now();
    let wanted = wanted(shared, now);
    let mut keepers = shared.keepers.lock();
    keepers.by_pool.retain(|name, kept| {
        let needed = wanted.iter().any(|wanted| {
            wanted.pool.name() == name && (wanted.owned || now.since(kept.last_asked) < ASKED_GRACE)
        });
        needed || kept.abandon()
    });
    let mut cancels = Vec::new();
    for wanted in &wanted {
        let name = wanted.pool.name().clone();
        if wanted.owned && !keepers.by_pool.contains_key(&name) {
            keepers
                .by_pool
                .insert(name.clone(), Kept::new(&wanted.pool, now));
            tracing::info!(event = "keeping", pool = %name);
        }
        let Some(kept) = keepers.by_pool.get_mut(&name) else {
            continue;
        };
        kept.keeper.configure(&wanted.pool);
        kept.keeper.set_upstreams(&wanted.upstreams);
        let lapsed = kept.keeper.expire(now);
        // Only the owner cancels: the instances assert their grants to the owner.
        if wanted.owned {
            cancels.extend(lapsed);
        }
        kept.dispatch(shared);
    }
    shared.metrics.kept_pools.set(keepers.by_pool.len() as i64);
    shared.metrics.waiting.set(keepers.waiting() as i64);
    drop(keepers);
    cancel(shared, cancels);
}

impl Kept {
    /// Sends the waiting asks elsewhere; returns that the keeper goes.
    fn abandon(&mut self) -> bool {
        for (_, waiter) in self.waiters.drain() {
            let _ = waiter.send(Err(Error::KeeperUnreachable));
        }
        false
    }
}

/// Sends the waiting asks of all keepers elsewhere, when this instance leaves.
pub fn abandon_all(shared: &shared::Shared) {
    let mut keepers = shared.keepers.lock();
    keepers.by_pool.retain(|_, kept| kept.abandon());
}

fn cancel(shared: &sync::Arc<shared::Shared>, cancels: Vec<(Place, RequestId)>) {
    for (place, id) in cancels {
        shared.metrics.cancels.inc();
        tracing::info!(event = "cancel", upstream = %place.upstream, grant = %id);
        let shared = shared.clone();
        tokio::spawn(async move { shared.engines.cancel(place.address, id).await });
    }
}

/// Runs upkeep until the process ends.
pub async fn run_upkeep(shared: sync::Arc<shared::Shared>) {
    let mut rounds = time::interval(UPKEEP_INTERVAL);
    rounds.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        shared.jobs.submit(worker::Job::Upkeep).await;
    }
}

/// Dispatches at short intervals while asks wait, until the process ends.
pub async fn run_dispatch(shared: sync::Arc<shared::Shared>) {
    loop {
        let waiting = shared.keepers.lock().waiting();
        let pause = if waiting > 0 {
            DISPATCH_INTERVAL
        } else {
            UPKEEP_INTERVAL
        };
        time::sleep(pause).await;
        if waiting > 0 {
            shared.jobs.submit(worker::Job::Dispatch).await;
        }
    }
}
