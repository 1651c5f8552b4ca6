//! The store side of a broker without the rest: the test is the core, and plays the store byte by byte.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use gingerledge::clock::Clock;
use gingerledge::core::{AttemptId, AttemptRequest, CoreEvent, PartRequest, Query, QueryFormat, QueryId};
use gingerledge::exchange::PendingQuery;
use gingerledge::store::frame;
use gingerledge::store::link::Limits;
use gingerledge::store::StopReason;
use gingerledge_dispatch::{Outcome, ServerId};
use gingerledge_testkit::scripted::{listener, parts};

use super::Sides;

pub const GUARD: Duration = Duration::from_secs(30);
pub const LONG: f64 = 20_000.0;

/// A store that the test plays itself, and the sides of a broker before any task has run.
pub struct Rig {
    pub sides: Sides,
    pub store: Async<TcpListener>,
    pub at: SocketAddr,
    pub server: ServerId,
    pub ended: BTreeMap<u64, Outcome>,
}

/// The store's end of a connection.
pub struct Peer(pub Async<TcpStream>, pub Vec<u8>);

impl Peer {
    /// The next frame; nothing once the broker has closed.
    pub async fn frame(&mut self) -> Option<(u8, Vec<u8>)> {
        loop {
            if let Some((letter, rest, length)) = frame::split(&self.1).unwrap() {
                let rest = rest.to_vec();
                self.1.drain(..length);
                return Some((letter, rest));
            }
            let mut piece = [0; 4096];
            let read = (&self.0).read(&mut piece).await.ok().filter(|read| *read > 0)?;
            self.1.extend_from_slice(&piece[..read]);
        }
    }

    /// The ids of the parts in the next frame, which is a call.
    pub async fn call(&mut self) -> Vec<String> {
        let (letter, rest) = self.frame().await.unwrap();
        assert_eq!(letter, frame::CALL);
        parts(&rest).into_iter().map(|part| part.id).collect()
    }

    pub async fn answer(&self, id: &str) {
        let bytes = frame::frame(frame::ANSWER, format!("{id} good 1 -\nv").as_bytes());
        gingerledge::http::write_all(&self.0, &bytes, GUARD).await.unwrap();
    }
}

impl Rig {
    pub fn new(streams: usize, batch: usize, grace_ms: u64) -> Self {
        let second = Duration::from_secs(1);
        let limits = Limits { streams, batch, links: 64, dial_timeout: second, idle_timeout: second };
        Self::within(limits, grace_ms, false)
    }

    /// With these limits; the store may offer the feature form at the same address.
    pub fn within(limits: Limits, grace_ms: u64, features: bool) -> Self {
        let (store, at) = listener();
        let offers = features.then(|| ("s-0".to_owned(), at)).into_iter().collect();
        let sides = Sides::offering(100, limits, Duration::from_millis(grace_ms), offers);
        let server = sides.stores.upsert("s-0", at, true);
        Self { sides, store, at, server, ended: BTreeMap::new() }
    }

    pub fn order(&self, part: u64, timeout_ms: f64) -> AttemptRequest {
        AttemptRequest {
            attempt: AttemptId { part, number: 0 },
            server: self.server,
            query_id: 0,
            query: "q".into(),
            shard: part as u32,
            text: Rc::from(&b"c41e"[..]),
            format: QueryFormat::Opaque,
            timeout_ms,
            send_within_ms: None,
            key: None,
            first_step: None,
            fence: None,
        }
    }

    /// A query of one part that is taken, and its number.
    pub fn asked(&self) -> (PendingQuery, QueryId) {
        self.asked_as("q")
    }

    /// The same under another name.
    pub fn asked_as(&self, name: &str) -> (PendingQuery, QueryId) {
        let question = Query {
            name: name.into(),
            class: 0,
            tenant: None,
            deadline: Clock::new().now() + LONG,
            is_retry: false,
            key: None,
            parts: vec![PartRequest::default()],
            text: Rc::from(&b"c41e"[..]),
            format: QueryFormat::Opaque,
        };
        let before = self.sides.counters.queries.get();
        (self.sides.exchange.submit(question).unwrap(), before + 1)
    }

    /// A turn that sends these parts.
    pub fn turn(&self, parts: impl IntoIterator<Item = u64>) {
        parts.into_iter().for_each(|part| self.sides.stores.send(self.order(part, LONG)));
        self.sides.stores.turn_over();
    }

    pub fn stop(&self, part: u64) {
        self.sides.stores.stop(AttemptId { part, number: 0 }, StopReason::NoAnswer);
    }

    pub async fn accept(&self) -> Peer {
        Peer(self.store.accept().await.unwrap().0, Vec::new())
    }

    /// Waits until so many parts have ended.
    pub async fn ends(&mut self, count: usize) -> &BTreeMap<u64, Outcome> {
        while self.ended.len() < count {
            for event in self.sides.exchange.next_events(None).await {
                if let CoreEvent::AttemptEnded(attempt, ended) = event {
                    assert_eq!(self.ended.insert(attempt.part, ended.outcome), None, "ends once");
                }
            }
        }
        &self.ended
    }
}

/// Runs a test on the rig's executor; what it does before it first waits happens before any task of the broker runs.
pub fn play<F: Future<Output = ()>>(rig: Rig, test: impl FnOnce(Rig) -> F) {
    let executor = rig.sides.executor.clone();
    let guard = async {
        Timer::after(GUARD).await;
        panic!("the test hangs");
    };
    async_io::block_on(executor.run(futures_lite::future::or(test(rig), guard)));
}

/// Leaves no room in a listener's queue: whoever dials it hears nothing until it accepts, and then after a second or so. The
/// connections in the queue are given, to be kept.
pub fn shut(listener: &Async<TcpListener>) -> Vec<TcpStream> {
    rustix::net::listen(listener.get_ref(), 0).unwrap();
    let at = listener.get_ref().local_addr().unwrap();
    let within = Duration::from_millis(100);
    let dial = |_: &usize| TcpStream::connect_timeout(&at, within).ok();
    (0..10).map_while(|n| dial(&n)).collect()
}

/// Waits until a count has not risen for so long.
pub async fn at_rest(count: impl Fn() -> u64) -> u64 {
    let mut seen = None;
    while seen != Some(count()) {
        seen = Some(count());
        Timer::after(Duration::from_millis(150)).await;
    }
    count()
}
