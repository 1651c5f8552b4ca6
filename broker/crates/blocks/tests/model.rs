//! Exhaustive exploration of a move with a coordinator, two stores, one entry in progress, lost, repeated and
//! reordered messages, and one crash of the coordinator. Without the fence the same exploration must find a
//! fault.

#![allow(clippy::unwrap_used)]

mod model_store;

use gingerledge_blocks::{
    Admission, BlockId, Change, ChangeId, ChangeKind, Effect, Entry, Epoch, Holdings, Input, Mode, Order,
    OrderOutcome, Refusal, Span, StampedOrder, Step, StoreId, Term, Timeouts,
};
use model_store::ModelStore;
use stateright::{Checker, Model, Property};

const BLOCK: BlockId = BlockId(1);
const SPAN: Span = Span { first: 0, end: 10 };
const KEY: &str = "q1.1";

/// Messages in transit. They are a set, so that messages are reordered; delivering one may keep it in the set,
/// so that it is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Order(usize, Step, Epoch, Order),
    Reply(usize, Step, Result<OrderOutcome, Refusal>),
    Copy(Step, u64),
    Copied(Step, u64, u64),
    Entry(usize, Epoch),
    EntryReply(usize, bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    change: Change,
    /// Step recorded in the log.
    logged: Step,
    committed: bool,
    stores: [ModelStore; 2],
    messages: std::collections::BTreeSet<Message>,
    /// Number of attempts to send the entry. The fields after it hold the outcome of the last attempt.
    sent: u8,
    awaiting_entry_reply: bool,
    may_have_run: bool,
    acknowledged: bool,
    runs: u8,
    crashes: u8,
    losses: u8,
    abandon_requests: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Deliver(Message, bool),
    Lose(Message),
    Crash,
    Abandon,
    Repeat,
    Send(usize),
}

struct Move {
    is_fence_disabled: bool,
}

fn timeouts() -> Timeouts {
    Timeouts { retry_initial_ms: 1, retry_max_ms: 1, step_timeout_ms: 100, max_lag_entries: 0 }
}

fn initial_change() -> Change {
    let kind = ChangeKind::Move { from: StoreId(0), to: StoreId(1) };
    let (epoch, rollback_epoch) = (Epoch::from_parts(Term(1), 2), Epoch::from_parts(Term(1), 3));
    Change::new(ChangeId(1), BLOCK, SPAN, kind, epoch, rollback_epoch)
}

impl Move {
    fn apply_input(&self, world: &mut World, input: Input, now: u64) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let effects = world.change.handle(now, input, &timeouts());
            let step = world.change.step;
            for effect in effects {
                match effect {
                    Effect::Record(step) => world.logged = step,
                    Effect::Order(store, _, epoch, order) => {
                        world.messages.insert(Message::Order(store.0 as usize, step, epoch, order));
                    }
                    Effect::Copy { start, .. } => drop(world.messages.insert(Message::Copy(step, start))),
                    Effect::Commit => {
                        world.committed = true;
                        inputs.push(Input::Committed);
                    }
                }
            }
        }
        if world.change.step.has_ended() {
            // The remaining messages belong to an ended change; only the entry is still processed.
            world.messages.retain(|message| {
                matches!(message, Message::Order(..) | Message::Entry(..) | Message::EntryReply(..))
            });
        }
    }

    fn deliver(&self, world: &mut World, message: Message) {
        match message {
            Message::Order(store, step, epoch, order) => {
                let stamped = StampedOrder { term: Term(1), serial: 1, block: BLOCK, epoch, order };
                let reply = world.stores[store].0.carry_out(&stamped);
                world.messages.insert(Message::Reply(store, step, reply));
            }
            Message::Reply(store, step, reply) if world.change.step == step => {
                self.apply_input(world, Input::Reply(StoreId(store as u32), reply), 0);
            }
            Message::Copy(step, at) => {
                let (entries, next) = world.stores[0].0.read_section(SPAN, at, 1000);
                let length = world.stores[0].0.entries().len() as u64;
                let epoch = world.change.epoch;
                world.stores[1].0.apply_section(BLOCK, epoch, at, entries, next);
                let copied = world.stores[1].0.block(BLOCK).map_or(0, |held| held.copied);
                world.messages.insert(Message::Copied(step, copied, length));
            }
            Message::Copied(step, copied, length) if world.change.step == step => {
                self.apply_input(world, Input::Copied { copied, length }, 0);
            }
            Message::Entry(store, epoch) => {
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
                world.messages.insert(Message::EntryReply(store, good));
            }
            Message::EntryReply(_, good) if world.awaiting_entry_reply => {
                world.awaiting_entry_reply = false;
                world.acknowledged |= good;
                world.may_have_run |= good;
            }
            _ => {}
        }
    }
}

