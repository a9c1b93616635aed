//! Requests snapshots from peers.

use std::{sync, time};

use crate::{
    peer::message,
    relay::{jobs, shared, store_updates},
};

/// Interval between snapshot requests to peers while the store is unreachable. Several requests fit
/// into the bound for a change to take effect.
const PEER_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Number of peers whose tables an instance that starts compares with its own, until one responds.
const MAX_COMPARISONS: u32 = 10;

/// Timeout of a snapshot request to a peer.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Requests snapshots from peers while the store is unreachable or before the first routing table
/// arrives, until the process ends.
///
/// One more response is requested then, since a store that was restored from a backup may hold an
/// older table than the peers.
pub async fn run(shared: sync::Arc<shared::Shared>) {
    let mut comparisons = MAX_COMPARISONS;
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let (needs_snapshot, known) = {
            let tables = shared.tables.lock();
            let starting = tables.ingress.version() == 0;
            (
                tables.disconnected_since.is_some() || starting,
                store_updates::known_tables(&tables),
            )
        };
        if needs_snapshot {
            request_snapshot(&shared, known).await;
        } else if comparisons > 0 {
            comparisons -= 1;
            if request_snapshot(&shared, known).await {
                comparisons = 0;
            }
        }
    }
}

/// Requests a newer snapshot from a random peer, or from a seed if no peer is known. Returns `true`
/// if it responds.
async fn request_snapshot(shared: &sync::Arc<shared::Shared>, known: message::KnownTables) -> bool {
    let now = shared.clock.now();
    let peer = shared
        .membership
        .lock()
        .instances
        .random_peer(now, rand::random());
    let address = match &peer {
        Some(peer) => peer.address,
        None => {
            let seeds = &shared.settings.seeds;
            let Some(seed) = seeds.get(rand::random_range(0..seeds.len().max(1))) else {
                return false;
            };
            *seed
        }
    };
    let req = message::Request::FetchSnapshot(known);
    match shared.peers.call(address, &req, PEER_TIMEOUT).await {
        Ok(message::Response::Snapshot(Some(snapshot))) => {
            let update = jobs::TableUpdate::Snapshot(snapshot, jobs::SnapshotSource::Peer);
            shared.jobs.update_tables(update).await;
            true
        }
        Ok(_) => true,
        Err(_) => {
            if let Some(peer) = peer {
                shared
                    .membership
                    .lock()
                    .instances
                    .record_failure(now, &peer.name);
            }
            false
        }
    }
}
