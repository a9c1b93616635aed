//! The messages between peers.
//!
//! `bincode` encodes the positions of fields and variants, so their order is part of the protocol.

use limpetkeel::{
    AnnouncedLimit, Contact, Declarations, Digest, Grant, HeldGrant, InstanceName, Millis,
    OutputUsage, PlacementRequest, Plan, PlanRequest, PlanResult, PoolName, RecordUpdate,
    ReportedPlan, RequestId, Revision, StoreChanges, StoreSnapshot, UpdateResult, UpstreamAddress,
    UpstreamListEntry, UpstreamName, UpstreamProcess,
};

/// A request to a peer; each has one [`Response`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Requests a grant from the keeper. The response may take as long as the remaining time of the
    /// placement request.
    RequestPlacement(PlacementRequest),
    /// Releases a grant, or withdraws a waiting placement request.
    Release(Release),
    /// Reports that the first token of a request has arrived.
    Prefilled(HeldGrant),
    /// Renews the grants that the sender holds.
    RenewGrants(Vec<HeldGrant>),
    /// Exchanges member digests and table revisions.
    Gossip(Gossip),
    /// Exchanges the contacts of members that one side does not know.
    ExchangeContacts(ContactExchange),
    /// Announces the revision of the tables in force at the sender.
    AnnounceRevision(RevisionAnnouncement),
    /// Requests the tables if they are newer than this revision.
    FetchTables(Revision),
    /// Applies updates to a shard of run-once records.
    ApplyRunOnce(Vec<RecordUpdate>),
    /// Requests a plan from the planner.
    RequestPlan(PlanRequest, Requester),
    /// Reports the state of plans to the planner.
    ReportPlan(PlanReport),
    /// Requests the snapshot if it is newer than the sender's tables.
    FetchSnapshot(KnownTables),
    /// Requests the changes after a revision, and waits for one.
    WaitForChanges(ChangesRequest),
    /// Reports what an upstream said about further requests in a response that the peer passed on.
    ReportStatement(UpstreamStatement),
}

impl Request {
    /// Returns the name of the message in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Request::RequestPlacement(_) => "ask",
            Request::Release(_) => "release",
            Request::Prefilled(_) => "prefilled",
            Request::RenewGrants(_) => "assert",
            Request::Gossip(_) => "gossip",
            Request::ExchangeContacts(_) => "introduce",
            Request::AnnounceRevision(_) => "news",
            Request::FetchTables(_) => "tables",
            Request::ApplyRunOnce(_) => "run_once",
            Request::RequestPlan(..) => "plan",
            Request::ReportPlan(report) => report.kind(),
            Request::WaitForChanges(_) => "follow",
            Request::FetchSnapshot(_) => "catalog",
            Request::ReportStatement(_) => "statement",
        }
    }
}

/// The instance that requests a plan.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Requester {
    /// Its contact, from which the planner requests the changes that it lacks.
    pub contact: Contact,
    /// The time since its tables were known to be current, or `None` if they never were.
    pub table_age: Option<Millis>,
}

/// A report to a planner about plans.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum PlanReport {
    /// Plans that another planner made, for requests in progress at the sender.
    ActivePlans(Vec<ReportedPlan>),
    /// The response to the request of a plan has begun.
    ResponseBegun(PoolName, RequestId),
    /// A plan has ended.
    PlanEnded(PlanResult),
    /// An attempt has failed, and its plan goes on.
    AttemptFailed(PlanResult),
}

impl PlanReport {
    /// Returns the name of the report in metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            PlanReport::ActivePlans(_) => "assert_plans",
            PlanReport::ResponseBegun(..) => "begun",
            PlanReport::PlanEnded(_) => "settle",
            PlanReport::AttemptFailed(_) => "attempt_failed",
        }
    }
}

/// What an upstream process said about further requests in a response.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct UpstreamStatement {
    /// The process.
    pub process: UpstreamProcess,
    /// Whether it is about to stop and accepts no further requests.
    pub leaving: bool,
    /// How long it wants no further requests.
    pub retry_after: Option<Millis>,
    /// Its request limit.
    pub limit: Option<AnnouncedLimit>,
}

/// A request to connect to an upstream, the opening message of a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TunnelRequest {
    /// The upstream.
    pub upstream: UpstreamAddress,
    /// What the connection is for.
    pub purpose: TunnelPurpose,
}

/// What a tunnel is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TunnelPurpose {
    /// A caller's request. It is refused if the upstream accepts no requests from the peer.
    Request,
    /// An order to the upstream, or a check of the path, which a draining upstream accepts as well.
    Order,
}

