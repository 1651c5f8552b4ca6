//! How queries end: answered whole or in part, refused or failed.

use super::*;

/// Final answers go out so many turns early.
const MARGIN_TURNS: f64 = 3.0;
/// A query none of whose parts has a server on the list is given up after this share of its time.
const UNSENT_SHARE: f64 = 0.45;
/// Advice to refused clients is no shorter, in shortest aims.
const RETRY_LEAST_AIMS: f64 = 0.08;

impl Aggregator {
    /// Decides whether a query ends now, and how.
    /// Whole as soon as it can be. Just before the aim, in part, if that may be and earns more than
    /// a late whole; past the aim, as soon as the floor is met. It is given up at once when it can no
    /// longer be answered, when the rest would come too late to earn, or just before its deadline.
    pub(super) fn settle(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        let class = &self.set.classes[query.class];
        let margin = self.set.turn_ms * MARGIN_TURNS;
        let (mut inside, mut lost, mut pending, mut all_in) = (0.0, 0.0, 0, !query.parts.is_empty());
        for part in query.parts.iter().filter_map(|p| self.parts.get(p)) {
            all_in &= part.state == PartState::In;
            match part.state {
                PartState::In => inside += part.weight,
                PartState::Dead => lost += part.weight,
                PartState::Waiting | PartState::Out => pending += 1,
                PartState::Spare => {}
            }
        }
        all_in &= query.parts.len() >= query.expected;
        let required_share = if query.second_step { 1.0 } else { class.required_share };
        let whole = all_in || (!query.second_step && inside >= required_share - ROUNDING);
        let minimum_share =
            if class.minimum_share < class.required_share { class.minimum_share } else { required_share };
        let in_part =
            class.minimum_share < class.required_share && inside >= minimum_share - ROUNDING && inside > 0.0;
        let due = now >= query.aim - margin
            && class.partial_value * inside / required_share >= class.late_value_share;
        let give_up = if class.late_value_share >= LATE_WORTH { query.deadline } else { query.aim } - margin;
        // Guards against holding what no server on the list may take: past half of its time a query of which
        // nothing has been sent is better refused, while its client has time to come back.
        let nowhere = |p: &RequestId| {
            self.parts
                .get(p)
                .is_none_or(|part| part.tried.is_empty() && self.holders.of(part.shard).next().is_none())
        };
        let stuck = now - query.arrived >= UNSENT_SHARE * (query.deadline - query.arrived)
            && !query.parts.is_empty()
            && query.parts.iter().all(nowhere);
        let hopeless = query.blamed || stuck || 1.0 - lost < minimum_share - ROUNDING;
        if whole || (in_part && ((pending == 0) || due || now >= give_up || now > query.aim)) {
            let whole = whole && (!query.second_step || query.first_whole);
            actions.push(Action::Answer { query: id, whole });
            let follows = class.follow_up_parts > 0 && !query.second_step;
            self.learn_limit(now, id, true);
            if follows {
                self.open_second_step(id, whole)
            } else {
                self.forget(id)
            }
        } else if hopeless || now >= give_up {
            let why = if stuck {
                RejectionReason::NoReplicaListed
            } else if hopeless {
                RejectionReason::PartsLost
            } else {
                RejectionReason::TooLate
            };
            self.learn_limit(now, id, false);
            self.end(id, why, actions);
        }
    }

    /// The first step's answer brings further parts in a later turn; its own are of no more use.
    fn open_second_step(&mut self, id: RequestId, whole: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let first = std::mem::take(&mut query.parts);
        let inside = |p: &RequestId| self.parts.get(p).is_some_and(|part| part.state == PartState::In);
        query.expected = first.iter().filter(|p| inside(p)).count();
        query.expected = query.expected.min(self.set.classes[query.class].follow_up_parts as usize);
        query.second_step = true;
        query.first_whole = whole;
        first.iter().for_each(|part| drop(self.parts.remove(part)));
    }

    /// Gives a query up, at once and with advice on when to return. A refusal says that a repeat
    /// does no harm, so it is not given where a part may have run and its class does not bear that.
    pub(super) fn end(&mut self, id: RequestId, why: RejectionReason, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&id) else { return };
        actions.push(Action::ReportRejection { query: id, reason: why });
        let class = &self.set.classes[query.class];
        // A client may come back as long as it waits, all its tries together, but for the last turn, which is
        // too short for an answer. A first step's parts are gone.
        let step = query.second_step.then(|| Part { may_have_run: Some(query.arrived), ..Part::default() });
        let mut parts = query.parts.iter().filter_map(|p| self.parts.get(p)).chain(&step);
        let back = query.arrived + class.deadline_ms - self.set.turn_ms;
        if parts.any(|part| Self::repeatable_until(part, class) < back) {
            actions.push(Action::Fail { query: id });
        } else {
            // Room comes as parts end: in about the usual latency of one. Longer advice would use up the
            // aim of whoever follows it.
            let usual = self.typical[query.class];
            let most = self.set.max_retry_after_ms;
            let retry_after_ms =
                if usual > 0.0 { usual.clamp((RETRY_LEAST_AIMS * self.aim).min(most), most) } else { most };
            actions.push(Action::Refuse { query: id, retry_after_ms });
        }
        query.parts.iter().for_each(|&part| self.withdraw(part, actions));
        self.forget(id);
    }
}
