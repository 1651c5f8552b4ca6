//! The promise of `discovery/watching.rs`: whatever became of the calls before, what discovery has while it can be reached
//! is in hand 6 s later, less a margin; and the calls of a whole fleet stay as few as that lets them. In virtual time over
//! drawn failures and 1 to 300 brokers, each the machine beside the module; discovery works through calls in turn.
#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use gingerledge::discovery::watching::{Action, Call, Event, Waits, Watching, TOLD_AFTER};
use stoatlane::{Action as Decides, Aggregator, Event as Happens, ListKind, Settings};

/// All times are in microseconds.
type Micros = u64;
const MS: Micros = 1000;
const S: Micros = 1_000_000;
/// Stated in front of the machine, and held here apart from it.
const MARGIN: Micros = 400 * MS;
/// Discovery works on one call for so long, and one that would wait longer than that is refused.
const WORK: Micros = 5 * MS;
const QUEUE: Micros = 2 * S;

/// How discovery treats what comes in a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Serves,
    /// Connections never come up.
    Unconnected,
    /// Connections come up, and nothing is answered.
    Unanswered,
    /// The head of an answer comes, and nothing behind it.
    Half,
    Refuses,
    Resets,
    /// 503, after a while in the queue.
    Busy,
    /// An answer begins, and its list can't be read or is cut short.
    Spoils,
}

const FAULTS: [Mood; 7] =
    [Mood::Unconnected, Mood::Unanswered, Mood::Half, Mood::Refuses, Mood::Resets, Mood::Busy, Mood::Spoils];

/// What becomes of what is open when a phase begins.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Open {
    /// It says nothing more, for good.
    Silent,
    /// It is reset at once.
    Reset,
}

#[derive(Clone, Copy, Debug)]
struct Phase {
    from: Micros,
    mood: Mood,
    open: Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// Of call so and so, in this phase, this step.
    Net(u32, usize, Step),
    Due,
    Timer,
    Phase(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Connected,
    Answered,
    /// A list that has all up to this change, or that nothing changed.
    Tells(usize),
    Ended,
}

struct Broker {
    machine: Watching,
    module: Aggregator,
    timer: Option<Micros>,
    /// The number of the call that is out, and what it is for.
    out: Option<Call>,
    number: u32,
    calls: Vec<Micros>,
    /// When it had which changes.
    has: Vec<(Micros, usize)>,
}

/// A fleet, and what discovery does.
struct Play {
    rng: Rng,
    base: Instant,
    now: Micros,
    brokers: Vec<Broker>,
    phases: Vec<Phase>,
    phase: usize,
    changes: Vec<Micros>,
    /// Discovery works on calls until then.
    busy: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, usize, What)>>,
    number: u64,
}

fn settings(brokers: u32, index: u32) -> Settings {
    Settings {
        subscribe: true,
        aggregators: brokers,
        index: Some(index),
        ask_every_ms: 10_000.0,
        turn_ms: 5.0,
        ..Settings::default()
    }
}

impl Play {
    fn new(seed: u64, brokers: u32, phases: Vec<Phase>, changes: Vec<Micros>) -> Self {
        let base = Instant::now();
        let broker = |index| Broker {
            machine: Watching::new(Waits::of(&settings(brokers, index)), base),
            module: Aggregator::new(seed * 1000 + u64::from(index), settings(brokers, index), 0.0),
            timer: None,
            out: None,
            number: 0,
            calls: Vec::new(),
            has: vec![(0, 0)],
        };
        let mut play = Self {
            rng: Rng::with_seed(seed),
            base,
            now: 0,
            brokers: (0..brokers).map(broker).collect(),
            phases,
            phase: 0,
            changes,
            busy: 0,
            events: BinaryHeap::new(),
            number: 0,
        };
        for n in 1..play.phases.len() {
            play.at(play.phases[n].from, 0, What::Phase(n));
        }
        for n in 0..play.brokers.len() {
            play.turn(n, None);
        }
        play
    }

