//! The chain replica of a partition: its pending actions, its role, and its replacement when the member leaves the chain.

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::{LogRecord, MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings, View};
use gingerledge_wire::PartitionRecord;

/// Bounds the views that are installed one by one; a replica that missed more rejoins with a snapshot.
const MAX_SKIPPED_VIEWS: u64 = 4096;

/// The duties of a replica in its view. A chain of one member is head and tail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Role {
    /// It proposes commands.
    pub is_head: bool,
    /// It serves reads, and sends the responses to committed commands.
    pub is_tail: bool,
}

/// Records that have to be made durable, with the partition's token for them.
#[derive(Debug)]
pub(super) struct DurableWrite {
    pub token: u64,
    pub records: Vec<LogRecord>,
}

/// The replica of one partition.
///
/// A replica counts its tokens from 1. Since the host may replace it, the partition's tokens continue behind those of the
/// replica before: `first_token` is added to the replica's own.
#[derive(Debug)]
pub(super) struct ReplicaHost {
    me: MemberId,
    settings: ReplicaSettings,
    seed: u64,
    replica: Replica,
    actions: VecDeque<ReplicaAction>,
    /// The last token given out.
    last_token: u64,
    /// The token before the first one of the present replica.
    first_token: u64,
    /// The replicated state could not be read: the replica takes part in nothing any more.
    has_failed: bool,
}

impl ReplicaHost {
    /// A replica without any history.
    pub(super) fn new(me: MemberId, settings: ReplicaSettings, seed: u64) -> Self {
        let replica = Replica::new(me, settings.clone(), seed);
        Self::with_replica(me, settings, replica, seed)
    }

    /// A replica with the records that the disk holds of it.
    pub(super) fn recover(me: MemberId, records: &[LogRecord], settings: ReplicaSettings, seed: u64) -> Self {
        let replica = Replica::recover(me, records, settings.clone(), seed);
        Self::with_replica(me, settings, replica, seed)
    }

    fn with_replica(me: MemberId, settings: ReplicaSettings, replica: Replica, seed: u64) -> Self {
        Self {
            me,
            settings,
            seed,
            replica,
            actions: VecDeque::new(),
            last_token: 0,
            first_token: 0,
            has_failed: false,
        }
    }

    /// Passes an event to the replica and queues its actions.
    pub(super) fn handle_event(&mut self, now: Duration, event: ReplicaEvent) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        self.actions.extend(actions);
    }

    /// The next action of the replica, in order.
    pub(super) fn poll_action(&mut self) -> Option<ReplicaAction> {
        self.actions.pop_front()
    }

    /// Excludes the replica from everything: continuing could only make it differ from the others.
    pub(super) fn fail(&mut self) {
        self.has_failed = true;
        self.actions.clear();
    }

    /// Whether [`ReplicaHost::fail`] was called.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// The role of the replica in the view in force.
    pub(super) fn role(&self) -> Role {
        let is_serving = self.replica.is_serving() && !self.has_failed;
        let Some(view) = self.replica.view().filter(|_| is_serving) else { return Role::default() };
        Role { is_head: view.head() == Some(self.me), is_tail: view.tail() == Some(self.me) }
    }

    /// The epoch of the newest view known.
    pub(super) fn epoch(&self) -> u64 {
        self.replica.epoch()
    }

    /// The newest view known.
    pub(super) fn view(&self) -> Option<&View> {
        self.replica.view()
    }

    /// The epoch in which this replica is in sync, if it is.
    pub(super) fn in_sync_epoch(&self) -> Option<u64> {
        (self.replica.is_in_sync() && !self.has_failed).then(|| self.replica.epoch())
    }

    /// When the replica wants [`ReplicaEvent::TimerExpired`] next.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.replica.next_timer()
    }

    /// All records that must stay on the disk, with an encoded state; none while that is not known.
    pub(super) fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        self.replica.checkpoint(state)
    }

    /// The partition's token for a write of the replica.
    pub(super) fn register_write(&mut self, token: u64, records: Vec<LogRecord>) -> DurableWrite {
        self.last_token = self.first_token + token;
        DurableWrite { token: self.last_token, records }
    }

    /// The event for the replica when all writes up to a token are durable; none if they are those of a replica before.
    pub(super) fn durable_event(&self, token: u64) -> Option<ReplicaEvent> {
        let token = token.checked_sub(self.first_token).filter(|token| *token > 0)?;
        Some(ReplicaEvent::Durable { token })
    }

    /// The views to install, in order, to reach a decided chain.
    pub(super) fn views_to_install(&self, record: &PartitionRecord) -> Vec<View> {
        if record.epoch <= self.replica.epoch() {
            return Vec::new();
        }
        let mut views = Vec::new();
        if self.is_certainly_in_sync(record) {
            let mut before: Vec<_> = members(record).take_while(|member| *member != self.me).collect();
            before.push(self.me);
            let missed = self.replica.epoch() + 1..record.epoch;
            views.extend(missed.map(|epoch| View { epoch, chain: before.clone() }));
        }
        views.push(View { epoch: record.epoch, chain: members(record).collect() });
        views
    }

    /// Whether this replica holds all that was committed before a chain, though it missed some chains before it.
    ///
    /// The control plane keeps a member in sync only from one chain to the next, and no chain commits without all its members.
    /// So nothing was committed in the missed chains that this member would not hold. The missed views are then installed one
    /// after the other, as if only this member and those before it had stayed: they were before it all the time, since new
    /// members join at the end. All are on the disk in one batch, and none of them is ever in force here.
    fn is_certainly_in_sync(&self, record: &PartitionRecord) -> bool {
        let missed = record.epoch.saturating_sub(self.replica.epoch() + 1);
        let was_in_sync = match self.replica.view() {
            None => self.replica.last_index() == 0,
            Some(_) => self.replica.is_in_sync(),
        };
        was_in_sync && (1..=MAX_SKIPPED_VIEWS).contains(&missed) && record.in_sync.contains(&self.me.0)
    }

    /// Replaces the replica by an empty one if its member has left the chain: outside the chain its entries are worth nothing,
    /// and whoever rejoins receives a snapshot. The view stays known, so that an older chain never brings this member back.
    pub(super) fn reset_if_removed(&mut self, now: Duration) -> Option<DurableWrite> {
        let view = self.replica.view().filter(|view| !view.contains(self.me)).cloned()?;
        if self.replica.last_index() == 0 {
            return None;
        }
        let records = vec![
            LogRecord::Snapshot { index: 0, bytes: Vec::new() },
            LogRecord::View { view, in_sync: false },
        ];
        let seed = self.seed.wrapping_add(self.last_token);
        self.replica = Replica::recover(self.me, &records, self.settings.clone(), seed);
        self.actions.clear();
        let write = self.register_write(self.last_token + 1 - self.first_token, records);
        self.first_token = self.last_token;
        self.handle_event(now, ReplicaEvent::Started);
        Some(write)
    }
}

fn members(record: &PartitionRecord) -> impl Iterator<Item = MemberId> + '_ {
    record.chain.iter().copied().map(MemberId)
}
