//! One batch job while this edge drives it: its plan, its driver lease, and what of it is in flight.
//!
//! A [`JobExecution`] does no I/O. Its methods apply an event and return what the driver is to do; the tasks it owns are started by the
//! driver and end with it.

use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{DriverTerm, JobRecord, PartialText, ResultRecord};
use slotmap::new_key_type;
use tokio::task::JoinSet;

use super::checkpoint::{CheckpointParts, CheckpointSchedule, MAX_CHECKPOINT_BYTES};
use super::job_age::JobAge;
use super::partial_texts::PartialTextCache;
use super::plan::{
    CheckpointedTexts, GeneratedText, GenerationOutcome, JobPlan, NextStep, Placement, Rules, ScoringOutcome,
    StepProgress, StoreView, TextView,
};
use super::streams::{ActiveStreams, GenerationStream, InFlightText};
use super::timeline::JobTimeline;
use crate::index::KnownStore;

/// The interval between two checks whether surplus groups may start: each looks at all stores and items.
const SURPLUS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

new_key_type! {
    /// One term of this edge as the driver of one batch job.
    pub(super) struct ExecutionKey;
}

/// A task of an execution ended.
pub(super) enum TaskOutcome {
    /// A generation, with the item's text.
    Generation { item: u32, text: InFlightText, outcome: GenerationOutcome },
    /// A scoring call.
    Scoring { item: u32, outcome: ScoringOutcome },
    /// Results were acknowledged.
    ResultsAppended,
    /// A checkpoint: the parts that were acknowledged, or `None` if that is not known.
    Checkpoint { acknowledged: Option<CheckpointParts> },
}

/// The driver lease of an execution, on the clock of this process.
pub(super) struct DriverLease {
    term: DriverTerm,
    /// Nothing is sent from then on, unless a renewal succeeds.
    valid_until: Duration,
    /// The execution ends then, unless a renewal succeeds before: the end of the lease, or of the time for the first renewal.
    abandoned_at: Duration,
}

impl DriverLease {
    /// A lease of a term; until `abandoned_at` it waits for its first renewal, if it isn't valid from the start.
    pub(super) fn new(term: DriverTerm, valid_until: Duration, abandoned_at: Duration) -> Self {
        Self { term, valid_until, abandoned_at }
    }

    pub(super) fn term(&self) -> DriverTerm {
        self.term
    }

    pub(super) fn is_valid(&self, now: Duration) -> bool {
        now < self.valid_until
    }

    pub(super) fn is_abandoned(&self, now: Duration) -> bool {
        self.abandoned_at <= now
    }

    /// A renewal succeeded; returns whether the lease had expired, or was never valid.
    pub(super) fn extend(&mut self, until: Duration, now: Duration) -> bool {
        let was_invalid = self.valid_until <= now;
        self.valid_until = self.valid_until.max(until);
        self.abandoned_at = self.valid_until;
        was_invalid
    }
}

/// What an execution starts from.
pub(super) struct ExecutionStart {
    pub(super) plan: JobPlan,
    /// Items that have results already.
    pub(super) finished_items: Vec<u32>,
    /// Checkpoints of an earlier term, until the rules are known by which they are restored.
    pub(super) checkpoints: Vec<PartialText>,
    pub(super) age: JobAge,
    pub(super) lease: DriverLease,
    /// The time from submission within which the trainer wants all results.
    pub(super) target: Duration,
    /// The share of a core that this edge has.
    pub(super) cpu_share: f64,
}

/// One batch job that this edge drives.
pub(super) struct JobExecution {
    plan: JobPlan,
    age: JobAge,
    pub(super) lease: DriverLease,
    target: Duration,
    /// The deadline of all results.
    deadline: Duration,
    /// The rules of its route when that was last seen.
    rules: Option<Rules>,
    /// Results that are not appended yet.
    results: Vec<ResultRecord>,
    is_append_in_flight: bool,
    next_surplus_check: Duration,
    timeline: JobTimeline,
    streams: ActiveStreams,
    /// See [`ExecutionStart::checkpoints`].
    unrestored_checkpoints: Vec<PartialText>,
    checkpoints: CheckpointSchedule,
    /// Its generations, scoring calls, appends and checkpoints; dropping them cancels them.
    tasks: JoinSet<()>,
}

