//! Upstreams with a free slot, ordered by the end of their prefill backlog.

use std::collections;

use crate::{name, unit};

/// An index of upstreams by the estimated end of their prefill backlog.
///
/// Updates take logarithmic time in the number of upstreams.
#[derive(Debug, Default)]
pub struct BacklogIndex {
    prefill_ends: collections::HashMap<name::UpstreamName, unit::Timestamp>,
    order: collections::BTreeSet<(unit::Timestamp, name::UpstreamName)>,
}

impl BacklogIndex {
    /// Inserts an upstream or updates its position.
    pub fn insert(&mut self, upstream: &name::UpstreamName, prefill_end: unit::Timestamp) {
        if self.prefill_ends.get(upstream) == Some(&prefill_end) {
            return;
        }
        self.remove(upstream);
        self.prefill_ends.insert(upstream.clone(), prefill_end);
        self.order.insert((prefill_end, upstream.clone()));
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &name::UpstreamName) {
        if let Some(prefill_end) = self.prefill_ends.remove(upstream) {
            self.order.remove(&(prefill_end, upstream.clone()));
        }
    }

    /// Iterates over the upstreams, the earliest end of the backlog first.
    pub fn iter(&self) -> impl Iterator<Item = &name::UpstreamName> {
        self.order.iter().map(|(_, upstream)| upstream)
    }
}
