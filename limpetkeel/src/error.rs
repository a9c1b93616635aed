//! The error type of the crate, with a category and an outcome for each error.

use std::{error, fmt, result};

use crate::{name, revision, unit};

/// Alias for a `Result` with this crate's [`Error`].
pub type Result<T> = result::Result<T, Error>;

/// Whether a request without a complete response may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No upstream ran any part of the request.
    NotRun,
    /// The request ran at least partly and did not finish.
    Failed,
    /// It is unknown whether the request ran.
    Unknown,
}

impl Outcome {
    /// Returns the value of the `limpetkeel-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Failed => "failed",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The cause of an error, which determines the default [`Outcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// The request or the declaration is invalid; a retry fails in the same way.
    Input,
    /// Capacity is exhausted; a later retry may succeed.
    Capacity,
    /// A component that the request depends on is unavailable.
    Unavailable,
    /// The upstream failed while running the request.
    Upstream,
    /// The request conflicts with another writer or another call with the same key.
    Conflict,
}

/// An error of a request or of a change to the tables.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Error {
    /// A name is empty, too long or contains a forbidden character.
    InvalidName {
        /// The kind of the name.
        kind: name::Kind,
        /// The rejected text.
        text: String,
    },
    /// No route has the requested name.
    UnknownRoute(String),
    /// The route is of the other kind: model instead of service, or the reverse.
    WrongRouteKind(name::RouteName),
    /// The workspace header is absent.
    MissingWorkspace,
    /// The body is not JSON of the form that the interface requires.
    MalformedBody(String),
    /// The body is larger than this limit of the instance.
    BodyTooLarge(unit::Bytes),
    /// The value of this header is malformed.
    MalformedHeader(String),
    /// The prompt exceeds this memory, which the upstreams of the pool provide together.
    PromptTooLong(unit::Tokens),
    /// A route refers to a pool that does not exist.
    DanglingPool {
        /// The route that refers to the pool.
        route: name::RouteName,
        /// The missing pool.
        pool: name::PoolName,
    },
    /// A field of a declaration is invalid.
    InvalidDeclaration {
        /// The path of the field, with the name of its entry.
        field: String,
        /// The rule that the field violates.
        rule: Rule,
    },
    /// The tables have changed since the caller read them.
    RevisionConflict {
        /// The current revision in the store.
        current: revision::Revision,
    },
    /// The request cannot finish before its deadline.
    WouldMissDeadline,
    /// The upstreams lack capacity for the request: memory, prefill time, or requests that they take.
    /// It keeps its turn while its instance goes on asking.
    AwaitingCapacity {
        /// The time until the capacity is expected.
        expected_in: unit::Millis,
    },
    /// The request would wait too long for capacity.
    NoCapacity {
        /// The time until capacity is expected.
        retry_after: unit::Millis,
    },
    /// Every engine that prefills long prompts already helps as many leads as it accepts.
    NoHelper,
    /// The planner has no memory for the many parts of the prompt, which it would have to keep until
    /// the request ends.
    PlannerFull,
    /// Upstreams crashed on the request or a part of its prompt, which is on trial or quarantined.
    PartHeldBack {
        /// The time until another such request may be admitted.
        retry_after: unit::Millis,
    },
    /// Upstreams crashed on this request before. It is not run again.
    RequestQuarantined,
    /// The deadline passed while the request waited for a grant.
    DeadlineWhileWaiting,
    /// The byte budget of the instance for queued request bodies is exhausted.
    BodyBudgetExhausted,
    /// The queue of the pool is full.
    QueueFull,
    /// The instance is draining and accepts no new requests.
    Draining,
    /// No upstream of the pool is reachable.
    NoUpstream(name::PoolName),
    /// The keeper of the pool is unreachable.
    KeeperUnreachable,
    /// The request needs the platform's store, which is unavailable.
    StoreUnavailable,
    /// The shard of run-once records is full.
    RunOnceShardFull,
    /// A call with the same key is in progress.
    RunOnceInProgress,
    /// A call with the same key was started, but its outcome was never recorded.
    RunOnceUnknown,
    /// A call with the same key finished, but its response was too large to store.
    RunOnceAnswerNotKept,
    /// The key was used before with a different body.
    RunOnceKeyReused,
    /// The upstream refused the connection, so nothing was sent.
    UpstreamRefused,
    /// The upstream failed after the request was sent.
    UpstreamFailed,
    /// The upstream rejected the request with this HTTP status.
    UpstreamRejected(u16),
    /// The upstream's response belongs to another request or is out of order.
    UpstreamMismatch,
    /// The deadline passed while the upstream ran the request.
    DeadlineWhileRunning,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// The caller closed its connection.
    CallerDisconnected,
    /// A worker stopped before it completed the request.
    WorkerStopped,
    /// Every upstream of the pool is leaving or has asked for no requests for some time.
    UpstreamsUnavailable(name::PoolName),
    /// The tables of the planner are older than those of the instance that requests a plan.
    PlannerOutdated,
}

