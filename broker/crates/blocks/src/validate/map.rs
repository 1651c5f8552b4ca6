//! A whole map, proved: every key in exactly one block, every block at holders that can hold it, as many and as far apart
//! as the goal says, and no store over its capacity. It promises to name all faults at once, each once.

use std::collections::BTreeMap;

use gingerledge_coverage::{BlockAssignment, Bounds, Cover, Coverage, KeyRange, Region, Store, Zone};
use rustc_hash::{FxHashMap, FxHashSet};

use super::draft::{Draft, Row, Site, Standing};
use super::fault::{Fault, Finding, Unfit, NAMED_MOST};
use super::sweep::sweep;
use crate::map::REPLICAS_MOST;
use crate::types::{BlockId, Span, StoreId};

/// More holders of one block are not counted; that they are too many is said anyway.
const HOLDERS_MOST: usize = 1000;

/// What is known of stores.
pub(crate) struct Known<'a> {
    /// What one is fit for; nothing for a store that nobody has named.
    pub(crate) standing: &'a dyn Fn(StoreId) -> Option<Standing>,
    /// What people call it.
    pub(crate) text: &'a dyn Fn(StoreId) -> String,
}

impl Known<'_> {
    /// Why a store can't be a holder.
    fn unfit(&self, store: StoreId) -> Option<Unfit> {
        match (self.standing)(store) {
            None => Some(Unfit::Unknown),
            Some(Standing::Draining) => Some(Unfit::Draining),
            Some(Standing::Gone) => Some(Unfit::Gone),
            Some(Standing::Listed | Standing::Cold) => None,
        }
    }
}

/// All that is wrong with a map by itself.
pub fn faults(draft: &Draft, text: &dyn Fn(StoreId) -> String) -> Vec<Finding> {
    let mut found = Vec::new();
    let sites = draft.standings();
    let standing = |store| sites.get(&store).map(|site: &&Site| site.standing);
    let known = Known { standing: &standing, text };
    if draft.keys.is_empty() {
        let reversed = draft.keys.end < draft.keys.first;
        found.push(Finding::new(if reversed { Fault::Reversed } else { Fault::Empty }, draft.keys));
    }
    let mut cover = cover(&sites);
    stores(draft, text, &mut found);
    numbers(draft, &mut found);
    for row in &draft.rows {
        if !shape(row, &mut found) && (row.span.first < draft.keys.first || row.span.end > draft.keys.end) {
            found.push(at(row, Fault::Outside { all: draft.keys }));
        }
        row_stores(row, &known, |_| true, &mut found);
        goal(row, draft, &mut cover, &mut found);
    }
    tiling(&draft.rows, Some(draft.keys), &mut found);
    capacity(draft, &sites, text, &mut found);
    found
}

fn at(row: &Row, fault: Fault) -> Finding {
    Finding::new(fault, row.span).block(row.id, row.line)
}

fn stores(draft: &Draft, text: &dyn Fn(StoreId) -> String, found: &mut Vec<Finding>) {
    let mut seen: FxHashMap<StoreId, u32> = FxHashMap::default();
    for site in &draft.sites {
        if let Some(line) = seen.insert(site.store, site.line) {
            let fault = Fault::StoreTwice { store: text(site.store) };
            found.push(Finding::new(fault, None).line(line).line(site.line));
        }
        if !(site.capacity.is_finite() && site.capacity >= 0.0) {
            let fault = Fault::Figure { what: "capacity", value: site.capacity.to_string() };
            found.push(Finding::new(fault, None).line(site.line));
        }
    }
}

fn numbers(draft: &Draft, found: &mut Vec<Finding>) {
    let retired: FxHashSet<BlockId> = draft.retired.iter().copied().collect();
    let mut seen: FxHashMap<BlockId, u32> = FxHashMap::default();
    for row in &draft.rows {
        if let Some(line) = seen.insert(row.id, row.line) {
            let first = Finding::new(Fault::UsedTwice, row.span).block(row.id, line);
            found.push(first.line(row.line));
        }
        if retired.contains(&row.id) {
            found.push(at(row, Fault::UsedAgain));
        }
        if !(row.load.is_finite() && row.load >= 0.0) {
            found.push(at(row, Fault::Figure { what: "load", value: row.load.to_string() }));
        }
    }
}

/// Whether a block has no keys to speak of.
pub(crate) fn shape(row: &Row, found: &mut Vec<Finding>) -> bool {
    if row.span.end < row.span.first {
        found.push(at(row, Fault::Reversed));
    } else if row.span.is_empty() {
        found.push(at(row, Fault::Empty));
    }
    row.span.is_empty()
}

/// What is wrong with a block's stores one by one; of those that are not `new` here only what they are listed as.
pub(crate) fn row_stores(
    row: &Row,
    known: &Known<'_>,
    new: impl Fn(StoreId) -> bool,
    found: &mut Vec<Finding>,
) {
    let all = || row.holders.iter().chain(&row.copying);
    for (n, store) in all().enumerate() {
        let line = row.line_of(n);
        let place = |fault| Finding::new(fault, row.span).block(row.id, line);
        if all().take(n).any(|other| other == store) {
            found.push(place(Fault::HeldTwice { store: (known.text)(*store) }));
        } else if let Some(why) = known.unfit(*store).filter(|why| *why == Unfit::Unknown || new(*store)) {
            let copies = n >= row.holders.len();
            found.push(place(Fault::Holder { store: (known.text)(*store), why, copies }));
        }
    }
    let replicas = row.holders.len() + row.copying.len();
    if replicas > REPLICAS_MOST {
        found.push(at(row, Fault::TooMany { replicas, most: REPLICAS_MOST }));
    }
    if row.holders.is_empty() {
        found.push(at(row, Fault::Holders { sound: 0, least: 1 }));
    }
}

