//! Callers that do not stay within the limits end no process, and ordinary callers are still served.
//!
//! The bounds are the limits of the settings. The tests run one at a time, since they measure the
//! memory and the descriptors of processes.

use std::time;

use bytes::Bytes;
use platform::names;
use standins::deployment::{
    crowd::{self, Crowd},
    daemon::Deployment,
    options::DaemonOptions,
    process_usage,
    table::Table,
};
use tokio::sync::Mutex;

/// Serializes the tests of this file.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The memory limit of the daemons in the tests.
const MEMORY_LIMIT_MB: u64 = 28;

/// The limit on open descriptors in the tests.
const DESCRIPTOR_LIMIT: u32 = 128;

/// The largest body that the table allows in the tests.
const MAX_BODY_BYTES: usize = 1_000_000;

/// The number of callers that send bodies. Their bodies take more than the memory limit together.
const CALLERS: usize = 96;

/// The bodies of the ordinary requests.
const ORDINARY_BODY_BYTES: [usize; 2] = [1_000, 600_000];

/// How long the crowd is silent before the ordinary requests are sent.
const STALL: time::Duration = time::Duration::from_secs(2);

/// The pieces in which a body is sent piece by piece.
const PIECE_BYTES: usize = 10_000;

/// Longer than a test, so that no connection is closed only because it was idle.
const IDLE_TIMEOUT_MS: u64 = 120_000;

/// The time after which an ordinary request counts as not answered, so that a test does not hang.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

async fn start(descriptor_limit: Option<u32>) -> Deployment {
    let options = DaemonOptions {
        memory_limit_mb: MEMORY_LIMIT_MB as f64,
        descriptor_limit,
        ..DaemonOptions::default()
    };
    let table = Table {
        max_body_bytes: MAX_BODY_BYTES as u64,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        timeout_ms: ANSWER_TIMEOUT.as_millis() as u64,
        ..Table::default()
    };
    let deployment = Deployment::start_with(1, 1, options, &table).await;
    deployment.expect("deployment")
}

/// Sends an ordinary request with a body and returns the status; `None` if there is no answer.
async fn ordinary_request(deployment: &Deployment, body_len: usize) -> Option<u16> {
    let id = format!("{:016x}", rand::random::<u64>());
    let req = deployment
        .request(0, "POST", "/look/x", &id)
        .timeout(ANSWER_TIMEOUT)
        .body(vec![b'x'; body_len]);
    let (client, req) = req.build_split();
    let mut req = req.expect("request");
    let remaining = (ANSWER_TIMEOUT.as_millis() as u64).into();
    req.headers_mut().insert(names::REMAINING_MS, remaining);
    let req = reqwest::RequestBuilder::from_parts(client, req);
    let response = deployment.send(req).await;
    response.ok().map(|response| response.status)
}

/// Checks that the process lives within its memory limit, and that it answers ordinary requests
/// while the connections of the crowd are open.
async fn check_ordinary_requests(deployment: &mut Deployment, crowd: &Crowd) {
    tokio::time::sleep(STALL).await;
    let mut statuses = Vec::new();
    for body_len in ORDINARY_BODY_BYTES {
        statuses.push(ordinary_request(deployment, body_len).await);
    }
    let process = &mut deployment.daemons[0].process;
    assert!(!process.has_exited(), "the process has ended");
    let peak = crowd.peak().memory_bytes;
    let peak = peak.max(process_usage::peak_resident_memory(process.id())) >> 10;
    println!("memory {peak} KB, ordinary requests {statuses:?}");
    assert!(
        peak < MEMORY_LIMIT_MB << 10,
        "{peak} KB of memory were in use"
    );
    assert_eq!(statuses, [Some(200); 2], "ordinary requests");
}

async fn check_crowd(count: usize, pieces: Vec<Bytes>) {
    let _serialized = ONE_AT_A_TIME.lock().await;
    let mut deployment = start(None).await;
    let crowd = Crowd::gather(&deployment.daemons[0], count, pieces).await;
    check_ordinary_requests(&mut deployment, &crowd).await;
}

/// Guards against reading bodies that are known to be too large.
#[tokio::test]
async fn bodies_announced_far_over_the_limit_end_no_process() {
    let announced = format!("content-length: {}", 1_000 * MAX_BODY_BYTES);
    let head = crowd::request_head("/book/x", &announced);
    let body = Bytes::from(vec![b'x'; 4 * MAX_BODY_BYTES]);
    check_crowd(CALLERS, vec![head, body]).await;
}

/// Guards against holding a body that goes on beyond the limit.
#[tokio::test]
async fn bodies_sent_far_over_the_limit_end_no_process() {
    let head = crowd::request_head("/book/x", "transfer-encoding: chunked");
    let body = crowd::chunks(4 * MAX_BODY_BYTES, PIECE_BYTES);
    check_crowd(CALLERS, vec![head, body]).await;
}

/// Guards against stalled bodies that keep the memory which other requests need.
#[tokio::test]
async fn whole_bodies_that_stop_before_their_end_end_no_process() {
    let announced = format!("content-length: {MAX_BODY_BYTES}");
    let head = crowd::request_head("/book/x", &announced);
    let body = Bytes::from(vec![b'x'; MAX_BODY_BYTES - 1]);
    check_crowd(CALLERS, vec![head, body]).await;
}

