//! The record and its followers, explored: three voters that lag behind one log, two brokers that propose from what a voter last
//! told them and follow whichever answers, over loss, repetition, restarts, a store that dies, one window, one map, three zones.

mod fleet;

use fleet::*;
use gingerledge_common::*;
use stateright::{Checker, Model, Property};

/// Commands in the log beyond those that set the fleet up.
const LOG_MOST: usize = 5;
const UNDER_WAY: usize = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Broker {
    /// What it kept, and whether it has heard of the record since it started.
    kept: View,
    heard: bool,
    /// The newest version that it ever acted under.
    acted: Version,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    log: Vec<Command>,
    /// How far each voter has applied it.
    applied: [usize; 3],
    under_way: Vec<Command>,
    brokers: [Broker; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum What {
    Book,
    Begin,
    End,
    Map,
    Away,
    Back,
    Dies,
    Returns,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// Somebody proposes what the record would take, as one voter has it.
    Propose(usize, What),
    Commit(usize),
    /// It comes a second time: whoever asked heard no answer.
    Repeat(usize),
    Lose(usize),
    Apply(usize),
    Offer(usize, usize),
    Restart(usize),
}

struct Fleet;

fn record(log: &[Command]) -> Record {
    let mut record = three();
    for (n, command) in log.iter().enumerate() {
        record.apply(3 + n as u64, command);
    }
    record
}

fn proposal(record: &Record, what: What) -> Option<Command> {
    let at = record.version();
    let id = record.bookings().next().map(|(id, ..)| id);
    let b = |state| Command::Sites { sites: vec![site("b", "B", "near", 10_000, state)] };
    let zone = |name: &str, permille, follows| Command::Shares {
        at,
        zone: name.into(),
        permille,
        follows,
        again: false,
    };
    let moved = record.zone("A")?.moved;
    Some(match what {
        What::Book => Command::Book { at, plan: plan(&["a"], 100, 50, least(1, 1)) },
        What::Begin => Command::Begin { at, id: id? },
        What::End => Command::End { id: id? },
        // From now on the first block is at a and c, or at a alone.
        What::Map => {
            let holders: &[&str] = if record.map().0 == 1 { &["a", "c"] } else { &["a"] };
            let held = vec![held(0, 0, 10, holders, 2000)];
            Command::Map { at, from: record.map().0, to: record.map().0 + 1, hash: 8, held, gone: vec![] }
        }
        What::Away => zone("A", 0, moved),
        What::Back => zone("A", 1000, moved),
        What::Dies => b(StateFact::Gone),
        What::Returns => b(StateFact::Listed),
    })
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let kept = View::default();
        let broker = Broker { kept, heard: false, acted: Version(0), went_back: false };
        let empty =
            State { log: vec![], applied: [0; 3], under_way: vec![], brokers: [broker.clone(), broker] };
        // Also with a window booked, so that its beginning and end lie within the depth.
        let book = proposal(&three(), What::Book).into_iter().collect();
        vec![State { log: book, applied: [1; 3], ..empty.clone() }, empty]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Act>) {
        use What::*;
        for voter in 0..3 {
            // Proposers ask the first two, followers the last two: voters differ in nothing but how far they are.
            for what in [Book, Begin, End, Map, Away, Back, Dies, Returns] {
                if voter < 2
                    && state.under_way.len() < UNDER_WAY
                    && state.log.len() + state.under_way.len() < LOG_MOST
                {
                    actions.push(Act::Propose(voter, what));
                }
            }
            if state.applied[voter] < state.log.len() {
                actions.push(Act::Apply(voter));
            }
            (0..2).filter(|_| voter > 0).for_each(|broker| actions.push(Act::Offer(broker, voter)));
        }
        for n in 0..state.under_way.len() {
            actions.push(Act::Commit(n));
            actions.push(Act::Lose(n));
            if state.log.len() + 1 < LOG_MOST {
                actions.push(Act::Repeat(n));
            }
        }
        (0..2).for_each(|broker| actions.push(Act::Restart(broker)));
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        match act {
            Act::Propose(voter, what) => {
                let seen = record(&state.log[..state.applied[voter]]);
                let command = proposal(&seen, what)?;
                if state.under_way.contains(&command) || !matches!(seen.would(&command), Answer::Taken { .. })
                {
                    return None;
                }
                state.under_way.push(command);
                state.under_way.sort_by_key(|command| format!("{command:?}"));
            }
            Act::Commit(n) => {
                let command = state.under_way.remove(n);
                state.log.push(command);
            }
            Act::Repeat(n) => state.log.push(state.under_way[n].clone()),
            Act::Lose(n) => drop(state.under_way.remove(n)),
            Act::Apply(voter) => state.applied[voter] += 1,
            Act::Offer(n, voter) => {
                let view = record(&state.log[..state.applied[voter]]).view();
                let broker = &mut state.brokers[n];
                let mut follower = Follower::new(Some(&encode(&broker.kept)), 1.0);
                if matches!(follower.offer(0.0, &view), Offered::Newer | Offered::Same) {
                    follower.kept();
                    broker.heard = true;
                }
                broker.kept = follower.view().clone();
                if broker.heard {
                    broker.went_back |= broker.kept.version < broker.acted;
                    broker.acted = broker.kept.version;
                }
            }
            Act::Restart(n) => state.brokers[n].heard = false,
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no range is left short by what was decided", |_, state: &State| {
                let record = record(&state.log);
                let (facts, windows) = (sound(&record, false), sound(&record, true));
                windows.iter().all(|(block, (holders, _))| *holders >= 1 || facts[block].0 == 0)
            }),
            Property::always("no window goes on that takes away the last but one", |_, state: &State| {
                let record = record(&state.log);
                // A window begins only with all ranges above their least, and is called back when one falls to it; so it never is
                // in force beside a dead holder of what it weakens.
                record.view().out.is_empty()
                    || sound(&record, true).values().all(|(holders, _)| *holders >= 1)
            }),
            Property::always("nobody goes back", |_, state: &State| {
                state.brokers.iter().all(|broker| !broker.went_back)
            }),
            Property::always("equal versions are equal views", |_, state: &State| {
                let views: Vec<View> =
                    (0..3).map(|voter| record(&state.log[..state.applied[voter]]).view()).collect();
                views.iter().all(|one| views.iter().all(|two| one.version != two.version || one == two))
            }),
            Property::sometimes("a window meets another decision", |_, state: &State| {
                let mut record = three();
                state.log.iter().enumerate().any(|(n, command)| {
                    let answer = record.apply(3 + n as u64, command);
                    matches!(answer, Answer::Refused { why: Refusal::Uncovered { .. }, .. })
                })
            }),
            Property::sometimes("a window is called back", |_, state: &State| {
                let mut record = three();
                state.log.iter().enumerate().any(|(n, command)| match record.apply(3 + n as u64, command) {
                    Answer::Taken { notes, .. } => notes.iter().any(|n| matches!(n, Note::CalledBack { .. })),
                    _ => false,
                })
            }),
        ]
    }
}

#[test]
fn every_order_of_five_decisions_keeps_every_range() {
    let depth = std::env::var("DEPTH").ok().and_then(|n| n.parse().ok()).unwrap_or(7);
    let checker = Fleet.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}
