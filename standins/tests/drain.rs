//! Tests of daemons that drain while they relay requests.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, Deployment},
    table::{self, Table},
    upstream::{self, Behavior},
};
use test_case::test_case;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The drain timeout of the daemons, after which they are killed.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// The timeout of all routes, which is longer than the drain timeout.
const ROUTE_TIMEOUT_MS: u64 = 30_000;

/// Starts a deployment with one daemon whose requests may last longer than its drain timeout.
async fn start(upstream_count: usize) -> Deployment {
    let deployment = Deployment::start_with_drain_timeout(1, upstream_count, DRAIN_TIMEOUT)
        .await
        .expect("deployment");
    let table = Table {
        version: 5,
        timeout_ms: ROUTE_TIMEOUT_MS,
        extra_routes: vec!["new".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    daemon::wait_until("the table is in force", async || {
        deployment.get_status(0, "/new/x").await == 200
    })
    .await
    .expect("in force");
    deployment
}

/// Builds a request whose caller waits longer than the drain timeout.
fn long_request(deployment: &Deployment, path: &str, id: &str) -> reqwest::RequestBuilder {
    let remaining = http::HeaderValue::from(ROUTE_TIMEOUT_MS);
    let headers = http::HeaderMap::from_iter([(names::REMAINING_MS, remaining)]);
    deployment.request(0, "POST", path, id).headers(headers)
}

async fn wait_received(deployment: &Deployment, id: &str) {
    daemon::wait_until("an upstream receives the request", async || {
        deployment.run_count(id) > 0
    })
    .await
    .expect("received");
}

/// Sends SIGTERM to the daemon and returns when it was sent.
fn terminate(deployment: &Deployment) -> time::Instant {
    let process = &deployment.daemons[0].process;
    process.send_signal("TERM").expect("signal");
    time::Instant::now()
}

async fn wait_exited(deployment: &mut Deployment) {
    daemon::wait_until("the daemon exits", async || {
        deployment.daemons[0].process.has_exited()
    })
    .await
    .expect("exited");
}

#[tokio::test]
async fn requests_taken_and_left_unfinished_while_draining_are_logged() {
    let mut deployment = start(1).await;
    deployment.set_behavior(Behavior::Hang);
    let early = tokio::spawn(long_request(&deployment, "/book/x", "early").send());
    wait_received(&deployment, "early").await;
    terminate(&deployment);
    daemon::wait_until("readiness fails", async || !deployment.is_ready(0).await)
        .await
        .expect("unready");
    let late = tokio::spawn(long_request(&deployment, "/book/x", "late").send());
    wait_exited(&mut deployment).await;
    let _ = tokio::join!(early, late);
    let log = deployment.log();
    let line = |event: &str| {
        let prefix = format!("event={event} ");
        let mut lines = log.lines().filter(|line| line.contains(&prefix));
        lines.next().unwrap_or_else(|| panic!("{event}: {log}"))
    };
    assert!(line("leaving").contains("drain_timeout_ms=4000"), "{log}");
    let taken = line("taken_while_draining");
    assert!(taken.contains("request=late"), "{log}");
    assert!(taken.contains("draining_ms="), "{log}");
    assert!(taken.contains("given_ms="), "{log}");
    let ended = log
        .lines()
        .find(|line| line.contains("event=request_ended ") && line.contains("request=early "));
    assert!(
        ended.is_some_and(|line| line.contains("reason=drain_ended ")),
        "{log}"
    );
}

#[test_case("/book/x"; "at most once")]
#[test_case("/look/x"; "idempotent")]
#[tokio::test]
async fn a_request_that_outlasts_the_drain_gets_a_final_response(path: &str) {
    let mut deployment = start(2).await;
    deployment.set_behavior(Behavior::Hang);
    let waiting = tokio::spawn(long_request(&deployment, path, "id1").send());
    wait_received(&deployment, "id1").await;
    let signalled = terminate(&deployment);
    let res = waiting.await.expect("task").expect("a final response");
    assert_eq!(res.status(), 504);
    wait_exited(&mut deployment).await;
    let elapsed = signalled.elapsed();
    assert!(elapsed < DRAIN_TIMEOUT, "{elapsed:?}");
}

#[test_case(2_300, ROUTE_TIMEOUT_MS, true; "load balancers still send requests")]
#[test_case(2_700, ROUTE_TIMEOUT_MS, false; "outlasts the drain")]
#[test_case(3_100, ROUTE_TIMEOUT_MS, false; "shortly before connections are refused")]
#[test_case(2_700, 500, true; "ends before the drain")]
#[tokio::test]
async fn a_late_request_that_may_not_be_repeated_is_not_cut_off(
    sent_after_ms: u64,
    remaining_ms: u64,
    is_taken: bool,
) {
    let mut deployment = start(1).await;
    deployment.set_behavior(Behavior::Hang);
    let terminated = terminate(&deployment);
    let send_at = terminated + time::Duration::from_millis(sent_after_ms);
    tokio::time::sleep_until(send_at.into()).await;
    let remaining = http::HeaderValue::from(remaining_ms);
    let headers = http::HeaderMap::from_iter([(names::REMAINING_MS, remaining)]);
    let req = deployment.request(0, "POST", "/book/x", "late");
    let response = deployment.send(req.headers(headers)).await;
    let response = response.expect("a response before the connection closes");
    assert!(terminated.elapsed() < DRAIN_TIMEOUT);
    assert_eq!(deployment.run_count("late"), usize::from(is_taken));
    assert_eq!(response.status, if is_taken { 504 } else { 503 });
    wait_exited(&mut deployment).await;
}

#[tokio::test]
async fn a_stream_that_outlasts_the_drain_is_broken_off_before_the_process_is_killed() {
    let deployment = start(1).await;
    deployment.set_behavior(Behavior::HangAfter(2));
    let waiting = tokio::spawn(long_request(&deployment, "/stream/x", "id1").send());
    let res = waiting.await.expect("task").expect("a response head");
    assert_eq!(res.status(), 200);
    let signalled = terminate(&deployment);
    assert!(
        res.text().await.is_err(),
        "the stream must not look complete"
    );
    let elapsed = signalled.elapsed();
    assert!(elapsed < DRAIN_TIMEOUT, "{elapsed:?}");
}

#[tokio::test]
async fn an_upstream_gets_no_more_time_than_the_drain_leaves() {
    let deployment = start(1).await;
    let signalled = terminate(&deployment);
    daemon::wait_until("readiness fails", async || !deployment.is_ready(0).await)
        .await
        .expect("unready");
    let req = long_request(&deployment, "/book/x", "id1");
    assert_eq!(deployment.send(req).await.expect("response").status, 200);
    let received = deployment.upstreams[0].received();
    let request = received.iter().find(|request| request.id == "id1");
    let header = request.and_then(|request| request.headers.get(names::REMAINING_MS.as_str()));
    let remaining: u128 = header.and_then(|text| text.parse().ok()).expect("a header");
    assert!(remaining < DRAIN_TIMEOUT.as_millis(), "{remaining}");
    assert!(signalled.elapsed() < DRAIN_TIMEOUT);
}

#[tokio::test]
async fn a_daemon_that_is_terminated_while_it_starts_drains() {
    let mut deployment = Deployment::start_with_empty_store(1, 0)
        .await
        .expect("deployment");
    daemon::wait_until("the daemon listens", async || {
        let address = deployment.daemons[0].ready_address;
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await
    .expect("listening");
    terminate(&deployment);
    wait_exited(&mut deployment).await;
    assert!(
        deployment.log().contains("event=stopped "),
        "{}",
        deployment.log()
    );
}

#[tokio::test]
async fn further_signals_do_not_interrupt_a_drain() {
    let mut deployment = start(1).await;
    deployment.set_behavior(Behavior::GapAfterTwo(1_000));
    let streaming = long_request(&deployment, "/stream/x", "id1").send().await;
    let res = streaming.expect("a response head");
    terminate(&deployment);
    for signal in ["HUP", "TERM", "INT"] {
        let process = &deployment.daemons[0].process;
        process.send_signal(signal).expect("signal");
    }
    let streamed = res.text().await.expect("complete");
    assert_eq!(streamed, upstream::complete_stream());
    wait_exited(&mut deployment).await;
}

#[tokio::test]
async fn a_daemon_with_a_short_drain_timeout_stops_before_it_is_killed() {
    let drain_timeout = time::Duration::from_secs(2);
    let mut deployment = Deployment::start_with_drain_timeout(1, 1, drain_timeout)
        .await
        .expect("deployment");
    let signalled = terminate(&deployment);
    wait_exited(&mut deployment).await;
    let elapsed = signalled.elapsed();
    assert!(elapsed < drain_timeout, "{elapsed:?}");
}

#[tokio::test]
async fn a_request_whose_body_is_still_coming_is_answered_after_the_signal() {
    let mut deployment = start(1).await;
    let (head, body) = raw_request("id1", 6);
    let mut stream = connect(&deployment).await;
    stream.write_all(head.as_bytes()).await.expect("head");
    terminate(&deployment);
    daemon::wait_until("the daemon accepts no connections", async || {
        let address = deployment.daemons[0].http_address;
        tokio::net::TcpStream::connect(address).await.is_err()
    })
    .await
    .expect("closed");
    // Longer than an idle process takes to exit.
    tokio::time::sleep(time::Duration::from_millis(250)).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
    wait_exited(&mut deployment).await;
}

#[tokio::test]
async fn a_connection_without_a_request_does_not_delay_the_exit() {
    let mut deployment = start(1).await;
    let unused = connect(&deployment).await;
    let mut partial = connect(&deployment).await;
    partial.write_all(b"POST /look/x HT").await.expect("write");
    let signalled = terminate(&deployment);
    daemon::wait_until("the daemon accepts no connections", async || {
        let address = deployment.daemons[0].http_address;
        tokio::net::TcpStream::connect(address).await.is_err()
    })
    .await
    .expect("closed");
    wait_exited(&mut deployment).await;
    assert!(signalled.elapsed() < DRAIN_TIMEOUT);
    assert!(deployment.log().contains("in_progress=0"));
    drop((unused, partial));
}

async fn connect(deployment: &Deployment) -> tokio::net::TcpStream {
    let address = deployment.daemons[0].http_address;
    let connected = tokio::net::TcpStream::connect(address).await;
    connected.expect("connection")
}

/// Returns the head and the body of a request to the default route.
fn raw_request(id: &str, length: usize) -> (String, String) {
    let head = format!(
        "POST /look/x HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\n{}: {ROUTE_TIMEOUT_MS}\r\n\
         authorization: {}{}\r\ncontent-length: {length}\r\n\r\n",
        table::HOST,
        names::REQUEST_ID,
        names::REMAINING_MS,
        names::KEY_SCHEME,
        table::API_KEY,
    );
    (head, "x".repeat(length))
}