/// Guards against buffers that grow with each piece and leave their former ones behind.
#[tokio::test]
async fn bodies_in_pieces_that_stop_before_their_end_end_no_process() {
    let announced = format!("content-length: {MAX_BODY_BYTES}");
    let mut pieces = vec![crowd::request_head("/book/x", &announced)];
    let piece = Bytes::from(vec![b'x'; PIECE_BYTES]);
    pieces.extend(vec![piece; MAX_BODY_BYTES / PIECE_BYTES - 1]);
    check_crowd(CALLERS, pieces).await;
}

/// Guards against chunked bodies without end that keep the memory which other requests need.
#[tokio::test]
async fn large_chunks_that_stop_before_their_end_end_no_process() {
    let head = crowd::request_head("/book/x", "transfer-encoding: chunked");
    let body = crowd::chunks(MAX_BODY_BYTES, MAX_BODY_BYTES / 4);
    check_crowd(CALLERS, vec![head, body]).await;
}

/// Guards against tiny chunks that keep larger buffers alive.
#[tokio::test]
async fn tiny_chunks_that_stop_before_their_end_end_no_process() {
    let head = crowd::request_head("/book/x", "transfer-encoding: chunked");
    let body = crowd::chunks(MAX_BODY_BYTES / 5, 10);
    check_crowd(CALLERS, vec![head, body]).await;
}

/// Guards against heads and connections that nothing bounds.
#[tokio::test]
async fn many_heads_that_stop_before_their_end_end_no_process() {
    let head = crowd::request_head("/look/x", &format!("x-filler: {}", "x".repeat(14_000)));
    let unfinished = head.slice(..head.len() - 4);
    check_crowd(3_000, vec![unfinished]).await;
}

/// Guards against requests whose callers send on without reading, so that the bytes wait unread.
#[tokio::test]
async fn bytes_that_follow_a_request_end_no_process() {
    let head = crowd::request_head("/book/x", "content-length: 0");
    let following = Bytes::from(vec![b'x'; 4 * MAX_BODY_BYTES]);
    check_crowd(CALLERS, vec![head, following]).await;
}

async fn check_descriptors(pieces: Vec<Bytes>) {
    let _serialized = ONE_AT_A_TIME.lock().await;
    let mut deployment = start(Some(DESCRIPTOR_LIMIT)).await;
    let crowd = Crowd::gather(
        &deployment.daemons[0],
        3 * DESCRIPTOR_LIMIT as usize,
        pieces,
    )
    .await;
    check_ordinary_requests(&mut deployment, &crowd).await;
    let descriptors = crowd.peak().descriptors;
    println!("{descriptors} descriptors");
    assert!(
        descriptors < DESCRIPTOR_LIMIT as usize,
        "{descriptors} descriptors were open"
    );
}

/// Guards against idle connections that take all descriptors.
#[tokio::test]
async fn idle_connections_leave_descriptors() {
    check_descriptors(Vec::new()).await;
}

/// Guards against half-open requests that take all descriptors.
#[tokio::test]
async fn unfinished_heads_leave_descriptors() {
    check_descriptors(vec![Bytes::from_static(b"POST /look/x HTTP/1.1\r\nhost: ")]).await;
}

/// Guards against stalled bodies that take all descriptors.
#[tokio::test]
async fn unfinished_bodies_leave_descriptors() {
    let head = crowd::request_head("/look/x", "content-length: 100");
    check_descriptors(vec![head, Bytes::from_static(b"x")]).await;
}

/// Guards against callers that send requests without reading the responses and keep all connections.
#[tokio::test]
async fn responses_that_are_not_read_leave_descriptors() {
    let head = crowd::request_head("/nowhere/x", "content-length: 0");
    let requests = head.repeat(2_000);
    check_descriptors(vec![Bytes::from(requests)]).await;
}

/// Guards against limits that refuse a single caller who stays within them: a large body that moves
/// slowly, with `Expect: 100-continue`, is served.
#[tokio::test]
async fn a_slow_caller_inside_the_limits_is_served() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let _serialized = ONE_AT_A_TIME.lock().await;
    let deployment = start(Some(DESCRIPTOR_LIMIT)).await;
    let framing = format!("content-length: {MAX_BODY_BYTES}\r\nexpect: 100-continue");
    let head = crowd::request_head("/look/x", &framing);
    let address = deployment.daemons[0].http_address;
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
    stream.write_all(&head).await.expect("head");
    let mut interim = [0; 12];
    stream.read_exact(&mut interim).await.expect("interim head");
    assert_eq!(&interim, b"HTTP/1.1 100");
    for _ in 0..10 {
        let piece = vec![b'x'; MAX_BODY_BYTES / 10];
        stream.write_all(&piece).await.expect("piece");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let mut text = vec![0; 256];
    let mut received = Vec::new();
    while !received.windows(12).any(|text| text == b"HTTP/1.1 200") {
        let len = stream.read(&mut text).await.expect("response");
        assert!(len > 0, "{}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&text[..len]);
    }
}
