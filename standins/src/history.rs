//! The recorded history of a run, and the invariants that it must satisfy.

use std::{collections, fmt, time};

use crate::{engine, service};

/// How long after its timeout a request may end, to allow for scheduling and for the transfer of
/// the response.
pub const TIMEOUT_SLACK: time::Duration = time::Duration::from_millis(1_500);

/// The time within which an accepted change must be in force on every reachable instance.
pub const CHANGE_BOUND: time::Duration = time::Duration::from_secs(16);

/// The outcome of a call as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The response ended normally with status 200.
    Completed,
    /// The request was reported as not run.
    NotRun,
    /// The request was reported as failed.
    Failed,
    /// The outcome was reported as unknown.
    Unknown,
    /// The connection broke before any outcome was reported.
    NoResponse,
}

impl CallOutcome {
    /// Determines the outcome from the status, the outcome header or event, and whether the
    /// response ended normally.
    pub fn of(status: u16, outcome: Option<&str>, ended: bool) -> CallOutcome {
        match outcome {
            Some("not-run") => CallOutcome::NotRun,
            Some("failed") => CallOutcome::Failed,
            Some("unknown") => CallOutcome::Unknown,
            _ if status == 200 && ended => CallOutcome::Completed,
            _ => CallOutcome::NoResponse,
        }
    }
}

/// One call as its caller observed it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the call: the hash of the prompt, or the body of a service call.
    pub identity: String,
    /// The idempotency key, if any.
    pub key: Option<String>,
    /// The instance that the request was sent to.
    pub instance: String,
    /// When the request was sent, relative to the start of the run.
    pub sent: time::Duration,
    /// The time from sending to the end of the response.
    pub elapsed: time::Duration,
    /// The timeout of the request.
    pub timeout: time::Duration,
    /// The outcome reported to the caller.
    pub outcome: CallOutcome,
    /// Whether the received text is a prefix of the response expected for this request or, for a
    /// service call, whether the service echoed the body that was sent.
    pub matches_request: bool,
    /// Whether the complete response arrived.
    pub complete: bool,
    /// The error code, if any.
    pub code: Option<String>,
}

/// The table revision in force on an instance at one time.
#[derive(Clone, Debug)]
pub struct RevisionObservation {
    /// The instance.
    pub instance: String,
    /// When the instance responded, relative to the start of the run.
    pub at: time::Duration,
    /// The revision in force.
    pub revision: u64,
}

/// A table change that the store accepted.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When the change was accepted or, if later, when all instances were reachable again.
    pub at: time::Duration,
    /// The revision that the change created.
    pub revision: u64,
}

/// A period in which an instance was killed or frozen by a fault.
#[derive(Clone, Debug)]
pub struct Outage {
    /// The instance.
    pub instance: String,
    /// When the outage began, relative to the start of the run.
    pub from: time::Duration,
    /// When the outage ended, or `None` if it did not end.
    pub until: Option<time::Duration>,
}

/// A signal to an instance to drain and stop.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The instance.
    pub instance: String,
    /// When the signal was sent, relative to the start of the run.
    pub at: time::Duration,
}

/// Everything that was recorded during a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The calls made by the test.
    pub calls: Vec<Call>,
    /// Hashes of the prompts that engines started.
    pub started_prompts: Vec<u64>,
    /// The calls that services ran.
    pub service_runs: Vec<service::RecordedRequest>,
    /// Memory in tokens that each engine had not released by the end of the run.
    pub unreleased_memory: Vec<(String, u64)>,
    /// The revisions observed on the instances.
    pub observations: Vec<RevisionObservation>,
    /// The table changes that the store accepted.
    pub changes: Vec<Change>,
    /// The outages of instances.
    pub outages: Vec<Outage>,
    /// The drain signals sent to instances.
    pub drains: Vec<Drain>,
    /// The version that each engine served at the end of the run.
    pub engine_versions: Vec<(String, Option<String>)>,
    /// The version declared last, if any.
    pub declared_version: Option<String>,
    /// The number of requests that were active on each engine when its version changed.
    pub requests_during_switch: Vec<(String, u64)>,
    /// Whether faults affected upstreams or links, in which case requests on a draining instance
    /// may fail.
    pub upstream_faults: bool,
}

