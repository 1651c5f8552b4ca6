//! How a client's connection ends, by either side: what is owed at that instant is held, and nothing is done for who has gone.
#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gingerledge::http::Stream;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, query, read, run, until, Mood, World};

const LONG: Duration = Duration::from_secs(30);
/// Many times as long as the broker may need, and less than the deadline of any request here.
const SOON: Duration = Duration::from_millis(1500);

async fn connect(at: SocketAddr) -> Async<TcpStream> {
    Async::<TcpStream>::connect(at).await.unwrap()
}

/// Closes with a reset.
fn reset(socket: Async<TcpStream>) {
    rustix::net::sockopt::set_socket_linger(&socket, Some(Duration::ZERO)).unwrap();
    drop(socket);
}

fn ask(id: &str) -> Vec<u8> {
    query(id, "yard-compare", 2400, &[0], "x")
}

/// A broker whose one store takes parts and says nothing.
async fn silent(world: &World) -> Broker {
    let broker = world.broker(world.settings(), None).await;
    world.mood.borrow_mut()[0] = Mood::Silent;
    broker
}

/// The broker has seen that a client left, before anything else could end its request.
async fn seen_to_go(broker: &Broker, gone: u64, how: &str) {
    let since = std::time::Instant::now();
    let ended = || broker.counters.clients_gone.get() >= gone || since.elapsed() > SOON;
    until(ended).await;
    assert_eq!((broker.counters.clients_gone.get(), broker.counters.failed.get()), (gone, 0), "{how}");
    until(|| broker.sizes().attempts == 0 || since.elapsed() > SOON).await;
    assert_eq!(broker.sizes().attempts, 0, "{how}: its attempts are stopped");
}

#[test]
fn who_sends_much_behind_a_request_and_goes_is_seen_to_go() {
    run(1, |world| async move {
        let broker = silent(&world).await;
        let mut gone = 0;
        for size in [1_000, 16_384, 20_000, 300_000, 8_000_000] {
            for by_reset in [false, true] {
                gone += 1;
                let mut client = connect(broker.platform).await;
                client.write_all(&ask(&format!("q{gone}"))).await.unwrap();
                until(|| world.sent.borrow().len() == gone).await;
                client.write_all(&vec![b'x'; size]).await.unwrap();
                if by_reset {
                    reset(client);
                } else {
                    drop(client);
                }
                seen_to_go(&broker, gone as u64, &format!("{size} bytes, reset {by_reset}")).await;
            }
        }
    });
}

/// All of it, and the end, may be there before the broker looks: then nothing is sent on at all.
#[test]
fn a_client_that_disconnects_before_its_request_is_read_costs_no_attempt() {
    run(1, |world| async move {
        let broker = silent(&world).await;
        for (n, behind) in [0usize, 20_000, 60_000].into_iter().enumerate() {
            // The broker's thread is this one: it hears nothing until all of it has been sent.
            let mut client = TcpStream::connect(broker.platform).unwrap();
            let mut text = ask(&format!("q{n}"));
            text.extend(vec![b'x'; behind]);
            std::io::Write::write_all(&mut client, &text).unwrap();
            drop(client);
            seen_to_go(&broker, n as u64 + 1, &format!("{behind} bytes")).await;
        }
        assert_eq!(world.sent.borrow().len(), 0, "nobody waited");
    });
}

/// A client that shuts its write side says no more and can't be told from one that closes: it has gone.
#[test]
fn a_client_that_shuts_its_write_side_counts_as_disconnected() {
    run(1, |world| async move {
        let broker = silent(&world).await;
        let mut client = connect(broker.platform).await;
        client.write_all(&ask("q0")).await.unwrap();
        until(|| world.sent.borrow().len() == 1).await;
        client.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
        seen_to_go(&broker, 1, "half-close").await;
        let mut rest = Vec::new();
        assert_eq!(client.read_to_end(&mut rest).await.unwrap(), 0, "and no byte of an answer comes");
    });
}

#[test]
fn who_sends_much_behind_a_request_and_stays_gets_its_answer_and_no_other() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        world.mood.borrow_mut()[0] = Mood::Slow(300);
        let socket = connect(broker.platform).await;
        let mut text = ask("q0");
        for n in 1..200 {
            text.extend(ask(&format!("q{n}")));
        }
        (&socket).write_all(&text).await.unwrap();
        let mut client = Stream::new(socket);
        let got = read(&mut client).await.unwrap();
        assert_eq!((got.status, got.head.keep_alive), (200, false), "what was dropped can't be served");
        assert!(read(&mut client).await.is_none());
        assert_eq!(broker.counters.queries.get(), 1);
    });
}

#[test]
fn a_request_behind_another_is_kept_and_served_next() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        world.mood.borrow_mut()[0] = Mood::Slow(100);
        let socket = connect(broker.platform).await;
        (&socket).write_all(&[ask("q0"), ask("q1"), ask("q2")].concat()).await.unwrap();
        let mut client = Stream::new(socket);
        for n in 0..3 {
            let got = read(&mut client).await.unwrap();
            assert_eq!((got.status, got.head.keep_alive), (200, true), "{n}");
        }
    });
}

/// The connection ends with the answer, in the midst of what the client sends: no reset may take the answer with it.
#[test]
fn who_goes_on_sending_after_the_last_answer_still_reads_it() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let mut client = connect(broker.platform).await;
        client.write_all(b"POST /yard-compare HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n").await.unwrap();
        until(|| broker.counters.bad_requests.get() == 1).await;
        for _ in 0..20 {
            client.write_all(&vec![b'x'; 100_000]).await.unwrap();
            Timer::after(Duration::from_millis(2)).await;
        }
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).await.unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 413 "), "{}", String::from_utf8_lossy(&answer));
    });
}

/// It costs the thread little, and it ends: others are served meanwhile.
#[test]
fn who_sends_without_end_is_closed_and_others_are_served_meanwhile() {
    run(1, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let at = broker.platform;
        let mut floods = Vec::new();
        for _ in 0..8 {
            let socket = TcpStream::connect(at).unwrap();
            floods.push(std::thread::spawn(move || {
                let mut socket = socket;
                socket.set_write_timeout(Some(LONG)).unwrap();
                let head = b"POST /yard-compare HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n";
                let mut sent = std::io::Write::write_all(&mut socket, head);
                while sent.is_ok() {
                    sent = std::io::Write::write_all(&mut socket, &[b'x'; 60_000]);
                }
            }));
        }
        until(|| broker.counters.bad_requests.get() == 8).await;
        let mut served = 0;
        while floods.iter().any(|flood| !flood.is_finished()) || served == 0 {
            let got = exchange(at, &ask(&format!("q{served}"))).await.unwrap();
            assert_eq!(got.status, 200, "{served}");
            served += 1;
        }
    });
}
