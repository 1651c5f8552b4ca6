//! When which share of a zone is proposed. One broker decides at a time, by the record; each that could watches, and waits from when
//! it saw the zone's last move itself, by its own clock: no clocks are compared, and one that takes over waits in full.

use std::collections::BTreeMap;

use gingerledge_common::{Answer, Command, Record, Version, WHOLE};

use crate::evidence::{Evidence, Judged};

/// The steps and waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A step of a share, in thousandths; half of it, and half of that, where the others have no room for more.
    pub step_permille: u16,
    /// What is left to a zone that is away, so that it is tried.
    pub least_permille: u16,
    /// It is said to fail for so long before its first step.
    pub fails_ms: f64,
    /// It is said to be well for so long before a step back.
    pub well_ms: f64,
    /// Between two steps one way.
    pub step_ms: f64,
    /// Between two moves in opposite directions.
    pub rest_ms: f64,
    /// Failing so soon after a return doubles that, up to so many times.
    pub again_ms: f64,
    /// See above.
    pub doubled_most: u32,
    /// A proposal that nobody answered for is made again.
    pub ask_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            step_permille: 250,
            least_permille: 20,
            fails_ms: 1000.0,
            well_ms: 3000.0,
            step_ms: 500.0,
            rest_ms: 10_000.0,
            again_ms: 60_000.0,
            doubled_most: 5,
            ask_ms: 2000.0,
        }
    }
}

/// Where a zone is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All that is near stays near.
    Near,
    /// It is being led away.
    Shedding,
    /// As little as may be is left to it.
    Away,
    /// The first step back.
    Trying,
    /// On its way back.
    Returning,
}

/// A step that ought to be agreed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposed {
    /// The zone.
    pub zone: String,
    /// The command.
    pub command: Command,
}

#[derive(Debug)]
struct Watched {
    /// The zone's last move, and when it was seen here.
    moved: Version,
    seen: f64,
    fails_since: Option<f64>,
    well_since: Option<f64>,
    /// When a step was last proposed.
    asked: Option<f64>,
}

/// Watches all zones of the record.
#[derive(Debug)]
pub struct Decider {
    bounds: Bounds,
    zones: BTreeMap<String, Watched>,
}

impl Decider {
    /// One that has seen nothing yet.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, zones: BTreeMap::new() }
    }

    /// Where a zone is, by its share and which way that went last.
    pub fn phase(&self, record: &Record, zone: &str) -> Option<Phase> {
        let zone = record.zone(zone)?;
        Some(match (zone.permille, zone.up) {
            (WHOLE.., _) => Phase::Near,
            (least, false) if least <= self.bounds.least_permille => Phase::Away,
            (_, false) => Phase::Shedding,
            (share, true) if share <= self.bounds.least_permille + self.bounds.step_permille => Phase::Trying,
            (_, true) => Phase::Returning,
        })
    }

    /// What ought to be proposed now; nothing unless `decides`, but time and evidence count all the same.
    pub fn tick(
        &mut self,
        now: f64,
        record: &Record,
        evidence: &mut Evidence,
        decides: bool,
    ) -> Vec<Proposed> {
        let names: Vec<String> = record.zones().map(str::to_owned).collect();
        self.zones.retain(|name, _| names.contains(name));
        let mut proposed = Vec::new();
        for name in names {
            let Some(zone) = record.zone(&name) else { continue };
            let judged = evidence.judge(now, &name);
            let fresh =
                || Watched { moved: zone.moved, seen: now, fails_since: None, well_since: None, asked: None };
            let watched = self.zones.entry(name.clone()).or_insert_with(fresh);
            if watched.moved != zone.moved {
                (watched.moved, watched.seen, watched.asked) = (zone.moved, now, None);
            }
            watched.fails_since = (judged == Judged::Fails).then(|| watched.fails_since.unwrap_or(now));
            watched.well_since = (judged == Judged::Well).then(|| watched.well_since.unwrap_or(now));
            if decides && watched.asked.is_none_or(|at| now - at >= self.bounds.ask_ms) {
                if let Some(command) = step(&self.bounds, watched, now, record, &name) {
                    watched.asked = Some(now);
                    proposed.push(Proposed { zone: name, command });
                }
            }
        }
        proposed
    }
}

/// The next step of a zone that is due and that the record would take.
fn step(bounds: &Bounds, watched: &Watched, now: f64, record: &Record, name: &str) -> Option<Command> {
    let zone = record.zone(name)?;
    let lasts = |since: Option<f64>, ms: f64| since.is_some_and(|at| now - at >= ms);
    let up = match (lasts(watched.fails_since, bounds.fails_ms), lasts(watched.well_since, bounds.well_ms)) {
        (true, _) if zone.permille > bounds.least_permille => false,
        (_, true) if zone.permille < WHOLE => true,
        _ => return None,
    };
    let quiet = now - watched.seen;
    let turns = up != zone.up && zone.moved > Version::default();
    let doubled = f64::from(1u32 << zone.again.min(bounds.doubled_most));
    let wait = match (turns, zone.moved > Version::default()) {
        (true, _) => bounds.rest_ms * doubled,
        (false, true) => bounds.step_ms,
        (false, false) => 0.0,
    };
    if quiet < wait {
        return None;
    }
    let again = turns && !up && quiet <= bounds.again_ms * doubled;
    let command = |by: u16| {
        let permille = if up {
            zone.permille.saturating_add(by).min(WHOLE)
        } else {
            zone.permille.saturating_sub(by).max(bounds.least_permille)
        };
        Command::Shares { at: record.version(), zone: name.to_owned(), permille, follows: zone.moved, again }
    };
    let smaller = [1, 2, 4].map(|part| command((bounds.step_permille / part).max(1)));
    smaller.into_iter().find(|command| matches!(record.would(command), Answer::Taken { .. }))
}
