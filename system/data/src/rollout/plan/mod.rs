//! The plan of one batch job: where each of its generations runs, and what follows from each outcome. It does no I/O, reads no clock
//! and draws randomness from a seed.
//!
//! Groups start in the trainer's order and are placed together, each generation at the store with the fewest requests of this edge in
//! flight ([`gingerledge_dispatch::batch_filling`]).
//!
//! Invariant: an item gets exactly one result. [`JobPlan`] publishes each result once, and `abandoned` only after a rejection, as many
//! failures as the route allows, the end of the retention time, or the removal of the route.

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
pub use weight_loading::LoadingStores;

/// What the route of a batch job prescribes now, and what this edge can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// All events of one text must be made under one version.
    pub single_version: bool,
    /// An item is abandoned after so many responses 500.
    pub max_attempts: u32,
    /// Items that wait are abandoned from then on, on the clock of the plan; `None` if never.
    pub abandon_after: Option<Duration>,
    /// Groups start only while this edge has no more requests in flight than this, theirs included, unless their start is due.
    pub max_streams: u32,
    /// When the start of each group is due.
    pub start_window: StartWindow,
    /// Surplus groups start only while this edge has no more requests in flight than this, theirs included.
    pub max_streams_for_surplus: u32,
}

/// The time in which the groups that the trainer waits for are due to start, one after the other at even distances; on the clock of the
/// plan. It bounds for how long [`Rules::max_streams`] holds a group back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartWindow {
    /// The duration of the window, from the submission of the batch job.
    pub duration: Duration,
    /// Its end, when all are due.
    pub end: Duration,
}

impl StartWindow {
    /// How many of so many groups are due to have started by now.
    fn groups_due(self, now: Duration, groups: usize) -> usize {
        let left = self.end.saturating_sub(now);
        if left.is_zero() {
            return groups;
        }
        let elapsed = self.duration.saturating_sub(left);
        (groups as f64 * elapsed.as_secs_f64() / self.duration.as_secs_f64()) as usize
    }
}

/// What the driver does after an outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// Nothing now; the plan places the item again later.
    Wait,
    /// The text is complete: make the scoring call.
    Score,
    /// The item is finished: append its result to those of the batch job.
    Publish(ResultRecord),
}

/// The plan of one batch job that this edge drives.
#[derive(Debug)]
pub struct JobPlan {
    job: Arc<JobRecord>,
    items: Vec<Item>,
    groups: Groups,
    random: fastrand::Rng,
    /// When an item was last placed, or [`Self::place`] first called; on the clock of the plan.
    last_placed: Option<Duration>,
}

impl JobPlan {
    /// A plan for a batch job of which the items in `finished` have results already.
    #[must_use]
    pub fn new(job: Arc<JobRecord>, finished: &[u32], seed: u64) -> Self {
        let mut items: Vec<Item> = job.items.iter().map(|_| Item::default()).collect();
        for &index in finished {
            if let Some(item) = items.get_mut(index as usize) {
                item.state = State::Finished;
            }
        }
        let groups = Groups::new(&job);
        Self { job, items, groups, random: fastrand::Rng::with_seed(seed), last_placed: None }
    }

    /// The batch job.
    #[must_use]
    pub fn job(&self) -> &Arc<JobRecord> {
        &self.job
    }

    /// How many complete groups the trainer waits for.
    #[must_use]
    pub fn desired_groups(&self) -> usize {
        self.groups.desired
    }

    /// How many items the groups have that the trainer waits for.
    #[must_use]
    pub fn desired_items(&self) -> usize {
        self.groups.desired_items()
    }

    /// The group of each item, and how many groups there are.
    #[must_use]
    pub fn groups_of_items(&self) -> (Vec<usize>, usize) {
        let mut group_of = vec![0; self.items.len()];
        for (number, group) in self.groups.all.iter().enumerate() {
            for &index in &group.items {
                if let Some(group) = group_of.get_mut(index as usize) {
                    *group = number;
                }
            }
        }
        (group_of, self.groups.all.len())
    }

    /// Restores a partial text that this process holds of an item, if the item has not started and the versions are allowed.
    pub fn restore_partial_text(&mut self, index: u32, text: GeneratedText, rules: Rules) {
        let min_version = self.job.min_version;
        if let Some(item) = self.items.get_mut(index as usize) {
            if item.is_unstarted() && text.has_allowed_versions(min_version, rules.single_version) {
                item.text = text;
            }
        }
    }

    /// Restores a text from the checkpoint of another driver, if the item has not started and the versions are allowed; returns whether
    /// it did.
    pub fn restore_checkpoint(&mut self, now: Duration, checkpoint: PartialText, rules: Rules) -> bool {
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

    /// Identifies the start of an item's text (see [`TextView::origin`]); 0 for an unknown item.
    #[must_use]
    pub fn origin(&self, index: u32) -> u64 {
        self.items.get(index as usize).map_or(0, |item| item.origin)
    }

    /// Removes the texts so far of the unfinished items, for the next driver of the batch job in this process.
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

    /// A generation ended; `text` is the item's text with what it brought.
    pub fn generation_ended(
        &mut self,
        now: Duration,
        index: u32,
        text: GeneratedText,
        outcome: GenerationOutcome,
        rules: Rules,
    ) -> NextStep {
        let Some(item) = self.items.get_mut(index as usize) else { return NextStep::Wait };
        if item.state != State::Generating {
            return NextStep::Wait;
        }
        item.text = text;
        if !item.text.has_allowed_versions(self.job.min_version, rules.single_version) {
            item.discard_text();
        }
        let step = item.generation_ended(now, outcome, rules, &mut self.random);
        self.with_result(index, step)
    }

    /// A scoring call ended.
    pub fn scoring_ended(
        &mut self,
        now: Duration,
        index: u32,
        outcome: ScoringOutcome,
        rules: Rules,
    ) -> NextStep {
        let Some(item) = self.items.get_mut(index as usize) else { return NextStep::Wait };
        if item.state != State::Scoring {
            return NextStep::Wait;
        }
        let step = item.scoring_ended(now, outcome, rules, &mut self.random);
        self.with_result(index, step)
    }

    /// Items whose scoring call is to be made again now; they count as in flight from here on.
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

    /// The route is certainly removed, or the retention time is over: abandons all items that are not in flight.
    pub fn abandon_idle_items(&mut self) -> Vec<ResultRecord> {
        let mut results = Vec::new();
        for (index, item) in self.items.iter_mut().enumerate() {
            if matches!(item.state, State::Waiting { .. } | State::AwaitingScore { .. }) {
                item.state = State::Finished;
                results.push(abandoned(index as u32));
            }
        }
        results
    }

    /// When the next backoff ends: the latest time for the next call of [`Self::place`] or [`Self::take_due_scorings`].
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

    fn with_result(&mut self, index: u32, step: item::ItemStep) -> NextStep {
        match step {
            item::ItemStep::Wait => NextStep::Wait,
            item::ItemStep::Score => NextStep::Score,
            item::ItemStep::Abandoned => NextStep::Publish(abandoned(index)),
            item::ItemStep::Completed { score } => {
                let text = self.items.get_mut(index as usize).map(|item| std::mem::take(&mut item.text));
                let (text, versions) = text.unwrap_or_default().into_parts();
                NextStep::Publish(ResultRecord { item: index, completed: true, text, versions, score })
            }
        }
    }
}

fn abandoned(item: u32) -> ResultRecord {
    ResultRecord { item, completed: false, text: Vec::new(), versions: Vec::new(), score: String::new() }
}
