//! Grants from the point of view of an entry instance: placement requests, renewal and release.

use std::sync;

use limpetkeel::{
    AvailabilityZoneName, Contact, Error, Grant, HeldGrant, OutputUsage, PlacementRequest, Policy,
    Reachability, RequestId,
};
use tokio::{sync::oneshot, time};

use crate::{keepers, peer::message, shared, worker};

/// The interval between renewals of the held grants.
const RENEW_INTERVAL: time::Duration = time::Duration::from_millis(2_000);

/// The timeout of a message to a keeper about a grant.
const NOTIFY_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// The delay before a placement request is retried after the link to the keeper failed.
const KEEPER_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// The number of placement requests in one availability zone that may fail because the keeper is
/// unreachable, before another zone is tried.
const MAX_KEEPER_ATTEMPTS: u32 = 8;

/// A placement request that is withdrawn if it is dropped before its decision arrives.
struct PendingRequest<'a> {
    shared: &'a sync::Arc<shared::Shared>,
    keeper: &'a Contact,
    request: &'a PlacementRequest,
    decided: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let release = message::Release {
            pool: self.request.pool.clone(),
            id: self.request.id,
            upstreams: Vec::new(),
            usage: OutputUsage::default(),
        };
        notify_keeper(self.shared, self.keeper, message::Request::Release(release));
    }
}

/// Sends a message about a grant to its keeper without waiting for the response. A message to the
/// local keeper becomes a job.
fn notify_keeper(shared: &sync::Arc<shared::Shared>, keeper: &Contact, req: message::Request) {
    if shared.is_local(keeper) {
        let job = match req {
            message::Request::Release(release) => worker::Job::Release(release),
            message::Request::Prefilled(held) => worker::Job::Prefilled(held),
            message::Request::RenewGrants(held) => worker::Job::RenewGrants(held),
            _ => return,
        };
        return shared.jobs.submit_without_waiting(job);
    }
    let (shared, address) = (shared.clone(), keeper.address);
    tokio::spawn(async move {
        let _ = shared.peers.call(address, &req, NOTIFY_TIMEOUT).await;
    });
}

/// Obtains a grant from the keeper of the local availability zone, or from the keeper of another
/// zone if the local one has no upstream, no capacity in time, or no reachable keeper.
///
/// # Errors
///
/// Returns the first refusal if no zone grants the request; if the local zone has upstreams of the
/// pool, that is its refusal. Errors that another zone cannot resolve are returned at once.
pub async fn obtain_grant(
    shared: &sync::Arc<shared::Shared>,
    request: PlacementRequest,
) -> limpetkeel::Result<Placement> {
    if shared.settings.policy != Policy::Keeper {
        return place_by_balancer(shared, &request);
    }
    let mut refusal = None;
    for zone in candidate_zones(shared, &request) {
        match request_in_zone(shared, &zone, &request).await {
            Ok(placement) => return Ok(placement),
            Err(
                e @ (Error::NoUpstream(_)
                | Error::WouldMissDeadline
                | Error::QueueFull
                | Error::PromptTooLong(_)
                | Error::KeeperUnreachable),
            ) => {
                refusal.get_or_insert(e);
            }
            Err(e) => return Err(e),
        }
    }
    Err(refusal.unwrap_or(Error::NoUpstream(request.pool)))
}

/// A grant and the keeper that made it.
pub struct Placement {
    /// The grant.
    pub grant: Grant,
    /// The keeper.
    pub keeper: Contact,
}

fn place_by_balancer(
    shared: &sync::Arc<shared::Shared>,
    request: &PlacementRequest,
) -> limpetkeel::Result<Placement> {
    let random = [
        rand::random_range(0..1 << 20),
        rand::random_range(0..1 << 20),
    ];
    let policy = shared.settings.policy;
    let keeper = shared.membership.lock().members.local().clone();
    let mut budgets = shared.budgets.lock();
    let balancer = budgets.balancers.entry(request.pool.clone()).or_default();
    Ok(Placement {
        grant: balancer.pick(policy, request, random)?,
        keeper,
    })
}

