//! The orders that an upstream has received.

use std::collections;

use platform::names;

use crate::deployment::upstream;

impl upstream::Upstream {
    /// Returns the ids of the reservations that were named in orders of one kind.
    pub fn reservation_ids(&self, operation: &str) -> collections::BTreeSet<String> {
        let received = self.received();
        let orders = received
            .iter()
            .filter(|request| request.request_line.contains(names::ORDER_PATH))
            .filter_map(|request| serde_json::from_slice::<serde_json::Value>(&request.body).ok())
            .filter(|order| order["operation"] == operation);
        orders
            .filter_map(|order| order["id"].as_str().map(str::to_owned))
            .collect()
    }
}
