//! The strict stores see each breach in frames made by hand, and nothing else; and what they do with sound ones.

#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncReadExt;
use gingerledge::http::write_all;
use gingerledge::store::frame::{self, CALL, LOAD_PROBE, PROBE, WITHDRAW};
use gingerledge_testkit::fleet::ledger::{Deed, Line};
use gingerledge_testkit::fleet::pause;
use gingerledge_testkit::site::Repeat;
use gingerledge_testkit::witness::{score, value};
use gingerledge_testkit::world::at;

const LAKES: &str = include_str!("../../../deploy/samples/lakes.toml");
const ARCHIVE: &str = include_str!("../../../deploy/samples/archive.toml");
const WITHIN: Duration = Duration::from_secs(20);

/// Sends a part's frames by hand.
struct Hand(Async<TcpStream>, Vec<u8>);

impl Hand {
    async fn to(at: SocketAddr) -> Self {
        Self(Async::<TcpStream>::connect(at).await.unwrap(), Vec::new())
    }

    async fn send(&self, letter: u8, rest: &str) {
        write_all(&self.0, &frame::frame(letter, rest.as_bytes()), WITHIN).await.unwrap();
    }

    /// The next answer's letter and text; nothing where the connection ends.
    async fn next(&mut self) -> Option<(u8, String)> {
        loop {
            if let Some((letter, rest, length)) = frame::split(&self.1).unwrap() {
                let text = String::from_utf8(rest.to_vec()).unwrap();
                self.1.drain(..length);
                return Some((letter, text));
            }
            let mut piece = [0; 4096];
            let n = (&self.0).read(&mut piece).await.ok().filter(|n| *n > 0)?;
            self.1.extend_from_slice(&piece[..n]);
        }
    }
}

/// A part as a line of a call.
fn part(id: &str, shard: u32, list: &str, text: &str) -> String {
    format!("{id}.{shard} {shard} {list} {}\n{text}", text.len())
}

