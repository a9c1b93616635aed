//! Placement requests of entry instances and the grants of a keeper.

use std::net;

use crate::{error, name, rank, request_size, unit};

/// Identifies a placement request and its grant on every instance and upstream that handles it.
#[serde_with::serde_as]
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(#[serde_as(as = "crate::unit::HexId")] pub u64);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request from an entry instance to a keeper to place a caller's request on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PlacementRequest {
    /// The identifier of the placement request and of its grant.
    pub id: RequestId,
    /// The entry instance that owns the request.
    pub instance: name::InstanceName,
    /// The pool that serves the request.
    pub pool: name::PoolName,
    /// The workspace whose fair share is charged.
    pub workspace: name::WorkspaceName,
    /// The rank of the request.
    pub rank: rank::Rank,
    /// The size of the request.
    pub size: request_size::RequestSize,
    /// The time until the deadline of the request.
    ///
    /// It is a duration because instances do not share a clock.
    pub remaining: unit::Millis,
    /// Hashes of growing prefixes of the prompt, shortest first.
    pub prefixes: Vec<u64>,
    /// Upstreams on which an earlier attempt of the request failed.
    pub excluded_upstreams: Vec<name::UpstreamName>,
}

/// One upstream of a grant.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UpstreamAddress {
    /// The name of the upstream.
    pub upstream: name::UpstreamName,
    /// The address that the upstream listens on.
    pub address: net::SocketAddr,
}

/// Permission to run a request on the named upstreams until the grant is released or expires.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The identifier of the placement request.
    pub id: RequestId,
    /// The upstreams; the first one runs the request, and several form a group.
    pub upstreams: Vec<UpstreamAddress>,
}

/// A keeper's decision about a placement request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Grant),
    /// The request may not run and has not run.
    Refused(RequestId, error::Error),
}

/// A grant in use, which the entry instance renews periodically with the keeper.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HeldGrant {
    /// The identifier of the placement request.
    pub id: RequestId,
    /// The pool that serves the request.
    pub pool: name::PoolName,
    /// The upstreams of the grant.
    pub upstreams: Vec<name::UpstreamName>,
    /// The rank of the request.
    pub rank: rank::Rank,
    /// The size of the request.
    pub size: request_size::RequestSize,
    /// Whether the first token of the response has arrived.
    pub prefilled: bool,
}
