//! Whose answer is whose: stores that answer late, twice, early, cut, without a length, for somebody else or not at all, against
//! clients with kept connections, pipelined calls and early leaves. Cases are drawn; `EDGE_CASES` sets how many times sixty-four.
//!
//! For every request: its client gets its own store's answer, whole, or one that says that there is none; a request that may run once
//! is run once at most; what is promised never to have run has not.

mod common;
mod edge_common;

use std::cell::RefCell;
use std::rc::Rc;

use edge_common::unruly::{body_of, signature, Behaviour, RunLedger, UnrulyStore};
use edge_common::{configuration, local, request, until, Edge};
use futures_util::future::join_all;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CASES: u32 = 24;
/// Cases that are played at the same time, so that the waits of one are not waited for by the others.
const AT_ONCE: usize = 64;
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const STORES: [&str; 2] = ["one", "two"];

/// The kinds of routes that a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Idempotent,
    Once,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Idempotent => "/idem/x",
            Self::Once => "/once/x",
        }
    }
}

/// How a client makes its requests.
#[derive(Clone, Debug)]
struct ClientPlan {
    kinds: Vec<Kind>,
    /// All requests are written at once.
    pipelines: bool,
    /// It leaves without reading anything.
    leaves: bool,
    body_bytes: usize,
}

#[derive(Clone, Debug)]
struct Case {
    behaviours: [Vec<Behaviour>; 2],
    clients: Vec<ClientPlan>,
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    let status = prop_oneof![Just(400u16), Just(408), Just(429), Just(500), Just(503), Just(504)];
    let refusal = prop_oneof![Just(503u16), Just(429), Just(421)];
    prop_oneof![
        2 => Just(Behaviour::Answer),
        1 => Just(Behaviour::AnswerTwice),
        1 => Just(Behaviour::AnswerLate),
        3 => Just(Behaviour::AnswerAgainLate),
        1 => Just(Behaviour::AnswerEarly),
        3 => (0u8..=100, any::<bool>()).prop_map(|(percent, reset)| Behaviour::AnswerCut { percent, reset }),
        2 => (proptest::option::of(0u8..100), any::<bool>())
            .prop_map(|(cut_percent, reset)| Behaviour::AnswerUnframed { cut_percent, reset }),
        1 => Just(Behaviour::AnswerOther),
        2 => status.prop_map(|status| Behaviour::OwnFailure { status }),
        1 => refusal.prop_map(|status| Behaviour::Refuse { status }),
        1 => Just(Behaviour::Garbage),
        1 => any::<bool>().prop_map(|runs| Behaviour::Silent { runs }),
        2 => any::<bool>().prop_map(|runs| Behaviour::Reset { runs }),
        1 => Just(Behaviour::ResetBeforeBody),
    ]
}

fn client() -> impl Strategy<Value = ClientPlan> {
    let kind = prop_oneof![Just(Kind::Idempotent), Just(Kind::Once)];
    let body_bytes = prop_oneof![Just(1usize), Just(400), Just(70_000)];
    (prop::collection::vec(kind, 1..4), any::<bool>(), prop::bool::weighted(0.15), body_bytes).prop_map(
        |(kinds, pipelines, leaves, body_bytes)| ClientPlan { kinds, pipelines, leaves, body_bytes },
    )
}

fn case() -> impl Strategy<Value = Case> {
    let behaviours = || prop::collection::vec(behaviour(), 0..6);
    (behaviours(), behaviours(), prop::collection::vec(client(), 1..4))
        .prop_map(|(one, two, clients)| Case { behaviours: [one, two], clients })
}

/// What a client got for one request.
#[derive(Debug)]
struct Got {
    status: u16,
    signature: Option<String>,
    body: String,
    complete: bool,
}

/// Bytes of a client's connection that are read and not taken yet.
struct Reader {
    stream: TcpStream,
    unread: String,
}

impl Reader {
    async fn more(&mut self) -> bool {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                self.unread.push_str(&String::from_utf8_lossy(&buffer[..count]));
                true
            }
            _ => false,
        }
    }

    /// The next answer; none if the connection ended before its head was there.
    async fn next(&mut self) -> Option<Got> {
        while !self.unread.contains("\r\n\r\n") {
            if !self.more().await {
                return None;
            }
        }
        let (head, rest) =
            self.unread.split_once("\r\n\r\n").map(|(head, rest)| (head.to_owned(), rest.to_owned()))?;
        self.unread = rest;
        let status =
            head.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("an answer in HTTP");
        let field = |name: &str| {
            let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(&format!("{name}:")));
            line.and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_owned())
        };
        let signature = field("server-signature");
        let (body, complete) = match field("content-length") {
            Some(length) => self.sized(length.parse().expect("a length")).await,
            None if field("transfer-encoding").is_some() => self.chunked().await,
            None => (String::new(), true),
        };
        Some(Got { status, signature, body, complete })
    }

    async fn sized(&mut self, length: usize) -> (String, bool) {
        while self.unread.len() < length {
            if !self.more().await {
                return (std::mem::take(&mut self.unread), false);
            }
        }
        let rest = self.unread.split_off(length);
        (std::mem::replace(&mut self.unread, rest), true)
    }

    async fn chunked(&mut self) -> (String, bool) {
        let mut body = String::new();
        loop {
            let Some((length, rest)) =
                self.unread.split_once("\r\n").map(|(length, rest)| (length.to_owned(), rest.to_owned()))
            else {
                if !self.more().await {
                    return (body, false);
                }
                continue;
            };
            let length = usize::from_str_radix(&length, 16).expect("a chunk's length");
            self.unread = rest;
            let (chunk, whole) = self.sized(length + 2).await;
            body.push_str(chunk.trim_end_matches("\r\n"));
            if length == 0 || !whole {
                return (body, whole);
            }
        }
    }
}

