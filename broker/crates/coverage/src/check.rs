//! What a proposal would leave short. It looks at the blocks that the proposal touches, at those that are short already, which
//! the classes give, and at sums; at every range only where blocks change or overlap. It promises the smallest counterexample:
//! fewest keys, then the first key, then gap, overlap, holders, zones, capacity, then the block's number, then the zone's.

use std::collections::{BTreeMap, BTreeSet};

use crate::coverage::{class, BlockEntry, Coverage, Ranked};
use crate::load::{self, add, fall, sum, units, On, Onto, Part, Tally, ONE};
use crate::slots::Marks;
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

impl Piece<'_> {
    fn rank(&self) -> Ranked {
        (self.keys.count(), self.keys.first, self.block)
    }
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
    least: Least,
    away: Marks,
    /// By zones' slots.
    shares: Vec<u64>,
    drafts: BTreeMap<Block, Draft>,
    /// Slots of blocks that are no more, or set by the proposal.
    replaced: Vec<u32>,
    /// Slots of blocks that lose a holder.
    robbed: Vec<u32>,
    /// Both of these.
    touched: Marks,
    /// What is other than in the table's tally.
    delta: Tally,
    /// The smallest of the touched blocks that is short of holders or zones.
    short: Option<Found>,
}

impl Coverage {
    /// Whether each key has the least after the proposal; the smallest range that has not, if not. Every range counts, also
    /// one that was short before. An empty proposal asks of the state as it is.
    pub fn check(&self, proposal: &Proposal, least: &Least) -> Result<(), Counterexample> {
        let mut after = After::new(self, proposal, least);
        let mut found = after.faults();
        found.extend(after.short.take());
        found.extend(after.short_before());
        found.extend(after.over_room());
        match found.into_iter().min_by_key(|found| found.rank) {
            None => Ok(()),
            Some(found) => Err(after.counterexample(found)),
        }
    }

    /// Load against room, zone by zone, after the proposal; of every zone that has a store, sound or not.
    pub fn carries(&self, proposal: &Proposal, least: &Least) -> BTreeMap<Zone, Room> {
        let rooms = After::new(self, proposal, least).rooms().into_iter();
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
    fn new(table: &'a Coverage, proposal: &Proposal, least: &Least) -> Self {
        let drafts = proposal.held.iter().map(|held| (held.block, Draft::new(table, held)));
        let mut after = Self {
            table,
            least: *least,
            away: Marks::default(),
            shares: table.shares_by_slot(),
            drafts: drafts.collect(),
            replaced: Vec::new(),
            robbed: Vec::new(),
            touched: Marks::default(),
            delta: Tally::default(),
            short: None,
        };
        for (zone, share) in &proposal.shares {
            if let Some(slot) = table.zones.slot(*zone) {
                after.shares[slot as usize] = load::share(*share, ONE);
            }
        }
        let replaced = proposal.gone.iter().chain(after.drafts.keys());
        let replaced = replaced.filter_map(|block| table.blocks.slot(*block));
        after.replaced.extend(replaced.filter(|slot| after.touched.mark(*slot)));
        after.rob(proposal);
        after.weigh();
        after
    }

    /// Finds the blocks at stores that go, and takes off what those can do.
    fn rob(&mut self, proposal: &Proposal) {
        for slot in proposal.away.iter().filter_map(|store| self.table.stores.slot(*store)) {
            self.away.mark(slot);
            let Some(store) = self.table.stores.at(slot) else { continue };
            if store.site.is_some_and(|site| site.state.sound()) {
                add(&mut self.delta.capacity, store.zone, -i128::from(store.capacity));
                let touched = &mut self.touched;
                self.robbed.extend(store.blocks.iter().filter(|block| touched.mark(**block)));
            }
        }
    }

    /// Takes the touched blocks' load off where it falls, lets it fall where it would, and finds which are short.
    fn weigh(&mut self) {
        let (mut delta, mut short, mut parts) = (Tally::default(), None::<Found>, Vec::new());
        std::mem::swap(&mut delta, &mut self.delta);
        let before = self.replaced.iter().chain(&self.robbed).filter_map(|slot| self.table.blocks.at(*slot));
        for entry in before {
            self.table.sound(&entry.holders, &Marks::default(), &mut parts);
            fall(entry.load, &parts, &mut Onto { tally: &mut delta, sign: -1 });
        }
        for piece in self.touched() {
            self.table.sound(piece.holders, &self.away, &mut parts);
            fall(piece.load, &parts, &mut Onto { tally: &mut delta, sign: 1 });
            let found = self.short(&piece, &parts);
            short = short.into_iter().chain(found).min_by_key(|found| found.rank);
        }
        (self.delta, self.short) = (delta, short);
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
    fn as_before<'b>(
        &'b self,
        class: &'b BTreeMap<Ranked, u32>,
    ) -> impl Iterator<Item = Piece<'b>> + use<'b, 'a> {
        let same = class.values().filter(|slot| !self.touched.has(**slot));
        same.filter_map(|slot| self.table.blocks.at(*slot)).map(Self::piece)
    }

