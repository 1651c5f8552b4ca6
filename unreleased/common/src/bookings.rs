//! Maintenance windows in the record: booked against every other that overlaps, checked again as they begin, called back when a fact
//! leaves a range at its least, ended. No clock is asked: when a window is to begin is data, and that it begins is a command.

use std::collections::BTreeMap;

use gingerledge_coverage::{Proposal, Store};

use crate::command::{BookingId, LeastFact, Note, Plan, Refusal, Version};
use crate::record::Record;
use crate::table::{BookingRow, BOOKINGS_MAX, SITES_MAX};

/// Sound holders, and zones with one, of blocks by number.
pub(crate) type Weakened = BTreeMap<u32, (u32, u32)>;

impl Record {
    /// Whether a window may be booked: at every moment of it what remains is enough, with all that overlap it away too.
    pub(crate) fn check_book(&self, plan: &Plan) -> Result<(), Refusal> {
        if plan.stores.is_empty() || plan.stores.len() > SITES_MAX || plan.length_ms == 0 {
            return Err(Refusal::Unfit("a window: expected stores, and a length above 0".to_owned()));
        }
        if plan.least.holders == 0 {
            return Err(Refusal::Unfit(
                "a window: one sound holder at least has to remain of each range".to_owned(),
            ));
        }
        if let Some(name) = plan.stores.iter().find(|name| !self.tables.sites.contains_key(*name)) {
            return Err(Refusal::Unknown(format!("store `{name}`")));
        }
        if self.tables.bookings.len() >= BOOKINGS_MAX {
            return Err(Refusal::Full { what: "windows".to_owned(), most: BOOKINGS_MAX as u64 });
        }
        let others: Vec<(BookingId, Plan)> = self
            .tables
            .bookings
            .iter()
            .filter(|(_, row)| row.plan.overlaps(plan))
            .map(|(id, row)| (*id, row.plan.clone()))
            .collect();
        // Holders grow fewer only where a window begins; room may be short where one ends, for what its stores draw anew may come
        // from a zone that has room onto one that has none.
        let turns = others.iter().flat_map(|(_, other)| [other.from_unix_ms, other.end_unix_ms()]);
        let inside = |at: &u64| (plan.from_unix_ms + 1..plan.end_unix_ms()).contains(at);
        let moments = turns.filter(inside).chain([plan.from_unix_ms]);
        for at in moments {
            let holds = |other: &Plan| other.from_unix_ms <= at && at < other.end_unix_ms();
            let beside: Vec<&(BookingId, Plan)> = others.iter().filter(|(_, other)| holds(other)).collect();
            self.check_away(plan, &beside)?;
        }
        Ok(())
    }

    pub(crate) fn book(&mut self, index: u64, plan: &Plan) -> Result<Vec<Note>, Refusal> {
        self.check_book(plan)?;
        let id = BookingId(index);
        let row = BookingRow { plan: plan.clone(), begun: false, changed: Version(index) };
        self.tables.bookings.insert(id, row);
        Ok(vec![Note::Booked(id)])
    }

    /// Whether a window's stores may be away beside those of others.
    fn check_away(&self, plan: &Plan, beside: &[&(BookingId, Plan)]) -> Result<(), Refusal> {
        let mut booked: BTreeMap<Store, BookingId> = BTreeMap::new();
        let mut least: LeastFact = self.tables.least().stricter(plan.least);
        for (id, other) in beside {
            booked.extend(other.stores.iter().filter_map(|name| Some((self.tables.number(name)?, *id))));
            least = least.stricter(other.least);
        }
        let own = plan.stores.iter().filter_map(|name| self.tables.number(name));
        let away = own.chain(booked.keys().copied()).collect();
        let proposal = Proposal { excluded_stores: away, ..Proposal::default() };
        let checked = self.coverage.check(&proposal, &self.in_force(least));
        checked.map_err(|example| self.uncovered(self.tell_example(&example, &booked)))
    }

    /// Whether what is in force by now leaves room for a window; whether it has begun.
    pub(crate) fn check_begin(&self, id: BookingId) -> Result<bool, Refusal> {
        let unknown = || Refusal::Unknown(format!("window {}", id.0));
        let row = self.tables.bookings.get(&id).ok_or_else(unknown)?;
        if !row.begun {
            self.check_away(&row.plan, &[])?;
        }
        Ok(row.begun)
    }

    /// Begins a window.
    pub(crate) fn begin(&mut self, index: u64, id: BookingId) -> Result<Option<Vec<Note>>, Refusal> {
        if self.check_begin(id)? {
            return Ok(None);
        }
        let Some(row) = self.tables.bookings.get_mut(&id) else { return Ok(None) };
        (row.begun, row.changed) = (true, Version(index));
        let stores = row.plan.stores.clone();
        stores.iter().for_each(|store| self.tell(store));
        Ok(Some(vec![Note::Begun(id)]))
    }

    /// Ends a window, or calls it off. One that is no more has ended.
    pub(crate) fn end(&mut self, id: BookingId) -> Result<Option<Vec<Note>>, Refusal> {
        let Some(row) = self.tables.bookings.remove(&id) else { return Ok(None) };
        row.plan.stores.iter().for_each(|store| self.tell(store));
        Ok(Some(vec![Note::Ended(id)]))
    }

    /// How well the blocks are held that windows in force weaken.
    pub(crate) fn weakened(&self) -> Weakened {
        let begun = self.tables.bookings.values().filter(|row| row.begun);
        let stores = begun.flat_map(|row| &row.plan.stores).filter_map(|name| self.tables.number(name));
        let blocks = stores.flat_map(|store| self.coverage.blocks_of_store(store));
        blocks.filter_map(|block| Some((block.0, self.held_by(block.0)?))).collect()
    }

    fn held_by(&self, block: u32) -> Option<(u32, u32)> {
        let cover = self.coverage.cover_at(self.tables.blocks.get(&block)?.first)?;
        Some((cover.sound, cover.zones))
    }

    /// Calls windows in force back, the latest first, while a fact has left a range that they weaken at its least or under it.
    pub(crate) fn call_back(&mut self, before: &Weakened) -> Vec<Note> {
        let mut notes = Vec::new();
        let begun = self.tables.bookings.iter().filter(|(_, row)| row.begun);
        let begun: Vec<BookingId> = begun.map(|(id, _)| *id).rev().collect();
        for id in begun {
            let Some(row) = self.tables.bookings.get(&id) else { continue };
            let least = self.tables.least().stricter(row.plan.least);
            let stores: Vec<Store> =
                row.plan.stores.iter().filter_map(|name| self.tables.number(name)).collect();
            let blocks = stores.iter().flat_map(|store| self.coverage.blocks_of_store(*store));
            let fell = |block: &gingerledge_coverage::Block| {
                let Some(now) = self.held_by(block.0) else { return false };
                let fallen = before.get(&block.0).is_some_and(|was| now.0 < was.0 || now.1 < was.1);
                fallen && least.reached(now)
            };
            let mut fallen: Vec<_> = blocks.filter(fell).collect();
            fallen.sort_unstable();
            let Some(block) = fallen.first() else { continue };
            let example = self.as_held(block.0, least);
            let _ = self.end(id);
            notes.push(Note::CalledBack { id, example });
        }
        notes
    }
}
