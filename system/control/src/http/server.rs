//! Accepts a bounded number of connections, and shuts them down gracefully when the process stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use salvo::conn::SocketAddr as SalvoAddress;
use salvo::http::uri::Scheme;
use salvo::{Router, Service};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Delay before the next attempt after accepting a connection has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits and time-outs of the server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// A connection that sends no complete request head for this time is closed.
    pub idle_timeout: Duration,
}

/// Serves until `stop` is true, and then until the calls in progress are answered.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    settings: ServerSettings,
    mut stop: watch::Receiver<bool>,
) {
    let service = Arc::new(Service::new(router));
    let permits = Arc::new(Semaphore::new(settings.max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let connection = Connection { service: Arc::clone(&service), settings, stop: stop.clone() };
                tokio::spawn(connection.run(stream, peer, permit));
            }
            Err(error) => {
                log::warn!(error:% = error; "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    // All permits are released once all connections have ended.
    let all_permits = u32::try_from(settings.max_connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all_permits).await;
}

struct Connection {
    service: Arc<Service>,
    settings: ServerSettings,
    stop: watch::Receiver<bool>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream, peer: SocketAddr, _permit: OwnedSemaphorePermit) {
        let Ok(local) = stream.local_addr() else { return };
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let handler = self.service.hyper_handler(
            SalvoAddress::from(local),
            SalvoAddress::from(peer),
            Scheme::HTTP,
            None,
            None,
        );
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(self.settings.idle_timeout).keep_alive(true);
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        tokio::pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => return log_connection_end(ended),
            _ = self.stop.wait_for(|stopped| *stopped) => {}
        }
        connection.as_mut().graceful_shutdown();
        log_connection_end(connection.await);
    }
}

fn log_connection_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        log::debug!(error:% = error; "connection failed");
    }
}
