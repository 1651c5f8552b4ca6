//! Numbers that identify disks and processes differ, also for machines that are alike and start at the same moment.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use gingerledge_transport::identity;

#[test]
fn no_number_is_drawn_twice() {
    let address = SocketAddr::from(([10, 0, 0, 1], 7380));
    let drawn: BTreeSet<u64> = (0..10_000).map(|_| identity::draw("core-1", address, "member")).collect();
    assert_eq!(drawn.len(), 10_000);
    assert!(!drawn.contains(&0));
}
