//! The task of one peer's outbound connection: opens it, writes what waits, and notices when it breaks.
//!
//! A connection that had been sound and ends with a word of the peer's machine (an end or a reset) is opened again at once: that
//! tells within a round trip a process that is gone, where nothing listens, from one that was started anew.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

use crate::links::{Opening, Work};
use crate::network::Shared;
use crate::socket;

/// How a connection that had been made ended.
enum End {
    /// It was closed from here, because it was idle or its peer was forgotten.
    Closed,
    /// The peer's machine ended or reset it.
    Answered,
    /// Nothing was heard of the peer in time, or nothing sensible.
    Silent,
}

/// Serves a link until its connection ends and that has been reported.
pub(crate) async fn run<M>(shared: Arc<Shared<M>>, peer: SocketAddr, opening: Opening) {
    let id = opening.id;
    let mut reopened = false;
    loop {
        let stream = match socket::connect(peer, &shared.settings).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("no connection to {peer}: {error}");
                shared.links().not_connected(peer, id, shared.now());
                shared.inbox.report_lost(peer, is_refusal(&error)).await;
                break;
            }
        };
        shared.links().connected(peer, id, shared.now());
        if reopened {
            shared.inbox.report_lost(peer, false).await;
        }
        let answered = match write_frames(&shared, peer, &opening, stream).await {
            End::Closed => return,
            End::Answered => true,
            End::Silent => false,
        };
        reopened = shared.links().broke(peer, id, shared.now(), answered);
        if !reopened {
            shared.inbox.report_lost(peer, false).await;
            break;
        }
    }
    shared.links().reported(peer, id);
}

/// A dead port answers the opening with a reset, which the system calls a refusal.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

/// Whether the peer's machine said that the connection has ended.
fn is_answer(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | ConnectionReset | BrokenPipe)
}

/// Writes what waits, all of it at a time, until the connection ends.
async fn write_frames<M>(
    shared: &Shared<M>,
    peer: SocketAddr,
    opening: &Opening,
    mut stream: TcpStream,
) -> End {
    let (mut reader, mut writer) = stream.split();
    let mut buffer = Vec::new();
    let mut idle = pin!(sleep(shared.settings.idle_close));
    loop {
        let work = shared.links().next_work(peer, opening.id, shared.now(), &mut buffer);
        let written = match work {
            Work::Close => return End::Closed,
            Work::Write => write_all(&mut writer, &buffer, shared).await,
            Work::Wait(limit) => {
                idle.as_mut().reset(Instant::now() + limit);
                wait(&mut reader, opening, idle.as_mut()).await
            }
        };
        if let Err(error) = written {
            log::debug!("connection to {peer} broke: {error}");
            return if is_answer(&error) { End::Answered } else { End::Silent };
        }
    }
}

/// Waits until something is queued or the link may be idle; fails if the connection ends.
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
            Ok(_) => io::Error::new(io::ErrorKind::InvalidData, "the peer sent on a connection that is not its own"),
            Err(error) => error,
        }),
        () = idle => Ok(()),
    }
}

/// Writes the whole buffer; a write that moves nothing for long fails.
async fn write_all<M>(writer: &mut WriteHalf<'_>, mut bytes: &[u8], shared: &Shared<M>) -> io::Result<()> {
    let limit = shared.settings.stall_limit();
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
