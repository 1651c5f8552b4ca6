//! Property tests that compare the table with the reference implementation, over small key spaces at both ends of the number
//! range: answers after any sequence of changes (C1), refused proposals (C2), and contents of counterexamples (C3).
#![allow(clippy::unwrap_used)]

mod plain;

use gingerledge_coverage::*;
use plain::Reference;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const KEYS: u64 = 12;
const STORES: u32 = 6;
const BOUNDS: Bounds = Bounds { stores: 5, blocks: 5, holders: 4, zones: 3 };

#[derive(Clone, Debug)]
enum Change {
    SetSite(Site),
    RemoveSite(Store),
    SetBlock(BlockAssignment),
    RemoveBlock(Block),
    SetShare(Zone, f64),
}

/// First key of the key space: 0, or so that the space ends at the largest number.
#[derive(Clone, Copy, Debug)]
struct FirstKey(u64);

fn random_below(g: &mut Gen, end: u32) -> u32 {
    u32::arbitrary(g) % end
}

fn site(g: &mut Gen) -> Site {
    let states = [
        State::Listed,
        State::Listed,
        State::Draining,
        State::Gone,
        State::Cold { share: f64::from(random_below(g, 4)) / 3.0 },
        State::OutByHand,
        State::InWindow,
    ];
    // Zones 0 and 1 share a region; occasionally a store has another region.
    let zone = Zone(random_below(g, 4) as u16);
    let region = Region(if random_below(g, 8) == 0 { random_below(g, 3) as u16 } else { zone.0 / 2 });
    let capacity = f64::from(random_below(g, 50)) / 7.0;
    Site { store: Store(random_below(g, STORES)), zone, region, capacity, state: *g.choose(&states).unwrap() }
}

fn block_assignment(g: &mut Gen, from: u64) -> BlockAssignment {
    let first = u64::from(random_below(g, KEYS as u32));
    // One key, all keys to the end, or a few; occasionally none.
    let count = match random_below(g, 9) {
        0 => 0,
        1 | 2 => 1,
        3 => KEYS - first,
        _ => 1 + u64::from(random_below(g, 4)).min(KEYS - first - 1),
    };
    let holders = (0..random_below(g, 5)).map(|_| Store(random_below(g, STORES))).collect();
    let load = f64::from(random_below(g, 30)) / 11.0;
    BlockAssignment {
        block: Block(random_below(g, 7)),
        keys: KeyRange::new(from + first, from + first + count),
        holders,
        load,
    }
}

fn share(g: &mut Gen) -> (Zone, f64) {
    (Zone(random_below(g, 4) as u16), f64::from(random_below(g, 4)) / 3.0)
}

#[derive(Clone, Debug)]
struct TestCase {
    first_key: FirstKey,
    changes: Vec<Change>,
    proposals: Vec<(Proposal, Requirements)>,
}

impl Arbitrary for TestCase {
    fn arbitrary(g: &mut Gen) -> Self {
        let from = *g.choose(&[0, u64::MAX - KEYS]).unwrap();
        let changes = (0..random_below(g, 40))
            .map(|_| match random_below(g, 16) {
                0..=6 => Change::SetSite(site(g)),
                7 => Change::RemoveSite(Store(random_below(g, STORES))),
                8..=13 => Change::SetBlock(block_assignment(g, from)),
                14 => Change::RemoveBlock(Block(random_below(g, 7))),
                _ => {
                    let (zone, share) = share(g);
                    Change::SetShare(zone, share)
                }
            })
            .collect();
        let mut proposal = || {
            let proposal = Proposal {
                excluded_stores: (0..random_below(g, 3)).map(|_| Store(random_below(g, STORES))).collect(),
                shares: (0..random_below(g, 3)).map(|_| share(g)).collect(),
                changed_blocks: (0..random_below(g, 3)).map(|_| block_assignment(g, from)).collect(),
                removed_blocks: (0..random_below(g, 2)).map(|_| Block(random_below(g, 7))).collect(),
            };
            let headroom = *g.choose(&[0.0, 0.25, 1.0]).unwrap();
            (proposal, Requirements { holders: random_below(g, 3), zones: random_below(g, 3), headroom })
        };
        let proposals = (0..4).map(|_| proposal()).collect();
        TestCase { first_key: FirstKey(from), changes, proposals }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let case = self.clone();
        let without_change = move |n| {
            let mut case = case.clone();
            case.changes.remove(n);
            case
        };
        Box::new((0..self.changes.len()).map(without_change))
    }
}

