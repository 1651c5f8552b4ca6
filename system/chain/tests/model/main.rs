//! Explores the control chain exhaustively, to a depth, from states in which several faults and changes meet.
//!
//! What runs is the machine itself ([`gingerledge_chain::ControlChain`]: votes, replica, log and reads), not a copy of its rules. The
//! checker chooses every order of deliveries, losses, repetitions, ends of syncs, ends of processes, losses of power and of disks,
//! changes of the view and clients' calls, within the budgets of the scenario.
//!
//! `MODEL_DEPTH` sets the depth (the default suits the test command), `MODEL_SCENARIO` picks one scenario by the beginning of its name:
//!
//! ```sh
//! MODEL_DEPTH=9 cargo test --release -p gingerledge-chain --test model -- --nocapture
//! ```

mod group;
mod node;
mod observations;
mod scenarios;

use group::{Action, Group};
use scenarios::{Scenario, SCENARIOS};
use stateright::{Checker, Model, Property};

const DEFAULT_DEPTH: usize = 5;
/// Of the states seen, one in so many is continued without faults, to check that the group commits again.
const RECOVERY_CHECK_SHARE: u64 = 64;

/// One scenario with the depth to which it is explored.
struct Exploration {
    scenario: &'static Scenario,
}

impl Model for Exploration {
    type State = Group;
    type Action = Action;

    fn init_states(&self) -> Vec<Group> {
        vec![(self.scenario.begin)()]
    }

    fn actions(&self, state: &Group, actions: &mut Vec<Action>) {
        state.actions(actions);
    }

    fn next_state(&self, state: &Group, action: Action) -> Option<Group> {
        let mut next = state.clone();
        next.apply(action);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one membership an epoch, and one command a number", |_, state: &Group| {
                state.observations.contradiction.is_none()
            }),
            Property::always("what was acknowledged is at every head that serves", |_, state: &Group| {
                state.heads_hold_acknowledged_entries()
            }),
            Property::always("what was acknowledged was synced by f + 1 disks", |_, state: &Group| {
                state.acknowledged_entries_are_on_enough_disks()
            }),
            Property::always("no read is older than an acknowledgement before it", |_, state: &Group| {
                !state.observations.has_stale_read
            }),
            Property::always(
                "without further faults the group commits again, and lost nothing",
                |_, state: &Group| {
                    state.fingerprint() % RECOVERY_CHECK_SHARE != 0 || state.clone().recovers()
                },
            ),
        ]
    }
}

fn depth() -> usize {
    std::env::var("MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEPTH)
}

fn explore(scenario: &'static Scenario) {
    let model = Exploration { scenario };
    // With several threads a state may be met first by a longer way, and then be gone on from for fewer steps than the depth allows.
    let checker = model.checker().threads(1).target_max_depth(depth() + scenario.deeper).spawn_bfs().join();
    println!(
        "{}: {} states, {} different, depth {}",
        scenario.name,
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    if let Some((property, path)) = checker.discoveries().into_iter().next() {
        let contradiction = path.last_state().observations.contradiction.clone();
        let actions: Vec<String> = path.into_actions().iter().map(|action| format!("{action:?}")).collect();
        panic!("{}: not so: {property}; {contradiction:?}; after\n{}", scenario.name, actions.join("\n"));
    }
    assert!(checker.unique_state_count() > 100, "{}: hardly anything was explored", scenario.name);
}

#[test]
fn acknowledged_entries_survive_every_order_of_events() {
    let wanted = std::env::var("MODEL_SCENARIO").unwrap_or_default();
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.starts_with(&wanted)) {
        explore(scenario);
    }
}

/// Each scenario begins in a state from which the group commits again without faults.
#[test]
fn every_scenario_recovers_without_faults() {
    for scenario in SCENARIOS {
        assert!((scenario.begin)().recovers(), "{}", scenario.name);
    }
}
