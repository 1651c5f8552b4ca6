//! Copies of all partitions to a new backend over a link of limited speed, whose queue drops what does not fit.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::settings::TestSettings;
use common::single_backend::{address, create, EDGE};
use gingerledge_chain::{MemberId, OutgoingSnapshotState, ReplicaMessage};
use gingerledge_jobs::backend::{Backend, BackendAction, BackendEvent, DiskContent};
use gingerledge_jobs::partition::ClientRequest;
use gingerledge_jobs::store::Caller;
use gingerledge_wire::{PartitionRecord, PARTITION_COUNT};
use yare::parameterized;

/// Member that is lost, or that stays as the head.
const FORMER: u64 = 1;
/// Member that holds all partitions and sends the copies.
const SOURCE: u64 = 2;
const NEW: u64 = 3;
/// Size of the body of each of the two items of the batch job in each partition.
const ITEM_BYTES: usize = 200 * 1024;
const BYTES_PER_SECOND: u64 = 16 * 1024 * 1024;
const QUEUE_BYTES: u64 = 4 * 1024 * 1024;
const LINK_DELAY: Duration = Duration::from_micros(1_400);
const SYNC_TIME: Duration = Duration::from_millis(5);
/// Approximate size of a message without its content.
const HEADER_BYTES: u64 = 64;
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// Bytes that may be passed to the link, as a multiple of those that are needed, before a run counts as endless.
const MAX_SENT_FACTOR: u64 = 4;

enum Arrival {
    Event { member: u64, event: BackendEvent },
    Synced { member: u64, token: u64 },
}

/// Three backends; the link from the source to the new one is limited.
struct Backends {
    now: Duration,
    backends: BTreeMap<u64, Backend>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    last_arrival: u64,
    bytes_per_second: u64,
    /// When all that is queued for the link will have been sent.
    link_free_at: Duration,
    sent_bytes: u64,
    dropped_bytes: u64,
}

impl Backends {
    /// Backends whose partitions have a batch job each, at the former member and at the source.
    fn with_jobs(bytes_per_second: u64) -> Self {
        let settings = TestSettings { fault_tolerance: 1, memory_mb: 310, retention_s: None }.build();
        let new_backend = |member: u64| {
            let content = DiskContent::default();
            (member, Backend::new(MemberId(member), content, settings.clone(), member))
        };
        let mut backends = Self {
            now: Duration::ZERO,
            backends: [FORMER, SOURCE, NEW].map(new_backend).into_iter().collect(),
            arrivals: BTreeMap::new(),
            last_arrival: 0,
            bytes_per_second,
            link_free_at: Duration::ZERO,
            sent_bytes: 0,
            dropped_bytes: 0,
        };
        for member in [FORMER, SOURCE, NEW] {
            backends.handle(member, BackendEvent::Started);
        }
        for partition in 0..PARTITION_COUNT {
            backends.install(partition, 1, &[FORMER, SOURCE], &[FORMER, SOURCE]);
        }
        backends.run_for(Duration::from_secs(1));
        for partition in 0..PARTITION_COUNT {
            let caller = Caller { request: u64::from(partition), reply_to: address(EDGE), edge: EDGE };
            let request = ClientRequest { caller, epoch: 1, body: create(ITEM_BYTES) };
            backends.handle(FORMER, BackendEvent::Request { partition, request });
            backends.run_for(Duration::from_millis(20));
        }
        backends.run_for(Duration::from_secs(1));
        backends
    }

    fn install(&mut self, partition: u16, epoch: u64, chain: &[u64], in_sync: &[u64]) {
        let record = PartitionRecord { epoch, chain: chain.to_vec(), in_sync: in_sync.to_vec() };
        for member in [FORMER, SOURCE, NEW] {
            let record = record.clone();
            self.handle(member, BackendEvent::ChainChanged { partition, record });
        }
    }