    fn at(&mut self, at: Micros, broker: usize, what: What) {
        self.number += 1;
        self.events.push(Reverse((at.max(self.now), self.number, broker, what)));
    }

    fn soon(&mut self) -> Micros {
        self.now + self.rng.u64(MS..5 * MS)
    }

    /// A turn of the module.
    fn turn(&mut self, n: usize, event: Option<Happens>) {
        let now = self.now as f64 / 1000.0;
        let (mut actions, broker) = (Vec::new(), &mut self.brokers[n]);
        if let Some(event) = event {
            broker.module.handle(now, event, &mut actions);
        }
        broker.module.end_turn(now, &mut actions);
        for action in actions {
            match action {
                Decides::Timer { wait_ms, .. } => {
                    let at = self.now + (wait_ms.max(0.0) * 1000.0) as Micros;
                    self.brokers[n].timer = Some(at);
                    self.at(at, n, What::Timer);
                }
                Decides::Subscribe => self.handle(n, Event::Wanted),
                _ => {}
            }
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = self.base + Duration::from_micros(self.now);
        if event == Event::Ended {
            self.brokers[n].out = None;
        }
        for action in self.brokers[n].machine.handle(event, now) {
            match action {
                Action::Leave => self.brokers[n].out = None,
                Action::Failed => {
                    self.turn(n, Some(Happens::List { kind: ListKind::Failed, entries: vec![] }))
                }
                Action::Call(call) => {
                    let broker = &mut self.brokers[n];
                    assert!(broker.out.is_none(), "one call at a time");
                    (broker.out, broker.number) = (Some(call), broker.number + 1);
                    broker.calls.push(self.now);
                    let at = self.soon();
                    match self.mood() {
                        Mood::Unconnected => {}
                        Mood::Refuses => self.net(at, n, Step::Ended),
                        _ => self.net(at, n, Step::Connected),
                    }
                }
            }
        }
        if let Some(due) = self.brokers[n].machine.due() {
            // Rounded up: one that came too early would change nothing.
            let due = due.saturating_duration_since(self.base).as_micros() as Micros + 1;
            self.at(due, n, What::Due);
        }
    }

    fn mood(&self) -> Mood {
        self.phases[self.phase].mood
    }

    fn net(&mut self, at: Micros, n: usize, step: Step) {
        let number = self.brokers[n].number;
        self.at(at, n, What::Net(number, self.phase, step));
    }

    fn changed(&self, by: Micros) -> usize {
        self.changes.partition_point(|at| *at <= by)
    }

    /// What came on the call that is out, and what discovery does next with it.
    fn step(&mut self, n: usize, step: Step) {
        let watch = self.brokers[n].out == Some(Call::Watch);
        match step {
            Step::Connected => {
                self.handle(n, Event::Connected);
                let at = self.soon();
                match self.mood() {
                    Mood::Serves if self.busy > self.now + QUEUE => {
                        self.net(self.now + QUEUE, n, Step::Ended)
                    }
                    Mood::Serves => {
                        self.busy = self.busy.max(self.now) + WORK;
                        self.net(self.busy, n, Step::Answered);
                    }
                    Mood::Half | Mood::Spoils => self.net(at, n, Step::Answered),
                    Mood::Resets => self.net(at, n, Step::Ended),
                    Mood::Busy => {
                        let at = self.now + self.rng.u64(MS..QUEUE);
                        self.net(at, n, Step::Ended);
                    }
                    _ => {}
                }
            }
            Step::Answered => {
                self.handle(n, Event::Answered);
                let at = self.soon();
                match self.mood() {
                    Mood::Spoils => self.net(at, n, Step::Ended),
                    Mood::Serves => self.net(at, n, Step::Tells(self.changed(self.now))),
                    _ => {}
                }
            }
            Step::Tells(changes) => {
                let news = changes > self.brokers[n].has.last().unwrap().1;
                if news {
                    self.brokers[n].has.push((self.now, changes));
                    self.handle(n, Event::Told);
                }
                if news || watch {
                    let whole = Happens::List { kind: ListKind::Complete, entries: vec![] };
                    self.turn(n, Some(whole));
                }
                self.handle(n, Event::Heard);
                if !watch {
                    self.step(n, Step::Ended);
                    return;
                }
                let beat = self.now + self.rng.u64(2 * S..=2 * S + 500 * MS);
                let next = self.changes.get(self.changed(self.now)).copied().unwrap_or(Micros::MAX);
                let at = beat.min(next.saturating_add(10 * MS));
                self.net(at, n, Step::Tells(self.changed(at)));
            }
            Step::Ended => self.handle(n, Event::Ended),
        }
    }

    /// Plays until then.
    fn run(&mut self, until: Micros) {
        while let Some(Reverse((at, _, n, what))) = self.events.pop() {
            if at > until {
                break;
            }
            self.now = at;
            match what {
                What::Net(number, phase, step) => {
                    let broker = &self.brokers[n];
                    if broker.number == number && broker.out.is_some() && self.phase == phase {
                        self.step(n, step);
                    }
                }
                What::Due => {
                    let due = self.brokers[n].machine.due();
                    if due.is_some_and(|due| due <= self.base + Duration::from_micros(self.now)) {
                        self.handle(n, Event::Due);
                    }
                }
                What::Timer => {
                    if self.brokers[n].timer.take_if(|timer| *timer == at).is_some() {
                        self.turn(n, Some(Happens::Timer { token: 0 }));
                    }
                }
                What::Phase(phase) => {
                    (self.phase, self.busy) = (phase, self.now);
                    if self.phases[phase].open == Open::Reset {
                        for n in 0..self.brokers.len() {
                            if self.brokers[n].out.is_some() {
                                self.handle(n, Event::Ended);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Every change that discovery had while it could be reached for 6 s is in hand by then, at every broker.
    fn told_in_time(&self, what: &str) {
        let within = TOLD_AFTER.as_micros() as Micros - MARGIN;
        for (n, phase) in self.phases.iter().enumerate().filter(|(_, phase)| phase.mood == Mood::Serves) {
            let end = self.phases.get(n + 1).map_or(self.now, |next| next.from);
            // What was made before counts from the moment at which it could be reached.
            let mut from: Vec<Micros> = self.changes.iter().map(|at| (*at).max(phase.from)).collect();
            from.dedup_by_key(|at| *at);
            for at in from.into_iter().filter(|at| at + TOLD_AFTER.as_micros() as Micros <= end) {
                for (index, broker) in self.brokers.iter().enumerate() {
                    let (has, changes) = (&broker.has, self.changed(at));
                    let (got, _) = has.iter().find(|has| has.1 >= changes).copied().unwrap_or((end, 0));
                    assert!(
                        got <= at + within,
                        "{what}: broker {index} of {} had change {changes}, there and reachable at {} ms, {} ms later",
                        self.brokers.len(),
                        at / MS,
                        (got.max(at) - at) / MS
                    );
                }
            }
        }
    }

    /// The most calls of the fleet in any second between two times, and all of them.
    fn calls(&self, from: Micros, to: Micros) -> (usize, usize) {
        let all = self.brokers.iter().flat_map(|broker| &broker.calls);
        let mut all: Vec<Micros> = all.copied().filter(|at| (from..to).contains(at)).collect();
        all.sort_unstable();
        let most = (0..all.len()).map(|n| all.partition_point(|at| *at < all[n] + S) - n).max();
        (most.unwrap_or(0), all.len())
    }
}

/// Failures in any order, among them times at which discovery serves and what is open is reset or falls silent.
fn drawn(seed: u64) -> (u32, Vec<Phase>, Vec<Micros>, Micros) {
    let mut rng = Rng::with_seed(seed);
    let brokers = match rng.u8(..10) {
        0 => 300,
        1..5 => rng.u32(1..300),
        _ => rng.u32(1..12),
    };
    let (mut phases, mut changes, mut at) = (Vec::new(), Vec::new(), 0);
    for n in 0..rng.usize(4..30) {
        let mood = if rng.u8(..3) == 0 { Mood::Serves } else { FAULTS[rng.usize(..FAULTS.len())] };
        let open = if rng.bool() { Open::Silent } else { Open::Reset };
        phases.push(Phase { from: at, mood, open });
        // By the end of the first each has called once: before that none has failed.
        let longest = if rng.bool() { 3 * S } else { 20 * S };
        let lasts = if n == 0 { 8 * S } else { rng.u64(50 * MS..longest) };
        changes.extend((0..rng.usize(..4)).map(|_| at + rng.u64(..lasts)));
        at += lasts;
    }
    phases.push(Phase { from: at, mood: Mood::Serves, open: Open::Silent });
    changes.push(at.saturating_sub(1));
    changes.sort_unstable();
    changes.dedup();
    (brokers, phases, changes, at + 10 * S)
}

#[test]
fn after_any_sequence_of_failures_the_newest_list_is_in_hand_in_time() {
    for seed in 0..250 {
        let (brokers, phases, changes, end) = drawn(seed);
        let mut play = Play::new(seed, brokers, phases, changes);
        play.run(end);
        play.now = end;
        play.told_in_time(&format!("seed {seed}"));
    }
}

/// A watch that falls silent, a dial that hangs, a refusal, a reset, a list cut short, and so on: each but once a call.
#[test]
fn a_chain_in_which_each_call_fails_in_another_way_ends_in_time() {
    for seed in 0..40 {
        for brokers in [1, 7, 300] {
            let mut rng = Rng::with_seed(seed);
            let mut phases = vec![Phase { from: 0, mood: Mood::Serves, open: Open::Silent }];
            let mut at = 12 * S;
            for _ in 0..3 {
                let mut moods = FAULTS;
                rng.shuffle(&mut moods);
                for mood in moods {
                    phases.push(Phase { from: at, mood, open: Open::Silent });
                    at += rng.u64(S..5 * S);
                }
            }
            phases.push(Phase { from: at, mood: Mood::Serves, open: Open::Reset });
            let mut play = Play::new(seed, brokers, phases, vec![at - 1, at + S]);
            play.run(at + 10 * S);
            play.now = at + 10 * S;
            play.told_in_time(&format!("seed {seed}"));
        }
    }
}

#[test]
fn while_all_calls_fail_a_fleet_calls_evenly_and_as_seldom_as_the_promise_lets_it() {
    for mood in FAULTS {
        for brokers in [1, 3, 30, 100, 300] {
            for open in [Open::Reset, Open::Silent] {
                let phases = vec![
                    Phase { from: 0, mood: Mood::Serves, open },
                    Phase { from: 20 * S, mood, open },
                    Phase { from: 140 * S, mood: Mood::Serves, open },
                ];
                let mut play = Play::new(7, brokers, phases, vec![30 * S]);
                play.run(150 * S);
                play.now = 150 * S;
                let what = format!("{mood:?}, {brokers} brokers, {open:?}");
                play.told_in_time(&what);
                let standing = play.calls(12 * S, 20 * S).1;
                assert_eq!(standing, 0, "{what}: who has a watch calls nobody");
                // At first each calls three times within two periods, at the most once in any second.
                let (most, all) = play.calls(20 * S, 28 * S);
                assert!(most <= brokers as usize, "{what}: {most} in a second at first");
                assert!(all <= 3 * brokers as usize, "{what}: {all} at first");
                // Then once a period.
                let (most, all) = play.calls(40 * S, 140 * S);
                assert!(all <= 26 * brokers as usize, "{what}: {all} in 100 s");
                // Places in a period are no closer than 40 ms.
                let even = (brokers as usize).div_ceil(4).max(25.min(brokers as usize));
                assert!(most <= even + even / 2 + 1, "{what}: {most} in a second, {even} would be even");
                // And all come back within one.
                let (most, all) = play.calls(140 * S, 150 * S);
                assert!(all <= 2 * brokers as usize, "{what}: {all} at the return");
                assert!(most <= 3 * even + 1, "{what}: {most} in a second at the return");
            }
        }
    }
}
