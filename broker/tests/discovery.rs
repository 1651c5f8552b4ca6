//! Discovery on loopback, lists asked for and lists pushed: what it tells is followed whatever became of the call before,
//! and nothing goes out on an older list before a pushed one has been asked for.
#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gingerledge::discovery::watching::CallTimeouts;
use gingerledge::discovery::ListParser;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, get, query, run, until, Service, World};
use serde_json::{json, Value};

/// Longer than any test.
const NEVER: Duration = Duration::from_secs(600);

/// Short waits; on a busy machine one that is over too early makes a call more, and no other difference.
fn short(pushed: bool) -> CallTimeouts {
    let ms = Duration::from_millis;
    let (connect, head, body, silence) = (ms(500), ms(100), ms(100), ms(200));
    let (whole, pace, place) = (ms(700), ms(10), ms(0));
    CallTimeouts {
        is_pushed: pushed,
        connect,
        head,
        body,
        heartbeat_timeout: silence,
        call_timeout: whole,
        pace,
        stagger: place,
        first_list: NEVER,
        readiness: NEVER,
    }
}

fn settings(world: &World, pushed: bool) -> Value {
    let mut settings = world.settings();
    settings["registry_mode"] = json!(if pushed { "automatic" } else { "subscribe" });
    world.waits.set(Some(short(pushed)));
    world.beat.set(Duration::from_millis(40));
    settings
}

/// Asks for every block; the status, and whether store 0 was sent anything for it.
async fn ask(world: &World, broker: &Broker, name: &str) -> (u16, bool) {
    let blocks: Vec<u32> = (0..world.listed.borrow().len() as u32).collect();
    let before = world.sent.borrow().len();
    let text = query(name, "yard-compare", 2400, &blocks, "x");
    let status = exchange(broker.platform, &text).await.unwrap().status;
    (status, world.sent.borrow()[before..].iter().any(|sent| sent.store == 0))
}

fn drains(world: &World) {
    let mut listed = world.listed.borrow()[0].clone();
    listed.state = "draining";
    world.change(0, listed);
}

/// A watch stands. Then discovery treats calls so, and a store drains of which the open watch can't tell.
async fn missed(world: Rc<World>, pushed: bool, service: Service) {
    let broker = world.broker(settings(&world, pushed), None).await;
    let told = broker.counters.lists.get();
    // Open watches fall silent, and their connections stay.
    world.service.set(Service::Hangs);
    until(|| broker.counters.list_failures.get() > 0).await;
    world.service.set(service);
    drains(&world);
    let calls = world.asked.get();
    until(|| world.asked.get() >= calls + 2).await;
    assert_eq!(broker.counters.lists.get(), told, "{service:?}: nothing to hear");
    assert_eq!(ask(&world, &broker, "meanwhile").await.0, 200, "{service:?}: the list stays in use");
    world.service.set(Service::Serves);
    until(|| broker.counters.lists.get() > told).await;
    assert_eq!(ask(&world, &broker, "after").await, (200, false), "pushed {pushed}, {service:?}");
}

#[test]
fn pushed_lists_are_received_again_after_any_time_out() {
    for service in [Service::Hangs, Service::Begins, Service::Opens] {
        run(3, |world| missed(world, true, service));
    }
}

#[test]
fn pushed_lists_are_received_again_after_any_failure() {
    for service in [Service::Resets, Service::Refuses, Service::Cuts, Service::Garbles] {
        run(3, |world| missed(world, true, service));
    }
}

#[test]
fn lists_asked_for_are_heard_again_from_who_accepted_and_said_nothing() {
    run(3, |world| missed(world, false, Service::Hangs));
}

#[test]
fn lists_asked_for_are_heard_again_from_who_answered_a_byte_and_stopped() {
    run(3, |world| missed(world, false, Service::Begins));
}

#[test]
fn lists_asked_for_are_heard_again_from_who_began_a_list_and_went_on_with_empty_lines() {
    run(3, |world| missed(world, false, Service::Opens));
}

