//! The initial states from which every order of events is explored.

use super::group::{Budget, Group};
use super::node::DataLoss;

/// An initial state, which includes the budget of the checker.
pub struct Scenario {
    pub name: &'static str,
    pub initial_state: fn() -> Group,
    /// Number of steps by which the scenario is explored deeper than others, because it branches less.
    pub extra_depth: usize,
}

pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "write and read under way, no heartbeats from the tail",
        initial_state: write_and_tail_suppressed,
        extra_depth: 0,
    },
    Scenario {
        name: "write under way, no heartbeats from the head",
        initial_state: write_and_head_suppressed,
        extra_depth: 0,
    },
    Scenario { name: "two members propose at once", initial_state: two_proposers, extra_depth: 2 },
    Scenario { name: "replacement of a lost disk under way", initial_state: replacement, extra_depth: 5 },
    Scenario {
        name: "a disk is lost right after a replacement",
        initial_state: loss_after_replacement,
        extra_depth: 3,
    },
    Scenario {
        name: "a member is suspected while it catches up",
        initial_state: catching_up,
        extra_depth: 5,
    },
    Scenario {
        name: "five members, no heartbeats from the tail",
        initial_state: five_members,
        extra_depth: 0,
    },
];

fn with_write(fault_tolerance: usize) -> Group {
    let mut group = Group::founded(fault_tolerance);
    group.submit(0);
    group.deliver_all();
    group
}

fn write_and_tail_suppressed() -> Group {
    write_and_suppressed(0, 2)
}

fn write_and_head_suppressed() -> Group {
    write_and_suppressed(1, 0)
}

/// A write is in flight, and no heartbeat of `sender` reaches `machine`.
fn write_and_suppressed(machine: usize, sender: usize) -> Group {
    let mut group = with_write(1);
    group.submit(0);
    group.suppress_heartbeats(machine, sender);
    group.budget = Budget { duplicates: 1, writes: 1, reads: 1, restarts: 1, ..Budget::default() };
    group
}

fn two_proposers() -> Group {
    let mut group = with_write(1);
    group.submit(0);
    group.suppress_heartbeats(0, 2);
    group.suppress_heartbeats(1, 0);
    group.budget = Budget { restarts: 1, ..Budget::default() };
    group
}

/// The disk of the tail was lost. The member that replaces it has caught up, and the vote on adding it to the chain has just
/// started.
fn replacement() -> Group {
    let mut group = with_write(1);
    group.restart(2, DataLoss::Disk);
    group.suppress_heartbeats(0, 2);
    group.deliver_all();
    group.run_until_proposal();
    group.budget = Budget { writes: 1, reads: 1, restarts: 1, ..Budget::default() };
    group
}

/// The replacement is complete, so that any one disk may be lost next.
fn loss_after_replacement() -> Group {
    let mut group = with_write(1);
    group.restart(2, DataLoss::Disk);
    group.run_without_faults(40);
    group.submit(0);
    group.budget = Budget { writes: 1, suppressions: 1, restarts: 0, wipes: 1, ..Budget::default() };
    group
}

/// The new member has been added to the chain, and has not received its entries yet.
fn catching_up() -> Group {
    let mut group = replacement();
    group.budget = Budget::default();
    group.deliver_agreement();
    group.budget = Budget { writes: 1, suppressions: 1, restarts: 1, ..Budget::default() };
    group
}

fn five_members() -> Group {
    let mut group = with_write(2);
    group.submit(0);
    group.suppress_heartbeats(0, 4);
    group.budget = Budget { reads: 1, restarts: 1, ..Budget::default() };
    group
}
