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
//! use limpetkeel::{Declarations, Era, Error, Revision, Tables};
//!
//! let declarations: Declarations = toml::from_str(r#"
//!     [routes.advice]
//!     kind = "model"
//!     pool = "keel-advisor"
//!     rank = "urgent"
//!     timeout_ms = 30000
//! "#).unwrap();
//! // The pool does not exist.
//! assert!(matches!(declarations.validation_errors()[..], [Error::DanglingPool { .. }]));
//! assert!(Tables::try_from((Revision::new(Era::default(), 1), declarations)).is_err());
//! ```
//!
//! # Placement
//!
//! An entry instance sends a [`PlacementRequest`] to the [`Keeper`] of the pool in its
//! availability zone. The keeper queues it by rank, fair share and length and responds with a
//! [`Grant`] or an [`Error`], whose [`Outcome`] says whether the request ran.

mod availability_zone;
mod backlog_index;
mod budget;
mod connection_table;
mod crash_cause;
mod crash_screening;
mod drain_schedule;
mod engine;
mod error;
mod evacuation_list;
mod floors;
mod grant;
mod hedging;
mod ingress;
mod instance;
mod instance_registry;
mod keeper;
mod lease;
mod local_balancer;
mod lock;
mod member;
mod memory_account;
mod name;
mod plan;
mod plan_check;
mod planner;
mod pool;
mod prefix;
mod quarantine_list;
mod rank;
mod relayed_request;
mod removal_doubt;
mod request;
mod request_limit;
mod request_size;
mod response_limit;
mod retry_window;
mod revision;
mod route;
mod run_once;
mod store_follower;
mod store_snapshot;
mod table;
mod table_freshness;
mod throughput;
mod unit;
mod upstream;
mod upstream_availability;
mod upstream_list;
mod upstream_path;
mod upstream_registry;
mod workspace;

pub use availability_zone::{Reachability, ZoneReachability};
pub use budget::{BodyBudget, RetryBudget};
pub use connection_table::{
    AdmittedConnection, ClosedConnection, ConnectionId, ConnectionPhase, ConnectionTable,
    ConnectionsExhausted,
};
pub use crash_cause::{CrashCause, Quarantine, QuarantineUpdate};
pub use crash_screening::{
    CauseDecision, CauseDecisionKind, Crash, CrashScreening, MAX_CAUSES_PER_REQUEST,
    MAX_PARTS_PER_REQUEST, UpstreamLifetime, Verdict as ScreeningVerdict,
};
pub use drain_schedule::DrainSchedule;
pub use engine::{EngineParameters, EngineTiming};
pub use error::{Category, Error, Outcome, Result, Rule};
pub use evacuation_list::{Changes as EvacuationChanges, Entry as EvacuationEntry, EvacuationList};
pub use floors::Floors;
pub use grant::{Decision, Grant, HeldGrant, PlacementRequest, RequestId, UpstreamAddress};
pub use hedging::{FirstAttempt, HedgeLimit, Hedging, NoHedgeReason};
pub use ingress::{
    Admission, ColdLimit, Declaration as IngressDeclaration, Denial, Ingress, LatencyObjective,
    PoolDeclaration as IngressPoolDeclaration, PoolShare, RequestLimits, ResponseForm, RetryPolicy,
    Route as IngressRoute, RouteDeclaration as IngressRouteDeclaration, Workspace,
    WorkspaceDeclaration,
};
pub use instance::{DRAINING_GRACE, Draining, Instance, InstanceState, Joining, Live, Stopped};
pub use instance_registry::InstanceRegistry;
pub use keeper::{Keeper, OutputUsage};
pub use lease::{
    FencingNumber, Held as HeldLease, KEEPER_HANDOVER, LEASE_LIFETIME, Lease, LeaseState,
    MAX_HOLDER_PAUSE, ORDER_TIMEOUT, Waiting as WaitingLease,
};
pub use local_balancer::{LocalBalancer, Policy};
pub use lock::{LockLevel, OrderedGuard, OrderedMutex};
pub use member::{Contact, DEAD_AFTER, Digest, GOSSIP_ROUND, Heartbeat, ListedMember, Members};
pub use memory_account::{BodyId, MemoryAccount, MemoryExhausted, MemoryShare, STALLED_AFTER};
pub use name::{
    AvailabilityZoneName, IdempotencyKey, InstanceName, Kind as NameKind, PoolName, RouteName,
    UpstreamName, WorkspaceName,
};
pub use plan::{AttemptResult, Helper, Plan, PlanRequest, PlanResult, ReportedPlan, Timeliness};
pub use plan_check::{PlanProcesses, StalePlan, StaleReason, ruled_out_upstreams};
pub use planner::{
    ColdReport, EjectionDecision, EjectionDecisionKind, EjectionReason, FreeMemory, Planner,
};
pub use pool::{Declaration as PoolDeclaration, Pool};
pub use prefix::{Prefix, PrefixIndex};
pub use quarantine_list::{
    Entry as QuarantineListEntry, MAX_LOCAL_UPDATES, MAX_QUARANTINES, QUARANTINE_LIFETIME,
    QuarantineList,
};
pub use rank::{PerRank, Rank};
pub use relayed_request::{
    Hedged, NoRetryReason, Placed as PlacedRelayedRequest, RelayedRequest, RelayedRequestInfo,
    Routed, Sent,
};
pub use removal_doubt::RemovalDoubt;
pub use request::{
    Admitted, ChunkDecision, ChunkPosition, Ended, Placed, Received, Request, RequestInfo,
    Streaming,
};
pub use request_limit::{AnnouncedLimit, AnnouncedLimits, LimitNotice, RequestRate};
pub use request_size::{LONG_PROMPT, RequestSize, TokenEstimator};
pub use response_limit::{
    BodyAllowance, HeadAllowance, MAX_EVENT, MAX_HEAD, MAX_UNRESERVED, ResponseLimit,
};
pub use retry_window::{RetryLimit, RetryWindow};
pub use revision::{Era, Revision};
pub use route::{Declaration as RouteDeclaration, Kind as RouteKind, Route};
pub use run_once::{
    CallKey, MAX_STORED_BODY, RUN_ONCE_RETENTION, RecordUpdate, RunOnceClaim, RunOnceShard,
    SHARD_COUNT, StoredResponse, UpdateResult,
};
pub use store_follower::{Source as StoreSource, StoreFollower};
pub use store_snapshot::{
    Change as StoreChange, Changes as StoreChanges, StoreChangeLog, StoreSnapshot,
};
pub use table::{Declarations, TableChange, Tables};
pub use table_freshness::{MAX_PLANNER_LAG, RequesterTables, TableComparison, TableFreshness};
pub use unit::{Bytes, HexId, Millicores, Millis, Timestamp, Tokens, TokensPerSecond};
pub use upstream::{Capacity, HOLD_LIFETIME, LoadReport, ORPHAN_GRACE, RunningRequest, Upstream};
pub use upstream_availability::{MAX_PAUSE, UpstreamAvailability, UpstreamProcess};
pub use upstream_list::{Entry as UpstreamListEntry, UpstreamList};
pub use upstream_path::UpstreamPaths;
pub use upstream_registry::{
    COLD_LEFT_UNKNOWN, ColdPeriod, Entry as UpstreamRegistryEntry, Removal, UpstreamRegistry,
    UpstreamState,
};
pub use workspace::{FairQueue, WaitingRequest};
