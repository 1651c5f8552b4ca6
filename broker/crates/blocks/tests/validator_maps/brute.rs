//! Brute-force validator: evaluates key by key, and for a transition every combination of versions of the
//! stores.

use std::collections::BTreeSet;

use gingerledge_blocks::validate::{Draft, Fault, Finding, Row, Site, Standing, Transition, Unfit};
use gingerledge_blocks::{StoreId, MAX_REPLICAS};

/// Findings reduced to single keys, or to a block or a store, as a set that both validators must produce.
pub type FaultSet = BTreeSet<String>;

/// Converts findings of the validator.
pub fn fault_set(findings: &[Finding]) -> FaultSet {
    let mut all = FaultSet::new();
    for finding in findings {
        let (keys, blocks) = (finding.keys, &finding.blocks);
        let ids: Vec<u32> = blocks.iter().map(|id| id.0).collect();
        let per_key = |what: &str| -> Vec<String> {
            keys.map_or(vec![], |keys| (keys.first..keys.end).map(|key| format!("{what} {key}")).collect())
        };
        let span = keys.map_or_else(String::new, |keys| keys.to_string());
        match &finding.fault {
            Fault::Gap => all.extend(per_key("gap")),
            Fault::GivenUp => all.extend(per_key("given up")),
            Fault::Overlap { .. } => {
                let mut ids = ids.clone();
                ids.sort_unstable();
                all.extend(per_key(&format!("overlap {ids:?}")));
            }
            Fault::Unfollowed { .. } => all.extend(per_key("unfollowed")),
            Fault::TwoSets { .. } => all.extend(per_key("two sets")),
            Fault::Unreadable { .. } => all.extend(per_key("unreadable")),
            Fault::Epoch { .. } => drop(all.insert(format!("epoch {ids:?}"))),
            Fault::Holder { store, why, copies } => {
                all.insert(format!("{why:?} {store} {copies} {ids:?} {span}"));
            }
            Fault::HeldTwice { store } => drop(all.insert(format!("held twice {store} {ids:?} {span}"))),
            Fault::Holders { sound, .. } => drop(all.insert(format!("holders {sound} {ids:?} {span}"))),
            Fault::Zones { sound, .. } => drop(all.insert(format!("zones {sound} {ids:?} {span}"))),
            Fault::Capacity { store, .. } => drop(all.insert(format!("capacity {store}"))),
            Fault::StoreTwice { store } => drop(all.insert(format!("store twice {store}"))),
            Fault::Empty => drop(all.insert(format!("empty {ids:?} {span}"))),
            Fault::Reversed => drop(all.insert(format!("reversed {ids:?} {span}"))),
            Fault::Outside { .. } => drop(all.insert(format!("outside {ids:?} {span}"))),
            Fault::UsedTwice => drop(all.insert(format!("used twice {ids:?} {span}"))),
            Fault::UsedAgain => drop(all.insert(format!("used again {ids:?} {span}"))),
            Fault::TooMany { replicas, .. } => drop(all.insert(format!("too many {replicas} {ids:?}"))),
            other => drop(all.insert(format!("{other:?}"))),
        }
    }
    all
}

fn standing(draft: &Draft, store: StoreId) -> Option<Standing> {
    draft.sites.iter().find(|site| site.store == store).map(|site| site.standing)
}

/// Returns all faults of a map with few keys.
pub fn faults(draft: &Draft) -> FaultSet {
    let mut all = FaultSet::new();
    let has = |row: &&Row, key: u64| row.span.first <= key && key < row.span.end;
    let lowest = draft.rows.iter().map(|row| row.span.first.min(row.span.end)).min().unwrap_or(0);
    let highest = draft.rows.iter().map(|row| row.span.first.max(row.span.end)).max().unwrap_or(0);
    for key in lowest.min(draft.keys.first)..highest.max(draft.keys.end) {
        let mut here: Vec<u32> = draft.rows.iter().filter(|row| has(row, key)).map(|row| row.id.0).collect();
        here.sort_unstable();
        if here.is_empty() && key >= draft.keys.first && key < draft.keys.end {
            all.insert(format!("gap {key}"));
        }
        if here.len() > 1 {
            all.insert(format!("overlap {here:?} {key}"));
        }
    }
    for (n, row) in draft.rows.iter().enumerate() {
        let (ids, span) = ([row.id.0], row.span);
        let mut add_fault = |what: &str| {
            all.insert(format!("{what} {ids:?} {span}"));
        };
        if span.first == span.end {
            add_fault("empty");
        } else if span.first > span.end {
            add_fault("reversed");
        } else if span.first < draft.keys.first || span.end > draft.keys.end {
            add_fault("outside");
        }
        if draft.rows[..n].iter().any(|before| before.id == row.id) {
            add_fault("used twice");
        }
        if draft.retired.contains(&row.id) {
            add_fault("used again");
        }
        let mut sound: BTreeSet<StoreId> = BTreeSet::new();
        let mut seen = BTreeSet::new();
        for (n, store) in row.holders.iter().chain(&row.copying).enumerate() {
            let copies = n >= row.holders.len();
            if !seen.insert(*store) {
                add_fault(&format!("held twice {store}"));
                continue;
            }
            let why = match standing(draft, *store) {
                None => Unfit::Unknown,
                Some(Standing::Draining) => Unfit::Draining,
                Some(Standing::Gone) => Unfit::Gone,
                Some(_) => {
                    if !copies {
                        sound.insert(*store);
                    }
                    continue;
                }
            };
            add_fault(&format!("{why:?} {store} {copies}"));
        }
        let zones: BTreeSet<u16> =
            draft.sites.iter().filter(|site| sound.contains(&site.store)).map(|site| site.zone).collect();
        if sound.len() < draft.minimum.holders as usize {
            add_fault(&format!("holders {}", sound.len()));
        }
        if !row.holders.is_empty() && zones.len() < draft.minimum.zones as usize {
            add_fault(&format!("zones {}", zones.len()));
        }
        assert!(seen.len() <= MAX_REPLICAS);
    }
    for (n, site) in draft.sites.iter().enumerate() {
        if draft.sites[..n].iter().any(|before| before.store == site.store) {
            all.insert(format!("store twice {}", site.store));
            continue;
        }
        let held = draft.rows.iter().filter(|row| row.holders.contains(&site.store));
        let load: f64 = held
            .map(|row| {
                let of = |other: &&Site| row.holders.contains(&other.store) && other.standing.is_usable();
                let first = |n: usize| draft.sites[..n].iter().all(|s| s.store != draft.sites[n].store);
                let sites = draft.sites.iter().enumerate().filter(|(n, other)| of(other) && first(*n));
                let (all, count) = sites.fold((0.0, 0), |(sum, n), (_, other)| (sum + other.capacity, n + 1));
                match (site.standing.is_usable(), all > 0.0) {
                    (false, _) => 0.0,
                    (true, true) => row.load * site.capacity / all,
                    (true, false) => row.load / f64::from(count),
                }
            })
            .sum();
        if load > site.capacity + 1e-6 {
            all.insert(format!("capacity {}", site.store));
        }
    }
    all
}

