//! The ids of the requests that one connection has carried.
//!
//! A store echoes the id of a request in its response, and may send a response again later, in front of that to the next request on
//! the connection. The id tells them apart only if the two requests differ in it, and the attempts of one request do not. So a
//! connection never carries two requests with the same id.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of requests after which a connection is closed, since the ids of more are not kept.
const MAX_CARRIED_IDS: usize = 256;

/// The hashes of the ids that a connection has carried. Two ids with the same hash count as one, which only costs a connection.
#[derive(Debug, Default)]
pub(super) struct CarriedIds {
    hashes: Vec<IdHash>,
}

/// Hash of the id of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IdHash(u64);

impl IdHash {
    /// The hash of an id.
    pub(super) fn new(id: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl CarriedIds {
    /// Adds the id of a request that is sent on the connection.
    pub(super) fn add(&mut self, id: IdHash) {
        self.hashes.push(id);
    }

    /// Whether a request with this id may be sent on the connection.
    pub(super) fn permits(&self, id: IdHash) -> bool {
        !self.is_full() && !self.hashes.contains(&id)
    }

    /// Whether the connection may carry no further request, whatever its id.
    pub(super) fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_CARRIED_IDS
    }
}