/// The reason why a peer does not connect to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TunnelRefusal {
    /// The peer is draining.
    Draining,
    /// The upstream accepts no requests from the peer, or is not listed at this address.
    Unavailable,
    /// The peer does not reach the upstream. Another instance through which it reaches upstreams
    /// itself, if there is one.
    Unreachable(Option<InstanceName>),
    /// The peer has no memory for the tunnel.
    NoMemory,
    /// The peer opens no tunnels.
    Unsupported,
}

impl TunnelRefusal {
    /// Returns the name of the refusal in metrics and logs.
    pub fn code(&self) -> &'static str {
        match self {
            TunnelRefusal::Draining => "draining",
            TunnelRefusal::Unavailable => "unavailable",
            TunnelRefusal::Unreachable(_) => "unreachable",
            TunnelRefusal::NoMemory => "no_memory",
            TunnelRefusal::Unsupported => "unsupported",
        }
    }
}

/// The response to a [`Request`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Response {
    /// The peer has accepted the message.
    Accepted,
    /// The keeper's decision.
    Placement(limpetkeel::Result<Grant>),
    /// The member digests and the table revision of the peer.
    Gossip(GossipReply),
    /// The contacts that the sender of the request asked for.
    Contacts(Vec<Contact>),
    /// The tables, if they are newer.
    Tables(Option<TablesSnapshot>),
    /// The result of each update.
    Applied(Vec<UpdateResult>),
    /// The planner's decision.
    Plan(limpetkeel::Result<Plan>),
    /// The snapshot, if it is newer.
    Snapshot(Option<StoreSnapshot>),
    /// The changes after the requested revision.
    Changes(ChangesResponse),
    /// The peer does not serve messages of this kind.
    Unsupported,
}

/// How new the tables of an instance are.
///
/// After the store was restored from a backup, an instance that starts may read an older routing
/// table at the revision at which the others still have a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct KnownTables {
    /// The revision up to which all changes have been applied.
    pub revision: Revision,
    /// The version of the routing table.
    pub version: u64,
}

impl KnownTables {
    /// Returns `true` if these tables have something that `other` lacks.
    pub fn is_newer_than(self, other: KnownTables) -> bool {
        self.revision > other.revision || self.version > other.version
    }
}

/// A request for the changes after a revision.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct ChangesRequest {
    /// The follower's tables.
    pub after: KnownTables,
    /// The time after which the watcher responds without a change.
    pub wait: Millis,
}

/// The time since the tables of a watcher were known to be current.
pub type TableAge = Millis;

/// What a watcher knows of the changes after a revision.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum ChangesResponse {
    /// The changes; empty if the time limit was reached.
    Changes(StoreChanges, TableAge),
    /// The complete snapshot, because the watcher no longer has the changes.
    Snapshot(StoreSnapshot, TableAge),
    /// The watcher does not get responses from the store, or is in an earlier era than the follower.
    StoreUnavailable,
}

/// The release of a grant.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Release {
    /// The pool.
    pub pool: PoolName,
    /// The ID of the grant.
    pub id: RequestId,
    /// The upstreams of the grant; empty if the grant was not received.
    pub upstreams: Vec<UpstreamName>,
    /// The output of the request and the time that its decoding took.
    pub usage: OutputUsage,
}

/// The announcement of a table revision.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct RevisionAnnouncement {
    /// The sender.
    pub from: Contact,
    /// The table revision in force at the sender.
    pub revision: Revision,
}

/// A gossip message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: Contact,
    /// The digests of the members that the sender knows.
    pub digests: Vec<Digest>,
    /// The table revision in force at the sender.
    pub revision: Revision,
}

/// The reply to a gossip message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct GossipReply {
    /// The digests of the members that the replying instance knows.
    pub digests: Vec<Digest>,
    /// The IDs of members whose contacts the replying instance does not know.
    pub unknown: Vec<u64>,
    /// The table revision in force at the replying instance.
    pub revision: Revision,
}

/// Contacts that the receiver does not know, and IDs whose contacts the sender does not know.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ContactExchange {
    /// The contacts.
    pub contacts: Vec<Contact>,
    /// The IDs of members whose contacts the sender does not know.
    pub wanted: Vec<u64>,
}

/// The tables and the upstream list, with which an instance can start while the platform is
/// unavailable.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct TablesSnapshot {
    /// The revision of the tables.
    pub revision: Revision,
    /// The tables.
    pub declarations: Declarations,
    /// The upstreams, as last listed by the platform.
    pub upstreams: Vec<UpstreamListEntry>,
}
