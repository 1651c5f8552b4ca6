//! The JSON of every document, and the form of configurations that protocol buffers give: equal to what was recorded once, key by key.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use gingerledge_golden::{compare, read, Sample};
use gingerledge_protocol::{
    read_configuration, read_update, AppliedUpdate, Configuration, ConfigurationDocument,
    ConfigurationUpdate, Engine, Heartbeat, HeartbeatReply, Item, ItemState, Limits, ListedResult,
    LoadedModel, Model, Order, RemovedNames, Report, ResultPage, Route, ScoringEndpoint, Service, Settings,
    Split, StoreState, SubmittedJob, UpsertedItems,
};
use prost::Message;
use serde::de::DeserializeOwned;
use serde::Serialize;

struct Golden {
    path: PathBuf,
    recorded: BTreeMap<String, Vec<u8>>,
    samples: Vec<Sample>,
}

impl Golden {
    fn new(file: &str) -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
        let recorded = if path.exists() { read(&path) } else { BTreeMap::new() };
        Self { path, recorded, samples: Vec::new() }
    }

    /// Adds the JSON of a value; what is recorded under its name must read as the same value and be written again.
    fn json<T: Serialize + DeserializeOwned + PartialEq>(&mut self, name: &str, value: &T) {
        let name = format!("json of {name}");
        self.samples.push(Sample::new(&name, serde_json::to_vec(value).expect("encodes")));
        if let Some(bytes) = self.recorded.get(&name) {
            let decoded: T = serde_json::from_slice(bytes).expect("readable");
            assert!(decoded == *value, "{name}");
            assert_eq!(&serde_json::to_vec(&decoded).expect("encodes"), bytes, "{name}");
        }
    }

    /// The same with protocol buffers.
    fn buffers<T: Message + Default + PartialEq>(&mut self, name: &str, value: &T) {
        let name = format!("buffers of {name}");
        self.samples.push(Sample::new(&name, value.encode_to_vec()));
        if let Some(bytes) = self.recorded.get(&name) {
            let decoded = T::decode(bytes.as_slice()).expect("readable");
            assert!(decoded == *value, "{name}");
            assert_eq!(&decoded.encode_to_vec(), bytes, "{name}");
        }
    }

    /// A document without any key, where all keys may be left out: what it is taken for.
    fn without_keys<T: Serialize + DeserializeOwned + PartialEq>(&mut self, name: &str) {
        let value: T = serde_json::from_str("{}").expect("all keys may be left out");
        self.json(&format!("{name} without keys"), &value);
    }

    fn check(&self) {
        compare(&self.path, &self.samples);
    }
}

fn text(text: &str) -> String {
    text.to_owned()
}

fn route() -> Route {
    Route {
        name: text("route-1"),
        host: text("host-1"),
        path_prefix: text("/prefix"),
        route_kind: text("streaming"),
        timeout_ms: Some(1.5),
        target_latency_ms: 2.5,
        priority: 3,
        service: text("service-1"),
        traffic_split: vec![Split { service: text("service-1"), weight: 4.5 }],
        max_attempts: 5,
        sticky: true,
        resumable: true,
        target_completion_ms: 6.5,
        retention_s: 7.5,
        single_version: true,
    }
}

fn service() -> Service {
    let models = vec![Model { name: text("model-a") }];
    Service {
        name: text("service-1"),
        health_path: text("/health"),
        connection_limit: 8,
        engine: Some(Engine { slots: 9, kv_cache_tokens: 10, stride: 11, models }),
    }
}

fn configuration() -> Configuration {
    let limits =
        Limits { max_header_bytes: 12, max_body_bytes: 13, header_timeout_ms: 14.5, idle_timeout_ms: 15.5 };
    Configuration { version: 16, routes: vec![route()], services: vec![service()], limits: Some(limits) }
}

