//! The planner: given stores, blocks and what is wanted, the next wishes. It promises that whatever must leave a store is
//! planned first and nothing is stranded in silence, that replicas stand in different zones as far as those go, that load is
//! evened with few bytes, and that the same picture after the plan asks for nothing more. It changes nothing itself.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::coordinator::Wish;
use crate::map::{Block, BlockMap};
use crate::types::{BlockId, StoreId};

/// A store as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreState {
    /// Which.
    pub id: StoreId,
    /// Its site.
    pub zone: u32,
    /// What it can do, against the others; 0 for one that is to hold nothing.
    pub capacity: f64,
    /// Whether it may be given blocks: switched on, neither draining nor out by hand.
    pub takes: bool,
    /// Whether its blocks are to leave: it drains, or is out by hand.
    pub leaves: bool,
    /// Whether it answers: a source that does not can't be followed.
    pub sound: bool,
}

/// A block's cost and use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BlockLoad {
    /// Its size.
    pub bytes: u64,
    /// Work a second, over all its replicas, in any unit.
    pub load: f64,
    /// Whether it has been left alone for long enough to be changed again.
    pub rested: bool,
}

/// What is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    /// Replicas a block.
    pub replicas: usize,
    /// Stores are evened once the fullest has so much more than the mean, as a share ...
    pub uneven: f64,
    /// ... until none has more than this: less, so that a plan is not undone by the next.
    pub even: f64,
    /// A block with more load than this is split; 0: none is.
    pub split_above: f64,
    /// Two neighbours with less than this together are merged: less than half of the above.
    pub merge_below: f64,
    /// Copies into a store, and out of one, at once.
    pub copies: usize,
    /// Wishes in a plan.
    pub most: usize,
}

impl Default for Goal {
    fn default() -> Self {
        Self { replicas: 2, uneven: 0.25, even: 0.1, split_above: 0.0, merge_below: 0.0, copies: 2, most: 64 }
    }
}

/// One wish with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// What.
    pub wish: Wish,
    /// Why, in a few words.
    pub why: &'static str,
    /// Bytes to be copied.
    pub bytes: u64,
    /// Whether a store waits for it to leave.
    pub urgent: bool,
}

/// What is to be done next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The wishes, the most pressing first.
    pub wishes: Vec<Planned>,
    /// Blocks that can't be helped now, and why.
    pub stranded: Vec<(BlockId, &'static str)>,
    /// Wishes left for a later plan.
    pub later: usize,
    /// The fullest store's load over the mean, now and once the plan is carried out.
    pub skew: (f64, f64),
}

/// Load as a whole number, so that it can be sorted.
fn units(load: f64) -> u64 {
    (load.max(0.0) * 1e6).min(9e18) as u64
}

struct Planner<'a> {
    goal: &'a Goal,
    stores: BTreeMap<StoreId, &'a StoreState>,
    /// Load by store, and the stores that take blocks by load over capacity, in each zone.
    load: HashMap<StoreId, f64>,
    ranked: BTreeMap<u32, BTreeSet<(u64, StoreId)>>,
    ins: HashMap<StoreId, usize>,
    outs: HashMap<StoreId, usize>,
    touched: HashSet<BlockId>,
    plan: Plan,
}

/// Makes a plan. `busy` blocks are being changed already; what is under way counts into `under_way` for each store.
pub fn plan(
    map: &BlockMap,
    stores: &[StoreState],
    loads: &HashMap<BlockId, BlockLoad>,
    busy: &HashSet<BlockId>,
    under_way: &[(StoreId, StoreId)],
    goal: &Goal,
) -> Plan {
    let mut planner = Planner {
        goal,
        stores: stores.iter().map(|store| (store.id, store)).collect(),
        load: HashMap::new(),
        ranked: BTreeMap::new(),
        ins: HashMap::new(),
        outs: HashMap::new(),
        touched: busy.clone(),
        plan: Plan::default(),
    };
    for (from, to) in under_way {
        *planner.outs.entry(*from).or_default() += 1;
        *planner.ins.entry(*to).or_default() += 1;
    }
    let of = |block: &Block| loads.get(&block.id).copied().unwrap_or_default();
    for block in map.blocks() {
        let share = of(block).load / block.replicas.len().max(1) as f64;
        for holder in block.holders() {
            *planner.load.entry(holder).or_default() += share;
        }
    }
    for store in stores.iter().filter(|store| store.takes && store.capacity > 0.0) {
        let key = (units(planner.full(store.id)), store.id);
        planner.ranked.entry(store.zone).or_default().insert(key);
    }
    let before = planner.skew();
    for block in map.blocks() {
        planner.leave(block, of(block));
    }
    for block in map.blocks() {
        planner.replicate(block, of(block));
    }
    for block in map.blocks() {
        planner.spread(block, of(block));
    }
    planner.even_out(map, loads);
    if goal.split_above > 0.0 {
        planner.divide(map, loads);
    }
    let after = planner.skew();
    let mut plan = planner.plan;
    plan.skew = (before, after);
    plan
}

