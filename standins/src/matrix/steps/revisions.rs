//! Polls the table revisions in force on the instances.

use std::{sync, time};

use tokio::task;

use super::{POLL_INTERVAL, RunState};
use crate::{fleet::Fleet, history::RevisionObservation};

/// Polls the table revisions of all daemons in a background task.
pub struct RevisionPoller {
    task: task::JoinHandle<()>,
    observations: sync::Arc<parking_lot::Mutex<Vec<RevisionObservation>>>,
}

impl RevisionPoller {
    /// Starts polling.
    pub fn start(started: time::Instant, fleet: &Fleet) -> RevisionPoller {
        let observations: sync::Arc<parking_lot::Mutex<Vec<RevisionObservation>>> =
            sync::Arc::default();
        let daemons: Vec<_> = fleet
            .daemons
            .iter()
            .map(|daemon| (daemon.name.clone(), daemon.url()))
            .collect();
        let recorded = observations.clone();
        let task = tokio::spawn(async move {
            let http = reqwest::Client::new();
            loop {
                for (instance, url) in &daemons {
                    if let Some(revision) = poll_revision(&http, url).await {
                        let (instance, at) = (instance.clone(), started.elapsed());
                        recorded.lock().push(RevisionObservation {
                            instance,
                            at,
                            revision,
                        });
                    }
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        RevisionPoller { task, observations }
    }

    /// Stops polling and adds the observations to the history.
    pub async fn finish(self, state: &mut RunState) {
        // Waits for another poll, so that the last observation is later than the change bound and
        // shows a late change.
        tokio::time::sleep(POLL_INTERVAL * 3).await;
        self.task.abort();
        state
            .history
            .observations
            .extend(self.observations.lock().drain(..));
    }
}

async fn poll_revision(http: &reqwest::Client, url: &str) -> Option<u64> {
    let req = http.get(format!("{url}/status")).timeout(POLL_INTERVAL);
    let status: limpetkeeld::front::health::InstanceStatus =
        req.send().await.ok()?.json().await.ok()?;
    Some(status.revision.number())
}
