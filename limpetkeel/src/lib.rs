//! The domain logic of the limpetkeel serving layer.
//!
//! The crate contains the aggregates and their rules. It uses no sockets, clock or async runtime:
//! callers pass in the time and random numbers, and each decision is returned as a typed value, so
//! that any front end can use the same rules.
//!
//! # Tables
//!
//! Operators edit routes and pools. Routes refer to pools by name, and both are validated together:
//!
//! ```
//! use limpetkeel::{Declarations, Error, Revision, Tables};
//!
//! let declarations: Declarations = toml::from_str(r#"
//!     [routes.advice]
//!     kind = "model"
//!     pool = "keel-advisor"
//!     rank = "urgent"
//!     timeout_ms = 30000
//! "#).unwrap();
//! // The pool does not exist.
//! assert!(matches!(declarations.faults()[..], [Error::DanglingPool { .. }]));
//! assert!(Tables::try_from((Revision(1), declarations)).is_err());
//! ```
//!
//! # Placement
//!
//! An entry instance sends a placement request, an [`Ask`], to the [`Keeper`] of the pool in its
//! availability zone. The keeper queues it by rank, fair share and length and responds with a
//! [`Grant`] or an [`Error`], whose [`Outcome`] says whether the request ran.

mod availability_zone;
mod backlog_index;
mod budget;
mod engine;
mod error;
mod floors;
mod grant;
mod ingress;
mod instance;
mod instance_registry;
mod keeper;
mod lease;
mod local_balancer;
mod lock;
mod member;
mod name;
mod plan;
mod planner;
mod pool;
mod prefix;
mod rank;
mod relayed_request;
mod request;
mod request_size;
mod retry_window;
mod revision;
mod route;
mod run_once;
mod store_snapshot;
mod table;
mod throughput;
mod unit;
mod upstream;
mod upstream_list;
mod upstream_registry;
mod workspace;

pub use availability_zone::{AvailabilityZone, Reach};
pub use budget::{BodyBudget, RetryBudget};
pub use engine::{Figures, Timing};
pub use error::{Category, Error, Outcome, Result, Rule};
pub use floors::Floors;
pub use grant::{Ask, Decision, Grant, Held, Place, RequestId};
pub use ingress::{
    Admission, Declaration as IngressDeclaration, Denial, Form, Ingress, Limits, Objective,
    PoolDeclaration as IngressPoolDeclaration, Repeat, Route as IngressRoute,
    RouteDeclaration as IngressRouteDeclaration, Share, Workspace, WorkspaceDeclaration,
};
pub use instance::{DRAINING_GRACE, Gone, Instance, Joining, Leaving, Live, Stage};
pub use instance_registry::Roll;
pub use keeper::{Keeper, Usage};
pub use lease::{
    Fencing, Held as HeldLease, KEEPER_HANDOVER, LEASE_LIFETIME, LONGEST_ORDER, Lease,
    MAX_HOLDER_PAUSE, Tenure, Waiting as WaitingLease,
};
pub use local_balancer::{Baseline, Policy};
pub use lock::{Level, Ordered, OrderedGuard};
pub use member::{Contact, DEAD_AFTER, Digest, GOSSIP_ROUND, Heartbeat, Listed, Members};
pub use name::{
    AvailabilityZoneName, IdempotencyKey, InstanceName, Kind as NameKind, PoolName, RouteName,
    UpstreamName, WorkspaceName,
};
pub use plan::{Assertion, Demand, Helper, Plan, Settlement, Verdict};
pub use planner::Planner;
pub use pool::{Declaration as PoolDeclaration, Pool};
pub use prefix::{Prefix, PrefixIndex};
pub use rank::{PerRank, Rank};
pub use relayed_request::{Exchange, Final, Placed as PlacedExchange, Routed, Sent, Subject};
pub use request::{
    Admitted, ChunkPosition, Delivery, Ended, Identity, Placed, Received, Request, Streaming,
};
pub use request_size::{Estimator, LONG_PROMPT, Work};
pub use retry_window::{Bound as RetryBound, RetryWindow};
pub use revision::Revision;
pub use route::{Declaration as RouteDeclaration, Kind as RouteKind, Route};
pub use run_once::{
    Answer, Applied, CallKey, Claim, MAX_STORED_ANSWER, RUN_ONCE_RETENTION, SHARD_COUNT, Shard,
    Update,
};
pub use store_snapshot::{Catalog, Change as StoreChange, ChangeLog, Changes as StoreChanges};
pub use table::{Change, Declarations, Tables};
pub use unit::{Bytes, HexId, Millis, Timestamp, Tokens, TokensPerSecond};
pub use upstream::{Capacity, HOLD_LIFETIME, ORPHAN_GRACE, Report, Running, Upstream};
pub use upstream_list::{Directory, Entry as DirectoryEntry};
pub use upstream_registry::{Entry as RosterEntry, Removal, Roster, Standing};
pub use workspace::{FairQueue, WaitingRequest};
