//! The registered network addresses of backends, keyed by disk identity. A coordinator that has just started uses them to tell a
//! lost disk from a backend that has not reported yet.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gingerledge_wire::CommandOutcome;
use serde::{Deserialize, Serialize};

/// Maximum number of registered backends.
pub const MAX_BACKENDS: usize = 4_096;

/// Address of each backend, by the identity of its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAddresses {
    addresses: BTreeMap<u64, SocketAddr>,
}

impl BackendAddresses {
    /// Address at which the backend with disk identity `member` receives internal messages, if it is registered.
    #[must_use]
    pub fn get(&self, member: u64) -> Option<SocketAddr> {
        self.addresses.get(&member).copied()
    }

    /// Registers the address of the backend with disk identity `member`. If the register is full, entries of disks that hold no
    /// partitions are removed first.
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