    /// Gaps and overlaps. The table knows its own gaps; a sweep tells those among changed blocks, and overlaps.
    fn faults(&self) -> Vec<Found> {
        let as_before = self.drafts.is_empty() && self.replaced.is_empty();
        let faults = if as_before && self.table.overlaps == 0 {
            let gap = self.table.gaps.first().map(|(count, first)| Keys::new(*first, first + count));
            Faults { gap, overlap: None }
        } else {
            self.sweep()
        };
        // A gap has no holder: it is short of holders, and of zones.
        let gap = faults.gap.filter(|_| self.least.holders > 0 || self.least.zones > 0);
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
        let mut replaced = Marks::default();
        for slot in &self.replaced {
            replaced.mark(*slot);
        }
        for ((first, block), (end, slot)) in &self.table.order {
            widen(Keys::new(*first, *end));
            if !replaced.has(*slot) {
                ranges.push((Keys::new(*first, *end), *block));
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
    fn short_before(&self) -> Vec<Found> {
        let short = |(sound, zones): &(u32, u32)| *sound < self.least.holders || *zones < self.least.zones;
        let classes = self.table.classes.iter().filter(|(class, _)| short(class));
        let smallest = classes.filter_map(|(_, class)| self.as_before(class).next());
        let mut parts = Vec::new();
        let found = smallest.filter_map(|piece| {
            self.table.sound(piece.holders, &self.away, &mut parts);
            self.short(&piece, &parts)
        });
        found.collect()
    }

    /// What a block is short of, of holders first.
    fn short(&self, piece: &Piece, sound: &[Part]) -> Option<Found> {
        let (sound, zones) = class(sound);
        let Least { holders, zones: least, .. } = self.least;
        if sound < holders {
            Some(Found::of(piece, Short::Holders { sound, least: holders }))
        } else if zones < least {
            Some(Found::of(piece, Short::Zones { sound: zones, least }))
        } else {
            None
        }
    }

    fn rooms(&self) -> BTreeMap<Zone, Sums> {
        let (table, delta) = (&self.table.tally, &self.delta);
        let loads = table.loads(delta, &self.shares);
        // Of a headroom that is no number all is to be spared.
        let headroom = load::share(self.least.headroom, ONE);
        let sums = |slot: usize| {
            let capacity = sum(&table.capacity, slot) + sum(&delta.capacity, slot);
            Sums { load: sum(&loads, slot), room: load::without(capacity, headroom), capacity }
        };
        self.table.zones.names().map(|(zone, slot)| (zone, sums(slot as usize))).collect()
    }

    /// For each zone that more falls on than may, the smallest range that some of it comes from.
    fn over_room(&self) -> Vec<Found> {
        let over = self.rooms().into_iter().filter(|(_, sums)| sums.load > sums.room);
        let found = over.filter_map(|(zone, sums)| {
            let short = Short::Capacity { zone, load: units(sums.load), room: units(sums.room) };
            let slot = self.table.zones.slot(zone)? as usize;
            let mut parts = Vec::new();
            let mut falls = |piece: &Piece| self.falls_on(piece, slot, &mut parts);
            let before =
                self.table.classes.values().filter_map(|class| self.as_before(class).find(&mut falls));
            let before = before.min_by_key(Piece::rank);
            // Of the touched only those that would be smaller are looked at.
            let smaller = |piece: &Piece| before.as_ref().is_none_or(|least| piece.rank() < least.rank());
            let mut touched: Vec<Piece> = self.touched().filter(smaller).collect();
            touched.sort_unstable_by_key(Piece::rank);
            let found = touched.into_iter().find(&mut falls).or(before);
            found.map(|piece| Found::of(&piece, short))
        });
        found.collect()
    }

    fn falls_on(&self, piece: &Piece, zone: usize, parts: &mut Vec<Part>) -> bool {
        self.table.sound(piece.holders, &self.away, parts);
        let mut on = On { zone, shares: &self.shares, sum: 0 };
        fall(piece.load, parts, &mut on);
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

    fn leads(&self, zone: Zone) -> bool {
        self.table.zones.slot(zone).is_some_and(|slot| self.shares[slot as usize] < ONE)
    }

    fn lost(&self, store: Store, led: bool) -> Lost {
        let slot = self.table.stores.slot(store);
        match self.table.site(store) {
            None => Lost::State(State::Gone),
            Some(site) if !site.state.sound() => Lost::State(site.state),
            Some(_) if slot.is_some_and(|slot| self.away.has(slot)) => Lost::Proposed,
            Some(site) if led && self.leads(site.zone) => Lost::Share(site.zone),
            Some(_) => Lost::Sound,
        }
    }
}
