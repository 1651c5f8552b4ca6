//! A later version reads the disk of a control node that an earlier one wrote, and writes it on in the same form.
//!
//! The recorded disks are written by hand: `GOLDEN_WRITE=1 cargo test -p gingerledge-control --test golden_disk -- the_code_of_the_day`, twice, since the
//! rewritten disk comes from a recorded one.

// The node's own code for its disk, which the crate doesn't give out.
#[allow(dead_code, reason = "the storage thread is not used here")]
#[path = "../src/node/disk.rs"]
mod disk;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use disk::{encode, DiskContents, DiskIdentity, DiskRecord};
use gingerledge_chain::{
    ChainAction, ChainEvent, ControlChain, ControlChainSettings, LogRecord, MemberId, Membership,
    ProposalNumber, View,
};
use gingerledge_control::state::ControlState;
use gingerledge_golden::disk_image::DiskImage;
use gingerledge_storage::{FileDisk, Ring};
use gingerledge_wire::{Command, NodeRecord, PartitionRecord, Role};

/// The smallest disk has the smallest ring.
const DISK_MB: u64 = 0;
const ME: u64 = 0x1111_2222_3333_4444;
const SECOND: u64 = 0x5555;
const THIRD: u64 = u64::MAX;
const FAULT_TOLERANCE: usize = 1;
const SEED: u64 = 7;
/// The last entry in the snapshot on the disk.
const SNAPSHOT_ENTRY: u64 = 9;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden_disk").join(name)
}

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("golden-disk-control").join(name)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn founders() -> Vec<u64> {
    vec![ME, SECOND, THIRD]
}

fn peers() -> Vec<NodeRecord> {
    let record = |member, port, role, zone: &str| NodeRecord {
        role,
        name: format!("node-{port}"),
        incarnation: member ^ 0xabcd,
        member,
        address: address(port),
        zone: zone.to_owned(),
    };
    vec![
        record(ME, 7001, Role::Control, "zone-a"),
        record(SECOND, 7002, Role::Control, ""),
        NodeRecord { address: "[::1]:7003".parse().unwrap(), ..record(THIRD, 7003, Role::Control, "zone-b") },
    ]
}

fn members(epoch: u64, chain: &[u64]) -> Membership {
    Membership {
        epoch,
        voters: founders().into_iter().map(MemberId).collect(),
        chain: chain.iter().copied().map(MemberId).collect(),
        fault_tolerance: FAULT_TOLERANCE,
    }
}

fn view(epoch: u64, chain: &[u64]) -> View {
    members(epoch, chain).view()
}

