//! Accepts connections, a bounded number at a time, and closes those that rest once the process is told to stop.

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

/// Bounds of the server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Most connections at a time.
    pub connections: usize,
    /// A connection that sends no head for this long is closed.
    pub idle: Duration,
}

/// Serves until `stop` says so, and then until the calls under way are answered.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    settings: ServerSettings,
    mut stop: watch::Receiver<bool>,
) {
    let service = Arc::new(Service::new(router));
    let permits = Arc::new(Semaphore::new(settings.connections));
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
                log::warn!("accepting failed: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    drop(listener);
    // All permits are back once all connections have ended.
    let all = u32::try_from(settings.connections).unwrap_or(u32::MAX);
    let _ = permits.acquire_many(all).await;
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
        builder.timer(TokioTimer::new()).header_read_timeout(self.settings.idle).keep_alive(true);
        let connection = builder.serve_connection(TokioIo::new(stream), handler);
        tokio::pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => return log_end(ended),
            _ = self.stop.wait_for(|stopped| *stopped) => {}
        }
        connection.as_mut().graceful_shutdown();
        log_end(connection.await);
    }
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        log::debug!("a connection broke: {error}");
    }
}
