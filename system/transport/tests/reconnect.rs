//! The end of an outbound connection: an ended peer is told from a restarted one, and messages of an old connection never arrive
//! after those of a new one.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use common::{event, message, node, node_with, queue, run, settings, TestMessage, TEST_TIMEOUT};
use gingerledge_transport::{DropReason, Incoming, Network, SendOutcome, FRAME_VERSION};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A connection that has lasted as long counts as established.
const ESTABLISHED: Duration = Duration::from_secs(2);

/// The end of a frame with number 1, 2 or 3.
fn is_number(sent: &[u8], number: u8) -> bool {
    sent.ends_with(&[0, 0, 0, 2, 0, number])
}

/// A peer that is no network, so that its connections can be ended one by one.
async fn raw_peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// Accepts a connection and reads until a number has come, so that nothing is left unread. Returns also what came before it.
async fn accept_number(listener: &TcpListener, number: u8) -> (TcpStream, Vec<u8>) {
    let accepted = async {
        let (mut stream, _) = listener.accept().await.expect("the network connects");
        let mut sent = Vec::new();
        while !is_number(&sent, number) {
            assert!(
                stream.read_buf(&mut sent).await.expect("the connection lasts") > 0,
                "an early end: {sent:?}"
            );
        }
        sent.truncate(sent.len() - 7);
        (stream, sent)
    };
    tokio::time::timeout(TEST_TIMEOUT, accepted).await.expect("the number comes in time")
}

/// Advances the clock of the network.
async fn advance_clock(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[test]
fn the_end_of_an_established_connection_to_an_ended_process_is_reported_as_refused() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &TestMessage::Number(1));
        let (stream, _) = accept_number(&listener, 1).await;
        advance_clock(ESTABLISHED).await;
        drop(listener);
        drop(stream);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: true });
    });
}

#[test]
fn the_end_of_an_established_connection_to_a_restarted_process_is_not_refused_and_needs_no_backoff() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &TestMessage::Number(1));
        let (stream, hello) = accept_number(&listener, 1).await;
        advance_clock(ESTABLISHED).await;
        drop(stream);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
        queue(&a, peer, &TestMessage::Number(2));
        let (_stream, hello_again) = accept_number(&listener, 2).await;
        assert_eq!(hello_again, hello);
    });
}

#[test]
fn a_connection_that_ends_early_is_backed_off_from() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &TestMessage::Number(1));
        drop(accept_number(&listener, 1).await);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
        assert_eq!(a.send(peer, &TestMessage::Number(2)), SendOutcome::Dropped(DropReason::Backoff));
        advance_clock(ESTABLISHED).await;
        queue(&a, peer, &TestMessage::Number(3));
        let _stream = accept_number(&listener, 3).await;
    });
}

#[test]
fn a_peer_that_sends_on_a_one_way_connection_is_lost() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &TestMessage::Number(1));
        let (mut stream, _) = accept_number(&listener, 1).await;
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await.expect("a few bytes can be written");
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
    });
}

/// Connects to a network as another one would, with the first bytes of another network's connection.
async fn connect_as(sender: &Network<TestMessage>, to: SocketAddr) -> TcpStream {
    let (listener, address) = raw_peer().await;
    queue(sender, address, &TestMessage::Number(1));
    let (mut stream, _) = listener.accept().await.expect("the network connects");
    let mut sent = Vec::new();
    while !is_number(&sent, 1) {
        stream.read_buf(&mut sent).await.expect("the connection lasts");
    }
    sender.close(address);
    let mut copy = TcpStream::connect(to).await.expect("the network accepts");
    copy.write_all(&sent).await.expect("a few bytes can be written");
    copy
}

#[test]
fn a_second_connection_of_a_sender_replaces_the_first() {
    run(async {
        let (a, mut inbox) = node().await;
        let (b, _b_inbox) = node().await;
        let mut older = connect_as(&b, a.local_address()).await;
        assert_eq!(message(&mut inbox).await, (b.local_address(), TestMessage::Number(1)));
        let mut newer = connect_as(&b, a.local_address()).await;
        assert_eq!(message(&mut inbox).await, (b.local_address(), TestMessage::Number(1)));
        let mut byte = [0u8; 1];
        let end = tokio::time::timeout(TEST_TIMEOUT, older.read(&mut byte))
            .await
            .expect("the older one ends in time");
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
        newer.write_all(&[FRAME_VERSION, 0, 0, 0, 2, 0, 7]).await.expect("the newer one lasts");
        assert_eq!(message(&mut inbox).await, (b.local_address(), TestMessage::Number(7)));
    });
}

#[test]
fn flush_waits_until_all_queues_are_written() {
    run(async {
        let (a, _a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        for number in 0..100 {
            queue(&a, b.local_address(), &TestMessage::Number(number));
        }
        assert!(a.flush(TEST_TIMEOUT).await);
        drop(a);
        for number in 0..100 {
            assert_eq!(message(&mut b_inbox).await.1, TestMessage::Number(number));
        }
    });
}

#[test]
fn flush_ends_when_a_peer_is_lost() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        drop(listener);
        queue(&a, peer, &TestMessage::Number(1));
        assert!(a.flush(TEST_TIMEOUT).await);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: true });
    });
}

#[test]
fn flush_times_out_on_a_peer_that_does_not_read() {
    run(async {
        let mut patient = settings();
        patient.user_timeout = TEST_TIMEOUT;
        let (a, _inbox) = node_with(patient).await;
        let (_listener, peer) = raw_peer().await;
        queue(&a, peer, &TestMessage::Bytes(vec![0; 30_000_000]));
        assert!(!a.flush(Duration::from_millis(10)).await);
    });
}
