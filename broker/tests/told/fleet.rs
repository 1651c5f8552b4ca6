//! A fleet in virtual time: each broker is the machine beside the module, and discovery works through calls in turn and
//! fails as it is told to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use gingerledge::discovery::watching::{Action, Call, CallTimeouts, Event, Watching, UPDATE_DEADLINE};
use gingerledge_dispatch::{Action as Decides, Aggregator, Event as Happens, ListKind, Settings};

/// All times are in microseconds.
pub type Micros = u64;
pub const MS: Micros = 1000;
pub const S: Micros = 1_000_000;
/// Stated in front of the machine, and held here apart from it.
const MARGIN: Micros = 400 * MS;
/// Discovery works on one call for so long, and one that would wait longer than that is refused.
const WORK: Micros = 5 * MS;
const QUEUE: Micros = 2 * S;

/// How discovery treats what comes in a phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
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
    /// Each step comes late, and after the head nothing.
    Drags,
    /// An answer begins, and its list can't be read or is cut short.
    Spoils,
}

pub const FAULTS: [Mood; 8] = [
    Mood::Drags,
    Mood::Unconnected,
    Mood::Unanswered,
    Mood::Half,
    Mood::Refuses,
    Mood::Resets,
    Mood::Busy,
    Mood::Spoils,
];

/// What becomes of what is open when a phase begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Open {
    /// It says nothing more, for good.
    Silent,
    /// It is reset at once.
    Reset,
}

#[derive(Clone, Copy, Debug)]
pub struct Phase {
    pub from: Micros,
    pub mood: Mood,
    pub open: Open,
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
pub struct Play {
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
        requires_subscription: true,
        aggregators: brokers,
        index: Some(index),
        list_refresh_ms: 10_000.0,
        turn_ms: 5.0,
        ..Settings::default()
    }
}

impl Play {
    pub fn new(seed: u64, brokers: u32, phases: Vec<Phase>, changes: Vec<Micros>) -> Self {
        let base = Instant::now();
        let broker = |index| Broker {
            machine: Watching::new(CallTimeouts::from_settings(&settings(brokers, index)), base),
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
                Decides::Subscribe => self.handle(n, Event::WatchRequested),
                _ => {}
            }
        }
    }

    fn handle(&mut self, n: usize, event: Event) {
        let now = self.base + Duration::from_micros(self.now);
        if event == Event::CallEnded {
            self.brokers[n].out = None;
        }
        for action in self.brokers[n].machine.handle(event, now) {
            match action {
                Action::DropCall => self.brokers[n].out = None,
                Action::ReportFailure => {
                    self.turn(n, Some(Happens::ServerList { kind: ListKind::Failed, entries: vec![] }))
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
                        Mood::Drags => self.net(self.now + 950 * MS, n, Step::Connected),
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
                    Mood::Drags => self.net(self.now + 2400 * MS, n, Step::Answered),
                    Mood::Resets => self.net(at, n, Step::Ended),
                    Mood::Busy => {
                        let at = self.now + self.rng.u64(MS..QUEUE);
                        self.net(at, n, Step::Ended);
                    }
                    _ => {}
                }
            }
            Step::Answered => {
                self.handle(n, Event::HeadReceived);
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
                    self.handle(n, Event::NewerListReceived);
                }
                if news || watch {
                    let whole = Happens::ServerList { kind: ListKind::Complete, entries: vec![] };
                    self.turn(n, Some(whole));
                }
                self.handle(n, Event::CompleteReceived);
                if !watch {
                    self.step(n, Step::Ended);
                    return;
                }
                let beat = self.now + self.rng.u64(2 * S..=2 * S + 500 * MS);
                let next = self.changes.get(self.changed(self.now)).copied().unwrap_or(Micros::MAX);
                let at = beat.min(next.saturating_add(10 * MS));
                self.net(at, n, Step::Tells(self.changed(at)));
            }
            Step::Ended => self.handle(n, Event::CallEnded),
        }
    }

    /// All are told at once that discovery is at another address.
    pub fn moved(&mut self) {
        for n in 0..self.brokers.len() {
            self.handle(n, Event::AddressChanged);
        }
    }

    /// Plays until then.
    pub fn run(&mut self, until: Micros) {
        self.play(until);
        self.now = until;
    }

    fn play(&mut self, until: Micros) {
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
                        self.handle(n, Event::TimeoutElapsed);
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
                                self.handle(n, Event::CallEnded);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Every change that discovery had while it could be reached for 6 s is in hand by then, at every broker.
    pub fn told_in_time(&self, what: &str) {
        let within = UPDATE_DEADLINE.as_micros() as Micros - MARGIN;
        for (n, phase) in self.phases.iter().enumerate().filter(|(_, phase)| phase.mood == Mood::Serves) {
            let end = self.phases.get(n + 1).map_or(self.now, |next| next.from);
            // What was made before counts from the moment at which it could be reached.
            let mut from: Vec<Micros> = self.changes.iter().map(|at| (*at).max(phase.from)).collect();
            from.dedup_by_key(|at| *at);
            for at in from.into_iter().filter(|at| at + UPDATE_DEADLINE.as_micros() as Micros <= end) {
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
    pub fn calls(&self, from: Micros, to: Micros) -> (usize, usize) {
        let all = self.brokers.iter().flat_map(|broker| &broker.calls);
        let mut all: Vec<Micros> = all.copied().filter(|at| (from..to).contains(at)).collect();
        all.sort_unstable();
        let most = (0..all.len()).map(|n| all.partition_point(|at| *at < all[n] + S) - n).max();
        (most.unwrap_or(0), all.len())
    }
}
