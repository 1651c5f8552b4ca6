//! The plan of one batch job: decides at which store each generation runs, and which action follows each outcome. The plan does no I/O and
//! reads no clock; its random numbers are generated from a seed.
//!
//! Groups start in the trainer's order. The items of a group are placed together, each at the store with the fewest requests of this edge
//! in flight ([`gingerledge_dispatch::batch_filling`]).
//!
//! Invariant: an item gets exactly one result. [`JobPlan`] publishes each result once. It abandons an item only if its request is invalid,
//! after as many failures as the route allows, after the end of the retention time, or after the removal of the route.

mod capacity;
mod checkpoint;
mod generated_text;
mod groups;
mod item;
mod placement;
mod priority;
mod progress_rate;
mod stream_migration;
mod weight_loading;

use std::sync::Arc;
use std::time::Duration;

use gingerledge_wire::{JobRecord, PartialText, ResultRecord};

pub use capacity::StoreCapacities;
pub use checkpoint::{CheckpointedTexts, TextView};
pub use generated_text::{EventAddition, GeneratedText, MAX_TEXT_BYTES};
pub use groups::Groups;
pub use item::{GenerationOutcome, ScoringOutcome};
use item::{Item, State};
pub use placement::{Placement, StoreView};
pub use priority::{priority, StepProgress};
pub use progress_rate::ProgressRates;
pub use stream_migration::{observation_window, streams_to_migrate, StreamView};
pub use weight_loading::WeightLoadingStores;

/// The current rules of a batch job's route, and the limits of this edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobRules {
    /// Whether all events of one text must be generated under one version of the weights.
    pub single_version: bool,
    /// The number of responses 500 after which an item is abandoned.
    pub max_attempts: u32,
    /// The time from which on waiting items are abandoned, on the clock of the plan; `None` if there is no limit.
    pub abandon_after: Option<Duration>,
    /// The maximum number of requests that this edge may have in flight when a desired group starts, including those of the group. It does
    /// not apply to groups whose start is due.
    pub max_streams: u32,
    /// The window in which desired groups are due to start.
    pub start_window: StartWindow,
    /// The maximum number of requests that this edge may have in flight when a surplus group starts, including those of the group.
    pub max_streams_for_surplus: u32,
}

/// The time window in which the desired groups, those that the trainer waits for, are due to start, one after the other at equal
/// intervals. It bounds the time for which [`JobRules::max_streams`] can delay a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartWindow {
    /// The duration of the window, which begins with the submission of the batch job.
    pub duration: Duration,
    /// The end of the window, at which all desired groups are due, on the clock of the plan.
    pub end: Duration,
}

impl StartWindow {
    /// The number of groups, out of `desired_groups`, that are due to have started by now.
    fn groups_due(self, now: Duration, desired_groups: usize) -> usize {
        let time_left = self.end.saturating_sub(now);
        if time_left.is_zero() {
            return desired_groups;
        }
        let elapsed = self.duration.saturating_sub(time_left);
        (desired_groups as f64 * elapsed.as_secs_f64() / self.duration.as_secs_f64()) as usize
    }
}

/// The driver's next action for an item after an outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum NextAction {
    /// Nothing now. The plan places the item, or returns it for scoring, again later.
    Wait,
    /// Make the scoring call, because the text is complete.
    Score,
    /// Append this result to those of the batch job, because the item is finished.
    Publish(ResultRecord),
}

/// The plan of one batch job that this edge drives.
#[derive(Debug)]
pub struct JobPlan {
    job: Arc<JobRecord>,
    items: Vec<Item>,
    groups: Groups,
    random: fastrand::Rng,
    /// The time at which an item was last placed, or else [`Self::place`] was first called, on the clock of the plan.
    last_placed_at: Option<Duration>,
}

impl JobPlan {
    /// A plan for a batch job. The items whose indices are in `finished` have results already; `seed` is that of the random numbers.
    #[must_use]
    pub fn new(job: Arc<JobRecord>, finished: &[u32], seed: u64) -> Self {
        let mut items: Vec<Item> = job.items.iter().map(|_| Item::default()).collect();
        for &index in finished {
            if let Some(item) = items.get_mut(index as usize) {
                item.state = State::Finished;
            }
        }
        let groups = Groups::new(&job);
        Self { job, items, groups, random: fastrand::Rng::with_seed(seed), last_placed_at: None }
    }

    /// The batch job of this plan.
    #[must_use]
    pub fn job(&self) -> &Arc<JobRecord> {
        &self.job
    }

    /// The number of complete groups that the trainer waits for.
    #[must_use]
    pub fn desired_groups(&self) -> usize {
        self.groups.desired_count
    }

    /// The number of items in the groups that the trainer waits for, assuming that these are the first groups.
    #[must_use]
    pub fn desired_items(&self) -> usize {
        self.groups.desired_items()
    }

    /// The index of each item's group, and the number of groups.
    #[must_use]
    pub fn groups_of_items(&self) -> (Vec<usize>, usize) {
        let mut group_of_item = vec![0; self.items.len()];
        for (group_index, group) in self.groups.all.iter().enumerate() {
            for &index in &group.items {
                if let Some(item_group) = group_of_item.get_mut(index as usize) {
                    *item_group = group_index;
                }
            }
        }
        (group_of_item, self.groups.all.len())
    }

    /// Restores an item's partial text from the cache of this process, if the item has not started and the versions are allowed.
    pub fn restore_partial_text(&mut self, index: u32, text: GeneratedText, rules: JobRules) {
        let min_version = self.job.min_version;
        if let Some(item) = self.items.get_mut(index as usize) {
            if item.is_unstarted() && text.has_allowed_versions(min_version, rules.single_version) {
                item.text = text;
            }
        }
    }

