//! Performs each step and records its history.

mod revisions;
mod tables;

use std::time;

use rand::{Rng as _, SeedableRng as _};
use tokio::task;

use crate::{
    caller::{CallResult, Caller, ModelRequest},
    engine,
    fleet::{self, Fleet},
    history::{Call, CallOutcome, Drain, History},
    matrix,
};

/// The index of the daemon that daemon faults affect and that the drain step drains.
pub const TARGET_DAEMON: usize = 0;

/// The timeout sent with model requests.
const MODEL_TIMEOUT: time::Duration = time::Duration::from_millis(10_000);

/// The timeout of the service route.
const SERVICE_TIMEOUT: time::Duration = time::Duration::from_millis(10_000);

/// The time after which a caller stops waiting; the deadline of the request has passed by then.
const CALLER_TIMEOUT: time::Duration = time::Duration::from_millis(20_000);

/// The time after the last request within which engines must release their memory: the lifetime
/// of a hold, the grace period of an orphaned request, and a report interval.
const MEMORY_RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(45);

/// The window in milliseconds over which a step spreads its requests, so that the fault is
/// injected while they are in progress.
const SEND_WINDOW_MS: u64 = 2_500;

/// The interval between polls of the daemons and engines.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The state of a run in progress.
pub struct RunState {
    started: time::Instant,
    rng: rand::rngs::StdRng,
    caller: Caller,
    calls: task::JoinSet<Call>,
    history: History,
    next_seed: u64,
}

