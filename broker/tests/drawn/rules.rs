//! The rules, held against what stores and clients saw. The ledger knows of a core only its commands, and what it was told.

use std::collections::BTreeMap;
use std::rc::Rc;

use gingerledge::core::{AttemptRequest, FirstStep, OpaqueBytes};
use gingerledge_dispatch::{ListKind, Outcome, Repeat, ServerEntry, ServerId, ServerStatus, Settings};

use crate::scenario::Scenario;
use crate::tally::Tally;

/// A rule that was broken, and how.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: &'static str,
    pub text: String,
}

pub type Held = Result<(), Breach>;

/// Sums of weights may fall short by so much, times by so much.
pub const ROUNDING: f64 = 1e-4;
pub const INSTANT: f64 = 1e-3;

pub fn hold(kept: bool, rule: &'static str, text: impl FnOnce() -> String) -> Held {
    if kept {
        Ok(())
    } else {
        Err(Breach { rule, text: text() })
    }
}

#[derive(Debug)]
pub struct Try {
    pub at: f64,
    pub end: Option<Outcome>,
}

/// A part: its attempts, and what came of them.
#[derive(Debug)]
pub struct Piece {
    pub shard: u32,
    pub weight: f64,
    pub tries: Vec<Try>,
    /// Values that stores gave and the broker was told of.
    pub given: Vec<OpaqueBytes>,
    pub score: u64,
    pub runs: u32,
}

impl Piece {
    pub fn new(shard: u32, weight: f64) -> Self {
        Self { shard, weight, tries: Vec::new(), given: Vec::new(), score: 0, runs: 0 }
    }
}

/// A query as its client and the stores see it.
#[derive(Debug)]
pub struct Record {
    pub broker: usize,
    pub class: usize,
    pub deadline: f64,
    /// When its broker's turn took it.
    pub taken: Option<f64>,
    /// Its client left, or its broker died: nothing is owed.
    pub gone: bool,
    pub ended: bool,
    pub first: Vec<Piece>,
    pub second: Option<(Rc<FirstStep>, Vec<Piece>)>,
}

#[derive(Debug, Default)]
pub struct Told {
    cell: u32,
    since: f64,
    /// Since when it was told to be draining or gone.
    out: Option<f64>,
}

/// What one broker was told and took since it started.
#[derive(Debug, Default)]
pub struct Book {
    pub told: BTreeMap<ServerId, Told>,
    pub taken: Vec<f64>,
    pub extras: Vec<f64>,
    /// When it last asked for the list, whether that failed, and whether it is told of changes.
    pub asked: f64,
    pub failed: bool,
    pub subscribed: bool,
    /// How many changes of the list it was told of.
    pub heard: usize,
}

#[derive(Debug)]
pub struct Ledger {
    pub set: Settings,
    pub base: f64,
    pub records: Vec<Record>,
    pub books: Vec<Book>,
    /// What discovery has listed, and when.
    pub listed: Vec<(f64, ServerEntry)>,
    pub tally: Tally,
}

/// Where an attempt belongs: its query, its step, its piece and its number.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub ask: usize,
    pub second: bool,
    pub piece: usize,
    pub number: usize,
}

