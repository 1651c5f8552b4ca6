//! Membership in virtual time over a simulated network with fixed seeds: brokers are killed, suspended, restarted, partitioned,
//! and sent forged datagrams.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use gingerledge_fleet::{
    BrokerNumber, Change, DatagramError, Membership, Settings, State, MAX_DATAGRAM_BYTES,
};

const PROBE_MS: f64 = 1000.0;
const SENT_PER_S: f64 = 20.0;

fn settings(members: BrokerNumber, own: BrokerNumber) -> Settings {
    Settings { members, own, probe_ms: PROBE_MS, answer_ms: 300.0, sent_per_s: SENT_PER_S }
}

/// A datagram in transit: delivery time in microseconds, sequence number, sender, receiver, bytes.
type InTransit = Reverse<(u64, u64, BrokerNumber, BrokerNumber, Vec<u8>)>;

struct Network {
    now: f64,
    rng: Rng,
    brokers: Vec<Option<Membership>>,
    /// Virtual time until which each broker is suspended, in milliseconds.
    suspended_until: Vec<f64>,
    in_transit: BinaryHeap<InTransit>,
    next_sequence: u64,
    /// Probability that a datagram is lost.
    loss_rate: f64,
    /// Probability that a datagram is delivered twice.
    duplicate_rate: f64,
    /// Maximum random delay of a datagram on top of 1 ms.
    max_delay_ms: f64,
    /// Side of the partition that each broker is on; datagrams between sides are lost.
    side: Vec<u8>,
    /// Whether datagrams from side 1 still reach side 0.
    is_one_way: bool,
    /// Times at which each broker sent a datagram.
    sent_times: Vec<Vec<f64>>,
    /// Time, sender and receiver of every datagram sent.
    datagrams: Vec<(f64, BrokerNumber, BrokerNumber)>,
    changes: Vec<(f64, BrokerNumber, Change)>,
}

impl Network {
    fn new(members: BrokerNumber, seed: u64) -> Self {
        let count = usize::from(members);
        let mut network = Self {
            now: 0.0,
            rng: Rng::with_seed(seed),
            brokers: (0..count).map(|_| None).collect(),
            suspended_until: vec![0.0; count],
            in_transit: BinaryHeap::new(),
            next_sequence: 0,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_delay_ms: 20.0,
            side: vec![0; count],
            is_one_way: false,
            sent_times: vec![Vec::new(); count],
            datagrams: Vec::new(),
            changes: Vec::new(),
        };
        (0..members).for_each(|broker_number| network.start(broker_number, 1_000_000));
        network
    }

    fn start(&mut self, broker_number: BrokerNumber, start: u64) {
        let members = self.brokers.len() as BrokerNumber;
        let seed = self.rng.u64(..);
        let start = start + self.now as u64;
        self.brokers[usize::from(broker_number)] =
            Some(Membership::new(settings(members, broker_number), start, seed, self.now));
    }

    fn kill(&mut self, broker_number: BrokerNumber) {
        self.brokers[usize::from(broker_number)] = None;
    }

    fn collect_outputs(&mut self, broker_number: BrokerNumber) {
        let Some(broker) = &mut self.brokers[usize::from(broker_number)] else { return };
        self.changes
            .extend(broker.take_changes().into_iter().map(|change| (self.now, broker_number, change)));
        let outgoing: Vec<_> = broker.take_outgoing().collect();
        for (to, bytes) in outgoing {
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
            self.sent_times[usize::from(broker_number)].push(self.now);
            self.datagrams.push((self.now, broker_number, to));
            let (from_side, to_side) = (self.side[usize::from(broker_number)], self.side[usize::from(to)]);
            let is_cut = from_side != to_side && !(self.is_one_way && from_side > to_side);
            if is_cut || self.rng.f64() < self.loss_rate {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.f64() < self.duplicate_rate) {
                let at = ((self.now + 1.0 + self.max_delay_ms * self.rng.f64()) * 1000.0) as u64;
                self.next_sequence += 1;
                self.in_transit.push(Reverse((at, self.next_sequence, broker_number, to, bytes.clone())));
            }
        }
    }

