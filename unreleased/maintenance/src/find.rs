//! Finds windows for a set of stores in a time frame: the earliest, or the fewest. Each is held against the record with all that is
//! booked and the windows found before it, by the record's own rule; the forecast goes in as headroom, since a load that grows by a
//! factor meets its room as one that does not meets a room that much smaller. Promises that what it finds is taken by this record if
//! booked in this order; says how few windows there must be at least, and what was in the way of an earlier beginning.

use std::collections::{BTreeMap, BTreeSet};

use gingerledge_common::{Answer, Command, LeastFact, Plan, Record, Refusal};
use gingerledge_coverage::{Requirements, Store};
use thiserror::Error;

use crate::profile::{Forecast, Profile};
use crate::waves::{waves, Effort, NoWaves, Waves};

/// What is sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Goal {
    /// Begin as early as can be: as many as may go at each time, though it be busy.
    Earliest,
    /// As few windows as are found at the quietest time; each then waits for a time that bears it.
    Fewest,
}

/// What is asked. Loads of the map count as the week's mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// These are to go, each once; those of a zone or a release are for who asks to name.
    pub stores: Vec<String>,
    /// So long each.
    pub length_ms: u64,
    /// No window begins before.
    pub from_unix_ms: u64,
    /// None ends after.
    pub until_unix_ms: u64,
    /// Beginnings are tried at this grain.
    pub step_ms: u64,
    /// Between two windows, for the stores of the first to warm.
    pub warm_ms: u64,
    /// What has to remain; the headroom that of the forecast load.
    pub least: LeastFact,
    /// Who asks.
    pub by: String,
    /// What is sought.
    pub goal: Goal,
}

/// What was in the way of an earlier beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing: the frame begins then.
    Frame,
    /// The window before it, and the warming of its stores.
    Before,
    /// This, one step earlier.
    Refused(Refusal),
}

/// A window found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// What to book.
    pub plan: Plan,
    /// What it was reckoned with.
    pub forecast: Forecast,
    /// Why it is not earlier.
    pub why: Why,
}

/// All windows, in order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// To be booked in this order.
    pub windows: Vec<Window>,
    /// No way takes fewer, at whatever time of the frame.
    pub at_least: usize,
}

/// Why nothing was found.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum NotFound {
    /// The frame holds no beginning, or too many.
    #[error("{steps} beginnings in the frame, {most} may be tried: widen the frame or the step")]
    Steps {
        /// So many.
        steps: u64,
        /// The bound.
        most: u64,
    },
    /// The record does not know it.
    #[error("store `{0}` is not known to the record; tell of it first")]
    Unknown(String),
    /// A store can't go at any time of the frame, with nothing else away.
    #[error("store `{store}` can't go even alone at the quietest time: {why}")]
    Never {
        /// The store; any of those asked for if something is short as it is.
        store: String,
        /// Why.
        why: Box<Refusal>,
    },
    /// The frame is over before all have gone.
    #[error("{} stores are left when the frame is over (`{}` and others); widen it", left.len(), left.first().map_or("", String::as_str))]
    Frame {
        /// These windows there are.
        found: Vec<Window>,
        /// These stores have none.
        left: Vec<String>,
        /// What was in the way at last.
        why: Option<Box<Refusal>>,
    },
}

/// A least for a load that is other than the mean.
pub fn scaled(least: LeastFact, permille: u64) -> LeastFact {
    let kept = 1000 - u64::from(least.headroom_permille.min(1000));
    let kept = (kept * 1000 / permille.max(1)).min(1000);
    // All to be spared would refuse even what nobody asks.
    LeastFact { headroom_permille: (1000 - kept).min(999) as u16, ..least }
}

struct Finder<'a> {
    ask: &'a Ask,
    profile: &'a Profile,
    effort: &'a Effort,
    now: u64,
    names: BTreeMap<Store, String>,
    /// The record with nothing booked: what waves are parted by.
    bare: Record,
    /// The record with all that is booked, and what has been found.
    scratch: Record,
}

/// Finds windows. `steps_most` bounds how many beginnings are tried.
pub fn find(
    record: &Record,
    profile: &Profile,
    ask: &Ask,
    effort: &Effort,
    steps_most: u64,
    now_unix_ms: u64,
) -> Result<Found, NotFound> {
    let span = ask.until_unix_ms.checked_sub(ask.from_unix_ms.saturating_add(ask.length_ms));
    let steps = span.map_or(0, |span| span / ask.step_ms.max(1) + 1);
    if steps == 0 || steps > steps_most {
        return Err(NotFound::Steps { steps, most: steps_most });
    }
    let number = |name: &String| {
        let number = record.number(name).ok_or_else(|| NotFound::Unknown(name.clone()))?;
        Ok((number, name.clone()))
    };
    let names = ask.stores.iter().map(number).collect::<Result<_, _>>()?;
    let scratch = || Record::restore(&record.snapshot()).unwrap_or_default();
    let mut bare = scratch();
    for (id, ..) in record.bookings() {
        bare.apply(bare.version().0 + 1, &Command::End { id });
    }
    let finder = Finder { ask, profile, effort, now: now_unix_ms, names, bare, scratch: scratch() };
    finder.windows(steps)
}

