//! Tests of the memory and the progress of a relay process whose upstreams send bytes without end.
//!
//! Only one of these tests runs at a time, since each of them sends as fast as it can.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::Deployment,
    options::DaemonOptions,
    process_usage,
    scripted::{End, Script},
    table::{self, Table},
    upstream::Behavior,
};
use test_case::test_case;
use tokio::{io::AsyncWriteExt as _, net as tcp};

/// The memory limit of the daemon, in megabytes, as its settings state it.
const MEMORY_LIMIT_MB: u64 = 64;

/// The requests that are in progress at the faulty upstream at once.
const CONCURRENT_REQUESTS: usize = 24;

/// The time that callers give each request, in milliseconds.
const REMAINING_MS: u64 = 2_500;

/// The size of the events for callers that read nothing, in bytes.
const LARGE_EVENT_BYTES: usize = 512 * 1024;

/// How long the queues of callers that read nothing are filled.
const FILL_TIME: time::Duration = time::Duration::from_secs(1);

/// Serializes the tests.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

async fn start() -> Deployment {
    let options = DaemonOptions {
        memory_limit_mb: MEMORY_LIMIT_MB as f64,
        ..DaemonOptions::default()
    };
    let deployment = Deployment::start_with(1, 1, options, &Table::default()).await;
    deployment.expect("deployment")
}

/// Sends a request and drops the response, whatever it is.
async fn send_to_faulty(deployment: &Deployment, path: &str, id: &str) {
    let req = deployment.request(0, "POST", path, id);
    let req = req.header(names::REMAINING_MS, REMAINING_MS).body("prompt");
    // The response may be any failure.
    let _ = deployment.send(req).await;
}

/// Guards against an upstream that ends or hangs the process by sending bytes without end: interim
/// heads, a head, an error body, a body, or an event.
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim heads")]
#[test_case("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"; "header lines")]
#[test_case("HTTP/1.1 200 OK\r\nx-a: ", "a"; "a header line")]
#[test_case("\r\n", "\r\n"; "blank lines before a head")]
#[test_case("HTTP/1.1 500 Error\r\n{own}\r\n", "a"; "an error body")]
#[test_case("HTTP/1.1 400 Bad\r\n{own}transfer-encoding: chunked\r\n\r\n", "1\r\na\r\n"; "an error body in chunks")]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n", "data: piece\n"; "an event"
)]
#[test_case(
    "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
    "1\r\na\r\n"; "an event in tiny chunks"
)]
#[tokio::test]
async fn bytes_without_end_neither_end_nor_hang_the_process(
    text: &'static str,
    repeated: &'static str,
) {
    let _running = RUNNING.lock().await;
    let mut deployment = start().await;
    deployment.set_behavior(Behavior::Scripted(Script {
        text,
        end: End::Repeat(repeated),
    }));
    for path in ["/stream/x", "/book/x"] {
        let requests = (0..CONCURRENT_REQUESTS).map(|index| {
            let (deployment, id) = (&deployment, format!("{path}-{index}"));
            async move { send_to_faulty(deployment, path, &id).await }
        });
        futures_util::future::join_all(requests).await;
    }
    check_ordinary_request(&mut deployment).await;
}

/// Checks that the process lives, answers an ordinary request and has stayed within its memory limit.
async fn check_ordinary_request(deployment: &mut Deployment) {
    deployment.set_behavior(Behavior::Normal);
    let req = deployment.request(0, "POST", "/book/x", "afterwards");
    let response = deployment.send(req.body("b")).await.expect("response");
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body.as_deref(), Some("answer"));
    let process = &mut deployment.daemons[0].process;
    assert!(!process.has_exited(), "the process has ended");
    let peak = process_usage::peak_resident_memory(process.id()) >> 20;
    assert!(peak < MEMORY_LIMIT_MB, "{peak} MB");
}

/// Opens a connection, sends a request for a stream and reads nothing.
async fn open_unread_stream(deployment: &Deployment, index: usize) -> tcp::TcpStream {
    let address = deployment.daemons[0].http_address;
    let mut stream = tcp::TcpStream::connect(address).await.expect("connection");
    let head = format!(
        "POST /stream/x HTTP/1.1\r\nhost: {}\r\n{}: unread-{index}\r\n\
         authorization: {}{}\r\ncontent-length: 0\r\n\r\n",
        table::HOST,
        names::REQUEST_ID,
        names::KEY_SCHEME,
        table::API_KEY,
    );
    stream.write_all(head.as_bytes()).await.expect("request");
    stream
}

/// Guards against events that are queued without a bound in bytes for callers that read nothing.
#[tokio::test]
async fn events_for_callers_that_read_nothing_stay_within_the_memory_limit() {
    let _running = RUNNING.lock().await;
    let mut deployment = start().await;
    let event = format!("data: {}\n\n", "a".repeat(LARGE_EVENT_BYTES));
    deployment.set_behavior(Behavior::Scripted(Script {
        text: "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\n\r\n",
        end: End::Repeat(event.leak()),
    }));
    let callers = (0..CONCURRENT_REQUESTS).map(|index| open_unread_stream(&deployment, index));
    let callers = futures_util::future::join_all(callers).await;
    tokio::time::sleep(FILL_TIME).await;
    check_ordinary_request(&mut deployment).await;
    drop(callers);
}
