//! How attempts and connections to stores end: what may still begin at that instant, what is then known of having run, and that
//! nothing owed is lost. The test plays the store byte by byte, and forces each crossing.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::rig::{at_rest, play, shut, Peer, Rig, GUARD, LONG};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gingerledge::core::{AttemptRequest, QueryFormat};
use gingerledge::http::{Kind, Stream};
use gingerledge::store::frame;
use gingerledge::store::link::Limits;
use gingerledge_dispatch::Outcome;
use gingerledge_testkit::scripted::until;

const PARTS: u64 = 150;
const MINUTE: Duration = Duration::from_secs(60);

fn limits() -> Limits {
    Limits { streams: 1000, batch: 1, links: 64, dial_timeout: MINUTE, idle_timeout: MINUTE }
}

/// What crosses a stalled write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crossing {
    ClientLeft,
    WindowOver,
    GivenUp,
    Drains,
    /// Nothing; the store reads again.
    Nothing,
}

/// A store stops reading; a call stands half written, and more wait behind it. Whatever crosses that, what the store
/// has whole may have run and the rest never did: the ends say just that.
async fn stalled(mut rig: Rig, crossing: Crossing) {
    rustix::net::sockopt::set_socket_recv_buffer_size(rig.store.get_ref(), 4096).unwrap();
    let (ticket, query_id) = rig.asked();
    let send_within_ms = (crossing == Crossing::WindowOver).then_some(1500.0);
    let text: Rc<[u8]> = vec![b'x'; 60_000].into();
    let sent = Instant::now();
    for part in 0..PARTS {
        let order = AttemptRequest { query_id, send_within_ms, text: text.clone(), ..rig.order(part, LONG) };
        rig.sides.stores.send(order);
    }
    rig.sides.stores.turn_over();
    let mut peer = rig.accept().await;
    let begun = at_rest(|| rig.sides.counters.calls.get()).await;
    assert!(0 < begun && begun < PARTS, "{begun} calls: no stall");
    let cut = begun - 1;
    match crossing {
        Crossing::ClientLeft => drop(ticket),
        Crossing::GivenUp => rig.stop(cut),
        Crossing::Drains => drop(rig.sides.stores.upsert("s-0", rig.at, false)),
        Crossing::WindowOver | Crossing::Nothing => {}
    }
    // Until here the store took nothing. From now on it reads, and what was not barred would follow.
    match crossing {
        Crossing::ClientLeft | Crossing::Nothing => {}
        Crossing::GivenUp => drop(rig.ends(1).await),
        Crossing::Drains => drop(rig.ends((PARTS - begun) as usize).await),
        Crossing::WindowOver => drop(Timer::at(sent + Duration::from_millis(1600)).await),
    }
    let mut whole = Vec::new();
    while whole.len() < PARTS as usize {
        if crossing == Crossing::Drains && whole.len() as u64 == begun {
            break;
        }
        let Some((letter, rest)) = peer.frame().await else { break };
        assert_eq!(letter, frame::CALL);
        let id = rest.split(|byte| *byte == b' ').next().unwrap();
        whole.push(std::str::from_utf8(id).unwrap().strip_prefix("q.").unwrap().parse::<u64>().unwrap());
    }
    let expected = match crossing {
        Crossing::Nothing => PARTS,
        Crossing::Drains => begun,
        _ => cut,
    };
    assert_eq!(whole, (0..expected).collect::<Vec<_>>(), "{crossing:?}");
    drop(peer);
    for (part, outcome) in rig.ends(PARTS as usize).await {
        assert_eq!(outcome.never_ran(), *part >= expected, "{crossing:?}: {part} {outcome:?}");
    }
}

#[test]
fn a_call_half_written_when_its_client_disconnects_is_never_completed() {
    play(Rig::within(limits(), 1000, false), |rig| stalled(rig, Crossing::ClientLeft));
}

#[test]
fn a_repeat_half_written_when_its_window_is_over_never_gets_its_end() {
    play(Rig::within(limits(), 1000, false), |rig| stalled(rig, Crossing::WindowOver));
}

#[test]
fn a_call_half_written_when_it_is_given_up_never_gets_its_end() {
    play(Rig::within(limits(), 1000, false), |rig| stalled(rig, Crossing::GivenUp));
}