/// One command of each kind, in the order of the log; the first entry has the number 1.
fn commands() -> Vec<Command> {
    let configuration = Arc::new(br#"{"models":[]}"#.to_vec());
    vec![
        Command::Noop,
        Command::AllocateFencingToken { incarnation: 71, address: address(7001) },
        Command::AllocateFencingToken { incarnation: 72, address: address(7002) },
        Command::ReplaceConfiguration { base: 0, version: 5, json: configuration.clone() },
        Command::NameVersion { model: "model-a".to_owned(), version: 4 },
        Command::NameVersion { model: "model-b".to_owned(), version: u64::MAX },
        Command::SetPartition {
            partition: 3,
            record: PartitionRecord { epoch: 1, chain: vec![81, 82], in_sync: vec![81] },
            fencing_token: 2,
        },
        Command::RegisterBackend { member: 81, address: address(7101) },
        Command::BeginRetirement { name: "backend-1".to_owned(), member: 83 },
        Command::ReplicaInSync { partition: 3, epoch: 1, member: 82 },
        Command::CompleteHandover { token: 2 },
        Command::UpdateConfiguration { base: 5, version: 6, json: configuration },
        Command::CompleteRetirement { name: "backend-1".to_owned(), member: 83, replicas: 1 },
        Command::NameVersion { model: "model-a".to_owned(), version: 9 },
    ]
}

/// An entry's bytes: the request, where its answer goes, the command.
fn submission(number: u64) -> Vec<u8> {
    let command = &commands()[usize::try_from(number).unwrap() - 1];
    let fields = (number + 1000, address(7001), command);
    bincode::serde::encode_to_vec(fields, bincode::config::standard()).unwrap()
}

fn command_of(entry: &[u8]) -> Command {
    let decoded = bincode::serde::decode_from_slice(entry, bincode::config::standard());
    let ((_, _, command), read): ((u64, SocketAddr, Command), usize) = decoded.unwrap();
    assert_eq!(read, entry.len());
    command
}

fn entry(epoch: u64, index: u64, committed: u64) -> LogRecord {
    LogRecord::Entry { epoch, index, commit_index: committed, command: submission(index) }
}

/// The state after the first entries.
fn state_after(last: u64) -> ControlState {
    let mut state = ControlState::default();
    for (number, command) in (1..=last).zip(commands()) {
        state.apply(number, &command);
    }
    state
}

/// What the chain has on the disk: a snapshot and all that came after it, with one record of each kind.
fn chain_records() -> Vec<LogRecord> {
    vec![
        LogRecord::Snapshot { index: SNAPSHOT_ENTRY, bytes: state_after(SNAPSHOT_ENTRY).snapshot().unwrap() },
        LogRecord::View { view: view(1, &founders()), in_sync: true },
        LogRecord::BarrierReservation { epoch: 1, reserved: 1024 },
        LogRecord::Membership { membership: members(1, &founders()) },
        entry(1, 10, 9),
        entry(1, 11, 10),
        LogRecord::Sealed { epoch: 1 },
        LogRecord::Promise { epoch: 2, proposal: ProposalNumber { counter: 1, proposer: SECOND } },
        LogRecord::Accepted {
            proposal: ProposalNumber { counter: 1, proposer: SECOND },
            membership: members(2, &[SECOND, ME]),
        },
        LogRecord::Membership { membership: members(2, &[SECOND, ME]) },
        LogRecord::Rejoined { view: view(2, &[SECOND, ME]), last_index: 10 },
        LogRecord::InSync { epoch: 2 },
        entry(2, 11, 10),
        entry(2, 12, 11),
        entry(2, 13, 12),
        LogRecord::BarrierReservation { epoch: 2, reserved: 4096 },
        LogRecord::Promise { epoch: 3, proposal: ProposalNumber { counter: 4, proposer: THIRD } },
        LogRecord::Accepted {
            proposal: ProposalNumber { counter: 4, proposer: THIRD },
            membership: members(3, &[ME, THIRD]),
        },
        LogRecord::Promise { epoch: 3, proposal: ProposalNumber { counter: 5, proposer: SECOND } },
    ]
}

/// Records of the chain in the snapshot on the disk.
const CHAIN_RECORDS_IN_SNAPSHOT: usize = 4;

/// What the write in the middle of which the power goes would have added.
fn last_records() -> Vec<DiskRecord> {
    let large = LogRecord::Entry { epoch: 2, index: 14, commit_index: 13, command: vec![0x5a; 3000] };
    vec![DiskRecord::Chain(large), DiskRecord::Peers(Vec::new())]
}

fn open(folder: &Path) -> (Ring<FileDisk>, DiskContents) {
    disk::open(folder, DISK_MB).unwrap()
}

fn encoded(records: &[DiskRecord]) -> Vec<Vec<u8>> {
    records.iter().map(encode).collect()
}

/// A log of a first life; then a snapshot, and what came after it.
fn write_disk(folder: &Path) -> Ring<FileDisk> {
    DiskImage::default().lay_out(folder);
    let (mut ring, contents) = open(folder);
    assert!(contents.identity.is_none() && contents.peers.is_empty() && contents.chain.is_empty());
    let identity = DiskRecord::Identity { member: ME, founders: founders() };
    ring.append(&encoded(std::slice::from_ref(&identity))).unwrap();
    ring.append(&encoded(&[DiskRecord::Peers(peers()[..1].to_vec())])).unwrap();
    let first_life = [
        LogRecord::Membership { membership: members(1, &founders()) },
        LogRecord::View { view: view(1, &founders()), in_sync: true },
    ];
    ring.append(&encoded(&first_life.map(DiskRecord::Chain))).unwrap();
    for number in 1..=SNAPSHOT_ENTRY {
        ring.append(&encoded(&[DiskRecord::Chain(entry(1, number, number - 1))])).unwrap();
    }
    let chain: Vec<DiskRecord> = chain_records().into_iter().map(DiskRecord::Chain).collect();
    let (in_snapshot, after) = chain.split_at(CHAIN_RECORDS_IN_SNAPSHOT);
    let own = [identity, DiskRecord::Peers(peers()[..2].to_vec())];
    ring.snapshot(&encoded(&[&own[..], in_snapshot].concat())).unwrap();
    ring.append(&encoded(&[DiskRecord::Peers(peers())])).unwrap();
    for records in after.chunks(2) {
        ring.append(&encoded(records)).unwrap();
    }
    ring
}

/// The recorded disk in a folder of its own.
fn laid_out(recorded: &str, test: &str) -> PathBuf {
    let folder = folder(test);
    DiskImage::read(&fixture(recorded)).lay_out(&folder);
    folder
}

fn assert_is_the_recorded_content(contents: &DiskContents) {
    assert!(contents.identity == Some(DiskIdentity { member: ME, founders: founders() }), "the identity");
    assert!(contents.peers == peers(), "the known peers");
    let expected = chain_records();
    for (number, (found, expected)) in contents.chain.iter().zip(&expected).enumerate() {
        assert!(found == expected, "record {number} of the chain");
    }
    assert_eq!(contents.chain.len(), expected.len());
}

/// Starts the chain from its records as a node does; gives the state of the node after all that is known to be committed.
fn start_chain(records: Vec<LogRecord>) -> (ControlChain, ControlState) {
    let settings = ControlChainSettings::new(FAULT_TOLERANCE);
    let mut chain = ControlChain::recover(MemberId(ME), records, settings, SEED);
    let mut actions = Vec::new();
    chain.handle(Duration::ZERO, ChainEvent::Started, &mut actions);
    let mut state = ControlState::default();
    for action in actions {
        match action {
            ChainAction::InstallSnapshot { bytes, .. } => state = ControlState::restore(&bytes).unwrap(),
            ChainAction::Apply { index, command, .. } => {
                assert!(
                    command_of(&command) == commands()[usize::try_from(index).unwrap() - 1],
                    "entry {index}"
                );
                state.apply(index, &command_of(&command));
            }
            _ => {}
        }
    }
    (chain, state)
}

#[test]
fn the_code_of_the_day_writes_the_recorded_disk() {
    let folder = folder("writes");
    drop(write_disk(&folder));
    DiskImage::of_folder(&folder).compare(&fixture("control.txt"));
}

#[test]
fn the_code_of_the_day_writes_the_recorded_disk_with_a_torn_tail() {
    let folder = folder("writes-torn");
    let mut ring = write_disk(&folder);
    let before = DiskImage::of_folder(&folder);
    ring.append(&encoded(&last_records())).unwrap();
    before.torn(&DiskImage::of_folder(&folder)).compare(&fixture("control_torn.txt"));
}

#[test]
fn a_recorded_disk_is_recovered() {
    let (_, contents) = open(&laid_out("control.txt", "recovered"));
    assert_is_the_recorded_content(&contents);
}

#[test]
fn a_recorded_disk_with_a_torn_tail_is_recovered_without_the_unfinished_write() {
    let folder = laid_out("control_torn.txt", "recovered-torn");
    let (mut ring, contents) = open(&folder);
    assert_is_the_recorded_content(&contents);
    ring.append(&encoded(&last_records())).unwrap();
    drop(ring);
    let (_, contents) = open(&folder);
    assert!(contents.peers.is_empty(), "the known peers of the repeated write");
    assert_eq!(contents.chain.len(), chain_records().len() + 1);
}

#[test]
fn the_recorded_chain_goes_on_where_it_was() {
    const LAST_COMMITTED: u64 = 12;
    let (_, contents) = open(&laid_out("control.txt", "chain"));
    let (chain, state) = start_chain(contents.chain);
    assert!(chain.membership() == Some(&members(2, &[SECOND, ME])), "the membership");
    assert_eq!(chain.applied_index(), LAST_COMMITTED);
    assert!(state == state_after(LAST_COMMITTED), "the state");
    assert_eq!(state.fencing_token(), 2);
    assert_eq!(state.versions()["model-b"], u64::MAX);
    assert!(
        state.partitions().get(3)
            == Some(&PartitionRecord { epoch: 1, chain: vec![81, 82], in_sync: vec![81, 82] }),
        "the partition"
    );
    let checkpoint = chain.checkpoint(state.snapshot().unwrap()).unwrap();
    let expected = [
        LogRecord::Snapshot { index: LAST_COMMITTED, bytes: state_after(LAST_COMMITTED).snapshot().unwrap() },
        LogRecord::View { view: view(2, &[SECOND, ME]), in_sync: true },
        LogRecord::BarrierReservation { epoch: 2, reserved: 4096 },
        LogRecord::Sealed { epoch: 2 },
        entry(2, 13, LAST_COMMITTED),
        LogRecord::Membership { membership: members(2, &[SECOND, ME]) },
        LogRecord::Accepted {
            proposal: ProposalNumber { counter: 4, proposer: THIRD },
            membership: members(3, &[ME, THIRD]),
        },
        LogRecord::Promise { epoch: 3, proposal: ProposalNumber { counter: 5, proposer: SECOND } },
    ];
    for (number, (found, expected)) in checkpoint.iter().zip(&expected).enumerate() {
        assert!(found == expected, "record {number} of the checkpoint: {found:?}");
    }
    assert_eq!(checkpoint.len(), expected.len());
}

#[test]
fn the_code_of_the_day_rewrites_the_recorded_disk_as_recorded() {
    let folder = laid_out("control.txt", "rewritten");
    let (mut ring, contents) = open(&folder);
    let identity = contents.identity.unwrap();
    let (chain, state) = start_chain(contents.chain);
    let mut records = vec![identity.to_record(), DiskRecord::Peers(contents.peers)];
    let checkpoint = chain.checkpoint(state.snapshot().unwrap()).unwrap();
    records.extend(checkpoint.into_iter().map(DiskRecord::Chain));
    ring.snapshot(&encoded(&records)).unwrap();
    drop(ring);
    DiskImage::of_folder(&folder).compare(&fixture("control_rewritten.txt"));
}
