//! How a connection ends that the broker closes: idle, crowded out, or because the process ends. What has come by then is
//! served; what comes after is dropped and never sent on; and no close is a reset.
#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gingerledge::http::Stream;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{query, read, run, until, Mood, World};
use serde_json::json;

const LONG: Duration = Duration::from_secs(30);
const PATIENT: [(&str, &str); 2] = [("LB_IDLE_MS", "600000"), ("LB_READ_MS", "600000")];

type Socket = Async<TcpStream>;

fn ask(id: &str) -> Vec<u8> {
    query(id, "yard-compare", 2400, &[0], "x")
}

async fn connect(at: SocketAddr) -> Socket {
    Async::<TcpStream>::connect(at).await.unwrap()
}

/// A connection that has carried a request.
async fn kept(at: SocketAddr, id: &str) -> Socket {
    let socket = connect(at).await;
    (&socket).write_all(&ask(id)).await.unwrap();
    let mut piece = vec![0; 4096];
    let mut got = Vec::new();
    while !got.ends_with(b"]}") {
        let n = (&socket).read(&mut piece).await.unwrap();
        assert!(n > 0, "{id}: closed");
        got.extend_from_slice(&piece[..n]);
    }
    assert!(got.starts_with(b"HTTP/1.1 200 ") && !got.windows(5).any(|word| word == b"close"), "{id}");
    socket
}

/// The other side has shut its write side, and nothing came before that.
async fn shut(socket: &Socket) {
    assert_eq!(socket.peek(&mut [0; 16]).await.unwrap(), 0);
}

