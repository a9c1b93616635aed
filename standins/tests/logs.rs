//! What the logs of a daemon tell about requests.

use std::time;

use standins::site::{
    node::{self, Site},
    upstream::Conduct,
};
use test_case::test_case;

/// Returns the line that tells how a request ended.
async fn ending(site: &Site, id: &str) -> String {
    let mut line = None;
    node::eventually("the end is logged", async || {
        let log = site.log();
        let mut lines = log.lines();
        let ended = lines.find(|line| line.contains("event=request_ended") && line.contains(id));
        line = ended.map(str::to_owned);
        line.is_some()
    })
    .await
    .expect("line");
    line.unwrap_or_default()
}

#[test_case("GET", "/look/x", Conduct::Hang, "silent_ms=0"; "before the answer")]
#[test_case("POST", "/stream/x", Conduct::SilentAfter(2), "sends=1"; "in the middle of a stream")]
#[tokio::test]
async fn a_caller_that_leaves_is_logged_with_what_had_happened(
    method: &str,
    path: &str,
    conduct: Conduct,
    told: &str,
) {
    let site = Site::start(1, 1).await.expect("site");
    site.upstreams[0].set_conduct(conduct);
    let req = site.request(0, method, path, "gone1").body("prompt");
    let asked = req.timeout(time::Duration::from_millis(300)).send().await;
    // The head of a stream arrives; its caller leaves with the events that it has.
    drop(asked);
    let line = ending(&site, "gone1").await;
    assert!(line.contains("result=abandoned"), "{line}");
    assert!(line.contains("last_upstream=u0"), "{line}");
    assert!(line.contains(told), "{line}");
}

#[tokio::test]
async fn a_complete_stream_is_not_taken_for_an_abandoned_one() {
    let site = Site::start(1, 1).await.expect("site");
    let req = site
        .request(0, "POST", "/stream/x", "whole1")
        .body("prompt");
    let got = site.ask(req).await.expect("answer");
    assert_eq!(got.status, 200);
    let line = ending(&site, "whole1").await;
    assert!(line.contains("result=streamed"), "{line}");
}
