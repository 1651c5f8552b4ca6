//! Requested changes: checks them against the map and the changes in progress, assigns identifiers, and starts
//! them.

use super::interface::{ChangeRequest, RequestError, Work};
use super::Coordinator;
use crate::change::{Change, ChangeKind, Input, Millis};
use crate::log::LogRecord;
use crate::map::{Block, MapError};
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId};

impl Coordinator {
    fn unlocked_block(&self, id: BlockId) -> Result<&Block, RequestError> {
        if let Some(change) = self.locked_blocks.get(&id) {
            return Err(RequestError::Busy(id, *change));
        }
        self.map.block(id).ok_or_else(|| {
            let successors = self.map.resolve(id).unwrap_or_default();
            RequestError::NotActive(id, successors.iter().map(|piece| piece.block).collect())
        })
    }

    fn check_stores(&self, stores: &[StoreId]) -> Result<(), RequestError> {
        for store in stores {
            if !self.stores.contains_key(store) {
                return Err(RequestError::UnknownStore(*store));
            }
            if !self.inventoried.contains(store) {
                return Err(RequestError::NoInventory(*store));
            }
        }
        Ok(())
    }

    /// Checks a request and converts it to a kind of change. The identifiers of new blocks are not assigned
    /// yet.
    fn change_kind(&self, request: &ChangeRequest) -> Result<(BlockId, ChangeKind), RequestError> {
        match *request {
            ChangeRequest::Move(id, from, to) => {
                let block = self.unlocked_block(id)?;
                self.check_stores(&[from, to])?;
                check_holder(block, from, true)?;
                check_holder(block, to, false)?;
                Ok((id, ChangeKind::Move { from, to }))
            }
            ChangeRequest::Add(id, to) => {
                let block = self.unlocked_block(id)?;
                check_holder(block, to, false)?;
                let source = block.holders().find(|s| self.inventoried.contains(s));
                let source = source.or(block.holders().next()).unwrap_or_default();
                self.check_stores(&[to, source])?;
                if block.replicas.len() >= crate::map::MAX_REPLICAS {
                    return Err(MapError::Malformed(id, "too many replicas").into());
                }
                Ok((id, ChangeKind::Add { source, to }))
            }
            ChangeRequest::Remove(id, from) => {
                let block = self.unlocked_block(id)?;
                check_holder(block, from, true)?;
                let other = |s: &StoreId| *s != from;
                let inventoried_holder = block.holders().find(|s| other(s) && self.inventoried.contains(s));
                let remaining_holder = inventoried_holder
                    .or(block.holders().find(other))
                    .ok_or(RequestError::LastHolder(id, from))?;
                self.check_stores(&[from, remaining_holder])?;
                Ok((id, ChangeKind::Remove { from, remaining_holder }))
            }
            ChangeRequest::Split(id, at) => {
                let block = self.unlocked_block(id)?;
                let span = block.span;
                if !(span.first + 1..span.end).contains(&at) {
                    return Err(RequestError::OutsideBlock(id, span));
                }
                let holders: Vec<StoreId> = block.holders().collect();
                self.check_stores(&holders)?;
                let new = vec![
                    (BlockId::default(), Span::new(span.first, at)),
                    (BlockId::default(), Span::new(at, span.end)),
                ];
                Ok((id, ChangeKind::Split { holders, new }))
            }
            ChangeRequest::Merge(id, with) => {
                let (first, second) = (self.unlocked_block(id)?, self.unlocked_block(with)?);
                let (low, high) = if first.span < second.span {
                    (first.span, second.span)
                } else {
                    (second.span, first.span)
                };
                if low.end != high.first {
                    return Err(RequestError::NotAdjacent(id, with));
                }
                let mut holders: Vec<StoreId> = first.holders().collect();
                let mut second_holders: Vec<StoreId> = second.holders().collect();
                holders.sort_unstable();
                second_holders.sort_unstable();
                if holders != second_holders {
                    return Err(RequestError::DifferentHolders(id, with));
                }
                self.check_stores(&holders)?;
                let new = vec![(BlockId::default(), Span::new(low.first, high.end))];
                Ok((id, ChangeKind::Merge { with, holders, new }))
            }
        }
    }

    /// Starts a requested change.
    pub fn request_change(
        &mut self,
        now: Millis,
        request: &ChangeRequest,
        work: &mut Vec<Work>,
    ) -> Result<ChangeId, RequestError> {
        if self.paused {
            return Err(RequestError::Paused);
        }
        if self.changes.len() >= self.bounds.changes {
            return Err(RequestError::TooManyChanges(self.bounds.changes));
        }
        let (block, mut kind) = self.change_kind(request)?;
        if let ChangeKind::Split { new, .. } | ChangeKind::Merge { new, .. } = &mut kind {
            let ids: Vec<BlockId> = new.iter().map(|_| self.next_block_id()).collect();
            new.iter_mut().zip(ids).for_each(|(new, id)| new.0 = id);
        }
        let span = self.map.block(block).map(|b| b.span).unwrap_or_default();
        let epoch = self.next_epoch();
        let change = self.new_change(block, span, kind, epoch);
        Ok(self.start_change(now, change, work))
    }

    /// Creates a change with the next identifier and an additional epoch for its rollback.
    pub(crate) fn new_change(
        &mut self,
        block: BlockId,
        span: Span,
        kind: ChangeKind,
        epoch: Epoch,
    ) -> Change {
        let back = self.next_epoch();
        self.last_assigned.1 += 1;
        Change::new(ChangeId(self.last_assigned.1), block, span, kind, epoch, back)
    }

    pub(crate) fn start_change(&mut self, now: Millis, change: Change, work: &mut Vec<Work>) -> ChangeId {
        let id = change.id;
        self.locked_blocks.extend(change.blocks().into_iter().map(|block| (block, id)));
        work.push(Work::Append(self.assignment_record()));
        work.push(Work::Append(LogRecord::Begin(change.clone())));
        self.changes.insert(id, change);
        self.advance(now, id, Input::Resume, work);
        id
    }

    /// Rolls a change back if it has not been committed. Returns whether the rollback was started.
    pub fn abandon(&mut self, now: Millis, id: ChangeId, work: &mut Vec<Work>) -> bool {
        let can_abandon =
            self.changes.get(&id).is_some_and(|c| !c.step.is_committed() && !c.step.is_rolling_back());
        if can_abandon {
            self.advance(now, id, Input::Abandon, work);
        }
        can_abandon
    }

    /// Pauses or resumes changes. While paused no change is started, but changes in progress continue to their
    /// end.
    pub fn pause(&mut self, paused: bool, work: &mut Vec<Work>) {
        self.paused = paused;
        work.push(Work::Append(LogRecord::Paused(paused)));
    }
}

fn check_holder(block: &Block, store: StoreId, expected: bool) -> Result<(), RequestError> {
    match (block.replicas.iter().any(|r| r.store == store), expected) {
        (true, false) => Err(RequestError::AlreadyHolds(block.id, store)),
        (false, true) => Err(RequestError::DoesNotHold(block.id, store)),
        _ => Ok(()),
    }
}
