//! A split and a merge explored exhaustively: two holders, an entry under way, orders that are lost, repeated and late,
//! one crash of the coordinator, one change of mind. At every moment every weigher is held under the names that brokers
//! know, whichever map they have.
#![allow(clippy::unwrap_used)]

mod shown;

use std::collections::BTreeSet;

use gingerledge_blocks::{
    Admission, BlockId, Change, ChangeId, ChangeKind, Effect, Epoch, Holdings, Input, Order, OrderOutcome,
    Refusal, Span, StampedOrder, Step, StoreId, Term, Timeouts,
};
use shown::Store;
use stateright::{Checker, Model, Property};

const WHOLE: Span = Span { first: 0, end: 10 };
const LOW: Span = Span { first: 0, end: 5 };
const HIGH: Span = Span { first: 5, end: 10 };

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Wire {
    Order(usize, u32, Epoch, u64, Order),
    Word(usize, u32, Result<OrderOutcome, Refusal>),
}

/// Whether a store takes entries under all these names.
fn takes(store: &Store, names: &[BlockId]) -> bool {
    names
        .iter()
        .all(|name| !matches!(store.0.admission(*name, Epoch(u64::MAX), Some("k")), Admission::Reject(_)))
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    change: Change,
    logged: Step,
    committed: bool,
    stores: [Store; 2],
    wire: BTreeSet<Wire>,
    serial: u64,
    troubles: u8,
    crashes: u8,
    doubts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(Wire, bool),
    Lose(Wire),
    Crash,
    Doubt,
    Again,
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
            vec![(BlockId(1), WHOLE)]
        }
    }

    fn after(self) -> Vec<(BlockId, Span)> {
        if self.merge {
            vec![(BlockId(3), WHOLE)]
        } else {
            vec![(BlockId(3), LOW), (BlockId(4), HIGH)]
        }
    }

    fn fresh(self) -> Change {
        let holders = vec![StoreId(0), StoreId(1)];
        let kind = match self.merge {
            true => ChangeKind::Merge { with: BlockId(2), holders, new: self.after() },
            false => ChangeKind::Split { holders, new: self.after() },
        };
        let (epoch, back) = (Epoch::from_parts(Term(1), 2), Epoch::from_parts(Term(1), 3));
        Change::new(ChangeId(1), BlockId(1), self.before()[0].1, kind, epoch, back)
    }

    fn play(self, world: &mut World, input: Input) {
        let patience =
            Timeouts { retry_initial_ms: 1, retry_max_ms: 1, step_timeout_ms: 100, max_lag_entries: 0 };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in world.change.handle(0, input, &patience) {
                match effect {
                    Effect::Record(step) => world.logged = step,
                    Effect::Order(store, _, epoch, order) => {
                        world.serial += 1;
                        let round = world.change.round;
                        world.wire.insert(Wire::Order(store.0 as usize, round, epoch, world.serial, order));
                    }
                    Effect::Copy { .. } => unreachable!("nothing is copied"),
                    Effect::Commit => {
                        world.committed = true;
                        inputs.push(Input::Committed);
                    }
                }
            }
        }
    }
}

impl Model for Names {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut stores = [Store(Holdings::new(8)), Store(Holdings::new(8))];
        for store in &mut stores {
            for (block, span) in self.before() {
                let order = Order::Create { span };
                let epoch = Epoch::from_parts(Term(1), 1);
                store.0.carry_out(&StampedOrder { term: Term(1), serial: 0, block, epoch, order }).unwrap();
            }
        }
        let change = self.fresh();
        let mut world = World {
            logged: change.step,
            change,
            committed: false,
            stores,
            wire: BTreeSet::new(),
            serial: 0,
            troubles: 0,
            crashes: 0,
            doubts: 0,
        };
        self.play(&mut world, Input::Resume);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for wire in &world.wire {
            actions.push(Act::Deliver(wire.clone(), false));
            if world.troubles < 2 {
                actions.push(Act::Deliver(wire.clone(), true));
                actions.push(Act::Lose(wire.clone()));
            }
        }
        if world.crashes == 0 {
            actions.push(Act::Crash);
        }
        if world.doubts == 0 && !world.change.step.has_ended() {
            actions.push(Act::Doubt);
        }
        let round = world.change.round;
        let under_way = |wire: &Wire| match wire {
            Wire::Order(_, of, ..) | Wire::Word(_, of, _) => *of == round,
        };
        if !world.change.step.has_ended() && !world.wire.iter().any(under_way) {
            actions.push(Act::Again);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Deliver(wire, keep) => {
                if keep {
                    world.troubles += 1;
                } else {
                    world.wire.remove(&wire);
                }
                match wire {
                    Wire::Order(store, round, epoch, serial, order) => {
                        let ordered = StampedOrder { term: Term(1), serial, block: BlockId(1), epoch, order };
                        let word = world.stores[store].0.carry_out(&ordered);
                        world.wire.insert(Wire::Word(store, round, word));
                    }
                    Wire::Word(store, round, word) if world.change.round == round => {
                        self.play(&mut world, Input::Reply(StoreId(store as u32), word));
                    }
                    Wire::Word(..) => {}
                }
            }
            Act::Lose(wire) => {
                world.troubles += 1;
                world.wire.remove(&wire);
            }
            Act::Crash => {
                world.crashes += 1;
                let round = world.change.round;
                world.change = self.fresh();
                world.change.restore_step(world.logged);
                // Words to the one before reach nobody: another's rounds are not taken for one's own.
                world.change.round = round + 1;
                self.play(&mut world, Input::Resume);
            }
            Act::Doubt => {
                world.doubts += 1;
                self.play(&mut world, Input::Abandon);
            }
            Act::Again => self.play(&mut world, Input::Resume),
        }
        let round = world.change.round;
        world.wire.retain(|wire| !matches!(wire, Wire::Word(_, of, _) if *of != round));
        (world != *last).then_some(world)
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.serial < 40
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never held by nobody", |model: &Self, world: &World| {
                // At every holder, under the names of the map as it is; and under the old ones until it is unnamed.
                let known = names(if world.committed { model.after() } else { model.before() });
                world.stores.iter().all(|store| takes(store, &known))
            }),
            Property::always("what ends, ends with one set of names", |model: &Self, world: &World| {
                let (old, new) = (names(model.before()), names(model.after()));
                let gone =
                    |store: &Store, names: &[BlockId]| names.iter().all(|n| store.0.block(*n).is_none());
                match world.change.step {
                    Step::Done => {
                        world.stores.iter().all(|s| takes(s, &new) && gone(s, &old)) && world.committed
                    }
                    Step::Abandoned => world.stores.iter().all(|s| takes(s, &old)) && !world.committed,
                    _ => true,
                }
            }),
            Property::sometimes("it gets done", |_, world: &World| world.change.step == Step::Done),
            Property::sometimes("it goes back", |_, world: &World| world.change.step == Step::Abandoned),
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
fn a_split_holds_its_promises_in_every_order_of_events() {
    explore(Names { merge: false });
}

#[test]
fn a_merge_holds_its_promises_in_every_order_of_events() {
    explore(Names { merge: true });
}
