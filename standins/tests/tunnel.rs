//! Tests of requests to upstreams that travel through a peer.

use std::{collections, time};

use platform::names;
use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    options::DaemonOptions,
    process_usage,
    scripted::{End, Script},
    table::Table,
    upstream::{self, Behavior, PathFault},
};
use test_case::test_case;

/// The instance that has lost its paths.
const CUT: usize = 0;

/// The only other instance, through which all its requests travel.
const PEER: usize = 1;

/// The memory limit of the daemons, in megabytes, as their settings state it.
const MEMORY_LIMIT_MB: u64 = 64;

/// Starts a deployment with an instance that has lost its paths and a number of peers. The instance
/// has noticed the loss.
async fn start_cut(peer_count: usize, upstream_count: usize, table: &Table) -> Deployment {
    let options = DaemonOptions {
        memory_limit_mb: MEMORY_LIMIT_MB as f64,
        ..DaemonOptions::default()
    };
    let deployment = Deployment::start_with(1 + peer_count, upstream_count, options, table).await;
    let deployment = deployment.expect("deployment");
    let planner = deployment.wait_for_common_planner().await;
    planner.expect("common planner");
    deployment
        .set_path_faults(CUT, Some(PathFault::DropNew))
        .expect("packet filter");
    daemon::wait_until("all paths are severed", async || {
        let requests = (0..8).map(|_| deployment.get_status(CUT, "/look/x"));
        futures_util::future::join_all(requests).await;
        let log = deployment.log();
        log.matches("event=path_severed").count() >= upstream_count
    })
    .await
    .expect("severed");
    deployment
}

async fn send(deployment: &Deployment, method: &str, path: &str, id: &str) -> CallerResponse {
    let req = deployment.request(CUT, method, path, id);
    deployment.send(req).await.expect("response")
}

async fn wait_received(deployment: &Deployment, id: &str) {
    daemon::wait_until("an upstream receives the request", async || {
        deployment.run_count(id) > 0
    })
    .await
    .expect("received");
}

#[tokio::test]
async fn large_requests_and_responses_pass_unchanged() {
    let deployment = start_cut(1, 1, &Table::default()).await;
    let body = "0123456789".repeat(9_000);
    let req = deployment.request(CUT, "POST", "/book/x", "large");
    let response = deployment.send(req.body(body.clone())).await;
    assert_eq!(response.expect("response").status, 200);
    let received = deployment.upstreams[0].received();
    let request = received.iter().find(|request| request.id == "large");
    assert!(request.is_some_and(|request| request.body == body.as_bytes()));
}

#[tokio::test]
async fn a_caller_that_leaves_closes_the_connection_to_the_upstream() {
    let deployment = start_cut(1, 1, &Table::default()).await;
    deployment.set_behavior(Behavior::Hang);
    let req = deployment.request(CUT, "POST", "/book/x", "left");
    let waiting = tokio::spawn(req.send());
    wait_received(&deployment, "left").await;
    waiting.abort();
    daemon::wait_until("the upstream notices", async || {
        deployment.upstreams[0].disconnects() > 0
    })
    .await
    .expect("closed");
}

#[tokio::test]
async fn the_upstream_is_told_no_more_time_than_is_left() {
    let deployment = start_cut(1, 1, &Table::default()).await;
    let req = deployment.request(CUT, "POST", "/book/x", "timed");
    let remaining = http::HeaderValue::from(2_000);
    let headers = http::HeaderMap::from_iter([(names::REMAINING_MS, remaining)]);
    let response = deployment.send(req.headers(headers)).await;
    assert_eq!(response.expect("response").status, 200);
    let received = deployment.upstreams[0].received();
    let request = received.iter().find(|request| request.id == "timed");
    let header = request.and_then(|request| request.headers.get(names::REMAINING_MS.as_str()));
    let remaining: u64 = header.and_then(|text| text.parse().ok()).expect("a header");
    assert!(remaining <= 2_000, "{remaining}");
}

#[test_case("KILL"; "killed peer")]
#[test_case("STOP"; "frozen peer")]
#[tokio::test]
async fn a_request_that_a_lost_peer_may_have_passed_on_is_not_promised_as_not_run(signal: &str) {
    let deployment = start_cut(1, 1, &Table::default()).await;
    deployment.set_behavior(Behavior::Hang);
    let req = deployment.request(CUT, "POST", "/book/x", "unknown");
    let waiting = tokio::spawn(req.send());
    wait_received(&deployment, "unknown").await;
    let process = &deployment.daemons[PEER].process;
    process.send_signal(signal).expect("signal");
    let res = waiting.await.expect("task").expect("response");
    assert!([502, 504].contains(&res.status().as_u16()), "{res:?}");
    assert_eq!(deployment.run_count("unknown"), 1);
    process.send_signal("CONT").expect("signal");
}

