//! Load by hour of the week, as brokers share it. Owns 168 cells for each of a bounded number of brokers, each broker the only writer
//! of its own; promises that merging is commutative, associative and idempotent, at the bound too (the brokers heard of last stay).
//! It says how an hour lies against the week's mean, and how old that is. Knows no transport.

use std::collections::BTreeMap;

use thiserror::Error;

/// Hours of a week, from Monday midnight UTC on.
pub const HOURS: usize = 168;
const HOUR_MS: u64 = 3_600_000;
/// What a store's load is told against: the mean.
const MEAN: u64 = 1000;

/// The hour of the week that an hour of Unix time is.
fn of_week(unix_hour: u64) -> usize {
    // Unix time begins on a Thursday.
    (unix_hour.wrapping_add(72) % HOURS as u64) as usize
}

/// What a broker knows of one hour of the week.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cell {
    /// When it was counted last, in hours of Unix time; 0: never.
    pub unix_hour: u64,
    /// What was served in such an hour, the last weighed most.
    pub load: u64,
}

/// A broker's cells, by hour of the week.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Week {
    /// The last hour that it counted whole.
    last: u64,
    cells: Vec<Cell>,
}

/// What can't be a broker's week.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// Cells are missing, or too many.
    #[error("{0} cells: a week has 168")]
    Cells(usize),
    /// A cell of another hour, or of one to come.
    #[error("cell {cell} was counted at hour {unix_hour}: that is another hour of the week, or to come; set the sender's clock")]
    Hour {
        /// Which.
        cell: usize,
        /// What it says.
        unix_hour: u64,
    },
}

impl Week {
    /// What another broker told. One from the future would stay for the newest for ever.
    pub fn told(cells: Vec<Cell>, now_unix_ms: u64) -> Result<Self, Unfit> {
        if cells.len() != HOURS {
            return Err(Unfit::Cells(cells.len()));
        }
        let now = now_unix_ms / HOUR_MS;
        let unfit = |(n, cell): &(usize, &Cell)| cell.unix_hour > now || of_week(cell.unix_hour) != *n;
        let mut known = cells.iter().enumerate().filter(|(_, cell)| cell.unix_hour > 0);
        if let Some((cell, of)) = known.find(unfit) {
            return Err(Unfit::Hour { cell, unix_hour: of.unix_hour });
        }
        Ok(Self { last: cells.iter().map(|cell| cell.unix_hour).max().unwrap_or(0), cells })
    }

    /// Its cells, to be told.
    pub fn cells(&self) -> &[Cell] {
        &self.cells
    }

    /// The mean of the hours known, none of none.
    fn mean(&self, known: impl Fn(&Cell) -> bool) -> Option<u64> {
        let known: Vec<u128> = self.cells.iter().filter(|c| known(c)).map(|c| u128::from(c.load)).collect();
        let sum: u128 = known.iter().sum();
        (!known.is_empty()).then(|| (sum / known.len() as u128) as u64)
    }
}

/// Counts a broker's own week.
#[derive(Clone, Debug)]
pub struct Counter {
    week: Week,
    /// The hour under way, what it served, and whether it is counted from its beginning.
    open: Option<(u64, u64, bool)>,
}

impl Default for Counter {
    fn default() -> Self {
        Self { week: Week { last: 0, cells: vec![Cell::default(); HOURS] }, open: None }
    }
}

impl Counter {
    /// Counts what was served; 0 says that it is up. An hour counts once it is over and was counted whole.
    pub fn count(&mut self, now_unix_ms: u64, served: u64) {
        let hour = now_unix_ms / HOUR_MS;
        match &mut self.open {
            Some((open, sum, _)) if *open == hour => *sum = sum.saturating_add(served),
            open => {
                let over = open.replace((hour, served, open.is_some_and(|(last, ..)| last + 1 == hour)));
                if let Some((past, sum, true)) = over.filter(|(past, ..)| *past < hour) {
                    self.close(past, sum);
                }
            }
        }
    }

