//! A move explored exhaustively: a coordinator, two stores, one entry under way, messages that are lost, repeated and
//! reordered, and one crash of the coordinator. Without the fence the same exploration has to find a fault.

#![allow(clippy::unwrap_used)]

mod shown;

use gingerledge_blocks::{
    Admission, BlockId, Change, ChangeId, ChangeKind, Effect, Entry, Epoch, Holdings, Input, Mode, Order,
    OrderOutcome, Refusal, Span, StampedOrder, Step, StoreId, Term, Timeouts,
};
use shown::Store;
use stateright::{Checker, Model, Property};

const BLOCK: BlockId = BlockId(1);
const SPAN: Span = Span { first: 0, end: 10 };
const KEY: &str = "q1.1";

/// What is on the wire. A set, so that messages are reordered; taking one may leave it there, so that it is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Wire {
    Order(usize, Step, Epoch, Order),
    Word(usize, Step, Result<OrderOutcome, Refusal>),
    Copy(Step, u64),
    Copied(Step, u64, u64),
    Entry(usize, Epoch),
    Ran(usize, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    change: Change,
    /// What the log says.
    logged: Step,
    committed: bool,
    stores: [Store; 2],
    wire: std::collections::BTreeSet<Wire>,
    /// Attempts of the entry that were sent, and what is known of the last.
    sent: u8,
    out: bool,
    may_have_run: bool,
    acknowledged: bool,
    runs: u8,
    crashes: u8,
    losses: u8,
    patience: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Deliver(Wire, bool),
    Lose(Wire),
    Crash,
    Impatient,
    Again,
    Send(usize),
}

struct Move {
    fenceless: bool,
}

fn patience() -> Timeouts {
    Timeouts { retry_initial_ms: 1, retry_max_ms: 1, step_timeout_ms: 100, max_lag_entries: 0 }
}

fn fresh() -> Change {
    let kind = ChangeKind::Move { from: StoreId(0), to: StoreId(1) };
    let (epoch, back) = (Epoch::from_parts(Term(1), 2), Epoch::from_parts(Term(1), 3));
    Change::new(ChangeId(1), BLOCK, SPAN, kind, epoch, back)
}

impl Move {
    fn play(&self, world: &mut World, input: Input, now: u64) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let effects = world.change.handle(now, input, &patience());
            let step = world.change.step;
            for effect in effects {
                match effect {
                    Effect::Record(step) => world.logged = step,
                    Effect::Order(store, _, epoch, order) => {
                        world.wire.insert(Wire::Order(store.0 as usize, step, epoch, order));
                    }
                    Effect::Copy { start, .. } => drop(world.wire.insert(Wire::Copy(step, start))),
                    Effect::Commit => {
                        world.committed = true;
                        inputs.push(Input::Committed);
                    }
                }
            }
        }
        if world.change.step.has_ended() {
            // What is still on the wire belongs to the past; the entry alone goes on.
            world.wire.retain(|wire| matches!(wire, Wire::Order(..) | Wire::Entry(..) | Wire::Ran(..)));
        }
    }

    fn deliver(&self, world: &mut World, wire: Wire) {
        match wire {
            Wire::Order(store, step, epoch, order) => {
                let ordered = StampedOrder { term: Term(1), serial: 1, block: BLOCK, epoch, order };
                let word = world.stores[store].0.carry_out(&ordered);
                world.wire.insert(Wire::Word(store, step, word));
            }
            Wire::Word(store, step, word) if world.change.step == step => {
                self.play(world, Input::Reply(StoreId(store as u32), word), 0);
            }
            Wire::Copy(step, at) => {
                let (entries, next) = world.stores[0].0.read_section(SPAN, at, 1000);
                let length = world.stores[0].0.entries().len() as u64;
                let epoch = world.change.epoch;
                world.stores[1].0.apply_section(BLOCK, epoch, at, entries, next);
                let copied = world.stores[1].0.block(BLOCK).map_or(0, |held| held.copied);
                world.wire.insert(Wire::Copied(step, copied, length));
            }
            Wire::Copied(step, copied, length) if world.change.step == step => {
                self.play(world, Input::Copied { copied, length }, 0);
            }
            Wire::Entry(store, epoch) => {
                let verdict = world.stores[store].0.admission(BLOCK, epoch, Some(KEY));
                let good = match verdict {
                    Admission::Execute(_) => {
                        let entry = Entry { key: KEY.into(), weigher: 3, value: vec![1] };
                        world.runs += u8::from(world.stores[store].0.append(entry));
                        true
                    }
                    Admission::Duplicate(_) => true,
                    Admission::Reject(_) => false,
                };
                world.wire.insert(Wire::Ran(store, good));
            }
            Wire::Ran(_, good) if world.out => {
                world.out = false;
                world.acknowledged |= good;
                world.may_have_run |= good;
            }
            _ => {}
        }
    }
}