/// The connection stays open and nothing comes on it; calls are served.
#[test]
fn a_watch_that_says_nothing_more_is_opened_anew() {
    for pushed in [true, false] {
        run(3, |world| async move {
            world.service.set(Service::Mute);
            let broker = world.broker(settings(&world, pushed), None).await;
            let told = broker.counters.lists.get();
            drains(&world);
            until(|| broker.counters.lists.get() > told).await;
            assert_eq!(ask(&world, &broker, "after").await, (200, false), "pushed {pushed}");
        });
    }
}

#[test]
fn pushed_lists_are_followed_from_the_first_moment_with_nobody_asking() {
    run(3, |world| async move {
        drains(&world);
        let broker = world.broker(settings(&world, true), None).await;
        assert_eq!(ask(&world, &broker, "first").await, (200, false));
        world.list_as(0, "up", 0, &broker).await;
        world.list_as(1, "draining", 0, &broker).await;
        assert_eq!(ask(&world, &broker, "second").await.0, 200);
        assert!(world.sent.borrow().iter().rev().take(3).all(|sent| sent.store != 1));
    });
}

#[test]
fn no_part_is_sent_by_an_older_list_before_a_pushed_one_was_requested() {
    run(3, |world| async move {
        *world.known.borrow_mut() = Some(world.list());
        world.service.set(Service::Hangs);
        let broker = world.start(settings(&world, true), None);
        until(|| world.asked.get() >= 2).await;
        assert_eq!(get(broker.platform, "/ready", "").await.status, 503);
        assert_eq!(ask(&world, &broker, "early").await.0, 503, "refused: trying again is harmless");
        assert!(world.sent.borrow().is_empty());
        drains(&world);
        world.service.set(Service::Serves);
        until(|| broker.counters.lists.get() > 0).await;
        assert_eq!(ask(&world, &broker, "told").await, (200, false));
        assert_eq!(get(broker.platform, "/ready", "").await.status, 200);
    });
}

#[test]
fn an_unresponsive_agent_delays_a_new_process_for_a_bounded_time_only() {
    run(3, |world| async move {
        *world.known.borrow_mut() = Some(world.list());
        world.service.set(Service::Hangs);
        let settings = settings(&world, true);
        world.waits.set(Some(CallTimeouts { first_list: Duration::from_millis(100), ..short(true) }));
        let broker = world.broker(settings, None).await;
        assert!(world.asked.get() > 0, "it was asked");
        while get(broker.platform, "/ready", "").await.status != 200 {}
        assert_eq!(ask(&world, &broker, "known").await.0, 200);
        world.service.set(Service::Serves);
        drains(&world);
        until(|| broker.counters.lists.get() >= 2).await;
        assert_eq!(ask(&world, &broker, "told").await, (200, false));
    });
}

#[test]
fn pushed_lists_are_requested_at_a_new_address_until_received() {
    run(3, |world| async move {
        let broker = world.broker(settings(&world, true), None).await;
        let ((address, had), told) = (world.more_discovery(), broker.counters.lists.get());
        world.service.set(Service::Hangs);
        broker.reload(Ok(address));
        until(|| had.get() >= 2).await;
        drains(&world);
        world.service.set(Service::Serves);
        until(|| broker.counters.lists.get() > told).await;
        assert_eq!(ask(&world, &broker, "after").await, (200, false));
    });
}

#[test]
fn lists_that_come_indented_and_a_byte_at_a_time_are_followed() {
    for pushed in [true, false] {
        run(3, |world| async move {
            world.service.set(Service::Indented);
            let broker = world.broker(settings(&world, pushed), None).await;
            world.drain(0, &broker).await;
            assert_eq!(broker.counters.list_failures.get(), 0, "on one watch");
            assert_eq!(ask(&world, &broker, "after").await, (200, false), "pushed {pushed}");
        });
    }
}

