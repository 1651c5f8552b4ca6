//! Accepted connections: a bounded number of them. The first frame of each identifies its sender; then messages are read into the
//! inbox, as many at a time as have arrived. A connection with bytes that are not of this protocol is closed.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::connection::{Connection, LargeFrames};
use crate::frame::{self, FrameError, Hello, MAX_HELLO_BYTES};
use crate::inbox::{Incoming, EVENT_OVERHEAD_BYTES};
use crate::settings::NetworkSettings;
use crate::shared::Shared;
use crate::socket;

/// Time from a failed accept, for example without free descriptors, to the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Bounds the remote addresses remembered as warned about; each is logged as a warning once.
const MAX_WARNED_ADDRESSES: usize = 256;

/// Accepts connections until the inbox is dropped, and closes them then. Owns the tasks of all accepted connections.
pub(crate) async fn accept<M>(shared: Arc<Shared<M>>, listener: TcpListener)
where
    M: DeserializeOwned + Send + 'static,
{
    let senders = Arc::new(Senders::default());
    let large_frames = LargeFrames::new();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, remote)) if connections.len() < shared.settings.max_inbound => {
                    let connection = Connection::new(stream, &shared.settings, large_frames.clone());
                    connections.spawn(serve(Arc::clone(&shared), Arc::clone(&senders), connection, remote));
                }
                Ok((_, remote)) => senders.log_closed(remote, &"connection limit reached"),
                Err(error) => {
                    log::debug!("accept failed: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = shared.inbox.closed() => break,
        }
    }
    shared.links().remove_all();
}

/// Why a connection ended, other than by its sender.
#[derive(Debug, Snafu)]
enum InboundError {
    #[snafu(transparent)]
    Frame { source: FrameError },
    #[snafu(transparent)]
    Connection { source: io::Error },
}

/// Serves one connection until it ends.
async fn serve<M>(shared: Arc<Shared<M>>, senders: Arc<Senders>, connection: Connection, remote: SocketAddr)
where
    M: DeserializeOwned,
{
    match read_connection(&shared, &senders, connection).await {
        Ok(()) => {}
        Err(InboundError::Connection { source }) => {
            log::debug!(remote:%; "inbound connection failed: {source}");
        }
        Err(InboundError::Frame { source }) => senders.log_closed(remote, &source),
    }
}

/// Reads the hello, and then messages until the connection ends or its sender opens another.
async fn read_connection<M>(
    shared: &Shared<M>,
    senders: &Senders,
    mut connection: Connection,
) -> Result<(), InboundError>
where
    M: DeserializeOwned,
{
    socket::prepare_accepted(connection.stream(), &shared.settings)?;
    let Some(from) = read_hello(&mut connection, &shared.settings).await? else { return Ok(()) };
    let (registration, replaced) = senders.register(from);
    let result = tokio::select! {
        result = read_messages(shared, &mut connection, from) => result,
        _ = replaced => Ok(()),
    };
    senders.unregister(from, registration);
    result
}

/// Waits for the first frame and returns the sender's listen address, unless the connection ends before.
async fn read_hello(
    connection: &mut Connection,
    settings: &NetworkSettings,
) -> Result<Option<SocketAddr>, InboundError> {
    while connection.read(settings).await? {
        let bytes = connection.received().bytes();
        if let Some(frame) = frame::split(bytes, MAX_HELLO_BYTES)? {
            let from = frame::decode::<Hello>(frame.payload)?.sender()?;
            let consumed = bytes.len() - frame.remaining.len();
            connection.consume(consumed);
            connection.on_identified(settings);
            return Ok(Some(from));
        }
    }
    Ok(None)
}

/// Reads messages into the inbox until the connection ends.
async fn read_messages<M>(
    shared: &Shared<M>,
    connection: &mut Connection,
    from: SocketAddr,
) -> Result<(), InboundError>
where
    M: DeserializeOwned,
{
    let max_payload = shared.settings.max_frame_bytes;
    loop {
        let (complete, framing) = connection.received().complete_frames(max_payload);
        if complete.frames > 0 {
            let size = complete.bytes.saturating_add(complete.frames.saturating_mul(EVENT_OVERHEAD_BYTES));
            let Some(permit) = shared.inbox.reserve(size).await else { return Ok(()) };
            let mut events = Vec::with_capacity(complete.frames);
            let decoding = decode_all(connection.received().bytes(), max_payload, from, &mut events);
            connection.consume(complete.bytes);
            if !shared.inbox.deliver(events, permit) {
                return Ok(());
            }
            decoding?;
        }
        framing?;
        if !connection.read(&shared.settings).await? {
            return Ok(());
        }
    }
}

/// Decodes the complete frames at the front of the bytes, up to the first that is not a message.
fn decode_all<M: DeserializeOwned>(
    mut bytes: &[u8],
    max_payload: usize,
    from: SocketAddr,
    events: &mut Vec<Incoming<M>>,
) -> Result<(), FrameError> {
    while let Ok(Some(frame)) = frame::split(bytes, max_payload) {
        events.push(Incoming::Message { from, message: frame::decode(frame.payload)? });
        bytes = frame.remaining;
    }
    Ok(())
}

/// The newest connection of each sender, and the remote addresses that have been warned about.
#[derive(Default)]
struct Senders {
    table: Mutex<SenderTable>,
}

#[derive(Default)]
struct SenderTable {
    last: u64,
    newest: HashMap<SocketAddr, (u64, oneshot::Sender<()>)>,
    warned: HashSet<IpAddr>,
}

impl Senders {
    /// Makes a connection its sender's newest. The receiver of the older one ends, which closes it; what it has not read by then is
    /// dropped, so that it never arrives after messages of the newer one.
    fn register(&self, from: SocketAddr) -> (u64, oneshot::Receiver<()>) {
        let (replace, replaced) = oneshot::channel();
        let mut table = self.table();
        table.last += 1;
        let registration = table.last;
        table.newest.insert(from, (registration, replace));
        (registration, replaced)
    }

    fn unregister(&self, from: SocketAddr, registration: u64) {
        let mut table = self.table();
        if table.newest.get(&from).is_some_and(|(newest, _)| *newest == registration) {
            table.newest.remove(&from);
        }
    }

    /// Logs why a connection was closed: as a warning the first time for its address.
    fn log_closed(&self, remote: SocketAddr, reason: &dyn std::fmt::Display) {
        let first = {
            let warned = &mut self.table().warned;
            warned.len() < MAX_WARNED_ADDRESSES && warned.insert(remote.ip())
        };
        let level = if first { log::Level::Warn } else { log::Level::Debug };
        log::log!(level, remote:%; "inbound connection closed: {reason}");
    }

    fn table(&self) -> MutexGuard<'_, SenderTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
