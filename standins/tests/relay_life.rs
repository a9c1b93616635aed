//! Tests of relaying during changes of routes, outages of the store and shutdowns of daemons.

use std::time;

use platform::names;
use standins::site::{
    node::{self, Site},
    store::ResponseMode,
    table::Table,
    upstream::{self, Conduct},
};
use test_case::test_case;

#[tokio::test]
async fn a_new_table_takes_effect_and_is_never_reverted() {
    let site = Site::start(2, 1).await.expect("site");
    let path = "/new/x";
    assert_eq!(site.get_status(0, path).await, 404);
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish_table(&table).expect("table");
    for node in 0..2 {
        node::eventually("the new route is in force", async || {
            site.get_status(node, path).await == 200
        })
        .await
        .expect("in force");
    }
    // An older version, a value that is not a table, and unreadable upstream entries are ignored.
    site.publish_table(&Table::default()).expect("table");
    site.store.put(names::TABLE_KEY, b"not a table");
    site.store.put("servers/u9", b"{\"service\": 7}");
    let revision = site.store.put("servers/other", b"\xff");
    assert!(revision > 0);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for node in 0..2 {
        assert_eq!(site.get_status(node, path).await, 200);
    }
}

#[tokio::test]
async fn a_change_takes_effect_after_the_history_was_compacted() {
    let site = Site::start(1, 1).await.expect("site");
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish_table(&table).expect("table");
    site.store.compact();
    node::eventually("the new route is in force", async || {
        site.get_status(0, "/new/x").await == 200
    })
    .await
    .expect("in force");
}

#[test_case(ResponseMode::Refuse)]
#[test_case(ResponseMode::Hang)]
#[tokio::test]
async fn an_outage_of_the_store_does_not_affect_requests(mode: ResponseMode) {
    let site = Site::start(2, 2).await.expect("site");
    site.store.set_response_mode(mode);
    for _ in 0..20 {
        for node in 0..2 {
            assert_eq!(site.get_status(node, "/look/x").await, 200);
            assert!(site.is_ready(node).await);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    site.store.set_response_mode(ResponseMode::Normal);
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish_table(&table).expect("table");
    for node in 0..2 {
        node::eventually("the new route is in force", async || {
            site.get_status(node, "/new/x").await == 200
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
async fn an_instance_that_the_store_stops_answering_does_not_delay_the_others(node: usize) {
    let site = Site::start(3, 1).await.expect("site");
    // Gives the instances time to follow their watchers.
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    // An unrelated change ends all watches, so that all of them have just been restarted.
    site.store
        .put("servers/other", b"an entry of another writer");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    site.store.set_response_mode_at(node, ResponseMode::Hang);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let table = Table {
        version: 5,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    let published = time::Instant::now();
    site.publish_table(&table).expect("table");
    for other in (0..3).filter(|other| *other != node) {
        node::eventually("the new route is in force", async || {
            site.get_status(other, "/new/x").await == 200
        })
        .await
        .expect("in force");
        assert!(
            published.elapsed() < IN_FORCE_LIMIT,
            "{:?}",
            published.elapsed()
        );
    }
    node::eventually(
        "peers forward the change to the instance without the store",
        async || site.get_status(node, "/new/x").await == 200,
    )
    .await
    .expect("in force");
}

#[tokio::test]
async fn without_a_table_requests_are_refused_with_status_503() {
    let site = Site::start_with_empty_store(1, 0).await.expect("site");
    node::eventually("the daemon responds", async || {
        site.get_status(0, "/look/x").await == 503
    })
    .await
    .expect("response");
    assert!(!site.is_ready(0).await);
}

#[tokio::test]
async fn a_draining_upstream_receives_no_new_requests() {
    let site = Site::start(1, 2).await.expect("site");
    site.register_upstream(&site.upstreams[0], "draining")
        .expect("list");
    node::eventually("the draining upstream is not chosen", async || {
        let response = site.ask(site.request(0, "GET", "/look/x", "probe")).await;
        response.is_ok_and(|response| response.signed_by.as_deref() == Some("u1"))
    })
    .await
    .expect("not chosen");
    let before = site.upstreams[0].received().len();
    for _ in 0..20 {
        assert_eq!(site.get_status(0, "/look/x").await, 200);
    }
    assert_eq!(site.upstreams[0].received().len(), before);
}

#[tokio::test]
async fn termination_fails_readiness_and_completes_open_streams() {
    let mut site = Site::start(2, 1).await.expect("site");
    site.upstreams[0].set_conduct(Conduct::GapAfterTwo(900));
    let req = site.request(0, "POST", "/stream/x", "id1").body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    node::eventually("the upstream receives the request", async || {
        site.upstreams[0]
            .received()
            .iter()
            .any(|request| request.id == "id1")
    })
    .await
    .expect("received");
    site.nodes[0].process.signal("TERM").expect("signal");
    node::eventually("readiness fails", async || !site.is_ready(0).await)
        .await
        .expect("unready");
    assert_eq!(
        site.get_status(0, "/look/x").await,
        200,
        "a draining daemon still serves requests"
    );
    let streamed = streaming.await.expect("task").expect("complete");
    assert_eq!(streamed, upstream::complete_stream());
    node::eventually("the daemon exits", async || {
        site.nodes[0].process.has_ended()
    })
    .await
    .expect("exited");
    assert_eq!(site.store.keys(names::INSTANCE_PREFIX).len(), 1);
}

#[tokio::test]
async fn reloading_settings_completes_open_streams() {
    let mut site = Site::start(1, 1).await.expect("site");
    site.upstreams[0].set_conduct(Conduct::GapAfterTwo(500));
    let req = site.request(0, "POST", "/stream/x", "id1").body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    for _ in 0..3 {
        site.nodes[0].process.signal("HUP").expect("signal");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    std::fs::write(&site.nodes[0].settings_path, "not = settings").expect("write");
    site.nodes[0].process.signal("HUP").expect("signal");
    assert_eq!(
        streaming.await.expect("task").expect("complete"),
        upstream::complete_stream()
    );
    assert!(!site.nodes[0].process.has_ended());
    assert_eq!(site.get_status(0, "/look/x").await, 200);
}

#[tokio::test]
async fn a_killed_planner_fails_no_request() {
    let mut site = Site::start(3, 2).await.expect("site");
    for node in 0..3 {
        assert_eq!(site.get_status(node, "/look/x").await, 200);
    }
    site.nodes.remove(0);
    for _ in 0..10 {
        for node in 0..2 {
            assert_eq!(site.get_status(node, "/look/x").await, 200);
        }
    }
}