impl Model for Move {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let new = if self.fenceless { Holdings::without_fence } else { Holdings::new };
        let mut stores = [Store(new(4)), Store(new(4))];
        let found = Order::Create { span: SPAN };
        let ordered = StampedOrder {
            term: Term(1),
            serial: 1,
            block: BLOCK,
            epoch: Epoch::from_parts(Term(1), 1),
            order: found,
        };
        stores[0].0.carry_out(&ordered).unwrap();
        stores[0].0.append(Entry { key: "old".into(), weigher: 1, value: vec![0] });
        let change = fresh();
        let mut world = World {
            logged: change.step,
            change,
            committed: false,
            stores,
            wire: Default::default(),
            sent: 0,
            out: false,
            may_have_run: false,
            acknowledged: false,
            runs: 0,
            crashes: 0,
            losses: 0,
            patience: 0,
        };
        self.play(&mut world, Input::Resume, 0);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for wire in &world.wire {
            actions.push(Act::Deliver(wire.clone(), false));
            // Orders may come twice; an entry's call goes over one connection and can't.
            if matches!(wire, Wire::Order(..)) && world.losses < 2 {
                actions.push(Act::Deliver(wire.clone(), true));
            }
            if world.losses < 2 {
                actions.push(Act::Lose(wire.clone()));
            }
        }
        if world.crashes == 0 {
            actions.push(Act::Crash);
        }
        if world.patience == 0 && !world.change.step.has_ended() {
            actions.push(Act::Impatient);
        }
        // An order is given again once nothing of its step is under way.
        let step = world.change.step;
        let under_way = |wire: &Wire| match wire {
            Wire::Order(_, of, ..) | Wire::Word(_, of, _) | Wire::Copy(of, _) | Wire::Copied(of, ..) => {
                *of == step
            }
            Wire::Entry(..) | Wire::Ran(..) => false,
        };
        if !step.has_ended() && !world.wire.iter().any(under_way) {
            actions.push(Act::Again);
        }
        if !world.out && !world.may_have_run && world.sent < 2 {
            actions.push(Act::Send(usize::from(world.committed)));
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Deliver(wire, keep) => {
                if keep {
                    world.losses += 1;
                } else {
                    world.wire.remove(&wire);
                }
                self.deliver(&mut world, wire);
            }
            Act::Lose(wire) => {
                world.losses += 1;
                world.wire.remove(&wire);
                if matches!(wire, Wire::Entry(..) | Wire::Ran(..)) {
                    // Timed out: it may have run, and is never sent again.
                    (world.out, world.may_have_run) = (false, true);
                }
            }
            Act::Crash => {
                world.crashes += 1;
                // What lasts is the change as it began, and the step in the log.
                world.change = fresh();
                world.change.restore_step(world.logged);
                self.play(&mut world, Input::Resume, 0);
            }
            Act::Impatient => {
                world.patience += 1;
                self.play(&mut world, Input::Abandon, 0);
            }
            // An order that was lost is given again.
            Act::Again => self.play(&mut world, Input::Resume, 0),
            Act::Send(store) => {
                (world.sent, world.out) = (world.sent + 1, true);
                let epoch = if world.committed { world.change.epoch } else { Epoch::from_parts(Term(1), 1) };
                world.wire.insert(Wire::Entry(store, epoch));
            }
        }
        // A word on a step that has passed is dropped by whoever hosts the change.
        let step = world.change.step;
        world.wire.retain(|wire| match wire {
            Wire::Word(_, of, _) | Wire::Copied(of, ..) => *of == step,
            _ => true,
        });
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never held by nobody", |_, world: &World| {
                // Whoever the map names now lets reads in.
                let now = usize::from(world.committed);
                let source_still = !matches!(
                    world.stores[0].0.admission(BLOCK, Epoch(u64::MAX), None),
                    Admission::Reject(_)
                );
                let named = !matches!(
                    world.stores[now].0.admission(BLOCK, Epoch(u64::MAX), None),
                    Admission::Reject(_)
                );
                named || (source_still && world.committed)
            }),
            Property::always("never run twice", |_, world: &World| world.runs <= 1),
            Property::always("never two that take entries", |_, world: &World| {
                let takes = |s: &Store| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
                !(takes(&world.stores[0]) && takes(&world.stores[1]))
            }),
            Property::always("nothing acknowledged is lost", |_, world: &World| {
                let has = |s: &Store| s.0.entries().iter().any(|entry| entry.key == KEY);
                match world.change.step {
                    Step::Done => !world.acknowledged || has(&world.stores[1]),
                    Step::Abandoned => !world.acknowledged || has(&world.stores[0]),
                    _ => true,
                }
            }),
            Property::always("what ends, ends with one open holder", |_, world: &World| {
                let open = |s: &Store| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
                match world.change.step {
                    Step::Done => open(&world.stores[1]),
                    Step::Abandoned => open(&world.stores[0]) && !world.committed,
                    _ => true,
                }
            }),
            Property::sometimes("it gets done", |_, world: &World| world.change.step == Step::Done),
            Property::sometimes("it goes back", |_, world: &World| world.change.step == Step::Abandoned),
            Property::sometimes("an entry meets the fence and runs after it", |_, world: &World| {
                world.sent == 2 && world.acknowledged
            }),
        ]
    }
}

#[test]
fn a_move_holds_its_promises_in_every_order_of_events() {
    let checker = Move { fenceless: false }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn without_the_fence_the_same_exploration_finds_a_fault() {
    let checker = Move { fenceless: true }.checker().threads(4).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(found.contains_key("nothing acknowledged is lost"), "{:?}", found.keys());
}
