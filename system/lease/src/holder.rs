//! The candidate's side: asks all voters, counts from when it asked, and stops before the grants end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::VoterId;

/// One question to all voters.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u64,
    /// Whether the lease was held when it was asked.
    pub renewal: bool,
    pub asked_at: Duration,
    pub grants: BTreeSet<VoterId>,
    /// How long each voter that refused will go on to.
    pub refusals: BTreeMap<VoterId, Duration>,
}

impl Attempt {
    /// How long it may take until so many voters grant, as far as they have answered: one that has not may grant at once. Those that
    /// refuse for long, as one that has just started does, are not waited for where the others suffice.
    pub fn wait_for(&self, majority: usize, voters: usize) -> Duration {
        let mut waits: Vec<Duration> = self.refusals.values().copied().collect();
        waits.sort();
        let willing = voters.saturating_sub(waits.len());
        match majority.checked_sub(willing + 1) {
            None => Duration::ZERO,
            Some(place) => waits.get(place).or(waits.last()).copied().unwrap_or_default(),
        }
    }
}

/// Whether the lease is held, and the question under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holder {
    /// The round held or asked for.
    pub generation: u64,
    /// Until when the lease is held.
    pub until: Option<Duration>,
    pub attempt: Option<Attempt>,
    /// The next question, or the next look at whether to ask.
    pub ask_at: Duration,
    pub attempts: u64,
    /// The highest round that a voter has refused in favour of.
    pub seen: u64,
}

impl Holder {
    pub fn is_held(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub fn start_attempt(&mut self, now: Duration) -> u64 {
        self.attempts += 1;
        let (number, renewal) = (self.attempts, self.is_held(now));
        let (grants, refusals) = (BTreeSet::new(), BTreeMap::new());
        self.attempt = Some(Attempt { number, renewal, asked_at: now, grants, refusals });
        number
    }
}
