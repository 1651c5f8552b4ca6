//! What the reports of many brokers say of a zone together. A zone is judged by the median over brokers, each weighed by its traffic
//! up to a share of the sum, so that neither a liar nor a giant sways it; that it fails has to be said by three brokers at least,
//! which stand in two zones at least. Evidence dies by itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::tally::{Counts, Report};

/// How reports are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weighing {
    /// No broker weighs more than this share of all, or than an equal one where brokers are few.
    pub weight_most: f64,
    /// From this share of bad parts on a broker says that a zone fails; below the second one that it is well.
    pub fails: f64,
    /// See above.
    pub well: f64,
    /// So many brokers have to say so, in so many zones: two that collude never suffice.
    pub brokers_least: usize,
    /// See above.
    pub zones_least: usize,
    /// A broker that sent fewer parts in its span says nothing.
    pub sent_least: u64,
    /// A report counts for so long.
    pub evidence_ms: f64,
    /// Reports of so many brokers are held.
    pub brokers_most: usize,
}

impl Default for Weighing {
    fn default() -> Self {
        Self {
            weight_most: 0.2,
            fails: 0.5,
            well: 0.1,
            brokers_least: 3,
            zones_least: 2,
            sent_least: 3,
            evidence_ms: 3000.0,
            brokers_most: 2000,
        }
    }
}

/// What the reports say of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// It fails.
    Fails,
    /// It is well.
    Well,
    /// Neither, or too few have anything to say.
    Unclear,
}

#[derive(Debug)]
struct Heard {
    at: f64,
    report: Report,
}

/// The reports that count now.
#[derive(Debug)]
pub struct Evidence {
    weighing: Weighing,
    heard: BTreeMap<u32, Heard>,
}

impl Evidence {
    /// None yet.
    pub fn new(weighing: Weighing) -> Self {
        Self { weighing, heard: BTreeMap::new() }
    }

    /// Takes a report in; the newest of each broker counts. One with a number that went back is of a broker that began anew, and
    /// counts once the one before has died: else an old one that was repeated would.
    pub fn hear(&mut self, now: f64, report: Report) {
        self.forget(now);
        let held = self.heard.get(&report.broker);
        let stale = held.is_some_and(|heard| report.number <= heard.report.number);
        if !stale && (held.is_some() || self.heard.len() < self.weighing.brokers_most) {
            self.heard.insert(report.broker, Heard { at: now, report });
        }
    }

    fn forget(&mut self, now: f64) {
        let keep = self.weighing.evidence_ms;
        self.heard.retain(|_, heard| now - heard.at <= keep);
    }

    /// How many brokers' reports count.
    pub fn brokers(&self) -> usize {
        self.heard.len()
    }

    /// What they say of a zone now.
    pub fn judge(&mut self, now: f64, zone: &str) -> Judged {
        self.forget(now);
        let counts =
            |heard: &'_ Heard| heard.report.zones.iter().find(|(name, _)| name == zone).map(|(_, c)| *c);
        let mut said: Vec<(f64, u64, &str)> = Vec::new();
        for heard in self.heard.values() {
            let Some(counts) = counts(heard).filter(|c: &Counts| c.sent() >= self.weighing.sent_least) else {
                continue;
            };
            said.push((counts.bad(), counts.sent(), heard.report.from.as_str()));
        }
        let median = weighed_median(&said, self.weighing.weight_most);
        let enough = |says: &dyn Fn(f64) -> bool| {
            let who: Vec<&str> = said.iter().filter(|(bad, ..)| says(*bad)).map(|(.., from)| *from).collect();
            who.len() >= self.weighing.brokers_least
                && who.iter().collect::<BTreeSet<_>>().len() >= self.weighing.zones_least
        };
        match median {
            Some(bad) if bad >= self.weighing.fails && enough(&|bad| bad >= self.weighing.fails) => {
                Judged::Fails
            }
            Some(bad) if bad <= self.weighing.well && enough(&|bad| bad <= self.weighing.well) => {
                Judged::Well
            }
            _ => Judged::Unclear,
        }
    }
}

/// The median of what was said, each weighed by its traffic, cut so that none has more than a share `most` of what is left of all.
fn weighed_median(said: &[(f64, u64, &str)], most: f64) -> Option<f64> {
    let most = most.max(1.0 / said.len().max(1) as f64);
    let mut sent: Vec<u64> = said.iter().map(|(_, sent, _)| *sent).collect();
    sent.sort_unstable();
    // The cut is the largest c with c <= most * sum of min(sent, c): those above it all weigh c.
    let mut cut = sent.first().copied().unwrap_or(0) as f64;
    let mut below = 0.0;
    for (n, own) in sent.iter().enumerate() {
        let above = (sent.len() - n) as f64;
        let own = *own as f64;
        if own <= most * (below + above * own) {
            cut = own;
        } else {
            let share = 1.0 - most * above;
            cut = if share > 0.0 { (most * below / share).max(cut) } else { own };
            break;
        }
        below += own;
    }
    let mut weights: Vec<(f64, f64)> =
        said.iter().map(|(bad, sent, _)| (*bad, (*sent as f64).min(cut))).collect();
    weights.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = weights.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    weights
        .iter()
        .find(|(_, w)| {
            sum += w;
            sum >= half
        })
        .map(|(bad, _)| *bad)
}
