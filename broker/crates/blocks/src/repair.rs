//! What a store holds against what the map says: what no change under way explains was left by a coordinator whose
//! log is not here, or by a store that came back. Each difference becomes a change or an order that puts it
//! right, and never one that gives up the only copy of anything.

use crate::change::{Kind, Millis, Step};
use crate::coordinator::{Coordinator, Tag, Work};
use crate::holding::{Holding, Mode, Order};
use crate::types::{BlockId, Epoch, StoreId};

impl Coordinator {
    pub(crate) fn reconcile(
        &mut self,
        now: Millis,
        store: StoreId,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) {
        for (id, holding) in holdings {
            if !self.locks.contains_key(id) {
                self.put_right(now, store, *id, holding, holdings, work);
                self.rename_unlisted(store, *id, holding, holdings, work);
            }
        }
        let missing: Vec<(BlockId, Epoch)> = self
            .map
            .at_store(store)
            .filter(|id| !self.locks.contains_key(id) && holdings.iter().all(|(held, _)| held != id))
            .filter_map(|id| self.map.block(id).map(|block| (id, block.epoch)))
            .collect();
        for (id, epoch) in missing {
            if !self.rename(store, id, holdings, work) {
                self.missing(now, store, id, epoch, work);
            }
        }
    }

    fn put_right(
        &mut self,
        now: Millis,
        store: StoreId,
        id: BlockId,
        holding: &Holding,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) {
        let listed = self.map.block(id).filter(|block| block.held_by(store)).map(|block| block.epoch);
        let keeper = self.map.block(id).and_then(|block| block.holders().find(|other| *other != store));
        match (listed, holding.mode) {
            (Some(_), Mode::Open) => {}
            // For a change that is not known here. Retired, it had been committed, and goes forward. Fenced, its target
            // has to drop first; if that is open, it goes forward too.
            (Some(_), Mode::Fenced | Mode::Retired) => {
                let kind = match holding.peer.filter(|peer| *peer != store) {
                    Some(to) if !self.map.block(id).is_some_and(|b| b.held_by(to)) => {
                        Kind::Move { from: store, to }
                    }
                    Some(keeper) => Kind::Remove { from: store, keeper },
                    None => return,
                };
                let retired = holding.mode == Mode::Retired;
                let step = if retired { Step::Committing } else { Step::Dropping };
                // What was fenced under a higher epoch than the map's is committed, if at all, under its own.
                let mut change = self.change(id, holding.span, kind, holding.epoch);
                change.recovered(step);
                self.take_on(now, change, work);
            }
            // In the map, and the word that opens it got lost.
            (Some(epoch), Mode::Copying | Mode::Reading) => {
                let order = self.stamp(id, epoch.max(holding.epoch), Order::Open);
                work.push(Work::Send(store, Tag::Repair(id), order));
            }
            // A copy that nobody opened, or whose tenure is over.
            (None, Mode::Copying | Mode::Reading | Mode::Retired) => self.forget(store, id, work),
            // The block has split or merged, and the old name stayed.
            (None, Mode::Open) if self.map.block(id).is_none() => {
                let epoch = self.epoch();
                let order = self.stamp(id, epoch, Order::Unname { names: vec![id] });
                work.push(Work::Send(store, Tag::Repair(id), order));
            }
            // Opened by another coordinator, perhaps with entries: a holder follows it to its end.
            (None, Mode::Open | Mode::Fenced) => {
                // Names that the map doesn't know go first: alone, they could not be let go.
                let unknown = |(name, held): &(BlockId, Holding)| {
                    held.mode == Mode::Open
                        && self.map.block(*name).is_none()
                        && held.span.meet(holding.span).is_some()
                };
                let (Some(keeper), false) = (keeper, holdings.iter().any(unknown)) else { return };
                let epoch = self.epoch();
                let change = self.change(id, holding.span, Kind::Remove { from: store, keeper }, epoch);
                self.take_on(now, change, work);
            }
        }
    }

    fn forget(&mut self, store: StoreId, id: BlockId, work: &mut Vec<Work>) {
        let epoch = self.epoch();
        let order = self.stamp(id, epoch, Order::Forget);
        work.push(Work::Send(store, Tag::Repair(id), order));
    }

    /// A name that the map doesn't know, at a store that the map doesn't list for those weighers: under the map's name it
    /// can be followed to its end like any other copy that should not be there.
    fn rename_unlisted(
        &mut self,
        store: StoreId,
        id: BlockId,
        holding: &Holding,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) {
        if self.map.block(id).is_some() || holding.mode != Mode::Open {
            return;
        }
        for piece in self.map.covering(holding.span) {
            let here = holdings.iter().any(|(held, _)| *held == piece.block);
            let listed = self.map.block(piece.block).is_some_and(|block| block.held_by(store));
            if !here && !listed && !self.locks.contains_key(&piece.block) {
                self.rename(store, piece.block, holdings, work);
            }
        }
    }

    /// The store has the block's weighers under names that the map doesn't know: a split or merge of another
    /// coordinator's. It answers to the map's name again; the others go once it does.
    fn rename(
        &mut self,
        store: StoreId,
        id: BlockId,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) -> bool {
        let Some(block) = self.map.block(id) else { return false };
        let part = |(name, held): &(BlockId, Holding)| {
            let unknown = held.mode == Mode::Open && !self.map.block(*name).is_some_and(|b| b.held_by(store));
            held.span.meet(block.span).filter(|_| unknown).map(|span| (span, *name))
        };
        let mut parts: Vec<_> = holdings.iter().filter_map(part).collect();
        parts.sort_unstable();
        let end = parts
            .iter()
            .fold(block.span.first, |at, (span, _)| if span.first <= at { at.max(span.end) } else { at });
        if end < block.span.end {
            return false;
        }
        let old = parts.into_iter().map(|(_, name)| name).collect();
        let (epoch, span) = (block.epoch, block.span);
        let order = self.stamp(id, epoch, Order::Name { old, new: vec![(id, span)] });
        work.push(Work::Send(store, Tag::Repair(id), order));
        true
    }

    /// The map lists a holder that has nothing. Where another holder lives it copies from that; a block that was
    /// never anywhere else is left alone: only an operator can say what to do.
    fn missing(&mut self, now: Millis, store: StoreId, id: BlockId, epoch: Epoch, work: &mut Vec<Work>) {
        let Some(block) = self.map.block(id) else { return };
        let (span, other) = (block.span, block.holders().find(|other| *other != store));
        match other {
            Some(source) => {
                let epoch = self.epoch();
                let change = self.change(id, span, Kind::Add { source, to: store }, epoch);
                self.take_on(now, change, work);
            }
            // The first word of all may have been lost.
            None if self.map.version() == 1 => {
                let order = self.stamp(id, epoch, Order::Found { span });
                work.push(Work::Send(store, Tag::Repair(id), order));
            }
            None => {}
        }
    }
}
