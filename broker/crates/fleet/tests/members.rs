//! Membership in virtual time: a network by seed, brokers that are killed, stopped, restarted, cut off and lied to.

#![allow(clippy::unwrap_used)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fastrand::Rng;
use gingerledge_fleet::{Change, Fault, Members, Number, Settings, State, DATAGRAM_MOST};

const PROBE_MS: f64 = 1000.0;
const SENT_PER_S: f64 = 20.0;

fn settings(members: Number, own: Number) -> Settings {
    Settings { members, own, probe_ms: PROBE_MS, answer_ms: 300.0, sent_per_s: SENT_PER_S }
}

/// A datagram under way: when it comes (microseconds), its number, from whom, to whom.
type Coming = Reverse<(u64, u64, Number, Number, Vec<u8>)>;

struct Net {
    now: f64,
    rng: Rng,
    brokers: Vec<Option<Members>>,
    /// Stands still until then.
    stopped: Vec<f64>,
    coming: BinaryHeap<Coming>,
    number: u64,
    lost: f64,
    twice: f64,
    slow_ms: f64,
    /// Which side of a cut a broker is on; and whether the first side hears the second.
    side: Vec<u8>,
    one_way: bool,
    /// By broker, when it sent; and to whom, in all.
    sent: Vec<Vec<f64>>,
    said: Vec<(f64, Number, Number)>,
    changes: Vec<(f64, Number, Change)>,
}

impl Net {
    fn new(members: Number, seed: u64) -> Self {
        let count = usize::from(members);
        let mut net = Self {
            now: 0.0,
            rng: Rng::with_seed(seed),
            brokers: (0..count).map(|_| None).collect(),
            stopped: vec![0.0; count],
            coming: BinaryHeap::new(),
            number: 0,
            lost: 0.0,
            twice: 0.0,
            slow_ms: 20.0,
            side: vec![0; count],
            one_way: false,
            sent: vec![Vec::new(); count],
            said: Vec::new(),
            changes: Vec::new(),
        };
        (0..members).for_each(|who| net.start(who, 1_000_000));
        net
    }

    fn start(&mut self, who: Number, start: u64) {
        let members = self.brokers.len() as Number;
        let seed = self.rng.u64(..);
        let start = start + self.now as u64;
        self.brokers[usize::from(who)] = Some(Members::new(settings(members, who), start, seed, self.now));
    }

    fn kill(&mut self, who: Number) {
        self.brokers[usize::from(who)] = None;
    }

    fn collect(&mut self, who: Number) {
        let Some(broker) = &mut self.brokers[usize::from(who)] else { return };
        self.changes.extend(broker.changes().into_iter().map(|change| (self.now, who, change)));
        let outgoing: Vec<_> = broker.outgoing().collect();
        for (to, bytes) in outgoing {
            assert!(bytes.len() <= DATAGRAM_MOST);
            self.sent[usize::from(who)].push(self.now);
            self.said.push((self.now, who, to));
            let (from_side, to_side) = (self.side[usize::from(who)], self.side[usize::from(to)]);
            let cut = from_side != to_side && !(self.one_way && from_side > to_side);
            if cut || self.rng.f64() < self.lost {
                continue;
            }
            for _ in 0..1 + usize::from(self.rng.f64() < self.twice) {
                let at = ((self.now + 1.0 + self.slow_ms * self.rng.f64()) * 1000.0) as u64;
                self.number += 1;
                self.coming.push(Reverse((at, self.number, who, to, bytes.clone())));
            }
        }
    }

