//! Validation of a complete map: every key is in exactly one block, every block is at suitable holders, in the
//! number and in the zones that the goal requires, and no store exceeds its capacity. All faults are reported
//! at once, each of them once.

use std::collections::BTreeMap;

use gingerledge_coverage::{BlockAssignment, Bounds, Cover, Coverage, KeyRange, Region, Store, Zone};
use rustc_hash::{FxHashMap, FxHashSet};

use super::draft::{Draft, Row, Site, Standing};
use super::fault::{Fault, Finding, Unfit, MAX_NAMED_BLOCKS};
use super::sweep::sweep;
use crate::map::MAX_REPLICAS;
use crate::types::{BlockId, Span, StoreId};

/// Maximum number of holders of one block that are counted. An excess of holders is reported separately.
const MAX_COUNTED_HOLDERS: usize = 1000;

/// Information about stores.
pub(crate) struct StoreInfo<'a> {
    /// Returns the state of a store; `None` for an unknown store.
    pub(crate) standing: &'a dyn Fn(StoreId) -> Option<Standing>,
    /// Returns the display name of a store.
    pub(crate) store_name: &'a dyn Fn(StoreId) -> String,
}

impl StoreInfo<'_> {
    /// Returns the reason why a store cannot be a holder.
    fn unfit(&self, store: StoreId) -> Option<Unfit> {
        match (self.standing)(store) {
            None => Some(Unfit::Unknown),
            Some(Standing::Draining) => Some(Unfit::Draining),
            Some(Standing::Gone) => Some(Unfit::Gone),
            Some(Standing::Listed | Standing::Cold) => None,
        }
    }
}

/// Returns all faults of a map on its own.
pub fn faults(draft: &Draft, store_name: &dyn Fn(StoreId) -> String) -> Vec<Finding> {
    let mut found = Vec::new();
    let sites = draft.sites_by_store();
    let standing = |store| sites.get(&store).map(|site: &&Site| site.standing);
    let known = StoreInfo { standing: &standing, store_name };
    if draft.keys.is_empty() {
        let reversed = draft.keys.end < draft.keys.first;
        found.push(Finding::new(if reversed { Fault::Reversed } else { Fault::Empty }, draft.keys));
    }
    let mut cover = build_coverage(&sites);
    check_sites(draft, store_name, &mut found);
    check_ids(draft, &mut found);
    for row in &draft.rows {
        if !check_span(row, &mut found)
            && (row.span.first < draft.keys.first || row.span.end > draft.keys.end)
        {
            found.push(at(row, Fault::Outside { all: draft.keys }));
        }
        check_row_stores(row, &known, |_| true, &mut found);
        check_redundancy(row, draft, &mut cover, &mut found);
    }
    check_tiling(&draft.rows, Some(draft.keys), &mut found);
    check_capacity(draft, &sites, store_name, &mut found);
    found
}

fn at(row: &Row, fault: Fault) -> Finding {
    Finding::new(fault, row.span).block(row.id, row.line)
}

fn check_sites(draft: &Draft, store_name: &dyn Fn(StoreId) -> String, found: &mut Vec<Finding>) {
    let mut seen: FxHashMap<StoreId, u32> = FxHashMap::default();
    for site in &draft.sites {
        if let Some(line) = seen.insert(site.store, site.line) {
            let fault = Fault::StoreTwice { store: store_name(site.store) };
            found.push(Finding::new(fault, None).line(line).line(site.line));
        }
        if !(site.capacity.is_finite() && site.capacity >= 0.0) {
            let fault = Fault::Figure { what: "capacity", value: site.capacity.to_string() };
            found.push(Finding::new(fault, None).line(site.line));
        }
    }
}

fn check_ids(draft: &Draft, found: &mut Vec<Finding>) {
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

/// Reports a block without keys, and returns whether the block has none.
pub(crate) fn check_span(row: &Row, found: &mut Vec<Finding>) -> bool {
    if row.span.end < row.span.first {
        found.push(at(row, Fault::Reversed));
    } else if row.span.is_empty() {
        found.push(at(row, Fault::Empty));
    }
    row.span.is_empty()
}

/// Checks the stores of a block one by one. Stores that are not `new` in this block are only checked for being
/// known.
pub(crate) fn check_row_stores(
    row: &Row,
    known: &StoreInfo<'_>,
    new: impl Fn(StoreId) -> bool,
    found: &mut Vec<Finding>,
) {
    let all = || row.holders.iter().chain(&row.copying);
    for (n, store) in all().enumerate() {
        let line = row.line_of(n);
        let place = |fault| Finding::new(fault, row.span).block(row.id, line);
        if all().take(n).any(|other| other == store) {
            found.push(place(Fault::HeldTwice { store: (known.store_name)(*store) }));
        } else if let Some(why) = known.unfit(*store).filter(|why| *why == Unfit::Unknown || new(*store)) {
            let copies = n >= row.holders.len();
            found.push(place(Fault::Holder { store: (known.store_name)(*store), why, copies }));
        }
    }
    let replicas = row.holders.len() + row.copying.len();
    if replicas > MAX_REPLICAS {
        found.push(at(row, Fault::TooMany { replicas, most: MAX_REPLICAS }));
    }
    if row.holders.is_empty() {
        found.push(at(row, Fault::Holders { sound: 0, least: 1 }));
    }
}

/// Returns the usable holders of a block, each once.
fn usable_holders<'a>(row: &Row, sites: &FxHashMap<StoreId, &'a Site>) -> Vec<&'a Site> {
    let mut found: Vec<&Site> = row.holders.iter().filter_map(|store| sites.get(store).copied()).collect();
    found.retain(|site| site.standing.is_usable());
    found.sort_unstable_by_key(|site| site.store);
    found.dedup_by_key(|site| site.store);
    found
}