/// A block's sound holders, each once.
fn sound<'a>(row: &Row, sites: &FxHashMap<StoreId, &'a Site>) -> Vec<&'a Site> {
    let mut found: Vec<&Site> = row.holders.iter().filter_map(|store| sites.get(store).copied()).collect();
    found.retain(|site| site.standing.sound());
    found.sort_unstable_by_key(|site| site.store);
    found.dedup_by_key(|site| site.store);
    found
}

/// The stores as the calculus of cover has them, which alone counts holders and zones.
fn cover(sites: &FxHashMap<StoreId, &Site>) -> Coverage {
    let stores = sites.len();
    let mut cover = Coverage::new(Bounds { stores, blocks: 1, holders: HOLDERS_MOST, zones: stores });
    for site in sites.values() {
        let (store, zone, region) = (Store(site.store.0), Zone(site.zone), Region(site.region));
        // There is room for just as many as there are.
        let _ = cover.set_site(gingerledge_coverage::Site {
            store,
            zone,
            region,
            capacity: site.capacity,
            state: site.standing.state(),
        });
    }
    cover
}

fn goal(row: &Row, draft: &Draft, cover: &mut Coverage, found: &mut Vec<Finding>) {
    // An empty list has been named already.
    if row.holders.is_empty() {
        return;
    }
    let mut holders: Vec<Store> = row.holders.iter().map(|store| Store(store.0)).collect();
    holders.sort_unstable();
    holders.dedup();
    // One block at a time, over keys of its own: rows may overlap, be reversed, or have a number twice.
    let held = BlockAssignment { block: Default::default(), keys: KeyRange::new(0, 1), holders, load: 0.0 };
    if cover.set_block(held).is_err() {
        return;
    }
    let Some(Cover { sound, zones, .. }) = cover.cover_at(0) else { return };
    if sound < draft.least.holders {
        found.push(at(row, Fault::Holders { sound, least: draft.least.holders }));
    }
    if zones < draft.least.zones {
        found.push(at(row, Fault::Zones { sound: zones, least: draft.least.zones }));
    }
}

/// Gaps within what is to be covered, if that is known, and overlaps.
pub(crate) fn tiling(rows: &[Row], keys: Option<Span>, found: &mut Vec<Finding>) {
    let spans: Vec<Span> = rows.iter().map(|row| row.span).collect();
    let ends = keys.filter(|keys| !keys.is_empty()).map(|keys| [keys.first, keys.end]);
    sweep(&spans, ends.as_ref().map_or(&[], |ends| ends), |stretch, inside| match inside.len() {
        0 => {
            if let Some(gap) = keys.and_then(|keys| keys.meet(stretch)) {
                // A neighbour may be widened: the lines are theirs.
                found.push(Finding::new(Fault::Gap, gap));
            }
        }
        1 => {}
        n => {
            let fault = Fault::Overlap { more: n.saturating_sub(NAMED_MOST) };
            let named = inside.iter().take(NAMED_MOST).map(|at| &rows[*at]);
            let all = named.fold(Finding::new(fault, stretch), |all, row| {
                let all = all.line(row.line);
                Finding { blocks: [all.blocks, vec![row.id]].concat(), ..all }
            });
            found.push(all);
        }
    });
    let gaps = found.iter_mut().filter(|finding| finding.fault == Fault::Gap);
    let mut ends: FxHashMap<u64, &Row> = FxHashMap::default();
    let mut firsts: FxHashMap<u64, &Row> = FxHashMap::default();
    for row in rows.iter().filter(|row| !row.span.is_empty()) {
        ends.insert(row.span.end, row);
        firsts.insert(row.span.first, row);
    }
    for gap in gaps {
        let Some(keys) = gap.keys else { continue };
        for row in ends.get(&keys.first).into_iter().chain(firsts.get(&keys.end)) {
            *gap = gap.clone().block(row.id, row.line);
        }
    }
}

/// A block's load falls on its sound holders by their capacity.
fn capacity(
    draft: &Draft,
    sites: &FxHashMap<StoreId, &Site>,
    text: &dyn Fn(StoreId) -> String,
    found: &mut Vec<Finding>,
) {
    let mut carried: BTreeMap<StoreId, (f64, Vec<&Row>)> = BTreeMap::new();
    for row in draft.rows.iter().filter(|row| row.load.is_finite() && row.load > 0.0) {
        let holders = sound(row, sites);
        let all: f64 = holders.iter().map(|site| site.capacity.max(0.0)).sum();
        for site in &holders {
            let share = match all > 0.0 && all.is_finite() {
                true => site.capacity.max(0.0) / all,
                false => 1.0 / holders.len() as f64,
            };
            let (load, rows) = carried.entry(site.store).or_default();
            *load += row.load * share;
            rows.push(row);
        }
    }
    for (store, (load, rows)) in carried {
        let Some(site) = sites.get(&store).filter(|site| site.capacity.is_finite()) else { continue };
        // Shares are fractions: what they add up to is exact but for their last digits.
        if load > site.capacity * (1.0 + 1e-9) + 1e-9 {
            let fault = Fault::Capacity { store: text(store), load, room: site.capacity };
            let keys = rows.iter().map(|row| row.span).filter(|span| !span.is_empty());
            let keys = keys.reduce(|a, b| Span::new(a.first.min(b.first), a.end.max(b.end)));
            let finding = Finding::new(fault, keys).line(site.line);
            found.push(rows.iter().take(NAMED_MOST).fold(finding, |all, row| all.block(row.id, 0)));
        }
    }
}
