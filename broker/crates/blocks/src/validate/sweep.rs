//! Sweep over ranges, cut at each of their ends: between two adjacent ends the set of containing ranges is
//! constant, so what holds for one key there holds for all.

use std::collections::BTreeSet;

use crate::types::Span;

/// Visits the sections between the ends of the ranges in order, each with the indices of the ranges that
/// contain it. Empty and reversed ranges contain no keys. `extra_cuts` are further positions at which to cut.
pub(crate) fn sweep(spans: &[Span], extra_cuts: &[u64], mut visit: impl FnMut(Span, &BTreeSet<usize>)) {
    // A range is added at its first key, and removed at the first key after it.
    let mut events: Vec<(u64, Option<(usize, bool)>)> =
        Vec::with_capacity(2 * spans.len() + extra_cuts.len());
    for (n, span) in spans.iter().enumerate().filter(|(_, span)| !span.is_empty()) {
        events.push((span.first, Some((n, true))));
        events.push((span.end, Some((n, false))));
    }
    events.extend(extra_cuts.iter().map(|at| (*at, None)));
    events.sort_unstable_by_key(|(at, _)| *at);
    let mut inside = BTreeSet::new();
    let mut from = None;
    for (at, event) in events {
        if let Some(first) = from.filter(|first| *first < at) {
            visit(Span::new(first, at), &inside);
        }
        from = Some(at);
        match event {
            Some((n, true)) => drop(inside.insert(n)),
            Some((n, false)) => drop(inside.remove(&n)),
            None => {}
        }
    }
}
