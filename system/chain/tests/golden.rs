//! The encoding of every message and every durable record of a chain must equal the recorded one byte for byte. Control nodes and
//! backends both write them with the standard configuration of bincode, as frames do.

use gingerledge_chain::{
    AgreementMessage, ChainMessage, Heartbeat, LogRecord, MemberId, Membership, ProposalNumber,
    ReplicaMessage, View,
};
use gingerledge_golden::EncodedValues;

fn proposal() -> ProposalNumber {
    ProposalNumber { counter: 21, proposer: 70_000 }
}

fn membership() -> Membership {
    Membership {
        epoch: 31,
        voters: vec![MemberId(1), MemberId(300), MemberId(u64::MAX)],
        chain: vec![MemberId(300), MemberId(1)],
        fault_tolerance: 2,
    }
}

fn bare_membership() -> Membership {
    Membership { epoch: 0, voters: Vec::new(), chain: Vec::new(), fault_tolerance: 0 }
}

fn view() -> View {
    View { epoch: 41, chain: vec![MemberId(5), MemberId(6)] }
}

fn heartbeat() -> Heartbeat {
    Heartbeat { epoch: 51, disk_ready: true, sealed: false, live_peers: vec![MemberId(7)] }
}

fn replica_messages() -> Vec<(&'static str, ReplicaMessage)> {
    let commands = vec![vec![1, 2], Vec::new()];
    vec![
        ("resume", ReplicaMessage::Resume { epoch: 1, last_index: 2, in_sync: true, is_learner: false }),
        (
            "resume of a learner",
            ReplicaMessage::Resume { epoch: 1, last_index: 2, in_sync: false, is_learner: true },
        ),
        ("ask resume", ReplicaMessage::RequestResume { epoch: 3 }),
        (
            "append",
            ReplicaMessage::Append {
                epoch: 4,
                first_index: 5,
                commands,
                commit_index: 6,
                in_sync_index: Some(7),
            },
        ),
        (
            "append bare",
            ReplicaMessage::Append {
                epoch: 4,
                first_index: 5,
                commands: Vec::new(),
                commit_index: 6,
                in_sync_index: None,
            },
        ),
        (
            "chunk",
            ReplicaMessage::SnapshotChunk {
                epoch: 8,
                index: 9,
                total_bytes: 10,
                offset: 11,
                bytes: vec![12, 13],
            },
        ),
        ("chunk ack", ReplicaMessage::SnapshotChunkAck { epoch: 14, index: 15, received_bytes: 16 }),
        ("ack", ReplicaMessage::Ack { epoch: 17, durable_index: 18, commit_index: 19 }),
        ("probe", ReplicaMessage::ConfirmView { epoch: 20, round: 21 }),
        ("confirm", ReplicaMessage::ViewConfirmed { epoch: 22, round: 23, commit_index: Some(24) }),
        ("confirm bare", ReplicaMessage::ViewConfirmed { epoch: 22, round: 23, commit_index: None }),
        ("barrier", ReplicaMessage::Barrier { epoch: 25, number: 26 }),
        ("barrier done", ReplicaMessage::BarrierCommitted { epoch: 27, number: 28, commit_index: 29 }),
        ("newer", ReplicaMessage::StaleEpoch { epoch: 30 }),
    ]
}

fn agreement_messages() -> Vec<(&'static str, AgreementMessage)> {
    let accepted = Some((proposal(), membership()));
    vec![
        ("heartbeat", AgreementMessage::Heartbeat(heartbeat())),
        ("ask view", AgreementMessage::RequestMembership { epoch: 2 }),
        ("view is", AgreementMessage::MembershipDecided { membership: membership() }),
        ("prepare", AgreementMessage::Prepare { epoch: 3, proposal: proposal() }),
        ("promise", AgreementMessage::Promise { epoch: 4, proposal: proposal(), accepted, in_sync: true }),
        (
            "promise bare",
            AgreementMessage::Promise { epoch: 4, proposal: proposal(), accepted: None, in_sync: false },
        ),
        ("accept", AgreementMessage::Accept { proposal: proposal(), membership: membership() }),
        ("accepted", AgreementMessage::Accepted { epoch: 5, proposal: proposal() }),
        ("rejected", AgreementMessage::Rejected { epoch: 6, promised: proposal() }),
    ]
}

fn records() -> Vec<(&'static str, LogRecord)> {
    vec![
        ("view", LogRecord::View { view: view(), in_sync: true }),
        ("rejoined", LogRecord::Rejoined { view: view(), last_index: 1 }),
        ("full", LogRecord::InSync { epoch: 2 }),
        ("sealed", LogRecord::Sealed { epoch: 3 }),
        ("entry", LogRecord::Entry { epoch: 4, index: 5, commit_index: 6, command: vec![7, 8] }),
        ("snapshot", LogRecord::Snapshot { index: 9, bytes: vec![10, 11] }),
        ("barriers", LogRecord::BarrierReservation { epoch: 12, reserved: 13 }),
        ("members", LogRecord::Membership { membership: membership() }),
        ("promise", LogRecord::Promise { epoch: 14, proposal: proposal() }),
        ("accepted", LogRecord::Accepted { proposal: proposal(), membership: membership() }),
    ]
}

#[test]
fn members_and_views_are_written_as_before() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "members.txt");
    golden.add_equal("member", &MemberId(77_000));
    golden.add_equal("ballot", &proposal());
    golden.add_equal("members", &membership());
    golden.add_equal("members bare", &bare_membership());
    golden.add_equal("view", &view());
    golden.add_equal("heartbeat", &heartbeat());
    golden.check();
}

#[test]
fn messages_are_written_as_before() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "messages.txt");
    for (name, message) in replica_messages() {
        golden.add_equal(&format!("replica message {name}"), &message);
        golden.add_equal(&format!("chain message of replica {name}"), &ChainMessage::Replica(message));
    }
    for (name, message) in agreement_messages() {
        golden.add_equal(&format!("agreement message {name}"), &message);
        golden.add_equal(&format!("chain message of agreement {name}"), &ChainMessage::Agreement(message));
    }
    golden.check();
}

#[test]
fn durable_records_are_written_as_before() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "records.txt");
    for (name, record) in records() {
        golden.add_equal(&format!("record {name}"), &record);
    }
    golden.check();
}
