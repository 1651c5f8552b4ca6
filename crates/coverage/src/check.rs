//! What a proposal would leave short. It looks at the blocks that the proposal touches, at those that are short already, which
//! the classes give, and at sums; at every range only where blocks change or overlap. It promises the smallest counterexample:
//! fewest keys, then the first key, then gap, overlap, holders, zones, capacity, then the block's number, then the zone's.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::coverage::{class, BlockEntry, Coverage, Ranked};
use crate::load::{self, add, fall, units, On, Onto, Part, Tally, ONE};
use crate::sweep::{sweep, Faults};
use crate::types::{
    Block, Counterexample, Held, Keys, Least, Lost, Proposal, Room, Short, State, Store, Zone,
};

/// A block after the proposal; its holders as slots of the stores that the table knows, by number.
struct Piece<'a> {
    block: Block,
    keys: Keys,
    load: u64,
    holders: &'a [u32],
}

/// A block that the proposal sets.
struct Draft {
    keys: Keys,
    load: u64,
    holders: Vec<u32>,
    named: BTreeSet<Store>,
}

/// A range that is short; the smallest one is told.
struct Found {
    rank: (u64, u64, u8, Block),
    keys: Keys,
    block: Option<Block>,
    short: Short,
}

impl Found {
    fn new(keys: Keys, block: Option<Block>, short: Short) -> Self {
        let kind = match short {
            Short::Gap => 0,
            Short::Overlap { .. } => 1,
            Short::Holders { .. } => 2,
            Short::Zones { .. } => 3,
            Short::Capacity { .. } => 4,
        };
        Self { rank: (keys.count(), keys.first, kind, block.unwrap_or_default()), keys, block, short }
    }

    fn of(piece: &Piece, short: Short) -> Self {
        Self::new(piece.keys, Some(piece.block), short)
    }
}

/// The table as it would be.
struct After<'a> {
    table: &'a Coverage,
    away: FxHashSet<u32>,
    shares: FxHashMap<Zone, u64>,
    drafts: BTreeMap<Block, Draft>,
    /// Slots of blocks that are no more, or set by the proposal.
    replaced: FxHashSet<u32>,
    /// Slots of blocks that lose a holder.
    robbed: FxHashSet<u32>,
    /// What is other than in the table's tally.
    delta: Tally,
}

impl Coverage {
    /// Whether each key has the least after the proposal; the smallest range that has not, if not. Every range counts, also
    /// one that was short before. An empty proposal asks of the state as it is.
    pub fn check(&self, proposal: &Proposal, least: &Least) -> Result<(), Counterexample> {
        let after = After::new(self, proposal);
        let mut found = after.faults(least);
        found.extend(after.short_before(least));
        found.extend(after.touched().filter_map(|piece| after.short(&piece, least)));
        found.extend(after.over_room(least));
        match found.into_iter().min_by_key(|found| found.rank) {
            None => Ok(()),
            Some(found) => Err(after.counterexample(found)),
        }
    }

    /// Load against room, zone by zone, after the proposal; of every zone that has a store, sound or not.
    pub fn carries(&self, proposal: &Proposal, least: &Least) -> BTreeMap<Zone, Room> {
        let rooms = After::new(self, proposal).rooms(least).into_iter();
        let told = |sums: Sums| Room {
            load: units(sums.load),
            room: units(sums.room),
            capacity: units(sums.capacity),
        };
        rooms.map(|(zone, sums)| (zone, told(sums))).collect()
    }
}

/// A zone's load and room, in millionths.
struct Sums {
    load: i128,
    room: i128,
    capacity: i128,
}

impl Draft {
    fn new(table: &Coverage, held: &Held) -> Self {
        let named: BTreeSet<Store> = held.holders.iter().copied().collect();
        let holders = named.iter().filter_map(|store| table.stores.slot(*store)).collect();
        Self { keys: held.keys, load: load::amount(held.load), holders, named }
    }
}

impl<'a> After<'a> {
    fn new(table: &'a Coverage, proposal: &Proposal) -> Self {
        let away = proposal.away.iter().filter_map(|store| table.stores.slot(*store)).collect();
        let shares = proposal.shares.iter().map(|(zone, share)| (*zone, load::share(*share, ONE))).collect();
        let drafts = proposal.held.iter().map(|held| (held.block, Draft::new(table, held)));
        let drafts: BTreeMap<Block, Draft> = drafts.collect();
        let replaced = proposal.gone.iter().chain(drafts.keys());
        let replaced = replaced.filter_map(|block| table.blocks.slot(*block)).collect();
        let (robbed, delta) = (FxHashSet::default(), Tally::default());
        let mut after = Self { table, away, shares, drafts, replaced, robbed, delta };
        after.rob();
        after.weigh();
        after
    }