    /// Runs the simulation for this many seconds.
    fn run_for(&mut self, seconds: f64) {
        let end = self.now + 1000.0 * seconds;
        // Steps of 5 ms simulate a host that calls late by up to that.
        while self.now < end {
            self.now += 5.0;
            // A broker that resumes handles its timers before its received datagrams.
            for broker_number in 0..self.brokers.len() as BrokerNumber {
                if self.suspended_until[usize::from(broker_number)] > self.now {
                    continue;
                }
                if let Some(broker) = &mut self.brokers[usize::from(broker_number)] {
                    if broker.next_due() <= self.now {
                        broker.handle_timers(self.now);
                        self.collect_outputs(broker_number);
                    }
                }
            }
            while self.in_transit.peek().is_some_and(|Reverse(next)| next.0 as f64 / 1000.0 <= self.now) {
                let Some(Reverse((at, sequence, from, to, bytes))) = self.in_transit.pop() else { break };
                let until = self.suspended_until[usize::from(to)];
                if until > self.now {
                    // The datagram waits in the receiver's socket.
                    self.in_transit.push(Reverse(((until * 1000.0) as u64 + 1, sequence, from, to, bytes)));
                    let _ = at;
                    continue;
                }
                if let Some(broker) = &mut self.brokers[usize::from(to)] {
                    broker.receive(from, &bytes, self.now).unwrap();
                    self.collect_outputs(to);
                }
            }
        }
    }

    fn alive(&self, broker_number: BrokerNumber) -> Vec<BrokerNumber> {
        self.brokers[usize::from(broker_number)].as_ref().unwrap().alive()
    }

    fn running(&self) -> Vec<BrokerNumber> {
        (0..self.brokers.len() as BrokerNumber)
            .filter(|broker_number| self.brokers[usize::from(*broker_number)].is_some())
            .collect()
    }

    /// Runs until all running brokers see exactly each other, and returns the seconds that it took; `None` if that takes longer
    /// than `within_s` seconds.
    fn run_until_agreed(&mut self, within_s: f64) -> Option<f64> {
        let (from, running) = (self.now, self.running());
        while self.now < from + 1000.0 * within_s {
            if running.iter().all(|broker_number| self.alive(*broker_number) == running) {
                return Some((self.now - from) / 1000.0);
            }
            self.run_for(0.25);
        }
        None
    }

    /// Maximum number of datagrams that any broker sent within one second.
    fn max_sent_per_s(&self) -> usize {
        let max_in_one_second = |times: &Vec<f64>| {
            let mut first = 0;
            times
                .iter()
                .enumerate()
                .map(|(last, at)| {
                    while times[first] <= at - 1000.0 {
                        first += 1;
                    }
                    last + 1 - first
                })
                .max()
        };
        self.sent_times.iter().filter_map(max_in_one_second).max().unwrap_or(0)
    }

    /// Members out of `running_members` that were declared down since the time `from` although they were running, each with the time
    /// and the broker that declared it.
    fn wrongly_declared_down(
        &self,
        from: f64,
        running_members: &[BrokerNumber],
    ) -> Vec<(f64, BrokerNumber, BrokerNumber)> {
        let wrongly_left = |(at, broker_number, change): &(f64, BrokerNumber, Change)| match change {
            Change::Left(number) if *at >= from && running_members.contains(number) => {
                Some((*at, *broker_number, *number))
            }
            _ => None,
        };
        self.changes.iter().filter_map(wrongly_left).collect()
    }
}

/// Maximum number of datagrams in any second: a full token bucket plus one second's refill.
const MAX_SENT_PER_S: usize = 2 * SENT_PER_S as usize;