    /// Lets so many seconds pass.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + 1000.0 * seconds;
        // In steps of 5 ms, as a host might come late by.
        while self.now < end {
            self.now += 5.0;
            // Who wakes finds its timers before its letters.
            for who in 0..self.brokers.len() as Number {
                if self.stopped[usize::from(who)] > self.now {
                    continue;
                }
                if let Some(broker) = &mut self.brokers[usize::from(who)] {
                    if broker.due() <= self.now {
                        broker.turn(self.now);
                        self.collect(who);
                    }
                }
            }
            while self.coming.peek().is_some_and(|Reverse(next)| next.0 as f64 / 1000.0 <= self.now) {
                let Some(Reverse((at, number, from, to, bytes))) = self.coming.pop() else { break };
                let until = self.stopped[usize::from(to)];
                if until > self.now {
                    // It waits in the socket.
                    self.coming.push(Reverse(((until * 1000.0) as u64 + 1, number, from, to, bytes)));
                    let _ = at;
                    continue;
                }
                if let Some(broker) = &mut self.brokers[usize::from(to)] {
                    broker.hear(from, &bytes, self.now).unwrap();
                    self.collect(to);
                }
            }
        }
    }

    fn living(&self, who: Number) -> Vec<Number> {
        self.brokers[usize::from(who)].as_ref().unwrap().living()
    }

    fn up(&self) -> Vec<Number> {
        (0..self.brokers.len() as Number).filter(|who| self.brokers[usize::from(*who)].is_some()).collect()
    }

    /// Seconds until all that are up see just each other; nothing if that takes longer than so many.
    fn agreed(&mut self, within: f64) -> Option<f64> {
        let (from, up) = (self.now, self.up());
        while self.now < from + 1000.0 * within {
            if up.iter().all(|who| self.living(*who) == up) {
                return Some((self.now - from) / 1000.0);
            }
            self.pass(0.25);
        }
        None
    }

    /// The most datagrams that any broker sent within a second.
    fn most_sent(&self) -> usize {
        let most = |times: &Vec<f64>| {
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
        self.sent.iter().filter_map(most).max().unwrap_or(0)
    }

    /// Who was said to be gone from a time on, though it was up all the while.
    fn wronged(&self, from: f64, well: &[Number]) -> Vec<(f64, Number, Number)> {
        let left = |(at, who, change): &(f64, Number, Change)| match change {
            Change::Left(number) if *at >= from && well.contains(number) => Some((*at, *who, *number)),
            _ => None,
        };
        self.changes.iter().filter_map(left).collect()
    }
}

/// At once a bucket's worth, and within a second another.
const MOST: usize = 2 * SENT_PER_S as usize;

/// How long a fleet of so many takes, in seconds, to see that some are gone: to probe each, to suspect, to pass it on.
fn bound(members: Number) -> f64 {
    let spread = 4.0 * f64::from(members).log2();
    let suspect = settings(members, 0).suspect_ms() / 1000.0;
    f64::from(members).min(40.0) + suspect + spread
}

#[test]
fn all_find_each_other_at_any_size_within_the_bound_on_datagrams() {
    for members in [3, 30, 120] {
        let mut net = Net::new(members, 5);
        let took = net.agreed(60.0);
        assert!(took.is_some_and(|took| took < 30.0), "{members}: {took:?}, seed 5");
        net.pass(10.0);
        assert!(net.most_sent() <= MOST, "{members}: {}", net.most_sent());
        // At rest: a probe and its answer, now and then one more.
        let at = net.now;
        net.pass(20.0);
        let sent: usize = net.sent.iter().flatten().filter(|sent| **sent > at).count();
        let each = sent as f64 / f64::from(members) / 20.0;
        assert!(each < 4.0, "{members}: {each} a second");
        assert!(net.wronged(0.0, &net.up()).is_empty());
    }
}

#[test]
fn a_third_killed_at_once_is_seen_by_all_and_its_return_too() {
    for seed in [1, 2] {
        let mut net = Net::new(30, seed);
        net.agreed(60.0).unwrap();
        let killed_at = net.now;
        (0..10).for_each(|who| net.kill(who));
        let took = net.agreed(bound(30));
        assert!(took.is_some(), "seed {seed}");
        assert!(net.wronged(killed_at, &net.up()).is_empty(), "seed {seed}");
        (0..10).for_each(|who| net.start(who, 1_000_000));
        assert!(net.agreed(30.0).is_some(), "seed {seed}");
        // All at once, none with any memory.
        (0..30).for_each(|who| net.start(who, 1_000_000));
        assert!(net.agreed(60.0).is_some(), "seed {seed}");
        assert!(net.most_sent() <= MOST, "{}, seed {seed}", net.most_sent());
    }
}

