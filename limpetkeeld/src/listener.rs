//! Listening sockets with `TCP_NODELAY`, and an accept loop that continues after errors.

use std::{io, net, time};

/// The maximum number of connections that wait to be accepted.
pub const MAX_BACKLOG: u32 = 1_024;

/// The delay before accepting again after a failure, which is typically a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts a connection. Failures are logged and retried after a delay.
pub async fn accept(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens for callers' connections.
///
/// Accepted connections inherit `TCP_NODELAY` from the listening socket. Without it, each small
/// event of a stream waits up to 40 ms for the acknowledgement of the previous one.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    listen_on(new_socket(address)?, address, MAX_BACKLOG)
}

/// Listens like [`listen`] for connections whose buffers in the system have a fixed size, in bytes,
/// and of which at most `backlog` wait to be accepted. Otherwise the system would let the buffers grow
/// to several megabytes for each connection.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen_with_buffers(
    address: net::SocketAddr,
    receive_len: u32,
    send_len: u32,
    backlog: u32,
) -> io::Result<tokio::net::TcpListener> {
    let socket = new_socket(address)?;
    socket.set_recv_buffer_size(receive_len)?;
    socket.set_send_buffer_size(send_len)?;
    listen_on(socket, address, backlog)
}

fn new_socket(address: net::SocketAddr) -> io::Result<tokio::net::TcpSocket> {
    match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    }
}

fn listen_on(
    socket: tokio::net::TcpSocket,
    address: net::SocketAddr,
    backlog: u32,
) -> io::Result<tokio::net::TcpListener> {
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}
