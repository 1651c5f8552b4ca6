//! SIGTERM: whoever still has a connection may go on asking on it until it closes. Each request gets its whole answer, or
//! the connection closes without a byte of one, and then nothing was taken; and in the end none stays open.
#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use gingerledge::http::{Kind, Stream};
use gingerledge_testkit::client::Got;
use gingerledge_testkit::scripted::{get, query, run, until, Mood};

const WITHIN: Duration = Duration::from_secs(30);

/// What became of a connection's requests.
#[derive(Debug, Default)]
struct Seen {
    answers: Vec<(u16, bool)>,
    /// Requests that the close crossed.
    crossed: usize,
    ended: bool,
}

async fn connect(at: SocketAddr) -> Option<Stream> {
    Async::<TcpStream>::connect(at).await.ok().map(Stream::new)
}

/// The answer, or nothing of one.
async fn answer(stream: &mut Stream) -> Option<Got> {
    let Ok(head) = stream.head(Kind::Response, WITHIN).await else {
        assert!(!stream.has_buffered_bytes(), "an answer cut short");
        return None;
    };
    let body = stream.body(head.framing, WITHIN).await.unwrap();
    Some(Got { status: head.status, head, body })
}

/// Asks on and on until the connection closes.
async fn ask_on(mut stream: Stream, name: String, seen: Rc<RefCell<Seen>>) {
    for n in 0.. {
        let text = query(&format!("{name}-{n}"), "yard-compare", 2400, &[0, 1], "x");
        let got = match stream.write(&text, WITHIN).await {
            Ok(()) => answer(&mut stream).await,
            Err(_) => None,
        };
        let Some(got) = got else {
            seen.borrow_mut().crossed += 1;
            break;
        };
        let kept = got.head.keep_alive;
        seen.borrow_mut().answers.push((got.status, kept));
        if !kept {
            break;
        }
    }
    seen.borrow_mut().ended = true;
}

#[test]
fn after_sigterm_each_request_gets_its_answer_and_no_connection_stays() {
    run(3, |world| async move {
        // Longer than the test: only leaving can close what stands idle.
        world.env.borrow_mut().extend([("LB_IDLE_MS", "600000"), ("LB_READ_MS", "600000")]);
        let broker = Rc::new(world.broker(world.settings(), None).await);
        let at = broker.platform;
        let all: Vec<Rc<RefCell<Seen>>> = (0..3).map(|_| Rc::default()).collect();
        let runs = &world.executor;
        // One that is in the midst of a slow request, and one of half a request.
        *world.mood.borrow_mut() = vec![Mood::Slow(1500); 3];
        runs.spawn(ask_on(connect(at).await.unwrap(), "slow".into(), all[0].clone())).detach();
        until(|| !world.sent.borrow().is_empty()).await;
        *world.mood.borrow_mut() = vec![Mood::Serves; 3];
        let text = query("half", "yard-compare", 2400, &[0, 1], "x");
        let (mut half, mut stuck) = (connect(at).await.unwrap(), connect(at).await.unwrap());
        half.write(&text[..text.len() / 2], WITHIN).await.unwrap();
        stuck.write(&text[..text.len() / 2], WITHIN).await.unwrap();
        // Two that have asked and stand idle, and one that never asked.
        let (mut idle, mut kept) = (connect(at).await.unwrap(), connect(at).await.unwrap());
        for (n, stream) in [&mut idle, &mut kept].into_iter().enumerate() {
            stream
                .write(&query(&format!("before-{n}"), "yard-compare", 2400, &[0], "x"), WITHIN)
                .await
                .unwrap();
            assert!(answer(stream).await.unwrap().head.keep_alive);
        }
        let mut fresh = connect(at).await.unwrap();
        until(|| broker.counters.connections.get() >= 6).await;

        let (leaving, left) = (broker.clone(), Rc::new(std::cell::Cell::new(false)));
        let done = left.clone();
        let leave = async move {
            leaving.stop().await;
            done.set(true);
        };
        runs.spawn(leave).detach();
        while get(at, "/ready", "").await.status == 200 {}
        // Who has a connection asks on it; who has none comes anew, for as long as it is let in.
        runs.spawn(ask_on(kept, "kept".into(), all[1].clone())).detach();
        half.write(&text[text.len() / 2..], WITHIN).await.unwrap();
        assert_eq!(answer(&mut half).await.map(|got| (got.status, got.head.keep_alive)), Some((200, false)));
        for n in 0.. {
            let Some(stream) = connect(at).await else { break };
            ask_on(stream, format!("new-{n}"), all[2].clone()).await;
        }
        // Idle ones are closed with no answer, half a request is answered and not waited for.
        assert!(answer(&mut idle).await.is_none() && answer(&mut fresh).await.is_none());
        assert_eq!(answer(&mut stuck).await.map(|got| (got.status, got.head.keep_alive)), Some((408, false)));
        until(|| left.get() && all[0].borrow().ended && all[1].borrow().ended).await;
        let of = |n: usize| all[n].borrow().answers.clone();
        assert_eq!((of(0), of(1)), (vec![(200, false)], vec![(200, false)]), "the last answer says so");
        assert!(!of(2).is_empty() && of(2).iter().all(|answer| *answer == (200, false)), "{:?}", of(2));
        // What a close crossed had not been taken: every query taken was answered, and read.
        let answers = 2 + 1 + of(0).len() + of(1).len() + of(2).len();
        let counted = &broker.counters;
        assert_eq!((counted.queries.get(), counted.answered.get()), (answers as u64, answers as u64));
        assert_eq!(counted.unwritten.get(), 0);
    });
}
