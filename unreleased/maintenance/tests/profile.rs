//! The laws of merging, the forecast, its age, and what is refused.

#![allow(clippy::unwrap_used)]

use gingerledge_maintenance::*;

const HOUR: u64 = 3_600_000;
/// A Monday, midnight.
const MONDAY: u64 = 1_767_571_200_000;

fn week(rng: &mut fastrand::Rng) -> Week {
    let mut counter = Counter::default();
    let from = rng.u64(0..400);
    for hour in from..from + rng.u64(3..30) {
        counter.count(MONDAY + hour * HOUR, rng.u64(0..1000));
    }
    counter.week().clone()
}

#[test]
fn merging_is_commutative_associative_and_idempotent_at_the_bound_too() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut profile = || {
            let mut profile = Profile::new(3, 1000);
            for _ in 0..4 {
                let broker = ["a", "b", "c", "d", "e"][rng.usize(0..5)];
                profile.take(broker, &week(&mut rng));
            }
            profile
        };
        let (a, b, c) = (profile(), profile(), profile());
        let join = |one: &Profile, two: &Profile| {
            let mut one = one.clone();
            one.merge(two);
            one
        };
        assert_eq!(join(&a, &b), join(&b, &a), "seed {seed}");
        assert_eq!(join(&join(&a, &b), &c), join(&a, &join(&b, &c)), "seed {seed}");
        assert_eq!(join(&join(&a, &b), &b), join(&a, &b), "seed {seed}");
    }
}

/// By day 150 an hour, by night 50.
fn by_day(scale: u64) -> Counter {
    let mut counter = Counter::default();
    for hour in 0..=HOURS as u64 + 1 {
        let load = if hour % 24 < 12 { 50 } else { 150 };
        counter.count(MONDAY + hour * HOUR, load * scale);
    }
    counter
}

#[test]
fn the_busiest_hour_of_a_span_is_told_against_the_mean_with_its_age() {
    let mut profile = Profile::new(4, 1000);
    let now = MONDAY + (HOURS as u64 + 1) * HOUR;
    let next = MONDAY + 2 * HOURS as u64 * HOUR;
    assert_eq!(profile.forecast(next, HOUR, now), Forecast { permille: 1000, age_hours: None });
    profile.take("one", by_day(1).week());
    profile.take("two", by_day(10).week());
    // Hour 1 of the week was counted 168 hours ago, or 167: the first hour is never whole, and counts from the second week.
    let night = profile.forecast(next + 2 * HOUR, 3 * HOUR, now);
    assert_eq!((night.permille, night.age_hours), (500, Some(HOURS as u64 - 1)));
    // A span to midday's last moment is quiet, and one moment more is not.
    assert_eq!(profile.forecast(next + 9 * HOUR, 3 * HOUR, now).permille, 500);
    assert_eq!(profile.forecast(next + 9 * HOUR, 3 * HOUR + 1, now).permille, 1500);
    // A broker that knows few hours does not bend them.
    let mut late = Counter::default();
    (14..18).for_each(|hour| late.count(MONDAY + hour * HOUR, 1_000_000));
    profile.take("late", late.week());
    assert_eq!(profile.forecast(next + 2 * HOUR, HOUR, now).permille, 500);
    assert!((1000..1500).contains(&profile.forecast(next + 15 * HOUR, HOUR, now).permille));
    // What is too old counts for nothing, and the hour is as unknown as at first.
    let later = now + 2000 * HOUR;
    assert_eq!(profile.forecast(next, HOUR, later).age_hours, None);
}

#[test]
fn a_restarted_broker_takes_its_week_back_and_one_of_the_future_is_refused() {
    let old = by_day(1);
    let mut fresh = Counter::default();
    (0..4).for_each(|hour| fresh.count(MONDAY + (200 + hour) * HOUR, 7));
    fresh.resume(old.week());
    assert_eq!(fresh.week().cells().iter().filter(|cell| cell.unix_hour > 0).count(), HOURS);
    assert_eq!(fresh.week().cells()[202 - HOURS].load, 7);
    let cells = fresh.week().cells().to_vec();
    assert_eq!(Week::told(cells.clone(), MONDAY + 300 * HOUR).unwrap(), *fresh.week());
    assert!(matches!(Week::told(cells.clone(), MONDAY + 100 * HOUR), Err(Unfit::Hour { .. })));
    let mut turned = cells.clone();
    turned.rotate_left(1);
    assert!(matches!(Week::told(turned, MONDAY + 300 * HOUR), Err(Unfit::Hour { .. })));
    assert_eq!(Week::told(cells[1..].to_vec(), MONDAY + 300 * HOUR), Err(Unfit::Cells(167)));
}
