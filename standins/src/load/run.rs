//! Runs a load scenario against a newly started fleet.

use std::{sync, time};

use limpetkeel::Rank;

use super::{DAEMONS_PER_ZONE, Disturbance, ENGINES_PER_ZONE, Measurements, RunConfig, arrivals};
use crate::{
    caller::{Caller, ModelRequest},
    engine, fault,
    fleet::{self, Fleet},
};

/// The timeout of batch requests; it keeps the backlog of a flood from extending the run by
/// minutes.
const BATCH_TIMEOUT_MS: u64 = 90_000;

fn fleet_config(config: &RunConfig) -> fleet::Config {
    let mut engine_args = vec!["--lag-ms".to_owned(), "500".to_owned()];
    if config.policy == "round-robin" {
        engine_args.push("--first-come".to_owned());
    }
    fleet::Config {
        daemons_per_zone: DAEMONS_PER_ZONE,
        spare_daemons: 0,
        engines_per_zone: ENGINES_PER_ZONE,
        engine_args,
        policy: config.policy.clone(),
        log: "warn".to_owned(),
        ..fleet::Config::default()
    }
}

fn route_of(rank: Rank) -> &'static str {
    match rank {
        Rank::Urgent => "fitting",
        Rank::Normal => "advice",
        Rank::Batch => "ledger",
    }
}

/// Starts a fleet, sends the configured load and returns the measurements.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, configured or queried for its statistics.
pub async fn run(config: &RunConfig) -> fleet::Result<Measurements> {
    let mut fleet = Fleet::start(fleet_config(config)).await?;
    fleet
        .apply_tables(&fleet::tables_toml_with_batch_timeout(BATCH_TIMEOUT_MS))
        .await?;
    let arrivals = arrivals::arrivals(config);
    let urls: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::url).collect();
    let measurements = sync::Arc::new(parking_lot::Mutex::new(Measurements::default()));
    if config.scenario.disturbance == Disturbance::StoreUnavailable {
        let refuse = fault::Fault {
            kind: fault::FaultKind::Refuse,
            delay_ms: 0,
            count: None,
        };
        fleet.set_store_fault(Some(refuse)).await?;
    }
    let started = time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    let mut crash_times = crash_times(config);
    for (index, arrival) in arrivals.into_iter().enumerate() {
        if crash_times
            .first()
            .is_some_and(|crash_time| *crash_time <= arrival.at)
        {
            crash_times.remove(0);
            crash_process(&mut fleet, crash_times.len()).await;
        }
        tokio::time::sleep_until((started + arrival.at).into()).await;
        let request = ModelRequest {
            route: route_of(arrival.rank).to_owned(),
            workspace: arrival.workspace.clone(),
            seed: config.seed.wrapping_mul(1 << 32) + index as u64,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: arrival.max_tokens,
            stream: true,
            timeout: None,
        };
        let (url, measurements) = (urls[arrival.daemon_index].clone(), measurements.clone());
        requests.spawn(async move {
            // Each caller opens its own connection, as real callers do not share one.
            let result = Caller::default().send_model_request(&url, &request).await;
            measurements.lock().record(&arrival, &result);
        });
    }
    while requests.join_next().await.is_some() {}
    let span = started.elapsed();
    let mut engine_tokens = 0;
    for engine in fleet
        .engines
        .iter()
        .filter(|engine| engine.process.is_some())
    {
        let stats: engine::Stats = fleet.get_json(&format!("{}/stats", engine.url())).await?;
        engine_tokens += stats.prefilled_tokens + stats.decoded_tokens;
    }
    let mut measurements = std::mem::take(&mut *measurements.lock());
    measurements.engine_tokens = engine_tokens;
    measurements.span = span;
    Ok(measurements)
}

/// Returns the times at which processes are killed: two engines, then a keeper, spaced evenly
/// over the middle of the run.
fn crash_times(config: &RunConfig) -> Vec<time::Duration> {
    if config.scenario.disturbance != Disturbance::CrashesDuringFlood {
        return Vec::new();
    }
    [0.4, 0.55, 0.7]
        .map(|fraction| config.span.mul_f64(fraction))
        .to_vec()
}

/// Kills an engine, or the keeper of the first zone if no further crash follows.
async fn crash_process(fleet: &mut Fleet, remaining: usize) {
    if remaining > 0 {
        fleet.engines[remaining].process = None;
        return;
    }
    for index in 0..usize::from(DAEMONS_PER_ZONE) {
        let status = fleet.status(&fleet.daemons[index]).await;
        if status.is_ok_and(|status| status.kept_pools.iter().any(|pool| pool == "keel-advisor")) {
            fleet.daemons[index].process = None;
            return;
        }
    }
}
