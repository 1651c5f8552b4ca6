//! The actions of a member: its host carries them out and reports them to the invariant checker.

use std::time::Duration;

use gingerledge_chain::{ChainAction, ChainMessage, MemberId, MembershipAction};

use super::{millis, Cluster, SimulationEvent};

/// On average, one in this number of messages of a vote is followed by a fault at its sender.
const VOTES_PER_FAULT: u64 = 40;

/// Whether a message belongs to a vote.
fn is_vote(message: &ChainMessage) -> bool {
    use gingerledge_chain::AgreementMessage as Vote;
    let ChainMessage::Agreement(vote) = message else { return false };
    matches!(
        vote,
        Vote::Promise { .. } | Vote::Accept { .. } | Vote::Accepted { .. } | Vote::MembershipDecided { .. }
    )
}

impl Cluster {
    pub(super) fn carry_out(&mut self, machine: usize, action: ChainAction) {
        let member = self.hosts[machine].identity;
        match action {
            ChainAction::Send { to, message } => self.send(machine, to, message),
            ChainAction::Persist { token, records } => self.write(machine, token, records),
            ChainAction::Apply { index, command, should_reply } => {
                self.invariants.on_applied(member, index, &command, should_reply);
                if should_reply {
                    self.check_acknowledgement(machine, index, &command);
                }
                self.hosts[machine].state_machine.apply(self.seed, member, index, &command);
            }
            ChainAction::TakeSnapshot => self.take_snapshot(machine),
            ChainAction::InstallSnapshot { index, bytes } => {
                self.hosts[machine].state_machine.install(index, &bytes);
                self.invariants.on_snapshot_installed(
                    member,
                    index,
                    self.hosts[machine].state_machine.hash(),
                );
            }
            ChainAction::ReadReady { token, index } => {
                assert!(
                    self.hosts[machine].state_machine.applied_index() >= index,
                    "seed {}: a read was served from a state older than its index",
                    self.seed
                );
                self.invariants.on_read_ready(token, index);
            }
            ChainAction::ReadFailed { token } => self.invariants.on_read_failed(token),
            ChainAction::View(MembershipAction::Installed { membership }) => {
                self.trace(machine, &format!("installs {membership:?}"));
                self.invariants.on_membership_installed(membership);
            }
            ChainAction::BarrierCommitted { epoch, number, commit_index } => self
                .invariants
                .on_barrier_committed((member, self.hosts[machine].incarnation, epoch), number, commit_index),
            ChainAction::View(MembershipAction::Sealed { epoch }) => {
                self.hosts[machine].sealed_epoch = self.hosts[machine].sealed_epoch.max(epoch);
            }
            ChainAction::NotHead { .. } | ChainAction::Busy { .. } | ChainAction::BecameInSync { .. } => {}
        }
    }

    /// Checks an acknowledgement by the tail: enough disks must have synced the entry, and the tail must not have sealed its
    /// view.
    fn check_acknowledgement(&self, machine: usize, index: u64, command: &[u8]) {
        // Disks that have been lost since count as well: one may have synced the entry and been lost before the tail synced it.
        let disks = self.hosts.iter().map(|host| &host.disk).chain(&self.lost_disks);
        let synced = disks.filter(|disk| disk.has_synced(index, command));
        self.invariants.on_acknowledged(index, synced.count());
        let host = &self.hosts[machine];
        let epoch = host
            .process
            .as_ref()
            .and_then(|process| process.chain.membership())
            .map(|membership| membership.epoch);
        assert!(
            epoch > Some(host.sealed_epoch),
            "seed {}: {index} acknowledged in a sealed view {epoch:?}",
            self.seed
        );
    }

    fn send(&mut self, machine: usize, to: MemberId, message: ChainMessage) {
        let from = self.hosts[machine].identity;
        self.invariants.on_sent(from, &message);
        if is_vote(&message) && self.targeted_faults_enabled && self.rng.u64(0..VOTES_PER_FAULT) == 0 {
            let delay = Duration::from_micros(self.rng.u64(0..3000));
            self.after(delay, SimulationEvent::TargetedFault { machine, wipe_disk: false });
        }
        if self.trace_messages {
            self.trace(machine, &format!("to {to:?}: {message:?}"));
        }
        let Some(target) = self.hosts.iter().position(|host| host.identity == to) else { return };
        if self.blocked_links.contains(&(machine, target)) || self.rng.f64() < self.message_loss {
            return;
        }
        let copies = if self.message_loss > 0.0 && self.rng.f64() < 0.05 { 2 } else { 1 };
        for _ in 0..copies {
            let extra_micros = if self.rng.u8(..) == 0 { self.rng.u64(0..200_000) } else { 0 };
            let delay = Duration::from_micros(self.rng.u64(500..4000) + extra_micros);
            let message = message.clone();
            self.after(delay, SimulationEvent::MessageArrives { machine: target, from, message });
        }
    }

    fn take_snapshot(&mut self, machine: usize) {
        let delay = if self.rng.bool() { millis(0) } else { millis(self.rng.u64(0..50)) };
        let host = &self.hosts[machine];
        let (incarnation, index) = (host.incarnation, host.state_machine.applied_index());
        let bytes = host.state_machine.encode();
        self.after(delay, SimulationEvent::SnapshotEncoded { machine, incarnation, index, bytes });
    }

    pub(super) fn maybe_checkpoint(&mut self, machine: usize) {
        if self.rng.u64(0..200) == 0 {
            self.checkpoint(machine);
        }
    }
}
