//! The bytes of the durable control state, as snapshots carry it: equal to what was recorded once. The state is reached by commands,
//! since its parts are private.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use gingerledge_control::state::ControlState;
use gingerledge_golden::{compare, read, Sample};
use gingerledge_wire::{Command, CommandOutcome, PartitionRecord};

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, last], 7_380))
}

fn json(text: &str) -> Arc<Vec<u8>> {
    Arc::new(text.as_bytes().to_vec())
}

/// Commands that fill every part of the state, with the names of the states that they lead to.
fn commands() -> Vec<(&'static str, Command)> {
    let whole = r#"{"version":5,"routes":[],"services":[{"name":"s"}]}"#;
    let update = r#"{"version":6,"upsert":{"services":[{"name":"t"}]}}"#;
    let record = PartitionRecord { epoch: 1, chain: vec![21, 22], in_sync: vec![21] };
    vec![
        ("nothing", Command::Noop),
        ("configuration", Command::ReplaceConfiguration { base: 0, version: 5, json: json(whole) }),
        ("refused configuration", Command::ReplaceConfiguration { base: 3, version: 4, json: json(whole) }),
        ("updated configuration", Command::UpdateConfiguration { base: 5, version: 6, json: json(update) }),
        ("refused update", Command::UpdateConfiguration { base: 1, version: 9, json: json(update) }),
        ("named version", Command::NameVersion { model: "model-a".to_owned(), version: 7 }),
        ("fence", Command::AllocateFencingToken { incarnation: 8, address: address(1) }),
        ("fence with one before", Command::AllocateFencingToken { incarnation: 9, address: address(2) }),
        ("partition", Command::SetPartition { partition: 3, record, fencing_token: 2 }),
        ("partition full", Command::ReplicaInSync { partition: 3, epoch: 1, member: 22 }),
        ("settled fence", Command::CompleteHandover { token: 2 }),
        ("backend", Command::RegisterBackend { member: 21, address: address(3) }),
        ("retiring", Command::BeginRetirement { name: "backend-1".to_owned(), member: 31 }),
        ("retired", Command::CompleteRetirement { name: "backend-1".to_owned(), member: 31, replicas: 0 }),
    ]
}

fn states() -> Vec<(String, ControlState)> {
    let mut state = ControlState::default();
    let mut states = vec![("empty".to_owned(), state.clone())];
    for (sequence, (name, command)) in (1..).zip(commands()) {
        let outcome = state.apply(sequence, &command);
        let refused = matches!(
            outcome,
            CommandOutcome::Conflict { .. } | CommandOutcome::Invalid { .. } | CommandOutcome::Indeterminate
        );
        assert_eq!(refused, name.starts_with("refused"), "{name}: {outcome:?}");
        states.push((name.to_owned(), state.clone()));
    }
    states
}

#[test]
fn snapshots_of_the_control_state_are_written_and_read_as_before() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/states.txt");
    let recorded = if path.exists() { read(&path) } else { BTreeMap::new() };
    let mut samples = Vec::new();
    for (name, state) in states() {
        let bytes = state.snapshot().expect("encodes");
        if let Some(bytes) = recorded.get(&name) {
            let restored = ControlState::restore(bytes).expect("readable");
            assert!(restored == state, "{name}");
            assert_eq!(&restored.snapshot().expect("encodes"), bytes, "{name}");
        }
        samples.push(Sample::new(&name, bytes));
    }
    compare(&path, &samples);
}
