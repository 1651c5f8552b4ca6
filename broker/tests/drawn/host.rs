//! The brokers' side of the world: turns of the real cores, what they order, and discovery's news to them. And the stores'
//! side of an attempt: its call, its work and its end.

use std::rc::Rc;

use gingerledge::core::{AttemptRequest, Command, Core, CoreEvent, PartRequest, Query, QueryFormat};
use gingerledge_dispatch::{ListKind, Outcome, ServerEntry, ServerId, ServerStatus};

use crate::rules::{hold, Held};
use crate::scenario::Asked;
use crate::store::Fate;
use crate::world::{micros, Flight, Host, What, World};

/// What a broker that gives an attempt up waits, so that its store learns of it first.
const GIVING_UP_MS: f64 = 25.0;
/// No two turns of a broker lie closer where nothing happens: the clock's own steps.
const INSTANT_MS: f64 = 0.001;

pub fn question(ask: usize, asked: &Asked, base: f64, parts: Vec<PartRequest>) -> Query {
    Query {
        name: format!("q{ask}").into(),
        class: asked.class,
        tenant: asked.tenant,
        deadline: base + asked.deadline,
        is_retry: asked.repeated,
        key: None,
        parts,
        text: Rc::from(&b"text"[..]),
        format: QueryFormat::Opaque,
    }
}

