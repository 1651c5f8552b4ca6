//! Benchmarks of the validator with 10,000 blocks: 1000 maps in sequence, by batch or as complete maps, a
//! transition between two complete maps, and a document. Run with `cargo bench -p gingerledge-blocks --bench
//! validate`.

#![allow(clippy::expect_used)]

use std::fmt::Write;
use std::hint::black_box;

use divan::counter::ItemsCount;
use divan::Bencher;
use gingerledge_blocks::validate::*;
use gingerledge_blocks::{
    Batch, Block, BlockId, BlockMap, Epoch, Record, Replica, ReplicaState, Span, StoreId, Term,
};

fn main() {
    divan::main();
}

const BLOCKS: u32 = 10_000;
const STORES: u32 = 99;
const MAPS: u32 = 1_000;

fn holders(n: u32) -> Vec<StoreId> {
    vec![StoreId(n % STORES), StoreId((n + 1) % STORES)]
}

fn block(n: u32, epoch: u32, holders: &[StoreId]) -> Block {
    let first = u64::from(n) * 1000;
    let serving = |store: &StoreId| Replica { store: *store, state: ReplicaState::Serving };
    Block {
        id: BlockId(n),
        span: Span::new(first, first + 1000),
        epoch: Epoch::from_parts(Term(1), epoch),
        replicas: holders.iter().map(serving).collect(),
        extent: None,
    }
}

fn map() -> BlockMap {
    let mut map = BlockMap::new(BLOCKS as usize + 10, 1000);
    let records = (0..BLOCKS).map(|n| Record::Active(block(n, 1, &holders(n)))).collect();
    map.apply(&Batch { version: 1, records }).expect("a map");
    map
}

fn draft(map: &BlockMap) -> Draft {
    let site = |n: u32| Site {
        store: StoreId(n),
        zone: (n % 3) as u16,
        region: 0,
        capacity: 200.0,
        standing: Standing::Listed,
        line: 0,
    };
    Draft {
        keys: Span::new(0, u64::from(BLOCKS) * 1000),
        minimum: Redundancy { holders: 2, zones: 2 },
        sites: (0..STORES).map(site).collect(),
        rows: map.blocks().map(Row::from_block).collect(),
        retired: Vec::new(),
    }
}

fn text(store: StoreId) -> String {
    store.to_string()
}

/// Creates 1000 moves, each of which replaces the first holder of one block.
fn move_batches() -> Vec<Batch> {
    let one = |n: u32| {
        let (id, to) = (n * 7 % BLOCKS, StoreId((n * 7 + 2) % STORES));
        let records = vec![Record::Active(block(id, n + 2, &[to, holders(id)[1]]))];
        Batch { version: u64::from(n) + 2, records }
    };
    (0..MAPS).map(one).collect()
}

#[divan::bench(sample_count = 20)]
fn replay_a_thousand_maps_batch_by_batch(bencher: Bencher) {
    let (start, moves) = (map(), move_batches());
    let listed = |store: StoreId| (store.0 < STORES).then_some(Standing::Listed);
    let facts = Facts { standing: &listed, store_name: &text, copies: &|_, _| true };
    bencher.counter(ItemsCount::new(MAPS)).with_inputs(|| start.clone()).bench_local_values(|mut map| {
        for moved in &moves {
            assert!(batch(&map, &moved.records, &facts).findings.is_empty());
            map.apply(moved).expect("a batch");
        }
        map
    });
}

#[divan::bench(sample_count = 20)]
fn apply_a_thousand_batches_unproved(bencher: Bencher) {
    let (start, moves) = (map(), move_batches());
    bencher.counter(ItemsCount::new(MAPS)).with_inputs(|| start.clone()).bench_local_values(|mut map| {
        for moved in &moves {
            map.apply(moved).expect("a batch");
        }
        map
    });
}

#[divan::bench(sample_count = 2, sample_size = 1)]
fn replay_a_thousand_maps_whole(bencher: Bencher) {
    let (start, moves) = (map(), move_batches());
    bencher.counter(ItemsCount::new(MAPS)).with_inputs(|| start.clone()).bench_local_values(|mut map| {
        for moved in &moves {
            map.apply(moved).expect("a batch");
            assert!(faults(&draft(&map), &text).is_empty());
        }
        map
    });
}

#[divan::bench(sample_count = 20)]
fn passage_between_two_whole_maps(bencher: Bencher) {
    let mut map = map();
    let mut old = draft(&map);
    let moves = move_batches();
    for moved in &moves {
        map.apply(moved).expect("a batch");
    }
    let new = draft(&map);
    for (old, new) in old.rows.iter_mut().zip(&new.rows) {
        old.copying.extend(new.holders.iter().filter(|store| !old.holders.contains(store)));
    }
    bencher.bench_local(|| {
        let proved = transition(black_box(&old), black_box(&new), &text);
        assert!(proved.findings.is_empty() && proved.waits.is_empty());
    });
}

#[divan::bench(sample_count = 20)]
fn whole_map_from_a_log(bencher: Bencher) {
    let map = map();
    let listed = |store: StoreId| (store.0 < STORES).then_some(Standing::Listed);
    let facts = Facts { standing: &listed, store_name: &text, copies: &|_, _| true };
    bencher.bench_local(|| assert!(full_map(black_box(&map), &facts).is_empty()));
}

#[divan::bench(sample_count = 20)]
fn read_and_prove_a_document(bencher: Bencher) {
    let mut written = format!("keys = [0, {}]\n[goal]\nreplicas = 2\nzones = 2\n", u64::from(BLOCKS) * 1000);
    for n in 0..STORES {
        let _ = write!(written, "[[store]]\nname = \"s-{n}\"\nzone = \"z{}\"\ncapacity = 200.0\n", n % 3);
    }
    for n in 0..BLOCKS {
        let (first, [a, b]) = (u64::from(n) * 1000, [n % STORES, (n + 1) % STORES]);
        let _ = write!(
            written,
            "[[block]]\nblock = {n}\nfirst = {first}\nend = {}\nepoch = 1\nstores = [\"s-{a}\", \"s-{b}\"]\n",
            first + 1000
        );
    }
    bencher.bench_local(|| {
        let mut names = Names::default();
        let read = Document::read(&written, &mut names, &Bounds::default()).expect("a document");
        assert!(faults(&read.draft, &text).is_empty());
    });
}
