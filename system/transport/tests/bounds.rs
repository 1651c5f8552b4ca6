//! Bounds on frames, queues and connections, and backpressure by a slow receiver.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use common::{
    assert_ended, event, hello_of, message, node, node_with, queue, run, send_until_received, settings,
    vacant_address, TestMessage, TEST_TIMEOUT,
};
use gingerledge_transport::{DropReason, Incoming, Network, SendOutcome, FRAME_VERSION};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[test]
fn a_message_longer_than_a_frame_is_dropped() {
    run(async {
        let mut short = settings();
        short.max_frame_bytes = 1000;
        let (a, _a_inbox) = node_with(short).await;
        let (b, mut b_inbox) = node().await;
        let large = TestMessage::Bytes(vec![1; 1001]);
        assert_eq!(a.send(b.local_address(), &large), SendOutcome::Dropped(DropReason::TooLarge));
        queue(&a, b.local_address(), &TestMessage::Bytes(vec![1; 900]));
        assert_eq!(a.send(b.local_address(), &large), SendOutcome::Dropped(DropReason::TooLarge));
        queue(&a, b.local_address(), &TestMessage::Number(1));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Bytes(vec![1; 900]));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(1));
    });
}

#[test]
fn a_receiver_with_shorter_frames_closes_the_connection() {
    run(async {
        let mut short = settings();
        short.max_frame_bytes = 1000;
        let (a, mut a_inbox) = node().await;
        let (b, mut b_inbox) = node_with(short).await;
        queue(&a, b.local_address(), &TestMessage::Bytes(vec![1; 2000]));
        assert!(matches!(event(&mut a_inbox).await, Incoming::Lost { refused: false, .. }));
        send_until_received(&a, b.local_address(), &TestMessage::Number(1), &mut b_inbox).await;
    });
}

#[test]
fn the_queue_is_bounded_in_frames() {
    run(async {
        let mut few = settings();
        few.queue_frames = 10;
        let (a, _a_inbox) = node_with(few).await;
        let (b, mut b_inbox) = node().await;
        let outcomes: Vec<_> =
            (0..12).map(|number| a.send(b.local_address(), &TestMessage::Number(number))).collect();
        assert!(outcomes[..10].iter().all(|outcome| outcome.is_queued()), "{outcomes:?}");
        assert_eq!(outcomes[10..], [SendOutcome::Dropped(DropReason::QueueFull); 2]);
        for number in 0..10 {
            assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(number));
        }
        send_until_received(&a, b.local_address(), &TestMessage::Number(12), &mut b_inbox).await;
    });
}

#[test]
fn frames_being_written_count_in_the_bound() {
    run(async {
        let mut few = settings();
        few.queue_frames = 2;
        few.queue_bytes = 64_000_000;
        few.user_timeout = TEST_TIMEOUT;
        let (a, _inbox) = node_with(few).await;
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let peer = listener.local_addr().expect("its address");
        queue(&a, peer, &TestMessage::Bytes(vec![0; 30_000_000]));
        let (mut stream, _) = listener.accept().await.expect("the network connects");
        stream.read_u8().await.expect("the network writes");
        queue(&a, peer, &TestMessage::Number(2));
        assert_eq!(a.send(peer, &TestMessage::Number(3)), SendOutcome::Dropped(DropReason::QueueFull));
    });
}

#[test]
fn a_loss_delayed_by_a_full_inbox_is_reported_before_the_peer_is_retried_or_evicted() {
    run(async {
        let mut narrow = settings();
        narrow.queue_bytes = 1;
        narrow.max_outbound = 1;
        let (a, mut inbox) = node_with(narrow).await;
        let [first, second, third] = [vacant_address(), vacant_address(), vacant_address()];
        queue(&a, first, &TestMessage::Number(1));
        assert!(a.flush(TEST_TIMEOUT).await);
        send_until_queued(&a, second, &TestMessage::Number(1)).await;
        assert!(a.flush(TEST_TIMEOUT).await);
        assert_eq!(a.send(second, &TestMessage::Number(2)), SendOutcome::Dropped(DropReason::Backoff));
        assert_eq!(a.send(third, &TestMessage::Number(1)), SendOutcome::Dropped(DropReason::TooManyPeers));
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer: first, refused: true });
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer: second, refused: true });
        send_until_queued(&a, third, &TestMessage::Number(1)).await;
    });
}

/// Sends again until there is capacity for the peer.
async fn send_until_queued(network: &Network<TestMessage>, to: SocketAddr, note: &TestMessage) {
    let queued = async {
        while !network.send(to, note).is_queued() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, queued).await.expect("there is capacity in time");
}

#[test]
fn the_queue_is_bounded_in_bytes() {
    run(async {
        let mut few = settings();
        few.queue_bytes = 10_000;
        let (a, _a_inbox) = node_with(few).await;
        let (b, mut b_inbox) = node().await;
        let note = TestMessage::Bytes(vec![3; 4000]);
        queue(&a, b.local_address(), &note);
        queue(&a, b.local_address(), &note);
        assert_eq!(a.send(b.local_address(), &note), SendOutcome::Dropped(DropReason::QueueFull));
        queue(&a, b.local_address(), &TestMessage::Number(1));
        for expected in [&note, &note, &TestMessage::Number(1)] {
            assert_eq!(message(&mut b_inbox).await.1, *expected);
        }
    });
}

