//! A store as a part of a model's state, compared and hashed by everything that determines its behaviour.

use gingerledge_blocks::{wire, Holdings};

#[derive(Clone, Debug)]
pub struct ModelStore(pub Holdings);

impl ModelStore {
    /// Returns the encoded durable state (blocks, deleted blocks, and the last order of each) and the number of
    /// entries.
    fn identity(&self) -> (Vec<u8>, usize) {
        (wire::encode(&self.0.durable_state()), self.0.entries().len())
    }
}

impl PartialEq for ModelStore {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for ModelStore {}

impl std::hash::Hash for ModelStore {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}
