//! Tests of the map: random batches compared with a plain list of weighers, and rejected batches.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;

use fastrand::Rng;
use gingerledge_blocks::*;

const WEIGHERS: u64 = 300;

fn block(id: u32, first: u64, end: u64, epoch: u32, stores: &[u32]) -> Block {
    let replicas =
        stores.iter().map(|s| Replica { store: StoreId(*s), state: ReplicaState::Serving }).collect();
    let degrees = |n: u64| n as f64 / WEIGHERS as f64 * 100.0;
    let extent = Some(Extent([degrees(first), 0.0, degrees(end), 10.0]));
    Block {
        id: BlockId(id),
        span: Span::new(first, end),
        epoch: Epoch::from_parts(Term(1), epoch),
        replicas,
        extent,
    }
}

fn active(block: Block) -> Record {
    Record::Active(block)
}

fn retired(block: &Block, epoch: u32) -> Record {
    Record::Retired { id: block.id, span: block.span, epoch: Epoch::from_parts(Term(1), epoch) }
}

/// Applies random splits, merges and moves.
struct RandomChanges {
    rng: Rng,
    map: BlockMap,
    epoch: u32,
    next: u32,
    /// Block of each weigher; `spans` has the span of every block identifier ever assigned.
    block_by_weigher: Vec<u32>,
    spans: HashMap<u32, Span>,
}

impl RandomChanges {
    fn new(seed: u64) -> Self {
        let mut map = BlockMap::new(1000, 1000);
        let records = (0..3)
            .map(|n| active(block(n, u64::from(n) * 100, u64::from(n) * 100 + 100, 1, &[n, n + 1])))
            .collect();
        map.apply(&Batch { version: 1, records }).unwrap();
        let block_by_weigher = (0..WEIGHERS).map(|w| (w / 100) as u32).collect();
        let spans = (0..3).map(|n| (n, Span::new(u64::from(n) * 100, u64::from(n) * 100 + 100))).collect();
        Self { rng: Rng::with_seed(seed), map, epoch: 1, next: 3, block_by_weigher, spans }
    }

    fn id(&mut self) -> u32 {
        self.next += 1;
        self.next
    }

    fn new_block(&mut self, span: Span, stores: &[u32]) -> Record {
        let id = self.id();
        for weigher in span.first..span.end {
            self.block_by_weigher[weigher as usize] = id;
        }
        self.spans.insert(id, span);
        active(block(id, span.first, span.end, self.epoch, stores))
    }

    fn step(&mut self) {
        let blocks: Vec<Block> = self.map.blocks().cloned().collect();
        let n = self.rng.usize(..blocks.len());
        let left = &blocks[n];
        self.epoch += 1;
        let stores: Vec<u32> = left.holders().map(|s| s.0).collect();
        let records = match self.rng.u32(..3) {
            0 if left.span.end - left.span.first > 1 => {
                let at = self.rng.u64(left.span.first + 1..left.span.end);
                vec![
                    retired(left, self.epoch),
                    self.new_block(Span::new(left.span.first, at), &stores),
                    self.new_block(Span::new(at, left.span.end), &stores),
                ]
            }
            1 if n + 1 < blocks.len() => {
                let right = &blocks[n + 1];
                let merged_span = Span::new(left.span.first, right.span.end);
                vec![
                    retired(left, self.epoch),
                    retired(right, self.epoch),
                    self.new_block(merged_span, &stores),
                ]
            }
            _ => {
                let store = self.rng.u32(..9);
                vec![active(block(
                    left.id.0,
                    left.span.first,
                    left.span.end,
                    self.epoch,
                    &[store, store + 1],
                ))]
            }
        };
        let version = self.map.version() + 1;
        self.map.apply(&Batch { version, records }).unwrap();
    }

    fn check(&self, map: &BlockMap) {
        for weigher in 0..WEIGHERS {
            assert_eq!(map.block_of_weigher(weigher).unwrap().id.0, self.block_by_weigher[weigher as usize]);
        }
        assert!(map.block_of_weigher(WEIGHERS).is_none());
        for (id, span) in &self.spans {
            let pieces = map.resolve(BlockId(*id)).unwrap();
            // The pieces cover the span without gap or overlap, each with the block that currently contains
            // it.
            let mut at = span.first;
            for piece in &pieces {
                assert_eq!(piece.slice.first, at);
                assert_eq!(piece.is_whole_block, map.block(piece.block).unwrap().span == piece.slice);
                for weigher in piece.slice.first..piece.slice.end {
                    assert_eq!(self.block_by_weigher[weigher as usize], piece.block.0);
                }
                at = piece.slice.end;
            }
            assert_eq!(at, span.end, "block {id}");
        }
        for store in 0..10 {
            let mut here: Vec<BlockId> = map.blocks_at_store(StoreId(store)).collect();
            here.sort_unstable();
            let mut there: Vec<BlockId> =
                map.blocks().filter(|b| b.is_holder(StoreId(store))).map(|b| b.id).collect();
            there.sort_unstable();
            assert_eq!(here, there);
        }
        let found = map.blocks_in_extent(Extent([20.1, 1.0, 30.0, 2.0]));
        let mut touch: Vec<BlockId> = map
            .blocks()
            .filter(|b| b.extent.unwrap().0[0] <= 30.0 && b.extent.unwrap().0[2] >= 20.1)
            .map(|b| b.id)
            .collect();
        touch.sort_unstable();
        assert_eq!(found, touch);
    }
}

#[test]
fn look_ups_match_a_plain_list_under_random_changes() {
    for seed in 0..60 {
        let mut changes = RandomChanges::new(seed);
        for _ in 0..40 {
            changes.step();
        }
        changes.check(&changes.map);
        let again = BlockMap::restore(&changes.map.snapshot(), 1000, 1000).unwrap();
        changes.check(&again);
        assert_eq!(again.snapshot(), changes.map.snapshot(), "seed {seed}");
    }
}

