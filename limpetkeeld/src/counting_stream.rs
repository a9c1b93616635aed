//! A TCP stream that counts its bytes.

use std::{io, pin, task};

use tokio::{io as async_io, net};

/// A TCP stream that adds the bytes sent and received, including protocol headers, to metrics.
pub struct CountingStream {
    stream: net::TcpStream,
    sent: prometheus::IntCounter,
    received: prometheus::IntCounter,
}

impl CountingStream {
    /// Wraps a stream; `sent` and `received` count its bytes.
    pub fn new(
        stream: net::TcpStream,
        sent: prometheus::IntCounter,
        received: prometheus::IntCounter,
    ) -> CountingStream {
        CountingStream {
            stream,
            sent,
            received,
        }
    }
}

impl async_io::AsyncRead for CountingStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        self.received.inc_by((buf.filled().len() - before) as u64);
        polled
    }
}

impl async_io::AsyncWrite for CountingStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        if let task::Poll::Ready(Ok(len)) = polled {
            self.sent.inc_by(len as u64);
        }
        polled
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
