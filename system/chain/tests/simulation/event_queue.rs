//! A queue of events ordered by time. Events of the same time are ordered as they were added.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// The queue of future events.
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
    added: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        Self { order: BinaryHeap::new(), events: BTreeMap::new(), added: 0 }
    }

    pub fn add(&mut self, at: Duration, event: E) {
        self.added += 1;
        self.events.insert(self.added, event);
        self.order.push(Reverse((at, self.added)));
    }

    /// Removes the next event, unless it comes after `end`.
    pub fn pop_until(&mut self, end: Duration) -> Option<(Duration, E)> {
        self.order.peek().filter(|Reverse((at, _))| *at <= end)?;
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
