//! Keeps the tables current with the store, or with a peer while the store does not answer.

use std::{sync, time};

use limpetkeel::{Catalog, Millis, Removal, Timestamp};

use crate::{
    peer::message,
    relay::{jobs, port, shared},
};

/// The pause after a failed call of the store.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// What is added to that pause at random, so that the instances do not return together.
const RETRY_JITTER_MS: u64 = 150;

/// The time between two questions to peers while the store does not answer: several fit into the
/// bound within which a change has to be in force.
const PEER_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// A peer that does not answer within this time is passed over.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Entries that vanish within this long after a failed call may have lapsed though their upstreams
/// live: three heartbeats, and the time to write them again.
const DOUBT: Millis = Millis(6_000);

/// Follows the store until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut known = false;
    loop {
        let followed = if known {
            let after = shared.in_force.lock().revision;
            count(&shared, "watch", shared.store.watch(after).await).map(jobs::Job::Apply)
        } else {
            count(&shared, "read", shared.store.read().await)
                .map(|catalog| jobs::Job::Adopt(catalog, jobs::Source::Store))
        };
        match followed {
            Ok(job) => {
                note_answer(&shared);
                known = true;
                let (done, adopted) = tokio::sync::oneshot::channel();
                shared.jobs.submit_all(job).await;
                shared.jobs.submit_all(jobs::Job::Barrier(done)).await;
                let _ = adopted.await;
            }
            Err(e) => {
                known &= e != port::StoreError::HistoryLost;
                note_failure(&shared, e);
                if e != port::StoreError::HistoryLost {
                    let jitter = rand::random_range(0..RETRY_JITTER_MS);
                    tokio::time::sleep(RETRY_PAUSE + time::Duration::from_millis(jitter)).await;
                }
            }
        }
    }
}

/// Counts a call of the store and passes its result on.
pub fn count<T>(
    shared: &shared::Shared,
    kind: &str,
    result: Result<T, port::StoreError>,
) -> Result<T, port::StoreError> {
    let label = result.as_ref().err().map_or("ok", |e| e.code());
    let calls = &shared.metrics.relay.store_calls;
    calls.with_label_values(&[kind, label]).inc();
    result
}

fn note_answer(shared: &shared::Shared) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    if let Some(since) = in_force.failing_since.take() {
        tracing::info!(event = "store_regained", after_ms = now.since(since).0);
    }
}

fn note_failure(shared: &shared::Shared, e: port::StoreError) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    in_force.doubtful_until = now.after(DOUBT);
    if e == port::StoreError::HistoryLost {
        tracing::info!(event = "store_history_lost", revision = %in_force.revision);
        return;
    }
    if in_force.failing_since.is_none() {
        in_force.failing_since = Some(now);
        tracing::warn!(event = "store_lost", error = %e, revision = %in_force.revision);
    }
}

/// Asks peers for what the store does not tell, until the process ends.
pub async fn run_peers(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let (failing, own) = {
            let in_force = shared.in_force.lock();
            let starting = in_force.ingress.version() == 0;
            (
                in_force.failing_since.is_some() || starting,
                in_force.revision,
            )
        };
        if failing {
            ask_peer(&shared, own).await;
        }
    }
}

async fn ask_peer(shared: &sync::Arc<shared::Shared>, own: limpetkeel::Revision) {
    let now = shared.clock.now();
    let listed = shared.membership.lock().roll.any(now, rand::random());
    let address = match &listed {
        Some(peer) => peer.address,
        None => {
            let seeds = &shared.settings.seeds;
            let Some(seed) = seeds.get(rand::random_range(0..seeds.len().max(1))) else {
                return;
            };
            *seed
        }
    };
    let req = message::Request::Catalog(own);
    match shared.peers.call(address, &req, PEER_TIMEOUT).await {
        Ok(message::Response::Catalog(Some(catalog))) => {
            let job = jobs::Job::Adopt(catalog, jobs::Source::Peer);
            shared.jobs.submit_all(job).await;
        }
        Ok(_) => {}
        Err(_) => {
            if let Some(peer) = listed {
                shared.membership.lock().roll.suspect(now, &peer.name);
            }
        }
    }
}

