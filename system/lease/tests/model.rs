//! Explores the lease exhaustively, to a depth, from states in which somebody holds it, asks for it, or has just lost it: every order of
//! deliveries, repetitions, restarts, releases and passing time. What runs is the machine itself ([`Lease`]).
//!
//! Clocks differ in rate by what the settings allow: the first process's runs slow, the last one's fast. `LEASE_DEPTH` sets the depth:
//!
//! ```sh
//! LEASE_DEPTH=8 cargo test --release -p gingerledge-lease --test model -- --nocapture
//! ```

use std::hash::{Hash, Hasher};
use std::time::Duration;

use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseMessage, LeaseSettings, VoterId};
use stateright::{Checker, Model, Property};

const TERM: Duration = Duration::from_millis(1_000);
/// Time passes in steps of this: a question stays open over one of them, and not over two.
const STEP: Duration = Duration::from_millis(120);
/// Time passes in steps of this before the exploration.
const SMALL_STEP: Duration = Duration::from_millis(10);
const PROCESSES: u64 = 3;
const DEFAULT_DEPTH: usize = 6;
/// By how much the slowest clock stays behind true time, and the fastest runs ahead, as a part of it: half of what is allowed.
const RATES: [f64; 3] = [0.9955, 1.0, 1.0045];

#[derive(Clone, Debug)]
struct Process {
    lease: Lease,
    started_at: Duration,
    lives: u64,
}

/// One step of the checker.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver { message: usize, stays: bool },
    Pass,
    Restart { place: usize },
    Release { place: usize },
}

/// All processes and the messages between them.
#[derive(Clone, Debug)]
struct Group {
    now: Duration,
    processes: Vec<Process>,
    network: Vec<(u64, u64, LeaseMessage)>,
    restarts: u8,
    releases: u8,
    repetitions: u8,
}

fn settings() -> LeaseSettings {
    LeaseSettings::new(TERM)
}

fn voter(place: usize) -> VoterId {
    VoterId(place as u64 + 1)
}

impl Group {
    /// Founders: nobody can have granted anything before.
    fn founded() -> Self {
        let processes = (0..PROCESSES as usize).map(|place| Process {
            lease: Lease::new(voter(place), settings(), place as u64 + 1),
            started_at: Duration::ZERO,
            lives: 0,
        });
        let processes = processes.collect();
        let (network, now) = (Vec::new(), Duration::from_secs(5));
        let mut group = Self { now, processes, network, restarts: 0, releases: 0, repetitions: 0 };
        for place in 0..PROCESSES as usize {
            group.begin(place, true);
        }
        group
    }

    fn begin(&mut self, place: usize, founding: bool) {
        let voters: Vec<VoterId> = (0..PROCESSES as usize).map(voter).collect();
        self.event(place, LeaseEvent::Started { founding });
        self.event(place, LeaseEvent::Voters { epoch: 1, voters: voters.clone() });
        self.event(place, LeaseEvent::Candidates { order: voters });
    }

    /// What a process's clock shows.
    fn clock(&self, place: usize) -> Duration {
        (self.now - self.processes[place].started_at).mul_f64(RATES[place])
    }

    fn event(&mut self, place: usize, event: LeaseEvent) {
        let now = self.clock(place);
        let mut out = Vec::new();
        self.processes[place].lease.handle(now, event, &mut out);
        for action in out {
            if let LeaseAction::Send { to, message } = action {
                let sent = (voter(place).0, to.0, message);
                if !self.network.contains(&sent) {
                    self.network.push(sent);
                }
            }
        }
    }

    fn deliver(&mut self, message: usize, stays: bool) {
        let (from, to, content) = match stays {
            true => self.network[message].clone(),
            false => self.network.remove(message),
        };
        self.event(to as usize - 1, LeaseEvent::Message { from: VoterId(from), message: content });
    }

    fn pass(&mut self, step: Duration) {
        self.now += step;
        for place in 0..self.processes.len() {
            if self.processes[place].lease.next_timer().is_some_and(|at| at <= self.clock(place)) {
                self.event(place, LeaseEvent::TimerExpired);
            }
        }
    }

