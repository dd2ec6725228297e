//! Binds TCP listeners and accepts connections.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum number of established connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Delay after a failed accept. Without it, a failure that lasts, such as a lack of file
/// descriptors, would make the accept loop spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).with_context(|| format!("cannot bind {address}"))?;
    Ok(socket.listen(BACKLOG)?)
}

/// Accepts the next connection. Logs each failure and tries again after `ACCEPT_PAUSE`.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            },
        }
    }
}