/// What is done by hand.
enum Act {
    /// So many milliseconds pass.
    Pause(u64),
    /// A frame to a store on a connection of its own, and whether its answer is waited for.
    Call(usize, String, bool),
    /// The part of the last call is given up.
    GiveUp(&'static str),
}
use Act::{Call, GiveUp, Pause};

/// What the stores see of it. The clients have asked `s` of shards 0 to 5 in the class that is safe, `n` of shard 0 in the one
/// that is not.
fn seen(text: &str, acts: Vec<Act>) -> Vec<String> {
    let mut breaches = Vec::new();
    at(text, |_, site| {
        let breaches = &mut breaches;
        async move {
            let class = |safe: bool| {
                let mut classes = site.witness.site.class.iter();
                classes
                    .position(|class| (class.repeat == Repeat::Safe && class.follow_up == 0) == safe)
                    .unwrap()
            };
            site.witness.ask("s", class(true), 0, None, false);
            let last = site.witness.site.class.len() - 1;
            site.witness.ask("n", last, 0, Some("key"), false);
            let mut open: Vec<Hand> = Vec::new();
            for act in acts {
                match act {
                    Pause(ms) => drop(pause(ms).await),
                    Call(store, rest, answered) => {
                        let mut hand = Hand::to(site.stores[store].address).await;
                        hand.send(CALL, &rest).await;
                        if answered {
                            hand.next().await;
                        }
                        open.push(hand);
                    }
                    GiveUp(id) => open.last().unwrap().send(WITHDRAW, id).await,
                }
            }
            // What waits to be judged has been after this.
            pause(150).await;
            *breaches = site.witness.ledger.seen();
        }
    });
    breaches
}

#[test]
fn strict_stores_see_each_breach_and_nothing_else() {
    let s = |shard, list: &str| part("s", shard, list, "select s");
    let n = |list: &str| part("n", 0, list, "select n");
    let keyed = || n("d=900,k=key");
    let brief = ARCHIVE.replace("memory_ms = 3000.0", "memory_ms = 60.0");
    let slow = ARCHIVE.replace("call_cost_ms = 6.0", "call_cost_ms = 400.0");
    let asked = "no client asked for it in this form";
    let cases: Vec<(&str, &str, Vec<Act>, &str)> = vec![
        ("sound", ARCHIVE, vec![Call(0, s(0, "d=900") + &s(3, "d=900"), true), Call(3, keyed(), true)], ""),
        ("unknown query", ARCHIVE, vec![Call(0, part("x", 0, "d=9", "select s"), true)], asked),
        ("other text", ARCHIVE, vec![Call(0, part("s", 0, "d=9", "select"), true)], asked),
        ("other shard", ARCHIVE, vec![Call(0, s(6, "d=900"), true)], asked),
        ("id of another", ARCHIVE, vec![Call(0, s(0, "d=900").replacen("s.0", "s.3", 1), true)], asked),
        ("no patience", ARCHIVE, vec![Call(0, s(0, "e=1"), true)], "its list is not as the protocol"),
        ("no key", ARCHIVE, vec![Call(0, n("d=900"), true)], "its key is None"),
        ("wrong key", ARCHIVE, vec![Call(0, n("d=900,k=yek"), true)], "its key is Some(\"yek\")"),
        ("key elsewhere", ARCHIVE, vec![Call(0, s(0, "d=900,k=s"), true)], "its key is Some(\"s\")"),
        ("another's shard", ARCHIVE, vec![Call(1, s(0, "d=900"), true)], "does not hold its shard"),
        ("repeat in time", ARCHIVE, vec![Call(0, keyed(), true), Call(3, keyed(), true)], ""),
        (
            "repeat too late",
            &brief,
            vec![Call(0, keyed(), true), Pause(130), Call(3, keyed(), true)],
            "window",
        ),
        ("second copy", &slow, vec![Call(0, keyed(), false), Call(3, keyed(), true)], "a second copy"),
        ("given up first", ARCHIVE, vec![Call(0, keyed(), false), GiveUp("n.0"), Call(3, keyed(), true)], ""),
        (
            "attempts",
            ARCHIVE,
            (0..5).map(|m| Call(m % 2 * 3, s(0, "d=900"), true)).collect(),
            "attempt 5, more than allowed",
        ),
        ("run once", LAKES, vec![Call(0, n("d=900"), true)], ""),
        ("run twice", LAKES, vec![Call(0, n("d=900"), true), Call(1, n("d=900"), true)], "sent again though"),
        ("not a call", ARCHIVE, vec![Call(0, "s.0 0 d=900 99\nshort".to_owned(), true)], "can't be read"),
    ];
    for (case, site, acts, said) in cases {
        let breaches = seen(site, acts);
        match said {
            "" => assert_eq!(breaches, Vec::<String>::new(), "{case}"),
            _ => assert!(breaches.len() == 1 && breaches[0].contains(said), "{case}: {breaches:?}"),
        }
    }
}

#[test]
fn parts_share_a_call_up_to_the_batch_and_a_repeat_within_memory_runs_once() {
    at(&ARCHIVE.replace("batch = 8", "batch = 2"), |_, site| async move {
        let (witness, ledger) = (&site.witness, &site.witness.ledger);
        let parts: String = (0..3)
            .map(|n| {
                witness.ask(&format!("n{n}"), 1, 0, None, false);
                part(&format!("n{n}"), 0, &format!("d=900,k=n{n}"), &format!("select n{n}"))
            })
            .collect();
        let mut hand = Hand::to(site.stores[0].address).await;
        hand.send(CALL, &parts).await;
        let mut answers = Vec::new();
        for _ in 0..3 {
            let (_, text) = hand.next().await.unwrap();
            let [id, end, _, report] = text.lines().next().unwrap().split(' ').collect::<Vec<_>>()[..] else {
                panic!("{text}")
            };
            assert_eq!(end, "good");
            assert!(report.starts_with("latency_ms=") && report.contains(",queue="), "{report}");
            answers.push((id.to_owned(), text.lines().nth(1).unwrap().to_owned()));
        }
        let shared = ledger.pick(Duration::ZERO, |line| match line.deed {
            Deed::Shared(0, parts) => Some(parts),
            _ => None,
        });
        assert_eq!(shared, [2, 1], "a part beyond the batch is a call of its own");
        // The other member of the set knows what this one ran.
        let mut other = Hand::to(site.stores[3].address).await;
        other.send(CALL, &part("n1", 0, "d=900,k=n1", "select n1")).await;
        let (_, again) = other.next().await.unwrap();
        let first = answers.iter().find(|(id, _)| id == "n1.0").unwrap();
        assert_eq!(again.lines().nth(1), Some(first.1.as_str()), "the first answer again");
        let ran = |line: &Line| matches!(&line.deed, Deed::Ran(_, id) if id == "n1.0");
        assert_eq!(ledger.count(Duration::ZERO, ran), 1);
        other.send(PROBE, "").await;
        assert_eq!(other.next().await, Some((PROBE, "good".to_owned())));
        other.send(LOAD_PROBE, "").await;
        assert_eq!(other.next().await, Some((LOAD_PROBE, "-".to_owned())), "reports come in answers here");
        assert_eq!(ledger.seen(), Vec::<String>::new());
    });
}

#[test]
fn a_second_step_goes_to_the_highest_scores_and_names_what_was_in() {
    at(LAKES, |_, site| async move {
        let (witness, ledger) = (&site.witness, &site.witness.ledger);
        witness.ask("r", 0, 0, None, false);
        let mut hands = Vec::new();
        for store in 0..4 {
            let mut hand = Hand::to(site.stores[store].address).await;
            hand.send(CALL, &part("r", store as u32, "d=900", "select r")).await;
            hand.next().await.unwrap();
            hands.push(hand);
        }
        let mut order: Vec<u32> = (0..4).collect();
        order.sort_by_key(|shard| std::cmp::Reverse(score(*shard)));
        let mut second = async |shard: u32, list: &str| {
            let line = part("r", shard, list, "select r").replacen(
                &format!("r.{shard} "),
                &format!("r.{shard}.r "),
                1,
            );
            let hand = &mut hands[shard as usize];
            hand.send(CALL, &line).await;
            hand.next().await.unwrap().1
        };
        let text = second(order[1], "d=900,from=0+1+2+3,whole=1").await;
        assert!(text.ends_with(&value("select r", order[1], true)), "{text}");
        assert!(
            second(order[2], "d=900,from=0+1+2+3,whole=1").await.contains(" bad "),
            "not of the two highest"
        );
        assert_eq!(ledger.seen(), Vec::<String>::new());
        second(order[0], "d=900,from=0+1+2,whole=1").await;
        second(order[0], "d=900,from=0+1+2+4,whole=0").await;
        let breaches = ledger.seen();
        assert!(breaches.len() == 2 && breaches[0].contains("share 0.75"), "{breaches:?}");
        assert!(breaches[1].contains("are named as in, and some are not"), "{breaches:?}");
    });
}
