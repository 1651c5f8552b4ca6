//! The replicated state machine of a simulated host: its state is a hash of all commands in order.

use gingerledge_chain::MemberId;

/// The hash of a state after one more command.
pub fn hash_command(hash: u64, command: &[u8]) -> u64 {
    command
        .iter()
        .fold(hash ^ 0x9e37_79b9, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// The state in the memory of a process.
#[derive(Default)]
pub struct StateMachine {
    applied_index: u64,
    hash: u64,
}

impl StateMachine {
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub fn apply(&mut self, seed: u64, member: MemberId, index: u64, command: &[u8]) {
        assert_eq!(index, self.applied_index + 1, "seed {seed}: {member:?} applied out of order");
        self.applied_index = index;
        self.hash = hash_command(self.hash, command);
    }

    pub fn install(&mut self, index: u64, bytes: &[u8]) {
        let hash: [u8; 8] = bytes[..8].try_into().expect("a state holds its hash");
        self.applied_index = index;
        self.hash = u64::from_le_bytes(hash);
    }

    /// Encodes the state, with padding so that it takes several messages.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.hash.to_le_bytes().to_vec();
        bytes.resize(8 + (self.applied_index % 150) as usize, 7);
        bytes
    }
}