#[test]
fn with_a_third_of_datagrams_lost_doubled_and_reordered_outages_are_seen_and_the_sound_come_back() {
    for seed in 1..=8 {
        let mut net = Net::new(20, seed);
        net.agreed(60.0).unwrap();
        (net.lost, net.twice, net.slow_ms) = (0.3, 0.3, 150.0);
        net.pass(20.0);
        let from = net.now;
        net.kill(4);
        net.kill(11);
        net.pass(bound(20) * 2.0);
        let up = net.up();
        for who in &up {
            let living = net.living(*who);
            assert!(!living.contains(&4) && !living.contains(&11), "{who} sees {living:?}, seed {seed}");
        }
        let wronged = net.wronged(from, &up);
        assert!(wronged.is_empty(), "{wronged:?}, seed {seed}");
        (net.lost, net.twice) = (0.0, 0.0);
        assert!(net.agreed(60.0).is_some(), "seed {seed}");
        assert!(net.most_sent() <= MOST, "{}, seed {seed}", net.most_sent());
    }
}

#[test]
fn halves_cut_off_from_each_other_see_themselves_and_one_fleet_after_it() {
    for (seed, one_way) in [(1, false), (2, true)] {
        let mut net = Net::new(24, seed);
        net.agreed(60.0).unwrap();
        (0..12).for_each(|who| net.side[who] = 1);
        net.one_way = one_way;
        net.pass(60.0);
        if !one_way {
            assert_eq!(net.living(0), (0..12).collect::<Vec<_>>(), "seed {seed}");
            assert_eq!(net.living(20), (12..24).collect::<Vec<_>>(), "seed {seed}");
        }
        net.side = vec![0; 24];
        let healed = net.agreed(60.0);
        assert!(healed.is_some(), "seed {seed}");
        assert!(net.most_sent() <= MOST, "no storm: {}, seed {seed}", net.most_sent());
    }
}

#[test]
fn who_stood_still_blames_nobody_and_comes_back() {
    for seed in [1, 2, 3] {
        let mut net = Net::new(12, seed);
        net.agreed(60.0).unwrap();
        let from = net.now;
        net.stopped[5] = net.now + 40_000.0;
        net.pass(39.0);
        assert!(!net.living(0).contains(&5), "seed {seed}");
        net.pass(2.0);
        assert!(net.agreed(30.0).is_some(), "seed {seed}");
        let others: Vec<Number> = (0..12).filter(|who| *who != 5).collect();
        let wronged = net.wronged(from, &others);
        assert!(wronged.is_empty(), "{wronged:?}, seed {seed}");
        let paused = |change: &(f64, Number, Change)| change.1 == 5 && matches!(change.2, Change::Paused(_));
        assert!(net.changes.iter().any(paused), "seed {seed}");
    }
}

#[test]
fn who_stood_still_in_the_midst_of_a_suspicion_hears_the_refutation_first() {
    let mut caught = 0;
    for seed in 1..20 {
        let mut net = Net::new(8, seed);
        net.agreed(60.0).unwrap();
        let from = net.now;
        net.stopped[7] = 1e9;
        let suspects = |net: &Net| net.brokers[5].as_ref().unwrap().all()[7].state == State::Suspect;
        while !suspects(&net) && net.now < from + 20_000.0 {
            net.pass(0.05);
        }
        caught += usize::from(suspects(&net));
        // The one that was missed goes on; the one that missed it stands still for longer than a suspect has.
        net.stopped[7] = 0.0;
        net.stopped[5] = net.now + 30_000.0;
        net.pass(60.0);
        let wronged = net.wronged(from, &[0, 1, 2, 3, 4, 6, 7]);
        let by_it: Vec<_> = wronged.iter().filter(|(_, who, _)| *who == 5).collect();
        assert!(by_it.is_empty(), "{by_it:?}, seed {seed}");
    }
    assert!(caught > 10, "{caught}");
}