/// Time in seconds within which a fleet of this many brokers detects the failure of several: probing each, suspecting it, and
/// spreading the update.
fn detection_bound_s(members: BrokerNumber) -> f64 {
    let spread_s = 4.0 * f64::from(members).log2();
    let suspicion_s = settings(members, 0).suspicion_timeout_ms() / 1000.0;
    f64::from(members).min(40.0) + suspicion_s + spread_s
}

#[test]
fn brokers_discover_each_other_at_any_fleet_size_within_the_send_limit() {
    for members in [3, 30, 120] {
        let mut network = Network::new(members, 5);
        let elapsed_s = network.run_until_agreed(60.0);
        assert!(elapsed_s.is_some_and(|elapsed_s| elapsed_s < 30.0), "{members}: {elapsed_s:?}, seed 5");
        network.run_for(10.0);
        assert!(network.max_sent_per_s() <= MAX_SENT_PER_S, "{members}: {}", network.max_sent_per_s());
        // In a stable fleet: a probe and its answer per period, and occasionally one more datagram.
        let at = network.now;
        network.run_for(20.0);
        let sent: usize = network.sent_times.iter().flatten().filter(|sent_at| **sent_at > at).count();
        let per_broker_and_s = sent as f64 / f64::from(members) / 20.0;
        assert!(per_broker_and_s < 4.0, "{members}: {per_broker_and_s} datagrams per second");
        assert!(network.wrongly_declared_down(0.0, &network.running()).is_empty());
    }
}

#[test]
fn simultaneous_failure_of_a_third_and_its_restart_are_detected_by_all() {
    for seed in [1, 2] {
        let mut network = Network::new(30, seed);
        network.run_until_agreed(60.0).unwrap();
        let killed_at = network.now;
        (0..10).for_each(|broker_number| network.kill(broker_number));
        let elapsed_s = network.run_until_agreed(detection_bound_s(30));
        assert!(elapsed_s.is_some(), "seed {seed}");
        assert!(network.wrongly_declared_down(killed_at, &network.running()).is_empty(), "seed {seed}");
        (0..10).for_each(|broker_number| network.start(broker_number, 1_000_000));
        assert!(network.run_until_agreed(30.0).is_some(), "seed {seed}");
        // All brokers restart at once, without any state.
        (0..30).for_each(|broker_number| network.start(broker_number, 1_000_000));
        assert!(network.run_until_agreed(60.0).is_some(), "seed {seed}");
        assert!(network.max_sent_per_s() <= MAX_SENT_PER_S, "{}, seed {seed}", network.max_sent_per_s());
    }
}

#[test]
fn failures_are_detected_under_loss_duplication_and_reordering_without_false_positives() {
    for seed in 1..=8 {
        let mut network = Network::new(20, seed);
        network.run_until_agreed(60.0).unwrap();
        (network.loss_rate, network.duplicate_rate, network.max_delay_ms) = (0.3, 0.3, 150.0);
        network.run_for(20.0);
        let from = network.now;
        network.kill(4);
        network.kill(11);
        network.run_for(detection_bound_s(20) * 2.0);
        let running = network.running();
        for broker_number in &running {
            let alive = network.alive(*broker_number);
            assert!(
                !alive.contains(&4) && !alive.contains(&11),
                "{broker_number} sees {alive:?}, seed {seed}"
            );
        }
        let wrongly_declared_down = network.wrongly_declared_down(from, &running);
        assert!(wrongly_declared_down.is_empty(), "{wrongly_declared_down:?}, seed {seed}");
        (network.loss_rate, network.duplicate_rate) = (0.0, 0.0);
        assert!(network.run_until_agreed(60.0).is_some(), "seed {seed}");
        assert!(network.max_sent_per_s() <= MAX_SENT_PER_S, "{}, seed {seed}", network.max_sent_per_s());
    }
}