#[test]
fn a_call_half_written_when_its_store_drains_goes_on_and_none_begins_behind_it() {
    // So short a grace is over at once.
    play(Rig::within(limits(), 150, false), |rig| stalled(rig, Crossing::Drains));
}

#[test]
fn calls_behind_a_stall_are_written_once_the_store_reads_again() {
    play(Rig::within(limits(), 1000, false), |rig| stalled(rig, Crossing::Nothing));
}

/// Only the store side is told, and only by the query being over: the core says nothing.
#[test]
fn what_waits_for_a_dial_ends_with_its_client_and_no_byte_follows() {
    for features in [false, true] {
        play(
            Rig::within(Limits { dial_timeout: Duration::from_secs(30), ..limits() }, 1000, features),
            |mut rig| async move {
                let queued = shut(&rig.store);
                let (ticket, query_id) = rig.asked();
                let format = if features { QueryFormat::Features } else { QueryFormat::Opaque };
                rig.sides.stores.send(AttemptRequest { query_id, format, ..rig.order(0, LONG) });
                rig.sides.stores.turn_over();
                until(|| rig.sides.counters.dials.get() == 1).await;
                Timer::after(Duration::from_millis(50)).await;
                assert_eq!(rig.sides.stores.attempt_count(), 1, "the dial is up");
                drop(ticket);
                if !features {
                    assert_eq!(rig.ends(1).await[&0], Outcome::Void, "before the dial is up");
                }
                // The store accepts at last, and sees nothing.
                for _ in &queued {
                    rig.accept().await;
                }
                let mut peer = rig.accept().await;
                if features {
                    assert_eq!(peer.frame().await, None);
                    assert!(peer.1.is_empty(), "a request was begun");
                    assert_eq!(rig.ends(1).await[&0], Outcome::Void);
                } else {
                    rig.sides.stores.upsert("s-0", rig.at, false);
                    assert_eq!(peer.frame().await, None);
                    assert!(peer.1.is_empty(), "a call was begun");
                }
            },
        );
    }
}

#[test]
fn after_a_long_turn_disconnected_clients_are_noticed_before_any_attempt_begins() {
    play(Rig::within(limits(), 1000, false), |mut rig| async move {
        rig.turn([0]);
        let mut peer = rig.accept().await;
        peer.call().await;
        peer.answer("q.0").await;
        rig.ends(1).await;
        let (ticket, query_id) = rig.asked();
        let (stays, kept) = rig.asked_as("stays");
        // A front's connection: its end drops the ticket.
        let (front, at) = gingerledge_testkit::scripted::listener();
        let client = Async::<TcpStream>::connect(at).await.unwrap();
        let (served, _) = front.accept().await.unwrap();
        let watch = async move {
            let _ = (&served).read(&mut [0]).await;
            drop(ticket);
        };
        rig.sides.executor.spawn(watch).detach();
        // A turn begins, and takes long.
        rig.sides.exchange.next_events(None).await;
        Timer::after(Duration::from_millis(100)).await;
        // The client leaves, and before anybody could look the turn ends.
        drop(client);
        rig.sides.stores.send(AttemptRequest { query_id, ..rig.order(1, LONG) });
        rig.sides.stores.send(AttemptRequest { query_id: kept, ..rig.order(2, LONG) });
        rig.sides.stores.turn_over();
        assert_eq!(peer.call().await, ["q.2"]);
        assert_eq!(rig.ends(2).await[&1], Outcome::Void);
        drop(stays);
    });
}

#[test]
fn the_window_of_a_repeat_counts_from_the_beginning_of_its_turn() {
    for features in [false, true] {
        play(Rig::within(limits(), 1000, features), |mut rig| async move {
            let (_ticket, query_id) = rig.asked();
            rig.sides.exchange.next_events(None).await;
            Timer::after(Duration::from_millis(100)).await;
            let format = if features { QueryFormat::Features } else { QueryFormat::Opaque };
            rig.sides.stores.send(AttemptRequest {
                query_id,
                format,
                send_within_ms: Some(60.0),
                ..rig.order(0, LONG)
            });
            rig.sides.stores.turn_over();
            assert_eq!(rig.ends(1).await[&0], Outcome::Void);
        });
    }
}

