//! Tests of relaying during changes of routes, outages of the store and shutdowns of daemons.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, Deployment},
    store::ResponseMode,
    table::Table,
    upstream::{self, Behavior},
};
use test_case::test_case;

#[tokio::test]
async fn a_new_table_takes_effect_and_is_never_reverted() {
    let deployment = Deployment::start(2, 1).await.expect("deployment");
    let path = "/new/x";
    assert_eq!(deployment.get_status(0, path).await, 404);
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    for daemon_index in 0..2 {
        daemon::wait_until("the new route is in force", async || {
            deployment.get_status(daemon_index, path).await == 200
        })
        .await
        .expect("in force");
    }
    // An older version, a value that is not a table, and unreadable upstream entries are ignored.
    deployment.publish_table(&Table::default()).expect("table");
    deployment
        .store
        .put(names::ROUTING_TABLE_KEY, b"not a table");
    deployment.store.put("servers/u9", b"{\"service\": 7}");
    let revision = deployment.store.put("servers/other", b"\xff");
    assert!(revision > 0);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for daemon_index in 0..2 {
        assert_eq!(deployment.get_status(daemon_index, path).await, 200);
    }
}

#[tokio::test]
async fn a_change_takes_effect_after_the_history_was_compacted() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    deployment.store.compact();
    daemon::wait_until("the new route is in force", async || {
        deployment.get_status(0, "/new/x").await == 200
    })
    .await
    .expect("in force");
}

#[tokio::test]
async fn unreadable_items_and_unusual_keys_disturb_no_other_entry() {
    let deployment = Deployment::start_with_empty_store(1, 2)
        .await
        .expect("deployment");
    // The page after each of these begins with its key.
    for key in ["a b", "a+b", "a&b=c", "a#b", "a%2Fb", "\u{e9}\u{fffd}"] {
        deployment.store.put(key, b"of another system");
    }
    deployment.store.set_page_size(1);
    let nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    let malformed = [
        r#"{"key": "servers/u7", "value": "e30=", "revision": "seven"}"#,
        r#"{"key": "servers/u6", "value": "e30=", "revision": 1e999}"#,
        r#"{"key": 7, "revision": 7}"#,
        "[]",
        &nested,
    ];
    for json in malformed {
        deployment.store.add_malformed_item(json);
    }
    deployment.store.put("servers/u8", b"\xff\x00");
    deployment.store.compact();
    deployment.publish_table(&Table::default()).expect("table");
    for upstream in &deployment.upstreams {
        deployment
            .register_upstream(upstream, "ready")
            .expect("registered");
    }
    deployment.wait_ready(0).await.expect("ready");
    for _ in 0..4 {
        assert_eq!(deployment.get_status(0, "/look/x").await, 200);
    }
    let log = deployment.log();
    let counted = log.matches("event=entry_unreadable").count();
    assert!(counted >= 5, "{log}");
}

