//! Measures how the resource use of each role grows with the system, for the capacity page.

mod decisions;
mod latency;
mod recovery;
mod screening;
mod usage;

use std::time;

use crate::{
    caller::{Caller, ModelRequest},
    fleet::{self, Fleet},
};

pub use decisions::{DecisionCost, measure as measure_decision_cost};
pub use latency::{LatencyComparison, measure as measure_latency};
pub use recovery::{CallRates, Recovery, measure as measure_recovery};
pub use screening::{ScreeningCost, measure as measure_screening_cost};
pub use usage::{CounterSample, InstanceUsage};

/// How long to observe an idle fleet.
const IDLE_DURATION: time::Duration = time::Duration::from_secs(15);

/// How long to observe a fleet under load.
const LOAD_DURATION: time::Duration = time::Duration::from_secs(12);

/// The size of a fleet and the load sent to it.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct FleetSize {
    /// The number of availability zones.
    pub zones: u8,
    /// The number of daemons in each availability zone.
    pub daemons_per_zone: u8,
    /// The number of engines in each availability zone.
    pub engines_per_zone: u8,
    /// The number of requests per second, or zero to measure an idle fleet.
    pub requests_per_second: u32,
}

/// The resource use of a fleet of one size.
#[derive(Clone, Debug, serde::Serialize)]
pub struct SizeMeasurement {
    /// The size of the fleet.
    pub size: FleetSize,
    /// The mean resource use over all instances.
    pub mean: InstanceUsage,
    /// The highest value of each field over all instances, usually that of a keeper.
    pub largest: InstanceUsage,
    /// The number of platform calls per second by all instances.
    #[serde(rename = "platform_calls")]
    pub platform_calls_per_second: f64,
    /// The time until a table change was in force on every instance.
    pub change_in_force: time::Duration,
}

fn fleet_config(size: FleetSize) -> fleet::Config {
    fleet::Config {
        zones: size.zones,
        daemons_per_zone: size.daemons_per_zone,
        spare_daemons: 0,
        engines_per_zone: size.engines_per_zone,
        services_per_zone: 0,
        report_interval: time::Duration::from_millis(1_000),
        engine_args: ["--step-ms", "5", "--prefill", "400000"]
            .map(str::to_owned)
            .to_vec(),
        log: "warn".to_owned(),
        ..fleet::Config::default()
    }
}

/// Starts a fleet of the given size and measures its resource use.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, configured or queried.
pub async fn measure(size: FleetSize) -> fleet::Result<SizeMeasurement> {
    let fleet = Fleet::start(fleet_config(size)).await?;
    fleet.apply_tables(&fleet::tables_toml()).await?;
    let duration = if size.requests_per_second > 0 {
        LOAD_DURATION
    } else {
        IDLE_DURATION
    };
    let before = usage::sample_all(&fleet).await?;
    let calls_before = total_platform_calls(&fleet).await?;
    let started = time::Instant::now();
    send_requests(&fleet, size.requests_per_second, duration).await;
    tokio::time::sleep(duration.saturating_sub(started.elapsed())).await;
    let elapsed = started.elapsed();
    let after = usage::sample_all(&fleet).await?;
    let call_count = total_platform_calls(&fleet).await? - calls_before;
    let usages: Vec<InstanceUsage> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| InstanceUsage::between(before, after, elapsed))
        .collect();
    Ok(SizeMeasurement {
        size,
        mean: InstanceUsage::mean(&usages),
        largest: InstanceUsage::largest(&usages),
        platform_calls_per_second: call_count as f64 / elapsed.as_secs_f64(),
        change_in_force: measure_change_in_force(&fleet).await?,
    })
}

async fn total_platform_calls(fleet: &Fleet) -> fleet::Result<u64> {
    let calls: crate::platform::CallCounts = fleet
        .get_json(&format!("{}/calls", fleet.platform_url()))
        .await?;
    Ok(calls.reads + calls.watches + calls.writes + calls.leases + calls.lists)
}

async fn send_requests(fleet: &Fleet, rate: u32, duration: time::Duration) {
    if rate == 0 {
        return;
    }
    let caller = Caller::default();
    let interval = time::Duration::from_secs(1) / rate;
    let count = (duration.as_secs_f64() * f64::from(rate)) as u64;
    let started = tokio::time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for index in 0..count {
        tokio::time::sleep_until(started + interval * index as u32).await;
        let url = fleet.daemons[index as usize % fleet.daemons.len()].url();
        let request = ModelRequest {
            route: "fitting".to_owned(),
            workspace: format!("ws-{}", index % 1_000),
            seed: index,
            prompt_tokens: 1_000,
            max_tokens: 20,
            stream: true,
            timeout: None,
        };
        let caller = caller.clone();
        requests.spawn(async move { caller.send_model_request(&url, &request).await.complete });
    }
    while requests.join_next().await.is_some() {}
}

/// Changes the tables and returns the time until the change is in force on every instance.
async fn measure_change_in_force(fleet: &Fleet) -> fleet::Result<time::Duration> {
    let local_address = std::net::Ipv4Addr::UNSPECIFIED.into();
    let client = limpetkeeld::platform::Client::new(&fleet.platform_url(), local_address)?;
    let Ok((revision, mut declarations)) = client.tables().await else {
        return Err(fleet::Error::TimedOut("the tables are read"));
    };
    declarations.routes.remove("ledger");
    let started = time::Instant::now();
    let Ok(new_revision) = client.write_tables(revision, &declarations).await else {
        return Err(fleet::Error::TimedOut("the tables are written"));
    };
    for daemon in &fleet.daemons {
        fleet
            .wait_until("the change is in force", async || {
                fleet
                    .status(daemon)
                    .await
                    .is_ok_and(|status| status.revision >= new_revision)
            })
            .await?;
    }
    Ok(started.elapsed())
}
