//! The circle of brokers: what this one saw, what the others say, and what of it is believed.

use std::collections::{BTreeMap, HashMap};

use crate::report::{Entry, Fault, Report};
use crate::{Millis, Store};

/// How a part ended at a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Served,
    /// Given up, or out of time: it would have taken longer still.
    Late,
    /// Turned away, not reached, broken off or answered with an error.
    Failed,
}

/// Bounds and figures; see each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How many brokers there are, this one among them.
    pub members: u32,
    /// How many datagrams a second one broker may be sent by all others together.
    pub heard_per_s: f64,
    /// No broker says something more often than this, however few they are.
    pub gap_ms: Millis,
    /// Views forget with this time constant.
    pub memory_ms: Millis,
    /// A view rests on at least so many parts.
    pub parts_least: f64,
    /// A wait of so many times the usual is news, and said at once where the rate allows it.
    pub news: f64,
}

impl Settings {
    /// The figures for so many brokers.
    pub fn of(members: u32) -> Self {
        let members = members.max(1);
        Self { members, heard_per_s: 40.0, gap_ms: 200.0, memory_ms: 5000.0, parts_least: 0.5, news: 3.0 }
    }

    /// The mean time between two datagrams of one broker.
    fn period(&self) -> Millis {
        (f64::from(self.members) / self.heard_per_s * 1000.0).max(self.gap_ms)
    }
}

/// How a store does, as the circle sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Its waits against those of the store in the middle.
    pub pace: f64,
    /// The share of parts that failed there.
    pub failing: f64,
}

/// Parts that ended, by their waits: sum of the logarithms, how many, and how many failed.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    logs: f64,
    waits: f64,
    failed: f64,
}

impl Tally {
    fn add(&mut self, wait_ms: f64, waits: f64, failed: f64) {
        self.logs += waits * wait_ms.max(0.1).ln();
        self.waits += waits;
        self.failed += failed;
    }

    fn mean(&self) -> Option<f64> {
        (self.waits > 0.0).then(|| (self.logs / self.waits).exp())
    }
}

#[derive(Debug)]
struct Pool {
    hash: u16,
    /// Own parts since the last datagram.
    own: Tally,
    /// Everybody's, fading.
    all: Tally,
    faded: Millis,
}

impl Pool {
    fn fade(&mut self, now: Millis, memory: Millis) {
        let kept = (-(now - self.faded).max(0.0) / memory).exp();
        self.faded = now;
        self.all.logs *= kept;
        self.all.waits *= kept;
        self.all.failed *= kept;
    }
}

/// One broker's part in the circle.
#[derive(Debug)]
pub struct Circle {
    set: Settings,
    stores: BTreeMap<Store, Pool>,
    /// Stores by the hash of their name; none where two share it, which nobody can tell apart.
    named: HashMap<u16, Option<Store>>,
    /// By sender, the number of its last datagram.
    heard: HashMap<u32, u64>,
    number: u64,
    /// Datagrams that may be sent, two at the most, and when that was last counted.
    tokens: f64,
    counted: Millis,
    /// The wait at the store in the middle, when views were last made.
    middle: Option<f64>,
    news: bool,
}

impl Circle {
    /// A broker that has seen nothing yet. `number` is where its datagrams are numbered from: higher than at any start
    /// before, such as the time in milliseconds. `phase`, from 0 to 1, sets it apart from the others.
    pub fn new(set: Settings, number: u64, phase: f64, now: Millis) -> Self {
        Self {
            set,
            stores: BTreeMap::new(),
            named: HashMap::new(),
            heard: HashMap::new(),
            number,
            tokens: 1.0 + phase.clamp(0.0, 1.0),
            counted: now,
            middle: None,
            news: false,
        }
    }

    /// Notes that a store is listed, by this name.
    pub fn list(&mut self, store: Store, name: &str, now: Millis) {
        if self.stores.contains_key(&store) {
            return;
        }
        let hash = Entry::hash(name);
        let pool = Pool { hash, own: Tally::default(), all: Tally::default(), faded: now };
        self.stores.insert(store, pool);
        claim(&mut self.named, hash, store);
    }

    /// Lets go of the stores that are not among these.
    pub fn keep(&mut self, listed: impl Fn(Store) -> bool) {
        self.stores.retain(|store, _| listed(*store));
        self.named.clear();
        for (store, pool) in &self.stores {
            claim(&mut self.named, pool.hash, *store);
        }
    }

