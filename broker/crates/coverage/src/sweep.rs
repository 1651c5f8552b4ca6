//! Detection of gaps and overlaps between ranges by one sweep in ascending order of first keys. Finds the smallest gap and the
//! smallest overlap: of all ranges that are open where a range begins, the one that ends first has the smallest overlap with it.

use std::collections::BTreeSet;

use crate::types::{Block, KeyRange};

/// The smallest gap and the smallest overlap, by number of keys and then by first key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RangeFaults {
    pub(crate) gap: Option<KeyRange>,
    pub(crate) overlap: Option<(KeyRange, Block, Block)>,
}

/// Finds the smallest gap and overlap within `hull`. The ranges have to be in ascending order of first keys.
pub(crate) fn sweep(ranges: impl Iterator<Item = (KeyRange, Block)>, hull: KeyRange) -> RangeFaults {
    let mut faults = RangeFaults::default();
    let mut open: BTreeSet<(u64, Block)> = BTreeSet::new();
    let mut last_open = None;
    let mut covered_end = hull.first;
    let mut gap = |first: u64, end: u64| {
        let found = KeyRange { first, end };
        // Of equally small gaps the first is kept, since the sweep is in ascending order.
        if first < end && faults.gap.is_none_or(|smallest| found.count() < smallest.count()) {
            faults.gap = Some(found);
        }
    };
    for (keys, block) in ranges {
        gap(covered_end, keys.first);
        // Usually a range begins where the last one ends, so that only ranges that extend further need to be kept in the
        // ordered set.
        if keys.first >= covered_end {
            open.clear();
            last_open = Some((keys.end, block));
            covered_end = keys.end;
            continue;
        }
        open.extend(last_open.take());
        while open.first().is_some_and(|(end, _)| *end <= keys.first) {
            open.pop_first();
        }
        if let Some((end, other)) = open.first() {
            let shared = KeyRange { first: keys.first, end: keys.end.min(*end) };
            if faults.overlap.is_none_or(|(smallest, ..)| shared.count() < smallest.count()) {
                faults.overlap = Some((shared, block, *other));
            }
        }
        open.insert((keys.end, block));
        covered_end = covered_end.max(keys.end);
    }
    gap(covered_end, hull.end);
    faults
}
