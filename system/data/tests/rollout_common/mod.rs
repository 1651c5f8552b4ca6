//! An edge on loopback with the driver of batch jobs, stand-in stores that make texts, and a stand-in backend.
#![allow(dead_code)]

mod backend;
mod engine;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_data::{rollout, Shared};
use gingerledge_protocol::{ConfigurationDocument, LoadedModel, Settings, StoreState};
use gingerledge_relay::RelayEvent;
use gingerledge_transport::{Incoming, Network, NetworkSettings};
use gingerledge_wire::{
    Entry, Envelope, ItemRecord, JobRecord, Key, NodeRecord, PartitionRecord, Role, ScoringRecord,
    StoreRecord, Value, PARTITION_COUNT,
};

pub use crate::common::runtime::PATIENCE;
#[allow(unused_imports)]
pub use backend::{Backend, Says};
#[allow(unused_imports)]
pub use engine::{Asked, Does, Engine};

pub const HOST: &str = "example.test";
pub const MODEL: &str = "model";
/// Events of a whole text.
pub const EVENTS: u64 = 5;
const BACKEND_MEMBER: u64 = 77;

/// What the route of the batch jobs says.
#[derive(Clone, Copy)]
pub struct Route {
    pub single_version: bool,
    pub retention_s: f64,
    pub there: bool,
}

impl Default for Route {
    fn default() -> Self {
        Self { single_version: false, retention_s: 40.0, there: true }
    }
}

fn configuration(route: Route, version: u64) -> String {
    let path = if route.there { "/jobs/" } else { "/elsewhere/" };
    format!(
        r#"{{"version":{version},"routes":[
        {{"name":"jobs","host":"{HOST}","pathPrefix":"{path}","routeKind":"deployment","targetLatencyMs":500,"service":"engines",
          "targetCompletionMs":6000,"maxAttempts":3,"retentionS":{},"singleVersion":{}}},
        {{"name":"reward","host":"{HOST}","pathPrefix":"/reward/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,
          "service":"rewards","maxAttempts":2}}],
        "services":[{{"name":"engines","healthPath":"/healthz","connectionLimit":64}},
          {{"name":"rewards","healthPath":"/healthz","connectionLimit":64}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route.retention_s, route.single_version
    )
}

/// An edge that drives batch jobs, and its only backend.
pub struct World {
    pub shared: Rc<Shared>,
    pub backend: Backend,
    pub rewards: Engine,
    configurations: std::cell::Cell<u64>,
}

impl World {
    /// An edge that knows the configuration, a backend for all partitions, and a store that scores.
    pub async fn start(route: Route) -> World {
        Self::start_with(route, 3_000).await
    }

    /// With another `cancelMs`, of which a hold is nine tenths.
    pub async fn start_with(route: Route, cancel_ms: u64) -> World {
        Self::start_on(route, cancel_ms, 1.0).await
    }

    /// On an edge with this share of a core.
    pub async fn start_on(route: Route, cancel_ms: u64, cpu_share: f64) -> World {
        let settings = format!(
            r#"{{"nodeName":"edge-1","role":"edge","machineClass":"edge","ip":"127.0.0.1","zone":"home",
            "internalPorts":[7380,7395],"seeds":["127.0.0.1:8144"],"limits":{{"cpuShare":{cpu_share}}},
            "bounds":{{"cancelMs":{cancel_ms}}}}}"#
        );
        let settings = Settings::parse(settings.as_bytes()).expect("settings");
        let (network, mut inbox) = Network::bind(NetworkSettings::new(loopback())).await.expect("network");
        let shared = Rc::new(Shared::new(settings, network, 7));
        rollout::start(&shared);
        let inner = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            while let Some(incoming) = inbox.next().await {
                match incoming {
                    Incoming::Message { from, message: Envelope::Jobs(message) } => {
                        rollout::on_message(&inner, from, message);
                    }
                    Incoming::Message { .. } => {}
                    Incoming::Lost { peer, .. } => rollout::on_messages_lost(&inner, peer),
                }
            }
        });
        let backend = Backend::start().await;
        let rewards = Engine::start("rewards-1", 0, |_| Does::Answer("200 OK")).await;
        let world = World { shared, backend, rewards, configurations: std::cell::Cell::new(0) };
        world.learn_route(route);
        world.learn_store(&world.rewards, "rewards", 1, StoreState::Ready);
        world.learn_backend();
        world
    }

    /// The operator changes the route of the batch jobs.
    pub fn learn_route(&self, route: Route) {
        let version = self.configurations.get() + 1;
        self.configurations.set(version);
        let json = configuration(route, version);
        let value = Value::Configuration(ConfigurationDocument::from_text(Arc::new(json.into_bytes())));
        self.learn(Key::Configuration, version, value);
    }

    /// Another edge is there.
    pub fn learn_edge(&self, incarnation: u64, address: SocketAddr, zone: &str) {
        let node = NodeRecord {
            role: Role::Edge,
            name: format!("edge-{incarnation}"),
            incarnation,
            member: 0,
            address,
            zone: zone.to_owned(),
        };
        self.learn(Key::Node(incarnation), 1, Value::Node(node));
    }

    fn learn_backend(&self) {
        let node = NodeRecord {
            role: Role::Backend,
            name: "backend-1".to_owned(),
            incarnation: 5,
            member: BACKEND_MEMBER,
            address: self.backend.address(),
            zone: "home".to_owned(),
        };
        self.learn(Key::Node(5), 1, Value::Node(node));
        for partition in 0..PARTITION_COUNT {
            let record =
                PartitionRecord { epoch: 1, chain: vec![BACKEND_MEMBER], in_sync: vec![BACKEND_MEMBER] };
            self.learn(Key::Partition(partition), 1, Value::Partition(record));
        }
    }

    /// A store that makes texts is there.
    pub fn learn_engine(&self, engine: &Engine) {
        self.learn_store(engine, "engines", 1, StoreState::Ready);
    }

    pub fn learn_store(&self, engine: &Engine, service: &str, sequence: u64, state: StoreState) {
        let record = StoreRecord {
            service: service.to_owned(),
            address: engine.address,
            zone: "home".to_owned(),
            software: "v1".to_owned(),
            slots: 4,
            state,
            models: vec![LoadedModel { name: MODEL.to_owned(), version: engine.version() }],
        };
        self.learn(Key::Store(engine.id.clone()), sequence, Value::Store(record));
    }

    fn learn(&self, key: Key, version: u64, value: Value) {
        self.shared.handle_relay_event(RelayEvent::EntriesReceived(vec![Entry { key, version, value }]));
    }

    /// Nothing is out at any of these stores by the edge's own counts.
    pub fn nothing_out(&self, engines: &[&Engine]) -> bool {
        engines.iter().all(|engine| self.shared.in_flight_counts.count(&engine.id) == 0)
    }
}

