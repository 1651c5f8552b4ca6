//! Days of faults: the same seed draws the same day, every kind comes, and what is written is a file that can be read.

use std::collections::BTreeSet;

use gingerledge_system_testkit::fault_days::{FaultDay, Scope, CLOSINGS, KINDS};

const DAYS: u64 = 2_000;
const ALL: Scope = Scope { health: true, only_state: false };

#[test]
fn a_seed_draws_one_day() {
    for seed in 0..50 {
        assert_eq!(FaultDay::draw(seed, ALL), FaultDay::draw(seed, ALL));
    }
    assert_ne!(FaultDay::draw(1, ALL), FaultDay::draw(2, ALL));
}

#[test]
fn every_kind_variant_and_final_fault_comes() {
    let mut drawn = BTreeSet::new();
    let mut closings = BTreeSet::new();
    for seed in 0..DAYS {
        let day = FaultDay::draw(seed, ALL);
        drawn.extend(day.troubles.into_iter().map(|trouble| (trouble.kind, trouble.how)));
        closings.extend(day.closing.map(|closing| (closing.kind, closing.how)));
    }
    for kind in KINDS {
        for variant in kind.variants {
            assert!(drawn.contains(&(kind.name, (*variant).to_owned())), "{}: {variant}", kind.name);
        }
        assert!(drawn.iter().any(|(name, _)| *name == kind.name), "{}", kind.name);
    }
    for (kind, hows) in CLOSINGS {
        for how in *hows {
            assert!(closings.contains(&(*kind, *how)), "{kind}: {how}");
        }
    }
}

#[test]
fn a_kind_may_come_more_than_once_and_at_the_crossing_of_another() {
    let repeated = (0..DAYS).filter(|seed| {
        let troubles = FaultDay::draw(*seed, ALL).troubles;
        let kinds: BTreeSet<_> = troubles.iter().map(|trouble| trouble.kind).collect();
        kinds.len() < troubles.len()
    });
    assert!(repeated.count() > 100);
    let crossing = (0..DAYS).filter(|seed| {
        let troubles = FaultDay::draw(*seed, ALL).troubles;
        troubles.windows(2).any(|pair| pair[1].at_s - pair[0].at_s < 0.2)
    });
    assert!(crossing.count() > 100);
}

#[test]
fn a_day_is_written_as_the_bench_reads_it() {
    let day = FaultDay::draw(7, ALL);
    let text = day.to_string();
    assert!(text.contains("name = \"drawn-7\""));
    assert!(text.contains("seed = 7"));
    for trouble in &day.troubles {
        assert!(text.contains(&format!("kind = \"{}\"", trouble.kind)), "{text}");
    }
    assert_eq!(text.matches('{').count(), text.matches('}').count());
}

#[test]
fn kinds_beyond_the_scope_do_not_come() {
    let drawn = (0..DAYS).flat_map(|seed| FaultDay::draw(seed, Scope::default()).troubles);
    let needing: BTreeSet<_> =
        KINDS.iter().filter(|kind| kind.needs_health_contract).map(|kind| kind.name).collect();
    assert!(!needing.is_empty());
    assert!(drawn.map(|trouble| trouble.kind).all(|kind| !needing.contains(kind)));
    let state = Scope { health: true, only_state: true };
    let drawn = (0..DAYS).flat_map(|seed| FaultDay::draw(seed, state).troubles);
    let strikes_state = |kind| KINDS.iter().any(|known| known.name == kind && known.strikes_state);
    assert!(drawn.map(|trouble| trouble.kind).all(strikes_state));
}
