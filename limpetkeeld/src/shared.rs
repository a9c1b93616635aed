//! The shared tables of an instance, in the order in which they are locked.

use std::{collections, sync};

use limpetkeel::{
    AvailabilityZone, Baseline, BodyBudget, Contact, Directory, Estimator, Heartbeat, Held, Level,
    Members, Ordered, PoolName, RequestId, RetryBudget, Tables,
};

use crate::{
    clock, engine, keeping, metrics, own_stage, peer, platform, run_once, service, settings, worker,
};

/// The tables in force and the upstreams that the platform listed.
#[derive(Default)]
pub struct InForce {
    /// Routes and pools.
    pub tables: Tables,
    /// The upstreams.
    pub directory: Directory,
}

/// The members, the own life cycle and what can be reached.
pub struct Membership {
    /// All members.
    pub members: Members,
    /// The own availability zone.
    pub availability_zone: AvailabilityZone,
    /// The own life cycle.
    pub own: own_stage::OwnStage,
}

/// A grant that this instance holds, and the keeper that gave it.
#[derive(Clone, Debug)]
pub struct OwnGrant {
    /// The grant.
    pub held: Held,
    /// The keeper that gave it.
    pub keeper: Contact,
}

/// The requests that this instance answers for.
#[derive(Default)]
pub struct InProgress {
    /// Requests that were admitted and have not ended.
    pub admitted: usize,
    /// The grants of those that are placed.
    pub grants: collections::BTreeMap<RequestId, OwnGrant>,
}

/// Budgets, estimates and the placement of baseline policies.
pub struct Budgets {
    /// Bytes of bodies.
    pub bodies: BodyBudget,
    /// Retries.
    pub retries: RetryBudget,
    /// Prompt tokens by body bytes.
    pub estimator: Estimator,
    /// Upstreams for the baseline policies.
    pub baselines: collections::BTreeMap<PoolName, Baseline>,
}

/// Everything that workers and tasks share.
pub struct Shared {
    /// The settings.
    pub settings: settings::Settings,
    /// The clock.
    pub clock: clock::Clock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The platform.
    pub platform: platform::Client,
    /// The engines.
    pub engines: engine::Client,
    /// The plain services.
    pub services: service::Client,
    /// The links to peers.
    pub peers: peer::client::Peers,
    /// The queue of the workers.
    pub jobs: worker::Queue,
    /// Locked first.
    pub in_force: Ordered<InForce>,
    /// Locked second.
    pub membership: Ordered<Membership>,
    /// Locked third.
    pub keepers: Ordered<keeping::Keepers>,
    /// Locked fourth.
    pub requests: Ordered<InProgress>,
    /// Locked fifth.
    pub run_once: Ordered<run_once::Shards>,
    /// Locked sixth.
    pub budgets: Ordered<Budgets>,
}

impl Shared {
    /// Creates the tables of an instance that has just started.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library cannot start.
    pub fn new(
        settings: settings::Settings,
        metrics: sync::Arc<metrics::Metrics>,
        jobs: worker::Queue,
    ) -> reqwest::Result<Shared> {
        let clock = clock::Clock::start();
        let own = Contact {
            name: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            address: settings.peer_advertise,
        };
        let started = (clock::unix_millis().0 / 1000) as u32;
        let membership = Membership {
            members: Members::new(own, Heartbeat::starting(started), clock.now()),
            availability_zone: AvailabilityZone::new(settings.availability_zone.clone()),
            own: own_stage::OwnStage::joining(
                settings.instance.clone(),
                settings.availability_zone.clone(),
            ),
        };
        let budgets = Budgets {
            bodies: BodyBudget::new(settings.body_budget),
            retries: RetryBudget::default(),
            estimator: Estimator::default(),
            baselines: collections::BTreeMap::new(),
        };
        let source = settings.peer_listen.ip();
        Ok(Shared {
            clock,
            platform: platform::Client::new(&settings.platform, source)?,
            engines: engine::Client::new(source, metrics.upstream_poll_bytes.clone())?,
            services: service::Client::new(source)?,
            peers: peer::client::Peers::new(&settings.peer_key, source, metrics.clone()),
            metrics,
            jobs,
            in_force: Ordered::new(Level::Tables, InForce::default()),
            membership: Ordered::new(Level::Members, membership),
            keepers: Ordered::new(Level::Keepers, keeping::Keepers::default()),
            requests: Ordered::new(Level::Requests, InProgress::default()),
            run_once: Ordered::new(Level::RunOnce, run_once::Shards::default()),
            budgets: Ordered::new(Level::Budgets, budgets),
            settings,
        })
    }

    /// Tells whether a keeper's address is the own one.
    pub fn is_own(&self, contact: &Contact) -> bool {
        contact.name == self.settings.instance
    }
}
