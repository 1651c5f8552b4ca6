//! A long run of core, exchange, discovery and store side in virtual time, in which stores and clients always change: no
//! table passes its bound on the way, and none holds anything of the gone at the end.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use common::Sides;
use fastrand::Rng;
use gingerledge::core::{
    AttemptId, AttemptOutcome, Command, Core, CoreEvent, PartRequest, Query, QueryFormat, QueryId, Served,
};
use gingerledge::exchange::PendingQuery;
use gingerledge_dispatch::{Class, Outcome, Repeat, Settings};

const CELLS: usize = 20;
const STEP_MS: f64 = 5.0;
const MINUTES: f64 = 20.0;
/// What is out at once at the most: queries of some 4 parts, 20 a second, none for longer than 3 s.
const OPEN_MOST: usize = 1000;
const COLD_MS: f64 = 13_000.0;

struct Day {
    rng: Rng,
    now: f64,
    core: Core,
    sides: Sides,
    tickets: HashMap<QueryId, PendingQuery>,
    /// When attempts end, and how.
    ends: BTreeMap<(u64, AttemptId), Outcome>,
    due: HashMap<AttemptId, u64>,
    /// The store of each cell, by a number of its own.
    names: Vec<usize>,
    asked: u64,
}

fn settings() -> Settings {
    let class = |repeat, follow_up| Class {
        latency_target_ms: 1200.0,
        deadline_ms: 3000.0,
        late_value_share: 0.3,
        value: 1.0,
        required_share: 1.0,
        minimum_share: 1.0,
        repeat,
        follow_up_parts: follow_up,
        ..Class::default()
    };
    Settings {
        aggregators: 3,
        turn_ms: STEP_MS,
        classes: vec![class(Repeat::Safe, 2), class(Repeat::Safe, 0), class(Repeat::Unsafe, 0)],
        cells: CELLS as u32,
        reach: 3,
        shards: CELLS as u32,
        max_attempts: 3,
        allows_withdrawals: true,
        requires_subscription: true,
        list_refresh_ms: 10_000.0,
        warm_up_start_capacity: 0.16,
        warm_up_ms: COLD_MS,
        overload_factor: 3.0,
        overload_window_ms: 2000.0,
        ..Settings::default()
    }
}

impl Day {
    fn new(seed: u64) -> Self {
        let day = Self {
            rng: Rng::with_seed(seed),
            now: 0.0,
            core: Core::new(seed, settings(), 0.0),
            sides: Sides::new(OPEN_MOST),
            tickets: HashMap::new(),
            ends: BTreeMap::new(),
            due: HashMap::new(),
            names: (0..CELLS).collect(),
            asked: 0,
        };
        day.list(true, &(0..CELLS).map(|cell| (cell, cell, "up")).collect::<Vec<_>>());
        day
    }

    fn list(&self, reset: bool, entries: &[(usize, usize, &str)]) {
        self.sides.list(reset, entries, self.now);
    }

