//! The accepting side of peer links.

use std::{net, sync};

use bytes::Bytes;
use tokio::net as tcp;

use crate::{
    counting_stream, listener, metrics,
    peer::{self, handshake, message, tunnel},
    relay::memory,
};

/// The time allowed to send a refusal before the connection is closed.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// The time allowed for the handshake. The connecting side gives up sooner.
const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(2_000);

/// Handles the messages of authenticated peers.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles a message and returns its response.
    fn handle(&self, req: message::Request) -> impl Future<Output = message::Response> + Send;

    /// Connects to an upstream for a peer. The default refuses.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no connection.
    fn connect(
        &self,
        _: message::TunnelRequest,
    ) -> impl Future<Output = Result<tunnel::Outlet, message::TunnelRefusal>> + Send {
        std::future::ready(Err(message::TunnelRefusal::Unsupported))
    }

    /// Returns the memory account in which received messages are reserved, if there is one.
    fn memory(&self) -> Option<&memory::Memory> {
        None
    }
}

/// The state of a link whose client has not sent its nonce.
struct AwaitingHello;

/// The state of a link whose client has the server's nonce and has to prove that it knows the key.
struct AwaitingProof {
    nonces: handshake::Nonces,
}

/// The state of a link whose client has proved that it knows the key.
struct Authenticated;

type Stream = (
    http::Request<h2::RecvStream>,
    h2::server::SendResponse<Bytes>,
);

/// The server side of a link in a state of its handshake.
struct Link<S> {
    connection: h2::server::Connection<counting_stream::CountingStream, Bytes>,
    state: S,
}

impl<S> Link<S> {
    async fn accept(&mut self) -> Result<Stream, peer::Error> {
        let accepted = self
            .connection
            .accept()
            .await
            .ok_or(peer::Error::Unreachable)?;
        Ok(accepted?)
    }

    async fn accept_body(
        &mut self,
    ) -> Result<(peer::ReceivedMessage, h2::server::SendResponse<Bytes>), peer::Error> {
        let (req, respond) = self.accept().await?;
        let mut body = req.into_body();
        // The body arrives only while the connection is polled. A second stream before the
        // handshake is complete is a protocol error.
        let message = tokio::select! {
            message = peer::receive_message(&mut body, peer::MAX_HANDSHAKE_BYTES, None) => message?,
            _ = self.connection.accept() => return Err(peer::Error::Malformed),
        };
        Ok((message, respond))
    }
}

impl Link<AwaitingHello> {
    async fn challenge(mut self, key: &[u8]) -> Result<Link<AwaitingProof>, peer::Error> {
        let (hello, respond) = self.accept_body().await?;
        let hello: handshake::Hello = peer::decode(&hello.bytes)?;
        let nonces = handshake::Nonces {
            client: hello.nonce,
            server: rand::random(),
        };
        let code = handshake::compute_code(key, handshake::Side::Server, nonces)?;
        let welcome = handshake::Welcome {
            version: peer::VERSION,
            nonce: nonces.server,
            code,
        };
        send_response(respond, http::StatusCode::OK, peer::encode(&welcome)?)?;
        if hello.version != peer::VERSION {
            return Err(peer::Error::Version(hello.version));
        }
        Ok(Link {
            connection: self.connection,
            state: AwaitingProof { nonces },
        })
    }
}

impl Link<AwaitingProof> {
    async fn verify_proof(mut self, key: &[u8]) -> Result<Link<Authenticated>, peer::Error> {
        let (proof, respond) = self.accept_body().await?;
        let proof: handshake::Proof = peer::decode(&proof.bytes)?;
        let verified =
            handshake::verify_code(key, handshake::Side::Client, self.state.nonces, &proof.code);
        let status = if verified.is_ok() {
            http::StatusCode::OK
        } else {
            http::StatusCode::FORBIDDEN
        };
        send_response(respond, status, Bytes::new())?;
        if let Err(e) = verified {
            self.flush_and_close().await;
            return Err(e);
        }
        self.connection.set_target_window_size(peer::WINDOW_BYTES);
        Ok(Link {
            connection: self.connection,
            state: Authenticated,
        })
    }

    /// Sends pending data before closing the connection, so that the peer receives the refusal.
    async fn flush_and_close(&mut self) {
        self.connection.graceful_shutdown();
        let closed = std::future::poll_fn(|cx| self.connection.poll_closed(cx));
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    }
}

impl Link<Authenticated> {
    async fn serve<H: RequestHandler>(mut self, handler: sync::Arc<H>) -> Result<(), peer::Error> {
        let Authenticated = self.state;
        while let Some(accepted) = self.connection.accept().await {
            let stream = accepted?;
            let handler = handler.clone();
            tokio::spawn(async move { handle_stream(stream, &*handler).await });
        }
        Ok(())
    }
}