/// A validation rule for the fields of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Rule {
    /// The value must be greater than zero.
    Positive,
    /// The floors of all ranks must add up to at most this percentage.
    FloorsAtMost(u8),
    /// The value must lie between these inclusive bounds, in the unit of the field.
    Between(u64, u64),
    /// The kind of a route must match the kind of its pool.
    KindMatchesPool,
    /// A path prefix must begin and end with a slash.
    Prefix,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rule::Positive => f.write_str("must be greater than zero"),
            Rule::FloorsAtMost(n) => write!(f, "floors may add up to {n} percent at most"),
            Rule::Between(low, high) => write!(f, "must lie between {low} and {high}"),
            Rule::KindMatchesPool => f.write_str("must be of the kind of its pool"),
            Rule::Prefix => f.write_str("must begin and end with a slash"),
        }
    }
}

impl Error {
    /// Returns the stable code for responses and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Error::InvalidName { .. } => "invalid_name",
            Error::UnknownRoute(_) => "unknown_route",
            Error::WrongRouteKind(_) => "wrong_route_kind",
            Error::MissingWorkspace => "missing_workspace",
            Error::MalformedBody(_) => "malformed_body",
            Error::BodyTooLarge(_) => "body_too_large",
            Error::MalformedHeader(_) => "malformed_header",
            Error::PromptTooLong(_) => "prompt_too_long",
            Error::DanglingPool { .. } => "dangling_pool",
            Error::InvalidDeclaration { .. } => "invalid_declaration",
            Error::RevisionConflict { .. } => "lost_race",
            Error::WouldMissDeadline => "would_miss_deadline",
            Error::AwaitingCapacity { .. } => "awaiting_capacity",
            Error::NoCapacity { .. } => "no_capacity",
            Error::NoHelper => "no_helper",
            Error::PlannerFull => "planner_full",
            Error::PartHeldBack { .. } => "part_held_back",
            Error::RequestQuarantined => "request_quarantined",
            Error::DeadlineWhileWaiting => "deadline_while_waiting",
            Error::BodyBudgetExhausted => "body_budget_exhausted",
            Error::QueueFull => "queue_full",
            Error::Draining => "draining",
            Error::NoUpstream(_) => "no_upstream",
            Error::KeeperUnreachable => "keeper_unreachable",
            Error::StoreUnavailable => "store_unavailable",
            Error::RunOnceShardFull => "run_once_shard_full",
            Error::RunOnceInProgress => "run_once_in_progress",
            Error::RunOnceUnknown => "run_once_unknown",
            Error::RunOnceAnswerNotKept => "run_once_answer_not_kept",
            Error::RunOnceKeyReused => "run_once_key_reused",
            Error::UpstreamRefused => "upstream_refused",
            Error::UpstreamFailed => "upstream_failed",
            Error::UpstreamRejected(_) => "upstream_rejected",
            Error::UpstreamMismatch => "upstream_mismatch",
            Error::DeadlineWhileRunning => "deadline_while_running",
            Error::RetryBudgetExhausted => "retry_budget_exhausted",
            Error::CallerDisconnected => "caller_gone",
            Error::WorkerStopped => "worker_stopped",
            Error::UpstreamsUnavailable(_) => "upstreams_unavailable",
            Error::PlannerOutdated => "planner_outdated",
        }
    }

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        match self {
            Error::InvalidName { .. }
            | Error::UnknownRoute(_)
            | Error::WrongRouteKind(_)
            | Error::MissingWorkspace
            | Error::MalformedBody(_)
            | Error::BodyTooLarge(_)
            | Error::MalformedHeader(_)
            | Error::PromptTooLong(_)
            | Error::DanglingPool { .. }
            | Error::CallerDisconnected
            | Error::RunOnceKeyReused
            | Error::InvalidDeclaration { .. } => Category::Input,
            Error::WouldMissDeadline
            | Error::AwaitingCapacity { .. }
            | Error::NoCapacity { .. }
            | Error::NoHelper
            | Error::PlannerFull
            | Error::DeadlineWhileWaiting
            | Error::BodyBudgetExhausted
            | Error::QueueFull
            | Error::RunOnceShardFull => Category::Capacity,
            Error::Draining
            | Error::PartHeldBack { .. }
            | Error::RequestQuarantined
            | Error::NoUpstream(_)
            | Error::KeeperUnreachable
            | Error::StoreUnavailable
            | Error::UpstreamRefused
            | Error::UpstreamsUnavailable(_)
            | Error::PlannerOutdated
            | Error::WorkerStopped => Category::Unavailable,
            Error::UpstreamFailed
            | Error::UpstreamRejected(_)
            | Error::UpstreamMismatch
            | Error::DeadlineWhileRunning
            | Error::RetryBudgetExhausted => Category::Upstream,
            Error::RevisionConflict { .. }
            | Error::RunOnceInProgress
            | Error::RunOnceUnknown
            | Error::RunOnceAnswerNotKept => Category::Conflict,
        }
    }

    /// Returns the outcome for a request whose only attempt ended with this error.
    ///
    /// It does not apply if an earlier attempt was sent; [`Request`](crate::Request) takes all
    /// attempts into account.
    pub fn outcome(&self) -> Outcome {
        match self.category() {
            Category::Input | Category::Capacity | Category::Unavailable => Outcome::NotRun,
            Category::Upstream => Outcome::Failed,
            Category::Conflict => Outcome::Unknown,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::InvalidName { kind, text } => write!(f, "{text:?} is not a valid {kind} name"),
            Error::UnknownRoute(route) => write!(f, "route {route:?} does not exist"),
            Error::WrongRouteKind(route) => write!(f, "route {route} serves the other kind"),
            Error::MissingWorkspace => f.write_str("the header limpetkeel-workspace is required"),
            Error::MalformedBody(detail) => write!(f, "malformed body: {detail}"),
            Error::BodyTooLarge(limit) => write!(f, "the body is larger than {limit}"),
            Error::MalformedHeader(header) => write!(f, "header {header} does not parse"),
            Error::PromptTooLong(limit) => {
                write!(f, "the prompt is longer than the pool can hold ({limit})")
            }
            Error::DanglingPool { route, pool } => {
                write!(f, "route {route} names pool {pool}, which does not exist")
            }
            Error::InvalidDeclaration { field, rule } => write!(f, "{field}: {rule}"),
            Error::RevisionConflict { current } => {
                write!(
                    f,
                    "the tables have changed since; the current revision is {current}"
                )
            }
            Error::AwaitingCapacity { expected_in } => {
                write!(f, "the upstreams have capacity in {expected_in}")
            }
            Error::NoCapacity { retry_after } => {
                write!(f, "the upstreams have no capacity for {retry_after}")
            }
            Error::NoHelper => f.write_str("no engine can prefill a part of the prompt now"),
            Error::PlannerFull => f.write_str("the planner has no memory for so many parts"),
            Error::PartHeldBack { retry_after } => write!(
                f,
                "upstreams crashed on such requests, which are held back for {retry_after}"
            ),
            Error::RequestQuarantined => {
                f.write_str("upstreams crashed on this request, and it is not run again")
            }
            Error::WouldMissDeadline => {
                f.write_str("the request could not finish before its deadline")
            }
            Error::DeadlineWhileWaiting => {
                f.write_str("the deadline passed before an upstream was free")
            }
            Error::BodyBudgetExhausted => {
                f.write_str("the instance holds too many waiting request bodies")
            }
            Error::QueueFull => f.write_str("the queue of the pool is full"),
            Error::Draining => f.write_str("the instance is leaving"),
            Error::NoUpstream(pool) => write!(f, "no upstream of pool {pool} is reachable"),
            Error::KeeperUnreachable => f.write_str("the keeper of the pool is unreachable"),
            Error::StoreUnavailable => f.write_str("the platform's store is unavailable"),
            Error::RunOnceShardFull => f.write_str("no room for another run-once record"),
            Error::RunOnceInProgress => f.write_str("a call with this key is in progress"),
            Error::RunOnceUnknown => {
                f.write_str("a call with this key was started and its outcome is unknown")
            }
            Error::RunOnceAnswerNotKept => {
                f.write_str("a call with this key finished; its answer was too large to keep")
            }
            Error::RunOnceKeyReused => f.write_str("the key was used before with another body"),
            Error::UpstreamRefused => f.write_str("the upstream refused the connection"),
            Error::UpstreamFailed => f.write_str("the upstream failed"),
            Error::UpstreamRejected(status) => {
                write!(f, "the upstream rejected the request with status {status}")
            }
            Error::UpstreamMismatch => f.write_str("the upstream's answer was out of order"),
            Error::DeadlineWhileRunning => f.write_str("the deadline passed during the request"),
            Error::RetryBudgetExhausted => f.write_str("the retry budget is spent"),
            Error::CallerDisconnected => f.write_str("the caller closed its connection"),
            Error::WorkerStopped => f.write_str("a worker stopped before it answered"),
            Error::UpstreamsUnavailable(pool) => {
                write!(f, "no upstream of pool {pool} accepts requests now")
            }
            Error::PlannerOutdated => f.write_str("the tables of the planner are outdated"),
        }
    }
}

impl error::Error for Error {}
