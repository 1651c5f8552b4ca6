//! A store of a site, as a layer over [`Store`], which has the connections and the faults: calls of several parts, cores, a queue,
//! what a call costs, load reports, cold starts. What it is sent it shows to the [`Witness`], which knows the rules.

use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use async_lock::Semaphore;
use gingerledge::http;
use gingerledge::store::frame;

use crate::fleet::ledger::{Deed, Who};
use crate::site::By;
use crate::store::{Fault, Store};
use crate::witness::{calls, score, Call, Told, Witness, SLACK};

const WITHIN: Duration = Duration::from_secs(10);

/// The layer.
pub struct Strict {
    witness: Rc<Witness>,
    /// Its number.
    store: usize,
    cores: Semaphore,
    /// Parts that wait for a core, and that have one.
    waiting: Cell<usize>,
    running: Cell<usize>,
    /// What parts took lately, without waiting.
    latency_ms: Cell<f64>,
    report: RefCell<Option<(Instant, String)>>,
}

/// A broker's connection: whatever ends it gives up what is out on it.
pub struct Conn {
    strict: Rc<Strict>,
    by: Who,
    number: u64,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.strict.witness.given_up(self.number, None);
    }
}

/// One of a count, for as long as it lives: a store's death ends tasks anywhere.
struct One<'a>(&'a Cell<usize>);

