//! Request heads: their limits, and refusals of requests whose bodies are not read.

use standins::deployment::{crowd, daemon::Deployment};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Sends a head and returns the response head in lowercase.
async fn response_head(deployment: &Deployment, path: &str, framing: &str) -> String {
    let address = deployment.daemons[0].http_address;
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
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