#[test]
fn partitioned_halves_see_only_themselves_and_merge_after_healing() {
    for (seed, is_one_way) in [(1, false), (2, true)] {
        let mut network = Network::new(24, seed);
        network.run_until_agreed(60.0).unwrap();
        (0..12).for_each(|broker_number| network.side[broker_number] = 1);
        network.is_one_way = is_one_way;
        network.run_for(60.0);
        if !is_one_way {
            assert_eq!(network.alive(0), (0..12).collect::<Vec<_>>(), "seed {seed}");
            assert_eq!(network.alive(20), (12..24).collect::<Vec<_>>(), "seed {seed}");
        }
        network.side = vec![0; 24];
        let healed = network.run_until_agreed(60.0);
        assert!(healed.is_some(), "seed {seed}");
        assert!(
            network.max_sent_per_s() <= MAX_SENT_PER_S,
            "too many datagrams: {}, seed {seed}",
            network.max_sent_per_s()
        );
    }
}

#[test]
fn a_suspended_broker_declares_nobody_down_and_rejoins() {
    for seed in [1, 2, 3] {
        let mut network = Network::new(12, seed);
        network.run_until_agreed(60.0).unwrap();
        let from = network.now;
        network.suspended_until[5] = network.now + 40_000.0;
        network.run_for(39.0);
        assert!(!network.alive(0).contains(&5), "seed {seed}");
        network.run_for(2.0);
        assert!(network.run_until_agreed(30.0).is_some(), "seed {seed}");
        let others: Vec<BrokerNumber> = (0..12).filter(|broker_number| *broker_number != 5).collect();
        let wrongly_declared_down = network.wrongly_declared_down(from, &others);
        assert!(wrongly_declared_down.is_empty(), "{wrongly_declared_down:?}, seed {seed}");
        let paused =
            |change: &(f64, BrokerNumber, Change)| change.1 == 5 && matches!(change.2, Change::Paused(_));
        assert!(network.changes.iter().any(paused), "seed {seed}");
    }
}

#[test]
fn a_broker_suspended_during_a_suspicion_processes_the_refutation_first() {
    let mut suspected_count = 0;
    for seed in 1..20 {
        let mut network = Network::new(8, seed);
        network.run_until_agreed(60.0).unwrap();
        let from = network.now;
        network.suspended_until[7] = 1e9;
        let suspects =
            |network: &Network| network.brokers[5].as_ref().unwrap().all_members()[7].state == State::Suspect;
        while !suspects(&network) && network.now < from + 20_000.0 {
            network.run_for(0.05);
        }
        suspected_count += usize::from(suspects(&network));
        // The suspect resumes; the broker that suspects it is suspended for longer than the suspicion time-out.
        network.suspended_until[7] = 0.0;
        network.suspended_until[5] = network.now + 30_000.0;
        network.run_for(60.0);
        let wrongly_declared_down = network.wrongly_declared_down(from, &[0, 1, 2, 3, 4, 6, 7]);
        let by_broker_5: Vec<_> =
            wrongly_declared_down.iter().filter(|(_, broker_number, _)| *broker_number == 5).collect();
        assert!(by_broker_5.is_empty(), "{by_broker_5:?}, seed {seed}");
    }
    assert!(suspected_count > 10, "{suspected_count}");
}

#[test]
fn a_member_that_sends_datagrams_is_not_declared_down_though_it_does_not_answer() {
    let mut network = Network::new(2, 9);
    network.run_until_agreed(60.0).unwrap();
    // Datagrams from 0 do not reach 1, those from 1 do reach 0.
    network.side = vec![0, 1];
    network.is_one_way = true;
    network.run_for(60.0);
    assert!(network.alive(0).contains(&1));
    assert!(network.wrongly_declared_down(0.0, &[1]).is_empty());
    assert!(!network.alive(1).contains(&0), "broker 1 receives nothing");
}

