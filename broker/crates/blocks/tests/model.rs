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
struct ModelState {
    change: Change,
    /// Step recorded in the log.
    logged: Step,
    committed: bool,
    stores: [ModelStore; 2],
    messages: std::collections::BTreeSet<Message>,
    /// Number of attempts to send the entry. The fields after it hold the outcome of the last attempt.
    entry_attempts: u8,
    awaiting_entry_reply: bool,
    may_have_run: bool,
    acknowledged: bool,
    executions: u8,
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
    fn apply_input(&self, state: &mut ModelState, input: Input, now: u64) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let effects = state.change.handle(now, input, &timeouts());
            let step = state.change.step;
            for effect in effects {
                match effect {
                    Effect::Record(step) => state.logged = step,
                    Effect::Order(store, _, epoch, order) => {
                        state.messages.insert(Message::Order(store.0 as usize, step, epoch, order));
                    }
                    Effect::Copy { start, .. } => drop(state.messages.insert(Message::Copy(step, start))),
                    Effect::Commit => {
                        state.committed = true;
                        inputs.push(Input::Committed);
                    }
                }
            }
        }
        if state.change.step.has_ended() {
            // The remaining messages belong to an ended change; only the entry is still processed.
            state.messages.retain(|message| {
                matches!(message, Message::Order(..) | Message::Entry(..) | Message::EntryReply(..))
            });
        }
    }

    fn deliver(&self, state: &mut ModelState, message: Message) {
        match message {
            Message::Order(store, step, epoch, order) => {
                let stamped = StampedOrder { term: Term(1), serial: 1, block: BLOCK, epoch, order };
                let reply = state.stores[store].0.carry_out(&stamped);
                state.messages.insert(Message::Reply(store, step, reply));
            }
            Message::Reply(store, step, reply) if state.change.step == step => {
                self.apply_input(state, Input::Reply(StoreId(store as u32), reply), 0);
            }
            Message::Copy(step, at) => {
                let (entries, next) = state.stores[0].0.read_section(SPAN, at, 1000);
                let length = state.stores[0].0.entries().len() as u64;
                let epoch = state.change.epoch;
                state.stores[1].0.apply_section(BLOCK, epoch, at, entries, next);
                let copied = state.stores[1].0.block(BLOCK).map_or(0, |held| held.copied);
                state.messages.insert(Message::Copied(step, copied, length));
            }
            Message::Copied(step, copied, length) if state.change.step == step => {
                self.apply_input(state, Input::Copied { copied, length }, 0);
            }
            Message::Entry(store, epoch) => {
                let verdict = state.stores[store].0.admission(BLOCK, epoch, Some(KEY));
                let good = match verdict {
                    Admission::Execute(_) => {
                        let entry = Entry { key: KEY.into(), weigher: 3, value: vec![1] };
                        state.executions += u8::from(state.stores[store].0.append(entry));
                        true
                    }
                    Admission::Duplicate(_) => true,
                    Admission::Reject(_) => false,
                };
                state.messages.insert(Message::EntryReply(store, good));
            }
            Message::EntryReply(_, good) if state.awaiting_entry_reply => {
                state.awaiting_entry_reply = false;
                state.acknowledged |= good;
                state.may_have_run |= good;
            }
            _ => {}
        }
    }
}

