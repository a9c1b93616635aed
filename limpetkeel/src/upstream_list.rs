//! The platform's list of upstreams, by pool and availability zone.

use std::{collections, net};

use crate::name;

/// One entry of the platform's upstream list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// The name of the upstream.
    pub name: name::UpstreamName,
    /// The pool that the upstream belongs to.
    pub pool: name::PoolName,
    /// The availability zone of the upstream.
    pub availability_zone: name::AvailabilityZoneName,
    /// The address that the upstream listens on.
    pub address: net::SocketAddr,
    /// Whether the upstream is draining because the platform is removing it.
    pub draining: bool,
}

/// The last upstream list that was fetched; it stays in force while fetches fail.
#[derive(Debug, Default)]
pub struct UpstreamList {
    entries: Vec<Entry>,
    loaded: bool,
}

impl UpstreamList {
    /// Replaces the list with a fetched one.
    pub fn replace(&mut self, entries: Vec<Entry>) {
        self.entries = entries;
        self.loaded = true;
    }

    /// Returns `true` if a list has been fetched.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns all entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Lists the upstreams of a pool in an availability zone, without draining ones.
    pub fn accepting_upstreams(
        &self,
        pool: &name::PoolName,
        availability_zone: &name::AvailabilityZoneName,
    ) -> Vec<(name::UpstreamName, net::SocketAddr)> {
        self.entries
            .iter()
            .filter(|entry| entry.pool == *pool && entry.availability_zone == *availability_zone)
            .filter(|entry| !entry.draining)
            .map(|entry| (entry.name.clone(), entry.address))
            .collect()
    }

    /// Returns the availability zones in which the pool has upstreams that are not draining.
    pub fn availability_zones_of(
        &self,
        pool: &name::PoolName,
    ) -> collections::BTreeSet<name::AvailabilityZoneName> {
        self.entries
            .iter()
            .filter(|entry| entry.pool == *pool && !entry.draining)
            .map(|entry| entry.availability_zone.clone())
            .collect()
    }
}
