//! The virtual-time world: one queue of events, ordered by time and then by when they were set, so that one scenario
//! always plays the same way. Brokers are real cores; stores, discovery, clients and the network are simulated.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;

use gingerledge::core::{AttemptId, AttemptOutcome, Core, CoreEvent, OpaqueBytes, Served};
use gingerledge_dispatch::{ListKind, Outcome, ServerEntry, ServerId, ServerStatus};

use crate::rules::{hold, Held, Ledger, Place};
use crate::scenario::{roll, Fault, Scenario};
use crate::store::{Fate, Server};
use crate::tally::Tally;

/// Something to come.
#[derive(Debug)]
pub enum What {
    Turn(usize),
    PartRequest(usize),
    Leave(usize),
    Fault(usize),
    /// Parts of one call reach a store.
    Call(ServerId, Vec<usize>),
    /// A store has worked a part off, if it is still the same process.
    Done(ServerId, u32, usize),
    /// Word of an attempt reaches its broker.
    Reply(usize, Outcome, bool),
    Patience(usize),
    /// Word reaches a store that an attempt is given up.
    Cancel(usize),
    /// Discovery's news reach a broker, up to so many changes.
    Tell(usize, u32, usize),
    /// A call for the list is answered.
    Answer(usize, u32),
    Publish(ServerEntry),
    End(ServerId, bool),
    Back(ServerId, bool),
    Drains(ServerId, u32),
    Relist(usize, u32),
    Shared(usize, u32),
    Start(usize),
}

/// An attempt.
#[derive(Debug)]
pub struct Flight {
    pub broker: usize,
    pub life: u32,
    pub attempt: AttemptId,
    pub place: Place,
    pub server: ServerId,
    pub work: f64,
    pub fate: Fate,
    pub over: bool,
    pub dropped: bool,
    pub value: OpaqueBytes,
    pub score: u64,
}

/// A broker: its core, and what has happened since its last turn.
#[derive(Default)]
pub struct Host {
    pub core: Option<Core>,
    /// Grows with each start.
    pub life: u32,
    pub inbox: Vec<(CoreEvent, Option<usize>)>,
    pub last: f64,
    pub planned: Option<u64>,
    pub flights: BTreeMap<AttemptId, usize>,
    /// News of discovery that it has had, and when the next may come.
    pub heard: usize,
    pub next_news: f64,
    pub idle_turns: usize,
    pub turns: usize,
}

/// After all is over nothing but calls for the list may be left to do.
const REST_MS: f64 = 500.0;

pub struct World<'a> {
    pub scene: &'a Scenario,
    pub now: f64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, What>,
    set_so_far: u64,
    pub hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub flights: Vec<Flight>,
    pub ledger: Ledger,
    /// Discovery is down until then.
    pub deaf: f64,
}

/// The first whole microsecond that is not before this time.
pub fn micros(at: f64) -> u64 {
    (at * 1000.0 - 1e-3).ceil().max(0.0) as u64
}

/// Plays a scenario to its end.
pub fn play(scene: &Scenario) -> Result<Tally, crate::rules::Breach> {
    let mut world = World::new(scene);
    world.run()?;
    Ok(world.ledger.tally)
}

impl<'a> World<'a> {
    fn new(scene: &'a Scenario) -> Self {
        let mut world = Self {
            scene,
            now: 0.0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            set_so_far: 0,
            hosts: scene.brokers.iter().map(|_| Host::default()).collect(),
            servers: Vec::new(),
            flights: Vec::new(),
            ledger: Ledger::new(scene),
            deaf: 0.0,
        };
        for store in &scene.stores {
            let started = store.age.map_or(f64::NEG_INFINITY, |age| -age);
            world.servers.push(Server::new(store.cell, store.zone, started));
            let entry = world.entry(world.servers.len() as ServerId - 1, ServerStatus::Ready);
            world.ledger.listed.push((f64::NEG_INFINITY, entry));
        }
        (0..scene.brokers.len()).for_each(|broker| world.at(0.0, What::Start(broker)));
        (0..scene.asks.len()).for_each(|ask| world.at(scene.asks[ask].at, What::PartRequest(ask)));
        (0..scene.faults.len()).for_each(|fault| world.at(scene.faults[fault].0, What::Fault(fault)));
        world
    }

    pub fn entry(&self, id: ServerId, status: ServerStatus) -> ServerEntry {
        let server = &self.servers[id as usize];
        let started_at = if server.started.is_finite() { self.scene.base + server.started } else { 0.0 };
        ServerEntry { server: id, started_at, zone: server.zone, cell: server.cell, status }
    }

    /// Sets an event. Times are whole microseconds, so that equal ones are equal.
    pub fn at(&mut self, at: f64, what: What) {
        self.set_so_far += 1;
        self.queue.push(Reverse((micros(at.max(self.now)), self.set_so_far)));
        self.events.insert(self.set_so_far, what);
    }

    /// A number that depends on the scenario and these alone.
    pub fn roll(&self, of: &[u64]) -> f64 {
        roll(self.scene.seed, of)
    }

