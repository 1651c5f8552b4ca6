//! The whole built, a change, and questions, at 100,000 blocks on 1,000 stores. `cargo bench -p gingerledge-coverage`.
//! First the memory that the whole takes is told, by what the process holds before and after.

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
    let table = whole();
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

fn held(n: u32) -> Held {
    // Three holders in three zones, spread over the stores.
    let first = n.wrapping_mul(2_654_435_761) % STORES;
    let holders = (0..3).map(|k| Store((first + k * 101) % STORES)).collect();
    let keys = Keys::new(u64::from(n) * 1000, u64::from(n) * 1000 + 1000);
    Held { block: Block(n), keys, holders, load: 3.0 + f64::from(n % 5) }
}

fn sites() -> Vec<Site> {
    (0..STORES).map(|n| site(n, State::Listed)).collect()
}

fn all(sites: &[Site], blocks: &[Held]) -> Coverage {
    let mut table = Coverage::new(Bounds::default());
    for site in sites {
        table.set_site(*site).expect("room");
    }
    for held in blocks {
        table.set_held(held.clone()).expect("room");
    }
    table
}

fn whole() -> Coverage {
    all(&sites(), &(0..BLOCKS).map(held).collect::<Vec<_>>())
}

const LEAST: Least = Least { holders: 2, zones: 2, headroom: 0.1 };

#[divan::bench(sample_count = 20)]
fn build_the_whole(bencher: Bencher) {
    let (sites, blocks) = (sites(), (0..BLOCKS).map(held).collect::<Vec<_>>());
    bencher.bench_local(|| all(&sites, &blocks));
}

#[divan::bench]
fn move_one_block(bencher: Bencher) {
    let (mut table, mut n) = (whole(), 0);
    bencher.bench_local(|| {
        n += 1;
        let mut held = held(n * 7919 % BLOCKS);
        held.holders[0] = Store((held.holders[0].0 + n) % STORES);
        held.holders.dedup();
        table.set_held(held)
    });
}

#[divan::bench]
fn a_store_goes_or_comes_back(bencher: Bencher) {
    let (mut table, mut n) = (whole(), 0);
    bencher.bench_local(|| {
        n += 1;
        table.set_site(site(n / 2 * 37 % STORES, if n % 2 == 0 { State::Gone } else { State::Listed }))
    });
}

#[divan::bench]
fn a_zone_s_share(bencher: Bencher) {
    let (mut table, mut n) = (whole(), 0);
    bencher.bench_local(|| {
        n += 1;
        table.set_share(Zone(0), f64::from(n % 10) / 10.0);
    });
}

#[divan::bench]
fn the_ten_weakest_of_all_alike(bencher: Bencher) {
    let table = whole();
    bencher.bench_local(|| black_box(table.weakest(10)));
}

#[divan::bench]
fn the_ten_weakest_with_a_store_gone(bencher: Bencher) {
    let mut table = whole();
    table.set_site(site(5, State::Gone)).expect("room");
    bencher.bench_local(|| black_box(table.weakest(10)));
}

#[divan::bench]
fn check_of_a_zone_led_away(bencher: Bencher) {
    let table = whole();
    let proposal = Proposal { shares: [(Zone(0), 0.0)].into(), ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &LEAST)));
}

#[divan::bench]
fn check_of_a_window_of_50_stores(bencher: Bencher) {
    let table = whole();
    let away: BTreeSet<Store> = (0..50).map(|n| Store(n * ZONES)).collect();
    let proposal = Proposal { away, ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &LEAST)));
}

#[divan::bench]
fn check_of_a_block_held_otherwise(bencher: Bencher) {
    let table = whole();
    let mut one = held(4711);
    one.holders[0] = Store((one.holders[0].0 + 6) % STORES);
    let proposal = Proposal { held: vec![one], ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &LEAST)));
}

#[divan::bench]
fn check_of_a_plan_refused(bencher: Bencher) {
    let table = whole();
    let away: BTreeSet<Store> = (0..STORES / 2).map(Store).collect();
    let proposal = Proposal { away, ..Proposal::default() };
    bencher.bench_local(|| black_box(table.check(&proposal, &LEAST)));
}
