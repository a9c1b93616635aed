//! The requests in progress on this instance, from the request head until their response has been
//! written.

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
    request: sync::Arc<str>,
    key: u64,
}

/// The exchange on a connection. It counts as in progress until the next one begins or the
/// connection is closed, since only closing a connection tells that a response has been written.
#[derive(Default)]
pub struct ConnectionExchange(parking_lot::Mutex<Option<ExchangeGuard>>);

impl ConnectionExchange {
    /// Replaces the previous exchange of the connection.
    pub fn begin(&self, shared: &sync::Arc<shared::Shared>, exchange: Exchange) {
        let guard = ExchangeGuard::begin(shared, exchange);
        let previous = self.0.lock().replace(guard);
        drop(previous);
    }

    /// Returns the caller's ID of the latest request of the connection, if there was one.
    pub fn latest_request(&self) -> Option<sync::Arc<str>> {
        self.0.lock().as_ref().map(|guard| guard.request.clone())
    }
}

impl ExchangeGuard {
    /// Counts a request as in progress.
    pub fn begin(shared: &sync::Arc<shared::Shared>, exchange: Exchange) -> ExchangeGuard {
        let mut requests = shared.requests.lock();
        let key = requests.next_exchange;
        requests.next_exchange += 1;
        let request = exchange.request.clone();
        requests.in_progress.insert(key, exchange);
        ExchangeGuard {
            shared: shared.clone(),
            request,
            key,
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.shared.requests.lock().in_progress.remove(&self.key);
    }
}
