//! Messages between networks over loopback: order, sizes, senders, and many peers.

mod common;

use std::collections::BTreeSet;

use common::{message, node, node_with, queue, run, send_until_received, settings, TestMessage};
use gingerledge_transport::Incoming;

#[test]
fn messages_arrive_in_order() {
    run(async {
        let (a, _a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        const COUNT: u64 = 20_000;
        const AT_A_TIME: u64 = 1_000;
        for start in (0..COUNT).step_by(AT_A_TIME as usize) {
            for number in start..start + AT_A_TIME {
                queue(&a, b.local_address(), &TestMessage::Number(number));
            }
            for number in start..start + AT_A_TIME {
                assert_eq!(message(&mut b_inbox).await, (a.local_address(), TestMessage::Number(number)));
            }
        }
    });
}

#[test]
fn a_reply_reaches_the_advertised_address() {
    run(async {
        let (a, mut a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        queue(&a, b.local_address(), &TestMessage::Text("asked".into()));
        let (from, asked) = message(&mut b_inbox).await;
        assert_eq!((from, asked), (a.local_address(), TestMessage::Text("asked".into())));
        queue(&b, from, &TestMessage::Text("answered".into()));
        assert_eq!(message(&mut a_inbox).await, (b.local_address(), TestMessage::Text("answered".into())));
    });
}

#[test]
fn a_node_sends_to_itself() {
    run(async {
        let (a, mut inbox) = node().await;
        queue(&a, a.local_address(), &TestMessage::Number(7));
        assert_eq!(message(&mut inbox).await, (a.local_address(), TestMessage::Number(7)));
    });
}

#[test]
fn large_frames_arrive_complete_and_in_order() {
    run(async {
        let mut roomy = settings();
        roomy.queue_bytes = 64 * 1024 * 1024;
        let (a, _a_inbox) = node_with(roomy.clone()).await;
        let (b, mut b_inbox) = node_with(roomy).await;
        let large: Vec<u8> = (0..20_000_000u32).map(|index| (index % 251) as u8).collect();
        queue(&a, b.local_address(), &TestMessage::Number(1));
        queue(&a, b.local_address(), &TestMessage::Bytes(large.clone()));
        queue(&a, b.local_address(), &TestMessage::Number(2));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(1));
        assert!(message(&mut b_inbox).await.1 == TestMessage::Bytes(large), "the large frame has changed");
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(2));
    });
}

#[test]
fn a_frame_larger_than_the_queue_and_the_inbox_passes() {
    run(async {
        let mut narrow = settings();
        narrow.queue_bytes = 1024;
        let (a, _a_inbox) = node_with(narrow.clone()).await;
        let (b, mut b_inbox) = node_with(narrow).await;
        queue(&a, b.local_address(), &TestMessage::Bytes(vec![5; 300_000]));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Bytes(vec![5; 300_000]));
    });
}

#[test]
fn many_peers_exchange_messages_with_one() {
    run(async {
        let (hub, mut hub_inbox) = node().await;
        let mut peers = Vec::new();
        for _ in 0..60 {
            peers.push(node().await);
        }
        for (peer, _) in &peers {
            queue(
                peer,
                hub.local_address(),
                &TestMessage::Pair { request: 1, from: Some(peer.local_address()) },
            );
        }
        let mut received = BTreeSet::new();
        for _ in &peers {
            let (from, note) = message(&mut hub_inbox).await;
            assert_eq!(note, TestMessage::Pair { request: 1, from: Some(from) });
            assert!(received.insert(from), "{from} was received twice");
            queue(&hub, from, &TestMessage::Pair { request: 1, from: None });
        }
        for (peer, inbox) in &mut peers {
            assert!(received.contains(&peer.local_address()));
            let answer = (hub.local_address(), TestMessage::Pair { request: 1, from: None });
            assert_eq!(message(inbox).await, answer);
        }
    });
}

#[test]
fn try_next_returns_what_has_arrived_without_waiting() {
    run(async {
        let (a, _a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        assert_eq!(b_inbox.try_next(), None);
        queue(&a, b.local_address(), &TestMessage::Number(1));
        queue(&a, b.local_address(), &TestMessage::Number(2));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(1));
        let second = Incoming::Message { from: a.local_address(), message: TestMessage::Number(2) };
        assert_eq!(b_inbox.try_next(), Some(second));
        assert_eq!(b_inbox.try_next(), None);
    });
}

#[test]
fn a_peer_that_was_closed_is_reached_again() {
    run(async {
        let (a, mut a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        queue(&a, b.local_address(), &TestMessage::Number(1));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(1));
        a.close(b.local_address());
        queue(&a, b.local_address(), &TestMessage::Number(2));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(2));
        assert_eq!(a_inbox.try_next(), None, "closing is no loss");
    });
}

#[test]
fn a_restarted_peer_is_reached_again() {
    run(async {
        let (a, mut a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        let address = b.local_address();
        queue(&a, address, &TestMessage::Number(1));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(1));
        drop((b, b_inbox));
        let lost = common::event(&mut a_inbox).await;
        assert!(matches!(lost, Incoming::Lost { peer, .. } if peer == address), "{lost:?}");
        let mut same = settings();
        same.listen = address;
        let (_b, mut b_inbox) = node_with(same).await;
        let from = send_until_received(&a, address, &TestMessage::Number(2), &mut b_inbox).await;
        assert_eq!(from, a.local_address());
    });
}
