//! Tests of upstreams that say that they accept no further requests.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    table::Table,
    upstream::{self, Behavior},
};
use test_case::test_case;

/// The time limit for a refusal that is not delayed. Callers of the routes wait for 3 s.
const IMMEDIATELY: time::Duration = time::Duration::from_secs(1);

/// Sends a request to a daemon and returns the response.
async fn get(deployment: &Deployment, daemon_index: usize, id: &str) -> CallerResponse {
    let req = deployment.request(daemon_index, "GET", "/look/x", id);
    deployment.send(req).await.expect("response")
}

/// Sends requests to a daemon until it has recorded that `count` upstreams are unavailable.
async fn wait_until_unavailable(deployment: &Deployment, path: &str, count: usize) {
    daemon::wait_until("the upstreams are known to be unavailable", async || {
        let requests = (0..8).map(|_| deployment.get_status(0, path));
        futures_util::future::join_all(requests).await;
        let log = deployment.log();
        log.matches("event=upstream_unavailable").count() >= count
    })
    .await
    .expect("unavailable");
}

/// Returns the number of requests and orders that each upstream has received.
fn received_counts(deployment: &Deployment) -> Vec<usize> {
    let upstreams = deployment.upstreams.iter();
    upstreams
        .map(|upstream| upstream.received().len())
        .collect()
}

#[test_case(0; "with the first instance")]
#[test_case(1; "with the second instance")]
#[tokio::test]
async fn a_leaving_upstream_receives_no_more_requests(daemon_index: usize) {
    // The pool is planned by one of the two instances.
    let deployment = Deployment::start(2, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::Leaving);
    let response = get(&deployment, daemon_index, "first").await;
    assert_eq!(
        (response.status, response.signed_by.as_deref()),
        (200, Some("u0")),
        "the first of two idle upstreams is chosen"
    );
    for round in 0..10 {
        let ids: Vec<_> = (0..8).map(|number| format!("id{round}-{number}")).collect();
        let requests = ids.iter().map(|id| get(&deployment, daemon_index, id));
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(response.status, 200);
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert_eq!(
        received_counts(&deployment),
        [1, 80],
        "the store lists both upstreams as ready"
    );
}

#[test_case("GET", "/look/x", Behavior::Decline; "after a declined request")]
#[test_case("GET", "/look/x", Behavior::DropResponse; "after a lost response")]
#[test_case("POST", "/stream/x", Behavior::CutAfter(2); "for a stream that broke off")]
#[tokio::test]
async fn a_leaving_upstream_receives_no_retries(method: &str, path: &str, other: Behavior) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::Leaving);
    assert_eq!(get(&deployment, 0, "first").await.status, 200);
    deployment.upstreams[1].set_behavior(other);
    for number in 0..5 {
        let req = deployment.request(0, method, path, &format!("id{number}"));
        // The only available upstream fails, so the result does not matter.
        let _ = deployment.send(req).await;
    }
    let counts = received_counts(&deployment);
    assert_eq!(counts[0], 1, "{counts:?}");
    assert!(counts[1] > 5, "retried on the other upstream: {counts:?}");
}

#[tokio::test]
async fn a_stream_that_announces_leaving_is_forwarded_to_its_end() {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::Leaving);
    for (id, upstream) in [("first", "u0"), ("second", "u1")] {
        let req = deployment
            .request(0, "POST", "/stream/x", id)
            .body("prompt");
        let response = deployment.send(req).await.expect("response");
        assert_eq!(response.signed_by.as_deref(), Some(upstream));
        assert_eq!(response.body, Some(upstream::complete_stream()));
    }
}

#[tokio::test]
async fn a_request_is_refused_at_once_if_every_upstream_is_leaving() {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.set_behavior(Behavior::Leaving);
    wait_until_unavailable(&deployment, "/look/x", 2).await;
    let started = time::Instant::now();
    let response = get(&deployment, 0, "id1").await;
    assert!(started.elapsed() < IMMEDIATELY, "{:?}", started.elapsed());
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(deployment.run_count("id1"), 0);
}

