//! What one broker saw of each zone in the last short span, and the one bounded message in which it tells so.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// No report is longer; what does not fit is left out, the least traffic first.
pub const REPORT_MAX: usize = 256;

/// How a part that was sent to a zone ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served in its query's aim.
    InAim,
    /// Served, and too late for that.
    Late,
    /// Turned away, or answered with an error.
    Refused,
    /// No answer, or no connection.
    Silent,
}

/// So many parts ended so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Served in their aim.
    pub in_aim: u32,
    /// Served late.
    pub late: u32,
    /// Turned away, or answered with an error.
    pub refused: u32,
    /// No answer.
    pub silent: u32,
}

impl Counts {
    /// All of them.
    pub fn sent(&self) -> u64 {
        u64::from(self.in_aim) + u64::from(self.late) + u64::from(self.refused) + u64::from(self.silent)
    }

    /// The share that earned little or nothing: a late one half of it.
    pub fn bad(&self) -> f64 {
        let bad = f64::from(self.late) / 2.0 + f64::from(self.refused) + f64::from(self.silent);
        bad / (self.sent().max(1) as f64)
    }

    fn count(&mut self, fate: Fate) {
        let of = match fate {
            Fate::InAim => &mut self.in_aim,
            Fate::Late => &mut self.late,
            Fate::Refused => &mut self.refused,
            Fate::Silent => &mut self.silent,
        };
        *of = of.saturating_add(1);
    }
}

/// What a broker tells of a span.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its number, as membership has it.
    pub broker: u32,
    /// Its own zone.
    pub from: String,
    /// Rises with each report of one start of the broker.
    pub number: u64,
    /// What it saw, by zone.
    pub zones: Vec<(String, Counts)>,
}

impl Report {
    /// As it is sent, within [`REPORT_MAX`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut told = self.clone();
        told.zones.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.sent()));
        loop {
            let bytes = postcard::to_stdvec(&told).unwrap_or_default();
            if bytes.len() <= REPORT_MAX {
                return bytes;
            }
            if told.zones.pop().is_none() {
                return Vec::new();
            }
        }
    }

    /// Reads one; none of what is no report, or too long.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (report, rest) =
            postcard::take_from_bytes::<Self>(bytes.get(..bytes.len().min(REPORT_MAX + 1))?).ok()?;
        (rest.is_empty() && bytes.len() <= REPORT_MAX).then_some(report)
    }
}

/// Counts until the next report.
#[derive(Debug)]
pub struct Tally {
    broker: u32,
    from: String,
    number: u64,
    every_ms: f64,
    told: f64,
    zones: BTreeMap<String, Counts>,
    most: usize,
}

impl Tally {
    /// A tally that tells every so often, of so many zones at the most.
    pub fn new(broker: u32, from: &str, every_ms: f64, most: usize, now: f64) -> Self {
        Self { broker, from: from.to_owned(), number: 0, every_ms, told: now, zones: BTreeMap::new(), most }
    }

    /// A part sent to a zone has ended.
    pub fn ended(&mut self, zone: &str, fate: Fate) {
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.count(fate);
        } else if self.zones.len() < self.most {
            let mut counts = Counts::default();
            counts.count(fate);
            self.zones.insert(zone.to_owned(), counts);
        }
    }

    /// When the next report is due.
    pub fn due(&self) -> f64 {
        self.told + self.every_ms
    }

    /// The report of the span that has passed, if one has; also of a span in which nothing was sent.
    pub fn report(&mut self, now: f64) -> Option<Report> {
        if now < self.due() {
            return None;
        }
        (self.told, self.number) = (now, self.number + 1);
        let zones = std::mem::take(&mut self.zones).into_iter().collect();
        Some(Report { broker: self.broker, from: self.from.clone(), number: self.number, zones })
    }
}
