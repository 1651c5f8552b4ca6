//! The planner: computes the next changes from the stores, the blocks and the goal. Blocks on stores that must
//! be emptied are planned first, and a block that cannot be helped is reported. Replicas are placed in
//! different zones as far as there are enough zones, and load is balanced with few copied bytes. Once the plan
//! is carried out, the same input yields no further changes. The planner itself changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::coordinator::ChangeRequest;
use crate::map::{Block, BlockMap};
use crate::types::{BlockId, StoreId};

/// State of a store as the planner uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreState {
    /// Number of the store.
    pub id: StoreId,
    /// Zone of the store.
    pub zone: u32,
    /// Capacity of the store relative to the others; 0 if it is to hold no blocks.
    pub capacity: f64,
    /// Whether the store may receive blocks: it is enabled, not draining, and not excluded by an operator.
    pub accepts_blocks: bool,
    /// Whether the store's blocks must be moved away: it is draining or excluded by an operator.
    pub evacuate: bool,
    /// Whether the store responds. The log of a store that does not respond cannot be copied.
    pub responds: bool,
}

/// Size and load of a block.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BlockLoad {
    /// Size of the block, in bytes.
    pub bytes: u64,
    /// Load over all replicas, as work per second in any unit.
    pub load: f64,
    /// Whether enough time has passed since the block's last change to change it again.
    pub is_changeable: bool,
}

/// Goal of the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    /// Number of replicas for each block.
    pub replicas: usize,
    /// Balancing starts once the load of the most loaded store exceeds the mean by this fraction.
    pub imbalance_start: f64,
    /// Balancing ends once no store exceeds the mean by more than this fraction. It is less than
    /// `imbalance_start`, so that the next plan does not undo this one.
    pub imbalance_target: f64,
    /// Load above which a block is split; 0 disables splitting.
    pub split_above: f64,
    /// Combined load below which two adjacent blocks are merged. At most half of `split_above` takes effect.
    pub merge_below: f64,
    /// Maximum number of concurrent copies into a store, and out of a store.
    pub max_copies: usize,
    /// Maximum number of changes in a plan.
    pub max_changes: usize,
}

impl Default for Goal {
    fn default() -> Self {
        Self {
            replicas: 2,
            imbalance_start: 0.25,
            imbalance_target: 0.1,
            split_above: 0.0,
            merge_below: 0.0,
            max_copies: 2,
            max_changes: 64,
        }
    }
}

/// A planned change with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// Change to request.
    pub change: ChangeRequest,
    /// Short reason for the change.
    pub reason: &'static str,
    /// Number of bytes to copy.
    pub bytes: u64,
    /// Whether the change is needed to empty a store or to replace a holder that does not respond.
    pub urgent: bool,
}

/// Changes to request next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Planned changes, most urgent first.
    pub changes: Vec<PlannedChange>,
    /// Blocks for which no change is possible at present, and the reason.
    pub unresolved: Vec<(BlockId, &'static str)>,
    /// Number of changes left for a later plan.
    pub deferred: usize,
    /// Load of the most loaded store divided by the mean, now and after the plan.
    pub skew: (f64, f64),
}

/// Converts load to an integer (millionths) so that it can be sorted.
fn sortable_load(load: f64) -> u64 {
    (load.max(0.0) * 1e6).min(9e18) as u64
}

struct Planner<'a> {
    goal: &'a Goal,
    stores: BTreeMap<StoreId, &'a StoreState>,
    /// Load by store; `ranked` has, for each zone, the stores that accept blocks, sorted by load over capacity.
    load: HashMap<StoreId, f64>,
    ranked: BTreeMap<u32, BTreeSet<(u64, StoreId)>>,
    copies_in: HashMap<StoreId, usize>,
    copies_out: HashMap<StoreId, usize>,
    changed_blocks: HashSet<BlockId>,
    plan: Plan,
}

