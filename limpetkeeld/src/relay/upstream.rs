//! Connections to upstreams. Each request uses its own connection, so that a response cannot be
//! matched to the wrong request. [`path`](crate::relay::path) decides how it is established.

mod bounded_stream;

use std::{error, io, net, time};

use bytes::Bytes;
use http::header;
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::{self, Body as _},
    client::conn::http1,
};
use hyper_util::rt;
use limpetkeel::{Contact, ResponseLimit};

use crate::{peer::tunnel, relay::task};

/// Timeout for establishing a connection. Ten round trips to another availability zone. A lost SYN
/// packet is retransmitted only after one second, by when another upstream has responded.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(120);

/// Idle time before the first TCP keepalive probe: the minimum that the operating system accepts.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);

/// Interval between keepalive probes, also the minimum that the operating system accepts.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unacknowledged keepalive probes that break a connection. One probe may be lost. An
/// unreachable engine is detected after three seconds, within the four seconds for which memory
/// may stay reserved on an engine without a request.
const KEEPALIVE_RETRIES: u32 = 2;

/// The size of the system's receive buffer of a connection, in bytes. Otherwise the system would let
/// it grow to several megabytes while a caller does not read its response.
pub const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// The size of the system's send buffer of a connection, in bytes.
pub const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Maximum size of the read buffer of a connection, in bytes: the heads of one response.
const MAX_BUFFER_BYTES: usize = limpetkeel::MAX_HEAD.0 as usize;

/// The media type of event streams.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The reason why a connection to an upstream could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The connection was refused or reset.
    Refused,
    /// The connection was not established in time.
    TimedOut,
    /// The upstream is unreachable, or the instance has no socket for the connection.
    Failed,
}

impl ConnectError {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            ConnectError::Refused => "connect_refused",
            ConnectError::TimedOut => "connect_timed_out",
            ConnectError::Failed => "connect_failed",
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(e: io::Error) -> ConnectError {
        match e.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectError::Refused
            }
            io::ErrorKind::TimedOut => ConnectError::TimedOut,
            _ => ConnectError::Failed,
        }
    }
}

/// Errors of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    NotConnected(ConnectError),
    /// The connection broke.
    Broken,
    /// The tunnel through a peer broke. Nothing is known of the connection to the upstream.
    PathBroken,
    /// The response is not valid HTTP.
    Malformed,
    /// The response heads exceed a limit.
    LimitExceeded(ResponseLimit),
    /// The response did not arrive in time.
    TimedOut,
}

/// A response whose body is still being received.
pub struct Response {
    /// The response head.
    pub head: http::response::Parts,
    body: body::Incoming,
    _connection: task::AbortOnDrop,
}

impl Response {
    /// Returns `true` if the body has a content coding.
    pub fn is_encoded(&self) -> bool {
        self.head.headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Returns `true` unless the media type states that the body is not an event stream.
    pub fn may_contain_events(&self) -> bool {
        let media_type = self.head.headers.get(header::CONTENT_TYPE);
        media_type.is_none_or(|value| {
            let essence = value.as_bytes().split(|byte| *byte == b';').next();
            essence.is_some_and(|text| text.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
        })
    }

    /// Returns `true` if the body has neither a length nor chunks and ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the length of the rest of the body, if the upstream announced it.
    pub fn announced_len(&self) -> Option<limpetkeel::Bytes> {
        self.body.size_hint().exact().map(limpetkeel::Bytes)
    }

    /// Receives the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(classify_error(&e)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// An established connection for a single request.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::AbortOnDrop,
    peer: Option<Contact>,
}

impl Connection {
    /// Connects from `source` to an upstream.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection could not be established. Nothing was sent.
    pub async fn open(
        source: net::IpAddr,
        address: net::SocketAddr,
    ) -> Result<Connection, ConnectError> {
        let stream = connect(source, address).await?;
        Connection::start(bounded_stream::Transport::Left(stream), None).await
    }

    /// Uses a connection to an upstream that a peer has established.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be started. Nothing was sent.
    pub async fn through(
        peer: Contact,
        stream: tunnel::TunnelStream,
    ) -> Result<Connection, ConnectError> {
        Connection::start(bounded_stream::Transport::Right(stream), Some(peer)).await
    }

    async fn start(
        transport: bounded_stream::Transport,
        peer: Option<Contact>,
    ) -> Result<Connection, ConnectError> {
        let stream = bounded_stream::BoundedStream::new(transport);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(|_| ConnectError::Failed)?;
        let driver = task::AbortOnDrop::spawn(async move {
            // An error also fails the request that is waiting on this connection.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            driver,
            peer,
        })
    }

    /// Returns the peer that has established the connection, or `None` if this instance has.
    pub fn peer(&self) -> Option<&Contact> {
        self.peer.as_ref()
    }

    /// Sends the request, which consumes the connection, and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrives. The request may have run.
    pub async fn send(mut self, req: http::Request<Bytes>) -> Result<Response, Error> {
        let res = self.sender.send_request(req.map(Full::new)).await;
        let (head, body) = res.map_err(|e| classify_error(&e))?.into_parts();
        Ok(Response {
            head,
            body,
            _connection: self.driver,
        })
    }
}

/// Connects from `source` to an upstream and enables TCP keepalive.
///
/// # Errors
///
/// Returns the reason why the connection could not be established. Nothing was sent.
pub async fn connect(
    source: net::IpAddr,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpStream, ConnectError> {
    let socket = new_socket(source, address)?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    stream.set_nodelay(true)?;
    enable_keepalive(&stream)?;
    Ok(stream)
}

/// Returns the reason why a response was not received.
fn classify_error(e: &hyper::Error) -> Error {
    let source = error::Error::source(e).and_then(|source| source.downcast_ref::<io::Error>());
    let source = source.and_then(io::Error::get_ref);
    if source.is_some_and(|source| source.is::<tunnel::LinkBroken>()) {
        return Error::PathBroken;
    }
    let limit = source.and_then(|source| source.downcast_ref::<ResponseLimit>());
    if let Some(limit) = limit {
        return Error::LimitExceeded(*limit);
    }
    if e.is_parse_too_large() {
        return Error::LimitExceeded(ResponseLimit::Head);
    }
    if e.is_parse() {
        Error::Malformed
    } else {
        Error::Broken
    }
}

/// Creates a socket for a connection from `source` to an upstream, whose buffers in the system have
/// a fixed size. A source of another address family is ignored.
///
/// # Errors
///
/// Returns an error if the socket cannot be created or bound, or its options cannot be set.
pub fn new_socket(
    source: net::IpAddr,
    address: net::SocketAddr,
) -> io::Result<tokio::net::TcpSocket> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    if source.is_ipv4() == address.is_ipv4() {
        socket.bind(net::SocketAddr::new(source, 0))?;
    }
    Ok(socket)
}

/// Enables TCP keepalive on a connection, so that it breaks when the upstream loses power or
/// becomes unreachable.
///
/// # Errors
///
/// Returns an error if the socket options cannot be set.
pub fn enable_keepalive(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive)
}