impl Ledger {
    pub fn new(scene: &Scenario) -> Self {
        let record = |ask: &crate::scenario::Asked| Record {
            broker: ask.broker,
            class: ask.class,
            deadline: ask.deadline,
            taken: None,
            gone: false,
            ended: false,
            first: ask.parts.iter().map(|part| Piece::new(part.0, part.1)).collect(),
            second: None,
        };
        Self {
            set: scene.settings.clone(),
            base: scene.base,
            records: scene.asks.iter().map(record).collect(),
            books: scene.brokers.iter().map(|_| Book::default()).collect(),
            listed: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// A broker starts, or starts anew and knows nothing.
    pub fn started(&mut self, broker: usize, now: f64) {
        for record in
            self.records.iter_mut().filter(|record| record.broker == broker && record.taken.is_some())
        {
            record.gone = true;
        }
        self.books[broker] = Book { asked: now, ..Book::default() };
    }

    pub fn taken(&mut self, ask: usize, now: f64) {
        let record = &mut self.records[ask];
        record.taken = Some(now);
        let orders = 1 + record.first.len();
        self.books[record.broker].taken.extend(std::iter::repeat_n(now, orders));
    }

    pub fn left(&mut self, ask: usize) {
        self.records[ask].gone = true;
    }

    /// Whether a client still waits for its answer.
    pub fn open(&self, ask: usize) -> bool {
        let record = &self.records[ask];
        record.taken.is_some() && !record.gone && !record.ended
    }

    /// A call for the list is made.
    pub fn asked(&mut self, broker: usize, now: f64) {
        self.books[broker].asked = now;
        self.books[broker].failed = false;
    }

    pub fn told(&mut self, broker: usize, now: f64, kind: ListKind, entries: &[ServerEntry]) {
        let base = self.base;
        let subscribe = self.set.requires_subscription;
        let book = &mut self.books[broker];
        match kind {
            ListKind::Failed => {
                // While it was told of changes it had no need to ask.
                book.asked = if book.subscribed { now } else { book.asked };
                (book.failed, book.subscribed) = (true, false);
            }
            ListKind::Restored => {}
            _ => book.subscribed |= subscribe,
        }
        if kind == ListKind::Complete {
            for (id, told) in &mut book.told {
                if !entries.iter().any(|entry| entry.server == *id) {
                    told.out.get_or_insert(now);
                }
            }
        }
        for entry in entries {
            let told = book.told.entry(entry.server).or_default();
            told.cell = entry.cell;
            told.since = if entry.started_at > 0.0 { entry.started_at - base } else { f64::NEG_INFINITY };
            match entry.status {
                ServerStatus::Ready => told.out = None,
                _ => drop(told.out.get_or_insert(now)),
            }
        }
    }

    /// Whether a broker was told that a store started when it did.
    pub fn knows(&self, broker: usize, server: ServerId, started: f64) -> bool {
        self.books[broker].told.get(&server).is_some_and(|told| told.since >= started - INSTANT)
    }

    /// Whether a broker is told of changes.
    pub fn follows(&self, broker: usize) -> bool {
        self.books[broker].subscribed
    }

    /// How many stores a broker may hold: those not told to be gone.
    pub fn most_known(&self, broker: usize) -> usize {
        self.books[broker].told.len()
    }

    fn pieces(&mut self, place: Place) -> &mut Piece {
        let record = &mut self.records[place.ask];
        match (&mut record.second, place.second) {
            (Some((_, pieces)), true) => &mut pieces[place.piece],
            _ => &mut record.first[place.piece],
        }
    }

    /// An attempt's end, as the broker is told.
    pub fn over(&mut self, place: Place, outcome: Outcome, given: Option<(u64, OpaqueBytes)>) {
        self.tally.met(&format!("ends {outcome:?}"));
        let piece = self.pieces(place);
        piece.tries[place.number].end = Some(outcome);
        if let Some((score, value)) = given {
            piece.score = score;
            piece.given.push(value);
        }
    }

    /// A store ran a part.
    pub fn ran(&mut self, place: Place) -> Held {
        let class = self.records[place.ask].class;
        let piece = self.pieces(place);
        piece.runs += 1;
        let runs = piece.runs;
        let entry = self.set.classes[class].repeat == Repeat::Unsafe;
        hold(!entry || runs < 2, "effect", || format!("query {}: an unsafe part ran {runs} times", place.ask))
    }

    /// A broker makes an attempt.
    pub fn sent(&mut self, broker: usize, now: f64, order: &AttemptRequest) -> Result<Place, Breach> {
        let ask: usize = order.query[1..].parse().unwrap_or(usize::MAX);
        let said = |what: String| format!("query {ask}, shard {} at {now:.3} ms: {what}", order.shard);
        let Some(record) = self.records.get(ask).filter(|record| record.broker == broker) else {
            return Err(Breach { rule: "open", text: said("nobody asked that".into()) });
        };
        let open = record.taken.is_some() && !record.gone && !record.ended;
        hold(open, "open", || said("sent for a query that is over".into()))?;
        let class = self.set.classes[record.class].clone();
        let first = record.second.is_none() || order.first_step.is_some();
        hold(first, "open", || said("first step sent after the second".into()))?;
        let pieces = record.second.as_ref().map_or(&record.first, |(_, pieces)| pieces);
        let piece = pieces.iter().position(|piece| piece.shard == order.shard);
        let Some(index) = piece else {
            return Err(Breach { rule: "open", text: said("nobody asked for that shard".into()) });
        };
        let piece = &pieces[index];
        let (number, tries) = (piece.tries.len(), &piece.tries);
        hold(piece.given.is_empty(), "open", || said("the part is in".into()))?;
        let numbered = order.attempt.number as usize == number;
        hold(numbered, "attempts", || said(format!("{:?} is its attempt {number}", order.attempt)))?;
        let most = self.set.max_attempts.max(1) as usize;
        hold(number < most, "attempts", || said(format!("attempt {} of {most}", number + 1)))?;
        let out = tries.iter().filter(|t| t.end.is_none()).count();
        hold(out == 0 || self.set.allows_parallel_attempts, "effect", || said("two at once".into()))?;
        let may_have_run = |t: &&Try| t.end.is_none_or(|end| !end.never_ran());
        let first = tries.iter().find(may_have_run).map(|t| t.at);
        let allowed = match (class.repeat, first) {
            (Repeat::Safe, _) | (_, None) => true,
            (Repeat::Unsafe, Some(_)) => false,
            (Repeat::Keyed, Some(first)) => now <= first + class.deduplication_ms + INSTANT,
        };
        let tried = || format!("{:?} again, memory {} ms, {tries:?}", class.repeat, class.deduplication_ms);
        hold(allowed, "effect", || said(tried()))?;
        self.tally.sent(class.repeat, number, out, first.is_some());
        self.tally.met_if(order.first_step.is_some(), "second steps");
        self.drained(broker, now, order.server).map_err(|what| Breach { rule: "drain", text: said(what) })?;
        let told = self.books[broker].told.get(&order.server);
        let reach = self.set.reach.min(self.set.cells);
        let holds = |cell: u32| (0..reach).any(|j| (order.shard + j) % self.set.cells == cell);
        let fits = told.is_some_and(|told| holds(told.cell));
        hold(fits, "holder", || said(format!("store {} does not hold it", order.server)))?;
        let left = self.records[ask].deadline - now;
        let patient = order.timeout_ms > 0.0 && order.timeout_ms <= left + 1.0;
        hold(patient, "open", || said(format!("{} ms of patience, {left} ms left", order.timeout_ms)))?;
        if number > 0 {
            self.spend(broker, now)?;
        }
        let place = Place { ask, second: order.first_step.is_some(), piece: index, number };
        self.pieces(place).tries.push(Try { at: now, end: None });
        Ok(place)
    }

    /// The ration of further attempts.
    fn spend(&mut self, broker: usize, now: f64) -> Held {
        let book = &mut self.books[broker];
        book.extras.push(now);
        let Some(budget) = self.set.retry_budget else { return Ok(()) };
        let within = |times: &[f64]| times.iter().filter(|&&at| at > now - budget.window_ms).count() as f64;
        let (used, taken) = (within(&book.extras), within(&book.taken));
        self.tally.met("sends from a ration");
        let allowed =
            budget.free_attempts + budget.attempts_per_arrival * (taken + self.unseen(broker)) + 1e-9;
        hold(used <= allowed, "budget", || format!("broker {broker} at {now:.3} ms: {used} of {allowed}"))
    }

    /// Parts of second steps that may be open with nothing sent yet: nobody saw them taken.
    fn unseen(&self, broker: usize) -> f64 {
        let parts = |record: &&Record| {
            let class = &self.set.classes[record.class];
            let inside = record.first.iter().filter(|piece| !piece.given.is_empty());
            let weight: f64 = inside.clone().map(|piece| piece.weight).sum();
            let may = record.second.is_none() && weight >= class.minimum_share - ROUNDING;
            if may {
                (class.follow_up_parts as usize).min(inside.count())
            } else {
                0
            }
        };
        self.records.iter().filter(|record| record.broker == broker).map(|record| parts(&record) as f64).sum()
    }

    /// Whether a store may be sent to: told to drain, or counted as told, no longer ago than the grace.
    fn drained(&mut self, broker: usize, now: f64, server: ServerId) -> Result<(), String> {
        let (book, grace) = (&self.books[broker], self.set.drain_grace_ms + INSTANT);
        self.tally.met_if(book.told.values().any(|told| told.out.is_some()), "sends while a store is out");
        if let Some(out) = book.told.get(&server).and_then(|told| told.out) {
            let ago = now - out;
            if ago > grace {
                return Err(format!("store {server} told to be out {ago:.3} ms ago"));
            }
        }
        if !self.set.requires_subscription || book.subscribed {
            return Ok(());
        }
        // Who has neither asked nor been told for so long counts as told of what was listed that long ago.
        let span = self.set.list_refresh_ms * if book.failed { 4.0 } else { 1.0 };
        // What it was told since goes before that.
        let last = self.listed[book.heard..].iter().rev().find(|(at, entry)| {
            let counts = (at + span).max(book.asked + span);
            entry.server == server && counts + grace < now
        });
        match last {
            Some((at, entry)) if entry.status != ServerStatus::Ready => {
                Err(format!("store {server}, listed as out at {at:.3} ms, counts as told"))
            }
            _ => Ok(()),
        }
    }
}