/// Returns the catalog for a peer whose revision is older.
pub fn catalog(shared: &shared::Shared, than: limpetkeel::Revision) -> Option<Catalog> {
    let in_force = shared.in_force.lock();
    if in_force.revision <= than {
        return None;
    }
    let instances = shared.membership.lock().roll.listed();
    Some(Catalog {
        revision: in_force.revision,
        ingress: in_force.ingress.declaration().cloned(),
        upstreams: in_force.roster.entries().cloned().collect(),
        instances,
    })
}

/// Takes in a whole catalog.
pub fn adopt(shared: &shared::Shared, catalog: Catalog, source: jobs::Source) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    if catalog.revision < in_force.revision {
        return;
    }
    if let Some(declaration) = catalog.ingress {
        adopt_ingress(&mut in_force, declaration);
    }
    let removal = match source {
        jobs::Source::Store => removal(&in_force, now),
        jobs::Source::Peer => Removal::Doubtful,
    };
    in_force
        .roster
        .replace(now, catalog.upstreams, catalog.revision, removal);
    in_force.revision = catalog.revision;
    tracing::info!(
        event = "catalog_adopted",
        source = ?source,
        revision = %in_force.revision,
        version = in_force.ingress.version(),
        upstreams = in_force.roster.entries().count(),
        instances = catalog.instances.len(),
    );
    let mut membership = shared.membership.lock();
    membership.roll.replace(catalog.instances);
    go_live(&in_force, &mut membership);
}

/// Takes in changes.
pub fn apply(shared: &shared::Shared, changes: port::Changes) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    for change in changes.changes {
        apply_one(shared, &mut in_force, now, change);
    }
    in_force.roster.sweep(now);
    in_force.revision = in_force.revision.max(changes.revision);
    go_live(&in_force, &mut shared.membership.lock());
}

fn apply_one(
    shared: &shared::Shared,
    in_force: &mut shared::InForce,
    now: Timestamp,
    change: port::Change,
) {
    match change {
        port::Change::Ingress(declaration) => adopt_ingress(in_force, declaration),
        port::Change::Upstream(entry) => {
            tracing::info!(
                event = "upstream_listed",
                upstream = %entry.name,
                pool = %entry.pool,
                standing = ?entry.standing,
                revision = %entry.revision,
            );
            in_force.roster.upsert(entry);
        }
        port::Change::UpstreamGone(name, revision) => {
            let removal = removal(in_force, now);
            tracing::info!(event = "upstream_unlisted", upstream = %name, removal = ?removal);
            in_force.roster.remove(now, &name, revision, removal);
        }
        port::Change::Instance(contact) => shared.membership.lock().roll.list(contact),
        port::Change::InstanceGone(name) => shared.membership.lock().roll.unlist(&name),
        port::Change::Unreadable(key) => {
            shared.metrics.relay.unreadable.inc();
            tracing::warn!(event = "entry_unreadable", key);
        }
    }
}

fn removal(in_force: &shared::InForce, now: Timestamp) -> Removal {
    if now < in_force.doubtful_until {
        Removal::Doubtful
    } else {
        Removal::Certain
    }
}

fn adopt_ingress(
    in_force: &mut shared::InForce,
    declaration: sync::Arc<limpetkeel::IngressDeclaration>,
) {
    let version = declaration.version;
    match in_force.ingress.adopt(declaration) {
        Ok(true) => tracing::info!(event = "routes_in_force", version),
        Ok(false) => {}
        Err(e) => tracing::warn!(event = "routes_refused", version, error = %e),
    }
}

/// Goes live if this was the last thing that a joining instance lacked.
fn go_live(in_force: &shared::InForce, membership: &mut shared::Membership) {
    let version = limpetkeel::Revision(in_force.ingress.version());
    let serving = in_force.roster.is_serving();
    membership.transition(|stage| stage.go_live(version, serving));
}

/// Removes entries that stayed missing, until the process ends.
pub async fn run_sweep(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let now = shared.clock.now();
        shared.in_force.lock().roster.sweep(now);
    }
}
