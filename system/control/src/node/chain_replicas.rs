//! Determines which session changes the other members of the control chain have acknowledged.

use std::net::SocketAddr;

use gingerledge_chain::{MemberId, Membership};
use gingerledge_wire::Key;

use super::chain_host::ChainHost;
use super::peers::PeerDirectory;
use crate::sessions::SessionReplication;

/// The other members of the chain in force, as replicas of the sessions.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChainReplicas<'a> {
    membership: Option<&'a Membership>,
    own_member: MemberId,
    directory: &'a PeerDirectory,
    replication: &'a SessionReplication,
}

impl<'a> ChainReplicas<'a> {
    pub(super) fn new(
        chain: &'a ChainHost,
        directory: &'a PeerDirectory,
        replication: &'a SessionReplication,
    ) -> Self {
        Self { membership: chain.membership(), own_member: chain.own_member(), directory, replication }
    }

    /// Epoch of the membership in force, if it is known.
    pub(super) fn epoch(&self) -> Option<u64> {
        self.membership.map(|membership| membership.epoch)
    }

    /// Whether all other members have acknowledged the newest entry of a key. A member whose address is unknown, or that is not a
    /// peer of the replication, counts as not having it.
    pub(super) fn all_have(&self, key: &Key) -> bool {
        self.all_others(|address| self.replication.is_replicated_to(address, key))
    }

    /// Whether changes are replicated to all other members. Nothing is replicated to a member that has not sent a hello yet.
    pub(super) fn are_all_connected(&self) -> bool {
        self.all_others(|address| self.replication.has_peer(address))
    }

    fn all_others(&self, predicate: impl Fn(SocketAddr) -> bool) -> bool {
        let Some(membership) = self.membership else { return false };
        let mut others = membership.chain.iter().filter(|member| **member != self.own_member);
        others.all(|member| self.directory.address(member.0).is_some_and(&predicate))
    }
}
