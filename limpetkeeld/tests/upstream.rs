//! Connections to upstreams.

use std::{net, time};

use limpetkeeld::relay::upstream;

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
