//! One copy of a replicated log in a chain.
//!
//! The head numbers commands; each member syncs an entry before it passes it on; what the tail has synced is committed.
//! So the durable log of a member always begins with that of its successor, and every member of a chain holds all that
//! the chain has committed. The view comes from outside ([`ReplicaEvent::Install`]): whoever decides views must decide
//! each epoch once, and may keep a member as the first of the next chain only if it reported
//! [`ReplicaAction::BecameInSync`] in the epoch before. A member counts (it is *full*) in a view if it counted in the view
//! just before and all that stand before it in the chain stood before it then; so members that stay keep their order
//! and come first. Any other member drops what it doesn't know to be committed, and catches up from its predecessor
//! before it counts.
//!
//! The host's duties towards the disk are those of [`ControlChain`](crate::ControlChain).

mod barrier;
mod feed;
mod install;
mod intake;
mod interface;
mod log;
mod reads;
mod recovery;

use std::collections::VecDeque;
use std::time::Duration;

use crate::{LogRecord, MemberId, ReplicaMessage, ReplicaSettings, View};
use barrier::Barriers;
use feed::{Feed, HostSnapshot};
use intake::Intake;
pub use interface::{ReplicaAction, ReplicaEvent};
use log::Log;
use reads::Reads;

/// What a sync that is under way will have made durable.
#[derive(Clone, Debug)]
enum Pending {
    Entries { up_to: u64 },
    View { epoch: u64 },
    Full { epoch: u64 },
    Sealed { epoch: u64 },
    Snapshot { index: u64, bytes: Vec<u8> },
    Barriers { epoch: u64, reserved: u64 },
}

/// Most messages kept for a view that isn't in force here yet.
const EARLY_MESSAGES: usize = 64;

/// How many times the usual number of entries is retained while a snapshot is on its way to another member.
const SNAPSHOT_RETAIN_FACTOR: usize = 4;

/// One copy of a replicated log.
#[derive(Clone, Debug)]
pub struct Replica {
    me: MemberId,
    settings: ReplicaSettings,
    view: Option<View>,
    /// Whether the view's record is on the disk.
    installed: bool,
    /// Whether this member counts in the view.
    in_sync: bool,
    /// Whether the record of that is being written.
    becoming_in_sync: bool,
    /// The highest sealed epoch.
    sealed: u64,
    learning: bool,
    /// Entries up to here were known to be committed before this life; nobody waits for an answer.
    recovered: u64,
    log: Log,
    next_token: u64,
    pending: VecDeque<(u64, Pending)>,
    intake: Intake,
    feeds: Vec<Feed>,
    snapshot: Option<HostSnapshot>,
    snapshot_asked: bool,
    /// The state found on the disk, until it is given to the host.
    stored_state: Option<Vec<u8>>,
    reads: Reads,
    barriers: Barriers,
    early: VecDeque<(MemberId, ReplicaMessage)>,
}

impl Replica {
    /// A replica with an empty disk and no view. The seed must differ from life to life.
    pub fn new(me: MemberId, settings: ReplicaSettings, seed: u64) -> Self {
        Self {
            me,
            settings,
            view: None,
            installed: false,
            in_sync: false,
            becoming_in_sync: false,
            sealed: 0,
            learning: false,
            recovered: 0,
            log: Log::default(),
            next_token: 0,
            pending: VecDeque::new(),
            intake: Intake::default(),
            feeds: Vec::new(),
            snapshot: None,
            snapshot_asked: false,
            stored_state: None,
            reads: Reads::new(seed),
            barriers: Barriers::default(),
            early: VecDeque::new(),
        }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: ReplicaEvent, out: &mut Vec<ReplicaAction>) {
        match event {
            ReplicaEvent::Started => self.on_started(now, out),
            ReplicaEvent::Install { view } => self.install(view, out),
            ReplicaEvent::Seal { epoch } => self.on_seal(epoch, out),
            ReplicaEvent::FollowAsLearner => self.on_learn(now, out),
            ReplicaEvent::Message { from, message } => self.on_message(now, from, message, out),
            ReplicaEvent::Durable { token } => self.on_durable(now, token, out),
            ReplicaEvent::Submit { command } => self.on_submit(command, out),
            ReplicaEvent::Read { token } => self.on_read(now, token, out),
            ReplicaEvent::SnapshotReady { index, bytes } => self.on_snapshot_ready(now, index, bytes, out),
            ReplicaEvent::TimerExpired => self.on_tick(now, out),
        }
        self.advance(now, out);
    }

