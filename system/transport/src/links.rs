//! The table of peers: for each its queue, the state of its connection, and when the next may be opened. Every change by a
//! connection's task carries the id of the link for which it was started, so that the task of a removed link changes nothing.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::backoff::Backoff;
use crate::drop_log::DropLog;
use crate::error::DropReason;
use crate::queue::FrameQueue;
use crate::settings::NetworkSettings;

/// Delay of the first retry after a connection fails.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Bounds the delay of retries; a connection that lasts as long counts as established.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Identifies one task of one link; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkId(u64);

/// State of the connection to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No task serves the link.
    Down,
    /// A task connects or writes.
    Open(LinkId),
    /// The connection has failed, and its task is reporting that.
    Failed(LinkId),
}

#[derive(Debug)]
struct Link {
    phase: Phase,
    queue: FrameQueue,
    backoff: Backoff,
    last_used_at: Duration,
    wake: Arc<Notify>,
    task: Option<AbortHandle>,
}

/// What a link's task does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Write the buffer.
    Write,
    /// Wait until woken, at most for this time.
    Wait(Duration),
    /// Close the connection: it was idle, and its link is removed.
    Close,
}

/// A link whose task is to be started.
#[derive(Debug)]
pub(crate) struct Opening {
    pub(crate) id: LinkId,
    pub(crate) wake: Arc<Notify>,
}

/// All peers that messages are sent to.
#[derive(Debug)]
pub(crate) struct Links {
    settings: NetworkSettings,
    hello: Vec<u8>,
    seed: u64,
    last: u64,
    queued_bytes: Arc<AtomicUsize>,
    drained: Arc<Notify>,
    links: HashMap<SocketAddr, Link>,
    drop_log: DropLog,
}

impl Links {
    /// An empty table. Each connection starts with the hello; the seed varies the delays between attempts.
    pub(crate) fn new(settings: NetworkSettings, hello: Vec<u8>, seed: u64) -> Self {
        let (queued_bytes, drained) = (Arc::default(), Arc::default());
        let (links, drop_log) = (HashMap::new(), DropLog::default());
        Self { settings, hello, seed, last: 0, queued_bytes, drained, links, drop_log }
    }

    /// Queues a message. Returns the link if its task is to be started. Reads the clock only if no connection is open, or the queue
    /// is full.
    pub(crate) fn send<T: Serialize>(
        &mut self,
        peer: SocketAddr,
        message: &T,
        now: impl Fn() -> Duration,
    ) -> Result<Option<Opening>, DropReason> {
        let queued = self.queue(peer, message, &now);
        if matches!(queued, Err(DropReason::QueueFull)) {
            self.drop_log.record(now(), peer);
        }
        queued
    }

    fn queue<T: Serialize>(
        &mut self,
        peer: SocketAddr,
        message: &T,
        now: impl Fn() -> Duration,
    ) -> Result<Option<Opening>, DropReason> {
        if !self.links.contains_key(&peer) {
            self.evict_if_full()?;
        }
        let link = self.links.entry(peer).or_insert_with(|| Link::new(peer, self.seed, &self.queued_bytes));
        match link.phase {
            Phase::Failed(_) => Err(DropReason::Backoff),
            Phase::Open(_) => link.push(message, &self.settings).map(|()| None),
            Phase::Down => {
                let now = now();
                if !link.backoff.is_ready(now) {
                    return Err(DropReason::Backoff);
                }
                link.queue.reset(&self.hello);
                if let Err(reason) = link.queue.push(message, &self.settings) {
                    link.queue.clear();
                    return Err(reason);
                }
                self.last += 1;
                let id = LinkId(self.last);
                (link.phase, link.last_used_at) = (Phase::Open(id), now);
                Ok(Some(Opening { id, wake: Arc::clone(&link.wake) }))
            }
        }
    }

    /// Notified whenever the queue of a peer becomes empty.
    pub(crate) fn drained(&self) -> Arc<Notify> {
        Arc::clone(&self.drained)
    }

    /// Whether all queues are empty and all writes have finished.
    pub(crate) fn is_drained(&self) -> bool {
        self.links.values().all(|link| link.queue.is_drained())
    }

    /// Stores the handle of a link's task, to abort it when the peer is removed.
    pub(crate) fn on_task_started(&mut self, peer: SocketAddr, id: LinkId, task: AbortHandle) {
        match self.link_of_task(peer, id) {
            Some(link) => link.task = Some(task),
            None => task.abort(),
        }
    }

    /// The link's connection is established.
    pub(crate) fn on_connected(&mut self, peer: SocketAddr, id: LinkId, now: Duration) {
        if let Some(link) = self.link_of_task(peer, id) {
            link.backoff.on_connected(now);
        }
    }

