//! One member of the model: its process, its disk and the state of its host.

use std::time::Duration;

use gingerledge_chain::{
    AgreementMessage, ChainAction, ChainEvent, ChainMessage, ControlChain, ControlChainSettings, LogRecord,
    MemberId, MembershipAction,
};

use super::observations::Observations;

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    pub from: MemberId,
    pub to: MemberId,
    pub message: ChainMessage,
}

/// A write that is not synced yet.
#[derive(Clone, Debug)]
struct Write {
    token: u64,
    records: Vec<LogRecord>,
}

/// The data that a member loses in a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DataLoss {
    /// The process ends; all its writes are kept.
    Nothing,
    /// Power fails; writes that were not synced are lost.
    Unsynced,
    /// The disk is lost; the process returns as another member.
    Disk,
}

/// One member of the group.
#[derive(Clone, Debug)]
pub struct Node {
    pub identity: MemberId,
    pub chain: ControlChain,
    pub now: Duration,
    pub sealed_epoch: u64,
    disk: Vec<LogRecord>,
    unsynced: Vec<Write>,
    /// The state of the host: the indexes and commands of the applied entries.
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

    /// Ends the process and recovers it from the disk. It still has to be sent [`ChainEvent::Started`].
    pub fn restart(
        &mut self,
        loss: DataLoss,
        new_identity: MemberId,
        settings: &ControlChainSettings,
        observations: &mut Observations,
    ) {
        let unsynced = std::mem::take(&mut self.unsynced);
        match loss {
            // The storage syncs the data that it finds before they are read.
            DataLoss::Nothing => self.store(unsynced, observations),
            DataLoss::Unsynced => {}
            DataLoss::Disk => {
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

    /// Whether there are writes that are not synced yet.
    pub fn is_writing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// Whether the disk holds an entry, synced or not, as a record or in a snapshot.
    pub fn holds(&self, index: u64) -> bool {
        let records = self.disk.iter().chain(self.unsynced.iter().flat_map(|write| &write.records));
        records.into_iter().any(|record| match record {
            LogRecord::Entry { index: entry, .. } => *entry == index,
            LogRecord::Snapshot { index: state, .. } => *state >= index,
            _ => false,
        })
    }

    /// Passes an event to the process and carries out its actions.
    pub fn handle_event(
        &mut self,
        event: ChainEvent,
        observations: &mut Observations,
        network: &mut Vec<Envelope>,
    ) {
        let mut out = Vec::new();
        self.chain.handle(self.now, event, &mut out);
        for action in out {
            self.carry_out(action, observations, network);
        }
    }

    /// Syncs all writes.
    pub fn sync(&mut self, observations: &mut Observations, network: &mut Vec<Envelope>) {
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

    fn carry_out(
        &mut self,
        action: ChainAction,
        observations: &mut Observations,
        network: &mut Vec<Envelope>,
    ) {
        match action {
            ChainAction::Send { to, message } => {
                let envelope = Envelope { from: self.identity, to, message };
                // A second copy of a message in flight would be a duplicate, which is an action of the checker. Heartbeats are
                // delivered by the group.
                if !is_heartbeat(&envelope.message) && !network.contains(&envelope) {
                    network.push(envelope);
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
            ChainAction::View(MembershipAction::Installed { membership }) => {
                observations.on_membership_installed(&membership);
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