/// Applies the changes to both. What the table rejects because of its bounds is recognized here by counting.
fn apply_changes(case: &TestCase) -> (Coverage, Reference) {
    let (mut table, mut reference) = (Coverage::new(BOUNDS), Reference::default());
    for change in &case.changes {
        match change.clone() {
            Change::SetSite(site) => {
                let mut sites = reference.sites.clone();
                sites.insert(site.store, site);
                let zones: std::collections::BTreeSet<Zone> = sites.values().map(|site| site.zone).collect();
                let is_accepted = sites.len() <= BOUNDS.stores && zones.len() <= BOUNDS.zones;
                assert_eq!(table.set_site(site).is_ok(), is_accepted);
                if is_accepted {
                    reference.sites = sites;
                }
            }
            Change::RemoveSite(store) => {
                table.remove_site(store);
                reference.sites.remove(&store);
            }
            Change::SetBlock(block) => {
                let mut holders = block.holders.clone();
                holders.sort();
                holders.dedup();
                let added = usize::from(!reference.blocks.contains_key(&block.block));
                let is_accepted = block.keys.count() > 0
                    && holders.len() == block.holders.len()
                    && holders.len() <= BOUNDS.holders
                    && reference.blocks.len() + added <= BOUNDS.blocks;
                assert_eq!(table.set_block(block.clone()).is_ok(), is_accepted);
                if is_accepted {
                    reference.blocks.insert(block.block, block);
                }
            }
            Change::RemoveBlock(block) => {
                table.remove_block(block);
                reference.blocks.remove(&block);
            }
            Change::SetShare(zone, share) => {
                table.set_share(zone, share);
                reference.shares.insert(zone, share);
            }
        }
    }
    (table, reference)
}

fn check(property: fn(TestCase)) {
    QuickCheck::new().tests(3000).quickcheck(property as fn(TestCase));
}

#[test]
fn answers_after_any_sequence_of_changes_equal_those_of_a_rebuilt_table() {
    fn property(case: TestCase) {
        let (table, reference) = apply_changes(&case);
        let mut rebuilt = Coverage::new(Bounds::default());
        reference.blocks.values().rev().for_each(|block| rebuilt.set_block(block.clone()).unwrap());
        reference.shares.iter().for_each(|(zone, share)| rebuilt.set_share(*zone, *share));
        reference.sites.values().rev().for_each(|site| rebuilt.set_site(*site).unwrap());
        let all = reference.weakest();
        assert_eq!(table.weakest(100), all);
        assert_eq!(rebuilt.weakest(100), all);
        for limit in 0..all.len() {
            assert_eq!(table.weakest(limit), all[..limit]);
        }
        for key in (0..=KEYS).map(|key| case.first_key.0 + key) {
            let expected = all.iter().find(|cover| cover.keys.contains(key)).copied();
            assert_eq!(table.cover_at(key), expected);
            assert_eq!(rebuilt.cover_at(key), expected);
        }
        for store in (0..STORES).map(Store) {
            let mut blocks: Vec<Block> = table.blocks_of_store(store).collect();
            blocks.sort();
            assert!(reference
                .blocks
                .values()
                .filter(|block| block.holders.contains(&store))
                .map(|block| block.block)
                .eq(blocks));
            assert_eq!(table.site(store), reference.sites.get(&store).copied());
        }
        for (proposal, requirements) in &case.proposals {
            assert_eq!(table.check(proposal, requirements), rebuilt.check(proposal, requirements));
            assert_eq!(table.zone_loads(proposal, requirements), rebuilt.zone_loads(proposal, requirements));
        }
    }
    check(property);
}

#[test]
fn check_reports_the_smallest_range_that_the_reference_finds_short() {
    fn property(case: TestCase) {
        let (table, reference) = apply_changes(&case);
        for (proposal, requirements) in &case.proposals {
            let projected = reference.with_proposal(proposal);
            let zone_loads = table.zone_loads(proposal, requirements);
            let reported =
                zone_loads.iter().map(|(zone, zone_load)| (*zone, (zone_load.load, zone_load.max_load)));
            let sums = projected.zone_loads(requirements.headroom).into_iter();
            let sums = sums.map(|(zone, (load, room))| (zone, (load as f64 / 1e6, room as f64 / 1e6)));
            assert!(reported.eq(sums), "{zone_loads:?}");
            let found = table.check(proposal, requirements).err();
            let ranges = projected.ranges(requirements);
            let reported = found.as_ref().map(|found| (found.keys, found.shortage, found.block));
            match (reported, ranges.first()) {
                // Of several pairs with the same keys in common, only one is reported.
                (
                    Some((keys, Shortage::Overlap { .. }, _)),
                    Some((smallest, Shortage::Overlap { .. }, _)),
                ) => {
                    assert_eq!(keys, *smallest);
                    assert!(reported.is_some_and(|reported| ranges.contains(&reported)));
                }
                _ => assert_eq!(reported, ranges.first().copied()),
            }
        }
    }
    check(property);
}

