//! The table of peers: for each its queue, how its connection stands, and when the next may be opened. Every change that a
//! connection's task makes names the link it was started for, so that the task of a link that was forgotten changes nothing.

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
use crate::error::DropReason;
use crate::queue::FrameQueue;
use crate::settings::NetworkSettings;

const FIRST_RETRY: Duration = Duration::from_millis(50);
const LONGEST_RETRY: Duration = Duration::from_secs(1);

/// Names one task of one link; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LinkId(u64);

/// How the connection to a peer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No task serves the link.
    Down,
    /// A task opens a connection or writes to it.
    Open(LinkId),
    /// The connection failed; its task still has to report it.
    Failed(LinkId),
}

#[derive(Debug)]
struct Link {
    phase: Phase,
    queue: FrameQueue,
    backoff: Backoff,
    used: Duration,
    wake: Arc<Notify>,
    task: Option<AbortHandle>,
}

/// What a link's task is to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// Write the buffer.
    Write,
    /// Wait until woken, at most for the given time.
    Wait(Duration),
    /// Close the connection: it is idle, and the peer has been forgotten.
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
}

impl Links {
    /// An empty table. Each connection starts with the hello; the seed varies the delays between attempts.
    pub(crate) fn new(settings: NetworkSettings, hello: Vec<u8>, seed: u64) -> Self {
        let (queued_bytes, drained) = (Arc::default(), Arc::default());
        Self { settings, hello, seed, last: 0, queued_bytes, drained, links: HashMap::new() }
    }

    /// Queues a message. Returns the link if a task is to be started for it. The time is asked only where no connection is open.
    pub(crate) fn send<T: Serialize>(
        &mut self,
        peer: SocketAddr,
        message: &T,
        now: impl FnOnce() -> Duration,
    ) -> Result<Option<Opening>, DropReason> {
        if !self.links.contains_key(&peer) {
            self.make_room()?;
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
                link.queue.restart(&self.hello);
                if let Err(reason) = link.queue.push(message, &self.settings) {
                    link.queue.clear();
                    return Err(reason);
                }
                self.last += 1;
                let id = LinkId(self.last);
                (link.phase, link.used) = (Phase::Open(id), now);
                Ok(Some(Opening { id, wake: Arc::clone(&link.wake) }))
            }
        }
    }

    /// What is told whenever nothing waits for some peer any more.
    pub(crate) fn drained(&self) -> Arc<Notify> {
        Arc::clone(&self.drained)
    }

    /// Whether nothing waits for any peer.
    pub(crate) fn is_settled(&self) -> bool {
        self.links.values().all(|link| link.queue.is_settled())
    }

    /// Keeps the handle of a link's task, to end it when the peer is forgotten.
    pub(crate) fn started(&mut self, peer: SocketAddr, id: LinkId, task: AbortHandle) {
        match self.own(peer, id) {
            Some(link) => link.task = Some(task),
            None => task.abort(),
        }
    }

    /// The link's connection was made.
    pub(crate) fn connected(&mut self, peer: SocketAddr, id: LinkId, now: Duration) {
        if let Some(link) = self.own(peer, id) {
            link.backoff.connected(now);
        }
    }

    /// Moves what waits into the buffer, whose former bytes have been written.
    pub(crate) fn next_work(
        &mut self,
        peer: SocketAddr,
        id: LinkId,
        now: Duration,
        buffer: &mut Vec<u8>,
    ) -> Work {
        let idle_close = self.settings.idle_close;
        let Some(link) = self.own(peer, id) else { return Work::Close };
        link.queue.take(buffer);
        if !buffer.is_empty() {
            link.used = now;
            return Work::Write;
        }
        let idle = now.saturating_sub(link.used);
        self.drained.notify_waiters();
        if idle < idle_close {
            return Work::Wait(idle_close - idle);
        }
        self.links.remove(&peer);
        Work::Close
    }

    /// The link's connection broke after it was made, and its queue is dropped. Where the peer's machine answered with that, a
    /// sound connection is opened again at once; returns whether it is.
    pub(crate) fn broke(&mut self, peer: SocketAddr, id: LinkId, now: Duration, answered: bool) -> bool {
        let Some(link) = self.links.get_mut(&peer).filter(|link| link.phase == Phase::Open(id)) else {
            return false;
        };
        let reopen = link.backoff.failed(now) && answered;
        if reopen {
            link.queue.restart(&self.hello);
        } else {
            link.queue.clear();
            link.phase = Phase::Failed(id);
        }
        self.drained.notify_waiters();
        reopen
    }

    /// The link's connection could not be made, and its queue is dropped.
    pub(crate) fn not_connected(&mut self, peer: SocketAddr, id: LinkId, now: Duration) {
        if let Some(link) = self.own(peer, id) {
            link.queue.clear();
            link.backoff.failed(now);
            link.phase = Phase::Failed(id);
        }
        self.drained.notify_waiters();
    }

    /// The failure has been reported, and the link's task ends.
    pub(crate) fn reported(&mut self, peer: SocketAddr, id: LinkId) {
        if let Some(link) = self.own(peer, id) {
            link.phase = Phase::Down;
            link.task = None;
        }
    }

    /// Forgets a peer: its queue is dropped and its connection closed.
    pub(crate) fn forget(&mut self, peer: SocketAddr) {
        if let Some(task) = self.links.remove(&peer).and_then(|link| link.task) {
            task.abort();
        }
        self.drained.notify_waiters();
    }

    /// Forgets all peers.
    pub(crate) fn forget_all(&mut self) {
        for task in self.links.drain().filter_map(|(_, link)| link.task) {
            task.abort();
        }
    }

    /// Where the table is full, forgets the peer without queue that was written to longest ago.
    fn make_room(&mut self) -> Result<(), DropReason> {
        if self.links.len() < self.settings.max_outbound {
            return Ok(());
        }
        let unused = self.links.iter().filter(|(_, link)| link.is_unused());
        let oldest = unused.min_by_key(|(_, link)| link.used).map(|(&peer, _)| peer);
        self.forget(oldest.ok_or(DropReason::TooManyPeers)?);
        Ok(())
    }

    /// The peer's link, if the task that asks is the one that serves it.
    fn own(&mut self, peer: SocketAddr, id: LinkId) -> Option<&mut Link> {
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
            backoff: Backoff::new(FIRST_RETRY, LONGEST_RETRY, hasher.finish()),
            used: Duration::ZERO,
            wake: Arc::new(Notify::new()),
            task: None,
        }
    }

    /// Queues a message for the task, and wakes it where it may wait.
    fn push<T: Serialize>(&mut self, message: &T, settings: &NetworkSettings) -> Result<(), DropReason> {
        let was_empty = self.queue.is_empty();
        self.queue.push(message, settings)?;
        if was_empty {
            self.wake.notify_one();
        }
        Ok(())
    }

    /// Whether nothing is lost if the peer is forgotten.
    fn is_unused(&self) -> bool {
        match self.phase {
            Phase::Down => true,
            Phase::Open(_) => self.queue.is_settled(),
            Phase::Failed(_) => false,
        }
    }
}
