//! What the simulated voters replicate, and the bounds they do it in: small, so that snapshots are frequent.

use gingerledge_agreement::{Bounds, Machine, Unreadable};

/// Remembers each command with its index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diary {
    pub seen: Vec<(u64, Vec<u8>)>,
}

impl Machine for Diary {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.seen.push((index, command.to_vec()));
        [&index.to_le_bytes(), command].concat()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.seen).unwrap()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), Unreadable> {
        self.seen = postcard::from_bytes(bytes).map_err(|error| Unreadable(error.to_string()))?;
        Ok(())
    }
}

pub fn bounds() -> Bounds {
    Bounds {
        tick_ms: 20.0,
        heartbeat_ticks: 2,
        election_ticks: 8,
        command_most: 64,
        compact_entries: 10,
        keep_entries: 3,
        proposals_most: 32,
        reads_most: 32,
        read_ms: 1_500.0,
        ..Bounds::default()
    }
}