    /// Notes how a part of this broker ended.
    pub fn ended(&mut self, store: Store, wait_ms: Millis, end: End, now: Millis) {
        let Some(pool) = self.stores.get_mut(&store) else { return };
        pool.fade(now, self.set.memory_ms);
        let (waits, failed) = match end {
            End::Served => (1.0, 0.0),
            // One given up early says nothing of its store.
            End::Late if pool.all.mean().is_none_or(|mean| wait_ms > mean) => (1.0, 0.0),
            End::Late => return,
            End::Failed => (0.0, 1.0),
        };
        pool.own.add(wait_ms, waits, failed);
        pool.all.add(wait_ms, waits, failed);
        let slow = waits > 0.0 && self.middle.is_some_and(|middle| wait_ms > self.set.news * middle);
        self.news |= slow || end == End::Failed;
    }

    /// What to tell all others now, if anything.
    pub fn say(&mut self, now: Millis) -> Option<Vec<u8>> {
        let gained = (now - self.counted).max(0.0) / self.set.period();
        (self.tokens, self.counted) = ((self.tokens + gained).min(2.0), now);
        if self.tokens < if self.news { 1.0 } else { 2.0 } {
            return None;
        }
        let middle = self.middle.unwrap_or(1.0);
        let mut told: Vec<(f64, Store)> = Vec::new();
        for (store, pool) in &self.stores {
            if pool.own.waits + pool.own.failed > 0.0 && self.named.get(&pool.hash) == Some(&Some(*store)) {
                let off = pool.own.mean().map_or(0.0, |mean| mean / middle);
                told.push((-(off + 10.0 * pool.own.failed), *store));
            }
        }
        if told.is_empty() {
            return None;
        }
        // The most notable first, should not all fit.
        told.sort_by(|a, b| a.0.total_cmp(&b.0));
        told.truncate(Report::ENTRIES_MOST);
        let mut entries = Vec::with_capacity(told.len());
        for (_, store) in told {
            let Some(pool) = self.stores.get_mut(&store) else { continue };
            let own = std::mem::take(&mut pool.own);
            entries.push(Entry {
                store: pool.hash,
                wait_ms: own.mean().unwrap_or(0.0),
                waits: own.waits as u32,
                failed: own.failed as u32,
            });
        }
        self.tokens -= 1.0;
        self.news = false;
        self.number += 1;
        Some(Report { number: self.number, entries }.bytes())
    }

    /// Takes in what a broker said.
    pub fn hear(&mut self, sender: u32, bytes: &[u8], now: Millis) -> Result<(), Fault> {
        let report = Report::read(bytes)?;
        if sender >= self.set.members || self.heard.get(&sender).is_some_and(|last| report.number <= *last) {
            return Ok(());
        }
        self.heard.insert(sender, report.number);
        for entry in report.entries {
            let Some(Some(store)) = self.named.get(&entry.store) else { continue };
            let Some(pool) = self.stores.get_mut(store) else { continue };
            pool.fade(now, self.set.memory_ms);
            pool.all.add(entry.wait_ms, f64::from(entry.waits), f64::from(entry.failed));
        }
        Ok(())
    }

    /// How the stores do now; none of those of which too little is known.
    pub fn views(&mut self, now: Millis) -> Vec<(Store, Option<View>)> {
        let set = self.set;
        let mut waits: Vec<f64> = Vec::with_capacity(self.stores.len());
        for pool in self.stores.values_mut() {
            pool.fade(now, set.memory_ms);
            waits.extend(pool.all.mean().filter(|_| pool.all.waits >= 1.0));
        }
        let at = waits.len() / 2;
        self.middle = (!waits.is_empty()).then(|| *waits.select_nth_unstable_by(at, f64::total_cmp).1);
        let middle = self.middle.unwrap_or(1.0);
        let view = |pool: &Pool| {
            let parts = pool.all.waits + pool.all.failed;
            (parts >= set.parts_least).then(|| View {
                pace: pool.all.mean().map_or(1.0, |mean| mean / middle),
                failing: pool.all.failed / parts,
            })
        };
        self.stores.iter().map(|(store, pool)| (*store, view(pool))).collect()
    }
}

/// Gives a hash to a store; to none, if another has it.
fn claim(named: &mut HashMap<u16, Option<Store>>, hash: u16, store: Store) {
    named.entry(hash).and_modify(|named| *named = None).or_insert(Some(store));
}
