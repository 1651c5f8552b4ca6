//! Gaps and overlaps of ranges, by one sweep in order of their firsts. It promises the smallest of each: with a range that
//! begins, of all that are open, the one that ends first overlaps least.

use std::collections::BTreeSet;

use crate::types::{Block, Keys};

/// The smallest faults, each by its keys and then its first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Faults {
    pub(crate) gap: Option<Keys>,
    pub(crate) overlap: Option<(Keys, Block, Block)>,
}

/// Sweeps ranges, which come by first, for faults within the hull.
pub(crate) fn sweep(ranges: impl Iterator<Item = (Keys, Block)>, hull: Keys) -> Faults {
    let mut faults = Faults::default();
    let mut open: BTreeSet<(u64, Block)> = BTreeSet::new();
    let mut alone = None;
    let mut reach = hull.first;
    let mut gap = |first: u64, end: u64| {
        let found = Keys { first, end };
        // The first of equals stays: the sweep goes upwards.
        if first < end && faults.gap.is_none_or(|smallest| found.count() < smallest.count()) {
            faults.gap = Some(found);
        }
    };
    for (keys, block) in ranges {
        gap(reach, keys.first);
        // Mostly one range ends where the next begins: only those that reach further are kept in order.
        if keys.first >= reach {
            open.clear();
            alone = Some((keys.end, block));
            reach = keys.end;
            continue;
        }
        open.extend(alone.take());
        while open.first().is_some_and(|(end, _)| *end <= keys.first) {
            open.pop_first();
        }
        if let Some((end, other)) = open.first() {
            let shared = Keys { first: keys.first, end: keys.end.min(*end) };
            if faults.overlap.is_none_or(|(smallest, ..)| shared.count() < smallest.count()) {
                faults.overlap = Some((shared, block, *other));
            }
        }
        open.insert((keys.end, block));
        reach = reach.max(keys.end);
    }
    gap(reach, hull.end);
    faults
}
