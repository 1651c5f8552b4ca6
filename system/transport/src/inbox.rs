//! Received messages, in a bounded channel. The task of a connection first reserves capacity and then delivers a batch; the capacity
//! is free again once the batch has been received. So connections are not read while the inbox is full (backpressure).

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::vec;

use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};

/// Capacity that an event needs in the inbox, besides its encoded bytes.
pub(crate) const EVENT_OVERHEAD_BYTES: usize = 256;

/// An event of a network.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Incoming<M> {
    /// A message arrived.
    Message {
        /// The listen address that the sender advertises.
        from: SocketAddr,
        /// The message.
        message: M,
    },
    /// The outbound connection to a peer ended or could not be established. What was sent on it may or may not have arrived.
    Lost {
        /// The peer's listen address.
        peer: SocketAddr,
        /// Whether the peer's machine responded that nothing listens there: its process has ended.
        refused: bool,
    },
}

struct Batch<M> {
    events: Vec<Incoming<M>>,
    permit: OwnedSemaphorePermit,
}

/// The receiving end: yields what arrives, in the order of each connection.
pub struct Inbox<M> {
    batches: mpsc::UnboundedReceiver<Batch<M>>,
    current: vec::IntoIter<Incoming<M>>,
    permit: Option<OwnedSemaphorePermit>,
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
            if let Some(event) = self.next_of_batch() {
                return Some(event);
            }
            let batch = self.batches.recv().await?;
            self.start_batch(batch);
        }
    }

    /// The next event, if it has already arrived.
    pub fn try_next(&mut self) -> Option<Incoming<M>> {
        loop {
            if let Some(event) = self.next_of_batch() {
                return Some(event);
            }
            match self.batches.try_recv() {
                Ok(batch) => self.start_batch(batch),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => return None,
            }
        }
    }

    fn start_batch(&mut self, batch: Batch<M>) {
        self.current = batch.events.into_iter();
        self.permit = Some(batch.permit);
    }

    fn next_of_batch(&mut self) -> Option<Incoming<M>> {
        let event = self.current.next();
        if self.current.len() == 0 {
            self.permit = None;
        }
        event
    }
}

/// The sending end.
pub(crate) struct InboxSender<M> {
    batches: mpsc::UnboundedSender<Batch<M>>,
    free_bytes: Arc<Semaphore>,
    capacity: u32,
}

impl<M> InboxSender<M> {
    /// An inbox with a capacity, and its sending end.
    pub(crate) fn channel(capacity_bytes: usize) -> (Self, Inbox<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let capacity = u32::try_from(capacity_bytes.min(Semaphore::MAX_PERMITS)).unwrap_or(u32::MAX).max(1);
        let free_bytes = Arc::new(Semaphore::new(capacity as usize));
        let inbox = Inbox { batches: receiver, current: Vec::new().into_iter(), permit: None };
        (Self { batches: sender, free_bytes, capacity }, inbox)
    }

    /// Whether the receiving end is dropped.
    pub(crate) fn is_closed(&self) -> bool {
        self.batches.is_closed()
    }

    /// Waits until the receiving end is dropped.
    pub(crate) async fn closed(&self) {
        self.batches.closed().await;
    }

    /// Waits for capacity. A batch larger than the inbox waits until it is empty.
    pub(crate) async fn reserve(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(self.capacity);
        Arc::clone(&self.free_bytes).acquire_many_owned(bytes).await.ok()
    }

    /// Delivers events. Returns false if the receiving end is dropped.
    pub(crate) fn deliver(&self, events: Vec<Incoming<M>>, permit: OwnedSemaphorePermit) -> bool {
        events.is_empty() || self.batches.send(Batch { events, permit }).is_ok()
    }

    /// Waits for capacity, and delivers the report of a lost peer.
    pub(crate) async fn report_lost(&self, peer: SocketAddr, refused: bool) {
        if let Some(permit) = self.reserve(EVENT_OVERHEAD_BYTES).await {
            self.deliver(vec![Incoming::Lost { peer, refused }], permit);
        }
    }
}