impl RunState {
    /// Creates the state of a run that starts now.
    pub fn new(seed: u64, upstream_faults: bool) -> RunState {
        RunState {
            started: time::Instant::now(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            caller: Caller::default(),
            calls: task::JoinSet::new(),
            history: History {
                upstream_faults,
                ..History::default()
            },
            next_seed: seed.wrapping_mul(1_000_003),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Returns a mutable reference to the recorded history.
    pub fn history_mut(&mut self) -> &mut History {
        &mut self.history
    }

    fn send_model_request(
        &mut self,
        fleet: &Fleet,
        daemon: usize,
        delay: time::Duration,
        tokens: u64,
    ) {
        self.next_seed += 1;
        let route = ["fitting", "advice", "ledger"][self.rng.random_range(0..3)];
        let request = ModelRequest {
            route: route.to_owned(),
            workspace: format!("counter-{}", self.next_seed % 3),
            seed: self.next_seed,
            prompt_tokens: tokens,
            max_tokens: 40,
            stream: self.rng.random_bool(0.8),
            timeout: Some(MODEL_TIMEOUT),
        };
        let daemon = &fleet.daemons[daemon];
        let (instance, url) = (daemon.name.clone(), daemon.url());
        let (caller, started) = (self.caller.clone(), self.started);
        self.calls.spawn(async move {
            tokio::time::sleep(delay).await;
            let identity = format!("{:016x}", engine::prompt_hash(&request.body()));
            let sent = started.elapsed();
            let call = caller.send_model_request(&url, &request);
            let result = tokio::time::timeout(CALLER_TIMEOUT, call).await;
            let mut result = result.unwrap_or_else(|_| timed_out_result());
            // Measured on the clock of the run, which also timestamps outages.
            result.elapsed = started.elapsed() - sent;
            call_from_result(result, identity, None, instance, sent, MODEL_TIMEOUT)
        });
    }

    fn send_booking(&mut self, fleet: &Fleet, daemon: usize, delay: time::Duration, key: String) {
        let daemon = &fleet.daemons[daemon];
        let (instance, url) = (daemon.name.clone(), daemon.url());
        let (caller, started) = (self.caller.clone(), self.started);
        self.calls.spawn(async move {
            tokio::time::sleep(delay).await;
            let sent = started.elapsed();
            let call = caller.call_service(&url, "booking", "counter", Some(&key), &key);
            let result = tokio::time::timeout(CALLER_TIMEOUT, call).await;
            let mut result = result.unwrap_or_else(|_| timed_out_result());
            // Measured on the clock of the run, which also timestamps outages.
            result.elapsed = started.elapsed() - sent;
            call_from_result(
                result,
                key.clone(),
                Some(key),
                instance,
                sent,
                SERVICE_TIMEOUT,
            )
        });
    }

    async fn join_calls(&mut self) {
        while let Some(call) = self.calls.join_next().await {
            self.history.calls.extend(call.ok());
        }
    }

    /// Waits until the engines have released their memory and adds what the upstreams ran to the
    /// history.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not respond.
    pub async fn into_history(mut self, fleet: &Fleet) -> fleet::Result<History> {
        self.join_calls().await;
        let deadline = time::Instant::now() + MEMORY_RELEASE_TIMEOUT;
        for engine in &fleet.engines {
            let stats = wait_for_memory_release(fleet, &engine.url(), deadline).await?;
            self.history.add_engine_stats(&engine.name, &stats);
        }
        for service in fleet
            .services
            .iter()
            .filter(|service| service.process.is_some())
        {
            let url = format!("{}/_ran", service.url());
            self.history
                .service_runs
                .extend(fleet.get_json::<Vec<_>>(&url).await?);
        }
        Ok(self.history)
    }
}

/// Returns the statistics of an engine once it has released its memory, or at the deadline. Errors
/// before the deadline are ignored, since an engine may be restarting.
async fn wait_for_memory_release(
    fleet: &Fleet,
    url: &str,
    deadline: time::Instant,
) -> fleet::Result<engine::Stats> {
    loop {
        let stats: fleet::Result<engine::Stats> = fleet.get_json(&format!("{url}/stats")).await;
        let released = stats.as_ref().is_ok_and(|stats| stats.memory_tokens == 0);
        if released || time::Instant::now() > deadline {
            return stats;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn timed_out_result() -> CallResult {
    CallResult {
        elapsed: CALLER_TIMEOUT,
        ..CallResult::default()
    }
}

fn call_from_result(
    result: CallResult,
    identity: String,
    key: Option<String>,
    instance: String,
    sent: time::Duration,
    timeout: time::Duration,
) -> Call {
    let outcome = CallOutcome::of(result.status, result.outcome.as_deref(), result.ended);
    Call {
        identity,
        key,
        instance,
        sent,
        elapsed: result.elapsed,
        timeout,
        outcome,
        matches_request: result.matches_request,
        complete: result.complete,
        code: result.code,
    }
}

/// A step in progress.
pub struct RunningStep {
    step: matrix::Step,
    /// Polls the table revisions in the background, for the steps that need it.
    poller: Option<revisions::RevisionPoller>,
}

impl RunningStep {
    /// Begins a step, before the faults are injected.
    ///
    /// # Errors
    ///
    /// Returns an error if a client of the platform cannot be created.
    pub async fn begin(
        step: matrix::Step,
        state: &mut RunState,
        fleet: &mut Fleet,
    ) -> fleet::Result<RunningStep> {
        let poller = matches!(step, matrix::Step::TableChange | matrix::Step::Join)
            .then(|| revisions::RevisionPoller::start(state.started, fleet));
        match step {
            matrix::Step::Request => send_requests(state, fleet, 36),
            matrix::Step::RunOnce => send_bookings(state, fleet),
            matrix::Step::TableChange => tables::change(state, fleet, "before", false).await?,
            matrix::Step::Join => send_requests(state, fleet, 9),
            matrix::Step::Drain => send_drain_requests(state, fleet),
            matrix::Step::Order | matrix::Step::OrderUnchecked => {
                send_requests(state, fleet, 36);
                tables::declare_version(state, fleet, "v1", step).await?;
            }
        }
        Ok(RunningStep { step, poller })
    }

    /// Performs the part of the step that takes place during the faults.
    ///
    /// # Errors
    ///
    /// Returns an error if a client of the platform cannot be created, or a process cannot be
    /// started or signalled.
    pub async fn run_during_faults(
        &self,
        state: &mut RunState,
        fleet: &mut Fleet,
    ) -> fleet::Result<()> {
        match self.step {
            matrix::Step::TableChange => {
                for attempt in 0..4 {
                    tables::change(state, fleet, &format!("during-{attempt}"), true).await?;
                }
            }
            matrix::Step::Join => {
                fleet.start_daemon(1, 3).await?;
            }
            matrix::Step::Drain => drain_daemon(state, fleet)?,
            matrix::Step::Order | matrix::Step::OrderUnchecked => {
                tables::declare_version(state, fleet, "v2", self.step).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Finishes the step after the faults are cleared.
    ///
    /// # Errors
    ///
    /// Returns an error if a client of the platform cannot be created or a joining instance does
    /// not become live.
    pub async fn finish(self, state: &mut RunState, fleet: &mut Fleet) -> fleet::Result<()> {
        match self.step {
            matrix::Step::RunOnce => resend_bookings(state, fleet),
            matrix::Step::TableChange => {
                tables::wait_for_last_change(state, fleet).await?;
            }
            matrix::Step::Join => send_join_requests(state, fleet).await?,
            matrix::Step::Order | matrix::Step::OrderUnchecked => {
                tables::wait_for_versions(state, fleet, self.step).await?;
            }
            _ => {}
        }
        state.join_calls().await;
        if let Some(poller) = self.poller {
            poller.finish(state).await;
        }
        Ok(())
    }
}

fn send_requests(state: &mut RunState, fleet: &Fleet, count: u64) {
    // A long prompt, which a group of engines is still prefilling when the fault is injected.
    state.send_model_request(
        fleet,
        TARGET_DAEMON,
        time::Duration::from_millis(200),
        150_000,
    );
    for index in 0..count {
        let tokens = match index % 12 {
            5 => 30_000,
            9 => 150_000,
            _ => state.rng.random_range(1_000..4_000),
        };
        let delay = time::Duration::from_millis(index * SEND_WINDOW_MS / count);
        state.send_model_request(fleet, index as usize % fleet.daemons.len(), delay, tokens);
    }
}

const BOOKING_COUNT: u64 = 30;

fn booking_key(index: u64) -> String {
    format!("booking-{index}")
}

/// Sends each booking through two instances within a few milliseconds of each other.
fn send_bookings(state: &mut RunState, fleet: &Fleet) {
    for index in 0..BOOKING_COUNT {
        for duplicate in 0..2 {
            let daemon = (index + duplicate * 3) as usize % fleet.daemons.len();
            let jitter = state.rng.random_range(0..20);
            let delay =
                time::Duration::from_millis(index * SEND_WINDOW_MS / BOOKING_COUNT + jitter);
            state.send_booking(fleet, daemon, delay, booking_key(index));
        }
    }
}

/// Sends each booking again through another instance.
fn resend_bookings(state: &mut RunState, fleet: &Fleet) {
    for index in 0..BOOKING_COUNT {
        let daemon = (index + 1) as usize % fleet.daemons.len();
        state.send_booking(fleet, daemon, time::Duration::ZERO, booking_key(index));
    }
}

/// Sends the requests that are in progress when the instance drains: a long prompt and short
/// prompts.
fn send_drain_requests(state: &mut RunState, fleet: &Fleet) {
    state.send_model_request(fleet, TARGET_DAEMON, time::Duration::ZERO, 150_000);
    for index in 0..10 {
        let delay = time::Duration::from_millis(index * 60);
        state.send_model_request(fleet, TARGET_DAEMON, delay, 2_000);
        state.send_model_request(fleet, TARGET_DAEMON + 1, delay, 2_000);
    }
}

fn drain_daemon(state: &mut RunState, fleet: &mut Fleet) -> fleet::Result<()> {
    let at = state.now();
    let daemon = &fleet.daemons[TARGET_DAEMON];
    let instance = daemon.name.clone();
    if let Some(process) = &daemon.process {
        process.send_signal("TERM")?;
    }
    state.history.drains.push(Drain { instance, at });
    // The instance list lags and still contains the instance, so callers keep connecting to it.
    for index in 0..12 {
        let delay = time::Duration::from_millis(index * 500);
        state.send_model_request(fleet, TARGET_DAEMON, delay, 1_000);
        state.send_model_request(fleet, TARGET_DAEMON + 1, delay, 1_000);
    }
    Ok(())
}

async fn send_join_requests(state: &mut RunState, fleet: &Fleet) -> fleet::Result<()> {
    let joined = fleet.daemons.len() - 1;
    let daemon = &fleet.daemons[joined];
    fleet
        .wait_until("the joined instance is live", async || {
            fleet
                .status(daemon)
                .await
                .is_ok_and(|status| status.stage == "live")
        })
        .await?;
    for index in 0..6 {
        state.send_model_request(
            fleet,
            joined,
            time::Duration::from_millis(index * 50),
            1_000,
        );
    }
    Ok(())
}
