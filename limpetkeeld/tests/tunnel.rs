//! Tunnels through a peer to a TCP server that stands for an upstream.

use std::{net, sync, time};

use limpetkeel::UpstreamAddress;
use limpetkeeld::{
    metrics,
    peer::{client, message, server, tunnel},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
};

const KEY: &[u8] = b"0123456789abcdef";
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// More than the windows of a tunnel hold.
const LARGE_BYTES: usize = 4 << 20;

/// A peer that connects to the upstream of each request.
struct Connecting;

/// A peer without tunnels.
struct Plain;

impl server::RequestHandler for Connecting {
    async fn handle(&self, _: message::Request) -> message::Response {
        message::Response::Accepted
    }

    async fn connect(
        &self,
        req: message::TunnelRequest,
    ) -> Result<tunnel::Outlet, message::TunnelRefusal> {
        let connected = tcp::TcpStream::connect(req.upstream.address).await;
        let stream = connected.map_err(|_| message::TunnelRefusal::Unreachable(None))?;
        Ok(tunnel::Outlet {
            stream,
            guard: Box::new(()),
        })
    }
}

impl server::RequestHandler for Plain {
    async fn handle(&self, _: message::Request) -> message::Response {
        message::Response::Accepted
    }
}

fn metrics() -> sync::Arc<metrics::Metrics> {
    sync::Arc::new(metrics::Metrics::new().expect("metrics"))
}

fn links(key: &[u8]) -> client::PeerLinks {
    client::PeerLinks::new(key, net::Ipv4Addr::LOCALHOST.into(), metrics())
}

/// Starts a peer and returns its address.
async fn start_peer<H: server::RequestHandler>(handler: H) -> net::SocketAddr {
    let probe = net::TcpListener::bind("127.0.0.1:0").expect("port");
    let address = probe.local_addr().expect("address");
    drop(probe);
    tokio::spawn(
        async move { server::listen(address, KEY, metrics(), sync::Arc::new(handler)).await },
    );
    while tcp::TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    address
}

async fn listen() -> (tcp::TcpListener, message::TunnelRequest) {
    let listener = tcp::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("listener");
    let upstream = UpstreamAddress {
        upstream: "u".try_into().expect("name"),
        address: listener.local_addr().expect("address"),
    };
    let purpose = message::TunnelPurpose::Request;
    (listener, message::TunnelRequest { upstream, purpose })
}

/// Opens a tunnel and returns both of its ends.
async fn open() -> (tunnel::TunnelStream, tcp::TcpStream) {
    let peer = start_peer(Connecting).await;
    let (listener, opening) = listen().await;
    let links = links(KEY);
    let (opened, accepted) = tokio::join!(links.open_tunnel(peer, &opening), listener.accept());
    (opened.expect("tunnel"), accepted.expect("connection").0)
}

#[tokio::test]
async fn bytes_pass_in_both_directions_up_to_their_ends() {
    let (mut near, mut far) = open().await;
    near.write_all(b"request").await.expect("written");
    let mut buf = [0; 7];
    far.read_exact(&mut buf).await.expect("read");
    assert_eq!(&buf, b"request");
    near.shutdown().await.expect("ended");
    assert_eq!(far.read(&mut buf).await.expect("read"), 0);
    far.write_all(b"response").await.expect("written");
    drop(far);
    let mut received = Vec::new();
    near.read_to_end(&mut received).await.expect("complete");
    assert_eq!(received, b"response");
}

#[tokio::test]
async fn a_connection_that_is_reset_does_not_end_cleanly() {
    let (mut near, far) = open().await;
    far.set_zero_linger().expect("option");
    drop(far);
    let read = near.read(&mut [0; 8]).await;
    let e = read.expect_err("broken");
    assert_eq!(e.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn dropping_a_tunnel_closes_the_connection() {
    let (near, mut far) = open().await;
    drop(near);
    let read = tokio::time::timeout(TIMEOUT, far.read(&mut [0; 8])).await;
    assert!(matches!(read.expect("closed"), Ok(0) | Err(_)));
}

/// Writes without a reader and returns how many bytes were taken.
async fn fill(stream: &mut (impl tokio::io::AsyncWrite + Unpin)) -> usize {
    let chunk = [0; 16 * 1024];
    let mut written = 0;
    let pause = time::Duration::from_millis(300);
    while let Ok(Ok(len)) = tokio::time::timeout(pause, stream.write(&chunk)).await {
        written += len;
        if written >= 64 * LARGE_BYTES {
            break;
        }
    }
    written
}

#[tokio::test]
async fn an_upstream_that_reads_nothing_stops_the_sender() {
    let (mut near, far) = open().await;
    let written = fill(&mut near).await;
    assert!(written < 64 * LARGE_BYTES, "{written}");
    drop(far);
}

#[tokio::test]
async fn a_slow_tunnel_does_not_hold_up_another_one() {
    let peer = start_peer(Connecting).await;
    let links = links(KEY);
    let (listener, opening) = listen().await;
    let (slow, accepted) = tokio::join!(links.open_tunnel(peer, &opening), listener.accept());
    let (slow, mut slow_far) = (slow.expect("tunnel"), accepted.expect("connection").0);
    fill(&mut slow_far).await;
    let (other, accepted) = tokio::join!(links.open_tunnel(peer, &opening), listener.accept());
    let (mut other, mut far) = (other.expect("tunnel"), accepted.expect("connection").0);
    let sending = async {
        far.write_all(&vec![1; LARGE_BYTES]).await.expect("written");
        drop(far);
    };
    let mut received = Vec::new();
    let receiving = other.read_to_end(&mut received);
    let (_, read) = tokio::time::timeout(TIMEOUT, async { tokio::join!(sending, receiving) })
        .await
        .expect("not held up");
    assert_eq!(read.expect("complete"), LARGE_BYTES);
    drop(slow);
}

#[tokio::test]
async fn the_reason_of_a_refusal_is_reported() {
    let peer = start_peer(Connecting).await;
    let (listener, opening) = listen().await;
    drop(listener);
    let refused = links(KEY).open_tunnel(peer, &opening).await.err();
    let unreachable = message::TunnelRefusal::Unreachable(None);
    assert_eq!(refused, Some(tunnel::Error::Refused(unreachable)));
    let plain = start_peer(Plain).await;
    let refused = links(KEY).open_tunnel(plain, &opening).await.err();
    let unsupported = message::TunnelRefusal::Unsupported;
    assert_eq!(refused, Some(tunnel::Error::Refused(unsupported)));
}

#[tokio::test]
async fn a_peer_without_the_key_opens_no_tunnel() {
    let peer = start_peer(Connecting).await;
    let (listener, opening) = listen().await;
    let refused = links(b"another key, not it")
        .open_tunnel(peer, &opening)
        .await;
    assert!(matches!(refused.err(), Some(tunnel::Error::Link(_))));
    let accepted = tokio::time::timeout(time::Duration::from_millis(100), listener.accept()).await;
    assert!(accepted.is_err(), "no connection to the upstream");
}