/// Returns all faults of a transition, and the keys whose entries wait.
pub fn transition_faults(old: &Draft, new: &Draft) -> (FaultSet, BTreeSet<u64>) {
    let (mut all, mut waits) = (FaultSet::new(), BTreeSet::new());
    for row in &new.rows {
        if old.retired.contains(&row.id) && !new.retired.contains(&row.id) {
            all.insert(format!("used again {:?} {}", [row.id.0], row.span));
        }
    }
    let has = |row: &&Row, key: u64| row.span.first <= key && key < row.span.end;
    for key in old.keys.first.min(new.keys.first)..old.keys.end.max(new.keys.end) {
        let before: Vec<&Row> = old.rows.iter().filter(|row| has(row, key)).collect();
        let after: Vec<&Row> = new.rows.iter().filter(|row| has(row, key)).collect();
        if before.len() == 1 && after.is_empty() && !(new.keys.first <= key && key < new.keys.end) {
            all.insert(format!("given up {key}"));
        }
        if let ([o], [n]) = (before.as_slice(), after.as_slice()) {
            one_key(key, (old, o), (new, n), &mut all, &mut waits);
        }
    }
    (all, waits)
}

fn one_key(
    key: u64,
    (old, o): (&Draft, &Row),
    (new, n): (&Draft, &Row),
    all: &mut FaultSet,
    waits: &mut BTreeSet<u64>,
) {
    let set = |stores: &[StoreId]| stores.iter().copied().collect::<BTreeSet<_>>();
    let (before, after) = (set(&o.holders), set(&n.holders));
    let changes = before != after || o.id != n.id || o.span != n.span;
    if n.epoch < o.epoch || (changes && n.epoch == o.epoch) {
        let mut ids = vec![o.id.0, n.id.0];
        ids.dedup();
        all.insert(format!("epoch {ids:?}"));
    }
    let copied = |store: &StoreId| before.contains(store) || o.copying.contains(store);
    if !after.iter().any(copied) {
        if !after.is_empty() && !before.is_empty() {
            all.insert(format!("unfollowed {key}"));
        }
        return;
    }
    let answers = |store: &StoreId| {
        let known = standing(new, *store).or(standing(old, *store));
        known.is_some_and(|standing| standing != Standing::Gone)
    };
    let stores: Vec<StoreId> = before.union(&after).copied().filter(copied).collect();
    // Every combination of the versions of the stores.
    for mixture in 0u32..1 << stores.len() {
        let acts_new = |store: &StoreId| mixture >> stores.iter().position(|s| s == store).unwrap() & 1 == 1;
        let lets_go = |store: &StoreId| before.contains(store) && !after.contains(store);
        let takes_over = |store: &StoreId| !before.contains(store);
        // With the fence, no store takes over before all stores that give the key up have done so.
        let taken_over = stores.iter().any(|store| takes_over(store) && acts_new(store));
        let still = stores.iter().any(|store| lets_go(store) && !acts_new(store));
        if n.epoch > o.epoch && taken_over && still {
            continue;
        }
        let entry_stores: Vec<StoreId> = stores
            .iter()
            .copied()
            .filter(|store| if acts_new(store) { after.contains(store) } else { before.contains(store) })
            .collect();
        if !entry_stores.iter().all(|store| before.contains(store))
            && !entry_stores.iter().all(|store| after.contains(store))
        {
            all.insert(format!("two sets {key}"));
        }
        if entry_stores.is_empty() && n.epoch > o.epoch {
            waits.insert(key);
        }
        for broker_new in [false, true] {
            let is_published = broker_new || mixture != 0;
            let reads = |store: &&StoreId| {
                let is_kept = before.contains(store) && after.contains(store);
                answers(store)
                    && (is_kept
                        || (lets_go(store) && !acts_new(store))
                        || (takes_over(store) && is_published))
            };
            if !stores.iter().any(|store| reads(&store)) {
                all.insert(format!("unreadable {key}"));
            }
        }
    }
}

/// Converts the result of the validator for a transition.
pub fn transition_fault_set(result: &Transition) -> (FaultSet, BTreeSet<u64>) {
    let waits = result.waits.iter().flat_map(|wait| wait.keys.first..wait.keys.end).collect();
    (fault_set(&result.findings), waits)
}
