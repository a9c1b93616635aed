//! Tunnels to upstreams through a peer: the bytes of one connection on one HTTP/2 stream.
//!
//! Flow control on the stream bounds what either side holds: nothing is read from one end before
//! the other end has room. The end of the upstream's bytes ends the stream, and a connection that
//! breaks resets it, so that a truncated response never looks complete. Dropping a
//! [`TunnelStream`] closes the connection to the upstream.

use std::{any, fmt, future, io, pin, task};

use bytes::{Buf as _, Bytes};
use tokio::{
    io::{self as async_io, AsyncReadExt as _, AsyncWriteExt as _},
    net::tcp,
};

use crate::peer::{self, message};

/// The path of the requests that open tunnels.
pub(super) const PATH: &str = "/tunnel";

/// The flow-control window of a tunnel in each direction, in bytes.
pub(super) const WINDOW_BYTES: u32 = 64 * 1024;

/// The memory that a tunnel may take at the peer that connects, in bytes: the window, and the
/// buffer of the connection in the system.
pub const TUNNEL_MEMORY_BYTES: usize = 2 * WINDOW_BYTES as usize;

/// The most bytes that are read from or written to a tunnel at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// The number of bytes that announce the length of the opening message.
const LENGTH_BYTES: usize = 4;

/// The maximum length of an opening message, in bytes.
const MAX_OPENING_BYTES: usize = 4 * 1024;

/// The code of a stream that is reset since the connection to the upstream broke.
const UPSTREAM_BROKE: h2::Reason = h2::Reason::CONNECT_ERROR;

/// The link to the peer broke, or the peer ended the tunnel. Nothing is known of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkBroken;

impl fmt::Display for LinkBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the tunnel broke")
    }
}

impl std::error::Error for LinkBroken {}

/// The reason why a tunnel was not opened. Nothing was sent to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The link to the peer failed.
    Link(peer::Error),
    /// The peer refused.
    Refused(message::TunnelRefusal),
}

impl From<peer::Error> for Error {
    fn from(e: peer::Error) -> Error {
        Error::Link(e)
    }
}

impl From<h2::Error> for Error {
    fn from(e: h2::Error) -> Error {
        Error::Link(e.into())
    }
}

/// An established connection to an upstream that a peer puts at the disposal of a tunnel, and what
/// is released when the tunnel ends.
pub struct Outlet {
    /// The connection.
    pub stream: tokio::net::TcpStream,
    /// Held until the tunnel ends.
    pub guard: Box<dyn any::Any + Send>,
}

/// The near end of a tunnel.
pub struct TunnelStream {
    send: h2::SendStream<Bytes>,
    recv: h2::RecvStream,
    /// Received bytes that were not read yet.
    chunk: Bytes,
}

impl TunnelStream {
    /// Opens a tunnel on a link.
    ///
    /// # Errors
    ///
    /// Returns an error if the link fails or the peer refuses.
    pub(super) async fn open(
        sender: h2::client::SendRequest<Bytes>,
        opening: &message::TunnelRequest,
    ) -> Result<TunnelStream, Error> {
        let mut sender = sender.ready().await?;
        let req = http::Request::post(format!("http://peer{PATH}"))
            .body(())
            .map_err(|_| peer::Error::Malformed)?;
        let (res, mut send) = sender.send_request(req, false)?;
        let encoded = peer::encode(opening)?;
        let len = u32::try_from(encoded.len()).map_err(|_| peer::Error::Malformed)?;
        let framed = [&len.to_be_bytes(), &encoded[..]].concat();
        send.send_data(Bytes::from(framed), false)?;
        let (head, mut recv) = res.await?.into_parts();
        if head.status == http::StatusCode::OK {
            return Ok(TunnelStream {
                send,
                recv,
                chunk: Bytes::new(),
            });
        }
        let refusal = peer::receive_message(&mut recv, MAX_OPENING_BYTES, None).await?;
        Err(Error::Refused(peer::decode(&refusal.bytes)?))
    }
}

impl async_io::AsyncRead for TunnelStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        while self.chunk.is_empty() {
            match task::ready!(self.recv.poll_data(cx)) {
                None => return task::Poll::Ready(Ok(())),
                Some(received) => self.chunk = received.map_err(|e| stream_error(&e))?,
            }
        }
        let len = self.chunk.len().min(buf.remaining());
        buf.put_slice(&self.chunk[..len]);
        self.chunk.advance(len);
        // An error means that the stream has ended, which the next read finds.
        let _ = self.recv.flow_control().release_capacity(len);
        task::Poll::Ready(Ok(()))
    }
}

impl async_io::AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let wanted = buf.len().min(CHUNK_BYTES);
        let capacity = task::ready!(poll_capacity(&mut self.send, cx, wanted))?;
        let len = wanted.min(capacity);
        let data = Bytes::copy_from_slice(&buf[..len]);
        let sent = self.send.send_data(data, false);
        task::Poll::Ready(sent.map(|()| len).map_err(|e| stream_error(&e)))
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The task of the link writes what was sent.
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let ended = self.send.send_data(Bytes::new(), true);
        task::Poll::Ready(ended.map_err(|e| stream_error(&e)))
    }
}

