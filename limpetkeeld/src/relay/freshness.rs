//! Keeps a planner from planning with tables that are older than those of the requesting instance.
//!
//! A planner that lacks a change requests the changes from the instance that knows it, and plans once
//! it has applied them. It declines if that takes too long, so that the requesting instance still has
//! time for another planner.

use std::{sync, time};

use limpetkeel::{
    Error, Millis, PlanRequest, RequesterTables, Revision, TableComparison, TableFreshness,
};

use crate::{
    peer::message,
    relay::{jobs, shared, store_updates},
};

/// How long a plan request waits for a change that the planner lacks. With the way to the planner and
/// back, it stays below the timeout of a plan request.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(12);

/// Timeout of a request for changes. A snapshot takes longer than a plan request waits, and helps the
/// later ones.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// The time after a request for changes without a result during which no other one is made.
const FETCH_BACKOFF: time::Duration = time::Duration::from_millis(100);

/// Returns what the local instance knows, for the planner of a request.
pub fn local_requester(shared: &shared::Shared) -> message::Requester {
    let table_age = shared.tables.lock().follower.age(shared.clock.now());
    message::Requester {
        contact: shared.membership.lock().instances.local().clone(),
        table_age,
    }
}

/// Waits until the local tables include what the requesting instance knows.
///
/// # Errors
///
/// Returns [`Error::PlannerOutdated`] if they do not within a few milliseconds.
pub async fn await_tables(
    shared: &sync::Arc<shared::Shared>,
    plan_request: &PlanRequest,
    requester: &message::Requester,
) -> limpetkeel::Result<()> {
    let requester_tables = RequesterTables {
        availability_zone: plan_request.availability_zone.clone(),
        known_revision: plan_request.known_revision,
        age: requester.table_age,
    };
    let deadline = tokio::time::Instant::now() + CATCH_UP_TIMEOUT;
    let mut is_fetching = false;
    loop {
        let changed = shared.changed.notified();
        let (comparison, revision) = compare(shared, &requester_tables);
        let expired = tokio::time::Instant::now() >= deadline;
        match comparison {
            TableComparison::Sufficient => return Ok(()),
            TableComparison::Behind if !expired => {}
            _ => {
                record_decline(shared, plan_request, requester, comparison, revision);
                return Err(Error::PlannerOutdated);
            }
        }
        if !std::mem::replace(&mut is_fetching, true) {
            start_fetch(shared, requester);
        }
        // The next iteration checks the deadline.
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

/// Compares the local tables with those of a requesting instance, and returns their revision.
fn compare(shared: &shared::Shared, requester: &RequesterTables) -> (TableComparison, Revision) {
    let tables = shared.tables.lock();
    let freshness = TableFreshness {
        availability_zone: shared.settings.availability_zone.clone(),
        revision: tables.revision,
        age: tables.follower.age(shared.clock.now()),
        is_disconnected: tables.disconnected_since.is_some(),
    };
    (freshness.compare(requester), tables.revision)
}

/// Counts and logs a plan request that is declined.
fn record_decline(
    shared: &shared::Shared,
    plan_request: &PlanRequest,
    requester: &message::Requester,
    comparison: TableComparison,
    revision: Revision,
) {
    let reason = comparison.code();
    let declines = &shared.metrics.relay.plan_declines;
    declines.with_label_values(&[reason]).inc();
    tracing::info!(
        event = "plan_declined",
        pool = %plan_request.pool,
        instance = %requester.contact.name,
        reason,
        revision = %revision,
        known = %plan_request.known_revision,
    );
}

/// Requests the changes that the local tables lack from the instance that knows them, unless a
/// request is in progress.
fn start_fetch(shared: &sync::Arc<shared::Shared>, requester: &message::Requester) {
    let Ok(permit) = shared.catch_up.clone().try_acquire_owned() else {
        return;
    };
    let (shared, contact) = (shared.clone(), requester.contact.clone());
    tokio::spawn(async move {
        let after = store_updates::known_tables(&shared.tables.lock());
        let req = message::Request::WaitForChanges(message::ChangesRequest {
            after,
            wait: Millis::ZERO,
        });
        let response = shared
            .peers
            .call(contact.address, &req, FETCH_TIMEOUT)
            .await;
        let received = match response {
            Ok(message::Response::Changes(message::ChangesResponse::Changes(changes, age))) => {
                Some((jobs::TableUpdate::Changes(changes), age))
            }
            Ok(message::Response::Changes(message::ChangesResponse::Snapshot(snapshot, age))) => {
                let source = jobs::SnapshotSource::Peer;
                Some((jobs::TableUpdate::Snapshot(snapshot, source), age))
            }
            _ => None,
        };
        let revision = received.as_ref().map(|(update, _)| update.revision());
        tracing::info!(
            event = "tables_fetched",
            instance = %contact.name,
            after = %after.revision,
            revision = revision.map(|revision| revision.to_string()),
        );
        match received {
            Some((update, age)) if update.revision() > after.revision => {
                let revision = update.revision();
                shared.jobs.update_tables(update).await;
                record_age(&shared, revision, age);
            }
            _ => tokio::time::sleep(FETCH_BACKOFF).await,
        }
        drop(permit);
    });
}

/// Records that the local tables were current `age` ago, if they include a revision that another
/// instance had then. Whether the store responds to this instance is another matter.
fn record_age(shared: &shared::Shared, revision: Revision, age: Millis) {
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    if tables.revision.era() == revision.era() && tables.revision >= revision {
        tables.follower.record_current(now, age);
    }
}