    /// Another store takes a cell over; now and then the whole list is told instead.
    fn replace(&mut self) {
        let cell = self.rng.usize(..CELLS);
        let (old, new) = (self.names[cell], self.names.iter().max().unwrap() + 1);
        self.names[cell] = new;
        if self.rng.f64() < 0.2 {
            let all: Vec<_> = self.names.iter().enumerate().map(|(cell, name)| (cell, *name, "up")).collect();
            self.list(true, &all);
        } else {
            self.list(false, &[(cell, old, "removed"), (cell, new, "up")]);
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let class = self.rng.usize(..3);
        let (first, parts) = (self.rng.usize(..CELLS), [8, 4, 2][class]);
        let shards = (0..parts).map(|n| ((first + n) % CELLS) as u32);
        let weight = 1.0 / parts as f64;
        let question = Query {
            name: format!("q{}", self.asked).into(),
            class,
            tenant: None,
            deadline: self.now + 300.0 + self.rng.f64() * 2700.0,
            is_retry: false,
            key: None,
            parts: shards.map(|shard| PartRequest { shard, weight, ..PartRequest::default() }).collect(),
            text: Rc::from(&b"x"[..]),
            format: QueryFormat::Opaque,
        };
        if let Ok(ticket) = self.sides.exchange.submit(question) {
            self.tickets.insert(self.asked, ticket);
        }
    }

    fn end_at(&mut self, attempt: AttemptId, wait: f64, outcome: Outcome) {
        let at = (self.now + wait).ceil() as u64;
        if let Some(before) = self.due.insert(attempt, at) {
            self.ends.remove(&(before, attempt));
        }
        self.ends.insert((at, attempt), outcome);
    }

    fn step(&mut self, busy: bool) {
        self.now += STEP_MS;
        if busy && self.rng.f64() < 20.0 * STEP_MS / 1000.0 {
            self.ask();
        }
        if busy && self.rng.f64() < 0.5 * STEP_MS / 1000.0 {
            self.replace();
        }
        if self.rng.f64() < 0.01 {
            // A client leaves.
            let gone = self.tickets.keys().copied().min();
            gone.map(|id| self.tickets.remove(&id));
        }
        let waiting = async_io::block_on(self.sides.exchange.next_events(Some(0.0)));
        let mut happened: Vec<_> = waiting.into();
        while let Some(((at, attempt), outcome)) = self.ends.pop_first() {
            if at as f64 > self.now {
                self.ends.insert((at, attempt), outcome);
                break;
            }
            self.due.remove(&attempt);
            let served =
                (outcome == Outcome::Success).then(|| Served { score: 1, value: Rc::from(&b"v"[..]) });
            let ended = AttemptOutcome { outcome, served, report: Vec::new(), newer_epoch: None };
            happened.push(CoreEvent::AttemptEnded(attempt, ended));
        }
        for command in self.core.turn(self.now, happened) {
            match command {
                Command::Send(order) => {
                    let (outcome, wait) = match self.rng.u32(..100) {
                        0..=1 => (Outcome::Failure, 30.0),
                        2..=3 => (Outcome::Overloaded, 5.0),
                        4..=5 => (Outcome::Unreachable, 5.0),
                        6 => (Outcome::Broken, 40.0),
                        7..=9 => (Outcome::TimedOut, order.timeout_ms),
                        _ => (Outcome::Success, 20.0 + self.rng.f64() * 150.0),
                    };
                    self.end_at(order.attempt, wait.min(order.timeout_ms), outcome);
                }
                Command::Withdraw(attempt) if self.due.contains_key(&attempt) => {
                    self.end_at(attempt, 8.0, Outcome::Withdrawn);
                }
                Command::Finish(query, answer) => {
                    self.sides.exchange.complete(query, answer);
                    self.tickets.remove(&query);
                }
                _ => {}
            }
        }
    }

    fn sizes(&self) -> HashMap<&'static str, usize> {
        self.core.sizes().into_iter().chain([("known", self.sides.stores.endpoint_count())]).collect()
    }
}

#[test]
fn a_long_day_of_changes_leaves_every_table_at_its_bound() {
    let seed = 20_261_201;
    let mut day = Day::new(seed);
    while day.now < MINUTES * 60_000.0 {
        day.step(true);
        if day.now % 1000.0 >= STEP_MS {
            continue;
        }
        let (sizes, now) = (day.sizes(), day.now);
        let most = |what: &str, most: usize| {
            assert!(
                sizes[what] <= most,
                "seed {seed}, {now} ms: {} of {what}, {most} at the most",
                sizes[what]
            );
        };
        most("known", CELLS);
        most("held by", CELLS);
        // What is gone stays until its last attempt has ended.
        most("servers", CELLS + sizes["attempts"]);
        for open in ["open queries", "queries", "open parts", "parts", "flights", "attempts"] {
            most(open, OPEN_MOST);
        }
        most("held parts", 0);
        // All that 20 queries a second can have sent in the time that is remembered, three times over.
        most("sends to servers", 20 * 8 * 3 * (COLD_MS / 1000.0) as usize);
        most("taken and sent again", 20 * 10 * 3 * 2);
    }
    assert!(day.asked > 20_000 && *day.names.iter().max().unwrap() > 500, "seed {seed}: much has changed");
    let end = day.now + 10_000.0;
    while day.now < end {
        day.step(false);
    }
    let sizes = day.sizes();
    for gone in ["open queries", "queries", "open parts", "parts", "flights", "attempts", "held parts"] {
        assert_eq!(sizes[gone], 0, "seed {seed}: {gone}");
    }
    assert_eq!((sizes["known"], sizes["servers"], sizes["held by"]), (CELLS, CELLS, CELLS), "seed {seed}");
    assert_eq!((day.sides.exchange.open_queries(), day.tickets.len()), (0, 0), "seed {seed}");
}