/// Waits until up to `wanted` bytes may be sent, and returns how many.
fn poll_capacity(
    send: &mut h2::SendStream<Bytes>,
    cx: &mut task::Context<'_>,
    wanted: usize,
) -> task::Poll<io::Result<usize>> {
    send.reserve_capacity(wanted);
    loop {
        let capacity = send.capacity();
        if capacity > 0 {
            return task::Poll::Ready(Ok(capacity));
        }
        match task::ready!(send.poll_capacity(cx)) {
            None => return task::Poll::Ready(Err(io::Error::other(LinkBroken))),
            Some(Err(e)) => return task::Poll::Ready(Err(stream_error(&e))),
            Some(Ok(_)) => {}
        }
    }
}

/// Returns the error of a connection whose tunnel was reset or broke.
fn stream_error(e: &h2::Error) -> io::Error {
    if e.is_remote() && e.reason() == Some(UPSTREAM_BROKE) {
        io::ErrorKind::ConnectionReset.into()
    } else {
        io::Error::other(LinkBroken)
    }
}

/// Receives the opening message of a tunnel. The rest of the body carries the tunnel's bytes, of
/// which none may have been sent yet.
pub(super) async fn receive_opening(
    body: &mut h2::RecvStream,
) -> Result<message::TunnelRequest, peer::Error> {
    let mut received = Vec::new();
    loop {
        if let Some((len, opening)) = received.split_at_checked(LENGTH_BYTES) {
            let len = len
                .iter()
                .fold(0, |len, byte| len << 8 | usize::from(*byte));
            if len > MAX_OPENING_BYTES || opening.len() > len {
                return Err(peer::Error::Malformed);
            }
            if opening.len() == len {
                return peer::decode(opening);
            }
        }
        let bytes = body.data().await.ok_or(peer::Error::Malformed)??;
        let _ = body.flow_control().release_capacity(bytes.len());
        received.extend_from_slice(&bytes);
    }
}

/// How one direction of a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// All bytes were copied.
    Complete,
    /// The other instance reset the tunnel, or the link broke.
    Abandoned,
    /// The connection to the upstream broke.
    UpstreamBroke,
}

/// Copies the bytes of a tunnel in both directions until it ends.
pub(super) async fn copy(outlet: Outlet, recv: h2::RecvStream, mut send: h2::SendStream<Bytes>) {
    let Outlet { stream, guard } = outlet;
    let (mut reader, mut writer) = stream.into_split();
    let uploading = upload(recv, &mut writer);
    tokio::pin!(uploading);
    let mut uploaded = None;
    let downloaded = {
        let downloading = download(&mut reader, &mut send);
        tokio::pin!(downloading);
        loop {
            tokio::select! {
                ended = &mut downloading => break ended,
                ended = &mut uploading, if uploaded.is_none() => match ended {
                    Ended::Abandoned => return,
                    ended => uploaded = Some(ended),
                },
            }
        }
    };
    match (downloaded, uploaded) {
        // The system reports a reset once. If a write has met it, a read finds the end of the bytes.
        (Ended::Complete, Some(Ended::UpstreamBroke)) | (Ended::UpstreamBroke, _) => {
            send.send_reset(UPSTREAM_BROKE);
        }
        (Ended::Complete, uploaded) => {
            let ended = send.send_data(Bytes::new(), true);
            // An upstream may stop sending before it has read everything.
            if ended.is_ok() && uploaded.is_none() {
                uploading.await;
            }
        }
        (Ended::Abandoned, _) => {}
    }
    drop(guard);
}

/// Copies bytes to the upstream.
async fn upload(mut recv: h2::RecvStream, writer: &mut tcp::OwnedWriteHalf) -> Ended {
    while let Some(received) = recv.data().await {
        let Ok(bytes) = received else {
            return Ended::Abandoned;
        };
        if writer.write_all(&bytes).await.is_err() {
            return Ended::UpstreamBroke;
        }
        let _ = recv.flow_control().release_capacity(bytes.len());
    }
    match writer.shutdown().await {
        Ok(()) => Ended::Complete,
        Err(_) => Ended::UpstreamBroke,
    }
}

/// Copies bytes from the upstream, up to their end. Nothing is read before it can be sent.
async fn download(reader: &mut tcp::OwnedReadHalf, send: &mut h2::SendStream<Bytes>) -> Ended {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let waiting = future::poll_fn(|cx| poll_capacity(send, cx, CHUNK_BYTES));
        let Ok(capacity) = waiting.await else {
            return Ended::Abandoned;
        };
        let limit = capacity.min(CHUNK_BYTES);
        let read = tokio::select! {
            read = reader.read(&mut buf[..limit]) => read,
            _ = future::poll_fn(|cx| send.poll_reset(cx)) => return Ended::Abandoned,
        };
        match read {
            Ok(0) => return Ended::Complete,
            // A copy, so that a small event that is queued does not hold the whole buffer.
            Ok(len)
                if send
                    .send_data(Bytes::copy_from_slice(&buf[..len]), false)
                    .is_ok() => {}
            Ok(_) => return Ended::Abandoned,
            Err(_) => return Ended::UpstreamBroke,
        }
    }
}
