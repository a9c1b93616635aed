//! Changes to the tables and to the declared version.

use std::time;

use limpetkeel::{Declarations, Rank};

use super::{POLL_INTERVAL, RunState, send_requests};
use crate::{
    engine,
    fleet::{self, Fleet},
    history::Change,
    matrix,
};

/// The time after the fault within which versions must converge: the lifetime of a lease, plus
/// the longest request on each engine of a zone in turn.
const VERSION_CONVERGENCE_TIMEOUT: time::Duration = time::Duration::from_secs(45);

fn platform_client(fleet: &Fleet) -> fleet::Result<limpetkeeld::platform::Client> {
    let local_address = std::net::Ipv4Addr::UNSPECIFIED.into();
    Ok(limpetkeeld::platform::Client::new(
        &fleet.platform_url(),
        local_address,
    )?)
}

fn with_copied_route(declarations: &Declarations, name: &str) -> Declarations {
    let mut edited = declarations.clone();
    if let Some(mut route) = edited.routes.get("fitting").cloned() {
        route.rank = Rank::Normal;
        edited.routes.insert(name.to_owned(), route);
    }
    edited
}

/// Declares the version of the engines' pool. If the store is unavailable, the declared version
/// stays unchanged.
///
/// # Errors
///
/// Returns an error if the client cannot be created.
pub async fn declare_version(
    state: &mut RunState,
    fleet: &Fleet,
    version: &str,
    step: matrix::Step,
) -> fleet::Result<()> {
    let client = platform_client(fleet)?;
    let Ok((revision, mut declarations)) = client.tables().await else {
        return Ok(());
    };
    if let Some(pool) = declarations.pools.get_mut("keel-advisor") {
        pool.version = Some(version.to_owned());
        pool.checks_fencing = step == matrix::Step::Order;
    }
    if client.write_tables(revision, &declarations).await.is_ok() {
        state.history.declared_version = Some(version.to_owned());
    }
    Ok(())
}

/// Declares the version again and waits until every engine serves it, or until the timeout, while
/// requests are in progress.
///
/// # Errors
///
/// Returns an error if the client cannot be created.
pub async fn wait_for_versions(
    state: &mut RunState,
    fleet: &Fleet,
    step: matrix::Step,
) -> fleet::Result<()> {
    declare_version(state, fleet, "v2", step).await?;
    send_requests(state, fleet, 36);
    let deadline = time::Instant::now() + VERSION_CONVERGENCE_TIMEOUT;
    while time::Instant::now() < deadline {
        let mut converged = true;
        for engine in &fleet.engines {
            let stats = fleet
                .get_json::<engine::Stats>(&format!("{}/stats", engine.url()))
                .await;
            converged &= stats.is_ok_and(|stats| {
                stats
                    .orders
                    .last()
                    .is_some_and(|order| order.version == "v2")
            });
        }
        if converged {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Changes the tables; with `race`, two operators write concurrently from the same revision. The
/// write that loses the race changes nothing.
///
/// # Errors
///
/// Returns an error if the client cannot be created.
pub async fn change(
    state: &mut RunState,
    fleet: &Fleet,
    name: &str,
    race: bool,
) -> fleet::Result<()> {
    let client = platform_client(fleet)?;
    let Ok((revision, declarations)) = client.tables().await else {
        tokio::time::sleep(POLL_INTERVAL).await;
        return Ok(());
    };
    let first = with_copied_route(&declarations, &format!("{name}-first"));
    let second = with_copied_route(&declarations, &format!("{name}-second"));
    let writes = tokio::join!(client.write_tables(revision, &first), async {
        if race {
            client.write_tables(revision, &second).await.ok()
        } else {
            None
        }
    });
    for written in [writes.0.ok(), writes.1].into_iter().flatten() {
        let at = state.now();
        state.history.changes.push(Change {
            at,
            revision: written.number(),
        });
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

/// Waits until the last accepted revision is in force, or until the change bound has elapsed.
///
/// # Errors
///
/// Returns an error if the client cannot be created.
pub async fn wait_for_last_change(state: &mut RunState, fleet: &Fleet) -> fleet::Result<()> {
    let client = platform_client(fleet)?;
    let cleared_at = state.now();
    // A partitioned instance is notified of a change only once it is reachable again.
    for change in &mut state.history.changes {
        change.at = change.at.max(cleared_at);
    }
    let Ok((last, _)) = client.tables().await else {
        return Ok(());
    };
    state.history.changes.push(Change {
        at: cleared_at,
        revision: last.number(),
    });
    let deadline = time::Instant::now() + crate::history::CHANGE_BOUND + POLL_INTERVAL * 5;
    while time::Instant::now() < deadline {
        let mut behind = false;
        for daemon in fleet
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            let status = fleet.status(daemon).await;
            behind |= !status.is_ok_and(|status| status.revision >= last);
        }
        if !behind {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
