//! Listening sockets: their connections send without delay, and failures to accept are survived.

use std::{io, net, time};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// The pause after a connection could not be accepted, for lack of descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Accepts a connection; a failure is logged, and the next try waits a moment.
pub async fn accept(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Listens for connections of callers.
///
/// Accepted connections take over `TCP_NODELAY` from the listening socket. Without it each small
/// event of a stream waits for the acknowledgement of the last, up to 40 ms.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
