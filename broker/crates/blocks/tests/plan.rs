//! Tests of the planner: single plans, and the result of carrying out plans repeatedly.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

use fastrand::Rng;
use gingerledge_blocks::*;

fn stores(count: u32, zones: u32) -> Vec<StoreState> {
    let store = |n| StoreState {
        id: StoreId(n),
        zone: n % zones,
        capacity: 1.0,
        accepts_blocks: true,
        evacuate: false,
        responds: true,
    };
    (0..count).map(store).collect()
}

struct Fleet {
    map: BlockMap,
    loads: HashMap<BlockId, BlockLoad>,
    epoch: u32,
}

impl Fleet {
    /// Creates blocks with two replicas each on the first `used` stores.
    fn new(blocks: u32, used: u32) -> Self {
        let mut map = BlockMap::new(100_000, 10);
        let replica = |store: u32| Replica { store: StoreId(store % used), state: ReplicaState::Serving };
        let records = (0..blocks).map(|n| {
            let span = Span::new(u64::from(n) * 100, u64::from(n) * 100 + 100);
            let replicas = vec![replica(n), replica(n + 1)];
            Record::Active(Block {
                id: BlockId(n),
                span,
                epoch: Epoch::from_parts(Term(1), 1),
                replicas,
                extent: None,
            })
        });
        map.apply(&Batch { version: 1, records: records.collect() }).unwrap();
        let load = |n| {
            (
                BlockId(n),
                BlockLoad {
                    bytes: 1000 + u64::from(n % 7) * 500,
                    load: 1.0 + f64::from(n % 3),
                    is_changeable: true,
                },
            )
        };
        Self { map, loads: (0..blocks).map(load).collect(), epoch: 1 }
    }

    fn plan(&self, stores: &[StoreState], goal: &Goal) -> Plan {
        plan(&self.map, stores, &self.loads, &HashSet::new(), &[], goal)
    }

    fn carry_out(&mut self, plan: &Plan) {
        for planned in &plan.changes {
            self.epoch += 1;
            let serving = |store: &StoreId| Replica { store: *store, state: ReplicaState::Serving };
            let (id, gone, new) = match &planned.change {
                ChangeRequest::Move(id, from, to) => (*id, Some(*from), Some(serving(to))),
                ChangeRequest::Add(id, to) => (*id, None, Some(serving(to))),
                ChangeRequest::Remove(id, from) => (*id, Some(*from), None),
                _ => continue,
            };
            let mut block = self.map.block(id).unwrap().clone();
            block.replicas.retain(|r| Some(r.store) != gone);
            block.replicas.extend(new);
            block.epoch = Epoch::from_parts(Term(1), self.epoch);
            let batch = Batch { version: self.map.version() + 1, records: vec![Record::Active(block)] };
            self.map.apply(&batch).unwrap();
        }
    }

    /// Plans and carries out changes until the plan is empty; returns the number of changes.
    fn settle(&mut self, stores: &[StoreState], goal: &Goal) -> usize {
        let mut changes = 0;
        for _ in 0..200 {
            let plan = self.plan(stores, goal);
            if plan.changes.is_empty() {
                return changes;
            }
            changes += plan.changes.len();
            self.carry_out(&plan);
        }
        panic!("plans never come to an end");
    }

    fn count(&self, store: u32) -> usize {
        self.map.blocks_at_store(StoreId(store)).count()
    }
}

#[test]
fn new_stores_receive_blocks_and_draining_stores_are_emptied() {
    let goal = Goal::default();
    let mut stores = stores(12, 3);
    let mut fleet = Fleet::new(120, 6);
    fleet.settle(&stores, &goal);
    assert!((0..12).all(|n| fleet.count(n) > 0), "every store has blocks");
    let skew = fleet.plan(&stores, &goal).skew.0;
    assert!(skew <= 1.0 + goal.imbalance_start, "skew {skew}");
    for block in fleet.map.blocks() {
        let zones: HashSet<u32> = block.holders().map(|s| s.0 % 3).collect();
        assert_eq!(zones.len(), 2, "{}", block.id);
    }
    // The other six stores drain.
    for store in &mut stores[6..] {
        (store.accepts_blocks, store.evacuate) = (false, true);
    }
    fleet.settle(&stores, &goal);
    assert!((6..12).all(|n| fleet.count(n) == 0), "what drains is empty");
    assert!(fleet.map.blocks().all(|block| block.replicas.len() == 2));
}

#[test]
fn draining_stores_come_first_and_copy_limits_are_kept() {
    let goal = Goal { max_copies: 2, max_changes: 10, ..Goal::default() };
    let mut stores = stores(8, 2);
    let fleet = Fleet::new(80, 4);
    (stores[1].accepts_blocks, stores[1].evacuate) = (false, true);
    let plan = fleet.plan(&stores, &goal);
    assert!(plan.changes[0].urgent && plan.deferred > 0);
    assert!(plan.changes.len() <= 10);
    let (mut copies_in, mut copies_out) = (HashMap::new(), HashMap::new());
    for planned in &plan.changes {
        if let ChangeRequest::Move(_, from, to) = planned.change {
            *copies_in.entry(to).or_insert(0) += 1;
            *copies_out.entry(from).or_insert(0) += 1;
        }
    }
    assert!(copies_in.values().chain(copies_out.values()).all(|n| *n <= 2), "{copies_in:?} {copies_out:?}");
}

