//! When to ask for the list of servers. Many aggregators share the service that has it: their first calls are spread, and
//! while calls fail they grow rarer, so that all together go on asking about as often as a few would.
//! That spread ends where the settings end it. Who has neither asked nor been told for `ask_every_ms` counts as told of what
//! it has not heard, four times that after a call that failed; so, however many share the service, the first call
//! goes out within `FIRST_SHARE` of that time from the start, and the next one within `AGAIN_SHARE` of it from a failure.
//! What is left is for calls that wait their turn, and for one that fails.
//! That is the rule where an aggregator is alone with its host, as in the simulator. The program holds a stricter one, that of
//! `broker/src/discovery/watching.rs`: there the first call alone is timed here, and a host may always ask sooner.

use crate::{Millis, Settings};

/// The first wait before the list is asked for again, spread by seed. Past so many aggregators, waits double
/// with each failure until all together ask as often as so few would.
const ASK_AGAIN_MS: Millis = 1000.0;
const ASKING: f64 = 4.0;
/// No wait is longer than these shares of `ask_every_ms`.
const FIRST_SHARE: f64 = 0.5;
const AGAIN_SHARE: f64 = 3.0;
/// A wait after a failure is spread from this share of its mean on, as far above as below.
const SPREAD_FROM: f64 = 0.5;

/// The calls of one aggregator.
#[derive(Debug)]
pub(crate) struct Asking {
    /// Whether the list has to be asked for at all.
    needed: bool,
    every: Millis,
    /// When to ask next; none while a subscription stands or needs none.
    at: Option<Millis>,
    /// Calls that failed in a row.
    failed: u32,
}

impl Asking {
    /// The first call, at a time that `spread`, from 0 up to 1, picks.
    pub(crate) fn new(set: &Settings, now: Millis, spread: f64) -> Self {
        let (needed, every) = (set.subscribe, set.list_refresh_ms);
        let every = if every >= ASK_AGAIN_MS { every } else { ASK_AGAIN_MS };
        let longest = (sharing(set.aggregators) * ASK_AGAIN_MS / 4.0).min(every * FIRST_SHARE);
        Self { needed, every, at: needed.then_some(now + spread * longest), failed: 0 }
    }

    /// When to ask next.
    pub(crate) fn at(&self) -> Option<Millis> {
        self.at
    }

    /// Whether to ask now. What is not answered at all is asked for again.
    pub(crate) fn due(&mut self, now: Millis) -> bool {
        let due = self.at.is_some_and(|at| now >= at);
        if due {
            self.at = Some(now + self.every);
        }
        due
    }

    /// A call failed, or a subscription broke.
    pub(crate) fn fail(&mut self, now: Millis, aggregators: u32, spread: f64) {
        self.failed = self.failed.saturating_add(1);
        let longer = f64::from(1u32 << (self.failed - 1).min(16)).min(sharing(aggregators));
        let longest = self.every * AGAIN_SHARE / (SPREAD_FROM + 1.0);
        let wait = (SPREAD_FROM + spread) * (ASK_AGAIN_MS * longer).min(longest);
        self.at = self.needed.then_some(now + wait);
    }

    /// The list was told, and goes on being told.
    pub(crate) fn told(&mut self) {
        (self.failed, self.at) = (0, None);
    }
}

/// How many times as many aggregators as `ASKING` share the service.
fn sharing(aggregators: u32) -> f64 {
    (f64::from(aggregators) / ASKING).max(1.0)
}
