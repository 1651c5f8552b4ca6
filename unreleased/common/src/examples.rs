//! Refusals told by names: what a range falls short of, what takes each of its holders away, and which decision it rests on.

use std::collections::BTreeMap;

use gingerledge_coverage::{Block, Counterexample, HolderStatus, Shortage, State, Store};

use crate::command::{BookingId, Decision, ExampleFact, LeastFact, LostFact, Refusal, Version, WHOLE};
use crate::record::Record;

impl Record {
    /// A counterexample by names; `booked` are stores that other windows would have out by then.
    pub(crate) fn tell_example(
        &self,
        example: &Counterexample,
        booked: &BTreeMap<Store, BookingId>,
    ) -> ExampleFact {
        let name = |store: &Store| {
            let named = self.tables.sites.iter().find(|(_, row)| row.number == store.0);
            named.map_or_else(|| format!("#{}", store.0), |(name, _)| name.clone())
        };
        let zone = |zone: &gingerledge_coverage::Zone| {
            let named = self.tables.zones.iter().find(|(_, row)| row.number == zone.0);
            named.map_or_else(|| format!("#{}", zone.0), |(name, _)| name.clone())
        };
        let lost = |store: &Store, lost: &HolderStatus| match (lost, booked.get(store)) {
            (HolderStatus::Excluded, Some(id)) => LostFact::Booking(*id),
            (HolderStatus::Excluded, None) => LostFact::Proposed,
            (HolderStatus::Sound, _) => LostFact::Sound,
            (HolderStatus::Unavailable(State::InWindow), _) => match self.tables.window(&name(store)) {
                Some(id) => LostFact::Booking(id),
                None => LostFact::State("in a window".to_owned()),
            },
            (HolderStatus::Unavailable(state), _) => LostFact::State(format!("{state:?}").to_lowercase()),
            (HolderStatus::ShareReduced(of), _) => LostFact::Share(zone(of)),
        };
        let short = match &example.shortage {
            Shortage::Holders { sound, least } => format!("{sound} sound holders, {least} needed"),
            Shortage::Zones { sound, least } => format!("sound holders in {sound} zones, {least} needed"),
            Shortage::Capacity { zone: full, load, room } => {
                format!("zone {}: load {load:.3}, room {room:.3}", zone(full))
            }
            Shortage::Gap => "no block holds it".to_owned(),
            Shortage::Overlap { other } => format!("block {} holds it too", other.0),
        };
        ExampleFact {
            block: example.block.map(|block| block.0),
            first: example.keys.first,
            end: example.keys.end,
            short,
            holders: example.holders.iter().map(|(store, how)| (name(store), lost(store, how))).collect(),
        }
    }

    /// A block as it is held now, for whom it matters that it has no more than the least.
    pub(crate) fn as_held(&self, block: u32, least: LeastFact) -> ExampleFact {
        let held = self.coverage.block(Block(block));
        let holders = held.iter().flat_map(|held| &held.holders);
        let lost = |store: &Store| match self.coverage.site(*store).map(|site| site.state) {
            Some(state) if state.is_sound() => HolderStatus::Sound,
            state => HolderStatus::Unavailable(state.unwrap_or(State::Gone)),
        };
        let holders: Vec<(Store, HolderStatus)> = holders.map(|store| (*store, lost(store))).collect();
        let sound = holders.iter().filter(|(_, lost)| *lost == HolderStatus::Sound).count() as u32;
        let keys = held.as_ref().map(|held| held.keys).unwrap_or_default();
        let short = Shortage::Holders { sound, least: least.holders };
        let example = Counterexample { keys, block: Some(Block(block)), shortage: short, holders };
        self.tell_example(&example, &BTreeMap::new())
    }

    /// A refusal that names the last decision which its counterexample rests on.
    pub(crate) fn uncovered(&self, example: ExampleFact) -> Refusal {
        let mut met = (self.tables.found, Decision::Facts);
        let mut rests = |version: Version, what: Decision| {
            if version > met.0 || met.1 == Decision::Facts {
                met = (version, what);
            }
        };
        if self.tables.mapped > Version::default() && example.block.is_some() {
            rests(self.tables.mapped, Decision::Map);
        }
        for row in self.tables.zones.values().filter(|row| row.permille < WHOLE) {
            if example.short.starts_with("zone ") {
                rests(row.moved, Decision::Shares);
            }
        }
        for (_, lost) in &example.holders {
            if let LostFact::Booking(id) = lost {
                let changed = self.tables.bookings.get(id).map(|row| row.changed);
                rests(changed.unwrap_or_default(), Decision::Booking(*id));
            }
        }
        Refusal::Uncovered { met: met.0, what: met.1, example }
    }
}
