//! Exhaustive exploration of the lease, up to a depth, from states in which a process holds it, requests it, or has just lost it.
//! The checker explores every order of message deliveries and duplicates, restarts, releases and time steps. The model runs the
//! production code ([`Lease`]).
//!
//! The rates of the clocks differ by almost as much as the settings allow: the clock of the first process is slow, that of the
//! last one fast. `LEASE_DEPTH` sets the depth:
//!
//! ```sh
//! LEASE_DEPTH=8 cargo test --release -p gingerledge-lease --test model -- --nocapture
//! ```

mod cluster;

use std::hash::{Hash, Hasher};
use std::time::Duration;

use cluster::{settings, ProcessClock};
use gingerledge_lease::{Lease, LeaseAction, LeaseEvent, LeaseMessage, VoterId};
use stateright::{Checker, Model, Property};

/// Length of a time step of the checker. An attempt stays in progress over one step, but not over two.
const TIME_STEP: Duration = Duration::from_millis(120);
/// Length of a time step before the exploration starts.
const SMALL_TIME_STEP: Duration = Duration::from_millis(10);
const PROCESSES: u64 = 3;
const DEFAULT_DEPTH: usize = 6;
/// The rates of the clocks, as multiples of true time. The slowest is behind true time, and the fastest ahead of it, by almost
/// half of the drift allowed between two clocks.
const RATES: [f64; 3] = [0.9955, 1.0, 1.0045];

#[derive(Clone, Debug)]
struct Process {
    lease: Lease,
    clock: ProcessClock,
    incarnation: u64,
}

/// An action of the checker.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver { message: usize, is_duplicated: bool },
    PassTime,
    Restart { process_index: usize },
    Release { process_index: usize },
}

/// All processes and the messages between them.
#[derive(Clone, Debug)]
struct Group {
    now: Duration,
    processes: Vec<Process>,
    network: Vec<(u64, u64, LeaseMessage)>,
    restarts: u8,
    releases: u8,
    duplicates: u8,
}

fn voter(process_index: usize) -> VoterId {
    VoterId(process_index as u64 + 1)
}

impl Group {
    /// Creates a group of founders, which have no outstanding grants.
    fn founded() -> Self {
        let processes = (0..PROCESSES as usize).map(|process_index| Process {
            lease: Lease::new(voter(process_index), settings(), process_index as u64 + 1),
            clock: ProcessClock { started_at: Duration::ZERO, rate: RATES[process_index] },
            incarnation: 0,
        });
        let processes = processes.collect();
        let (network, now) = (Vec::new(), Duration::from_secs(5));
        let mut group = Self { now, processes, network, restarts: 0, releases: 0, duplicates: 0 };
        for process_index in 0..PROCESSES as usize {
            group.join(process_index, true);
        }
        group
    }

    /// Starts a process and sends it the voters and the candidates.
    fn join(&mut self, process_index: usize, is_founding: bool) {
        let voters: Vec<VoterId> = (0..PROCESSES as usize).map(voter).collect();
        self.handle_event(process_index, LeaseEvent::Started { is_founding });
        self.handle_event(process_index, LeaseEvent::Voters { epoch: 1, voters: voters.clone() });
        self.handle_event(process_index, LeaseEvent::Candidates { order: voters });
    }

    /// The time on the clock of a process.
    fn clock(&self, process_index: usize) -> Duration {
        self.processes[process_index].clock.read(self.now)
    }

    fn handle_event(&mut self, process_index: usize, event: LeaseEvent) {
        let now = self.clock(process_index);
        let mut out = Vec::new();
        self.processes[process_index].lease.handle(now, event, &mut out);
        for action in out {
            if let LeaseAction::Send { to, message } = action {
                let sent = (voter(process_index).0, to.0, message);
                if !self.network.contains(&sent) {
                    self.network.push(sent);
                }
            }
        }
    }

    fn deliver(&mut self, message: usize, is_duplicated: bool) {
        let (from, to, content) = match is_duplicated {
            true => self.network[message].clone(),
            false => self.network.remove(message),
        };
        self.handle_event(to as usize - 1, LeaseEvent::Message { from: VoterId(from), message: content });
    }

    fn pass_time(&mut self, step: Duration) {
        self.now += step;
        for process_index in 0..self.processes.len() {
            if self.processes[process_index]
                .lease
                .next_timer()
                .is_some_and(|at| at <= self.clock(process_index))
            {
                self.handle_event(process_index, LeaseEvent::TimerExpired);
            }
        }
    }