#[test_case("KILL", "reason=path_broken"; "killed peer")]
#[test_case("STOP", "reason=silent"; "frozen peer")]
#[tokio::test]
async fn a_stream_is_resumed_through_another_peer(signal: &str, reason: &str) {
    let deployment = start_cut(2, 1, &Table::default()).await;
    deployment.set_behavior(Behavior::HangAfter(2));
    let req = deployment.request(CUT, "POST", "/stream/x", "resumed");
    let waiting = tokio::spawn(async move { req.send().await?.text().await });
    wait_received(&deployment, "resumed").await;
    deployment.set_behavior(Behavior::Normal);
    let received = deployment.upstreams[0].received();
    let request = received.iter().find(|request| request.id == "resumed");
    let source = request.expect("the request").source;
    let carrying = (1..3).find(|index| daemon::source_address(*index) == source);
    let carrying = carrying.expect("a peer has passed it on");
    let process = &deployment.daemons[carrying].process;
    process.send_signal(signal).expect("signal");
    let body = waiting.await.expect("task").expect("a complete stream");
    assert_eq!(body, upstream::complete_stream());
    let log = deployment.log();
    let is_failure = |line: &&str| line.contains("event=attempt_failed");
    let failed: Vec<_> = log.lines().filter(is_failure).collect();
    let failed: Vec<_> = failed
        .iter()
        .filter(|line| line.contains("resumed"))
        .collect();
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert!(failed[0].contains(reason), "{failed:?}");
    process.send_signal("CONT").expect("signal");
}

#[test_case(PEER; "of the peer")]
#[test_case(CUT; "of the instance itself")]
#[tokio::test]
async fn a_drain_does_not_cut_off_streams(daemon_index: usize) {
    let deployment = start_cut(1, 1, &Table::default()).await;
    deployment.set_behavior(Behavior::GapAfterTwo(700));
    let req = deployment.request(CUT, "POST", "/stream/x", "drained");
    let waiting = tokio::spawn(async move { req.send().await?.text().await });
    wait_received(&deployment, "drained").await;
    let process = &deployment.daemons[daemon_index].process;
    process.send_signal("TERM").expect("signal");
    let body = waiting.await.expect("task").expect("a complete stream");
    assert_eq!(body, upstream::complete_stream());
    assert_eq!(deployment.run_count("drained"), 1);
}

#[tokio::test]
async fn a_draining_peer_opens_no_further_tunnels() {
    let deployment = start_cut(2, 1, &Table::default()).await;
    let process = &deployment.daemons[PEER].process;
    process.send_signal("TERM").expect("signal");
    daemon::wait_until("readiness fails", async || !deployment.is_ready(PEER).await)
        .await
        .expect("unready");
    for number in 0..20 {
        let id = format!("id{number}");
        assert_eq!(send(&deployment, "POST", "/book/x", &id).await.status, 200);
        assert_eq!(deployment.run_count(&id), 1);
    }
}

/// Returns the number of requests that the upstream has received from an instance.
fn received_from(deployment: &Deployment, upstream: usize, daemon_index: usize) -> usize {
    let received = deployment.upstreams[upstream].received();
    let source = daemon::source_address(daemon_index);
    let requests = received.iter().filter(|request| request.source == source);
    requests.count()
}

#[test_case(Behavior::Leaving; "is leaving")]
#[test_case(Behavior::DeclineFor(60_000); "wants a pause")]
#[tokio::test]
async fn a_peer_obeys_what_an_upstream_said_in_a_response_to_another_instance(behavior: Behavior) {
    let deployment = start_cut(1, 2, &Table::default()).await;
    deployment.upstreams[0].set_behavior(behavior);
    daemon::wait_until("the upstream has said so", async || {
        deployment.get_status(CUT, "/look/x").await;
        deployment.log().contains("event=upstream_unavailable")
    })
    .await
    .expect("said");
    daemon::wait_until("the peer knows", async || {
        let log = deployment.log();
        log.matches("event=upstream_unavailable").count() >= 2
    })
    .await
    .expect("known");
    let before = received_from(&deployment, 0, PEER);
    for number in 0..40 {
        let daemon_index = [CUT, PEER][number % 2];
        assert_eq!(deployment.get_status(daemon_index, "/look/x").await, 200);
    }
    assert_eq!(received_from(&deployment, 0, PEER), before);
}

#[tokio::test]
async fn requests_are_refused_at_once_while_no_instance_has_a_path() {
    let deployment = start_cut(2, 2, &Table::default()).await;
    for daemon_index in 0..3 {
        deployment
            .set_path_faults(daemon_index, Some(PathFault::DropNew))
            .expect("packet filter");
    }
    for number in 0..4 {
        let started = time::Instant::now();
        let response = send(&deployment, "POST", "/book/x", &format!("id{number}")).await;
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.retry_after.is_some(), "{response:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < time::Duration::from_secs(3), "{elapsed:?}");
    }
    assert!(!deployment.log().contains("event=upstream_ejected"));
}