#[tokio::test]
async fn an_upstream_that_has_left_is_used_again_after_its_restart() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let upstream = &deployment.upstreams[0];
    upstream.set_behavior(Behavior::Leaving);
    assert_eq!(get(&deployment, 0, "first").await.status, 200);
    // The entry of the same process does not make it available.
    deployment
        .register_upstream(upstream, "ready")
        .expect("registered");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert_eq!(get(&deployment, 0, "second").await.status, 503);
    upstream.restart();
    deployment
        .register_upstream(upstream, "ready")
        .expect("registered");
    daemon::wait_until("the restarted upstream is used", async || {
        deployment.get_status(0, "/look/x").await == 200
    })
    .await
    .expect("used");
}

#[tokio::test]
async fn a_leaving_engine_neither_leads_nor_helps() {
    let deployment = Deployment::start(1, 8).await.expect("deployment");
    let table = Table {
        version: 2,
        engine_memory_tokens: Some(1_000),
        extra_routes: vec!["engines".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    daemon::wait_until("the engine parameters are in force", async || {
        deployment.get_status(0, "/engines/x").await == 200
    })
    .await
    .expect("in force");
    // Each engine is used until it has said that it is leaving.
    deployment.set_behavior(Behavior::Leaving);
    let mut leaving = Vec::new();
    for number in 0..4 {
        let req = deployment.request(0, "GET", "/engines/x", &format!("leaving{number}"));
        let response = deployment.send(req).await.expect("response");
        leaving.push(response.signed_by.expect("signature"));
    }
    deployment.set_behavior(Behavior::Normal);
    let (leaving, staying): (Vec<_>, Vec<_>) = deployment
        .upstreams
        .iter()
        .partition(|engine| leaving.contains(&engine.name));
    assert_eq!(leaving.len(), 4, "each of them receives one request");
    let received_by_leaving = || -> usize {
        let received = leaving.iter().map(|engine| engine.received().len());
        received.sum()
    };
    let before = received_by_leaving();
    for number in 0..5 {
        let req = deployment.request(0, "POST", "/stream/x", &format!("id{number}"));
        // The prompt needs the memory of two engines besides the lead.
        let req = req.header(names::TOKEN_COUNTS, "1500,10");
        let response = deployment.send(req.body("a long prompt")).await;
        assert_eq!(response.expect("response").status, 200);
    }
    assert_eq!(received_by_leaving(), before, "neither requests nor orders");
    let received = staying.iter().flat_map(|engine| engine.received());
    let helpers: Vec<_> = received
        .filter_map(|req| req.headers.get(names::HELPERS.as_str()).cloned())
        .collect();
    assert_eq!(helpers.len(), 5, "each prompt has helpers");
    for engine in leaving {
        let address = engine.address.to_string();
        assert!(!helpers.iter().any(|names| names.contains(&address)));
    }
}

#[tokio::test]
async fn a_response_to_another_request_says_nothing_about_the_upstream() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::LeavingWithWrongId);
    let req = deployment.request(0, "POST", "/book/x", "id1");
    assert_eq!(deployment.send(req).await.expect("response").status, 502);
    deployment.upstreams[0].set_behavior(Behavior::Normal);
    assert_eq!(get(&deployment, 0, "id2").await.status, 200);
}

/// The pause for which an upstream asks in these tests, in milliseconds.
const PAUSE_MS: u64 = 2_000;

/// Returns the retry delay of a refusal.
fn retry_after(response: &CallerResponse) -> time::Duration {
    let seconds = response.retry_after.as_deref().expect("retry-after");
    time::Duration::from_secs_f64(seconds.parse().expect("seconds"))
}