/// Returns the availability zones in which to request a grant: those that have upstreams of the
/// pool, the local zone first, without zones that count as unreachable.
fn candidate_zones(
    shared: &shared::Shared,
    request: &PlacementRequest,
) -> Vec<AvailabilityZoneName> {
    let now = shared.clock.now();
    let zones = shared
        .in_force
        .lock()
        .upstream_list
        .availability_zones_of(&request.pool);
    let membership = shared.membership.lock();
    let local_zone = &shared.settings.availability_zone;
    let others = zones
        .iter()
        .filter(|zone| *zone != local_zone)
        .filter(|zone| {
            membership.reachability.zone_reachability(now, zone) != Reachability::Separated
        });
    // Rotating by the request ID spreads the requests that the local zone refuses over the other
    // zones.
    let mut others: Vec<_> = others.cloned().collect();
    let offset = request.id.0 as usize % others.len().max(1);
    others.rotate_left(offset);
    zones
        .iter()
        .filter(|zone| *zone == local_zone)
        .cloned()
        .chain(others)
        .collect()
}

async fn request_in_zone(
    shared: &sync::Arc<shared::Shared>,
    zone: &AvailabilityZoneName,
    request: &PlacementRequest,
) -> limpetkeel::Result<Placement> {
    let started = shared.clock.now();
    let mut request = request.clone();
    let total = request.remaining;
    for _ in 0..MAX_KEEPER_ATTEMPTS {
        let now = shared.clock.now();
        request.remaining = total.saturating_sub(now.since(started));
        let keeper = keepers::pool_owner(&shared.membership.lock(), now, &request.pool, zone);
        let Some(keeper) = keeper else {
            return Err(Error::KeeperUnreachable);
        };
        match request_from_keeper(shared, &keeper, &request).await {
            Err(Error::KeeperUnreachable) => {
                shared
                    .metrics
                    .retries
                    .with_label_values(&["keeper_unreachable"])
                    .inc();
                if !shared.is_local(&keeper) {
                    shared.membership.lock().members.suspect(&keeper.name);
                }
                time::sleep(KEEPER_RETRY_DELAY).await;
                // The failed request may still be granted; a new ID keeps the two apart.
                request.id = RequestId(rand::random());
            }
            Err(e) => return Err(e),
            Ok(grant) => return Ok(Placement { grant, keeper }),
        }
    }
    Err(Error::KeeperUnreachable)
}

async fn request_from_keeper(
    shared: &sync::Arc<shared::Shared>,
    keeper: &Contact,
    request: &PlacementRequest,
) -> limpetkeel::Result<Grant> {
    let mut pending = PendingRequest {
        shared,
        keeper,
        request,
        decided: false,
    };
    let result = if shared.is_local(keeper) {
        request_from_local_keeper(shared, request.clone()).await
    } else {
        let req = message::Request::RequestPlacement(request.clone());
        match shared
            .peers
            .call(keeper.address, &req, request.remaining.duration())
            .await
        {
            Ok(message::Response::Placement(result)) => result,
            Ok(_) | Err(_) => return Err(Error::KeeperUnreachable),
        }
    };
    pending.decided = true;
    result
}

/// Queues a placement request in the local keeper and waits for the decision.
///
/// # Errors
///
/// Returns the keeper's refusal.
pub async fn request_from_local_keeper(
    shared: &shared::Shared,
    request: PlacementRequest,
) -> limpetkeel::Result<Grant> {
    let (respond_to, result) = oneshot::channel();
    shared
        .jobs
        .submit(worker::Job::RequestPlacement {
            request,
            respond_to,
        })
        .await;
    result.await.unwrap_or(Err(Error::KeeperUnreachable))
}

