//! The age of a batch job, on the clock of this process, which may differ from that of the process that accepted the job.

use std::time::Duration;

/// A lower bound of a batch job's age at one time of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobAge {
    /// The time at which the age was received.
    pub(super) received_at: Duration,
    /// A lower bound of the batch job's age at that time.
    pub(super) min_age: Duration,
}

impl JobAge {
    /// The time from which on the batch job has certainly reached an age.
    pub(super) fn reached_at(self, age: Duration) -> Duration {
        (self.received_at + age).saturating_sub(self.min_age)
    }
}