impl Finder<'_> {
    fn forecast(&self, from: u64) -> Forecast {
        self.profile.forecast(from, self.ask.length_ms, self.now)
    }

    fn plan(&self, stores: &[Store], from: u64) -> Plan {
        Plan {
            stores: stores.iter().filter_map(|store| self.names.get(store)).cloned().collect(),
            from_unix_ms: from,
            length_ms: self.ask.length_ms,
            least: scaled(self.ask.least, self.forecast(from).permille),
            by: self.ask.by.clone(),
        }
    }

    fn would(&self, stores: &[Store], from: u64) -> Result<(), Refusal> {
        let book = Command::Book { at: self.scratch.version(), plan: self.plan(stores, from) };
        match self.scratch.would(&book) {
            Answer::Refused { why, .. } => Err(why),
            _ => Ok(()),
        }
    }

    /// Waves of what is left, under a forecast.
    fn parted(&self, left: &BTreeSet<Store>, permille: u64) -> Result<Waves, NoWaves> {
        let least = scaled(self.ask.least, permille).stricter(self.bare.least());
        let headroom = f64::from(least.headroom_permille) / 1000.0;
        let least = Requirements { holders: least.holders, zones: least.zones, headroom };
        waves(self.bare.coverage(), left, &least, self.effort)
    }

    fn windows(mut self, steps: u64) -> Result<Found, NotFound> {
        let mut left: BTreeSet<Store> = self.names.keys().copied().collect();
        let times: Vec<u64> =
            (0..steps).map(|n| self.ask.from_unix_ms + n * self.ask.step_ms.max(1)).collect();
        let quietest = times.iter().copied().min_by_key(|from| self.forecast(*from).permille);
        let quietest = quietest.unwrap_or(self.ask.from_unix_ms);
        let fewest = self.parted(&left, self.forecast(quietest).permille);
        let fewest = fewest.map_err(|why| self.never(&why, quietest))?;
        let at_least = fewest.at_least;
        let mut waiting = fewest.waves;
        // Waves of what is left, by forecast: many hours have the same.
        let mut by_load: BTreeMap<u64, Vec<Vec<Store>>> = BTreeMap::new();
        let (mut found, mut free, mut refused) = (Vec::<Window>::new(), 0, None);
        for from in times {
            if left.is_empty() {
                break;
            }
            if from < free {
                continue;
            }
            let forecast = self.forecast(from);
            let tried = match self.ask.goal {
                Goal::Fewest => self.first_taken(&waiting, from),
                Goal::Earliest => {
                    let parted =
                        || self.parted(&left, forecast.permille).map(|w| w.waves).unwrap_or_default();
                    let waves = by_load.entry(forecast.permille).or_insert_with(parted);
                    self.most(waves, &left, from)
                }
            };
            let wave = match tried {
                Ok(wave) => wave,
                Err(why) => {
                    refused = Some(why);
                    continue;
                }
            };
            let plan = self.plan(&wave, from);
            self.scratch.apply(
                self.scratch.version().0 + 1,
                &Command::Book { at: self.scratch.version(), plan: plan.clone() },
            );
            left.retain(|store| !wave.contains(store));
            waiting.retain(|other| *other != wave);
            by_load.clear();
            let first = if found.is_empty() { Why::Frame } else { Why::Before };
            let why = refused.take().map_or(first, Why::Refused);
            free = plan.end_unix_ms().saturating_add(self.ask.warm_ms);
            found.push(Window { plan, forecast, why });
        }
        if left.is_empty() {
            return Ok(Found { windows: found, at_least });
        }
        let left = left.iter().filter_map(|store| self.names.get(store)).cloned().collect();
        Err(NotFound::Frame { found, left, why: refused.map(Box::new) })
    }

    /// Why there are no waves, in the record's own words: coverage's know no names.
    fn never(&self, why: &NoWaves, from: u64) -> NotFound {
        let store = match why {
            NoWaves::Alone { store, .. } => Some(*store),
            NoWaves::AsItIs(_) => self.names.keys().next().copied(),
        };
        let plan = self.plan(store.as_slice(), from);
        let named = store.and_then(|store| self.names.get(&store)).cloned().unwrap_or_default();
        let why = match self.bare.would(&Command::Book { at: self.bare.version(), plan }) {
            Answer::Refused { why, .. } => why,
            _ => Refusal::Unfit("ranges are short with nobody away; mend that first".to_owned()),
        };
        NotFound::Never { store: named, why: Box::new(why) }
    }

    /// The first of the waves that may go then, or why the first may not.
    fn first_taken(&self, waves: &[Vec<Store>], from: u64) -> Result<Vec<Store>, Refusal> {
        let mut first = None;
        for wave in waves {
            match self.would(wave, from) {
                Ok(()) => return Ok(wave.clone()),
                Err(why) => drop(first.get_or_insert(why)),
            }
        }
        Err(first.unwrap_or(Refusal::Unfit("no stores together".to_owned())))
    }

    /// As many as may go then: the first wave that is taken, and who else may go with it.
    fn most(&self, waves: &[Vec<Store>], left: &BTreeSet<Store>, from: u64) -> Result<Vec<Store>, Refusal> {
        let mut wave = self.first_taken(waves, from).unwrap_or_default();
        let mut first = None;
        for store in left {
            if wave.contains(store) {
                continue;
            }
            wave.push(*store);
            if let Err(why) = self.would(&wave, from) {
                wave.pop();
                first.get_or_insert(why);
            }
        }
        match first {
            Some(why) if wave.is_empty() => Err(why),
            _ => Ok(wave),
        }
    }
}