    pub fn way(&self, broker: usize, server: ServerId, of: &[u64]) -> f64 {
        let kind = &self.scene.kind;
        let far = self.scene.brokers[broker] != self.servers[server as usize].zone;
        let ms = if far { kind.cross_ms } else { kind.same_ms };
        ms * (1.0 + kind.jitter * self.roll(of))
    }

    fn run(&mut self) -> Held {
        let last = self.scene.asks.iter().map(|ask| ask.deadline).fold(0.0, f64::max);
        let end = last + self.scene.settings.answer_slack_ms + REST_MS;
        while let Some(Reverse((micros, number))) = self.queue.pop() {
            let Some(what) = self.events.remove(&number) else { continue };
            if micros as f64 / 1000.0 > end {
                break;
            }
            self.now = micros as f64 / 1000.0;
            self.happen(what, micros)?;
        }
        self.now = end;
        self.ledger.closed()?;
        (0..self.hosts.len()).try_for_each(|broker| self.rests(broker))
    }

    /// When all is over, what belonged to it is let go, and nobody turns for nothing.
    fn rests(&self, broker: usize) -> Held {
        let host = &self.hosts[broker];
        let Some(core) = &host.core else { return Ok(()) };
        for (what, size) in core.sizes() {
            let most = match what {
                "servers" | "held by" => self.ledger.most_known(broker),
                "sends to servers" | "taken and sent again" => usize::MAX,
                _ => 0,
            };
            hold(size <= most, "bounds", || format!("broker {broker} holds {size} {what} when all is over"))?;
        }
        let turn = self.scene.settings.turn_ms;
        let most = (self.now / turn) as usize + (host.turns - host.idle_turns) + 10;
        let said = || format!("broker {broker} turned {} times for nothing, {most} allowed", host.idle_turns);
        hold(host.idle_turns <= most, "bounds", said)?;
        let quiet = self.scene.settings.requires_subscription
            || core.due().is_none_or(|at| at <= self.scene.base + self.now);
        hold(quiet, "bounds", || format!("broker {broker} waits for {:?} when all is over", core.due()))
    }

    fn happen(&mut self, what: What, micros: u64) -> Held {
        match what {
            What::Turn(broker) => {
                if self.hosts[broker].planned == Some(micros) {
                    self.hosts[broker].planned = None;
                    return self.turn(broker);
                }
            }
            What::Start(broker) => self.start(broker),
            What::PartRequest(ask) => self.ask(ask),
            What::Leave(ask) => {
                let broker = self.scene.asks[ask].broker;
                if self.ledger.open(ask) {
                    self.leave_word(broker, CoreEvent::ClientDisconnected(ask as u64 + 1), None);
                }
            }
            What::Fault(fault) => self.fault(fault),
            What::Call(server, flights) => return self.call(server, flights),
            What::Done(server, epoch, flight) => return self.done(server, epoch, flight),
            What::Reply(flight, outcome, reports) => self.reply(flight, outcome, reports),
            What::Patience(flight) => self.reply(flight, Outcome::TimedOut, false),
            What::Cancel(flight) => self.flights[flight].dropped |= self.scene.kind.drops,
            What::Tell(broker, life, upto) => self.tell(broker, life, upto),
            What::Answer(broker, life) => self.answer(broker, life),
            What::Publish(entry) => self.publish(entry),
            What::End(server, silent) => return self.end(server, silent),
            What::Back(server, same) => self.back(server, same),
            What::Drains(server, epoch) => {
                let server = &mut self.servers[server as usize];
                server.draining |= server.epoch == epoch;
            }
            What::Relist(broker, life) => {
                if self.hosts[broker].life == life {
                    self.list(broker, ListKind::Complete, self.ledger.listed.len());
                }
            }
            What::Shared(broker, processes) => {
                self.leave_word(broker, CoreEvent::ProcessCountChanged(processes), None);
            }
        }
        Ok(())
    }

    fn ask(&mut self, ask: usize) {
        let asked = &self.scene.asks[ask];
        let parts = asked.parts.iter().map(|&(shard, weight, _, cost_ms)| gingerledge::core::PartRequest {
            shard,
            weight,
            cost_ms,
            weigher: None,
        });
        let question = crate::host::question(ask, asked, self.scene.base, parts.collect());
        let broker = asked.broker;
        if self.hosts[broker].core.is_none() {
            return;
        }
        if let Some(at) = asked.leaves {
            self.at(at, What::Leave(ask));
        }
        self.leave_word(broker, CoreEvent::QuerySubmitted(ask as u64 + 1, question), None);
    }

    /// An attempt ends at its broker, if it has not before.
    pub fn reply(&mut self, id: usize, outcome: Outcome, reports: bool) {
        let flight = &mut self.flights[id];
        if std::mem::replace(&mut flight.over, true) || self.hosts[flight.broker].life != flight.life {
            return;
        }
        let served = (outcome == Outcome::Success)
            .then(|| Served { score: flight.score, value: flight.value.clone() });
        let (broker, attempt) = (flight.broker, flight.attempt);
        let report = if reports { self.report(id) } else { Vec::new() };
        let ended = AttemptOutcome { served, report, ..AttemptOutcome::from(outcome) };
        self.leave_word(broker, CoreEvent::AttemptEnded(attempt, ended), Some(id));
    }

