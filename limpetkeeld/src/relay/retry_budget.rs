//! The retry budget shared by all requests of a pool.

use limpetkeel::{PlacedRelayedRequest, RelayedRequest, Routed, Sent};

use crate::relay::shared;

/// The retry budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

/// Returns `true` if the request may be retried, should its current attempt fail now.
pub fn may_retry<S>(shared: &shared::Shared, relayed: &RelayedRequest<S>) -> bool {
    let now = shared.clock.now();
    let limit = shared.retry_limit();
    let instances = shared.membership.lock().instances.len();
    let mut retry_windows = shared.retry_windows.lock();
    let window = retry_windows.get_mut(&relayed.info().pool);
    let allowed = window.is_some_and(|window| window.allows(now, &limit, instances));
    allowed && relayed.check_send(now).is_ok()
}

/// Returns `true` if the request may be sent again, should its next attempt fail.
pub fn is_repeatable(shared: &shared::Shared, relayed: &RelayedRequest<Routed>) -> bool {
    if !relayed.is_repeatable() {
        return false;
    }
    let now = shared.clock.now();
    let limit = shared.retry_limit();
    let instances = shared.membership.lock().instances.len();
    let mut retry_windows = shared.retry_windows.lock();
    let window = retry_windows
        .entry(relayed.info().pool.clone())
        .or_default();
    window.allows(now, &limit, instances)
}

/// Records a first send, or deducts a retry from the pool's budget.
///
/// # Errors
///
/// Returns [`Exhausted`] if the budget is exhausted.
pub fn take(
    shared: &shared::Shared,
    placed: &RelayedRequest<PlacedRelayedRequest>,
) -> Result<(), Exhausted> {
    let now = shared.clock.now();
    let limit = shared.retry_limit();
    let instances = shared.membership.lock().instances.len();
    let mut retry_windows = shared.retry_windows.lock();
    let window = retry_windows.entry(placed.info().pool.clone()).or_default();
    if placed.send_count() == 0 {
        window.record_request(now, &limit);
        return Ok(());
    }
    if window.take(now, &limit, instances) {
        Ok(())
    } else {
        Err(Exhausted)
    }
}

/// Deducts the second send of a hedged request from the pool's budget.
///
/// # Errors
///
/// Returns [`Exhausted`] if the budget is exhausted.
pub fn take_hedge(
    shared: &shared::Shared,
    relayed: &RelayedRequest<Sent>,
) -> Result<(), Exhausted> {
    let now = shared.clock.now();
    let limit = shared.retry_limit();
    let instances = shared.membership.lock().instances.len();
    let mut retry_windows = shared.retry_windows.lock();
    let window = retry_windows.get_mut(&relayed.info().pool);
    let taken = window.is_some_and(|window| window.take(now, &limit, instances));
    taken.then_some(()).ok_or(Exhausted)
}
