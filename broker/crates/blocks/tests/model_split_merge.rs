//! Exhaustive exploration of a split and a merge with two holders, an entry in progress, lost, repeated and
//! late orders, one crash of the coordinator, and one request to abandon the change. At any time every weigher
//! is held under the block identifiers that brokers use, whichever map version they have.
#![allow(clippy::unwrap_used)]

mod model_store;

use std::collections::BTreeSet;

use gingerledge_blocks::{
    Admission, BlockId, Change, ChangeId, ChangeKind, Effect, Epoch, Holdings, Input, Order, OrderOutcome,
    Refusal, Span, StampedOrder, Step, StoreId, Term, Timeouts,
};
use model_store::ModelStore;
use stateright::{Checker, Model, Property};

const FULL_SPAN: Span = Span { first: 0, end: 10 };
const LOW: Span = Span { first: 0, end: 5 };
const HIGH: Span = Span { first: 5, end: 10 };

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Order(usize, u32, Epoch, u64, Order),
    Reply(usize, u32, Result<OrderOutcome, Refusal>),
}

/// Whether a store accepts entries under all these block identifiers.
fn accepts_entries(store: &ModelStore, names: &[BlockId]) -> bool {
    names
        .iter()
        .all(|name| !matches!(store.0.admission(*name, Epoch(u64::MAX), Some("k")), Admission::Reject(_)))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    change: Change,
    logged: Step,
    committed: bool,
    stores: [ModelStore; 2],
    messages: BTreeSet<Message>,
    serial: u64,
    disturbances: u8,
    crashes: u8,
    abandon_requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Message, bool),
    Lose(Message),
    Crash,
    Abandon,
    Repeat,
}

#[derive(Clone, Copy)]
struct Names {
    merge: bool,
}

impl Names {
    fn before(self) -> Vec<(BlockId, Span)> {
        if self.merge {
            vec![(BlockId(1), LOW), (BlockId(2), HIGH)]
        } else {
            vec![(BlockId(1), FULL_SPAN)]
        }
    }

    fn after(self) -> Vec<(BlockId, Span)> {
        if self.merge {
            vec![(BlockId(3), FULL_SPAN)]
        } else {
            vec![(BlockId(3), LOW), (BlockId(4), HIGH)]
        }
    }

    fn initial_change(self) -> Change {
        let holders = vec![StoreId(0), StoreId(1)];
        let kind = match self.merge {
            true => ChangeKind::Merge { with: BlockId(2), holders, new: self.after() },
            false => ChangeKind::Split { holders, new: self.after() },
        };
        let (epoch, rollback_epoch) = (Epoch::from_parts(Term(1), 2), Epoch::from_parts(Term(1), 3));
        Change::new(ChangeId(1), BlockId(1), self.before()[0].1, kind, epoch, rollback_epoch)
    }

    fn apply_input(self, state: &mut ModelState, input: Input) {
        let timeouts =
            Timeouts { retry_initial_ms: 1, retry_max_ms: 1, step_timeout_ms: 100, max_lag_entries: 0 };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in state.change.handle(0, input, &timeouts) {
                match effect {
                    Effect::Record(step) => state.logged = step,
                    Effect::Order(store, _, epoch, order) => {
                        state.serial += 1;
                        let round = state.change.round;
                        state.messages.insert(Message::Order(
                            store.0 as usize,
                            round,
                            epoch,
                            state.serial,
                            order,
                        ));
                    }
                    Effect::Copy { .. } => unreachable!("splits and merges copy nothing"),
                    Effect::Commit => {
                        state.committed = true;
                        inputs.push(Input::Committed);
                    }
                }
            }
        }
    }
}

