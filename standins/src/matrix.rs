//! The fault matrix: runs every step with every fault in real processes and checks the recorded
//! history.

mod inject;
mod steps;

use std::{fmt, time};

use crate::{
    fleet::{self, Fleet},
    history::{History, Violation},
};

/// The operation in progress when the fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Model requests are waiting, being prefilled and streaming.
    Request,
    /// Run-once calls are being claimed, run and recorded.
    RunOnce,
    /// Operators are changing the tables.
    TableChange,
    /// An instance is joining.
    Join,
    /// An instance is draining with requests in progress.
    Drain,
    /// Engines that check the fencing number are ordered to serve a version.
    Order,
    /// Engines that ignore the fencing number are ordered to serve a version.
    OrderUnchecked,
}

impl Step {
    /// All steps.
    pub const ALL: [Step; 7] = [
        Step::Request,
        Step::RunOnce,
        Step::TableChange,
        Step::Join,
        Step::Drain,
        Step::Order,
        Step::OrderUnchecked,
    ];

    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Step::Request => "request",
            Step::RunOnce => "run-once",
            Step::TableChange => "table-change",
            Step::Join => "join",
            Step::Drain => "leave",
            Step::Order => "order",
            Step::OrderUnchecked => "order-unchecked",
        }
    }
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault; checks that the step succeeds by itself.
    None,
    /// The first daemon, which the drain step drains, is killed.
    DaemonKilled,
    /// The same daemon as for [`Fault::DaemonKilled`] is frozen temporarily.
    DaemonFrozen,
    /// The keeper, in the first zone, of the pool that the step uses is killed: the services' pool
    /// for run-once calls and the engines' pool otherwise. Like any other instance, it also writes
    /// the run-once records of some shards.
    KeeperKilled,
    /// The same keeper as for [`Fault::KeeperKilled`] is frozen temporarily.
    KeeperFrozen,
    /// An availability zone is cut off from the others.
    ZoneCut,
    /// All availability zones are cut off from the platform.
    PlatformCut,
    /// The store refuses every call.
    StoreUnavailable,
    /// The store delays every call.
    StoreSlow,
    /// Writes to the store take effect, but their responses are lost.
    ResponseLost,
    /// A lease expires while its holder is frozen.
    LeaseExpired,
    /// Operators change the tables concurrently. The table-change step does this with every fault,
    /// so nothing is injected.
    RacingEdit,
    /// Upstreams are killed; the engines are restarted when the fault is cleared.
    UpstreamKilled,
    /// Upstreams accept requests and never respond.
    UpstreamFrozen,
    /// Upstreams close their connections in the middle of responses.
    StreamCut,
    /// Upstreams end their responses early, as if they were complete.
    StreamTruncated,
    /// Upstreams insert chunks of other responses.
    StreamCrossed,
    /// Upstreams repeat chunks.
    StreamDuplicated,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 18] = [
        Fault::None,
        Fault::DaemonKilled,
        Fault::DaemonFrozen,
        Fault::KeeperKilled,
        Fault::KeeperFrozen,
        Fault::ZoneCut,
        Fault::PlatformCut,
        Fault::StoreUnavailable,
        Fault::StoreSlow,
        Fault::ResponseLost,
        Fault::LeaseExpired,
        Fault::RacingEdit,
        Fault::UpstreamKilled,
        Fault::UpstreamFrozen,
        Fault::StreamCut,
        Fault::StreamTruncated,
        Fault::StreamCrossed,
        Fault::StreamDuplicated,
    ];

    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::DaemonKilled => "entry-killed",
            Fault::DaemonFrozen => "entry-frozen",
            Fault::KeeperKilled => "keeper-killed",
            Fault::KeeperFrozen => "keeper-frozen",
            Fault::ZoneCut => "zone-cut",
            Fault::PlatformCut => "platform-cut",
            Fault::StoreUnavailable => "store-out",
            Fault::StoreSlow => "store-slow",
            Fault::ResponseLost => "answer-lost",
            Fault::LeaseExpired => "lease-lapsed",
            Fault::RacingEdit => "racing-edit",
            Fault::UpstreamKilled => "upstream-killed",
            Fault::UpstreamFrozen => "upstream-frozen",
            Fault::StreamCut => "stream-cut",
            Fault::StreamTruncated => "stream-truncated",
            Fault::StreamCrossed => "stream-crossed",
            Fault::StreamDuplicated => "stream-duplicated",
        }
    }

    /// Returns `true` if the fault may cause requests to fail while their instance is running.
    fn affects_upstreams(self) -> bool {
        matches!(
            self,
            Fault::ZoneCut
                | Fault::UpstreamKilled
                | Fault::UpstreamFrozen
                | Fault::StreamCut
                | Fault::StreamTruncated
                | Fault::StreamCrossed
                | Fault::StreamDuplicated
        )
    }
}

