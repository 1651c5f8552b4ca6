//! Tests of the messages: encoded messages decode to the same value, and no bytes make the decoder panic.
#![allow(clippy::unwrap_used)]

use gingerledge_blocks::wire::{
    self, CopyReply, CopyRequest, HeldBlock, LogSection, MapPage, OrderReply, SectionRequest,
};
use gingerledge_blocks::*;
use quickcheck::{Gen, QuickCheck};

fn messages() -> Vec<Vec<u8>> {
    let holding = Holding {
        span: Span::new(1, 9),
        epoch: Epoch::from_parts(Term(2), 3),
        held_since: Epoch::from_parts(Term(1), 1),
        mode: Mode::Fenced,
        peer: Some(StoreId(4)),
        copied: 77,
    };
    let held = vec![HeldBlock { block: BlockId(3), holding, bytes: 1000, parts: 5 }];
    let entry = Entry { key: "q1.3".into(), weigher: 5, value: vec![1, 2, 3] };
    let order = Order::AddNames { old: vec![BlockId(1)], new: vec![(BlockId(2), Span::new(0, 4))] };
    let stamped = StampedOrder {
        term: Term(2),
        serial: 9,
        block: BlockId(1),
        epoch: Epoch::from_parts(Term(2), 1),
        order,
    };
    let copy = CopyRequest {
        block: BlockId(1),
        epoch: Epoch::from_parts(Term(2), 1),
        from: ([127, 0, 0, 1], 80).into(),
        start: 3,
        bytes: 100,
    };
    let retired =
        Record::Retired { id: BlockId(8), span: Span::new(0, 9), epoch: Epoch::from_parts(Term(1), 8) };
    let map_page = MapPage {
        stores: vec![(StoreId(0), "s-0".into())],
        records: vec![retired],
        cursor: Cursor::after_version(4),
        version: 4,
        term: 2,
        is_full_map: true,
    };
    vec![
        wire::encode(&OrderReply::Inventory { held, more: true }),
        wire::encode(&OrderReply::Refused(Refusal::Deposed(Term(7)))),
        wire::encode(&stamped),
        wire::encode(&copy),
        wire::encode(&Some(CopyReply { copied: 1, length: 2, bytes: 3 })),
        wire::encode(&SectionRequest { span: Span::new(0, 9), start: 0, bytes: 10 }),
        wire::encode(&LogSection { entries: vec![entry], next: 4, length: 9 }),
        wire::encode(&map_page),
    ]
}

/// Decodes bytes as each type of message.
fn read(bytes: &[u8]) -> [bool; 8] {
    [
        wire::decode::<OrderReply>(bytes).is_some(),
        wire::decode::<StampedOrder>(bytes).is_some(),
        wire::decode::<CopyRequest>(bytes).is_some(),
        wire::decode::<Option<CopyReply>>(bytes).is_some(),
        wire::decode::<SectionRequest>(bytes).is_some(),
        wire::decode::<LogSection>(bytes).is_some(),
        wire::decode::<MapPage>(bytes).is_some(),
        wire::decode::<Snapshot>(bytes).is_some(),
    ]
}

#[test]
fn messages_decode_to_the_same_value_and_only_at_their_exact_length() {
    for bytes in messages() {
        assert!(read(&bytes).contains(&true));
        let own_type = read(&bytes).iter().position(|is_decoded| *is_decoded).unwrap();
        let longer = [&bytes[..], &[0]].concat();
        assert!(!read(&longer)[own_type], "bytes behind a message");
        for cut in 0..bytes.len() {
            assert!(!read(&bytes[..cut])[own_type], "cut at {cut} of {}", bytes.len());
        }
    }
}

#[test]
fn random_bytes_are_no_message_or_a_bounded_one() {
    fn survives_damage(garbage: Vec<u8>, at: usize) -> bool {
        read(&garbage);
        for mut bytes in messages() {
            let at = at % bytes.len();
            let end = (at + garbage.len()).min(bytes.len());
            bytes[at..end].copy_from_slice(&garbage[..end - at]);
            read(&bytes);
            if let Some(map_page) = wire::decode::<MapPage>(&bytes) {
                // Whatever a peer sends, the blocks of the map never overlap.
                let mut map = BlockMap::new(10, 10);
                let _ = map.catch_up(map_page.records, map_page.version);
                let _ = map.snapshot();
            }
            if let Some(stamped) = wire::decode::<StampedOrder>(&bytes) {
                let _ = Holdings::new(4).carry_out(&stamped);
            }
        }
        true
    }
    let survives_damage = survives_damage as fn(Vec<u8>, usize) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 23)).tests(3000).quickcheck(survives_damage);
}
