//! The platform's protocol, end to end, on loopback.
#![allow(clippy::unwrap_used)]

use std::collections::HashSet;
use std::time::Duration;

use async_io::{Async, Timer};
use gingerledge::http::Stream;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, get, query, read, run, until, Mood, Service, World};
use serde_json::json;

#[test]
fn a_query_is_served_whole_with_the_values_as_given() {
    run(4, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        assert_eq!(get(broker.platform, "/ready", "").await.status, 200);
        let got =
            exchange(broker.platform, &query("q1", "yard-compare", 2000, &[2, 0], "c41e")).await.unwrap();
        let expected = json!({ "total": true, "answers": [
            { "range": 0, "blob": "v0-false" }, { "range": 2, "blob": "v2-false" }] });
        assert_eq!((got.status, got.json()), (200, expected));
        for sent in world.sent.borrow().iter() {
            assert_eq!(
                (sent.id.as_str(), sent.text.as_str()),
                (format!("q1.{}", sent.shard).as_str(), "c41e")
            );
            let holders = [sent.shard as usize, (sent.shard as usize + 1) % 4];
            assert!(holders.contains(&sent.store), "only a holder may be sent a shard");
            assert!(sent.list.strip_prefix("d=").unwrap().parse::<u64>().unwrap() <= 2000);
        }
    });
}

#[test]
fn a_second_step_goes_to_the_highest_scores_and_gives_the_answer() {
    run(5, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let text = query("q1", "flow-report", 5000, &[0, 1, 3, 4], "c41e");
        let got = exchange(broker.platform, &text).await.unwrap();
        let expected = json!({ "total": true, "answers": [
            { "range": 0, "blob": "v0-true" }, { "range": 1, "blob": "v1-true" }] });
        assert_eq!(got.json(), expected);
        let second: Vec<_> = world.sent.borrow().iter().filter(|s| s.id.ends_with(".r")).cloned().collect();
        assert_eq!(second.iter().map(|s| s.id.as_str()).collect::<HashSet<_>>(), ["q1.0.r", "q1.1.r"].into());
        assert!(second.iter().all(|s| s.list.contains(",from=0+1+3+4,whole=1")), "{second:?}");
    });
}

#[test]
fn each_trouble_at_one_holder_is_passed_by_for_safe_parts() {
    for mood in [Mood::Errs, Mood::Full, Mood::Garbage, Mood::Resets] {
        run(3, |world| async move {
            world.mood.borrow_mut()[1] = mood;
            let broker = world.broker(world.settings(), None).await;
            for n in 0..6 {
                let text = query(&format!("q{n}"), "yard-compare", 2400, &[0, 1, 2], "x");
                let got = exchange(broker.platform, &text).await.unwrap();
                assert_eq!(got.status, 200, "{mood:?}");
            }
            assert!(world.sent.borrow().iter().any(|sent| sent.store == 1), "{mood:?} was met");
        });
    }
}

/// A break would tell the module that the store went down, and is cold when it answers again.
#[test]
fn a_corrupt_answer_is_an_immediate_failure_and_no_broken_connection() {
    for mood in [Mood::Garbage, Mood::WrongId, Mood::Half] {
        run(2, |world| async move {
            *world.mood.borrow_mut() = vec![mood; 2];
            let broker = world.broker(world.settings(), None).await;
            let text = query("q1", "harvest-entry", 2900, &[0], "x");
            assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 504, "{mood:?}");
            let counted = &broker.counters;
            assert_eq!((counted.errors.get(), counted.bad_frames.get()), (1, 1), "{mood:?}");
            assert_eq!((counted.broken.get(), counted.withdrawn.get()), (0, 0), "{mood:?}");
        });
    }
}

