//! From a client's close to the last attempt for it: wherever its parts wait at that moment, nothing more of them begins, on
//! either front, in either form, whether or not attempts may be given up.
#![allow(clippy::unwrap_used)]

mod common;

use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use common::rig::{shut, Peer, GUARD};
use futures_lite::AsyncReadExt;
use gingerledge::http::Stream;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, listener, query, run, until, Listed, Mood, World};
use serde_json::json;

/// More than one round of the executor takes in.
const BURST: usize = 40;

/// A client of the platform's front, or of the feature front.
async fn client(broker: &Broker, features: bool, name: &str, class: &str) -> Stream {
    let (at, text) = match features {
        false => (broker.platform, query(name, class, 2400, &[0], "x")),
        true => {
            let text = "GET /collections/yards/items HTTP/1.1\r\nHost: test\r\n\r\n";
            (broker.features.unwrap(), text.as_bytes().to_vec())
        }
    };
    let mut stream = Stream::new(Async::<TcpStream>::connect(at).await.unwrap());
    stream.write(&text, GUARD).await.unwrap();
    stream
}

/// A broker of one store, which the test plays at this address; its dials may take long.
async fn broker(world: &World, at: SocketAddr, cancels: bool, features: bool) -> Broker {
    let mut settings = world.settings();
    settings["limits"]["dial_timeout_ms"] = json!(30_000.0);
    settings["limits"]["may_cancel"] = json!(cancels);
    world.listed.borrow_mut()[0] = Listed { id: "s-0".to_owned(), at, state: "up", started: 0 };
    let mut operator = world.operator(&[]);
    if features {
        operator += &format!("[[store]]\nid = \"s-0\"\nfeatures = \"{at}\"\n");
    }
    world.broker(settings, Some(operator)).await
}

/// `front`: whether the clients are the feature front's; `form`: whether the store offers that form.
async fn dialled(world: Rc<World>, cancels: bool, front: bool, form: bool) {
    let (store, at) = listener();
    let queued = shut(&store);
    let broker = broker(&world, at, cancels, form).await;
    let mut clients = Vec::new();
    for n in 0..BURST {
        clients.push(client(&broker, front, &format!("q{n}"), "yard-compare").await);
    }
    until(|| broker.counters.dials.get() > 0 && broker.counters.attempts.get() > 0).await;
    until(|| broker.counters.queries.get() == BURST as u64).await;
    clients.clear();
    // Only their sockets tell.
    until(|| broker.counters.clients_gone.get() + broker.counters.refused.get() == BURST as u64).await;
    let attempts = broker.counters.attempts.get();
    // Now the store takes whoever comes, and notes how many bytes each sends.
    rustix::net::listen(store.get_ref(), 128).unwrap();
    let (bytes, ended) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (read, over, executor) = (bytes.clone(), ended.clone(), world.executor.clone());
    let before = queued.len() as u64;
    let accept = async move {
        while let Ok((socket, _)) = store.accept().await {
            let (read, over) = (read.clone(), over.clone());
            let serve = async move {
                let (mut socket, mut piece) = (socket, [0; 64]);
                while let Some(n) = socket.read(&mut piece).await.ok().filter(|n| *n > 0) {
                    read.set(read.get() + n);
                }
                over.set(over.get() + 1);
            };
            executor.spawn(serve).detach();
        }
    };
    world.executor.spawn(accept).detach();
    drop(queued);
    until(|| broker.sizes().attempts == 0).await;
    // Dials in feature form end with their attempts, where these may be given up.
    if !(cancels && form) {
        world.drain(0, &broker).await;
        until(|| ended.get() == before + broker.counters.dials.get()).await;
    }
    until(|| broker.sizes().links == 0).await;
    assert_eq!(bytes.get(), 0, "bytes for clients that left");
    assert_eq!(broker.counters.attempts.get(), attempts, "further attempts");
    assert_eq!(broker.counters.calls.get(), 0);
}

#[test]
fn nothing_begins_for_clients_that_left_during_a_dial() {
    for cancels in [true, false] {
        run(1, |world| dialled(world, cancels, false, false));
    }
}

#[test]
fn nothing_begins_for_clients_of_the_feature_front_that_left_during_a_dial() {
    for (cancels, form) in [(true, false), (false, false), (true, true), (false, true)] {
        run(1, |world| dialled(world, cancels, true, form));
    }
}

#[test]
fn nothing_begins_for_a_client_that_sends_and_goes() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let mut socket = TcpStream::connect(broker.platform).unwrap();
        // Both are there before the broker looks.
        std::io::Write::write_all(&mut socket, &query("q0", "yard-compare", 2400, &[0], "x")).unwrap();
        drop(socket);
        until(|| broker.counters.clients_gone.get() == 1).await;
        assert_eq!((broker.counters.attempts.get(), world.sent.borrow().len()), (0, 0));
    });
}

