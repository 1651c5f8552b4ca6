//! Wishes: checked against the map and against what is under way, numbered, and taken on as changes.

use super::interface::{Unmet, Wish, Work};
use super::Coordinator;
use crate::change::{Change, Input, Kind, Millis};
use crate::log::LogRecord;
use crate::map::{Block, MapError};
use crate::types::{BlockId, ChangeId, Epoch, Span, StoreId};

impl Coordinator {
    fn living(&self, id: BlockId) -> Result<&Block, Unmet> {
        if let Some(change) = self.locks.get(&id) {
            return Err(Unmet::Busy(id, *change));
        }
        self.map.block(id).ok_or_else(|| {
            let heirs = self.map.resolve(id).unwrap_or_default();
            Unmet::NotLiving(id, heirs.iter().map(|piece| piece.block).collect())
        })
    }

    fn known(&self, stores: &[StoreId]) -> Result<(), Unmet> {
        for store in stores {
            if !self.stores.contains_key(store) {
                return Err(Unmet::NoStore(*store));
            }
            if !self.heard.contains(store) {
                return Err(Unmet::Unheard(*store));
            }
        }
        Ok(())
    }

    /// Checks a wish and makes a kind of change of it. New blocks' numbers are not given yet.
    fn kind(&self, wish: &Wish) -> Result<(BlockId, Kind), Unmet> {
        match *wish {
            Wish::Move(id, from, to) => {
                let block = self.living(id)?;
                self.known(&[from, to])?;
                held(block, from, true)?;
                held(block, to, false)?;
                Ok((id, Kind::Move { from, to }))
            }
            Wish::Add(id, to) => {
                let block = self.living(id)?;
                held(block, to, false)?;
                let source = block.holders().find(|s| self.heard.contains(s));
                let source = source.or(block.holders().next()).unwrap_or_default();
                self.known(&[to, source])?;
                if block.replicas.len() >= crate::map::REPLICAS_MOST {
                    return Err(MapError::Malformed(id, "too many replicas").into());
                }
                Ok((id, Kind::Add { source, to }))
            }
            Wish::Remove(id, from) => {
                let block = self.living(id)?;
                held(block, from, true)?;
                let other = |s: &StoreId| *s != from;
                let sound = block.holders().find(|s| other(s) && self.heard.contains(s));
                let keeper = sound.or(block.holders().find(other)).ok_or(Unmet::Last(id, from))?;
                self.known(&[from, keeper])?;
                Ok((id, Kind::Remove { from, keeper }))
            }
            Wish::Split(id, at) => {
                let block = self.living(id)?;
                let span = block.span;
                if !(span.first + 1..span.end).contains(&at) {
                    return Err(Unmet::Outside(id, span));
                }
                let holders: Vec<StoreId> = block.holders().collect();
                self.known(&holders)?;
                let new = vec![
                    (BlockId::default(), Span::new(span.first, at)),
                    (BlockId::default(), Span::new(at, span.end)),
                ];
                Ok((id, Kind::Split { holders, new }))
            }
            Wish::Merge(id, with) => {
                let (one, two) = (self.living(id)?, self.living(with)?);
                let (low, high) =
                    if one.span < two.span { (one.span, two.span) } else { (two.span, one.span) };
                if low.end != high.first {
                    return Err(Unmet::Apart(id, with));
                }
                let mut holders: Vec<StoreId> = one.holders().collect();
                let mut others: Vec<StoreId> = two.holders().collect();
                holders.sort_unstable();
                others.sort_unstable();
                if holders != others {
                    return Err(Unmet::OtherHolders(id, with));
                }
                self.known(&holders)?;
                let new = vec![(BlockId::default(), Span::new(low.first, high.end))];
                Ok((id, Kind::Merge { with, holders, new }))
            }
        }
    }

    /// Takes a change on.
    pub fn wish(&mut self, now: Millis, wish: &Wish, work: &mut Vec<Work>) -> Result<ChangeId, Unmet> {
        if self.paused {
            return Err(Unmet::Paused);
        }
        if self.changes.len() >= self.bounds.changes {
            return Err(Unmet::Full(self.bounds.changes));
        }
        let (block, mut kind) = self.kind(wish)?;
        if let Kind::Split { new, .. } | Kind::Merge { new, .. } = &mut kind {
            let ids: Vec<BlockId> = new.iter().map(|_| self.block_id()).collect();
            new.iter_mut().zip(ids).for_each(|(new, id)| new.0 = id);
        }
        let span = self.map.block(block).map(|b| b.span).unwrap_or_default();
        let epoch = self.epoch();
        let change = self.change(block, span, kind, epoch);
        Ok(self.take_on(now, change, work))
    }

    /// A change of this kind, with the next number. Its way back has an epoch of its own.
    pub(crate) fn change(&mut self, block: BlockId, span: Span, kind: Kind, epoch: Epoch) -> Change {
        let back = self.epoch();
        self.given.1 += 1;
        Change::new(ChangeId(self.given.1), block, span, kind, epoch, back)
    }

    pub(crate) fn take_on(&mut self, now: Millis, change: Change, work: &mut Vec<Work>) -> ChangeId {
        let id = change.id;
        self.locks.extend(change.blocks().into_iter().map(|block| (block, id)));
        work.push(Work::Append(self.given()));
        work.push(Work::Append(LogRecord::Begin(change.clone())));
        self.changes.insert(id, change);
        self.play(now, id, Input::Resume, work);
        id
    }

    /// Has a change go back, if it still may.
    pub fn abandon(&mut self, now: Millis, id: ChangeId, work: &mut Vec<Work>) -> bool {
        let may = self.changes.get(&id).is_some_and(|c| !c.step.committed() && !c.step.back());
        if may {
            self.play(now, id, Input::Abandon, work);
        }
        may
    }

    /// Pauses changes: none is taken on, those under way go on to their end. Or resumes.
    pub fn pause(&mut self, paused: bool, work: &mut Vec<Work>) {
        self.paused = paused;
        work.push(Work::Append(LogRecord::Paused(paused)));
    }
}

fn held(block: &Block, store: StoreId, wanted: bool) -> Result<(), Unmet> {
    match (block.replicas.iter().any(|r| r.store == store), wanted) {
        (true, false) => Err(Unmet::Holds(block.id, store)),
        (false, true) => Err(Unmet::HoldsNot(block.id, store)),
        _ => Ok(()),
    }
}
