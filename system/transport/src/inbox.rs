//! What has arrived, in a bounded channel. Whoever reads from connections first reserves room and then hands over a batch; the
//! room is free again once the batch has been taken. So connections are not read while the inbox is full.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::vec;

use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// What an event takes of the inbox, besides its encoded bytes.
pub(crate) const EVENT_OVERHEAD_BYTES: usize = 256;

/// Something a network tells its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming<M> {
    /// A message arrived.
    Message {
        /// The listen address that the sender told.
        from: SocketAddr,
        /// What it sent.
        message: M,
    },
    /// The outbound connection to a peer broke or could not be made. What was sent on it may or may not have arrived.
    Lost {
        /// The peer's listen address.
        peer: SocketAddr,
        /// The peer's machine answered that nothing listens there.
        refused: bool,
    },
}

struct Batch<M> {
    events: Vec<Incoming<M>>,
    room: OwnedSemaphorePermit,
}

/// The receiving end: yields what arrives, in the order of each connection.
pub struct Inbox<M> {
    batches: mpsc::UnboundedReceiver<Batch<M>>,
    current: vec::IntoIter<Incoming<M>>,
    room: Option<OwnedSemaphorePermit>,
}

impl<M> fmt::Debug for Inbox<M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Inbox").field("batches", &self.batches.len()).finish_non_exhaustive()
    }
}

impl<M> Inbox<M> {
    /// Waits for the next event; nothing more comes after the last handle of the network is dropped. Cancel safe.
    pub async fn next(&mut self) -> Option<Incoming<M>> {
        loop {
            if let Some(event) = self.take_current() {
                return Some(event);
            }
            let batch = self.batches.recv().await?;
            self.start(batch);
        }
    }

    /// The next event, if it has already arrived.
    pub fn try_next(&mut self) -> Option<Incoming<M>> {
        loop {
            if let Some(event) = self.take_current() {
                return Some(event);
            }
            match self.batches.try_recv() {
                Ok(batch) => self.start(batch),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return None,
            }
        }
    }

    fn start(&mut self, batch: Batch<M>) {
        self.current = batch.events.into_iter();
        self.room = Some(batch.room);
    }

    fn take_current(&mut self) -> Option<Incoming<M>> {
        let event = self.current.next();
        if self.current.len() == 0 {
            self.room = None;
        }
        event
    }
}

/// The sending end.
pub(crate) struct InboxSender<M> {
    batches: mpsc::UnboundedSender<Batch<M>>,
    room: Arc<Semaphore>,
    capacity: u32,
}

impl<M> InboxSender<M> {
    /// An inbox for as many bytes, and its sending end.
    pub(crate) fn channel(capacity_bytes: usize) -> (Self, Inbox<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let capacity = u32::try_from(capacity_bytes.min(Semaphore::MAX_PERMITS)).unwrap_or(u32::MAX).max(1);
        let room = Arc::new(Semaphore::new(capacity as usize));
        let inbox = Inbox { batches: receiver, current: Vec::new().into_iter(), room: None };
        (Self { batches: sender, room, capacity }, inbox)
    }

    /// Whether nobody receives any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.batches.is_closed()
    }

    /// Waits until nobody receives any more.
    pub(crate) async fn closed(&self) {
        self.batches.closed().await;
    }

    /// Waits for room. What is larger than the inbox waits until it is empty.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(self.capacity);
        Arc::clone(&self.room).acquire_many_owned(bytes).await.ok()
    }

    /// Hands events over. Returns whether anybody receives them.
    pub(crate) fn deliver(&self, events: Vec<Incoming<M>>, room: OwnedSemaphorePermit) -> bool {
        events.is_empty() || self.batches.send(Batch { events, room }).is_ok()
    }

    /// Waits for room for the news of a lost peer, and hands it over.
    pub(crate) async fn report_lost(&self, peer: SocketAddr, refused: bool) {
        if let Some(room) = self.reserve(EVENT_OVERHEAD_BYTES).await {
            self.deliver(vec![Incoming::Lost { peer, refused }], room);
        }
    }
}
