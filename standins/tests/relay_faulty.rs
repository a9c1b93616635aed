//! Tests of relayed requests with upstreams whose responses are malformed, misplaced or cut off.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::Deployment,
    scripted::{End, Script},
    upstream::{self, Behavior},
};
use test_case::test_case;

/// The body of a stream, as far as a caller received it.
#[derive(Debug, PartialEq, Eq)]
struct StreamBody {
    text: String,
    complete: bool,
}

fn scripted(text: &'static str, end: End) -> Behavior {
    Behavior::Scripted(Script { text, end })
}

/// Returns the text of the events in a range.
fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
        .collect()
}

/// Sends a stream request and returns the status and the body. `resume_after` is the last event that
/// the caller has received.
async fn send_stream(deployment: &Deployment, resume_after: Option<u64>) -> (u16, StreamBody) {
    let mut req = deployment.request(0, "POST", "/stream/x", "id1");
    if let Some(last) = resume_after {
        req = req.header(names::LAST_EVENT, last);
    }
    let mut res = req.body("prompt").send().await.expect("response head");
    let status = res.status().as_u16();
    let mut bytes = Vec::new();
    let complete = loop {
        match res.chunk().await {
            Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    let text = String::from_utf8(bytes).expect("text");
    (status, StreamBody { text, complete })
}

#[test_case("HTTP/1.1 503 Busy\r\n{other}{not-run}content-length: 0\r\n\r\n"; "503")]
#[test_case("HTTP/1.1 429 Busy\r\n{other}{not-run}content-length: 0\r\n\r\n"; "429")]
#[test_case("HTTP/1.1 400 Bad\r\n{other}{not-run}content-length: 0\r\n\r\n"; "400")]
#[test_case("HTTP/1.1 421 Other\r\n{other}{not-run}content-length: 0\r\n\r\n"; "421")]
#[test_case("HTTP/1.1 421 Other\r\n{other}content-length: 0\r\n\r\n"; "421 without a mark")]
#[test_case(
    "HTTP/1.1 503 Busy\r\n{other}{not-run}content-length: 0\r\n\r\n\
     HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r\nanswer"; "before the response"
)]
#[tokio::test]
async fn a_decline_of_another_request_does_not_count_as_not_run(text: &'static str) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Close));
    let req = deployment.request(0, "POST", "/book/x", "id1").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(deployment.run_count("id1"), 1);
}

#[test_case("HTTP/1.1 503 Busy\r\n{own}{not-run}content-length: 0\r\n\r\n"; "with its id")]
#[test_case("HTTP/1.1 503 Busy\r\n{not-run}content-length: 0\r\n\r\n"; "without an id")]
#[test_case(
    "HTTP/1.1 503 Busy\r\n{own}{not-run}content-length: 0\r\n\r\n\
     HTTP/1.1 503 Busy\r\n{own}{not-run}content-length: 0\r\n\r\n"; "twice"
)]
#[tokio::test]
async fn a_decline_of_the_request_itself_counts_as_not_run(text: &'static str) {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Close));
    let req = deployment.request(0, "POST", "/book/x", "id1").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(deployment.run_count("id1"), 0);
}

#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r\nanswer\
     HTTP/1.1 503 Busy\r\n{own}{not-run}content-length: 0\r\n\r\n"; "a decline after it"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r\nanswer\
     HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r\nanswer"; "a second copy"
)]
#[test_case(
    "HTTP/1.1 103 Early Hints\r\n{other}{not-run}\r\n\
     HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r\nanswer"; "an interim response before it"
)]
#[tokio::test]
async fn further_responses_do_not_change_a_complete_response(text: &'static str) {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Open));
    for attempt in 0..3 {
        let id = format!("id{attempt}");
        let req = deployment.request(0, "POST", "/book/x", &id).body("b");
        let response = deployment.send(req).await.expect("response");
        assert_eq!(response.status, 200);
        assert_eq!(response.body.as_deref(), Some("answer"));
        assert_eq!(deployment.run_count(&id), 1);
    }
}

#[test_case("HTTP/1.1 101 Switching Protocols\r\n{own}connection: upgrade\r\nupgrade: x\r\n\r\n"; "101")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-encoding: gzip\r\ncontent-length: 6\r\n\r\nanswer";
    "a content encoding"
)]
#[tokio::test]
async fn a_response_in_another_form_is_not_forwarded(text: &'static str) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Close));
    let req = deployment.request(0, "POST", "/book/x", "id1").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(response.signed_by, None);
    assert_eq!(deployment.run_count("id1"), 1);
}

