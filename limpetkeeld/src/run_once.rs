//! Writes of run-once records to the store, in batches per shard.
//!
//! The updates of a shard go through one instance, its owner, which is chosen by rendezvous
//! hashing, so that one write carries all updates that arrived during the previous write.
//! Compare-and-swap alone makes the writes safe: two instances that both act as owner only cause
//! conflicts, which are resolved by reading the shard again.

use std::{collections, sync};

use limpetkeel::{Error, RecordUpdate, Revision, RunOnceShard, UpdateResult};
use tokio::{sync::oneshot, time};

use crate::{clock, peer::message, platform, shared};

/// The time limit for the owner of a shard to apply an update; after it, this instance writes the
/// update itself.
const FORWARD_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The number of attempts to write a batch before its updates are refused.
const MAX_WRITE_ATTEMPTS: u32 = 6;

/// The delay before a failed write is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// The number of attempts to withdraw a claim in the background while the store is unavailable.
const MAX_WITHDRAW_ATTEMPTS: u32 = 60;

/// An update that waits for a write, and the channel for its result.
struct PendingUpdate {
    update: RecordUpdate,
    respond_to: oneshot::Sender<UpdateResult>,
}

/// The waiting updates of a shard; `writing` is set while a task writes them.
#[derive(Default)]
struct Batch {
    pending: Vec<PendingUpdate>,
    writing: bool,
    /// The revision and content of the shard as last read or written.
    cached: Option<(Revision, RunOnceShard)>,
}

/// The batches of the shards that this instance writes.
#[derive(Default)]
pub struct Shards {
    by_number: collections::BTreeMap<u32, Batch>,
}

/// Applies an update through the owner of the shard, or locally if the owner does not respond.
pub async fn apply(shared: &sync::Arc<shared::Shared>, update: RecordUpdate) -> UpdateResult {
    let now = shared.clock.now();
    let key = format!("run-once/{}", update.call().shard());
    let owner = shared.membership.lock().members.global_owner(now, &key);
    let Some(owner) = owner.filter(|owner| !shared.is_local(owner)) else {
        return apply_locally(shared, update).await;
    };
    let req = message::Request::ApplyRunOnce(vec![update.clone()]);
    let response = shared
        .peers
        .call(owner.address, &req, FORWARD_TIMEOUT)
        .await;
    if let Ok(message::Response::Applied(applied)) = response
        && let Some(applied) = applied.into_iter().next()
    {
        return applied;
    }
    // The owner may have written the update; the nonce makes a second write of a claim harmless.
    apply_locally(shared, update).await
}

/// Withdraws a claim under which nothing was sent; retries in the background while the store is
/// unavailable.
pub fn withdraw_in_background(
    shared: &sync::Arc<shared::Shared>,
    claim: &limpetkeel::RunOnceClaim,
) {
    let update = RecordUpdate::Withdraw {
        call: claim.call.clone(),
        nonce: claim.nonce,
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_WITHDRAW_ATTEMPTS {
            let applied = apply_locally(&shared, update.clone()).await;
            if applied != UpdateResult::Refused(Error::StoreUnavailable) {
                return;
            }
            time::sleep(RETRY_DELAY * 20).await;
        }
    });
}

/// Applies an update on this instance, in a batch with other updates of its shard.
pub async fn apply_locally(
    shared: &sync::Arc<shared::Shared>,
    update: RecordUpdate,
) -> UpdateResult {
    let number = update.call().shard();
    let (respond_to, applied) = oneshot::channel();
    let idle = {
        let mut shards = shared.run_once.lock();
        let batch = shards.by_number.entry(number).or_default();
        batch.pending.push(PendingUpdate { update, respond_to });
        !std::mem::replace(&mut batch.writing, true)
    };
    if idle {
        tokio::spawn(write_batches(shared.clone(), number));
    }
    applied
        .await
        .unwrap_or(UpdateResult::Refused(Error::WorkerStopped))
}

/// Writes batches of a shard until no update waits.
async fn write_batches(shared: sync::Arc<shared::Shared>, number: u32) {
    loop {
        let (pending, cached) = {
            let mut shards = shared.run_once.lock();
            let Some(batch) = shards.by_number.get_mut(&number) else {
                return;
            };
            if batch.pending.is_empty() {
                batch.writing = false;
                return;
            }
            (std::mem::take(&mut batch.pending), batch.cached.take())
        };
        let updates: Vec<_> = pending
            .iter()
            .map(|pending| pending.update.clone())
            .collect();
        let (applied, cached) = match write_with_retries(&shared, number, &updates, cached).await {
            Ok((applied, cached)) => (applied, Some(cached)),
            Err(_) => {
                let refused = UpdateResult::Refused(Error::StoreUnavailable);
                (vec![refused; updates.len()], None)
            }
        };
        if let Some(batch) = shared.run_once.lock().by_number.get_mut(&number) {
            batch.cached = cached;
        }
        for (pending, applied) in pending.into_iter().zip(applied) {
            let _ = pending.respond_to.send(applied);
        }
    }
}

type WriteResult = (Vec<UpdateResult>, (Revision, RunOnceShard));

async fn write_with_retries(
    shared: &shared::Shared,
    number: u32,
    updates: &[RecordUpdate],
    mut cached: Option<(Revision, RunOnceShard)>,
) -> platform::Result<WriteResult> {
    let mut last_error = platform::Error::ResponseLost;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match attempt_write(shared, number, updates, cached.take()).await {
            Ok(written) => return Ok(written),
            Err(platform::Error::Conflict(_)) => {}
            Err(e) => {
                last_error = e;
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
    Err(last_error)
}

/// Makes one attempt to write a batch.
///
/// If the response of the store is lost, the next attempt reads the shard, recognizes its own
/// claims by their nonces, and has nothing left to write.
async fn attempt_write(
    shared: &shared::Shared,
    number: u32,
    updates: &[RecordUpdate],
    cached: Option<(Revision, RunOnceShard)>,
) -> platform::Result<WriteResult> {
    let key = format!("limpetkeel/run-once/{number}");
    let (revision, before) = match cached {
        Some(cached) => cached,
        None => {
            let read = shared
                .metrics
                .platform_call("read", shared.platform.read(&key).await);
            decode(read?)?
        }
    };
    let now = clock::unix_millis();
    let mut shard = before.clone();
    shard.prune(now);
    let applied: Vec<_> = updates
        .iter()
        .map(|update| shard.apply(now, update))
        .collect();
    if shard == before {
        return Ok((applied, (revision, shard)));
    }
    let value = serde_json::to_string(&shard).map_err(|_| platform::Error::Malformed)?;
    let written = shared.platform.write(&key, revision, &value).await;
    let revision = shared.metrics.platform_call("write", written)?;
    Ok((applied, (revision, shard)))
}

fn decode(entry: platform::Entry) -> platform::Result<(Revision, RunOnceShard)> {
    let Some(value) = entry.value else {
        return Ok((entry.revision, RunOnceShard::default()));
    };
    let shard = serde_json::from_str(&value).map_err(|_| platform::Error::Malformed)?;
    Ok((entry.revision, shard))
}
