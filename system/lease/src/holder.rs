//! The candidate's side: asks all voters, counts from when it asked, and stops before the grants end.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::Voter;

/// One question to all voters.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub number: u64,
    /// Whether the lease was held when it was asked.
    pub renewal: bool,
    pub asked_at: Duration,
    pub grants: BTreeSet<Voter>,
    pub refusals: BTreeSet<Voter>,
}

/// Whether the lease is held, and the question under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holder {
    /// The round held or asked for.
    pub round: u64,
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
    pub fn held(&self, now: Duration) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub fn start_attempt(&mut self, now: Duration) -> u64 {
        self.attempts += 1;
        let (number, renewal) = (self.attempts, self.held(now));
        let (grants, refusals) = (BTreeSet::new(), BTreeSet::new());
        self.attempt = Some(Attempt { number, renewal, asked_at: now, grants, refusals });
        number
    }
}
