//! Copies of many logs over one link of limited speed. A copy must take little longer than its bytes need on the link, however slow
//! the link is, and whatever happens to its messages on the way.

use std::collections::BTreeMap;
use std::time::Duration;

use gingerledge_chain::{
    LogRecord, MemberId, Replica, ReplicaAction, ReplicaEvent, ReplicaMessage, ReplicaSettings, View,
    ViewEvent,
};
use yare::parameterized;

const SOURCE: MemberId = MemberId(1);
const NEW_TAIL: MemberId = MemberId(2);
const EPOCH: u64 = 7;
/// Index of the last entry included in the snapshot of each log.
const SNAPSHOT_INDEX: u64 = 40;
const SNAPSHOT_BYTES: usize = 1024 * 1024;
const LOG_COUNT: usize = 16;
const BYTES_PER_SECOND: u64 = 8 * 1024 * 1024;
/// Delay of a message on the link, in addition to the time that its bytes take.
const LINK_DELAY: Duration = Duration::from_micros(1_400);
const SYNC_TIME: Duration = Duration::from_millis(5);
const TIME_LIMIT: Duration = Duration::from_secs(120);

/// What the link does to a share of the messages.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    Loss,
    Duplication,
    Delay,
    All,
}

enum Arrival {
    Message { log: usize, to: MemberId, message: ReplicaMessage },
    Synced { log: usize, member: MemberId, token: u64 },
}

/// The two members of a chain: the source, which holds the log, and the new tail, which has an empty disk.
struct Chain {
    source: Replica,
    new_tail: Replica,
}

/// Chains between the same two machines, whose messages share a link in each direction.
struct Copies {
    now: Duration,
    chains: Vec<Chain>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    last_arrival: u64,
    /// When the link from the source becomes free.
    link_free_at: Duration,
    bytes_per_second: u64,
    bytes_sent: u64,
    disturbance: Disturbance,
    rng: fastrand::Rng,
}

impl Copies {
    fn start(bytes_per_second: u64, disturbance: Disturbance, seed: u64) -> Self {
        let view = View { epoch: EPOCH, chain: vec![SOURCE, NEW_TAIL] };
        let records = [
            LogRecord::Snapshot { index: SNAPSHOT_INDEX, bytes: vec![3; SNAPSHOT_BYTES] },
            LogRecord::View { view: View { epoch: EPOCH - 1, chain: vec![SOURCE] }, in_sync: true },
        ];
        let new_chain = |log: usize| Chain {
            source: Replica::recover(SOURCE, &records, ReplicaSettings::default(), log as u64),
            new_tail: Replica::new(NEW_TAIL, ReplicaSettings::default(), log as u64),
        };
        let mut copies = Self {
            now: Duration::ZERO,
            chains: (0..LOG_COUNT).map(new_chain).collect(),
            arrivals: BTreeMap::new(),
            last_arrival: 0,
            link_free_at: Duration::ZERO,
            bytes_per_second,
            bytes_sent: 0,
            disturbance,
            rng: fastrand::Rng::with_seed(seed),
        };
        for log in 0..LOG_COUNT {
            for member in [SOURCE, NEW_TAIL] {
                copies.handle(log, member, ReplicaEvent::Started);
                let view = view.clone();
                copies.handle(log, member, ReplicaEvent::View(ViewEvent::Install { view }));
            }
        }
        copies
    }

    fn replica(&mut self, log: usize, member: MemberId) -> &mut Replica {
        let chain = &mut self.chains[log];
        if member == SOURCE {
            &mut chain.source
        } else {
            &mut chain.new_tail
        }
    }