impl Model for Move {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
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
        let mut state = ModelState {
            logged: change.step,
            change,
            committed: false,
            stores,
            messages: Default::default(),
            entry_attempts: 0,
            awaiting_entry_reply: false,
            may_have_run: false,
            acknowledged: false,
            executions: 0,
            crashes: 0,
            losses: 0,
            abandon_requests: 0,
        };
        self.apply_input(&mut state, Input::Resume, 0);
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for message in &state.messages {
            actions.push(Action::Deliver(message.clone(), false));
            // Orders may be delivered twice. The request for an entry uses one connection, so it cannot.
            if matches!(message, Message::Order(..)) && state.losses < 2 {
                actions.push(Action::Deliver(message.clone(), true));
            }
            if state.losses < 2 {
                actions.push(Action::Lose(message.clone()));
            }
        }
        if state.crashes == 0 {
            actions.push(Action::Crash);
        }
        if state.abandon_requests == 0 && !state.change.step.has_ended() {
            actions.push(Action::Abandon);
        }
        // An order is repeated once no message of its step is in transit.
        let step = state.change.step;
        let in_transit = |message: &Message| match message {
            Message::Order(_, message_step, ..)
            | Message::Reply(_, message_step, _)
            | Message::Copy(message_step, _)
            | Message::Copied(message_step, ..) => *message_step == step,
            Message::Entry(..) | Message::EntryReply(..) => false,
        };
        if !step.has_ended() && !state.messages.iter().any(in_transit) {
            actions.push(Action::Repeat);
        }
        if !state.awaiting_entry_reply && !state.may_have_run && state.entry_attempts < 2 {
            actions.push(Action::Send(usize::from(state.committed)));
        }
    }

    fn next_state(&self, previous: &ModelState, act: Action) -> Option<ModelState> {
        let mut state = previous.clone();
        match act {
            Action::Deliver(message, keep) => {
                if keep {
                    state.losses += 1;
                } else {
                    state.messages.remove(&message);
                }
                self.deliver(&mut state, message);
            }
            Action::Lose(message) => {
                state.losses += 1;
                state.messages.remove(&message);
                if matches!(message, Message::Entry(..) | Message::EntryReply(..)) {
                    // The request timed out: the entry may have been executed, and is never sent again.
                    (state.awaiting_entry_reply, state.may_have_run) = (false, true);
                }
            }
            Action::Crash => {
                state.crashes += 1;
                // The durable state is the initial change, and the step in the log.
                state.change = initial_change();
                state.change.restore_step(state.logged);
                self.apply_input(&mut state, Input::Resume, 0);
            }
            Action::Abandon => {
                state.abandon_requests += 1;
                self.apply_input(&mut state, Input::Abandon, 0);
            }
            // Repeats a lost order.
            Action::Repeat => self.apply_input(&mut state, Input::Resume, 0),
            Action::Send(store) => {
                (state.entry_attempts, state.awaiting_entry_reply) = (state.entry_attempts + 1, true);
                let epoch = if state.committed { state.change.epoch } else { Epoch::from_parts(Term(1), 1) };
                state.messages.insert(Message::Entry(store, epoch));
            }
        }
        // Replies to an earlier step are dropped by the caller of the state machine.
        let step = state.change.step;
        state.messages.retain(|message| match message {
            Message::Reply(_, message_step, _) | Message::Copied(message_step, ..) => *message_step == step,
            _ => true,
        });
        (state != *previous).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("some store accepts reads at any time", |_, state: &ModelState| {
                // The store that the map names accepts reads.
                let now = usize::from(state.committed);
                let source_still = !matches!(
                    state.stores[0].0.admission(BLOCK, Epoch(u64::MAX), None),
                    Admission::Reject(_)
                );
                let named = !matches!(
                    state.stores[now].0.admission(BLOCK, Epoch(u64::MAX), None),
                    Admission::Reject(_)
                );
                named || (source_still && state.committed)
            }),
            Property::always("no entry is executed twice", |_, state: &ModelState| state.executions <= 1),
            Property::always("at most one store accepts entries", |_, state: &ModelState| {
                let accepts_entries =
                    |s: &ModelStore| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
                !(accepts_entries(&state.stores[0]) && accepts_entries(&state.stores[1]))
            }),
            Property::always("no acknowledged entry is lost", |_, state: &ModelState| {
                let has = |s: &ModelStore| s.0.entries().iter().any(|entry| entry.key == KEY);
                match state.change.step {
                    Step::Done => !state.acknowledged || has(&state.stores[1]),
                    Step::Abandoned => !state.acknowledged || has(&state.stores[0]),
                    _ => true,
                }
            }),
            Property::always("an ended change leaves one open holder", |_, state: &ModelState| {
                let open = |s: &ModelStore| s.0.block(BLOCK).is_some_and(|held| held.mode == Mode::Open);
                match state.change.step {
                    Step::Done => open(&state.stores[1]),
                    Step::Abandoned => open(&state.stores[0]) && !state.committed,
                    _ => true,
                }
            }),
            Property::sometimes("the change can complete", |_, state: &ModelState| {
                state.change.step == Step::Done
            }),
            Property::sometimes("the change can be rolled back", |_, state: &ModelState| {
                state.change.step == Step::Abandoned
            }),
            Property::sometimes(
                "an entry rejected by the fence is executed later",
                |_, state: &ModelState| state.entry_attempts == 2 && state.acknowledged,
            ),
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
    assert!(found.contains_key("no acknowledged entry is lost"), "{:?}", found.keys());
}
