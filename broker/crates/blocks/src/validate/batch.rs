//! The validator where maps are held and not written: a batch against the map that it changes, and a whole map that comes
//! from a log or from another broker. It looks at what the records touch and at nothing else, so that a batch costs the
//! same however large the map is.

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap, FxHashSet};

use super::draft::{Row, Standing};
use super::fault::{Fault, Finding};
use super::map::{row_stores, shape, tiling, Known};
use super::transition::{pass, Passage};
use crate::map::{BlockMap, Record};
use crate::types::{BlockId, StoreId};

/// What whoever asks knows beside the map.
pub struct Facts<'a> {
    /// What a store is fit for; nothing for one that nobody has named.
    pub standing: &'a dyn Fn(StoreId) -> Option<Standing>,
    /// What people call a store.
    pub text: &'a dyn Fn(StoreId) -> String,
    /// Whether a store has copied a living block and follows it.
    pub copies: &'a dyn Fn(BlockId, StoreId) -> bool,
}

impl Facts<'_> {
    fn known(&self) -> Known<'_> {
        Known { standing: self.standing, text: self.text }
    }
}

/// All that is wrong with records that are to change a map together: with what they say, with what would be covered, and with
/// the passage.
pub fn batch(map: &BlockMap, records: &[Record], facts: &Facts<'_>) -> Passage {
    let mut found = Vec::new();
    let (mut old, mut new) = (Vec::new(), Vec::new());
    let mut seen = FxHashSet::default();
    for record in records {
        let id = record.id();
        let (span, epoch) = match record {
            Record::Living(block) => (block.span, block.epoch),
            Record::Retired { span, epoch, .. } => (*span, *epoch),
        };
        let place = |fault| Finding::new(fault, span).block(id, 0);
        if !seen.insert(id) {
            found.push(place(Fault::UsedTwice));
            continue;
        }
        if map.retired(id).is_some() {
            found.push(place(Fault::UsedAgain));
        }
        if let Some(block) = map.block(id) {
            // A block that lives on is the passage's to look at.
            if matches!(record, Record::Retired { .. }) && epoch <= block.epoch {
                found.push(place(Fault::Epoch { held: block.epoch, found: epoch }));
            }
            old.push(Row::of(block));
        }
        if let Record::Living(block) = record {
            new.push(Row::of(block));
        }
    }
    let known = facts.known();
    for row in &new {
        shape(row, &mut found);
        let fresh = |store: StoreId| !old.iter().any(|row: &Row| row.holders.contains(&store));
        row_stores(row, &known, fresh, &mut found);
    }
    // Blocks that the records don't speak of, and that new ones would lie over.
    let mut beside: BTreeMap<BlockId, Row> = BTreeMap::new();
    for row in new.iter().filter(|row| !row.span.is_empty()) {
        for piece in map.covering(row.span) {
            let block = map.block(piece.block).filter(|block| !seen.contains(&block.id));
            beside.extend(block.map(|block| (block.id, Row::of(block))));
        }
    }
    let changed = new.len();
    new.extend(beside.into_values());
    tiling(&new, None, &mut found);
    new.truncate(changed);
    for row in &mut old {
        let gained = new.iter().flat_map(|new| &new.holders);
        let copied = gained.filter(|store| (facts.copies)(row.id, **store)).copied();
        row.copying.extend(copied);
    }
    let passage = pass(&old, &new, None, &known);
    Passage { findings: [found, passage.findings].concat(), waits: passage.waits }
}

/// All that is wrong with a whole map: what is malformed or held by nobody who is known, what overlaps, and what was
/// covered by a block that has come to its end and is covered by none now. Numbers that no block ever had are not missed.
pub fn whole(map: &BlockMap, facts: &Facts<'_>) -> Vec<Finding> {
    let mut found = Vec::new();
    let rows: Vec<Row> = map.blocks().map(Row::of).collect();
    let known = facts.known();
    for row in &rows {
        shape(row, &mut found);
        row_stores(row, &known, |_| false, &mut found);
    }
    tiling(&rows, None, &mut found);
    let mut gaps = FxHashMap::default();
    for (id, span, _) in map.retirements() {
        let mut at = span.first;
        for piece in map.covering(span) {
            if at < piece.slice.first {
                gaps.entry((at, piece.slice.first)).or_insert(id);
            }
            at = at.max(piece.slice.end);
        }
        if at < span.end {
            gaps.entry((at, span.end)).or_insert(id);
        }
    }
    let mut gaps: Vec<_> = gaps.into_iter().collect();
    gaps.sort_unstable();
    for ((first, end), id) in gaps {
        found.push(Finding::new(Fault::Gap, crate::types::Span::new(first, end)).block(id, 0));
    }
    found
}
