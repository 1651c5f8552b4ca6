//! One replica of a log in a chain (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and
//! Availability", OSDI 2004).
//!
//! The head assigns indexes to commands; each member syncs an entry before it forwards the entry; an entry that the tail has
//! synced is committed. The durable log of a member therefore always begins with that of its successor, and every member of a
//! chain holds all entries that the chain has committed. Views are decided outside of this module ([`ViewEvent::Install`]).
//! Whoever decides them must decide each epoch only once, and may make a member the head of the next chain only if it reported
//! [`ReplicaAction::BecameInSync`] in the preceding epoch.
//!
//! A member is *in sync* in a view from the start if it was in sync in the preceding view and all members that are now before it
//! in the chain were before it in that view as well. Members that stay must therefore keep their order and come first. Any other
//! member drops the entries that it does not know to be committed, and is not in sync until it has caught up from its
//! predecessor.
//!
//! A replica does not depend on how its views are decided, on the meaning of its commands or on the encoding of its state. The
//! requirements on the host are those of [`ControlChain`](crate::ControlChain).

mod barrier;
mod inflight;
mod log;
mod progress;
mod reads;
mod recovery;
mod replication;
mod snapshot_transfer;
mod upstream;
mod view_installation;

use std::collections::VecDeque;
use std::time::Duration;

use crate::{
    Event, LogRecord, MemberId, OutgoingSnapshot, OutgoingSnapshotState, ReplicaAction, ReplicaEvent,
    ReplicaMessage, ReplicaSettings, View, ViewAction, ViewEvent,
};
use barrier::Barriers;
use log::Log;
use progress::{FollowerRole, Progress};
use reads::Reads;
use replication::Resume;
use snapshot_transfer::EncodedSnapshot;
use upstream::{Append, Chunk, Upstream};

/// The content of a write in flight, which takes effect once the write is synced.
#[derive(Clone, Debug)]
enum PendingRecord {
    Entries { up_to: u64 },
    View { epoch: u64 },
    InSync { epoch: u64 },
    Sealed { epoch: u64 },
    Snapshot { index: u64, bytes: Vec<u8> },
    Barriers { epoch: u64, reserved: u64 },
}

/// Maximum number of messages that are queued for a view that is not in force at this member yet.
const MAX_EARLY_MESSAGES: usize = 64;

/// Factor by which the limits on retained entries are raised while a snapshot is being sent.
const SNAPSHOT_RETAIN_FACTOR: usize = 4;

/// An interval that doubles with each repeat, up to `max_doublings` times.
fn doubled(interval: Duration, repeats: u32, max_doublings: u32) -> Duration {
    interval * 2u32.pow(repeats.min(max_doublings))
}

/// One replica of a log.
#[derive(Clone, Debug)]
pub struct Replica {
    local_id: MemberId,
    settings: ReplicaSettings,
    view: Option<View>,
    /// Whether the record of the view is durable.
    is_view_durable: bool,
    /// Whether this member is in sync in the view.
    in_sync: bool,
    /// Whether [`LogRecord::InSync`] is being written.
    is_in_sync_pending: bool,
    /// The highest sealed epoch.
    sealed_epoch: u64,
    follows_as_learner: bool,
    /// Index of the last entry that was known to be committed before this process started, or came with a snapshot. No client
    /// waits for a reply to entries up to this one.
    recovered_index: u64,
    log: Log,
    last_token: u64,
    pending_records: VecDeque<(u64, PendingRecord)>,
    /// The member from which this one receives entries.
    upstream: Upstream,
    /// The members to which this one sends entries.
    followers: Vec<Progress>,
    /// The snapshot that is being sent to followers.
    snapshot: Option<EncodedSnapshot>,
    is_snapshot_requested: bool,
    /// The state recovered from the disk, until it is handed to the host.
    recovered_state: Option<Vec<u8>>,
    reads: Reads,
    barriers: Barriers,
    /// Messages of a view that is not in force at this member yet.
    early_messages: VecDeque<(MemberId, ReplicaMessage)>,
}

