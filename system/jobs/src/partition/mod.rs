//! One partition at one backend: its replica, its state, and what its head and its tail keep beside them. Sans I/O.
//!
//! The head takes questions that write and proposes commands; the tail answers them once they are committed. The tail
//! answers reads. A replica that is neither, or that does not count in its view, answers [`JobsResponse::Unavailable`].

mod ages;
mod asks;
mod creations;
mod driving;
mod holds;
mod output;
mod reads;

use std::collections::VecDeque;
use std::time::Duration;

use gingerledge_chain::{
    LogRecord, MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, View, ViewAction, ViewEvent,
};
use gingerledge_wire::{JobsResponse, PartitionRecord};

pub use holds::{EdgeState, Edges};
pub use output::{Context, PartitionAction};

use crate::error::JobsError;
use crate::settings::JobsSettings;
use crate::store::{Asker, Command, Proposal, Store};
use ages::Ages;
use asks::Renewals;
pub use asks::Room;
use creations::Creations;
use holds::Holds;
use output::answer;
use reads::Reads;

/// More views than these are not gone through one by one; a replica that missed more catches up anew.
const MOST_SKIPPED_VIEWS: u64 = 4096;

/// One partition at one backend.
#[derive(Debug)]
pub struct Partition {
    me: MemberId,
    settings: JobsSettings,
    seed: u64,
    replica: Replica,
    store: Store,
    /// The last entry in `store`.
    applied: u64,
    /// The last token given out, and the one after which those of the present replica start.
    last_token: u64,
    first_token: u64,
    /// The state could not be read; this replica takes part in nothing.
    broken: bool,
    is_head: bool,
    is_tail: bool,
    reads: Reads,
    renewals: Renewals,
    creations: Creations,
    holds: Holds,
    ages: Ages,
    next_read: u64,
    next_forget: Duration,
    next_keep_ages: Duration,
    actions: VecDeque<ReplicaAction>,
}

impl Partition {
    /// A partition that nothing is known of.
    pub fn new(me: MemberId, settings: JobsSettings, seed: u64) -> Self {
        let replica = Replica::new(me, settings.replica.clone(), seed);
        Self::with_replica(me, settings, replica, seed)
    }

    /// A partition with what the disk holds of it.
    pub fn recover(me: MemberId, records: &[LogRecord], settings: JobsSettings, seed: u64) -> Self {
        let replica = Replica::recover(me, records, settings.replica.clone(), seed);
        Self::with_replica(me, settings, replica, seed)
    }

    fn with_replica(me: MemberId, settings: JobsSettings, replica: Replica, seed: u64) -> Self {
        Self {
            me,
            settings,
            seed,
            replica,
            store: Store::default(),
            applied: 0,
            last_token: 0,
            first_token: 0,
            broken: false,
            is_head: false,
            is_tail: false,
            reads: Reads::default(),
            renewals: Renewals::default(),
            creations: Creations::default(),
            holds: Holds::default(),
            ages: Ages::default(),
            next_read: 0,
            next_forget: Duration::ZERO,
            next_keep_ages: Duration::ZERO,
            actions: VecDeque::new(),
        }
    }

    /// The process has started; given once, first.
    pub fn start(&mut self, context: &mut Context<'_>) {
        self.replicate(context, ReplicaEvent::Started);
    }

    /// A chain has been decided.
    pub fn install(&mut self, context: &mut Context<'_>, record: &PartitionRecord) {
        if record.epoch <= self.replica.epoch() {
            return;
        }
        if self.is_certainly_full(record) {
            let mut before: Vec<_> = members(record).take_while(|member| *member != self.me).collect();
            before.push(self.me);
            for epoch in self.replica.epoch() + 1..record.epoch {
                let view = View { epoch, chain: before.clone() };
                self.replicate(context, ReplicaEvent::View(ViewEvent::Install { view }));
            }
        }
        let view = View { epoch: record.epoch, chain: members(record).collect() };
        self.replicate(context, ReplicaEvent::View(ViewEvent::Install { view }));
    }

    /// Whether this replica holds all that was committed before a chain, though it never heard of some chains before it.
    ///
    /// The map of partitions keeps a member as full only from one chain to the next, and no chain commits without all its
    /// members. So nothing was committed in the missed chains that this member would not hold. The missed views are then
    /// gone through one after the other, as if only this member and those before it had stayed: they were before it all the
    /// time, since new members join at the end. All are on the disk in one batch, and none of them is ever in force here.
    fn is_certainly_full(&self, record: &PartitionRecord) -> bool {
        let missed = record.epoch.saturating_sub(self.replica.epoch() + 1);
        let counted = match self.replica.view() {
            None => self.replica.last_index() == 0,
            Some(_) => self.replica.is_in_sync(),
        };
        counted && (1..=MOST_SKIPPED_VIEWS).contains(&missed) && record.in_sync.contains(&self.me.0)
    }

