//! The log of changed keys, in order. A change is kept until it has been sent to every child.

use std::collections::VecDeque;

use gingerledge_wire::Key;

/// The latest changes. All children share this log and read it at positions of their own.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    keys: VecDeque<Key>,
    /// Position of the first change in `keys`.
    start: u64,
    max_changes: usize,
}

impl ChangeLog {
    /// Creates an empty log that holds at most `max_changes` changes.
    pub(crate) fn new(max_changes: usize) -> Self {
        Self { keys: VecDeque::new(), start: 0, max_changes }
    }

    /// The position after the last change.
    pub(crate) fn end(&self) -> u64 {
        self.start + self.keys.len() as u64
    }

    /// Appends a change; drops the oldest one if the log is full.
    pub(crate) fn push(&mut self, key: Key) {
        self.keys.push_back(key);
        if self.keys.len() > self.max_changes {
            self.keys.pop_front();
            self.start += 1;
        }
    }

    /// The changes from a position on; `None` if changes from that position have already been dropped.
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
