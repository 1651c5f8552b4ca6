//! The table against the plain reference, over small key spaces at both ends of the numbers: the answer after any row of
//! changes (C1), what is refused (C2), and what a counterexample says (C3).
#![allow(clippy::unwrap_used)]

mod plain;

use gingerledge_coverage::*;
use plain::Plain;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEYS: u64 = 12;
const STORES: u32 = 6;
const BOUNDS: Bounds = Bounds { stores: 5, blocks: 5, holders: 4, zones: 3 };

#[derive(Clone, Debug)]
enum Change {
    Site(Site),
    NoSite(Store),
    Held(Held),
    NoHeld(Block),
    Share(Zone, f64),
}

/// Keys at 0, or at the largest number.
#[derive(Clone, Copy, Debug)]
struct From(u64);

fn below(g: &mut Gen, end: u32) -> u32 {
    u32::arbitrary(g) % end
}

fn site(g: &mut Gen) -> Site {
    let states = [
        State::Listed,
        State::Listed,
        State::Draining,
        State::Gone,
        State::Cold { share: f64::from(below(g, 4)) / 3.0 },
        State::OutByHand,
        State::InWindow,
    ];
    // Zones 0 and 1 share a region; now and then a store says otherwise.
    let zone = Zone(below(g, 4) as u16);
    let region = Region(if below(g, 8) == 0 { below(g, 3) as u16 } else { zone.0 / 2 });
    let capacity = f64::from(below(g, 50)) / 7.0;
    Site { store: Store(below(g, STORES)), zone, region, capacity, state: *g.choose(&states).unwrap() }
}

fn held(g: &mut Gen, from: u64) -> Held {
    let first = u64::from(below(g, KEYS as u32));
    // One wide, to the end, and in between; now and then empty.
    let count = match below(g, 9) {
        0 => 0,
        1 | 2 => 1,
        3 => KEYS - first,
        _ => 1 + u64::from(below(g, 4)).min(KEYS - first - 1),
    };
    let holders = (0..below(g, 5)).map(|_| Store(below(g, STORES))).collect();
    let load = f64::from(below(g, 30)) / 11.0;
    Held { block: Block(below(g, 7)), keys: Keys::new(from + first, from + first + count), holders, load }
}

fn share(g: &mut Gen) -> (Zone, f64) {
    (Zone(below(g, 4) as u16), f64::from(below(g, 4)) / 3.0)
}

#[derive(Clone, Debug)]
struct Case {
    from: From,
    changes: Vec<Change>,
    proposals: Vec<(Proposal, Least)>,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        let from = *g.choose(&[0, u64::MAX - KEYS]).unwrap();
        let changes = (0..below(g, 40))
            .map(|_| match below(g, 16) {
                0..=6 => Change::Site(site(g)),
                7 => Change::NoSite(Store(below(g, STORES))),
                8..=13 => Change::Held(held(g, from)),
                14 => Change::NoHeld(Block(below(g, 7))),
                _ => {
                    let (zone, share) = share(g);
                    Change::Share(zone, share)
                }
            })
            .collect();
        let mut proposal = || {
            let proposal = Proposal {
                away: (0..below(g, 3)).map(|_| Store(below(g, STORES))).collect(),
                shares: (0..below(g, 3)).map(|_| share(g)).collect(),
                held: (0..below(g, 3)).map(|_| held(g, from)).collect(),
                gone: (0..below(g, 2)).map(|_| Block(below(g, 7))).collect(),
            };
            let headroom = *g.choose(&[0.0, 0.25, 1.0]).unwrap();
            (proposal, Least { holders: below(g, 3), zones: below(g, 3), headroom })
        };
        let proposals = (0..4).map(|_| proposal()).collect();
        Case { from: From(from), changes, proposals }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let case = self.clone();
        let without = move |n| {
            let mut case = case.clone();
            case.changes.remove(n);
            case
        };
        Box::new((0..self.changes.len()).map(without))
    }
}