impl Model for Move {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let new = if self.is_fence_disabled { Holdings::without_fence } else { Holdings::new };
        let mut stores = [ModelStore(new(4)), ModelStore(new(4))];
        let found = Order::Create { span: SPAN };
        let stamped = StampedOrder {
            term: Term(1),
            serial: 1,
            block: BLOCK,
            epoch: Epoch::from_parts(Term(1), 1),
            order: found,
        };
        stores[0].0.carry_out(&stamped).unwrap();
        stores[0].0.append(Entry { key: "old".into(), weigher: 1, value: vec![0] });
        let change = initial_change();
        let mut world = World {
            logged: change.step,
            change,
            committed: false,
            stores,
            messages: Default::default(),
            sent: 0,
            awaiting_entry_reply: false,
            may_have_run: false,
            acknowledged: false,
            runs: 0,
            crashes: 0,
            losses: 0,
            abandon_requests: 0,
        };
        self.apply_input(&mut world, Input::Resume, 0);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for message in &world.messages {
            actions.push(Action::Deliver(message.clone(), false));
            // Orders may be delivered twice. The request for an entry uses one connection, so it cannot.
            if matches!(message, Message::Order(..)) && world.losses < 2 {
                actions.push(Action::Deliver(message.clone(), true));
            }
            if world.losses < 2 {
                actions.push(Action::Lose(message.clone()));
            }
        }
        if world.crashes == 0 {
            actions.push(Action::Crash);
        }
        if world.abandon_requests == 0 && !world.change.step.has_ended() {
            actions.push(Action::Abandon);
        }
        // An order is repeated once no message of its step is in transit.
        let step = world.change.step;
        let in_transit = |message: &Message| match message {
            Message::Order(_, message_step, ..)
            | Message::Reply(_, message_step, _)
            | Message::Copy(message_step, _)
            | Message::Copied(message_step, ..) => *message_step == step,
            Message::Entry(..) | Message::EntryReply(..) => false,
        };
        if !step.has_ended() && !world.messages.iter().any(in_transit) {
            actions.push(Action::Repeat);
        }
        if !world.awaiting_entry_reply && !world.may_have_run && world.sent < 2 {
            actions.push(Action::Send(usize::from(world.committed)));
        }
    }

    fn next_state(&self, previous: &World, act: Action) -> Option<World> {
        let mut world = previous.clone();
        match act {
            Action::Deliver(message, keep) => {
                if keep {
                    world.losses += 1;
                } else {
                    world.messages.remove(&message);
                }
                self.deliver(&mut world, message);
            }
            Action::Lose(message) => {
                world.losses += 1;
                world.messages.remove(&message);
                if matches!(message, Message::Entry(..) | Message::EntryReply(..)) {
                    // The request timed out: the entry may have been executed, and is never sent again.
                    (world.awaiting_entry_reply, world.may_have_run) = (false, true);
                }
            }
            Action::Crash => {
                world.crashes += 1;
                // The durable state is the initial change, and the step in the log.
                world.change = initial_change();
                world.change.restore_step(world.logged);
                self.apply_input(&mut world, Input::Resume, 0);
            }
            Action::Abandon => {
                world.abandon_requests += 1;
                self.apply_input(&mut world, Input::Abandon, 0);
            }
            // Repeats a lost order.
            Action::Repeat => self.apply_input(&mut world, Input::Resume, 0),
            Action::Send(store) => {
                (world.sent, world.awaiting_entry_reply) = (world.sent + 1, true);
                let epoch = if world.committed { world.change.epoch } else { Epoch::from_parts(Term(1), 1) };
                world.messages.insert(Message::Entry(store, epoch));
            }
        }
        // Replies to an earlier step are dropped by the caller of the state machine.
        let step = world.change.step;
        world.messages.retain(|message| match message {
            Message::Reply(_, message_step, _) | Message::Copied(message_step, ..) => *message_step == step,
            _ => true,
        });
        (world != *previous).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never held by nobody", |_, world: &World| {
                // The store that the map names accepts reads.
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
                let accepts_entries =
                    |s: &ModelStore| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
                !(accepts_entries(&world.stores[0]) && accepts_entries(&world.stores[1]))
            }),
            Property::always("nothing acknowledged is lost", |_, world: &World| {
                let has = |s: &ModelStore| s.0.entries().iter().any(|entry| entry.key == KEY);
                match world.change.step {
                    Step::Done => !world.acknowledged || has(&world.stores[1]),
                    Step::Abandoned => !world.acknowledged || has(&world.stores[0]),
                    _ => true,
                }
            }),
            Property::always("what ends, ends with one open holder", |_, world: &World| {
                let open = |s: &ModelStore| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
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
fn a_move_keeps_its_invariants_in_every_order_of_events() {
    let checker = Move { is_fence_disabled: false }.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}

#[test]
fn without_the_fence_the_same_exploration_finds_a_fault() {
    let checker = Move { is_fence_disabled: true }.checker().threads(4).spawn_bfs().join();
    let found = checker.discoveries();
    assert!(found.contains_key("nothing acknowledged is lost"), "{:?}", found.keys());
}
