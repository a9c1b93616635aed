//! The connecting side of peer links.

use std::{collections, net, sync, time};

use bytes::Bytes;
use tokio::{net as tcp, sync as async_sync};

use crate::{
    counting_stream, metrics,
    peer::{self, handshake, message, tunnel},
    relay::memory,
};

/// The timeout for establishing a link, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The interval between pings on a link.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(1_000);

/// A link whose ping gets no response within this time is closed, which fails its pending calls.
const PING_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

type Sender = h2::client::SendRequest<Bytes>;

/// The state of a link whose peer has not proved that it knows the key.
struct Unauthenticated {
    key: sync::Arc<[u8]>,
}

/// The state of a link whose peer has proved that it knows the key.
#[derive(Clone)]
struct Authenticated;

/// A link in a state of its handshake. Messages can be sent only on an authenticated link.
#[derive(Clone)]
struct Link<S> {
    sender: Sender,
    memory: Option<memory::Memory>,
    state: S,
}

impl<S> Link<S> {
    async fn request(&self, path: &str, body: Bytes) -> Result<peer::ReceivedMessage, peer::Error> {
        let mut sender = self.sender.clone().ready().await?;
        let req = http::Request::post(format!("http://peer{path}"))
            .body(())
            .map_err(|_| peer::Error::Malformed)?;
        let (res, mut stream) = sender.send_request(req, false)?;
        stream.send_data(body, true)?;
        let res = res.await?;
        if res.status() == http::StatusCode::FORBIDDEN {
            return Err(peer::Error::Unauthenticated);
        }
        let mut body = res.into_body();
        let memory = self.memory.as_ref();
        peer::receive_message(&mut body, peer::MAX_MESSAGE_BYTES, memory).await
    }
}

impl Link<Unauthenticated> {
    async fn authenticate(self) -> Result<Link<Authenticated>, peer::Error> {
        let client: u128 = rand::random();
        let hello = handshake::Hello {
            version: peer::VERSION,
            nonce: client,
        };
        let welcome = self.request("/hello", peer::encode(&hello)?).await?;
        let welcome: handshake::Welcome = peer::decode(&welcome.bytes)?;
        if welcome.version != peer::VERSION {
            return Err(peer::Error::Version(welcome.version));
        }
        let nonces = handshake::Nonces {
            client,
            server: welcome.nonce,
        };
        let key = &self.state.key;
        handshake::verify_code(key, handshake::Side::Server, nonces, &welcome.code)?;
        let code = handshake::compute_code(key, handshake::Side::Client, nonces)?;
        self.request("/prove", peer::encode(&handshake::Proof { code })?)
            .await?;
        Ok(Link {
            sender: self.sender,
            memory: self.memory,
            state: Authenticated,
        })
    }
}

impl Link<Authenticated> {
    async fn call(&self, req: &message::Request) -> Result<message::Response, peer::Error> {
        let response = self.request("/message", peer::encode(req)?).await?;
        peer::decode(&response.bytes)
    }
}

/// The windows of a link, in bytes.
#[derive(Clone, Copy)]
struct Windows {
    stream: u32,
    connection: u32,
}

/// The windows of a link for messages. A stream has room for one complete message.
const MESSAGE_WINDOWS: Windows = Windows {
    stream: peer::WINDOW_BYTES,
    connection: peer::WINDOW_BYTES,
};

/// The windows of a link for tunnels. The connection has room for the windows of so many streams
/// that one whose caller reads slowly does not hold up the others.
const TUNNEL_WINDOWS: Windows = Windows {
    stream: tunnel::WINDOW_BYTES,
    connection: MAX_SLOW_TUNNELS * tunnel::WINDOW_BYTES,
};

/// The number of tunnels to one peer that may be slow without holding up others.
const MAX_SLOW_TUNNELS: u32 = 256;

type LinkSlots = parking_lot::Mutex<collections::HashMap<net::SocketAddr, LinkSlot>>;

type LinkSlot = sync::Arc<async_sync::Mutex<Option<Link<Authenticated>>>>;

/// The links to all peers. Each link is established on first use.
pub struct PeerLinks {
    key: sync::Arc<[u8]>,
    source: net::IpAddr,
    metrics: sync::Arc<metrics::Metrics>,
    memory: Option<memory::Memory>,
    slots: LinkSlots,
    /// The links for tunnels, which are apart so that they do not delay messages.
    tunnel_slots: LinkSlots,
}

impl PeerLinks {
    /// Creates the links of an instance that connects from `source`.
    pub fn new(key: &[u8], source: net::IpAddr, metrics: sync::Arc<metrics::Metrics>) -> PeerLinks {
        PeerLinks {
            key: key.into(),
            source,
            metrics,
            memory: None,
            slots: LinkSlots::default(),
            tunnel_slots: LinkSlots::default(),
        }
    }

