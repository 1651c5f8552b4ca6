//! Draws deployments: inside and beyond the ranges of those that are known.

use fastrand::Rng;
use gingerledge_dispatch::{Class, Repeat, ReportField, RetryBudget, Settings, Tenant};

use crate::scenario::{Asked, Fault, Kind, Scenario, Store, Telling};

fn between(rng: &mut Rng, from: f64, to: f64) -> f64 {
    from + (to - from) * rng.f64()
}

/// Evenly over the magnitudes.
fn scale(rng: &mut Rng, from: f64, to: f64) -> f64 {
    from * (to / from).powf(rng.f64())
}

fn chance(rng: &mut Rng, share: f64) -> bool {
    rng.f64() < share
}

/// A few per cent of all attempts, often none.
fn seldom(rng: &mut Rng, most: f64) -> f64 {
    if rng.bool() {
        0.0
    } else {
        most * rng.f64() * rng.f64()
    }
}

fn class(rng: &mut Rng) -> Class {
    let aim_ms = scale(rng, 50.0, 5000.0);
    let need = if chance(rng, 0.6) { 1.0 } else { between(rng, 0.3, 1.0) };
    let floor = if rng.bool() { need } else { need * between(rng, 0.1, 1.0) };
    Class {
        latency_target_ms: aim_ms,
        latency_target_stretch: if chance(rng, 0.8) { 0.0 } else { between(rng, 0.0, 1.5) },
        deadline_ms: if chance(rng, 0.1) { aim_ms } else { aim_ms * between(rng, 1.0, 4.0) },
        late_value_share: if chance(rng, 0.2) { 0.0 } else { rng.f64() },
        value: scale(rng, 0.2, 5.0),
        repeat: [Repeat::Safe, Repeat::Keyed, Repeat::Unsafe][rng.usize(0..3)],
        deduplication_ms: scale(rng, 200.0, 10_000.0),
        required_share: need,
        minimum_share: floor,
        partial_value: if chance(rng, 0.2) { 0.0 } else { rng.f64() },
        follow_up_parts: if chance(rng, 0.7) { 0 } else { rng.u32(1..=3) },
    }
}

fn settings(rng: &mut Rng, brokers: usize) -> Settings {
    let sets = rng.bool();
    let cells = if sets { rng.u32(1..=7) } else { rng.u32(1..=20) };
    let fields = [
        ReportField::InProgress,
        ReportField::Queued,
        ReportField::Utilisation,
        ReportField::ServiceMs,
        ReportField::ServedPerS,
        ReportField::ErrorsPerS,
        ReportField::Other,
    ];
    let figures = [0, 1, 2, 4, 6][rng.usize(0..5)];
    Settings {
        aggregators: if chance(rng, 0.6) { brokers as u32 } else { rng.u32(brokers as u32..=300) },
        index: None,
        zone: 0,
        turn_ms: if chance(rng, 0.5) { 5.0 } else { scale(rng, 1.0, 20.0) },
        classes: (0..rng.usize(1..=6)).map(|_| class(rng)).collect(),
        tenants: (0..rng.usize(0..=5)).map(|_| Tenant { quota_per_s: scale(rng, 0.5, 50.0) }).collect(),
        over_quota_value_share: rng.f64(),
        cells,
        reach: if sets { 1 } else { rng.u32(1..=4).min(cells) },
        shards: cells * rng.u32(1..=4),
        max_parts_per_call: if rng.bool() { 1 } else { rng.u32(2..=16) },
        call_cost_ms: if rng.bool() { 0.0 } else { between(rng, 0.0, 100.0) },
        max_attempts: rng.u32(1..=6),
        allows_parallel_attempts: rng.bool(),
        allows_withdrawals: rng.bool(),
        requires_subscription: rng.bool(),
        list_refresh_ms: scale(rng, 1000.0, 20_000.0),
        retry_budget: rng.bool().then(|| RetryBudget {
            free_attempts: if rng.bool() { 0.0 } else { between(rng, 0.0, 10.0) },
            attempts_per_arrival: if chance(rng, 0.2) { 0.0 } else { between(rng, 0.0, 0.5) },
            window_ms: scale(rng, 100.0, 5000.0),
        }),
        answer_slack_ms: between(rng, 0.0, 40.0),
        drain_grace_ms: if chance(rng, 0.2) { 0.0 } else { between(rng, 0.0, 2000.0) },
        warm_up_start_capacity: between(rng, 0.05, 1.0),
        warm_up_ms: scale(rng, 200.0, 20_000.0),
        overload_factor: between(rng, 1.2, 4.0),
        overload_window_ms: scale(rng, 200.0, 3000.0),
        max_retry_after_ms: if rng.bool() { 0.0 } else { scale(rng, 50.0, 2000.0) },
        idle_timeout_ms: scale(rng, 100.0, 30_000.0),
        report_fields: (0..figures).map(|_| fields[rng.usize(0..fields.len())]).collect(),
    }
}

