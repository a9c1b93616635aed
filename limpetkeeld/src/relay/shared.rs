//! The shared tables of a relaying instance, in the order in which they are locked.

use std::{collections, sync};

use limpetkeel::{
    Assertion, BodyBudget, ChangeLog, Contact, Ingress, Level, Ordered, Planner, PoolName,
    RequestId, RetryBound, RetryWindow, Revision, Roll, Roster, Timestamp,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    clock, metrics, own_stage, peer,
    relay::{jobs, port, settings},
};

/// Routes and upstreams, with what is known of the store that they come from.
#[derive(Debug, Default)]
pub struct InForce {
    /// The routes.
    pub ingress: Ingress,
    /// The upstreams.
    pub roster: Roster,
    /// The revision up to which all changes are in.
    pub revision: Revision,
    /// The latest changes, for instances that follow this one.
    pub log: ChangeLog,
    /// Since when neither the store nor a watcher answers.
    pub failing_since: Option<Timestamp>,
    /// Until when a vanished entry may have lapsed though its upstream lives.
    pub doubtful_until: Timestamp,
}

/// The instances and the own life cycle.
#[derive(Debug)]
pub struct Membership {
    /// The instances.
    pub roll: Roll,
    /// The own life cycle.
    pub own: own_stage::OwnStage,
}

/// A plan that this instance holds, and who keeps its ledger.
#[derive(Clone, Debug)]
pub struct HeldPlan {
    /// The plan and its request.
    pub assertion: Assertion,
    /// When the request has to end.
    pub deadline: Timestamp,
    /// The instance that plans it; nobody if it is the own one.
    pub planner: Option<Contact>,
}

/// The requests that this instance answers for.
#[derive(Debug, Default)]
pub struct Requests {
    /// Requests that have not ended.
    pub in_progress: usize,
    /// Their plans.
    pub plans: collections::BTreeMap<RequestId, HeldPlan>,
    /// Who planned the latest request of each pool.
    pub answered: collections::BTreeMap<PoolName, Contact>,
}

/// Everything that workers and tasks share.
pub struct Shared {
    /// The settings.
    pub settings: settings::Settings,
    /// The clock.
    pub clock: clock::Clock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The messages of callers and upstreams.
    pub codec: Box<dyn port::Codec>,
    /// The store.
    pub store: Box<dyn port::Store>,
    /// The links to peers.
    pub peers: peer::client::Peers,
    /// The queue of the workers.
    pub jobs: jobs::Queue,
    /// Tells of each new revision, and of failures to follow.
    pub changed: Notify,
    /// Tells that another planner than before answered.
    pub planner_changed: Notify,
    /// Cancelled when the instance starts to leave.
    pub leaving: CancellationToken,
    /// Cancelled when no new connection is taken any more.
    pub closing: CancellationToken,
    /// Locked first.
    pub in_force: Ordered<InForce>,
    /// Locked second.
    pub membership: Ordered<Membership>,
    /// Locked third.
    pub planners: Ordered<collections::BTreeMap<PoolName, Planner>>,
    /// Locked fourth.
    pub requests: Ordered<Requests>,
    /// Locked sixth, and never beside the bound on repeats.
    pub bodies: Ordered<BodyBudget>,
    /// Locked sixth, and never beside another one.
    retry_bound: Ordered<RetryBound>,
    /// Locked last.
    pub retries: Ordered<collections::BTreeMap<PoolName, RetryWindow>>,
}

impl Shared {
    /// Creates the tables of an instance that has just started.
    pub fn new(
        settings: settings::Settings,
        metrics: sync::Arc<metrics::Metrics>,
        codec: Box<dyn port::Codec>,
        store: Box<dyn port::Store>,
        jobs: jobs::Queue,
    ) -> Shared {
        let own = Contact {
            name: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            address: settings.peer_listen,
        };
        let membership = Membership {
            roll: Roll::new(own),
            own: own_stage::OwnStage::joining(
                settings.instance.clone(),
                settings.availability_zone.clone(),
            ),
        };
        let source = settings.peer_listen.ip();
        Shared {
            clock: clock::Clock::start(),
            codec,
            store,
            peers: peer::client::Peers::new(&settings.peer_key, source, metrics.clone()),
            metrics,
            jobs,
            changed: Notify::new(),
            planner_changed: Notify::new(),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            in_force: Ordered::new(Level::Tables, InForce::default()),
            membership: Ordered::new(Level::Members, membership),
            planners: Ordered::new(Level::Keepers, collections::BTreeMap::new()),
            requests: Ordered::new(Level::Requests, Requests::default()),
            bodies: Ordered::new(Level::RunOnce, BodyBudget::new(settings.body_budget)),
            retry_bound: Ordered::new(Level::RunOnce, settings.retry_bound),
            retries: Ordered::new(Level::Budgets, collections::BTreeMap::new()),
            settings,
        }
    }

    /// Tells whether a contact is the own one.
    pub fn is_own(&self, contact: &Contact) -> bool {
        contact.name == self.settings.instance
    }

    /// Returns the bound on repeated sends.
    pub fn retry_bound(&self) -> RetryBound {
        *self.retry_bound.lock()
    }

    /// Replaces the bound on repeated sends.
    pub fn set_retry_bound(&self, bound: RetryBound) {
        *self.retry_bound.lock() = bound;
    }
}
