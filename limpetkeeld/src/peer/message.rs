//! The messages between peers.

use limpetkeel::{
    Applied, Ask, Assertion, Catalog as RelayCatalog, Contact, Declarations, Demand, Digest,
    DirectoryEntry, Grant, Held, Plan, PoolName, RequestId, Revision, Settlement, StoreChanges,
    Update, UpstreamName, Usage,
};

/// A message that asks for an answer.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Asks the keeper for a grant; the answer may take as long as the ask has left.
    Ask(Ask),
    /// Ends a grant, or withdraws an ask that waits.
    Release(Release),
    /// Notes that the first token has arrived.
    Prefilled(Held),
    /// Re-asserts grants.
    Assert(Vec<Held>),
    /// Exchanges what both sides know of the members.
    Gossip(Gossip),
    /// Exchanges the contacts that one side does not know.
    Introduce(Introduction),
    /// Tells that a revision of the tables is in force at the sender.
    News(News),
    /// Asks for the tables if they are newer.
    Tables(Revision),
    /// Applies updates to a shard of run-once records.
    RunOnce(Vec<Update>),
    /// Asks the planner for a plan.
    Plan(Demand),
    /// Tells the planner what became of plans.
    Note(Note),
    /// Asks for the catalog if it is newer.
    Catalog(Revision),
    /// Waits for changes after a revision, or for a bounded time.
    Follow(Revision),
}

impl Request {
    /// Returns the name that counters use.
    pub fn kind(&self) -> &'static str {
        match self {
            Request::Ask(_) => "ask",
            Request::Release(_) => "release",
            Request::Prefilled(_) => "prefilled",
            Request::Assert(_) => "assert",
            Request::Gossip(_) => "gossip",
            Request::Introduce(_) => "introduce",
            Request::News(_) => "news",
            Request::Tables(_) => "tables",
            Request::RunOnce(_) => "run_once",
            Request::Plan(_) => "plan",
            Request::Note(note) => note.kind(),
            Request::Follow(_) => "follow",
            Request::Catalog(_) => "catalog",
        }
    }
}

/// What a planner is told of plans.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Note {
    /// These plans were made by another planner.
    Assert(Vec<Assertion>),
    /// The answer under a plan has begun.
    Begun(PoolName, RequestId),
    /// A plan has ended.
    Settle(Settlement),
}

impl Note {
    /// Returns the name that counters and logs use.
    pub fn kind(&self) -> &'static str {
        match self {
            Note::Assert(_) => "assert_plans",
            Note::Begun(..) => "begun",
            Note::Settle(_) => "settle",
        }
    }
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Response {
    /// The message was taken in.
    Done,
    /// The keeper's decision.
    Decided(limpetkeel::Result<Grant>),
    /// What the peer knows of the members.
    Gossip(GossipReply),
    /// The contacts that were wanted.
    Introduced(Vec<Contact>),
    /// The tables, if they are newer.
    Tables(Option<Snapshot>),
    /// What became of each update.
    Applied(Vec<Applied>),
    /// The planner's decision.
    Planned(limpetkeel::Result<Plan>),
    /// The catalog, if it is newer.
    Catalog(Option<RelayCatalog>),
    /// What has changed.
    Followed(Followed),
    /// The peer does not serve messages of this kind.
    Unsupported,
}

/// What a peer that follows the store knows beyond a revision.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum Followed {
    /// The changes, perhaps none.
    Changes(StoreChanges),
    /// Everything, since the peer no longer has the changes.
    Catalog(RelayCatalog),
    /// Nothing: the store does not answer the peer.
    Failing,
}

/// The end of a grant.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Release {
    /// The pool.
    pub pool: PoolName,
    /// The grant.
    pub id: RequestId,
    /// Its upstreams; none if the grant was never received.
    pub upstreams: Vec<UpstreamName>,
    /// What the request took.
    pub usage: Usage,
}

/// A revision of the tables and who has it.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The sender.
    pub from: Contact,
    /// The revision that the sender has in force.
    pub revision: Revision,
}

/// One side of an exchange of gossip.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Gossip {
    /// The sender.
    pub from: Contact,
    /// What the sender knows.
    pub digests: Vec<Digest>,
    /// The revision that the sender has in force.
    pub revision: Revision,
}

/// The other side of an exchange of gossip.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct GossipReply {
    /// What the receiver knows.
    pub digests: Vec<Digest>,
    /// The members that the receiver does not know.
    pub unknown: Vec<u64>,
    /// The revision that the receiver has in force.
    pub revision: Revision,
}

/// Contacts for the members that the other side does not know.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Introduction {
    /// The contacts.
    pub contacts: Vec<Contact>,
    /// The members that the sender does not know.
    pub wanted: Vec<u64>,
}

/// What a joining instance needs when the platform is out.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The revision of the tables.
    pub revision: Revision,
    /// The tables.
    pub declarations: Declarations,
    /// The upstreams that the platform last listed.
    pub upstreams: Vec<DirectoryEntry>,
}