    /// Restores a text from the checkpoint of another driver, if the item has not started and the versions are allowed. Returns whether the
    /// text was restored.
    pub fn restore_checkpoint(&mut self, now: Duration, checkpoint: PartialText, rules: JobRules) -> bool {
        let Some(item) = self.items.get_mut(checkpoint.item as usize) else { return false };
        let (origin, is_complete) = (checkpoint.origin, checkpoint.is_complete);
        let text = GeneratedText::from_checkpoint(checkpoint);
        if !item.is_unstarted() || !text.has_allowed_versions(self.job.min_version, rules.single_version) {
            return false;
        }
        item.restore_checkpoint(now, text, origin, is_complete);
        true
    }

    /// The texts so far of unfinished items that are not in flight at a store.
    pub fn texts_not_in_flight(&self) -> impl Iterator<Item = TextView<'_>> {
        let unfinished = self.items.iter().enumerate().filter(|(_, item)| item.state != State::Finished);
        unfinished.map(|(index, item)| {
            let is_complete = matches!(item.state, State::AwaitingScore { .. } | State::Scoring);
            TextView { item: index as u32, origin: item.origin, text: &item.text, is_complete }
        })
    }

    /// The identifier of the generation that started an item's text (see [`TextView::origin`]); 0 for an unknown item.
    #[must_use]
    pub fn origin(&self, index: u32) -> u64 {
        self.items.get(index as usize).map_or(0, |item| item.origin)
    }

    /// Removes and returns the texts so far of the unfinished items, so that the next driver of the batch job in this process can resume
    /// them.
    pub fn take_texts(&mut self) -> Vec<(u32, GeneratedText)> {
        let unfinished = self.items.iter_mut().enumerate().filter(|(_, item)| item.state != State::Finished);
        unfinished
            .map(|(index, item)| (index as u32, std::mem::take(&mut item.text)))
            .filter(|(_, text)| !text.is_empty())
            .collect()
    }

    /// Whether all items have results.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.items.iter().all(|item| item.state == State::Finished)
    }

    /// Applies the outcome of an item's generation; `text` is the item's text including the new events.
    pub fn generation_ended(
        &mut self,
        now: Duration,
        index: u32,
        text: GeneratedText,
        outcome: GenerationOutcome,
        rules: JobRules,
    ) -> NextAction {
        let Some(item) = self.items.get_mut(index as usize) else { return NextAction::Wait };
        if item.state != State::Generating {
            return NextAction::Wait;
        }
        item.text = text;
        if !item.text.has_allowed_versions(self.job.min_version, rules.single_version) {
            item.discard_text();
        }
        let action = item.generation_ended(now, outcome, rules, &mut self.random);
        self.next_action(index, action)
    }

    /// Applies the outcome of an item's scoring call.
    pub fn scoring_ended(
        &mut self,
        now: Duration,
        index: u32,
        outcome: ScoringOutcome,
        rules: JobRules,
    ) -> NextAction {
        let Some(item) = self.items.get_mut(index as usize) else { return NextAction::Wait };
        if item.state != State::Scoring {
            return NextAction::Wait;
        }
        let action = item.scoring_ended(now, outcome, rules, &mut self.random);
        self.next_action(index, action)
    }

    /// The items whose scoring call is to be made again now. The call marks them as in flight.
    pub fn take_due_scorings(&mut self, now: Duration) -> Vec<u32> {
        let mut due = Vec::new();
        for (index, item) in self.items.iter_mut().enumerate() {
            if matches!(item.state, State::AwaitingScore { not_before } if not_before <= now) {
                item.state = State::Scoring;
                due.push(index as u32);
            }
        }
        due
    }

    /// Abandons all items that are not in flight, because the route was certainly removed or the retention time is over.
    pub fn abandon_idle_items(&mut self) -> Vec<ResultRecord> {
        let mut results = Vec::new();
        for (index, item) in self.items.iter_mut().enumerate() {
            if matches!(item.state, State::Waiting { .. } | State::AwaitingScore { .. }) {
                item.state = State::Finished;
                results.push(abandoned_result(index as u32));
            }
        }
        results
    }

    /// The time at which the next backoff ends, by which [`Self::place`] and [`Self::take_due_scorings`] are to be called again.
    #[must_use]
    pub fn next_timer(&self, now: Duration) -> Option<Duration> {
        let backoffs = self.items.iter().filter_map(|item| match item.state {
            State::Waiting { not_before } | State::AwaitingScore { not_before } if not_before > now => {
                Some(not_before)
            }
            _ => None,
        });
        backoffs.min()
    }

    /// The driver's next action, with the item's result if it is finished.
    fn next_action(&mut self, index: u32, action: item::ItemAction) -> NextAction {
        match action {
            item::ItemAction::Wait => NextAction::Wait,
            item::ItemAction::Score => NextAction::Score,
            item::ItemAction::Abandoned => NextAction::Publish(abandoned_result(index)),
            item::ItemAction::Completed { score } => {
                let text = self.items.get_mut(index as usize).map(|item| std::mem::take(&mut item.text));
                let (text, versions) = text.unwrap_or_default().into_parts();
                NextAction::Publish(ResultRecord { item: index, completed: true, text, versions, score })
            }
        }
    }
}

fn abandoned_result(item: u32) -> ResultRecord {
    ResultRecord { item, completed: false, text: Vec::new(), versions: Vec::new(), score: String::new() }
}
