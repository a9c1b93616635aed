//! The accepting side of peer links.

use std::{net, sync};

use bytes::Bytes;
use tokio::net as tcp;

use crate::{
    listener, metered, metrics,
    peer::{self, handshake, message},
};

/// A refused peer is cut off after this long at the latest.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Answers the messages of proven peers.
pub trait Answer: Send + Sync + 'static {
    /// Answers one message.
    fn answer(&self, req: message::Request) -> impl Future<Output = message::Response> + Send;
}

/// The client has not sent its nonce yet.
struct Unknown;

/// The client has the server's nonce and has to prove the key.
struct Challenged {
    nonces: handshake::Nonces,
}

/// The client has proved the key.
struct Proven;

type Stream = (
    http::Request<h2::RecvStream>,
    h2::server::SendResponse<Bytes>,
);

/// The server's side of a link in one state of its handshake.
struct Link<S> {
    connection: h2::server::Connection<metered::Metered, Bytes>,
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
    ) -> Result<(Vec<u8>, h2::server::SendResponse<Bytes>), peer::Error> {
        let (req, respond) = self.accept().await?;
        let mut body = req.into_body();
        // The connection has to be driven while the body arrives.
        let message = tokio::select! {
            message = peer::receive(&mut body) => message?,
            _ = self.connection.accept() => return Err(peer::Error::Malformed),
        };
        Ok((message, respond))
    }
}

impl Link<Unknown> {
    async fn challenge(mut self, key: &[u8]) -> Result<Link<Challenged>, peer::Error> {
        let (hello, respond) = self.accept_body().await?;
        let hello: handshake::Hello = peer::decode(&hello)?;
        let nonces = handshake::Nonces {
            client: hello.nonce,
            server: rand::random(),
        };
        let code = handshake::code(key, handshake::Side::Server, nonces)?;
        let welcome = handshake::Welcome {
            version: peer::VERSION,
            nonce: nonces.server,
            code,
        };
        respond_with(respond, http::StatusCode::OK, peer::encode(&welcome)?)?;
        if hello.version != peer::VERSION {
            return Err(peer::Error::Version(hello.version));
        }
        Ok(Link {
            connection: self.connection,
            state: Challenged { nonces },
        })
    }
}

impl Link<Challenged> {
    async fn prove(mut self, key: &[u8]) -> Result<Link<Proven>, peer::Error> {
        let (proof, respond) = self.accept_body().await?;
        let proof: handshake::Proof = peer::decode(&proof)?;
        let checked =
            handshake::check(key, handshake::Side::Client, self.state.nonces, &proof.code);
        let status = if checked.is_ok() {
            http::StatusCode::OK
        } else {
            http::StatusCode::FORBIDDEN
        };
        respond_with(respond, status, Bytes::new())?;
        if let Err(e) = checked {
            self.flush_and_close().await;
            return Err(e);
        }
        Ok(Link {
            connection: self.connection,
            state: Proven,
        })
    }

    /// Sends the refusal before the connection ends, so that the peer learns the reason.
    async fn flush_and_close(&mut self) {
        self.connection.graceful_shutdown();
        let closed = std::future::poll_fn(|cx| self.connection.poll_closed(cx));
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    }
}

impl Link<Proven> {
    async fn serve<A: Answer>(mut self, answerer: sync::Arc<A>) -> Result<(), peer::Error> {
        let Proven = self.state;
        while let Some(accepted) = self.connection.accept().await {
            let stream = accepted?;
            let answerer = answerer.clone();
            tokio::spawn(async move { answer_one(stream, &*answerer).await });
        }
        Ok(())
    }
}

async fn answer_one<A: Answer>(stream: Stream, answerer: &A) -> Result<(), peer::Error> {
    let (req, mut respond) = stream;
    let message = peer::receive(&mut req.into_body()).await?;
    let message = peer::decode(&message)?;
    let answer = tokio::select! {
        answer = answerer.answer(message) => answer,
        // The caller gave up; whatever it asked for is dropped here.
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
    };
    respond_with(respond, http::StatusCode::OK, peer::encode(&answer)?)
}

fn respond_with(
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

/// Accepts links until the process ends, which it does if the address cannot be bound.
pub async fn run<A: Answer>(
    address: net::SocketAddr,
    key: Vec<u8>,
    metrics: sync::Arc<metrics::Metrics>,
    answerer: sync::Arc<A>,
) {
    if let Err(e) = listen(address, &key, metrics, answerer).await {
        tracing::error!(event = "peer_listen_failed", address = %address, error = %e);
        std::process::exit(1);
    }
}

/// Accepts links until the process ends.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn listen<A: Answer>(
    address: net::SocketAddr,
    key: &[u8],
    metrics: sync::Arc<metrics::Metrics>,
    answerer: sync::Arc<A>,
) -> std::io::Result<()> {
    let listener = tcp::TcpListener::bind(address).await?;
    let key: sync::Arc<[u8]> = key.into();
    loop {
        let stream = listener::accept(&listener).await;
        let (key, metrics, answerer) = (key.clone(), metrics.clone(), answerer.clone());
        tokio::spawn(async move {
            if let Err(e) = serve(stream, &key, &metrics, answerer).await
                && e != peer::Error::Unreachable
            {
                metrics.peer_errors.with_label_values(&[e.code()]).inc();
                tracing::warn!(event = "peer_cut_off", reason = e.code());
            }
        });
    }
}

async fn serve<A: Answer>(
    stream: tcp::TcpStream,
    key: &[u8],
    metrics: &metrics::Metrics,
    answerer: sync::Arc<A>,
) -> Result<(), peer::Error> {
    stream
        .set_nodelay(true)
        .map_err(|_| peer::Error::Unreachable)?;
    let stream = metered::Metered::new(
        stream,
        metrics.peer_bytes.with_label_values(&["sent"]),
        metrics.peer_bytes.with_label_values(&["received"]),
    );
    let connection = h2::server::Builder::new()
        .initial_window_size(peer::WINDOW_BYTES)
        .initial_connection_window_size(peer::WINDOW_BYTES)
        .handshake(stream)
        .await?;
    let link = Link {
        connection,
        state: Unknown,
    };
    link.challenge(key)
        .await?
        .prove(key)
        .await?
        .serve(answerer)
        .await
}
