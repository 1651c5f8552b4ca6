//! Validation of maps in memory: of a batch against the map that it changes, and of a complete map from a log
//! or from another broker. The check of a batch considers only what its records affect, so its cost does not
//! depend on the size of the map.

use std::collections::BTreeMap;

use rustc_hash::{FxHashMap, FxHashSet};

use super::draft::{Row, Standing};
use super::fault::{Fault, Finding};
use super::map::{check_row_stores, check_span, check_tiling, StoreInfo};
use super::transition::{check_transition, Transition};
use crate::map::{BlockMap, Record};
use crate::types::{BlockId, StoreId};

/// Facts about stores that the map does not contain.
pub struct Facts<'a> {
    /// Returns the state of a store; `None` for an unknown store.
    pub standing: &'a dyn Fn(StoreId) -> Option<Standing>,
    /// Returns the display name of a store.
    pub store_name: &'a dyn Fn(StoreId) -> String,
    /// Whether a store has copied an active block and follows its log.
    pub copies: &'a dyn Fn(BlockId, StoreId) -> bool,
}

impl Facts<'_> {
    fn known(&self) -> StoreInfo<'_> {
        StoreInfo { standing: self.standing, store_name: self.store_name }
    }
}

/// Returns all faults of records that are to change a map together: of the records themselves, of the resulting
/// coverage, and of the transition.
pub fn batch(map: &BlockMap, records: &[Record], facts: &Facts<'_>) -> Transition {
    let mut findings = Vec::new();
    let (mut old, mut new) = (Vec::new(), Vec::new());
    let mut seen_ids = FxHashSet::default();
    for record in records {
        let id = record.id();
        let (span, epoch) = match record {
            Record::Active(block) => (block.span, block.epoch),
            Record::Retired { span, epoch, .. } => (*span, *epoch),
        };
        let finding = |fault| Finding::new(fault, span).block(id, 0);
        if !seen_ids.insert(id) {
            findings.push(finding(Fault::UsedTwice));
            continue;
        }
        if map.retired(id).is_some() {
            findings.push(finding(Fault::UsedAgain));
        }
        if let Some(block) = map.block(id) {
            // The transition check covers blocks that remain active.
            if matches!(record, Record::Retired { .. }) && epoch <= block.epoch {
                findings.push(finding(Fault::Epoch { held: block.epoch, found: epoch }));
            }
            old.push(Row::from_block(block));
        }
        if let Record::Active(block) = record {
            new.push(Row::from_block(block));
        }
    }
    let known = facts.known();
    for row in &new {
        check_span(row, &mut findings);
        let is_new_holder = |store: StoreId| !old.iter().any(|row: &Row| row.holders.contains(&store));
        check_row_stores(row, &known, is_new_holder, &mut findings);
    }
    // Blocks that the records do not mention but that new blocks would overlap.
    let mut overlapped: BTreeMap<BlockId, Row> = BTreeMap::new();
    for row in new.iter().filter(|row| !row.span.is_empty()) {
        for piece in map.covering(row.span) {
            let block = map.block(piece.block).filter(|block| !seen_ids.contains(&block.id));
            overlapped.extend(block.map(|block| (block.id, Row::from_block(block))));
        }
    }
    let changed = new.len();
    new.extend(overlapped.into_values());
    check_tiling(&new, None, &mut findings);
    new.truncate(changed);
    for row in &mut old {
        let gained = new.iter().flat_map(|new| &new.holders);
        let copied = gained.filter(|store| (facts.copies)(row.id, **store)).copied();
        row.copying.extend(copied);
    }
    let result = check_transition(&old, &new, None, &known);
    Transition { findings: [findings, result.findings].concat(), waits: result.waits }
}

/// Returns all faults of a complete map: malformed blocks, blocks without a known holder, overlaps, and keys of
/// a retired block that no block covers now. Numbers that no block ever covered are not faults.
pub fn full_map(map: &BlockMap, facts: &Facts<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let rows: Vec<Row> = map.blocks().map(Row::from_block).collect();
    let known = facts.known();
    for row in &rows {
        check_span(row, &mut findings);
        check_row_stores(row, &known, |_| false, &mut findings);
    }
    check_tiling(&rows, None, &mut findings);
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
        findings.push(Finding::new(Fault::Gap, crate::types::Span::new(first, end)).block(id, 0));
    }
    findings
}
