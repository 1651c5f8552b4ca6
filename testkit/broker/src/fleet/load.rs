//! Clients of a fleet: queries come to each broker at their own times, and each is owed exactly one final answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use fastrand::Rng;
use futures_lite::future::or;
use gingerledge::counters::count;

use super::ledger::Who;
use super::Fleet;
use crate::client;
use crate::settings::CLASSES;

/// Clients of these classes wait so long.
const TIMEOUT_MS: [u64; 3] = [6000, 2500, 3000];

/// What became of the queries.
#[derive(Debug, Default)]
pub struct Tally {
    /// Sent.
    pub asked: Cell<u64>,
    /// Answered with 200.
    pub answered: Cell<u64>,
    /// Answered with 429 or 503.
    pub refused: Cell<u64>,
    /// Answered with another status.
    pub failed: Cell<u64>,
    /// Not answered, by a broker that was killed, stopped or told to end meanwhile.
    pub cut: Cell<u64>,
    /// Not answered though their broker was well: none may be.
    pub lost: RefCell<Vec<String>>,
}

/// Whether no more is to be sent; clients that wait are told.
#[derive(Default)]
struct Over(Cell<bool>, Event);

/// The load on a fleet.
pub struct Load {
    /// What became of it.
    pub tally: Rc<Tally>,
    over: Rc<Over>,
    tasks: Vec<async_executor::Task<()>>,
}

impl Load {
    /// Begins to send each broker so many queries a second; the rate may differ by broker, and be zero.
    pub fn start(fleet: &Rc<Fleet>, rate: impl Fn(Who) -> f64) -> Self {
        let (tally, over) = (Rc::new(Tally::default()), Rc::new(Over::default()));
        let served = (0..fleet.plan.brokers).map(|who| (who, rate(who))).filter(|(_, rate)| *rate > 0.0);
        let tasks = served.map(|(who, rate)| {
            fleet.executor.spawn(client(fleet.clone(), tally.clone(), over.clone(), who, rate))
        });
        Self { tasks: tasks.collect(), tally, over }
    }

    /// Sends no more, and waits for what is owed.
    pub async fn end(self) -> Rc<Tally> {
        self.over.0.set(true);
        self.over.1.notify(usize::MAX);
        for task in self.tasks {
            task.await;
        }
        self.tally
    }
}

async fn client(fleet: Rc<Fleet>, tally: Rc<Tally>, over: Rc<Over>, who: Who, rate: f64) {
    let mut rng = Rng::with_seed(fleet.plan.seed ^ (who as u64) << 20);
    let (mut at, mut open, mut number) = (Instant::now(), Vec::new(), 0u32);
    while !over.0.get() {
        at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
        let told = over.1.listen();
        if !over.0.get() {
            let due = async {
                Timer::at(at).await;
            };
            or(due, told).await;
        }
        if over.0.get() || fleet.undisturbed(who).is_none() {
            continue;
        }
        number += 1;
        let class = if rng.u32(..4) == 0 { 2 } else { 1 };
        // The name of an entry says so: the ledger goes by it.
        let name = format!("{}{who}n{number}", ["", "q", "e"][class]);
        let blocks = fleet.plan.stores as u32;
        let (first, asked) = (rng.u32(..blocks), rng.u32(1..4).min(blocks));
        let parts: Vec<_> = (0..asked).map(|k| ((first + k) % blocks, None)).collect();
        let at_site = fleet.witness.as_ref().map(|witness| {
            let name = format!("q{who}n{number}");
            (witness.draw(&mut rng, &name), name)
        });
        let (fleet, tally) = (fleet.clone(), tally.clone());
        let runs = fleet.executor.clone();
        open.retain(|task: &async_executor::Task<()>| !task.is_finished());
        open.push(runs.spawn(async move {
            let before = fleet.undisturbed(who);
            count(&tally.asked);
            let text = || client::query(&name, CLASSES[class], TIMEOUT_MS[class], &parts, "all");
            let (text, name) = at_site.unwrap_or_else(|| (text(), name.clone()));
            let got = fleet.ask(who, &text).await;
            if let (Some(witness), Some(got)) = (&fleet.witness, &got) {
                witness.judge(who, &name, got);
            }
            match got.map(|got| got.status) {
                Some(200) => count(&tally.answered),
                Some(429 | 503) => count(&tally.refused),
                Some(_) => count(&tally.failed),
                None if before.is_none() || before != fleet.undisturbed(who) => count(&tally.cut),
                None => tally.lost.borrow_mut().push(name),
            }
        }));
    }
    for task in open {
        task.await;
    }
}