    /// Finds the blocks at stores that go, and takes off what those can do.
    fn rob(&mut self) {
        for store in self.away.iter().filter_map(|slot| self.table.stores.at(*slot)) {
            let Some(site) = store.site.filter(|site| site.state.sound()) else { continue };
            add(&mut self.delta.capacity, site.zone, -i128::from(store.capacity));
            self.robbed.extend(store.blocks.iter().filter(|block| !self.replaced.contains(block)));
        }
    }

    /// Takes the touched blocks' load off where it falls, and lets it fall where it would.
    fn weigh(&mut self) {
        let (mut delta, mut parts) = (std::mem::take(&mut self.delta), Vec::new());
        let before = self.replaced.iter().chain(&self.robbed).filter_map(|slot| self.table.blocks.at(*slot));
        for entry in before {
            self.table.sound(&entry.holders, &FxHashSet::default(), &mut parts);
            fall(entry.load, &parts, &mut Onto { tally: &mut delta, sign: -1 });
        }
        for piece in self.touched() {
            self.table.sound(piece.holders, &self.away, &mut parts);
            fall(piece.load, &parts, &mut Onto { tally: &mut delta, sign: 1 });
        }
        self.delta = delta;
    }

    fn share(&self, zone: Zone) -> u64 {
        self.shares.get(&zone).copied().unwrap_or_else(|| self.table.share_of(zone))
    }

