//! One member's process and its disk, as the checker sees them.

use std::time::Duration;

use gingerledge_chain::{
    AgreementMessage, ChainAction, ChainEvent, ChainMessage, ControlChain, ControlChainSettings, LogRecord,
    MemberId, MembershipAction,
};

use super::observations::Observations;

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sent {
    pub from: MemberId,
    pub to: MemberId,
    pub message: ChainMessage,
}

/// Something written and not synced.
#[derive(Clone, Debug)]
struct Write {
    token: u64,
    records: Vec<LogRecord>,
}

/// What a fault leaves of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The process ends; all that it wrote is there.
    Nothing,
    /// Power is lost, and everything that was not synced.
    Unsynced,
    /// The disk is gone: what comes back is another member.
    Disk,
}

/// One member.
#[derive(Clone, Debug)]
pub struct Node {
    pub identity: MemberId,
    pub chain: ControlChain,
    pub now: Duration,
    pub sealed_epoch: u64,
    disk: Vec<LogRecord>,
    unsynced: Vec<Write>,
    /// The host's state: the numbers and commands applied.
    state: Vec<(u64, Vec<u8>)>,
    incarnation: u64,
}

impl Node {
    pub fn founder(identity: MemberId, founders: &[MemberId], settings: &ControlChainSettings) -> Self {
        let chain = ControlChain::bootstrap(identity, founders.to_vec(), settings.clone(), identity.0);
        Self {
            identity,
            chain,
            now: Duration::ZERO,
            sealed_epoch: 0,
            disk: Vec::new(),
            unsynced: Vec::new(),
            state: Vec::new(),
            incarnation: 0,
        }
    }

    /// Ends the process, and makes it ready to start again.
    pub fn restart(
        &mut self,
        loss: Loss,
        new_identity: MemberId,
        settings: &ControlChainSettings,
        observations: &mut Observations,
    ) {
        let unsynced = std::mem::take(&mut self.unsynced);
        match loss {
            // The storage syncs what it finds before anybody reads it.
            Loss::Nothing => self.store(unsynced, observations),
            Loss::Unsynced => {}
            Loss::Disk => {
                self.disk.clear();
                self.identity = new_identity;
            }
        }
        self.incarnation += 1;
        self.state.clear();
        self.sealed_epoch = 0;
        let seed = self.identity.0 * 100 + self.incarnation;
        self.chain = ControlChain::recover(self.identity, self.disk.clone(), settings.clone(), seed);
    }

    /// Whether something is being written.
    pub fn is_writing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Whether the disk holds an entry, by itself or in a snapshot.
    pub fn holds(&self, index: u64) -> bool {
        let records = self.disk.iter().chain(self.unsynced.iter().flat_map(|write| &write.records));
        records.into_iter().any(|record| match record {
            LogRecord::Entry { index: entry, .. } => *entry == index,
            LogRecord::Snapshot { index: state, .. } => *state >= index,
            _ => false,
        })
    }

    /// Gives an event to the process, and carries out its actions.
    pub fn handle_event(
        &mut self,
        event: ChainEvent,
        observations: &mut Observations,
        network: &mut Vec<Sent>,
    ) {
        let mut out = Vec::new();
        self.chain.handle(self.now, event, &mut out);
        for action in out {
            self.carry_out(action, observations, network);
        }
    }

    /// All that was written is synced.
    pub fn sync(&mut self, observations: &mut Observations, network: &mut Vec<Sent>) {
        let writes = std::mem::take(&mut self.unsynced);
        let Some(token) = writes.last().map(|write| write.token) else { return };
        self.store(writes, observations);
        self.handle_event(ChainEvent::Durable { token }, observations, network);
    }

    fn store(&mut self, writes: Vec<Write>, observations: &mut Observations) {
        for record in writes.into_iter().flat_map(|write| write.records) {
            match &record {
                LogRecord::Entry { index, .. } => observations.on_synced(self.identity, *index),
                LogRecord::Snapshot { index, .. } => {
                    (1..=*index).for_each(|entry| observations.on_synced(self.identity, entry));
                }
                _ => {}
            }
            self.disk.push(record);
        }
    }

    fn carry_out(&mut self, action: ChainAction, observations: &mut Observations, network: &mut Vec<Sent>) {
        match action {
            ChainAction::Send { to, message } => {
                let sent = Sent { from: self.identity, to, message };
                // A second copy of a message in flight is a repetition, which the checker chooses itself.
                if !is_heartbeat(&sent.message) && !network.contains(&sent) {
                    network.push(sent);
                }
            }
            ChainAction::Persist { token, records } => self.unsynced.push(Write { token, records }),
            ChainAction::Apply { index, command, should_reply } => {
                observations.on_applied(index, &command, should_reply);
                self.state.push((index, command));
            }
            ChainAction::TakeSnapshot => {
                let index = self.state.last().map_or(0, |(index, _)| *index);
                let bytes = encode(&self.state);
                self.handle_event(ChainEvent::SnapshotReady { index, bytes }, observations, network);
            }
            ChainAction::InstallSnapshot { bytes, .. } => self.state = decode(&bytes),
            ChainAction::ReadReady { token, index } => observations.on_read_ready(token, index),
            ChainAction::View(MembershipAction::Installed { members }) => {
                observations.on_membership_installed(&members);
            }
            ChainAction::View(MembershipAction::Sealed { epoch }) => {
                self.sealed_epoch = self.sealed_epoch.max(epoch);
            }
            ChainAction::ReadFailed { .. }
            | ChainAction::NotHead { .. }
            | ChainAction::Busy { .. }
            | ChainAction::BecameInSync { .. }
            | ChainAction::BarrierCommitted { .. } => {}
        }
    }
}

fn is_heartbeat(message: &ChainMessage) -> bool {
    matches!(message, ChainMessage::Agreement(AgreementMessage::Heartbeat(_)))
}

fn encode(state: &[(u64, Vec<u8>)]) -> Vec<u8> {
    state.iter().flat_map(|(index, command)| [*index as u8, command.first().copied().unwrap_or(0)]).collect()
}

fn decode(bytes: &[u8]) -> Vec<(u64, Vec<u8>)> {
    bytes.chunks(2).map(|pair| (u64::from(pair[0]), vec![pair[1]])).collect()
}
