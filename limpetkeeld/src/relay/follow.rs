//! Keeps the tables current.
//!
//! Two instances of each availability zone watch the store; the others follow one of them, so that
//! a change costs a few calls of the store however many instances there are. An instance whose
//! watchers fail follows the store itself, and while that does not answer either, it asks peers.

use std::{collections, sync, time};

use limpetkeel::{Contact, InstanceName, Millis, StoreChanges, Timestamp};

use crate::{
    peer::{self, message},
    relay::{adopt, jobs, port, shared},
};

/// A watcher answers after this long even without a change.
const FOLLOW_WAIT: time::Duration = time::Duration::from_millis(700);

/// A watcher that answers later than this after it should is left alone: with the wait, a frozen
/// one is noticed well within the bound for a change to be in force.
const FOLLOW_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A watcher that failed is left alone for this long.
const LEFT_ALONE: Millis = Millis(4_000);

/// The time between two signs of life of the store while a watch waits. With the time of a call,
/// a lost store is noticed in about half of the bound for a change to be in force.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The pause after a failed call of the store; it doubles with each further one.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// The longest pause: half of the bound within which a change has to be in force.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(1_000);

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

/// Whom an instance follows.
enum Leader {
    /// The store itself.
    Store,
    /// A watcher of the own availability zone.
    Watcher(Contact),
}

/// Why an instance does not hear of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The store does not answer.
    Store(port::StoreError),
    /// The watcher does not answer.
    Watcher(peer::Error),
    /// The store does not answer the watcher.
    WatcherFailing,
}

impl Failure {
    fn code(self) -> &'static str {
        match self {
            Failure::Store(e) => e.code(),
            Failure::Watcher(e) => e.code(),
            Failure::WatcherFailing => "watcher_failing",
        }
    }
}

/// Follows the store, or a watcher that does, until the process ends.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    // Watchers that failed are left alone for a while; then the store itself is followed.
    let mut left_alone: collections::BTreeMap<InstanceName, Timestamp> =
        collections::BTreeMap::new();
    let mut known = false;
    let mut pause = RETRY_PAUSE;
    loop {
        let now = shared.clock.now();
        left_alone.retain(|_, until| *until > now);
        let leader = leader(&shared, now, &left_alone, known);
        let followed = match &leader {
            Leader::Store => follow_store(&shared, known).await.map_err(Failure::Store),
            Leader::Watcher(watcher) => follow_watcher(&shared, watcher).await,
        };
        match followed {
            Ok(job) => {
                note_answer(&shared);
                known = true;
                pause = RETRY_PAUSE;
                let (done, adopted) = tokio::sync::oneshot::channel();
                shared.jobs.submit_all(job).await;
                shared.jobs.submit_all(jobs::Job::Barrier(done)).await;
                // The workers end only with the process.
                let _ = adopted.await;
                shared.changed.notify_waiters();
            }
            Err(Failure::Store(port::StoreError::HistoryLost)) => {
                note_doubt(&shared);
                known = false;
            }
            Err(failure) => {
                if let Leader::Watcher(watcher) = leader {
                    let until = shared.clock.now().after(LEFT_ALONE);
                    left_alone.insert(watcher.name, until);
                    tracing::info!(event = "watcher_left_alone", reason = failure.code());
                    continue;
                }
                note_failure(&shared, failure);
                let jitter = rand::random_range(0..RETRY_JITTER_MS);
                tokio::time::sleep(pause + time::Duration::from_millis(jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn leader(
    shared: &shared::Shared,
    now: Timestamp,
    left_alone: &collections::BTreeMap<InstanceName, Timestamp>,
    known: bool,
) -> Leader {
    let watchers = shared.membership.lock().roll.watchers(now);
    let own = &shared.settings.instance;
    let watches = watchers.iter().any(|watcher| watcher.name == *own);
    let mut others = watchers
        .into_iter()
        .filter(|watcher| !left_alone.contains_key(&watcher.name));
    match others.next() {
        Some(watcher) if known && !watches => Leader::Watcher(watcher),
        _ => Leader::Store,
    }
}

async fn follow_store(shared: &shared::Shared, known: bool) -> Result<jobs::Job, port::StoreError> {
    if !known {
        let catalog = count(shared, "read", shared.store.read().await)?;
        return Ok(jobs::Job::Adopt(catalog, jobs::Source::Store));
    }
    let after = shared.in_force.lock().revision;
    let observed = tokio::select! {
        observed = shared.store.watch(after) => count(shared, "watch", observed)?,
        lost = lose(shared) => return Err(lost),
    };
    let removal = adopt::removal(&shared.in_force.lock(), shared.clock.now());
    let changes = observed.changes.into_iter().map(|change| (change, removal));
    Ok(jobs::Job::Apply(StoreChanges {
        revision: observed.revision,
        changes: changes.collect(),
    }))
}

/// Returns when the store gives no sign of life.
///
/// A waiting watch does not show that the store is lost; others rely on this instance for changes.
async fn lose(shared: &shared::Shared) -> port::StoreError {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        if let Err(e) = count(shared, "probe", shared.store.probe().await) {
            return e;
        }
    }
}

async fn follow_watcher(shared: &shared::Shared, watcher: &Contact) -> Result<jobs::Job, Failure> {
    let after = shared.in_force.lock().revision;
    let req = message::Request::Follow(after);
    let timeout = FOLLOW_WAIT + FOLLOW_TIMEOUT;
    let answer = shared.peers.call(watcher.address, &req, timeout).await;
    match answer.map_err(Failure::Watcher)? {
        message::Response::Followed(message::Followed::Changes(changes)) => {
            Ok(jobs::Job::Apply(changes))
        }
        message::Response::Followed(message::Followed::Catalog(catalog)) => {
            Ok(jobs::Job::Adopt(catalog, jobs::Source::Peer))
        }
        _ => Err(Failure::WatcherFailing),
    }
}

/// Answers an instance that follows this one: at once if something is newer or the store does not
/// answer, else after a bounded time.
pub async fn answer(shared: &shared::Shared, after: limpetkeel::Revision) -> message::Followed {
    let deadline = tokio::time::Instant::now() + FOLLOW_WAIT;
    loop {
        let changed = shared.changed.notified();
        if shared.in_force.lock().failing_since.is_some() {
            return message::Followed::Failing;
        }
        let late = tokio::time::Instant::now() >= deadline;
        if late || shared.in_force.lock().revision > after {
            break;
        }
        // An elapsed time is seen by the next look.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
    let in_force = shared.in_force.lock();
    match in_force.log.since(after, in_force.revision) {
        Some(changes) => message::Followed::Changes(changes),
        None => message::Followed::Catalog(adopt::whole(shared, &in_force)),
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

fn note_doubt(shared: &shared::Shared) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    in_force.doubtful_until = now.after(DOUBT);
    tracing::info!(event = "store_history_lost", revision = %in_force.revision);
}

fn note_failure(shared: &shared::Shared, failure: Failure) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    in_force.doubtful_until = now.after(DOUBT);
    if in_force.failing_since.is_none() {
        in_force.failing_since = Some(now);
        let reason = failure.code();
        tracing::warn!(event = "store_lost", reason, revision = %in_force.revision);
        drop(in_force);
        shared.changed.notify_waiters();
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

/// Removes entries that stayed missing, until the process ends.
pub async fn run_sweep(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let now = shared.clock.now();
        shared.in_force.lock().roster.sweep(now);
    }
}
