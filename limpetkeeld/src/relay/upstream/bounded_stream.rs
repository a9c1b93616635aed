//! The connection to an upstream, with bounds on what is read before the final response head and
//! in one turn.

use std::{io, pin, task};

use limpetkeel::{Bytes, HeadAllowance, ResponseLimit};
use tokio::{io as async_io, net};
use tokio_util::either;

use crate::peer::tunnel;

/// Maximum number of bytes that are read before other tasks get their turn. An upstream that always
/// has data must not hold up the other connections of the thread.
const MAX_TURN_BYTES: usize = 64 * 1024;

/// The position of the first digit of the status in a status line.
const STATUS_CLASS_POSITION: usize = "HTTP/1.1 ".len();

/// The bytes of a connection to an upstream: one of this instance, or one of a peer.
pub type Transport = either::Either<net::TcpStream, tunnel::TunnelStream>;

/// A transport on which one response is received.
///
/// The HTTP client skips interim heads in a loop without a bound, so the heads are counted here.
pub struct BoundedStream {
    stream: Transport,
    /// The heads; `None` after the final one.
    heads: Option<HeadScanner>,
    turn_bytes: usize,
}

impl BoundedStream {
    /// Wraps a connection on which no response has begun.
    pub fn new(stream: Transport) -> BoundedStream {
        BoundedStream {
            stream,
            heads: Some(HeadScanner::default()),
            turn_bytes: 0,
        }
    }

    /// Counts received bytes.
    fn record_received(&mut self, received: &[u8]) -> Result<(), ResponseLimit> {
        self.turn_bytes += received.len();
        if let Some(heads) = &mut self.heads
            && heads.scan(received)? == Heads::Complete
        {
            self.heads = None;
        }
        Ok(())
    }
}

impl async_io::AsyncRead for BoundedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.turn_bytes >= MAX_TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        match &polled {
            task::Poll::Ready(Ok(())) => self
                .record_received(&buf.filled()[before..])
                .map_err(|limit| io::Error::new(io::ErrorKind::InvalidData, limit))?,
            task::Poll::Ready(Err(_)) => {}
            task::Poll::Pending => self.turn_bytes = 0,
        }
        polled
    }
}

impl async_io::AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    // Without vectored writes, the HTTP client copies the request body.
    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Whether the final head of a response has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heads {
    Incomplete,
    Complete,
}

/// Finds the ends of response heads in a byte stream. It accepts every head that the HTTP client
/// accepts, which checks their syntax.
#[derive(Debug, Default)]
struct HeadScanner {
    allowance: HeadAllowance,
    /// Whether the status line of the current head has ended.
    in_headers: bool,
    is_interim: bool,
    /// The number of bytes in the current line, without carriage returns.
    line_len: usize,
}

impl HeadScanner {
    fn scan(&mut self, received: &[u8]) -> Result<Heads, ResponseLimit> {
        for (index, byte) in received.iter().enumerate() {
            if self.ends_head(*byte) {
                if !self.is_interim {
                    self.allowance.record_bytes(Bytes(index as u64 + 1))?;
                    return Ok(Heads::Complete);
                }
                self.allowance.record_interim_head()?;
                self.in_headers = false;
                self.is_interim = false;
            }
        }
        self.allowance.record_bytes(Bytes(received.len() as u64))?;
        Ok(Heads::Incomplete)
    }

    /// Returns `true` if this byte is the last one of a head.
    fn ends_head(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => false,
            b'\n' => {
                // Blank lines before a status line are skipped.
                let is_blank = std::mem::take(&mut self.line_len) == 0;
                let ends = is_blank && self.in_headers;
                self.in_headers |= !is_blank;
                ends
            }
            _ => {
                if !self.in_headers && self.line_len == STATUS_CLASS_POSITION {
                    self.is_interim = byte == b'1';
                }
                self.line_len += 1;
                false
            }
        }
    }
}