#[test_case("HTTP/1.1 503 Busy\r\n{own}{not-run}content-length: 7\r\n\r\nbusy\n\n\n"; "declined")]
#[test_case("HTTP/1.1 503 Busy\r\n{own}content-length: 7\r\n\r\nbusy\n\n\n"; "503")]
#[test_case("HTTP/1.1 500 Error\r\n{own}content-length: 7\r\n\r\nfail\n\n\n"; "500")]
#[test_case("HTTP/1.1 400 Bad\r\n{own}content-length: 7\r\n\r\nbad!\n\n\n"; "400")]
#[test_case("HTTP/1.1 302 Found\r\n{own}location: /\r\ncontent-length: 7\r\n\r\ngone\n\n\n"; "302")]
#[test_case("HTTP/1.1 204 No Content\r\n{own}\r\n"; "204")]
#[test_case("HTTP/1.1 101 Switching Protocols\r\n{own}connection: upgrade\r\nupgrade: x\r\n\r\n"; "101")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/html\r\ncontent-length: 7\r\n\r\n<html\n\n"; "html"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: application/json\r\ncontent-length: 0\r\n\r\n"; "empty json"
)]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-length: 7\r\n\r\nerror\n\n"; "text without a type")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ncontent-length: 13\r\n\r\ndata: error\n\n";
    "an event without an id"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ncontent-encoding: gzip\r\n\
     content-length: 15\r\n\r\nid: 4\ndata: x\n\n"; "a content encoding"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n"; "nothing before the close"
)]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-type: text/ev"; "half a head")]
#[test_case("HTTP/1.1 200 OK\r\n"; "a status line")]
#[test_case("<html>error</html>\r\n\r\n"; "no response")]
#[tokio::test]
async fn a_failed_resumption_neither_adds_to_a_stream_nor_ends_it(text: &'static str) {
    for resume_after in [None, Some(1)] {
        let deployment = Deployment::start(1, 2).await.expect("deployment");
        deployment.upstreams[0].set_behavior(Behavior::CutAfter(2));
        deployment.upstreams[1].set_behavior(scripted(text, End::Close));
        let (status, body) = send_stream(&deployment, resume_after).await;
        assert_eq!(status, 200);
        let first = resume_after.unwrap_or(0) + 1;
        let expected = StreamBody {
            text: events(first..=first + 1),
            complete: false,
        };
        assert_eq!(body, expected);
        assert_eq!(deployment.upstreams[1].received().len(), 1, "not resumed");
    }
}

#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/html\r\ncontent-length: 7\r\n\r\n<html\n\n"; "html"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ncontent-encoding: gzip\r\n\
     content-length: 15\r\n\r\nid: 4\ndata: x\n\n"; "a content encoding"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ncontent-length: 13\r\n\r\ndata: error\n\n";
    "an event without an id"
)]
#[test_case("HTTP/1.1 500 Error\r\n{own}content-length: 7\r\n\r\nfail\n\n\n"; "500")]
#[tokio::test]
async fn a_stream_that_a_caller_resumes_contains_no_error_text(text: &'static str) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(scripted(text, End::Close));
    let (status, body) = send_stream(&deployment, Some(3)).await;
    assert_eq!(status, 200);
    let expected = StreamBody {
        text: events(4..=upstream::EVENTS_PER_STREAM),
        complete: true,
    };
    assert_eq!(body, expected);
}

#[test_case("HTTP/1.1 20", End::Close; "in the status line")]
#[test_case("HTTP/1.1 200 OK\r\n", End::Close; "after the status line")]
#[test_case("HTTP/1.1 200 OK\r\n", End::Reset; "after the status line, reset")]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-le", End::Close; "in a header")]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-le", End::Reset; "in a header, reset")]
#[test_case("HTTP/1.1 200 OK\r\n{own}", End::Close; "before the blank line")]
#[test_case("HTTP/1.1 200 OK\r\n{own}", End::Reset; "before the blank line, reset")]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n", End::Close; "after the length")]
#[test_case("HTTP/1.1 200 OK\r\n{own}content-length: 6\r\n\r", End::Close; "in the blank line")]
#[tokio::test]
async fn a_response_cut_off_in_its_head_is_not_forwarded(text: &'static str, end: End) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.set_behavior(scripted(text, end));
    let req = deployment.request(0, "POST", "/book/x", "once").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(deployment.run_count("once"), 1);
    let req = deployment.request(0, "GET", "/look/x", "twice");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(deployment.run_count("twice"), 2);
    let (status, _) = send_stream(&deployment, None).await;
    assert_eq!(status, 502);
    deployment.upstreams[1].set_behavior(Behavior::Normal);
    let req = deployment.request(0, "GET", "/look/x", "retried");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 200);
    assert_eq!(response.body.as_deref(), Some("answer"));
}

#[tokio::test]
async fn a_response_without_a_length_is_complete_at_a_clean_close_only() {
    let text = "HTTP/1.1 200 OK\r\n{own}\r\nanswer";
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Close));
    let req = deployment.request(0, "POST", "/book/x", "id1").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 200);
    assert_eq!(response.body.as_deref(), Some("answer"));
    deployment.set_behavior(scripted(text, End::Reset));
    let req = deployment.request(0, "POST", "/book/x", "id2").body("b");
    let response = deployment.send(req).await.expect("response");
    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(deployment.run_count("id2"), 1);
}

