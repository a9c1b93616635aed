//! A rate limiter with fixed windows of one second.

use std::time;

/// Limits the amount that is acquired per window.
pub struct RateLimiter {
    limit: u32,
    /// The start of the current window and the amount acquired in it.
    window: parking_lot::Mutex<(time::Instant, u32)>,
}

impl RateLimiter {
    /// Creates a limiter that admits up to `limit` per second.
    pub fn new(limit: u32) -> RateLimiter {
        RateLimiter {
            limit,
            window: parking_lot::Mutex::new((time::Instant::now(), 0)),
        }
    }

    /// Acquires an amount and returns `true`, unless it would exceed the limit of the current window.
    pub fn try_acquire(&self, amount: u32) -> bool {
        let now = time::Instant::now();
        let mut window = self.window.lock();
        if now.duration_since(window.0) >= time::Duration::from_secs(1) {
            *window = (now, 0);
        }
        if window.1.saturating_add(amount) > self.limit {
            return false;
        }
        window.1 += amount;
        true
    }
}