#[test]
fn who_is_heard_is_not_taken_for_gone_though_it_does_not_answer() {
    let mut net = Net::new(2, 9);
    net.agreed(60.0).unwrap();
    // What 0 says does not reach 1, what 1 says does reach 0.
    net.side = vec![0, 1];
    net.one_way = true;
    net.pass(60.0);
    assert!(net.living(0).contains(&1));
    assert!(net.wronged(0.0, &[1]).is_empty());
    assert!(!net.living(1).contains(&0), "the other hears nothing");
}

#[test]
fn who_hears_nobody_waits_longer_before_it_takes_others_for_gone() {
    let mut net = Net::new(10, 11);
    net.agreed(60.0).unwrap();
    let from = net.now;
    net.side[0] = 1;
    net.pass(60.0);
    let others: Vec<Number> = (1..10).collect();
    let first = net.wronged(from, &others).into_iter().find(|(_, who, _)| *who == 0).unwrap();
    let waited = first.0 - from;
    assert!(waited > 2.0 * settings(10, 0).suspect_ms(), "{waited} ms");
}

#[test]
fn a_suspect_is_asked_itself_before_it_is_taken_for_gone() {
    let mut net = Net::new(40, 10);
    net.agreed(60.0).unwrap();
    net.kill(17);
    let suspects = |net: &Net, who: Number| {
        net.brokers[usize::from(who)].as_ref().is_some_and(|one| one.all()[17].state == State::Suspect)
    };
    while !net.up().iter().any(|who| suspects(&net, *who)) {
        net.pass(0.05);
    }
    let from = net.now;
    net.pass(settings(40, 0).suspect_ms() / 1000.0);
    // By the one whose probe failed; the others have said a word or two to it by chance.
    let asked =
        |who: &Number| net.said.iter().filter(|(at, by, to)| *at > from && *by == *who && *to == 17).count();
    let most = net.up().iter().map(asked).max().unwrap();
    assert!(most >= 7, "{most}");
}

#[test]
fn a_name_comes_back_though_its_clock_went_back_an_hour() {
    let mut net = Net::new(8, 3);
    (0..8).for_each(|who| net.start(who, 10_000_000));
    net.agreed(60.0).unwrap();
    net.kill(2);
    net.pass(30.0);
    // Nobody speaks of its last start any more, and all remember it.
    net.start(2, 10_000_000 - 3_600_000);
    assert!(net.agreed(10.0).is_some());
    assert!(net.most_sent() <= MOST, "{}", net.most_sent());
    // And while the others still take its last start for alive.
    net.start(2, 10_000_000 - 7_200_000);
    assert!(net.agreed(10.0).is_some());
}

#[test]
fn who_says_good_bye_is_gone_at_once() {
    let mut net = Net::new(10, 4);
    net.agreed(60.0).unwrap();
    let now = net.now;
    let broker = net.brokers[3].as_mut().unwrap();
    broker.leave(now);
    // It goes on being called for a while, and time goes on.
    for _ in 0..10 {
        let due = broker.due();
        broker.turn(due);
        assert!(broker.due() > due, "who is called when due is not due at once again");
    }
    net.collect(3);
    net.kill(3);
    let took = net.agreed(10.0);
    assert!(took.is_some_and(|took| took < settings(10, 0).suspect_ms() / 1000.0), "{took:?}");
}

