//! Relaying while routes, the store and the processes themselves change.

use std::time;

use platform::names;
use standins::site::{
    node::{self, Site},
    store::Mood,
    table::Table,
    upstream::{self, Conduct},
};
use test_case::test_case;

#[tokio::test]
async fn changes_come_into_force_and_never_go_back() {
    let site = Site::start(2, 1).await.expect("site");
    let path = "/new/x";
    assert_eq!(site.status(0, path).await, 404);
    let table = Table {
        version: 5,
        extra: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish(&table).expect("table");
    for node in 0..2 {
        node::eventually("the route is there", async || {
            site.status(node, path).await == 200
        })
        .await
        .expect("in force");
    }
    // An older version, bytes that are no table and an entry of another writer change nothing.
    site.publish(&Table::default()).expect("table");
    site.store.put(names::TABLE_KEY, b"not a table");
    site.store.put("servers/u9", b"{\"service\": 7}");
    let barrier = site.store.put("servers/other", b"\xff");
    assert!(barrier > 0);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    for node in 0..2 {
        assert_eq!(site.status(node, path).await, 200);
    }
}

#[tokio::test]
async fn a_change_passes_a_dropped_history() {
    let site = Site::start(1, 1).await.expect("site");
    let table = Table {
        version: 5,
        extra: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish(&table).expect("table");
    site.store.compact();
    node::eventually("the route is there", async || {
        site.status(0, "/new/x").await == 200
    })
    .await
    .expect("in force");
}

#[test_case(Mood::Busy)]
#[test_case(Mood::Silent)]
#[tokio::test]
async fn an_outage_of_the_store_stops_no_request(mood: Mood) {
    let site = Site::start(2, 2).await.expect("site");
    site.store.set_mood(mood);
    for _ in 0..20 {
        for node in 0..2 {
            assert_eq!(site.status(node, "/look/x").await, 200);
            assert!(site.is_ready(node).await);
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    site.store.set_mood(Mood::Well);
    let table = Table {
        version: 5,
        extra: vec!["new".to_owned()],
        ..Table::default()
    };
    site.publish(&table).expect("table");
    for node in 0..2 {
        node::eventually("the route is there", async || {
            site.status(node, "/new/x").await == 200
        })
        .await
        .expect("in force");
    }
}

/// The bound of the users for a change to be in force, and the time of a request.
const IN_FORCE: time::Duration = time::Duration::from_millis(2_200);

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[tokio::test]
async fn an_instance_that_the_store_turns_away_in_silence_keeps_no_other_behind(node: usize) {
    let site = Site::start(3, 1).await.expect("site");
    // Long enough for the others to follow their watchers.
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    // All watches have just begun to wait.
    site.store
        .put("servers/other", b"an entry of another writer");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    site.store.set_mood_at(node, Mood::Silent);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let table = Table {
        version: 5,
        extra: vec!["new".to_owned()],
        ..Table::default()
    };
    let published = time::Instant::now();
    site.publish(&table).expect("table");
    for other in (0..3).filter(|other| *other != node) {
        node::eventually("the route is there", async || {
            site.status(other, "/new/x").await == 200
        })
        .await
        .expect("in force");
        assert!(published.elapsed() < IN_FORCE, "{:?}", published.elapsed());
    }
    node::eventually("peers tell the one that is turned away", async || {
        site.status(node, "/new/x").await == 200
    })
    .await
    .expect("in force");
}

#[tokio::test]
async fn without_a_table_the_answer_is_not_for_good() {
    let site = Site::start_unready(1, 0).await.expect("site");
    node::eventually("it answers", async || {
        site.status(0, "/look/x").await == 503
    })
    .await
    .expect("answer");
    assert!(!site.is_ready(0).await);
}

#[tokio::test]
async fn a_draining_upstream_gets_nothing_new() {
    let site = Site::start(1, 2).await.expect("site");
    site.list(&site.upstreams[0], "draining").expect("list");
    node::eventually("it is left out", async || {
        let got = site.ask(site.request(0, "GET", "/look/x", "probe")).await;
        got.is_ok_and(|got| got.sealed_by.as_deref() == Some("u1"))
    })
    .await
    .expect("left out");
    let before = site.upstreams[0].seen().len();
    for _ in 0..20 {
        assert_eq!(site.status(0, "/look/x").await, 200);
    }
    assert_eq!(site.upstreams[0].seen().len(), before);
}

#[tokio::test]
async fn a_signal_to_leave_fails_readiness_and_cuts_nothing() {
    let mut site = Site::start(2, 1).await.expect("site");
    site.upstreams[0].set_conduct(Conduct::PauseAfterTwo(900));
    let req = site.request(0, "POST", "/stream/x", "id1").body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    node::eventually("the stream arrives", async || {
        site.upstreams[0].seen().iter().any(|seen| seen.id == "id1")
    })
    .await
    .expect("arrival");
    site.nodes[0].process.signal("TERM").expect("signal");
    node::eventually("readiness fails", async || !site.is_ready(0).await)
        .await
        .expect("unready");
    assert_eq!(site.status(0, "/look/x").await, 200, "it still serves");
    let streamed = streaming.await.expect("task").expect("complete");
    assert_eq!(streamed, upstream::whole_stream());
    node::eventually("it ends", async || site.nodes[0].process.has_ended())
        .await
        .expect("ended");
    assert_eq!(site.store.keys(names::INSTANCE_PREFIX).len(), 1);
}

#[tokio::test]
async fn a_hangup_reads_the_settings_again_and_cuts_nothing() {
    let mut site = Site::start(1, 1).await.expect("site");
    site.upstreams[0].set_conduct(Conduct::PauseAfterTwo(500));
    let req = site.request(0, "POST", "/stream/x", "id1").body("prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    for _ in 0..3 {
        site.nodes[0].process.signal("HUP").expect("signal");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    std::fs::write(&site.nodes[0].settings, "not = settings").expect("write");
    site.nodes[0].process.signal("HUP").expect("signal");
    assert_eq!(
        streaming.await.expect("task").expect("complete"),
        upstream::whole_stream()
    );
    assert!(!site.nodes[0].process.has_ended());
    assert_eq!(site.status(0, "/look/x").await, 200);
}

#[tokio::test]
async fn a_killed_planner_costs_no_request() {
    let mut site = Site::start(3, 2).await.expect("site");
    for node in 0..3 {
        assert_eq!(site.status(node, "/look/x").await, 200);
    }
    site.nodes.remove(0);
    for _ in 0..10 {
        for node in 0..2 {
            assert_eq!(site.status(node, "/look/x").await, 200);
        }
    }
}
