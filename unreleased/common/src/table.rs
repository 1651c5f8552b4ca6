//! What the record holds, as it stands in a snapshot: rows by name, and the numbers that coverage knows them by. Numbers are given
//! in the order of the log and never twice, so that equal logs give equal ones.

use std::collections::BTreeMap;

use gingerledge_coverage as cover;
use serde::{Deserialize, Serialize};

use crate::command::{BookingId, HeldFact, LeastFact, Plan, Refusal, SiteFact, StateFact, Version, WHOLE};

/// Bounds of the record. They are part of what is agreed on: were they settings of each voter, equal logs would not make equal records.
pub(crate) const SITES_MAX: usize = 2000;
pub(crate) const ZONES_MAX: usize = 64;
pub(crate) const BLOCKS_MAX: usize = 100_000;
pub(crate) const HOLDERS_MAX: usize = 16;
pub(crate) const BOOKINGS_MAX: usize = 256;
pub(crate) const BROKERS_MAX: usize = 2000;
/// No name is longer.
pub(crate) const NAME_MAX: usize = 128;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct SiteRow {
    pub number: u32,
    pub fact: SiteFact,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ZoneRow {
    pub number: u16,
    pub region: u16,
    pub permille: u16,
    /// Its last move, whether that was up, and how often it failed soon after a return.
    pub moved: Version,
    pub up: bool,
    pub again: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct BookingRow {
    pub plan: Plan,
    pub begun: bool,
    pub changed: Version,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Tables {
    pub version: Version,
    pub least: Option<LeastFact>,
    pub sites: BTreeMap<String, SiteRow>,
    pub zones: BTreeMap<String, ZoneRow>,
    pub regions: BTreeMap<String, u16>,
    pub blocks: BTreeMap<u32, HeldFact>,
    pub map_version: u64,
    pub map_hash: u64,
    pub mapped: Version,
    /// When facts last changed something.
    pub found: Version,
    pub bookings: BTreeMap<BookingId, BookingRow>,
    pub took: BTreeMap<String, Version>,
    pub next_site: u32,
}

fn named(name: &str, what: &str) -> Result<(), Refusal> {
    let fit = (1..=NAME_MAX).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic());
    if fit {
        Ok(())
    } else {
        Err(Refusal::Unfit(format!(
            "{what} `{}`: expected 1 to {NAME_MAX} visible characters",
            name.escape_debug()
        )))
    }
}

fn full(what: &str, most: usize) -> Refusal {
    Refusal::Full { what: what.to_owned(), most: most as u64 }
}

impl Tables {
    /// What has to remain of each range whoever asks.
    pub fn least(&self) -> LeastFact {
        self.least.unwrap_or(LeastFact { holders: 1, zones: 1, headroom_permille: 0 })
    }

    /// Takes facts in, all or none; whether they say something new. The map, which may be large, is not copied for that.
    pub fn all_sites(&mut self, facts: &[SiteFact]) -> Result<bool, Refusal> {
        let kept = (self.sites.clone(), self.zones.clone(), self.regions.clone(), self.next_site);
        let taken = facts.iter().try_fold(false, |new, fact| Ok(self.site(fact)? || new));
        if taken.is_err() {
            (self.sites, self.zones, self.regions, self.next_site) = kept;
        }
        taken
    }

    /// Takes a fact in; whether it says something new.
    fn site(&mut self, fact: &SiteFact) -> Result<bool, Refusal> {
        for (name, what) in [(&fact.store, "store"), (&fact.zone, "zone"), (&fact.region, "region")] {
            named(name, what)?;
        }
        if self.sites.get(&fact.store).is_some_and(|row| row.fact == *fact) {
            return Ok(false);
        }
        if !self.sites.contains_key(&fact.store) && self.sites.len() >= SITES_MAX {
            return Err(full("stores", SITES_MAX));
        }
        self.zone(&fact.zone, &fact.region)?;
        let number = self.sites.get(&fact.store).map(|row| row.number);
        let number = number.unwrap_or_else(|| {
            self.next_site += 1;
            self.next_site
        });
        self.sites.insert(fact.store.clone(), SiteRow { number, fact: fact.clone() });
        Ok(true)
    }

    fn zone(&mut self, zone: &str, region: &str) -> Result<(), Refusal> {
        let fresh = !self.zones.contains_key(zone);
        if (fresh && self.zones.len() >= ZONES_MAX)
            || (!self.regions.contains_key(region) && self.regions.len() >= ZONES_MAX)
        {
            return Err(full("zones", ZONES_MAX));
        }
        let next = self.regions.len() as u16;
        let region = *self.regions.entry(region.to_owned()).or_insert(next);
        let number = self.zones.len() as u16;
        let (moved, up) = (Version::default(), true);
        let row = ZoneRow { number, region, permille: WHOLE, moved, up, again: 0 };
        self.zones.entry(zone.to_owned()).or_insert(row).region = region;
        Ok(())
    }

    /// Whether a block can be taken in: its names known, its range one, its holders not too many and no two alike.
    pub fn fits(&self, held: &HeldFact) -> Result<(), Refusal> {
        let of = format!("block {} ({}..{})", held.block, held.first, held.end);
        if held.first >= held.end {
            return Err(Refusal::Unfit(format!(
                "{of}: an empty range; its end has to lie above its first number"
            )));
        }
        if held.holders.is_empty() || held.holders.len() > HOLDERS_MAX {
            return Err(Refusal::Unfit(format!("{of}: expected 1 to {HOLDERS_MAX} holders")));
        }
        for (n, name) in held.holders.iter().enumerate() {
            if held.holders[..n].contains(name) {
                return Err(Refusal::Unfit(format!("{of}: `{name}` stands twice among its holders")));
            }
            if !self.sites.contains_key(name) {
                return Err(Refusal::Unknown(format!("store `{name}`, holder of {of},")));
            }
        }
        Ok(())
    }

    /// A store's number.
    pub fn number(&self, store: &str) -> Option<cover::Store> {
        self.sites.get(store).map(|row| cover::Store(row.number))
    }

    /// A block as coverage takes it.
    pub fn held(&self, held: &HeldFact) -> cover::BlockAssignment {
        cover::BlockAssignment {
            block: cover::Block(held.block),
            keys: cover::KeyRange { first: held.first, end: held.end },
            holders: held.holders.iter().filter_map(|name| self.number(name)).collect(),
            load: held.load_milli as f64 / 1000.0,
        }
    }

    /// The window in force that a store is in.
    pub fn window(&self, store: &str) -> Option<BookingId> {
        let holds = |row: &BookingRow| row.begun && row.plan.stores.iter().any(|name| name == store);
        self.bookings.iter().find(|(_, row)| holds(row)).map(|(id, _)| *id)
    }

    /// A store as coverage takes it.
    pub fn placed(&self, row: &SiteRow) -> Option<cover::Site> {
        let zone = self.zones.get(&row.fact.zone)?;
        let state = match row.fact.state {
            StateFact::Gone => cover::State::Gone,
            _ if self.window(&row.fact.store).is_some() => cover::State::InWindow,
            StateFact::Listed => cover::State::Listed,
            StateFact::Draining => cover::State::Draining,
            StateFact::OutByHand => cover::State::OutByHand,
            StateFact::Cold(permille) => {
                cover::State::Cold { share: f64::from(permille.min(WHOLE)) / f64::from(WHOLE) }
            }
        };
        Some(cover::Site {
            store: cover::Store(row.number),
            zone: cover::Zone(zone.number),
            region: cover::Region(zone.region),
            capacity: row.fact.capacity_milli as f64 / 1000.0,
            state,
        })
    }

    /// Lets go of stores that are gone, of which nothing is held and that are in no booking.
    pub fn let_go(&mut self, held: impl Fn(cover::Store) -> bool) -> Vec<cover::Store> {
        let booked = |name: &String| self.bookings.values().any(|row| row.plan.stores.contains(name));
        let used = |name: &String, row: &SiteRow| held(cover::Store(row.number)) || booked(name);
        let gone = |(name, row): &(&String, &SiteRow)| row.fact.state == StateFact::Gone && !used(name, row);
        let gone: Vec<String> = self.sites.iter().filter(gone).map(|(name, _)| name.clone()).collect();
        gone.iter().filter_map(|name| self.sites.remove(name)).map(|row| cover::Store(row.number)).collect()
    }

    /// Notes which version a broker acts under; none of a name that is new when the table is full.
    pub fn took(&mut self, broker: &str, version: Version) -> Result<(), Refusal> {
        named(broker, "broker")?;
        if !self.took.contains_key(broker) && self.took.len() >= BROKERS_MAX {
            // Whoever has been silent for longest acts under the oldest version.
            let oldest = self.took.iter().min_by_key(|(_, version)| **version).map(|(name, _)| name.clone());
            oldest.and_then(|name| self.took.remove(&name));
        }
        let held = self.took.entry(broker.to_owned()).or_default();
        *held = version.max(*held);
        Ok(())
    }
}
