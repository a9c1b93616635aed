//! Orders to serve a version, protected by fencing numbers.

use std::sync::atomic;

/// An order to serve a version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The fencing number of the lease of the sender.
    pub fencing: u64,
    /// The version to serve.
    pub version: String,
}

/// The applied orders.
pub struct Orders {
    ignores_fencing: bool,
    applied: parking_lot::Mutex<Vec<Order>>,
    requests_during_switch: atomic::AtomicU64,
}

impl Orders {
    /// Creates an empty list of orders; `ignores_fencing` disables the check of fencing numbers.
    pub fn new(ignores_fencing: bool) -> Orders {
        Orders {
            ignores_fencing,
            applied: parking_lot::Mutex::default(),
            requests_during_switch: atomic::AtomicU64::new(0),
        }
    }

    /// Applies an order and returns `true`, unless its fencing number is lower than that of an applied
    /// order.
    pub fn apply(&self, order: Order, active_requests: usize) -> bool {
        let mut applied = self.applied.lock();
        let highest = applied.iter().map(|order| order.fencing).max().unwrap_or(0);
        if order.fencing < highest && !self.ignores_fencing {
            return false;
        }
        let same_version = applied
            .last()
            .is_some_and(|last| last.version == order.version);
        if !same_version {
            self.requests_during_switch
                .fetch_add(active_requests as u64, atomic::Ordering::Relaxed);
        }
        applied.push(order);
        true
    }

    /// Returns the applied orders, oldest first.
    pub fn applied(&self) -> Vec<Order> {
        self.applied.lock().clone()
    }

    /// Returns the total number of requests that were waiting or running, and of reservations that
    /// were held, when the version changed.
    pub fn requests_during_switch(&self) -> u64 {
        self.requests_during_switch.load(atomic::Ordering::Relaxed)
    }

    /// Returns the current version, if an order was applied.
    pub fn version(&self) -> Option<String> {
        self.applied
            .lock()
            .last()
            .map(|order| order.version.clone())
    }
}