impl<'a> One<'a> {
    fn of(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for One<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Strict {
    /// The layer of the store of this number.
    pub fn new(witness: &Rc<Witness>, store: usize) -> Rc<Self> {
        let (waiting, running, latency_ms, report) = Default::default();
        let (cores, witness) = (Semaphore::new(witness.site.stores.cores), witness.clone());
        Rc::new(Self { witness, store, cores, waiting, running, latency_ms, report })
    }

    /// A broker's connection.
    pub fn conn(self: &Rc<Self>, by: Who) -> Conn {
        Conn { strict: self.clone(), by, number: self.witness.number() }
    }

    /// The load report, worked out anew so often.
    fn report(&self) -> String {
        let (every, mut report) = (self.witness.site.stores.report_ms, self.report.borrow_mut());
        let fresh = report.as_ref().filter(|(at, _)| at.elapsed() < Duration::from_millis(every));
        if let Some((_, text)) = fresh {
            return text.clone();
        }
        let text = match self.witness.site.stores.report {
            By::Answers => format!("latency_ms={:.3},queue={}", self.latency_ms.get(), self.waiting.get()),
            By::Probe => {
                let cores = self.witness.site.stores.cores as f64;
                format!("util={:.2},queue={}", self.running.get() as f64 / cores, self.waiting.get())
            }
            By::Nothing => "-".to_owned(),
        };
        *report = Some((Instant::now(), text.clone()));
        text
    }

    async fn part(
        self: Rc<Self>,
        by: Who,
        store: Rc<Store>,
        call: Call,
        told: Told,
        cost_ms: f64,
        socket: Rc<Async<TcpStream>>,
    ) -> Option<()> {
        let (witness, site, began) = (&self.witness, &self.witness.site, Instant::now());
        let ended = |end: &str, value: &str| {
            let report = if site.stores.report == By::Answers { self.report() } else { "-".to_owned() };
            let line = format!("{} {end} {} {report}\n{value}", call.id, score(call.shard));
            frame::frame(frame::ANSWER, line.as_bytes())
        };
        let far = site.distance_ms[site.broker_zone(by)][site.zone(self.store)];
        // There and back, both waited for on the way back.
        let way = Duration::from_secs_f64(far / 500.0);
        let Told::Work(n, out) = told else {
            Timer::after(way).await;
            return http::write_all(&socket, &ended("bad", ""), WITHIN).await.ok();
        };
        if !out.is_empty() {
            let (witness, call) = (witness.clone(), call.clone());
            store.run(async move {
                Timer::after(SLACK).await;
                witness.second_copy(by, &call, &out);
            });
        }
        if self.waiting.get() >= site.stores.queue {
            witness.turned_away(&call, n);
            Timer::after(way).await;
            return http::write_all(&socket, &ended("later", ""), WITHIN).await.ok();
        }
        let waiting = One::of(&self.waiting);
        let core = self.cores.acquire().await;
        drop(waiting);
        store.moves().await;
        // Work that waited is dropped by a cancel or when its broker waits no more; work that runs goes on.
        let overdue = call.patience().is_some_and(|patience| began.elapsed() >= patience);
        if overdue || witness.is_given_up(&call, n) {
            return None;
        }
        let value = match witness.remembered(&call, witness.ledger.now()) {
            Some(value) => value,
            None => {
                let running = One::of(&self.running);
                let value = witness.run(by, self.store, &call, witness.ledger.now());
                let work_ms = (cost_ms + witness.work_ms(&call)) * self.slow(&store);
                Timer::after(Duration::from_secs_f64(work_ms / 1000.0)).await;
                self.latency_ms.set(self.latency_ms.get() * 0.8 + work_ms * 0.2);
                drop(running);
                value
            }
        };
        drop(core);
        store.moves().await;
        Timer::after(way).await;
        witness.gives(&call, &value);
        witness.answered(&call, n);
        http::write_all(&socket, &ended("good", &value), WITHIN).await.ok()
    }

    /// How many times as long work takes: slowed, or cold.
    fn slow(&self, store: &Store) -> f64 {
        let times = if let Fault::Slow(times) = store.fault() { f64::from(times) } else { 1.0 };
        let up = store.since_start().map_or(1.0, |up| {
            (up.as_secs_f64() * 1000.0 / self.witness.site.stores.cold_ms.max(1.0)).min(1.0)
        });
        let from = self.witness.site.stores.cold_from;
        times / (from + (1.0 - from) * up)
    }
}

impl Conn {
    /// Takes a frame; nothing where the connection is to end.
    pub fn take(
        &self,
        store: &Rc<Store>,
        letter: u8,
        rest: &[u8],
        socket: &Rc<Async<TcpStream>>,
    ) -> Option<()> {
        let (strict, witness) = (&self.strict, &self.strict.witness);
        let site = &witness.site;
        let reply = |bytes: Vec<u8>| {
            let socket = socket.clone();
            store.run(async move {
                let _ = http::write_all(&socket, &bytes, WITHIN).await;
            });
        };
        match letter {
            frame::CALL => {
                let Some(calls) = calls(rest) else {
                    witness.breach(self.by, format!("store {}: a call that can't be read", strict.store));
                    reply(frame::frame(frame::PROTOCOL_ERROR, b"a call that can't be read"));
                    return None;
                };
                for shared in calls.chunks(site.stores.batch) {
                    witness.ledger.note(self.by, Deed::Shared(strict.store, shared.len()));
                    for (n, call) in shared.iter().enumerate() {
                        witness.ledger.note(self.by, Deed::Began(strict.store, call.id.clone()));
                        let told =
                            witness.arrive(self.by, strict.store, self.number, call, witness.ledger.now());
                        let cost = if n == 0 { site.stores.call_cost_ms } else { 0.0 };
                        let (strict, call, at) = (strict.clone(), call.clone(), store.clone());
                        let (by, socket) = (self.by, socket.clone());
                        let part = async move { strict.part(by, at, call, told, cost, socket).await };
                        store.run(async { part.await.unwrap_or_default() });
                    }
                }
            }
            frame::WITHDRAW => {
                witness.given_up(self.number, Some(&String::from_utf8_lossy(rest)));
            }
            frame::PROBE | frame::LOAD_PROBE => {
                witness.ledger.note(self.by, Deed::Probed(strict.store));
                let load = letter == frame::LOAD_PROBE;
                let told = match load && site.rules.probes && site.stores.report == By::Probe {
                    true => strict.report(),
                    false => if load { "-" } else { "good" }.to_owned(),
                };
                reply(frame::frame(letter, told.as_bytes()));
            }
            _ => {
                witness.breach(self.by, format!("store {}: a frame of letter {letter}", strict.store));
                return None;
            }
        }
        Some(())
    }
}