#[test]
fn a_broker_that_receives_nothing_waits_longer_before_declaring_others_down() {
    let mut network = Network::new(10, 11);
    network.run_until_agreed(60.0).unwrap();
    let from = network.now;
    network.side[0] = 1;
    network.run_for(60.0);
    let others: Vec<BrokerNumber> = (1..10).collect();
    let first = network
        .wrongly_declared_down(from, &others)
        .into_iter()
        .find(|(_, broker_number, _)| *broker_number == 0)
        .unwrap();
    let waited_ms = first.0 - from;
    assert!(waited_ms > 2.0 * settings(10, 0).suspicion_timeout_ms(), "{waited_ms} ms");
}

#[test]
fn a_suspect_is_contacted_directly_before_it_is_declared_down() {
    let mut network = Network::new(40, 10);
    network.run_until_agreed(60.0).unwrap();
    network.kill(17);
    let suspects = |network: &Network, broker_number: BrokerNumber| {
        network.brokers[usize::from(broker_number)]
            .as_ref()
            .is_some_and(|one| one.all_members()[17].state == State::Suspect)
    };
    while !network.running().iter().any(|broker_number| suspects(&network, *broker_number)) {
        network.run_for(0.05);
    }
    let from = network.now;
    network.run_for(settings(40, 0).suspicion_timeout_ms() / 1000.0);
    // The broker whose probe failed contacts the suspect; the others may have sent a datagram or two to it by chance.
    let contacts = |broker_number: &BrokerNumber| {
        network
            .datagrams
            .iter()
            .filter(|(at, by, to)| *at > from && *by == *broker_number && *to == 17)
            .count()
    };
    let max_contacts = network.running().iter().map(contacts).max().unwrap();
    assert!(max_contacts >= 7, "{max_contacts}");
}

#[test]
fn a_restarted_broker_rejoins_although_its_clock_was_set_back_an_hour() {
    let mut network = Network::new(8, 3);
    (0..8).for_each(|broker_number| network.start(broker_number, 10_000_000));
    network.run_until_agreed(60.0).unwrap();
    network.kill(2);
    network.run_for(30.0);
    // No updates about its last start are sent any more, but all brokers remember it.
    network.start(2, 10_000_000 - 3_600_000);
    assert!(network.run_until_agreed(10.0).is_some());
    assert!(network.max_sent_per_s() <= MAX_SENT_PER_S, "{}", network.max_sent_per_s());
    // It also returns while the others still consider its last start alive.
    network.start(2, 10_000_000 - 7_200_000);
    assert!(network.run_until_agreed(10.0).is_some());
}

#[test]
fn a_broker_that_leaves_is_removed_at_once() {
    let mut network = Network::new(10, 4);
    network.run_until_agreed(60.0).unwrap();
    let now = network.now;
    let broker = network.brokers[3].as_mut().unwrap();
    broker.leave(now);
    // The host keeps calling it for a while, and time advances.
    for _ in 0..10 {
        let due = broker.next_due();
        broker.handle_timers(due);
        assert!(broker.next_due() > due, "handling the due timers moves the due time forward");
    }
    network.collect_outputs(3);
    network.kill(3);
    let elapsed_s = network.run_until_agreed(10.0);
    assert!(
        elapsed_s.is_some_and(|elapsed_s| elapsed_s < settings(10, 0).suspicion_timeout_ms() / 1000.0),
        "{elapsed_s:?}"
    );
}

