//! Ranges cut at every one of their ends: between two ends next to each other the same ranges hold throughout, so what is
//! shown for one key there is shown for all.

use std::collections::BTreeSet;

use crate::types::Span;

/// Visits the stretches between the ends of some ranges in order, each with the indices of the ranges that have it. Empty
/// and reversed ranges have no keys. `also`: further places to cut at.
pub(crate) fn sweep(spans: &[Span], also: &[u64], mut visit: impl FnMut(Span, &BTreeSet<usize>)) {
    // A range goes in at its first key, and comes out at the first key behind it.
    let mut events: Vec<(u64, Option<(usize, bool)>)> = Vec::with_capacity(2 * spans.len() + also.len());
    for (n, span) in spans.iter().enumerate().filter(|(_, span)| !span.is_empty()) {
        events.push((span.first, Some((n, true))));
        events.push((span.end, Some((n, false))));
    }
    events.extend(also.iter().map(|at| (*at, None)));
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
