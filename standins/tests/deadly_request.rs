//! Tests of a request that is repeated although upstreams crash on it.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    upstream::{self, Behavior},
};
use test_case::test_case;

/// The body of the request on which upstreams crash.
const DEADLY_BODY: &str = "deadly";

/// The number of upstreams, of which each crash needs another one.
const UPSTREAMS: usize = 9;

/// The largest number of times that the request may reach an upstream.
const MAX_DEADLY_SENDS: usize = 3;

/// The interval between two repetitions.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Sends a request with an ID of its own. Only the body tells the deadly request from the others.
async fn send(
    deployment: &Deployment,
    daemon_index: usize,
    path: &str,
    body: &'static str,
) -> CallerResponse {
    let id = format!("id{:016x}", rand::random::<u64>());
    let req = deployment
        .request(daemon_index, "POST", path, &id)
        .header(names::PROMPT_PARTS, "c0de:40,50:60,51:20")
        .body(body);
    deployment.send(req).await.expect("response")
}

/// Returns the number of times that the deadly request has reached an upstream.
fn count_deadly_sends(deployment: &Deployment) -> usize {
    let received = deployment
        .upstreams
        .iter()
        .flat_map(upstream::Upstream::received);
    received
        .filter(|request| request.body == DEADLY_BODY.as_bytes())
        .count()
}

#[test_case("/stream/x"; "a stream")]
#[test_case("/look/x"; "a request that may be repeated")]
#[test_case("/book/x"; "a request that may run once")]
#[tokio::test]
async fn a_request_that_crashes_upstreams_does_not_reach_one_after_the_other(path: &str) {
    let deployment = Deployment::start(2, UPSTREAMS).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("common planner");
    deployment.set_behavior(Behavior::CrashOnBody(DEADLY_BODY));
    let mut statuses = Vec::new();
    for number in 0..12 {
        let (deadly, sound) = tokio::join!(
            send(&deployment, number % 2, path, DEADLY_BODY),
            send(&deployment, (number + 1) % 2, path, "sound"),
        );
        assert_eq!(sound.status, 200, "the same but for the body");
        statuses.push((deadly.status, deadly.retry_after));
        tokio::time::sleep(INTERVAL).await;
    }
    let deadly_sends = count_deadly_sends(&deployment);
    assert!(
        deadly_sends <= MAX_DEADLY_SENDS,
        "it was sent {deadly_sends} times: {statuses:?}"
    );
    assert_eq!(
        statuses.last(),
        Some(&(502, None)),
        "no invitation to repeat it"
    );
}

#[tokio::test]
async fn a_restart_of_all_daemons_does_not_forget_a_request_that_crashes_upstreams() {
    let mut deployment = Deployment::start(2, UPSTREAMS).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("common planner");
    deployment.set_behavior(Behavior::CrashOnBody(DEADLY_BODY));
    for number in 0..4 {
        send(&deployment, number % 2, "/stream/x", DEADLY_BODY).await;
        tokio::time::sleep(INTERVAL).await;
    }
    daemon::wait_until("the quarantine is in the store", async || {
        !deployment.store.keys(names::QUARANTINE_PREFIX).is_empty()
    })
    .await
    .expect("stored");
    deployment.restart_daemons().expect("restarted");
    for daemon_index in 0..2 {
        deployment.wait_ready(daemon_index).await.expect("ready");
        let deadly = send(&deployment, daemon_index, "/stream/x", DEADLY_BODY).await;
        assert_eq!(deadly.status, 502);
        let sound = send(&deployment, daemon_index, "/stream/x", "sound").await;
        assert_eq!(sound.status, 200);
    }
    assert!(count_deadly_sends(&deployment) <= MAX_DEADLY_SENDS);
}
