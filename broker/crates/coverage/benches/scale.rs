//! Benchmarks of building the table, changing it and querying it, with 100,000 blocks on 1,000 stores. Run with
//! `cargo bench -p gingerledge-coverage`. Prints the memory use of the table first, measured as growth of the resident set size.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::hint::black_box;

use divan::Bencher;
use gingerledge_coverage::*;

const BLOCKS: u32 = 100_000;
const STORES: u32 = 1_000;
const ZONES: u32 = 6;

fn main() {
    let before = resident_kib();
    let table = full_table();
    println!("memory of {BLOCKS} blocks on {STORES} stores: {} KiB", resident_kib() - before);
    drop(table);
    divan::main();
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("a number")
}

fn site(n: u32, state: State) -> Site {
    let zone = n % ZONES;
    Site {
        store: Store(n),
        zone: Zone(zone as u16),
        region: Region((zone / 3) as u16),
        capacity: 900.0 + f64::from(n % 7) * 50.0,
        state,
    }
}

fn block(n: u32) -> BlockAssignment {
    // Three holders in three zones, spread over the stores.
    let first = n.wrapping_mul(2_654_435_761) % STORES;
    let holders = (0..3).map(|k| Store((first + k * 101) % STORES)).collect();
    let keys = KeyRange::new(u64::from(n) * 1000, u64::from(n) * 1000 + 1000);
    BlockAssignment { block: Block(n), keys, holders, load: 3.0 + f64::from(n % 5) }
}

fn sites() -> Vec<Site> {
    (0..STORES).map(|n| site(n, State::Listed)).collect()
}

fn build(sites: &[Site], blocks: &[BlockAssignment]) -> Coverage {
    let mut table = Coverage::new(Bounds::default());
    for site in sites {
        table.set_site(*site).expect("within the bounds");
    }
    for assignment in blocks {
        table.set_block(assignment.clone()).expect("within the bounds");
    }
    table
}

fn full_table() -> Coverage {
    build(&sites(), &(0..BLOCKS).map(block).collect::<Vec<_>>())
}

const REQUIREMENTS: Requirements = Requirements { holders: 2, zones: 2, headroom: 0.1 };

#[divan::bench(sample_count = 20)]
fn build_table(bencher: Bencher) {
    let (sites, blocks) = (sites(), (0..BLOCKS).map(block).collect::<Vec<_>>());
    bencher.bench_local(|| build(&sites, &blocks));
}

#[divan::bench]
fn move_one_block(bencher: Bencher) {
    let (mut table, mut n) = (full_table(), 0);
    bencher.bench_local(|| {
        n += 1;
        let mut assignment = block(n * 7919 % BLOCKS);
        assignment.holders[0] = Store((assignment.holders[0].0 + n) % STORES);
        assignment.holders.dedup();
        table.set_block(assignment)
    });
}

#[divan::bench]
fn change_state_of_one_store(bencher: Bencher) {
    let (mut table, mut n) = (full_table(), 0);
    bencher.bench_local(|| {
        n += 1;
        table.set_site(site(n / 2 * 37 % STORES, if n % 2 == 0 { State::Gone } else { State::Listed }))
    });
}

#[divan::bench]
fn set_share_of_one_zone(bencher: Bencher) {
    let (mut table, mut n) = (full_table(), 0);
    bencher.bench_local(|| {
        n += 1;
        table.set_share(Zone(0), f64::from(n % 10) / 10.0);
    });
}

#[divan::bench]
fn ten_weakest_of_uniform_blocks(bencher: Bencher) {
    let table = full_table();
    bencher.bench_local(|| black_box(table.weakest(10)));
}

#[divan::bench]
fn ten_weakest_with_one_store_gone(bencher: Bencher) {
    let mut table = full_table();
    table.set_site(site(5, State::Gone)).expect("within the bounds");
    bencher.bench_local(|| black_box(table.weakest(10)));
}

#[divan::bench]
fn check_share_0_for_one_zone(bencher: Bencher) {
    let table = full_table();
    let proposal = Proposal { shares: [(Zone(0), 0.0)].into(), ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &REQUIREMENTS)));
}

#[divan::bench]
fn check_exclusion_of_50_stores(bencher: Bencher) {
    let table = full_table();
    let excluded_stores: BTreeSet<Store> = (0..50).map(|n| Store(n * ZONES)).collect();
    let proposal = Proposal { excluded_stores, ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &REQUIREMENTS)));
}

#[divan::bench]
fn check_change_of_one_block(bencher: Bencher) {
    let table = full_table();
    let mut assignment = block(4711);
    assignment.holders[0] = Store((assignment.holders[0].0 + 6) % STORES);
    let proposal = Proposal { changed_blocks: vec![assignment], ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &REQUIREMENTS)));
}

#[divan::bench]
fn check_refused_exclusion_of_half_the_stores(bencher: Bencher) {
    let table = full_table();
    let excluded_stores: BTreeSet<Store> = (0..STORES / 2).map(Store).collect();
    let proposal = Proposal { excluded_stores, ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &REQUIREMENTS)));
}