impl Model for Names {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let mut stores = [ModelStore(Holdings::new(8)), ModelStore(Holdings::new(8))];
        for store in &mut stores {
            for (block, span) in self.before() {
                let order = Order::Create { span };
                let epoch = Epoch::from_parts(Term(1), 1);
                store.0.carry_out(&StampedOrder { term: Term(1), serial: 0, block, epoch, order }).unwrap();
            }
        }
        let change = self.initial_change();
        let mut state = ModelState {
            logged: change.step,
            change,
            committed: false,
            stores,
            messages: BTreeSet::new(),
            serial: 0,
            disturbances: 0,
            crashes: 0,
            abandon_requests: 0,
        };
        self.apply_input(&mut state, Input::Resume);
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for message in &state.messages {
            actions.push(Action::Deliver(message.clone(), false));
            if state.disturbances < 2 {
                actions.push(Action::Deliver(message.clone(), true));
                actions.push(Action::Lose(message.clone()));
            }
        }
        if state.crashes == 0 {
            actions.push(Action::Crash);
        }
        if state.abandon_requests == 0 && !state.change.step.has_ended() {
            actions.push(Action::Abandon);
        }
        let round = state.change.round;
        let in_transit = |message: &Message| match message {
            Message::Order(_, message_round, ..) | Message::Reply(_, message_round, _) => {
                *message_round == round
            }
        };
        if !state.change.step.has_ended() && !state.messages.iter().any(in_transit) {
            actions.push(Action::Repeat);
        }
    }

    fn next_state(&self, previous: &ModelState, act: Action) -> Option<ModelState> {
        let mut state = previous.clone();
        match act {
            Action::Deliver(message, keep) => {
                if keep {
                    state.disturbances += 1;
                } else {
                    state.messages.remove(&message);
                }
                match message {
                    Message::Order(store, round, epoch, serial, order) => {
                        let stamped = StampedOrder { term: Term(1), serial, block: BlockId(1), epoch, order };
                        let reply = state.stores[store].0.carry_out(&stamped);
                        state.messages.insert(Message::Reply(store, round, reply));
                    }
                    Message::Reply(store, round, reply) if state.change.round == round => {
                        self.apply_input(&mut state, Input::Reply(StoreId(store as u32), reply));
                    }
                    Message::Reply(..) => {}
                }
            }
            Action::Lose(message) => {
                state.disturbances += 1;
                state.messages.remove(&message);
            }
            Action::Crash => {
                state.crashes += 1;
                let round = state.change.round;
                state.change = self.initial_change();
                state.change.restore_step(state.logged);
                // Replies to the crashed coordinator are lost: rounds of two coordinators are never confused.
                state.change.round = round + 1;
                self.apply_input(&mut state, Input::Resume);
            }
            Action::Abandon => {
                state.abandon_requests += 1;
                self.apply_input(&mut state, Input::Abandon);
            }
            Action::Repeat => self.apply_input(&mut state, Input::Resume),
        }
        let round = state.change.round;
        state.messages.retain(
            |message| !matches!(message, Message::Reply(_, message_round, _) if *message_round != round),
        );
        (state != *previous).then_some(state)
    }

    fn within_boundary(&self, state: &ModelState) -> bool {
        state.serial < 40
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "every holder accepts entries at any time",
                |model: &Self, state: &ModelState| {
                    // Every holder accepts entries under the identifiers of the current map. The old identifiers
                    // remain valid until they are removed.
                    let known = names(if state.committed { model.after() } else { model.before() });
                    state.stores.iter().all(|store| accepts_entries(store, &known))
                },
            ),
            Property::always(
                "an ended change leaves one set of block identifiers",
                |model: &Self, state: &ModelState| {
                    let (old, new) = (names(model.before()), names(model.after()));
                    let gone = |store: &ModelStore, names: &[BlockId]| {
                        names.iter().all(|n| store.0.block(*n).is_none())
                    };
                    match state.change.step {
                        Step::Done => {
                            state.stores.iter().all(|s| accepts_entries(s, &new) && gone(s, &old))
                                && state.committed
                        }
                        Step::Abandoned => {
                            state.stores.iter().all(|s| accepts_entries(s, &old)) && !state.committed
                        }
                        _ => true,
                    }
                },
            ),
            Property::sometimes("the change can complete", |_, state: &ModelState| {
                state.change.step == Step::Done
            }),
            Property::sometimes("the change can be rolled back", |_, state: &ModelState| {
                state.change.step == Step::Abandoned
            }),
        ]
    }
}

fn names(blocks: Vec<(BlockId, Span)>) -> Vec<BlockId> {
    blocks.into_iter().map(|(id, _)| id).collect()
}

fn explore(model: Names) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
}

#[test]
fn a_split_keeps_its_invariants_in_every_order_of_events() {
    explore(Names { merge: false });
}

#[test]
fn a_merge_keeps_its_invariants_in_every_order_of_events() {
    explore(Names { merge: true });
}
