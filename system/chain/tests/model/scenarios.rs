//! The states from which every order of events is explored.

use super::group::{Budget, Group};
use super::node::Loss;

/// An initial state, with what the checker may do after it.
pub struct Scenario {
    pub name: &'static str,
    pub begin: fn() -> Group,
    /// How many steps deeper than the others it is explored: it branches less.
    pub deeper: usize,
}

pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "write and read under way, the tail is missed",
        begin: write_and_tail_missed,
        deeper: 0,
    },
    Scenario { name: "write under way, the head is missed", begin: write_and_head_missed, deeper: 0 },
    Scenario { name: "two members propose at once", begin: two_proposers, deeper: 2 },
    Scenario { name: "replacement of a lost disk under way", begin: replacement, deeper: 5 },
    Scenario { name: "a disk is lost right after a replacement", begin: loss_after_replacement, deeper: 3 },
    Scenario { name: "a member is missed while it fills", begin: filling, deeper: 5 },
    Scenario { name: "five members, the tail is missed", begin: five_members, deeper: 0 },
];

fn with_write(fault_tolerance: usize) -> Group {
    let mut group = Group::founded(fault_tolerance);
    group.submit(0);
    group.deliver_all();
    group
}

fn write_and_tail_missed() -> Group {
    write_and_missed(0, 2)
}

fn write_and_head_missed() -> Group {
    write_and_missed(1, 0)
}

/// A write is in flight, and no heartbeat of one member reaches another.
fn write_and_missed(machine: usize, missed: usize) -> Group {
    let mut group = with_write(1);
    group.submit(0);
    group.miss(machine, missed);
    group.budget = Budget { repetitions: 1, writes: 1, reads: 1, restarts: 1, ..Budget::default() };
    group
}

fn two_proposers() -> Group {
    let mut group = with_write(1);
    group.submit(0);
    group.miss(0, 2);
    group.miss(1, 0);
    group.budget = Budget { restarts: 1, ..Budget::default() };
    group
}

/// The tail's disk was lost; its successor has caught up, and the vote on taking it in has just begun.
fn replacement() -> Group {
    let mut group = with_write(1);
    group.restart(2, Loss::Disk);
    group.miss(0, 2);
    group.deliver_all();
    group.run_until_proposal();
    group.budget = Budget { writes: 1, reads: 1, restarts: 1, ..Budget::default() };
    group
}

/// The replacement is complete; any disk may be the next one.
fn loss_after_replacement() -> Group {
    let mut group = with_write(1);
    group.restart(2, Loss::Disk);
    group.run_without_faults(40);
    group.submit(0);
    group.budget = Budget { writes: 1, misses: 1, restarts: 0, wipes: 1, ..Budget::default() };
    group
}

/// The new member has been taken in, and waits for its entries.
fn filling() -> Group {
    let mut group = replacement();
    group.budget = Budget::default();
    group.deliver_agreement();
    group.budget = Budget { writes: 1, misses: 1, restarts: 1, ..Budget::default() };
    group
}

fn five_members() -> Group {
    let mut group = with_write(2);
    group.submit(0);
    group.miss(0, 4);
    group.budget = Budget { reads: 1, restarts: 1, ..Budget::default() };
    group
}