#[test]
fn a_broker_catches_up_in_pages_of_any_size() {
    for seed in 0..60 {
        let mut changes = RandomChanges::new(seed);
        let mut broker = changes.map.clone();
        for _ in 0..12 {
            for _ in 0..changes.rng.usize(1..6) {
                changes.step();
            }
            let (mut at, mut all) = (Cursor::after_version(broker.version()), Vec::new());
            while at < Cursor::after_version(changes.map.version()) {
                let (records, upto) = changes.map.changes_since(at, 2).unwrap();
                all.extend(records);
                at = upto;
                // The map continues to change while the pages are read.
                if changes.rng.u32(..6) == 0 {
                    changes.step();
                }
            }
            broker.catch_up(all, at.version).unwrap();
            changes.check(&broker);
        }
    }
}

#[test]
fn batches_that_leave_weighers_uncovered_are_rejected_completely() {
    let mut map = BlockMap::new(10, 10);
    let batch = |version, records| Batch { version, records };
    let (a, b) = (block(0, 0, 50, 1, &[0, 1]), block(1, 50, 100, 1, &[1, 2]));
    map.apply(&batch(1, vec![active(a.clone()), active(b.clone())])).unwrap();
    let before = map.snapshot();
    let cases = [
        ("a gap", vec![active(block(0, 0, 49, 2, &[0]))]),
        ("an overlap", vec![active(block(0, 0, 51, 2, &[0]))]),
        ("nobody left", vec![retired(&a, 2)]),
        ("no holder", vec![active(block(0, 0, 50, 2, &[]))]),
        ("a holder twice", vec![active(block(0, 0, 50, 2, &[3, 3]))]),
        ("an old epoch", vec![active(block(0, 0, 50, 1, &[0]))]),
        ("a block twice", vec![active(block(0, 0, 50, 2, &[0])), active(block(0, 0, 50, 3, &[0]))]),
        ("half of a split", vec![retired(&a, 2), active(block(5, 0, 25, 2, &[0]))]),
        (
            "an empty block",
            vec![retired(&a, 2), active(block(5, 0, 50, 2, &[0])), active(block(6, 50, 50, 2, &[0]))],
        ),
        (
            "another's span",
            vec![Record::Retired { id: a.id, span: b.span, epoch: Epoch::from_parts(Term(1), 2) }],
        ),
    ];
    for (what, records) in cases {
        assert!(map.apply(&batch(2, records)).is_err(), "{what}");
        assert_eq!(map.snapshot(), before, "{what}");
    }
    assert_eq!(
        map.apply(&batch(3, vec![active(block(0, 0, 50, 2, &[0]))])),
        Err(MapError::Gap { held: 1, found: 3 })
    );
    let split = vec![retired(&a, 2), active(block(5, 0, 25, 2, &[0])), active(block(6, 25, 50, 2, &[0]))];
    map.apply(&batch(2, split)).unwrap();
    assert_eq!(
        map.apply(&batch(3, vec![retired(&block(5, 0, 25, 2, &[0]), 3), active(block(0, 0, 25, 3, &[0]))])),
        Err(MapError::Reused(BlockId(0)))
    );
}

#[test]
fn a_box_across_the_antimeridian_finds_both_sides() {
    let mut map = BlockMap::new(10, 10);
    let at =
        |id, first, extent| Block { extent: Some(Extent(extent)), ..block(id, first, first + 10, 1, &[0]) };
    let records = vec![
        active(at(0, 0, [170.0, 0.0, 179.0, 10.0])),
        active(at(1, 10, [-179.0, 0.0, -170.0, 10.0])),
        active(at(2, 20, [175.0, 20.0, -175.0, 30.0])),
        active(at(3, 30, [0.0, 0.0, 10.0, 10.0])),
    ];
    map.apply(&Batch { version: 1, records }).unwrap();
    let found = |extent| map.blocks_in_extent(Extent(extent)).into_iter().map(|id| id.0).collect::<Vec<_>>();
    assert_eq!(found([175.0, 0.0, -175.0, 40.0]), [0, 1, 2]);
    assert_eq!(found([-180.0, 25.0, -178.0, 26.0]), [2]);
    assert_eq!(found([-180.0, -90.0, 180.0, 90.0]), [0, 1, 2, 3]);
    assert_eq!(found([50.0, 0.0, 60.0, 1.0]), [] as [u32; 0]);
}

#[test]
fn retired_spans_are_bounded_and_evicted_oldest_first() {
    let mut map = BlockMap::new(10, 3);
    map.apply(&Batch { version: 1, records: vec![active(block(0, 0, 64, 1, &[0]))] }).unwrap();
    for n in 0..6u32 {
        let old = map.block_of_weigher(0).unwrap().clone();
        let records = vec![retired(&old, n + 2), active(block(n + 1, 0, 64, n + 2, &[0]))];
        map.apply(&Batch { version: u64::from(n) + 2, records }).unwrap();
    }
    assert_eq!(map.resolve(BlockId(2)), None);
    assert_eq!(map.resolve(BlockId(3)).unwrap().len(), 1);
    // A broker that was away for so long cannot get incremental updates and needs the complete map.
    let mut broker = BlockMap::new(10, 3);
    broker.apply(&Batch { version: 1, records: vec![active(block(0, 0, 64, 1, &[0]))] }).unwrap();
    let (records, upto) = map.changes_since(Cursor::after_version(1), 100).unwrap();
    assert!(broker.catch_up(records, upto.version).is_err());
    assert_eq!(broker.version(), 1);
}
