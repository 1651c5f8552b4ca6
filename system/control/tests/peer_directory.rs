//! The directory of control nodes: a node's own record overrules what others say of it.

use std::time::Duration;

use gingerledge_control::node::{PeerDirectory, MAX_PEERS};
use gingerledge_wire::{NodeRecord, Role};

const ME: u64 = 1;
const NOW: Duration = Duration::from_secs(10);

fn control(member: u64, incarnation: u64, last: u8) -> NodeRecord {
    NodeRecord {
        role: Role::Control,
        name: format!("core-{last}"),
        incarnation,
        member,
        address: ([10, 0, 0, last], 7380).into(),
        zone: "z".to_owned(),
    }
}

#[test]
fn a_peer_that_sent_a_hello_is_found_by_its_member() {
    let mut directory = PeerDirectory::new(ME, Vec::new());
    let hello = directory.on_hello(NOW, &control(2, 20, 2));
    assert!(hello.is_changed && hello.is_new_incarnation);
    assert_eq!(directory.address(2), Some(([10, 0, 0, 2], 7380).into()));
    assert_eq!(directory.member_at(([10, 0, 0, 2], 7380).into()), Some(2));
    let again = directory.on_hello(NOW, &control(2, 20, 2));
    assert!(!again.is_changed && !again.is_new_incarnation);
}

#[test]
fn a_new_disk_at_an_address_replaces_the_old_one_for_ever() {
    let mut directory = PeerDirectory::new(ME, Vec::new());
    directory.on_hello(NOW, &control(2, 20, 2));
    assert_eq!(directory.on_hello(NOW, &control(3, 30, 2)).replaces, Some(2));
    assert_eq!(directory.address(2), None);
    assert!(!directory.on_peer_update(control(2, 20, 2)), "other peers may not know yet");
    assert!(!directory.on_peer_update(control(2, 20, 7)), "a disk that is gone is nowhere");
    assert!(
        !directory.on_hello(NOW, &control(2, 20, 2)).is_changed,
        "a late message of the former incarnation"
    );
    assert_eq!(directory.address(3), Some(([10, 0, 0, 2], 7380).into()));
}

#[test]
fn a_record_from_another_peer_never_replaces_a_known_one() {
    let mut directory = PeerDirectory::new(ME, Vec::new());
    directory.on_hello(NOW, &control(2, 20, 2));
    assert!(!directory.on_peer_update(control(9, 90, 2)));
    assert_eq!(directory.member_at(([10, 0, 0, 2], 7380).into()), Some(2));
}

#[test]
fn a_node_that_moves_keeps_its_member() {
    let mut directory = PeerDirectory::new(ME, vec![control(2, 20, 2)]);
    assert!(directory.on_hello(NOW, &control(2, 21, 5)).is_changed);
    assert_eq!(directory.address(2), Some(([10, 0, 0, 5], 7380).into()));
}

#[test]
fn only_peers_that_were_seen_directly_and_recently_are_returned() {
    let mut directory = PeerDirectory::new(ME, vec![control(2, 20, 2)]);
    assert_eq!(
        directory.seen_within(NOW, Duration::from_secs(1)).count(),
        0,
        "a recovered record shows no live process"
    );
    directory.on_hello(NOW, &control(2, 20, 2));
    assert_eq!(directory.seen_within(NOW + Duration::from_secs(1), Duration::from_secs(1)).count(), 1);
    assert_eq!(directory.seen_within(NOW + Duration::from_secs(2), Duration::from_secs(1)).count(), 0);
    directory.on_message(NOW + Duration::from_secs(2), 2);
    assert_eq!(directory.seen_within(NOW + Duration::from_secs(2), Duration::from_secs(1)).count(), 1);
}

#[test]
fn a_directory_is_bounded_and_has_control_nodes_only() {
    let mut directory = PeerDirectory::new(ME, Vec::new());
    assert!(!directory.on_peer_update(control(ME, 10, 1)), "not itself");
    let edge = NodeRecord { role: Role::Edge, ..control(5, 50, 5) };
    assert!(!directory.on_peer_update(edge.clone()) && !directory.on_hello(NOW, &edge).is_changed);
    for at in 0..MAX_PEERS as u64 + 10 {
        let mut record = control(100 + at, 1, 0);
        record.address = ([10, 1, (at / 200) as u8, (at % 200) as u8], 7380).into();
        directory.on_peer_update(record);
    }
    assert_eq!(directory.records().len(), MAX_PEERS);
}
