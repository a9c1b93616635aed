//! The byte stream of a caller's connection.
//!
//! It tells the connection table what the caller does, ends a connection that is idle for too long or
//! whose request head is too slow or too large, by the limits in force when the head begins, and closes
//! connections so that a refusal reaches a caller who is still sending.

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

/// The most bytes that are read at once. The read buffer grows to twice as much, and beyond that only
/// for a head.
const MAX_READ_BYTES: usize = 8 * 1024;

/// Added to the time that a connection may be idle, for a head that has arrived but was not read.
const IDLE_MARGIN: Millis = Millis(1_000);

/// The refusal of a request head that is too slow. The request did not run.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The refusal of a request head that exceeds the limit in force.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The refusal of a request head for which there is no memory. The request did not run.
const NO_MEMORY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

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

    /// Records that the response is complete if it has been handed over. Returns `true` if it was.
    fn end_flushed_response(&self) -> bool {
        let was_flushing = self
            .is_flushing
            .swap(false, sync::atomic::Ordering::Relaxed);
        if was_flushing {
            self.connection.end_response();
        }
        was_flushing
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

impl Discard {
    fn new() -> Discard {
        Discard {
            timer: Box::pin(time::sleep(DISCARD_TIMEOUT)),
            remaining: MAX_DISCARDED_BYTES,
        }
    }
}

/// A response that its caller does not read.
struct BlockedResponse {
    timer: pin::Pin<Box<time::Sleep>>,
    _memory: Option<memory::Reservation>,
}

/// A request head that is being received.
struct Head {
    received: usize,
    timer: pin::Pin<Box<time::Sleep>>,
    /// The memory of the part that exceeds the read buffer.
    memory: Option<memory::Reservation>,
}

/// The time in which a connection waits for a request.
struct Idle {
    since: time::Instant,
    timer: pin::Pin<Box<time::Sleep>>,
}

/// The byte stream of a caller's connection.
pub struct CallerStream {
    stream: net::TcpStream,
    activity: sync::Arc<ConnectionActivity>,
    /// The limits in force when the latest head began, or when the connection was accepted.
    limits: RequestLimits,
    head: Option<Head>,
    idle: Option<Idle>,
    blocked: Option<BlockedResponse>,
    discard: Option<Discard>,
}

impl CallerStream {
    /// Wraps a stream. A request head must be complete within the head timeout after its first byte,
    /// and a caller must send a request, or read some of its response, within the idle timeout.
    pub fn new(
        stream: net::TcpStream,
        activity: sync::Arc<ConnectionActivity>,
        limits: RequestLimits,
    ) -> CallerStream {
        let mut stream = CallerStream {
            stream,
            activity,
            limits,
            head: None,
            idle: None,
            blocked: None,
            discard: None,
        };
        stream.begin_idle();
        stream
    }

    /// Returns the head that is being received, unless it is complete.
    fn incomplete_head(&mut self) -> Option<&mut Head> {
        if self.head.is_some() && self.activity.connection.phase() != Some(ConnectionPhase::Head) {
            self.head = None;
        }
        self.head.as_mut()
    }

    /// Returns the number of bytes that may be read next.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a head that is too large, and its reason.
    fn check_read(&mut self) -> Result<usize, (&'static [u8], &'static str)> {
        let buffer_len = self.activity.connection.buffer_len();
        let max_head = self.limits.max_head.0 as usize;
        let Some(head) = self.incomplete_head() else {
            return Ok(MAX_READ_BYTES);
        };
        if head.received >= max_head.max(MAX_READ_BYTES) {
            return Err((HEAD_TOO_LARGE, "head_too_large"));
        }
        if head.received < buffer_len || head.memory.is_some() {
            return Ok(MAX_READ_BYTES.min(max_head.max(MAX_READ_BYTES) - head.received));
        }
        let memory = self
            .activity
            .connection
            .reserve_buffer(max_head - buffer_len);
        let memory = memory.map_err(|MemoryExhausted| (NO_MEMORY, "no_memory"))?;
        if let Some(head) = &mut self.head {
            head.memory = Some(memory);
        }
        self.check_read()
    }

    /// Records the receipt of bytes, with which a head may begin.
    fn record_received(&mut self, cx: &mut task::Context<'_>, len: usize) {
        self.idle = None;
        if self.activity.connection.receive() {
            self.limits = self.activity.connection.limits();
            let mut timer = Box::pin(time::sleep(self.limits.head_timeout.duration()));
            // The head is likely complete; otherwise the timer wakes the task.
            let _ = timer.as_mut().poll(cx);
            self.head = Some(Head {
                received: len,
                timer,
                memory: None,
            });
        } else if let Some(head) = &mut self.head {
            head.received += len;
        }
    }

    /// Begins to wait for a request.
    fn begin_idle(&mut self) {
        let timeout = (self.limits.idle_timeout + IDLE_MARGIN).duration();
        self.idle = Some(Idle {
            since: time::Instant::now(),
            timer: Box::pin(time::sleep(timeout)),
        });
    }

    /// Returns `true` if the connection has been idle for longer than the limit in force.
    fn poll_idle(&mut self, cx: &mut task::Context<'_>) -> bool {
        let connection = &self.activity.connection;
        let timeout = || (connection.limits().idle_timeout + IDLE_MARGIN).duration();
        let Some(idle) = &mut self.idle else {
            return false;
        };
        while idle.timer.as_mut().poll(cx).is_ready() {
            if connection.phase() != Some(ConnectionPhase::Idle) {
                self.idle = None;
                return false;
            }
            let end = idle.since + timeout();
            if end <= time::Instant::now() {
                return true;
            }
            idle.timer.as_mut().reset(end);
        }
        false
    }

    /// Refuses what the caller is sending and begins to close the connection.
    fn refuse(&mut self, cx: &mut task::Context<'_>, refusal: &[u8], reason: &str) {
        self.activity.connection.record_closing(reason);
        // The caller may have closed the connection.
        let _ = self.stream.try_write(refusal);
        let stream = pin::Pin::new(&mut self.stream);
        let _ = async_io::AsyncWrite::poll_shutdown(stream, cx);
        self.discard = Some(Discard::new());
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
                    Ok(_) => self.limits.idle_timeout,
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
            self.activity.connection.record_closing("response_unread");
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
        if self.discard.is_some() {
            std::task::ready!(self.poll_discard(cx));
            return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let max_len = match self.check_read() {
            Ok(max_len) => max_len.min(buf.remaining()),
            Err((refusal, reason)) => {
                self.refuse(cx, refusal, reason);
                return self.poll_read(cx, buf);
            }
        };
        let mut part = async_io::ReadBuf::new(buf.initialize_unfilled_to(max_len));
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let len = part.filled().len();
        buf.advance(len);
        if len > 0 {
            self.record_received(cx, len);
        }
        if polled.is_ready() {
            return polled;
        }
        // The timers are checked only when there is nothing to read: the rest of the head may have
        // waited in the system while the task did not run.
        if let Some(head) = self.incomplete_head()
            && head.timer.as_mut().poll(cx).is_ready()
        {
            self.activity.connection.record_closing("head_too_slow");
            // The caller may have closed the connection.
            let _ = self.stream.try_write(HEAD_TOO_SLOW);
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        if self.poll_idle(cx) {
            return task::Poll::Ready(Ok(()));
        }
        task::Poll::Pending
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
        if self.activity.end_flushed_response() {
            self.begin_idle();
            // Registers the timer, as the next read may come only once there is something to read.
            let _ = self.poll_idle(cx);
        }
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
            self.discard = Some(Discard::new());
        }
        self.poll_discard(cx).map(Ok)
    }
}
