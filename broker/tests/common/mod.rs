//! Shared by the tests: random cuts and garbage, and the sides of a broker without any socket.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod cuts;
pub mod program;
pub mod rig;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use gingerledge::clock::Clock;
use gingerledge::counters::Counters;
use gingerledge::discovery::watching::CallTimeouts;
use gingerledge::discovery::{self, Discovery};
use gingerledge::exchange::Exchange;
use gingerledge::handover::Presence;
use gingerledge::rotation::Rotation;
use gingerledge::store::link::Limits;
use gingerledge::store::Stores;
use serde_json::{json, Value};

/// A process that knows of no other.
pub fn alone() -> Rc<Presence> {
    Presence::register(None, ([127, 0, 0, 1], 0).into())
}

/// Exchange, store side and discovery without any socket.
pub struct Sides {
    pub exchange: Rc<Exchange>,
    pub stores: Rc<Stores>,
    pub discovery: Rc<Discovery>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub counters: Rc<Counters>,
}

impl Sides {
    /// With room for so many queries and parts.
    pub fn new(open_most: usize) -> Self {
        let second = Duration::from_secs(1);
        let limits = Limits { streams: 32, batch: 1, links: 64, dial_timeout: second, idle_timeout: second };
        Self::within(open_most, limits, second)
    }

    /// The same with other limits of links, and another grace after a drain.
    pub fn within(open_most: usize, limits: Limits, grace: Duration) -> Self {
        Self::offering(open_most, limits, grace, HashMap::new())
    }

    /// The same with stores that offer the feature form.
    pub fn offering(
        open_most: usize,
        limits: Limits,
        grace: Duration,
        offers: HashMap<String, SocketAddr>,
    ) -> Self {
        let counters = Rc::new(Counters::default());
        let exchange = Exchange::new(Clock::new(), counters.clone(), open_most, alone(), None);
        let executor = Rc::new(LocalExecutor::new());
        let (known, noted) = (exchange.clone(), counters.clone());
        let stores = Stores::new(executor.clone(), known, noted, limits, alone(), grace, offers);
        let at = ([127, 0, 0, 1], 9).into();
        let rotation = Rc::new(Rotation::open(None, at, 0.0));
        let (told, noted) = (exchange.clone(), stores.clone());
        let waits = CallTimeouts::from_settings(&gingerledge_dispatch::Settings::default());
        let counted = counters.clone();
        let discovery = Discovery::new(at, Default::default(), told, noted, rotation, counted, waits);
        Self { exchange, stores, discovery, executor, counters }
    }

    /// Has discovery tell of stores: cell, number and state of each.
    pub fn list(&self, reset: bool, entries: &[(usize, usize, &str)], started_ms: f64) {
        let entry = |(cell, name, state): &(usize, usize, &str)| {
            json!({ "instanceId": format!("s-{name}"), "hostPort": "127.0.0.1:9", "cell": cell,
                "lifecycle": state, "startedAtMs": started_ms })
        };
        let all: Vec<Value> = entries.iter().map(entry).collect();
        let text = json!({ "generation": 1, "reset": reset, "instances": all }).to_string();
        self.discovery.apply(&discovery::parse(text.as_bytes()).unwrap(), false);
    }
}
