//! Applies, logs and counts the evacuations of availability zones.

use limpetkeel::{AvailabilityZoneName, EvacuationEntry, Revision};

use crate::relay::shared;

/// Applies an evacuation.
pub fn insert(shared: &shared::Shared, tables: &mut shared::Tables, entry: EvacuationEntry) {
    let (zone, revision) = (entry.availability_zone.clone(), entry.revision);
    if tables.evacuations.insert(entry) {
        log_evacuated(&zone, revision);
        update_gauge(shared, tables);
    }
}

/// Applies the deletion of an evacuation.
pub fn lift(
    shared: &shared::Shared,
    tables: &mut shared::Tables,
    zone: &AvailabilityZoneName,
    at: Revision,
) {
    if tables.evacuations.lift(shared.clock.now(), zone, at) {
        record_lift(shared, tables, zone, at, "deleted");
        update_gauge(shared, tables);
    }
}

/// Replaces the evacuations with those of a snapshot.
pub fn replace(
    shared: &shared::Shared,
    tables: &mut shared::Tables,
    entries: Vec<EvacuationEntry>,
    at: Revision,
) {
    let changes = tables.evacuations.replace(shared.clock.now(), entries, at);
    for zone in &changes.evacuated {
        log_evacuated(zone, at);
    }
    for zone in &changes.lifted {
        record_lift(shared, tables, zone, at, "unlisted");
    }
    update_gauge(shared, tables);
}

/// Lifts the evacuations that a restored store has not listed in time.
pub fn remove_expired(shared: &shared::Shared, tables: &mut shared::Tables) {
    let at = tables.revision;
    let lifted = tables.evacuations.remove_expired(shared.clock.now(), at);
    for zone in &lifted {
        record_lift(shared, tables, zone, at, "lost");
    }
    if !lifted.is_empty() {
        update_gauge(shared, tables);
    }
}

fn update_gauge(shared: &shared::Shared, tables: &shared::Tables) {
    let evacuated = tables.evacuations.zones().len() as i64;
    shared.metrics.relay.evacuated_zones.set(evacuated);
}

fn log_evacuated(zone: &AvailabilityZoneName, revision: Revision) {
    tracing::info!(event = "zone_evacuated", zone = %zone, revision = %revision);
}

/// Logs a lift. The upstreams of the zone may have become cold while they got no requests, so that they
/// count as cold from now on.
fn record_lift(
    shared: &shared::Shared,
    tables: &mut shared::Tables,
    zone: &AvailabilityZoneName,
    revision: Revision,
    reason: &str,
) {
    let now = shared.clock.now();
    tables.upstreams.restart_cold_periods(now, zone);
    tracing::info!(event = "zone_evacuation_lifted", zone = %zone, revision = %revision, reason);
}
