//! Peer links: authentication, invalid messages and errors.

use std::{net, sync, time};

use limpetkeel::{Contact, Digest, Era, Heartbeat, MemoryShare, Revision};
use limpetkeeld::{
    metrics,
    peer::{self, client, message, server},
    relay::memory::Memory,
};

struct Echo;

/// Responds with the bytes that are reserved for messages, as the number of a revision.
struct ReservedBytes(Memory);

impl server::RequestHandler for ReservedBytes {
    async fn handle(&self, _: message::Request) -> message::Response {
        let reserved = self.0.reserved(MemoryShare::Messages);
        message::Response::Gossip(message::GossipReply {
            digests: Vec::new(),
            unknown: Vec::new(),
            revision: Revision::new(Era(1), reserved.0),
        })
    }

    fn memory(&self) -> Option<&Memory> {
        Some(&self.0)
    }
}

impl server::RequestHandler for Echo {
    async fn handle(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::Gossip(gossip) => message::Response::Gossip(message::GossipReply {
                digests: gossip.digests,
                unknown: Vec::new(),
                revision: gossip.revision,
            }),
            _ => message::Response::Accepted,
        }
    }
}

const KEY: &[u8] = b"0123456789abcdef";
const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn metrics() -> sync::Arc<metrics::Metrics> {
    sync::Arc::new(metrics::Metrics::new().expect("metrics"))
}

async fn listen() -> (net::SocketAddr, sync::Arc<metrics::Metrics>) {
    listen_with(Echo).await
}

async fn listen_with<H: server::RequestHandler>(
    handler: H,
) -> (net::SocketAddr, sync::Arc<metrics::Metrics>) {
    let probe = net::TcpListener::bind("127.0.0.1:0").expect("port");
    let address = probe.local_addr().expect("address");
    drop(probe);
    let metrics = metrics();
    let (server_metrics, handler) = (metrics.clone(), sync::Arc::new(handler));
    tokio::spawn(async move { server::listen(address, KEY, server_metrics, handler).await });
    (address, metrics)
}

fn peer_links(key: &[u8]) -> client::PeerLinks {
    client::PeerLinks::new(key, net::Ipv4Addr::LOCALHOST.into(), metrics())
}

fn gossip(members: u64) -> message::Request {
    let digest = |id| Digest {
        id,
        heartbeat: Heartbeat::starting(7),
        draining: false,
    };
    message::Request::Gossip(message::Gossip {
        from: Contact {
            name: "a".try_into().expect("name"),
            availability_zone: "z".try_into().expect("name"),
            address: ([127, 0, 0, 1], 1).into(),
            processor: limpetkeel::Millicores::ZERO,
        },
        digests: (0..members).map(digest).collect(),
        revision: Revision::new(Era(1), 3),
    })
}

/// Waits until the server listens, then makes the call.
async fn call(
    peer_links: &client::PeerLinks,
    address: net::SocketAddr,
    req: &message::Request,
) -> Result<message::Response, peer::Error> {
    while tokio::net::TcpStream::connect(address).await.is_err() {
        tokio::task::yield_now().await;
    }
    peer_links.call(address, req, TIMEOUT).await
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_with_the_key_gets_a_response() {
    let (address, _) = listen().await;
    let response = call(&peer_links(KEY), address, &gossip(100))
        .await
        .expect("response");
    let message::Response::Gossip(reply) = response else {
        panic!("{response:?}")
    };
    assert_eq!(
        (reply.digests.len(), reply.revision),
        (100, Revision::new(Era(1), 3))
    );
}

/// Guards against messages that are not counted, or counted after they have been handled.
#[tokio::test(flavor = "multi_thread")]
async fn received_messages_are_reserved_while_they_are_handled() {
    let memory = Memory::new(limpetkeel::Bytes(112 << 20));
    let (address, _) = listen_with(ReservedBytes(memory.clone())).await;
    let response = call(&peer_links(KEY), address, &gossip(100)).await;
    let Ok(message::Response::Gossip(reply)) = response else {
        panic!("{response:?}")
    };
    assert!(reply.revision > Revision::new(Era(1), 0));
    let released = async {
        while memory.reserved(MemoryShare::Messages) > limpetkeel::Bytes::ZERO {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    let released = tokio::time::timeout(TIMEOUT, released).await;
    assert!(released.is_ok(), "the message stays reserved");
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_with_another_key_is_refused() {
    let (address, _) = listen().await;
    let refused = call(&peer_links(b"another-key-here"), address, &gossip(1)).await;
    assert_eq!(refused.err(), Some(peer::Error::Unauthenticated));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_bytes_close_the_connection_and_the_server_continues() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

    let (address, _) = listen().await;
    call(&peer_links(KEY), address, &gossip(1))
        .await
        .expect("response");
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("write");
    let mut rest = Vec::new();
    // The server closes the connection.
    let _ = stream.read_to_end(&mut rest).await;
    call(&peer_links(KEY), address, &gossip(1))
        .await
        .expect("response");
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_before_authentication_are_refused() {
    let (address, metrics) = listen().await;
    call(&peer_links(KEY), address, &gossip(1))
        .await
        .expect("response");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
    let (sender, connection) = h2::client::handshake(stream).await.expect("handshake");
    tokio::spawn(async move { connection.await.ok() });
    let mut sender = sender.ready().await.expect("ready");
    let req = http::Request::post("http://peer/message")
        .body(())
        .expect("request");
    let (response, mut body) = sender.send_request(req, false).expect("stream");
    let garbage = vec![0xff_u8; 100];
    body.send_data(garbage.into(), true).expect("body");
    assert!(response.await.is_err());
    // The server closes the connection before it counts the error, so the count may lag behind.
    let errors = metrics.peer_errors.with_label_values(&["malformed"]);
    let counted = async {
        while errors.get() == 0 {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    let counted = tokio::time::timeout(TIMEOUT, counted).await;
    assert_eq!((counted, errors.get()), (Ok(()), 1));
}

/// Guards against a client without the key that fills the memory with a first message without end.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_message_before_authentication_closes_the_connection() {
    let (address, metrics) = listen().await;
    call(&peer_links(KEY), address, &gossip(1))
        .await
        .expect("response");
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connection");
    let (sender, connection) = h2::client::handshake(stream).await.expect("handshake");
    tokio::spawn(async move { connection.await.ok() });
    let mut sender = sender.ready().await.expect("ready");
    let req = http::Request::post("http://peer/hello")
        .body(())
        .expect("request");
    let (response, mut body) = sender.send_request(req, false).expect("stream");
    let part = vec![0_u8; 8 * 1024];
    body.send_data(part.into(), false).expect("body");
    assert!(response.await.is_err());
    let errors = metrics.peer_errors.with_label_values(&["malformed"]);
    let counted = async {
        while errors.get() == 0 {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
    };
    let counted = tokio::time::timeout(TIMEOUT, counted).await;
    assert_eq!((counted, errors.get()), (Ok(()), 1));
}
