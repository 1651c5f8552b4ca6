//! Thousands of rows of commands over fleets of chance, held by brute force after each: no range is left short by what was decided,
//! no zone is led more than it has room for, equal logs make equal records, also from a snapshot.

mod fleet;

use std::collections::BTreeMap;

use fleet::*;
use gingerledge_common::*;

const KEYS: u64 = 40;

struct World {
    rng: fastrand::Rng,
    record: Record,
    log: Vec<Command>,
    stores: Vec<(String, String, String)>,
    counts: BTreeMap<&'static str, u32>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = rng.usize(1..=4);
        let stores = (0..rng.usize(2..=8)).map(|n| {
            let zone = n % zones;
            (format!("s{n}"), format!("z{zone}"), format!("r{}", zone / 2))
        });
        let stores = stores.collect();
        Self { rng, record: Record::default(), log: Vec::new(), stores, counts: BTreeMap::new() }
    }

    fn state(&mut self) -> StateFact {
        match self.rng.u32(0..8) {
            0 => StateFact::Gone,
            1 => StateFact::Draining,
            2 => StateFact::OutByHand,
            3 => StateFact::Cold(self.rng.u16(0..1100)),
            _ => StateFact::Listed,
        }
    }

    fn fact(&mut self) -> SiteFact {
        let n = self.rng.usize(..self.stores.len());
        let (store, zone, region) = self.stores[n].clone();
        let capacity_milli = self.rng.u64(1..10) * 1000;
        SiteFact { store, zone, region, capacity_milli, state: self.state() }
    }

    fn held(&mut self, block: u32, first: u64, end: u64) -> HeldFact {
        let mut names: Vec<String> = self.stores.iter().map(|(name, ..)| name.clone()).collect();
        self.rng.shuffle(&mut names);
        names.truncate(self.rng.usize(1..=3));
        HeldFact { block, first, end, holders: names, load_milli: self.rng.u64(0..3000) }
    }

    fn least(&mut self) -> LeastFact {
        LeastFact {
            holders: self.rng.u32(1..=2),
            zones: self.rng.u32(0..=2),
            headroom_permille: self.rng.u16(0..200),
        }
    }

    fn command(&mut self) -> Command {
        // What the proposer had seen may be old.
        let at = Version(self.rng.u64(0..=self.record.version().0));
        let (map, _) = self.record.map();
        let ids: Vec<BookingId> = self.record.bookings().map(|(id, ..)| id).collect();
        let id = if ids.is_empty() { BookingId(0) } else { ids[self.rng.usize(..ids.len())] };
        match self.rng.u32(0..20) {
            0 => Command::Goal { least: self.least() },
            1..=4 => Command::Sites { sites: (0..self.rng.usize(1..=3)).map(|_| self.fact()).collect() },
            5..=7 => {
                let zones: Vec<String> = self.record.zones().map(str::to_owned).collect();
                let zone = zones.get(self.rng.usize(..4)).cloned().unwrap_or_default();
                let follows = self.record.zone(&zone).map(|z| z.moved).unwrap_or_default();
                let follows = if self.rng.u32(0..8) == 0 { at } else { follows };
                Command::Shares {
                    at,
                    zone,
                    permille: self.rng.u16(0..=4) * 250,
                    follows,
                    again: self.rng.bool(),
                }
            }
            8..=10 => {
                let (to, hash) = (map + 1, self.rng.u64(..));
                let blocks: Vec<HeldFact> = self.record.blocks().cloned().collect();
                let (mut set, mut gone) = (Vec::new(), Vec::new());
                if blocks.is_empty() {
                    let cut = self.rng.u64(1..KEYS);
                    set = vec![self.held(0, 0, cut), self.held(1, cut, KEYS)];
                } else {
                    let block = blocks[self.rng.usize(..blocks.len())].clone();
                    let next = blocks.iter().map(|held| held.block).max().unwrap_or(0) + 1;
                    let shift = u64::from(self.rng.u32(0..6) == 0);
                    if block.end - block.first > 1 && self.rng.bool() {
                        let cut = self.rng.u64(block.first + 1..block.end);
                        set = vec![
                            self.held(next, block.first, cut),
                            self.held(next + 1, cut + shift, block.end),
                        ];
                        gone = vec![block.block];
                    } else {
                        set.push(self.held(block.block, block.first, block.end + shift));
                    }
                }
                Command::Map { at, from: map, to, hash, held: set, gone }
            }
            11..=13 => {
                let mut stores: Vec<String> = self.stores.iter().map(|(name, ..)| name.clone()).collect();
                self.rng.shuffle(&mut stores);
                stores.truncate(self.rng.usize(1..=2));
                let (from_unix_ms, length_ms) = (self.rng.u64(0..100), self.rng.u64(1..60));
                Command::Book {
                    at,
                    plan: Plan { stores, from_unix_ms, length_ms, least: self.least(), by: "op".into() },
                }
            }
            14..=17 => Command::Begin { at, id },
            18 => Command::End { id },
            _ => Command::Took { broker: format!("n{}", self.rng.u32(0..4)), version: at },
        }
    }

    /// Plays one command and holds what it may have done.
    fn step(&mut self) {
        let command = self.command();
        let index = self.log.len() as u64 + 1;
        let before = sound(&self.record, true);
        let begun: Vec<BookingId> = self.record.bookings().filter(|b| b.2).map(|b| b.0).collect();
        let need = needed(&self.record);
        let shares = |record: &Record| -> BTreeMap<String, u16> {
            record.zones().filter_map(|z| Some((z.to_owned(), record.zone(z)?.permille))).collect()
        };
        let (was, loads_before) = (shares(&self.record), loads(&self.record, &shares(&self.record)));
        let answer = self.record.apply(index, &command);
        self.log.push(command.clone());
        let after = sound(&self.record, true);
        let kind = match &command {
            Command::Sites { .. } => "facts",
            Command::Shares { .. } => "shares",
            Command::Map { .. } => "maps",
            Command::Begin { .. } => "begun",
            Command::Book { .. } => "booked",
            _ => "other",
        };
        match &answer {
            Answer::Taken { version, notes } => {
                *self.counts.entry(kind).or_default() += 1;
                assert!(*version == self.record.version() && *version <= Version(index));
                self.hold_notes(notes);
            }
            Answer::Refused { why: Refusal::Uncovered { .. }, .. } => {
                *self.counts.entry("uncovered").or_default() += 1;
                assert_eq!(after, before, "a refusal changes nothing: {command:?}");
            }
            Answer::Refused { .. } => {}
            Answer::Unreadable => panic!("unreadable: {command:?}"),
        }
        // What was taken and changed nothing is none of the record's doing.
        if !matches!(answer, Answer::Taken { version, .. } if version == Version(index)) {
            return;
        }
        match &command {
            // Nothing that was decided leaves a block short that was not.
            Command::Map { held, gone, .. } => {
                for held in held {
                    let (holders, zones) = after[&held.block];
                    assert!(
                        holders >= need.holders && zones >= need.zones,
                        "{command:?} leaves {held:?} short"
                    );
                }
                let mut ranges: Vec<(u64, u64)> = self.record.blocks().map(|b| (b.first, b.end)).collect();
                ranges.sort_unstable();
                assert_eq!(ranges.first().map(|r| r.0), Some(0), "{command:?} {gone:?}");
                assert!(ranges.windows(2).all(|pair| pair[0].1 == pair[1].0), "{command:?}: {ranges:?}");
                assert_eq!(ranges.last().map(|r| r.1), Some(KEYS), "{command:?}");
            }
            Command::Begin { .. } => {
                let need = needed(&self.record);
                for (block, (holders, zones)) in &after {
                    assert!(
                        *holders >= need.holders && *zones >= need.zones,
                        "{command:?} leaves block {block} short"
                    );
                }
            }
            // A fact may; then no window in force goes on weakening what fell.
            Command::Sites { .. } => {
                for (id, plan, is_begun) in self.record.bookings() {
                    let least = self.record.least().stricter(plan.least);
                    let weakened = self
                        .record
                        .blocks()
                        .filter(|held| held.holders.iter().any(|h| plan.stores.contains(h)));
                    for held in weakened.filter(|_| is_begun && begun.contains(&id)) {
                        let (was, now) = (before[&held.block], after[&held.block]);
                        let fell = now.0 < was.0 || now.1 < was.1;
                        let short = now.0 <= least.holders || now.1 < least.zones;
                        assert!(!(fell && short), "window {id:?} goes on while {held:?} is at {now:?}");
                    }
                }
            }
            Command::Shares { zone, .. } => {
                // Under the new share, and where some brokers act under the old one still.
                let new = shares(&self.record);
                let headroom = 1.0 - f64::from(needed(&self.record).headroom_permille) / 1000.0;
                for permille in [was[zone], new[zone], (was[zone] + new[zone]) / 2] {
                    let mixed =
                        BTreeMap::from_iter(new.clone().into_iter().chain([(zone.clone(), permille)]));
                    for (at, (load, room)) in loads(&self.record, &mixed) {
                        let grew = load > loads_before.get(&at).map_or(0.0, |l| l.0) + 1.0;
                        assert!(
                            !grew || load <= room * headroom + 1.0,
                            "{command:?} leads {load} to {at}, room {room}"
                        );
                    }
                }
            }
            _ => {}
        }
    }

    fn hold_notes(&mut self, notes: &[Note]) {
        for note in notes {
            if let Note::CalledBack { id, example } = note {
                *self.counts.entry("called back").or_default() += 1;
                assert!(self.record.bookings().all(|(other, ..)| other != *id));
                assert!(example.block.is_some() && !example.holders.is_empty());
            }
        }
    }
}

