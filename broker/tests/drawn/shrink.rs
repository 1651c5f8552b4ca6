//! Makes a failing scenario smaller while it still breaks the same rule.

use crate::rules::Breach;
use crate::scenario::Scenario;

/// So many smaller ones are tried at the most.
const TRIES: usize = 3000;

/// The smallest found, and what it breaks.
pub fn smallest(
    mut scene: Scenario,
    mut breach: Breach,
    fails: impl Fn(&Scenario) -> Option<Breach>,
) -> (Scenario, Breach) {
    let mut tries = 0;
    loop {
        let mut smaller = None;
        for candidate in candidates(&scene) {
            tries += 1;
            if let Some(found) = fails(&candidate).filter(|found| found.rule == breach.rule) {
                smaller = Some((candidate, found));
                break;
            }
        }
        match smaller {
            Some((next, found)) if tries < TRIES => (scene, breach) = (next, found),
            _ => return (scene, breach),
        }
    }
}

/// Without a stretch of a list, the longest stretches first.
fn without<T: Clone>(list: &[T], least: usize) -> Vec<Vec<T>> {
    let mut shorter = Vec::new();
    let mut size = list.len();
    while size > 0 {
        for from in (0..list.len()).step_by(size) {
            let left = [&list[..from], &list[(from + size).min(list.len())..]].concat();
            if left.len() >= least {
                shorter.push(left);
            }
        }
        size /= 2;
    }
    shorter
}

fn candidates(scene: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut Scenario)| {
        let mut next = scene.clone();
        change(&mut next);
        if format!("{next:?}") != format!("{scene:?}") {
            all.push(next);
        }
    };
    for asks in without(&scene.asks, 1) {
        with(&|next| next.asks.clone_from(&asks));
    }
    for faults in without(&scene.faults, 0) {
        with(&|next| next.faults.clone_from(&faults));
    }
    if scene.brokers.len() > 1 {
        with(&|next| {
            next.brokers.pop();
            let left = next.brokers.len();
            next.asks.iter_mut().for_each(|ask| ask.broker %= left);
        });
    }
    for stores in without(&scene.stores, 1) {
        with(&|next| next.stores.clone_from(&stores));
    }
    for (n, ask) in scene.asks.iter().enumerate().take(8) {
        for parts in without(&ask.parts, 1) {
            with(&|next| {
                let sum: f64 = parts.iter().map(|part| part.1).sum();
                next.asks[n].parts.clone_from(&parts);
                next.asks[n].parts.iter_mut().for_each(|part| part.1 /= sum);
            });
        }
    }
    for class in (0..scene.settings.classes.len()).filter(|_| scene.settings.classes.len() > 1) {
        if scene.asks.iter().all(|ask| ask.class != class) {
            with(&|next| {
                next.settings.classes.remove(class);
                next.asks.iter_mut().for_each(|ask| ask.class -= usize::from(ask.class > class));
            });
        }
    }
    let simpler: [&dyn Fn(&mut Scenario); 19] = [
        &|next| next.kind.noise = 0.0,
        &|next| next.kind.error = 0.0,
        &|next| next.kind.broken = 0.0,
        &|next| next.kind.lost = 0.0,
        &|next| next.kind.unreached = 0.0,
        &|next| next.kind.jitter = 0.0,
        &|next| (next.kind.figures, next.kind.garbage) = (0, 0.0),
        &|next| next.telling.call_fails = 0.0,
        &|next| next.settings.max_parts_per_call = 1,
        &|next| next.settings.call_cost_ms = 0.0,
        &|next| next.settings.retry_budget = None,
        &|next| next.settings.requires_subscription = false,
        &|next| next.settings.tenants.clear(),
        &|next| next.asks.iter_mut().for_each(|ask| ask.tenant = None),
        &|next| next.asks.iter_mut().for_each(|ask| ask.leaves = None),
        &|next| next.settings.classes.iter_mut().for_each(|class| class.follow_up_parts = 0),
        &|next| next.settings.report_fields.clear(),
        &|next| next.stores.iter_mut().for_each(|store| (store.age, store.zone) = (None, 0)),
        &|next| next.base = 1e5,
    ];
    simpler.iter().for_each(|change| with(change));
    all
}
