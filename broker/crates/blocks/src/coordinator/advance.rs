//! Changes played: what each wants done becomes work in order, its end lets its blocks go, and its outcome is what the map
//! says from then on.

use std::collections::VecDeque;

use super::interface::{CopyJob, Past, Tag, Work};
use super::Coordinator;
use crate::change::{Effect, Input, Kind, Millis, Reason, Step};
use crate::log::LogRecord;
use crate::map::{Batch, Block, Record, Replica, ReplicaState};
use crate::types::{BlockId, ChangeId, Extent, StoreId};
use crate::validate;

impl Coordinator {
    /// What answers an earlier round of a change is dropped.
    pub(super) fn play_round(
        &mut self,
        now: Millis,
        (id, round): (ChangeId, u32),
        input: Input,
        work: &mut Vec<Work>,
    ) {
        if self.changes.get(&id).is_some_and(|change| change.round == round) {
            self.play(now, id, input, work);
        }
    }

    pub(crate) fn play(&mut self, now: Millis, id: ChangeId, input: Input, work: &mut Vec<Work>) {
        let patience = self.bounds.patience;
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(change) = self.changes.get_mut(&id) else { return };
            // Guards against orders to a store that has not said what it holds: all of the change waits for that.
            let unheard = change.stores().into_iter().find(|store| !self.heard.contains(store));
            let before = change.step;
            let effects = change.handle(now, input, &patience);
            // Between the last step that can go back and the first that can't: what the validator refuses is never
            // recorded as committing. Another coordinator's commit is not taken back, whatever it looks like here.
            let commits = matches!(before, Step::Reading | Step::Naming) && effects.contains(&Effect::Commit);
            if let Some(why) = commits.then(|| self.unsound(id)).flatten() {
                inputs.push_front(Input::Unsound(why));
                continue;
            }
            for effect in effects {
                self.carry_out(id, effect, unheard, &mut inputs, work);
            }
            self.end(now, id, work);
        }
    }

    fn carry_out(
        &mut self,
        id: ChangeId,
        effect: Effect,
        unheard: Option<StoreId>,
        inputs: &mut VecDeque<Input>,
        work: &mut Vec<Work>,
    ) {
        let Some(change) = self.changes.get(&id) else { return };
        let (step, round) = (change.step, change.round);
        match effect {
            Effect::Record(step) => {
                work.push(Work::Append(LogRecord::Step(id, step, change.reason.clone())));
            }
            Effect::Order(store, ..) if unheard.is_some() => inputs.push_back(Input::Silent(store)),
            Effect::Copy { from, .. } if unheard.is_some() => inputs.push_back(Input::Silent(from)),
            Effect::Order(store, block, epoch, order) => {
                let ordered = self.stamp(block, epoch, order);
                work.push(Work::Send(store, Tag::Change(id, round), ordered));
            }
            Effect::Copy { to, from, at } => {
                let (block, epoch) = (change.block, change.epoch);
                let urgent = matches!(step, Step::CatchingUp { .. });
                work.push(Work::Copy(CopyJob { change: id, round, block, epoch, to, from, at, urgent }));
            }
            Effect::Commit => {
                if let Some(records) = self.outcome(id) {
                    let batch = Batch { version: self.map.version() + 1, records };
                    // The batch was proved before its step was recorded, so a refusal here can only come from a log
                    // of another map; it is shown as stuck.
                    if self.map.apply(&batch).is_err() {
                        return;
                    }
                    work.push(Work::Append(LogRecord::Batch(batch)));
                    work.push(Work::Publish(self.map.version()));
                }
                inputs.push_back(Input::Committed);
            }
        }
    }

    /// What is wrong with what a change would commit.
    fn unsound(&self, id: ChangeId) -> Option<String> {
        let (change, records) = (self.changes.get(&id)?, self.outcome(id)?);
        if let Err(fault) = self.map.check(&records, false) {
            return Some(fault.to_string());
        }
        let copier = change.copy().map(|(_, to)| to);
        let copies = |block, store| block == change.block && copier == Some(store);
        self.prove(&records, &copies)
    }

    /// What is wrong with records that would change the map; `copies` says who has copied what.
    pub(super) fn prove(
        &self,
        records: &[Record],
        copies: &dyn Fn(BlockId, StoreId) -> bool,
    ) -> Option<String> {
        let standing = |store| self.stores.contains_key(&store).then_some(validate::Standing::Listed);
        let text = |store| self.name(store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
        let facts = validate::Facts { standing: &standing, text: &text, copies };
        let findings = validate::batch(&self.map, records, &facts).findings;
        validate::first_of(&findings)
    }

    fn end(&mut self, now: Millis, id: ChangeId, work: &mut Vec<Work>) {
        let Some(change) = self.changes.get(&id).filter(|change| change.step.ended()).cloned() else {
            return;
        };
        self.changes.remove(&id);
        self.locks.retain(|_, holder| *holder != id);
        work.push(Work::Ended(id, change.step));
        // Its word was not what the map let expect: it is asked anew, and what differs is put right.
        if let Some(Reason::Refused(store, _)) = &change.reason {
            self.unheard(*store);
        }
        self.past.push_back(Past { change, at: now });
        while self.past.len() > self.bounds.ended {
            self.past.pop_front();
        }
    }

    /// What the map says once a change is committed; nothing if it says so already.
    fn outcome(&self, id: ChangeId) -> Option<Vec<Record>> {
        let change = self.changes.get(&id)?;
        let epoch = change.epoch;
        let block = self.map.block(change.block)?;
        let serving = |store| Replica { store, state: ReplicaState::Serving };
        if block.epoch >= epoch {
            return None;
        }
        let with = |replicas| vec![Record::Living(Block { epoch, replicas, ..block.clone() })];
        let retired = |block: &Block| Record::Retired { id: block.id, span: block.span, epoch };
        let mut replicas = block.replicas.clone();
        Some(match &change.kind {
            Kind::Move { from, to } => {
                replicas.retain(|r| r.store != *from && r.store != *to);
                replicas.push(serving(*to));
                with(replicas)
            }
            Kind::Add { to, .. } => {
                replicas.retain(|r| r.store != *to);
                replicas.push(serving(*to));
                with(replicas)
            }
            Kind::Remove { from, .. } => {
                replicas.retain(|r| r.store != *from);
                with(replicas)
            }
            Kind::Split { new, .. } | Kind::Merge { new, .. } => {
                let mut records = vec![retired(block)];
                let mut extent = block.extent;
                if let Kind::Merge { with, .. } = &change.kind {
                    let other = self.map.block(*with)?;
                    records.push(retired(other));
                    extent = around(extent, other.extent);
                }
                records.extend(new.iter().map(|(id, span)| {
                    Record::Living(Block { id: *id, span: *span, epoch, replicas: replicas.clone(), extent })
                }));
                records
            }
        })
    }
}

/// A box around both; where one is unknown, or they lie on different sides of the antimeridian, around the world between.
fn around(one: Option<Extent>, two: Option<Extent>) -> Option<Extent> {
    let ([w1, s1, e1, n1], [w2, s2, e2, n2]) = (one?.0, two?.0);
    let (south, north) = (s1.min(s2), n1.max(n2));
    if w1 > e1 || w2 > e2 {
        return Some(Extent([-180.0, south, 180.0, north]));
    }
    Some(Extent([w1.min(w2), south, e1.max(e2), north]))
}
