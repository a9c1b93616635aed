//! The queue of decisions.

use limpetkeel::{Catalog, Demand, Plan, StoreChanges};
use tokio::sync::{mpsc, oneshot};

use crate::peer::message;

/// Where a catalog comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another instance.
    Peer,
}

/// Jobs that may wait; each is a few hundred bytes, and one that finds the queue full is refused.
const MAX_JOBS: usize = 4_096;

/// One unit of work for the pool.
pub enum Job {
    /// Plans a request.
    Plan {
        /// The request.
        demand: Demand,
        /// Where the decision goes.
        reply: oneshot::Sender<limpetkeel::Result<Plan>>,
    },
    /// Takes in what became of plans.
    Note(message::Note),
    /// Takes in a whole catalog.
    Adopt(Catalog, Source),
    /// Takes in changes.
    Apply(StoreChanges),
    /// Tells that the jobs before it were taken up.
    Barrier(oneshot::Sender<()>),
}

/// The queue of jobs.
#[derive(Clone, Debug)]
pub struct Queue {
    tx: mpsc::Sender<Job>,
}

impl Queue {
    /// Creates a queue and its end for the workers.
    pub fn new() -> (Queue, mpsc::Receiver<Job>) {
        let (tx, rx) = mpsc::channel(MAX_JOBS);
        (Queue { tx }, rx)
    }

    /// Adds a job and tells whether there was room.
    pub fn submit(&self, job: Job) -> bool {
        self.tx.try_send(job).is_ok()
    }

    /// Adds a job; waits while the queue is full.
    pub async fn submit_all(&self, job: Job) {
        // The receiving end is dropped only when the process ends.
        let _ = self.tx.send(job).await;
    }

    /// Plans a request in the own planner.
    ///
    /// # Errors
    ///
    /// Fails with the planner's refusal, or if too many jobs wait.
    pub async fn plan(&self, demand: Demand) -> limpetkeel::Result<Plan> {
        let (reply, decided) = oneshot::channel();
        if !self.submit(Job::Plan { demand, reply }) {
            return Err(limpetkeel::Error::QueueFull);
        }
        decided
            .await
            .unwrap_or(Err(limpetkeel::Error::KeeperUnreachable))
    }
}
