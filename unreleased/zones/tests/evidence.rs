//! What reports say together: liars, giants, and words of one zone alone move nothing; reports are bounded and die.

use gingerledge_zones::*;

fn counts(good: u32, silent: u32) -> Counts {
    Counts { in_aim: good, silent, ..Counts::default() }
}

fn report(broker: u32, from: &str, number: u64, good: u32, silent: u32) -> Report {
    Report { broker, from: from.into(), number, zones: vec![("B".into(), counts(good, silent))] }
}

/// Brokers with so many good and silent parts to zone B, each in one of the zones A, B, C by turns.
fn heard(said: &[(u32, u32)]) -> Evidence {
    let mut evidence = Evidence::new(Weighing::default());
    for (n, (good, silent)) in said.iter().enumerate() {
        evidence.hear(0.0, report(n as u32, ["A", "B", "C"][n % 3], 1, *good, *silent));
    }
    evidence
}

#[test]
fn many_that_see_a_zone_fail_say_so_and_many_that_see_it_well() {
    assert_eq!(heard(&[(0, 20); 6]).judge(0.0, "B"), Judged::Fails);
    assert_eq!(heard(&[(20, 0); 6]).judge(0.0, "B"), Judged::Well);
    assert_eq!(heard(&[(14, 6); 6]).judge(0.0, "B"), Judged::Unclear);
    assert_eq!(heard(&[(0, 20); 6]).judge(0.0, "C"), Judged::Unclear, "nobody sent it anything");
}

#[test]
fn neither_a_liar_nor_two_nor_a_giant_moves_a_zone() {
    for brokers in 3..=12usize {
        for liars in 1..=2usize {
            for traffic in [1, 20, 1000, 100_000] {
                for (honest, lie) in [((20, 0), (0, traffic)), ((0, 20), (traffic, 0))] {
                    let mut said = vec![honest; brokers];
                    said[..liars].fill(lie);
                    let judged = heard(&said).judge(0.0, "B");
                    let lied = if lie.0 == 0 { Judged::Fails } else { Judged::Well };
                    assert_ne!(judged, lied, "{liars} of {brokers} that sent {traffic} had their way");
                }
            }
        }
    }
}

#[test]
fn fifty_times_the_traffic_does_not_outweigh_the_others() {
    let mut said = vec![(20, 0); 9];
    said[0] = (0, 1000);
    assert_eq!(heard(&said).judge(0.0, "B"), Judged::Well);
}

#[test]
fn words_of_one_zone_alone_do_not_suffice() {
    let mut evidence = Evidence::new(Weighing::default());
    (0..6).for_each(|n| evidence.hear(0.0, report(n, "A", 1, 0, 20)));
    assert_eq!(evidence.judge(0.0, "B"), Judged::Unclear);
    evidence.hear(0.0, report(6, "C", 1, 0, 20));
    assert_eq!(evidence.judge(0.0, "B"), Judged::Fails);
}

#[test]
fn evidence_dies_and_old_reports_that_come_again_are_not_heard() {
    let keep = Weighing::default().evidence_ms;
    let mut evidence = heard(&[(0, 20); 6]);
    assert_eq!(evidence.judge(keep, "B"), Judged::Fails);
    (0..6).for_each(|n| evidence.hear(keep, report(n, ["A", "B", "C"][n as usize % 3], 1, 0, 20)));
    assert_eq!(evidence.judge(keep + 1.0, "B"), Judged::Unclear);
    assert_eq!(evidence.brokers(), 0);
}

#[test]
fn brokers_that_sent_next_to_nothing_say_nothing() {
    assert_eq!(heard(&[(0, 2); 12]).judge(0.0, "B"), Judged::Unclear);
}

#[test]
fn no_more_reports_are_held_than_may_be() {
    let weighing = Weighing { brokers_most: 5, ..Weighing::default() };
    let mut evidence = Evidence::new(weighing);
    (0..100).for_each(|n| evidence.hear(0.0, report(n, "A", 1, 0, 20)));
    assert_eq!(evidence.brokers(), 5);
}

#[test]
fn a_report_of_many_zones_fits_a_datagram_and_keeps_the_busiest() {
    let mut tally = Tally::new(7, "A", 1000.0, 64, 0.0);
    for n in 0..100u32 {
        (0..=n).for_each(|_| tally.ended(&format!("a-zone-with-a-name-{n}"), Fate::Refused));
    }
    assert!(tally.report(999.0).is_none());
    let report = tally.report(1000.0).unwrap_or_default();
    assert_eq!(report.zones.len(), 64);
    let bytes = report.encode();
    assert!(bytes.len() <= REPORT_MAX);
    let read = Report::decode(&bytes).unwrap_or_default();
    assert_eq!(read.zones[0].0, "a-zone-with-a-name-63");
    assert!(read.zones.len() >= 5);
    assert!(tally.report(2000.0).is_some_and(|next| next.zones.is_empty() && next.number == 2));
    assert_eq!(Report::decode(&[bytes.clone(), vec![0]].concat()), None);
    assert_eq!(Report::decode(&vec![0; 300]), None);
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..20_000 {
        let mut bad = bytes.clone();
        let at = rng.usize(..bad.len());
        bad[at] = rng.u8(..);
        bad.truncate(rng.usize(..=bad.len()));
        let _ = Report::decode(&bad);
    }
}