#[test]
fn all_queues_together_are_bounded_with_a_guarantee_for_small_messages() {
    run(async {
        let mut few = settings();
        few.queue_bytes = 1_000_000;
        few.max_frame_bytes = 1_000_000;
        few.user_timeout = TEST_TIMEOUT;
        let (a, _a_inbox) = node_with(few).await;
        let (b, mut b_inbox) = node().await;
        let mut deaf = Vec::new();
        let mut outcomes = Vec::new();
        for _ in 0..6 {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
            let peer = listener.local_addr().expect("its address");
            outcomes.push(a.send(peer, &TestMessage::Bytes(vec![0; 900_000])).is_queued());
            deaf.push(listener);
        }
        assert_eq!(outcomes, [true, true, true, true, false, false]);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let last = listener.local_addr().expect("its address");
        assert!(a.send(last, &TestMessage::Bytes(vec![0; 390_000])).is_queued(), "what is left of the total");
        queue(&a, b.local_address(), &TestMessage::Bytes(vec![1; 60_000]));
        assert_eq!(message(&mut b_inbox).await.1, TestMessage::Bytes(vec![1; 60_000]));
    });
}

#[test]
fn dropped_queues_free_the_shared_bound() {
    run(async {
        let mut few = settings();
        few.queue_bytes = 1_000_000;
        few.max_frame_bytes = 1_000_000;
        let (a, mut inbox) = node_with(few).await;
        for _ in 0..20 {
            let peer = vacant_address();
            queue(&a, peer, &TestMessage::Bytes(vec![0; 900_000]));
            assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: true });
        }
        for _ in 0..20 {
            let peer = vacant_address();
            queue(&a, peer, &TestMessage::Bytes(vec![0; 900_000]));
            a.close(peer);
        }
    });
}

/// A frame of a large message of which the last byte is missing.
fn large_frame_without_its_end(length: u32) -> Vec<u8> {
    let mut frame = vec![FRAME_VERSION];
    frame.extend_from_slice(&length.to_be_bytes());
    frame.resize(5 + length as usize - 1, 0);
    frame
}

#[test]
fn a_stalled_large_frame_releases_the_permit_to_the_next() {
    run(async {
        let mut hasty = settings();
        hasty.user_timeout = Duration::from_millis(20);
        let (a, mut inbox) = node_with(hasty).await;
        let (b, _b_inbox) = node().await;
        let mut stalled = TcpStream::connect(a.local_address()).await.expect("the network accepts");
        stalled.write_all(&hello_of(&b).await).await.expect("a hello can be written");
        stalled
            .write_all(&large_frame_without_its_end(4_000_000))
            .await
            .expect("most of a frame can be written");
        let (c, _c_inbox) = node().await;
        let large = TestMessage::Bytes(vec![6; 4_000_000]);
        assert_eq!(send_until_received(&c, a.local_address(), &large, &mut inbox).await, c.local_address());
        assert_ended(&mut stalled).await;
        let (d, _d_inbox) = node().await;
        let other = TestMessage::Bytes(vec![7; 4_000_000]);
        assert_eq!(send_until_received(&d, a.local_address(), &other, &mut inbox).await, d.local_address());
    });
}

#[test]
fn a_receiver_that_reads_nothing_applies_backpressure() {
    run(async {
        let mut narrow = settings();
        narrow.queue_bytes = 200_000;
        narrow.user_timeout = TEST_TIMEOUT;
        let (a, _a_inbox) = node_with(narrow.clone()).await;
        let (b, mut b_inbox) = node_with(narrow).await;
        let note = TestMessage::Bytes(vec![8; 50_000]);
        let mut taken = 0u64;
        let mut refusals = 0;
        // The system's own buffers hold a few megabytes between the queue and the inbox.
        while refusals < 1000 {
            match a.send(b.local_address(), &note) {
                SendOutcome::Queued => (taken, refusals) = (taken + 1, 0),
                SendOutcome::Dropped(reason) => {
                    assert_eq!(reason, DropReason::QueueFull);
                    refusals += 1;
                }
            }
            assert!(taken < 4000, "nothing holds the sender up");
            tokio::task::yield_now().await;
        }
        for _ in 0..taken {
            assert_eq!(message(&mut b_inbox).await.1, note);
        }
    });
}

#[test]
fn inbound_connections_are_bounded() {
    run(async {
        let mut few = settings();
        few.max_inbound = 2;
        let (a, mut inbox) = node_with(few).await;
        let first = node().await;
        let second = node().await;
        for (peer, _) in [&first, &second] {
            queue(peer, a.local_address(), &TestMessage::Number(1));
            message(&mut inbox).await;
        }
        let mut third = node().await;
        queue(&third.0, a.local_address(), &TestMessage::Number(2));
        assert!(matches!(event(&mut third.1).await, Incoming::Lost { refused: false, .. }));
        drop(first);
        send_until_received(&third.0, a.local_address(), &TestMessage::Number(3), &mut inbox).await;
    });
}

#[test]
fn outbound_peers_are_bounded_and_the_least_recently_used_is_evicted() {
    run(async {
        let mut few = settings();
        few.max_outbound = 2;
        let (a, _inbox) = node_with(few).await;
        let mut peers = [node().await, node().await, node().await];
        for (peer, _) in &peers[..2] {
            queue(&a, peer.local_address(), &TestMessage::Number(1));
        }
        let full = a.send(peers[2].0.local_address(), &TestMessage::Number(1));
        assert_eq!(full, SendOutcome::Dropped(DropReason::TooManyPeers));
        for (_, inbox) in &mut peers[..2] {
            assert_eq!(message(inbox).await.1, TestMessage::Number(1));
        }
        let [.., (third, third_inbox)] = &mut peers;
        send_until_received(&a, third.local_address(), &TestMessage::Number(2), third_inbox).await;
    });
}
