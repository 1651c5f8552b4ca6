//! The age of a batch job, on a clock that may differ from that of the process that accepted it.

use std::time::Duration;

/// A lower bound of a batch job's age at one moment of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobAge {
    /// When the age was received.
    pub(super) at: Duration,
    /// The age then, or less.
    pub(super) age: Duration,
}

impl JobAge {
    /// When the batch job has certainly reached an age.
    pub(super) fn reaches(self, age: Duration) -> Duration {
        (self.at + age).saturating_sub(self.age)
    }
}
