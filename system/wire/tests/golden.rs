//! The encoded form of every internal message and of every record that messages carry: equal to what was recorded once, byte for byte.
//!
//! The names of the samples are their identities in the files; they stay when the types are renamed. Types that can't be compared
//! are decoded and encoded again.

use std::net::SocketAddr;
use std::sync::Arc;

use gingerledge_chain::{AgreementMessage, ChainMessage, ReplicaMessage};
use gingerledge_golden::EncodedValues;
use gingerledge_protocol::{AppliedUpdate, ConfigurationDocument, LoadedModel, StoreState};
use gingerledge_wire::{
    partition_of, stable_hash, BackendReport, Command, CommandOutcome, ControlMessage, Coordinator,
    DriverLeaseState, Entry, Envelope, FreshnessTick, ItemRecord, JobRecord, JobsMessage, JobsRequest,
    JobsResponse, Key, LeaseMessage, NodeRecord, PartialText, PartitionRecord, RelayMessage, ResultRecord,
    RetirementState, Role, ScoringRecord, StoreRecord, Value,
};

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], port))
}

fn edge_node() -> NodeRecord {
    NodeRecord {
        role: Role::Edge,
        name: "edge-1".to_owned(),
        incarnation: 0x1122_3344_5566_7788,
        member: 0,
        address: address(1, 7001),
        zone: "zone-a".to_owned(),
    }
}

fn control_node() -> NodeRecord {
    NodeRecord {
        role: Role::Control,
        name: "control-2".to_owned(),
        incarnation: 251,
        member: 65_536,
        address: "[2001:db8::7]:7002".parse().expect("an address"),
        zone: "zone-b".to_owned(),
    }
}

fn backend_node() -> NodeRecord {
    NodeRecord {
        role: Role::Backend,
        name: "backend-3".to_owned(),
        incarnation: 3,
        member: u64::MAX,
        address: address(3, 7003),
        zone: String::new(),
    }
}

fn partition_record() -> PartitionRecord {
    PartitionRecord { epoch: 12, chain: vec![5, 300, 70_000], in_sync: vec![5, 300] }
}

fn store_record() -> StoreRecord {
    StoreRecord {
        service: "generate".to_owned(),
        address: address(9, 8080),
        zone: "zone-c".to_owned(),
        software: "4.1".to_owned(),
        slots: 17,
        state: StoreState::Draining,
        models: vec![
            LoadedModel { name: "model-a".to_owned(), version: 6 },
            LoadedModel { name: "model-b".to_owned(), version: 700 },
        ],
    }
}

fn bare_store_record() -> StoreRecord {
    StoreRecord {
        service: String::new(),
        address: address(0, 1),
        zone: String::new(),
        software: String::new(),
        slots: 0,
        state: StoreState::Ready,
        models: Vec::new(),
    }
}

fn coordinator() -> Coordinator {
    Coordinator { incarnation: 41, address: address(4, 7004) }
}

fn scoring() -> ScoringRecord {
    ScoringRecord {
        id: "score-1".to_owned(),
        host: "rewards".to_owned(),
        path: "/score".to_owned(),
        body: b"{\"k\":1}".to_vec(),
    }
}

fn item() -> ItemRecord {
    ItemRecord {
        id: "item-1".to_owned(),
        path: "/generate".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned()), ("c".to_owned(), String::new())],
        body: vec![0, 1, 254, 255],
        tokens: 512,
        group: "group-1".to_owned(),
        scoring: Some(scoring()),
    }
}