fn update() -> ConfigurationUpdate {
    ConfigurationUpdate {
        version: 17,
        upsert: UpsertedItems { routes: vec![route()], services: vec![service()] },
        remove: RemovedNames { routes: vec![text("route-2")], services: vec![text("service-2")] },
    }
}

fn scoring() -> ScoringEndpoint {
    ScoringEndpoint { id: text("score-1"), host: text("rewards"), path: text("/score"), body: text("AQI=") }
}

fn item() -> Item {
    Item {
        id: text("item-1"),
        path: text("/generate"),
        headers: BTreeMap::from([(text("a"), text("b"))]),
        body: text("AwQ="),
        tokens: 18,
        group: text("group-1"),
        scoring_endpoint: Some(scoring()),
    }
}

fn listed(state: ItemState) -> ListedResult {
    ListedResult {
        id: text("item-1"),
        state,
        text: text("one\ntwo"),
        versions: vec![19, 20],
        score: text("0.5"),
    }
}

fn models() -> Vec<LoadedModel> {
    vec![LoadedModel { name: text("model-a"), version: 21 }]
}

fn heartbeat(state: StoreState) -> Heartbeat {
    Heartbeat {
        service: text("service-1"),
        address: text("10.1.2.3:8080"),
        zone: text("zone-a"),
        version: text("4.1"),
        slots: 22,
        state,
        cold_remaining_ms: 23.5,
        models: models(),
        sequence: 24,
    }
}

fn order(if_revision: Option<u64>) -> Order {
    Order {
        operation: text("version"),
        model: text("model-a"),
        version: 25,
        method: text("truncate"),
        holder: text("control-1"),
        fencing_token: 26,
        if_revision,
    }
}

#[test]
fn configurations_and_updates_have_the_recorded_form() {
    let mut golden = Golden::new("configurations.txt");
    golden.json("configuration", &configuration());
    golden.buffers("configuration", &configuration());
    golden.without_keys::<Configuration>("configuration");
    golden.without_keys::<Route>("route");
    golden.without_keys::<Split>("split");
    golden.without_keys::<Service>("service");
    golden.without_keys::<Engine>("engine");
    golden.without_keys::<Model>("model");
    golden.without_keys::<Limits>("limits");
    golden.json("update", &update());
    golden.buffers("update", &update());
    golden.without_keys::<ConfigurationUpdate>("update");
    golden.check();
}

#[test]
fn recorded_configurations_and_updates_are_accepted_and_applied() {
    let recorded = read(&Golden::new("configurations.txt").path);
    let whole = &recorded["json of configuration"];
    assert!(read_configuration(whole).expect("valid") == configuration());
    assert!(read_update(&recorded["json of update"]).expect("valid") == update());
    let mut document = ConfigurationDocument::from_text(Arc::new(whole.clone()));
    let json = Arc::new(
        br#"{"version":18,"upsert":{"services":[{"name":"service-3"}]},"remove":{"routes":["route-1"]}}"#
            .to_vec(),
    );
    document.apply(AppliedUpdate { base: 1, sequence: 2, json }).expect("applies");
    let mut golden = Golden::new("updated.txt");
    golden.samples.push(Sample::new("json of the updated document", document.to_json().to_vec()));
    golden.check();
}

#[test]
fn batch_jobs_and_pages_have_the_recorded_form() {
    let mut golden = Golden::new("jobs.txt");
    let bare_item = Item { scoring_endpoint: None, ..item() };
    let items = vec![item(), bare_item];
    let job = SubmittedJob { step: 27, model: text("model-a"), min_version: 28, desired: 29, items };
    let results = vec![listed(ItemState::Completed), listed(ItemState::Abandoned)];
    golden.json("job", &job);
    golden.json("page", &ResultPage { total: 30, next_page_token: 31, results });
    golden.without_keys::<SubmittedJob>("job");
    golden.without_keys::<Item>("item");
    golden.without_keys::<ScoringEndpoint>("scoring endpoint");
    golden.without_keys::<ResultPage>("page");
    golden.check();
}

