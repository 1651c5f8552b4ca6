//! The chain replica of a partition, its pending actions and its role. Replaces the replica when its member leaves the chain.

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::{
    LogRecord, MemberId, OutgoingSnapshot, Replica, ReplicaAction, ReplicaEvent, ReplicaSettings, View,
};
use gingerledge_wire::PartitionRecord;

/// Maximum number of missed views that are installed one by one; a replica that missed more rejoins with a snapshot.
const MAX_MISSED_VIEWS: u64 = 4096;

/// The role of a replica in its view. The only member of a chain is both head and tail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Role {
    /// Whether the replica is the head, which proposes commands.
    pub is_head: bool,
    /// Whether the replica is the tail, which serves reads and sends the responses to committed commands.
    pub is_tail: bool,
}

/// Records to be made durable, with the partition's token for the write.
#[derive(Debug)]
pub(super) struct DurableWrite {
    pub token: u64,
    pub records: Vec<LogRecord>,
}

/// The replica of one partition.
///
/// A replica numbers its writes from 1. Since the host may replace the replica, the partition's tokens continue after those of
/// the previous replica: `token_offset` is added to the tokens of the current replica.
#[derive(Debug)]
pub(super) struct ReplicaHost {
    member_id: MemberId,
    settings: ReplicaSettings,
    seed: u64,
    replica: Replica,
    actions: VecDeque<ReplicaAction>,
    /// Last token passed to the partition.
    last_token: u64,
    /// Last token of the previous replica, 0 if there was none; added to the tokens of the current replica.
    token_offset: u64,
    /// Whether the replicated state could not be encoded or decoded; the replica no longer takes part in the chain.
    has_failed: bool,
}

impl ReplicaHost {
    /// Creates a replica without any records.
    pub(super) fn new(member_id: MemberId, settings: ReplicaSettings, seed: u64) -> Self {
        let replica = Replica::new(member_id, settings.clone(), seed);
        Self::with_replica(member_id, settings, replica, seed)
    }

    /// Creates a replica from its records on the disk.
    pub(super) fn recover(
        member_id: MemberId,
        records: &[LogRecord],
        settings: ReplicaSettings,
        seed: u64,
    ) -> Self {
        let replica = Replica::recover(member_id, records, settings.clone(), seed);
        Self::with_replica(member_id, settings, replica, seed)
    }

    fn with_replica(member_id: MemberId, settings: ReplicaSettings, replica: Replica, seed: u64) -> Self {
        Self {
            member_id,
            settings,
            seed,
            replica,
            actions: VecDeque::new(),
            last_token: 0,
            token_offset: 0,
            has_failed: false,
        }
    }