/// A step and the faults injected during it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The step.
    pub step: Step,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<_> = self.faults.iter().map(|fault| fault.as_str()).collect();
        write!(f, "{}/{}", self.step.as_str(), faults.join("+"))
    }
}

impl Cell {
    /// Returns the reason why the cell cannot be run, if any.
    pub fn skip_reason(&self) -> Option<&'static str> {
        let has_lease_fault = self.faults.contains(&Fault::LeaseExpired);
        if has_lease_fault && !matches!(self.step, Step::Order | Step::OrderUnchecked) {
            return Some("only the order steps use a lease");
        }
        None
    }

    /// Runs the cell in a newly started fleet and returns the recorded history.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be started or the fault cannot be injected.
    pub async fn run(&self, seed: u64) -> fleet::Result<History> {
        let mut fleet = Fleet::start(fleet_config(self.step)).await?;
        fleet.apply_tables(&fleet::tables_toml()).await?;
        let mut state = steps::RunState::new(seed, self.affects_upstreams());
        let step = steps::RunningStep::begin(self.step, &mut state, &mut fleet).await?;
        tokio::time::sleep(FAULT_DELAY).await;
        let mut active_faults = Vec::new();
        for fault in &self.faults {
            active_faults.push(inject::inject(*fault, self.step, &mut fleet, &mut state).await?);
        }
        step.run_during_faults(&mut state, &mut fleet).await?;
        tokio::time::sleep(self.fault_duration()).await;
        for active_fault in active_faults {
            active_fault.clear(&mut fleet, &mut state).await?;
        }
        step.finish(&mut state, &mut fleet).await?;
        state.into_history(&fleet).await
    }

    /// Returns how long the faults last. A lease expires only if its holder is frozen for longer
    /// than the lifetime of the lease.
    fn fault_duration(&self) -> time::Duration {
        if self.faults.contains(&Fault::LeaseExpired) {
            return limpetkeel::LEASE_LIFETIME.duration() + FAULT_DURATION;
        }
        FAULT_DURATION
    }

    fn affects_upstreams(&self) -> bool {
        self.faults.iter().any(|fault| fault.affects_upstreams())
    }

    /// Runs the cell and returns the violated invariants.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Cell::run`].
    pub async fn check(&self, seed: u64) -> fleet::Result<Vec<Violation>> {
        Ok(self.run(seed).await?.violations())
    }
}

/// The time between the start of the step and the injection of the faults.
const FAULT_DELAY: time::Duration = time::Duration::from_millis(700);

/// The duration of a fault that can be cleared.
const FAULT_DURATION: time::Duration = time::Duration::from_millis(4_000);

fn fleet_config(step: Step) -> fleet::Config {
    let fencing_flag = (step == Step::OrderUnchecked).then_some("--ignore-fencing");
    let engine_args = ["--prefill", "100000", "--step-ms", "10", "--slots", "8"];
    fleet::Config {
        relayed: true,
        // Two daemons of each zone watch the store; the third is notified of changes by them.
        daemons_per_zone: 3,
        engine_args: [&engine_args[..], &["--memory", "100000", "--lag-ms", "200"]]
            .concat()
            .into_iter()
            .chain(fencing_flag)
            .map(str::to_owned)
            .collect(),
        ..fleet::Config::default()
    }
}
