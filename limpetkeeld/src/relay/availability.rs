//! Records what upstreams say about further requests, and checks plans against it.

use limpetkeel::{Plan, PoolName, UpstreamAddress, UpstreamName, UpstreamProcess};

use crate::relay::{port, shared};

/// Returns the process to which a request to an upstream of a pool is sent now, or `None` if the
/// registry lists another one.
pub fn process_at(
    shared: &shared::Shared,
    pool: &PoolName,
    upstream: &UpstreamAddress,
) -> Option<UpstreamProcess> {
    UpstreamProcess::at(&shared.tables.lock().upstreams, pool, upstream)
}

/// Records what the response of an upstream process says about further requests.
pub fn record_response(
    shared: &shared::Shared,
    process: &UpstreamProcess,
    response_head: &port::ResponseHead,
) {
    if !response_head.leaving {
        return;
    }
    let is_new = {
        let tables = shared.tables.lock();
        let mut availability = shared.availability.lock();
        availability.record_leaving(&tables.upstreams, process.clone())
    };
    if is_new {
        let unavailable = &shared.metrics.relay.unavailable_upstreams;
        unavailable.with_label_values(&["leaving"]).inc();
        tracing::info!(
            event = "upstream_unavailable",
            upstream = %process.name(),
            reason = "leaving",
        );
    }
}

/// Returns the upstreams of a pool that accept no requests from this instance.
pub fn unavailable_upstreams(shared: &shared::Shared, pool: &PoolName) -> Vec<UpstreamName> {
    let now = shared.clock.now();
    shared.availability.lock().unavailable_upstreams(now, pool)
}

/// Returns the first upstream of a plan that accepts no requests from this instance. It may have
/// said so after the plan was requested.
pub fn find_unavailable<'a>(shared: &shared::Shared, plan: &'a Plan) -> Option<&'a UpstreamName> {
    let now = shared.clock.now();
    let availability = shared.availability.lock();
    let helpers = plan.helpers.iter().map(|helper| &helper.engine);
    let mut engines = [&plan.lead].into_iter().chain(helpers);
    engines
        .find(|engine| !availability.is_available(now, &engine.upstream))
        .map(|engine| &engine.upstream)
}
