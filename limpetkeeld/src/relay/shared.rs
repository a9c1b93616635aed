//! The shared tables of a relay instance and the order in which they are locked.

use std::{
    collections,
    sync::{self, atomic},
};

use limpetkeel::{
    Contact, EvacuationList, Hedging, Ingress, InstanceName, InstanceRegistry, LockLevel,
    OrderedMutex, Planner, PoolName, QuarantineList, RemovalDoubt, ReportedPlan, RequestId,
    RetryLimit, RetryWindow, Revision, StoreChangeLog, StoreFollower, Timestamp,
    UpstreamAvailability, UpstreamPaths, UpstreamRegistry,
};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::{
    clock, local_state, metrics, peer, process_limit,
    relay::{caller_connection, exchange, jobs, memory, port, settings},
};

/// The routing table, upstream registry and quarantine list, and the state of the store connection
/// that they come from.
#[derive(Debug)]
pub struct Tables {
    /// The routing table.
    pub ingress: Ingress,
    /// The upstream registry.
    pub upstreams: UpstreamRegistry,
    /// The quarantined causes of crashes.
    pub quarantines: QuarantineList,
    /// The evacuated availability zones.
    pub evacuations: EvacuationList,
    /// The revision up to which all changes have been applied.
    pub revision: Revision,
    /// The revision at which the routing table was last replaced, after the first snapshot.
    pub ingress_changed_at: Revision,
    /// The latest changes, for peers that follow this instance.
    pub change_log: StoreChangeLog,
    /// The source of changes, and the age of the tables.
    pub follower: StoreFollower,
    /// When the store and all watchers became unreachable, or `None` while changes are received.
    pub disconnected_since: Option<Timestamp>,
    /// Whether an entry that was removed may have expired in an outage of the store.
    pub removal_doubt: RemovalDoubt,
}

impl Tables {
    /// Creates empty tables of an instance.
    fn new(local: &InstanceName) -> Tables {
        Tables {
            ingress: Ingress::default(),
            upstreams: UpstreamRegistry::default(),
            quarantines: QuarantineList::default(),
            evacuations: EvacuationList::default(),
            revision: Revision::default(),
            ingress_changed_at: Revision::default(),
            change_log: StoreChangeLog::default(),
            follower: StoreFollower::new(local),
            disconnected_since: None,
            removal_doubt: RemovalDoubt::default(),
        }
    }
}

impl Tables {
    /// Returns the revision of the latest change that concerns the placement of requests to a pool.
    /// The planner of such a request must know it.
    pub fn known_revision(&self, pool: &PoolName) -> Revision {
        self.upstreams
            .changed_at(pool)
            .max(self.quarantines.changed_at())
            .max(self.evacuations.changed_at())
            .max(self.ingress_changed_at)
    }
}

/// The instance registry and the life cycle of the local instance.
#[derive(Debug)]
pub struct Membership {
    /// The instance registry.
    pub instances: InstanceRegistry,
    /// The life cycle of the local instance.
    pub local_state: local_state::LocalState,
}

/// A plan in use by a local request, and the planner that accounts for it.
#[derive(Clone, Debug)]
pub struct ActivePlan {
    /// The plan and its request, as they are reported to a new planner.
    pub reported_plan: ReportedPlan,
    /// The deadline of the request.
    pub deadline: Timestamp,
    /// The instance whose planner accounts for the plan, or `None` for the local instance.
    pub planner: Option<Contact>,
}

/// The relayed requests in progress on this instance.
#[derive(Debug, Default)]
pub struct Requests {
    /// The requests in progress, by a number that identifies each of them. The latest request of a
    /// connection that is kept open counts as well.
    pub in_progress: collections::BTreeMap<u64, exchange::Exchange>,
    /// The number of the next request.
    pub next_exchange: u64,
    /// The active plans.
    pub plans: collections::BTreeMap<RequestId, ActivePlan>,
    /// The planner of the latest request of each pool.
    pub latest_planners: collections::BTreeMap<PoolName, Contact>,
}

