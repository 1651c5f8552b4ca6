//! Messages: what is packed comes back, and no bytes bring a reader down.
#![allow(clippy::unwrap_used)]

use gingerledge_blocks::wire::{self, Copied, CopyCall, Held, News, Stretch, TailCall, Word};
use gingerledge_blocks::*;
use quickcheck::{Gen, QuickCheck};

fn messages() -> Vec<Vec<u8>> {
    let holding = Holding {
        span: Span::new(1, 9),
        epoch: Epoch::of(Term(2), 3),
        since: Epoch::of(Term(1), 1),
        mode: Mode::Fenced,
        peer: Some(StoreId(4)),
        copied: 77,
    };
    let held = vec![Held { block: BlockId(3), holding, bytes: 1000, parts: 5 }];
    let entry = Entry { key: "q1.3".into(), weigher: 5, value: vec![1, 2, 3] };
    let order = Order::Name { old: vec![BlockId(1)], new: vec![(BlockId(2), Span::new(0, 4))] };
    let ordered =
        Ordered { term: Term(2), serial: 9, block: BlockId(1), epoch: Epoch::of(Term(2), 1), order };
    let copy = CopyCall {
        block: BlockId(1),
        epoch: Epoch::of(Term(2), 1),
        from: ([127, 0, 0, 1], 80).into(),
        at: 3,
        bytes: 100,
    };
    let retired = Record::Retired { id: BlockId(8), span: Span::new(0, 9), epoch: Epoch::of(Term(1), 8) };
    let news = News {
        stores: vec![(StoreId(0), "s-0".into())],
        records: vec![retired],
        upto: Cursor::at(4),
        version: 4,
        term: 2,
        whole: true,
    };
    vec![
        wire::pack(&Word::Holds { held, more: true }),
        wire::pack(&Word::Refused(Refusal::Deposed(Term(7)))),
        wire::pack(&ordered),
        wire::pack(&copy),
        wire::pack(&Some(Copied { copied: 1, length: 2, bytes: 3 })),
        wire::pack(&TailCall { span: Span::new(0, 9), at: 0, bytes: 10 }),
        wire::pack(&Stretch { entries: vec![entry], next: 4, length: 9 }),
        wire::pack(&news),
    ]
}

/// Reads bytes as every message there is.
fn read(bytes: &[u8]) -> [bool; 8] {
    [
        wire::unpack::<Word>(bytes).is_some(),
        wire::unpack::<Ordered>(bytes).is_some(),
        wire::unpack::<CopyCall>(bytes).is_some(),
        wire::unpack::<Option<Copied>>(bytes).is_some(),
        wire::unpack::<TailCall>(bytes).is_some(),
        wire::unpack::<Stretch>(bytes).is_some(),
        wire::unpack::<News>(bytes).is_some(),
        wire::unpack::<Snapshot>(bytes).is_some(),
    ]
}

#[test]
fn every_message_comes_back_and_none_is_read_short_or_long() {
    for bytes in messages() {
        assert!(read(&bytes).contains(&true));
        let own = read(&bytes).iter().position(|whole| *whole).unwrap();
        let longer = [&bytes[..], &[0]].concat();
        assert!(!read(&longer)[own], "bytes behind a message");
        for cut in 0..bytes.len() {
            assert!(!read(&bytes[..cut])[own], "cut at {cut} of {}", bytes.len());
        }
    }
}

#[test]
fn garbage_is_no_message_or_one_within_bounds() {
    fn spoilt(garbage: Vec<u8>, at: usize) -> bool {
        read(&garbage);
        for mut bytes in messages() {
            let at = at % bytes.len();
            let end = (at + garbage.len()).min(bytes.len());
            bytes[at..end].copy_from_slice(&garbage[..end - at]);
            read(&bytes);
            if let Some(news) = wire::unpack::<News>(&bytes) {
                // Whatever a peer says, the map stays one that tiles.
                let mut map = BlockMap::new(10, 10);
                let _ = map.catch_up(news.records, news.version);
                let _ = map.snapshot();
            }
            if let Some(ordered) = wire::unpack::<Ordered>(&bytes) {
                let _ = Holdings::new(4).obey(&ordered);
            }
        }
        true
    }
    let spoilt = spoilt as fn(Vec<u8>, usize) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 23)).tests(3000).quickcheck(spoilt);
}