/// A list of a megabyte that comes a byte at a time: nothing is told before it is whole, wherever it is cut, and each byte
/// costs the same.
#[test]
fn a_list_of_a_megabyte_is_read_byte_by_byte_and_applied_once_complete() {
    let entry = |n: usize| {
        json!({ "instanceId": format!("s-{n}"), "hostPort": "127.0.0.1:9", "zone": "a{[\\\"",
        "cell": n, "lifecycle": "up", "startedAtMs": 0, "note": "x".repeat(139) })
    };
    let entries: Vec<Value> = (0..4000).map(entry).collect();
    let text = json!({ "generation": 7, "reset": true, "instances": entries }).to_string();
    assert!(text.len() > 1_000_000 && text.len() < 1 << 20);
    let mut lists = ListParser::default();
    for (n, byte) in text.bytes().enumerate() {
        lists.push(&[byte]);
        let list = lists.next_list().unwrap();
        assert_eq!(list.is_some(), n + 1 == text.len(), "at byte {n}");
        assert_eq!(lists.has_partial_list(), n + 1 < text.len());
        assert!(list.is_none_or(|list| list.instances.len() == 4000));
    }
}

/// A list that never ends is given up before it holds more memory than two of the longest, however it is cut.
#[test]
fn a_list_that_never_ends_is_refused() {
    for piece in [1, 4096, 1 << 20] {
        let (mut lists, mut held) = (ListParser::default(), 0);
        lists.push(b"{\"generation\":1,\"reset\":true,\"instances\":[");
        while lists.next_list().is_ok_and(|list| list.is_none()) {
            lists.push(&vec![b' '; piece]);
            held += piece;
            assert!(held <= 2 << 20, "{held} bytes of a list");
        }
    }
}

/// So many lists in one piece that to move what is left after each would take hours.
#[test]
fn many_small_lists_in_one_piece_are_read_in_a_time_that_grows_as_they_do() {
    let one = br#"{"generation":1,"reset":false,"instances":[]}  "#;
    let many = (32 << 20) / one.len();
    let (mut lists, mut read, began) = (ListParser::default(), 0, Instant::now());
    lists.push(&one.repeat(many));
    while lists.next_list().unwrap().is_some() {
        read += 1;
        assert!(began.elapsed() < Duration::from_secs(40), "{read} of {many} read");
    }
    assert_eq!((read, lists.has_partial_list()), (many, false));
}

/// Blank space that comes faster than it can be read, from a thread of its own: clients are served meanwhile.
#[test]
fn a_watch_that_never_stops_talking_takes_no_time_from_clients() {
    run(3, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (talking, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (starts, stop) = (talking.clone(), over.clone());
        let list = world.list().to_string();
        let talks = std::thread::spawn(move || {
            let (mut socket, _) = listener.accept().unwrap();
            let chunk = format!("{:x}\r\n{list}\r\n", list.len());
            socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
            socket.write_all(chunk.as_bytes()).unwrap();
            let (blank, until) = (b"1\r\n\n\r\n".repeat(4096), Instant::now() + Duration::from_secs(20));
            // Ends by itself, so that a broker that hears nothing else fails the test and does not hang it.
            while !stop.load(Ordering::Relaxed) && Instant::now() < until && socket.write_all(&blank).is_ok()
            {
                starts.store(true, Ordering::Relaxed);
            }
            starts.store(false, Ordering::Relaxed);
        });
        let lists = broker.counters.lists.get();
        broker.reload(Ok(address));
        until(|| broker.counters.lists.get() > lists).await;
        for n in 0..20 {
            assert_eq!(ask(&world, &broker, &format!("q{n}")).await.0, 200);
        }
        assert!(talking.load(Ordering::Relaxed), "served while it talks");
        over.store(true, Ordering::Relaxed);
        drop(broker);
        until(|| talks.is_finished()).await;
    });
}