    /// Reserves received messages in a memory account.
    #[must_use]
    pub fn with_memory(self, memory: memory::Memory) -> PeerLinks {
        PeerLinks {
            memory: Some(memory),
            ..self
        }
    }

    /// Sends a message and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unreachable or does not respond in time. The peer may still
    /// have processed the message.
    pub async fn call(
        &self,
        address: net::SocketAddr,
        req: &message::Request,
        timeout: time::Duration,
    ) -> Result<message::Response, peer::Error> {
        self.metrics
            .peer_messages
            .with_label_values(&[req.kind()])
            .inc();
        let result = tokio::time::timeout(timeout, self.try_call(address, req)).await;
        let response = result.unwrap_or(Err(peer::Error::TimedOut));
        if let Err(e) = &response {
            self.metrics
                .peer_errors
                .with_label_values(&[e.code()])
                .inc();
        }
        response
    }

    async fn try_call(
        &self,
        address: net::SocketAddr,
        req: &message::Request,
    ) -> Result<message::Response, peer::Error> {
        let slot = self.slots.lock().entry(address).or_default().clone();
        let link = self.link(address, &slot, MESSAGE_WINDOWS).await?;
        let response = link.call(req).await;
        if response.is_err() {
            *slot.lock().await = None;
        }
        response
    }

    /// Opens a tunnel to an upstream through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is unreachable or refuses. Nothing was sent to the upstream.
    pub async fn open_tunnel(
        &self,
        address: net::SocketAddr,
        opening: &message::TunnelRequest,
    ) -> Result<tunnel::TunnelStream, tunnel::Error> {
        let slot = self.tunnel_slots.lock().entry(address).or_default().clone();
        let link = self.link(address, &slot, TUNNEL_WINDOWS).await?;
        tunnel::TunnelStream::open(link.sender, opening).await
    }

    /// Returns the link of a slot, which is established if there is none.
    async fn link(
        &self,
        address: net::SocketAddr,
        slot: &LinkSlot,
        windows: Windows,
    ) -> Result<Link<Authenticated>, peer::Error> {
        let mut link = slot.lock().await;
        Ok(match link.as_ref() {
            Some(link) => link.clone(),
            None => link
                .insert(self.connect(address, slot.clone(), windows).await?)
                .clone(),
        })
    }

    async fn connect(
        &self,
        address: net::SocketAddr,
        slot: LinkSlot,
        windows: Windows,
    ) -> Result<Link<Authenticated>, peer::Error> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, async {
            let stream = self
                .connect_tcp(address)
                .await
                .map_err(|_| peer::Error::Unreachable)?;
            let stream = counting_stream::CountingStream::new(
                stream,
                self.metrics.peer_bytes.with_label_values(&["sent"]),
                self.metrics.peer_bytes.with_label_values(&["received"]),
            );
            let (sender, mut connection) = h2::client::Builder::new()
                .initial_window_size(windows.stream)
                .initial_connection_window_size(windows.connection)
                .max_header_list_size(peer::MAX_HEADER_BYTES)
                .enable_push(false)
                .handshake::<_, Bytes>(stream)
                .await?;
            if let Some(pings) = connection.ping_pong() {
                tokio::spawn(drive_connection(pings, connection, slot));
            }
            let link = Link {
                sender,
                memory: self.memory.clone(),
                state: Unauthenticated {
                    key: self.key.clone(),
                },
            };
            link.authenticate().await
        });
        connected.await.unwrap_or(Err(peer::Error::Unreachable))
    }

    async fn connect_tcp(&self, address: net::SocketAddr) -> std::io::Result<tcp::TcpStream> {
        let socket = match self.source {
            net::IpAddr::V4(_) => tcp::TcpSocket::new_v4()?,
            net::IpAddr::V6(_) => tcp::TcpSocket::new_v6()?,
        };
        socket.bind(net::SocketAddr::new(self.source, 0))?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Polls a connection until it ends or a ping gets no response, then removes the link.
async fn drive_connection(
    mut pings: h2::PingPong,
    connection: h2::client::Connection<counting_stream::CountingStream, Bytes>,
    slot: LinkSlot,
) {
    let pinging = async {
        loop {
            tokio::time::sleep(PING_INTERVAL).await;
            let pong = pings.ping(h2::Ping::opaque());
            if !matches!(tokio::time::timeout(PING_TIMEOUT, pong).await, Ok(Ok(_))) {
                return;
            }
        }
    };
    tokio::select! {
        _ = connection => {}
        () = pinging => {}
    }
    *slot.lock().await = None;
}
