//! Tokens that identify the reads through the chain of one partition.

/// Identifies a read through the chain ([`gingerledge_chain::ReplicaEvent::Read`]).
pub(super) type ReadToken = u64;

/// Allocates tokens in ascending order.
#[derive(Debug, Default)]
pub(super) struct ReadTokens {
    last: ReadToken,
}

impl ReadTokens {
    pub(super) fn allocate(&mut self) -> ReadToken {
        self.last += 1;
        self.last
    }
}