/// A request that crosses the close is not sent on, and its client is not reset: it finds the connection at its end.
async fn crosses(world: &World, broker: &Broker, mut socket: Socket, id: &str) {
    shut(&socket).await;
    let taken = broker.counters.queries.get();
    socket.write_all(&ask(id)).await.unwrap();
    for _ in 0..10 {
        Timer::after(Duration::from_millis(5)).await;
        assert!(socket.get_ref().take_error().unwrap().is_none(), "{id}: reset");
    }
    assert_eq!(socket.read(&mut [0; 16]).await.unwrap(), 0, "{id}");
    assert_eq!(broker.counters.queries.get(), taken, "{id}");
    assert!(world.sent.borrow().iter().all(|sent| !sent.id.starts_with(&format!("{id}."))), "{id}");
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_dropped_and_not_reset() {
    run(1, |world| async move {
        world.env.borrow_mut().extend([("LB_IDLE_MS", "100"), ("LB_READ_MS", "100")]);
        let broker = world.broker(world.settings(), None).await;
        let socket = kept(broker.platform, "kept").await;
        crosses(&world, &broker, socket, "idle").await;
        let socket = connect(broker.platform).await;
        crosses(&world, &broker, socket, "fresh").await;
    });
}

#[test]
fn a_request_that_crosses_the_close_of_an_evicted_connection_is_dropped_and_not_reset() {
    run(1, |world| async move {
        world.env.borrow_mut().extend(PATIENT);
        world.sockets.set(64);
        let broker = world.broker(world.settings(), None).await;
        let mut all = Vec::new();
        for n in 0..17 {
            all.push(kept(broker.platform, &format!("kept{n}")).await);
        }
        crosses(&world, &broker, all.remove(0), "crowded").await;
    });
}

#[test]
fn a_request_that_crosses_the_close_at_the_end_of_the_process_is_dropped_and_not_reset() {
    run(1, |world| async move {
        world.env.borrow_mut().extend(PATIENT);
        let broker = Rc::new(world.broker(world.settings(), None).await);
        let (one, other) = (kept(broker.platform, "kept").await, connect(broker.platform).await);
        let leaving = broker.clone();
        let left = world.executor.spawn(async move { leaving.stop().await });
        crosses(&world, &broker, one, "leaves").await;
        crosses(&world, &broker, other, "fresh").await;
        left.await;
    });
}

/// The broker's thread is this test's: all that is sent in one go lies unread when the connection's time is over.
#[test]
fn what_lies_unread_when_a_connection_is_to_be_closed_is_served() {
    run(1, |world| async move {
        world.env.borrow_mut().extend([("LB_IDLE_MS", "100"), ("LB_READ_MS", "300")]);
        let broker = world.broker(world.settings(), None).await;
        let mut sockets = vec![kept(broker.platform, "kept").await, connect(broker.platform).await];
        let started = Instant::now();
        until(|| broker.counters.connections.get() == 2 && started.elapsed().as_millis() > 50).await;
        for (n, socket) in sockets.iter_mut().enumerate() {
            socket.write_all(&ask(&format!("q{n}"))).await.unwrap();
        }
        // Past the time of both.
        std::thread::sleep(Duration::from_millis(400));
        for (n, socket) in sockets.into_iter().enumerate() {
            assert_eq!(read(&mut Stream::new(socket)).await.unwrap().status, 200, "{n}");
        }
    });
}

/// Many more come in one go than may be open: each gets an answer.
#[test]
fn who_comes_when_all_places_are_taken_waits_and_is_answered() {
    run(1, |world| async move {
        world.env.borrow_mut().extend(PATIENT);
        world.sockets.set(64);
        let broker = world.broker(world.settings(), None).await;
        world.mood.borrow_mut()[0] = Mood::Slow(20);
        let clients: Vec<_> = (0..80)
            .map(|n| {
                let mut socket = TcpStream::connect(broker.platform).unwrap();
                std::io::Write::write_all(&mut socket, &ask(&format!("q{n}"))).unwrap();
                Stream::new(Async::new(socket).unwrap())
            })
            .collect();
        let mut statuses = Vec::new();
        for (n, mut client) in clients.into_iter().enumerate() {
            let Some(got) = read(&mut client).await else { panic!("client {n} got no answer: {statuses:?}") };
            statuses.push(got.status);
        }
        assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
        assert!(statuses.iter().filter(|status| **status == 200).count() > 40, "{statuses:?}");
    });
}

/// They rest, and send at any moment of the end.
#[test]
fn after_sigterm_a_request_on_a_resting_connection_is_answered_or_never_sent_on() {
    run(1, |world| async move {
        world.env.borrow_mut().extend(PATIENT);
        let broker = Rc::new(world.broker(world.settings(), None).await);
        let answered = Rc::new(RefCell::new(Vec::new()));
        let mut clients = Vec::new();
        for n in 0..120u64 {
            let socket = match n % 2 {
                0 => kept(broker.platform, &format!("kept{n}")).await,
                _ => connect(broker.platform).await,
            };
            clients.push(socket);
        }
        until(|| broker.counters.connections.get() == 120).await;
        world.mood.borrow_mut()[0] = Mood::Slow(200);
        let leaving = broker.clone();
        let left = world.executor.spawn(async move { leaving.stop().await });
        let mut asking = Vec::new();
        for (n, socket) in clients.into_iter().enumerate() {
            let answered = answered.clone();
            asking.push(world.executor.spawn(async move {
                Timer::after(Duration::from_millis(10 * n as u64)).await;
                let id = format!("late{n}");
                let mut stream = Stream::new(socket);
                if stream.write(&ask(&id), LONG).await.is_ok() {
                    if let Some(got) = read(&mut stream).await {
                        assert_eq!((got.status, got.head.keep_alive), (200, false), "{id}");
                        answered.borrow_mut().push(id);
                        return;
                    }
                    assert!(!stream.has_buffered_bytes(), "{id}: an answer cut short");
                }
            }));
        }
        for one in asking {
            one.await;
        }
        left.await;
        let answered = answered.borrow();
        let sent_on = |id: &str| world.sent.borrow().iter().any(|sent| sent.id == format!("{id}.0"));
        for n in 0..120 {
            let id = format!("late{n}");
            assert_eq!(sent_on(&id), answered.contains(&id), "{id}: sent on, and answered");
        }
        assert!(answered.len() > 20 && answered.len() < 100, "some come in time: {}", answered.len());
    });
}

/// The deadline of a request is longer than any other here: the end waits for it all the same.
#[test]
fn the_end_waits_for_the_longest_request_that_was_taken() {
    run(1, |world| async move {
        world.env.borrow_mut().extend(PATIENT);
        let mut settings = world.settings();
        for class in settings["categories"].as_array_mut().unwrap() {
            class["deadline_ms"] = json!(17_000.0);
        }
        let broker = Rc::new(world.broker(settings, None).await);
        world.mood.borrow_mut()[0] = Mood::Silent;
        let mut client = Stream::new(connect(broker.platform).await);
        client.write(&query("long", "harvest-entry", 16_500, &[0], "x"), LONG).await.unwrap();
        until(|| !world.sent.borrow().is_empty()).await;
        let (leaving, ended) = (broker.clone(), Rc::new(Cell::new(false)));
        let done = ended.clone();
        let left = world.executor.spawn(async move {
            leaving.stop().await;
            done.set(true);
        });
        let since = Instant::now();
        let got = read(&mut client).await.unwrap();
        assert!(since.elapsed() > Duration::from_secs(15), "{:?}: too soon to show it", since.elapsed());
        assert!(!ended.get(), "the process would have ended without the answer");
        assert!(!got.head.keep_alive);
        drop(client);
        left.await;
    });
}
