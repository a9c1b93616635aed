//! Applies snapshots and changes from the store or a peer to the shared tables.

use std::{collections, sync};

use limpetkeel::{
    CrashCause, QuarantineList, QuarantineListEntry, Removal, Revision, StoreChange, StoreChanges,
    StoreSnapshot, Timestamp,
};

use crate::{
    peer::message,
    relay::{evacuation, jobs, shared},
};

/// Returns how new the tables are.
pub fn known_tables(tables: &shared::Tables) -> message::KnownTables {
    message::KnownTables {
        revision: tables.revision,
        version: tables.ingress.version(),
    }
}

/// Returns the complete snapshot if it is newer than `known`.
pub fn snapshot_after(
    shared: &shared::Shared,
    known: message::KnownTables,
) -> Option<StoreSnapshot> {
    let tables = shared.tables.lock();
    let is_newer = known_tables(&tables).is_newer_than(known);
    is_newer.then(|| full_snapshot(shared, &tables, known))
}

/// Returns the complete snapshot of the shared tables, without the routing table if `known` includes
/// it.
pub fn full_snapshot(
    shared: &shared::Shared,
    tables: &shared::Tables,
    known: message::KnownTables,
) -> StoreSnapshot {
    let declaration = tables.ingress.declaration();
    StoreSnapshot {
        revision: tables.revision,
        ingress: declaration.filter(|d| d.version > known.version).cloned(),
        upstreams: tables.upstreams.entries().cloned().collect(),
        instances: shared.membership.lock().instances.contacts(),
        quarantines: tables.quarantines.stored_entries().copied().collect(),
        evacuations: tables.evacuations.entries().collect(),
        unreadable: Vec::new(),
    }
}

/// Applies an update, and wakes the followers of this instance.
pub fn apply(shared: &shared::Shared, update: jobs::TableUpdate) {
    match update {
        jobs::TableUpdate::Snapshot(snapshot, source) => apply_snapshot(shared, snapshot, source),
        jobs::TableUpdate::Changes(changes) => apply_changes(shared, changes),
    }
    shared.changed.notify_waiters();
}

/// Replaces the shared tables with a snapshot, unless the snapshot's revision is older than theirs.
/// The routing table is ordered by its version instead, which holds in all eras.
///
/// What the snapshot of a later era lacks may have been lost with the newest contents of the store,
/// so that its removal is doubtful for a while. Upstreams missing from a peer's snapshot are always
/// removed as [`Removal::Doubtful`].
fn apply_snapshot(shared: &shared::Shared, snapshot: StoreSnapshot, source: jobs::SnapshotSource) {
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    if snapshot.revision < tables.revision {
        log_outdated("snapshot", snapshot.revision, &tables);
        if let Some(declaration) = snapshot.ingress {
            apply_ingress(&mut tables, declaration, snapshot.revision);
        }
        return;
    }
    let begins_era =
        tables.revision != Revision::default() && tables.revision.era() < snapshot.revision.era();
    if begins_era {
        tables.removal_doubt.record_restore(now);
        tracing::warn!(
            event = "store_restored",
            known = %tables.revision,
            revision = %snapshot.revision,
        );
        shared.era_changed.notify_one();
        // What the store has lost is queued again.
        shared.quarantine_queued.notify_one();
    }
    for key in &snapshot.unreadable {
        record_unreadable(shared, key);
    }
    let removal = match source {
        jobs::SnapshotSource::Store => classify_removal(&tables, now),
        jobs::SnapshotSource::Peer => Removal::Doubtful,
    };
    let mut membership = shared.membership.lock();
    if begins_era || tables.revision == Revision::default() {
        tables.change_log.reset(snapshot.revision);
    } else {
        let changes = snapshot.changes_from(
            tables.ingress.version(),
            &tables.upstreams,
            &membership.instances,
            &tables.quarantines,
            &tables.evacuations,
            removal,
        );
        tables.change_log.append(&changes);
    }
    if let Some(declaration) = snapshot.ingress {
        // The first table is no change: whoever has none plans nothing.
        let changed_at = match tables.ingress.version() {
            0 => Revision::default(),
            _ => snapshot.revision,
        };
        apply_ingress(&mut tables, declaration, changed_at);
    }
    tables
        .upstreams
        .replace(now, snapshot.upstreams, snapshot.revision, removal);
    tables.upstreams.record_received(now);
    log_quarantine_changes(&tables.quarantines, &snapshot.quarantines);
    tables
        .quarantines
        .replace(now, snapshot.quarantines, snapshot.revision);
    evacuation::replace(shared, &mut tables, snapshot.evacuations, snapshot.revision);
    tables.revision = snapshot.revision;
    tracing::info!(
        event = "catalog_adopted",
        source = ?source,
        revision = %tables.revision,
        version = tables.ingress.version(),
        upstreams = tables.upstreams.entries().count(),
        instances = snapshot.instances.len(),
    );
    membership
        .instances
        .replace(now, snapshot.instances, removal);
    go_live_if_ready(&tables, &mut membership);
}

