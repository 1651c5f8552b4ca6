//! The control chain's driver: gives it its events, and carries out what it wants.

use std::time::Duration;

use gingerledge_chain::{ChainAction, ChainEvent, ChainMessage, MemberId, MembershipAction};
use gingerledge_storage::WriterEvent;
use gingerledge_wire::{Command, Envelope, FreshnessTick};

use super::disk::{DiskNews, DiskRecord};
use super::submit::{decode_submission, Submission};
use super::{Node, NodeError};
use crate::state::ControlState;

/// Time between attempts to write everything anew on a disk that refuses.
const DISK_RETRY: Duration = Duration::from_millis(500);
/// Most confirmed ticks that wait until what they stand for is applied.
const MAX_UNAPPLIED_TICKS: usize = 16;

impl Node {
    pub(super) fn chain_event(&mut self, event: ChainEvent) {
        let now = self.clock.now();
        self.chain.handle(now, event, &mut self.chain_actions);
    }

    pub(super) fn take_chain_message(&mut self, from: u64, message: ChainMessage) {
        self.book.heard(self.clock.now(), from);
        self.chain_event(ChainEvent::Message { from: MemberId(from), message });
    }

    /// Carries actions out until there are none; what they lead to may bring more.
    pub(super) fn carry_out_chain_actions(&mut self) {
        while !self.chain_actions.is_empty() {
            for action in std::mem::take(&mut self.chain_actions) {
                if self.failure.is_none() {
                    self.carry_out(action);
                }
            }
        }
    }

    fn carry_out(&mut self, action: ChainAction) {
        match action {
            ChainAction::Send { to, message } => self.send_to_member(to, message),
            ChainAction::Persist { token, records } => {
                let records: Vec<DiskRecord> = records.into_iter().map(DiskRecord::Chain).collect();
                self.disk.append(&records, Some(token));
            }
            ChainAction::Apply { index, command, reply } => self.apply(index, &command, reply),
            ChainAction::TakeSnapshot => self.take_snapshot(),
            ChainAction::InstallSnapshot { index, bytes } => self.install(index, &bytes),
            ChainAction::ReadReady { token, .. } => self.finish_read(token, true),
            ChainAction::ReadFailed { token } => self.finish_read(token, false),
            ChainAction::NotHead { command, .. } | ChainAction::Busy { command } => self.not_taken(&command),
            ChainAction::View(MembershipAction::Installed { members }) => {
                log::info!("view {}: chain {:?}", members.epoch, names(&members.chain));
                let now = self.clock.now();
                self.submissions.view_changed(now);
                self.view_installed(&members);
            }
            ChainAction::View(MembershipAction::Sealed { epoch }) => self.lease_sealed(epoch),
            ChainAction::BecameInSync { epoch } => log::info!("holds all that is committed, view {epoch}"),
            ChainAction::BarrierCommitted { epoch, number, commit_index } => {
                self.confirmed_tick(FreshnessTick { epoch, number }, commit_index);
            }
        }
    }

    fn send_to_member(&mut self, to: MemberId, message: ChainMessage) {
        match self.book.address(to.0) {
            Some(address) => {
                self.messenger.send(address, Envelope::Chain { from: self.messenger.own().member, message })
            }
            None => log::debug!("member {:x} has no known address", to.0),
        }
    }

    fn apply(&mut self, sequence: u64, bytes: &[u8], reply: bool) {
        self.applied = sequence;
        let Some(Submission { request, reply_to, command }) = decode_submission(bytes) else {
            return self.fail(NodeError::Entry { sequence });
        };
        let outcome = self.state.apply(sequence, &command);
        if let Command::NameVersion { model, version } = &command {
            log::info!("version {version} of {model} is named");
        }
        if !matches!(command, Command::Noop) {
            let entries = self.state.changed_entries(&command);
            self.relay.learn(entries);
        }
        if matches!(command, Command::AllocateFencingToken { .. }) {
            self.lease_candidates();
        }
        self.pass_ticks_on();
        if reply_to == self.messenger.own().address {
            self.finish_submission(request, Some(outcome));
        } else if reply {
            self.reply_outcome(reply_to, request, outcome);
        }
    }

    fn take_snapshot(&mut self) {
        match self.state.snapshot() {
            Ok(bytes) => self.chain_event(ChainEvent::SnapshotReady { index: self.applied, bytes }),
            Err(source) => self.fail(NodeError::Snapshot { source }),
        }
    }

    fn install(&mut self, sequence: u64, bytes: &[u8]) {
        self.applied = sequence;
        match ControlState::restore(bytes) {
            Ok(state) => self.state = state,
            Err(source) => return self.fail(NodeError::Snapshot { source }),
        }
        let entries = self.state.registry_entries();
        self.relay.learn(entries);
        self.lease_candidates();
        self.pass_ticks_on();
    }

    /// A tick says that what was committed up to a number is what counts now; it goes down the tree once that is applied here.
    fn confirmed_tick(&mut self, tick: FreshnessTick, committed: u64) {
        if self.unapplied_ticks.len() >= MAX_UNAPPLIED_TICKS {
            self.unapplied_ticks.pop_front();
        }
        self.unapplied_ticks.push_back((tick, committed));
        self.pass_ticks_on();
    }

    fn pass_ticks_on(&mut self) {
        let mut newest = None;
        while let Some(&(tick, committed)) = self.unapplied_ticks.front() {
            if committed > self.applied {
                break;
            }
            newest = Some(tick);
            self.unapplied_ticks.pop_front();
        }
        if let Some(tick) = newest {
            self.relay.handle_event(gingerledge_relay::RelayEvent::Tick(tick));
        }
    }

    pub(super) fn take_disk_event(&mut self, event: WriterEvent) {
        for news in self.disk.handle(event) {
            match news {
                DiskNews::Durable(token) => self.chain_event(ChainEvent::Durable { token }),
                DiskNews::WantsSnapshot => self.write_snapshot(),
            }
        }
    }

    pub(super) fn repair_disk(&mut self, now: Duration) {
        if self.disk.is_broken() && now >= self.disk_retry {
            self.disk_retry = now + DISK_RETRY;
            self.write_snapshot();
        }
    }

    fn write_snapshot(&mut self) {
        // The state must be that of the chain's last applied entry.
        self.carry_out_chain_actions();
        let state = match self.state.snapshot() {
            Ok(state) => state,
            Err(source) => return self.fail(NodeError::Snapshot { source }),
        };
        let Some(chain) = self.chain.checkpoint(state) else { return };
        let mut records = self.own_records();
        records.extend(chain.into_iter().map(DiskRecord::Chain));
        self.disk.snapshot(&records);
    }

    /// What the node itself keeps on the disk.
    pub(super) fn own_records(&self) -> Vec<DiskRecord> {
        vec![
            DiskRecord::Identity { member: self.messenger.own().member, founders: self.founders.clone() },
            DiskRecord::Book(self.book.records()),
        ]
    }
}

fn names(members: &[MemberId]) -> Vec<String> {
    members.iter().map(|member| format!("{:x}", member.0)).collect()
}