    /// Time without faults, until somebody holds the lease.
    fn until_held(mut self) -> Self {
        for _ in 0..1_000 {
            if self.holders() == 1 {
                return self;
            }
            self.pass(SMALL_STEP);
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
        }
        panic!("nobody gets the lease");
    }

    fn restart(&mut self, place: usize) {
        let lives = self.processes[place].lives + 1;
        let lease = Lease::new(voter(place), settings(), lives * 10 + place as u64);
        self.processes[place] = Process { lease, started_at: self.now, lives };
        self.begin(place, false);
    }

    /// How long the holder may still act.
    fn time_left(&self) -> Duration {
        let left = (0..self.processes.len()).filter_map(|place| {
            let now = self.clock(place);
            self.processes[place].lease.held_until(now).map(|until| until - now)
        });
        left.max().unwrap_or_default()
    }

    fn holders(&self) -> usize {
        (0..self.processes.len())
            .filter(|&place| self.processes[place].lease.is_held(self.clock(place)))
            .count()
    }
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for Group {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

/// The beginnings from which every order is explored.
struct Exploration {
    beginnings: Vec<Group>,
}

impl Model for Exploration {
    type State = Group;
    type Action = Step;

    fn init_states(&self) -> Vec<Group> {
        self.beginnings.clone()
    }

    fn actions(&self, state: &Group, actions: &mut Vec<Step>) {
        for message in 0..state.network.len() {
            actions.push(Step::Deliver { message, stays: false });
            if state.repetitions > 0 {
                actions.push(Step::Deliver { message, stays: true });
            }
        }
        actions.push(Step::Pass);
        for place in 0..state.processes.len() {
            if state.restarts > 0 {
                actions.push(Step::Restart { place });
            }
            if state.releases > 0 {
                actions.push(Step::Release { place });
            }
        }
    }

    fn next_state(&self, state: &Group, step: Step) -> Option<Group> {
        let mut next = state.clone();
        match step {
            Step::Deliver { message, stays } => {
                next.repetitions -= u8::from(stays);
                next.deliver(message, stays);
            }
            Step::Pass => next.pass(STEP),
            Step::Restart { place } => {
                next.restarts -= 1;
                next.restart(place);
            }
            Step::Release { place } => {
                next.releases -= 1;
                next.event(place, LeaseEvent::Release);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("one holder at a time", |_, state: &Group| state.holders() <= 1)]
    }
}

fn beginnings() -> Vec<Group> {
    let held = Group::founded().until_held();
    // The holder's renewal has just been sent, and nothing of it has arrived.
    let mut renewing = held.clone();
    while renewing.network.is_empty() {
        renewing.pass(SMALL_STEP);
    }
    // Nothing has arrived for so long that the lease has two steps left, or has just run out and the others ask.
    let mut nearly_over = held.clone();
    while nearly_over.time_left() > STEP * 2 {
        nearly_over.pass(SMALL_STEP);
        nearly_over.network.clear();
    }
    let mut over = nearly_over.clone();
    while over.network.is_empty() || over.holders() > 0 {
        over.network.clear();
        over.pass(SMALL_STEP);
    }
    let budget = |group: Group| Group { restarts: 2, releases: 1, repetitions: 1, ..group };
    [held, renewing, nearly_over, over].map(budget).into()
}

#[test]
fn nobody_else_holds_it_whatever_the_order() {
    let depth = std::env::var("LEASE_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let model = Exploration { beginnings: beginnings() };
    // With several threads a state may be met first by a longer way, and then be gone on from for fewer steps than the depth allows.
    let checker = model.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{} states, {} different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    if let Some((property, path)) = checker.discoveries().into_iter().next() {
        let steps: Vec<String> = path.into_actions().iter().map(|step| format!("{step:?}")).collect();
        panic!("not so: {property}; after\n{}", steps.join("\n"));
    }
    assert!(checker.unique_state_count() > 1_000, "hardly anything was explored");
}
