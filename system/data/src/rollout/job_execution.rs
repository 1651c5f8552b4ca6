//! The execution of one batch job while this edge drives it: its plan, its driver lease, and its tasks and streams in flight.
//!
//! A [`JobExecution`] does no I/O. Its methods apply an event and return the driver's next action. It owns the tasks that the driver
//! starts for it; they are cancelled when it is dropped.

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
    CheckpointedTexts, GeneratedText, GenerationOutcome, JobPlan, JobRules, NextAction, Placement,
    ScoringOutcome, StepProgress, StoreView, TextView,
};
use super::streams::{ActiveStreams, GenerationStream, InFlightText};
use super::timeline::JobTimeline;
use crate::index::KnownStore;

/// The interval between two checks whether surplus groups may start. Each check iterates over all stores and items.
const SURPLUS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

new_key_type! {
    /// Identifies one term of this edge as the driver of one batch job.
    pub(super) struct ExecutionKey;
}

/// The outcome of a task of an execution.
pub(super) enum TaskOutcome {
    /// A generation ended; `text` is the item's text including its new events.
    Generation { item: u32, text: InFlightText, outcome: GenerationOutcome },
    /// A scoring call ended.
    Scoring { item: u32, outcome: ScoringOutcome },
    /// An append of results was acknowledged.
    ResultsAppended,
    /// A checkpoint ended; `None` if there was no acknowledgement, so that it is unknown whether the parts were stored.
    Checkpoint { acknowledged: Option<CheckpointParts> },
}

/// The driver lease of an execution, on the clock of this process.
pub(super) struct DriverLease {
    term: DriverTerm,
    /// The time from which on nothing is sent, unless a renewal succeeds.
    valid_until: Duration,
    /// The time at which the execution ends unless a renewal succeeds before: the end of the lease, or before the first renewal the end of
    /// the time allowed for it.
    renewal_deadline: Duration,
}

impl DriverLease {
    /// A lease for a term. If it is not valid from the start, its first renewal may succeed until `renewal_deadline`.
    pub(super) fn new(term: DriverTerm, valid_until: Duration, renewal_deadline: Duration) -> Self {
        Self { term, valid_until, renewal_deadline }
    }

    pub(super) fn term(&self) -> DriverTerm {
        self.term
    }

    pub(super) fn is_valid(&self, now: Duration) -> bool {
        now < self.valid_until
    }

    pub(super) fn is_renewal_overdue(&self, now: Duration) -> bool {
        self.renewal_deadline <= now
    }

    /// Extends the lease after a successful renewal; returns whether the lease had expired, or was never valid.
    pub(super) fn extend(&mut self, valid_until: Duration, now: Duration) -> bool {
        let was_invalid = self.valid_until <= now;
        self.valid_until = self.valid_until.max(valid_until);
        self.renewal_deadline = self.valid_until;
        was_invalid
    }
}

/// The initial values of an execution.
pub(super) struct ExecutionStart {
    pub(super) plan: JobPlan,
    /// The indices of the items that have results already.
    pub(super) finished_items: Vec<u32>,
    /// Checkpoints of an earlier term. They are restored once the rules of the route are known.
    pub(super) checkpoints: Vec<PartialText>,
    pub(super) age: JobAge,
    pub(super) lease: DriverLease,
    /// The time from submission to the deadline of all results; zero if the route is not known.
    pub(super) target_completion: Duration,
    /// The share of a core that this edge has.
    pub(super) cpu_share: f64,
}

/// The execution of one batch job that this edge drives.
pub(super) struct JobExecution {
    plan: JobPlan,
    age: JobAge,
    pub(super) lease: DriverLease,
    /// The time from submission to the deadline of all results.
    target_completion: Duration,
    /// The deadline of all results, on the clock of this process.
    deadline: Duration,
    /// The rules of the batch job's route when the route was last in the configuration; `None` if it never was.
    rules: Option<JobRules>,
    /// Results that are still to be sent in an append.
    results: Vec<ResultRecord>,
    is_append_in_flight: bool,
    next_surplus_check: Duration,
    timeline: JobTimeline,
    streams: ActiveStreams,
    /// Checkpoints of an earlier term that are still to be restored.
    unrestored_checkpoints: Vec<PartialText>,
    checkpoints: CheckpointSchedule,
    /// The tasks of generations, scoring calls, appends and checkpoints. Dropping the set cancels them.
    tasks: JoinSet<()>,
}