/// Removes one cause of a shortage from the proposal or from the facts; `None` if there is none or it can't be removed.
fn without_cause(cause: (Store, HolderStatus), case: &(Coverage, Proposal)) -> Option<(Coverage, Proposal)> {
    let (mut table, mut proposal) = case.clone();
    match cause.1 {
        HolderStatus::Sound => return None,
        HolderStatus::Excluded => assert!(proposal.excluded_stores.remove(&cause.0)),
        HolderStatus::ShareReduced(zone) => {
            assert!(proposal.shares.insert(zone, 1.0).unwrap_or(table.share(zone)) < 1.0)
        }
        HolderStatus::Unavailable(_) => {
            // A store without a site is put into a zone of its own, so that it takes no capacity from others.
            let (zone, region) = (Zone(9), Region(9));
            let new = Site { store: cause.0, zone, region, capacity: 100.0, state: State::Listed };
            let site = table.site(cause.0).unwrap_or(new);
            // If the bounds allow no further store or zone, the cause can't be removed.
            table.set_site(Site { state: State::Listed, ..site }).ok()?;
        }
    }
    Some((table, proposal))
}

#[test]
fn a_counterexample_lists_each_holder_and_removing_any_cause_resolves_or_changes_it() {
    fn property(case: TestCase) {
        let (table, reference) = apply_changes(&case);
        for (proposal, requirements) in &case.proposals {
            let Err(found) = table.check(proposal, requirements) else { continue };
            let projected = reference.with_proposal(proposal);
            let block = found.block.map(|block| &projected.blocks[&block]);
            let mut named: Vec<Store> = block.map_or(Vec::new(), |block| block.holders.clone());
            named.sort();
            named.dedup();
            assert!(found.holders.iter().map(|(store, _)| *store).eq(named));
            // Holders that count are reported as sound, or as redirecting load because of a share.
            let is_counted =
                |status: HolderStatus| matches!(status, HolderStatus::Sound | HolderStatus::ShareReduced(_));
            let reported =
                found.holders.iter().filter(|(_, status)| is_counted(*status)).map(|(store, _)| *store);
            let sound = block.map_or(Vec::new(), |block| projected.sound(block));
            assert!(reported.eq(sound.iter().map(|site| site.store)));
            for cause in &found.holders {
                let is_share = matches!(cause.1, HolderStatus::ShareReduced(_));
                assert!(!is_share || matches!(found.shortage, Shortage::Capacity { .. }));
                let Some((table, proposal)) = without_cause(*cause, &(table.clone(), proposal.clone()))
                else {
                    continue;
                };
                if let Err(another) = table.check(&proposal, requirements) {
                    assert_ne!(another, found);
                }
            }
        }
    }
    check(property);
}

#[test]
fn invalid_and_extreme_values_are_clamped() {
    let mut table = Coverage::new(BOUNDS);
    let site = |n: u32, capacity, state| Site {
        store: Store(n),
        zone: Zone(n as u16),
        region: Region(0),
        capacity,
        state,
    };
    let unusual = [f64::NAN, f64::NEG_INFINITY, -1.0, f64::INFINITY, 1e300];
    for capacity in unusual {
        for share in unusual {
            table.set_site(site(0, capacity, State::Cold { share })).unwrap();
            table.set_share(Zone(0), share);
            let load = capacity;
            let block = BlockAssignment {
                block: Block(0),
                keys: KeyRange::new(0, u64::MAX),
                holders: vec![Store(0)],
                load,
            };
            assert!(matches!(table.set_block(block.clone()), Err(BlockError::InvalidLoad { .. })));
            let proposal = Proposal {
                shares: [(Zone(0), share)].into(),
                changed_blocks: vec![block],
                ..Proposal::default()
            };
            let requirements = Requirements { holders: 1, zones: 1, headroom: share };
            let zone_load = table.zone_loads(&proposal, &requirements)[&Zone(0)];
            assert!(
                zone_load.load.is_finite() && zone_load.max_load.is_finite() && zone_load.max_load >= 0.0,
                "{zone_load:?}"
            );
            let _ = table.check(&proposal, &requirements);
        }
    }
    // The largest possible amounts, as often as the bounds allow.
    for n in 0..5 {
        let (keys, holders) = (KeyRange::new(u64::from(n), u64::from(n) + 1), (0..4).map(Store).collect());
        if n < 3 {
            table.set_site(site(n, 1e9, State::Listed)).unwrap();
        }
        table.set_block(BlockAssignment { block: Block(n), keys, holders, load: 1e9 }).unwrap();
    }
    let zone_loads =
        table.zone_loads(&Proposal::default(), &Requirements { holders: 0, zones: 0, headroom: 0.0 });
    assert!((zone_loads.values().map(|zone_load| zone_load.load).sum::<f64>() - 5e9).abs() < 1.0);
}