impl World<'_> {
    /// A broker starts; the list that it had may be old.
    pub fn start(&mut self, broker: usize) {
        if self.hosts[broker].core.is_some() {
            return;
        }
        let mut settings = self.scene.settings.clone();
        settings.zone = self.scene.brokers[broker];
        settings.index = self.scene.indexed.then_some(broker as u32);
        let life = self.hosts[broker].life + 1;
        let seed = (self.roll(&[broker as u64, u64::from(life), 91]) * 1e15) as u64;
        let core = Core::new(seed, settings, self.scene.base + self.now);
        let heard = self.hosts[broker].heard;
        self.hosts[broker] =
            Host { core: Some(core), life, last: f64::NEG_INFINITY, next_news: self.now, ..Host::default() };
        self.ledger.started(broker, self.now);
        let listed = self.ledger.listed.len();
        if life > 1 {
            self.list(broker, ListKind::Restored, heard.max(self.scene.stores.len()));
        } else if self.scene.settings.requires_subscription {
            self.list(broker, ListKind::Restored, listed);
        } else {
            self.list(broker, ListKind::Complete, listed);
            self.hosts[broker].heard = listed;
        }
        if !self.scene.settings.requires_subscription && life > 1 {
            let wait = self.scene.telling.least_ms;
            self.at(self.now.max(self.deaf) + wait, What::Relist(broker, life));
        }
    }

    pub fn kill(&mut self, broker: usize) {
        let (life, heard) = (self.hosts[broker].life, self.hosts[broker].heard);
        if self.hosts[broker].core.take().is_some() {
            self.ledger.started(broker, self.now);
            self.ledger.tally.met("brokers killed");
            self.hosts[broker] = Host { life, heard, ..Host::default() };
        }
    }

    /// Leaves word for a broker's next turn.
    pub fn leave_word(&mut self, broker: usize, word: CoreEvent, flight: Option<usize>) {
        if self.hosts[broker].core.is_some() {
            self.hosts[broker].inbox.push((word, flight));
            self.plan(broker, self.now);
        }
    }

    /// Plans the next turn no later than then.
    fn plan(&mut self, broker: usize, at: f64) {
        let gap = if self.scene.batches { self.scene.settings.turn_ms } else { 0.0 };
        let at = at.max(self.hosts[broker].last + gap);
        let due = micros(at.max(self.now));
        if self.hosts[broker].planned.is_none_or(|planned| due < planned) {
            self.at(at, What::Turn(broker));
            self.hosts[broker].planned = Some(due);
        }
    }

    pub fn turn(&mut self, broker: usize) -> Held {
        let now = self.now;
        let inbox = std::mem::take(&mut self.hosts[broker].inbox);
        self.hosts[broker].turns += 1;
        self.hosts[broker].idle_turns += usize::from(inbox.is_empty());
        for (word, flight) in &inbox {
            match word {
                CoreEvent::QuerySubmitted(id, _) => self.ledger.taken(*id as usize - 1, now),
                CoreEvent::ClientDisconnected(id) => self.ledger.left(*id as usize - 1),
                CoreEvent::EndpointsListed(kind, entries) => self.ledger.told(broker, now, *kind, entries),
                CoreEvent::AttemptEnded(attempt, ended) => {
                    let given = ended.served.clone().map(|served| (served.score, served.value));
                    if let Some(flight) = flight {
                        self.hosts[broker].flights.remove(attempt);
                        self.ledger.over(self.flights[*flight].place, ended.outcome, given);
                    }
                }
                _ => {}
            }
        }
        let clock = self.scene.base + now;
        let Some(core) = &mut self.hosts[broker].core else { return Ok(()) };
        let commands = core.turn(clock, inbox.into_iter().map(|(word, _)| word));
        let due = core.due();
        self.hosts[broker].last = now;
        for command in &commands {
            if let Command::Send(order) = command {
                self.ledger.opened(broker, now, order)?;
            }
        }
        let mut orders = Vec::new();
        for command in commands {
            match command {
                Command::Send(order) => {
                    let place = self.ledger.sent(broker, now, &order)?;
                    orders.push(self.fly(broker, order, place));
                }
                Command::Withdraw(attempt) | Command::Cancel(attempt) => {
                    if let Some(&flight) = self.hosts[broker].flights.get(&attempt) {
                        let way = self.way(broker, self.flights[flight].server, &[flight as u64, 12]);
                        self.at(now + way, What::Cancel(flight));
                        self.at(now + GIVING_UP_MS, What::Reply(flight, Outcome::Withdrawn, false));
                    }
                }
                Command::Finish(id, last) => self.ledger.finished(broker, now, id as usize - 1, &last)?,
                Command::Subscribe => {
                    self.ledger.asked(broker, now);
                    let wait = 1.0 + self.roll(&[broker as u64, now.to_bits(), 13]) * 50.0;
                    self.at(now + wait, What::Answer(broker, self.hosts[broker].life));
                }
                Command::CloseIdleConnections(_) | Command::RefreshBlockMap | Command::CountRejection(..) => {
                }
            }
        }
        self.call_out(broker, orders);
        if let Some(at) = due {
            let soon = at - clock;
            hold(soon > 0.0, "bounds", || format!("broker {broker} is due {soon} ms from its turn"))?;
            self.plan(broker, (at - self.scene.base).max(now + INSTANT_MS));
        }
        Ok(())
    }

    /// An attempt leaves its broker.
    fn fly(&mut self, broker: usize, order: AttemptRequest, place: crate::rules::Place) -> usize {
        let (id, kind) = (self.flights.len(), &self.scene.kind);
        let asked = &self.scene.asks[place.ask];
        let work = asked.parts.iter().find(|part| part.0 == order.shard).map_or(1.0, |part| part.2);
        let draw = self.roll(&[id as u64, 14]);
        let half = self.roll(&[id as u64, 15]) < 0.5;
        let fate = match draw {
            d if d < kind.error => Fate::Error(half),
            d if d < kind.error + kind.broken => Fate::Broken(half),
            d if d < kind.error + kind.broken + kind.lost => Fate::Lost,
            _ => Fate::Served,
        };
        let score = (self.roll(&[place.ask as u64, u64::from(order.shard), 16]) * 1e6) as u64;
        self.at(self.now + order.timeout_ms, What::Patience(id));
        self.hosts[broker].flights.insert(order.attempt, id);
        self.flights.push(Flight {
            broker,
            life: self.hosts[broker].life,
            attempt: order.attempt,
            place,
            server: order.server,
            work: work * (1.0 + kind.noise * (2.0 * self.roll(&[id as u64, 17]) - 1.0)),
            fate,
            over: false,
            dropped: false,
            value: Self::flight_text(place.ask, order.shard, place.second, place.number),
            score,
        });
        id
    }

    /// What goes to one store in one turn shares calls.
    fn call_out(&mut self, broker: usize, mut flights: Vec<usize>) {
        flights.sort_by_key(|&flight| self.flights[flight].server);
        let batch = self.scene.settings.max_parts_per_call.max(1) as usize;
        let mut calls: Vec<Vec<usize>> = Vec::new();
        for flight in flights {
            let server = self.flights[flight].server;
            match calls.last_mut() {
                Some(call) if call.len() < batch && self.flights[call[0]].server == server => {
                    call.push(flight)
                }
                _ => calls.push(vec![flight]),
            }
        }
        for call in calls {
            let server = self.flights[call[0]].server;
            let way = self.way(broker, server, &[call[0] as u64, 18]);
            self.flights[call[0]].work += self.scene.settings.call_cost_ms;
            self.at(self.now + way, What::Call(server, call));
        }
    }

    /// A call reaches its store.
    pub fn call(&mut self, id: ServerId, call: Vec<usize>) -> Held {
        for flight in call {
            let (broker, work) = (self.flights[flight].broker, self.flights[flight].work);
            let way = self.way(broker, id, &[flight as u64, 21]);
            let kind = &self.scene.kind;
            let server = &mut self.servers[id as usize];
            if server.silent {
                // Some connections stand, and stay silent; others do not come up.
                if roll_half(self.scene.seed, flight) {
                    self.at(self.now + kind.dial_ms, What::Reply(flight, Outcome::Unreachable, false));
                }
                continue;
            }
            let (dead, started) = (server.dead, server.started);
            if dead || self.roll(&[flight as u64, 22]) < kind.unreached {
                self.at(self.now + way, What::Reply(flight, Outcome::Unreachable, false));
                continue;
            }
            let knows = self.ledger.knows(broker, id, started);
            let server = &mut self.servers[id as usize];
            let cold = server.capacity(self.now, &self.scene.settings) < 1.0;
            self.ledger.tally.met_if(cold, "parts at cold stores");
            server.press(self.now, &self.scene.settings, kind.cores, work, knows)?;
            if server.draining || server.waiting.len() >= kind.queue {
                self.at(self.now + way, What::Reply(flight, Outcome::Overloaded, false));
                continue;
            }
            match self.flights[flight].fate {
                Fate::Error(false) => {
                    self.at(self.now + way, What::Reply(flight, Outcome::Failure, true));
                }
                Fate::Broken(false) => {
                    self.at(self.now + way, What::Reply(flight, Outcome::Broken, false));
                }
                _ => server.waiting.push_back(flight),
            }
        }
        self.begin(id);
        Ok(())
    }

    /// Free cores take what waits.
    fn begin(&mut self, id: ServerId) {
        let now = self.now;
        while self.servers[id as usize].running.len() < self.scene.kind.cores {
            let server = &mut self.servers[id as usize];
            let Some(flight) = server.waiting.pop_front() else { return };
            if self.flights[flight].dropped {
                continue;
            }
            server.running.push(flight);
            let slow = if now < server.slow.1 { server.slow.0 } else { 1.0 };
            let work =
                self.flights[flight].work * slow / server.capacity(now, &self.scene.settings).max(0.01);
            let done = What::Done(id, server.epoch, flight);
            let at = now.max(server.hung) + work;
            self.at(at, done);
        }
    }

    /// A part is worked off.
    pub fn done(&mut self, id: ServerId, epoch: u32, flight: usize) -> Held {
        let server = &mut self.servers[id as usize];
        if server.epoch != epoch {
            return Ok(());
        }
        if self.now + INSTANT_MS < server.hung {
            let until = server.hung;
            self.at(until, What::Done(id, epoch, flight));
            return Ok(());
        }
        server.running.retain(|other| *other != flight);
        self.ledger.ran(self.flights[flight].place)?;
        let way = self.way(self.flights[flight].broker, id, &[flight as u64, 23]);
        let outcome = match self.flights[flight].fate {
            Fate::Served => Some(Outcome::Success),
            Fate::Error(_) => Some(Outcome::Failure),
            Fate::Broken(_) => Some(Outcome::Broken),
            Fate::Lost => None,
        };
        if let Some(outcome) = outcome {
            self.at(self.now + way, What::Reply(flight, outcome, true));
        }
        self.begin(id);
        Ok(())
    }

    /// Discovery lists a change; who is told of changes hears of it later.
    pub fn publish(&mut self, entry: ServerEntry) {
        self.ledger.listed.push((self.now, entry));
        let upto = self.ledger.listed.len();
        for broker in 0..self.hosts.len() {
            let spread = self.roll(&[broker as u64, upto as u64, 31]) * self.scene.telling.spread_ms;
            let at = (self.now + self.scene.telling.least_ms + spread).max(self.hosts[broker].next_news);
            self.hosts[broker].next_news = at;
            self.at(at, What::Tell(broker, self.hosts[broker].life, upto));
        }
    }

    pub fn tell(&mut self, broker: usize, life: u32, upto: usize) {
        let heard = self.hosts[broker].heard;
        let follows = !self.scene.settings.requires_subscription || self.ledger.follows(broker);
        if self.hosts[broker].life != life || upto <= heard || !follows {
            return;
        }
        if self.now + INSTANT_MS < self.deaf {
            let until = self.deaf;
            self.at(until, What::Tell(broker, life, upto));
            return;
        }
        let entries = self.ledger.listed[heard..upto].iter().map(|(_, entry)| entry.clone()).collect();
        self.hosts[broker].heard = upto;
        self.ledger.books[broker].heard = upto;
        self.leave_word(broker, CoreEvent::EndpointsListed(ListKind::Changes, entries), None);
    }

    /// The whole list as it stood after so many changes.
    pub fn list(&mut self, broker: usize, kind: ListKind, upto: usize) {
        let mut last = std::collections::BTreeMap::new();
        for (_, entry) in &self.ledger.listed[..upto] {
            last.insert(entry.server, entry.clone());
        }
        let entries = last.into_values().filter(|entry| entry.status != ServerStatus::Removed).collect();
        if kind == ListKind::Complete {
            self.hosts[broker].heard = upto;
            self.ledger.books[broker].heard = upto;
        }
        self.leave_word(broker, CoreEvent::EndpointsListed(kind, entries), None);
    }

    /// A call for the list is answered, or not.
    pub fn answer(&mut self, broker: usize, life: u32) {
        if self.hosts[broker].life != life {
            return;
        }
        let fails = self.roll(&[broker as u64, self.now.to_bits(), 32]) < self.scene.telling.call_fails;
        if fails || self.now < self.deaf {
            self.ledger.tally.met("calls for the list that failed");
            self.leave_word(broker, CoreEvent::EndpointsListed(ListKind::Failed, Vec::new()), None);
        } else {
            self.list(broker, ListKind::Complete, self.ledger.listed.len());
        }
    }

    /// Discovery goes down.
    pub fn deafen(&mut self, until: f64, breaks: bool) {
        self.deaf = self.deaf.max(until);
        for broker in 0..self.hosts.len() {
            if breaks && self.scene.settings.requires_subscription && self.ledger.follows(broker) {
                self.leave_word(broker, CoreEvent::EndpointsListed(ListKind::Failed, Vec::new()), None);
            }
        }
    }
}

fn roll_half(seed: u64, flight: usize) -> bool {
    crate::scenario::roll(seed, &[flight as u64, 24]) < 0.5
}
