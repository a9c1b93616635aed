//! Tests of hedged requests with upstreams that are silent or slow.

use std::time;

use standins::deployment::{
    daemon::{self, Deployment},
    options::DaemonOptions,
    table::Table,
    upstream::{self, Behavior, Upstream},
};
use test_case::test_case;

/// Requests before a test: enough response times for the quantile, and for a few hedges.
const WARM_UP_REQUESTS: usize = 40;

/// A time within which a hedged request is answered, well below the timeouts of attempts to
/// idempotent routes (500 ms) and streams (1,500 ms).
const HEDGED_WITHIN: time::Duration = time::Duration::from_millis(400);

/// Starts a deployment that hedges, with as many requests answered as the decision needs.
async fn start_warm(hedging: Option<(f64, f64)>, path: &str) -> Deployment {
    let options = DaemonOptions {
        hedging,
        ..DaemonOptions::default()
    };
    let deployment = Deployment::start_with(1, 2, options, &Table::default()).await;
    let deployment = deployment.expect("deployment");
    for index in 0..WARM_UP_REQUESTS {
        let id = format!("warm{index}");
        let req = deployment.request(0, "POST", path, &id).body("b");
        let response = deployment.send(req).await.expect("response");
        assert_eq!(response.status, 200, "{response:?}");
    }
    deployment
}

/// Sends requests until one is sent to `silent` first, and returns its ID, body and duration.
async fn send_to_silent(
    deployment: &Deployment,
    silent: &Upstream,
    path: &str,
) -> (String, u16, Option<String>, time::Duration) {
    for index in 0..20 {
        let id = format!("id{index}");
        let started = time::Instant::now();
        let req = deployment.request(0, "POST", path, &id).body("b");
        let response = deployment.send(req).await.expect("response");
        if silent.run_count(&id) > 0 {
            return (id, response.status, response.body, started.elapsed());
        }
    }
    panic!("no request was sent to the silent upstream");
}

#[test_case("/look/x"; "a complete response")]
#[test_case("/stream/x"; "a stream")]
#[tokio::test]
async fn a_request_to_a_silent_upstream_is_answered_by_another_one(path: &str) {
    let deployment = start_warm(Some((0.5, 0.8)), path).await;
    let silent = &deployment.upstreams[0];
    let before = silent.disconnects();
    silent.set_behavior(Behavior::Hang);
    let (id, status, body, elapsed) = send_to_silent(&deployment, silent, path).await;
    assert_eq!(status, 200);
    assert!(elapsed < HEDGED_WITHIN, "{elapsed:?}");
    assert_eq!(deployment.run_count(&id), 2);
    if path.starts_with("/stream") {
        // A body with events of both attempts would be mixed.
        assert_eq!(body, Some(upstream::complete_stream()));
    }
    // The losing attempt is cancelled at once.
    let limit = time::Duration::from_millis(500);
    let cancelled = tokio::time::timeout(limit, async {
        while silent.disconnects() <= before {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    });
    cancelled
        .await
        .expect("the silent upstream sees the disconnect");
    // Lines are written in the background.
    daemon::wait_until("the hedge is logged", async || {
        deployment.log().contains("hedge_sent")
    })
    .await
    .expect("logged");
}

#[test_case(None, "/look/x"; "by default")]
#[test_case(Some((0.5, 0.8)), "/book/x"; "for a request that runs at most once")]
#[tokio::test]
async fn there_is_no_hedge(hedging: Option<(f64, f64)>, path: &str) {
    let deployment = start_warm(hedging, path).await;
    let silent = &deployment.upstreams[0];
    silent.set_behavior(Behavior::Hang);
    let (id, _, _, elapsed) = send_to_silent(&deployment, silent, path).await;
    assert!(elapsed > HEDGED_WITHIN, "{elapsed:?}");
    assert!(path != "/book/x" || deployment.run_count(&id) == 1);
    assert!(!deployment.log().contains("hedge_sent"));
}

#[tokio::test]
async fn a_cancel_that_crosses_the_response_mixes_nothing() {
    let deployment = start_warm(Some((0.5, 0.5)), "/stream/x").await;
    // Half of the requests are slower than the median, so that both attempts often respond at once.
    for index in 0..60 {
        let id = format!("id{index}");
        let req = deployment.request(0, "POST", "/stream/x", &id).body("b");
        let response = deployment.send(req).await.expect("response");
        assert_eq!(response.status, 200);
        assert_eq!(response.body, Some(upstream::complete_stream()), "{id}");
        assert!(deployment.run_count(&id) <= 2, "{id}");
    }
}