#[test]
fn a_good_answer_is_served_whatever_comes_with_it() {
    for (mood, spoilt) in [(Mood::BadReport, 0), (Mood::Twice, 0), (Mood::Noise, 6), (Mood::Beginning, 6)] {
        run(2, |world| async move {
            *world.mood.borrow_mut() = vec![mood; 2];
            let broker = world.broker(world.settings(), None).await;
            for n in 0..3 {
                let text = query(&format!("q{n}"), "harvest-entry", 2900, &[0, 1], "x");
                let got = exchange(broker.platform, &text).await.unwrap();
                let expected = json!({ "total": true, "answers": [
                    { "range": 0, "blob": "v0-false" }, { "range": 1, "blob": "v1-false" }] });
                assert_eq!((got.status, got.json()), (200, expected), "{mood:?}");
            }
            until(|| broker.counters.bad_frames.get() == spoilt).await;
            assert_eq!((broker.counters.served.get(), broker.counters.attempts.get()), (6, 6), "{mood:?}");
        });
    }
}

/// The store is well: only what is sent on the old connection is lost, and shows nothing but silence.
#[test]
fn an_unresponsive_connection_gets_no_new_parts() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let ask = |id: &str, timeout: u64| {
            let (at, text) = (broker.platform, query(id, "harvest-entry", timeout, &[0], "x"));
            async move { exchange(at, &text).await.unwrap().status }
        };
        assert_eq!(ask("q1", 2000).await, 200);
        world.mood.borrow_mut()[0] = Mood::Silences;
        assert_eq!(ask("q2", 300).await, 504);
        let mut n = 3;
        // The store itself is kept out for a moment.
        while ask(&format!("q{n}"), 300).await != 200 {
            n += 1;
            assert!(n < 20, "all is sent on the silent connection");
            Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!((broker.counters.links_silent.get(), broker.counters.dials.get()), (1, 2));
    });
}

/// A spoilt answer takes all parts on its connection with it.
#[test]
fn after_a_corrupt_answer_parts_share_no_connections() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let ask = |id: &str| {
            let (at, text) = (broker.platform, query(id, "yard-compare", 2400, &[0, 1], "x"));
            world.executor.spawn(async move { exchange(at, &text).await.unwrap().status })
        };
        // Two queries at once, with a part of each at either store.
        let both = |name: &'static str| {
            *world.mood.borrow_mut() = vec![Mood::Slow(50); 2];
            let (one, other, dials) = (ask(name), ask(&format!("{name}-2")), broker.counters.dials.get());
            async move { (one.await, other.await, dials) }
        };
        assert_eq!(both("q1").await, (200, 200, 0));
        assert_eq!(broker.counters.dials.get(), 2);
        *world.mood.borrow_mut() = vec![Mood::Garbage, Mood::Serves];
        assert_eq!(ask("q2").await, 200);
        world.mood.borrow_mut()[0] = Mood::Serves;
        // The store is kept out for a moment, and then tried with one part.
        let calls = |store| world.sent.borrow().iter().filter(|sent| sent.store == store).count();
        let (before, mut n) = (calls(0), 3);
        while calls(0) < before + 2 {
            Timer::after(Duration::from_millis(100)).await;
            assert_eq!(ask(&format!("q{n}")).await, 200);
            n += 1;
        }
        let (one, other, dials) = both("q-last").await;
        assert_eq!((one, other), (200, 200));
        assert!(broker.counters.dials.get() > dials, "the second part has a connection of its own");
    });
}

#[test]
fn an_unsafe_part_that_may_have_run_is_neither_sent_again_nor_refused() {
    for mood in [Mood::Errs, Mood::Garbage, Mood::Resets] {
        run(2, |world| async move {
            *world.mood.borrow_mut() = vec![mood; 2];
            let broker = world.broker(world.settings(), None).await;
            let text = query("q1", "harvest-entry", 2000, &[0], "x");
            let got = exchange(broker.platform, &text).await.unwrap();
            assert!(got.status >= 500 && got.status != 503, "{mood:?}: {}", got.status);
            assert_eq!(world.sent.borrow().len(), 1, "{mood:?}");
            assert_eq!(broker.counters.overdue.get(), 0, "given up at once, not at its deadline");
        });
    }
}

#[test]
fn an_unsafe_part_that_never_ran_is_sent_again_and_its_query_refused_with_advice() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Full; 2];
        let broker = world.broker(world.settings(), None).await;
        let text = query("q1", "harvest-entry", 2000, &[0], "x");
        let got = exchange(broker.platform, &text).await.unwrap();
        assert_eq!(got.status, 503);
        assert!(got.head.header("Retry-After").unwrap().parse::<f64>().unwrap() > 0.0);
        assert_eq!(world.sent.borrow().len(), 3, "three attempts at the most");
    });
}

