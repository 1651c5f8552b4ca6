//! Benchmarks of look-ups, changes, plans and recovery for growing maps. Run with `cargo bench -p
//! gingerledge-blocks`.

#![allow(clippy::expect_used)]

use std::collections::{HashMap, HashSet};
use std::hint::black_box;

use divan::counter::ItemsCount;
use divan::Bencher;
use gingerledge_blocks::*;

fn main() {
    divan::main();
}

const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];

/// Creates a map with blocks of 1000 weighers each, on a hundredth as many stores (at least four).
fn map(blocks: u32) -> BlockMap {
    let stores = (blocks / 100).max(4);
    let replica = |store: u32| Replica { store: StoreId(store % stores), state: ReplicaState::Serving };
    let mut map = BlockMap::new(blocks as usize + 10, 1000);
    let records = (0..blocks).map(|n| {
        let first = u64::from(n) * 1000;
        let (x, y) = (f64::from(n % 317) / 2.0 - 80.0, f64::from(n / 317) / 4.0 - 40.0);
        Record::Active(Block {
            id: BlockId(n),
            span: Span::new(first, first + 1000),
            epoch: Epoch::from_parts(Term(1), 1),
            replicas: vec![replica(n), replica(n + 1)],
            extent: Some(Extent([x, y, x + 0.49, y + 0.24])),
        })
    });
    map.apply(&Batch { version: 1, records: records.collect() }).expect("a map");
    map
}

/// Number of look-ups in one iteration of a benchmark, so that the time of one look-up is a thousandth of the
/// reported time.
const LOOK_UPS: usize = 1000;

/// Returns the next number of a pseudo-random sequence.
fn next_pseudo_random(n: &mut u64) -> u64 {
    *n = n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *n >> 20
}

#[divan::bench(args = SIZES)]
fn thousand_look_ups_by_number(bencher: Bencher, blocks: u32) {
    let (map, mut n) = (map(blocks), 1);
    bencher.counter(ItemsCount::new(LOOK_UPS)).bench_local(|| {
        for _ in 0..LOOK_UPS {
            let id = BlockId(next_pseudo_random(&mut n) as u32 % blocks);
            black_box(map.block(id).map(|block| block.epoch));
        }
    });
}

#[divan::bench(args = SIZES)]
fn thousand_look_ups_by_weigher(bencher: Bencher, blocks: u32) {
    let (map, mut n) = (map(blocks), 1);
    bencher.counter(ItemsCount::new(LOOK_UPS)).bench_local(|| {
        for _ in 0..LOOK_UPS {
            let weigher = next_pseudo_random(&mut n) % (u64::from(blocks) * 1000);
            black_box(map.block_of_weigher(weigher).map(|block| block.epoch));
        }
    });
}

#[divan::bench(args = SIZES)]
fn look_up_by_box(bencher: Bencher, blocks: u32) {
    let map = map(blocks);
    bencher.bench_local(|| black_box(map.blocks_in_extent(Extent([-79.9, -39.9, -79.2, -39.8]))));
}

#[divan::bench(args = SIZES)]
fn move_one_block(bencher: Bencher, blocks: u32) {
    let mut map = map(blocks);
    let mut epoch = 1;
    bencher.bench_local(|| {
        epoch += 1;
        let mut block = map.block(BlockId(epoch % blocks)).cloned().expect("a block");
        block.epoch = Epoch::from_parts(Term(1), epoch);
        block.replicas.reverse();
        let version = map.version() + 1;
        map.apply(&Batch { version, records: vec![Record::Active(block)] })
    });
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn plan_for_stores_switched_on(bencher: Bencher, blocks: u32) {
    let map = map(blocks);
    let used = (blocks / 100).max(4);
    // Returns a fifth more stores than the number that hold blocks.
    let stores: Vec<StoreState> = (0..used + (used / 5).max(1))
        .map(|n| StoreState {
            id: StoreId(n),
            zone: n % 3,
            capacity: 1.0,
            accepts_blocks: true,
            evacuate: false,
            responds: true,
        })
        .collect();
    let loads: HashMap<BlockId, BlockLoad> = (0..blocks)
        .map(|n| {
            (BlockId(n), BlockLoad { bytes: 1_000_000, load: 1.0 + f64::from(n % 5), is_changeable: true })
        })
        .collect();
    let goal = Goal { max_changes: 1000, ..Goal::default() };
    bencher.bench_local(|| black_box(plan(&map, &stores, &loads, &HashSet::new(), &[], &goal)));
}

#[divan::bench(args = [10_000u32, 100_000, 1_000_000], sample_count = 5)]
fn recover_a_log(bencher: Bencher, records: u32) {
    let mut bytes = MAGIC.to_vec();
    let blocks = 1000;
    let map = map(blocks);
    let state = State {
        map: map.snapshot(),
        stores: (0..blocks / 100).map(|n| (StoreId(n), format!("s-{n}"))).collect(),
        ..State::default()
    };
    bytes.extend(encode(&LogRecord::Start(Box::new(state))));
    for n in 0..records {
        let mut block = map.block(BlockId(n % blocks)).cloned().expect("a block");
        block.epoch = Epoch::from_parts(Term(1), n + 2);
        let batch = Batch { version: u64::from(n) + 2, records: vec![Record::Active(block)] };
        bytes.extend(encode(&LogRecord::Batch(batch)));
    }
    bencher.counter(ItemsCount::new(records)).bench_local(|| {
        let (found, _) = decode(&bytes).expect("a log");
        let bounds = Bounds { blocks: 200_000, ..Bounds::default() };
        Coordinator::begin(0, Term(2), found, bounds).expect("a state").0.map().version()
    });
}
