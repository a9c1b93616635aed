//! Tests of responses that must not reach a caller as an answer of the upstream.

use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    options::DaemonOptions,
    scripted::{End, Script},
    table::Table,
    upstream::{Behavior, PathFault},
};
use test_case::test_case;

/// The length of a request body that an upstream that does not read it cannot buffer, in bytes.
const LONG_BODY_BYTES: usize = 8 << 20;

/// How the request reaches the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Path {
    Direct,
    ThroughPeer,
}

/// Starts a deployment with one upstream, which the first instance reaches on a path.
async fn start(path: Path) -> Deployment {
    let table = Table {
        max_body_bytes: 2 * LONG_BODY_BYTES as u64,
        ..Table::default()
    };
    let options = DaemonOptions {
        memory_limit_mb: 256.0,
        ..DaemonOptions::default()
    };
    let deployment = Deployment::start_with(2, 1, options, &table).await;
    let deployment = deployment.expect("deployment");
    if path == Path::ThroughPeer {
        daemon::wait_until("the instances know each other", async || {
            deployment.log().matches("event=registered").count() == 2
        })
        .await
        .expect("registered");
        let source = daemon::source_address(0);
        let set = deployment.upstreams[0].set_path_fault(source, Some(PathFault::DropNew));
        set.expect("packet filter");
        daemon::wait_until("the path is severed", async || {
            deployment.get_status(0, "/look/x").await;
            deployment.log().contains("event=path_severed")
        })
        .await
        .expect("severed");
    }
    deployment
}

/// Sends a request with a body and returns the response; `None` if the connection ends without one.
async fn send(
    deployment: &Deployment,
    method: &str,
    path: &str,
    body_len: usize,
) -> Option<CallerResponse> {
    let req = deployment.request(0, method, path, "id1");
    let response = deployment.send(req.body(vec![b'a'; body_len])).await;
    response.ok()
}

fn is_complete_success(response: Option<&CallerResponse>) -> bool {
    response.is_some_and(|response| response.status == 200 && response.body.is_some())
}

/// Guards against a part of a response that reaches the caller as a complete one.
#[test_case("POST", "/book/x", "HTTP/1.1 200 OK\r\n{own}\r\na part", End::Reset; "complete response, reset")]
#[test_case("POST", "/book/x", "HTTP/1.1 200 OK\r\n{own}\r\na part", End::Close; "complete response, closed with unread bytes")]
#[test_case("PUT", "/look/x", "HTTP/1.1 200 OK\r\n{own}\r\na part", End::Reset; "idempotent request, reset")]
#[test_case("POST", "/book/x", "HTTP/1.1 200 OK\r\n{own}\r\n", End::Reset; "no byte of the body, reset")]
#[test_case(
    "POST", "/stream/x",
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", End::Reset;
    "stream, reset"
)]
#[tokio::test]
async fn a_response_to_an_upload_that_breaks_off_does_not_look_complete(
    method: &str,
    path: &str,
    text: &'static str,
    end: End,
) {
    for way in [Path::Direct, Path::ThroughPeer] {
        let deployment = start(way).await;
        deployment.set_behavior(Behavior::ScriptedEarly(Script { text, end }));
        let response = send(&deployment, method, path, LONG_BODY_BYTES).await;
        assert!(
            !is_complete_success(response.as_ref()),
            "{way:?}: {response:?}"
        );
        if path == "/book/x" {
            let status = response.map(|response| response.status);
            assert!(
                ![Some(429), Some(503)].contains(&status),
                "{way:?}: {status:?}"
            );
        }
    }
}

/// Guards against a status that HTTP does not know.
#[test_case("HTTP/1.1 000 Nothing\r\n{own}content-length: 2\r\n\r\nab"; "zero")]
#[test_case("HTTP/1.1 099 Low\r\n{own}content-length: 2\r\n\r\nab"; "below the first class")]
#[test_case("HTTP/1.1 600 High\r\n{own}content-length: 2\r\n\r\nab"; "above the last class")]
#[test_case("HTTP/1.1 999 Highest\r\n{own}content-length: 2\r\n\r\nab"; "the highest number")]
#[test_case("HTTP/1.1 20 Short\r\n{own}content-length: 2\r\n\r\nab"; "two digits")]
#[test_case("HTTP/1.1 2000 Long\r\n{own}content-length: 2\r\n\r\nab"; "four digits")]
#[test_case("HTTP/1.1 abc Text\r\n{own}content-length: 2\r\n\r\nab"; "no number")]
#[tokio::test]
async fn a_status_that_does_not_exist_is_no_answer(text: &'static str) {
    let deployment = start(Path::Direct).await;
    let end = End::Open;
    deployment.set_behavior(Behavior::Scripted(Script { text, end }));
    for (method, path) in [
        ("POST", "/book/x"),
        ("GET", "/look/x"),
        ("POST", "/stream/x"),
    ] {
        let response = send(&deployment, method, path, 4).await.expect("response");
        assert_eq!(response.status, 502, "{path}: {response:?}");
        assert_eq!(response.signed_by, None, "{path}: {response:?}");
    }
}
