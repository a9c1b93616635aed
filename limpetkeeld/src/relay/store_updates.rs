//! Applies snapshots and changes from the store or a peer to the shared tables.

use std::{collections, sync};

use limpetkeel::{
    PartId, QuarantineList, QuarantineListEntry, Removal, Revision, StoreChange, StoreChanges,
    StoreSnapshot, Timestamp,
};

use crate::relay::{jobs, shared};

/// Returns the complete snapshot if its revision is newer than `revision`.
pub fn snapshot_after(
    shared: &shared::Shared,
    revision: limpetkeel::Revision,
) -> Option<StoreSnapshot> {
    let tables = shared.tables.lock();
    if tables.revision <= revision {
        return None;
    }
    Some(full_snapshot(shared, &tables))
}

/// Returns the complete snapshot of the shared tables.
pub fn full_snapshot(shared: &shared::Shared, tables: &shared::Tables) -> StoreSnapshot {
    StoreSnapshot {
        revision: tables.revision,
        ingress: tables.ingress.declaration().cloned(),
        upstreams: tables.upstreams.entries().cloned().collect(),
        instances: shared.membership.lock().instances.contacts(),
        quarantines: tables.quarantines.stored_entries().copied().collect(),
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
///
/// Upstreams missing from a peer's snapshot are always removed as [`Removal::Doubtful`].
fn apply_snapshot(shared: &shared::Shared, snapshot: StoreSnapshot, source: jobs::SnapshotSource) {
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    if snapshot.revision < tables.revision {
        log_outdated("snapshot", snapshot.revision, &tables);
        return;
    }
    for key in &snapshot.unreadable {
        record_unreadable(shared, key);
    }
    let removal = match source {
        jobs::SnapshotSource::Store => classify_removal(&tables, now),
        jobs::SnapshotSource::Peer => Removal::Doubtful,
    };
    let mut membership = shared.membership.lock();
    if tables.revision == Revision::default() {
        tables.change_log.reset(snapshot.revision);
    } else {
        let changes = snapshot.changes_from(
            tables.ingress.version(),
            &tables.upstreams,
            &membership.instances,
            &tables.quarantines,
            removal,
        );
        tables.change_log.append(&changes);
    }
    if let Some(declaration) = snapshot.ingress {
        apply_ingress(&mut tables, declaration);
    }
    tables
        .upstreams
        .replace(now, snapshot.upstreams, snapshot.revision, removal);
    log_quarantine_changes(&tables.quarantines, &snapshot.quarantines);
    tables
        .quarantines
        .replace(snapshot.quarantines, snapshot.revision);
    tables.revision = snapshot.revision;
    tracing::info!(
        event = "catalog_adopted",
        source = ?source,
        revision = %tables.revision,
        version = tables.ingress.version(),
        upstreams = tables.upstreams.entries().count(),
        instances = snapshot.instances.len(),
    );
    membership.instances.replace(snapshot.instances);
    go_live_if_ready(&tables, &mut membership);
}

/// Applies changes in order, unless the tables already include their revision.
fn apply_changes(shared: &shared::Shared, changes: StoreChanges) {
    let now = shared.clock.now();
    let mut tables = shared.tables.lock();
    if changes.revision <= tables.revision {
        if !changes.changes.is_empty() {
            log_outdated("changes", changes.revision, &tables);
        }
        return;
    }
    tables.change_log.append(&changes);
    for (change, removal) in changes.changes {
        apply_change(shared, &mut tables, now, change, removal);
    }
    tables.upstreams.remove_expired(now);
    tables.quarantines.advance(changes.revision);
    tables.revision = tables.revision.max(changes.revision);
    go_live_if_ready(&tables, &mut shared.membership.lock());
}

fn apply_change(
    shared: &shared::Shared,
    tables: &mut shared::Tables,
    now: Timestamp,
    change: StoreChange,
    removal: Removal,
) {
    match change {
        StoreChange::Ingress(declaration) => apply_ingress(tables, declaration),
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
        StoreChange::InstanceRemoved(name) => shared.membership.lock().instances.remove(&name),
        StoreChange::Quarantine(entry) => {
            log_listed(entry);
            tables.quarantines.insert(entry);
        }
        StoreChange::QuarantineRemoved(part, revision) => {
            log_unlisted(part);
            tables.quarantines.remove(part, revision);
        }
        StoreChange::Unreadable(key) => record_unreadable(shared, &key),
    }
}

/// Logs the entries of a snapshot that differ from the quarantine list.
fn log_quarantine_changes(known: &QuarantineList, entries: &[QuarantineListEntry]) {
    let mut unlisted: collections::BTreeMap<_, _> = known
        .stored_entries()
        .map(|entry| (entry.quarantine.part, entry))
        .collect();
    for entry in entries {
        if unlisted.remove(&entry.quarantine.part) != Some(entry) {
            log_listed(*entry);
        }
    }
    for part in unlisted.into_keys() {
        log_unlisted(part);
    }
}

fn log_listed(entry: QuarantineListEntry) {
    tracing::info!(
        event = "quarantine_listed",
        part = %format_args!("{:016x}", entry.quarantine.part.0),
        crashes = entry.quarantine.crashes,
        revision = %entry.revision,
    );
}

fn log_unlisted(part: PartId) {
    tracing::info!(event = "quarantine_unlisted", part = %format_args!("{:016x}", part.0));
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
    if now < tables.doubtful_until {
        Removal::Doubtful
    } else {
        Removal::Certain
    }
}

/// Replaces the routing table unless it is invalid or not newer.
fn apply_ingress(
    tables: &mut shared::Tables,
    declaration: sync::Arc<limpetkeel::IngressDeclaration>,
) {
    let version = declaration.version;
    match tables.ingress.replace_if_newer(declaration) {
        Ok(true) => tracing::info!(event = "routes_in_force", version),
        Ok(false) => {}
        Err(e) => tracing::warn!(event = "routes_refused", version, error = %e),
    }
}

/// Moves the local instance from joining to live once it has a routing table and a ready upstream.
fn go_live_if_ready(tables: &shared::Tables, membership: &mut shared::Membership) {
    let version = limpetkeel::Revision(tables.ingress.version());
    let has_ready_upstream = tables.upstreams.has_ready_upstream();
    membership
        .local_state
        .transition(|state| state.go_live(version, has_ready_upstream));
}