impl JobExecution {
    pub(super) fn new(now: Duration, start: ExecutionStart) -> Self {
        Self {
            timeline: JobTimeline::new(now, &start.plan, &start.finished_items),
            plan: start.plan,
            age: start.age,
            lease: start.lease,
            target_completion: start.target_completion,
            deadline: start.age.reached_at(start.target_completion),
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

    /// Starts a task of this execution. It is cancelled when the execution ends.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    /// Removes the tasks that have ended from the set of tasks.
    pub(super) fn reap_tasks(&mut self) {
        while self.tasks.try_join_next().is_some() {}
    }

    /// Whether all items have results, and all results are acknowledged.
    pub(super) fn is_finished(&self) -> bool {
        self.plan.is_finished() && self.results.is_empty() && !self.is_append_in_flight
    }

    /// The progress of the training step.
    pub(super) fn progress(&self, now: Duration) -> StepProgress {
        StepProgress {
            time_left: self.deadline.saturating_sub(now),
            target_completion: self.target_completion,
            groups_left: self.timeline.groups_left(),
            desired_groups: self.plan.desired_groups(),
        }
    }

    /// An estimate of the number of items whose texts are not complete in the groups that the trainer waits for, from the average size of
    /// these groups.
    pub(super) fn desired_items_left(&self) -> usize {
        self.plan.desired_items() * self.timeline.groups_left() / self.plan.desired_groups().max(1)
    }

    /// Applies the outcome of a task; returns the item that is to be scored next, if any.
    pub(super) fn on_task_ended(&mut self, now: Duration, outcome: TaskOutcome) -> Option<u32> {
        let rules = self.rules?;
        match outcome {
            TaskOutcome::Generation { item, text, outcome } => {
                self.streams.remove(item);
                self.timeline.on_generation_ended(outcome);
                let action = self.plan.generation_ended(now, item, text.into_text(), outcome, rules);
                self.apply_action(now, item, action)
            }
            TaskOutcome::Scoring { item, outcome } => {
                let action = self.plan.scoring_ended(now, item, outcome, rules);
                self.apply_action(now, item, action)
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

    fn apply_action(&mut self, now: Duration, item: u32, action: NextAction) -> Option<u32> {
        match action {
            NextAction::Wait => None,
            NextAction::Score => {
                self.timeline.on_text_completed(now, item);
                Some(item)
            }
            NextAction::Publish(result) => {
                self.timeline.on_result(now, item);
                self.results.push(result);
                None
            }
        }
    }

    /// Applies the rules of the batch job's route. The first call restores texts of an earlier term: from checkpoints first, then from the
    /// cache of partial texts of this process. If the retention time is over, items that are not in flight are abandoned.
    pub(super) fn apply_rules(
        &mut self,
        now: Duration,
        rules: JobRules,
        partial_texts: &mut PartialTextCache,
    ) {
        if self.rules.is_none() {
            self.restore_checkpoints(now, rules);
            self.restore_partial_texts(rules, partial_texts);
        }
        self.rules = Some(rules);
        if rules.abandon_after.is_some_and(|deadline| deadline <= now) {
            self.abandon_idle_items();
        }
    }

    /// Called when the batch job's route is not in the configuration. If it was there before, it was removed, and items that are not in
    /// flight are abandoned. Otherwise it may be newer than this edge's configuration, and nothing happens.
    pub(super) fn on_route_missing(&mut self) {
        if self.rules.is_some() {
            self.abandon_idle_items();
        }
    }

    fn abandon_idle_items(&mut self) {
        let abandoned = self.plan.abandon_idle_items();
        self.results.extend(abandoned);
    }

    fn restore_checkpoints(&mut self, now: Duration, rules: JobRules) {
        let mut restored = std::mem::take(&mut self.unrestored_checkpoints);
        restored.retain(|text| self.plan.restore_checkpoint(now, text.clone(), rules));
        self.checkpoints.on_restored(&restored);
    }

    fn restore_partial_texts(&mut self, rules: JobRules, partial_texts: &mut PartialTextCache) {
        let job = Arc::clone(self.plan.job());
        for (index, item) in job.items.iter().enumerate() {
            if let Some(text) = partial_texts.remove(&job.model, &item.id) {
                self.plan.restore_partial_text(index as u32, text, rules);
            }
        }
    }

    /// Removes and returns the items whose backoff has ended and that are to be scored again now.
    pub(super) fn take_due_scorings(&mut self, now: Duration) -> Vec<u32> {
        self.plan.take_due_scorings(now)
    }

    /// Whether an item waits for capacity at the stores.
    pub(super) fn has_items_to_place(&self, now: Duration) -> bool {
        self.plan.has_items_to_place(now)
    }

    /// Whether to check now for spare capacity for surplus groups. Returns true at most once per [`SURPLUS_CHECK_INTERVAL`].
    pub(super) fn is_surplus_check_due(&mut self, now: Duration) -> bool {
        if now < self.next_surplus_check {
            return false;
        }
        self.next_surplus_check = now + SURPLUS_CHECK_INTERVAL;
        self.plan.has_unstarted_groups()
    }

    /// Places the items that can start now, see [`JobPlan::place`].
    pub(super) fn place(
        &mut self,
        now: Duration,
        stores: &mut [StoreView],
        rules: JobRules,
    ) -> Vec<Placement> {
        self.plan.place(now, stores, rules)
    }

    /// Adds the stream of a generation that starts at a store; `text` is the item's text so far.
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

    /// Whether an append is to be started: there are results and no append is in flight. If so, marks an append as in flight.
    pub(super) fn start_append(&mut self) -> bool {
        if self.is_append_in_flight || self.results.is_empty() {
            return false;
        }
        self.is_append_in_flight = true;
        true
    }

    /// Removes and returns the results that are to be appended.
    pub(super) fn take_results(&mut self) -> Vec<ResultRecord> {
        std::mem::take(&mut self.results)
    }

    /// Starts the next checkpoint, if it is due and there are new parts of texts.
    pub(super) fn start_checkpoint(&mut self, now: Duration) -> Option<CheckpointParts> {
        if self.checkpoints.next_timer().is_none_or(|due| due > now) {
            return None;
        }
        let (plan, streams) = (&self.plan, &self.streams);
        self.checkpoints.start(now, |checkpointed| unsaved_parts(plan, streams, checkpointed))
    }

    /// The time at which the next timer expires: of the observation window, the checkpoints, the plan's backoffs, or the lease.
    pub(super) fn next_timer(&self, now: Duration, average_interval: Duration) -> Option<Duration> {
        let timers = [
            self.streams.window_end(average_interval),
            self.checkpoints.next_timer(),
            self.plan.next_timer(now),
            Some(self.lease.valid_until),
        ];
        timers.into_iter().flatten().min()
    }

    /// The time at which the execution ends unless its lease is renewed.
    pub(super) fn renewal_deadline(&self) -> Duration {
        self.lease.renewal_deadline
    }

    /// Moves the texts of unfinished items that are not in flight to the cache. When the execution is dropped, the texts of generations in
    /// flight follow.
    pub(super) fn release_texts(&mut self, partial_texts: &mut PartialTextCache) {
        let job = Arc::clone(self.plan.job());
        for (index, text) in self.plan.take_texts() {
            if let Some(item) = job.items.get(index as usize) {
                partial_texts.insert(&job.model, &item.id, text);
            }
        }
    }
}

/// Parts of texts that the partition has not stored, up to the size limit of a checkpoint. Items that are not in flight come first.
fn unsaved_parts(
    plan: &JobPlan,
    streams: &ActiveStreams,
    checkpointed: &CheckpointedTexts,
) -> Vec<PartialText> {
    let mut parts = checkpointed.next_parts(plan.texts_not_in_flight(), MAX_CHECKPOINT_BYTES);
    let mut remaining_bytes = MAX_CHECKPOINT_BYTES.saturating_sub(data_bytes(&parts));
    for (item, stream) in streams.iter() {
        let text = stream.text.borrow();
        let view = TextView { item, origin: plan.origin(item), text: &text, is_complete: false };
        let stream_parts = checkpointed.next_parts(std::iter::once(view), remaining_bytes);
        remaining_bytes = remaining_bytes.saturating_sub(data_bytes(&stream_parts));
        parts.extend(stream_parts);
    }
    parts
}

fn data_bytes(parts: &[PartialText]) -> usize {
    parts.iter().map(|part| part.data.len()).sum()
}
