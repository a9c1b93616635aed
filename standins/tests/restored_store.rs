//! Tests of a store that is restored from a backup: its revisions and leases are assigned again.

use std::time;

use limpetkeel::{Millis, Quarantine};
use limpetkeeld::relay::port::{Store as _, StoreError};
use platform::{names, store::Client};
use standins::deployment::{
    daemon::{self, Deployment},
    store::{EraHeader, ResponseMode, Store},
    table::Table,
};
use test_case::test_case;

/// Returns a table with an additional route for each name.
fn table(version: u64, routes: &[&str]) -> Table {
    Table {
        version,
        extra_routes: routes.iter().map(|name| (*name).to_owned()).collect(),
        ..Table::default()
    }
}

/// Waits until all daemons serve a path.
async fn wait_until_served(deployment: &Deployment, path: &str) {
    for daemon_index in 0..deployment.daemons.len() {
        daemon::wait_until("the route is in force", async || {
            deployment.get_status(daemon_index, path).await == 200
        })
        .await
        .unwrap_or_else(|e| panic!("{path}: {e}: {}", deployment.log()));
    }
}

/// The bound for a change to be in force, with the time to detect the restore.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_millis(2_000);

#[test_case(0; "below the revision before the restore")]
#[test_case(2; "at the revision before the restore")]
#[test_case(5; "beyond the revision before the restore")]
#[tokio::test]
async fn a_change_after_a_restore_is_in_force_at_any_revision(other_writes: usize) {
    let deployment = Deployment::start(3, 1).await.expect("deployment");
    let copy = deployment.store.copy();
    for version in 2..5 {
        deployment
            .publish_table(&table(version, &["lost"]))
            .expect("table");
    }
    wait_until_served(&deployment, "/lost/x").await;
    deployment.store.restore(&copy);
    for write in 0..other_writes {
        deployment.store.put("other/key", &[write as u8]);
    }
    deployment
        .publish_table(&table(5, &["lost", "new"]))
        .expect("table");
    tokio::time::sleep(IN_FORCE_LIMIT).await;
    for daemon_index in 0..3 {
        for path in ["/lost/x", "/new/x"] {
            let status = deployment.get_status(daemon_index, path).await;
            assert_eq!(status, 200, "{path}: {}", deployment.log());
        }
    }
}

#[tokio::test]
async fn a_change_is_in_force_after_each_of_several_restores() {
    let deployment = Deployment::start(3, 1).await.expect("deployment");
    let copy = deployment.store.copy();
    for version in 2..5 {
        let route = format!("new{version}");
        deployment.store.put("other/key", &[1]);
        deployment.store.restore(&copy);
        deployment
            .publish_table(&table(version, &[&route]))
            .expect("table");
        tokio::time::sleep(IN_FORCE_LIMIT).await;
        for daemon_index in 0..3 {
            let path = format!("/{route}/x");
            let status = deployment.get_status(daemon_index, &path).await;
            assert_eq!(status, 200, "{path}: {}", deployment.log());
        }
    }
}

#[test_case(ResponseMode::Refuse)]
#[test_case(ResponseMode::Hang)]
#[tokio::test]
async fn a_daemon_without_the_store_gets_changes_of_the_next_era_from_its_peers(
    mode: ResponseMode,
) {
    let deployment = Deployment::start(3, 1).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("the daemons know each other");
    let copy = deployment.store.copy();
    deployment.store.put("other/key", &[1]);
    deployment.store.set_response_mode_at(2, mode);
    deployment.store.restore(&copy);
    deployment
        .publish_table(&table(3, &["restored"]))
        .expect("table");
    wait_until_served(&deployment, "/restored/x").await;
}

#[tokio::test]
async fn an_older_table_of_the_copy_does_not_come_back_in_force() {
    let mut deployment = Deployment::start(2, 1).await.expect("deployment");
    let copy = deployment.store.copy();
    deployment
        .publish_table(&table(2, &["new"]))
        .expect("table");
    wait_until_served(&deployment, "/new/x").await;
    deployment.store.restore(&copy);
    for _ in 0..20 {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        for daemon_index in 0..2 {
            let status = deployment.get_status(daemon_index, "/new/x").await;
            assert_eq!(status, 200, "{}", deployment.log());
        }
    }
    // A daemon that starts reads the older table, and gets the newer one from its watcher.
    deployment.restart_daemon(1).expect("restarted");
    deployment.wait_ready(1).await.expect("ready");
    wait_until_served(&deployment, "/new/x").await;
}

