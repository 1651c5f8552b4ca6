//! The keys that changed, in order, for as long as a child may still have to be sent them.

use std::collections::VecDeque;

use gingerledge_wire::Key;

/// The latest changes; all children read from this one log.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    keys: VecDeque<Key>,
    start: u64,
    max_changes: usize,
}

impl ChangeLog {
    /// An empty log of at most so many changes.
    pub(crate) fn new(max_changes: usize) -> Self {
        Self { keys: VecDeque::new(), start: 0, max_changes }
    }

    /// The position after the last change.
    pub(crate) fn end(&self) -> u64 {
        self.start + self.keys.len() as u64
    }

    /// Adds a change; the oldest one is dropped if there are too many.
    pub(crate) fn push(&mut self, key: Key) {
        self.keys.push_back(key);
        if self.keys.len() > self.max_changes {
            self.keys.pop_front();
            self.start += 1;
        }
    }

    /// The changes from a position on; none if the log doesn't reach back so far.
    pub(crate) fn since(&self, position: u64) -> Option<impl Iterator<Item = &Key>> {
        let skip = usize::try_from(position.checked_sub(self.start)?).ok()?;
        Some(self.keys.iter().skip(skip))
    }

    /// Drops the changes before a position.
    pub(crate) fn trim(&mut self, position: u64) {
        while self.start < position && self.keys.pop_front().is_some() {
            self.start += 1;
        }
    }
}
