//! Decides when a query ends, and how: with a complete or partial answer, with a rejection, or with a
//! failure.

use super::concurrency_limit::QueryResult;
use super::retries::repeatable_until;
use super::{Aggregator, LATE_ANSWER_MIN_VALUE, ROUNDING_TOLERANCE};
use crate::interface::{Action, Millis, RejectionReason, RequestId};
use crate::settings::Class;
use crate::state::{Part, PartState, Query, QueryStep};

/// Time by which final answers are given early, in multiples of
/// [`Settings::turn_ms`](crate::Settings::turn_ms).
const ANSWER_MARGIN_TURNS: f64 = 3.0;
/// Share of the time until its deadline after which a query is given up if no server on the list holds any of
/// its shards.
const UNLISTED_WAIT_SHARE: f64 = 0.45;
/// Minimum of the time after which rejected clients are advised to repeat a query, in shortest latency
/// targets.
const RETRY_AFTER_MIN_TARGETS: f64 = 0.08;

/// The way in which a query ends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Answer { is_complete: bool },
    GiveUp(RejectionReason),
}

/// A summary of the states of the parts of a query's present step.
#[derive(Debug, Default)]
struct Progress {
    received_weight: f64,
    failed_weight: f64,
    /// Number of parts that are waiting or outstanding.
    pending_parts: usize,
    /// Whether all expected parts have arrived and have been served.
    is_all_received: bool,
}

impl Aggregator {
    /// Ends a query if its end is due.
    pub(super) fn end_if_due(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        match self.ending(now, query) {
            None => {}
            Some(Ending::Answer { is_complete }) => self.answer(now, id, is_complete, actions),
            Some(Ending::GiveUp(reason)) => {
                self.update_limit_on_end(now, id, QueryResult::GivenUp);
                self.reject(id, reason, actions);
            }
        }
    }

    /// How a query ends now, if its end is due.
    ///
    /// A query is answered as soon as the answer can be complete. A partial answer, if the class allows it,
    /// is given just before the latency target if it earns at least as much as a late complete answer would,
    /// and otherwise after the target, or as soon as no part is pending. A query is given up when it can no
    /// longer be answered, when the missing parts would arrive too late to earn anything, or just before its
    /// deadline.
    fn ending(&self, now: Millis, query: &Query) -> Option<Ending> {
        let class = &self.settings.classes[query.class];
        let progress = self.progress(query);
        let margin = self.settings.turn_ms * ANSWER_MARGIN_TURNS;
        let earns_when_late = class.late_value_share >= LATE_ANSWER_MIN_VALUE;
        let useful_until = if earns_when_late { query.deadline } else { query.target_at };
        let give_up_at = useful_until - margin;
        let received = progress.received_weight;
        let required = if query.is_second_step() { 1.0 } else { class.required_share };

        let has_required = !query.is_second_step() && received >= required - ROUNDING_TOLERANCE;
        if progress.is_all_received || has_required {
            return Some(Ending::Answer { is_complete: is_complete_with_first_step(query) });
        }

        let may_be_partial = class.minimum_share < class.required_share;
        let minimum = if may_be_partial { class.minimum_share } else { required };
        let has_minimum = may_be_partial && received >= minimum - ROUNDING_TOLERANCE && received > 0.0;
        let is_better_than_late = class.partial_value * received / required >= class.late_value_share;
        let is_partial_due = now >= query.target_at - margin && is_better_than_late;
        let is_overdue = now >= give_up_at || now > query.target_at;
        if has_minimum && (progress.pending_parts == 0 || is_partial_due || is_overdue) {
            return Some(Ending::Answer { is_complete: false });
        }

        if self.has_waited_without_replicas(now, query) {
            return Some(Ending::GiveUp(RejectionReason::NoReplicaListed));
        }
        let is_out_of_reach = 1.0 - progress.failed_weight < minimum - ROUNDING_TOLERANCE;
        if query.is_query_of_death || is_out_of_reach {
            return Some(Ending::GiveUp(RejectionReason::PartsLost));
        }
        (now >= give_up_at).then_some(Ending::GiveUp(RejectionReason::TooLate))
    }

    fn progress(&self, query: &Query) -> Progress {
        let mut progress = Progress {
            is_all_received: !query.parts.is_empty() && query.parts.len() >= query.expected_parts,
            ..Progress::default()
        };
        for part in query.parts.iter().filter_map(|id| self.parts.get(id)) {
            progress.is_all_received &= part.state == PartState::Received;
            match part.state {
                PartState::Received => progress.received_weight += part.weight,
                PartState::Failed => progress.failed_weight += part.weight,
                PartState::Waiting | PartState::Outstanding => progress.pending_parts += 1,
                PartState::Spare => {}
            }
        }
        progress
    }

