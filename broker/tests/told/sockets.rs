//! The promise over sockets, at the broker's own waits: discovery is scripted call by call, and each fails in another way.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use gingerledge::discovery::watching::UPDATE_DEADLINE;
use gingerledge::http::{encode_response, Kind, Stream};
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, listener, query, run, until, Service, World};
use serde_json::json;

const LONG: Duration = Duration::from_secs(50);
const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Discovery, where each call is met by hand.
struct Script {
    listener: Async<TcpListener>,
    address: SocketAddr,
    /// Connections that take the room of others, while there are any.
    crowd: Vec<TcpStream>,
}

impl Script {
    fn new() -> Self {
        let (listener, address) = listener();
        Self { listener, address, crowd: Vec::new() }
    }

    /// The next connection, before anything is read of it.
    async fn connection(&mut self) -> Async<TcpStream> {
        loop {
            let (socket, from) = self.listener.accept().await.unwrap();
            if !self.crowd.iter().any(|other| other.local_addr().unwrap() == from) {
                return socket;
            }
        }
    }

    /// The next call, and whether it is for a watch.
    async fn call(&mut self) -> (Stream, bool) {
        let mut stream = Stream::new(self.connection().await);
        let head = stream.head(Kind::Request, LONG).await.unwrap();
        (stream, head.query().contains("follow=1"))
    }