#[tokio::test]
async fn a_paused_upstream_is_used_again_after_its_time() {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    let paused = &deployment.upstreams[0];
    paused.set_behavior(Behavior::DeclineFor(PAUSE_MS));
    let sent = time::Instant::now();
    let response = get(&deployment, 0, "first").await;
    assert_eq!(response.signed_by.as_deref(), Some("u1"), "retried");
    paused.set_behavior(Behavior::Normal);
    daemon::wait_until("the upstream is used again", async || {
        // More requests than the other upstream has slots for.
        let requests = (0..10).map(|_| deployment.get_status(0, "/look/x"));
        let statuses = futures_util::future::join_all(requests).await;
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        paused.received().len() > 1
    })
    .await
    .expect("used");
    let elapsed = sent.elapsed();
    assert!(elapsed.as_millis() as u64 >= PAUSE_MS, "{elapsed:?}");
}

#[test_case("GET", "/look/x"; "that may be retried")]
#[test_case("POST", "/book/x"; "that is sent once")]
#[test_case("POST", "/stream/x"; "for a stream")]
#[tokio::test]
async fn a_request_is_refused_at_once_while_every_upstream_is_paused(method: &str, path: &str) {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let upstream = &deployment.upstreams[0];
    upstream.set_behavior(Behavior::DeclineFor(PAUSE_MS));
    let first_sent = time::Instant::now();
    let earliest_end = first_sent + time::Duration::from_millis(PAUSE_MS);
    let mut attempt = 0;
    let response = loop {
        let started = time::Instant::now();
        let req = deployment.request(0, method, path, &format!("id{attempt}"));
        let response = deployment.send(req).await.expect("response");
        assert!(started.elapsed() < IMMEDIATELY, "{:?}", started.elapsed());
        upstream.set_behavior(Behavior::Normal);
        if response.status != 503 {
            break response;
        }
        assert_eq!(upstream.received().len(), 1, "only the first request");
        let delay = retry_after(&response);
        assert!(
            time::Instant::now() + delay >= earliest_end,
            "attempt {attempt} is told to return too early, in {delay:?}"
        );
        attempt += 1;
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    };
    assert_eq!(response.status, 200);
    assert!(time::Instant::now() >= earliest_end);
    assert_eq!(upstream.received().len(), 2);
}

#[tokio::test]
async fn callers_are_told_the_shortest_pause_of_all_upstreams() {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(Behavior::DeclineFor(30_000));
    deployment.upstreams[1].set_behavior(Behavior::DeclineFor(20_000));
    for number in 0..3 {
        let response = get(&deployment, 0, &format!("id{number}")).await;
        assert_eq!(response.status, 503);
        let delay = retry_after(&response).as_secs_f64();
        assert!((10.0..=20.0).contains(&delay), "{delay}");
    }
    assert_eq!(received_counts(&deployment), [1, 1]);
}

/// Guards against a stream that is cut in the middle while its upstream is at work.
#[test_case(None; "in service")]
#[test_case(Some("TERM"); "while the instance drains")]
#[tokio::test]
async fn a_stream_that_pauses_goes_on_if_a_second_attempt_is_refused(signal: Option<&str>) {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let upstream = &deployment.upstreams[0];
    // Callers of the route tolerate a gap of 2 s.
    upstream.set_behavior(Behavior::GapAfterTwo(1_600));
    let req = deployment.request(0, "POST", "/stream/x", "paused");
    let waiting = tokio::spawn(async move { req.send().await?.text().await });
    daemon::wait_until("the stream has begun", async || {
        deployment.run_count("paused") > 0
    })
    .await
    .expect("begun");
    upstream.set_behavior(Behavior::DeclineFor(30_000));
    assert_eq!(get(&deployment, 0, "declined").await.status, 503);
    if let Some(signal) = signal {
        let process = &deployment.daemons[0].process;
        process.send_signal(signal).expect("signal");
    }
    let body = waiting.await.expect("task").expect("a complete stream");
    assert_eq!(body, upstream::complete_stream());
    assert_eq!(deployment.run_count("paused"), 1);
}
