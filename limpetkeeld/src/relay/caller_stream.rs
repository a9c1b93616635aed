//! The byte stream of a caller's connection.
//!
//! It tells the connection table what the caller does, ends a connection whose request head is too
//! slow, and closes connections so that a refusal reaches a caller who is still sending.

use std::{io, mem, pin, sync, task};

use hyper::body;
use limpetkeel::{ConnectionPhase, MemoryExhausted, Millis, RequestLimits, STALLED_AFTER};
use tokio::{io as async_io, net, time};

use crate::relay::{body as relay_body, caller_connection, memory};

/// The most bytes that are read and dropped before a connection is closed.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// The longest time that a caller gets to read a refusal before its connection is closed.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The number of bytes that are discarded at once.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// The refusal of a request head that is too slow. The request did not run.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The exchange of a connection as its stream and its handler see it.
pub struct ConnectionActivity {
    /// The connection in the table.
    pub connection: caller_connection::CallerConnection,
    /// Whether the response has been handed over but may not have been written.
    is_flushing: sync::atomic::AtomicBool,
    /// Whether a request body has not been received to its end.
    has_unread_body: sync::atomic::AtomicBool,
    /// Whether the rest of a body will not be read.
    refuses_body: sync::atomic::AtomicBool,
}

impl ConnectionActivity {
    /// Wraps a connection.
    pub fn new(connection: caller_connection::CallerConnection) -> ConnectionActivity {
        ConnectionActivity {
            connection,
            is_flushing: sync::atomic::AtomicBool::new(false),
            has_unread_body: sync::atomic::AtomicBool::new(false),
            refuses_body: sync::atomic::AtomicBool::new(false),
        }
    }

    /// Records that a request head is complete, and whether a body follows it. Returns `false` if the
    /// connection was closed for another one; the request must not run then.
    #[must_use]
    pub fn begin_body(&self, has_body: bool) -> bool {
        // The response to a former request on the connection may still be written. Its end must not
        // mark this request as idle.
        self.end_flushed_response();
        self.has_unread_body
            .store(has_body, sync::atomic::Ordering::Relaxed);
        self.connection.begin_body()
    }

    /// Records that the response is complete if it has been handed over.
    fn end_flushed_response(&self) {
        if self
            .is_flushing
            .swap(false, sync::atomic::Ordering::Relaxed)
        {
            self.connection.end_response();
        }
    }

    /// Records that the body has been received completely.
    pub fn end_body(&self) {
        self.has_unread_body
            .store(false, sync::atomic::Ordering::Relaxed);
    }

    /// Records that the rest of a body will not be read, so that the connection ends with the
    /// response.
    pub fn refuse_body(&self) {
        self.refuses_body
            .store(true, sync::atomic::Ordering::Relaxed);
    }

    /// Returns `true` if the rest of a body will not be read.
    pub fn refuses_body(&self) -> bool {
        self.refuses_body.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns `true` if a request body has not been received completely.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns `true` if the caller may still be sending what will not be read.
    fn may_have_unread_bytes(&self) -> bool {
        let phase = self.connection.phase();
        self.has_unread_body()
            || matches!(phase, Some(ConnectionPhase::Head | ConnectionPhase::Body))
    }
}

/// Records on drop that the response has been handed over to the connection.
struct ResponseGuard(sync::Arc<ConnectionActivity>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0
            .is_flushing
            .store(true, sync::atomic::Ordering::Relaxed);
    }
}

/// A response body that tells its connection when it has been handed over.
pub struct TrackedBody {
    body: relay_body::Body,
    _guard: ResponseGuard,
}

impl TrackedBody {
    /// Wraps the body of a response on the connection.
    pub fn new(body: relay_body::Body, activity: sync::Arc<ConnectionActivity>) -> TrackedBody {
        TrackedBody {
            body,
            _guard: ResponseGuard(activity),
        }
    }
}

impl body::Body for TrackedBody {
    type Data = bytes::Bytes;
    type Error = relay_body::StreamBroken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, relay_body::StreamBroken>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// The bytes that are read and dropped while a connection is being closed.
struct Discard {
    timer: pin::Pin<Box<time::Sleep>>,
    remaining: usize,
}

/// A response that its caller does not read.
struct BlockedResponse {
    timer: pin::Pin<Box<time::Sleep>>,
    _memory: Option<memory::Reservation>,
}

/// The byte stream of a caller's connection.
pub struct CallerStream {
    stream: net::TcpStream,
    activity: sync::Arc<ConnectionActivity>,
    head_timeout: Millis,
    /// Runs while a request head is incomplete.
    head_timer: Option<pin::Pin<Box<time::Sleep>>>,
    /// How long a caller may leave its response unread.
    write_timeout: Millis,
    blocked: Option<BlockedResponse>,
    discard: Option<Discard>,
}

impl CallerStream {
    /// Wraps a stream. A request head must be complete within the head timeout after its first byte,
    /// and a caller must read some of its response within the idle timeout.
    pub fn new(
        stream: net::TcpStream,
        activity: sync::Arc<ConnectionActivity>,
        limits: RequestLimits,
    ) -> CallerStream {
        CallerStream {
            stream,
            activity,
            head_timeout: limits.head_timeout,
            head_timer: None,
            write_timeout: limits.idle_timeout,
            blocked: None,
            discard: None,
        }
    }