#[test]
fn a_silent_store_ends_in_one_answer_before_the_deadline_and_a_withdrawal() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Silent; 2];
        let broker = world.broker(world.settings(), None).await;
        let text = query("q1", "harvest-entry", 300, &[0], "x");
        assert!(exchange(broker.platform, &text).await.unwrap().status >= 500);
        assert_eq!((broker.counters.failed.get(), broker.counters.overdue.get()), (1, 0));
        until(|| !world.given_up.borrow().is_empty()).await;
        assert_eq!(*world.given_up.borrow(), ["q1.0"]);
    });
}

#[test]
fn a_draining_store_gets_nothing_more() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        world.drain(0, &broker).await;
        for n in 0..4 {
            let text = query(&format!("q{n}"), "yard-compare", 2000, &[0, 1], "x");
            assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
        }
        assert!(world.sent.borrow().iter().all(|sent| sent.store == 1));
    });
}

#[test]
fn a_client_that_leaves_is_counted_and_its_answer_goes_nowhere() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Silent; 2];
        let broker = world.broker(world.settings(), None).await;
        let mut stream = Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
        let text = query("q1", "yard-compare", 2000, &[0], "x");
        stream.write(&text, Duration::from_secs(5)).await.unwrap();
        until(|| broker.counters.attempts.get() == 1).await;
        drop(stream);
        until(|| broker.counters.clients_gone.get() == 1).await;
        // Its name is free again: the client may come back under it.
        *world.mood.borrow_mut() = vec![Mood::Serves; 2];
        assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
    });
}

#[test]
fn bad_requests_get_a_clear_status_and_the_connection_lives_where_framing_does() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let mut stream = Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
        for (text, status) in [
            (query("q", "no-such-class", 100, &[0], "x"), 404),
            (query("q", "yard-compare", 0, &[0], "x"), 400),
            (query("q", "yard-compare", 100, &[7], "x"), 400),
            (b"PUT / HTTP/1.1\r\n\r\n".to_vec(), 405),
            (b"GET /nowhere HTTP/1.1\r\n\r\n".to_vec(), 404),
            (query("q", "yard-compare", 2000, &[0], "x"), 200),
            (b"nonsense\r\n\r\n".to_vec(), 400),
        ] {
            stream.write(&text, Duration::from_secs(5)).await.unwrap();
            let got = read(&mut stream).await.unwrap();
            assert_eq!(got.status, status, "{}", String::from_utf8_lossy(&got.body));
            assert_eq!(got.head.keep_alive, text != b"nonsense\r\n\r\n");
        }
        assert!(read(&mut stream).await.is_none(), "closed where framing was lost");
        let huge = b"POST /yard-compare HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
        assert_eq!(exchange(broker.platform, huge).await.unwrap().status, 413);
        let chunked = query("c", "yard-compare", 2000, &[0], "x");
        let text = String::from_utf8(chunked).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        let head = head.rsplit_once("\r\n").unwrap().0;
        let (one, two) = body.split_at(9);
        let text = format!(
            "{head}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
            two.len()
        );
        assert_eq!(exchange(broker.platform, text.as_bytes()).await.unwrap().status, 200);
    });
}

#[test]
fn no_more_is_held_than_may_be_open() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Silent; 2];
        let mut settings = world.settings();
        settings["limits"]["max_open"] = json!(5);
        let broker = world.broker(settings, None).await;
        let mut waiting = Vec::new();
        for n in 0..2 {
            let mut stream =
                Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
            let text = query(&format!("q{n}"), "harvest-entry", 2000, &[0], "x");
            stream.write(&text, Duration::from_secs(5)).await.unwrap();
            waiting.push(stream);
        }
        until(|| broker.counters.queries.get() == 2).await;
        let text = query("q9", "harvest-entry", 2000, &[0], "x");
        let got = exchange(broker.platform, &text).await.unwrap();
        assert_eq!((got.status, broker.counters.queries_full.get()), (503, 1));
        let again = exchange(broker.platform, &query("q0", "harvest-entry", 2000, &[], "x")).await.unwrap();
        assert_eq!(again.status, 400);
    });
}

