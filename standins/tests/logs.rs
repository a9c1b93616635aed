//! The log lines that a daemon writes for requests.

use std::time;

use standins::deployment::{
    daemon::{self, Deployment},
    upstream::Behavior,
};
use test_case::test_case;

/// Waits for the `request_ended` log line of a request and returns it.
async fn request_ended_line(deployment: &Deployment, id: &str) -> String {
    let mut line = None;
    daemon::wait_until("the end of the request is logged", async || {
        let log = deployment.log();
        let mut lines = log.lines();
        let end_line = lines.find(|line| line.contains("event=request_ended") && line.contains(id));
        line = end_line.map(str::to_owned);
        line.is_some()
    })
    .await
    .expect("the log contains the line");
    line.unwrap_or_default()
}

#[test_case("GET", "/look/x", Behavior::Hang, "silent_ms=0"; "before the response")]
#[test_case("POST", "/stream/x", Behavior::HangAfter(2), "sends=1"; "in the middle of a stream")]
#[tokio::test]
async fn disconnected_caller_is_logged_as_abandoned(
    method: &str,
    path: &str,
    behavior: Behavior,
    expected_field: &str,
) {
    let deployment = Deployment::start(1, 1)
        .await
        .expect("the deployment starts");
    deployment.upstreams[0].set_behavior(behavior);
    let req = deployment
        .request(0, method, path, "disconnected1")
        .body("prompt");
    let response = req.timeout(time::Duration::from_millis(300)).send().await;
    // For a stream, `send` returns when the response head arrives; dropping the response
    // disconnects the caller.
    drop(response);
    let line = request_ended_line(&deployment, "disconnected1").await;
    assert!(line.contains("result=abandoned"), "{line}");
    assert!(line.contains("last_upstream=u0"), "{line}");
    assert!(line.contains(expected_field), "{line}");
}

#[tokio::test]
async fn complete_stream_is_not_logged_as_abandoned() {
    let deployment = Deployment::start(1, 1)
        .await
        .expect("the deployment starts");
    let req = deployment
        .request(0, "POST", "/stream/x", "complete1")
        .body("prompt");
    let response = deployment.send(req).await.expect("the daemon responds");
    assert_eq!(response.status, 200);
    let line = request_ended_line(&deployment, "complete1").await;
    assert!(line.contains("result=streamed"), "{line}");
}
