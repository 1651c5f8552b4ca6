//! A plan against a small world of stores that refuse, cut, fail, change their weights and end, under many seeds.
//!
//! The world keeps its own books: which requests are out where, and what each store made of each item.

mod rollout_plan_common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_data::rollout::plan::{
    GeneratedText, GenerationOutcome, JobPlan, JobRules, NextAction, Placement, ScoringOutcome, StartWindow,
    StoreView,
};
use gingerledge_wire::ResultRecord;
use rollout_plan_common::*;

const SEEDS: u64 = 1_500;
const GROUPS: usize = 6;
const SIZE: usize = 4;
const DESIRED: usize = 5;
const MIN_VERSION: u64 = 3;
const EVENTS: u64 = 7;
const MAX_ATTEMPTS: u32 = 3;
/// Troubles end then, so that every run comes to an end.
const CALM: Duration = ms(4_000);
const END: Duration = ms(60_000);

/// What becomes of a request at a store, on which day of the world.
struct Running {
    placement: Placement,
    store: usize,
    ends: Duration,
}

struct World {
    seed: u64,
    random: fastrand::Rng,
    now: Duration,
    rules: JobRules,
    plan: JobPlan,
    stores: Vec<StoreView>,
    slots: u32,
    running: Vec<Running>,
    rewards: Vec<(u32, Duration)>,
    failures: BTreeMap<u32, u32>,
    scoring_failures: BTreeMap<u32, u32>,
    impossible: BTreeSet<u32>,
    results: BTreeMap<u32, ResultRecord>,
    started_groups: Vec<usize>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let rules = JobRules {
            single_version: random.bool(),
            max_attempts: MAX_ATTEMPTS,
            abandon_after: None,
            max_streams: 2_000,
            start_window: StartWindow { duration: ms(1_000_000), end: ms(1_000_000) },
            max_streams_for_surplus: 1_000,
        };
        let slots = random.u32(1..6);
        let count = random.usize(1..6);
        let stores = (0..count).map(|place| store(&format!("s{place}"), random.u64(2..5), 0)).collect();
        let plan = JobPlan::new(job(GROUPS, SIZE, DESIRED as u64, MIN_VERSION), &[], seed);
        Self {
            seed,
            random,
            now: ms(0),
            rules,
            plan,
            stores,
            slots,
            running: Vec::new(),
            rewards: Vec::new(),
            failures: BTreeMap::new(),
            scoring_failures: BTreeMap::new(),
            impossible: BTreeSet::new(),
            results: BTreeMap::new(),
            started_groups: Vec::new(),
        }
    }

    fn run(&mut self) {
        while self.now < END && !self.is_done() {
            self.trouble();
            self.place();
            self.end_some();
            self.call_rewards();
            self.now += ms(10);
        }
        assert!(self.is_done(), "seed {}: not done; {:?}", self.seed, self.plan);
    }

    /// All items of the groups that the trainer waits for have results.
    fn is_done(&self) -> bool {
        self.results.len() >= DESIRED * SIZE
    }

    fn calm(&self) -> bool {
        self.now >= CALM
    }

    fn trouble(&mut self) {
        if self.calm() {
            self.stores.iter_mut().for_each(|store| store.version = store.version.max(MIN_VERSION));
            return;
        }
        let place = self.random.usize(..self.stores.len());
        if self.random.u32(..60) == 0 {
            self.stores[place].version += 1;
        }
        self.stores[place].is_suspect = self.random.u32(..4) == 0;
    }

    fn place(&mut self) {
        for (place, store) in self.stores.iter_mut().enumerate() {
            store.in_flight = self.running.iter().filter(|running| running.store == place).count() as u32;
            store.limit = self.slots + 2;
        }
        let mut before = self.stores.clone();
        let placements = self.plan.place(self.now, &mut self.stores, self.rules);
        for placement in placements {
            self.check(&placement, &before);
            before[placement.store].in_flight += 1;
            let ends = self.now + ms(self.random.u64(0..300));
            let store = placement.store;
            self.note_group(&placement);
            self.running.push(Running { placement, store, ends });
        }
    }

    /// The least loaded of the eligible stores, counting what was placed before; nobody is at two places.
    fn check(&self, placement: &Placement, stores: &[StoreView]) {
        let seed = self.seed;
        let version = placement.text.versions().last().copied().filter(|_| self.rules.single_version);
        assert_eq!(placement.required_version, version, "seed {seed}");
        let eligible = |store: &&StoreView| {
            store.version >= MIN_VERSION
                && version.is_none_or(|version| store.version == version)
                && store.in_flight < store.limit
        };
        let least = stores.iter().filter(eligible).map(|store| (store.is_suspect, store.in_flight)).min();
        let chosen = &stores[placement.store];
        assert!(eligible(&chosen), "seed {seed}: {chosen:?}");
        assert_eq!(Some((chosen.is_suspect, chosen.in_flight)), least, "seed {seed}");
        let twice = self.running.iter().any(|running| running.placement.item == placement.item);
        assert!(
            !twice && !self.results.contains_key(&placement.item),
            "seed {seed}: item {}",
            placement.item
        );
    }

    /// Groups begin in the trainer's order; those beyond the ones that it waits for are spare, and no others are.
    fn note_group(&mut self, placement: &Placement) {
        let group = placement.item as usize / SIZE;
        if !self.started_groups.contains(&group) {
            self.started_groups.push(group);
            let expected: Vec<usize> = (0..self.started_groups.len()).collect();
            assert_eq!(self.started_groups, expected, "seed {}", self.seed);
        }
        assert_eq!(placement.is_surplus, group >= DESIRED, "seed {}", self.seed);
    }

    fn end_some(&mut self) {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.ends <= self.now);
        self.running = running;
        let ended: Vec<Running> = ended;
        for run in ended {
            let item = run.placement.item;
            let (text, ended) = self.outcome(run);
            let step = self.plan.generation_ended(self.now, item, text, ended, self.rules);
            self.take(item, step);
        }
    }

    fn outcome(&mut self, run: Running) -> (GeneratedText, GenerationOutcome) {
        let item = run.placement.item;
        let mut text = run.placement.text;
        let luck = if self.calm() { 99 } else { self.random.u32(..100) };
        match luck {
            0..15 => return (text, GenerationOutcome::NeverRan),
            15..20 => {
                *self.failures.entry(item).or_default() += 1;
                return (text, GenerationOutcome::Failed);
            }
            20 => {
                self.impossible.insert(item);
                return (text, GenerationOutcome::InvalidRequest);
            }
            21..25 => return (text, GenerationOutcome::Other),
            _ => {}
        }
        let last = if luck < 50 { self.random.u64(..=EVENTS) } else { EVENTS };
        let first = text.last_event_id().unwrap_or(0) + 1;
        for id in first..=last {
            // As the runner does it: an event of a version that doesn't fit is not taken.
            let version = self.stores[run.store].version;
            let same = text.versions().iter().all(|&known| known == version);
            if version < MIN_VERSION || (self.rules.single_version && !same) {
                return (text, GenerationOutcome::WrongVersion);
            }
            add(&mut text, id, version);
            if !self.calm() && self.random.u32(..40) == 0 {
                self.stores[run.store].version += 1;
            }
        }
        let ended = if text.last_event_id() == Some(EVENTS) {
            GenerationOutcome::Completed
        } else {
            GenerationOutcome::Interrupted
        };
        (text, ended)
    }

    fn call_rewards(&mut self) {
        for item in self.plan.take_due_scorings(self.now) {
            self.rewards.push((item, self.now + ms(30)));
        }
        let (ended, waiting) =
            std::mem::take(&mut self.rewards).into_iter().partition(|call| call.1 <= self.now);
        self.rewards = waiting;
        let ended: Vec<(u32, Duration)> = ended;
        for (item, _) in ended {
            let ended = match self.random.u32(..10) {
                0 if !self.calm() => {
                    *self.scoring_failures.entry(item).or_default() += 1;
                    ScoringOutcome::Failed { failures: 1, max_attempts: MAX_ATTEMPTS }
                }
                1 | 2 => ScoringOutcome::Other,
                _ => ScoringOutcome::Scored(format!("stamp of {item}")),
            };
            let step = self.plan.scoring_ended(self.now, item, ended, self.rules);
            self.take(item, step);
        }
    }

    fn take(&mut self, item: u32, step: NextAction) {
        let seed = self.seed;
        match step {
            NextAction::Wait => {}
            NextAction::Score => self.rewards.push((item, self.now + ms(30))),
            NextAction::Publish(result) => {
                assert_eq!(result.item, item, "seed {seed}");
                if result.completed {
                    self.check_text(&result);
                } else {
                    let failed = |table: &BTreeMap<u32, u32>| {
                        table.get(&item).is_some_and(|&times| times >= MAX_ATTEMPTS)
                    };
                    let permitted = self.impossible.contains(&item)
                        || failed(&self.failures)
                        || failed(&self.scoring_failures);
                    assert!(permitted, "seed {seed}: item {item} is abandoned for no reason");
                }
                assert!(
                    self.results.insert(item, result).is_none(),
                    "seed {seed}: item {item} is listed twice"
                );
            }
        }
    }

    /// All events once and in order, and the versions that made them.
    fn check_text(&self, result: &ResultRecord) {
        let text = std::str::from_utf8(&result.text).unwrap();
        let events: Vec<(u64, u64)> = text
            .split('\n')
            .map(|event| event.split_once('v').unwrap())
            .map(|(id, version)| (id.parse().unwrap(), version.parse().unwrap()))
            .collect();
        let ids: Vec<u64> = events.iter().map(|&(id, _)| id).collect();
        assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "seed {}", self.seed);
        let made: BTreeSet<u64> = events.iter().map(|&(_, version)| version).collect();
        let told: BTreeSet<u64> = result.versions.iter().copied().collect();
        assert_eq!((&made, made.len()), (&told, result.versions.len()), "seed {}", self.seed);
        assert!(made.iter().all(|&version| version >= MIN_VERSION), "seed {}: {made:?}", self.seed);
        assert!(made.len() == 1 || !self.rules.single_version, "seed {}: {made:?}", self.seed);
        assert_eq!(result.score, format!("stamp of {}", result.item), "seed {}", self.seed);
    }
}

#[test]
fn every_desired_item_has_one_correct_result() {
    for seed in 0..SEEDS {
        World::new(seed).run();
    }
}
