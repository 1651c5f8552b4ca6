//! What a network does when an outbound connection ends: tells a peer that is gone from one that is back, and never lets an old
//! connection's messages arrive after a new one's.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use common::{event, message, node, node_with, queue, run, settings, Note, PATIENCE};
use gingerledge_transport::{DropReason, Incoming, Network, SendOutcome, FRAME_VERSION};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A connection that has lasted as long is sound.
const SOUND: Duration = Duration::from_secs(2);

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
    tokio::time::timeout(PATIENCE, accepted).await.expect("the number comes in time")
}

/// Lets the network believe that time has passed.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[test]
fn the_end_of_a_sound_connection_to_a_process_that_is_gone_is_a_refusal() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &Note::Number(1));
        let (stream, _) = accept_number(&listener, 1).await;
        pass(SOUND).await;
        drop(listener);
        drop(stream);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: true });
    });
}

#[test]
fn the_end_of_a_sound_connection_to_a_process_that_is_back_is_no_refusal_and_messages_pass_at_once() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &Note::Number(1));
        let (stream, hello) = accept_number(&listener, 1).await;
        pass(SOUND).await;
        drop(stream);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
        queue(&a, peer, &Note::Number(2));
        let (_stream, hello_again) = accept_number(&listener, 2).await;
        assert_eq!(hello_again, hello);
    });
}

#[test]
fn a_connection_that_ends_soon_is_backed_off_from() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &Note::Number(1));
        drop(accept_number(&listener, 1).await);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
        assert_eq!(a.send(peer, &Note::Number(2)), SendOutcome::Dropped(DropReason::Backoff));
        pass(SOUND).await;
        queue(&a, peer, &Note::Number(3));
        let _stream = accept_number(&listener, 3).await;
    });
}

#[test]
fn a_peer_that_answers_on_the_connection_is_lost() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        queue(&a, peer, &Note::Number(1));
        let (mut stream, _) = accept_number(&listener, 1).await;
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n").await.expect("a few bytes can be written");
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: false });
    });
}

/// Connects to a network as another one would, with the first bytes of another network's connection.
async fn connect_as(sender: &Network<Note>, to: SocketAddr) -> TcpStream {
    let (listener, address) = raw_peer().await;
    queue(sender, address, &Note::Number(1));
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
fn a_sender_that_connects_anew_ends_its_older_connection() {
    run(async {
        let (a, mut inbox) = node().await;
        let (b, _b_inbox) = node().await;
        let mut older = connect_as(&b, a.local_address()).await;
        assert_eq!(message(&mut inbox).await, (b.local_address(), Note::Number(1)));
        let mut newer = connect_as(&b, a.local_address()).await;
        assert_eq!(message(&mut inbox).await, (b.local_address(), Note::Number(1)));
        let mut byte = [0u8; 1];
        let end =
            tokio::time::timeout(PATIENCE, older.read(&mut byte)).await.expect("the older one ends in time");
        assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
        newer.write_all(&[FRAME_VERSION, 0, 0, 0, 2, 0, 7]).await.expect("the newer one lasts");
        assert_eq!(message(&mut inbox).await, (b.local_address(), Note::Number(7)));
    });
}

#[test]
fn flushing_waits_until_all_is_handed_over() {
    run(async {
        let (a, _a_inbox) = node().await;
        let (b, mut b_inbox) = node().await;
        for number in 0..100 {
            queue(&a, b.local_address(), &Note::Number(number));
        }
        assert!(a.flush(PATIENCE).await);
        drop(a);
        for number in 0..100 {
            assert_eq!(message(&mut b_inbox).await.1, Note::Number(number));
        }
    });
}

#[test]
fn flushing_ends_when_a_peer_is_lost() {
    run(async {
        let (a, mut inbox) = node().await;
        let (listener, peer) = raw_peer().await;
        drop(listener);
        queue(&a, peer, &Note::Number(1));
        assert!(a.flush(PATIENCE).await);
        assert_eq!(event(&mut inbox).await, Incoming::Lost { peer, refused: true });
    });
}

#[test]
fn flushing_gives_up_in_time_on_a_peer_that_does_not_read() {
    run(async {
        let mut patient = settings();
        patient.user_timeout = PATIENCE;
        let (a, _inbox) = node_with(patient).await;
        let (_listener, peer) = raw_peer().await;
        queue(&a, peer, &Note::Bytes(vec![0; 30_000_000]));
        assert!(!a.flush(Duration::from_millis(10)).await);
    });
}
