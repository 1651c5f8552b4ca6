//! Fleets in virtual time, whose zones fail, flap and return by a truth that the test knows: deciders that come and go, brokers that
//! lie, and what the record took, held against the promises.

use std::collections::BTreeMap;

use gingerledge_common::*;
use gingerledge_zones::*;

const TICK: f64 = 100.0;
const ZONES: [&str; 3] = ["A", "B", "C"];

fn bounds() -> Bounds {
    Bounds { rest_ms: 4000.0, again_ms: 20_000.0, well_ms: 1500.0, ..Bounds::default() }
}

struct Fleet {
    record: Record,
    index: u64,
    now: f64,
    brokers: usize,
    liars: usize,
    deciders: Vec<Decider>,
    /// Who decides now.
    decides: usize,
    evidence: Vec<Evidence>,
    /// The share of parts that a zone answers badly, as it is.
    bad: BTreeMap<&'static str, f64>,
    numbers: u64,
    /// When, which zone, from and to which share, and how often it had failed again by then.
    moves: Vec<(f64, String, u16, u16, u32)>,
}

impl Fleet {
    fn new(brokers: usize, liars: usize, capacity_milli: u64) -> Self {
        let mut record = Record::default();
        let sites = ZONES.iter().flat_map(|zone| (0..2).map(move |n| (zone, n)));
        let sites = sites.map(|(zone, n)| SiteFact {
            store: format!("{zone}{n}"),
            zone: (*zone).to_owned(),
            region: if *zone == "C" { "far" } else { "near" }.to_owned(),
            capacity_milli,
            state: StateFact::Listed,
        });
        record.apply(1, &Command::Sites { sites: sites.collect() });
        let held = (0..6u32).map(|block| HeldFact {
            block,
            first: u64::from(block) * 10,
            end: u64::from(block) * 10 + 10,
            holders: (0..3).map(|n| format!("{}{}", ZONES[n], (block as usize + n) % 2)).collect(),
            load_milli: 1000,
        });
        let map =
            Command::Map { at: Version(1), from: 0, to: 1, hash: 0, held: held.collect(), gone: vec![] };
        assert!(matches!(record.apply(2, &map), Answer::Taken { .. }));
        let evidence = || Evidence::new(Weighing::default());
        Self {
            record,
            index: 2,
            now: 0.0,
            brokers,
            liars,
            deciders: vec![Decider::new(bounds()), Decider::new(bounds())],
            decides: 0,
            evidence: vec![evidence(), evidence()],
            bad: ZONES.iter().map(|zone| (*zone, 0.0)).collect(),
            numbers: 0,
            moves: Vec::new(),
        }
    }

    fn again(&self, zone: &str) -> u32 {
        self.record.zone(zone).map_or(0, |zone| zone.again)
    }

    fn share(&self, zone: &str) -> u16 {
        self.record.zone(zone).map_or(0, |zone| zone.permille)
    }

    fn report(&self, broker: usize) -> Report {
        let zone = |zone: &&'static str| {
            let lies = broker < self.liars;
            let bad = if lies { 1.0 - self.bad[*zone] } else { self.bad[*zone] };
            let sent = if lies { 5000.0 } else { 20.0 * f64::from(self.share(zone).max(150)) / 1000.0 };
            let silent = (sent * bad).round() as u32;
            (
                (*zone).to_owned(),
                Counts { in_aim: sent as u32 - silent.min(sent as u32), silent, ..Counts::default() },
            )
        };
        let from = ZONES[broker % 3].to_owned();
        Report { broker: broker as u32, from, number: self.numbers, zones: ZONES.iter().map(zone).collect() }
    }

    fn step(&mut self) {
        self.now += TICK;
        if ((self.now / TICK) as u64).is_multiple_of(10) {
            self.numbers += 1;
            for broker in 0..self.brokers {
                let report = self.report(broker);
                self.evidence.iter_mut().for_each(|evidence| evidence.hear(self.now, report.clone()));
            }
        }
        for n in 0..self.deciders.len() {
            let proposed =
                self.deciders[n].tick(self.now, &self.record, &mut self.evidence[n], self.decides == n);
            for Proposed { zone, command } in proposed {
                let (was, again) = (self.share(&zone), self.again(&zone));
                self.index += 1;
                if let Answer::Taken { .. } = self.record.apply(self.index, &command) {
                    self.moves.push((self.now, zone.clone(), was, self.share(&zone), again));
                }
            }
        }
    }

    fn until(&mut self, there: impl Fn(&Self) -> bool) {
        for _ in 0..4000 {
            if there(self) {
                return;
            }
            self.step();
        }
        panic!("not there after 400 s: {:?}", self.moves);
    }

    fn run(&mut self, ms: f64) {
        (0..(ms / TICK) as u32).for_each(|_| self.step());
    }

    fn moves_of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (f64, bool, u32)> + 'a {
        let of = self.moves.iter().filter(move |(_, name, ..)| name == zone);
        of.map(|(at, _, was, is, again)| (*at, is > was, *again))
    }

    /// Between two moves of one zone in opposite directions lies the rest, doubled for each time it failed again.
    fn holds_rest(&self) {
        for zone in ZONES {
            let moves: Vec<_> = self.moves_of(zone).collect();
            for pair in moves.windows(2).filter(|pair| pair[0].1 != pair[1].1) {
                let rest = bounds().rest_ms * f64::from(1 << pair[1].2.min(bounds().doubled_most));
                assert!(pair[1].0 - pair[0].0 >= rest, "{zone} swings: {pair:?}");
            }
        }
    }
}

