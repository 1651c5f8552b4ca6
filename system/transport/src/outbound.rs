//! The task of one peer's outbound connection: opens it, writes the queue of its link, and detects its end.
//!
//! An established connection that the peer's machine closes or resets is reopened without a delay if it had lasted: within a round
//! trip that tells a process that has ended, where nothing listens, from one that has restarted.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

use crate::links::{Opening, Work};
use crate::shared::Shared;
use crate::socket;

/// How an established connection ended.
enum ConnectionEnd {
    /// It was closed here, because it was idle or its peer was removed.
    ClosedLocally,
    /// The peer's machine closed or reset it.
    ClosedByPeer,
    /// It timed out, or the peer violated the protocol.
    Failed,
}

/// Serves a link until its connection has ended and the inbox has the report.
pub(crate) async fn run<M>(shared: Arc<Shared<M>>, peer: SocketAddr, opening: Opening) {
    let id = opening.id;
    let mut is_reopened = false;
    loop {
        let stream = match socket::connect(peer, &shared.settings).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!(peer:%; "connect failed: {error}");
                shared.links().on_connect_failed(peer, id, shared.now());
                shared.inbox.report_lost(peer, is_refusal(&error)).await;
                break;
            }
        };
        shared.links().on_connected(peer, id, shared.now());
        if is_reopened {
            shared.inbox.report_lost(peer, false).await;
        }
        let is_closed_by_peer = match write_frames(&shared, peer, &opening, stream).await {
            ConnectionEnd::ClosedLocally => return,
            ConnectionEnd::ClosedByPeer => true,
            ConnectionEnd::Failed => false,
        };
        is_reopened = shared.links().on_connection_ended(peer, id, shared.now(), is_closed_by_peer);
        if !is_reopened {
            shared.inbox.report_lost(peer, false).await;
            break;
        }
    }
    shared.links().on_failure_reported(peer, id);
}

/// Whether the peer's machine responded that nothing listens on the port.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

/// Whether the peer's machine closed or reset the connection.
fn is_closed_by_peer(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | ConnectionReset | BrokenPipe)
}

/// Writes the queue of the link, all of it at a time, until the connection ends.
async fn write_frames<M>(
    shared: &Shared<M>,
    peer: SocketAddr,
    opening: &Opening,
    mut stream: TcpStream,
) -> ConnectionEnd {
    let (mut reader, mut writer) = stream.split();
    let mut buffer = Vec::new();
    let mut idle = pin!(sleep(shared.settings.idle_close));
    loop {
        let work = shared.links().next_work(peer, opening.id, shared.now(), &mut buffer);
        let written = match work {
            Work::Close => return ConnectionEnd::ClosedLocally,
            Work::Write => write_all(&mut writer, &buffer, shared).await,
            Work::Wait(limit) => {
                idle.as_mut().reset(Instant::now() + limit);
                wait(&mut reader, opening, idle.as_mut()).await
            }
        };
        if let Err(error) = written {
            log::debug!(peer:%; "outbound connection failed: {error}");
            return if is_closed_by_peer(&error) {
                ConnectionEnd::ClosedByPeer
            } else {
                ConnectionEnd::Failed
            };
        }
    }
}

/// Waits until a message is queued or the idle timer expires; fails if the connection ends.
async fn wait(
    reader: &mut ReadHalf<'_>,
    opening: &Opening,
    idle: std::pin::Pin<&mut Sleep>,
) -> io::Result<()> {
    let mut unexpected = [0u8; 1];
    tokio::select! {
        biased;
        () = opening.wake.notified() => Ok(()),
        read = reader.read(&mut unexpected) => Err(match read {
            Ok(0) => io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => io::Error::new(io::ErrorKind::InvalidData, "the peer sent data on a one-way connection"),
            Err(error) => error,
        }),
        () = idle => Ok(()),
    }
}

/// Writes the whole buffer; fails if a write makes no progress within the stall time-out.
async fn write_all<M>(writer: &mut WriteHalf<'_>, mut bytes: &[u8], shared: &Shared<M>) -> io::Result<()> {
    let limit = shared.settings.stall_timeout();
    while !bytes.is_empty() {
        let written = match tokio::time::timeout(limit, writer.write(bytes)).await {
            Ok(written) => written?,
            Err(_elapsed) => return Err(io::ErrorKind::TimedOut.into()),
        };
        bytes = match bytes.get(written..) {
            Some(rest) if written > 0 => rest,
            _ => return Err(io::ErrorKind::WriteZero.into()),
        };
    }
    Ok(())
}
