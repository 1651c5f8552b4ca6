//! Who makes room when too many connections are open: a connection on which nothing is asked, the one that has waited longest
//! first, those that never asked before those that did; and of those being ended, the one that has lingered longest.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// A connection is given so long for its first request before it makes room ahead of one that has asked. A crowd comes in over
/// one listener and is read in turn: this is some turns of a busy thread, and no setting says more of it.
pub const JUST_CONNECTED: Duration = Duration::from_millis(50);

/// A connection that stands in the crowd; it leaves when dropped.
pub struct Stands<'a> {
    crowd: &'a Crowd,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Stands<'_> {
    /// Resolves once it is to make room.
    pub async fn wanted(&self) {
        let _ = self.woken.recv().await;
    }
}

impl Drop for Stands<'_> {
    fn drop(&mut self) {
        let Queues { fresh, kept, ending } = &mut *self.crowd.0.borrow_mut();
        fresh.retain(|(_, other)| !other.same_channel(&self.wake));
        kept.retain(|other| !other.same_channel(&self.wake));
        ending.retain(|(_, other)| !other.same_channel(&self.wake));
    }
}

#[derive(Debug, Default)]
struct Queues {
    fresh: VecDeque<(Instant, Sender<()>)>,
    kept: VecDeque<Sender<()>>,
    ending: VecDeque<(Instant, Sender<()>)>,
}

/// The crowd of one front.
#[derive(Debug, Default)]
pub struct Crowd(RefCell<Queues>);

impl Crowd {
    fn stands(&self, place: impl FnOnce(&mut Queues, Sender<()>)) -> Stands<'_> {
        let (wake, woken) = async_channel::bounded(1);
        place(&mut self.0.borrow_mut(), wake.clone());
        Stands { crowd: self, wake, woken }
    }

    /// One that has not asked yet.
    pub fn fresh(&self) -> Stands<'_> {
        self.stands(|queues, wake| queues.fresh.push_back((Instant::now(), wake)))
    }

    /// One that has asked before.
    pub fn kept(&self) -> Stands<'_> {
        self.stands(|queues, wake| queues.kept.push_back(wake))
    }

    /// One that is being ended.
    pub fn ending(&self) -> Stands<'_> {
        self.stands(|queues, wake| queues.ending.push_back((Instant::now(), wake)))
    }

    /// Has one make room that asks nothing.
    pub fn make_room(&self) -> bool {
        let queues = &mut *self.0.borrow_mut();
        // Guards who has just connected, in a crowd that asks and stays: its request may be here, and not read yet.
        let waited = queues.fresh.front().is_some_and(|(since, _)| since.elapsed() >= JUST_CONNECTED);
        let longest =
            if waited { queues.fresh.pop_front().map(|(_, wake)| wake) } else { queues.kept.pop_front() };
        longest.is_some_and(|wake| wake.try_send(()).is_ok())
    }

    /// How many are being ended.
    pub fn ends(&self) -> usize {
        self.0.borrow().ending.len()
    }

    /// Has one go at once that is being ended; each has a moment to read what it was told.
    pub fn hurry(&self) -> bool {
        let ending = &mut self.0.borrow_mut().ending;
        let waited = ending.front().is_some_and(|(since, _)| since.elapsed() >= JUST_CONNECTED);
        let longest = if waited { ending.pop_front() } else { None };
        longest.is_some_and(|(_, wake)| wake.try_send(()).is_ok())
    }
}