#[test]
fn stopping_finishes_what_was_taken_and_takes_nothing_more() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Slow(700); 2];
        let broker = world.broker(world.settings(), None).await;
        let mut idle = Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
        let text = query("q1", "yard-compare", 2400, &[0], "x");
        let client = async { exchange(broker.platform, &text).await.unwrap() };
        let stop = async {
            until(|| broker.counters.attempts.get() == 1).await;
            broker.stop().await;
        };
        let (got, ()) = futures_lite::future::zip(client, stop).await;
        assert_eq!((got.status, got.head.keep_alive), (200, false));
        assert!(read(&mut idle).await.is_none(), "a connection between requests is closed");
        Timer::after(Duration::from_millis(1)).await;
        assert!(Async::<std::net::TcpStream>::connect(broker.platform).await.is_err(), "nobody listens");
    });
}

#[test]
fn devices_on_poor_links_are_served_and_stalled_ones_are_closed() {
    run(2, |world| async move {
        *world.env.borrow_mut() = vec![("LB_IDLE_MS", "150"), ("LB_READ_MS", "400"), ("LB_WRITE_MS", "400")];
        let broker = world.broker(world.settings(), None).await;
        let connect =
            || async { Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap()) };
        let text = query("slow", "yard-compare", 2000, &[0], "x");
        // In small pieces.
        let mut stream = connect().await;
        for piece in text.chunks(7) {
            stream.write(piece, Duration::from_secs(5)).await.unwrap();
            Timer::after(Duration::from_millis(1)).await;
        }
        assert_eq!(read(&mut stream).await.unwrap().status, 200);
        assert!(read(&mut stream).await.is_none(), "closed once it stood idle");
        // Cut inside the head and inside the body: nothing is taken.
        for cut in [20, text.len() - 3] {
            let mut stream = connect().await;
            stream.write(&text[..cut], Duration::from_secs(5)).await.unwrap();
            drop(stream);
            let mut stalled = connect().await;
            stalled.write(&text[..cut], Duration::from_secs(5)).await.unwrap();
            assert_eq!(read(&mut stalled).await.unwrap().status, 408);
            assert!(read(&mut stalled).await.is_none());
        }
        assert_eq!(broker.counters.queries.get(), 1);
    });
}

async fn connect(at: std::net::SocketAddr) -> Stream {
    Stream::new(Async::<std::net::TcpStream>::connect(at).await.unwrap())
}

const LONG: Duration = Duration::from_secs(30);

/// Clients may hold half of 64 descriptors.
#[test]
fn too_many_connections_evict_those_without_any_request_first() {
    run(2, |world| async move {
        world.sockets.set(64);
        world.env.borrow_mut().extend([("LB_IDLE_MS", "60000"), ("LB_READ_MS", "60000")]);
        let broker = world.broker(world.settings(), None).await;
        let mut kept = connect(broker.platform).await;
        kept.write(&query("q1", "yard-compare", 2000, &[0], "x"), LONG).await.unwrap();
        assert_eq!(read(&mut kept).await.unwrap().status, 200);
        let mut others = Vec::new();
        for n in 0..40u64 {
            let mut other = connect(broker.platform).await;
            if n % 2 == 1 {
                other.write(b"POST /yard-compare HTTP/1.1\r\nContent-Le", LONG).await.unwrap();
            }
            others.push(other);
            until(|| broker.counters.connections.get() == n + 2).await;
            if n % 10 == 9 {
                // They have had their time for a first request.
                Timer::after(Duration::from_millis(150)).await;
            }
        }
        let got = exchange(broker.platform, &query("q2", "yard-compare", 2000, &[0], "x")).await.unwrap();
        assert_eq!((got.status, broker.counters.connections_shed.get()), (200, 0));
        for gone in &mut others[..2] {
            assert!(read(gone).await.is_none(), "those that waited longest made room");
        }
        kept.write(&query("q3", "yard-compare", 2000, &[0], "x"), LONG).await.unwrap();
        assert_eq!(read(&mut kept).await.unwrap().status, 200, "a connection that has been of use is kept");
    });
}