impl Planner<'_> {
    /// A store's load over its capacity.
    fn full(&self, store: StoreId) -> f64 {
        let capacity = self.stores.get(&store).map_or(1.0, |s| s.capacity.max(1e-9));
        self.load.get(&store).copied().unwrap_or(0.0) / capacity
    }

    fn skew(&self) -> f64 {
        let full = self.ranked.values().flatten().map(|(full, _)| *full as f64);
        let (sum, most, n) = full.fold((0.0, 0.0f64, 0.0), |(s, m, n), f| (s + f, m.max(f), n + 1.0));
        if sum > 0.0 {
            most / (sum / n)
        } else {
            1.0
        }
    }

    fn add_load(&mut self, store: StoreId, more: f64) {
        let before = (units(self.full(store)), store);
        *self.load.entry(store).or_default() += more;
        let after = (units(self.full(store)), store);
        if let Some(zone) = self.stores.get(&store).map(|s| s.zone) {
            if let Some(ranked) = self.ranked.get_mut(&zone) {
                if ranked.remove(&before) {
                    ranked.insert(after);
                }
            }
        }
    }

    /// The emptiest store for one more replica: in a zone where no other holder stands, if there is one.
    fn target(&self, block: &Block, without: Option<StoreId>) -> Option<StoreId> {
        let others: Vec<StoreId> = block.replicas.iter().map(|r| r.store).collect();
        let zones: HashSet<u32> = others
            .iter()
            .filter(|s| Some(**s) != without)
            .filter_map(|s| self.stores.get(s).map(|s| s.zone))
            .collect();
        let free = |(_, store): &&(u64, StoreId)| {
            !others.contains(store) && self.ins.get(store).copied().unwrap_or(0) < self.goal.copies
        };
        let first = |zone: &BTreeSet<(u64, StoreId)>| zone.iter().find(free).copied();
        let apart = self.ranked.iter().filter(|(zone, _)| !zones.contains(zone));
        let apart = apart.filter_map(|(_, stores)| first(stores)).min();
        apart.or_else(|| self.ranked.values().filter_map(first).min()).map(|(_, store)| store)
    }

    fn out_free(&self, store: StoreId) -> bool {
        self.outs.get(&store).copied().unwrap_or(0) < self.goal.copies
    }

    /// Takes a wish into the plan; false if it has to wait for a later one.
    fn push(
        &mut self,
        wish: Wish,
        why: &'static str,
        bytes: u64,
        copy: Option<(StoreId, StoreId)>,
        urgent: bool,
    ) -> bool {
        if self.plan.wishes.len() >= self.goal.most {
            self.plan.later += 1;
            return false;
        }
        if let Some((from, to)) = copy {
            *self.outs.entry(from).or_default() += 1;
            *self.ins.entry(to).or_default() += 1;
        }
        self.plan.wishes.push(Planned { wish, why, bytes, urgent });
        true
    }

    /// Whatever is at a store that drains or is out by hand goes elsewhere.
    fn leave(&mut self, block: &Block, load: BlockLoad) {
        let leaving = |s: &StoreId| self.stores.get(s).is_none_or(|s| s.leaves || !s.sound);
        let Some(from) = block.holders().find(leaving) else { return };
        if self.touched.contains(&block.id) {
            return;
        }
        let sound = |s: &StoreId| self.stores.get(s).is_some_and(|s| s.sound);
        if sound(&from) {
            let Some(to) = self.target(block, Some(from)) else {
                self.strand(block, "no other store may take it now");
                return;
            };
            self.move_replica(block, load, (from, to), "its store is to be empty", true);
            return;
        }
        // The source can't be followed: another holder is copied, and the lost replica stays listed until it is back.
        let Some(source) = block.holders().find(|s| *s != from && sound(s)) else {
            self.strand(block, "no holder answers: nothing can be copied until one is back");
            return;
        };
        let sound_holders = block.holders().filter(sound).count();
        if sound_holders < self.goal.replicas {
            self.add(block, load, source, "a holder does not answer", true);
        }
    }

    /// Plans a move, or leaves it for a later plan, and counts its load where it will be.
    fn move_replica(
        &mut self,
        block: &Block,
        load: BlockLoad,
        (from, to): (StoreId, StoreId),
        why: &'static str,
        urgent: bool,
    ) {
        if !self.out_free(from) {
            self.plan.later += 1;
        } else if self.push(Wish::Move(block.id, from, to), why, load.bytes, Some((from, to)), urgent) {
            self.touched.insert(block.id);
            let share = load.load / block.replicas.len().max(1) as f64;
            self.add_load(from, -share);
            self.add_load(to, share);
        }
    }

    fn strand(&mut self, block: &Block, why: &'static str) {
        self.plan.stranded.push((block.id, why));
    }

    fn add(&mut self, block: &Block, load: BlockLoad, source: StoreId, why: &'static str, urgent: bool) {
        let Some(to) = self.target(block, None) else {
            if urgent {
                self.strand(block, "no other store may take it now");
            }
            return;
        };
        if !self.out_free(source) {
            self.plan.later += 1;
        } else if self.push(Wish::Add(block.id, to), why, load.bytes, Some((source, to)), urgent) {
            self.touched.insert(block.id);
            self.add_load(to, load.load / (block.replicas.len() + 1) as f64);
        }
    }

    /// Blocks have as many replicas as wanted.
    fn replicate(&mut self, block: &Block, load: BlockLoad) {
        if self.touched.contains(&block.id) {
            return;
        }
        let sound = |s: &StoreId| self.stores.get(s).is_some_and(|s| s.sound);
        // Holders that don't answer stay listed until they are back, and count for nothing meanwhile.
        let count = block.holders().filter(sound).count();
        if count < self.goal.replicas {
            if let Some(source) = block.holders().find(sound) {
                self.add(block, load, source, "too few replicas", false);
            }
        } else if count > self.goal.replicas && load.rested {
            // The one in a zone that another holder shares, or else the fullest.
            let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
            let doubled = |s: StoreId| block.holders().any(|other| other != s && zone(other) == zone(s));
            let key = |s: &StoreId| (doubled(*s), units(self.full(*s)), *s);
            let Some(from) = block.holders().filter(sound).max_by_key(key) else { return };
            let Some(keeper) = block.holders().find(|s| *s != from && sound(s)) else { return };
            if !self.out_free(from) {
                self.plan.later += 1;
            } else if self.push(
                Wish::Remove(block.id, from),
                "too many replicas",
                0,
                Some((from, keeper)),
                false,
            ) {
                self.touched.insert(block.id);
                self.add_load(from, -load.load / count as f64);
            }
        }
    }

    /// Replicas stand in different zones as far as those go.
    fn spread(&mut self, block: &Block, load: BlockLoad) {
        if self.touched.contains(&block.id) || !load.rested {
            return;
        }
        let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
        let doubled = |s: &StoreId| block.holders().any(|other| other != *s && zone(other) == zone(*s));
        let Some(from) = block.holders().filter(doubled).max_by_key(|s| (units(self.full(*s)), *s)) else {
            return;
        };
        let Some(to) = self.target(block, Some(from)) else { return };
        if block.holders().any(|s| s != from && zone(s) == zone(to)) {
            return;
        }
        self.move_replica(block, load, (from, to), "two replicas in one zone", false);
    }

    /// The fullest store gives to the emptiest that fits, the block that evens most for its bytes.
    fn even_out(&mut self, map: &BlockMap, loads: &HashMap<BlockId, BlockLoad>) {
        let all: Vec<f64> = self.ranked.values().flatten().map(|(full, _)| *full as f64 / 1e6).collect();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        let most = all.iter().copied().fold(0.0, f64::max);
        if mean <= 0.0 || most <= mean * (1.0 + self.goal.uneven) {
            return;
        }
        let mut tried = HashSet::new();
        while self.plan.wishes.len() < self.goal.most {
            let full = self.ranked.values().flatten().filter(|(_, s)| !tried.contains(s)).max().copied();
            let Some((full, from)) = full else { return };
            if full as f64 / 1e6 <= mean * (1.0 + self.goal.even) {
                return;
            }
            if !self.out_free(from) || !self.give(map, loads, from, mean) {
                tried.insert(from);
            }
        }
    }

    fn give(
        &mut self,
        map: &BlockMap,
        loads: &HashMap<BlockId, BlockLoad>,
        from: StoreId,
        mean: f64,
    ) -> bool {
        let capacity = self.stores.get(&from).map_or(1.0, |s| s.capacity.max(1e-9));
        let excess = (self.full(from) - mean) * capacity;
        let mut best: Option<(f64, BlockId, StoreId)> = None;
        for id in map.at_store(from) {
            let Some(block) = map.block(id).filter(|b| !self.touched.contains(&b.id) && b.held_by(from))
            else {
                continue;
            };
            let Some(load) = loads.get(&id).filter(|load| load.rested && load.load > 0.0) else { continue };
            let share = load.load / block.replicas.len().max(1) as f64;
            // More than the excess would only turn the two stores round.
            if share > excess {
                continue;
            }
            let worth = share / (load.bytes.max(1) as f64).sqrt();
            if best.as_ref().is_some_and(|(most, ..)| worth <= *most) {
                continue;
            }
            let Some(to) = self.target(block, Some(from)) else { continue };
            // Evenness never brings two replicas into one zone: the next plan would undo it.
            let zone = |s: StoreId| self.stores.get(&s).map(|s| s.zone);
            if block.holders().any(|s| s != from && zone(s) == zone(to)) {
                continue;
            }
            let room = self.stores.get(&to).map_or(1.0, |s| s.capacity.max(1e-9)) * (mean - self.full(to));
            if room >= share {
                best = Some((worth, id, to));
            }
        }
        let Some((_, id, to)) = best else { return false };
        if let (Some(block), Some(load)) = (map.block(id), loads.get(&id)) {
            self.move_replica(block, *load, (from, to), "its store is fuller than the others", false);
        }
        true
    }

    /// Hot blocks split, cold neighbours merge. Merging waits until both together are far below what is split.
    fn divide(&mut self, map: &BlockMap, loads: &HashMap<BlockId, BlockLoad>) {
        let below = self.goal.merge_below.min(self.goal.split_above / 2.0);
        let mut before: Option<&Block> = None;
        for block in map.blocks() {
            let load = loads.get(&block.id).copied().unwrap_or_default();
            let free = !self.touched.contains(&block.id) && load.rested;
            let span = block.span;
            if free && load.load > self.goal.split_above && span.end - span.first > 1 {
                let at = span.first + (span.end - span.first) / 2;
                if self.push(
                    Wish::Split(block.id, at),
                    "more load than one block should have",
                    0,
                    None,
                    false,
                ) {
                    self.touched.insert(block.id);
                }
            }
            let neighbour = before.filter(|left| {
                let other = loads.get(&left.id).copied().unwrap_or_default();
                let (mut a, mut b): (Vec<_>, Vec<_>) = (left.holders().collect(), block.holders().collect());
                a.sort_unstable();
                b.sort_unstable();
                free && other.rested
                    && left.span.end == span.first
                    && !self.touched.contains(&left.id)
                    && !self.touched.contains(&block.id)
                    && load.load + other.load < below
                    && a == b
            });
            if let Some(left) = neighbour {
                if self.push(Wish::Merge(left.id, block.id), "little load in two neighbours", 0, None, false)
                {
                    self.touched.extend([left.id, block.id]);
                }
            }
            before = Some(block);
        }
    }
}