/// A violation of an invariant; the value describes the call, engine, key, instance or change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request did not end within its timeout, or its connection broke without an outcome.
    DeadlineExceeded(String),
    /// An engine had not released its memory by the end of the run.
    MemoryNotReleased(String),
    /// A response belonged to another request, or was incomplete although it ended normally.
    WrongResponse(String),
    /// A request that ran was reported as not run.
    RanDespiteNotRun(String),
    /// A run-once call ran more than once.
    RunOnceRepeated(String),
    /// A draining instance accepted work after the drain bound.
    AcceptedWhileDraining(String),
    /// A draining instance interrupted a request.
    InterruptedByDrain(String),
    /// An instance returned to an older revision.
    RevisionDecreased(String),
    /// A change was not in force on an instance within [`CHANGE_BOUND`].
    ChangeNotInForce(String),
    /// An engine did not serve the declared version at the end of the run.
    VersionNotConverged(String),
    /// An engine changed its version while requests were running.
    VersionChangedInUse(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::DeadlineExceeded(call) => write!(f, "deadline exceeded: {call}"),
            Violation::MemoryNotReleased(engine) => write!(f, "memory not released: {engine}"),
            Violation::WrongResponse(call) => write!(f, "wrong or incomplete response: {call}"),
            Violation::RanDespiteNotRun(call) => {
                write!(f, "ran but was reported as not run: {call}")
            }
            Violation::RunOnceRepeated(key) => write!(f, "run-once call ran more than once: {key}"),
            Violation::AcceptedWhileDraining(call) => {
                write!(f, "draining instance accepted work: {call}")
            }
            Violation::InterruptedByDrain(call) => {
                write!(f, "draining instance interrupted request: {call}")
            }
            Violation::RevisionDecreased(instance) => write!(f, "revision decreased: {instance}"),
            Violation::ChangeNotInForce(change) => {
                write!(f, "change not in force in time: {change}")
            }
            Violation::VersionNotConverged(engine) => write!(f, "version not converged: {engine}"),
            Violation::VersionChangedInUse(engine) => {
                write!(f, "version changed while requests ran: {engine}")
            }
        }
    }
}

/// The time after which a draining instance must not accept work: its grace period of two
/// seconds, and one second for the scheduling of the caller and the process.
pub const DRAIN_BOUND: time::Duration = time::Duration::from_secs(3);

impl Call {
    fn describe(&self) -> String {
        format!(
            "{} at {} sent {:?} took {:?} outcome {:?} code {:?}",
            self.identity, self.instance, self.sent, self.elapsed, self.outcome, self.code
        )
    }

    fn overlaps(&self, outage: &Outage) -> bool {
        let ends = self.sent + self.elapsed;
        outage.instance == self.instance
            && outage.from <= ends
            && outage.until.is_none_or(|until| until >= self.sent)
    }
}

