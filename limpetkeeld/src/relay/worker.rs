//! The worker pool. Workers take jobs from one queue and lock the shared tables in their stated
//! order. An idle worker sleeps on the queue.

use std::sync;

use tokio::sync::{Mutex, mpsc};

use crate::relay::{jobs, local_planner, shared, store_updates};

/// Spawns the workers.
pub fn start(shared: &sync::Arc<shared::Shared>, rx: mpsc::Receiver<jobs::Job>) {
    let rx = sync::Arc::new(Mutex::new(rx));
    for _ in 0..shared.settings.workers {
        tokio::spawn(run_worker(shared.clone(), rx.clone()));
    }
}

/// Runs jobs until the queue is closed.
async fn run_worker(
    shared: sync::Arc<shared::Shared>,
    rx: sync::Arc<Mutex<mpsc::Receiver<jobs::Job>>>,
) {
    loop {
        let job = rx.lock().await.recv().await;
        let Some(job) = job else { return };
        match job {
            jobs::Job::Plan {
                plan_request,
                result_tx,
            } => {
                let planned = local_planner::plan_locally(&shared, &plan_request);
                if let Err(Ok(plan)) = result_tx.send(planned) {
                    // The requester has stopped waiting for the plan.
                    local_planner::discard_plan(&shared, &plan_request, &plan);
                }
            }
            jobs::Job::ApplyPlanReport(report) => {
                local_planner::apply_plan_report(&shared, &report)
            }
            jobs::Job::UpdateTables { update, applied_tx } => {
                store_updates::apply(&shared, update);
                // The sender of the update may have been cancelled.
                let _ = applied_tx.send(());
            }
        }
    }
}