#[test]
fn what_is_not_its_senders_or_no_datagram_at_all_changes_nothing() {
    let mut net = Net::new(5, 6);
    net.agreed(60.0).unwrap();
    let now = net.now;
    let broker = net.brokers[0].as_mut().unwrap();
    broker.turn(now + 500.0);
    let (to, bytes) = loop {
        broker.turn(broker.due());
        let next = broker.outgoing().next();
        if let Some(next) = next {
            break next;
        }
    };
    let other = net.brokers[usize::from(to)].as_mut().unwrap();
    let before = other.all();
    assert_eq!(other.hear(3, &bytes, now), Err(Fault::Impostor { from: 3, said: 0 }));
    assert_eq!(other.hear(0, &[0; 300], now), Err(Fault::Long(300)));
    let mut rng = Rng::with_seed(6);
    for _ in 0..20_000 {
        let mut noise: Vec<u8> = match rng.bool() {
            true => bytes.clone(),
            false => (0..rng.usize(..DATAGRAM_MOST)).map(|_| rng.u8(..)).collect(),
        };
        for _ in 0..rng.usize(1..4) {
            if !noise.is_empty() {
                let at = rng.usize(..noise.len());
                noise[at] = rng.u8(..);
            }
        }
        noise.truncate(rng.usize(..=noise.len()));
        // Whatever it is: no panic, and from a stranger's number no change.
        let _ = other.hear(4, &noise, now);
        if noise.first() == Some(&1) && noise.get(1..3) == Some(&[0, 0]) {
            assert_eq!(other.all(), before);
        }
    }
    assert!(other.sizes() < 200, "{}", other.sizes());
    assert!(other.all().iter().all(|member| member.state != State::Unknown));
}

#[test]
fn tables_stay_small_over_a_long_time_of_coming_and_going() {
    let mut net = Net::new(10, 8);
    for round in 0..40 {
        let who = round % 10;
        net.kill(who);
        net.pass(8.0);
        net.start(who, 1_000_000);
        net.pass(4.0);
    }
    assert!(net.agreed(60.0).is_some());
    for who in 0..10 {
        let sizes = net.brokers[who].as_ref().unwrap().sizes();
        assert!(sizes < 60, "{sizes}");
    }
    assert!(net.most_sent() <= MOST, "{}", net.most_sent());
}

#[test]
#[ignore = "a measurement"]
fn how_often_a_sound_one_is_taken_for_gone_under_loss() {
    for lost in [0.1, 0.2, 0.3] {
        let (mut events, mut hours) = (0, 0.0);
        for seed in 1..=40 {
            let mut net = Net::new(20, seed);
            net.agreed(60.0).unwrap();
            (net.lost, net.twice, net.slow_ms) = (lost, lost, 150.0);
            let from = net.now;
            net.pass(100.0);
            let mut who: Vec<Number> = net.wronged(from, &net.up()).iter().map(|w| w.2).collect();
            who.sort_unstable();
            who.dedup();
            events += who.len();
            hours += 20.0 * 100.0 / 3600.0;
        }
        println!("lost {lost}: {events} in {hours:.1} hours of one broker");
    }
}

#[test]
#[ignore = "a measurement"]
fn how_long_news_takes_and_what_it_costs_by_size() {
    println!("brokers, seconds until all find each other, datagrams and bytes a broker a second at rest,");
    println!("seconds until one in twenty that end at once are seen, the most datagrams in a second");
    for members in [3, 10, 30, 100, 300] {
        let mut net = Net::new(members, 1);
        let found = net.agreed(600.0);
        net.pass(30.0);
        let count = |net: &Net| net.said.len() as f64;
        let bytes =
            |net: &Net| -> f64 { net.brokers.iter().flatten().map(|one| one.counts().bytes as f64).sum() };
        let (said, weighed) = (count(&net), bytes(&net));
        net.pass(20.0);
        let each = f64::from(members) * 20.0;
        let rest = ((count(&net) - said) / each, (bytes(&net) - weighed) / each);
        (0..members.div_ceil(20)).for_each(|who| net.kill(who));
        let seen = net.agreed(600.0);
        println!("{members}: {found:?} {:.2} {:.0} {seen:?} {}", rest.0, rest.1, net.most_sent());
    }
}
