//! The job queue of the worker pool.

use limpetkeel::{Plan, PlanRequest, Revision, StoreChanges, StoreSnapshot};
use tokio::sync::{mpsc, oneshot};

use crate::peer::message;

/// The source of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotSource {
    /// The store.
    Store,
    /// A peer instance.
    Peer,
}

/// Capacity of the queue. A job occupies a few hundred bytes. [`Queue::try_submit`] rejects jobs
/// when the queue is full.
const QUEUE_CAPACITY: usize = 4_096;

/// A unit of work for the worker pool.
pub enum Job {
    /// Plans a request with the local planner.
    Plan {
        /// The plan request.
        plan_request: PlanRequest,
        /// Receives the plan or the planner's refusal.
        result_tx: oneshot::Sender<limpetkeel::Result<Plan>>,
    },
    /// Applies a report about plans to the local planner.
    ApplyPlanReport(message::PlanReport),
    /// Updates the shared tables.
    UpdateTables {
        /// The update.
        update: TableUpdate,
        /// Notified when the update has been applied.
        applied_tx: oneshot::Sender<()>,
    },
}

/// An update of the shared tables.
pub enum TableUpdate {
    /// Replaces the tables with a snapshot.
    Snapshot(StoreSnapshot, SnapshotSource),
    /// Applies changes.
    Changes(StoreChanges),
}

impl TableUpdate {
    /// Returns the revision of the snapshot or of the last change.
    pub fn revision(&self) -> Revision {
        match self {
            TableUpdate::Snapshot(snapshot, _) => snapshot.revision,
            TableUpdate::Changes(changes) => changes.revision,
        }
    }
}

/// The sending half of the job queue.
#[derive(Clone, Debug)]
pub struct Queue {
    tx: mpsc::Sender<Job>,
}

impl Queue {
    /// Creates a queue and returns it with the receiver for the workers.
    pub fn new() -> (Queue, mpsc::Receiver<Job>) {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        (Queue { tx }, rx)
    }

    /// Adds a job. Returns `false` if the queue is full.
    pub fn try_submit(&self, job: Job) -> bool {
        self.tx.try_send(job).is_ok()
    }

    /// Updates the shared tables and waits until the update has been applied.
    pub async fn update_tables(&self, update: TableUpdate) {
        let (applied_tx, applied_rx) = oneshot::channel();
        let job = Job::UpdateTables { update, applied_tx };
        // Both fail only at process exit, when the workers have dropped the receiver.
        let _ = self.tx.send(job).await;
        let _ = applied_rx.await;
    }

    /// Plans a request with the local planner.
    ///
    /// # Errors
    ///
    /// Returns the planner's refusal, or [`limpetkeel::Error::QueueFull`] if the queue is full.
    pub async fn plan(&self, plan_request: PlanRequest) -> limpetkeel::Result<Plan> {
        let (result_tx, result_rx) = oneshot::channel();
        if !self.try_submit(Job::Plan {
            plan_request,
            result_tx,
        }) {
            return Err(limpetkeel::Error::QueueFull);
        }
        result_rx
            .await
            .unwrap_or(Err(limpetkeel::Error::KeeperUnreachable))
    }
}
