//! The milestones of a batch job's execution, for one log line at its end: it shows what a late step was waiting for.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use super::plan::{GenerationOutcome, JobPlan};

/// The milestones of one execution, on the clock of this process.
#[derive(Debug)]
pub(super) struct JobTimeline {
    started_at: Duration,
    desired_groups: usize,
    /// The group of each item.
    group_of: Vec<usize>,
    /// Items without a complete text, by group.
    incomplete_texts: Vec<u32>,
    /// Items without a result, by group.
    missing_results: Vec<u32>,
    complete_groups: usize,
    published_groups: usize,
    first_sent: Option<Duration>,
    last_sent: Option<Duration>,
    texts_completed: Option<Duration>,
    published: Option<Duration>,
    sent: u32,
    rejected: u32,
    interrupted: u32,
}

impl JobTimeline {
    /// Of an execution that starts now, with results of some items.
    pub(super) fn new(now: Duration, plan: &JobPlan, finished: &[u32]) -> Self {
        let (group_of, groups) = plan.groups_of_items();
        let mut sizes = vec![0; groups];
        for &group in &group_of {
            if let Some(size) = sizes.get_mut(group) {
                *size += 1;
            }
        }
        let mut timeline = Self {
            started_at: now,
            desired_groups: plan.desired_groups(),
            group_of,
            incomplete_texts: sizes.clone(),
            missing_results: sizes,
            complete_groups: 0,
            published_groups: 0,
            first_sent: None,
            last_sent: None,
            texts_completed: None,
            published: None,
            sent: 0,
            rejected: 0,
            interrupted: 0,
        };
        for &item in finished {
            timeline.on_text_completed(now, item);
            timeline.on_result(now, item);
        }
        timeline
    }

    /// An item was sent to a store.
    pub(super) fn on_sent(&mut self, now: Duration) {
        self.sent += 1;
        self.first_sent.get_or_insert(now);
        self.last_sent = Some(now);
    }

    /// A generation ended.
    pub(super) fn on_generation_ended(&mut self, outcome: GenerationOutcome) {
        match outcome {
            GenerationOutcome::NeverRan => self.rejected += 1,
            GenerationOutcome::Completed => {}
            _ => self.interrupted += 1,
        }
    }

    /// The text of an item is complete.
    pub(super) fn on_text_completed(&mut self, now: Duration, item: u32) {
        if decrement(&self.group_of, &mut self.incomplete_texts, item) {
            self.complete_groups += 1;
            if self.complete_groups == self.desired_groups {
                self.texts_completed = Some(now);
            }
        }
    }

    /// How many groups the trainer still waits for, by complete texts.
    pub(super) fn groups_left(&self) -> usize {
        self.desired_groups.saturating_sub(self.complete_groups)
    }

    /// An item has its result.
    pub(super) fn on_result(&mut self, now: Duration, item: u32) {
        if decrement(&self.group_of, &mut self.missing_results, item) {
            self.published_groups += 1;
            if self.published_groups == self.desired_groups {
                self.published = Some(now);
            }
        }
    }

    fn since_start(&self, at: Option<Duration>) -> String {
        at.map_or_else(
            || "never".to_owned(),
            |at| format!("{} ms", at.saturating_sub(self.started_at).as_millis()),
        )
    }
}

/// Decrements the count of an item's group; returns whether it was the last one.
fn decrement(group_of: &[usize], counts: &mut [u32], item: u32) -> bool {
    let group = group_of.get(item as usize).and_then(|&group| counts.get_mut(group));
    let Some(count) = group.filter(|count| **count > 0) else { return false };
    *count -= 1;
    *count == 0
}

impl Display for JobTimeline {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "first sent {}, last sent {}, texts of {} desired groups complete {}, results {}; {} groups complete; sent {}, rejected {}, \
             interrupted {}",
            self.since_start(self.first_sent),
            self.since_start(self.last_sent),
            self.desired_groups,
            self.since_start(self.texts_completed),
            self.since_start(self.published),
            self.complete_groups,
            self.sent,
            self.rejected,
            self.interrupted
        )
    }
}