#[test]
fn datagrams_with_a_wrong_sender_and_malformed_datagrams_change_nothing() {
    let mut network = Network::new(5, 6);
    network.run_until_agreed(60.0).unwrap();
    let now = network.now;
    let broker = network.brokers[0].as_mut().unwrap();
    broker.handle_timers(now + 500.0);
    let (to, bytes) = loop {
        broker.handle_timers(broker.next_due());
        let next = broker.take_outgoing().next();
        if let Some(next) = next {
            break next;
        }
    };
    let other = network.brokers[usize::from(to)].as_mut().unwrap();
    let before = other.all_members();
    assert_eq!(other.receive(3, &bytes, now), Err(DatagramError::SenderMismatch { from: 3, claimed: 0 }));
    assert_eq!(other.receive(0, &[0; 300], now), Err(DatagramError::TooLong(300)));
    let mut rng = Rng::with_seed(6);
    for _ in 0..20_000 {
        let mut malformed: Vec<u8> = match rng.bool() {
            true => bytes.clone(),
            false => (0..rng.usize(..MAX_DATAGRAM_BYTES)).map(|_| rng.u8(..)).collect(),
        };
        for _ in 0..rng.usize(1..4) {
            if !malformed.is_empty() {
                let at = rng.usize(..malformed.len());
                malformed[at] = rng.u8(..);
            }
        }
        malformed.truncate(rng.usize(..=malformed.len()));
        // No datagram causes a panic, and one with another sender's number causes no change.
        let _ = other.receive(4, &malformed, now);
        if malformed.first() == Some(&1) && malformed.get(1..3) == Some(&[0, 0]) {
            assert_eq!(other.all_members(), before);
        }
    }
    assert!(other.entry_count() < 200, "{}", other.entry_count());
    assert!(other.all_members().iter().all(|member| member.state != State::Unknown));
}

#[test]
fn tables_stay_small_over_many_restarts() {
    let mut network = Network::new(10, 8);
    for round in 0..40 {
        let broker_number = round % 10;
        network.kill(broker_number);
        network.run_for(8.0);
        network.start(broker_number, 1_000_000);
        network.run_for(4.0);
    }
    assert!(network.run_until_agreed(60.0).is_some());
    for broker_number in 0..10 {
        let entry_count = network.brokers[broker_number].as_ref().unwrap().entry_count();
        assert!(entry_count < 60, "{entry_count}");
    }
    assert!(network.max_sent_per_s() <= MAX_SENT_PER_S, "{}", network.max_sent_per_s());
}

#[test]
#[ignore = "a measurement"]
fn rate_of_false_positives_under_loss() {
    for loss_rate in [0.1, 0.2, 0.3] {
        let (mut events, mut hours) = (0, 0.0);
        for seed in 1..=40 {
            let mut network = Network::new(20, seed);
            network.run_until_agreed(60.0).unwrap();
            (network.loss_rate, network.duplicate_rate, network.max_delay_ms) = (loss_rate, loss_rate, 150.0);
            let from = network.now;
            network.run_for(100.0);
            let mut declared: Vec<BrokerNumber> =
                network.wrongly_declared_down(from, &network.running()).iter().map(|w| w.2).collect();
            declared.sort_unstable();
            declared.dedup();
            events += declared.len();
            hours += 20.0 * 100.0 / 3600.0;
        }
        println!("loss rate {loss_rate}: {events} false positives in {hours:.1} broker-hours");
    }
}

#[test]
#[ignore = "a measurement"]
fn detection_time_and_traffic_by_fleet_size() {
    println!("brokers, seconds until all discover each other, datagrams and bytes per broker and second when stable,");
    println!(
        "seconds until the simultaneous failure of one in twenty is detected, maximum datagrams in a second"
    );
    for members in [3, 10, 30, 100, 300] {
        let mut network = Network::new(members, 1);
        let discovered_s = network.run_until_agreed(600.0);
        network.run_for(30.0);
        let count = |network: &Network| network.datagrams.len() as f64;
        let bytes = |network: &Network| -> f64 {
            network.brokers.iter().flatten().map(|one| one.counts().sent_bytes as f64).sum()
        };
        let (datagrams_before, bytes_before) = (count(&network), bytes(&network));
        network.run_for(20.0);
        let each = f64::from(members) * 20.0;
        let stable = ((count(&network) - datagrams_before) / each, (bytes(&network) - bytes_before) / each);
        (0..members.div_ceil(20)).for_each(|broker_number| network.kill(broker_number));
        let detected_s = network.run_until_agreed(600.0);
        println!(
            "{members}: {discovered_s:?} {:.2} {:.0} {detected_s:?} {}",
            stable.0,
            stable.1,
            network.max_sent_per_s()
        );
    }
}
