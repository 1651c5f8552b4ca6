//! What the tests of networks share: messages, networks over loopback, and waits that end when something arrives.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use gingerledge_transport::{Inbox, Incoming, Network, NetworkSettings, SendOutcome};
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Bounds every wait in these tests; only a fault reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Time before a message to a peer that has not restarted yet is sent again.
const RETRY: Duration = Duration::from_millis(20);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TestMessage {
    Number(u64),
    Text(String),
    Bytes(Vec<u8>),
    Pair { request: u64, from: Option<SocketAddr> },
}

pub type Node = (Network<TestMessage>, Inbox<TestMessage>);

/// Settings for a free port of the loopback address.
pub fn settings() -> NetworkSettings {
    NetworkSettings::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

pub async fn node() -> Node {
    node_with(settings()).await
}

pub async fn node_with(settings: NetworkSettings) -> Node {
    Network::bind(settings).await.expect("a loopback address can be bound")
}

/// Runs a test on one thread.
pub fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

/// The next event, which must come.
pub async fn event(inbox: &mut Inbox<TestMessage>) -> Incoming<TestMessage> {
    let event = tokio::time::timeout(TEST_TIMEOUT, inbox.next()).await;
    event.expect("an event arrives in time").expect("the inbox is open")
}

/// The next event, which must be a message.
pub async fn message(inbox: &mut Inbox<TestMessage>) -> (SocketAddr, TestMessage) {
    match event(inbox).await {
        Incoming::Message { from, message } => (from, message),
        lost @ Incoming::Lost { .. } => panic!("{lost:?} where a message was awaited"),
    }
}

pub fn queue(network: &Network<TestMessage>, to: SocketAddr, note: &TestMessage) {
    assert_eq!(network.send(to, note), SendOutcome::Queued);
}

/// Sends the note again and again until the receiver has it, and returns the sender it was told.
pub async fn send_until_received(
    network: &Network<TestMessage>,
    to: SocketAddr,
    note: &TestMessage,
    inbox: &mut Inbox<TestMessage>,
) -> SocketAddr {
    let received = async {
        loop {
            let _ = network.send(to, note);
            match tokio::time::timeout(RETRY, inbox.next()).await {
                Ok(Some(Incoming::Message { from, message })) if message == *note => return from,
                Ok(None) => panic!("the inbox is closed"),
                _ => {}
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, received).await.expect("the note arrives in time")
}

/// An address at which nothing ever listens, another one with each call. It is on the loopback interface, but not the address that the
/// tests' nodes bind: a port that was free a moment ago may be another test's by now.
pub fn vacant_address() -> SocketAddr {
    const PORT: u16 = 9;
    static CALLS: AtomicU16 = AtomicU16::new(0);
    let [high, low] = CALLS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 64, high, low), PORT))
}

/// Waits for the end of a connection, by close or reset.
pub async fn assert_ended(stream: &mut TcpStream) {
    let mut byte = [0u8; 1];
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read(&mut byte))
        .await
        .expect("the connection ends in time");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

/// Takes the hello that a network sends.
pub async fn hello_of(network: &Network<TestMessage>) -> Vec<u8> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    queue(network, address, &TestMessage::Number(0));
    let (mut stream, _) = listener.accept().await.expect("the network connects");
    let mut hello = vec![0; 5];
    stream.read_exact(&mut hello).await.expect("a header");
    let length = u32::from_be_bytes([hello[1], hello[2], hello[3], hello[4]]) as usize;
    hello.resize(5 + length, 0);
    stream.read_exact(&mut hello[5..]).await.expect("a payload");
    network.close(address);
    hello
}
