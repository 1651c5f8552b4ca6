//! A store that can be a part of a model's state: compared and hashed by all that it goes by.

use gingerledge_blocks::{wire, Holdings};

#[derive(Clone, Debug)]
pub struct Store(pub Holdings);

impl Store {
    /// Its blocks, those it let go, the last order of each, and how many entries ran or came with a copy.
    fn shown(&self) -> (Vec<u8>, usize) {
        (wire::encode(&self.0.durable_state()), self.0.entries().len())
    }
}

impl PartialEq for Store {
    fn eq(&self, other: &Self) -> bool {
        self.shown() == other.shown()
    }
}

impl Eq for Store {}

impl std::hash::Hash for Store {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.shown().hash(state);
    }
}
