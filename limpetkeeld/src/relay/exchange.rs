//! The requests in progress on this instance.

use std::sync;

use limpetkeel::Timestamp;

use crate::relay::shared;

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The caller's ID of the request.
    pub request: sync::Arc<str>,
    /// When the request arrived.
    pub received: Timestamp,
}

/// Keeps a request counted as in progress until it is dropped.
pub struct ExchangeGuard {
    shared: sync::Arc<shared::Shared>,
    key: u64,
}

impl ExchangeGuard {
    /// Counts a request as in progress.
    pub fn begin(shared: &sync::Arc<shared::Shared>, exchange: Exchange) -> ExchangeGuard {
        let mut requests = shared.requests.lock();
        let key = requests.next_exchange;
        requests.next_exchange += 1;
        requests.in_progress.insert(key, exchange);
        ExchangeGuard {
            shared: shared.clone(),
            key,
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.shared.requests.lock().in_progress.remove(&self.key);
    }
}
