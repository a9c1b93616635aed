//! The network paths from this instance to upstreams.
//!
//! A path is `Direct` as long as connections of the instance itself are established. If they fail
//! while a peer reaches the upstream, the path becomes `Severed`: connections go through the peer,
//! and the path is probed now and then until a connection of the instance itself succeeds. An
//! upstream that no peer reaches either has no severed path; it is the upstream that failed.

use std::collections;

use xxhash_rust::xxh3;

use crate::{member, name, unit, upstream_registry};

/// The time between two probes of severed paths.
const PROBE_INTERVAL: unit::Millis = unit::Millis(250);

/// How long a peer that did not reach an upstream is passed over for it.
const PEER_BACKOFF: unit::Millis = unit::Millis(2_000);

/// How long no peer is asked for an upstream that none has reached.
const SEARCH_BACKOFF: unit::Millis = unit::Millis(300);

/// The most peers that are asked for one connection.
const MAX_CANDIDATES: usize = 4;

/// How long the time of a connection is remembered. An attempt to connect takes less.
const CONNECTION_RETENTION: unit::Millis = unit::Millis(1_000);

/// The state of a path on which the instance connects by itself.
#[derive(Debug, Default)]
struct Direct {
    /// The time until which no peer is asked, since none reached the upstream.
    search_after: unit::Timestamp,
    /// When the instance last connected, if that is remembered.
    connected_at: Option<unit::Timestamp>,
}

/// The state of a path on which only a peer connects.
#[derive(Debug)]
struct Severed {
    peer: name::InstanceName,
}

/// The path to one upstream in a state.
#[derive(Debug)]
struct Path<S> {
    state: S,
}

impl Path<Direct> {
    fn new(state: Direct) -> Path<Direct> {
        Path { state }
    }

    /// Returns `true` if the instance has connected since `started`.
    fn has_connected_since(&self, started: unit::Timestamp) -> bool {
        self.state.connected_at.is_some_and(|at| at >= started)
    }

    fn sever(self, peer: name::InstanceName) -> Path<Severed> {
        Path {
            state: Severed { peer },
        }
    }
}

impl Path<Severed> {
    fn change_peer(&mut self, peer: name::InstanceName) {
        self.state.peer = peer;
    }
}

/// A path in any state.
#[derive(Debug)]
enum PathState {
    Direct(Path<Direct>),
    Severed(Path<Severed>),
}

/// The paths from this instance to upstreams. A path that is not listed is direct.
#[derive(Debug, Default)]
pub struct UpstreamPaths {
    paths: collections::BTreeMap<name::UpstreamName, PathState>,
    /// The peers that did not reach an upstream, with the time until which they are passed over.
    failed_peers: collections::BTreeMap<(name::InstanceName, name::UpstreamName), unit::Timestamp>,
    /// When the next severed path may be probed.
    next_probe: unit::Timestamp,
}

impl UpstreamPaths {
    /// Returns `true` if the instance reaches an upstream only through a peer.
    pub fn is_severed(&self, upstream: &name::UpstreamName) -> bool {
        self.peer(upstream).is_some()
    }

    /// Returns the number of severed paths.
    pub fn severed_count(&self) -> usize {
        self.severed_peers().count()
    }

    /// Returns the peer through which an upstream is reached, if its path is severed.
    pub fn peer(&self, upstream: &name::UpstreamName) -> Option<&name::InstanceName> {
        match self.paths.get(upstream) {
            Some(PathState::Severed(path)) => Some(&path.state.peer),
            _ => None,
        }
    }

    /// Returns a peer through which some upstream is reached.
    pub fn any_peer(&self) -> Option<&name::InstanceName> {
        self.severed_peers().next()
    }

    fn severed_peers(&self) -> impl Iterator<Item = &name::InstanceName> {
        self.paths.values().filter_map(|path| match path {
            PathState::Severed(path) => Some(&path.state.peer),
            PathState::Direct(_) => None,
        })
    }

    /// Returns `true` if a severed path may be probed now, and counts the probe.
    pub fn begin_probe(&mut self, now: unit::Timestamp) -> bool {
        let is_due = now >= self.next_probe;
        if is_due {
            self.next_probe = now.after(PROBE_INTERVAL);
        }
        is_due
    }

    /// Records that the instance itself has connected to an upstream. The other severed paths may
    /// be probed at once. Returns `true` if the path was severed.
    pub fn record_direct(&mut self, now: unit::Timestamp, upstream: &name::UpstreamName) -> bool {
        let was_severed = self.is_severed(upstream);
        if was_severed {
            self.next_probe = now;
        }
        let path = Path::new(Direct {
            connected_at: Some(now),
            ..Direct::default()
        });
        self.paths.insert(upstream.clone(), PathState::Direct(path));
        was_severed
    }