#[test]
fn blocks_that_cannot_be_helped_are_reported() {
    let goal = Goal::default();
    let mut stores = stores(2, 2);
    let fleet = Fleet::new(4, 2);
    (stores[0].accepts_blocks, stores[0].evacuate) = (false, true);
    let plan = fleet.plan(&stores, &goal);
    assert!(plan.changes.is_empty());
    assert_eq!(plan.unresolved.len(), 4);
    // No holder responds, so nothing can be copied.
    stores.iter_mut().for_each(|store| (store.responds, store.accepts_blocks) = (false, false));
    let plan = fleet.plan(&stores, &goal);
    assert_eq!(plan.unresolved.len(), 4);
    assert!(plan.unresolved[0].1.contains("no holder answers"), "{:?}", plan.unresolved);
}

#[test]
fn replicas_of_a_lost_store_are_copied_from_the_other_holder() {
    let goal = Goal::default();
    let mut stores = stores(4, 2);
    let mut fleet = Fleet::new(8, 4);
    (stores[2].responds, stores[2].accepts_blocks) = (false, false);
    fleet.settle(&stores, &goal);
    for block in fleet.map.blocks() {
        assert!(block.holders().filter(|s| s.0 != 2).count() >= 2, "{}", block.id);
    }
}

#[test]
fn hot_blocks_split_cold_ones_merge_and_plans_do_not_oscillate() {
    let goal = Goal { split_above: 10.0, merge_below: 4.0, imbalance_start: 9.0, ..Goal::default() };
    let stores = stores(4, 2);
    let mut fleet = Fleet::new(8, 4);
    fleet.loads.values_mut().for_each(|load| load.load = 6.0);
    assert!(fleet.plan(&stores, &goal).changes.is_empty());
    fleet.loads.get_mut(&BlockId(3)).unwrap().load = 11.0;
    let plan = fleet.plan(&stores, &goal);
    assert_eq!(
        plan.changes.iter().map(|p| &p.change).collect::<Vec<_>>(),
        [&ChangeRequest::Split(BlockId(3), 350)]
    );
    fleet.loads.get_mut(&BlockId(3)).unwrap().is_changeable = false;
    assert!(fleet.plan(&stores, &goal).changes.is_empty(), "it has just been changed");
    // Blocks 0 and 1 are adjacent but have different holders; blocks 0 and 4 are not adjacent. Only adjacent
    // blocks on the same stores are merged.
    fleet.loads.values_mut().for_each(|load| load.load = 1.0);
    assert!(fleet.plan(&stores, &goal).changes.is_empty());
    let mut near = Fleet::new(4, 2);
    near.loads.values_mut().for_each(|load| (load.load, load.is_changeable) = (1.5, true));
    let plan = near.plan(&stores[..2], &goal);
    let merges: Vec<_> = plan.changes.iter().map(|p| &p.change).collect();
    assert_eq!(
        merges,
        [&ChangeRequest::Merge(BlockId(0), BlockId(1)), &ChangeRequest::Merge(BlockId(2), BlockId(3))]
    );
    // The halves of a split block together have more load than the merge threshold.
    assert!(goal.split_above > goal.merge_below);
}

#[test]
fn random_fleets_reach_a_stable_placement() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let zones = rng.u32(2..4);
        let count = zones * rng.u32(2..6);
        let mut stores = stores(count, zones);
        for store in &mut stores {
            store.capacity = rng.f64() * 0.5 + 0.75;
        }
        // Half of the fleets lose a store, but never the last one of a zone.
        let drains = (seed % 2 == 0).then(|| rng.u32(..count));
        if let Some(n) = drains {
            (stores[n as usize].accepts_blocks, stores[n as usize].evacuate) = (false, true);
        }
        let mut fleet = Fleet::new(rng.u32(80..200), count);
        let goal = Goal { max_copies: 100, max_changes: 1000, ..Goal::default() };
        fleet.settle(&stores, &goal);
        let after = fleet.plan(&stores, &goal);
        assert!(after.changes.is_empty(), "seed {seed}: {:?}", after.changes);
        match drains {
            Some(n) => assert_eq!(fleet.count(n), 0, "seed {seed}"),
            None => assert!(after.skew.0 < 1.0 + goal.imbalance_start + 0.1, "seed {seed}: {}", after.skew.0),
        }
        for block in fleet.map.blocks() {
            let zones: HashSet<u32> = block.holders().map(|s| s.0 % zones).collect();
            assert_eq!(zones.len(), 2, "seed {seed}: {}", block.id);
        }
    }
}