    fn handle(&mut self, log: usize, member: MemberId, event: ReplicaEvent) {
        let now = self.now;
        let mut actions = Vec::new();
        self.replica(log, member).handle(now, event, &mut actions);
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => self.send(log, to, message),
                ReplicaAction::Persist { token, .. } => {
                    self.arrive_at(now + SYNC_TIME, Arrival::Synced { log, member, token });
                }
                ReplicaAction::TakeSnapshot => {
                    let bytes = vec![3; SNAPSHOT_BYTES];
                    self.handle(log, member, ReplicaEvent::SnapshotReady { index: SNAPSHOT_INDEX, bytes });
                }
                _ => {}
            }
        }
    }

    /// Sends a message. Only the link from the source is limited; messages to it are short.
    fn send(&mut self, log: usize, to: MemberId, message: ReplicaMessage) {
        let mut arrives_at = self.now + LINK_DELAY;
        if let (NEW_TAIL, ReplicaMessage::SnapshotChunk { bytes, .. }) = (to, &message) {
            self.bytes_sent += bytes.len() as u64;
            let time = Duration::from_secs_f64(bytes.len() as f64 / self.bytes_per_second as f64);
            self.link_free_at = self.link_free_at.max(self.now) + time;
        }
        if to == NEW_TAIL {
            arrives_at = arrives_at.max(self.link_free_at + LINK_DELAY);
        }
        let is_hit = |disturbance: Disturbance, rng: &mut fastrand::Rng, own: Disturbance| {
            (own == disturbance || own == Disturbance::All) && rng.u8(..) < 10
        };
        if is_hit(Disturbance::Loss, &mut self.rng, self.disturbance) {
            return;
        }
        if is_hit(Disturbance::Delay, &mut self.rng, self.disturbance) {
            arrives_at += Duration::from_millis(self.rng.u64(1..1_000));
        }
        if is_hit(Disturbance::Duplication, &mut self.rng, self.disturbance) {
            let late = arrives_at + Duration::from_millis(self.rng.u64(0..1_000));
            self.arrive_at(late, Arrival::Message { log, to, message: message.clone() });
        }
        self.arrive_at(arrives_at, Arrival::Message { log, to, message });
    }

    fn arrive_at(&mut self, at: Duration, arrival: Arrival) {
        self.last_arrival += 1;
        self.arrivals.insert((at, self.last_arrival), arrival);
    }

    fn next_timer(&self) -> Option<(Duration, usize, MemberId)> {
        let timers = self.chains.iter().enumerate().flat_map(|(log, chain)| {
            [(SOURCE, chain.source.next_timer()), (NEW_TAIL, chain.new_tail.next_timer())]
                .into_iter()
                .filter_map(move |(member, at)| at.map(|at| (at, log, member)))
        });
        timers.min_by_key(|(at, _, _)| *at)
    }

    fn step(&mut self) {
        let next_arrival = self.arrivals.keys().next().map(|(at, _)| *at);
        let timer = self.next_timer().filter(|(at, _, _)| next_arrival.is_none_or(|arrival| *at < arrival));
        if let Some((at, log, member)) = timer {
            self.now = self.now.max(at);
            self.handle(log, member, ReplicaEvent::TimerExpired);
            return;
        }
        let ((at, _), arrival) = self.arrivals.pop_first().expect("no timer is running");
        self.now = self.now.max(at);
        match arrival {
            Arrival::Message { log, to, message } => {
                let from = if to == SOURCE { NEW_TAIL } else { SOURCE };
                self.handle(log, to, ReplicaEvent::Message { from, message });
            }
            Arrival::Synced { log, member, token } => {
                self.handle(log, member, ReplicaEvent::Durable { token });
            }
        }
    }

    /// Replaces the process of the new tail of a log by one that has received nothing yet.
    fn restart_new_tail(&mut self, log: usize) {
        let view = View { epoch: EPOCH, chain: vec![SOURCE, NEW_TAIL] };
        let records = [LogRecord::Rejoined { view, last_index: 0 }];
        self.chains[log].new_tail =
            Replica::recover(NEW_TAIL, &records, ReplicaSettings::default(), log as u64);
        self.handle(log, NEW_TAIL, ReplicaEvent::Started);
    }

    fn are_all_in_sync(&self) -> bool {
        self.chains.iter().all(|chain| chain.new_tail.is_in_sync())
    }

    fn run(&mut self) {
        while !self.are_all_in_sync() {
            self.step();
            assert!(self.now < TIME_LIMIT, "the copies have not ended, {} bytes were sent", self.bytes_sent);
        }
    }
}

fn needed_bytes() -> u64 {
    (LOG_COUNT * SNAPSHOT_BYTES) as u64
}

/// Guards against copies that start again from their first byte while their chunks are on the way, so that they fill the link.
#[parameterized(full_speed = { 1 }, half = { 2 }, quarter = { 4 }, eighth = { 8 })]
fn copies_over_a_slow_link_end_in_the_time_that_their_bytes_take(slowness: u64) {
    let bytes_per_second = BYTES_PER_SECOND / slowness;
    let mut copies = Copies::start(bytes_per_second, Disturbance::None, 1);
    copies.run();
    let shortest = Duration::from_secs_f64(needed_bytes() as f64 / bytes_per_second as f64);
    assert!(copies.bytes_sent * 4 <= needed_bytes() * 5, "{} bytes were sent", copies.bytes_sent);
    assert!(copies.now <= shortest.mul_f64(1.25), "took {:?}, at least {shortest:?}", copies.now);
}

/// Guards against a copy that never ends, or starts again, because a message of it is lost, doubled or late.
#[parameterized(
    loss = { Disturbance::Loss },
    duplication = { Disturbance::Duplication },
    delay = { Disturbance::Delay },
    all = { Disturbance::All },
)]
fn disturbed_copies_end_and_repeat_little(disturbance: Disturbance) {
    for seed in 1..=20 {
        let mut copies = Copies::start(BYTES_PER_SECOND, disturbance, seed);
        copies.run();
        assert!(copies.bytes_sent <= needed_bytes() * 2, "seed {seed}: {} bytes", copies.bytes_sent);
    }
}

/// Guards against a copy that waits forever for a receiver that has restarted and lost what it had received.
#[test]
fn a_copy_to_a_restarted_process_ends() {
    let mut copies = Copies::start(BYTES_PER_SECOND, Disturbance::None, 1);
    while copies.now < Duration::from_secs(1) {
        copies.step();
    }
    copies.restart_new_tail(0);
    copies.run();
    assert!(copies.bytes_sent * 4 <= needed_bytes() * 5, "{} bytes were sent", copies.bytes_sent);
}
