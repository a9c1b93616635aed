//! Measures the time to recover from a keeper crash, a zone partition and a store outage.

use std::time;

use crate::{
    caller::{Caller, ModelRequest},
    fault,
    fleet::{self, Fleet},
    relay,
};

/// The duration of the store outage and of the zone partition.
const OUTAGE_DURATION: time::Duration = time::Duration::from_secs(30);

/// The interval between requests.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// The number of platform calls per second, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallRates {
    /// Reads of the instance list.
    pub lists: f64,
    /// Long-polling watches.
    pub watches: f64,
    /// Reads of values.
    pub reads: f64,
    /// Writes of values.
    pub writes: f64,
}

/// The measured recovery times and call rates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// The longest time to the first token among the requests sent during the 5 seconds after the
    /// keeper was killed.
    pub keeper_crash_longest_first_token: time::Duration,
    /// The time from the kill of the keeper until first tokens took at most 200 ms again.
    pub keeper_crash_recovery: time::Duration,
    /// The time from the end of the store outage until a run-once call succeeded.
    pub store_outage_run_once_call: time::Duration,
    /// The time from the end of the store outage until a table change was in force everywhere.
    pub store_outage_change: time::Duration,
    /// The time from the end of a zone partition until a table change made during the partition
    /// was in force everywhere.
    pub zone_partition_change: time::Duration,
    /// The platform calls of an idle fleet.
    pub idle_call_rates: CallRates,
    /// The platform calls of a fleet that serves 50 run-once calls per second.
    pub busy_call_rates: CallRates,
}

fn fleet_config() -> fleet::Config {
    fleet::Config {
        daemons_per_zone: 6,
        spare_daemons: 0,
        engines_per_zone: 2,
        relayed: true,
        engine_args: ["--step-ms", "5", "--prefill", "400000"]
            .map(str::to_owned)
            .to_vec(),
        log: "warn".to_owned(),
        report_interval: time::Duration::from_millis(1_000),
        ..fleet::Config::default()
    }
}

/// Measures recovery times and call rates in one fleet of 18 instances.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or does not recover.
pub async fn measure() -> fleet::Result<Recovery> {
    let mut fleet = Fleet::start(fleet_config()).await?;
    fleet.apply_tables(&fleet::tables_toml()).await?;
    let mut recovery = Recovery {
        idle_call_rates: measure_call_rates(&fleet, 0).await?,
        ..Recovery::default()
    };
    recovery.busy_call_rates = measure_call_rates(&fleet, 50).await?;
    measure_zone_partition(&fleet, &mut recovery).await?;
    measure_store_outage(&fleet, &mut recovery).await?;
    measure_keeper_crash(&mut fleet, &mut recovery).await?;
    Ok(recovery)
}

async fn measure_call_rates(
    fleet: &Fleet,
    run_once_calls_per_second: u32,
) -> fleet::Result<CallRates> {
    const SPAN: time::Duration = time::Duration::from_secs(10);
    let url = format!("{}/calls", fleet.platform_url());
    let before: crate::platform::CallCounts = fleet.get_json(&url).await?;
    let started = tokio::time::Instant::now();
    let caller = Caller::default();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..run_once_calls_per_second * SPAN.as_secs() as u32 {
        tokio::time::sleep_until(
            started + SPAN * index / (run_once_calls_per_second * SPAN.as_secs() as u32),
        )
        .await;
        let daemon = fleet.daemons[index as usize % fleet.daemons.len()].url();
        let caller = caller.clone();
        calls.spawn(async move {
            let key = format!("rate-{index}");
            caller
                .call_service(&daemon, "booking", "ws", Some(&key), &key)
                .await
                .complete
        });
    }
    while calls.join_next().await.is_some() {}
    tokio::time::sleep_until(started + SPAN).await;
    let after: crate::platform::CallCounts = fleet.get_json(&url).await?;
    let rate = |before: u64, after: u64| (after - before) as f64 / started.elapsed().as_secs_f64();
    Ok(CallRates {
        lists: rate(before.lists, after.lists),
        watches: rate(before.watches, after.watches),
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
    })
}

fn platform_client(fleet: &Fleet) -> fleet::Result<limpetkeeld::platform::Client> {
    let local_address = std::net::Ipv4Addr::UNSPECIFIED.into();
    Ok(limpetkeeld::platform::Client::new(
        &fleet.platform_url(),
        local_address,
    )?)
}