fn bare_item() -> ItemRecord {
    ItemRecord {
        id: "item-2".to_owned(),
        path: String::new(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 0,
        group: String::new(),
        scoring: None,
    }
}

fn job() -> JobRecord {
    JobRecord {
        id: "job-1".to_owned(),
        host: "trainer".to_owned(),
        path: "/lots".to_owned(),
        step: 8,
        model: "model-a".to_owned(),
        min_version: 9,
        desired_groups: 2,
        items: vec![item(), bare_item()],
    }
}

fn bare_job() -> JobRecord {
    JobRecord {
        id: String::new(),
        host: "h".to_owned(),
        path: "p".to_owned(),
        step: 0,
        model: "m".to_owned(),
        min_version: 1,
        desired_groups: 0,
        items: Vec::new(),
    }
}

fn result() -> ResultRecord {
    ResultRecord {
        item: 3,
        completed: true,
        text: b"one\ntwo".to_vec(),
        versions: vec![4, 5],
        score: "0.5".to_owned(),
    }
}

fn abandoned_result() -> ResultRecord {
    ResultRecord { item: 300, completed: false, text: Vec::new(), versions: Vec::new(), score: String::new() }
}

fn text() -> PartialText {
    PartialText {
        item: 2,
        origin: 0x0102_0304_0506_0708,
        previous_event_id: Some(6),
        last_event_id: 9,
        data: b"\nthree".to_vec(),
        versions: vec![7, 8],
        is_complete: true,
    }
}

fn first_text() -> PartialText {
    PartialText {
        item: 0,
        origin: 1,
        previous_event_id: None,
        last_event_id: 0,
        data: Vec::new(),
        versions: Vec::new(),
        is_complete: false,
    }
}

fn document() -> ConfigurationDocument {
    ConfigurationDocument::from_text(Arc::new(
        br#"{"version":3,"routes":[],"services":[{"name":"s"}]}"#.to_vec(),
    ))
}

fn update() -> AppliedUpdate {
    AppliedUpdate { base: 3, sequence: 4, json: Arc::new(br#"{"version":5}"#.to_vec()) }
}

fn commands() -> Vec<(&'static str, Command)> {
    let json = || Arc::new(br#"{"version":2}"#.to_vec());
    vec![
        ("nothing", Command::Noop),
        ("replace configuration", Command::ReplaceConfiguration { base: 1, version: 2, json: json() }),
        ("name version", Command::NameVersion { model: "model-a".to_owned(), version: 5 }),
        ("take fence", Command::AllocateFencingToken { incarnation: 77, address: address(5, 7005) }),
        ("settle fence", Command::CompleteHandover { token: 6 }),
        (
            "set partition",
            Command::SetPartition { partition: 63, record: partition_record(), fencing_token: 7 },
        ),
        ("partition full", Command::ReplicaInSync { partition: 61, epoch: 8, member: 9 }),
        ("note backend", Command::RegisterBackend { member: 10, address: address(6, 7006) }),
        ("begin retire", Command::BeginRetirement { name: "backend-3".to_owned(), member: 11 }),
        ("update configuration", Command::UpdateConfiguration { base: 12, version: 13, json: json() }),
        (
            "complete retire",
            Command::CompleteRetirement { name: "backend-4".to_owned(), member: 14, replicas: 15 },
        ),
    ]
}

fn outcomes() -> Vec<(&'static str, CommandOutcome)> {
    vec![
        ("taken", CommandOutcome::Applied),
        ("fence", CommandOutcome::FencingToken(5)),
        ("conflict", CommandOutcome::Conflict { current: 6 }),
        ("invalid", CommandOutcome::Invalid { reason: "why".to_owned() }),
        ("unknown", CommandOutcome::Indeterminate),
    ]
}

fn keys() -> Vec<(&'static str, Key)> {
    vec![
        ("configuration", Key::Configuration),
        ("named version", Key::NamedVersion("model-a".to_owned())),
        ("store", Key::Store("store-1".to_owned())),
        ("weights", Key::Weights("store-1".to_owned(), "model-a".to_owned())),
        ("node", Key::Node(7)),
        ("partition", Key::Partition(8)),
        ("coordinator", Key::Coordinator),
    ]
}

fn values() -> Vec<(&'static str, Value)> {
    vec![
        ("configuration", Value::Configuration(document())),
        ("version", Value::Version(9)),
        ("store", Value::Store(store_record())),
        ("node", Value::Node(edge_node())),
        ("partition", Value::Partition(partition_record())),
        ("coordinator", Value::Coordinator(coordinator())),
        ("gone", Value::Tombstone),
        ("configuration updates", Value::ConfigurationUpdates(vec![update()])),
    ]
}

fn entry() -> Entry {
    Entry { key: Key::NamedVersion("model-a".to_owned()), version: 5, value: Value::Version(6) }
}

fn tombstone_entry() -> Entry {
    Entry { key: Key::Node(4), version: u64::MAX, value: Value::Tombstone }
}

fn control_messages() -> Vec<(&'static str, ControlMessage)> {
    vec![
        ("heartbeat", ControlMessage::Heartbeat { node: edge_node(), sequence: 5, report: None }),
        (
            "heartbeat with report",
            ControlMessage::Heartbeat { node: backend_node(), sequence: 300, report: Some(report()) },
        ),
        (
            "heartbeat taken",
            ControlMessage::HeartbeatAck {
                sequence: 6,
                control_nodes: vec![address(7, 7007), address(8, 7008)],
            },
        ),
        ("farewell", ControlMessage::Goodbye { incarnation: 7 }),
        (
            "introduce",
            ControlMessage::Hello {
                node: control_node(),
                known_peers: vec![edge_node(), backend_node()],
                wants_reply: true,
            },
        ),
        (
            "introduce bare",
            ControlMessage::Hello { node: control_node(), known_peers: Vec::new(), wants_reply: false },
        ),
        (
            "submit",
            ControlMessage::Submit {
                request: 8,
                reply_to: address(9, 7009),
                command: Command::CompleteHandover { token: 3 },
            },
        ),
        (
            "submitted",
            ControlMessage::SubmitResponse { request: 9, outcome: Some(CommandOutcome::FencingToken(4)) },
        ),
        ("submitted without outcome", ControlMessage::SubmitResponse { request: 10, outcome: None }),
        (
            "share",
            ControlMessage::ReplicateSessions { sequence: 11, entries: vec![entry(), tombstone_entry()] },
        ),
        ("shared", ControlMessage::ReplicateSessionsAck { sequence: 12 }),
        (
            "model used",
            ControlMessage::ModelUsed {
                model: "model-a".to_owned(),
                host: "trainer".to_owned(),
                path: "/lots".to_owned(),
                min_version: 13,
            },
        ),
    ]
}

fn report() -> BackendReport {
    BackendReport { in_sync: vec![(1, 2), (63, 700)], bytes: 4_096, disk_stalled: true }
}

fn requests() -> Vec<(&'static str, JobsRequest)> {
    let id = || "job-1".to_owned();
    vec![
        ("create", JobsRequest::CreateJob { job: Arc::new(job()) }),
        (
            "append",
            JobsRequest::AppendResults { job: id(), term: 2, results: vec![result(), abandoned_result()] },
        ),
        ("save", JobsRequest::SaveCheckpoint { job: id(), term: 3, texts: vec![text(), first_text()] }),
        ("end", JobsRequest::EndJob { job: id() }),
        ("read", JobsRequest::ReadResults { job: id(), start_after: 4, wait_ms: 5_000, max_bytes: 65_536 }),
        ("body", JobsRequest::ReadItemBody { job: id(), item: "item-1".to_owned() }),
        ("renew", JobsRequest::RenewDriverLeases { jobs: vec![(id(), 5), ("job-2".to_owned(), 6)] }),
    ]
}

fn responses() -> Vec<(&'static str, JobsResponse)> {
    let listed = vec![("item-1".to_owned(), result()), ("item-2".to_owned(), abandoned_result())];
    vec![
        ("created driving", JobsResponse::Created { driver_term: Some(7) }),
        ("created", JobsResponse::Created { driver_term: None }),
        ("appended", JobsResponse::Appended),
        ("fenced", JobsResponse::Fenced),
        ("ended", JobsResponse::Ended),
        ("page", JobsResponse::Results { total: 8, results: listed, ended: true }),
        ("page bare", JobsResponse::Results { total: 0, results: Vec::new(), ended: false }),
        ("body", JobsResponse::ItemBody(vec![1, 2, 3])),
        ("unknown", JobsResponse::NotFound),
        (
            "renewed",
            JobsResponse::Renewed(vec![
                DriverLeaseState::Held,
                DriverLeaseState::Ended,
                DriverLeaseState::Fenced,
            ]),
        ),
        ("not now", JobsResponse::Unavailable),
        ("full", JobsResponse::CapacityExceeded),
    ]
}

fn jobs_messages() -> Vec<(&'static str, JobsMessage)> {
    vec![
        (
            "ask",
            JobsMessage::Request {
                request: 1,
                reply_to: address(2, 7010),
                edge: 3,
                partition: 4,
                epoch: 5,
                body: JobsRequest::EndJob { job: "job-1".to_owned() },
            },
        ),
        ("answer", JobsMessage::Response { request: 6, body: JobsResponse::Fenced }),
        (
            "drive",
            JobsMessage::AssignDriver {
                job: Arc::new(bare_job()),
                term: 7,
                items_with_results: vec![8, 9],
                texts: vec![first_text()],
                age_ms: 10,
            },
        ),
        ("stop", JobsMessage::StopDriver { job: "job-1".to_owned(), term: 11 }),
    ]
}

fn relay_messages() -> Vec<(&'static str, RelayMessage)> {
    vec![
        (
            "subscribe",
            RelayMessage::Subscribe {
                subscription: 1,
                digest: vec![2, u64::MAX],
                configuration: 3,
                free_child_slots: 4,
                capacity: 5,
            },
        ),
        (
            "subscribe bare",
            RelayMessage::Subscribe {
                subscription: 1,
                digest: Vec::new(),
                configuration: 0,
                free_child_slots: 0,
                capacity: 0,
            },
        ),
        ("accepted", RelayMessage::SubscribeAccepted { subscription: 6 }),
        (
            "declined",
            RelayMessage::SubscribeDeclined { subscription: 7, alternatives: vec![address(1, 7011)] },
        ),
        (
            "update",
            RelayMessage::Update {
                subscription: 8,
                sequence: 9,
                entries: vec![entry(), tombstone_entry()],
                tombstone_ages_ms: vec![10],
                tick: tick(),
                tick_age_ms: 13,
            },
        ),
        ("received", RelayMessage::Ack { subscription: 14, sequence: 15, free_child_slots: 16 }),
        ("leave", RelayMessage::Unsubscribe { subscription: 17 }),
    ]
}

fn tick() -> FreshnessTick {
    FreshnessTick { epoch: 11, number: 12 }
}

#[test]
fn commands_and_outcomes_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "commands.txt");
    for (name, command) in commands() {
        golden.add_equal(&format!("command {name}"), &command);
    }
    for (name, outcome) in outcomes() {
        golden.add_equal(&format!("outcome {name}"), &outcome);
    }
    golden.add_equal("retire state active", &RetirementState::Active);
    golden.add_equal("retire state completed", &RetirementState::Completed);
    golden.check();
}

#[test]
fn messages_of_control_nodes_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "control.txt");
    golden.add_equal("backend report", &report());
    golden.add_equal("backend report bare", &BackendReport::default());
    for (name, message) in control_messages() {
        golden.add(&format!("control message {name}"), &message);
    }
    for (name, command) in commands() {
        let message = ControlMessage::Submit { request: 1, reply_to: address(9, 7009), command };
        golden.add(&format!("control message submit of {name}"), &message);
    }
    for (name, outcome) in outcomes() {
        let message = ControlMessage::SubmitResponse { request: 1, outcome: Some(outcome) };
        golden.add(&format!("control message submitted of {name}"), &message);
    }
    golden.check();
}

