//! Connections to upstreams: one for each request, so that no answer can be taken for another's.

use std::{io, net, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{body, client::conn::http1};
use hyper_util::rt;

use crate::relay::task;

/// A connection that is not established within this time has failed. Ten round trips to another
/// zone; a lost packet is sent again only after a second, when another upstream has long answered.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(120);

/// An order that is not answered within this time has failed.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// A connection without traffic for this long is probed: the shortest time that the system takes.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(1);

/// The time between two probes, again the shortest.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Probes that may stay unanswered: one may be lost. A dark engine is noticed after three seconds,
/// before the four for which engines may hold memory that no request uses.
const MAX_PROBES: u32 = 2;

/// Why nothing came back from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection broke, or the bytes on it are not an answer.
    Broken,
    /// The answer took too long.
    TimedOut,
}

/// An answer whose body is still being received.
pub struct Answer {
    /// The head.
    pub head: http::response::Parts,
    body: body::Incoming,
    _connection: task::Owned,
}

impl Answer {
    /// Receives the next bytes of the body; nothing at its proper end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(Error::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// An established connection.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::Owned,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NotConnected`] if the connection is refused or takes too long.
    pub async fn open(address: net::SocketAddr) -> Result<Connection, Error> {
        let connecting = tokio::net::TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::NotConnected)?
            .map_err(|_| Error::NotConnected)?;
        stream.set_nodelay(true).map_err(|_| Error::NotConnected)?;
        probe(&stream).map_err(|_| Error::NotConnected)?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|_| Error::NotConnected)?;
        let driver = task::Owned::spawn(async move {
            // Its error reaches the request that waits on the connection.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver })
    }

    /// Sends the only request of this connection.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives. The request may have run.
    pub async fn send(mut self, req: http::Request<Bytes>) -> Result<Answer, Error> {
        let res = self.sender.send_request(req.map(Full::new)).await;
        let (head, body) = res.map_err(|_| Error::Broken)?.into_parts();
        Ok(Answer {
            head,
            body,
            _connection: self.driver,
        })
    }
}

/// Has the system probe a connection, so that an upstream that lost power or is cut off breaks it.
///
/// # Errors
///
/// Fails if the system refuses the options.
pub fn probe(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Gives an order and returns the status of its answer.
///
/// # Errors
///
/// Fails if no answer arrives. The order may have been accepted, or may be later.
pub async fn order(
    address: net::SocketAddr,
    req: http::Request<Bytes>,
) -> Result<http::StatusCode, Error> {
    let ordering = async {
        let connection = Connection::open(address).await?;
        Ok(connection.send(req).await?.head.status)
    };
    let ordered = tokio::time::timeout(ORDER_TIMEOUT, ordering).await;
    ordered.unwrap_or(Err(Error::TimedOut))
}
