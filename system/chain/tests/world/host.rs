//! One machine: its disk, its process, and the state machine that the process keeps.

use std::time::Duration;

use gingerledge_chain::{ChainEvent, ControlChain, LogRecord, MemberId};

use super::disk::{Disk, Write};
use super::ledger::mix;
use super::{millis, Happens, World};

/// A running process.
pub struct Process {
    pub chain: ControlChain,
    pub started_at: Duration,
    pub timer: Option<Duration>,
}

impl Process {
    pub fn new(chain: ControlChain, started_at: Duration) -> Self {
        Self { chain, started_at, timer: None }
    }
}

/// One machine.
pub struct Host {
    pub identity: MemberId,
    /// The identity this place had before its disk was lost.
    pub replaced: Option<MemberId>,
    pub removed: bool,
    pub life: u64,
    pub process: Option<Process>,
    pub disk: Disk,
    pub frozen_until: Option<Duration>,
    /// In trouble, or not long enough out of it, until then.
    pub lost_until: Duration,
    /// The newest epoch that this member has sealed.
    pub sealed: u64,
    applied: u64,
    hash: u64,
}

impl Host {
    pub fn new(identity: MemberId) -> Self {
        Self {
            identity,
            replaced: None,
            removed: false,
            life: 0,
            process: None,
            disk: Disk::default(),
            frozen_until: None,
            lost_until: Duration::ZERO,
            sealed: 0,
            applied: 0,
            hash: 0,
        }
    }

    pub fn is_running(&self, now: Duration) -> bool {
        self.process.is_some() && self.frozen_until.is_none_or(|until| until <= now)
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub fn apply(&mut self, index: u64, command: &[u8]) {
        assert_eq!(index, self.applied + 1, "applied out of order at {:?}", self.identity);
        self.applied = index;
        self.hash = mix(self.hash, command);
    }

    pub fn install(&mut self, index: u64, bytes: &[u8]) {
        let hash: [u8; 8] = bytes[..8].try_into().expect("a state holds its hash");
        self.applied = index;
        self.hash = u64::from_le_bytes(hash);
    }

    /// The state, with filling that makes it take several messages.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.hash.to_le_bytes().to_vec();
        bytes.resize(8 + (self.applied % 150) as usize, 7);
        bytes
    }

    /// The process ends; the state in its memory goes with it.
    pub fn stop(&mut self) {
        self.process = None;
        self.life += 1;
        self.frozen_until = None;
        self.applied = 0;
        self.hash = 0;
    }
}

impl World {
    pub fn write(&mut self, place: usize, token: u64, records: Vec<LogRecord>) {
        self.hosts[place].disk.unsynced.push(Write::Append { token, records });
        self.sync(place);
    }

    pub fn checkpoint(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        let Some(process) = &host.process else { return };
        // A host that is in the middle of its actions has applied less than the machine gave out.
        if process.chain.applied_index() != host.applied {
            return;
        }
        let state = host.encode();
        if let Some(records) = process.chain.checkpoint(state) {
            host.disk.unsynced.push(Write::Replace { records });
            self.sync(place);
        }
    }

    fn sync(&mut self, place: usize) {
        let disk = &mut self.hosts[place].disk;
        if !disk.start_sync() {
            return;
        }
        let stall = disk.stalled_until.saturating_sub(self.now);
        let delay = stall + disk.slow + Duration::from_micros(self.rng.u64(2000..6000));
        let life = self.hosts[place].life;
        self.after(delay, Happens::Synced { place, life });
    }

    pub fn synced(&mut self, place: usize, life: u64) {
        let host = &mut self.hosts[place];
        if host.life != life {
            return;
        }
        if host.disk.stalled_until > self.now {
            let delay = host.disk.stalled_until - self.now + millis(1);
            self.after(delay, Happens::Synced { place, life });
            return;
        }
        if let Some(token) = host.disk.synced() {
            self.event(place, ChainEvent::Durable { token });
        }
        self.sync(place);
    }
}