/// A batch job of groups of equal size. Its items are `i0`, `i1`, ..., their reward calls `r0`, `r1`, ...
pub fn job(id: &str, groups: usize, size: usize) -> JobRecord {
    let items = (0..groups * size).map(|index| ItemRecord {
        id: format!("i{index}"),
        path: format!("/jobs/{index}?q=1"),
        headers: vec![("Model".to_owned(), MODEL.to_owned()), ("Connection".to_owned(), "close".to_owned())],
        body: format!("body {index}").into_bytes(),
        tokens: 100,
        group: format!("g{}", index / size),
        scoring: Some(ScoringRecord {
            id: format!("r{index}"),
            host: HOST.to_owned(),
            path: "/reward/x".to_owned(),
            body: b"score me".to_vec(),
        }),
    });
    JobRecord {
        id: id.to_owned(),
        host: HOST.to_owned(),
        path: "/jobs/x".to_owned(),
        step: 0,
        model: MODEL.to_owned(),
        min_version: 2,
        desired_groups: groups as u64,
        items: items.collect(),
    }
}

/// The whole text of an item: the data of all events.
pub fn whole_text(item: &str) -> String {
    let events: Vec<String> = (1..=EVENTS).map(|id| format!("{item}.{id}")).collect();
    events.join("\n")
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits for a condition that other tasks bring about.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = std::time::Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "{what}: not within {PATIENCE:?}");
        tokio::time::timeout(Duration::from_millis(1), std::future::pending::<()>()).await.ok();
    }
}