async fn play_client(edge: &Edge, plan: &ClientPlan, number: usize) -> Vec<(String, Kind, Option<Got>)> {
    let stream = TcpStream::connect(edge.address).await.expect("connection");
    let mut reader = Reader { stream, unread: String::new() };
    let ids: Vec<String> = (0..plan.kinds.len()).map(|at| format!("c{number}r{at}")).collect();
    let text = |at: usize| {
        let body = "b".repeat(plan.body_bytes);
        request("POST", plan.kinds[at].path(), &ids[at], "", &body)
            .replace("Deadline-Ms: 5000", "Deadline-Ms: 250")
    };
    let mut got = Vec::new();
    if plan.pipelines {
        let all: String = (0..ids.len()).map(text).collect();
        let _ = reader.stream.write_all(all.as_bytes()).await;
    }
    for (at, id) in ids.iter().enumerate() {
        if !plan.pipelines {
            let _ = reader.stream.write_all(text(at).as_bytes()).await;
        }
        let answer = match plan.leaves {
            true => None,
            false => reader.next().await,
        };
        let ended = answer.as_ref().is_none_or(|answer| !answer.complete);
        got.push((id.clone(), plan.kinds[at], answer));
        if ended {
            break;
        }
    }
    assert!(reader.unread.is_empty() || plan.leaves || got.len() < ids.len(), "bytes that nobody asked for");
    got
}

fn check(ledger: &RunLedger, id: &str, kind: Kind, got: Option<&Got>) {
    let runs = ledger.runs.get(id).map_or(0, Vec::len);
    if kind == Kind::Once {
        assert!(runs <= 1, "{id} ran {runs} times");
    }
    let Some(got) = got else { return };
    if kind == Kind::Once && PROMISES.contains(&got.status) {
        assert_eq!(runs, 0, "{id} ran, and was answered {}", got.status);
    }
    if (200..300).contains(&got.status) {
        assert!(got.signature.is_some(), "{id}: a success that no store signed");
    }
    let Some(signed) = &got.signature else { return };
    let store = STORES.iter().find(|store| signature(store, id) == *signed);
    let store = store.unwrap_or_else(|| panic!("{id} got an answer signed {signed}"));
    let said = ledger.said.get(&(id.to_owned(), signed.clone()));
    assert_eq!(said, Some(&got.status), "{id}: the store said something else");
    if got.complete {
        assert_eq!(got.body, body_of(store, id), "{id}: not the store's whole body");
    }
}

async fn play(case: &Case) {
    let ledger: Rc<RefCell<RunLedger>> = Rc::default();
    let edge = Edge::start().await;
    edge.learn_configuration(1, &configuration(1));
    for (name, behaviours) in STORES.iter().zip(&case.behaviours) {
        let store = UnrulyStore::start(name, behaviours.clone(), &ledger).await;
        edge.learn_store_at(&store.id, store.address);
    }
    edge.tick();
    let clients = case.clients.iter().enumerate();
    let all = join_all(clients.map(|(number, plan)| play_client(&edge, plan, number))).await;
    // What stores still do for requests whose clients have left must be in the ledger as well.
    let in_flight = || {
        edge.shared.stores_for_service("s").iter().map(|store| store.in_flight_requests.get()).sum::<usize>()
    };
    until("nothing is out any more", || in_flight() == 0).await;
    let unasked = ledger.borrow().unasked.clone();
    assert!(unasked.is_empty(), "stores read what no client sent: {unasked:?}");
    for (id, kind, got) in all.into_iter().flatten() {
        check(&ledger.borrow(), &id, kind, got.as_ref());
    }
}

#[test]
fn every_caller_gets_its_own_answer_or_none() {
    let cases = std::env::var("EDGE_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let strategy = prop::collection::vec(case(), AT_ONCE);
    let result = runner.run(&strategy, |cases| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
        runtime.block_on(local(join_all(cases.iter().map(play))));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
