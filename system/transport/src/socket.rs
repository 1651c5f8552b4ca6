//! Sockets with the options that every connection between nodes has.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::settings::NetworkSettings;

/// Connections that the system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// The system counts keepalive times in whole seconds.
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Listens on the node's own address.
pub(crate) fn listen(settings: &NetworkSettings) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(settings.listen)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Opens a connection; one that is not established in time fails with [`io::ErrorKind::TimedOut`].
pub(crate) async fn connect(peer: SocketAddr, settings: &NetworkSettings) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    set_options(SockRef::from(&socket), settings)?;
    match tokio::time::timeout(settings.connect_timeout, socket.connect(peer)).await {
        Ok(connected) => connected,
        Err(_elapsed) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Sets the options of an accepted connection.
pub(crate) fn prepare_accepted(stream: &TcpStream, settings: &NetworkSettings) -> io::Result<()> {
    set_options(SockRef::from(stream), settings)
}

fn set_options(socket: SockRef<'_>, settings: &NetworkSettings) -> io::Result<()> {
    let interval = settings.user_timeout.max(MIN_KEEPALIVE_INTERVAL);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(MIN_KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(settings.user_timeout))?;
    socket.set_tcp_keepalive(&keepalive)
}