/// Keeps a grant registered for renewal with its keeper, and releases it on drop.
pub struct GrantGuard {
    shared: sync::Arc<shared::Shared>,
    keeper: Contact,
    held: HeldGrant,
    usage: OutputUsage,
}

impl GrantGuard {
    /// Registers a grant for renewal.
    pub fn new(
        shared: &sync::Arc<shared::Shared>,
        placement: &Placement,
        request: &PlacementRequest,
    ) -> GrantGuard {
        let targets = &placement.grant.upstreams;
        let held = HeldGrant {
            id: placement.grant.id,
            pool: request.pool.clone(),
            upstreams: targets
                .iter()
                .map(|target| target.upstream.clone())
                .collect(),
            rank: request.rank,
            size: request.size,
            prefilled: false,
        };
        let keeper = placement.keeper.clone();
        let entry = shared::GrantRecord {
            held: held.clone(),
            keeper: keeper.clone(),
        };
        shared.requests.lock().grants.insert(held.id, entry);
        GrantGuard {
            shared: shared.clone(),
            keeper,
            held,
            usage: OutputUsage::default(),
        }
    }

    /// Records that the first token has arrived and reports it to the keeper.
    pub fn record_prefilled(&mut self) {
        self.held.prefilled = true;
        if let Some(entry) = self.shared.requests.lock().grants.get_mut(&self.held.id) {
            entry.held.prefilled = true;
        }
        if self.shared.settings.policy == Policy::Keeper {
            let report = message::Request::Prefilled(self.held.clone());
            notify_keeper(&self.shared, &self.keeper, report);
        }
    }

    /// Sets the usage that the release reports to the keeper.
    pub fn set_usage(&mut self, usage: OutputUsage) {
        self.usage = usage;
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.shared.requests.lock().grants.remove(&self.held.id);
        if self.shared.settings.policy != Policy::Keeper {
            let mut budgets = self.shared.budgets.lock();
            let balancer = budgets.balancers.entry(self.held.pool.clone()).or_default();
            return self
                .held
                .upstreams
                .iter()
                .for_each(|name| balancer.release(name));
        }
        let release = message::Release {
            pool: self.held.pool.clone(),
            id: self.held.id,
            upstreams: self.held.upstreams.clone(),
            usage: self.usage,
        };
        notify_keeper(
            &self.shared,
            &self.keeper,
            message::Request::Release(release),
        );
    }
}

/// Renews the held grants at intervals, until the process ends.
///
/// Each grant is renewed with the keeper that made it. If another instance has become the owner of
/// the pool in that availability zone, the grant is renewed with that instance too.
pub async fn run_renewals(shared: sync::Arc<shared::Shared>) {
    loop {
        time::sleep(RENEW_INTERVAL).await;
        if shared.settings.policy != Policy::Keeper {
            continue;
        }
        for (keeper, held) in held_grants_by_keeper(&shared) {
            notify_keeper(&shared, &keeper, message::Request::RenewGrants(held));
        }
    }
}

fn held_grants_by_keeper(shared: &shared::Shared) -> Vec<(Contact, Vec<HeldGrant>)> {
    let now = shared.clock.now();
    let membership = shared.membership.lock();
    let requests = shared.requests.lock();
    let mut by_keeper: Vec<(Contact, Vec<HeldGrant>)> = Vec::new();
    let mut add = |keeper: &Contact, held: &HeldGrant| match by_keeper
        .iter_mut()
        .find(|(known, _)| known.name == keeper.name)
    {
        Some((_, list)) => list.push(held.clone()),
        None => by_keeper.push((keeper.clone(), vec![held.clone()])),
    };
    for grant in requests.grants.values() {
        add(&grant.keeper, &grant.held);
        let zone = &grant.keeper.availability_zone;
        let owner = keepers::pool_owner(&membership, now, &grant.held.pool, zone);
        if let Some(owner) = owner.filter(|owner| owner.name != grant.keeper.name) {
            add(&owner, &grant.held);
        }
    }
    by_keeper
}