    fn piece(entry: &BlockEntry) -> Piece<'_> {
        Piece { block: entry.block, keys: entry.keys, load: entry.load, holders: &entry.holders }
    }

    /// Every block that is other than before.
    fn touched(&self) -> impl Iterator<Item = Piece<'_>> + use<'_, 'a> {
        let robbed = self.robbed.iter().filter_map(|slot| self.table.blocks.at(*slot)).map(Self::piece);
        let drafts = self.drafts.iter().filter(|(_, draft)| draft.keys.count() > 0);
        robbed.chain(drafts.map(|(block, draft)| Piece {
            block: *block,
            keys: draft.keys,
            load: draft.load,
            holders: &draft.holders,
        }))
    }

    /// Every block of a class that is as it was, the smallest first.
    fn as_before<'b>(&'b self, class: &'b BTreeSet<Ranked>) -> impl Iterator<Item = Piece<'b>> + use<'b, 'a> {
        class.iter().filter_map(|(_, _, block)| {
            let slot = self.table.blocks.slot(*block)?;
            let same = !self.robbed.contains(&slot) && !self.replaced.contains(&slot);
            self.table.blocks.at(slot).filter(|_| same).map(Self::piece)
        })
    }

    /// Gaps and overlaps. The table knows its own gaps; a sweep tells those among changed blocks, and overlaps.
    fn faults(&self, least: &Least) -> Vec<Found> {
        let as_before = self.drafts.is_empty() && self.replaced.is_empty();
        let faults = if as_before && self.table.overlaps == 0 {
            let gap = self.table.gaps.first().map(|(count, first)| Keys::new(*first, first + count));
            Faults { gap, overlap: None }
        } else {
            self.sweep()
        };
        // A gap has no holder: it is short of holders, and of zones.
        let gap = faults.gap.filter(|_| least.holders > 0 || least.zones > 0);
        let gap = gap.map(|keys| Found::new(keys, None, Short::Gap));
        let overlap = faults.overlap.map(|(keys, one, two)| {
            Found::new(keys, Some(one.min(two)), Short::Overlap { other: one.max(two) })
        });
        gap.into_iter().chain(overlap).collect()
    }

    fn sweep(&self) -> Faults {
        let drafts = self.drafts.iter().filter(|(_, draft)| draft.keys.count() > 0);
        let drafts = drafts.map(|(block, draft)| (draft.keys, *block));
        let mut hull = Keys::new(u64::MAX, 0);
        let mut widen = |keys: Keys| hull = Keys::new(hull.first.min(keys.first), hull.end.max(keys.end));
        let mut ranges = Vec::with_capacity(self.table.order.len() + self.drafts.len());
        for (block, keys) in self.table.blocks() {
            widen(keys);
            let slot = self.table.blocks.slot(block);
            if !slot.is_some_and(|slot| self.replaced.contains(&slot)) {
                ranges.push((keys, block));
            }
        }
        for (keys, block) in drafts {
            widen(keys);
            ranges.push((keys, block));
        }
        ranges.sort_by_key(|(keys, block)| (keys.first, *block));
        sweep(ranges.into_iter(), hull)
    }

    /// The smallest of the blocks that the proposal does not touch and that are short as they are, by classes.
    fn short_before(&self, least: &Least) -> Vec<Found> {
        let short = |(sound, zones): &(u32, u32)| *sound < least.holders || *zones < least.zones;
        let classes = self.table.classes.iter().filter(|(class, _)| short(class));
        classes.filter_map(|(_, class)| self.short(&self.as_before(class).next()?, least)).collect()
    }

    /// What a block is short of, of holders first.
    fn short(&self, piece: &Piece, least: &Least) -> Option<Found> {
        let mut parts = Vec::with_capacity(piece.holders.len());
        self.table.sound(piece.holders, &self.away, &mut parts);
        let (sound, zones) = class(&parts);
        if sound < least.holders {
            Some(Found::of(piece, Short::Holders { sound, least: least.holders }))
        } else if zones < least.zones {
            Some(Found::of(piece, Short::Zones { sound: zones, least: least.zones }))
        } else {
            None
        }
    }

    fn rooms(&self, least: &Least) -> BTreeMap<Zone, Sums> {
        let (table, delta) = (&self.table.tally, &self.delta);
        let loads = table.loads(delta, |zone| self.share(zone));
        let of = |sums: &FxHashMap<Zone, i128>, zone| sums.get(&zone).copied().unwrap_or(0);
        let sums = |zone: Zone| {
            let capacity = of(&table.capacity, zone) + of(&delta.capacity, zone);
            // Of a headroom that is no number all is to be spared.
            let room = load::without(capacity, load::share(least.headroom, ONE));
            Sums { load: of(&loads, zone), room, capacity }
        };
        self.table.zones.keys().map(|zone| (*zone, sums(*zone))).collect()
    }

    /// For each zone that more falls on than may, the smallest range that some of it comes from.
    fn over_room(&self, least: &Least) -> Vec<Found> {
        let over = self.rooms(least).into_iter().filter(|(_, sums)| sums.load > sums.room);
        let found = over.filter_map(|(zone, sums)| {
            let short = Short::Capacity { zone, load: units(sums.load), room: units(sums.room) };
            let falls = |piece: &Piece| self.falls_on(piece, zone);
            let before = self.table.classes.values().filter_map(|class| self.as_before(class).find(falls));
            let found = before.chain(self.touched().filter(falls)).map(|piece| Found::of(&piece, short));
            found.min_by_key(|found| found.rank)
        });
        found.collect()
    }

    fn falls_on(&self, piece: &Piece, zone: Zone) -> bool {
        let mut parts: Vec<Part> = Vec::with_capacity(piece.holders.len());
        self.table.sound(piece.holders, &self.away, &mut parts);
        let mut on = On { zone, share: |zone| self.share(zone), sum: 0 };
        fall(piece.load, &parts, &mut on);
        on.sum > 0
    }

    fn counterexample(&self, found: Found) -> Counterexample {
        let Found { keys, block, short, .. } = found;
        let stores = match block.map(|block| (self.drafts.get(&block), self.table.blocks.get(block))) {
            Some((Some(draft), _)) => draft.named.iter().copied().collect(),
            Some((None, Some(entry))) => self.table.names(&entry.holders),
            _ => Vec::new(),
        };
        let led = matches!(short, Short::Capacity { .. });
        let holders = stores.into_iter().map(|store| (store, self.lost(store, led))).collect();
        Counterexample { keys, block, short, holders }
    }

    fn lost(&self, store: Store, led: bool) -> Lost {
        let slot = self.table.stores.slot(store);
        match self.table.site(store) {
            None => Lost::State(State::Gone),
            Some(site) if !site.state.sound() => Lost::State(site.state),
            Some(_) if slot.is_some_and(|slot| self.away.contains(&slot)) => Lost::Proposed,
            Some(site) if led && self.share(site.zone) < ONE => Lost::Share(site.zone),
            Some(_) => Lost::Sound,
        }
    }
}
