//! How a change of the tables comes into force: watchers, news and comparison of revisions.

use std::sync;

use limpetkeel::{Directory, Revision, Tables};
use tokio::time;

use crate::{peer::message, shared, worker};

/// Instances of an availability zone that watch the store.
const WATCHERS: usize = 2;

/// The pause after a failed watch, and between checks of whether to watch.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(1_000);

/// The time between two reads of the instance list.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(3_000);

/// The time between two reads while no upstream is listed.
const EMPTY_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A peer that does not take news within this time learns of them by gossip.
const NEWS_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Puts tables in force if they are newer; upstreams are taken over only while none are known.
pub fn adopt(shared: &sync::Arc<shared::Shared>, snapshot: message::Snapshot) {
    let revision = snapshot.revision;
    let tables = match Tables::try_from((revision, snapshot.declarations)) {
        Ok(tables) => tables,
        Err(e) => {
            tracing::warn!(event = "tables_refused", revision = %revision, error = %e);
            return;
        }
    };
    let mut in_force = shared.in_force.lock();
    let adopted = in_force.tables.adopt(tables);
    if in_force.directory.entries().is_empty() && !snapshot.upstreams.is_empty() {
        in_force.directory.adopt(snapshot.upstreams);
    }
    let current = in_force.tables.revision();
    go_live(shared, &in_force);
    drop(in_force);
    shared.metrics.table_revision.set(current.0 as i64);
    if adopted {
        tracing::info!(event = "tables_in_force", revision = %current);
        tokio::spawn(spread(shared.clone(), current));
    }
}

/// Goes live if this was the last thing that a joining instance lacked.
fn go_live(shared: &shared::Shared, in_force: &shared::InForce) {
    let (revision, known) = (in_force.tables.revision(), in_force.directory.is_known());
    shared
        .membership
        .lock()
        .own
        .transition(|stage| stage.go_live(revision, known));
}

/// Returns the tables and upstreams for a peer whose revision is older.
pub fn snapshot(shared: &shared::Shared, than: Revision) -> Option<message::Snapshot> {
    let in_force = shared.in_force.lock();
    (in_force.tables.revision() > than).then(|| message::Snapshot {
        revision: in_force.tables.revision(),
        declarations: in_force.tables.declarations().clone(),
        upstreams: in_force.directory.entries().to_vec(),
    })
}

/// Tells the other members of the availability zone, if this instance watches for them.
async fn spread(shared: sync::Arc<shared::Shared>, revision: Revision) {
    if !watches(&shared) {
        return;
    }
    let now = shared.clock.now();
    let (own, peers): (_, Vec<_>) = {
        let membership = shared.membership.lock();
        let zone = &shared.settings.availability_zone;
        let peers = membership.members.live(now, zone).cloned().collect();
        (membership.members.own().clone(), peers)
    };
    for peer in peers.into_iter().filter(|peer| !shared.is_own(peer)) {
        let (shared, from) = (shared.clone(), own.clone());
        tokio::spawn(async move {
            let news = message::Request::News(message::News { from, revision });
            let _ = shared.peers.call(peer.address, &news, NEWS_TIMEOUT).await;
        });
    }
}

/// Fetches the tables of a peer that has a newer revision.
pub async fn fetch(shared: &shared::Shared, from: std::net::SocketAddr) {
    let own = shared.in_force.lock().tables.revision();
    let req = message::Request::Tables(own);
    let answer = shared.peers.call(from, &req, NEWS_TIMEOUT).await;
    if let Ok(message::Response::Tables(Some(snapshot))) = answer {
        shared.jobs.submit(worker::Job::Adopt(snapshot)).await;
    }
}

fn watches(shared: &shared::Shared) -> bool {
    let now = shared.clock.now();
    let membership = shared.membership.lock();
    !membership.own.is_leaving() && membership.members.is_among_owners(now, "watch", WATCHERS)
}

/// Watches the store while this instance is a watcher, until the process ends.
pub async fn run_watch(shared: sync::Arc<shared::Shared>) {
    loop {
        if !watches(&shared) {
            time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let own = shared.in_force.lock().tables.revision();
        let read = if own == Revision::default() {
            shared
                .metrics
                .platform_call("read", shared.platform.tables().await)
        } else {
            shared
                .metrics
                .platform_call("watch", shared.platform.watch_tables(own).await)
        };
        let now = shared.clock.now();
        let answered = read.is_ok();
        shared
            .membership
            .lock()
            .availability_zone
            .note_platform(now, answered);
        match read {
            Ok((revision, declarations)) if revision > own => {
                let snapshot = message::Snapshot {
                    revision,
                    declarations,
                    upstreams: Vec::new(),
                };
                shared.jobs.submit(worker::Job::Adopt(snapshot)).await;
                wait_for_adoption(&shared, revision).await;
            }
            Ok(_) if own == Revision::default() => time::sleep(RETRY_PAUSE).await,
            Ok(_) => {}
            Err(e) => {
                tracing::warn!(event = "watch_failed", error = %e);
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits for a worker to adopt a revision, or pauses if it was refused.
async fn wait_for_adoption(shared: &shared::Shared, revision: Revision) {
    for _ in 0..20 {
        time::sleep(RETRY_PAUSE / 20).await;
        if shared.in_force.lock().tables.revision() >= revision {
            return;
        }
    }
}

/// Reads the instance list at intervals, until the process ends.
pub async fn run_list(shared: sync::Arc<shared::Shared>) {
    loop {
        let list = shared
            .metrics
            .platform_call("list", shared.platform.list().await);
        match list {
            Ok(list) => {
                let now = shared.clock.now();
                let mut in_force = shared.in_force.lock();
                in_force.directory.adopt(list.upstreams);
                adopt_baselines(&shared, &in_force.directory);
                go_live(&shared, &in_force);
                shared
                    .membership
                    .lock()
                    .members
                    .adopt_list(now, list.instances);
            }
            Err(e) => tracing::warn!(event = "list_failed", error = %e),
        }
        let empty = shared.in_force.lock().directory.entries().is_empty();
        let pause = if empty {
            EMPTY_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        let jitter = rand::random_range(0..500);
        time::sleep(pause + time::Duration::from_millis(jitter)).await;
    }
}

fn adopt_baselines(shared: &shared::Shared, directory: &Directory) {
    if shared.settings.policy == limpetkeel::Policy::Keeper {
        return;
    }
    let mut budgets = shared.budgets.lock();
    for entry in directory.entries() {
        let serving = directory.serving(&entry.pool, &shared.settings.availability_zone);
        budgets
            .baselines
            .entry(entry.pool.clone())
            .or_default()
            .set_upstreams(&serving);
    }
}