#[test]
fn a_zone_that_is_lost_is_led_away_in_steps_and_back_once_it_is_well() {
    let mut fleet = Fleet::new(6, 0, 10_000);
    fleet.run(3000.0);
    assert!(fleet.moves.is_empty(), "while all is well nothing moves: {:?}", fleet.moves);
    fleet.bad.insert("B", 1.0);
    fleet.run(6000.0);
    let steps: Vec<u16> = fleet.moves.iter().map(|(_, _, _, is, _)| *is).collect();
    assert_eq!(steps, [750, 500, 250, bounds().least_permille]);
    assert_eq!(fleet.deciders[0].phase(&fleet.record, "B"), Some(Phase::Away));
    fleet.bad.insert("B", 0.0);
    fleet.run(20_000.0);
    assert_eq!(fleet.share("B"), 1000);
    assert_eq!(fleet.deciders[0].phase(&fleet.record, "B"), Some(Phase::Near));
    assert_eq!((fleet.share("A"), fleet.share("C")), (1000, 1000));
    fleet.holds_rest();
}

#[test]
fn where_the_others_have_no_room_a_zone_keeps_what_they_cannot_carry() {
    // Two stores a zone, 1.0 of work falls on each store; the others have 0.25 each to spare.
    let mut fleet = Fleet::new(6, 0, 1250);
    fleet.bad.insert("B", 1.0);
    fleet.run(20_000.0);
    let left = fleet.share("B");
    assert!((500..1000).contains(&left), "{left}");
    let carries = fleet.record.coverage().zone_loads(&Default::default(), &fleet.record_least());
    assert!(carries.values().all(|room| room.is_within_limit()), "{carries:?}");
}

impl Fleet {
    fn record_least(&self) -> gingerledge_coverage::Requirements {
        gingerledge_coverage::Requirements { holders: 1, zones: 1, headroom: 0.0 }
    }
}

#[test]
fn a_zone_that_flaps_moves_ever_more_seldom_and_never_swings() {
    let mut fleet = Fleet::new(6, 0, 10_000);
    let mut counts = Vec::new();
    for _ in 0..6 {
        let before = fleet.moves.len();
        for _ in 0..10 {
            fleet.bad.insert("B", 1.0);
            fleet.run(2500.0);
            fleet.bad.insert("B", 0.0);
            fleet.run(3500.0);
        }
        counts.push(fleet.moves.len() - before);
    }
    fleet.holds_rest();
    assert!(counts.last() < counts.first(), "{counts:?}");
}

#[test]
fn a_zone_that_fails_again_whenever_it_is_back_rests_twice_as_long_each_time() {
    let mut fleet = Fleet::new(6, 0, 10_000);
    for _ in 0..4 {
        fleet.bad.insert("B", 1.0);
        fleet.until(|fleet| fleet.share("B") <= bounds().least_permille);
        fleet.bad.insert("B", 0.0);
        fleet.until(|fleet| fleet.share("B") == WHOLE);
    }
    fleet.holds_rest();
    assert!(fleet.again("B") >= 2, "it failed again {} times", fleet.again("B"));
}

#[test]
fn all_zones_a_little_bad_move_nothing() {
    let mut fleet = Fleet::new(6, 0, 10_000);
    for zone in ZONES {
        fleet.bad.insert(zone, 0.3);
    }
    fleet.run(20_000.0);
    assert!(fleet.moves.is_empty(), "{:?}", fleet.moves);
}

#[test]
fn liars_with_most_of_the_traffic_move_nothing_and_hold_nothing_up() {
    for liars in 1..=2 {
        let mut fleet = Fleet::new(9, liars, 10_000);
        fleet.run(20_000.0);
        assert!(fleet.moves.is_empty(), "{liars} liars: {:?}", fleet.moves);
        fleet.bad.insert("B", 1.0);
        fleet.run(8000.0);
        assert_eq!(fleet.share("B"), bounds().least_permille, "{liars} liars");
    }
}

#[test]
fn who_takes_over_waits_in_full_and_a_second_decider_has_no_say() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(6, 0, 10_000);
        for _ in 0..40 {
            let zone = ZONES[rng.usize(..3)];
            fleet.bad.insert(zone, if rng.bool() { 1.0 } else { 0.0 });
            // Deciders follow one another, begin anew, and both believe to be the one for a while.
            match rng.u32(0..6) {
                0 => fleet.decides = 1 - fleet.decides,
                1 => fleet.deciders[fleet.decides] = Decider::new(bounds()),
                2 => fleet.evidence[fleet.decides] = Evidence::new(Weighing::default()),
                _ => {}
            }
            fleet.run(rng.f64() * 4000.0);
            if rng.u32(0..4) == 0 {
                // A command of the other, from what it had seen a while ago.
                let other = 1 - fleet.decides;
                let late =
                    fleet.deciders[other].tick(fleet.now, &fleet.record, &mut fleet.evidence[other], true);
                fleet.run(1000.0);
                for Proposed { zone, command } in late {
                    let (was, again) = (fleet.share(&zone), fleet.again(&zone));
                    fleet.index += 1;
                    if let Answer::Taken { .. } = fleet.record.apply(fleet.index, &command) {
                        if fleet.share(&zone) != was {
                            fleet.moves.push((fleet.now, zone.clone(), was, fleet.share(&zone), again));
                        }
                    }
                }
            }
        }
        let swings = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| fleet.holds_rest()));
        assert!(swings.is_ok(), "seed {seed}");
    }
}
