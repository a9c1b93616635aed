//! Bodies of answers.

use std::{convert, fmt, pin, task as std_task};

use bytes::Bytes;
use http_body_util::{BodyExt as _, combinators::UnsyncBoxBody};
use hyper::body;
use tokio::sync::mpsc;

use crate::relay::task;

/// The stream cannot be completed; the connection is closed so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for Broken {}

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// Returns a body that is known whole.
pub fn whole(bytes: Bytes) -> Body {
    let full = http_body_util::Full::new(bytes);
    full.map_err(|never: convert::Infallible| match never {})
        .boxed_unsync()
}

/// Returns a body that arrives through a channel; `driver` ends with it.
pub fn streamed(rx: mpsc::Receiver<Result<Bytes, Broken>>, driver: task::Owned) -> Body {
    Streamed {
        rx,
        _driver: driver,
    }
    .boxed_unsync()
}

struct Streamed {
    rx: mpsc::Receiver<Result<Bytes, Broken>>,
    _driver: task::Owned,
}

impl body::Body for Streamed {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut std_task::Context<'_>,
    ) -> std_task::Poll<Option<Result<body::Frame<Bytes>, Broken>>> {
        self.rx
            .poll_recv(cx)
            .map(|part| part.map(|bytes| bytes.map(body::Frame::data)))
    }
}