impl JobExecution {
    pub(super) fn new(now: Duration, start: ExecutionStart) -> Self {
        Self {
            timeline: JobTimeline::new(now, &start.plan, &start.finished_items),
            plan: start.plan,
            age: start.age,
            lease: start.lease,
            target: start.target,
            deadline: start.age.reaches(start.target),
            rules: None,
            results: Vec::new(),
            is_append_in_flight: false,
            next_surplus_check: now,
            streams: ActiveStreams::default(),
            unrestored_checkpoints: start.checkpoints,
            checkpoints: CheckpointSchedule::new(now, start.cpu_share),
            tasks: JoinSet::new(),
        }
    }

    pub(super) fn job(&self) -> &Arc<JobRecord> {
        self.plan.job()
    }

    pub(super) fn age(&self) -> JobAge {
        self.age
    }

    pub(super) fn deadline(&self) -> Duration {
        self.deadline
    }

    pub(super) fn timeline(&self) -> &JobTimeline {
        &self.timeline
    }

    /// Runs a task of this execution, which is cancelled when the execution ends.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Forgets the tasks that have ended.
    pub(super) fn reap_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Whether all items have results, and all results are acknowledged.
    pub(super) fn is_finished(&self) -> bool {
        self.plan.is_finished() && self.results.is_empty() && !self.is_append_in_flight
    }

    /// How far it has come.
    pub(super) fn progress(&self, now: Duration) -> StepProgress {
        StepProgress {
            time_left: self.deadline.saturating_sub(now),
            target: self.target,
            groups_left: self.timeline.groups_left(),
            desired_groups: self.plan.desired_groups(),
        }
    }

    /// Items of the groups that the trainer waits for and whose texts are not complete, from the average size of these groups.
    pub(super) fn desired_items_left(&self) -> usize {
        self.plan.desired_items() * self.timeline.groups_left() / self.plan.desired_groups().max(1)
    }

    /// Applies the outcome of a task; returns the item that is to be scored now, if any.
    pub(super) fn on_task_ended(&mut self, now: Duration, outcome: TaskOutcome) -> Option<u32> {
        let rules = self.rules?;
        match outcome {
            TaskOutcome::Generation { item, text, outcome } => {
                self.streams.remove(item);
                self.timeline.on_generation_ended(outcome);
                let step = self.plan.generation_ended(now, item, text.into_text(), outcome, rules);
                self.follow(now, item, step)
            }
            TaskOutcome::Scoring { item, outcome } => {
                let step = self.plan.scoring_ended(now, item, outcome, rules);
                self.follow(now, item, step)
            }
            TaskOutcome::ResultsAppended => {
                self.is_append_in_flight = false;
                None
            }
            TaskOutcome::Checkpoint { acknowledged } => {
                self.checkpoints.on_ended(now, acknowledged);
                None
            }
        }
    }

    fn follow(&mut self, now: Duration, item: u32, step: NextStep) -> Option<u32> {
        match step {
            NextStep::Wait => None,
            NextStep::Score => {
                self.timeline.on_text_completed(now, item);
                Some(item)
            }
            NextStep::Publish(result) => {
                self.timeline.on_result(now, item);
                self.results.push(result);
                None
            }
        }
    }

    /// Applies the rules of its route. With the first ones, texts of an earlier term are restored: checkpoints, then what this process
    /// still has. Items whose retention time is over are abandoned.
    pub(super) fn on_rules(&mut self, now: Duration, rules: Rules, partial_texts: &mut PartialTextCache) {
        if self.rules.is_none() {
            self.restore_checkpoints(now, rules);
            self.restore_partial_texts(rules, partial_texts);
        }
        self.rules = Some(rules);
        if rules.abandon_after.is_some_and(|deadline| deadline <= now) {
            self.abandon_idle_items();
        }
    }

    /// Its route is not in the configuration: removed if it was seen before, else maybe newer than this edge's configuration.
    pub(super) fn on_route_missing(&mut self) {
        if self.rules.is_some() {
            self.abandon_idle_items();
        }
    }

    fn abandon_idle_items(&mut self) {
        let abandoned = self.plan.abandon_idle_items();
        self.results.extend(abandoned);
    }

    fn restore_checkpoints(&mut self, now: Duration, rules: Rules) {
        let mut restored = std::mem::take(&mut self.unrestored_checkpoints);
        restored.retain(|text| self.plan.restore_checkpoint(now, text.clone(), rules));
        self.checkpoints.on_restored(&restored);
    }

    fn restore_partial_texts(&mut self, rules: Rules, partial_texts: &mut PartialTextCache) {
        let job = Arc::clone(self.plan.job());
        for (index, item) in job.items.iter().enumerate() {
            if let Some(text) = partial_texts.remove(&job.model, &item.id) {
                self.plan.restore_partial_text(index as u32, text, rules);
            }
        }
    }

