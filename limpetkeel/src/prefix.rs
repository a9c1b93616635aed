//! An index of the prompt prefixes that upstreams probably cache.

use std::collections;

use xxhash_rust::xxh3;

use crate::{name, unit};

/// The number of entries that completes a generation; the index has at most two generations.
const GENERATION_ENTRIES: usize = 16_384;

/// A bounded map from prefix hashes to the upstream that last cached the prefix.
///
/// When the current generation is full, it replaces the previous one, whose entries are dropped.
/// This bounds the memory and keeps the cost of an insertion constant.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    current: collections::HashMap<u64, name::UpstreamName>,
    previous: collections::HashMap<u64, name::UpstreamName>,
}

impl PrefixIndex {
    /// Records that an upstream caches these prefixes.
    pub fn insert(&mut self, prefixes: &[u64], upstream: &name::UpstreamName) {
        for prefix in prefixes {
            self.current.insert(*prefix, upstream.clone());
        }
        if self.current.len() >= GENERATION_ENTRIES {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Returns the upstream that caches the longest of the prefixes, which are sorted by length.
    pub fn longest_match(&self, prefixes: &[u64]) -> Option<&name::UpstreamName> {
        prefixes.iter().rev().find_map(|prefix| self.get(*prefix))
    }

    fn get(&self, prefix: u64) -> Option<&name::UpstreamName> {
        self.current
            .get(&prefix)
            .or_else(|| self.previous.get(&prefix))
    }

    /// Removes a prefix that the upstream has evicted from its cache.
    pub fn remove(&mut self, prefix: u64, upstream: &name::UpstreamName) {
        for generation in [&mut self.current, &mut self.previous] {
            if generation.get(&prefix) == Some(upstream) {
                generation.remove(&prefix);
            }
        }
    }

    /// Removes all entries of an upstream, after a gap in its cache events or its removal.
    pub fn remove_upstream(&mut self, upstream: &name::UpstreamName) {
        self.current.retain(|_, cached_on| cached_on != upstream);
        self.previous.retain(|_, cached_on| cached_on != upstream);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns `true` if the index has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The prefix lengths that are hashed, in bytes.
const PREFIX_LENGTHS: [usize; 4] = [4_096, 16_384, 65_536, 262_144];

/// A prefix of a prompt that an upstream may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of the prefix.
    pub hash: u64,
    /// The length of the prefix.
    pub bytes: unit::Bytes,
}

impl Prefix {
    /// Hashes the prefixes of a prompt, in ascending order of length.
    pub fn hash_prefixes(prompt: &[u8]) -> Vec<Prefix> {
        let mut hasher = xxh3::Xxh3::new();
        let mut hashed = 0;
        let mut prefixes = Vec::new();
        for length in PREFIX_LENGTHS
            .into_iter()
            .take_while(|length| *length <= prompt.len())
        {
            hasher.update(&prompt[hashed..length]);
            hashed = length;
            let bytes = unit::Bytes(length as u64);
            prefixes.push(Prefix {
                hash: hasher.digest(),
                bytes,
            });
        }
        prefixes
    }
}
