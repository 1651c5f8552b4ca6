//! Eviction of connections when too many are open. Of idle connections, those without any request so far are evicted before
//! reused ones, each in the order of their idle time, longest first; of closing ones, the one that has lingered longest.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// Time that a new connection has for its first request before it is evicted ahead of reused ones. Connections that arrive
/// together are read one after the other: this covers several passes of a busy event loop.
pub const JUST_CONNECTED: Duration = Duration::from_millis(50);

/// A connection that may be evicted; untracked when dropped.
pub struct Tracked<'a> {
    connections: &'a ConnectionLimit,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Tracked<'_> {
    /// Resolves when the connection must close.
    pub async fn requested(&self) {
        let _ = self.woken.recv().await;
    }
}

impl Drop for Tracked<'_> {
    fn drop(&mut self) {
        let Queues { new, reused, closing } = &mut *self.connections.0.borrow_mut();
        new.retain(|(_, other)| !other.same_channel(&self.wake));
        reused.retain(|other| !other.same_channel(&self.wake));
        closing.retain(|(_, other)| !other.same_channel(&self.wake));
    }
}

#[derive(Debug, Default)]
struct Queues {
    new: VecDeque<(Instant, Sender<()>)>,
    reused: VecDeque<Sender<()>>,
    closing: VecDeque<(Instant, Sender<()>)>,
}

/// The connections of one front that may be evicted.
#[derive(Debug, Default)]
pub struct ConnectionLimit(RefCell<Queues>);

impl ConnectionLimit {
    fn track(&self, enqueue: impl FnOnce(&mut Queues, Sender<()>)) -> Tracked<'_> {
        let (wake, woken) = async_channel::bounded(1);
        enqueue(&mut self.0.borrow_mut(), wake.clone());
        Tracked { connections: self, wake, woken }
    }

    /// Tracks an idle connection without any request so far.
    pub fn track_new(&self) -> Tracked<'_> {
        self.track(|queues, wake| queues.new.push_back((Instant::now(), wake)))
    }

    /// Tracks an idle connection that carried requests before.
    pub fn track_reused(&self) -> Tracked<'_> {
        self.track(|queues, wake| queues.reused.push_back(wake))
    }

    /// Tracks a connection that is closing.
    pub fn track_closing(&self) -> Tracked<'_> {
        self.track(|queues, wake| queues.closing.push_back((Instant::now(), wake)))
    }

    /// Evicts one idle connection; false if there is none to evict.
    pub fn evict_idle(&self) -> bool {
        let queues = &mut *self.0.borrow_mut();
        // The request of a connection just accepted may have arrived without having been read yet.
        let waited = queues.new.front().is_some_and(|(since, _)| since.elapsed() >= JUST_CONNECTED);
        let longest =
            if waited { queues.new.pop_front().map(|(_, wake)| wake) } else { queues.reused.pop_front() };
        longest.is_some_and(|wake| wake.try_send(()).is_ok())
    }

    /// Number of closing connections.
    pub fn closing_count(&self) -> usize {
        self.0.borrow().closing.len()
    }

    /// Evicts one closing connection; each has had some time to read its last answer.
    pub fn evict_closing(&self) -> bool {
        let closing = &mut self.0.borrow_mut().closing;
        let waited = closing.front().is_some_and(|(since, _)| since.elapsed() >= JUST_CONNECTED);
        let longest = if waited { closing.pop_front() } else { None };
        longest.is_some_and(|(_, wake)| wake.try_send(()).is_ok())
    }
}
