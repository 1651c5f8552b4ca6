//! An edge on loopback with stand-in stores that follow a script, a client that sees raw bytes, and a transcript of all of it.
#![allow(dead_code, unused_imports)]

mod client;
pub mod control;
mod store;
pub mod unruly;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_data::front::{self, Front, FrontLimits};
use gingerledge_data::Shared;
use gingerledge_protocol::{ConfigurationDocument, Settings, StoreState};
use gingerledge_relay::RelayEvent;
use gingerledge_transport::{Network, NetworkSettings};
use gingerledge_wire::{Entry, FreshnessTick, Key, StoreRecord, Value};
use tokio::net::TcpListener;

pub use crate::common::runtime::{local, PATIENCE};
pub use client::{request, Client};
pub use store::{answer, event, events, full, ok, own_error, Store, Turn};

/// The zone of the edge.
pub const ZONE: &str = "home";

/// A configuration with one route of each kind, and its version.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            r#"{{"name":"{name}","host":"example.test","pathPrefix":"/{name}/","routeKind":"{kind}","timeoutMs":8000,
            "targetLatencyMs":400,"service":"s","maxAttempts":3{more}}}"#
        )
    };
    let routes = [
        route("idem", "idempotent", ""),
        route("once", "non_idempotent", ""),
        route("stream", "streaming", ""),
        route("resume", "streaming", r#","resumable":true"#),
        route("jobs", "deployment", ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s","healthPath":"/healthz","connectionLimit":8}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// An edge whose front listens.
pub struct Edge {
    pub shared: Rc<Shared>,
    pub front: Rc<Front>,
    pub address: SocketAddr,
}

impl Edge {
    /// An edge that knows nothing yet.
    pub async fn start() -> Edge {
        Self::start_with(FrontLimits {
            connections: 64,
            store_connections: 64,
            requests: 64,
            body_bytes: 4_000_000,
        })
        .await
    }

    pub async fn start_with(bounds: FrontLimits) -> Edge {
        let settings = Settings::parse(SETTINGS.as_bytes()).expect("settings");
        let listen = NetworkSettings::new("127.0.0.1:0".parse().expect("address"));
        let (network, _inbox) = Network::bind(listen).await.expect("network");
        let shared = Rc::new(Shared::new(settings, network, 7));
        let front = Front::new(bounds);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        tokio::task::spawn_local(front::serve(Rc::clone(&shared), Rc::clone(&front), listener));
        Edge { shared, front, address }
    }

    /// An edge that is in touch and knows the configuration and these stores.
    pub async fn with(stores: &[&Store]) -> Edge {
        let edge = Self::start().await;
        edge.learn_configuration(1, &configuration(1));
        for store in stores {
            edge.learn_store(store, 1, StoreState::Ready);
        }
        edge.tick();
        edge
    }

    /// The control chain confirms that this is all.
    pub fn tick(&self) {
        self.shared.handle_relay_event(RelayEvent::Tick(FreshnessTick { epoch: 1, number: 1 }));
    }

    pub fn learn_configuration(&self, sequence: u64, json: &str) {
        self.shared.merge_entries([configuration_entry(sequence, json)]);
    }

    /// A ready store of the usual service, wherever it is.
    pub fn learn_store_at(&self, id: &str, address: SocketAddr) {
        let record = store_record(address, ZONE, StoreState::Ready);
        self.shared.merge_entries([Entry {
            key: Key::Store(id.to_owned()),
            version: 1,
            value: Value::Store(record),
        }]);
    }

    pub fn learn_store(&self, store: &Store, sequence: u64, state: StoreState) {
        self.shared.merge_entries([store_entry(store, sequence, state)]);
    }
}

/// A near store, which is asked first, and one that is asked only after it.
pub async fn two(first: Vec<Turn>, second: Vec<Turn>) -> (Edge, Store, Store) {
    let near = Store::start("near", None, first).await;
    let far = Store::start_in("far", "away", None, second).await;
    let edge = Edge::with(&[&near, &far]).await;
    (edge, near, far)
}

/// What the registry says of a configuration.
pub fn configuration_entry(sequence: u64, json: &str) -> Entry {
    let value = Value::Configuration(ConfigurationDocument::from_text(Arc::new(json.as_bytes().to_vec())));
    Entry { key: Key::Configuration, version: sequence, value }
}

/// What the registry says of a store.
pub fn store_entry(store: &Store, sequence: u64, state: StoreState) -> Entry {
    let record = store_record(store.address, &store.zone, state);
    Entry { key: Key::Store(store.id.clone()), version: sequence, value: Value::Store(record) }
}

fn store_record(address: SocketAddr, zone: &str, state: StoreState) -> StoreRecord {
    StoreRecord {
        service: "s".to_owned(),
        address,
        zone: zone.to_owned(),
        software: "v1".to_owned(),
        slots: 4,
        state,
        models: Vec::new(),
    }
}

/// Waits for a condition that other tasks bring about.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        tokio::task::yield_now().await;
    }
}

const SETTINGS: &str = r#"{"nodeName":"edge-1","role":"edge","machineClass":"edge","ip":"127.0.0.1","zone":"home",
    "internalPorts":[7380,7395],"seeds":["127.0.0.1:8144"]}"#;

/// An empty transcript of these tests.
pub fn transcript() -> gingerledge_system_testkit::Transcript {
    gingerledge_system_testkit::Transcript::new(env!("CARGO_MANIFEST_DIR"), "deadline-ms", "(what is left)")
}