/// Plays changes on both; what the bounds refuse, the reference refuses by counting.
fn play(case: &Case) -> (Coverage, Plain) {
    let (mut table, mut plain) = (Coverage::new(BOUNDS), Plain::default());
    for change in &case.changes {
        match change.clone() {
            Change::Site(site) => {
                let mut sites = plain.sites.clone();
                sites.insert(site.store, site);
                let zones: std::collections::BTreeSet<Zone> = sites.values().map(|site| site.zone).collect();
                let fits = sites.len() <= BOUNDS.stores && zones.len() <= BOUNDS.zones;
                assert_eq!(table.set_site(site).is_ok(), fits);
                if fits {
                    plain.sites = sites;
                }
            }
            Change::NoSite(store) => {
                table.remove_site(store);
                plain.sites.remove(&store);
            }
            Change::Held(held) => {
                let mut holders = held.holders.clone();
                holders.sort();
                holders.dedup();
                let new = usize::from(!plain.held.contains_key(&held.block));
                let fits = held.keys.count() > 0
                    && holders.len() == held.holders.len()
                    && holders.len() <= BOUNDS.holders
                    && plain.held.len() + new <= BOUNDS.blocks;
                assert_eq!(table.set_held(held.clone()).is_ok(), fits);
                if fits {
                    plain.held.insert(held.block, held);
                }
            }
            Change::NoHeld(block) => {
                table.remove_held(block);
                plain.held.remove(&block);
            }
            Change::Share(zone, share) => {
                table.set_share(zone, share);
                plain.shares.insert(zone, share);
            }
        }
    }
    (table, plain)
}

fn check(law: fn(Case)) {
    QuickCheck::new().tests(3000).quickcheck(law as fn(Case));
}

#[test]
fn any_row_of_changes_answers_as_a_table_built_anew() {
    fn law(case: Case) {
        let (table, plain) = play(&case);
        let mut anew = Coverage::new(Bounds::default());
        plain.held.values().rev().for_each(|held| anew.set_held(held.clone()).unwrap());
        plain.shares.iter().for_each(|(zone, share)| anew.set_share(*zone, *share));
        plain.sites.values().rev().for_each(|site| anew.set_site(*site).unwrap());
        let all = plain.weakest();
        assert_eq!(table.weakest(100), all);
        assert_eq!(anew.weakest(100), all);
        for most in 0..all.len() {
            assert_eq!(table.weakest(most), all[..most]);
        }
        for key in (0..=KEYS).map(|key| case.from.0 + key) {
            let here = all.iter().find(|cover| cover.keys.holds(key)).copied();
            assert_eq!(table.at(key), here);
            assert_eq!(anew.at(key), here);
        }
        for store in (0..STORES).map(Store) {
            let mut here: Vec<Block> = table.blocks_at(store).collect();
            here.sort();
            assert!(plain
                .held
                .values()
                .filter(|held| held.holders.contains(&store))
                .map(|held| held.block)
                .eq(here));
            assert_eq!(table.site(store), plain.sites.get(&store).copied());
        }
        for (proposal, least) in &case.proposals {
            assert_eq!(table.check(proposal, least), anew.check(proposal, least));
            assert_eq!(table.carries(proposal, least), anew.carries(proposal, least));
        }
    }
    check(law);
}

#[test]
fn a_proposal_is_refused_for_the_smallest_range_that_a_look_at_every_key_finds_short() {
    fn law(case: Case) {
        let (table, plain) = play(&case);
        for (proposal, least) in &case.proposals {
            let after = plain.after(proposal);
            let rooms = table.carries(proposal, least);
            let told = rooms.iter().map(|(zone, room)| (*zone, (room.load, room.room)));
            let sums = after.rooms(least.headroom).into_iter();
            let sums = sums.map(|(zone, (load, room))| (zone, (load as f64 / 1e6, room as f64 / 1e6)));
            assert!(told.eq(sums), "{rooms:?}");
            let found = table.check(proposal, least).err();
            let ranges = after.ranges(least);
            let told = found.as_ref().map(|found| (found.keys, found.short, found.block));
            match (told, ranges.first()) {
                // Of several pairs with the same keys in common one is told.
                (Some((keys, Short::Overlap { .. }, _)), Some((smallest, Short::Overlap { .. }, _))) => {
                    assert_eq!(keys, *smallest);
                    assert!(told.is_some_and(|told| ranges.contains(&told)));
                }
                _ => assert_eq!(told, ranges.first().copied()),
            }
        }
    }
    check(law);
}