    /// A message from another replica.
    pub fn receive(&mut self, context: &mut Context<'_>, from: MemberId, message: ReplicaMessage) {
        self.replicate(context, ReplicaEvent::Message { from, message });
    }

    /// All records up to those of this token are synced.
    pub fn durable(&mut self, context: &mut Context<'_>, token: u64) {
        // A replica that was given up since waits for nothing any more.
        if let Some(token) = token.checked_sub(self.first_token).filter(|token| *token > 0) {
            self.replicate(context, ReplicaEvent::Durable { token });
        }
    }

    /// The time of [`Partition::next_timer`] has come.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        if self.replica.next_timer().is_some_and(|timer| timer <= context.now) {
            self.replicate(context, ReplicaEvent::TimerExpired);
        }
        self.answer_reads(context);
        if self.is_head {
            self.look_after_holds(context);
            self.look_for_forgotten(context);
        }
    }

    /// When [`Partition::tick`] is wanted next.
    pub fn next_timer(&self) -> Option<Duration> {
        let holds = self.holds.next_timer(self.timeouts()).filter(|_| self.is_head);
        let forget = (self.is_head && self.store.bytes() > 0).then_some(self.next_forget);
        [self.replica.next_timer(), self.reads.next_timer(), holds, forget].into_iter().flatten().min()
    }

    /// The state.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The newest view known.
    pub fn view(&self) -> Option<&View> {
        self.replica.view()
    }

    /// The epoch in which this replica counts, if it does.
    pub fn full_epoch(&self) -> Option<u64> {
        (self.replica.is_in_sync() && !self.broken).then(|| self.replica.epoch())
    }

    /// Bytes of batch jobs, those on their way too.
    pub fn bytes(&self) -> u64 {
        self.store.bytes() + self.creations.bytes()
    }

    /// Everything that must stay on the disk; none while it can't be told, ask again later.
    pub fn checkpoint(&self) -> Result<Option<Vec<LogRecord>>, JobsError> {
        Ok(self.replica.checkpoint(self.store.encode()?))
    }

    /// Gives the replica an event, and carries out all that follows.
    fn replicate(&mut self, context: &mut Context<'_>, event: ReplicaEvent) {
        if self.broken {
            return;
        }
        self.feed(context.now, event);
        while let Some(action) = self.actions.pop_front() {
            self.act(context, action);
            if self.broken {
                self.actions.clear();
            }
        }
        self.follow_role(context);
        self.answer_reads(context);
    }

    fn feed(&mut self, now: Duration, event: ReplicaEvent) {
        let mut actions = Vec::new();
        self.replica.handle(now, event, &mut actions);
        self.actions.extend(actions);
    }

    fn act(&mut self, context: &mut Context<'_>, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                context.out.push(PartitionAction::SendMember { to, message })
            }
            ReplicaAction::Persist { token, records } => self.persist(context, token, records),
            ReplicaAction::Apply { index, command, reply } => self.apply(context, index, &command, reply),
            ReplicaAction::TakeSnapshot => self.take_snapshot(context),
            ReplicaAction::InstallSnapshot { index, bytes } => self.install_snapshot(context, index, &bytes),
            ReplicaAction::ReadReady { token, .. } => self.read_ready(context, token),
            ReplicaAction::ReadFailed { token } => self.read_failed(context, token),
            ReplicaAction::NotHead { command, .. } | ReplicaAction::Busy { command } => {
                self.not_taken(context, &command)
            }
            ReplicaAction::View(ViewAction::Installed { .. }) => self.drop_copy_if_left(context),
            ReplicaAction::BecameInSync { .. }
            | ReplicaAction::View(_)
            | ReplicaAction::BarrierCommitted { .. } => {}
        }
    }

    fn apply(&mut self, context: &mut Context<'_>, index: u64, command: &[u8], reply: bool) {
        self.applied = index;
        let proposal = match Proposal::decode(command) {
            Ok(proposal) => proposal,
            Err(error) => return self.fail(&error),
        };
        let id = proposal.command.job().cloned();
        let created = matches!(proposal.command, Command::Create { .. });
        let outcome = self.store.apply(proposal.command);
        let Some(id) = id else { return self.ages.observe_all(context.now, &self.store) };
        self.observe_age(context, &id, proposal.age);
        if let Some(asker) = proposal.asker.filter(|_| reply) {
            context.out.push(answer(asker, outcome.answer(asker.edge)));
        }
        if created {
            let askers = self.creations.remove(&id);
            context.out.extend(askers.into_iter().map(|asker| answer(asker, outcome.answer(asker.edge))));
        }
        if self.is_head {
            self.follow_driver(context, &id, &outcome);
        }
    }

    fn observe_age(&mut self, context: &Context<'_>, id: &str, age: Duration) {
        self.store.reach_age(id, age);
        match self.store.job(id) {
            Some(job) => self.ages.observe(context.now, id, job),
            None => self.ages.forget(id),
        }
    }

    fn take_snapshot(&mut self, context: &mut Context<'_>) {
        match self.store.encode() {
            Ok(bytes) => self.feed(context.now, ReplicaEvent::SnapshotReady { index: self.applied, bytes }),
            Err(error) => self.fail(&error),
        }
    }

    fn install_snapshot(&mut self, context: &Context<'_>, index: u64, bytes: &[u8]) {
        self.applied = index;
        let store = if bytes.is_empty() { Ok(Store::default()) } else { Store::decode(bytes) };
        match store {
            Ok(store) => self.store = store,
            Err(error) => return self.fail(&error),
        }
        self.ages.observe_all(context.now, &self.store);
    }

    fn persist(&mut self, context: &mut Context<'_>, token: u64, records: Vec<LogRecord>) {
        self.last_token = self.first_token + token;
        context.out.push(PartitionAction::Persist { token: self.last_token, records });
    }

    /// Outside the chain a copy is worth nothing: whoever comes back into it catches up anew. The view stays known, so that
    /// an older chain never brings this member back.
    fn drop_copy_if_left(&mut self, context: &mut Context<'_>) {
        let Some(view) = self.replica.view().filter(|view| !view.contains(self.me)).cloned() else { return };
        if self.replica.last_index() == 0 {
            return;
        }
        let records = vec![
            LogRecord::Snapshot { index: 0, bytes: Vec::new() },
            LogRecord::View { view, in_sync: false },
        ];
        let seed = self.seed.wrapping_add(self.last_token);
        self.replica = Replica::recover(self.me, &records, self.settings.replica.clone(), seed);
        self.actions.clear();
        self.persist(context, self.last_token + 1 - self.first_token, records);
        self.first_token = self.last_token;
        self.feed(context.now, ReplicaEvent::Started);
    }

    /// What every replica holds alike can't be read here: going on could only make this copy differ from the others.
    fn fail(&mut self, error: &JobsError) {
        log::error!("a partition stops here: {error}");
        self.broken = true;
    }

    /// Takes up or gives up what only a head or only a tail keeps.
    fn follow_role(&mut self, context: &mut Context<'_>) {
        let serving = self.replica.is_serving() && !self.broken;
        let view = self.replica.view();
        let is_head = serving && view.is_some_and(|view| view.head() == Some(self.me));
        let is_tail = serving && view.is_some_and(|view| view.tail() == Some(self.me));
        let begins_as_head = is_head && !self.is_head;
        if begins_as_head {
            self.holds.restart(context.now, &self.store);
            self.next_forget = context.now + self.settings.forget_every;
            self.next_keep_ages = context.now + self.settings.keep_ages_every;
        }
        if !is_head && self.is_head {
            self.holds.clear();
            self.creations.clear();
            let askers = self.renewals.fail_all();
            context.out.extend(askers.into_iter().map(|asker| answer(asker, JobsResponse::Unavailable)));
        }
        if !is_tail && self.is_tail {
            let askers = self.reads.fail_all();
            context.out.extend(askers.into_iter().map(|asker| answer(asker, JobsResponse::Unavailable)));
        }
        self.is_head = is_head;
        self.is_tail = is_tail;
        if begins_as_head {
            // Drivers that have ended while there was no head are replaced at once.
            self.look_after_holds(context);
        }
    }

    /// Proposes a command at the head.
    fn propose(&mut self, context: &mut Context<'_>, asker: Option<Asker>, command: Command) {
        let age = command.job().map_or(Duration::ZERO, |id| self.ages.age(context.now, id));
        match (Proposal { asker, age, command }).encode() {
            Ok(command) => self.replicate(context, ReplicaEvent::Submit { command }),
            Err(error) => log::error!("a command was not proposed: {error}"),
        }
    }

    /// A command was refused by the replica here.
    fn not_taken(&mut self, context: &mut Context<'_>, command: &[u8]) {
        let Ok(proposal) = Proposal::decode(command) else { return };
        let mut askers: Vec<_> = proposal.asker.into_iter().collect();
        match &proposal.command {
            Command::Create { job, .. } => askers.extend(self.creations.remove(&job.id)),
            Command::Drive { job, .. } => self.holds.not_replaced(job),
            _ => {}
        }
        context.out.extend(askers.into_iter().map(|asker| answer(asker, JobsResponse::Unavailable)));
    }

    fn answer_reads(&mut self, context: &mut Context<'_>) {
        if self.reads.len() > 0 {
            let answers = self.reads.answers(context.now, &self.store);
            context.out.extend(answers.into_iter().map(|(asker, body)| answer(asker, body)));
        }
    }
}

fn members(record: &PartitionRecord) -> impl Iterator<Item = MemberId> + '_ {
    record.chain.iter().copied().map(MemberId)
}