    /// From here on no connection comes up: so many stand unaccepted that the system drops what would open another.
    fn fill(&mut self) {
        while let Ok(one) = TcpStream::connect_timeout(&self.address, Duration::from_millis(300)) {
            self.crowd.push(one);
            assert!(self.crowd.len() < 10_000, "it takes any number");
        }
    }
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Store 0 drains, by the newest list; then nothing goes there.
async fn follows(world: &World, broker: &Broker) {
    let blocks: Vec<u32> = (0..world.listed.borrow().len() as u32).collect();
    let before = world.sent.borrow().len();
    let text = query("after", "yard-compare", 2400, &blocks, "x");
    assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
    assert!(world.sent.borrow()[before..].iter().all(|sent| sent.store != 0));
}

async fn chain(world: Rc<World>, index: u32) {
    let mut settings = world.settings();
    (settings["replicas_of_me"], settings["index"]) = (json!(300), json!(index));
    let broker = world.broker(settings, None).await;
    let mut script = Script::new();
    broker.reload(Ok(script.address));

    // A watch that stands, and falls silent while no connection comes up.
    let (mut stream, watch) = script.call().await;
    assert!(watch);
    let lists = broker.counters.lists.get();
    stream.write(WATCH, LONG).await.unwrap();
    stream.write(&chunk(&format!("{}\n", world.list())), LONG).await.unwrap();
    until(|| broker.counters.lists.get() > lists).await;
    script.fill();
    let failures = broker.counters.list_failures.get();
    stream.write(&chunk("\n"), LONG).await.unwrap();
    assert!(stream.chunk(LONG).await.is_err(), "the broker leaves it");
    // Then a dial that hangs.
    until(|| broker.counters.list_failures.get() >= failures + 2).await;

    // Refused as one too many.
    let (mut stream, watch) = script.call().await;
    assert!(watch, "who can't be connected to says nothing of watches");
    script.crowd.clear();
    stream.write(&encode_response(503, "", b"", false), LONG).await.unwrap();
    drop(stream);

    // Reset, with the request unread.
    let socket = script.connection().await;
    socket.readable().await.unwrap();
    drop(socket);

    // A watch whose list is cut short.
    let (mut stream, watch) = script.call().await;
    assert!(watch);
    let mut listed = world.listed.borrow()[0].clone();
    listed.state = "draining";
    world.change(0, listed);
    let bytes = chunk(&world.list().to_string());
    stream.write(WATCH, LONG).await.unwrap();
    stream.write(&bytes[..bytes.len() / 2], LONG).await.unwrap();
    drop(stream);

    // From here on it can be reached, and has the change.
    let (reachable, lists) = (Instant::now(), broker.counters.lists.get());
    let (mut stream, watch) = script.call().await;
    assert!(!watch, "the list is asked for, after a watch that told nothing");
    stream.write(&encode_response(200, "", world.list().to_string().as_bytes(), false), LONG).await.unwrap();
    until(|| broker.counters.lists.get() > lists).await;
    assert!(reachable.elapsed() < UPDATE_DEADLINE, "told {:?} later", reachable.elapsed());
    follows(&world, &broker).await;

    // And a watch is open again, in its turn.
    let (_stream, watch) = script.call().await;
    assert!(watch);
}

#[test]
fn a_chain_of_failures_ends_in_time_at_the_first_of_a_fleet() {
    run(3, |world| chain(world, 0));
}

#[test]
fn a_chain_of_failures_ends_in_time_at_the_last_of_a_fleet() {
    run(3, |world| chain(world, 299));
}

/// A watch is closed from either side in each way, beside discovery that goes on: the next call comes, and tells.
#[test]
fn a_watch_that_ends_in_any_way_is_followed_by_the_next() {
    run(3, |world| async move {
        let mut settings = world.settings();
        (settings["replicas_of_me"], settings["index"]) = (json!(300), json!(299));
        let broker = world.broker(settings, None).await;
        let mut script = Script::new();
        broker.reload(Ok(script.address));
        for (n, way) in
            ["last chunk", "close", "half-close", "reset", "spoilt", "no chunk"].iter().enumerate()
        {
            let ended = Instant::now();
            let socket = script.connection().await;
            if *way == "reset" {
                rustix::net::sockopt::set_socket_linger(socket.get_ref(), Some(Duration::ZERO)).unwrap();
            }
            let mut stream = Stream::new(socket);
            let watch = stream.head(Kind::Request, LONG).await.unwrap().query().contains("follow=1");
            assert!(watch, "{way}: a watch that told something is followed by a watch");
            if n > 0 {
                assert!(ended.elapsed() < UPDATE_DEADLINE, "{way}");
            }
            let lists = broker.counters.lists.get();
            let mut listed = world.listed.borrow()[0].clone();
            listed.started = 1000 + n as u64;
            world.change(0, listed);
            stream.write(WATCH, LONG).await.unwrap();
            stream.write(&chunk(&format!("{}\n", world.list())), LONG).await.unwrap();
            until(|| broker.counters.lists.get() > lists).await;
            match *way {
                "last chunk" => stream.write(b"0\r\n\r\n", LONG).await.unwrap(),
                "half-close" => {
                    stream.finish(Duration::from_millis(250)).await;
                    continue;
                }
                "spoilt" => stream.write(&chunk("no list\n"), LONG).await.unwrap(),
                "no chunk" => stream.write(b"zz\r\n", LONG).await.unwrap(),
                _ => {}
            }
            if !matches!(*way, "close" | "reset") {
                assert!(stream.chunk(LONG).await.is_err(), "{way}: the broker leaves it");
            }
        }
        let (_, watch) = script.call().await;
        assert!(watch);
    });
}

/// Nobody listens: as where no descriptor is left for a call, it ends before there is a connection.
#[test]
fn a_call_that_is_refused_at_once_is_tried_again_in_time() {
    run(3, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let address = Script::new().address;
        let failures = broker.counters.list_failures.get();
        broker.reload(Ok(address));
        until(|| broker.counters.list_failures.get() >= failures + 4).await;
        let (began, listener) = (Instant::now(), Async::<TcpListener>::bind(address).unwrap());
        let mut script = Script { listener, address, crowd: Vec::new() };
        let (_, watch) = script.call().await;
        assert!(watch && began.elapsed() < UPDATE_DEADLINE);
    });
}

/// The watch at the old agent has fallen silent, the first calls at the new one hang; then it answers.
#[test]
fn an_agent_at_another_address_is_heard_within_4_s_of_the_signal_though_its_first_calls_hang() {
    run(3, |world| async move {
        let mut settings = world.settings();
        settings["registry_mode"] = json!("automatic");
        let broker = world.broker(settings, None).await;
        world.service.set(Service::Hangs);
        let mut script = Script::new();
        let mut listed = world.listed.borrow()[0].clone();
        listed.state = "draining";
        world.change(0, listed);
        let (moved, lists) = (Instant::now(), broker.counters.lists.get());
        broker.reload(Ok(script.address));
        let (_watch, watch) = script.call().await;
        assert!(watch);
        let (_list, watch) = script.call().await;
        assert!(!watch);
        let (mut stream, _) = script.call().await;
        stream.write(WATCH, LONG).await.unwrap();
        stream.write(&chunk(&format!("{}\n", world.list())), LONG).await.unwrap();
        until(|| broker.counters.lists.get() > lists).await;
        assert!(moved.elapsed() < Duration::from_secs(4), "{:?}", moved.elapsed());
        follows(&world, &broker).await;
    });
}