    /// Whether a query has waited for long while no server on the list holds any of its shards.
    ///
    /// If nothing of a query has been sent after about half of its time, it is better to reject it while its
    /// client still has time to repeat it.
    fn has_waited_without_replicas(&self, now: Millis, query: &Query) -> bool {
        let has_waited = now - query.arrived_at >= UNLISTED_WAIT_SHARE * (query.deadline - query.arrived_at);
        has_waited
            && !query.parts.is_empty()
            && query.parts.iter().all(|&part| self.lacks_listed_replica(part))
    }

    /// Whether a part has never been sent and no ready server holds its shard.
    fn lacks_listed_replica(&self, part: RequestId) -> bool {
        let Some(part) = self.parts.get(&part) else { return true };
        part.tried_servers.is_empty() && self.replicas.ready_replicas(part.shard).next().is_none()
    }

    /// Answers a query, and begins its second step if its class has one.
    fn answer(&mut self, now: Millis, id: RequestId, is_complete: bool, actions: &mut Vec<Action>) {
        actions.push(Action::Answer { query: id, is_complete });
        self.update_limit_on_end(now, id, QueryResult::Answered);
        let Some(query) = self.queries.get(&id) else { return };
        let has_follow_up = self.settings.classes[query.class].follow_up_parts > 0;
        if has_follow_up && !query.is_second_step() {
            self.open_second_step(id, is_complete);
        } else {
            self.remove_query(id);
        }
    }

    /// Begins the second step of a query. The host adds its parts in a later turn, based on the answer of the
    /// first step, whose parts are no longer needed.
    fn open_second_step(&mut self, id: RequestId, is_first_complete: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let first_parts = std::mem::take(&mut query.parts);
        let is_received =
            |part: &&RequestId| self.parts.get(part).is_some_and(|part| part.state == PartState::Received);
        let received = first_parts.iter().filter(is_received).count();
        let follow_up_parts = self.settings.classes[query.class].follow_up_parts as usize;
        query.expected_parts = received.min(follow_up_parts);
        query.step = QueryStep::Second { is_first_complete };
        for part in &first_parts {
            self.parts.remove(part);
        }
    }

    /// Gives up a query: rejects it with advice on when to repeat it, or fails it.
    ///
    /// A rejection means that the client may safely repeat the query. Therefore, the query fails instead if a
    /// part may have run and its class does not allow a repeat.
    pub(super) fn reject(&mut self, id: RequestId, reason: RejectionReason, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        actions.push(Action::ReportRejection { query: id, reason });
        if self.is_repeatable_by_client(query) {
            let retry_after_ms = self.retry_after(query.class);
            actions.push(Action::Reject { query: id, retry_after_ms });
        } else {
            actions.push(Action::Fail { query: id });
        }
        for &part in &query.parts {
            self.withdraw(part, actions);
        }
        self.remove_query(id);
    }

    /// Whether a client may safely repeat a query at any time until it gives up ([`Class::deadline_ms`]). The
    /// last turn before that is excepted, since it is too short for an answer.
    fn is_repeatable_by_client(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let last_repeat_at = query.arrived_at + class.deadline_ms - self.settings.turn_ms;
        let is_repeatable = |part: &Part| is_repeatable_at(part, class, last_repeat_at);
        // In the second step, the parts of the first have been removed; any of them may have run since the
        // query arrived.
        let first_step = query
            .is_second_step()
            .then(|| Part { may_have_run_since: Some(query.arrived_at), ..Part::default() });
        query.parts.iter().filter_map(|id| self.parts.get(id)).chain(&first_step).all(is_repeatable)
    }

    /// After how long a rejected client should repeat its query: the usual latency of a part, since capacity
    /// is freed when parts end. A longer time would use up the latency target of the repeated query.
    fn retry_after(&self, class: usize) -> Millis {
        let usual = self.latencies[class].usual;
        let longest = self.settings.max_retry_after_ms;
        if usual > 0.0 {
            let shortest = (RETRY_AFTER_MIN_TARGETS * self.shortest_latency_target).min(longest);
            usual.clamp(shortest, longest)
        } else {
            longest
        }
    }
}

/// Whether an answer with all required parts of the present step is complete. In the second step, it is
/// complete only if the answer of the first step was.
fn is_complete_with_first_step(query: &Query) -> bool {
    match query.step {
        QueryStep::First => true,
        QueryStep::Second { is_first_complete } => is_first_complete,
    }
}

fn is_repeatable_at(part: &Part, class: &Class, at: Millis) -> bool {
    let ends_too_early = repeatable_until(part, class) < at;
    !ends_too_early
}