#[test]
fn batch_jobs_and_their_messages_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "jobs.txt");
    golden.add_equal("job", &job());
    golden.add_equal("job bare", &bare_job());
    golden.add_equal("item", &item());
    golden.add_equal("item bare", &bare_item());
    golden.add_equal("scoring", &scoring());
    golden.add_equal("result", &result());
    golden.add_equal("result abandoned", &abandoned_result());
    golden.add_equal("partial text", &text());
    golden.add_equal("partial text first", &first_text());
    golden.add_equal("renew state held", &DriverLeaseState::Held);
    golden.add_equal("renew state ended", &DriverLeaseState::Ended);
    golden.add_equal("renew state fenced", &DriverLeaseState::Fenced);
    for (name, request) in requests() {
        golden.add(&format!("request {name}"), &request);
    }
    for (name, answer) in responses() {
        golden.add(&format!("answer {name}"), &answer);
    }
    for (name, message) in jobs_messages() {
        golden.add(&format!("jobs message {name}"), &message);
    }
    golden.check();
}

#[test]
fn nodes_and_entries_of_the_registry_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "registry.txt");
    golden.add_equal("role edge", &Role::Edge);
    golden.add_equal("role control", &Role::Control);
    golden.add_equal("role backend", &Role::Backend);
    golden.add_equal("node edge", &edge_node());
    golden.add_equal("node control on ipv6", &control_node());
    golden.add_equal("node backend", &backend_node());
    golden.add_equal("store", &store_record());
    golden.add_equal("store bare", &bare_store_record());
    golden.add_equal("partition", &partition_record());
    golden.add_equal("partition bare", &PartitionRecord::default());
    golden.add_equal("coordinator", &coordinator());
    for (name, key) in keys() {
        golden.add_equal(&format!("key {name}"), &key);
    }
    for (name, value) in values() {
        golden.add_equal(&format!("value {name}"), &value);
    }
    golden.add_equal("entry", &entry());
    golden.add_equal("entry gone", &tombstone_entry());
    golden.check();
}

