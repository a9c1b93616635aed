//! Leases with fencing numbers.

use std::{collections, time};

/// The holder of a lease.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LeaseHolder {
    /// The name of the holder.
    pub holder: String,
    /// The fencing number. It increases whenever the lease is acquired after it expired.
    pub fencing: u64,
}

struct Lease {
    current: LeaseHolder,
    expires_at: time::Instant,
}

/// All leases, by name.
#[derive(Default)]
pub struct Leases {
    leases: parking_lot::Mutex<collections::BTreeMap<String, Lease>>,
}

impl Leases {
    /// Acquires or renews a lease, unless another holder has it. Returns the current holder.
    pub fn acquire(&self, name: &str, holder: &str, ttl: time::Duration) -> LeaseHolder {
        let now = time::Instant::now();
        let mut leases = self.leases.lock();
        let fencing = match leases.get_mut(name) {
            Some(lease) if lease.expires_at > now && lease.current.holder != holder => {
                return lease.current.clone();
            }
            Some(lease) if lease.expires_at > now => {
                lease.expires_at = now + ttl;
                return lease.current.clone();
            }
            Some(expired) => expired.current.fencing + 1,
            None => 1,
        };
        let current = LeaseHolder {
            holder: holder.to_owned(),
            fencing,
        };
        leases.insert(
            name.to_owned(),
            Lease {
                current: current.clone(),
                expires_at: now + ttl,
            },
        );
        current
    }

    /// Releases a lease if the given holder has it.
    pub fn release(&self, name: &str, holder: &str) {
        if let Some(lease) = self.leases.lock().get_mut(name)
            && lease.current.holder == holder
        {
            lease.expires_at = time::Instant::now();
        }
    }
}