    /// Items that are to be scored now, after a backoff.
    pub(super) fn take_due_scorings(&mut self, now: Duration) -> Vec<u32> {
        self.plan.take_due_scorings(now)
    }

    /// Whether an item waits for capacity at the stores.
    pub(super) fn has_items_to_place(&self, now: Duration) -> bool {
        self.plan.has_items_to_place(now)
    }

    /// Whether surplus groups are to be placed if there is capacity to spare; asked at the interval of these checks.
    pub(super) fn is_surplus_check_due(&mut self, now: Duration) -> bool {
        if now < self.next_surplus_check {
            return false;
        }
        self.next_surplus_check = now + SURPLUS_CHECK_INTERVAL;
        self.plan.has_surplus_groups()
    }

    /// Places what can start now, see [`JobPlan::place`].
    pub(super) fn place(&mut self, now: Duration, stores: &mut [StoreView], rules: Rules) -> Vec<Placement> {
        self.plan.place(now, stores, rules)
    }

    /// A generation starts at a store.
    pub(super) fn start_stream(
        &mut self,
        now: Duration,
        item: u32,
        store: Rc<KnownStore>,
        text: GeneratedText,
    ) -> Rc<GenerationStream> {
        self.timeline.on_sent(now);
        self.streams.start(item, store, text)
    }

    pub(super) fn streams_mut(&mut self) -> &mut ActiveStreams {
        &mut self.streams
    }

    /// Whether results wait to be appended and no append is in flight; if so, one counts as in flight from here on.
    pub(super) fn start_append(&mut self) -> bool {
        if self.is_append_in_flight || self.results.is_empty() {
            return false;
        }
        self.is_append_in_flight = true;
        true
    }

    /// Removes the results that are to be appended.
    pub(super) fn take_results(&mut self) -> Vec<ResultRecord> {
        std::mem::take(&mut self.results)
    }

    /// The next checkpoint, if it is due and there is something new.
    pub(super) fn start_checkpoint(&mut self, now: Duration) -> Option<CheckpointParts> {
        if self.checkpoints.next_timer().is_none_or(|due| due > now) {
            return None;
        }
        let (plan, streams) = (&self.plan, &self.streams);
        self.checkpoints.start(now, |checkpointed| unsaved_texts(plan, streams, checkpointed))
    }

    /// When the next timer expires: of the observation window, the checkpoints, the plan's backoffs, or the lease.
    pub(super) fn next_timer(&self, now: Duration, average_interval: Duration) -> Option<Duration> {
        let timers = [
            self.streams.window_end(average_interval),
            self.checkpoints.next_timer(),
            self.plan.next_timer(now),
            Some(self.lease.valid_until),
        ];
        timers.into_iter().flatten().min()
    }

    /// When the execution ends unless its lease is renewed.
    pub(super) fn abandoned_at(&self) -> Duration {
        self.lease.abandoned_at
    }

    /// Moves the texts of unfinished items to the cache. Dropping the execution then returns those of generations in flight.
    pub(super) fn release_texts(&mut self, partial_texts: &mut PartialTextCache) {
        let job = Arc::clone(self.plan.job());
        for (index, text) in self.plan.take_texts() {
            if let Some(item) = job.items.get(index as usize) {
                partial_texts.insert(&job.model, &item.id, text);
            }
        }
    }
}

/// Parts of texts that the partition does not have, up to the limit of a checkpoint: first those of items that are not in flight.
fn unsaved_texts(
    plan: &JobPlan,
    streams: &ActiveStreams,
    checkpointed: &CheckpointedTexts,
) -> Vec<PartialText> {
    let mut parts = checkpointed.next_parts(plan.texts_not_in_flight(), MAX_CHECKPOINT_BYTES);
    let mut remaining_bytes = MAX_CHECKPOINT_BYTES.saturating_sub(data_bytes(&parts));
    for (item, stream) in streams.iter() {
        let text = stream.text.borrow();
        let view = TextView { item, origin: plan.origin(item), text: &text, is_complete: false };
        let next = checkpointed.next_parts(std::iter::once(view), remaining_bytes);
        remaining_bytes = remaining_bytes.saturating_sub(data_bytes(&next));
        parts.extend(next);
    }
    parts
}

fn data_bytes(parts: &[PartialText]) -> usize {
    parts.iter().map(|part| part.data.len()).sum()
}