impl History {
    /// Checks all invariants and returns the violations.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_deadlines(&mut violations);
        self.check_memory(&mut violations);
        self.check_responses(&mut violations);
        self.check_not_run(&mut violations);
        self.check_run_once(&mut violations);
        self.check_drains(&mut violations);
        self.check_revisions(&mut violations);
        self.check_changes(&mut violations);
        self.check_versions(&mut violations);
        violations
    }

    /// Returns `true` if the instance was killed or frozen during the call, so that no response
    /// can be expected.
    fn overlaps_outage(&self, call: &Call) -> bool {
        self.outages.iter().any(|outage| call.overlaps(outage))
    }

    fn check_deadlines(&self, violations: &mut Vec<Violation>) {
        for call in self.calls.iter().filter(|call| !self.overlaps_outage(call)) {
            let late = call.elapsed > call.timeout + TIMEOUT_SLACK;
            if late || call.outcome == CallOutcome::NoResponse && !self.draining_before(call) {
                violations.push(Violation::DeadlineExceeded(call.describe()));
            }
        }
    }

    /// Returns `true` if the instance had been signalled to drain before the call was sent.
    fn draining_before(&self, call: &Call) -> bool {
        self.drains
            .iter()
            .any(|drain| drain.instance == call.instance && drain.at <= call.sent)
    }

    fn check_memory(&self, violations: &mut Vec<Violation>) {
        for (engine, tokens) in self
            .unreleased_memory
            .iter()
            .filter(|(_, tokens)| *tokens > 0)
        {
            violations.push(Violation::MemoryNotReleased(format!(
                "{engine}: {tokens} tokens"
            )));
        }
    }

    fn check_responses(&self, violations: &mut Vec<Violation>) {
        for call in &self.calls {
            let reported_complete = call.outcome == CallOutcome::Completed;
            let mismatched = !call.matches_request
                && (reported_complete || call.outcome == CallOutcome::NoResponse && call.complete);
            if mismatched || reported_complete && !call.complete {
                violations.push(Violation::WrongResponse(call.describe()));
            }
        }
    }

    fn check_not_run(&self, violations: &mut Vec<Violation>) {
        let prompts_run: collections::HashSet<_> = self
            .started_prompts
            .iter()
            .map(|hash| format!("{hash:016x}"))
            .collect();
        // Calls with the same key share a body, so the body does not show through which instance
        // the call ran. They are checked by key instead.
        let bodies: collections::HashSet<_> = self
            .service_runs
            .iter()
            .filter(|run| run.key.is_none())
            .map(|run| &run.body)
            .collect();
        let keys_run: collections::HashSet<_> = self
            .service_runs
            .iter()
            .filter_map(|run| run.key.as_ref())
            .collect();
        let mut by_key: collections::BTreeMap<&String, Vec<&Call>> = collections::BTreeMap::new();
        for call in self.calls.iter() {
            if let Some(key) = &call.key {
                by_key.entry(key).or_default().push(call);
                continue;
            }
            let has_run = prompts_run.contains(&call.identity) || bodies.contains(&call.identity);
            if call.outcome == CallOutcome::NotRun && has_run {
                violations.push(Violation::RanDespiteNotRun(call.describe()));
            }
        }
        for (key, calls) in by_key {
            let all_not_run = calls.iter().all(|call| call.outcome == CallOutcome::NotRun);
            if all_not_run && keys_run.contains(key) {
                violations.push(Violation::RanDespiteNotRun(key.clone()));
            }
        }
    }

    fn check_run_once(&self, violations: &mut Vec<Violation>) {
        let mut runs: collections::BTreeMap<&String, usize> = collections::BTreeMap::new();
        for key in self.service_runs.iter().filter_map(|run| run.key.as_ref()) {
            *runs.entry(key).or_default() += 1;
        }
        for (key, count) in runs.into_iter().filter(|(_, count)| *count > 1) {
            violations.push(Violation::RunOnceRepeated(format!("{key}: {count} times")));
        }
    }

    /// Returns when an instance could receive its drain signal. A frozen instance receives it when
    /// it resumes.
    fn drain_received_at(&self, drain: &Drain) -> time::Duration {
        let outages = self
            .outages
            .iter()
            .filter(|outage| outage.instance == drain.instance);
        let ends = outages
            .filter(|outage| outage.from <= drain.at)
            .filter_map(|outage| outage.until);
        ends.max().unwrap_or_default().max(drain.at)
    }

    fn check_drains(&self, violations: &mut Vec<Violation>) {
        for drain in &self.drains {
            let received_at = self.drain_received_at(drain);
            let calls = self
                .calls
                .iter()
                .filter(|call| call.instance == drain.instance);
            for call in calls.filter(|call| !self.overlaps_outage(call)) {
                let accepted = matches!(
                    call.outcome,
                    CallOutcome::Completed | CallOutcome::Failed | CallOutcome::Unknown
                );
                if accepted && call.sent > received_at + DRAIN_BOUND {
                    violations.push(Violation::AcceptedWhileDraining(call.describe()));
                }
                let interrupted =
                    matches!(call.outcome, CallOutcome::NoResponse | CallOutcome::Failed);
                if call.sent < drain.at && interrupted && !self.upstream_faults {
                    violations.push(Violation::InterruptedByDrain(call.describe()));
                }
            }
        }
    }

    fn check_revisions(&self, violations: &mut Vec<Violation>) {
        let mut highest: collections::BTreeMap<&String, u64> = collections::BTreeMap::new();
        for observation in &self.observations {
            let highest_seen = highest.entry(&observation.instance).or_default();
            if observation.revision < *highest_seen {
                let detail = format!(
                    "{} from {} to {}",
                    observation.instance, highest_seen, observation.revision
                );
                violations.push(Violation::RevisionDecreased(detail));
            }
            *highest_seen = observation.revision.max(*highest_seen);
        }
    }

    fn check_changes(&self, violations: &mut Vec<Violation>) {
        let instances: collections::BTreeSet<_> = self
            .observations
            .iter()
            .map(|observation| &observation.instance)
            .collect();
        for change in &self.changes {
            for instance in &instances {
                let late = self
                    .observations
                    .iter()
                    .filter(|observation| observation.instance == **instance)
                    .find(|observation| observation.at > change.at + CHANGE_BOUND)
                    .is_some_and(|observation| observation.revision < change.revision);
                if late {
                    let detail = format!("revision {} on {instance}", change.revision);
                    violations.push(Violation::ChangeNotInForce(detail));
                }
            }
        }
    }

    fn check_versions(&self, violations: &mut Vec<Violation>) {
        let Some(declared) = &self.declared_version else {
            return;
        };
        for (engine, version) in &self.engine_versions {
            if version.as_ref() != Some(declared) {
                violations.push(Violation::VersionNotConverged(format!(
                    "{engine} serves {version:?}"
                )));
            }
        }
        for (engine, requests) in self
            .requests_during_switch
            .iter()
            .filter(|(_, requests)| *requests > 0)
        {
            violations.push(Violation::VersionChangedInUse(format!(
                "{engine}: {requests} requests"
            )));
        }
    }

    /// Adds the prompts, memory and versions reported by an engine at the end of the run.
    pub fn add_engine_stats(&mut self, name: &str, stats: &engine::Stats) {
        self.started_prompts
            .extend(stats.started.iter().map(|request| request.prompt_hash));
        self.unreleased_memory
            .push((name.to_owned(), stats.memory_tokens));
        let version = stats.orders.last().map(|order| order.version.clone());
        self.engine_versions.push((name.to_owned(), version));
        self.requests_during_switch
            .push((name.to_owned(), stats.requests_during_switch));
    }
}