/// The platform's clients open connections in a third of the descriptors and no more, those that they keep among
/// them: if as many were left open, they could ask nothing.
#[test]
fn clients_that_ask_once_and_stay_leave_room_for_others_to_connect() {
    run(2, |world| async move {
        world.sockets.set(192);
        world.env.borrow_mut().extend([("LB_IDLE_MS", "60000"), ("LB_READ_MS", "60000")]);
        let broker = world.broker(world.settings(), None).await;
        let mut open = std::collections::VecDeque::new();
        for n in 0..100 {
            // Each connects a moment before it asks, when all room is taken by those who asked.
            let mut client = connect(broker.platform).await;
            until(|| broker.counters.connections.get() == n + 1).await;
            Timer::after(Duration::from_millis(2)).await;
            client.write(&query(&format!("q{n}"), "yard-compare", 2000, &[0], "x"), LONG).await.unwrap();
            assert_eq!(read(&mut client).await.unwrap().status, 200, "{n}");
            open.push_back(client);
            if open.len() > 192 / 4 {
                assert!(read(&mut open.pop_front().unwrap()).await.is_none(), "who stayed longest made room");
            }
        }
        assert_eq!(broker.counters.connections_shed.get(), 0);
    });
}

/// Its request may be under way while a crowd comes in behind it.
#[test]
fn who_has_just_connected_is_not_the_first_to_make_room() {
    run(2, |world| async move {
        world.sockets.set(64);
        world.env.borrow_mut().extend([("LB_IDLE_MS", "60000"), ("LB_READ_MS", "60000")]);
        let broker = world.broker(world.settings(), None).await;
        let mut crowd = Vec::new();
        for n in 0..16 {
            let mut client = connect(broker.platform).await;
            client.write(b"GET /ready HTTP/1.1\r\nHost: test\r\n\r\n", LONG).await.unwrap();
            assert_eq!(read(&mut client).await.unwrap().status, 200, "{n}");
            crowd.push(client);
        }
        let mut client = connect(broker.platform).await;
        until(|| broker.counters.connections.get() == 17).await;
        crowd.push(connect(broker.platform).await);
        until(|| broker.counters.connections.get() == 18).await;
        client.write(&query("q1", "yard-compare", 2000, &[0], "x"), LONG).await.unwrap();
        assert_eq!(read(&mut client).await.unwrap().status, 200);
    });
}

#[test]
fn a_client_that_sends_nothing_is_closed_as_soon_as_one_that_stalls() {
    run(2, |world| async move {
        world.env.borrow_mut().extend([("LB_IDLE_MS", "600000"), ("LB_READ_MS", "150")]);
        let broker = world.broker(world.settings(), None).await;
        assert!(read(&mut connect(broker.platform).await).await.is_none());
        let mut stalled = connect(broker.platform).await;
        stalled.write(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx", LONG).await.unwrap();
        assert_eq!(read(&mut stalled).await.unwrap().status, 408);
    });
}

#[test]
fn who_sends_the_same_again_when_turned_away_is_closed_in_the_end() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let bad = query("q1", "no-such-class", 2000, &[0], "x");
        let mut stream = connect(broker.platform).await;
        let mut answers = 0;
        while stream.write(&bad, LONG).await.is_ok() && read(&mut stream).await.is_some() {
            answers += 1;
            assert!(answers < 20, "it goes on and on");
        }
        assert_eq!((answers, broker.counters.bad_requests.get()), (8, 8));
    });
}

#[test]
fn a_list_is_fetched_where_watches_fail_and_the_watch_is_requested_again() {
    run(2, |world| async move {
        world.service.set(Service::NoWatch);
        let broker = world.broker(world.settings(), None).await;
        // One refusal, and the call after it is for the list.
        assert_eq!((broker.counters.watches.get(), broker.counters.list_failures.get()), (1, 1));
        let text = query("q1", "yard-compare", 2000, &[0, 1], "x");
        assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
        world.service.set(Service::Serves);
        until(|| broker.counters.watches.get() >= 2).await;
        world.drain(1, &broker).await;
    });
}

