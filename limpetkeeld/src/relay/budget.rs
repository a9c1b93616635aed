//! The budget of repeated sends, as requests use it.

use limpetkeel::{Exchange, PlacedExchange, Sent};

use crate::relay::shared;

/// The budget has no repeat left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spent;

/// Tells whether a request could be sent again if its present attempt failed now.
pub fn may_resend(shared: &shared::Shared, exchange: &Exchange<Sent>) -> bool {
    let now = shared.clock.now();
    let bound = shared.retry_bound();
    let instances = shared.membership.lock().roll.len();
    let mut retries = shared.retries.lock();
    let window = retries.get_mut(&exchange.subject().pool);
    let allowed = window.is_some_and(|window| window.allows(now, &bound, instances));
    allowed && exchange.may_send(now).is_ok()
}

/// Counts a first send, or takes a repeated one out of the budget.
///
/// # Errors
///
/// Fails if the budget is spent.
pub fn spend(shared: &shared::Shared, placed: &Exchange<PlacedExchange>) -> Result<(), Spent> {
    let now = shared.clock.now();
    let bound = shared.retry_bound();
    let instances = shared.membership.lock().roll.len();
    let mut retries = shared.retries.lock();
    let window = retries.entry(placed.subject().pool.clone()).or_default();
    if placed.sends() == 0 {
        window.note_request(now, &bound);
        return Ok(());
    }
    if window.spend(now, &bound, instances) {
        Ok(())
    } else {
        Err(Spent)
    }
}