#[test_case(EraHeader::Missing; "missing")]
#[test_case(EraHeader::Malformed; "malformed")]
#[tokio::test]
async fn an_unreadable_era_costs_no_table_in_force(header: EraHeader) {
    let deployment = Deployment::start(2, 1).await.expect("deployment");
    deployment.store.set_era_header(header);
    for version in 2..4 {
        let route = format!("new{version}");
        deployment
            .publish_table(&table(version, &[&route]))
            .expect("table");
        wait_until_served(&deployment, &format!("/{route}/x")).await;
        assert_eq!(deployment.get_status(0, "/look/x").await, 200);
    }
    assert!(!deployment.log().contains("event=store_restored"));
}

#[tokio::test]
async fn daemons_register_again_if_the_copy_has_lost_their_registration() {
    let deployment = Deployment::start_with_empty_store(2, 1)
        .await
        .expect("deployment");
    // The leases that are granted again have the numbers of those that are lost.
    let copy = deployment.store.copy();
    let registered = async || deployment.store.keys(names::INSTANCE_PREFIX).len() == 2;
    daemon::wait_until("both daemons are registered", registered)
        .await
        .expect("registered");
    deployment.publish_table(&Table::default()).expect("table");
    deployment
        .register_upstream(&deployment.upstreams[0], "ready")
        .expect("registered");
    deployment.wait_ready(0).await.expect("ready");
    deployment.wait_ready(1).await.expect("ready");
    deployment.store.restore(&copy);
    let client = Client::new(
        deployment.store.addresses[0],
        std::net::Ipv4Addr::LOCALHOST.into(),
    )
    .expect("client");
    for part in 1..4 {
        let quarantine = Quarantine {
            cause: limpetkeel::CrashCause::Part(part),
            crashes: 2,
        };
        let written = client.quarantine(quarantine, Millis(60_000)).await;
        written.expect("written");
    }
    tokio::time::sleep(IN_FORCE_LIMIT).await;
    assert!(registered().await, "{}", deployment.log());
    assert_eq!(deployment.get_status(0, "/look/x").await, 200);
}

#[tokio::test]
async fn a_lease_is_neither_renewed_nor_ended_in_another_era() {
    let store = Store::start(1).await.expect("store");
    let client = |_| {
        let source = std::net::Ipv4Addr::LOCALHOST.into();
        Client::new(store.addresses[0], source).expect("client")
    };
    let clients = [0, 1].map(client);
    let local = limpetkeel::Contact {
        name: "n0".try_into().expect("name"),
        availability_zone: "z".try_into().expect("name"),
        address: ([127, 0, 0, 1], 7000).into(),
        processor: limpetkeel::Millicores(500),
    };
    let lifetime = Millis(60_000);
    let copy = store.copy();
    let lost = clients[0].register(&local, lifetime).await;
    let lost = lost.expect("registered");
    store.restore(&copy);
    let other = clients[1].register(&local, lifetime).await;
    let other = other.expect("registered");
    assert_eq!(lost.number, other.number, "granted again");
    assert_eq!(clients[0].renew(lost).await, Err(StoreError::Expired));
    assert_eq!(clients[0].unregister(lost).await, Err(StoreError::Expired));
    assert_eq!(clients[1].renew(other).await, Ok(()));
    assert_eq!(store.keys(names::INSTANCE_PREFIX).len(), 1);
}

#[tokio::test]
async fn revisions_of_the_store_follow_those_of_the_lost_contents() {
    let store = Store::start(1).await.expect("store");
    let source = std::net::Ipv4Addr::LOCALHOST.into();
    let client = Client::new(store.addresses[0], source).expect("client");
    let copy = store.copy();
    store.put("other/key", &[1]);
    let before = client.read().await.expect("snapshot").revision;
    store.restore(&copy);
    store.put("other/key", &[2]);
    store.put("other/key", &[3]);
    assert!(client.probe().await.expect("probe") > before);
    let lost = client.watch(before).await.map(|update| update.revision);
    assert_eq!(lost, Err(StoreError::HistoryLost), "it has gone ahead");
    let quarantine = Quarantine {
        cause: limpetkeel::CrashCause::Part(1),
        crashes: 2,
    };
    let written = client.quarantine(quarantine, Millis(60_000)).await;
    assert!(written.expect("written") > before);
    let snapshot = client.read().await.expect("snapshot");
    assert!(snapshot.quarantines[0].revision > before);
}