    /// A load report of as many figures as there are, now and then of garbage.
    fn report(&mut self, id: usize) -> Vec<f64> {
        let kind = &self.scene.kind;
        let server = &self.servers[self.flights[id].server as usize];
        let garbage = self.roll(&[id as u64, 71]) < kind.garbage;
        self.ledger.tally.met_if(garbage && kind.figures > 0, "reports of garbage");
        let spoilt = [-1e9, 1e300, f64::MAX, -0.0, 1e-300, f64::MIN];
        let sane = [server.running.len() as f64, server.waiting.len() as f64, 0.5, 40.0, 12.0, 0.0];
        let figure = |n: usize| {
            if garbage {
                spoilt[(self.roll(&[id as u64, 72, n as u64]) * 6.0) as usize]
            } else {
                sane[n]
            }
        };
        (0..kind.figures.min(6)).map(figure).collect()
    }

    fn fault(&mut self, number: usize) {
        let now = self.now;
        let (_, fault) = &self.scene.faults[number];
        // A store that is shrunk away is another.
        let of = |store: &usize| (*store % self.scene.stores.len()) as ServerId;
        let host = |broker: &usize| *broker % self.scene.brokers.len();
        match fault {
            Fault::Crash { store, silent, back_ms, same, told_ms } => {
                let id = of(store);
                self.at(now, What::End(id, *silent));
                if !same || told_ms < back_ms {
                    self.at(now + told_ms, What::Publish(self.entry(id, ServerStatus::Removed)));
                }
                self.at(now + back_ms, What::Back(id, *same));
            }
            Fault::Release { store, lead_ms, ends_ms, next_ms } => {
                let id = of(store);
                self.publish(self.entry(id, ServerStatus::Draining));
                self.at(now + lead_ms, What::Drains(id, self.servers[id as usize].epoch));
                self.at(now + ends_ms, What::End(id, false));
                self.at(now + ends_ms, What::Publish(self.entry(id, ServerStatus::Removed)));
                self.at(now + next_ms, What::Back(id, false));
            }
            Fault::Alarm { store, gone, back_ms } => {
                let id = of(store);
                self.publish(
                    self.entry(id, if *gone { ServerStatus::Removed } else { ServerStatus::Draining }),
                );
                self.at(now + back_ms, What::Publish(self.entry(id, ServerStatus::Ready)));
            }
            Fault::Hang { store, ms } => {
                let server = &mut self.servers[of(store) as usize];
                server.hung = server.hung.max(now + ms);
            }
            Fault::Slow { store, times, ms } => self.servers[of(store) as usize].slow = (*times, now + ms),
            Fault::Deaf { ms, breaks } => self.deafen(now + ms, *breaks),
            Fault::Relist { broker } => {
                let broker = host(broker);
                let life = self.hosts[broker].life;
                self.at(now + self.scene.telling.least_ms, What::Relist(broker, life));
            }
            Fault::Kill { broker, back_ms } => {
                let broker = host(broker);
                self.kill(broker);
                self.at(now + back_ms, What::Start(broker));
            }
            Fault::Shared { broker, ms } => {
                let broker = host(broker);
                self.at(now, What::Shared(broker, 2));
                self.at(now + ms, What::Shared(broker, 1));
            }
        }
    }

    /// A process ends, and what it had in hand with it.
    fn end(&mut self, id: ServerId, silent: bool) -> Held {
        if self.servers[id as usize].dead {
            return Ok(());
        }
        let running = self.servers[id as usize].running.len();
        for (n, flight) in self.servers[id as usize].end(silent).into_iter().enumerate() {
            if n < running && self.roll(&[flight as u64, 81]) < 0.5 {
                self.ledger.ran(self.flights[flight].place)?;
            }
            if !silent {
                let way = self.way(self.flights[flight].broker, id, &[flight as u64, 82]);
                self.at(self.now + way, What::Reply(flight, Outcome::Broken, false));
            }
        }
        Ok(())
    }

    /// A process starts in the place of one that ended, cold; or another store of its cell.
    fn back(&mut self, id: ServerId, same: bool) {
        let id = if same {
            if !self.servers[id as usize].dead {
                return;
            }
            self.servers[id as usize].restart(self.now);
            id
        } else {
            let old = &self.servers[id as usize];
            self.servers.push(Server::new(old.cell, old.zone, self.now));
            self.servers.len() as ServerId - 1
        };
        self.publish(self.entry(id, ServerStatus::Ready));
    }

    pub fn flight_text(ask: usize, shard: u32, second: bool, number: usize) -> OpaqueBytes {
        Rc::from(format!("{ask}.{shard}.{second}.{number}").as_bytes())
    }
}
