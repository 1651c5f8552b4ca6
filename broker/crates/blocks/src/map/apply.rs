//! Application of batches to the map, completely or not at all.

use std::collections::{BTreeMap, BTreeSet};

use super::{area, Batch, Block, BlockMap, MapError, Record, MAX_REPLICAS};
use crate::types::{BlockId, Extent, Span, StoreId};

impl BlockMap {
    /// Applies a batch completely or not at all.
    pub fn apply(&mut self, batch: &Batch) -> Result<(), MapError> {
        if batch.version != self.version + 1 {
            return Err(MapError::Gap { held: self.version, found: batch.version });
        }
        self.check(&batch.records, false)?;
        for record in &batch.records {
            self.apply_record(record);
        }
        self.record_version(batch);
        Ok(())
    }

    /// Applies all pages that [`BlockMap::changes_since`] returned, with later records of a block replacing earlier
    /// ones. Either all changes between the current version and `version` are applied, or none.
    pub fn catch_up(&mut self, records: Vec<Record>, version: u64) -> Result<(), MapError> {
        if version < self.version {
            return Err(MapError::Gap { held: self.version, found: version });
        }
        let records = self.new_records(records);
        self.check(&records, true)?;
        for record in &records {
            self.apply_record(record);
        }
        self.record_version(&Batch { version, records });
        Ok(())
    }

    /// Reduces the records of [`BlockMap::changes_since`] to those that change this map: the last record of each block,
    /// without records that the map already contains.
    pub fn new_records(&self, records: Vec<Record>) -> Vec<Record> {
        let mut last: BTreeMap<BlockId, Record> = BTreeMap::new();
        for record in records {
            last.insert(record.id(), record);
        }
        let new = |record: &Record| match self.active.get(&record.id()) {
            Some(held) => held.epoch != record.epoch(),
            None => !self.retired.contains_key(&record.id()),
        };
        last.into_values().filter(new).collect()
    }

    /// Checks whether the records can be applied. `is_multi_batch` means that the records come from several batches, so a
    /// block may have been created and retired in between.
    pub(crate) fn check(&self, records: &[Record], is_multi_batch: bool) -> Result<(), MapError> {
        let (mut seen, mut replaced_spans, mut new_spans) = (BTreeSet::new(), Vec::new(), Vec::new());
        let mut added_blocks = 0usize;
        for record in records {
            let (id, found) = (record.id(), record.epoch());
            if !seen.insert(id) || self.retired.contains_key(&id) {
                return Err(MapError::Reused(id));
            }
            let held = self.active.get(&id);
            if let Some(held) = held.filter(|held| held.epoch >= found) {
                return Err(MapError::Stale { block: id, held: held.epoch, found });
            }
            replaced_spans.extend(held.map(|held| held.span));
            match record {
                Record::Active(block) => {
                    check_block(block)?;
                    new_spans.push(block.span);
                    added_blocks += usize::from(held.is_none());
                }
                Record::Retired { span, .. } => match held {
                    Some(held) if held.span == *span => {}
                    None if is_multi_batch => {}
                    _ => return Err(MapError::Malformed(id, "retired, but no living block has its span")),
                },
            }
        }
        if self.active.len() + added_blocks > self.max_blocks {
            return Err(MapError::TooManyBlocks(self.max_blocks));
        }
        // The blocks of a batch must cover the same numbers after it as before. Only a batch that changes no
        // existing block may cover numbers that no block covers.
        let (replaced_spans, new_spans) = (join_spans(replaced_spans)?, join_spans(new_spans)?);
        let is_new_range = new_spans.iter().all(|span| self.covering(*span).is_empty());
        if replaced_spans == new_spans || (replaced_spans.is_empty() && is_new_range) {
            return Ok(());
        }
        let difference = replaced_spans.iter().zip(&new_spans).find(|(old, new)| old != new);
        Err(MapError::CoverageMismatch(difference.map_or(0, |(old, new)| old.first.min(new.first))))
    }

    pub(super) fn apply_record(&mut self, record: &Record) {
        let id = record.id();
        let old = self.active.remove(&id);
        let new = match record {
            Record::Active(block) => Some(block),
            Record::Retired { .. } => None,
        };
        // Most changes affect only replicas, so index entries that stay the same are not rewritten.
        let is_unchanged = |is_equal: fn(&Block, &Block) -> bool| {
            old.as_ref().zip(new).is_some_and(|(old, new)| is_equal(old, new))
        };
        if !is_unchanged(|old, new| old.span == new.span) {
            if let Some(old) = &old {
                self.by_first.remove(old.span.first, id);
            }
            if let Some(new) = new {
                self.by_first.insert(new.span.first, id);
            }
        }
        if !is_unchanged(|old, new| old.extent == new.extent) {
            for part in old.iter().filter_map(|old| old.extent).flat_map(Extent::boxes) {
                self.by_extent.remove(&area(id, part));
            }
            for part in new.iter().filter_map(|new| new.extent).flat_map(Extent::boxes) {
                self.by_extent.insert(area(id, part));
            }
        }
        for replica in old.iter().flat_map(|old| &old.replicas) {
            if let Some(held) = self.by_store.get_mut(&replica.store) {
                held.remove(&id);
            }
        }
        match record {
            Record::Active(block) => {
                for replica in &block.replicas {
                    self.by_store.entry(replica.store).or_default().insert(id);
                }
                self.active.insert(id, block.clone());
            }
            Record::Retired { span, epoch, .. } => {
                self.retired.insert(id, (*span, *epoch));
                self.retirement_order.push_back(id);
                while self.retirement_order.len() > self.max_retired {
                    if let Some(evicted) = self.retirement_order.pop_front() {
                        self.retired.remove(&evicted);
                        self.remove_version(evicted);
                    }
                }
            }
        }
    }

    fn record_version(&mut self, batch: &Batch) {
        self.version = batch.version;
        for record in &batch.records {
            self.remove_version(record.id());
            self.changed_at.insert(record.id(), batch.version);
            self.changed.insert((batch.version, record.id()));
        }
    }

    fn remove_version(&mut self, id: BlockId) {
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
    } else if stores.len() > MAX_REPLICAS {
        "too many replicas"
    } else if block.extent.is_some_and(|e| e.0.iter().any(|degrees| !degrees.is_finite())) {
        "an extent that is no box"
    } else {
        return Ok(());
    };
    Err(MapError::Malformed(block.id, fault))
}

/// Sorts spans and joins adjacent ones. Overlapping spans are an error.
fn join_spans(mut spans: Vec<Span>) -> Result<Vec<Span>, MapError> {
    spans.sort_unstable();
    let mut out: Vec<Span> = Vec::new();
    for span in spans {
        match out.last_mut() {
            Some(last) if span.first < last.end => return Err(MapError::CoverageMismatch(span.first)),
            Some(last) if span.first == last.end => last.end = span.end,
            _ => out.push(span),
        }
    }
    Ok(out)
}