async fn handle_stream<H: RequestHandler>(stream: Stream, handler: &H) -> Result<(), peer::Error> {
    let (req, mut respond) = stream;
    if req.uri().path() == tunnel::PATH {
        return handle_tunnel(req.into_body(), respond, handler).await;
    }
    let mut body = req.into_body();
    // The reservation is held until the message has been handled.
    let received =
        peer::receive_message(&mut body, peer::MAX_MESSAGE_BYTES, handler.memory()).await?;
    let message = peer::decode(&received.bytes)?;
    let response = tokio::select! {
        response = handler.handle(message) => response,
        // The peer has cancelled the stream; dropping the future cancels the work.
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
    };
    send_response(respond, http::StatusCode::OK, peer::encode(&response)?)
}

/// Opens a tunnel and copies its bytes until it ends.
async fn handle_tunnel<H: RequestHandler>(
    mut body: h2::RecvStream,
    mut respond: h2::server::SendResponse<Bytes>,
    handler: &H,
) -> Result<(), peer::Error> {
    let opening = tunnel::receive_opening(&mut body).await?;
    let connected = tokio::select! {
        connected = handler.connect(opening) => connected,
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
    };
    match connected {
        Ok(outlet) => {
            let send = respond.send_response(http::Response::new(()), false)?;
            tunnel::copy(outlet, body, send).await;
            Ok(())
        }
        Err(refusal) => {
            let refusal = peer::encode(&refusal)?;
            send_response(respond, http::StatusCode::SERVICE_UNAVAILABLE, refusal)
        }
    }
}

fn send_response(
    mut respond: h2::server::SendResponse<Bytes>,
    status: http::StatusCode,
    body: Bytes,
) -> Result<(), peer::Error> {
    let mut res = http::Response::new(());
    *res.status_mut() = status;
    let mut stream = respond.send_response(res, false)?;
    stream.send_data(body, true)?;
    Ok(())
}

/// Accepts links until the process ends. Exits the process with code 1 if the address cannot be
/// bound.
pub async fn run<H: RequestHandler>(
    address: net::SocketAddr,
    key: Vec<u8>,
    metrics: sync::Arc<metrics::Metrics>,
    handler: sync::Arc<H>,
) {
    if let Err(e) = listen(address, &key, metrics, handler).await {
        tracing::error!(event = "peer_listen_failed", address = %address, error = %e);
        std::process::exit(1);
    }
}

/// Accepts links until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen<H: RequestHandler>(
    address: net::SocketAddr,
    key: &[u8],
    metrics: sync::Arc<metrics::Metrics>,
    handler: sync::Arc<H>,
) -> std::io::Result<()> {
    let listener = tcp::TcpListener::bind(address).await?;
    let key: sync::Arc<[u8]> = key.into();
    loop {
        let stream = listener::accept(&listener).await;
        let (key, metrics, handler) = (key.clone(), metrics.clone(), handler.clone());
        tokio::spawn(async move {
            if let Err(e) = serve(stream, &key, &metrics, handler).await
                && e != peer::Error::Unreachable
            {
                metrics.peer_errors.with_label_values(&[e.code()]).inc();
                tracing::warn!(event = "peer_cut_off", reason = e.code());
            }
        });
    }
}

async fn serve<H: RequestHandler>(
    stream: tcp::TcpStream,
    key: &[u8],
    metrics: &metrics::Metrics,
    handler: sync::Arc<H>,
) -> Result<(), peer::Error> {
    stream
        .set_nodelay(true)
        .map_err(|_| peer::Error::Unreachable)?;
    let stream = counting_stream::CountingStream::new(
        stream,
        metrics.peer_bytes.with_label_values(&["sent"]),
        metrics.peer_bytes.with_label_values(&["received"]),
    );
    let authenticating = tokio::time::timeout(HANDSHAKE_TIMEOUT, authenticate(stream, key));
    let link = authenticating
        .await
        .map_err(|_| peer::Error::Unauthenticated)??;
    link.serve(handler).await
}

/// Accepts a link whose client proves that it knows the key. Until then, the window of the
/// connection has its default size, so that other clients cannot fill the memory.
async fn authenticate(
    stream: counting_stream::CountingStream,
    key: &[u8],
) -> Result<Link<Authenticated>, peer::Error> {
    let connection = h2::server::Builder::new()
        .initial_window_size(tunnel::WINDOW_BYTES)
        .max_header_list_size(peer::MAX_HEADER_BYTES)
        .max_concurrent_streams(peer::MAX_PENDING_MESSAGES)
        .handshake(stream)
        .await?;
    let link = Link {
        connection,
        state: AwaitingHello,
    };
    link.challenge(key).await?.verify_proof(key).await
}
