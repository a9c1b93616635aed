//! Response bodies for callers.

use std::{convert, fmt, pin, task as std_task};

use bytes::Bytes;
use http_body_util::{BodyExt as _, combinators::UnsyncBoxBody};
use hyper::body;

use crate::relay::{event_queue, task};

/// The response stream broke off. The connection is closed so that the caller can tell that the
/// response is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response stream interrupted")
    }
}

impl std::error::Error for StreamBroken {}

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, StreamBroken>;

/// Returns a body that consists of `bytes`.
pub fn complete(bytes: Bytes) -> Body {
    let full = http_body_util::Full::new(bytes);
    full.map_err(|never: convert::Infallible| match never {})
        .boxed_unsync()
}

/// Returns a body that yields the events of a queue. Dropping the body aborts `driver`.
pub fn from_queue(rx: event_queue::Receiver, driver: task::AbortOnDrop) -> Body {
    QueueBody {
        rx,
        _driver: driver,
    }
    .boxed_unsync()
}

struct QueueBody {
    rx: event_queue::Receiver,
    _driver: task::AbortOnDrop,
}

impl body::Body for QueueBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut std_task::Context<'_>,
    ) -> std_task::Poll<Option<Result<body::Frame<Bytes>, StreamBroken>>> {
        self.rx.poll_frame(cx)
    }
}