    fn close(&mut self, hour: u64, sum: u64) {
        let cell = &mut self.week.cells[of_week(hour)];
        // Half of it is the last week's, a quarter that before: seasons pass, and one odd day does not stand alone.
        let load = if cell.unix_hour == 0 { sum } else { cell.load / 2 + sum / 2 };
        *cell = Cell { unix_hour: hour, load };
        self.week.last = self.week.last.max(hour);
    }

    /// Takes back what others hold of it, after a restart.
    pub fn resume(&mut self, held: &Week) {
        for (own, held) in self.week.cells.iter_mut().zip(&held.cells) {
            *own = (*own).max(*held);
        }
        self.week.last = self.week.last.max(held.last);
    }

    /// Its week, to be told.
    pub fn week(&self) -> &Week {
        &self.week
    }
}

/// What is to be expected of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// Its busiest hour against the week's mean, in thousandths.
    pub permille: u64,
    /// How many hours ago its hours were counted last, the oldest of them; none where one was never: then the busiest hour that
    /// is known stands in for it.
    pub age_hours: Option<u64>,
}

/// The weeks of all brokers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    brokers_max: usize,
    /// What is older counts for nothing.
    keep_hours: u64,
    weeks: BTreeMap<String, Week>,
}

impl Profile {
    /// An empty one.
    pub fn new(brokers_max: usize, keep_hours: u64) -> Self {
        Self { brokers_max, keep_hours, weeks: BTreeMap::new() }
    }

    /// Takes a broker's week in, if it is newer than what is held of it.
    pub fn take(&mut self, broker: &str, week: &Week) {
        let held = self.weeks.entry(broker.to_owned()).or_insert_with(|| week.clone());
        if *held < *week {
            held.clone_from(week);
        }
        while self.weeks.len() > self.brokers_max {
            let oldest = self.weeks.iter().min_by_key(|(name, week)| (week.last, *name));
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            self.weeks.remove(&name);
        }
    }

    /// Takes all in that another holds.
    pub fn merge(&mut self, other: &Self) {
        other.weeks.iter().for_each(|(broker, week)| self.take(broker, week));
    }

    /// What is held of a broker.
    pub fn week(&self, broker: &str) -> Option<&Week> {
        self.weeks.get(broker)
    }

    /// What is to be expected of a span: its busiest hour against the mean. With nothing known, the mean.
    pub fn forecast(&self, from_unix_ms: u64, length_ms: u64, now_unix_ms: u64) -> Forecast {
        let now = now_unix_ms / HOUR_MS;
        let last = from_unix_ms.saturating_add(length_ms.max(1) - 1) / HOUR_MS;
        let first = (from_unix_ms / HOUR_MS).max(last.saturating_sub(HOURS as u64 - 1));
        let hours: Vec<_> = (first..=last).map(|hour| self.hour(of_week(hour), now)).collect();
        let all = || (0..HOURS).filter_map(|hour| self.hour(hour, now)).map(|(permille, _)| permille).max();
        if hours.iter().any(Option::is_none) {
            return Forecast { permille: all().unwrap_or(MEAN), age_hours: None };
        }
        let known = || hours.iter().flatten();
        Forecast {
            permille: known().map(|(permille, _)| *permille).max().unwrap_or(MEAN),
            age_hours: known().map(|(_, age)| *age).max(),
        }
    }

    /// An hour against the mean by all who know it, each against its own, and the age of the newest count.
    fn hour(&self, of_week: usize, now: u64) -> Option<(u64, u64)> {
        let known = |cell: &Cell| cell.unix_hour > 0 && cell.unix_hour.saturating_add(self.keep_hours) >= now;
        let knows = self.weeks.values().filter(|week| known(&week.cells[of_week]));
        let (mut load, mut mean, mut newest) = (0_u128, 0_u128, None);
        for week in knows {
            let cell = week.cells[of_week];
            load += u128::from(cell.load);
            mean += u128::from(week.mean(known)?);
            newest = newest.max(Some(cell.unix_hour));
        }
        let permille = (load * u128::from(MEAN)).checked_div(mean).unwrap_or(u128::from(MEAN));
        Some((permille as u64, now.saturating_sub(newest?)))
    }
}
