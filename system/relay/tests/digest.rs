//! The digest of a copy is sent with each subscription and compared with that of a node that may run another release. The tests
//! therefore pin the recorded hashes of each kind of key.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::ConfigurationDocument;
use gingerledge_relay::{Relay, RelayAction, RelayEvent, RelaySettings};
use gingerledge_wire::{Entry, Key, RelayMessage, Role, Value};

const BUCKETS: usize = 512;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7000))
}

fn tombstone(key: Key, version: u64) -> Entry {
    Entry { key, version, value: Value::Tombstone }
}

/// The non-empty buckets, with their hashes, in the digest of a node that has these entries.
fn digest_of(entries: Vec<Entry>) -> Vec<(usize, u64)> {
    let mut relay = Relay::new(RelaySettings::for_role(Role::Edge, ""), address(1), false, 1);
    let mut actions = Vec::new();
    for event in [
        RelayEvent::EntriesReceived(entries),
        RelayEvent::ControlNodesKnown(vec![address(2)]),
        RelayEvent::Started,
    ] {
        relay.handle(Duration::from_secs(1), event, &mut actions);
    }
    let digest = actions.into_iter().find_map(|action| match action {
        RelayAction::Send { message: RelayMessage::Subscribe { digest, .. }, .. } => Some(digest),
        _ => None,
    });
    let digest = digest.expect("a subscription");
    assert_eq!(digest.len(), BUCKETS);
    digest.into_iter().enumerate().filter(|(_, hash)| *hash != 0).collect()
}

#[test]
fn the_digest_of_each_kind_of_key_matches_the_recorded_one() {
    let document = ConfigurationDocument::from_text(Arc::new(b"{}".to_vec()));
    let configuration = Entry { key: Key::Configuration, version: 9, value: Value::Configuration(document) };
    let recorded = [
        (configuration, (385, 0x06d8_6f55_44e0_11fd)),
        (tombstone(Key::NamedVersion("reader-7b".to_owned()), 1), (464, 0x8fa2_69ec_c505_4f82)),
        (tombstone(Key::Store("store-00001".to_owned()), 2), (226, 0x12be_369d_bce7_a44a)),
        (tombstone(Key::Store("store-00001".to_owned()), u64::MAX), (226, 0x22f9_c90c_f9fe_d33e)),
        (tombstone(Key::Store(String::new()), 2), (36, 0x30bc_e9e4_f203_c546)),
        (
            tombstone(Key::Weights("store-00001".to_owned(), "reader-7b".to_owned()), 3),
            (209, 0x1cbb_1398_874d_5aad),
        ),
        (tombstone(Key::Node(70_000), 4), (30, 0xaf51_3535_17e6_9503)),
        (tombstone(Key::Partition(63), 5), (185, 0x55cf_132b_1989_ce30)),
        (tombstone(Key::Coordinator, 6), (307, 0x2651_a13e_abcd_f2a9)),
    ];
    for (entry, expected) in recorded {
        assert_eq!(digest_of(vec![entry.clone()]), [expected], "{entry:?}");
    }
}
