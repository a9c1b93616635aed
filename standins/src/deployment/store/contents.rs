//! The contents of the store, which it loses when it goes back to a copy.

use std::{collections, time};

use platform::wire;

#[derive(Clone, Debug)]
struct Lease {
    expires_at: time::Instant,
    ttl: time::Duration,
}

/// A copy of what the store loses when it is restored from it.
#[derive(Clone, Debug)]
pub struct Contents {
    pub(super) items: collections::BTreeMap<String, wire::Item>,
    /// The changes after `compacted_revision`, oldest first.
    pub(super) history: Vec<wire::Item>,
    /// The history does not contain changes up to this revision.
    pub(super) compacted_revision: u64,
    pub(super) revision: u64,
    leases: collections::BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Default for Contents {
    fn default() -> Contents {
        Contents {
            items: collections::BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            revision: 1,
            leases: collections::BTreeMap::new(),
            next_lease: 1,
        }
    }
}

impl Contents {
    pub(super) fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.create_rev);
        let item = wire::Item {
            key: key.to_owned(),
            value: Some(value),
            revision: self.revision,
            create_rev: created,
            lease,
            deleted: false,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(item);
    }

    pub(super) fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(wire::Item {
            key: key.to_owned(),
            revision: self.revision,
            deleted: true,
            ..wire::Item::default()
        });
    }

    /// Revokes a lease and deletes its items. Returns `false` if the lease does not exist.
    pub(super) fn revoke_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<_> = self
            .items
            .values()
            .filter(|item| item.lease == id)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        existed
    }

    pub(super) fn revoke_expired_leases(&mut self) {
        let now = time::Instant::now();
        let expired: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Grants a lease and returns its number.
    pub(super) fn grant_lease(&mut self, ttl: time::Duration) -> u64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = time::Instant::now() + ttl;
        self.leases.insert(id, Lease { expires_at, ttl });
        id
    }

    /// Renews a lease. Returns `false` if it does not exist.
    pub(super) fn renew_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = time::Instant::now() + lease.ttl;
        true
    }

    /// Returns `true` if a lease exists.
    pub(super) fn has_lease(&self, id: u64) -> bool {
        self.leases.contains_key(&id)
    }
}