/// Applies changes in order, unless the tables already include their revision or are of another era.
fn apply_changes(shared: &shared::Shared, changes: StoreChanges) {
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    let is_other_era = changes.revision.era() != tables.revision.era();
    if is_other_era || changes.revision <= tables.revision {
        if !changes.changes.is_empty() {
            log_outdated("changes", changes.revision, &tables);
        }
        return;
    }
    tables.change_log.append(&changes);
    for (change, removal) in changes.changes {
        apply_change(shared, &mut tables, now, change, changes.revision, removal);
    }
    tables.upstreams.record_received(now);
    tables.upstreams.remove_expired(now);
    tables.quarantines.advance(changes.revision);
    tables.revision = tables.revision.max(changes.revision);
    go_live_if_ready(&tables, &mut shared.membership.lock());
}

/// Applies one of the changes that are complete up to a revision.
fn apply_change(
    shared: &shared::Shared,
    tables: &mut shared::Tables,
    now: Timestamp,
    change: StoreChange,
    complete_at: Revision,
    removal: Removal,
) {
    match change {
        StoreChange::Ingress(declaration) => apply_ingress(tables, declaration, complete_at),
        StoreChange::Upstream(entry) => {
            tracing::info!(
                event = "upstream_listed",
                upstream = %entry.name,
                pool = %entry.pool,
                standing = ?entry.state,
                revision = %entry.revision,
            );
            tables.upstreams.upsert(entry);
        }
        StoreChange::UpstreamRemoved(name, revision) => {
            tracing::info!(event = "upstream_unlisted", upstream = %name, removal = ?removal);
            tables.upstreams.remove(now, &name, revision, removal);
        }
        StoreChange::Instance(contact) => shared.membership.lock().instances.insert(contact),
        StoreChange::InstanceRemoved(name) => {
            let mut membership = shared.membership.lock();
            membership.instances.remove(now, &name, removal);
        }
        StoreChange::Quarantine(entry) => {
            log_listed(entry);
            tables.quarantines.insert(entry);
        }
        StoreChange::QuarantineRemoved(cause, revision) => {
            log_unlisted(cause);
            tables.quarantines.remove(cause, revision);
        }
        StoreChange::Unreadable(key) => record_unreadable(shared, &key),
        StoreChange::Evacuation(entry) => evacuation::insert(shared, tables, entry),
        StoreChange::EvacuationLifted(zone, revision) => {
            evacuation::lift(shared, tables, &zone, revision);
        }
    }
}

/// Logs the entries of a snapshot that differ from the quarantine list.
fn log_quarantine_changes(known: &QuarantineList, entries: &[QuarantineListEntry]) {
    let mut unlisted: collections::BTreeMap<_, _> = known
        .stored_entries()
        .map(|entry| (entry.quarantine.cause, entry))
        .collect();
    for entry in entries {
        if unlisted.remove(&entry.quarantine.cause) != Some(entry) {
            log_listed(*entry);
        }
    }
    for cause in unlisted.into_keys() {
        log_unlisted(cause);
    }
}

fn log_listed(entry: QuarantineListEntry) {
    tracing::info!(
        event = "quarantine_listed",
        cause = %entry.quarantine.cause,
        crashes = entry.quarantine.crashes,
        revision = %entry.revision,
    );
}

fn log_unlisted(cause: CrashCause) {
    tracing::info!(event = "quarantine_unlisted", cause = %cause);
}

/// Counts and logs an entry that cannot be decoded.
fn record_unreadable(shared: &shared::Shared, key: &str) {
    shared.metrics.relay.unreadable_entries.inc();
    tracing::warn!(event = "entry_unreadable", key);
}

/// Logs an update that is not applied because the tables are newer.
fn log_outdated(kind: &str, revision: Revision, tables: &shared::Tables) {
    tracing::info!(
        event = "update_outdated",
        kind,
        revision = %revision,
        known = %tables.revision,
        version = tables.ingress.version(),
    );
}

/// Returns how to treat an entry that the store reports as deleted at `now`.
pub fn classify_removal(tables: &shared::Tables, now: Timestamp) -> Removal {
    tables.removal_doubt.classify(now)
}

/// Replaces the routing table unless it is invalid or not newer.
fn apply_ingress(
    tables: &mut shared::Tables,
    declaration: sync::Arc<limpetkeel::IngressDeclaration>,
    changed_at: Revision,
) {
    let version = declaration.version;
    match tables.ingress.replace_if_newer(declaration) {
        Ok(true) => {
            tables.ingress_changed_at = tables.ingress_changed_at.max(changed_at);
            tracing::info!(event = "routes_in_force", version);
        }
        Ok(false) => {}
        Err(e) => tracing::warn!(event = "routes_refused", version, error = %e),
    }
}

/// Moves the local instance from joining to live once it has a routing table and a ready upstream.
fn go_live_if_ready(tables: &shared::Tables, membership: &mut shared::Membership) {
    let has_table = tables.ingress.version() != 0;
    let has_ready_upstream = tables.upstreams.has_ready_upstream();
    membership
        .local_state
        .transition(|state| state.go_live(has_table, has_ready_upstream));
}
