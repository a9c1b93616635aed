//! Connections to upstreams.

use std::{net, sync, time};

use limpetkeeld::{engine, relay::upstream, service};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The users' limit on how long memory may stay reserved without a request.
const MAX_UNUSED_RESERVATION_TIME: time::Duration = time::Duration::from_secs(4);

#[tokio::test]
async fn unreachable_upstream_is_detected_before_its_reservation_counts_as_leaked() {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listener");
    let address = listener.local_addr().expect("address");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("stream");
    upstream::enable_keepalive(&stream).expect("options");
    let socket = socket2::SockRef::from(&stream);
    assert!(socket.keepalive().expect("option"));
    let probes = socket.tcp_keepalive_retries().expect("option");
    assert!(probes >= 2, "a single lost probe breaks nothing");
    let detection_time = socket.tcp_keepalive_time().expect("option")
        + socket.tcp_keepalive_interval().expect("option") * probes;
    assert!(
        detection_time < MAX_UNUSED_RESERVATION_TIME,
        "{detection_time:?}"
    );
}

/// Guards against a slow caller whose response fills buffers of several megabytes in the system. The
/// system reports twice the size that was set.
#[tokio::test]
async fn the_buffers_of_a_connection_in_the_system_are_bounded() {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listener");
    let address = listener.local_addr().expect("address");
    let socket = upstream::new_socket(address.ip(), address).expect("socket");
    let stream = socket.connect(address).await.expect("stream");
    let socket = socket2::SockRef::from(&stream);
    let receive_len = socket.recv_buffer_size().expect("option");
    assert!(receive_len <= 2 * upstream::RECEIVE_BUFFER_BYTES as usize);
    let send_len = socket.send_buffer_size().expect("option");
    assert!(send_len <= 2 * upstream::SEND_BUFFER_BYTES as usize);
}

/// The requests that a redirecting upstream received.
type ReceivedCount = sync::Arc<sync::atomic::AtomicUsize>;

/// Starts an upstream that redirects every request to itself, and counts the requests.
async fn start_redirecting_upstream() -> (net::SocketAddr, ReceivedCount) {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listener");
    let address = listener.local_addr().expect("address");
    let received = ReceivedCount::default();
    let counter = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4096];
            if stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
                counter.fetch_add(1, sync::atomic::Ordering::Relaxed);
            }
            let response = "HTTP/1.1 307 Moved\r\nlocation: /\r\nconnection: close\r\n\
                            content-length: 0\r\n\r\n";
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    (address, received)
}

#[tokio::test]
async fn a_redirect_does_not_run_a_call_once_more() {
    let (address, received) = start_redirecting_upstream().await;
    let client = service::Client::new(net::Ipv4Addr::LOCALHOST.into()).expect("client");
    let target = limpetkeel::UpstreamAddress {
        upstream: "service-a".try_into().expect("name"),
        address,
    };
    let call = service::Call {
        method: http::Method::POST,
        path: "/orders".to_owned(),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::from_static(b"order"),
    };
    let response = client.call(&target, &call).await;
    assert_eq!(received.load(sync::atomic::Ordering::Relaxed), 1);
    assert_eq!(response.expect("response").status, 307);
}

#[tokio::test]
async fn a_redirect_does_not_run_a_model_request_once_more() {
    let (address, received) = start_redirecting_upstream().await;
    let poll_bytes = prometheus::IntCounter::new("poll_bytes", "poll bytes").expect("counter");
    let source = net::Ipv4Addr::LOCALHOST.into();
    let client = engine::Client::new(source, poll_bytes).expect("client");
    let target = limpetkeel::UpstreamAddress {
        upstream: "engine-a".try_into().expect("name"),
        address,
    };
    let submission = engine::Submission {
        path: "/v1/completions",
        id: limpetkeel::RequestId(1),
        attempt: 1,
        resume_from: 0,
        rank: limpetkeel::Rank::Normal,
        long_prompt: false,
        group_size: 1,
        body: bytes::Bytes::from_static(b"{}"),
    };
    let error = client.submit(&target, &submission).await.err();
    assert_eq!(received.load(sync::atomic::Ordering::Relaxed), 1);
    assert_eq!(error, Some(engine::Error::Rejected(307)));
}