    /// Runs without faults until a process holds the lease.
    fn run_until_held(mut self) -> Self {
        for _ in 0..1_000 {
            if self.holders() == 1 {
                return self;
            }
            self.pass_time(SMALL_TIME_STEP);
            while !self.network.is_empty() {
                self.deliver(0, false);
            }
        }
        panic!("no process acquires the lease");
    }

    fn restart(&mut self, process_index: usize) {
        let incarnation = self.processes[process_index].incarnation + 1;
        let lease = Lease::new(voter(process_index), settings(), incarnation * 10 + process_index as u64);
        let clock = ProcessClock { started_at: self.now, rate: RATES[process_index] };
        self.processes[process_index] = Process { lease, clock, incarnation };
        self.join(process_index, false);
    }

    /// Remaining time for which the holder may act, by its clock.
    fn time_left(&self) -> Duration {
        let left = (0..self.processes.len()).filter_map(|process_index| {
            let now = self.clock(process_index);
            self.processes[process_index].lease.held_until(now).map(|until| until - now)
        });
        left.max().unwrap_or_default()
    }

    fn holders(&self) -> usize {
        (0..self.processes.len())
            .filter(|&process_index| self.processes[process_index].lease.is_held(self.clock(process_index)))
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

/// The exploration from all initial states.
struct Exploration {
    initial_states: Vec<Group>,
}

impl Model for Exploration {
    type State = Group;
    type Action = Step;

    fn init_states(&self) -> Vec<Group> {
        self.initial_states.clone()
    }

    fn actions(&self, state: &Group, actions: &mut Vec<Step>) {
        for message in 0..state.network.len() {
            actions.push(Step::Deliver { message, is_duplicated: false });
            if state.duplicates > 0 {
                actions.push(Step::Deliver { message, is_duplicated: true });
            }
        }
        actions.push(Step::PassTime);
        for process_index in 0..state.processes.len() {
            if state.restarts > 0 {
                actions.push(Step::Restart { process_index });
            }
            if state.releases > 0 {
                actions.push(Step::Release { process_index });
            }
        }
    }

    fn next_state(&self, state: &Group, step: Step) -> Option<Group> {
        let mut next = state.clone();
        match step {
            Step::Deliver { message, is_duplicated } => {
                next.duplicates -= u8::from(is_duplicated);
                next.deliver(message, is_duplicated);
            }
            Step::PassTime => next.pass_time(TIME_STEP),
            Step::Restart { process_index } => {
                next.restarts -= 1;
                next.restart(process_index);
            }
            Step::Release { process_index } => {
                next.releases -= 1;
                next.handle_event(process_index, LeaseEvent::Release);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("one holder at a time", |_, state: &Group| state.holders() <= 1)]
    }
}

fn initial_states() -> Vec<Group> {
    let held = Group::founded().run_until_held();
    // The holder has just sent the requests of its renewal, and none of them has arrived.
    let mut renewing = held.clone();
    while renewing.network.is_empty() {
        renewing.pass_time(SMALL_TIME_STEP);
    }
    // No message has arrived for so long that the lease lasts for two more steps at most, or has just expired and the others
    // request it.
    let mut nearly_expired = held.clone();
    while nearly_expired.time_left() > TIME_STEP * 2 {
        nearly_expired.pass_time(SMALL_TIME_STEP);
        nearly_expired.network.clear();
    }
    let mut expired = nearly_expired.clone();
    while expired.network.is_empty() || expired.holders() > 0 {
        expired.network.clear();
        expired.pass_time(SMALL_TIME_STEP);
    }
    let budget = |group: Group| Group { restarts: 2, releases: 1, duplicates: 1, ..group };
    [held, renewing, nearly_expired, expired].map(budget).into()
}

#[test]
fn at_most_one_process_holds_the_lease_in_every_order_of_events() {
    let depth = std::env::var("LEASE_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEPTH);
    let model = Exploration { initial_states: initial_states() };
    // With several threads, a state may first be reached by a longer path, and then be continued for fewer steps than the depth
    // allows.
    let checker = model.checker().threads(1).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{} states, {} different, depth {}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    if let Some((property, path)) = checker.discoveries().into_iter().next() {
        let steps: Vec<String> = path.into_actions().iter().map(|step| format!("{step:?}")).collect();
        panic!("violated: {property}; after\n{}", steps.join("\n"));
    }
    assert!(checker.unique_state_count() > 1_000, "too few states were explored");
}