#[test_case(ResponseMode::Refuse)]
#[test_case(ResponseMode::Hang)]
#[tokio::test]
async fn an_outage_of_the_store_does_not_affect_requests(mode: ResponseMode) {
    let deployment = Deployment::start(2, 2).await.expect("deployment");
    deployment.store.set_response_mode(mode);
    for _ in 0..20 {
        for daemon_index in 0..2 {
            assert_eq!(deployment.get_status(daemon_index, "/look/x").await, 200);
            assert!(deployment.is_ready(daemon_index).await);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    deployment.store.set_response_mode(ResponseMode::Normal);
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    for daemon_index in 0..2 {
        daemon::wait_until("the new route is in force", async || {
            deployment.get_status(daemon_index, "/new/x").await == 200
        })
        .await
        .expect("in force");
    }
}

/// The time limit that the users require for a change to be in force, plus the time of a request.
const IN_FORCE_LIMIT: time::Duration = time::Duration::from_millis(2_200);

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[tokio::test]
async fn an_instance_without_responses_of_the_store_does_not_delay_the_others(daemon_index: usize) {
    let deployment = Deployment::start(3, 1).await.expect("deployment");
    // Gives the instances time to follow their watchers.
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    // An unrelated change ends all watches, so that all of them have just been restarted.
    deployment
        .store
        .put("servers/other", b"an entry of another writer");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    deployment
        .store
        .set_response_mode_at(daemon_index, ResponseMode::Hang);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    let published = time::Instant::now();
    deployment.publish_table(&table).expect("table");
    for other in (0..3).filter(|other| *other != daemon_index) {
        daemon::wait_until("the new route is in force", async || {
            deployment.get_status(other, "/new/x").await == 200
        })
        .await
        .expect("in force");
        assert!(
            published.elapsed() < IN_FORCE_LIMIT,
            "{:?}",
            published.elapsed()
        );
    }
    daemon::wait_until(
        "peers forward the change to the instance without the store",
        async || deployment.get_status(daemon_index, "/new/x").await == 200,
    )
    .await
    .expect("in force");
}

#[tokio::test]
async fn without_a_table_requests_are_refused_with_status_503() {
    let deployment = Deployment::start_with_empty_store(1, 0)
        .await
        .expect("deployment");
    daemon::wait_until("the daemon responds", async || {
        deployment.get_status(0, "/look/x").await == 503
    })
    .await
    .expect("response");
    assert!(!deployment.is_ready(0).await);
}

#[tokio::test]
async fn a_draining_upstream_receives_no_new_requests() {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment
        .register_upstream(&deployment.upstreams[0], "draining")
        .expect("registered");
    daemon::wait_until("the draining upstream is not chosen", async || {
        let response = deployment
            .send(deployment.request(0, "GET", "/look/x", "probe"))
            .await;
        response.is_ok_and(|response| response.signed_by.as_deref() == Some("u1"))
    })
    .await
    .expect("not chosen");
    let before = deployment.upstreams[0].received().len();
    for _ in 0..20 {
        assert_eq!(deployment.get_status(0, "/look/x").await, 200);
    }
    assert_eq!(deployment.upstreams[0].received().len(), before);
}

#[tokio::test]
async fn termination_fails_readiness_and_completes_open_streams() {
    let mut deployment = Deployment::start(2, 1).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::GapAfterTwo(900));
    let req = deployment
        .request(0, "POST", "/stream/x", "id1")
        .body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    daemon::wait_until("the upstream receives the request", async || {
        deployment.upstreams[0]
            .received()
            .iter()
            .any(|request| request.id == "id1")
    })
    .await
    .expect("received");
    deployment.daemons[0]
        .process
        .send_signal("TERM")
        .expect("signal");
    daemon::wait_until("readiness fails", async || !deployment.is_ready(0).await)
        .await
        .expect("unready");
    assert_eq!(
        deployment.get_status(0, "/look/x").await,
        200,
        "a draining daemon still serves requests"
    );
    let streamed = streaming.await.expect("task").expect("complete");
    assert_eq!(streamed, upstream::complete_stream());
    daemon::wait_until("the daemon exits", async || {
        deployment.daemons[0].process.has_exited()
    })
    .await
    .expect("exited");
    assert_eq!(deployment.store.keys(names::INSTANCE_PREFIX).len(), 1);
}

#[tokio::test]
async fn reloading_settings_does_not_interrupt_open_streams() {
    let mut deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::GapAfterTwo(500));
    let req = deployment
        .request(0, "POST", "/stream/x", "id1")
        .body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    for _ in 0..3 {
        deployment.daemons[0]
            .process
            .send_signal("HUP")
            .expect("signal");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    std::fs::write(&deployment.daemons[0].settings_path, "not = settings").expect("write");
    deployment.daemons[0]
        .process
        .send_signal("HUP")
        .expect("signal");
    assert_eq!(
        streaming.await.expect("task").expect("complete"),
        upstream::complete_stream()
    );
    assert!(!deployment.daemons[0].process.has_exited());
    assert_eq!(deployment.get_status(0, "/look/x").await, 200);
}

#[tokio::test]
async fn a_killed_planner_fails_no_request() {
    let mut deployment = Deployment::start(3, 2).await.expect("deployment");
    daemon::wait_until("an instance plans for the others", async || {
        for daemon_index in 0..3 {
            assert_eq!(deployment.get_status(daemon_index, "/look/x").await, 200);
        }
        planner_of(&deployment).is_some()
    })
    .await
    .expect("the instances know each other");
    let planner = planner_of(&deployment).expect("planner");
    deployment.daemons.remove(planner);
    for _ in 0..10 {
        for daemon_index in 0..2 {
            assert_eq!(deployment.get_status(daemon_index, "/look/x").await, 200);
        }
    }
    let skipped = format!("event=planner_passed_over planner=node{planner} ");
    assert!(deployment.log().contains(&skipped), "{}", deployment.log());
}

/// Returns the index of the daemon that plans the requests of the others.
fn planner_of(deployment: &Deployment) -> Option<usize> {
    (0..deployment.daemons.len()).find(|index| {
        let planner = format!("planner=node{index} ");
        let log = deployment.log();
        let mut plans = log.lines().filter(|line| line.contains("event=planned "));
        plans.any(|line| line.contains(&planner))
    })
}
