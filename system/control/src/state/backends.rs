//! Where the disks of backends are, so that a coordinator that has just started tells a lost disk from a silent backend.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gingerledge_wire::CommandOutcome;
use serde::{Deserialize, Serialize};

/// Most registered backends.
pub const MAX_BACKENDS: usize = 4_096;

/// The address of each backend's disk, by its identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAddresses {
    addresses: BTreeMap<u64, SocketAddr>,
}

impl BackendAddresses {
    /// Where the backend with this disk receives messages, if it is registered.
    #[must_use]
    pub fn get(&self, member: u64) -> Option<SocketAddr> {
        self.addresses.get(&member).copied()
    }

    /// Registers the address of a disk. Where the register is full, disks without partitions are removed.
    pub(super) fn register(
        &mut self,
        member: u64,
        address: SocketAddr,
        has_partitions: impl Fn(u64) -> bool,
    ) -> CommandOutcome {
        if self.addresses.len() >= MAX_BACKENDS {
            self.addresses.retain(|member, _| has_partitions(*member));
        }
        if self.addresses.len() >= MAX_BACKENDS && !self.addresses.contains_key(&member) {
            return CommandOutcome::Invalid { reason: "too many backends".to_owned() };
        }
        self.addresses.insert(member, address);
        CommandOutcome::Applied
    }
}
