//! Exhaustive exploration of the control chain, up to a depth, from states in which several faults and changes coincide.
//!
//! The model runs the production code ([`gingerledge_chain::ControlChain`]: votes, replica, log and reads), not a separate
//! specification. The checker explores every order of message deliveries, losses and duplicates, syncs, restarts, power failures,
//! losses of disks, changes of the membership and client requests, within the budget of the scenario.
//!
//! `MODEL_DEPTH` sets the depth (the default is chosen for regular test runs); `MODEL_SCENARIO` selects the scenarios whose names
//! start with its value:
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
/// On average, one in this number of states is continued without faults, to check that the group commits again.
const RECOVERY_CHECK_SHARE: u64 = 64;

/// The exploration of one scenario.
struct Exploration {
    scenario: &'static Scenario,
}

impl Model for Exploration {
    type State = Group;
    type Action = Action;

    fn init_states(&self) -> Vec<Group> {
        vec![(self.scenario.initial_state)()]
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
            Property::always("one membership per epoch and one command per index", |_, state: &Group| {
                state.observations.contradiction.is_none()
            }),
            Property::always("every serving head holds all acknowledged entries", |_, state: &Group| {
                state.heads_hold_acknowledged_entries()
            }),
            Property::always("acknowledged entries were synced by f + 1 disks", |_, state: &Group| {
                state.acknowledged_entries_are_on_enough_disks()
            }),
            Property::always("no read misses an entry acknowledged before it", |_, state: &Group| {
                !state.observations.has_stale_read
            }),
            Property::always(
                "without further faults the group commits again and has lost nothing",
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
    // With several threads, a state may first be reached by a longer path, and then be continued for fewer steps than the depth
    // allows.
    let checker =
        model.checker().threads(1).target_max_depth(depth() + scenario.extra_depth).spawn_bfs().join();
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
        panic!("{}: violated: {property}; {contradiction:?}; after\n{}", scenario.name, actions.join("\n"));
    }
    assert!(checker.unique_state_count() > 100, "{}: too few states were explored", scenario.name);
}

#[test]
fn acknowledged_entries_survive_every_order_of_events() {
    let wanted = std::env::var("MODEL_SCENARIO").unwrap_or_default();
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.starts_with(&wanted)) {
        explore(scenario);
    }
}

/// Guards against scenarios whose initial state cannot recover, which would make the check of recovery meaningless.
#[test]
fn every_scenario_recovers_without_faults() {
    for scenario in SCENARIOS {
        assert!((scenario.initial_state)().recovers(), "{}", scenario.name);
    }
}
