//! Coming into a view: whether this member counts in it, and where its entries then come from and go to.

use std::time::Duration;

use super::feed::Feed;
use super::{Pending, Replica, ReplicaAction};
use crate::{LogRecord, MemberId, View};

impl Replica {
    pub(super) fn on_started(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if let Some(bytes) = self.stored_state.take() {
            out.push(ReplicaAction::InstallSnapshot { index: self.log.applied_index(), bytes });
        }
        if self.view.is_some() {
            self.in_force(now, out);
        }
    }

    /// Takes up a newer view: on the disk first, then in force.
    pub(super) fn install(&mut self, view: View, out: &mut Vec<ReplicaAction>) {
        if view.epoch <= self.epoch() {
            return;
        }
        let in_sync = self.counts_in(&view);
        let record = if in_sync {
            LogRecord::View { view: view.clone(), in_sync }
        } else {
            self.log.truncate(self.log.commit_index());
            LogRecord::Rejoined { view: view.clone(), last_index: self.log.commit_index() }
        };
        let epoch = view.epoch;
        self.view = Some(view);
        self.installed = false;
        self.in_sync = in_sync;
        self.becoming_in_sync = false;
        self.intake.reset(None);
        self.feeds.clear();
        self.snapshot = None;
        self.barriers.reset();
        self.persist(vec![record], Pending::View { epoch }, out);
    }

    /// Whether this member holds all that was committed before a view: it counted in the view just before, and all that
    /// now stand before it in the chain stood before it then. Else its log could end otherwise than that of its
    /// predecessor.
    fn counts_in(&self, next: &View) -> bool {
        let Some(view) = &self.view else {
            return next.epoch == 1 && next.contains(self.me) && self.log.last_index() == 0;
        };
        let before = |view: &View| -> Vec<MemberId> {
            view.chain.iter().copied().take_while(|member| *member != self.me).collect()
        };
        let stood_before = before(view);
        self.in_sync
            && next.epoch == view.epoch + 1
            && view.contains(self.me)
            && next.contains(self.me)
            && before(next).iter().all(|member| stood_before.contains(member))
    }

    /// The view is on the disk.
    pub(super) fn in_force(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.installed = true;
        self.reads.restart();
        self.barriers.start(now);
        let epoch = self.epoch();
        out.push(ReplicaAction::Installed { epoch });
        if self.is_in_sync() {
            out.push(ReplicaAction::BecameInSync { epoch });
        }
        if self.is_active() {
            self.connect(now, out);
        }
        self.take_early(now, out);
    }

    fn connect(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let Some(view) = &self.view else { return };
        let predecessor = view.predecessor(self.me);
        let successor = view.successor(self.me);
        let tail = view.tail();
        let source = if view.contains(self.me) { predecessor } else { tail.filter(|_| self.learning) };
        self.intake.reset(source);
        self.send_resume(now, out);
        if let Some(successor) = successor {
            self.feeds.push(Feed::new(successor, false, now));
            self.ask_resume(now, out);
        }
    }

    /// Messages of this view that came before it was in force.
    fn take_early(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let epoch = self.epoch();
        for (from, message) in std::mem::take(&mut self.early) {
            if message.epoch() > epoch {
                self.early.push_back((from, message));
            } else if message.epoch() == epoch && self.is_active() {
                self.dispatch(now, from, message, out);
            }
        }
    }

    pub(super) fn on_seal(&mut self, epoch: u64, out: &mut Vec<ReplicaAction>) {
        self.seal_in_memory(epoch);
        self.persist(vec![LogRecord::Sealed { epoch }], Pending::Sealed { epoch }, out);
    }

    pub(super) fn on_learn(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.learning {
            return;
        }
        self.learning = true;
        if self.is_active() && !self.in_chain() {
            self.connect(now, out);
        }
    }

    /// Becomes full once all that the predecessor held when it was asked is durable here.
    pub(super) fn check_full(&mut self, out: &mut Vec<ReplicaAction>) {
        let complete = self.intake.in_sync_index.is_some_and(|index| index <= self.log.durable_index());
        if !complete || self.in_sync || self.becoming_in_sync || !self.is_active() || !self.in_chain() {
            return;
        }
        self.becoming_in_sync = true;
        let epoch = self.epoch();
        self.persist(vec![LogRecord::InSync { epoch }], Pending::Full { epoch }, out);
    }

    pub(super) fn now_full(&mut self, epoch: u64, out: &mut Vec<ReplicaAction>) {
        self.in_sync = true;
        self.becoming_in_sync = false;
        out.push(ReplicaAction::BecameInSync { epoch });
        for feed in &mut self.feeds {
            feed.ask_at_once();
        }
    }
}
