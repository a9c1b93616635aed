//! The prefix cache and its eviction events.

use std::collections;

/// The capacity of the cache, in prefixes.
const MAX_PREFIXES: usize = 256;

/// The number of eviction events that are kept. Readers see older ones as a gap.
const MAX_EVENTS: usize = 128;

/// The evictions after a position.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Events {
    /// The position before the first event. A reader that asked for an earlier position has missed
    /// events.
    pub from: u64,
    /// The position of the latest event.
    pub last: u64,
    /// The hashes of the evicted prefixes, oldest first.
    pub evicted: Vec<u64>,
}

/// A cache of prefixes with LRU eviction.
#[derive(Default)]
pub struct Cache {
    /// The hashes of the cached prefixes, the least recently used at the front.
    prefixes: collections::VecDeque<u64>,
    /// The hashes of the latest evicted prefixes, oldest first.
    evicted: collections::VecDeque<u64>,
    /// The position of the latest eviction.
    last_position: u64,
}

impl Cache {
    /// Returns the length of the longest cached prefix, in tokens.
    pub fn cached_tokens(&self, prefixes: &[limpetkeel::Prefix]) -> u64 {
        let longest = prefixes
            .iter()
            .rev()
            .find(|prefix| self.prefixes.contains(&prefix.hash));
        longest.map_or(0, |prefix| prefix.bytes.0 / super::BYTES_PER_TOKEN)
    }

    /// Inserts prefixes, or marks them as used, and evicts the least recently used ones beyond the
    /// capacity.
    pub fn insert(&mut self, prefixes: &[limpetkeel::Prefix]) {
        for prefix in prefixes {
            self.prefixes.retain(|cached| *cached != prefix.hash);
            self.prefixes.push_back(prefix.hash);
        }
        while self.prefixes.len() > MAX_PREFIXES {
            let Some(hash) = self.prefixes.pop_front() else {
                break;
            };
            self.evicted.push_back(hash);
            self.last_position += 1;
        }
        while self.evicted.len() > MAX_EVENTS {
            self.evicted.pop_front();
        }
    }

    /// Returns the evictions after a position, as far as they are kept.
    pub fn events(&self, after: u64) -> Events {
        let oldest = self.last_position - self.evicted.len() as u64;
        let from = after.clamp(oldest, self.last_position);
        let skip = (from - oldest) as usize;
        Events {
            from,
            last: self.last_position,
            evicted: self.evicted.iter().skip(skip).copied().collect(),
        }
    }
}