#[test]
fn heartbeats_orders_and_reports_have_the_recorded_form() {
    let mut golden = Golden::new("stores.txt");
    golden.json("heartbeat ready", &heartbeat(StoreState::Ready));
    golden.json("heartbeat draining", &heartbeat(StoreState::Draining));
    golden.without_keys::<Heartbeat>("heartbeat");
    golden.without_keys::<LoadedModel>("model");
    golden.json("reply", &HeartbeatReply { heartbeat_address: Some(text("10.1.2.4:8144")) });
    golden.without_keys::<HeartbeatReply>("reply");
    golden.json("order", &order(Some(32)));
    golden.json("order without revision", &order(None));
    golden.json(
        "report",
        &Report { models: models(), utilization: true, sequence: 33, waiting: 34, running: 35 },
    );
    golden.without_keys::<Report>("report");
    golden.check();
}

const REQUIRED_SETTINGS: &str = r#""nodeName":"n","role":"r","machineClass":"c","ip":"10.1.2.3","zone":"z",
    "internalPorts":[7001,7002],"seeds":["10.1.2.4:9"]"#;
const OPTIONAL_SETTINGS: &str = r#""serves":["a"],"region":"g","zones":{"z":"g"},
    "listen":{"frontend":"10.1.2.3:1","readiness":"10.1.2.3:2","controlPlane":"10.1.2.3:3"},
    "bootstrap":true,"countsForQuorum":true,
    "limits":{"cpuShare":1.5,"memoryMb":11,"fileDescriptors":12,"diskMb":13},
    "dataDir":"/d","heartbeatMs":14,"faultTolerance":{"machines":15},
    "bounds":{"contactMs":21,"ackMs":22,"catchUpS":23.5,"drainMs":24,"graceS":25.5,"configApplyMs":26,"recoveryS":27.5,
    "reuseAfterS":28.5,"pass_ms":29,"finishS":30.5,"statusS":31.5,"cancelMs":32,"settleMs":33,"fencing":false,"leaseMs":34,
    "thawMs":35}"#;

/// The values of all settings in a fixed order, for the settings of a process can't be written.
fn settings_values(settings: &Settings) -> Vec<u8> {
    let listen = &settings.listen;
    let limits = &settings.limits;
    let bounds = &settings.bounds;
    let values = (
        (&settings.node_name, &settings.role, &settings.machine_class, &settings.serves, settings.ip),
        (&settings.zone, &settings.region, &settings.zones, settings.internal_ports, &settings.seeds),
        (listen.frontend, listen.readiness, listen.control_plane),
        (settings.bootstrap, settings.counts_for_quorum, &settings.data_dir, settings.heartbeat_ms),
        (limits.cpu_share, limits.memory_mb, limits.file_descriptors, limits.disk_mb),
        settings.fault_tolerance.machines,
        (
            bounds.contact_ms,
            bounds.ack_ms,
            bounds.catch_up_s,
            bounds.drain_ms,
            bounds.grace_s,
            bounds.config_apply_ms,
        ),
        (
            bounds.recovery_s,
            bounds.reuse_after_s,
            bounds.pass_ms,
            bounds.finish_s,
            bounds.status_s,
            bounds.cancel_ms,
        ),
        (bounds.settle_ms, bounds.fencing, bounds.lease_ms, bounds.thaw_ms),
    );
    serde_json::to_vec(&values).expect("encodes")
}

#[test]
fn settings_are_read_as_recorded() {
    let mut golden = Golden::new("settings.txt");
    let whole = format!("{{{REQUIRED_SETTINGS},{OPTIONAL_SETTINGS}}}");
    for (name, json) in [("whole", whole), ("required alone", format!("{{{REQUIRED_SETTINGS}}}"))] {
        let settings = Settings::parse(json.as_bytes()).expect("valid");
        golden.samples.push(Sample::new(&format!("settings {name}"), settings_values(&settings)));
    }
    golden.check();
}
