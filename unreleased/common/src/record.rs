//! The record: what is in force, and whether one more command may be. `apply` is a function of the record and the command alone;
//! it asks coverage at the version in force, whatever version the proposer had checked at.

use std::collections::BTreeMap;

use gingerledge_coverage::{
    self as cover, Bounds, Counterexample, Coverage, Proposal, Requirements, Shortage,
};

use crate::command::*;
use crate::follower::View;
use crate::table::{Tables, BLOCKS_MAX, HOLDERS_MAX, SITES_MAX, ZONES_MAX};

/// A zone as the record has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Zone {
    /// How much of what is near stays near, in thousandths.
    pub permille: u16,
    /// Its last move.
    pub moved: Version,
    /// Whether that was up.
    pub up: bool,
    /// How often in a row it failed soon after a return.
    pub again: u32,
}

/// All that the fleet agrees on.
#[derive(Debug)]
pub struct Record {
    pub(crate) tables: Tables,
    pub(crate) coverage: Coverage,
}

impl Default for Record {
    fn default() -> Self {
        Self::of(Tables::default())
    }
}

impl PartialEq for Record {
    fn eq(&self, other: &Self) -> bool {
        self.tables == other.tables
    }
}

impl Record {
    fn of(tables: Tables) -> Self {
        let bounds = Bounds { stores: SITES_MAX, blocks: BLOCKS_MAX, holders: HOLDERS_MAX, zones: ZONES_MAX };
        let mut record = Self { tables, coverage: Coverage::new(bounds) };
        record.cover_anew();
        record
    }

    /// Tells coverage of all tables. What does not fit there was refused before it came into them.
    fn cover_anew(&mut self) {
        for row in self.tables.sites.values() {
            if let Some(site) = self.tables.placed(row) {
                let _ = self.coverage.set_site(site);
            }
        }
        for held in self.tables.blocks.values() {
            let _ = self.coverage.set_block(self.tables.held(held));
        }
        for row in self.tables.zones.values() {
            self.coverage.set_share(cover::Zone(row.number), share(row.permille));
        }
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.tables.version
    }

    /// What has to remain of each range whoever asks.
    pub fn least(&self) -> LeastFact {
        self.tables.least()
    }

    /// A zone.
    pub fn zone(&self, name: &str) -> Option<Zone> {
        let row = self.tables.zones.get(name)?;
        Some(Zone { permille: row.permille, moved: row.moved, up: row.up, again: row.again })
    }

