//! Records what upstreams say about further requests, and checks plans against it.

use limpetkeel::{
    AnnouncedLimit, LimitNotice, Millis, Plan, PoolName, UpstreamAddress, UpstreamName,
    UpstreamProcess,
};

use crate::{
    peer::message,
    relay::{port, shared},
};

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
    record_limit(shared, process, response_head);
    let retry_after = response_head.retry_after;
    if !response_head.leaving && retry_after.is_none() {
        return;
    }
    let now = shared.clock.now();
    let (is_leaving, is_paused) = {
        let tables = shared.tables.lock();
        let mut availability = shared.availability.lock();
        let leaving = response_head.leaving;
        (
            leaving && availability.record_leaving(&tables.upstreams, process.clone()),
            retry_after.is_some_and(|pause| {
                availability.record_pause(now, &tables.upstreams, process.clone(), pause)
            }),
        )
    };
    let reasons = [(is_leaving, "leaving"), (is_paused, "paused")];
    for (_, reason) in reasons.into_iter().filter(|(is_new, _)| *is_new) {
        let unavailable = &shared.metrics.relay.unavailable_upstreams;
        unavailable.with_label_values(&[reason]).inc();
        tracing::info!(
            event = "upstream_unavailable",
            upstream = %process.name(),
            reason,
            pause_ms = retry_after.map_or(0, |pause| pause.0),
        );
    }
}

/// Records what a response says about the request limit of its upstream. A decline without a limit
/// may come from another process at the address, so it does not end one.
fn record_limit(
    shared: &shared::Shared,
    process: &UpstreamProcess,
    response_head: &port::ResponseHead,
) {
    let limit = match response_head.limit {
        Some(AnnouncedLimit::Unlimited) if !response_head.signed => return,
        Some(limit) if response_head.signed || response_head.declined => limit,
        _ => return,
    };
    let now = shared.clock.now();
    let has_changed = {
        let tables = shared.tables.lock();
        let mut availability = shared.availability.lock();
        availability.record_limit(now, &tables.upstreams, process, limit)
    };
    if has_changed {
        shared.metrics.relay.limit_changes.inc();
        tracing::info!(
            event = "upstream_limit",
            upstream = %process.name(),
            per_second = match limit {
                AnnouncedLimit::Unlimited => None,
                AnnouncedLimit::Limited(rate) => Some(f64::from(rate)),
            },
        );
    }
}

/// Returns `true` if an upstream accepts requests from this instance.
pub fn is_available(shared: &shared::Shared, upstream: &UpstreamName) -> bool {
    let now = shared.clock.now();
    shared.availability.lock().is_available(now, upstream)
}

/// Records what an upstream process said in a response that passed through this instance.
pub fn record_statement(shared: &shared::Shared, statement: &message::UpstreamStatement) {
    let response_head = port::ResponseHead {
        // The instance that received the response has checked whose it is.
        signed: true,
        leaving: statement.leaving,
        retry_after: statement.retry_after,
        limit: statement.limit,
        ..port::ResponseHead::default()
    };
    record_response(shared, &statement.process, &response_head);
}

/// Returns what a response says about further requests, if it says anything. A limit is part of it
/// only if the response counts as one of the process.
pub fn statement(
    process: &UpstreamProcess,
    response_head: &port::ResponseHead,
) -> Option<message::UpstreamStatement> {
    let is_limited = matches!(response_head.limit, Some(AnnouncedLimit::Limited(_)));
    let limit = response_head
        .limit
        .filter(|_| is_limited && (response_head.signed || response_head.declined));
    let says_nothing =
        !response_head.leaving && response_head.retry_after.is_none() && limit.is_none();
    (!says_nothing).then(|| message::UpstreamStatement {
        process: process.clone(),
        leaving: response_head.leaving,
        retry_after: response_head.retry_after,
        limit,
    })
}

/// Returns the request limits that the upstreams of a pool have announced.
pub fn limit_notices(shared: &shared::Shared, pool: &PoolName) -> Vec<LimitNotice> {
    let now = shared.clock.now();
    shared.availability.lock().limit_notices(now, pool)
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

/// Returns how long every listed upstream of a pool wants no requests from this instance.
///
/// Returns `None` if an upstream accepts requests, or if no upstream has said when it does again.
pub fn pool_pause(shared: &shared::Shared, pool: &PoolName) -> Option<Millis> {
    let now = shared.clock.now();
    let upstreams = {
        let tables = shared.tables.lock();
        let mut upstreams = tables.upstreams.ready_upstreams(pool);
        upstreams.retain(|entry| !tables.evacuations.contains(&entry.availability_zone));
        upstreams
    };
    let availability = shared.availability.lock();
    let wait = availability.time_until_available(now, &upstreams);
    wait.filter(|wait| *wait > Millis::ZERO)
}
