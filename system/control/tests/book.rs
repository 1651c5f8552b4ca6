//! The address book of control nodes: what a node says of itself goes before what others tell.

use std::time::Duration;

use gingerledge_control::node::{AddressBook, MAX_MEMBERS};
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
fn a_node_is_found_under_its_member() {
    let mut book = AddressBook::new(ME, Vec::new());
    let introduced = book.introduced(NOW, &control(2, 20, 2));
    assert!(introduced.changed && introduced.new_incarnation);
    assert_eq!(book.address(2), Some(([10, 0, 0, 2], 7380).into()));
    assert_eq!(book.member_at(([10, 0, 0, 2], 7380).into()), Some(2));
    let again = book.introduced(NOW, &control(2, 20, 2));
    assert!(!again.changed && !again.new_incarnation);
}

#[test]
fn a_new_disk_at_an_address_replaces_the_old_one_for_good() {
    let mut book = AddressBook::new(ME, Vec::new());
    book.introduced(NOW, &control(2, 20, 2));
    assert_eq!(book.introduced(NOW, &control(3, 30, 2)).replaces, Some(2));
    assert_eq!(book.address(2), None);
    assert!(!book.told(control(2, 20, 2)), "others may not know yet");
    assert!(!book.told(control(2, 20, 7)), "a disk that is gone is nowhere");
    assert!(!book.introduced(NOW, &control(2, 20, 2)).changed, "a late message of the former life");
    assert_eq!(book.address(3), Some(([10, 0, 0, 2], 7380).into()));
}

#[test]
fn hearsay_never_replaces_what_is_known() {
    let mut book = AddressBook::new(ME, Vec::new());
    book.introduced(NOW, &control(2, 20, 2));
    assert!(!book.told(control(9, 90, 2)));
    assert_eq!(book.member_at(([10, 0, 0, 2], 7380).into()), Some(2));
}

#[test]
fn a_node_that_moves_keeps_its_member() {
    let mut book = AddressBook::new(ME, vec![control(2, 20, 2)]);
    assert!(book.introduced(NOW, &control(2, 21, 5)).changed);
    assert_eq!(book.address(2), Some(([10, 0, 0, 5], 7380).into()));
}

#[test]
fn only_those_who_spoke_lately_are_alive() {
    let mut book = AddressBook::new(ME, vec![control(2, 20, 2)]);
    assert_eq!(book.alive(NOW, Duration::from_secs(1)).count(), 0, "the disk's word is no sign of life");
    book.introduced(NOW, &control(2, 20, 2));
    assert_eq!(book.alive(NOW + Duration::from_secs(1), Duration::from_secs(1)).count(), 1);
    assert_eq!(book.alive(NOW + Duration::from_secs(2), Duration::from_secs(1)).count(), 0);
    book.heard(NOW + Duration::from_secs(2), 2);
    assert_eq!(book.alive(NOW + Duration::from_secs(2), Duration::from_secs(1)).count(), 1);
}

#[test]
fn it_is_bounded_and_holds_control_nodes_only() {
    let mut book = AddressBook::new(ME, Vec::new());
    assert!(!book.told(control(ME, 10, 1)), "not itself");
    let edge = NodeRecord { role: Role::Edge, ..control(5, 50, 5) };
    assert!(!book.told(edge.clone()) && !book.introduced(NOW, &edge).changed);
    for at in 0..MAX_MEMBERS as u64 + 10 {
        let mut record = control(100 + at, 1, 0);
        record.address = ([10, 1, (at / 200) as u8, (at % 200) as u8], 7380).into();
        book.told(record);
    }
    assert_eq!(book.records().len(), MAX_MEMBERS);
}