/// Computes a plan. `busy` are the blocks that are being changed; `in_progress` are the sources and targets of
/// the running copies, which count towards the limits of each store.
pub fn plan(
    map: &BlockMap,
    stores: &[StoreState],
    loads: &HashMap<BlockId, BlockLoad>,
    busy: &HashSet<BlockId>,
    in_progress: &[(StoreId, StoreId)],
    goal: &Goal,
) -> Plan {
    let mut planner = Planner {
        goal,
        stores: stores.iter().map(|store| (store.id, store)).collect(),
        load: HashMap::new(),
        ranked: BTreeMap::new(),
        copies_in: HashMap::new(),
        copies_out: HashMap::new(),
        changed_blocks: busy.clone(),
        plan: Plan::default(),
    };
    for (from, to) in in_progress {
        *planner.copies_out.entry(*from).or_default() += 1;
        *planner.copies_in.entry(*to).or_default() += 1;
    }
    let load_of = |block: &Block| loads.get(&block.id).copied().unwrap_or_default();
    for block in map.blocks() {
        let share = load_of(block).load / block.replicas.len().max(1) as f64;
        for holder in block.holders() {
            *planner.load.entry(holder).or_default() += share;
        }
    }
    for store in stores.iter().filter(|store| store.accepts_blocks && store.capacity > 0.0) {
        let key = (sortable_load(planner.utilization(store.id)), store.id);
        planner.ranked.entry(store.zone).or_default().insert(key);
    }
    let before = planner.skew();
    for block in map.blocks() {
        planner.evacuate(block, load_of(block));
    }
    for block in map.blocks() {
        planner.replicate(block, load_of(block));
    }
    for block in map.blocks() {
        planner.spread_zones(block, load_of(block));
    }
    planner.balance(map, loads);
    if goal.split_above > 0.0 {
        planner.split_and_merge(map, loads);
    }
    let after = planner.skew();
    let mut plan = planner.plan;
    plan.skew = (before, after);
    plan
}