/// Converts the stores for the coverage calculation, which alone counts holders and zones.
fn build_coverage(sites: &FxHashMap<StoreId, &Site>) -> Coverage {
    let stores = sites.len();
    let mut cover = Coverage::new(Bounds { stores, blocks: 1, holders: MAX_COUNTED_HOLDERS, zones: stores });
    for site in sites.values() {
        let (store, zone, region) = (Store(site.store.0), Zone(site.zone), Region(site.region));
        // The limit on stores equals their number, so adding one cannot fail.
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

fn check_redundancy(row: &Row, draft: &Draft, cover: &mut Coverage, found: &mut Vec<Finding>) {
    // An empty list of holders has already been reported.
    if row.holders.is_empty() {
        return;
    }
    let mut holders: Vec<Store> = row.holders.iter().map(|store| Store(store.0)).collect();
    holders.sort_unstable();
    holders.dedup();
    // Each block is evaluated on its own, over placeholder keys: rows may overlap, be reversed, or have the
    // same identifier twice.
    let held = BlockAssignment { block: Default::default(), keys: KeyRange::new(0, 1), holders, load: 0.0 };
    if cover.set_block(held).is_err() {
        return;
    }
    let Some(Cover { sound, zones, .. }) = cover.cover_at(0) else { return };
    if sound < draft.minimum.holders {
        found.push(at(row, Fault::Holders { sound, least: draft.minimum.holders }));
    }
    if zones < draft.minimum.zones {
        found.push(at(row, Fault::Zones { sound: zones, least: draft.minimum.zones }));
    }
}

/// Reports overlaps, and gaps in the range to be covered if that is known.
pub(crate) fn check_tiling(rows: &[Row], keys: Option<Span>, found: &mut Vec<Finding>) {
    let spans: Vec<Span> = rows.iter().map(|row| row.span).collect();
    let ends = keys.filter(|keys| !keys.is_empty()).map(|keys| [keys.first, keys.end]);
    sweep(&spans, ends.as_ref().map_or(&[], |ends| ends), |section, inside| match inside.len() {
        0 => {
            if let Some(gap) = keys.and_then(|keys| keys.intersection(section)) {
                // Adjacent blocks could be widened, so their lines are added below.
                found.push(Finding::new(Fault::Gap, gap));
            }
        }
        1 => {}
        n => {
            let fault = Fault::Overlap { more: n.saturating_sub(MAX_NAMED_BLOCKS) };
            let named = inside.iter().take(MAX_NAMED_BLOCKS).map(|at| &rows[*at]);
            let all = named.fold(Finding::new(fault, section), |all, row| {
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

/// Checks the load of each store. The load of a block is distributed over its usable holders in proportion to
/// their capacity.
fn check_capacity(
    draft: &Draft,
    sites: &FxHashMap<StoreId, &Site>,
    store_name: &dyn Fn(StoreId) -> String,
    found: &mut Vec<Finding>,
) {
    let mut carried: BTreeMap<StoreId, (f64, Vec<&Row>)> = BTreeMap::new();
    for row in draft.rows.iter().filter(|row| row.load.is_finite() && row.load > 0.0) {
        let holders = usable_holders(row, sites);
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
        // Shares are fractions, so their sum is subject to rounding errors.
        if load > site.capacity * (1.0 + 1e-9) + 1e-9 {
            let fault = Fault::Capacity { store: store_name(store), load, room: site.capacity };
            let keys = rows.iter().map(|row| row.span).filter(|span| !span.is_empty());
            let keys = keys.reduce(|a, b| Span::new(a.first.min(b.first), a.end.max(b.end)));
            let finding = Finding::new(fault, keys).line(site.line);
            found.push(rows.iter().take(MAX_NAMED_BLOCKS).fold(finding, |all, row| all.block(row.id, 0)));
        }
    }
}
