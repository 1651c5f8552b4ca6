//! The candidate state of one process: the current attempt to get a majority of grants, and the time until which the lease is
//! held.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::VoterId;

/// One round of requests to all voters.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u64,
    /// Whether the lease was held when the requests were sent.
    pub is_renewal: bool,
    /// When the requests were sent. The duration of the lease is counted from this time, since no voter can have granted earlier.
    pub sent_at: Duration,
    pub grants: BTreeSet<VoterId>,
    /// For each voter that refused: how long it will continue to refuse.
    pub refusals: BTreeMap<VoterId, Duration>,
}

impl Attempt {
    /// The time until a majority may grant, according to the refusals so far. A voter that has not responded is assumed to grant
    /// now. Voters that refuse for a long time, such as one that has just started, do not count if the others form a majority.
    pub(crate) fn time_until_majority(&self, majority: usize, voter_count: usize) -> Duration {
        let mut remaining_waits: Vec<Duration> = self.refusals.values().copied().collect();
        remaining_waits.sort();
        let not_refused = voter_count.saturating_sub(remaining_waits.len());
        match majority.checked_sub(not_refused + 1) {
            None => Duration::ZERO,
            Some(position) => {
                remaining_waits.get(position).or(remaining_waits.last()).copied().unwrap_or_default()
            }
        }
    }
}

/// Whether the lease is held, and the attempt in progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidate {
    /// The generation that was held or requested last.
    pub generation: u64,
    /// When the lease expires; `None` if it is not held.
    pub held_until: Option<Duration>,
    /// The attempt in progress.
    pub attempt: Option<Attempt>,
    /// Earliest start of the next attempt.
    pub next_attempt_at: Duration,
    /// Number of the last attempt.
    pub last_attempt: u64,
    /// The highest generation reported by a voter in a refusal.
    pub highest_refused: u64,
}

impl Candidate {
    pub(crate) fn is_held(&self, now: Duration) -> bool {
        self.held_until.is_some_and(|held_until| now < held_until)
    }

    /// Starts an attempt and returns its number.
    pub(crate) fn start_attempt(&mut self, now: Duration) -> u64 {
        self.last_attempt += 1;
        self.attempt = Some(Attempt {
            number: self.last_attempt,
            is_renewal: self.is_held(now),
            sent_at: now,
            grants: BTreeSet::new(),
            refusals: BTreeMap::new(),
        });
        self.last_attempt
    }

    /// The attempt in progress, if it has this number.
    pub(crate) fn attempt_mut(&mut self, number: u64) -> Option<&mut Attempt> {
        self.attempt.as_mut().filter(|attempt| attempt.number == number)
    }
}