    /// The names of all zones.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.tables.zones.keys().map(String::as_str)
    }

    /// A store as it was found, and the window in force that it is in.
    pub fn site(&self, store: &str) -> Option<(&SiteFact, Option<BookingId>)> {
        Some((&self.tables.sites.get(store)?.fact, self.tables.window(store)))
    }

    /// All stores as they were found.
    pub fn sites(&self) -> impl Iterator<Item = &SiteFact> {
        self.tables.sites.values().map(|row| &row.fact)
    }

    /// The number that coverage knows a store by.
    pub fn number(&self, store: &str) -> Option<cover::Store> {
        self.tables.number(store)
    }

    /// All blocks.
    pub fn blocks(&self) -> impl Iterator<Item = &HeldFact> {
        self.tables.blocks.values()
    }

    /// The map's version and its hash.
    pub fn map(&self) -> (u64, u64) {
        (self.tables.map_version, self.tables.map_hash)
    }

    /// All bookings, and whether each has begun.
    pub fn bookings(&self) -> impl Iterator<Item = (BookingId, &Plan, bool)> {
        self.tables.bookings.iter().map(|(id, row)| (*id, &row.plan, row.begun))
    }

    /// Under which version each broker acts.
    pub fn took(&self) -> impl Iterator<Item = (&str, Version)> {
        self.tables.took.iter().map(|(name, version)| (name.as_str(), *version))
    }

    /// The calculus at the version in force.
    pub fn coverage(&self) -> &Coverage {
        &self.coverage
    }

    /// What brokers act on.
    pub fn view(&self) -> View {
        let part = self.tables.zones.iter().filter(|(_, row)| row.permille < WHOLE);
        let begun = self.tables.bookings.iter().filter(|(_, row)| row.begun);
        View {
            version: self.tables.version,
            shares: part.map(|(name, row)| (name.clone(), row.permille)).collect(),
            out: begun.flat_map(|(id, row)| row.plan.stores.iter().map(|name| (name.clone(), *id))).collect(),
            map: self.map(),
        }
    }

    /// Takes a command, or refuses it; `index` is its place in the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        match self.play(index, command) {
            Ok(Some(notes)) => {
                self.tables.version = Version(index);
                Answer::Taken { version: Version(index), notes }
            }
            Ok(None) => Answer::Taken { version: self.tables.version, notes: Vec::new() },
            Err(why) => Answer::Refused { version: self.tables.version, why },
        }
    }

    /// What would come of a command, were it taken now: the check of whoever proposes it.
    pub fn would(&self, command: &Command) -> Answer {
        let version = self.tables.version;
        let checked = match command {
            Command::Shares { zone, permille, follows, .. } => {
                self.check_lead(zone, *permille, *follows).map(|_| ())
            }
            Command::Map { from, to, held, gone, .. } => self.check_map(*from, *to, held, gone).map(|_| ()),
            Command::Book { plan, .. } => self.check_book(plan),
            Command::Begin { id, .. } => self.check_begin(*id).map(|_| ()),
            Command::Goal { least } => check_goal(*least),
            // Facts and ends are not refused for cover.
            Command::Sites { .. } | Command::End { .. } | Command::Cancel { .. } | Command::Took { .. } => {
                Ok(())
            }
        };
        match checked {
            Ok(()) => Answer::Taken { version, notes: Vec::new() },
            Err(why) => Answer::Refused { version, why },
        }
    }

    /// Nothing where nothing has changed.
    fn play(&mut self, index: u64, command: &Command) -> Result<Option<Vec<Note>>, Refusal> {
        match command {
            Command::Goal { least } => self.goal(*least),
            Command::Sites { sites } => self.found(index, sites),
            Command::Shares { zone, permille, follows, again, .. } => {
                self.lead(index, zone, *permille, *follows, *again)
            }
            Command::Map { from, to, hash, held, gone, .. } => {
                let proposal = self.check_map(*from, *to, held, gone)?;
                Ok(Some(self.map_to(index, (*to, *hash), held, proposal)))
            }
            Command::Book { plan, .. } => self.book(index, plan).map(Some),
            Command::Begin { id, .. } => self.begin(index, *id),
            Command::End { id } | Command::Cancel { id, .. } => self.end(*id),
            Command::Took { broker, version } => {
                let (known, version) = (self.tables.version, *version);
                if version > known {
                    return Err(Refusal::Unfit(format!(
                        "version {} is none yet, there is {}",
                        version.0, known.0
                    )));
                }
                self.tables.took(broker, version).map(|()| None)
            }
        }
    }

    fn goal(&mut self, least: LeastFact) -> Result<Option<Vec<Note>>, Refusal> {
        check_goal(least)?;
        let new = self.tables.least != Some(least);
        self.tables.least = Some(least);
        Ok(new.then(Vec::new))
    }

    /// Takes facts in, and calls windows back that they leave no room for.
    fn found(&mut self, index: u64, sites: &[SiteFact]) -> Result<Option<Vec<Note>>, Refusal> {
        let before = self.weakened();
        if !self.tables.all_sites(sites)? {
            return Ok(None);
        }
        self.tables.found = Version(index);
        for fact in sites {
            self.tell(&fact.store);
        }
        let notes = self.call_back(&before);
        // Names come and go over a long life: a store that is gone, holds nothing and is in no booking is let go.
        let held = |store| self.coverage.blocks_of_store(store).next().is_some();
        for store in self.tables.let_go(held) {
            self.coverage.remove_site(store);
        }
        Ok(Some(notes))
    }

    /// Tells coverage how a store stands now.
    pub(crate) fn tell(&mut self, store: &str) {
        if let Some(site) = self.tables.sites.get(store).and_then(|row| self.tables.placed(row)) {
            let _ = self.coverage.set_site(site);
        }
    }

    /// Whether a zone may take a step. It may not where that makes a zone's load grow past its room: then what is near stays there,
    /// and is refused there as today. Loads under a mixture of the old and the new share lie between those under either.
    fn check_lead(&self, zone: &str, permille: u16, follows: Version) -> Result<cover::Zone, Refusal> {
        let row = self.tables.zones.get(zone).ok_or_else(|| Refusal::Unknown(format!("zone `{zone}`")))?;
        if permille > WHOLE {
            return Err(Refusal::Unfit(format!("a share of {permille} thousandths: {WHOLE} is the most")));
        }
        if follows != row.moved {
            return Err(Refusal::Overtaken { met: row.moved });
        }
        let number = cover::Zone(row.number);
        let shares = BTreeMap::from([(number, share(permille))]);
        let proposal = Proposal { shares, ..Proposal::default() };
        let least = self.in_force(self.tables.least());
        let before = self.coverage.zone_loads(&Proposal::default(), &least);
        let after = self.coverage.zone_loads(&proposal, &least);
        let grows = |zone: &cover::Zone, load: f64| before.get(zone).is_none_or(|was| load > was.load);
        match after.iter().find(|(zone, room)| !room.is_within_limit() && grows(zone, room.load)) {
            None => Ok(number),
            Some((full, room)) => {
                let short = Shortage::Capacity { zone: *full, load: room.load, room: room.max_load };
                let example = self.tell_example(&self.example_at(&proposal, &least, short), &BTreeMap::new());
                Err(self.uncovered(example))
            }
        }
    }

    fn lead(
        &mut self,
        index: u64,
        zone: &str,
        permille: u16,
        follows: Version,
        again: bool,
    ) -> Result<Option<Vec<Note>>, Refusal> {
        let number = self.check_lead(zone, permille, follows)?;
        let Some(row) = self.tables.zones.get_mut(zone).filter(|row| row.permille != permille) else {
            return Ok(None);
        };
        let up = permille > row.permille;
        // What is remembered of failing again outlasts the way back, and ends with a first fall that is none so.
        row.again = match (up, row.up) {
            _ if again => row.again.saturating_add(1),
            (false, true) => 0,
            _ => row.again,
        };
        (row.permille, row.moved, row.up) = (permille, Version(index), up);
        self.coverage.set_share(number, share(permille));
        Ok(Some(vec![Note::Moved { zone: zone.to_owned(), permille }]))
    }

    /// The range that shows a zone to be over its room.
    fn example_at(&self, proposal: &Proposal, least: &Requirements, short: Shortage) -> Counterexample {
        let room = Requirements { holders: 0, zones: 0, ..*least };
        self.coverage.check(proposal, &room).err().unwrap_or(Counterexample {
            keys: cover::KeyRange::default(),
            block: None,
            shortage: short,
            holders: Vec::new(),
        })
    }

    /// What has to remain while windows are in force, as coverage takes it.
    pub(crate) fn in_force(&self, least: LeastFact) -> Requirements {
        let begun = self.tables.bookings.values().filter(|row| row.begun);
        begun.fold(least, |least, row| least.stricter(row.plan.least)).least()
    }
}

fn check_goal(least: LeastFact) -> Result<(), Refusal> {
    if least.holders == 0 || least.headroom_permille >= WHOLE {
        let text = "a goal: expected one holder at least, and a headroom under 1000 thousandths";
        return Err(Refusal::Unfit(text.to_owned()));
    }
    Ok(())
}

fn share(permille: u16) -> f64 {
    f64::from(permille.min(WHOLE)) / f64::from(WHOLE)
}

/// The forms in which a log and its snapshots hold it.
impl Record {
    /// Takes a command as it stands in the log; returns the answer in the same form.
    pub fn take(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let answer = decode(command).map_or(Answer::Unreadable, |command| self.apply(index, &command));
        encode(&answer)
    }

    /// All of it.
    pub fn snapshot(&self) -> Vec<u8> {
        encode(&self.tables)
    }

    /// A record from its snapshot; none of bytes that are no such.
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        decode(bytes).map(Self::of)
    }
}
