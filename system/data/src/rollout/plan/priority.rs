//! The priority of a generation, by which its store orders requests. No edge knows all requests at a store, so only the store can order
//! them. The least slack goes first, so that a training step with seconds to spare yields to one without.

use std::time::Duration;

/// The priority of generations of surplus groups, for which the trainer does not wait: lower than all others.
const SURPLUS_PRIORITY: u8 = 8;
/// The maximum slack of each priority, the most urgent first.
const PRIORITY_BY_MAX_SLACK: [(Duration, u8); 4] = [
    (Duration::from_millis(1_000), 1),
    (Duration::from_millis(2_200), 2),
    (Duration::from_millis(3_500), 3),
    (Duration::from_millis(5_500), 4),
];
/// The priority for any larger slack. Stores assume it for a request without a priority.
const DEFAULT_PRIORITY: u8 = 5;
/// The expected duration of a training step, in percent of its target completion time.
const EXPECTED_DURATION_PERCENT: u32 = 60;

/// The progress of a training step.
#[derive(Clone, Copy, Debug)]
pub struct StepProgress {
    /// The time left until the deadline; zero if the deadline has passed.
    pub time_left: Duration,
    /// The time from submission to the deadline.
    pub target_completion: Duration,
    /// The number of groups that the trainer still waits for, because their texts are not complete.
    pub groups_left: usize,
    /// The number of complete groups that the trainer waits for in total.
    pub desired_groups: usize,
}

impl StepProgress {
    /// The time left minus the expected duration of the rest of the step; zero if that is negative.
    fn slack(self) -> Duration {
        let remaining_fraction = self.groups_left as f64 / self.desired_groups.max(1) as f64;
        let expected_duration =
            (self.target_completion * EXPECTED_DURATION_PERCENT / 100).mul_f64(remaining_fraction.min(1.0));
        self.time_left.saturating_sub(expected_duration)
    }
}

/// The priority of a generation of a training step; 0 is the most urgent.
#[must_use]
pub fn priority(progress: StepProgress, is_surplus: bool) -> u8 {
    if is_surplus {
        return SURPLUS_PRIORITY;
    }
    let slack = progress.slack();
    let bracket = PRIORITY_BY_MAX_SLACK.iter().find(|(max_slack, _)| slack <= *max_slack);
    bracket.map_or(DEFAULT_PRIORITY, |(_, priority)| *priority)
}
