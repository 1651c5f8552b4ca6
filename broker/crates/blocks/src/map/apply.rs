//! Batches taken into the map, whole or not at all.

use std::collections::{BTreeMap, BTreeSet};

use super::{area, Batch, Block, BlockMap, MapError, Record, REPLICAS_MOST};
use crate::types::{BlockId, Extent, Span, StoreId};

impl BlockMap {
    /// Takes a batch, whole or not at all.
    pub fn apply(&mut self, batch: &Batch) -> Result<(), MapError> {
        if batch.version != self.version + 1 {
            return Err(MapError::Gap { held: self.version, found: batch.version });
        }
        self.check(&batch.records, false)?;
        for record in &batch.records {
            self.put(record);
        }
        self.mark(batch);
        Ok(())
    }

    /// Takes what [`BlockMap::since`] gave, all pages together, the later records of a block over the earlier ones:
    /// a whole way from the version held to that one, or nothing.
    pub fn catch_up(&mut self, records: Vec<Record>, version: u64) -> Result<(), MapError> {
        if version < self.version {
            return Err(MapError::Gap { held: self.version, found: version });
        }
        let records = self.news(records);
        self.check(&records, true)?;
        for record in &records {
            self.put(record);
        }
        self.mark(&Batch { version, records });
        Ok(())
    }

    /// What of [`BlockMap::since`] says something new here: of each block the last word, and only where it is none that
    /// is held already.
    pub fn news(&self, records: Vec<Record>) -> Vec<Record> {
        let mut last: BTreeMap<BlockId, Record> = BTreeMap::new();
        for record in records {
            last.insert(record.id(), record);
        }
        let new = |record: &Record| match self.living.get(&record.id()) {
            Some(held) => held.epoch != record.epoch(),
            None => !self.retired.contains_key(&record.id()),
        };
        last.into_values().filter(new).collect()
    }

    /// `many`: the records come from several batches, so a block may have come and gone between.
    pub(crate) fn check(&self, records: &[Record], many: bool) -> Result<(), MapError> {
        let (mut seen, mut given, mut taken) = (BTreeSet::new(), Vec::new(), Vec::new());
        let mut more = 0usize;
        for record in records {
            let (id, found) = (record.id(), record.epoch());
            if !seen.insert(id) || self.retired.contains_key(&id) {
                return Err(MapError::Reused(id));
            }
            let held = self.living.get(&id);
            if let Some(held) = held.filter(|held| held.epoch >= found) {
                return Err(MapError::Stale { block: id, held: held.epoch, found });
            }
            given.extend(held.map(|held| held.span));
            match record {
                Record::Living(block) => {
                    check_block(block)?;
                    taken.push(block.span);
                    more += usize::from(held.is_none());
                }
                Record::Retired { span, .. } => match held {
                    Some(held) if held.span == *span => {}
                    None if many => {}
                    _ => return Err(MapError::Malformed(id, "retired, but no living block has its span")),
                },
            }
        }
        if self.living.len() + more > self.most {
            return Err(MapError::Full(self.most));
        }
        // What the batch covers afterwards is what its blocks covered before; the first batch of all is free to
        // cover what nobody does.
        let (given, taken) = (joined(given)?, joined(taken)?);
        let fresh = taken.iter().all(|span| self.covering(*span).is_empty());
        if given == taken || (given.is_empty() && fresh) {
            return Ok(());
        }
        let differ = given.iter().zip(&taken).find(|(g, t)| g != t);
        Err(MapError::Uneven(differ.map_or(0, |(g, t)| g.first.min(t.first))))
    }

    pub(super) fn put(&mut self, record: &Record) {
        let id = record.id();
        let old = self.living.remove(&id);
        let new = match record {
            Record::Living(block) => Some(block),
            Record::Retired { .. } => None,
        };
        // Most changes are of holders only: what stays is left where it is.
        let stays =
            |what: fn(&Block, &Block) -> bool| old.as_ref().zip(new).is_some_and(|(old, new)| what(old, new));
        if !stays(|old, new| old.span == new.span) {
            if let Some(old) = &old {
                self.by_first.remove(old.span.first, id);
            }
            if let Some(new) = new {
                self.by_first.insert(new.span.first, id);
            }
        }
        if !stays(|old, new| old.extent == new.extent) {
            for part in old.iter().filter_map(|old| old.extent).flat_map(Extent::boxes) {
                self.by_place.remove(&area(id, part));
            }
            for part in new.iter().filter_map(|new| new.extent).flat_map(Extent::boxes) {
                self.by_place.insert(area(id, part));
            }
        }
        for replica in old.iter().flat_map(|old| &old.replicas) {
            if let Some(held) = self.by_store.get_mut(&replica.store) {
                held.remove(&id);
            }
        }
        match record {
            Record::Living(block) => {
                for replica in &block.replicas {
                    self.by_store.entry(replica.store).or_default().insert(id);
                }
                self.living.insert(id, block.clone());
            }
            Record::Retired { span, epoch, .. } => {
                self.retired.insert(id, (*span, *epoch));
                self.oldest.push_back(id);
                while self.oldest.len() > self.retired_most {
                    if let Some(gone) = self.oldest.pop_front() {
                        self.retired.remove(&gone);
                        self.unmark(gone);
                    }
                }
            }
        }
    }

    fn mark(&mut self, batch: &Batch) {
        self.version = batch.version;
        for record in &batch.records {
            self.unmark(record.id());
            self.changed_at.insert(record.id(), batch.version);
            self.changed.insert((batch.version, record.id()));
        }
    }

    fn unmark(&mut self, id: BlockId) {
        if let Some(at) = self.changed_at.remove(&id) {
            self.changed.remove(&(at, id));
        }
    }
}

pub(super) fn check_block(block: &Block) -> Result<(), MapError> {
    let mut stores: Vec<StoreId> = block.replicas.iter().map(|r| r.store).collect();
    stores.sort_unstable();
    let fault = if block.span.is_empty() {
        "no weigher numbers in it"
    } else if block.holders().next().is_none() {
        "nobody would hold it"
    } else if stores.windows(2).any(|pair| pair[0] == pair[1]) {
        "a store holds it twice"
    } else if stores.len() > REPLICAS_MOST {
        "too many replicas"
    } else if block.extent.is_some_and(|e| e.0.iter().any(|degrees| !degrees.is_finite())) {
        "an extent that is no box"
    } else {
        return Ok(());
    };
    Err(MapError::Malformed(block.id, fault))
}

/// Spans sorted, with neighbours joined; an overlap is an error.
fn joined(mut spans: Vec<Span>) -> Result<Vec<Span>, MapError> {
    spans.sort_unstable();
    let mut out: Vec<Span> = Vec::new();
    for span in spans {
        match out.last_mut() {
            Some(last) if span.first < last.end => return Err(MapError::Uneven(span.first)),
            Some(last) if span.first == last.end => last.end = span.end,
            _ => out.push(span),
        }
    }
    Ok(out)
}