impl Replica {
    /// Creates a replica with an empty disk and no view. The seed must differ from one start of the process to the next.
    #[must_use]
    pub fn new(local_id: MemberId, settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            local_id,
            settings,
            view: None,
            is_view_durable: false,
            in_sync: false,
            is_in_sync_pending: false,
            sealed_epoch: 0,
            follows_as_learner: false,
            recovered_index: 0,
            log: Log::default(),
            last_token: 0,
            pending_records: VecDeque::new(),
            upstream: Upstream::default(),
            followers: Vec::new(),
            snapshot: None,
            is_snapshot_requested: false,
            recovered_state: None,
            reads: Reads::new(seed),
            barriers: Barriers::default(),
            early_messages: VecDeque::new(),
        }
    }

    /// Handles an event, and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        match event {
            Event::Started => self.on_started(now, out),
            Event::View(ViewEvent::Install { view }) => self.install(view, out),
            Event::View(ViewEvent::Seal { epoch }) => self.on_seal(epoch, out),
            Event::View(ViewEvent::FollowAsLearner) => self.follow_as_learner(now, out),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Durable { token } => self.on_durable(now, token, out),
            Event::Submit { command } => self.on_submit(command, out),
            Event::Read { token } => self.on_read(now, token, out),
            Event::SnapshotReady { index, bytes } => self.on_snapshot_ready(now, index, bytes),
            Event::TimerExpired => self.on_timer_expired(now, out),
        }
        self.advance(now, out);
    }

    /// The time at which [`Event::TimerExpired`] is due next; `None` if no timer is running.
    #[must_use]
    pub fn next_timer(&self) -> Option<Duration> {
        let timers = [self.resend_timer(), self.upstream_timer(), self.reads_timer(), self.barrier_timer()];
        timers.into_iter().flatten().min()
    }

    /// The identity of this member.
    #[must_use]
    pub fn local_id(&self) -> MemberId {
        self.local_id
    }

    /// The newest view known to this member.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The epoch of the newest view known to this member; 0 without one.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether this member is in the chain of its view, and in sync.
    #[must_use]
    pub fn is_in_sync(&self) -> bool {
        self.in_sync && self.is_in_chain()
    }

    /// Whether this member takes part in the chain of its view: it is in sync, the view is durable, and the epoch is not sealed.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_active() && self.is_in_sync()
    }

    /// Index of the last entry handed to the host.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.log.applied_index()
    }

    /// Index of the last entry known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.log.commit_index()
    }

    /// Index of the last entry, durable or not.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Whether this member waits for [`Event::SnapshotReady`] because a follower needs a snapshot. The host may delay it, to limit
    /// the number of snapshots that are sent at a time.
    #[must_use]
    pub fn awaits_snapshot(&self) -> bool {
        self.outgoing_snapshots().any(|snapshot| snapshot.state == OutgoingSnapshotState::Waiting)
    }

    /// The snapshots that followers need from this member.
    pub fn outgoing_snapshots(&self) -> impl Iterator<Item = OutgoingSnapshot> + '_ {
        let is_encoded = self.snapshot.is_some();
        self.followers.iter().filter_map(move |follower| follower.outgoing_snapshot(is_encoded))
    }

    /// Stops taking part in an epoch from now on. The caller must make the seal durable before it sends a message that depends on
    /// it.
    pub fn seal_in_memory(&mut self, epoch: u64) {
        self.sealed_epoch = self.sealed_epoch.max(epoch);
    }

    fn is_in_chain(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.contains(self.local_id))
    }

    /// Whether the view is in force: durable, and its epoch not sealed.
    fn is_active(&self) -> bool {
        self.is_view_durable && self.sealed_epoch < self.epoch()
    }

    fn is_tail(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.tail() == Some(self.local_id))
    }

    fn is_head(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.head() == Some(self.local_id))
    }

    fn predecessor(&self) -> Option<MemberId> {
        self.view.as_ref()?.predecessor(self.local_id)
    }

    fn successor(&self) -> Option<MemberId> {
        self.view.as_ref()?.successor(self.local_id)
    }

    /// Whether the chain is long enough to commit.
    fn can_commit(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.chain.len() >= self.settings.min_chain_length)
    }

    fn persist(&mut self, records: Vec<LogRecord>, pending: PendingRecord, out: &mut Vec<ReplicaAction>) {
        self.last_token += 1;
        self.pending_records.push_back((self.last_token, pending));
        out.push(ReplicaAction::Persist { token: self.last_token, records });
    }

    fn persist_entries(&mut self, records: Vec<LogRecord>, out: &mut Vec<ReplicaAction>) {
        let pending = PendingRecord::Entries { up_to: self.log.last_index() };
        self.persist(records, pending, out);
    }

    fn on_submit(&mut self, command: Vec<u8>, out: &mut Vec<ReplicaAction>) {
        if !self.is_head() {
            let head = self.view.as_ref().and_then(View::head);
            out.push(ReplicaAction::NotHead { command, head });
            return;
        }
        let uncommitted = self.log.last_index() - self.log.commit_index();
        let is_over_limit = uncommitted >= self.settings.max_uncommitted_entries
            || self.log.unapplied_bytes() + command.len() > self.settings.max_uncommitted_bytes;
        if !self.is_serving() || is_over_limit {
            out.push(ReplicaAction::Busy { command });
            return;
        }
        let record = self.log.append(self.epoch(), command);
        self.persist_entries(vec![record], out);
    }

    fn on_message(
        &mut self,
        now: Duration,
        from: MemberId,
        message: ReplicaMessage,
        out: &mut Vec<ReplicaAction>,
    ) {
        let epoch = message.epoch();
        if let ReplicaMessage::StaleEpoch { epoch } = message {
            if epoch > self.epoch() {
                out.push(ReplicaAction::View(ViewAction::OwnViewStale { member: from, epoch }));
            }
            return;
        }
        if epoch < self.epoch() {
            let message = ReplicaMessage::StaleEpoch { epoch: self.epoch() };
            out.push(ReplicaAction::Send { to: from, message });
            return;
        }
        if epoch > self.epoch() {
            out.push(ReplicaAction::View(ViewAction::OwnViewStale { member: from, epoch }));
        }
        if epoch > self.epoch() || !self.is_view_durable {
            self.queue_early_message(from, message);
        } else if self.is_active() {
            self.on_current_message(now, from, message, out);
        }
    }

    fn queue_early_message(&mut self, from: MemberId, message: ReplicaMessage) {
        if self.early_messages.len() >= MAX_EARLY_MESSAGES {
            self.early_messages.pop_front();
        }
        self.early_messages.push_back((from, message));
    }

    fn on_current_message(
        &mut self,
        now: Duration,
        from: MemberId,
        message: ReplicaMessage,
        out: &mut Vec<ReplicaAction>,
    ) {
        match message {
            ReplicaMessage::Resume { last_index, in_sync, is_learner, .. } => {
                let role = if is_learner { FollowerRole::Learner } else { FollowerRole::Successor };
                self.on_resume(now, from, Resume { last_index, in_sync, role }, out);
            }
            ReplicaMessage::RequestResume { .. } => self.on_request_resume(now, from, out),
            ReplicaMessage::Append { first_index, commands, commit_index, in_sync_index, .. } => {
                self.on_append(now, from, Append { first_index, commands, commit_index, in_sync_index }, out);
            }
            ReplicaMessage::SnapshotChunk { index, total_bytes, offset, bytes, .. } => {
                self.on_chunk(now, from, Chunk { index, total_bytes, offset, bytes }, out);
            }
            ReplicaMessage::SnapshotChunkAck { index, received_bytes, .. } => {
                self.on_chunk_ack(now, from, index, received_bytes);
            }
            ReplicaMessage::Ack { durable_index, commit_index, .. } => {
                self.on_ack(now, from, durable_index, commit_index, out);
            }
            ReplicaMessage::ConfirmView { round, .. } => self.on_confirm_view(from, round, out),
            ReplicaMessage::ViewConfirmed { round, commit_index, .. } => {
                self.on_view_confirmed(from, round, commit_index);
            }
            ReplicaMessage::Barrier { number, .. } => self.on_barrier(from, number, out),
            ReplicaMessage::BarrierCommitted { number, commit_index, .. } => {
                self.on_barrier_committed(from, number, commit_index, out);
            }
            ReplicaMessage::StaleEpoch { .. } => {}
        }
    }

    fn on_durable(&mut self, now: Duration, synced_token: u64, out: &mut Vec<ReplicaAction>) {
        while self.pending_records.front().is_some_and(|(token, _)| *token <= synced_token) {
            if let Some((_, record)) = self.pending_records.pop_front() {
                self.on_record_durable(now, record, out);
            }
        }
    }

    fn on_record_durable(&mut self, now: Duration, record: PendingRecord, out: &mut Vec<ReplicaAction>) {
        match record {
            PendingRecord::Entries { up_to } => self.log.mark_durable(up_to),
            PendingRecord::View { epoch } if epoch == self.epoch() => self.on_view_durable(now, out),
            PendingRecord::InSync { epoch } if epoch == self.epoch() => self.on_in_sync_durable(epoch, out),
            PendingRecord::Sealed { epoch } => self.on_seal_durable(epoch, out),
            PendingRecord::Snapshot { index, bytes } => self.on_snapshot_durable(index, bytes, out),
            PendingRecord::Barriers { epoch, reserved } if epoch == self.epoch() => {
                self.barriers.on_reservation_durable(reserved);
            }
            // A newer view has been installed since the write was started.
            PendingRecord::View { .. } | PendingRecord::InSync { .. } | PendingRecord::Barriers { .. } => {}
        }
    }

    /// Performs the steps that the event may have made possible.
    fn advance(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.commit_as_tail();
        self.apply_committed(out);
        self.check_in_sync(out);
        self.send_to_followers(now, out);
        self.acknowledge(out);
        self.process_reads(now, out);
        self.compact();
    }

    fn commit_as_tail(&mut self) {
        if self.is_serving() && self.is_tail() && self.can_commit() {
            self.log.commit_to(self.log.durable_index());
        }
    }

    fn compact(&mut self) {
        let factor = if self.snapshot.is_some() { SNAPSHOT_RETAIN_FACTOR } else { 1 };
        self.log.compact(self.settings.retain_entries * factor, self.settings.retain_bytes * factor);
    }

    fn apply_committed(&mut self, out: &mut Vec<ReplicaAction>) {
        let acknowledges = self.is_tail() && self.is_serving();
        while let Some((index, command)) = self.log.apply_next() {
            let should_reply = acknowledges && index > self.recovered_index;
            out.push(ReplicaAction::Apply { index, command, should_reply });
        }
    }
}
