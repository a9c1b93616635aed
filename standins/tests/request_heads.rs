//! Request heads: their limits, and refusals of requests whose bodies are not read.

use std::time;

use standins::deployment::{
    crowd,
    daemon::{self, Deployment},
    table::Table,
};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

async fn connect(deployment: &Deployment) -> TcpStream {
    let address = deployment.daemons[0].http_address;
    TcpStream::connect(address).await.expect("connection")
}

/// Sends a head on a connection of its own and returns the response head in lowercase.
async fn response_head(deployment: &Deployment, path: &str, framing: &str) -> String {
    response_head_on(&mut connect(deployment).await, path, framing).await
}

/// Sends a head and returns the response head in lowercase.
async fn response_head_on(stream: &mut TcpStream, path: &str, framing: &str) -> String {
    let head = crowd::request_head(path, framing);
    stream.write_all(&head).await.expect("head");
    let mut received = Vec::new();
    let mut buf = [0; 256];
    while !received.windows(4).any(|text| text == b"\r\n\r\n") {
        let len = stream.read(&mut buf).await.expect("response");
        assert!(len > 0, "{}", String::from_utf8_lossy(&received));
        received.extend_from_slice(&buf[..len]);
    }
    String::from_utf8_lossy(&received).to_lowercase()
}

/// Guards against refusing a head inside the limit on its bytes for the number of its lines.
#[tokio::test]
async fn a_head_of_many_lines_is_not_refused_for_their_number() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let lines = "x: y\r\n".repeat(2_000);
    let framing = format!("{lines}content-length: 0");
    let head = response_head(&deployment, "/nowhere/x", &framing).await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
}

/// Guards against announcing that a connection stays open that is closed since the body was not
/// read.
#[tokio::test]
async fn a_refusal_before_the_body_closes_the_connection() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let head = response_head(&deployment, "/nowhere/x", "content-length: 100").await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
    assert!(head.contains("connection: close"), "{head}");
    let head = response_head(&deployment, "/nowhere/x", "content-length: 0").await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
    assert!(!head.contains("connection: close"), "{head}");
}

/// A head of 20 KB without a body.
fn large_framing() -> String {
    let lines = format!("x: {}\r\n", "y".repeat(98)).repeat(200);
    format!("{lines}content-length: 0")
}

/// Waits until a head of 20 KB on a new connection gets a status.
async fn wait_for_status(deployment: &Deployment, status: &str) {
    daemon::wait_until("the limit is in force", async || {
        let head = response_head(deployment, "/nowhere/x", &large_framing()).await;
        head.starts_with(&format!("http/1.1 {status}"))
    })
    .await
    .expect("in force");
}

/// Guards against limits on heads that hold for new connections only.
#[test_case(16_384, "431", 32_768, "404"; "raised")]
#[test_case(32_768, "404", 16_384, "431"; "lowered")]
#[tokio::test]
async fn a_changed_limit_on_heads_is_in_force_on_open_connections(
    before: u64,
    before_status: &str,
    after: u64,
    after_status: &str,
) {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let publish = |version: u64, max_head_bytes: u64| {
        let table = Table {
            version,
            max_head_bytes,
            ..Table::default()
        };
        deployment.publish_table(&table).expect("table");
    };
    publish(2, before);
    wait_for_status(&deployment, before_status).await;
    let mut stream = connect(&deployment).await;
    let head = response_head_on(&mut stream, "/nowhere/x", "content-length: 0").await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
    publish(3, after);
    wait_for_status(&deployment, after_status).await;
    let head = response_head_on(&mut stream, "/nowhere/x", &large_framing()).await;
    assert!(
        head.starts_with(&format!("http/1.1 {after_status}")),
        "{head}"
    );
}

/// Guards against closing a connection that is idle for less than the limit in force.
#[tokio::test]
async fn a_raised_idle_timeout_is_in_force_on_open_connections() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let table = Table {
        version: 2,
        max_head_bytes: 32_768,
        idle_timeout_ms: 1_000,
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    wait_for_status(&deployment, "404").await;
    let mut closed = connect(&deployment).await;
    response_head_on(&mut closed, "/nowhere/x", "content-length: 0").await;
    let len = closed.read(&mut [0; 16]).await.expect("closed");
    assert_eq!(len, 0, "closed after the idle timeout");
    let mut kept = connect(&deployment).await;
    response_head_on(&mut kept, "/nowhere/x", "content-length: 0").await;
    let raised = Table {
        version: 3,
        max_head_bytes: 16_384,
        idle_timeout_ms: 60_000,
        ..table
    };
    deployment.publish_table(&raised).expect("table");
    wait_for_status(&deployment, "431").await;
    // Longer than the timeouts that were in force when the connection was opened.
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    let head = response_head_on(&mut kept, "/nowhere/x", "content-length: 0").await;
    assert!(head.starts_with("http/1.1 404"), "{head}");
}
