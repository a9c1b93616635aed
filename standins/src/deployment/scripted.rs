//! Responses that an upstream sends byte for byte, followed by a scripted end of the connection.

use std::time;

use platform::names;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
};

/// The time before a reset. A reset discards bytes that the peer has not received yet.
const RESET_DELAY: time::Duration = time::Duration::from_millis(100);

/// The size of one write of repeated text, in bytes.
const REPEATED_WRITE_BYTES: usize = 16 * 1024;

/// What follows the text of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Leaves the connection open until the sender of the request closes it.
    Open,
    /// Sends the text again and again until the sender of the request closes the connection.
    Repeat(&'static str),
}

/// A scripted response.
///
/// In the text, `{own}` stands for the request id and the signature headers of the response, `{other}`
/// for the same headers with the id of another request, and `{not-run}` for the header that marks a
/// request as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Script {
    /// The text to send.
    pub text: &'static str,
    /// What follows the text.
    pub end: End,
}

/// How the connection of a script ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The script ended.
    ByUpstream,
    /// The sender of the request closed the connection first.
    BySender,
}

impl Script {
    /// Returns `true` if the script declines the request in its own name.
    pub fn declines(&self) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        head.contains("{not-run}") && !head.contains("{other}")
    }

    /// Sends the response to the request with this id.
    pub async fn send(&self, stream: &mut tcp::TcpStream, name: &str, id: &str) -> Closed {
        let headers = |id: &str| {
            let (id_header, signature_header) = (names::REQUEST_ID, names::RESPONSE_SIGNATURE);
            format!("{id_header}: {id}\r\n{signature_header}: {name}\r\n")
        };
        let text = self
            .text
            .replace("{own}", &headers(id))
            .replace("{other}", &headers("another"))
            .replace("{not-run}", &format!("{}: 1\r\n", names::REQUEST_NOT_RUN));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return Closed::BySender;
        }
        match self.end {
            End::Close => Closed::ByUpstream,
            End::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                // A zero linger time cannot fail on an open socket.
                let _ = stream.set_zero_linger();
                Closed::ByUpstream
            }
            End::Open => {
                let mut buf = [0; 64];
                while matches!(stream.read(&mut buf).await, Ok(count) if count > 0) {}
                Closed::BySender
            }
            End::Repeat(text) => {
                let bytes = text.repeat(REPEATED_WRITE_BYTES.div_ceil(text.len().max(1)));
                while stream.write_all(bytes.as_bytes()).await.is_ok() {}
                Closed::BySender
            }
        }
    }
}
