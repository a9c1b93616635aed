//! The pool of workers that decide: they take jobs from one queue and lock the shared tables in
//! their stated order. An idle worker sleeps on the queue.

use std::sync;

use tokio::sync::{Mutex, mpsc};

use crate::relay::{adopt, jobs, planning, shared};

/// Starts the workers.
pub fn start(shared: &sync::Arc<shared::Shared>, rx: mpsc::Receiver<jobs::Job>) {
    let rx = sync::Arc::new(Mutex::new(rx));
    for _ in 0..shared.settings.workers {
        tokio::spawn(work(shared.clone(), rx.clone()));
    }
}

async fn work(shared: sync::Arc<shared::Shared>, rx: sync::Arc<Mutex<mpsc::Receiver<jobs::Job>>>) {
    loop {
        let job = rx.lock().await.recv().await;
        let Some(job) = job else { return };
        match job {
            jobs::Job::Plan { demand, reply } => {
                let decided = planning::plan_here(&shared, &demand);
                if let Err(Ok(plan)) = reply.send(decided) {
                    // Nobody waits any more.
                    planning::forget(&shared, &demand, &plan);
                }
            }
            jobs::Job::Note(note) => planning::take_in(&shared, &note),
            jobs::Job::Adopt(catalog, source) => adopt::adopt(&shared, catalog, source),
            jobs::Job::Apply(changes) => adopt::apply(&shared, changes),
            jobs::Job::Barrier(done) => {
                let _ = done.send(());
            }
        }
    }
}