#[tokio::test]
async fn requests_are_sent_directly_once_the_paths_are_back() {
    let deployment = start_cut(1, 2, &Table::default()).await;
    deployment
        .set_path_faults(CUT, None)
        .expect("packet filter");
    daemon::wait_until("the paths are restored", async || {
        // More at a time than one upstream has slots for.
        let requests = (0..8).map(|_| deployment.get_status(CUT, "/look/x"));
        futures_util::future::join_all(requests).await;
        let log = deployment.log();
        log.matches("event=path_restored").count() >= 2
    })
    .await
    .expect("restored");
    assert_eq!(deployment.log().matches("event=path_restored").count(), 2);
    let through_peer = [0, 1].map(|upstream| received_from(&deployment, upstream, PEER));
    for _ in 0..10 {
        assert_eq!(deployment.get_status(CUT, "/look/x").await, 200);
    }
    let now = [0, 1].map(|upstream| received_from(&deployment, upstream, PEER));
    assert_eq!(now, through_peer);
}

#[tokio::test]
async fn one_lost_path_concerns_one_upstream() {
    let deployment = Deployment::start(2, 2).await.expect("deployment");
    let planner = deployment.wait_for_common_planner().await;
    planner.expect("common planner");
    let source = daemon::source_address(CUT);
    let set = deployment.upstreams[0].set_path_fault(source, Some(PathFault::Hang));
    set.expect("packet filter");
    // More at a time than one upstream has slots for.
    for round in 0..4 {
        let ids: Vec<_> = (0..10)
            .map(|number| format!("id{round}-{number}"))
            .collect();
        let requests = ids
            .iter()
            .map(|id| send(&deployment, "POST", "/book/x", id));
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(response.status, 200);
        }
    }
    assert!(received_from(&deployment, 0, PEER) > 0, "through the peer");
    assert!(received_from(&deployment, 1, CUT) > 0, "directly");
    let log = deployment.log();
    assert_eq!(log.matches("event=path_severed").count(), 1, "{log}");
}

#[tokio::test]
async fn memory_that_is_reserved_through_a_peer_is_released() {
    let deployment = start_cut(1, 8, &Table::default()).await;
    let table = Table {
        version: 7,
        engine_memory_tokens: Some(1_000),
        extra_routes: vec!["engines".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    for daemon_index in [CUT, PEER] {
        daemon::wait_until("the engine parameters are in force", async || {
            deployment.get_status(daemon_index, "/engines/x").await == 200
        })
        .await
        .expect("in force");
    }
    let req = deployment.request(CUT, "POST", "/stream/x", "long");
    let req = req.header(names::TOKEN_COUNTS, "1500,10").body("prompt");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 200, "{response:?}");
    let orders = |operation: &str| -> collections::BTreeSet<String> {
        let upstreams = deployment.upstreams.iter();
        upstreams
            .flat_map(|upstream| upstream.reservation_ids(operation))
            .collect()
    };
    assert!(!orders("reserve").is_empty());
    daemon::wait_until("all reservations are released", async || {
        orders("reserve") == orders("release")
    })
    .await
    .expect("released");
}

#[test_case("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"; "a head")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim heads")]
#[test_case("HTTP/1.1 500 Error\r\n{own}\r\n", "a"; "an error body")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n", "data: piece\n"; "an event"
)]
#[tokio::test]
async fn bytes_without_end_end_neither_instance(text: &'static str, repeated: &'static str) {
    let mut deployment = start_cut(1, 1, &Table::default()).await;
    deployment.set_behavior(Behavior::Scripted(Script {
        text,
        end: End::Repeat(repeated),
    }));
    for path in ["/stream/x", "/book/x"] {
        let requests = (0..12).map(|index| {
            let req = deployment.request(CUT, "POST", path, &format!("{path}-{index}"));
            deployment.send(req.body("prompt"))
        });
        // The responses may be any failure.
        let _ = futures_util::future::join_all(requests).await;
    }
    deployment.set_behavior(Behavior::Normal);
    let response = send(&deployment, "POST", "/book/x", "afterwards").await;
    assert_eq!(response.status, 200, "{response:?}");
    for daemon in &mut deployment.daemons {
        assert!(!daemon.process.has_exited(), "a process has ended");
        let peak = process_usage::peak_resident_memory(daemon.process.id()) >> 20;
        assert!(peak < MEMORY_LIMIT_MB, "{peak} MB");
    }
}

#[test_case("HTTP/1.1 200 OK\r\n{own}\r\npart of a body", "POST", "/book/x"; "a complete response")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
    "POST", "/stream/x"; "a stream"
)]
#[tokio::test]
async fn a_response_that_is_reset_does_not_look_complete(
    text: &'static str,
    method: &str,
    path: &str,
) {
    let deployment = start_cut(1, 1, &Table::default()).await;
    let end = End::Reset;
    deployment.set_behavior(Behavior::Scripted(Script { text, end }));
    let response = send(&deployment, method, path, "reset").await;
    let is_complete = response.status == 200 && response.body.is_some();
    assert!(!is_complete, "{response:?}");
}
