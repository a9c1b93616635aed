//! The log lines that a daemon writes for requests.

use std::time;

use standins::site::{
    node::{self, Site},
    upstream::Conduct,
};
use test_case::test_case;

/// Waits for the `request_ended` log line of a request and returns it.
async fn request_ended_line(site: &Site, id: &str) -> String {
    let mut line = None;
    node::eventually("the end of the request is logged", async || {
        let log = site.log();
        let mut lines = log.lines();
        let end_line = lines.find(|line| line.contains("event=request_ended") && line.contains(id));
        line = end_line.map(str::to_owned);
        line.is_some()
    })
    .await
    .expect("the log contains the line");
    line.unwrap_or_default()
}

#[test_case("GET", "/look/x", Conduct::Hang, "silent_ms=0"; "before the answer")]
#[test_case("POST", "/stream/x", Conduct::SilentAfter(2), "sends=1"; "in the middle of a stream")]
#[tokio::test]
async fn disconnected_caller_is_logged_as_abandoned(
    method: &str,
    path: &str,
    conduct: Conduct,
    expected_field: &str,
) {
    let site = Site::start(1, 1).await.expect("the site starts");
    site.upstreams[0].set_conduct(conduct);
    let req = site.request(0, method, path, "gone1").body("prompt");
    let response = req.timeout(time::Duration::from_millis(300)).send().await;
    // For a stream, `send` returns when the response head arrives; dropping the response
    // disconnects the caller.
    drop(response);
    let line = request_ended_line(&site, "gone1").await;
    assert!(line.contains("result=abandoned"), "{line}");
    assert!(line.contains("last_upstream=u0"), "{line}");
    assert!(line.contains(expected_field), "{line}");
}

#[tokio::test]
async fn complete_stream_is_not_logged_as_abandoned() {
    let site = Site::start(1, 1).await.expect("the site starts");
    let req = site
        .request(0, "POST", "/stream/x", "whole1")
        .body("prompt");
    let response = site.ask(req).await.expect("the node responds");
    assert_eq!(response.status, 200);
    let line = request_ended_line(&site, "whole1").await;
    assert!(line.contains("result=streamed"), "{line}");
}
