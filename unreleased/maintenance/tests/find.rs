//! Windows found: taken by the record in their order, none earlier, by night where the day has no room, beside what is booked.

#![allow(clippy::unwrap_used)]

#[path = "../../common/tests/fleet/mod.rs"]
mod fleet;

use fleet::*;
use gingerledge_common::*;
use gingerledge_maintenance::*;

const HOUR: u64 = 3_600_000;
const MONDAY: u64 = 1_767_571_200_000;
/// The week after that which was counted.
const NEXT: u64 = MONDAY + 14 * 24 * HOUR;

/// Nine stores in three zones, 18 blocks at three of them each, one in each zone; all use `used` of a thousand.
fn nine(rng: &mut fastrand::Rng, used: u64) -> Record {
    let mut record = Record::default();
    let sites =
        (0..9).map(|s| site(&format!("s{s}"), ["A", "B", "C"][s % 3], "near", 10_000, StateFact::Listed));
    taken(record.apply(1, &Command::Sites { sites: sites.collect() }));
    let blocks = (0..18_u64).map(|b| {
        let holders: Vec<String> = (0..3).map(|zone| format!("s{}", zone + 3 * rng.usize(0..3))).collect();
        let holders: Vec<&str> = holders.iter().map(String::as_str).collect();
        held(b as u32, b * 10, b * 10 + 10, &holders, 90_000 * used / 1000 / 18)
    });
    let held = blocks.collect();
    taken(record.apply(2, &Command::Map { at: Version(1), from: 0, to: 1, hash: 1, held, gone: vec![] }));
    record
}

/// By day, from noon on, thrice the load of the night.
fn by_day() -> Profile {
    let (mut counter, mut profile) = (Counter::default(), Profile::new(4, 2000));
    for hour in 0..=HOURS as u64 + 1 {
        counter.count(MONDAY + hour * HOUR, if hour % 24 < 12 { 50 } else { 150 });
    }
    profile.take("one", counter.week());
    profile
}

fn ask(goal: Goal, from: u64, hours: u64) -> Ask {
    let stores = (0..9).map(|s| format!("s{s}")).collect();
    let least = LeastFact { holders: 1, zones: 1, headroom_permille: 100 };
    let (length_ms, step_ms, warm_ms) = (2 * HOUR, HOUR, HOUR / 2);
    let until_unix_ms = from + hours * HOUR;
    Ask {
        stores,
        length_ms,
        from_unix_ms: from,
        until_unix_ms,
        step_ms,
        warm_ms,
        least,
        by: "op".into(),
        goal,
    }
}

fn booked(record: &mut Record, plan: &Plan) -> Answer {
    let index = record.version().0 + 1;
    record.apply(index, &Command::Book { at: record.version(), plan: plan.clone() })
}

#[test]
fn what_is_found_is_taken_in_order_and_no_wave_could_begin_a_step_earlier() {
    let (mut ended, mut refused) = (0, 0);
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let used = rng.u64(150..500);
        let mut record = nine(&mut rng, used);
        // Another operator's window stands already.
        let other = plan(&[&format!("s{}", rng.u32(0..9))], NEXT + 3 * HOUR, 6 * HOUR, least(2, 1));
        let _ = booked(&mut record, &other);
        for goal in [Goal::Earliest, Goal::Fewest] {
            let ask = ask(goal, NEXT + rng.u64(0..24) * HOUR, 160);
            let found = match find(&record, &by_day(), &ask, &Effort::default(), 1000, NEXT) {
                Ok(found) => found,
                Err(NotFound::Never { .. }) => continue,
                Err(other) => panic!("seed {seed}: {other}"),
            };
            assert!(found.at_least <= found.windows.len(), "seed {seed}");
            let mut real = Record::restore(&record.snapshot()).unwrap();
            let mut left: Vec<String> = ask.stores.clone();
            let mut free = ask.from_unix_ms;
            for window in &found.windows {
                let mut earlier = window.plan.clone();
                earlier.from_unix_ms -= ask.step_ms;
                if earlier.from_unix_ms >= free {
                    earlier.least = scaled(
                        ask.least,
                        by_day().forecast(earlier.from_unix_ms, ask.length_ms, NEXT).permille,
                    );
                    let would = real.would(&Command::Book { at: real.version(), plan: earlier });
                    assert!(matches!(would, Answer::Refused { .. }), "seed {seed}: {window:?}");
                    assert!(matches!(window.why, Why::Refused(_)), "seed {seed}: {window:?}");
                    refused += 1;
                }
                taken(booked(&mut real, &window.plan));
                left.retain(|store| !window.plan.stores.contains(store));
                free = window.plan.end_unix_ms() + ask.warm_ms;
                assert!(window.plan.end_unix_ms() <= ask.until_unix_ms);
            }
            assert!(left.is_empty(), "seed {seed}: {left:?}");
            ended += 1;
        }
    }
    println!("{ended} asks, {refused} windows that wait for a time");
    assert!(ended > 30 && refused > 10, "{ended} asks, {refused} windows that wait");
}

#[test]
fn a_busy_day_is_waited_out_and_a_short_frame_says_who_is_left() {
    // By day 1.5 of the mean 0.5: with one store of nine away its zone has no room for that.
    let record = nine(&mut fastrand::Rng::with_seed(1), 500);
    let noon = ask(Goal::Fewest, NEXT + 12 * HOUR, 150);
    let found = find(&record, &by_day(), &noon, &Effort::default(), 1000, NEXT).unwrap();
    let first = &found.windows[0];
    assert_eq!(first.plan.from_unix_ms, NEXT + 24 * HOUR);
    let Why::Refused(Refusal::Uncovered { example, .. }) = &first.why else { panic!("{first:?}") };
    assert!(example.short.contains("room"), "{example:?}");
    let few =
        find(&record, &by_day(), &ask(Goal::Fewest, NEXT + 12 * HOUR, 10), &Effort::default(), 1000, NEXT);
    let Err(NotFound::Never { store, why }) = few else { panic!("{few:?}") };
    assert!(why.to_string().contains("room") && store.starts_with('s'), "{store}: {why}");
    let short =
        find(&record, &by_day(), &ask(Goal::Fewest, NEXT + 12 * HOUR, 14), &Effort::default(), 1000, NEXT);
    let Err(NotFound::Frame { found, left, .. }) = short else { panic!("{short:?}") };
    assert_eq!((found.len(), left.is_empty()), (1, false));
    let fine = find(&record, &by_day(), &noon, &Effort::default(), 10, NEXT);
    assert!(matches!(fine, Err(NotFound::Steps { steps: 149, most: 10 })), "{fine:?}");
}

#[test]
fn a_forecast_goes_in_as_headroom_rounded_to_the_safe_side() {
    let of = |headroom_permille, permille| {
        scaled(LeastFact { holders: 1, zones: 1, headroom_permille }, permille).headroom_permille
    };
    assert_eq!((of(200, 1000), of(200, 2000), of(200, 500), of(0, 1500)), (200, 600, 0, 334));
    assert_eq!(of(200, u64::MAX), 999);
}