    fn handle(&mut self, member: u64, event: BackendEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.backends.get_mut(&member).expect("a backend").handle(now, event, &mut actions);
        for action in actions {
            match action {
                BackendAction::SendToMember { to, partition, message } => {
                    let bytes = size(&message);
                    let event = BackendEvent::ReplicaMessage { partition, from: MemberId(member), message };
                    self.send(member, to.0, bytes, event);
                }
                BackendAction::Persist { token, .. } => {
                    self.arrive_at(now + SYNC_TIME, Arrival::Synced { member, token });
                }
                BackendAction::SendToEdge { .. } => {}
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, bytes: u64, event: BackendEvent) {
        if (from, to) != (SOURCE, NEW) {
            self.arrive_at(self.now + LINK_DELAY, Arrival::Event { member: to, event });
            return;
        }
        let queued_time = self.link_free_at.saturating_sub(self.now);
        let queued_bytes = queued_time.as_secs_f64() * self.bytes_per_second as f64;
        if queued_bytes as u64 + bytes > QUEUE_BYTES {
            self.dropped_bytes += bytes;
            return;
        }
        self.sent_bytes += bytes;
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        self.link_free_at = self.link_free_at.max(self.now) + time;
        self.arrive_at(self.link_free_at + LINK_DELAY, Arrival::Event { member: to, event });
    }

    fn arrive_at(&mut self, at: Duration, arrival: Arrival) {
        self.last_arrival += 1;
        self.arrivals.insert((at, self.last_arrival), arrival);
    }

    /// Handles the next timer or arrival, if it is due by `end`.
    fn step(&mut self, end: Duration) -> bool {
        let timers =
            self.backends.iter().filter_map(|(member, backend)| Some((backend.next_timer()?, *member)));
        let timer = timers.min();
        let arrival = self.arrivals.keys().next().map(|(at, _)| *at);
        match (timer, arrival) {
            (Some((at, member)), arrival) if at <= end && arrival.is_none_or(|arrival| at < arrival) => {
                self.now = self.now.max(at);
                self.handle(member, BackendEvent::TimerExpired);
            }
            (_, Some(at)) if at <= end => {
                self.now = self.now.max(at);
                match self.arrivals.pop_first() {
                    Some((_, Arrival::Event { member, event })) => self.handle(member, event),
                    Some((_, Arrival::Synced { member, token })) => {
                        self.handle(member, BackendEvent::Durable { token });
                    }
                    None => {}
                }
            }
            _ => return false,
        }
        true
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.step(end) {}
        self.now = end;
    }

    /// Partitions whose new member is in sync in an epoch.
    fn in_sync(&self, epoch: u64) -> BTreeSet<u16> {
        let new = &self.backends[&NEW];
        let is_in_sync = |number: &u16| {
            new.partition(*number).and_then(gingerledge_jobs::partition::Partition::in_sync_epoch)
                == Some(epoch)
        };
        (0..PARTITION_COUNT).filter(is_in_sync).collect()
    }

    /// Runs until a condition holds.
    fn run_until(&mut self, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            self.step(TIME_LIMIT);
            let bytes = self.sent_bytes + self.dropped_bytes;
            let is_endless = self.now >= TIME_LIMIT || bytes > needed_bytes() * MAX_SENT_FACTOR;
            assert!(!is_endless, "not all copies ended; {} bytes dropped of {bytes}", self.dropped_bytes);
        }
    }
}

/// Approximate size of a message in bytes.
fn size(message: &ReplicaMessage) -> u64 {
    let content = match message {
        ReplicaMessage::SnapshotChunk { bytes, .. } => bytes.len(),
        ReplicaMessage::Append { commands, .. } => commands.iter().map(Vec::len).sum(),
        _ => 0,
    };
    HEADER_BYTES + content as u64
}

fn needed_bytes() -> u64 {
    u64::from(PARTITION_COUNT) * 2 * ITEM_BYTES as u64
}

/// Guards against copies of all partitions that are sent at once, so that the queue of the link drops most of them and all end last.
#[parameterized(full_speed = { 1 }, half = { 2 }, quarter = { 4 }, eighth = { 8 })]
fn copies_of_all_partitions_end_one_after_the_other(slowness: u64) {
    let bytes_per_second = BYTES_PER_SECOND / slowness;
    let mut backends = Backends::with_jobs(bytes_per_second);
    let began = backends.now;
    for partition in 0..PARTITION_COUNT {
        backends.install(partition, 2, &[SOURCE, NEW], &[SOURCE]);
    }
    let half = usize::from(PARTITION_COUNT / 2);
    backends.run_until(|backends| backends.in_sync(2).len() >= half);
    let half_took = backends.now - began;
    backends.run_until(|backends| backends.in_sync(2).len() == usize::from(PARTITION_COUNT));
    let took = backends.now - began;
    let shortest = Duration::from_secs_f64(needed_bytes() as f64 / bytes_per_second as f64);
    assert_eq!(backends.dropped_bytes, 0);
    assert!(backends.sent_bytes * 4 <= needed_bytes() * 5, "{} bytes were sent", backends.sent_bytes);
    assert!(took <= shortest.mul_f64(1.25), "took {took:?}, at least {shortest:?}");
    assert!(half_took <= took.mul_f64(0.6), "half took {half_took:?} of {took:?}");
}

/// Guards against partitions with a single copy that wait for those that have another one.
#[test]
fn partitions_with_the_fewest_copies_go_first() {
    let mut backends = Backends::with_jobs(BYTES_PER_SECOND);
    let half = PARTITION_COUNT / 2;
    for partition in 0..half {
        backends.install(partition, 2, &[FORMER, SOURCE, NEW], &[FORMER, SOURCE]);
    }
    for partition in half..PARTITION_COUNT {
        backends.install(partition, 2, &[SOURCE, NEW], &[SOURCE]);
    }
    let is_single = |partition: &u16| *partition >= half;
    backends.run_until(|backends| {
        backends.in_sync(2).iter().copied().filter(is_single).count() == usize::from(half)
    });
    let others = backends.in_sync(2).iter().filter(|partition| !is_single(partition)).count();
    assert!(others <= 8, "{others} partitions with two copies went before");
}

/// Guards against copies that are never sent, because replicas that have stopped occupy all slots.
#[test]
fn a_replica_that_has_stopped_occupies_no_slot() {
    let mut backends = Backends::with_jobs(BYTES_PER_SECOND);
    for partition in 0..PARTITION_COUNT {
        backends.install(partition, 2, &[FORMER, SOURCE, NEW], &[FORMER, SOURCE]);
    }
    let is_sending = |backends: &Backends, number: u16| {
        let partition = backends.backends[&SOURCE].partition(number).expect("a partition");
        let mut snapshots = partition.outgoing_snapshots();
        snapshots.any(|snapshot| snapshot.state == OutgoingSnapshotState::Sending)
    };
    backends.run_until(|backends| (0..PARTITION_COUNT).any(|number| is_sending(backends, number)));
    let stopped: Vec<u16> = (0..PARTITION_COUNT).filter(|&number| is_sending(&backends, number)).collect();
    for &partition in &stopped {
        // Entries that can't be decoded, after those that the source holds.
        let message = ReplicaMessage::Append {
            epoch: 2,
            first_index: 1,
            commands: vec![vec![0xff]; 8],
            commit_index: 8,
            in_sync_index: None,
        };
        let event = BackendEvent::ReplicaMessage { partition, from: MemberId(FORMER), message };
        backends.handle(SOURCE, event);
    }
    assert!(!stopped.is_empty());
    let expected = usize::from(PARTITION_COUNT) - stopped.len();
    backends.run_until(|backends| backends.in_sync(2).len() == expected);
}