#[test]
fn an_error_that_comes_after_its_client_left_brings_no_further_attempt() {
    for (cancels, leaves) in [(true, true), (false, true), (false, false)] {
        run(1, |world| async move {
            let (store, at) = listener();
            let broker = broker(&world, at, cancels, false).await;
            let asked = client(&broker, false, "q0", "yard-compare").await;
            let mut peer = Peer(store.accept().await.unwrap().0, Vec::new());
            peer.call().await;
            if leaves {
                drop(asked);
                until(|| broker.counters.clients_gone.get() == 1).await;
            }
            let bytes = gingerledge::store::frame::frame(b'q', b"q0.0 bad - -\n");
            gingerledge::http::write_all(&peer.0, &bytes, GUARD).await.unwrap();
            if leaves {
                until(|| broker.sizes().attempts == 0).await;
                // Whoever asks next has the store's whole attention.
                let _next = client(&broker, false, "q1", "yard-compare").await;
                let next = loop {
                    let (letter, rest) = peer.frame().await.unwrap();
                    if letter == b'm' {
                        break rest;
                    }
                };
                assert!(next.starts_with(b"q1.0 "));
                assert_eq!(broker.counters.attempts.get(), 2);
            } else {
                assert_eq!(peer.call().await, ["q0.0"]);
            }
        });
    }
}

#[test]
fn no_second_step_follows_for_a_client_that_left_during_the_first() {
    for (cancels, leaves) in [(true, true), (false, true), (false, false)] {
        run(1, |world| async move {
            world.mood.borrow_mut()[0] = Mood::Slow(300);
            let mut settings = world.settings();
            settings["limits"]["may_cancel"] = json!(cancels);
            let broker = world.broker(settings, None).await;
            let asked = client(&broker, false, "q0", "flow-report").await;
            until(|| !world.sent.borrow().is_empty()).await;
            if leaves {
                drop(asked);
                until(|| broker.counters.clients_gone.get() == 1).await;
                until(|| broker.sizes().attempts == 0).await;
                world.mood.borrow_mut()[0] = Mood::Serves;
                let text = query("q1", "yard-compare", 2400, &[0], "x");
                assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
                let sent: Vec<String> = world.sent.borrow().iter().map(|sent| sent.id.clone()).collect();
                assert_eq!(sent, ["q0.0", "q1.0"]);
            } else {
                until(|| world.sent.borrow().iter().any(|sent| sent.id == "q0.0.r")).await;
            }
        });
    }
}

#[test]
fn a_part_that_waits_for_company_goes_with_its_client() {
    for leaves in [true, false] {
        run(1, |world| async move {
            let mut settings = world.settings();
            (settings["domain"]["batch"], settings["domain"]["call_cost_ms"]) = (json!(8), json!(50.0));
            let broker = world.broker(settings, None).await;
            // Only a busy store is waited for.
            world.mood.borrow_mut()[0] = Mood::Slow(300);
            let _busy: Vec<Stream> = vec![client(&broker, false, "busy", "yard-compare").await];
            until(|| world.sent.borrow().len() == 1).await;
            let asked = client(&broker, false, "q0", "yard-compare").await;
            until(|| broker.counters.queries.get() == 2).await;
            let waited = broker.counters.attempts.get() == 1;
            if !leaves {
                until(|| world.sent.borrow().iter().any(|sent| sent.id == "q0.0")).await;
                return;
            }
            drop(asked);
            until(|| broker.counters.clients_gone.get() == 1).await;
            let before = world.sent.borrow().len();
            until(|| broker.sizes().attempts == 0).await;
            assert!(!waited || before == 1, "begun for a client that left");
        });
    }
}

/// What may have begun is given up at the store.
#[test]
fn what_has_begun_is_given_up_at_the_store_and_no_more_follows() {
    run(1, |world| async move {
        let (store, at) = listener();
        let broker = broker(&world, at, true, false).await;
        let asked = client(&broker, false, "q0", "yard-compare").await;
        let mut peer = Peer(store.accept().await.unwrap().0, Vec::new());
        peer.call().await;
        drop(asked);
        assert_eq!(peer.frame().await, Some((b'n', b"q0.0".to_vec())), "the store is told");
        let quiet = async {
            let mut piece = [0; 64];
            (&peer.0).read(&mut piece).await.unwrap() == 0
        };
        let waited = async {
            Timer::after(Duration::from_millis(200)).await;
            true
        };
        assert!(futures_lite::future::or(quiet, waited).await, "nothing more");
    });
}
