//! Checks that the bytes a backend stores equal the recorded ones: records on its disk, proposals of its chains, and states of
//! partitions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use gingerledge_chain::{LogRecord, MemberId, Membership, ProposalNumber, View};
use gingerledge_golden::{compare, read, Sample};
use gingerledge_jobs::backend::{DiskContent, DiskRecord};
use gingerledge_jobs::store::{Caller, Command, EdgeProcess, Proposal, Store};
use gingerledge_wire::{ItemRecord, JobRecord, PartialText, ResultRecord, ScoringRecord};

/// A file of recorded samples, and the samples that the current code encodes.
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

    /// Adds an encoded value; returns the bytes recorded under its name, if there are any.
    fn add(&mut self, name: &str, bytes: Vec<u8>) -> Option<Vec<u8>> {
        self.samples.push(Sample::new(name, bytes));
        self.recorded.get(name).cloned()
    }

    fn check(&self) {
        compare(&self.path, &self.samples);
    }
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7_100))
}

fn edge(incarnation: u64) -> EdgeProcess {
    EdgeProcess { incarnation, address: address(1) }
}

fn item(id: &str, scoring: Option<ScoringRecord>) -> ItemRecord {
    ItemRecord {
        id: id.to_owned(),
        path: "/generate".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: vec![1, 2, 3],
        tokens: 400,
        group: "group-1".to_owned(),
        scoring,
    }
}

fn job(id: &str) -> Arc<JobRecord> {
    let scoring = ScoringRecord {
        id: "score-1".to_owned(),
        host: "rewards".to_owned(),
        path: "/score".to_owned(),
        body: vec![4],
    };
    Arc::new(JobRecord {
        id: id.to_owned(),
        host: "trainer".to_owned(),
        path: "/lots".to_owned(),
        step: 5,
        model: "model-a".to_owned(),
        min_version: 6,
        desired_groups: 7,
        items: vec![item("item-1", Some(scoring)), item("item-2", None), item("item-3", None)],
    })
}

fn result(item: u32, completed: bool) -> ResultRecord {
    ResultRecord { item, completed, text: b"text".to_vec(), versions: vec![8, 9], score: "0.5".to_owned() }
}

fn text() -> PartialText {
    PartialText {
        item: 1,
        origin: 10,
        previous_event_id: None,
        last_event_id: 11,
        data: b"part".to_vec(),
        versions: vec![12],
        is_complete: false,
    }
}

fn commands() -> Vec<(&'static str, Command)> {
    let id = || "job-1".to_owned();
    vec![
        ("create", Command::Create { job: job("job-1"), edge: edge(70) }),
        (
            "append",
            Command::AppendResults { job: id(), term: 1, results: vec![result(0, true), result(2, false)] },
        ),
        ("save", Command::SaveCheckpoint { job: id(), term: 1, texts: vec![text()] }),
        ("end", Command::End { job: id() }),
        ("drive", Command::AssignDriver { job: id(), term: 2, edge: edge(71) }),
        ("forget", Command::Delete { job: id() }),
        ("keep ages", Command::RecordAges { ages: vec![(id(), Duration::new(13, 14))] }),
    ]
}

fn records() -> Vec<(&'static str, LogRecord)> {
    let view = || View { epoch: 1, chain: vec![MemberId(2), MemberId(3)] };
    let members =
        || Membership { epoch: 4, voters: vec![MemberId(5)], chain: vec![MemberId(6)], fault_tolerance: 1 };
    let proposal = ProposalNumber { counter: 7, proposer: 8 };
    vec![
        ("view", LogRecord::View { view: view(), in_sync: true }),
        ("rejoined", LogRecord::Rejoined { view: view(), last_index: 9 }),
        ("full", LogRecord::InSync { epoch: 10 }),
        ("sealed", LogRecord::Sealed { epoch: 11 }),
        ("entry", LogRecord::Entry { epoch: 12, index: 13, commit_index: 14, command: vec![15] }),
        ("snapshot", LogRecord::Snapshot { index: 16, bytes: vec![17] }),
        ("barriers", LogRecord::BarrierReservation { epoch: 18, reserved: 19 }),
        ("members", LogRecord::Membership { membership: members() }),
        ("promise", LogRecord::Promise { epoch: 20, proposal }),
        ("accepted", LogRecord::Accepted { proposal, membership: members() }),
    ]
}

#[test]
fn records_on_the_disk_have_the_recorded_bytes() {
    let mut golden = Golden::new("disk.txt");
    let identity = DiskRecord::Identity(70_000).encode().expect("encodes");
    if let Some(recorded) = golden.add("identity", identity) {
        assert_eq!(DiskContent::read([recorded]).expect("readable").member, Some(70_000));
    }
    for (name, record) in records() {
        let bytes = DiskRecord::Partition(63, record.clone()).encode().expect("encodes");
        if let Some(recorded) = golden.add(&format!("partition {name}"), bytes) {
            let content = DiskContent::read([recorded]).expect("readable");
            assert!(content.partitions == BTreeMap::from([(63, vec![record])]), "{name}");
        }
    }
    golden.check();
}

#[test]
fn proposals_have_the_recorded_bytes() {
    let mut golden = Golden::new("proposals.txt");
    let caller = Caller { request: 300, reply_to: address(2), edge: 70 };
    for (name, command) in commands() {
        for (proposer, caller) in [("edge", Some(caller)), ("head", None)] {
            let proposal = Proposal { caller, age: Duration::new(2, 3), command: command.clone() };
            let bytes = proposal.encode().expect("encodes");
            if let Some(recorded) = golden.add(&format!("{name} by {proposer}"), bytes) {
                let decoded = Proposal::decode(&recorded).expect("readable");
                assert!(decoded == proposal, "{name} by {proposer}");
                assert_eq!(decoded.encode().expect("encodes"), recorded, "{name} by {proposer}");
            }
        }
    }
    golden.check();
}

#[test]
fn states_of_partitions_have_the_recorded_bytes() {
    let mut golden = Golden::new("states.txt");
    let mut store = Store::default();
    let mut states = vec![("empty".to_owned(), store.clone())];
    store.apply(Command::Create { job: job("job-0"), edge: edge(69) });
    for (name, command) in commands() {
        if name == "forget" {
            continue;
        }
        store.apply(command);
        states.push((format!("after {name}"), store.clone()));
        if name == "save" {
            store.apply(Command::AssignDriver { job: "job-0".to_owned(), term: 2, edge: edge(72) });
            states.push(("after another driver".to_owned(), store.clone()));
        }
    }
    for (name, state) in states {
        if let Some(recorded) = golden.add(&name, state.encode().expect("encodes")) {
            let decoded = Store::decode(&recorded).expect("readable");
            assert!(decoded == state, "{name}");
            assert_eq!(decoded.encode().expect("encodes"), recorded, "{name}");
        }
    }
    golden.check();
}