    /// Returns `true` if the request head that is being received has taken too long.
    fn poll_head_timer(&mut self, cx: &mut task::Context<'_>) -> bool {
        let Some(timer) = &mut self.head_timer else {
            return false;
        };
        if self.activity.connection.phase() != Some(ConnectionPhase::Head) {
            self.head_timer = None;
            return false;
        }
        timer.as_mut().poll(cx).is_ready()
    }

    /// Checks the result of a write: a caller that does not read is closed after a time, which is
    /// short if there is no memory for what is held for it.
    fn check_written(
        &mut self,
        cx: &mut task::Context<'_>,
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.blocked.take().is_some() {
                self.activity.connection.resume_response();
            }
            return written;
        }
        let is_too_slow = match &mut self.blocked {
            Some(blocked) => blocked.timer.as_mut().poll(cx).is_ready(),
            None => {
                let memory = self.activity.connection.block_response();
                let timeout = match memory {
                    Ok(_) => self.write_timeout,
                    Err(MemoryExhausted) => STALLED_AFTER,
                };
                let mut timer = Box::pin(time::sleep(timeout.duration()));
                let is_over = timer.as_mut().poll(cx).is_ready();
                self.blocked = Some(BlockedResponse {
                    timer,
                    _memory: memory.ok(),
                });
                is_over
            }
        };
        if is_too_slow {
            self.activity.connection.record_too_slow("response_unread");
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        task::Poll::Pending
    }

    /// Reads and drops bytes until the caller closes its side or a limit is reached.
    fn poll_discard(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let Some(discard) = &mut self.discard else {
            return task::Poll::Ready(());
        };
        if discard.timer.as_mut().poll(cx).is_ready() {
            return task::Poll::Ready(());
        }
        let mut scratch = [mem::MaybeUninit::uninit(); DISCARD_BUFFER_BYTES];
        loop {
            let mut buf = async_io::ReadBuf::uninit(&mut scratch);
            let read = pin::Pin::new(&mut self.stream);
            match async_io::AsyncRead::poll_read(read, cx, &mut buf) {
                task::Poll::Pending => return task::Poll::Pending,
                task::Poll::Ready(Err(_)) => return task::Poll::Ready(()),
                task::Poll::Ready(Ok(())) => {}
            }
            let len = buf.filled().len();
            discard.remaining = discard.remaining.saturating_sub(len);
            if len == 0 || discard.remaining == 0 {
                return task::Poll::Ready(());
            }
        }
    }
}

impl async_io::AsyncRead for CallerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut async_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        // The timer is checked only when there is nothing to read: the rest of the head may have
        // waited in the system while the task did not run.
        if polled.is_pending() && self.poll_head_timer(cx) {
            self.activity.connection.record_too_slow("head_too_slow");
            // The caller may have closed the connection.
            let _ = self.stream.try_write(HEAD_TOO_SLOW);
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if buf.filled().len() > before && self.activity.connection.receive() {
            let mut timer = Box::pin(time::sleep(self.head_timeout.duration()));
            // The head is likely complete; otherwise the timer wakes the task.
            let _ = timer.as_mut().poll(cx);
            self.head_timer = Some(timer);
        }
        polled
    }
}

impl async_io::AsyncWrite for CallerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_written(cx, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called after all bytes that were handed over have been written.
    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.activity.end_flushed_response();
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.discard.is_none() {
            let may_have_unread_bytes = self.activity.may_have_unread_bytes();
            std::task::ready!(pin::Pin::new(&mut self.stream).poll_shutdown(cx))?;
            if !may_have_unread_bytes {
                return task::Poll::Ready(Ok(()));
            }
            self.discard = Some(Discard {
                timer: Box::pin(time::sleep(DISCARD_TIMEOUT)),
                remaining: MAX_DISCARDED_BYTES,
            });
        }
        self.poll_discard(cx).map(Ok)
    }
}
