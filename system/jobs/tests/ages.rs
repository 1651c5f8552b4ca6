//! Ages of batch jobs: measured by steady clocks alone, told to the next driver, kept over restarts, and never too high.

#[allow(dead_code)]
mod bench;

use std::time::Duration;

use bench::{address, append, create, end, renew, Bench, EDGE, NEXT_LIFE, PARTITION};
use gingerledge_wire::JobsMessage;
use yare::parameterized;

/// The age that the newest message to a driver told, in milliseconds.
fn told_age(bench: &Bench) -> Option<u64> {
    let mut ages = bench.sent.iter().filter_map(|message| match message {
        JobsMessage::AssignDriver { age_ms, .. } => Some(*age_ms),
        _ => None,
    });
    ages.next_back()
}

fn is_kept(bench: &Bench) -> bool {
    bench.backend.partition(PARTITION).is_some_and(|partition| partition.store().job("j").is_some())
}

#[parameterized(open = { false, 300_000, true }, ended_and_young = { true, 100_000, true }, ended_and_old = { true, 140_000, false })]
fn only_an_ended_job_whose_retention_is_over_goes(ended: bool, milliseconds: u64, stays: bool) {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    if ended {
        bench.ask(end());
    }
    bench.pass(milliseconds);
    assert_eq!(is_kept(&bench), stays);
}

#[test]
fn the_next_driver_is_told_how_old_the_batch_job_is() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    for _ in 0..20 {
        bench.pass(1_000);
        bench.ask(renew(1));
    }
    bench.edge_is_there(NEXT_LIFE, address(EDGE));
    bench.pass(1_600);
    let age = told_age(&bench).unwrap();
    assert!((20_000..=21_600).contains(&age), "{age}");
}

#[test]
fn a_restart_may_make_it_look_younger_but_keeps_what_a_command_told() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    for _ in 0..10 {
        bench.pass(1_000);
        bench.ask(renew(1));
    }
    bench.ask(append(1, 0));
    bench.pass(1_000);
    // The process starts again: its steady clock shows something else.
    bench.now = Duration::from_secs(1_000_000);
    bench.restart();
    bench.edge_is_there(NEXT_LIFE, address(EDGE));
    let age = told_age(&bench).unwrap();
    assert!((10_000..=11_000).contains(&age), "{age}");
}

#[test]
fn an_ended_batch_job_goes_in_spite_of_restarts_again_and_again() {
    let mut bench = Bench::new(0);
    bench.ask(create(10));
    bench.ask(end());
    let mut passed_s = 0;
    while is_kept(&bench) {
        assert!(passed_s < 600, "its age is lost with each restart");
        bench.pass(40_000);
        passed_s += 40;
        bench.restart();
    }
    assert!(passed_s >= 130, "it went after {passed_s} s");
}