    /// Moves the queue into the buffer, whose former bytes have been written.
    pub(crate) fn next_work(
        &mut self,
        peer: SocketAddr,
        id: LinkId,
        now: Duration,
        buffer: &mut Vec<u8>,
    ) -> Work {
        let idle_close = self.settings.idle_close;
        let Some(link) = self.link_of_task(peer, id) else { return Work::Close };
        link.queue.swap_into(buffer);
        if !buffer.is_empty() {
            link.last_used_at = now;
            return Work::Write;
        }
        let idle = now.saturating_sub(link.last_used_at);
        self.drained.notify_waiters();
        if idle < idle_close {
            return Work::Wait(idle_close - idle);
        }
        self.links.remove(&peer);
        Work::Close
    }

    /// The link's connection has ended after it was established, and its queue is dropped. If the peer's machine closed it and it
    /// had lasted, it is reopened without a delay; returns whether it is.
    pub(crate) fn on_connection_ended(
        &mut self,
        peer: SocketAddr,
        id: LinkId,
        now: Duration,
        is_closed_by_peer: bool,
    ) -> bool {
        let Some(link) = self.links.get_mut(&peer).filter(|link| link.phase == Phase::Open(id)) else {
            return false;
        };
        let is_reopened = link.backoff.on_failed(now) && is_closed_by_peer;
        if is_reopened {
            link.queue.reset(&self.hello);
        } else {
            link.queue.clear();
            link.phase = Phase::Failed(id);
        }
        self.drained.notify_waiters();
        is_reopened
    }

    /// The link's connection could not be established, and its queue is dropped.
    pub(crate) fn on_connect_failed(&mut self, peer: SocketAddr, id: LinkId, now: Duration) {
        if let Some(link) = self.link_of_task(peer, id) {
            link.queue.clear();
            link.backoff.on_failed(now);
            link.phase = Phase::Failed(id);
        }
        self.drained.notify_waiters();
    }

    /// The inbox has the report of the failure, and the link's task ends.
    pub(crate) fn on_failure_reported(&mut self, peer: SocketAddr, id: LinkId) {
        if let Some(link) = self.link_of_task(peer, id) {
            link.phase = Phase::Down;
            link.task = None;
        }
    }

    /// Removes a peer: its queue is dropped and its connection closed.
    pub(crate) fn remove(&mut self, peer: SocketAddr) {
        if let Some(task) = self.links.remove(&peer).and_then(|link| link.task) {
            task.abort();
        }
        self.drained.notify_waiters();
    }

    /// Removes all peers.
    pub(crate) fn remove_all(&mut self) {
        for task in self.links.drain().filter_map(|(_, link)| link.task) {
            task.abort();
        }
    }

    /// If the table is full, removes the least recently used peer without queued messages.
    fn evict_if_full(&mut self) -> Result<(), DropReason> {
        if self.links.len() < self.settings.max_outbound {
            return Ok(());
        }
        let unused = self.links.iter().filter(|(_, link)| link.is_unused());
        let oldest = unused.min_by_key(|(_, link)| link.last_used_at).map(|(&peer, _)| peer);
        self.remove(oldest.ok_or(DropReason::TooManyPeers)?);
        Ok(())
    }

    /// The peer's link, if it is the one with this id.
    fn link_of_task(&mut self, peer: SocketAddr, id: LinkId) -> Option<&mut Link> {
        self.links
            .get_mut(&peer)
            .filter(|link| matches!(link.phase, Phase::Open(own) | Phase::Failed(own) if own == id))
    }
}

impl Link {
    fn new(peer: SocketAddr, seed: u64, queued_bytes: &Arc<AtomicUsize>) -> Self {
        let mut hasher = DefaultHasher::new();
        (seed, peer).hash(&mut hasher);
        Self {
            phase: Phase::Down,
            queue: FrameQueue::new(queued_bytes),
            backoff: Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, hasher.finish()),
            last_used_at: Duration::ZERO,
            wake: Arc::new(Notify::new()),
            task: None,
        }
    }

    /// Queues a message for the task, and wakes it if the queue was empty.
    fn push<T: Serialize>(&mut self, message: &T, settings: &NetworkSettings) -> Result<(), DropReason> {
        let was_empty = self.queue.is_empty();
        self.queue.push(message, settings)?;
        if was_empty {
            self.wake.notify_one();
        }
        Ok(())
    }

    /// Whether nothing is lost if the peer is removed.
    fn is_unused(&self) -> bool {
        match self.phase {
            Phase::Down => true,
            Phase::Open(_) => self.queue.is_drained(),
            Phase::Failed(_) => false,
        }
    }
}