#[test]
fn an_id_used_again_while_its_part_is_out_gets_no_answer_of_the_other() {
    run(1, |world| async move {
        world.mood.borrow_mut()[0] = Mood::Slow(300);
        let broker = world.broker(world.settings(), None).await;
        // Within the withdrawal delay of the first part (25 ms) its id is in use; on a busy machine the second query may come later.
        for _ in 0..MAX_REUSE_ATTEMPTS {
            reuse_an_id_while_its_part_is_out(&world, &broker).await;
            if broker.counters.void.get() > 0 {
                return;
            }
        }
        panic!("no id was still in use in {MAX_REUSE_ATTEMPTS} attempts");
    });
}

/// How often the id may be free again before the second query comes.
const MAX_REUSE_ATTEMPTS: usize = 20;

/// A client leaves while its part is at the store, and another one sends its own query under the same id.
async fn reuse_an_id_while_its_part_is_out(world: &World, broker: &Broker) {
    let (sent, gone) = (world.sent.borrow().len(), broker.counters.clients_gone.get());
    let mut stream = Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
    let first = query("q1", "yard-compare", 2000, &[0], "collections/yards/items?limit=1");
    stream.write(&first, Duration::from_secs(5)).await.unwrap();
    until(|| world.sent.borrow().len() > sent).await;
    drop(stream);
    until(|| broker.counters.clients_gone.get() == gone + 1).await;
    let second = query("q1", "yard-compare", 2400, &[0], "another text");
    let got = exchange(broker.platform, &second).await.unwrap();
    if got.status == 200 {
        assert_eq!(got.json()["answers"][0]["blob"], "v0-false");
    }
}

#[test]
fn a_client_that_expects_to_be_asked_for_its_body_is_asked() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let text = String::from_utf8(query("q1", "yard-compare", 2000, &[0], "x")).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        let mut stream = Stream::new(Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap());
        let head = format!("{head}\r\nExpect: 100-continue\r\n\r\n");
        stream.write(head.as_bytes(), Duration::from_secs(5)).await.unwrap();
        let asked = stream.head(gingerledge::http::Kind::Response, Duration::from_secs(5)).await.unwrap();
        assert_eq!(asked.status, 100);
        stream.write(body.as_bytes(), Duration::from_secs(5)).await.unwrap();
        assert_eq!(read(&mut stream).await.unwrap().status, 200);
    });
}

/// The machine behind a watch may vanish without a word; what it would have told counts as told 6 s later.
#[test]
fn a_watch_without_heartbeats_is_reopened() {
    run(2, |world| async move {
        world.service.set(Service::Mute);
        let broker = world.broker(world.settings(), None).await;
        assert_eq!(broker.counters.watches.get(), 1);
        world.service.set(Service::Serves);
        until(|| broker.counters.watches.get() == 2 && broker.counters.lists.get() == 2).await;
        world.drain(0, &broker).await;
        let text = query("q1", "yard-compare", 2000, &[0, 1], "x");
        assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
        assert!(world.sent.borrow().iter().all(|sent| sent.store == 1));
    });
}

/// What the new address has to tell counts as told 4 s after the configuration was replaced.
#[test]
fn discovery_is_followed_to_a_new_address_while_queries_go_on() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        *world.mood.borrow_mut() = vec![Mood::Slow(300); 2];
        let text = query("q1", "yard-compare", 2000, &[0, 1], "x");
        let open = world.executor.spawn({
            let at = broker.platform;
            async move { exchange(at, &text).await.unwrap() }
        });
        until(|| broker.counters.attempts.get() == 2).await;
        let (address, had) = world.more_discovery();
        broker.reload(Ok(address));
        until(|| had.get() == 1 && broker.counters.lists.get() == 2).await;
        assert_eq!(open.await.status, 200);
        world.drain(0, &broker).await;
        let sent = world.sent.borrow().len();
        let text = query("q2", "yard-compare", 2000, &[0, 1], "x");
        assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
        assert!(world.sent.borrow()[sent..].iter().all(|sent| sent.store == 1));
        assert_eq!((had.get(), broker.counters.list_failures.get()), (1, 0));
    });
}
