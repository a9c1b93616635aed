//! The time to recover from a keeper's death, a zone's cut and an outage of the store.

use std::time;

use crate::{
    caller::{Caller, ModelRequest},
    fault,
    fleet::{self, Fleet},
    relay,
};

/// How long the store and the link are out.
const OUTAGE: time::Duration = time::Duration::from_secs(30);

/// The time between two requests.
const GAP: time::Duration = time::Duration::from_millis(20);

/// The calls of the platform in a second, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallRates {
    /// Reads of the instance list.
    pub lists: f64,
    /// Waiting watches.
    pub watches: f64,
    /// Reads of values.
    pub reads: f64,
    /// Writes of values.
    pub writes: f64,
}

/// What was measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// The longest time to a first token among requests sent in the second after the keeper died.
    pub keeper_death_worst: time::Duration,
    /// From the keeper's death until requests took less than 200 ms again.
    pub keeper_death_over: time::Duration,
    /// From the end of the store's outage until a keyed call succeeded.
    pub store_keyed: time::Duration,
    /// From the end of the store's outage until a change was in force everywhere.
    pub store_change: time::Duration,
    /// From the end of a zone's cut until a change made meanwhile was in force in it.
    pub zone_rejoin: time::Duration,
    /// Calls of the platform while idle.
    pub idle: CallRates,
    /// Calls of the platform at fifty keyed calls a second.
    pub busy: CallRates,
}

fn config() -> fleet::Config {
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

/// Measures all of it in one fleet of 18 instances.
///
/// # Errors
///
/// Fails if the fleet cannot be started or does not recover.
pub async fn measure() -> fleet::Result<Recovery> {
    let mut fleet = Fleet::start(config()).await?;
    fleet.apply(&fleet::tables_toml()).await?;
    let mut recovery = Recovery {
        idle: rates(&fleet, 0).await?,
        ..Recovery::default()
    };
    recovery.busy = rates(&fleet, 50).await?;
    zone_rejoin(&fleet, &mut recovery).await?;
    store_outage(&fleet, &mut recovery).await?;
    keeper_death(&mut fleet, &mut recovery).await?;
    Ok(recovery)
}

async fn rates(fleet: &Fleet, keyed_per_second: u32) -> fleet::Result<CallRates> {
    const SPAN: time::Duration = time::Duration::from_secs(10);
    let url = format!("{}/calls", fleet.platform_url());
    let before: crate::platform::Calls = fleet.get(&url).await?;
    let started = tokio::time::Instant::now();
    let caller = Caller::default();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..keyed_per_second * SPAN.as_secs() as u32 {
        tokio::time::sleep_until(
            started + SPAN * index / (keyed_per_second * SPAN.as_secs() as u32),
        )
        .await;
        let daemon = fleet.daemons[index as usize % fleet.daemons.len()].url();
        let caller = caller.clone();
        calls.spawn(async move {
            let key = format!("rate-{index}");
            caller
                .call(&daemon, "booking", "ws", Some(&key), &key)
                .await
                .whole
        });
    }
    while calls.join_next().await.is_some() {}
    tokio::time::sleep_until(started + SPAN).await;
    let after: crate::platform::Calls = fleet.get(&url).await?;
    let rate = |before: u64, after: u64| (after - before) as f64 / started.elapsed().as_secs_f64();
    Ok(CallRates {
        lists: rate(before.lists, after.lists),
        watches: rate(before.watches, after.watches),
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
    })
}

fn client(fleet: &Fleet) -> fleet::Result<limpetkeeld::platform::Client> {
    let any = std::net::Ipv4Addr::UNSPECIFIED.into();
    Ok(limpetkeeld::platform::Client::new(
        &fleet.platform_url(),
        any,
    )?)
}

/// Changes a timeout, so that the tables differ.
async fn change(fleet: &Fleet, timeout_ms: u64) -> fleet::Result<limpetkeel::Revision> {
    let client = client(fleet)?;
    let failed = |_| fleet::Error::TimedOut("the tables are changed");
    let (revision, mut declarations) = client.tables().await.map_err(failed)?;
    if let Some(route) = declarations.routes.get_mut("advice") {
        route.timeout_ms = limpetkeel::Millis(timeout_ms);
    }
    client
        .write_tables(revision, &declarations)
        .await
        .map_err(failed)
}

async fn in_force(fleet: &Fleet, revision: limpetkeel::Revision) -> fleet::Result<()> {
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

async fn zone_rejoin(fleet: &Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let cut = |b| relay::Cut { a: 1, b };
    fleet
        .cut(&[cut(2), cut(3), cut(fleet::PLATFORM_ZONE)])
        .await?;
    tokio::time::sleep(OUTAGE / 2).await;
    let revision = change(fleet, 50_001).await?;
    tokio::time::sleep(OUTAGE / 2).await;
    let healed = time::Instant::now();
    fleet.cut(&[]).await?;
    in_force(fleet, revision).await?;
    recovery.zone_rejoin = healed.elapsed();
    Ok(())
}

async fn store_outage(fleet: &Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let refuse = fault::Fault {
        kind: fault::Kind::Refuse,
        delay_ms: 0,
        count: None,
    };
    fleet.store_fault(Some(refuse)).await?;
    tokio::time::sleep(OUTAGE).await;
    let healed = time::Instant::now();
    fleet.store_fault(None).await?;
    let caller = Caller::default();
    let daemon = fleet.daemons[1].url();
    fleet
        .wait_until("a keyed call succeeds", async || {
            caller
                .call(&daemon, "booking", "ws", Some("after-outage"), "x")
                .await
                .whole
        })
        .await?;
    recovery.store_keyed = healed.elapsed();
    let revision = change(fleet, 50_002).await?;
    in_force(fleet, revision).await?;
    recovery.store_change = healed.elapsed();
    Ok(())
}

async fn keeper_death(fleet: &mut Fleet, recovery: &mut Recovery) -> fleet::Result<()> {
    let mut keeper = 0;
    for index in 0..6 {
        let status = fleet.status(&fleet.daemons[index]).await?;
        if status.kept_pools.iter().any(|pool| pool == "keel-advisor") {
            keeper = index;
        }
    }
    let entry = fleet.daemons[(keeper + 1) % 6].url();
    let died = time::Instant::now();
    fleet.daemons[keeper].process = None;
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
        let (caller, entry, sent) = (caller.clone(), entry.clone(), died.elapsed());
        requests.spawn(async move { (sent, caller.ask(&entry, &request).await) });
        tokio::time::sleep(GAP).await;
    }
    while let Some(Ok((sent, result))) = requests.join_next().await {
        let first = result.first_token.unwrap_or(fleet::PATIENCE);
        recovery.keeper_death_worst = recovery.keeper_death_worst.max(first);
        if first > time::Duration::from_millis(200) {
            recovery.keeper_death_over = recovery.keeper_death_over.max(sent + first);
        }
    }
    Ok(())
}
