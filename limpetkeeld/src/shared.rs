//! The tables that workers and tasks share, in the order in which they are locked.

use std::{collections, sync};

use limpetkeel::{
    BodyBudget, Contact, Heartbeat, HeldGrant, LocalBalancer, LockLevel, Members, Millicores,
    OrderedMutex, PoolName, RequestId, RetryBudget, Tables, TokenEstimator, UpstreamList,
    ZoneReachability,
};

use crate::{
    clock, engine, keepers, local_state, metrics, peer, platform, run_once, service, settings,
    worker,
};

/// The tables in force and the platform's list of upstreams.
#[derive(Default)]
pub struct InForce {
    /// The routes and pools.
    pub tables: Tables,
    /// The upstreams, as last listed by the platform.
    pub upstream_list: UpstreamList,
}

/// The members, the life cycle of the local instance, and which parties are reachable.
pub struct Membership {
    /// The members of all availability zones.
    pub members: Members,
    /// Whether the platform and the other availability zones are reachable from the local one.
    pub reachability: ZoneReachability,
    /// The life-cycle state of the local instance.
    pub local_state: local_state::LocalState,
}

/// A grant that this instance holds, and the keeper that made it.
#[derive(Clone, Debug)]
pub struct GrantRecord {
    /// The grant.
    pub held: HeldGrant,
    /// The keeper that made it.
    pub keeper: Contact,
}

/// The requests that this instance has admitted and that have not ended.
#[derive(Default)]
pub struct Requests {
    /// The number of these requests.
    pub admitted: usize,
    /// The grants of the placed requests.
    pub grants: collections::BTreeMap<RequestId, GrantRecord>,
}

/// The budgets, the token estimator, and the state of the placement policies without a keeper.
pub struct Budgets {
    /// The budget for the bytes of request bodies.
    pub bodies: BodyBudget,
    /// The budget for retries.
    pub retries: RetryBudget,
    /// Estimates the tokens of a prompt from the bytes of its body.
    pub estimator: TokenEstimator,
    /// The upstreams of each pool, for the policies without a keeper.
    pub balancers: collections::BTreeMap<PoolName, LocalBalancer>,
}

/// The state and the clients that workers and tasks share.
pub struct Shared {
    /// The settings.
    pub settings: settings::Settings,
    /// The clock.
    pub clock: clock::Clock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The client of the platform.
    pub platform: platform::Client,
    /// The client of the model engines.
    pub engines: engine::Client,
    /// The client of the plain services.
    pub services: service::Client,
    /// The links to peers.
    pub peers: peer::client::PeerLinks,
    /// The queue of the workers.
    pub jobs: worker::Queue,
    /// The tables in force. Locked first.
    pub in_force: OrderedMutex<InForce>,
    /// The members. Locked second.
    pub membership: OrderedMutex<Membership>,
    /// The keepers that run on this instance. Locked third.
    pub keepers: OrderedMutex<keepers::Keepers>,
    /// The requests in progress. Locked fourth.
    pub requests: OrderedMutex<Requests>,
    /// The run-once updates that wait for a write. Locked fifth.
    pub run_once: OrderedMutex<run_once::Shards>,
    /// The budgets. Locked sixth.
    pub budgets: OrderedMutex<Budgets>,
}

impl Shared {
    /// Creates the state of an instance that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error if an HTTP client cannot be created.
    pub fn new(
        settings: settings::Settings,
        metrics: sync::Arc<metrics::Metrics>,
        jobs: worker::Queue,
    ) -> reqwest::Result<Shared> {
        let clock = clock::Clock::start();
        let contact = Contact {
            name: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            address: settings.peer_advertise,
            processor: Millicores::ZERO,
        };
        let started = (clock::unix_millis().0 / 1000) as u32;
        let membership = Membership {
            members: Members::new(contact, Heartbeat::starting(started), clock.now()),
            reachability: ZoneReachability::new(settings.availability_zone.clone()),
            local_state: local_state::LocalState::joining(
                settings.instance.clone(),
                settings.availability_zone.clone(),
            ),
        };
        let budgets = Budgets {
            bodies: BodyBudget::new(settings.body_budget),
            retries: RetryBudget::default(),
            estimator: TokenEstimator::default(),
            balancers: collections::BTreeMap::new(),
        };
        let source = settings.peer_listen.ip();
        Ok(Shared {
            clock,
            platform: platform::Client::new(&settings.platform, source)?,
            engines: engine::Client::new(source, metrics.upstream_poll_bytes.clone())?,
            services: service::Client::new(source)?,
            peers: peer::client::PeerLinks::new(&settings.peer_key, source, metrics.clone()),
            metrics,
            jobs,
            in_force: OrderedMutex::new(LockLevel::Tables, InForce::default()),
            membership: OrderedMutex::new(LockLevel::Members, membership),
            keepers: OrderedMutex::new(LockLevel::Keepers, keepers::Keepers::default()),
            requests: OrderedMutex::new(LockLevel::Requests, Requests::default()),
            run_once: OrderedMutex::new(LockLevel::RunOnce, run_once::Shards::default()),
            budgets: OrderedMutex::new(LockLevel::Budgets, budgets),
            settings,
        })
    }

    /// Returns `true` if a contact is the local instance.
    pub fn is_local(&self, contact: &Contact) -> bool {
        contact.name == self.settings.instance
    }
}