#[test_case("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n", End::Reset, 2; "reset between events")]
#[test_case("id: 1\ndata: piece 1\n\nid: 2\nda", End::Close, 1; "closed in a line")]
#[test_case("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2", End::Close, 1; "closed after a line")]
#[test_case("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n", End::Close, 1; "closed before the last newline")]
#[test_case("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n", End::Reset, 1; "reset before the last newline")]
#[tokio::test]
async fn a_stream_without_a_length_that_breaks_off_is_resumed_or_cut(
    body: &'static str,
    end: End,
    delivered: u64,
) {
    let text = format!("HTTP/1.1 200 OK\r\n{{own}}content-type: text/event-stream\r\n\r\n{body}");
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(scripted(text.leak(), end));
    let (status, body) = send_stream(&deployment, None).await;
    let complete = StreamBody {
        text: upstream::complete_stream(),
        complete: true,
    };
    assert_eq!((status, body), (200, complete));
    deployment.upstreams[1].set_behavior(Behavior::Decline);
    let (status, body) = send_stream(&deployment, None).await;
    let cut = StreamBody {
        text: events(1..=delivered),
        complete: false,
    };
    assert_eq!((status, body), (200, cut));
}

#[tokio::test]
async fn a_stream_without_a_length_is_complete_at_a_clean_close() {
    let head = "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n";
    let text = format!("{head}{}", upstream::complete_stream());
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    deployment.set_behavior(scripted(text.leak(), End::Close));
    let (status, body) = send_stream(&deployment, None).await;
    let complete = StreamBody {
        text: upstream::complete_stream(),
        complete: true,
    };
    assert_eq!((status, body), (200, complete));
    assert_eq!(deployment.upstreams[0].received().len(), 1);
}

#[test_case("HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n"; "without a length")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ncontent-length: 0\r\n\r\n";
    "with a length"
)]
#[tokio::test]
async fn a_stream_without_events_is_not_forwarded(text: &'static str) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.set_behavior(scripted(text, End::Close));
    let (status, _) = send_stream(&deployment, None).await;
    assert_eq!(status, 502);
    deployment.upstreams[1].set_behavior(Behavior::Normal);
    let (status, body) = send_stream(&deployment, None).await;
    let complete = StreamBody {
        text: upstream::complete_stream(),
        complete: true,
    };
    assert_eq!((status, body), (200, complete));
}

/// The most by which the memory of a daemon may grow while it reads a single response: twice the
/// maximum size of a complete response, and the same for freed memory that is not returned.
const MAX_MEMORY_GROWTH_BYTES: u64 = 64 << 20;

/// The timeout of the routes, and half a second to report it.
const MAX_REQUEST_TIME: time::Duration = time::Duration::from_millis(3_500);

/// Returns the largest resident size that a daemon has had, in bytes.
fn peak_memory(deployment: &Deployment) -> u64 {
    let path = format!("/proc/{}/status", deployment.daemons[0].process.id());
    let status = std::fs::read_to_string(path).expect("status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes: u64 = kilobytes.and_then(|text| text.parse().ok()).expect("peak");
    kilobytes << 10
}

#[test_case("", "a"; "no response")]
#[test_case("HTTP/1.1 200 OK\r\nx-a: ", "a"; "a header line")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"; "header lines")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\n\r\n"; "interim responses")]
#[test_case("HTTP/1.1 200 OK\r\n{own}\r\n", "a"; "a body without a length")]
#[test_case("HTTP/1.1 200 OK\r\n{own}\r\n", "id: 1\n"; "an event")]
#[test_case("HTTP/1.1 200 OK\r\n{own}\r\n", "\n"; "blank lines")]
#[test_case("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n1;", "a"; "a chunk extension")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n"; "trailers"
)]
#[test_case("HTTP/1.1 500 Error\r\n{own}\r\n", "a"; "an error body")]
#[tokio::test]
async fn bytes_without_end_use_bounded_memory_and_time(text: &'static str, repeated: &'static str) {
    let deployment = Deployment::start(1, 2).await.expect("deployment");
    deployment.upstreams[0].set_behavior(scripted(text, End::Repeat(repeated)));
    let memory_before = peak_memory(&deployment);
    for (method, path) in [
        ("GET", "/look/x"),
        ("POST", "/book/x"),
        ("POST", "/stream/x"),
    ] {
        let started = time::Instant::now();
        let req = deployment.request(0, method, path, path);
        let response = deployment.send(req).await.expect("response");
        let elapsed = started.elapsed();
        assert!(
            elapsed < MAX_REQUEST_TIME,
            "{path}: {elapsed:?} {response:?}"
        );
        let growth = peak_memory(&deployment) - memory_before;
        assert!(growth < MAX_MEMORY_GROWTH_BYTES, "{path}: {growth} bytes");
        // Printed if the test fails.
        println!(
            "{path}: {} after {elapsed:?}, {growth} bytes",
            response.status
        );
        let expected = match path {
            "/look/x" => (200, Some("answer".to_owned())),
            "/stream/x" => (200, Some(upstream::complete_stream())),
            _ => continue,
        };
        assert_eq!((response.status, response.body), expected, "{path}");
    }
}