impl Planner<'_> {
    /// Returns the load of a store divided by its capacity.
    fn utilization(&self, store: StoreId) -> f64 {
        let capacity = self.stores.get(&store).map_or(1.0, |s| s.capacity.max(1e-9));
        self.load.get(&store).copied().unwrap_or(0.0) / capacity
    }

    fn skew(&self) -> f64 {
        let utilizations = self.ranked.values().flatten().map(|(load, _)| *load as f64);
        let (sum, highest, n) =
            utilizations.fold((0.0, 0.0f64, 0.0), |(s, m, n), f| (s + f, m.max(f), n + 1.0));
        if sum > 0.0 {
            highest / (sum / n)
        } else {
            1.0
        }
    }

    fn add_load(&mut self, store: StoreId, more: f64) {
        let before = (sortable_load(self.utilization(store)), store);
        *self.load.entry(store).or_default() += more;
        let after = (sortable_load(self.utilization(store)), store);
        if let Some(zone) = self.stores.get(&store).map(|s| s.zone) {
            if let Some(ranked) = self.ranked.get_mut(&zone) {
                if ranked.remove(&before) {
                    ranked.insert(after);
                }
            }
        }
    }

    /// Returns the least loaded store for another replica, if possible in a zone that has no other holder.
    fn target(&self, block: &Block, ignored_store: Option<StoreId>) -> Option<StoreId> {
        let others: Vec<StoreId> = block.replicas.iter().map(|r| r.store).collect();
        let zones: HashSet<u32> = others
            .iter()
            .filter(|s| Some(**s) != ignored_store)
            .filter_map(|s| self.stores.get(s).map(|s| s.zone))
            .collect();
        let can_receive = |(_, store): &&(u64, StoreId)| {
            !others.contains(store) && self.copies_in.get(store).copied().unwrap_or(0) < self.goal.max_copies
        };
        let first = |zone: &BTreeSet<(u64, StoreId)>| zone.iter().find(can_receive).copied();
        let other_zones = self.ranked.iter().filter(|(zone, _)| !zones.contains(zone));
        let other_zones = other_zones.filter_map(|(_, stores)| first(stores)).min();
        other_zones.or_else(|| self.ranked.values().filter_map(first).min()).map(|(_, store)| store)
    }

    fn can_copy_from(&self, store: StoreId) -> bool {
        self.copies_out.get(&store).copied().unwrap_or(0) < self.goal.max_copies
    }

    /// Adds a change to the plan. Returns false if the plan is full.
    fn add_change(
        &mut self,
        change: ChangeRequest,
        reason: &'static str,
        bytes: u64,
        copy: Option<(StoreId, StoreId)>,
        urgent: bool,
    ) -> bool {
        if self.plan.changes.len() >= self.goal.max_changes {
            self.plan.deferred += 1;
            return false;
        }
        if let Some((from, to)) = copy {
            *self.copies_out.entry(from).or_default() += 1;
            *self.copies_in.entry(to).or_default() += 1;
        }
        self.plan.changes.push(PlannedChange { change, reason, bytes, urgent });
        true
    }

    /// Plans to move a replica away from a store that is draining, excluded or not responding.
    fn evacuate(&mut self, block: &Block, load: BlockLoad) {
        let leaving = |s: &StoreId| self.stores.get(s).is_none_or(|s| s.evacuate || !s.responds);
        let Some(from) = block.holders().find(leaving) else { return };
        if self.changed_blocks.contains(&block.id) {
            return;
        }
        let responds = |s: &StoreId| self.stores.get(s).is_some_and(|s| s.responds);
        if responds(&from) {
            let Some(to) = self.target(block, Some(from)) else {
                self.report_unresolved(block, "no other store may take it now");
                return;
            };
            self.move_replica(block, load, (from, to), "its store is to be empty", true);
            return;
        }
        // The source's log cannot be copied, so another holder is the source. The lost replica stays in the
        // map until its store is back.
        let Some(source) = block.holders().find(|s| *s != from && responds(s)) else {
            self.report_unresolved(block, "no holder answers: nothing can be copied until one is back");
            return;
        };
        let responding_holders = block.holders().filter(responds).count();
        if responding_holders < self.goal.replicas {
            self.add(block, load, source, "a holder does not answer", true);
        }
    }

    /// Plans a move, or leaves it for a later plan, and attributes the load to the new store.
    fn move_replica(
        &mut self,
        block: &Block,
        load: BlockLoad,
        (from, to): (StoreId, StoreId),
        reason: &'static str,
        urgent: bool,
    ) {
        if !self.can_copy_from(from) {
            self.plan.deferred += 1;
        } else if self.add_change(
            ChangeRequest::Move(block.id, from, to),
            reason,
            load.bytes,
            Some((from, to)),
            urgent,
        ) {
            self.changed_blocks.insert(block.id);
            let share = load.load / block.replicas.len().max(1) as f64;
            self.add_load(from, -share);
            self.add_load(to, share);
        }
    }

    fn report_unresolved(&mut self, block: &Block, reason: &'static str) {
        self.plan.unresolved.push((block.id, reason));
    }

    fn add(&mut self, block: &Block, load: BlockLoad, source: StoreId, reason: &'static str, urgent: bool) {
        let Some(to) = self.target(block, None) else {
            if urgent {
                self.report_unresolved(block, "no other store may take it now");
            }
            return;
        };
        if !self.can_copy_from(source) {
            self.plan.deferred += 1;
        } else if self.add_change(
            ChangeRequest::Add(block.id, to),
            reason,
            load.bytes,
            Some((source, to)),
            urgent,
        ) {
            self.changed_blocks.insert(block.id);
            self.add_load(to, load.load / (block.replicas.len() + 1) as f64);
        }
    }

    /// Plans to add or remove a replica if a block has too few or too many.
    fn replicate(&mut self, block: &Block, load: BlockLoad) {
        if self.changed_blocks.contains(&block.id) {
            return;
        }
        let responds = |s: &StoreId| self.stores.get(s).is_some_and(|s| s.responds);
        // Holders that do not respond remain in the map until they are back, and do not count in the meantime.
        let count = block.holders().filter(responds).count();
        if count < self.goal.replicas {
            if let Some(source) = block.holders().find(responds) {
                self.add(block, load, source, "too few replicas", false);
            }
        } else if count > self.goal.replicas && load.is_changeable {
            // Removes a replica whose zone has another holder, or otherwise the one on the most loaded store.
            let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
            let shares_zone = |s: StoreId| block.holders().any(|other| other != s && zone(other) == zone(s));
            let key = |s: &StoreId| (shares_zone(*s), sortable_load(self.utilization(*s)), *s);
            let Some(from) = block.holders().filter(responds).max_by_key(key) else { return };
            let Some(remaining) = block.holders().find(|s| *s != from && responds(s)) else { return };
            if !self.can_copy_from(from) {
                self.plan.deferred += 1;
            } else if self.add_change(
                ChangeRequest::Remove(block.id, from),
                "too many replicas",
                0,
                Some((from, remaining)),
                false,
            ) {
                self.changed_blocks.insert(block.id);
                self.add_load(from, -load.load / count as f64);
            }
        }
    }

    /// Plans to move a replica to another zone if two replicas share a zone.
    fn spread_zones(&mut self, block: &Block, load: BlockLoad) {
        if self.changed_blocks.contains(&block.id) || !load.is_changeable {
            return;
        }
        let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
        let shares_zone = |s: &StoreId| block.holders().any(|other| other != *s && zone(other) == zone(*s));
        let Some(from) =
            block.holders().filter(shares_zone).max_by_key(|s| (sortable_load(self.utilization(*s)), *s))
        else {
            return;
        };
        let Some(to) = self.target(block, Some(from)) else { return };
        if block.holders().any(|s| s != from && zone(s) == zone(to)) {
            return;
        }
        self.move_replica(block, load, (from, to), "two replicas in one zone", false);
    }

    /// Balances load: moves from the most loaded store to the least loaded suitable store the block with the
    /// best ratio of load to the square root of its bytes.
    fn balance(&mut self, map: &BlockMap, loads: &HashMap<BlockId, BlockLoad>) {
        let utilizations: Vec<f64> =
            self.ranked.values().flatten().map(|(load, _)| *load as f64 / 1e6).collect();
        let mean = utilizations.iter().sum::<f64>() / utilizations.len().max(1) as f64;
        let highest = utilizations.iter().copied().fold(0.0, f64::max);
        if mean <= 0.0 || highest <= mean * (1.0 + self.goal.imbalance_start) {
            return;
        }
        let mut tried = HashSet::new();
        while self.plan.changes.len() < self.goal.max_changes {
            let most_loaded =
                self.ranked.values().flatten().filter(|(_, s)| !tried.contains(s)).max().copied();
            let Some((load, from)) = most_loaded else { return };
            if load as f64 / 1e6 <= mean * (1.0 + self.goal.imbalance_target) {
                return;
            }
            if !self.can_copy_from(from) || !self.move_best_block(map, loads, from, mean) {
                tried.insert(from);
            }
        }
    }

    fn move_best_block(
        &mut self,
        map: &BlockMap,
        loads: &HashMap<BlockId, BlockLoad>,
        from: StoreId,
        mean: f64,
    ) -> bool {
        let capacity = self.stores.get(&from).map_or(1.0, |s| s.capacity.max(1e-9));
        let excess = (self.utilization(from) - mean) * capacity;
        let mut best: Option<(f64, BlockId, StoreId)> = None;
        for id in map.blocks_at_store(from) {
            let Some(block) =
                map.block(id).filter(|b| !self.changed_blocks.contains(&b.id) && b.is_holder(from))
            else {
                continue;
            };
            let Some(load) = loads.get(&id).filter(|load| load.is_changeable && load.load > 0.0) else {
                continue;
            };
            let share = load.load / block.replicas.len().max(1) as f64;
            // Moving more than the excess would only make the other store the overloaded one.
            if share > excess {
                continue;
            }
            let benefit = share / (load.bytes.max(1) as f64).sqrt();
            if best.as_ref().is_some_and(|(highest, ..)| benefit <= *highest) {
                continue;
            }
            let Some(to) = self.target(block, Some(from)) else { continue };
            // Balancing never puts two replicas into one zone, because the next plan would undo that.
            let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
            if block.holders().any(|s| s != from && zone(s) == zone(to)) {
                continue;
            }
            let free_capacity =
                self.stores.get(&to).map_or(1.0, |s| s.capacity.max(1e-9)) * (mean - self.utilization(to));
            if free_capacity >= share {
                best = Some((benefit, id, to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        if let (Some(block), Some(load)) = (map.block(id), loads.get(&id)) {
            self.move_replica(block, *load, (from, to), "its store is fuller than the others", false);
        }
        true
    }

    /// Splits blocks with a high load and merges adjacent ones with a low load. The merge threshold is at most
    /// half the split threshold, so that a merged block is not split again.
    fn split_and_merge(&mut self, map: &BlockMap, loads: &HashMap<BlockId, BlockLoad>) {
        let merge_threshold = self.goal.merge_below.min(self.goal.split_above / 2.0);
        let mut previous: Option<&Block> = None;
        for block in map.blocks() {
            let load = loads.get(&block.id).copied().unwrap_or_default();
            let can_change = !self.changed_blocks.contains(&block.id) && load.is_changeable;
            let span = block.span;
            if can_change && load.load > self.goal.split_above && span.end - span.first > 1 {
                let at = span.first + (span.end - span.first) / 2;
                if self.add_change(
                    ChangeRequest::Split(block.id, at),
                    "more load than one block should have",
                    0,
                    None,
                    false,
                ) {
                    self.changed_blocks.insert(block.id);
                }
            }
            let neighbour = previous.filter(|left| {
                let other = loads.get(&left.id).copied().unwrap_or_default();
                let (mut left_holders, mut holders): (Vec<_>, Vec<_>) =
                    (left.holders().collect(), block.holders().collect());
                left_holders.sort_unstable();
                holders.sort_unstable();
                can_change
                    && other.is_changeable
                    && left.span.end == span.first
                    && !self.changed_blocks.contains(&left.id)
                    && !self.changed_blocks.contains(&block.id)
                    && load.load + other.load < merge_threshold
                    && left_holders == holders
            });
            if let Some(left) = neighbour {
                if self.add_change(
                    ChangeRequest::Merge(left.id, block.id),
                    "little load in two neighbours",
                    0,
                    None,
                    false,
                ) {
                    self.changed_blocks.extend([left.id, block.id]);
                }
            }
            previous = Some(block);
        }
    }
}