    /// When [`ReplicaEvent::TimerExpired`] is wanted next.
    pub fn next_timer(&self) -> Option<Duration> {
        let timers = [self.feed_timer(), self.intake_timer(), self.reads_timer(), self.barrier_timer()];
        timers.into_iter().flatten().min()
    }

    /// This member's identity.
    pub fn me(&self) -> MemberId {
        self.me
    }

    /// The newest view known.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The epoch of the newest view known; 0 without one.
    pub fn epoch(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Whether this member counts in its view's chain.
    pub fn is_in_sync(&self) -> bool {
        self.in_sync && self.in_chain()
    }

    /// Whether this member takes part in its view's chain now, with all that is committed.
    pub fn is_serving(&self) -> bool {
        self.is_active() && self.is_in_sync()
    }

    /// The last entry given to the host.
    pub fn applied_index(&self) -> u64 {
        self.log.applied_index()
    }

    /// The last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.log.commit_index()
    }

    /// The last entry held, durable or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Takes part in nothing more of this epoch, as of now. The caller persists that before it tells anybody.
    pub fn seal_in_memory(&mut self, epoch: u64) {
        self.sealed = self.sealed.max(epoch);
    }

    fn in_chain(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.contains(self.me))
    }

    /// Whether the view is in force: on the disk, and not sealed.
    fn is_active(&self) -> bool {
        self.installed && self.sealed < self.epoch()
    }

    fn is_tail(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.tail() == Some(self.me))
    }

    fn is_head(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.head() == Some(self.me))
    }

    fn commits(&self) -> bool {
        self.view.as_ref().is_some_and(|view| view.chain.len() >= self.settings.min_chain_length)
    }

    fn persist(&mut self, records: Vec<LogRecord>, pending: Pending, out: &mut Vec<ReplicaAction>) {
        self.next_token += 1;
        self.pending.push_back((self.next_token, pending));
        out.push(ReplicaAction::Persist { token: self.next_token, records });
    }

    fn on_submit(&mut self, command: Vec<u8>, out: &mut Vec<ReplicaAction>) {
        if !self.is_head() {
            let head = self.view.as_ref().and_then(View::head);
            out.push(ReplicaAction::NotHead { command, head });
            return;
        }
        let uncommitted = self.log.last_index() - self.log.commit_index();
        let too_many = uncommitted >= self.settings.max_uncommitted_entries
            || self.log.unapplied_bytes() + command.len() > self.settings.max_uncommitted_bytes;
        if !self.is_serving() || too_many {
            out.push(ReplicaAction::Busy { command });
            return;
        }
        let record = self.log.append(self.epoch(), command);
        let pending = Pending::Entries { up_to: self.log.last_index() };
        self.persist(vec![record], pending, out);
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
                out.push(ReplicaAction::OwnViewStale { member: from, epoch });
            }
            return;
        }
        if epoch < self.epoch() {
            let message = ReplicaMessage::StaleEpoch { epoch: self.epoch() };
            out.push(ReplicaAction::Send { to: from, message });
            return;
        }
        if epoch > self.epoch() {
            out.push(ReplicaAction::OwnViewStale { member: from, epoch });
        }
        if epoch > self.epoch() || !self.installed {
            self.keep_early(from, message);
        } else if self.is_active() {
            self.dispatch(now, from, message, out);
        }
    }

    fn keep_early(&mut self, from: MemberId, message: ReplicaMessage) {
        if self.early.len() >= EARLY_MESSAGES {
            self.early.pop_front();
        }
        self.early.push_back((from, message));
    }

    fn dispatch(
        &mut self,
        now: Duration,
        from: MemberId,
        message: ReplicaMessage,
        out: &mut Vec<ReplicaAction>,
    ) {
        match message {
            ReplicaMessage::Resume { last_index, in_sync, learner, .. } => {
                self.on_resume(now, from, last_index, in_sync, learner, out)
            }
            ReplicaMessage::RequestResume { .. } => self.on_ask_resume(now, from, out),
            ReplicaMessage::Append { first_index, commands, commit_index, in_sync_index, .. } => {
                self.on_append(now, from, first_index, commands, commit_index, in_sync_index, out)
            }
            ReplicaMessage::SnapshotChunk { index, total, offset, bytes, .. } => {
                self.on_chunk(now, from, intake::Chunk { index, total, offset, bytes }, out)
            }
            ReplicaMessage::SnapshotChunkAck { index, received, .. } => {
                self.on_chunk_ack(now, from, index, received)
            }
            ReplicaMessage::Ack { durable_index, commit_index, .. } => {
                self.on_ack(now, from, durable_index, commit_index, out)
            }
            ReplicaMessage::ConfirmView { round, .. } => self.on_probe(from, round, out),
            ReplicaMessage::ViewConfirmed { round, commit_index, .. } => {
                self.on_confirm(from, round, commit_index)
            }
            ReplicaMessage::Barrier { number, .. } => self.on_barrier(from, number, out),
            ReplicaMessage::BarrierCommitted { number, commit_index, .. } => {
                self.on_barrier_done(from, number, commit_index, out)
            }
            ReplicaMessage::StaleEpoch { .. } => {}
        }
    }

    fn on_durable(&mut self, now: Duration, token: u64, out: &mut Vec<ReplicaAction>) {
        while self.pending.front().is_some_and(|(first, _)| *first <= token) {
            if let Some((_, pending)) = self.pending.pop_front() {
                self.made_durable(now, pending, out);
            }
        }
    }

    fn made_durable(&mut self, now: Duration, pending: Pending, out: &mut Vec<ReplicaAction>) {
        match pending {
            Pending::Entries { up_to } => self.log.synced(up_to),
            Pending::View { epoch } if epoch == self.epoch() => self.in_force(now, out),
            Pending::Full { epoch } if epoch == self.epoch() => self.now_full(epoch, out),
            Pending::Sealed { epoch } => {
                let in_sync = self.is_in_sync() && epoch == self.epoch();
                out.push(ReplicaAction::Sealed { epoch, in_sync, last_index: self.log.last_index() })
            }
            Pending::Snapshot { index, bytes } => self.snapshot_durable(index, bytes, out),
            Pending::Barriers { epoch, reserved } => self.barriers.reserved(epoch == self.epoch(), reserved),
            Pending::View { .. } | Pending::Full { .. } => {}
        }
    }

    /// Carries through what has become possible.
    fn advance(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.commit_as_tail();
        self.apply(out);
        self.check_full(out);
        self.pump_feeds(now, out);
        self.acknowledge(out);
        self.finish_reads(now, out);
        self.trim();
    }

    fn commit_as_tail(&mut self) {
        if self.is_serving() && self.is_tail() && self.commits() {
            self.log.commit(self.log.durable_index());
        }
    }

    fn trim(&mut self) {
        let factor = if self.snapshot.is_some() { SNAPSHOT_RETAIN_FACTOR } else { 1 };
        self.log.trim(self.settings.retain_entries * factor, self.settings.retain_bytes * factor);
    }

    fn apply(&mut self, out: &mut Vec<ReplicaAction>) {
        let tail = self.is_tail() && self.is_serving();
        while let Some((index, command)) = self.log.take_next() {
            let reply = tail && index > self.recovered;
            out.push(ReplicaAction::Apply { index, command, reply });
        }
    }
}
