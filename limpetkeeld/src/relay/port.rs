//! What the relay needs of the platform it runs on, as typed traits.
//!
//! An adapter decodes each message once into these types and encodes them back. It decides
//! nothing and keeps no state.

use std::{fmt, net, sync};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use limpetkeel::{
    Contact, Millis, Revision, StoreChange, Tokens, UpstreamName, Work, WorkspaceName,
};

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// The caller's identity of this attempt.
    pub id: sync::Arc<str>,
    /// The host that the caller names.
    pub host: String,
    /// The key that the caller presents.
    pub key: Option<String>,
    /// How long the caller waits.
    pub remaining: Option<Millis>,
    /// The size of a model request.
    pub work: Work,
    /// The last event that the caller has of an earlier stream.
    pub resume_after: Option<u64>,
}

/// Why a request's head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The request has no identity.
    MissingId,
    /// The request names no host.
    MissingHost,
    /// A header does not parse.
    Malformed,
}

impl HeadError {
    /// Returns the name that counters and logs use.
    pub fn code(self) -> &'static str {
        match self {
            HeadError::MissingId => "missing_id",
            HeadError::MissingHost => "missing_host",
            HeadError::Malformed => "malformed_header",
        }
    }
}

/// An engine that helps the lead, as the request names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperRef {
    /// The engine.
    pub address: net::SocketAddr,
    /// The reservation to use there.
    pub reservation: Option<ReservationId>,
}

/// Names a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReservationId(pub sync::Arc<str>);

/// What the relay adds to a request for an upstream.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The time that the upstream may take.
    pub left: Millis,
    /// The upstream that has to run it; another one at the same address declines.
    pub upstream: &'a UpstreamName,
    /// The caller's workspace.
    pub workspace: Option<&'a WorkspaceName>,
    /// Whether the caller's key has to be taken out.
    pub hide_key: bool,
    /// How urgent it is, for model engines.
    pub priority: Option<u8>,
    /// The engines that help.
    pub helpers: &'a [HelperRef],
    /// The last event that was delivered.
    pub resume_after: Option<u64>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// The request that is answered.
    pub id: Option<String>,
    /// Whether the upstream states that it did not run the request.
    pub declined: bool,
    /// Whether the upstream vouches for the answer.
    pub sealed: bool,
    /// The upstream that the answering one holds at fault.
    pub at_fault: Option<String>,
}

/// How the relay ends a request by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request's head cannot be used.
    BadHead,
    /// The body is too large.
    BodyTooLarge,
    /// No route matches.
    UnknownRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request has not run and will not; the caller may come back after a pause.
    NotRun(Millis),
    /// The request may have run and has no answer.
    Failed,
    /// The request may have run and its time is up.
    TimedOut,
}

/// A reservation of memory, and whether the engine has it yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserved {
    /// The memory is set aside.
    Held,
    /// The memory is not free.
    Refused,
}

/// Codes the messages of callers and upstreams.
pub trait Codec: Send + Sync + 'static {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if the head lacks what every request needs or does not parse.
    fn decode_call(&self, head: &http::request::Parts) -> Result<CallHead, HeadError>;

    /// Encodes the headers under which a caller's request goes to an upstream.
    fn encode_call(&self, head: &http::request::Parts, dispatch: &Dispatch<'_>) -> http::HeaderMap;

    /// Decodes the head of an upstream's answer.
    fn decode_answer(&self, head: &http::response::Parts) -> AnswerHead;

    /// Encodes the head of an upstream's answer for the caller.
    fn pass_answer(&self, head: &http::response::Parts) -> http::response::Parts;

    /// Encodes an answer of the relay's own.
    fn encode_refusal(&self, id: Option<&str>, refusal: Refusal) -> http::Response<()>;

    /// Encodes an order that reserves memory for a while, or renews a reservation.
    fn encode_reserve(
        &self,
        host: net::SocketAddr,
        id: &ReservationId,
        tokens: Tokens,
        lifetime: Millis,
    ) -> http::Request<Bytes>;

    /// Decodes the answer to an order that reserves memory.
    fn decode_reserve(&self, status: http::StatusCode) -> Reserved;

    /// Encodes an order that ends a reservation.
    fn encode_release(&self, host: net::SocketAddr, id: &ReservationId) -> http::Request<Bytes>;
}

/// What a watch of the store saw.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The revision up to which it is complete.
    pub revision: Revision,
    /// The changes in their order.
    pub changes: Vec<StoreChange>,
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused the call: it took no effect.
    Refused(u16),
    /// No answer came: a write may have taken effect.
    Unanswered,
    /// The store no longer has the changes after that revision.
    HistoryLost,
    /// The lease has ended.
    Lapsed,
    /// The answer does not have the expected form.
    Malformed,
}

impl StoreError {
    /// Returns the name that counters and logs use.
    pub fn code(self) -> &'static str {
        match self {
            StoreError::Refused(_) => "refused",
            StoreError::Unanswered => "unanswered",
            StoreError::HistoryLost => "history_lost",
            StoreError::Lapsed => "lapsed",
            StoreError::Malformed => "malformed",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            other => f.write_str(other.code()),
        }
    }
}

impl std::error::Error for StoreError {}

/// The lease under which an instance is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// The platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads everything.
    fn read(&self) -> BoxFuture<'_, Result<limpetkeel::Catalog, StoreError>>;

    /// Waits for changes after a revision, or for a bounded time.
    fn watch(&self, after: Revision) -> BoxFuture<'_, Result<Observed, StoreError>>;

    /// Asks for a sign of life, which costs little and may return an old revision.
    fn probe(&self) -> BoxFuture<'_, Result<Revision, StoreError>>;

    /// Lists the own instance under a new lease.
    fn register<'a>(
        &'a self,
        own: &'a Contact,
        lifetime: Millis,
    ) -> BoxFuture<'a, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease, which takes the instance off the list.
    fn unregister(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