/// The store's end of a connection in the feature form.
async fn served(rig: &Rig, behind: &[u8]) -> Stream {
    let mut stream = Stream::new(rig.accept().await.0);
    answer(&mut stream, behind).await;
    stream
}

async fn answer(stream: &mut Stream, behind: &[u8]) {
    stream.head(Kind::Request, GUARD).await.unwrap();
    let page = b"{\"type\":\"FeatureCollection\",\"links\":[],\"features\":[]}";
    let mut bytes = gingerledge::http::encode_response(200, "", page, true);
    bytes.extend_from_slice(behind);
    stream.write(&bytes, GUARD).await.unwrap();
}

fn ask(rig: &Rig, part: u64) {
    rig.sides.stores.send(AttemptRequest { format: QueryFormat::Features, ..rig.order(part, LONG) });
    rig.sides.stores.turn_over();
}

#[test]
fn a_feature_connection_is_used_again_while_it_is_silent() {
    play(Rig::within(limits(), 1000, true), |mut rig| async move {
        ask(&rig, 0);
        let mut stream = served(&rig, b"").await;
        rig.ends(1).await;
        ask(&rig, 1);
        answer(&mut stream, b"").await;
        assert_eq!(rig.ends(2).await[&1], Outcome::Success);
        assert_eq!(rig.sides.counters.dials.get(), 1);
    });
}

#[test]
fn a_feature_connection_that_the_store_closed_or_left_bytes_on_is_not_used_again() {
    for crossing in ["closed", "half a line behind the answer", "half a line later"] {
        play(Rig::within(limits(), 1000, true), |mut rig| async move {
            ask(&rig, 0);
            let behind: &[u8] = if crossing.ends_with("answer") { b"HTTP/1.1 50" } else { b"" };
            let mut stream = served(&rig, behind).await;
            assert_eq!(rig.ends(1).await[&0], Outcome::Success);
            match crossing {
                "closed" => drop(stream),
                "half a line later" => stream.write(b"HTTP/1.1 50", GUARD).await.unwrap(),
                _ => {}
            }
            // In the same instant: nobody has looked at the connection since.
            ask(&rig, 1);
            let _stream = served(&rig, b"").await;
            assert_eq!(rig.ends(2).await[&1], Outcome::Success, "{crossing}");
            assert_eq!(rig.sides.counters.dials.get(), 2, "{crossing}");
        });
    }
}

#[test]
fn an_answer_without_a_length_ends_with_a_close_and_not_with_a_reset() {
    for (resets, outcome) in [(false, Outcome::Success), (true, Outcome::Broken)] {
        play(Rig::within(limits(), 1000, true), |mut rig| async move {
            ask(&rig, 0);
            let Peer(mut socket, _) = rig.accept().await;
            let page =
                b"HTTP/1.1 200 OK\r\n\r\n{\"type\":\"FeatureCollection\",\"links\":[],\"features\":[]}";
            // The request stays unread where the connection is to be reset, and so it is at the close.
            if !resets {
                let mut piece = [0; 4096];
                assert!(socket.read(&mut piece).await.unwrap() > 0);
            } else {
                socket.readable().await.unwrap();
            }
            socket.write_all(page).await.unwrap();
            drop(socket);
            assert_eq!(rig.ends(1).await[&0], outcome);
        });
    }
}

/// What the store does on a link that carries nothing.
#[test]
fn a_part_that_crosses_the_stores_close_of_an_idle_link_never_ran() {
    for crossing in ["closed", "half a line", "reset"] {
        play(Rig::within(limits(), 1000, false), |mut rig| async move {
            rig.turn([0]);
            let mut peer = rig.accept().await;
            peer.call().await;
            peer.answer("q.0").await;
            rig.ends(1).await;
            match crossing {
                "closed" => drop(peer),
                "half a line" => (&peer.0).write_all(b"\x20\0\0\0q12").await.unwrap(),
                _ => {
                    // A frame that the store leaves unread: its close resets.
                    rig.sides.stores.send(rig.order(7, LONG));
                    rig.sides.stores.turn_over();
                    peer.0.readable().await.unwrap();
                    drop(peer);
                }
            }
            rig.turn([1]);
            let outcome = rig.ends(if crossing == "reset" { 3 } else { 2 }).await[&1];
            assert!(outcome.never_ran(), "{crossing}: {outcome:?}");
        });
    }
}