    /// Records that a peer has reached an upstream to which the instance itself could not connect
    /// in an attempt that began at `started`. Returns `true` if the path was direct.
    ///
    /// An attempt says nothing if the instance has connected since it began: packets sent before
    /// the return of a path may be lost.
    pub fn record_severed(
        &mut self,
        started: unit::Timestamp,
        upstream: &name::UpstreamName,
        peer: name::InstanceName,
    ) -> bool {
        let path = match self.paths.remove(upstream) {
            Some(PathState::Direct(path)) if path.has_connected_since(started) => {
                self.paths.insert(upstream.clone(), PathState::Direct(path));
                return false;
            }
            Some(PathState::Severed(mut path)) => {
                path.change_peer(peer);
                self.paths
                    .insert(upstream.clone(), PathState::Severed(path));
                return false;
            }
            Some(PathState::Direct(path)) => path,
            None => Path::new(Direct::default()),
        };
        let path = path.sever(peer);
        self.paths
            .insert(upstream.clone(), PathState::Severed(path));
        true
    }

    /// Records that another peer reaches an upstream whose path is severed.
    pub fn record_peer(&mut self, upstream: &name::UpstreamName, peer: name::InstanceName) {
        if let Some(PathState::Severed(path)) = self.paths.get_mut(upstream) {
            path.change_peer(peer);
        }
    }

    /// Records that a peer did not reach an upstream, or did not respond.
    pub fn record_peer_failure(
        &mut self,
        now: unit::Timestamp,
        upstream: &name::UpstreamName,
        peer: &name::InstanceName,
    ) {
        self.failed_peers.retain(|_, until| *until > now);
        let key = (peer.clone(), upstream.clone());
        self.failed_peers.insert(key, now.after(PEER_BACKOFF));
    }

    /// Records that no peer has reached an upstream.
    pub fn record_search_failure(&mut self, now: unit::Timestamp, upstream: &name::UpstreamName) {
        let path = self.paths.entry(upstream.clone());
        let path = path.or_insert_with(|| PathState::Direct(Path::new(Direct::default())));
        if let PathState::Direct(path) = path {
            path.state.search_after = now.after(SEARCH_BACKOFF);
        }
    }

    /// Returns `true` unless no peer has reached an upstream a short time ago.
    pub fn may_search(&self, now: unit::Timestamp, upstream: &name::UpstreamName) -> bool {
        match self.paths.get(upstream) {
            Some(PathState::Direct(path)) => now >= path.state.search_after,
            _ => true,
        }
    }

    /// Returns the peers that are asked to connect to an upstream, in the order in which they are
    /// asked: the one that reaches it already, those that reach others, and those of its zone
    /// first. Neighbors in the order are of different zones as far as possible, since the instances
    /// of a zone may have lost their paths together. `draw` is a uniformly distributed random
    /// number.
    pub fn candidates(
        &self,
        now: unit::Timestamp,
        upstream: &name::UpstreamName,
        upstream_zone: Option<&name::AvailabilityZoneName>,
        mut peers: Vec<member::Contact>,
        draw: u64,
    ) -> Vec<member::Contact> {
        let is_recent = |until: &unit::Timestamp| *until > now;
        peers.retain(|peer| {
            let failed = self
                .failed_peers
                .get(&(peer.name.clone(), upstream.clone()));
            !failed.is_some_and(is_recent)
        });
        let own_peer = self.peer(upstream);
        peers.sort_by_cached_key(|peer| {
            let failures = self.failed_peers.iter();
            let failures =
                failures.filter(|((name, _), until)| *name == peer.name && is_recent(until));
            let reaches_others = self.severed_peers().any(|name| *name == peer.name);
            let is_remote = upstream_zone != Some(&peer.availability_zone);
            let weight = xxh3::xxh3_64_with_seed(peer.name.as_str().as_bytes(), draw);
            (
                own_peer != Some(&peer.name),
                !reaches_others,
                failures.count(),
                is_remote,
                weight,
            )
        });
        alternate_zones(peers)
    }

    /// Forgets the paths to upstreams that are no longer listed, and what has expired.
    pub fn remove_expired(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
    ) {
        self.failed_peers.retain(|_, until| *until > now);
        self.paths.retain(|upstream, path| match path {
            PathState::Direct(path) => {
                let connected_at = path.state.connected_at;
                path.state.search_after > now
                    || connected_at.is_some_and(|at| now.since(at) < CONNECTION_RETENTION)
            }
            PathState::Severed(_) => registry.get(upstream).is_some(),
        });
    }
}

/// Selects the first peers such that each zone comes once before one comes again.
fn alternate_zones(mut peers: Vec<member::Contact>) -> Vec<member::Contact> {
    let mut selected: Vec<member::Contact> = Vec::new();
    let mut zones: Vec<name::AvailabilityZoneName> = Vec::new();
    while selected.len() < MAX_CANDIDATES && !peers.is_empty() {
        let position = peers
            .iter()
            .position(|peer| !zones.contains(&peer.availability_zone));
        let Some(position) = position else {
            zones.clear();
            continue;
        };
        let peer = peers.remove(position);
        zones.push(peer.availability_zone.clone());
        selected.push(peer);
    }
    selected
}