    /// Passes an event to the replica and queues its actions.
    pub(super) fn handle_event(&mut self, now: Duration, event: ReplicaEvent) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        self.actions.extend(actions);
    }

    /// Removes and returns the oldest pending action of the replica.
    pub(super) fn poll_action(&mut self) -> Option<ReplicaAction> {
        self.actions.pop_front()
    }

    /// Stops the replica for good, since by continuing it could only diverge from the others.
    pub(super) fn fail(&mut self) {
        self.has_failed = true;
        self.actions.clear();
    }

    /// Whether [`ReplicaHost::fail`] was called.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Role of the replica in the current view; neither head nor tail unless the replica is serving.
    pub(super) fn role(&self) -> Role {
        let is_serving = self.replica.is_serving() && !self.has_failed;
        let Some(view) = self.replica.view().filter(|_| is_serving) else { return Role::default() };
        Role { is_head: view.head() == Some(self.member_id), is_tail: view.tail() == Some(self.member_id) }
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

    /// Whether the replica waits for a snapshot of the state, to send it to another member.
    pub(super) fn awaits_snapshot(&self) -> bool {
        self.replica.awaits_snapshot() && !self.has_failed
    }

    /// The snapshots that other members need from this replica; none if it has stopped, since it sends nothing more.
    pub(super) fn outgoing_snapshots(&self) -> impl Iterator<Item = OutgoingSnapshot> + '_ {
        self.replica.outgoing_snapshots().filter(|_| !self.has_failed)
    }

    /// Time at which [`ReplicaEvent::TimerExpired`] must be passed next.
    pub(super) fn next_timer(&self) -> Option<Duration> {
        self.replica.next_timer()
    }

    /// All records that must stay on the disk, including the encoded state; `None` if they can't be determined at present.
    pub(super) fn checkpoint(&self, state: Vec<u8>) -> Option<Vec<LogRecord>> {
        self.replica.checkpoint(state)
    }

    /// Assigns the partition's token to a write of the replica.
    pub(super) fn register_write(&mut self, token: u64, records: Vec<LogRecord>) -> DurableWrite {
        self.last_token = self.token_offset + token;
        DurableWrite { token: self.last_token, records }
    }

    /// The event to pass when all writes up to the partition's token are durable; `None` if they belong to a previous replica.
    pub(super) fn durable_event(&self, token: u64) -> Option<ReplicaEvent> {
        let token = token.checked_sub(self.token_offset).filter(|token| *token > 0)?;
        Some(ReplicaEvent::Durable { token })
    }

    /// The views to install, in order, for a chain that the control plane has set.
    pub(super) fn views_to_install(&self, record: &PartitionRecord) -> Vec<View> {
        if record.epoch <= self.replica.epoch() {
            return Vec::new();
        }
        let mut views = Vec::new();
        if self.is_provably_in_sync(record) {
            let mut preceding: Vec<_> =
                members(record).take_while(|member| *member != self.member_id).collect();
            preceding.push(self.member_id);
            let missed_epochs = self.replica.epoch() + 1..record.epoch;
            views.extend(missed_epochs.map(|epoch| View { epoch, chain: preceding.clone() }));
        }
        views.push(View { epoch: record.epoch, chain: members(record).collect() });
        views
    }

    /// Whether this replica has all entries committed before a chain, although it has missed some chains before that one.
    ///
    /// The control plane keeps a member in sync only from one chain to the next, and no chain commits without all its members.
    /// So this member has all entries that were committed in the missed chains. The missed views are then installed one after
    /// the other, each with a chain of only this member and those before it: these were before it in every missed chain, since
    /// new members join at the end. All these views are written to the disk in one batch, and none of them ever takes effect here.
    fn is_provably_in_sync(&self, record: &PartitionRecord) -> bool {
        let missed_epochs = record.epoch.saturating_sub(self.replica.epoch() + 1);
        let was_in_sync = match self.replica.view() {
            None => self.replica.last_index() == 0,
            Some(_) => self.replica.is_in_sync(),
        };
        was_in_sync
            && (1..=MAX_MISSED_VIEWS).contains(&missed_epochs)
            && record.in_sync.contains(&self.member_id.0)
    }

    /// Replaces the replica by an empty one if its member has left the chain: its entries are of no use outside the chain, and a
    /// member that rejoins receives a snapshot. The view is kept, so that an older chain never makes this member part of it again.
    pub(super) fn reset_if_removed(&mut self, now: Duration) -> Option<DurableWrite> {
        let view = self.replica.view().filter(|view| !view.contains(self.member_id)).cloned()?;
        if self.replica.last_index() == 0 {
            return None;
        }
        let records = vec![
            LogRecord::Snapshot { index: 0, bytes: Vec::new() },
            LogRecord::View { view, in_sync: false },
        ];
        let seed = self.seed.wrapping_add(self.last_token);
        self.replica = Replica::recover(self.member_id, &records, self.settings.clone(), seed);
        self.actions.clear();
        let write = self.register_write(self.last_token + 1 - self.token_offset, records);
        self.token_offset = self.last_token;
        self.handle_event(now, ReplicaEvent::Started);
        Some(write)
    }
}

fn members(record: &PartitionRecord) -> impl Iterator<Item = MemberId> + '_ {
    record.chain.iter().copied().map(MemberId)
}