/// The proposal without one cause, or the facts without it.
fn without(cause: (Store, Lost), case: &(Coverage, Proposal)) -> Option<(Coverage, Proposal)> {
    let (mut table, mut proposal) = case.clone();
    match cause.1 {
        Lost::Sound => return None,
        Lost::Proposed => assert!(proposal.away.remove(&cause.0)),
        Lost::Share(zone) => assert!(proposal.shares.insert(zone, 1.0).unwrap_or(table.share(zone)) < 1.0),
        Lost::State(_) => {
            // One that is not set is put where nobody else is, so that it can't crowd anyone.
            let (zone, region) = (Zone(9), Region(9));
            let new = Site { store: cause.0, zone, region, capacity: 100.0, state: State::Listed };
            let site = table.site(cause.0).unwrap_or(new);
            // Where the bounds leave no place for it there is nothing to try.
            table.set_site(Site { state: State::Listed, ..site }).ok()?;
        }
    }
    Some((table, proposal))
}

#[test]
fn a_counterexample_names_each_holder_and_any_cause_taken_away_mends_it_or_shows_another() {
    fn law(case: Case) {
        let (table, plain) = play(&case);
        for (proposal, least) in &case.proposals {
            let Err(found) = table.check(proposal, least) else { continue };
            let after = plain.after(proposal);
            let held = found.block.map(|block| &after.held[&block]);
            let mut named: Vec<Store> = held.map_or(Vec::new(), |held| held.holders.clone());
            named.sort();
            named.dedup();
            assert!(found.holders.iter().map(|(store, _)| *store).eq(named));
            // Who counts, counts: told as sound or as led by a share.
            let counts = |lost: Lost| matches!(lost, Lost::Sound | Lost::Share(_));
            let told = found.holders.iter().filter(|(_, lost)| counts(*lost)).map(|(store, _)| *store);
            let sound = held.map_or(Vec::new(), |held| after.sound(held));
            assert!(told.eq(sound.iter().map(|site| site.store)));
            for cause in &found.holders {
                let led = matches!(cause.1, Lost::Share(_));
                assert!(!led || matches!(found.short, Short::Capacity { .. }));
                let Some((table, proposal)) = without(*cause, &(table.clone(), proposal.clone())) else {
                    continue;
                };
                if let Err(another) = table.check(&proposal, least) {
                    assert_ne!(another, found);
                }
            }
        }
    }
    check(law);
}

#[test]
fn whatever_can_be_set_is_a_number_inside() {
    let mut table = Coverage::new(BOUNDS);
    let site = |n: u32, capacity, state| Site {
        store: Store(n),
        zone: Zone(n as u16),
        region: Region(0),
        capacity,
        state,
    };
    let odd = [f64::NAN, f64::NEG_INFINITY, -1.0, f64::INFINITY, 1e300];
    for capacity in odd {
        for share in odd {
            table.set_site(site(0, capacity, State::Cold { share })).unwrap();
            table.set_share(Zone(0), share);
            let load = capacity;
            let held = Held { block: Block(0), keys: Keys::new(0, u64::MAX), holders: vec![Store(0)], load };
            assert!(matches!(table.set_held(held.clone()), Err(Unfit::Load { .. })));
            let proposal =
                Proposal { shares: [(Zone(0), share)].into(), held: vec![held], ..Proposal::default() };
            let least = Least { holders: 1, zones: 1, headroom: share };
            let room = table.carries(&proposal, &least)[&Zone(0)];
            assert!(room.load.is_finite() && room.room.is_finite() && room.room >= 0.0, "{room:?}");
            let _ = table.check(&proposal, &least);
        }
    }
    // The largest amounts that there are, as often as they may be.
    for n in 0..5 {
        let (keys, holders) = (Keys::new(u64::from(n), u64::from(n) + 1), (0..4).map(Store).collect());
        if n < 3 {
            table.set_site(site(n, 1e9, State::Listed)).unwrap();
        }
        table.set_held(Held { block: Block(n), keys, holders, load: 1e9 }).unwrap();
    }
    let rooms = table.carries(&Proposal::default(), &Least { holders: 0, zones: 0, headroom: 0.0 });
    assert!((rooms.values().map(|room| room.load).sum::<f64>() - 5e9).abs() < 1.0);
}