/// The state shared by workers and tasks.
pub struct Shared {
    /// The settings.
    pub settings: settings::Settings,
    /// The clock.
    pub clock: clock::Clock,
    /// The metrics.
    pub metrics: sync::Arc<metrics::Metrics>,
    /// The codec for messages of callers and upstreams.
    pub codec: Box<dyn port::Codec>,
    /// The client of the platform's store.
    pub store: Box<dyn port::Store>,
    /// The connections to peers.
    pub peers: peer::client::PeerLinks,
    /// The job queue of the workers.
    pub jobs: jobs::Queue,
    /// Notified on each new revision and when the instance stops receiving changes.
    pub changed: Notify,
    /// Notified when a pool's request was planned by another planner than the previous one.
    pub planner_changed: Notify,
    /// Notified when a quarantine update was queued for the store.
    pub quarantine_queued: Notify,
    /// Notified when the tables have changed to a later era of the store.
    pub era_changed: Notify,
    /// Has one permit, which is held while changes are requested that the local planner lacks.
    pub catch_up: sync::Arc<Semaphore>,
    /// Cancelled when the instance starts to drain.
    pub draining: CancellationToken,
    /// The number of requests and connections that ended early during the drain.
    pub logged_early_ends: atomic::AtomicUsize,
    /// Cancelled when the instance stops accepting connections.
    pub closing: CancellationToken,
    /// Lock order 1 (`LockLevel::Tables`).
    pub tables: OrderedMutex<Tables>,
    /// Lock order 2 (`LockLevel::Members`).
    pub membership: OrderedMutex<Membership>,
    /// Lock order 3 (`LockLevel::Keepers`).
    pub planners: OrderedMutex<collections::BTreeMap<PoolName, Planner>>,
    /// Lock order 4 (`LockLevel::Requests`).
    pub requests: OrderedMutex<Requests>,
    /// Lock order 5 (`LockLevel::RunOnce`).
    retry_limit: OrderedMutex<RetryLimit>,
    /// Lock order 6 (`LockLevel::Budgets`).
    pub retry_windows: OrderedMutex<collections::BTreeMap<PoolName, RetryWindow>>,
    /// Lock order 6 (`LockLevel::Budgets`), never locked together with `retry_windows`.
    pub hedging: OrderedMutex<Hedging>,
    /// Lock order 7 (`LockLevel::UpstreamAvailability`).
    pub availability: OrderedMutex<UpstreamAvailability>,
    /// Lock order 7 (`LockLevel::UpstreamAvailability`), never locked together with `availability`.
    pub paths: OrderedMutex<UpstreamPaths>,
    /// Lock order 8 (`LockLevel::Connections`).
    pub connections: OrderedMutex<caller_connection::Connections>,
    /// Lock order 9 (`LockLevel::Memory`), the last.
    pub memory: memory::Memory,
}

impl Shared {
    /// Creates the shared state of an instance that is starting.
    pub fn new(
        settings: settings::Settings,
        metrics: sync::Arc<metrics::Metrics>,
        codec: Box<dyn port::Codec>,
        store: Box<dyn port::Store>,
        jobs: jobs::Queue,
    ) -> Shared {
        let local = Contact {
            name: settings.instance.clone(),
            availability_zone: settings.availability_zone.clone(),
            address: settings.peer_listen,
            processor: settings.processor,
        };
        let membership = Membership {
            instances: InstanceRegistry::new(local),
            local_state: local_state::LocalState::joining(
                settings.instance.clone(),
                settings.availability_zone.clone(),
            ),
        };
        let source = settings.source();
        let memory = memory::Memory::new(settings.memory_limit);
        let peers = peer::client::PeerLinks::new(&settings.peer_key, source, metrics.clone());
        Shared {
            clock: clock::Clock::start(),
            codec,
            store,
            peers: peers.with_memory(memory.clone()),
            metrics,
            jobs,
            changed: Notify::new(),
            planner_changed: Notify::new(),
            quarantine_queued: Notify::new(),
            era_changed: Notify::new(),
            catch_up: sync::Arc::new(Semaphore::new(1)),
            draining: CancellationToken::new(),
            logged_early_ends: atomic::AtomicUsize::new(0),
            closing: CancellationToken::new(),
            tables: OrderedMutex::new(LockLevel::Tables, Tables::new(&settings.instance)),
            membership: OrderedMutex::new(LockLevel::Members, membership),
            planners: OrderedMutex::new(LockLevel::Keepers, collections::BTreeMap::new()),
            requests: OrderedMutex::new(LockLevel::Requests, Requests::default()),
            retry_limit: OrderedMutex::new(LockLevel::RunOnce, settings.retry_limit),
            retry_windows: OrderedMutex::new(LockLevel::Budgets, collections::BTreeMap::new()),
            hedging: OrderedMutex::new(LockLevel::Budgets, Hedging::default()),
            availability: OrderedMutex::new(
                LockLevel::UpstreamAvailability,
                UpstreamAvailability::default(),
            ),
            paths: OrderedMutex::new(LockLevel::UpstreamAvailability, UpstreamPaths::default()),
            connections: OrderedMutex::new(
                LockLevel::Connections,
                caller_connection::Connections::new(
                    settings
                        .descriptor_limit
                        .min(process_limit::open_descriptors() as usize),
                ),
            ),
            memory,
            settings,
        }
    }

    /// Returns `true` if the contact is the local instance.
    pub fn is_local(&self, contact: &Contact) -> bool {
        contact.name == self.settings.instance
    }

    /// Returns the limit on retries.
    pub fn retry_limit(&self) -> RetryLimit {
        *self.retry_limit.lock()
    }

    /// Sets the limit on retries.
    pub fn set_retry_limit(&self, limit: RetryLimit) {
        *self.retry_limit.lock() = limit;
    }
}