#[test]
fn messages_of_the_relay_tree_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "relay.txt");
    golden.add_equal("tick", &tick());
    for (name, message) in relay_messages() {
        golden.add(&format!("relay message {name}"), &message);
    }
    golden.check();
}

#[test]
fn envelopes_have_the_recorded_bytes() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "envelopes.txt");
    let lease = LeaseMessage::Release { generation: 4 };
    let replica = ReplicaMessage::RequestResume { epoch: 6 };
    let agreement = ChainMessage::Agreement(AgreementMessage::RequestMembership { epoch: 2 });
    golden.add("envelope chain", &Envelope::Chain { from: 1, message: agreement });
    golden.add("envelope lease", &Envelope::Lease { from: 3, message: lease });
    golden.add("envelope control", &Envelope::Control(ControlMessage::ReplicateSessionsAck { sequence: 5 }));
    golden.add("envelope relay", &Envelope::Relay(RelayMessage::Unsubscribe { subscription: 6 }));
    golden
        .add("envelope jobs", &Envelope::Jobs(JobsMessage::StopDriver { job: "job-1".to_owned(), term: 7 }));
    golden.add("envelope partition", &Envelope::Partition { partition: 8, from: 9, message: replica });
    golden.check();
}

#[test]
fn hashes_and_partitions_are_the_recorded_ones() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "hashes.txt");
    for name in ["", "a", "job-1", "job-2", "model-a", "zone-b", "a name with \u{e9}"] {
        golden.add_equal(&format!("hash of {name:?}"), &stable_hash(name));
        golden.add_equal(&format!("partition of {name:?}"), &partition_of(name));
    }
    golden.check();
}
