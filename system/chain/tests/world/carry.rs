//! What a host does for its process: sends, writes, applies, and shows the ledger.

use std::time::Duration;

use gingerledge_chain::{ChainAction, ChainMessage, MemberId, MembershipAction};

use super::{millis, Happens, World};

/// One in so many messages of a vote has its sender struck.
const STRIKE_VOTES: u64 = 40;
/// One in so many acknowledgements has the tail struck.
const STRIKE_ACKNOWLEDGEMENTS: u64 = 400;

/// Whether a message is one of a vote.
fn matters(message: &ChainMessage) -> bool {
    use gingerledge_chain::AgreementMessage as Vote;
    let ChainMessage::Agreement(vote) = message else { return false };
    matches!(
        vote,
        Vote::Promise { .. } | Vote::Accept { .. } | Vote::Accepted { .. } | Vote::MembershipDecided { .. }
    )
}

impl World {
    pub(super) fn act(&mut self, place: usize, action: ChainAction) {
        let me = self.hosts[place].identity;
        match action {
            ChainAction::Send { to, message } => self.send(place, to, message),
            ChainAction::Persist { token, records } => self.write(place, token, records),
            ChainAction::Apply { index, command, reply } => {
                self.ledger.applied(me, index, &command, reply);
                if reply {
                    self.acknowledges(place, index, &command);
                }
                self.hosts[place].apply(index, &command);
            }
            ChainAction::TakeSnapshot => self.snapshot(place),
            ChainAction::InstallSnapshot { index, bytes } => {
                self.hosts[place].install(index, &bytes);
                self.ledger.state(me, index, self.hosts[place].hash());
            }
            ChainAction::ReadReady { token, index } => {
                assert!(
                    self.hosts[place].applied() >= index,
                    "seed {}: read at a state not applied",
                    self.seed
                );
                self.ledger.read_ready(token, index);
            }
            ChainAction::ReadFailed { token } => self.ledger.read_failed(token),
            ChainAction::View(MembershipAction::Installed { members }) => {
                self.note(place, &format!("installs {members:?}"));
                self.ledger.view(members);
            }
            ChainAction::BarrierCommitted { epoch, number, commit_index } => {
                self.ledger.tick((me, self.hosts[place].life, epoch), number, commit_index)
            }
            ChainAction::View(MembershipAction::Sealed { epoch }) => {
                self.hosts[place].sealed = self.hosts[place].sealed.max(epoch)
            }
            ChainAction::NotHead { .. } | ChainAction::Busy { .. } | ChainAction::BecameInSync { .. } => {}
        }
    }

    /// A tail replies: enough disks have synced the entry, and the tail hasn't sealed its view.
    fn acknowledges(&self, place: usize, index: u64, command: &[u8]) {
        // A disk that was lost in the moment between its sync and the tail's has counted.
        let disks = self.hosts.iter().map(|host| &host.disk).chain(&self.lost_disks);
        let synced = disks.filter(|disk| disk.has_synced(index, command));
        self.ledger.synced_by(index, synced.count());
        let host = &self.hosts[place];
        let epoch =
            host.process.as_ref().and_then(|process| process.chain.members()).map(|members| members.epoch);
        assert!(
            epoch > Some(host.sealed),
            "seed {}: {index} acknowledged in a sealed view {epoch:?}",
            self.seed
        );
    }

    fn send(&mut self, place: usize, to: MemberId, message: ChainMessage) {
        let from = self.hosts[place].identity;
        self.ledger.sent(from, &message);
        if matters(&message) && self.striking && self.rng.u64(0..STRIKE_VOTES) == 0 {
            let delay = Duration::from_micros(self.rng.u64(0..3000));
            self.after(delay, Happens::Strike { place, wipe: false });
        }
        if self.trace_messages {
            self.note(place, &format!("to {to:?}: {message:?}"));
        }
        let Some(target) = self.hosts.iter().position(|host| host.identity == to) else { return };
        if self.cut.contains(&(place, target)) || self.rng.f64() < self.loss {
            return;
        }
        let copies = if self.loss > 0.0 && self.rng.f64() < 0.05 { 2 } else { 1 };
        for _ in 0..copies {
            let slow = if self.rng.u8(..) == 0 { self.rng.u64(0..200_000) } else { 0 };
            let delay = Duration::from_micros(self.rng.u64(500..4000) + slow);
            let message = message.clone();
            self.after(delay, Happens::Arrives { place: target, from, message });
        }
    }

    fn snapshot(&mut self, place: usize) {
        let delay = if self.rng.bool() { millis(0) } else { millis(self.rng.u64(0..50)) };
        let host = &self.hosts[place];
        let (life, index) = (host.life, host.applied());
        let bytes = host.encode();
        self.after(delay, Happens::Snapshot { place, life, index, bytes });
    }

    pub(super) fn maybe_checkpoint(&mut self, place: usize) {
        if self.rng.u64(0..200) == 0 {
            self.checkpoint(place);
        }
    }
}