/// Changes the timeout of a route and returns the new revision.
async fn change_tables(fleet: &Fleet, timeout_ms: u64) -> fleet::Result<limpetkeel::Revision> {
    let client = platform_client(fleet)?;
    let to_error = |_| fleet::Error::TimedOut("the tables are changed");
    let (revision, mut declarations) = client.tables().await.map_err(to_error)?;
    if let Some(route) = declarations.routes.get_mut("advice") {
        route.timeout_ms = limpetkeel::Millis(timeout_ms);
    }
    client
        .write_tables(revision, &declarations)
        .await
        .map_err(to_error)
}

async fn wait_for_revision(fleet: &Fleet, revision: limpetkeel::Revision) -> fleet::Result<()> {
    for daemon in fleet
        .daemons
        .iter()
        .filter(|daemon| daemon.process.is_some())
    {
        fleet
            .wait_until("the change is in force", async || {
                fleet
                    .status(daemon)
                    .await
                    .is_ok_and(|status| status.revision >= revision)
            })
            .await?;
    }
    Ok(())
}

async fn measure_zone_partition(fleet: &Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let cut = |second_zone| relay::ZoneCut {
        first_zone: 1,
        second_zone,
    };
    fleet
        .set_cuts(&[cut(2), cut(3), cut(fleet::PLATFORM_ZONE)])
        .await?;
    tokio::time::sleep(OUTAGE_DURATION / 2).await;
    let revision = change_tables(fleet, 50_001).await?;
    tokio::time::sleep(OUTAGE_DURATION / 2).await;
    let cleared_at = time::Instant::now();
    fleet.set_cuts(&[]).await?;
    wait_for_revision(fleet, revision).await?;
    recovery.zone_partition_change = cleared_at.elapsed();
    Ok(())
}

async fn measure_store_outage(fleet: &Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let refuse = fault::Fault {
        kind: fault::FaultKind::Refuse,
        delay_ms: 0,
        count: None,
    };
    fleet.set_store_fault(Some(refuse)).await?;
    tokio::time::sleep(OUTAGE_DURATION).await;
    let cleared_at = time::Instant::now();
    fleet.set_store_fault(None).await?;
    let caller = Caller::default();
    let daemon = fleet.daemons[1].url();
    fleet
        .wait_until("a keyed call succeeds", async || {
            caller
                .call_service(&daemon, "booking", "ws", Some("after-outage"), "x")
                .await
                .complete
        })
        .await?;
    recovery.store_outage_run_once_call = cleared_at.elapsed();
    let revision = change_tables(fleet, 50_002).await?;
    wait_for_revision(fleet, revision).await?;
    recovery.store_outage_change = cleared_at.elapsed();
    Ok(())
}

async fn measure_keeper_crash(fleet: &mut Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let mut keeper_index = 0;
    for index in 0..6 {
        let status = fleet.status(&fleet.daemons[index]).await?;
        if status.kept_pools.iter().any(|pool| pool == "keel-advisor") {
            keeper_index = index;
        }
    }
    let daemon_url = fleet.daemons[(keeper_index + 1) % 6].url();
    let killed_at = time::Instant::now();
    fleet.daemons[keeper_index].process = None;
    let caller = Caller::default();
    let mut requests = tokio::task::JoinSet::new();
    for seed in 0..250 {
        let request = ModelRequest {
            route: "fitting".to_owned(),
            workspace: "ws".to_owned(),
            seed,
            prompt_tokens: 1_000,
            max_tokens: 2,
            stream: true,
            timeout: None,
        };
        let (caller, daemon_url, sent) = (caller.clone(), daemon_url.clone(), killed_at.elapsed());
        requests
            .spawn(async move { (sent, caller.send_model_request(&daemon_url, &request).await) });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    while let Some(Ok((sent, result))) = requests.join_next().await {
        let first_token = result.first_token.unwrap_or(fleet::WAIT_TIMEOUT);
        recovery.keeper_crash_longest_first_token =
            recovery.keeper_crash_longest_first_token.max(first_token);
        if first_token > time::Duration::from_millis(200) {
            recovery.keeper_crash_recovery = recovery.keeper_crash_recovery.max(sent + first_token);
        }
    }
    Ok(())
}
