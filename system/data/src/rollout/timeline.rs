//! The milestones of a batch job's execution, logged in one line at its end to show which phase delayed a late training step.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::plan::{GenerationOutcome, JobPlan};

/// The milestones of one execution, on the clock of this process.
#[derive(Debug)]
pub(super) struct JobTimeline {
    started_at: Duration,
    /// The number of complete groups that the trainer waits for.
    desired_groups: usize,
    /// The index of each item's group.
    group_of_item: Vec<usize>,
    /// The number of items without a complete text, by group.
    incomplete_texts: Vec<u32>,
    /// The number of items without a result, by group.
    missing_results: Vec<u32>,
    /// The number of groups whose texts are all complete.
    groups_with_texts: usize,
    /// The number of groups whose items all have results.
    groups_with_results: usize,
    first_sent_at: Option<Duration>,
    last_sent_at: Option<Duration>,
    /// The time at which the texts of `desired_groups` groups were complete.
    desired_texts_completed_at: Option<Duration>,
    /// The time at which all items of `desired_groups` groups had results.
    desired_results_completed_at: Option<Duration>,
    /// The number of generations sent to a store.
    sent: u32,
    /// The number of generations that never ran.
    never_ran: u32,
    /// The number of generations that ended otherwise without completing their texts.
    interrupted: u32,
}

impl JobTimeline {
    /// The timeline of an execution that starts now; the items in `finished` have results already.
    pub(super) fn new(now: Duration, plan: &JobPlan, finished: &[u32]) -> Self {
        let (group_of_item, groups) = plan.groups_of_items();
        let mut sizes = vec![0; groups];
        for &group in &group_of_item {
            if let Some(size) = sizes.get_mut(group) {
                *size += 1;
            }
        }
        let mut timeline = Self {
            started_at: now,
            desired_groups: plan.desired_groups(),
            group_of_item,
            incomplete_texts: sizes.clone(),
            missing_results: sizes,
            groups_with_texts: 0,
            groups_with_results: 0,
            first_sent_at: None,
            last_sent_at: None,
            desired_texts_completed_at: None,
            desired_results_completed_at: None,
            sent: 0,
            never_ran: 0,
            interrupted: 0,
        };
        for &item in finished {
            timeline.on_text_completed(now, item);
            timeline.on_result(now, item);
        }
        timeline
    }

    /// Records that a generation was sent to a store.
    pub(super) fn on_sent(&mut self, now: Duration) {
        self.sent += 1;
        self.first_sent_at.get_or_insert(now);
        self.last_sent_at = Some(now);
    }

    /// Records the outcome of a generation.
    pub(super) fn on_generation_ended(&mut self, outcome: GenerationOutcome) {
        match outcome {
            GenerationOutcome::NeverRan => self.never_ran += 1,
            GenerationOutcome::Completed => {}
            _ => self.interrupted += 1,
        }
    }

    /// Records that the text of an item is complete.
    pub(super) fn on_text_completed(&mut self, now: Duration, item: u32) {
        if decrement_group_count(&self.group_of_item, &mut self.incomplete_texts, item) {
            self.groups_with_texts += 1;
            if self.groups_with_texts == self.desired_groups {
                self.desired_texts_completed_at = Some(now);
            }
        }
    }

    /// The number of groups that the trainer still waits for. A group counts as complete once all its texts are.
    pub(super) fn groups_left(&self) -> usize {
        self.desired_groups.saturating_sub(self.groups_with_texts)
    }

    /// Records that an item has its result.
    pub(super) fn on_result(&mut self, now: Duration, item: u32) {
        if decrement_group_count(&self.group_of_item, &mut self.missing_results, item) {
            self.groups_with_results += 1;
            if self.groups_with_results == self.desired_groups {
                self.desired_results_completed_at = Some(now);
            }
        }
    }

    fn format_since_start(&self, at: Option<Duration>) -> String {
        at.map_or_else(
            || "never".to_owned(),
            |at| format!("{} ms", at.saturating_sub(self.started_at).as_millis()),
        )
    }
}

/// Decrements the count of an item's group; returns whether it became zero.
fn decrement_group_count(group_of_item: &[usize], counts: &mut [u32], item: u32) -> bool {
    let count = group_of_item.get(item as usize).and_then(|&group| counts.get_mut(group));
    let Some(count) = count.filter(|count| **count > 0) else { return false };
    *count -= 1;
    *count == 0
}

impl Display for JobTimeline {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "first sent {}, last sent {}, texts of {} desired groups complete {}, results {}; {} groups complete; sent {}, rejected {}, \
             interrupted {}",
            self.format_since_start(self.first_sent_at),
            self.format_since_start(self.last_sent_at),
            self.desired_groups,
            self.format_since_start(self.desired_texts_completed_at),
            self.format_since_start(self.desired_results_completed_at),
            self.groups_with_texts,
            self.sent,
            self.never_ran,
            self.interrupted
        )
    }
}
