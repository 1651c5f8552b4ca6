//! Routes the actions of the control chain to the components that carry them out, and the events of the disk back to the chain.

use gingerledge_chain::{ChainAction, ChainEvent, ChainMessage, MemberId, Membership, MembershipAction};
use gingerledge_relay::RelayEvent;
use gingerledge_storage::WriterEvent;
use gingerledge_wire::{Command, CommandOutcome, Envelope, FreshnessTick};

use crate::node::disk::DiskOutput;
use crate::node::submitted_command::SubmittedCommand;
use crate::node::{Node, NodeError};

impl Node {
    pub(in crate::node) fn on_chain_message(&mut self, from: u64, message: ChainMessage) {
        self.peers.on_chain_message(self.clock.now(), from);
        self.chain.on_message(from, message);
    }

    /// Carries out the chain's actions until none are left, since carrying out one may produce others.
    pub(in crate::node) fn process_chain_actions(&mut self) {
        loop {
            let actions = self.chain.poll_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                if self.failure.is_some() {
                    continue;
                }
                if let Err(failure) = self.process_chain_action(action) {
                    self.fail(failure);
                }
            }
        }
    }

    fn process_chain_action(&mut self, action: ChainAction) -> Result<(), NodeError> {
        match action {
            ChainAction::Send { to, message } => self.send_to_member(to, message),
            ChainAction::Persist { token, records } => self.disk.append_chain(records, token),
            ChainAction::Apply { index, command, should_reply } => {
                self.apply(index, &command, should_reply)?;
            }
            ChainAction::TakeSnapshot => self.chain.provide_snapshot()?,
            ChainAction::InstallSnapshot { index, bytes } => self.install_snapshot(index, &bytes)?,
            ChainAction::ReadReady { token, .. } => self.on_read_finished(token, true),
            ChainAction::ReadFailed { token } => self.on_read_finished(token, false),
            ChainAction::NotHead { command, .. } | ChainAction::Busy { command } => {
                self.commands.on_rejected(&command);
            }
            ChainAction::View(MembershipAction::Installed { membership }) => {
                log::info!(epoch = membership.epoch, chain:? = hex_members(&membership.chain); "view installed");
                self.commands.on_view_installed();
                self.on_view_installed(&membership);
            }
            ChainAction::View(MembershipAction::Sealed { epoch }) => {
                self.lease.on_view_sealed(epoch, self.peers.directory(), &mut self.coordinator);
            }
            ChainAction::BecameInSync { epoch } => log::info!(epoch; "replica in sync"),
            ChainAction::BarrierCommitted { epoch, number, commit_index } => {
                self.chain.on_barrier_committed(FreshnessTick { epoch, number }, commit_index);
                self.send_applied_tick();
            }
        }
        Ok(())
    }

    fn send_to_member(&mut self, to: MemberId, message: ChainMessage) {
        match self.peers.directory().address(to.0) {
            Some(address) => {
                let from = self.messenger.own_record().member;
                self.messenger.send(address, Envelope::Chain { from, message });
            }
            None => log::debug!(member:% = member_hex(to); "message dropped: member address unknown"),
        }
    }

    fn apply(&mut self, index: u64, bytes: &[u8], needs_reply: bool) -> Result<(), NodeError> {
        let applied = self.chain.apply(index, bytes)?;
        self.relay.merge_entries(applied.entries);
        if matches!(applied.submitted.command, Command::AllocateFencingToken { .. }) {
            self.update_lease_candidates();
        }
        self.send_applied_tick();
        let SubmittedCommand { request, reply_to, .. } = applied.submitted;
        if reply_to == self.messenger.own_record().address {
            self.on_command_outcome(request, Some(applied.outcome));
        } else if needs_reply {
            self.commands.reply(reply_to, request, Some(applied.outcome));
        }
        Ok(())
    }

    pub(in crate::node) fn on_command_outcome(&mut self, request: u64, outcome: Option<CommandOutcome>) {
        if let Some(outcome) = self.commands.on_outcome(request, outcome) {
            self.coordinator.on_command_outcome(outcome);
        }
    }

    fn install_snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), NodeError> {
        self.chain.install_snapshot(index, bytes)?;
        self.relay.merge_entries(self.chain.state().registry_entries());
        self.update_lease_candidates();
        self.send_applied_tick();
        Ok(())
    }

    /// Sends a tick down the relay's tree once everything committed before it is applied at this node, and so is in the registry.
    fn send_applied_tick(&mut self) {
        if let Some(tick) = self.chain.poll_applied_tick() {
            self.relay.handle_event(RelayEvent::Tick(tick));
        }
    }

    pub(in crate::node) fn on_view_installed(&mut self, membership: &Membership) {
        self.acknowledgements.request_evaluation();
        let last_coordinator = self.last_coordinator();
        let directory = self.peers.directory();
        self.lease.on_view_installed(membership, last_coordinator, directory, &mut self.coordinator);
    }

    fn update_lease_candidates(&mut self) {
        let last_coordinator = self.last_coordinator();
        let directory = self.peers.directory();
        self.lease.update_candidates(last_coordinator, directory, &mut self.coordinator);
    }

    /// The member on the machine that allocated the newest fencing token, if it is known.
    fn last_coordinator(&self) -> Option<u64> {
        let own_record = self.messenger.own_record();
        let address = self.chain.state().fencing()?.owner.address;
        if address == own_record.address {
            Some(own_record.member)
        } else {
            self.peers.directory().member_at(address)
        }
    }

    pub(in crate::node) fn on_disk_event(&mut self, event: WriterEvent) {
        for output in self.disk.handle_event(event) {
            match output {
                DiskOutput::Durable { token } => self.chain.handle_event(ChainEvent::Durable { token }),
                DiskOutput::SnapshotNeeded => self.write_snapshot(),
            }
        }
    }

    pub(in crate::node) fn write_snapshot(&mut self) {
        self.process_chain_actions();
        match self.chain.checkpoint() {
            Ok(Some(records)) => self.disk.write_snapshot(self.peers.directory().records(), records),
            Ok(None) => {}
            Err(failure) => self.fail(failure),
        }
    }
}

fn member_hex(member: MemberId) -> String {
    format!("{:x}", member.0)
}

fn hex_members(members: &[MemberId]) -> Vec<String> {
    members.iter().copied().map(member_hex).collect()
}
