//! Comparison of a store's inventory with the map. Differences that no change in progress explains were left by
//! a coordinator whose log is not available, or by a store that came back. Each difference is corrected by a
//! change or an order, and never by one that deletes the only copy of a block.

use crate::change::{ChangeKind, Millis, Step};
use crate::coordinator::{Coordinator, OrderPurpose, Work};
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
            if !self.locked_blocks.contains_key(id) {
                self.correct_holding(now, store, *id, holding, holdings, work);
                self.rename_unlisted(store, *id, holding, holdings, work);
            }
        }
        let missing: Vec<(BlockId, Epoch)> = self
            .map
            .blocks_at_store(store)
            .filter(|id| !self.locked_blocks.contains_key(id) && holdings.iter().all(|(held, _)| held != id))
            .filter_map(|id| self.map.block(id).map(|block| (id, block.epoch)))
            .collect();
        for (id, epoch) in missing {
            if !self.rename(store, id, holdings, work) {
                self.restore_missing(now, store, id, epoch, work);
            }
        }
    }

    fn correct_holding(
        &mut self,
        now: Millis,
        store: StoreId,
        id: BlockId,
        holding: &Holding,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) {
        let listed = self.map.block(id).filter(|block| block.is_holder(store)).map(|block| block.epoch);
        let remaining_holder =
            self.map.block(id).and_then(|block| block.holders().find(|other| *other != store));
        match (listed, holding.mode) {
            (Some(_), Mode::Open) => {}
            // The block belongs to a change that this coordinator does not have. If the block is retired, the
            // change was committed and is completed. If the block is fenced, the target must drop its copy
            // first; if the copy is open, the change is completed too.
            (Some(_), Mode::Fenced | Mode::Retired) => {
                let kind = match holding.peer.filter(|peer| *peer != store) {
                    Some(to) if !self.map.block(id).is_some_and(|b| b.is_holder(to)) => {
                        ChangeKind::Move { from: store, to }
                    }
                    Some(remaining_holder) => ChangeKind::Remove { from: store, remaining_holder },
                    None => return,
                };
                let retired = holding.mode == Mode::Retired;
                let step = if retired { Step::Committing } else { Step::Dropping };
                // If a change fenced the block under a higher epoch than the map's, it can only have been
                // committed under its own epoch.
                let mut change = self.new_change(id, holding.span, kind, holding.epoch);
                change.restore_step(step);
                self.start_change(now, change, work);
            }
            // The map lists the store, but the order that opens the block was lost.
            (Some(epoch), Mode::Copying | Mode::Reading) => {
                let order = self.stamp_order(id, epoch.max(holding.epoch), Order::Open);
                work.push(Work::Send(store, OrderPurpose::Repair(id), order));
            }
            // The copy was never opened, or another store has taken the block over.
            (None, Mode::Copying | Mode::Reading | Mode::Retired) => self.order_forget(store, id, work),
            // The block has been split or merged, and its old identifier remains at the store.
            (None, Mode::Open) if self.map.block(id).is_none() => {
                let epoch = self.next_epoch();
                let order = self.stamp_order(id, epoch, Order::RemoveNames { names: vec![id] });
                work.push(Work::Send(store, OrderPurpose::Repair(id), order));
            }
            // Another coordinator opened the block here, perhaps with entries, so a holder in the map copies
            // it up to its end.
            (None, Mode::Open | Mode::Fenced) => {
                // Identifiers that the map does not contain are removed first: they could not be removed once
                // they are the only ones for their weighers.
                let unknown = |(name, held): &(BlockId, Holding)| {
                    held.mode == Mode::Open
                        && self.map.block(*name).is_none()
                        && held.span.intersection(holding.span).is_some()
                };
                let (Some(remaining_holder), false) = (remaining_holder, holdings.iter().any(unknown)) else {
                    return;
                };
                let epoch = self.next_epoch();
                let change = self.new_change(
                    id,
                    holding.span,
                    ChangeKind::Remove { from: store, remaining_holder },
                    epoch,
                );
                self.start_change(now, change, work);
            }
        }
    }

    fn order_forget(&mut self, store: StoreId, id: BlockId, work: &mut Vec<Work>) {
        let epoch = self.next_epoch();
        let order = self.stamp_order(id, epoch, Order::Forget);
        work.push(Work::Send(store, OrderPurpose::Repair(id), order));
    }

    /// Handles a block identifier that the map does not contain, at a store that the map does not list for
    /// those weighers. Under the map's identifier the block can be copied up to its end like any other copy
    /// that should not exist.
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
            let listed = self.map.block(piece.block).is_some_and(|block| block.is_holder(store));
            if !here && !listed && !self.locked_blocks.contains_key(&piece.block) {
                self.rename(store, piece.block, holdings, work);
            }
        }
    }

    /// Handles a store that has the block's weighers under identifiers that the map does not contain, after a
    /// split or merge by another coordinator. The store is told to hold the map's identifier too; the others
    /// are removed afterwards.
    fn rename(
        &mut self,
        store: StoreId,
        id: BlockId,
        holdings: &[(BlockId, Holding)],
        work: &mut Vec<Work>,
    ) -> bool {
        let Some(block) = self.map.block(id) else { return false };
        let part = |(name, held): &(BlockId, Holding)| {
            let unknown =
                held.mode == Mode::Open && !self.map.block(*name).is_some_and(|b| b.is_holder(store));
            held.span.intersection(block.span).filter(|_| unknown).map(|span| (span, *name))
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
        let order = self.stamp_order(id, epoch, Order::AddNames { old, new: vec![(id, span)] });
        work.push(Work::Send(store, OrderPurpose::Repair(id), order));
        true
    }

    /// Handles a holder in the map that does not have its block. If there is another holder, the block is
    /// copied from that one. A block without another holder is left alone, since only an operator can decide
    /// what to do.
    fn restore_missing(
        &mut self,
        now: Millis,
        store: StoreId,
        id: BlockId,
        epoch: Epoch,
        work: &mut Vec<Work>,
    ) {
        let Some(block) = self.map.block(id) else { return };
        let (span, other) = (block.span, block.holders().find(|other| *other != store));
        match other {
            Some(source) => {
                let epoch = self.next_epoch();
                let change = self.new_change(id, span, ChangeKind::Add { source, to: store }, epoch);
                self.start_change(now, change, work);
            }
            // The very first order may have been lost.
            None if self.map.version() == 1 => {
                let order = self.stamp_order(id, epoch, Order::Create { span });
                work.push(Work::Send(store, OrderPurpose::Repair(id), order));
            }
            None => {}
        }
    }
}
