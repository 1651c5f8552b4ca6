//! The witness: what was really done at each store and at discovery, when, and by which broker. It stands where things happen,
//! in the stand-ins and on the links between, so that no verdict rests on what a broker says of itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A broker, by its number.
pub type Who = usize;

/// What was done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Deed {
    /// A connection was opened to a store.
    Dialled(usize),
    /// A part's call came whole to a store: its id, with the query's name before the first dot.
    Began(usize, String),
    /// A part ran at a store of a site.
    Ran(usize, String),
    /// So many parts came to a store of a site as one call.
    Shared(usize, usize),
    /// A rule of the platform was broken, as the witness of a site saw.
    Breach(String),
    /// A store was asked how it does.
    Probed(usize),
    /// Discovery was called: for a watch (true) or for the list.
    Called(bool),
    /// A datagram of so many bytes went out to another broker.
    Said(Who, usize),
}

/// A deed, with its time and who did it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When, from the ledger's beginning.
    pub at: Duration,
    /// By whom.
    pub by: Who,
    /// What.
    pub deed: Deed,
}

/// All that was done.
pub struct Ledger {
    since: Instant,
    lines: RefCell<Vec<Line>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { since: Instant::now(), lines: RefCell::default() }
    }
}

impl Ledger {
    /// Writes a line.
    pub fn note(&self, by: Who, deed: Deed) {
        self.lines.borrow_mut().push(Line { at: self.now(), by, deed });
    }

    /// The time on the ledger.
    pub fn now(&self) -> Duration {
        self.since.elapsed()
    }

    /// The lines from a time on of which something is wanted, with what.
    pub fn pick<T>(&self, from: Duration, want: impl Fn(&Line) -> Option<T>) -> Vec<T> {
        let lines = self.lines.borrow();
        let first = lines.partition_point(|line| line.at < from);
        lines[first..].iter().filter_map(want).collect()
    }

    /// How many lines there are from a time on that are wanted.
    pub fn count(&self, from: Duration, want: impl Fn(&Line) -> bool) -> usize {
        self.pick(from, |line| want(line).then_some(())).len()
    }

    /// The most lines that are wanted within any span of this length, from a time on.
    pub fn most_within(&self, span: Duration, from: Duration, want: impl Fn(&Line) -> bool) -> usize {
        let times = self.pick(from, |line| want(line).then_some(line.at));
        let mut first = 0;
        let mut most = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] + span < *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// What the witness of a site saw of that, who knows the rules there.
    pub fn seen(&self) -> Vec<String> {
        self.pick(Duration::ZERO, |line| match &line.deed {
            Deed::Breach(what) => Some(format!("broker {}: {what}", line.by)),
            _ => None,
        })
    }

    /// What breaks a rule of the platform, a sentence each: a part begun more than `attempts` times, and a part of an entry,
    /// whose query's name begins with `e`, begun twice, and what a site's witness saw. It knows no answers: where stores turn
    /// parts away, the second is none.
    pub fn breaches(&self, attempts: usize) -> Vec<String> {
        let mut begun: BTreeMap<(Who, String), usize> = BTreeMap::new();
        for line in self.lines.borrow().iter() {
            if let Deed::Began(_, id) = &line.deed {
                *begun.entry((line.by, id.clone())).or_default() += 1;
            }
        }
        let breach = |((by, id), times): (&(Who, String), &usize)| {
            let most = if id.starts_with('e') { 1 } else { attempts };
            (*times > most).then(|| format!("part {id} begun {times} times by broker {by}, at most {most}"))
        };
        begun.iter().filter_map(breach).chain(self.seen()).collect()
    }
}
