//! Which keys changed, in order, for as long as a child may still need to hear of them.

use std::collections::VecDeque;

use gingerledge_wire::Key;

/// The latest changes; all children read from this one log.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    keys: VecDeque<Key>,
    start: u64,
    most: usize,
}

impl ChangeLog {
    /// An empty log that keeps at most so many changes.
    pub fn new(most: usize) -> Self {
        Self { keys: VecDeque::new(), start: 0, most }
    }

    /// The position after the last change.
    pub fn end(&self) -> u64 {
        self.start + self.keys.len() as u64
    }

    /// Notes a change; the oldest one goes if there are too many.
    pub fn push(&mut self, key: Key) {
        self.keys.push_back(key);
        if self.keys.len() > self.most {
            self.keys.pop_front();
            self.start += 1;
        }
    }

    /// The changes from a position on; none if the log doesn't reach back so far.
    pub fn since(&self, position: u64) -> Option<impl Iterator<Item = &Key>> {
        let skip = usize::try_from(position.checked_sub(self.start)?).ok()?;
        Some(self.keys.iter().skip(skip))
    }

    /// Lets go of what lies before a position.
    pub fn trim(&mut self, position: u64) {
        while self.start < position && self.keys.pop_front().is_some() {
            self.start += 1;
        }
    }
}
