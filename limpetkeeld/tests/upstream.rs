//! Connections to upstreams.

use std::{net, time};

use limpetkeeld::relay::upstream;

/// The users' bound on memory that stays set aside without a request.
const UNUSED_MEMORY_BOUND: time::Duration = time::Duration::from_secs(4);

#[tokio::test]
async fn a_dark_upstream_is_noticed_before_unused_memory_counts_as_leaked() {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("listener");
    let address = listener.local_addr().expect("address");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("stream");
    upstream::probe(&stream).expect("options");
    let socket = socket2::SockRef::from(&stream);
    assert!(socket.keepalive().expect("option"));
    let probes = socket.tcp_keepalive_retries().expect("option");
    assert!(probes >= 2, "a single lost probe breaks nothing");
    let noticed = socket.tcp_keepalive_time().expect("option")
        + socket.tcp_keepalive_interval().expect("option") * probes;
    assert!(noticed < UNUSED_MEMORY_BOUND, "{noticed:?}");
}
