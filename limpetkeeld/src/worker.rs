//! The pool of workers that make decisions.
//!
//! I/O tasks read the shared tables, but every decision that changes a keeper is a job. Workers
//! take jobs from one queue, lock the tables in the defined order, and reply through the job's
//! channel. An idle worker sleeps on the queue.

use std::sync;

use limpetkeel::{Grant, HeldGrant, LoadReport, PlacementRequest, PoolName, UpstreamName};
use tokio::sync::{Mutex, mpsc, oneshot};

use crate::{keepers, peer::message, shared, tables};

/// The capacity of the queue; a task that submits a job to a full queue waits.
const QUEUE_CAPACITY: usize = 65_536;

/// The channel for the decision about a placement request.
pub type GrantSender = oneshot::Sender<limpetkeel::Result<Grant>>;

/// A unit of work for the pool.
pub enum Job {
    /// Queues a placement request in the local keeper.
    RequestPlacement {
        /// The placement request.
        request: PlacementRequest,
        /// The channel for the decision.
        respond_to: GrantSender,
    },
    /// Releases a grant, or withdraws a waiting placement request.
    Release(message::Release),
    /// Records that the first token of a request has arrived.
    Prefilled(HeldGrant),
    /// Renews the holds of grants that an instance uses.
    RenewGrants(Vec<HeldGrant>),
    /// Applies a load report.
    Report {
        /// The pool.
        pool: PoolName,
        /// The upstream.
        upstream: UpstreamName,
        /// The report.
        report: LoadReport,
    },
    /// Applies evictions from an upstream's prefix cache.
    CacheEvents {
        /// The pool.
        pool: PoolName,
        /// The upstream.
        upstream: UpstreamName,
        /// The hashes of the evicted prefixes.
        evicted: Vec<u64>,
        /// `true` if events were lost.
        gap: bool,
    },
    /// Dispatches waiting requests, because capacity becomes free as time passes.
    Dispatch,
    /// Creates, configures and drops keepers, and releases expired grants.
    Maintain,
    /// Replaces the tables in force if the new ones are newer.
    ApplyTables(message::TablesSnapshot),
}

/// The queue of jobs.
#[derive(Clone)]
pub struct Queue {
    tx: mpsc::Sender<Job>,
}

impl Queue {
    /// Creates a queue, and the receiver from which the workers take its jobs.
    pub fn new() -> (Queue, mpsc::Receiver<Job>) {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        (Queue { tx }, rx)
    }

    /// Adds a job, and waits while the queue is full.
    pub async fn submit(&self, job: Job) {
        // The receiving end is dropped only when the process ends.
        let _ = self.tx.send(job).await;
    }

    /// Adds a job without waiting, for destructors. If the queue is full, a task submits the job
    /// later.
    pub fn submit_without_waiting(&self, job: Job) {
        if let Err(mpsc::error::TrySendError::Full(job)) = self.tx.try_send(job) {
            let queue = self.clone();
            tokio::spawn(async move { queue.submit(job).await });
        }
    }
}

/// Starts the workers.
pub fn start(shared: &sync::Arc<shared::Shared>, rx: mpsc::Receiver<Job>) {
    let rx = sync::Arc::new(Mutex::new(rx));
    for _ in 0..shared.settings.workers {
        tokio::spawn(run_worker(shared.clone(), rx.clone()));
    }
}

async fn run_worker(shared: sync::Arc<shared::Shared>, rx: sync::Arc<Mutex<mpsc::Receiver<Job>>>) {
    loop {
        let job = rx.lock().await.recv().await;
        let Some(job) = job else { return };
        execute(&shared, job);
    }
}

fn execute(shared: &sync::Arc<shared::Shared>, job: Job) {
    match job {
        Job::RequestPlacement {
            request,
            respond_to,
        } => keepers::request_placement(shared, request, respond_to),
        Job::Release(release) => keepers::release(shared, &release),
        Job::Prefilled(held) => keepers::record_prefilled(shared, &held),
        Job::RenewGrants(held) => keepers::renew_grants(shared, &held),
        Job::Report {
            pool,
            upstream,
            report,
        } => {
            keepers::apply_report(shared, &pool, &upstream, &report);
        }
        Job::CacheEvents {
            pool,
            upstream,
            evicted,
            gap,
        } => {
            keepers::apply_cache_events(shared, &pool, &upstream, &evicted, gap);
        }
        Job::Dispatch => keepers::dispatch(shared),
        Job::Maintain => keepers::maintain(shared),
        Job::ApplyTables(snapshot) => tables::apply(shared, snapshot),
    }
}
