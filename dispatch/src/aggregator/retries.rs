//! Decides which parts may safely be attempted again, and how many further attempts the retry budget allows.

use std::collections::VecDeque;

use super::Aggregator;
use crate::interface::{Millis, RequestId};
use crate::settings::{Class, Repeat, RetryBudget};
use crate::state::{Part, PartState};

/// The retry budget for hedged requests if the settings have none.
pub(super) const DEFAULT_BUDGET: RetryBudget =
    RetryBudget { free_attempts: 5.0, attempts_per_arrival: 0.5, window_ms: 2000.0 };

/// The time until which a part may be attempted once more, by this aggregator or by its client, without
/// taking effect twice.
///
/// There is no limit if repeats are safe, or if all attempts are known never to have run
/// ([`Outcome::never_ran`](crate::Outcome::never_ran)). Otherwise, a keyed part may be repeated while the
/// servers certainly still remember its first attempt, and an unsafe part never. All code that repeats a
/// part, or advises a client to repeat a query, has to check this time.
pub(super) fn repeatable_until(part: &Part, class: &Class) -> Millis {
    let may_be_running = part.outstanding_attempts > 0 || part.state == PartState::Received;
    let running_since = may_be_running.then_some(part.outstanding_since);
    let first_run = part.may_have_run_since.into_iter().chain(running_since).reduce(f64::min);
    match (class.repeat, first_run) {
        (Repeat::Safe, _) | (_, None) => f64::INFINITY,
        (Repeat::Keyed, Some(first_run)) => first_run + class.deduplication_ms,
        (Repeat::Unsafe, Some(_)) => f64::NEG_INFINITY,
    }
}

/// Removes the times up to and including `end`.
fn drop_until(times: &mut VecDeque<Millis>, end: Millis) {
    while times.front().is_some_and(|&at| at <= end) {
        times.pop_front();
    }
}

impl Aggregator {
    /// Moves the sliding window of the retry budget to the present time.
    ///
    /// Arrivals leave the window one turn early and further attempts one turn late, so that the budget holds
    /// in any window.
    pub(super) fn slide_budget_window(&mut self, now: Millis) {
        let window = self.settings.retry_budget.unwrap_or(DEFAULT_BUDGET).window_ms;
        drop_until(&mut self.arrivals, now - window + self.settings.turn_ms);
        drop_until(&mut self.retries, now - window - self.settings.turn_ms);
    }

    /// Number of further attempts that a budget allows in the present window.
    pub(super) fn retry_allowance(&self, budget: RetryBudget) -> f64 {
        budget.free_attempts + budget.attempts_per_arrival * self.arrivals.len() as f64
    }

    /// Whether a budget, if there is one, allows a further attempt and leaves `reserve` attempts for other
    /// uses.
    pub(super) fn has_budget(&self, budget: Option<RetryBudget>, reserve: f64) -> bool {
        let Some(budget) = budget else { return true };
        self.retries.len() as f64 + 1.0 + reserve <= self.retry_allowance(budget)
    }

    /// Whether a part may be attempted for the first time or once more.
    pub(super) fn may_attempt(&self, now: Millis, part: &Part, class: &Class) -> bool {
        if part.tried_servers.is_empty() {
            return true;
        }
        let has_attempts_left = part.tried_servers.len() < self.settings.max_attempts as usize;
        has_attempts_left && now + self.settings.turn_ms < repeatable_until(part, class)
    }

    /// Gives up a part that may not be attempted again. If its query has a spare part, that is sent instead.
    pub(super) fn give_up_part(&mut self, query: RequestId, part: RequestId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.state = PartState::Failed;
        }
        if let Some(spare) = self.spare_part(query).and_then(|spare| self.parts.get_mut(&spare)) {
            spare.state = PartState::Waiting;
        }
    }

    /// The first part of a query that was left out at admission and has not been sent since.
    pub(super) fn spare_part(&self, query: RequestId) -> Option<RequestId> {
        let is_spare =
            |part: &&RequestId| self.parts.get(part).is_some_and(|part| part.state == PartState::Spare);
        self.queries.get(&query)?.parts.iter().find(is_spare).copied()
    }
}
