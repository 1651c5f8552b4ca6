//! The priority that a generation carries to its store. No edge sees all requests at a store, so the store orders them: least slack
//! first, so that a step with seconds to spare yields to one that has none.

use std::time::Duration;

/// Generations of surplus groups, which the trainer does not wait for: behind all others.
const SURPLUS: u8 = 8;
/// The largest slack of each priority, the most urgent first.
const PRIORITY_BY_MAX_SLACK: [(Duration, u8); 4] = [
    (Duration::from_millis(1_000), 1),
    (Duration::from_millis(2_200), 2),
    (Duration::from_millis(3_500), 3),
    (Duration::from_millis(5_500), 4),
];
/// Any larger slack. Stores treat a request without a priority the same.
const DEFAULT_PRIORITY: u8 = 5;
/// The expected duration of a step, in percent of its target completion time.
const PLANNED_PERCENT: u32 = 60;

/// How far a training step has come.
#[derive(Clone, Copy, Debug)]
pub struct StepProgress {
    /// The time left until its deadline; zero if that has passed.
    pub time_left: Duration,
    /// The time from submission to the deadline.
    pub target: Duration,
    /// Groups that the trainer waits for and whose texts are not complete.
    pub groups_left: usize,
    /// Groups that the trainer waits for.
    pub desired_groups: usize,
}

impl StepProgress {
    /// The time left less the expected duration of the rest of the step.
    fn slack(self) -> Duration {
        let remaining_fraction = self.groups_left as f64 / self.desired_groups.max(1) as f64;
        let expected = (self.target * PLANNED_PERCENT / 100).mul_f64(remaining_fraction.min(1.0));
        self.time_left.saturating_sub(expected)
    }
}

/// The priority of a generation of a step.
#[must_use]
pub fn priority(progress: StepProgress, is_surplus: bool) -> u8 {
    if is_surplus {
        return SURPLUS;
    }
    let slack = progress.slack();
    let bracket = PRIORITY_BY_MAX_SLACK.iter().find(|(max_slack, _)| slack <= *max_slack);
    bracket.map_or(DEFAULT_PRIORITY, |(_, priority)| *priority)
}
