//! Installation of a view: determines whether this member is in sync in it, and connects it to its predecessor and successor.

use std::time::Duration;

use super::progress::{FollowerRole, Progress};
use super::{PendingRecord, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, View, ViewAction};

impl Replica {
    pub(super) fn on_started(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if let Some(bytes) = self.recovered_state.take() {
            out.push(ReplicaAction::InstallSnapshot { index: self.log.applied_index(), bytes });
        }
        if self.view.is_some() {
            self.on_view_durable(now, out);
        }
    }

    /// Installs a newer view. It is in force once its record is durable.
    pub(super) fn install(&mut self, view: View, out: &mut Vec<ReplicaAction>) {
        if view.epoch <= self.epoch() {
            return;
        }
        let in_sync = self.is_in_sync_in(&view);
        let record = if in_sync {
            LogRecord::View { view: view.clone(), in_sync }
        } else {
            self.log.truncate(self.log.commit_index());
            LogRecord::Rejoined { view: view.clone(), last_index: self.log.commit_index() }
        };
        let epoch = view.epoch;
        self.view = Some(view);
        self.is_view_durable = false;
        self.in_sync = in_sync;
        self.is_in_sync_pending = false;
        self.upstream.reset(None);
        self.followers.clear();
        self.snapshot = None;
        self.barriers.reset();
        self.persist(vec![record], PendingRecord::View { epoch }, out);
    }

    /// Whether this member is in sync in a new view from the start, so that it holds everything committed before it: it was in
    /// sync in the preceding view, and all members that are now before it in the chain were before it in that view as well.
    /// Otherwise the end of its log could differ from that of its predecessor.
    fn is_in_sync_in(&self, next: &View) -> bool {
        let Some(view) = &self.view else {
            return next.epoch == 1 && next.contains(self.local_id) && self.log.last_index() == 0;
        };
        let predecessors_in = |view: &View| -> Vec<MemberId> {
            view.chain.iter().copied().take_while(|member| *member != self.local_id).collect()
        };
        let previous_predecessors = predecessors_in(view);
        self.in_sync
            && next.epoch == view.epoch + 1
            && view.contains(self.local_id)
            && next.contains(self.local_id)
            && predecessors_in(next).iter().all(|member| previous_predecessors.contains(member))
    }

    /// Puts the view in force, after its record has become durable.
    pub(super) fn on_view_durable(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.is_view_durable = true;
        self.reads.restart();
        self.barriers.start(now);
        let epoch = self.epoch();
        out.push(ReplicaAction::View(ViewAction::Installed { epoch }));
        if self.is_in_sync() {
            out.push(ReplicaAction::BecameInSync { epoch });
        }
        if self.is_active() {
            self.connect(now, out);
        }
        self.replay_early_messages(now, out);
    }

    /// Sets the member from which entries are received and the one to which they are sent.
    fn connect(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let Some(view) = &self.view else { return };
        let predecessor = view.predecessor(self.local_id);
        let successor = view.successor(self.local_id);
        let tail = view.tail();
        let source =
            if view.contains(self.local_id) { predecessor } else { tail.filter(|_| self.follows_as_learner) };
        self.upstream.reset(source);
        self.send_resume(now, out);
        if let Some(successor) = successor {
            self.followers.push(Progress::new(successor, FollowerRole::Successor, now));
            self.request_resume(now, out);
        }
    }

    /// Handles the messages of this view that arrived before it was in force.
    fn replay_early_messages(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let epoch = self.epoch();
        for (from, message) in std::mem::take(&mut self.early_messages) {
            if message.epoch() > epoch {
                self.early_messages.push_back((from, message));
            } else if message.epoch() == epoch && self.is_active() {
                self.on_current_message(now, from, message, out);
            }
        }
    }

    pub(super) fn on_seal(&mut self, epoch: u64, out: &mut Vec<ReplicaAction>) {
        self.seal_in_memory(epoch);
        self.persist(vec![LogRecord::Sealed { epoch }], PendingRecord::Sealed { epoch }, out);
    }

    pub(super) fn on_seal_durable(&mut self, epoch: u64, out: &mut Vec<ReplicaAction>) {
        let in_sync = self.is_in_sync() && epoch == self.epoch();
        let last_index = self.log.last_index();
        out.push(ReplicaAction::View(ViewAction::Sealed { epoch, in_sync, last_index }));
    }

    pub(super) fn follow_as_learner(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.follows_as_learner {
            return;
        }
        self.follows_as_learner = true;
        if self.is_active() && !self.is_in_chain() {
            self.connect(now, out);
        }
    }

    /// Writes [`LogRecord::InSync`] once all entries that the predecessor held when it received the
    /// [`ReplicaMessage::Resume`](crate::ReplicaMessage::Resume) are durable at this member. The member is in sync once that
    /// record is durable.
    pub(super) fn check_in_sync(&mut self, out: &mut Vec<ReplicaAction>) {
        let has_caught_up =
            self.upstream.in_sync_index().is_some_and(|index| index <= self.log.durable_index());
        if !has_caught_up
            || self.in_sync
            || self.is_in_sync_pending
            || !self.is_active()
            || !self.is_in_chain()
        {
            return;
        }
        self.is_in_sync_pending = true;
        let epoch = self.epoch();
        self.persist(vec![LogRecord::InSync { epoch }], PendingRecord::InSync { epoch }, out);
    }

    pub(super) fn on_in_sync_durable(&mut self, epoch: u64, out: &mut Vec<ReplicaAction>) {
        self.in_sync = true;
        self.is_in_sync_pending = false;
        out.push(ReplicaAction::BecameInSync { epoch });
        for follower in &mut self.followers {
            follower.expedite_probe();
        }
    }
}