fn kind(rng: &mut Rng, settings: &Settings) -> Kind {
    Kind {
        cores: rng.usize(1..=4),
        queue: rng.usize(2..=40),
        noise: between(rng, 0.0, 0.5),
        error: seldom(rng, 0.3),
        broken: seldom(rng, 0.2),
        lost: seldom(rng, 0.2),
        unreached: seldom(rng, 0.3),
        drops: rng.bool(),
        same_ms: scale(rng, 0.05, 1.0),
        cross_ms: scale(rng, 0.2, 5.0),
        jitter: rng.f64(),
        dial_ms: between(rng, 50.0, 400.0),
        figures: if chance(rng, 0.8) { settings.report_fields.len() } else { rng.usize(0..=6) },
        garbage: if chance(rng, 0.7) { 0.0 } else { rng.f64() },
    }
}

fn fault(rng: &mut Rng, stores: usize, brokers: usize) -> Fault {
    let (store, broker) = (rng.usize(0..stores), rng.usize(0..brokers));
    let ms = scale(rng, 20.0, 3000.0);
    match rng.usize(0..13) {
        0..=2 => Fault::Crash {
            store,
            silent: chance(rng, 0.4),
            back_ms: ms,
            same: rng.bool(),
            told_ms: scale(rng, 1.0, 2000.0),
        },
        3..=5 => Fault::Release {
            store,
            lead_ms: between(rng, 0.0, 300.0),
            ends_ms: between(rng, 100.0, 3000.0),
            next_ms: between(rng, 0.0, 1000.0),
        },
        6 => Fault::Alarm { store, gone: rng.bool(), back_ms: ms },
        7 => Fault::Hang { store, ms },
        8 => Fault::Slow { store, times: scale(rng, 1.5, 20.0), ms },
        9 => Fault::Deaf { ms, breaks: rng.bool() },
        10 => Fault::Relist { broker },
        11 => Fault::Kill { broker, back_ms: ms },
        _ => Fault::Shared { broker, ms },
    }
}

/// Shards in a row or anywhere, each once, with weights that add up to 1.
fn parts(rng: &mut Rng, settings: &Settings, work: f64) -> Vec<(u32, f64, f64, Option<f64>)> {
    let most = settings.shards.min(12);
    let count = if rng.bool() { 1.min(most) } else { rng.u32(1..=most) };
    let mut shards: Vec<u32> = (0..settings.shards).collect();
    if rng.bool() {
        let from = rng.usize(0..shards.len());
        shards.rotate_left(from);
    } else {
        rng.shuffle(&mut shards);
    }
    shards.truncate(count as usize);
    let weights: Vec<f64> = shards.iter().map(|_| scale(rng, 0.1, 1.0)).collect();
    let sum: f64 = weights.iter().sum();
    let part = |(shard, weight): (u32, f64)| {
        let work = work * scale(rng, 0.6, 1.6);
        let guess = chance(rng, 0.3).then(|| work * scale(rng, 0.1, 10.0));
        (shard, weight / sum, work, guess)
    };
    shards.into_iter().zip(weights).map(part).collect()
}

/// A corner that chance alone seldom meets; one deployment in six leans to each.
#[derive(Clone, Copy, PartialEq)]
enum Corner {
    /// Small stores that start cold under load.
    Cold,
    /// Second copies that fail, and short windows.
    Copies,
    /// Calls for the list that fail for long.
    Unheard,
    Anywhere,
}

impl Corner {
    fn of(seed: u64) -> Self {
        [Self::Cold, Self::Copies, Self::Unheard]
            .into_iter()
            .nth((seed % 6) as usize)
            .unwrap_or(Self::Anywhere)
    }

    fn lean(self, rng: &mut Rng, set: &mut Settings, brokers: usize) {
        match self {
            Self::Cold => {
                (set.cells, set.reach) = (rng.u32(1..=3), 1);
                set.shards = set.cells * rng.u32(1..=4);
                set.warm_up_start_capacity = between(rng, 0.05, 0.4);
                set.warm_up_ms = scale(rng, 2000.0, 20_000.0);
                set.aggregators = brokers as u32;
            }
            Self::Copies => {
                set.allows_parallel_attempts = true;
                set.max_attempts = rng.u32(3..=6);
                set.retry_budget = None;
                for class in &mut set.classes {
                    class.deduplication_ms = scale(rng, 50.0, 1000.0);
                    class.latency_target_ms = class.latency_target_ms.max(400.0);
                    class.deadline_ms = class.deadline_ms.max(1500.0);
                }
            }
            Self::Unheard => {
                set.requires_subscription = true;
                set.list_refresh_ms = scale(rng, 1000.0, 1500.0);
                set.drain_grace_ms = between(rng, 0.0, 300.0);
            }
            Self::Anywhere => {}
        }
    }
}