fn run(seed: u64, counts: &mut BTreeMap<&'static str, u32>) {
    let mut world = World::new(seed);
    for _ in 0..60 {
        world.step();
    }
    // Equal logs, equal records; also from a snapshot, and through the form that stands in the log.
    let cut = world.rng.usize(..world.log.len());
    let mut again = Record::default();
    for (n, command) in world.log.iter().enumerate() {
        if n == cut {
            let restored = Record::restore(&again.snapshot()).expect("a snapshot of its own");
            assert_eq!(restored, again);
            again = restored;
        }
        again.take(n as u64 + 1, &encode(command));
    }
    assert_eq!(again, world.record);
    assert_eq!(again.coverage().weakest(99), world.record.coverage().weakest(99));
    for (kind, n) in world.counts {
        *counts.entry(kind).or_default() += n;
    }
}

#[test]
fn nothing_that_is_decided_leaves_a_range_short() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(3000);
    let mut counts = BTreeMap::new();
    for seed in 0..seeds {
        let mut own = BTreeMap::new();
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed, &mut own)));
        if let Err(fault) = played {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(fault);
        }
        for (kind, n) in own {
            *counts.entry(kind).or_insert(0) += n;
        }
    }
    println!("{seeds} seeds: {counts:?}");
    for kind in ["facts", "shares", "maps", "booked", "begun", "uncovered", "called back"] {
        assert!(
            counts.get(kind).is_some_and(|n| u64::from(*n) >= seeds / 30),
            "{kind} hardly happened: {counts:?}"
        );
    }
}

#[test]
fn bytes_that_are_no_command_change_nothing() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut record = three();
    let was = record.snapshot();
    for index in 0..20_000u64 {
        let bytes: Vec<u8> = (0..rng.usize(0..12)).map(|_| rng.u8(..)).collect();
        if decode::<Command>(&bytes).is_none() {
            let answer = record.take(3 + index, &bytes);
            assert_eq!(decode::<Answer>(&answer), Some(Answer::Unreadable));
        }
    }
    assert_eq!(record.snapshot(), was);
    assert!(Record::restore(&was[..was.len() - 1]).is_none());
}
