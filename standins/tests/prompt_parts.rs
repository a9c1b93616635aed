//! Tests of prompts with a part on which upstreams crash.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    upstream::{self, Behavior},
};
use test_case::test_case;

/// The part on which upstreams crash.
const DEADLY_PART: u64 = 0xdead;

/// The number of upstreams, of which each crash needs another one.
const UPSTREAMS: usize = 9;

/// The largest number of requests with the part that may reach an upstream.
const MAX_DEADLY_SENDS: usize = 4;

/// The interval between two requests with the part.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Sends a stream request through a daemon. The prompt has a part that all requests share, another
/// one, and one of its own.
async fn send(
    deployment: &Deployment,
    daemon_index: usize,
    number: usize,
    part: u64,
) -> CallerResponse {
    send_behind(deployment, daemon_index, number, part, "c0de:40").await
}

/// Sends a stream request whose prompt has these parts before the others.
async fn send_behind(
    deployment: &Deployment,
    daemon_index: usize,
    number: usize,
    part: u64,
    common: &str,
) -> CallerResponse {
    let id = format!("id{part:x}-{number}");
    let parts = format!("{common},{part:x}:60,{number:x}:20");
    let req = deployment
        .request(daemon_index, "POST", "/stream/x", &id)
        .header(names::PROMPT_PARTS, parts)
        .body("prompt");
    deployment.send(req).await.expect("response")
}

/// Returns the number of requests with the deadly part that have reached an upstream.
fn count_deadly_sends(deployment: &Deployment) -> usize {
    let upstreams = deployment.upstreams.iter();
    let received = upstreams.flat_map(upstream::Upstream::received);
    received
        .filter(|request| request.has_part(DEADLY_PART))
        .count()
}

#[test_case(Behavior::CrashOnPart(DEADLY_PART); "before their response")]
#[test_case(Behavior::CrashAfterEventOnPart(DEADLY_PART); "after their first event")]
#[tokio::test]
async fn a_part_that_crashes_upstreams_does_not_reach_one_after_the_other(behavior: Behavior) {
    let deployment = Deployment::start(2, UPSTREAMS).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("common planner");
    deployment.set_behavior(behavior);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let (deadly, sound) = tokio::join!(
            send(&deployment, number % 2, number, DEADLY_PART),
            send(&deployment, (number + 1) % 2, number, 0x50),
        );
        assert_eq!(sound.status, 200);
        assert_eq!(sound.body, Some(upstream::complete_stream()));
        if deadly.status == 503 {
            assert!(deadly.retry_after.is_some());
        }
        statuses.push(deadly.status);
        tokio::time::sleep(INTERVAL).await;
    }
    let deadly_sends = count_deadly_sends(&deployment);
    assert!(
        deadly_sends <= MAX_DEADLY_SENDS,
        "{deadly_sends} requests with the part were sent: {statuses:?}"
    );
    assert_eq!(statuses.last(), Some(&503), "{statuses:?}");
}

/// Returns a list of parts that all requests share.
fn common_parts(count: usize) -> String {
    let parts: Vec<_> = (0..count).map(|part| format!("c0{part:x}:40")).collect();
    parts.join(",")
}

#[test_case(40)]
#[test_case(1_000)]
#[tokio::test]
async fn a_part_behind_many_others_that_crashes_upstreams_does_not_reach_one_after_the_other(
    count: usize,
) {
    let deployment = Deployment::start(2, UPSTREAMS).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("common planner");
    deployment.set_behavior(Behavior::CrashOnPart(DEADLY_PART));
    let common = common_parts(count);
    for number in 0..12 {
        let (daemon, other) = (number % 2, (number + 1) % 2);
        let (_, sound) = tokio::join!(
            send_behind(&deployment, daemon, number, DEADLY_PART, &common),
            send_behind(&deployment, other, number, 0x50, &common),
        );
        assert_eq!(sound.body, Some(upstream::complete_stream()));
        tokio::time::sleep(INTERVAL).await;
    }
    let deadly_sends = count_deadly_sends(&deployment);
    assert!(deadly_sends <= MAX_DEADLY_SENDS, "{deadly_sends} were sent");
}

#[tokio::test]
async fn a_restart_of_all_daemons_does_not_forget_a_part_that_crashes_upstreams() {
    let mut deployment = Deployment::start(2, UPSTREAMS).await.expect("deployment");
    deployment
        .wait_for_common_planner()
        .await
        .expect("common planner");
    deployment.set_behavior(Behavior::CrashOnPart(DEADLY_PART));
    for number in 0..4 {
        send(&deployment, number % 2, number, DEADLY_PART).await;
        tokio::time::sleep(INTERVAL).await;
    }
    daemon::wait_until("the quarantine is in the store", async || {
        !deployment.store.keys(names::QUARANTINE_PREFIX).is_empty()
    })
    .await
    .expect("stored");
    let before = count_deadly_sends(&deployment);
    deployment.restart_daemons().expect("restarted");
    for daemon_index in 0..2 {
        deployment.wait_ready(daemon_index).await.expect("ready");
    }
    for number in 4..10 {
        let response = send(&deployment, number % 2, number, DEADLY_PART).await;
        assert_eq!(response.status, 503);
        assert!(response.retry_after.is_some());
    }
    assert_eq!(count_deadly_sends(&deployment), before);
}
