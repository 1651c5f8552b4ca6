//! The bytes on a connection: the hello and the frames of messages, as they were recorded once.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use common::{hello_of, message, node, queue, run, TestMessage, TEST_TIMEOUT};
use gingerledge_golden::{compare, read, Sample};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Where the port stands in a hello that is recorded: it is another one in each run.
const RECORDED_PORT: u16 = 40_000;

fn messages() -> Vec<(&'static str, TestMessage)> {
    let from = Some(SocketAddr::from(([10, 1, 2, 3], 7_001)));
    vec![
        ("number", TestMessage::Number(300)),
        ("text", TestMessage::Text("text".to_owned())),
        ("bytes", TestMessage::Bytes(vec![9; 300])),
        ("pair", TestMessage::Pair { request: 70_000, from }),
        ("pair bare", TestMessage::Pair { request: 1, from: None }),
    ]
}

/// The hello of a port in place of that of another one; the encoding of a port above 250 takes three bytes.
fn with_port(mut hello: Vec<u8>, from: u16, to: u16) -> Vec<u8> {
    let end = hello.split_off(hello.len() - 2);
    assert_eq!(end, from.to_le_bytes(), "the port does not end the hello");
    hello.extend_from_slice(&to.to_le_bytes());
    hello
}

async fn frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut frame = vec![0; 5];
    stream.read_exact(&mut frame).await.expect("a header");
    let length = u32::from_be_bytes([frame[1], frame[2], frame[3], frame[4]]) as usize;
    frame.resize(5 + length, 0);
    stream.read_exact(&mut frame[5..]).await.expect("a payload");
    frame
}

#[test]
fn hello_and_frames_have_the_recorded_bytes() {
    run(async {
        let (network, _inbox) = node().await;
        let hello = hello_of(&network).await;
        let hello = with_port(hello, network.local_address().port(), RECORDED_PORT);
        let mut samples = vec![Sample::new("hello", hello)];
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("its address");
        for (_, note) in messages() {
            queue(&network, address, &note);
        }
        let (mut stream, _) = listener.accept().await.expect("the network connects");
        frame(&mut stream).await;
        for (name, _) in messages() {
            samples.push(Sample::new(&format!("frame of {name}"), frame(&mut stream).await));
        }
        compare(&path(), &samples);
    });
}

#[test]
fn recorded_hello_and_frames_are_read() {
    run(async {
        let recorded = read(&path());
        let (network, mut inbox) = node().await;
        let mut stream = TcpStream::connect(network.local_address()).await.expect("connects");
        stream.write_all(&recorded["hello"]).await.expect("takes the hello");
        let from = SocketAddr::from((Ipv4Addr::LOCALHOST, RECORDED_PORT));
        for (name, note) in messages() {
            stream.write_all(&recorded[&format!("frame of {name}")]).await.expect("takes a frame");
            let received = tokio::time::timeout(TEST_TIMEOUT, message(&mut inbox)).await.expect("in time");
            assert_eq!(received, (from, note), "{name}");
        }
    });
}

fn path() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/connection.txt")
}
