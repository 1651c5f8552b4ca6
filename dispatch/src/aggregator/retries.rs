//! Decides which attempts are safe to repeat, and how many further attempts the retry budget allows.

use std::collections::VecDeque;

use super::Aggregator;
use crate::interface::{Millis, RequestId};
use crate::settings::{Class, Repeat, RetryBudget};
use crate::state::{Part, PartState};

/// The budget of hedged requests where the settings have none.
pub(super) const DEFAULT_BUDGET: RetryBudget =
    RetryBudget { free_attempts: 5.0, attempts_per_arrival: 0.5, window_ms: 2000.0 };

/// Until when a part may be attempted once more, by this aggregator or by its client, without taking effect twice.
///
/// Without end where a repeat is safe or every attempt is proved never to have run ([`Outcome::never_ran`](crate::Outcome::never_ran)); for a keyed
/// part, while the servers surely remember the first attempt; for an unsafe part, never. Whatever repeats a part or invites a
/// client to repeat checks this.
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

/// Removes the times up to `end`.
fn drop_until(times: &mut VecDeque<Millis>, end: Millis) {
    while times.front().is_some_and(|&at| at <= end) {
        times.pop_front();
    }
}

impl Aggregator {
    /// Moves the window of the retry budget to the present.
    ///
    /// Arrivals leave it a turn early and further attempts a turn late, so that the budget holds in any window.
    pub(super) fn slide_budget_window(&mut self, now: Millis) {
        let window = self.settings.retry_budget.unwrap_or(DEFAULT_BUDGET).window_ms;
        drop_until(&mut self.arrivals, now - window + self.settings.turn_ms);
        drop_until(&mut self.retries, now - window - self.settings.turn_ms);
    }

    /// The further attempts that a budget allows in the present window.
    pub(super) fn budget_allowance(&self, budget: RetryBudget) -> f64 {
        budget.free_attempts + budget.attempts_per_arrival * self.arrivals.len() as f64
    }

    /// Whether a budget, if there is one, allows a further attempt and leaves `reserve` for others.
    pub(super) fn has_budget(&self, budget: Option<RetryBudget>, reserve: f64) -> bool {
        let Some(budget) = budget else { return true };
        self.retries.len() as f64 + 1.0 + reserve <= self.budget_allowance(budget)
    }

    /// Whether a part may be attempted, for the first time or once more.
    pub(super) fn may_attempt(&self, now: Millis, part: &Part, class: &Class) -> bool {
        if part.tried.is_empty() {
            return true;
        }
        let has_attempts_left = part.tried.len() < self.settings.max_attempts as usize;
        has_attempts_left && now + self.settings.turn_ms < repeatable_until(part, class)
    }

    /// Gives a part up that may not be attempted again; a spare one takes its place.
    pub(super) fn give_up_part(&mut self, query: RequestId, part: RequestId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.state = PartState::Lost;
        }
        if let Some(spare) = self.spare_part(query).and_then(|spare| self.parts.get_mut(&spare)) {
            spare.state = PartState::Waiting;
        }
    }

    /// The first part of a query that was left out at admission and not sent since.
    pub(super) fn spare_part(&self, query: RequestId) -> Option<RequestId> {
        let is_spare =
            |part: &&RequestId| self.parts.get(part).is_some_and(|part| part.state == PartState::Spare);
        self.queries.get(&query)?.parts.iter().find(is_spare).copied()
    }
}
