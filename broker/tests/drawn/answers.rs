//! The rules on answers: one for each query and in time, honest ones, and second steps that rest on what is in.

use std::rc::Rc;

use gingerledge::core::{AttemptRequest, FinalAnswer, FirstStep};
use gingerledge_dispatch::Repeat;

use crate::rules::{hold, Held, Ledger, Piece, Try, INSTANT, ROUNDING};

impl Ledger {
    /// A turn's orders are looked at for second steps first: their parts count as taken in it.
    pub fn opened(&mut self, broker: usize, now: f64, order: &AttemptRequest) -> Held {
        let ask: usize = order.query[1..].parse().unwrap_or(usize::MAX);
        let known = self.records.get(ask).is_some_and(|record| record.broker == broker);
        match &order.first_step {
            Some(step) if known => self.second_step(ask, now, step, order.shard),
            _ => Ok(()),
        }
    }

    /// The second step rests on shards that are in, and goes to the highest scores among them.
    fn second_step(&mut self, ask: usize, now: f64, step: &Rc<FirstStep>, shard: u32) -> Held {
        let record = &mut self.records[ask];
        let class = &self.set.classes[record.class];
        let said = |what: &str| format!("query {ask} at {now:.3} ms: {what}: {step:?}, {:?}", record.first);
        if let Some((known, _)) = &record.second {
            return hold(known == step, "second step", || said("two first steps"));
        }
        let inside = |shard: &u32| record.first.iter().find(|p| p.shard == *shard && !p.given.is_empty());
        let named: Vec<&Piece> = step.answered_shards.iter().filter_map(inside).collect();
        hold(named.len() == step.answered_shards.len(), "honest", || {
            said("a shard is named that is not in")
        })?;
        let mut twice = step.answered_shards.clone();
        twice.sort_unstable();
        twice.dedup();
        hold(twice.len() == step.answered_shards.len(), "honest", || said("a shard is named twice"))?;
        let weight: f64 = named.iter().map(|piece| piece.weight).sum();
        hold(weight >= class.minimum_share - ROUNDING, "honest", || {
            said("the first step is below its floor")
        })?;
        let whole = weight >= class.required_share - ROUNDING;
        hold(whole || !step.is_complete, "honest", || said("the first step is not whole"))?;
        let mut best: Vec<&Piece> = named.clone();
        best.sort_by_key(|piece| std::cmp::Reverse(piece.score));
        best.truncate(class.follow_up_parts as usize);
        let chosen = best.iter().any(|piece| piece.shard == shard);
        hold(chosen, "second step", || said("not a highest score"))?;
        let weight = 1.0 / best.len().max(1) as f64;
        let pieces: Vec<Piece> = best.iter().map(|piece| Piece::new(piece.shard, weight)).collect();
        let orders = pieces.len();
        record.second = Some((step.clone(), pieces));
        self.books[record.broker].taken.extend(std::iter::repeat_n(now, orders));
        Ok(())
    }

    /// A final answer.
    pub fn finished(&mut self, broker: usize, now: f64, ask: usize, last: &FinalAnswer) -> Held {
        let record = &mut self.records[ask];
        let said = |what: &str| format!("query {ask} at {now:.3} ms: {what}: {last:?}, {record:?}");
        let owed = record.taken.is_some() && record.broker == broker && !record.gone && !record.ended;
        hold(owed, "one answer", || said("not owed"))?;
        let late = now - record.deadline.max(record.taken.unwrap_or(now)) - self.set.answer_slack_ms;
        hold(late <= INSTANT, "one answer", || said("late"))?;
        let class = &self.set.classes[record.class];
        let pieces = record.second.as_ref().map_or(&record.first, |(_, pieces)| pieces);
        match last {
            FinalAnswer::Failed => {}
            FinalAnswer::Refused { retry_after_ms } => {
                let most = self.set.max_retry_after_ms + INSTANT;
                hold((0.0..=most).contains(retry_after_ms), "one answer", || said("advice"))?;
                let ran = |t: &Try| t.end.is_none_or(|end| !end.never_ran());
                let all = record.first.iter().chain(record.second.iter().flat_map(|second| &second.1));
                let ran = all.flat_map(|piece| &piece.tries).any(ran);
                let harmless = class.repeat != Repeat::Unsafe || !ran;
                hold(harmless, "effect", || said("refused, and may have run"))?;
            }
            FinalAnswer::Answered { is_complete, values } => {
                let mut weight = 0.0;
                for (at, (shard, value)) in values.iter().enumerate() {
                    let given = pieces.iter().find(|piece| piece.shard == *shard);
                    let given = given.filter(|piece| piece.given.contains(value));
                    let again = values[..at].iter().any(|(other, _)| other == shard);
                    hold(given.is_some() && !again, "honest", || said("a value that is not in"))?;
                    weight += given.map_or(0.0, |piece| piece.weight);
                }
                let second = record.second.as_ref();
                hold((class.follow_up_parts > 0) == second.is_some(), "second step", || {
                    said("a step is missing")
                })?;
                let floor = if second.is_some() && class.minimum_share >= class.required_share {
                    1.0
                } else {
                    class.minimum_share
                };
                hold(weight >= floor - ROUNDING, "honest", || said("below its floor"))?;
                let need = if second.is_some() { 1.0 } else { class.required_share };
                let first = second.is_none_or(|(step, _)| step.is_complete);
                let right = !is_complete || (first && weight >= need - ROUNDING);
                hold(right, "honest", || said("marked whole"))?;
            }
        }
        record.ended = true;
        self.tally.finished(last);
        Ok(())
    }

    /// At the day's end nothing is owed.
    pub fn closed(&self) -> Held {
        let owed = self.records.iter().position(|r| r.taken.is_some() && !r.gone && !r.ended);
        hold(owed.is_none(), "one answer", || {
            format!("query {owed:?} never got one: {:?}", self.records[owed.unwrap_or(0)])
        })
    }
}