/// Waves of queries, each at some share of what the stores can do.
fn asks(rng: &mut Rng, scene: &Scenario, day: f64, corner: Corner) -> Vec<Asked> {
    let set = &scene.settings;
    let works: Vec<f64> =
        set.classes.iter().map(|c| scale(rng, 2.0, 100.0).min(c.latency_target_ms / 3.0)).collect();
    let cores = (scene.stores.len() * scene.kind.cores) as f64;
    let load = if corner == Corner::Cold { scale(rng, 0.5, 3.0) } else { scale(rng, 0.05, 1.5) };
    let waves = if corner == Corner::Anywhere { rng.usize(1..=4) } else { 5 };
    let mut asks = Vec::new();
    for _ in 0..waves {
        let mut at = between(rng, 0.0, day);
        for _ in 0..rng.usize(3..=30) {
            let (broker, class) = (rng.usize(0..scene.brokers.len()), rng.usize(0..set.classes.len()));
            let parts = parts(rng, set, works[class]);
            let total: f64 = parts.iter().map(|part| part.2 + set.call_cost_ms).sum();
            at += (2.0 * rng.f64() * total / (cores * load)).min(100.0);
            let patience = if chance(rng, 0.05) { rng.f64() } else { between(rng, 0.6, 1.0) };
            let wait = set.classes[class].deadline_ms * patience;
            asks.push(Asked {
                at,
                broker,
                class,
                tenant: (!set.tenants.is_empty()).then(|| rng.usize(0..set.tenants.len())),
                deadline: at + wait,
                leaves: chance(rng, 0.05).then(|| at + wait * rng.f64()),
                repeated: chance(rng, 0.1),
                parts,
            });
        }
    }
    asks.sort_by(|a, b| a.at.total_cmp(&b.at));
    asks
}

impl Scenario {
    /// The deployment of a seed.
    pub fn draw(seed: u64) -> Self {
        let rng = &mut Rng::with_seed(seed);
        let brokers = rng.usize(1..=4);
        let corner = Corner::of(seed);
        let mut settings = settings(rng, brokers);
        corner.lean(rng, &mut settings, brokers);
        let zones = rng.u32(1..=4);
        let each = if settings.reach == 1 { rng.u32(1..=3) } else { rng.u32(1..=2) };
        let store = |n: u32| Store {
            cell: n % settings.cells,
            zone: n % zones,
            age: chance(rng, 0.1).then(|| scale(rng, 1.0, 10_000.0)),
        };
        let stores = (0..settings.cells * each).map(store).collect();
        let mut kind = kind(rng, &settings);
        match corner {
            Corner::Cold => (kind.cores, kind.queue) = (1, 40),
            Corner::Copies => {
                (kind.broken, kind.lost, kind.error) = (0.1 * rng.f64(), 0.15 * rng.f64(), 0.1 * rng.f64())
            }
            _ => {}
        }
        let mut scene = Self {
            seed,
            base: if rng.bool() { 1e5 } else { 1.7e12 },
            settings,
            indexed: chance(rng, 0.7),
            batches: rng.bool(),
            brokers: (0..brokers).map(|_| rng.u32(0..zones)).collect(),
            stores,
            kind,
            telling: Telling {
                least_ms: scale(rng, 0.1, 500.0),
                spread_ms: scale(rng, 0.1, 3000.0),
                call_fails: if rng.bool() { 0.0 } else { rng.f64() },
            },
            asks: Vec::new(),
            faults: Vec::new(),
        };
        let unheard = corner == Corner::Unheard;
        let day = if unheard { 7000.0 } else { between(rng, 500.0, 4000.0) };
        scene.telling.call_fails *= if unheard { 0.0 } else { 1.0 };
        scene.asks = asks(rng, &scene, day, corner);
        let (stores, brokers) = (scene.stores.len(), scene.brokers.len());
        let mut faults: Vec<_> =
            (0..rng.usize(0..=6)).map(|_| (between(rng, 0.0, day), fault(rng, stores, brokers))).collect();
        if unheard {
            faults.insert(0, (0.0, Fault::Deaf { ms: between(rng, 500.0, 1e4), breaks: true }));
            let store = rng.usize(0..stores);
            faults.push((50.0, Fault::Release { store, lead_ms: 100.0, ends_ms: 9000.0, next_ms: 100.0 }));
        }
        for store in (0..stores).filter(|_| corner == Corner::Cold) {
            let (at, back_ms) = (between(rng, 0.2, 0.5) * day, scale(rng, 20.0, 300.0));
            let (silent, same, told_ms) = (false, rng.bool(), 1.0);
            faults.push((at, Fault::Crash { store, silent, back_ms, same, told_ms }));
        }
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        scene.faults = faults;
        scene
    }
}
