//! Advances changes: converts the effects of a change to work, releases its blocks when it ends, and computes
//! the records that it commits.

use std::collections::VecDeque;

use super::interface::{CopyJob, EndedChange, OrderPurpose, Work};
use super::Coordinator;
use crate::change::{ChangeKind, Effect, Input, Millis, Reason, Step};
use crate::log::LogRecord;
use crate::map::{Batch, Block, Record, Replica, ReplicaState};
use crate::types::{BlockId, ChangeId, Extent, StoreId};
use crate::validate;

impl Coordinator {
    /// Advances a change unless the input belongs to an earlier round.
    pub(super) fn advance_round(
        &mut self,
        now: Millis,
        (id, round): (ChangeId, u32),
        input: Input,
        work: &mut Vec<Work>,
    ) {
        if self.changes.get(&id).is_some_and(|change| change.round == round) {
            self.advance(now, id, input, work);
        }
    }

    pub(crate) fn advance(&mut self, now: Millis, id: ChangeId, input: Input, work: &mut Vec<Work>) {
        let timeouts = self.bounds.timeouts;
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let Some(change) = self.changes.get_mut(&id) else { return };
            // Sends no order to a store whose inventory has not been received: the whole change waits for it.
            let store_without_inventory =
                change.stores().into_iter().find(|store| !self.inventoried.contains(store));
            let before = change.step;
            let effects = change.handle(now, input, &timeouts);
            // This is the last point at which the change can be rolled back: records that the validator
            // rejects are never logged as committing. The commit of another coordinator is not reverted, even
            // if it is invalid here.
            let commits = matches!(before, Step::Reading | Step::Naming) && effects.contains(&Effect::Commit);
            if let Some(why) = commits.then(|| self.commit_fault(id)).flatten() {
                inputs.push_front(Input::Invalid(why));
                continue;
            }
            for effect in effects {
                self.perform_effect(id, effect, store_without_inventory, &mut inputs, work);
            }
            self.finish(now, id, work);
        }
    }

    fn perform_effect(
        &mut self,
        id: ChangeId,
        effect: Effect,
        store_without_inventory: Option<StoreId>,
        inputs: &mut VecDeque<Input>,
        work: &mut Vec<Work>,
    ) {
        let Some(change) = self.changes.get(&id) else { return };
        let (step, round) = (change.step, change.round);
        match effect {
            Effect::Record(step) => {
                work.push(Work::Append(LogRecord::Step(id, step, change.reason.clone())));
            }
            Effect::Order(store, ..) if store_without_inventory.is_some() => {
                inputs.push_back(Input::NoReply(store))
            }
            Effect::Copy { from, .. } if store_without_inventory.is_some() => {
                inputs.push_back(Input::NoReply(from))
            }
            Effect::Order(store, block, epoch, order) => {
                let stamped = self.stamp_order(block, epoch, order);
                work.push(Work::Send(store, OrderPurpose::Change(id, round), stamped));
            }
            Effect::Copy { to, from, start } => {
                let (block, epoch) = (change.block, change.epoch);
                let urgent = matches!(step, Step::CatchingUp { .. });
                work.push(Work::Copy(CopyJob { change: id, round, block, epoch, to, from, start, urgent }));
            }
            Effect::Commit => {
                if let Some(records) = self.records_to_commit(id) {
                    let batch = Batch { version: self.map.version() + 1, records };
                    // The batch was validated before its step was recorded, so the map can only reject it if
                    // the log belongs to another map. The change is then reported as stuck.
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

    /// Returns the first fault of the records that a change would commit.
    fn commit_fault(&self, id: ChangeId) -> Option<String> {
        let (change, records) = (self.changes.get(&id)?, self.records_to_commit(id)?);
        if let Err(fault) = self.map.check(&records, false) {
            return Some(fault.to_string());
        }
        let copy_target = change.copy_endpoints().map(|(_, to)| to);
        let copies = |block, store| block == change.block && copy_target == Some(store);
        self.validate_records(&records, &copies)
    }

    /// Returns the first fault of records that would change the map. `copies` tells whether a store has copied
    /// a block.
    pub(super) fn validate_records(
        &self,
        records: &[Record],
        copies: &dyn Fn(BlockId, StoreId) -> bool,
    ) -> Option<String> {
        let store_standing = |store| self.stores.contains_key(&store).then_some(validate::Standing::Listed);
        let store_name =
            |store| self.name(store).map_or_else(|| store.to_string(), |name| format!("store {name}"));
        let facts = validate::Facts { standing: &store_standing, store_name: &store_name, copies };
        let findings = validate::batch(&self.map, records, &facts).findings;
        validate::summary(&findings)
    }

    fn finish(&mut self, now: Millis, id: ChangeId, work: &mut Vec<Work>) {
        let Some(change) = self.changes.get(&id).filter(|change| change.step.has_ended()).cloned() else {
            return;
        };
        self.changes.remove(&id);
        self.locked_blocks.retain(|_, holder| *holder != id);
        work.push(Work::ChangeEnded(id, change.step));
        // The store's reply did not match the map. Its inventory is requested again and differences are
        // corrected.
        if let Some(Reason::Refused(store, _)) = &change.reason {
            self.discard_inventory(*store);
        }
        self.ended.push_back(EndedChange { change, ended_at: now });
        while self.ended.len() > self.bounds.ended {
            self.ended.pop_front();
        }
    }

    /// Returns the records that a change commits, or `None` if the map already contains them.
    fn records_to_commit(&self, id: ChangeId) -> Option<Vec<Record>> {
        let change = self.changes.get(&id)?;
        let epoch = change.epoch;
        let block = self.map.block(change.block)?;
        let serving = |store| Replica { store, state: ReplicaState::Serving };
        if block.epoch >= epoch {
            return None;
        }
        let with = |replicas| vec![Record::Active(Block { epoch, replicas, ..block.clone() })];
        let retired = |block: &Block| Record::Retired { id: block.id, span: block.span, epoch };
        let mut replicas = block.replicas.clone();
        Some(match &change.kind {
            ChangeKind::Move { from, to } => {
                replicas.retain(|r| r.store != *from && r.store != *to);
                replicas.push(serving(*to));
                with(replicas)
            }
            ChangeKind::Add { to, .. } => {
                replicas.retain(|r| r.store != *to);
                replicas.push(serving(*to));
                with(replicas)
            }
            ChangeKind::Remove { from, .. } => {
                replicas.retain(|r| r.store != *from);
                with(replicas)
            }
            ChangeKind::Split { new, .. } | ChangeKind::Merge { new, .. } => {
                let mut records = vec![retired(block)];
                let mut extent = block.extent;
                if let ChangeKind::Merge { with, .. } = &change.kind {
                    let other = self.map.block(*with)?;
                    records.push(retired(other));
                    extent = bounding_box(extent, other.extent);
                }
                records.extend(new.iter().map(|(id, span)| {
                    Record::Active(Block { id: *id, span: *span, epoch, replicas: replicas.clone(), extent })
                }));
                records
            }
        })
    }
}

/// Returns a box around both extents, or `None` if one is unknown. If one of them crosses the antimeridian, the
/// box covers all longitudes.
fn bounding_box(first: Option<Extent>, second: Option<Extent>) -> Option<Extent> {
    let ([w1, s1, e1, n1], [w2, s2, e2, n2]) = (first?.0, second?.0);
    let (south, north) = (s1.min(s2), n1.max(n2));
    if w1 > e1 || w2 > e2 {
        return Some(Extent([-180.0, south, 180.0, north]));
    }
    Some(Extent([w1.min(w2), south, e1.max(e2), north]))
}
