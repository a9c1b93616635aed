//! Puts what the store or a peer tells in force.

use std::sync;

use limpetkeel::{Catalog, Removal, StoreChange, StoreChanges, Timestamp};

use crate::relay::{jobs, shared};

/// Returns the catalog for a peer whose revision is older.
pub fn catalog(shared: &shared::Shared, than: limpetkeel::Revision) -> Option<Catalog> {
    let in_force = shared.in_force.lock();
    if in_force.revision <= than {
        return None;
    }
    Some(whole(shared, &in_force))
}

/// Returns everything that is known.
pub fn whole(shared: &shared::Shared, in_force: &shared::InForce) -> Catalog {
    Catalog {
        revision: in_force.revision,
        ingress: in_force.ingress.declaration().cloned(),
        upstreams: in_force.roster.entries().cloned().collect(),
        instances: shared.membership.lock().roll.listed(),
    }
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
    in_force.log.reset(catalog.revision);
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
pub fn apply(shared: &shared::Shared, changes: StoreChanges) {
    let now = shared.clock.now();
    let mut in_force = shared.in_force.lock();
    if changes.revision <= in_force.revision {
        return;
    }
    in_force.log.append(&changes);
    for (change, removal) in changes.changes {
        apply_one(shared, &mut in_force, now, change, removal);
    }
    in_force.roster.sweep(now);
    in_force.revision = in_force.revision.max(changes.revision);
    go_live(&in_force, &mut shared.membership.lock());
}

fn apply_one(
    shared: &shared::Shared,
    in_force: &mut shared::InForce,
    now: Timestamp,
    change: StoreChange,
    removal: Removal,
) {
    match change {
        StoreChange::Ingress(declaration) => adopt_ingress(in_force, declaration),
        StoreChange::Upstream(entry) => {
            tracing::info!(
                event = "upstream_listed",
                upstream = %entry.name,
                pool = %entry.pool,
                standing = ?entry.standing,
                revision = %entry.revision,
            );
            in_force.roster.upsert(entry);
        }
        StoreChange::UpstreamGone(name, revision) => {
            tracing::info!(event = "upstream_unlisted", upstream = %name, removal = ?removal);
            in_force.roster.remove(now, &name, revision, removal);
        }
        StoreChange::Instance(contact) => shared.membership.lock().roll.list(contact),
        StoreChange::InstanceGone(name) => shared.membership.lock().roll.unlist(&name),
        StoreChange::Unreadable(key) => {
            shared.metrics.relay.unreadable.inc();
            tracing::warn!(event = "entry_unreadable", key);
        }
    }
}

/// Tells what a deletion means that the store shows now.
pub fn removal(in_force: &shared::InForce, now: Timestamp) -> Removal {
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
    membership
        .own
        .transition(|stage| stage.go_live(version, serving));
}
