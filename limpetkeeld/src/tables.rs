//! Distribution of table changes: watchers of the store, announcements to peers, and comparison of
//! revisions by gossip. Also reads the platform's instance list.

use std::sync;

use limpetkeel::{Revision, Tables, UpstreamList};
use tokio::time;

use crate::{peer::message, shared, worker};

/// The number of instances per availability zone that watch the store.
const WATCHERS: usize = 2;

/// The delay after a failed watch, and between checks whether this instance is a watcher.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// The interval between reads of the instance list, without jitter.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(3_000);

/// The interval between reads while no upstream is listed, without jitter.
const EMPTY_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The timeout of an announcement, and of fetching the tables of a peer. A peer that misses an
/// announcement learns of the revision by gossip.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Replaces the tables in force if the snapshot is newer. The upstreams of the snapshot are used
/// only while no upstream is known.
pub fn apply(shared: &sync::Arc<shared::Shared>, snapshot: message::TablesSnapshot) {
    let revision = snapshot.revision;
    let tables = match Tables::try_from((revision, snapshot.declarations)) {
        Ok(tables) => tables,
        Err(e) => {
            tracing::warn!(event = "tables_refused", revision = %revision, error = %e);
            return;
        }
    };
    let mut in_force = shared.in_force.lock();
    let replaced = in_force.tables.replace_if_newer(tables);
    if in_force.upstream_list.entries().is_empty() && !snapshot.upstreams.is_empty() {
        in_force.upstream_list.replace(snapshot.upstreams);
    }
    let current = in_force.tables.revision();
    update_local_state(shared, &in_force);
    drop(in_force);
    shared.metrics.table_revision.set(current.number() as i64);
    if replaced {
        tracing::info!(event = "tables_in_force", revision = %current);
        tokio::spawn(announce(shared.clone(), current));
    }
}

/// Makes a joining instance live once it has tables and a list of upstreams.
fn update_local_state(shared: &shared::Shared, in_force: &shared::InForce) {
    let (revision, known) = (
        in_force.tables.revision(),
        in_force.upstream_list.is_loaded(),
    );
    shared
        .membership
        .lock()
        .local_state
        .transition(|state| state.go_live(revision != Revision::default(), known));
}

/// Returns the tables and upstreams if they are newer than the revision of a peer.
pub fn snapshot(shared: &shared::Shared, revision: Revision) -> Option<message::TablesSnapshot> {
    let in_force = shared.in_force.lock();
    (in_force.tables.revision() > revision).then(|| message::TablesSnapshot {
        revision: in_force.tables.revision(),
        declarations: in_force.tables.declarations().clone(),
        upstreams: in_force.upstream_list.entries().to_vec(),
    })
}

/// Announces a revision to the other members of the availability zone, if this instance is a
/// watcher.
async fn announce(shared: sync::Arc<shared::Shared>, revision: Revision) {
    if !is_watcher(&shared) {
        return;
    }
    let now = shared.clock.now();
    let (local, peers): (_, Vec<_>) = {
        let membership = shared.membership.lock();
        let zone = &shared.settings.availability_zone;
        let peers = membership
            .members
            .live_members(now, zone)
            .cloned()
            .collect();
        (membership.members.local().clone(), peers)
    };
    for peer in peers.into_iter().filter(|peer| !shared.is_local(peer)) {
        let (shared, from) = (shared.clone(), local.clone());
        tokio::spawn(async move {
            let announcement = message::Request::AnnounceRevision(message::RevisionAnnouncement {
                from,
                revision,
            });
            let _ = shared
                .peers
                .call(peer.address, &announcement, ANNOUNCE_TIMEOUT)
                .await;
        });
    }
}

/// Fetches the tables of a peer if they are newer, and submits them to the workers.
pub async fn fetch_from(shared: &shared::Shared, from: std::net::SocketAddr) {
    let local_revision = shared.in_force.lock().tables.revision();
    let req = message::Request::FetchTables(local_revision);
    let response = shared.peers.call(from, &req, ANNOUNCE_TIMEOUT).await;
    if let Ok(message::Response::Tables(Some(snapshot))) = response {
        shared.jobs.submit(worker::Job::ApplyTables(snapshot)).await;
    }
}

fn is_watcher(shared: &shared::Shared) -> bool {
    let now = shared.clock.now();
    let membership = shared.membership.lock();
    !membership.local_state.is_draining()
        && membership.members.is_among_owners(now, "watch", WATCHERS)
}

/// Watches the store while this instance is a watcher, until the process ends.
pub async fn run_watch(shared: sync::Arc<shared::Shared>) {
    loop {
        if !is_watcher(&shared) {
            time::sleep(RETRY_DELAY).await;
            continue;
        }
        let local_revision = shared.in_force.lock().tables.revision();
        let read = if local_revision == Revision::default() {
            shared
                .metrics
                .platform_call("read", shared.platform.tables().await)
        } else {
            shared
                .metrics
                .platform_call("watch", shared.platform.watch_tables(local_revision).await)
        };
        let now = shared.clock.now();
        let responded = read.is_ok();
        shared
            .membership
            .lock()
            .reachability
            .record_platform_call(now, responded);
        match read {
            Ok((revision, declarations)) if revision > local_revision => {
                let snapshot = message::TablesSnapshot {
                    revision,
                    declarations,
                    upstreams: Vec::new(),
                };
                shared.jobs.submit(worker::Job::ApplyTables(snapshot)).await;
                wait_until_in_force(&shared, revision).await;
            }
            Ok((revision, _))
                if local_revision == Revision::default()
                    || revision.era() != local_revision.era() =>
            {
                time::sleep(RETRY_DELAY).await
            }
            Ok(_) => {}
            Err(e) => {
                tracing::warn!(event = "watch_failed", error = %e);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until a worker has put a revision in force, for at most [`RETRY_DELAY`] because invalid
/// tables are refused.
async fn wait_until_in_force(shared: &shared::Shared, revision: Revision) {
    for _ in 0..20 {
        time::sleep(RETRY_DELAY / 20).await;
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
                in_force.upstream_list.replace(list.upstreams);
                update_balancers(&shared, &in_force.upstream_list);
                update_local_state(&shared, &in_force);
                shared
                    .membership
                    .lock()
                    .members
                    .apply_list(now, list.instances);
            }
            Err(e) => tracing::warn!(event = "list_failed", error = %e),
        }
        let empty = shared.in_force.lock().upstream_list.entries().is_empty();
        let interval = if empty {
            EMPTY_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        let jitter = rand::random_range(0..500);
        time::sleep(interval + time::Duration::from_millis(jitter)).await;
    }
}

fn update_balancers(shared: &shared::Shared, upstream_list: &UpstreamList) {
    if shared.settings.policy == limpetkeel::Policy::Keeper {
        return;
    }
    let mut budgets = shared.budgets.lock();
    for entry in upstream_list.entries() {
        let accepting =
            upstream_list.accepting_upstreams(&entry.pool, &shared.settings.availability_zone);
        budgets
            .balancers
            .entry(entry.pool.clone())
            .or_default()
            .set_upstreams(&accepting);
    }
}
