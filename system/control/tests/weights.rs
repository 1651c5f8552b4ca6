//! The planner of weights, and the loads that it leads to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_control::coordinator::load_schedule::{LoadOutcome, LoadSchedule, LoadScheduleSettings};
use gingerledge_control::coordinator::model_usage::{ModelUsage, MAX_MODELS, MAX_ROUTES};
use gingerledge_control::coordinator::weights::{
    due_loads, EngineService, EngineStore, Load, LoadMethod, WantedModel,
};
use gingerledge_protocol::{Configuration, Route};
use yare::parameterized;

fn stores(count: usize) -> Vec<EngineStore> {
    let store = |at: usize| EngineStore { id: format!("i-{at:02}"), versions: BTreeMap::new() };
    (0..count).map(store).collect()
}

/// A service with models: their newest versions, and the oldest that the next batch jobs may use.
fn service(stores: Vec<EngineStore>, models: &[(&str, u64, u64)], method: LoadMethod) -> EngineService {
    let wanted = |&(model, version, floor): &(&str, u64, u64)| {
        (model.to_owned(), WantedModel { version, floor, method })
    };
    EngineService { models: models.iter().map(wanted).collect(), stores }
}

fn load_all(service: &mut EngineService, loads: &[Load]) {
    for store in &mut service.stores {
        for load in loads.iter().filter(|load| load.id == store.id) {
            store.versions.insert(load.model.clone(), load.version);
        }
    }
}

fn loaded_at(loads: &[Load]) -> BTreeSet<&str> {
    loads.iter().map(|load| load.id.as_str()).collect()
}

#[parameterized(
    alone_blocking = { &[("a", 2, 2)], LoadMethod::Blocking, 12 },
    alone_preserve = { &[("a", 2, 2)], LoadMethod::Preserve, 12 },
    beside_another = { &[("a", 2, 2), ("b", 1, 1)], LoadMethod::Preserve, 12 },
    beside_two = { &[("a", 2, 2), ("b", 1, 1), ("c", 1, 1)], LoadMethod::Preserve, 12 },
    beside_three = { &[("a", 2, 2), ("b", 1, 1), ("c", 1, 1), ("d", 1, 1)], LoadMethod::Preserve, 9 },
)]
fn stores_below_the_floor_load_the_newest_version_once(
    models: &[(&str, u64, u64)],
    method: LoadMethod,
    expected: usize,
) {
    let mut service = service(stores(12), models, method);
    let loads = due_loads(&service);
    assert_eq!(loaded_at(&loads).len(), expected);
    assert!(loads.iter().all(|load| load.model == "a" && load.version == 2 && load.method == method));
    load_all(&mut service, &loads);
    assert!(due_loads(&service).is_empty(), "what is loaded is not loaded again");
}

#[test]
fn a_store_whose_version_may_still_be_used_is_left_alone() {
    let mut service = service(stores(4), &[("a", 3, 2)], LoadMethod::Blocking);
    service.stores[0].versions.insert("a".to_owned(), 2);
    service.stores[1].versions.insert("a".to_owned(), 3);
    assert_eq!(loaded_at(&due_loads(&service)), BTreeSet::from(["i-02", "i-03"]));
    let loads = due_loads(&service);
    load_all(&mut service, &loads);
    assert!(due_loads(&service).is_empty());
}

#[parameterized(even = { 12, 6 }, odd = { 11, 6 }, few = { 3, 2 }, one = { 1, 1 })]
fn where_the_version_before_will_do_half_of_the_stores_load_each_version(count: usize, most: usize) {
    let mut service = service(stores(count), &[("a", 1, 1)], LoadMethod::Blocking);
    for version in 2..9 {
        let wanted = WantedModel { version, floor: version - 1, method: LoadMethod::Blocking };
        service.models.insert("a".to_owned(), wanted);
        let loads = due_loads(&service);
        assert!(loads.len() <= most, "version {version}: {}", loads.len());
        load_all(&mut service, &loads);
        assert!(due_loads(&service).is_empty());
        let left_behind = service.stores.iter().filter(|store| store.versions.get("a") != Some(&version));
        assert!(left_behind.count() <= most, "the next version has to replace no more");
    }
}

#[test]
fn stores_whose_version_will_not_do_load_first() {
    let mut service = service(stores(8), &[("a", 5, 4)], LoadMethod::Preserve);
    for (store, version) in service.stores.iter_mut().zip([4, 2, 4, 4, 3, 4, 4, 4]) {
        store.versions.insert("a".to_owned(), version);
    }
    let loads = due_loads(&service);
    assert_eq!(loaded_at(&loads[..2]), BTreeSet::from(["i-01", "i-04"]));
    assert_eq!(loads.len(), 4, "the next version leaves no more than half behind");
}

#[test]
fn beside_others_a_model_keeps_its_stores_with_each_version() {
    let models = [("a", 2, 2), ("b", 2, 2), ("c", 2, 2), ("d", 2, 2), ("e", 2, 2), ("f", 2, 2)];
    let mut service = service(stores(11), &models, LoadMethod::Preserve);
    let mut before: Option<BTreeSet<String>> = None;
    for version in 2..6 {
        service
            .models
            .insert("a".to_owned(), WantedModel { version, floor: version, method: LoadMethod::Preserve });
        let loads = due_loads(&service);
        let ids: BTreeSet<String> =
            loads.iter().filter(|load| load.model == "a").map(|load| load.id.clone()).collect();
        assert_eq!(ids.len(), 6);
        assert!(before.as_ref().is_none_or(|before| *before == ids), "version {version}");
        load_all(&mut service, &loads);
        before = Some(ids);
    }
    // Where one of them goes, one takes its place.
    let gone = before.as_ref().and_then(|ids| ids.first()).cloned().expect("a store");
    service.stores.retain(|store| store.id != gone);
    let loads = due_loads(&service);
    let of_a = loads.iter().filter(|load| load.model == "a");
    assert_eq!(of_a.count(), 0, "five of ten are half");
    service.stores.truncate(8);
    service.models.insert("a".to_owned(), WantedModel { version: 6, floor: 6, method: LoadMethod::Preserve });
    assert_eq!(due_loads(&service).iter().filter(|load| load.model == "a").count(), 4);
}

#[test]
fn the_model_that_the_fewest_stores_can_serve_comes_first() {
    let mut service = service(stores(8), &[("a", 2, 2), ("b", 2, 2)], LoadMethod::Preserve);
    for store in service.stores.iter_mut().take(2) {
        store.versions.insert("a".to_owned(), 2);
    }
    let models: Vec<String> = due_loads(&service).into_iter().map(|load| load.model).collect();
    assert_eq!(models, ["b", "b", "b", "b", "b", "b", "b", "b", "a", "a", "a", "a", "a", "a"]);
}

#[test]
fn models_begin_at_stores_of_their_own() {
    let service = service(stores(12), &[("a", 2, 2), ("b", 2, 2), ("c", 2, 2)], LoadMethod::Preserve);
    let loads = due_loads(&service);
    let order = |model: &str| -> Vec<&str> {
        loads.iter().filter(|load| load.model == model).map(|load| load.id.as_str()).collect()
    };
    assert_ne!(order("a"), order("b"));
    assert_ne!(order("b"), order("c"));
}

#[test]
fn a_service_without_stores_or_models_loads_nothing() {
    assert!(due_loads(&service(Vec::new(), &[("a", 2, 2)], LoadMethod::Preserve)).is_empty());
    assert!(due_loads(&service(stores(3), &[], LoadMethod::Preserve)).is_empty());
}

/// One trainer's steps: each is asked `ahead` versions early and allows versions from so many below it on.
struct Trainer {
    uses: ModelUsage,
    configuration: Configuration,
}

impl Trainer {
    fn new() -> Self {
        Self { uses: ModelUsage::default(), configuration: configuration() }
    }

    fn asks(&mut self, min_version: u64) {
        self.uses.on_job_seen(&self.configuration, "a", LOOSE.0, "/many/1", min_version);
    }

    fn floor(&mut self, named: u64) -> u64 {
        self.uses.floor("a", named)
    }
}

#[parameterized(only_the_newest = { 0 }, one_before = { 1 }, two_before = { 2 })]
fn the_floor_follows_what_the_trainer_allows(lag: u64) {
    let mut trainer = Trainer::new();
    for named in 3..20 {
        if named > 3 {
            assert_eq!(trainer.floor(named), named - lag, "before the step is asked, so that nothing waits");
        }
        trainer.asks(named - lag);
        assert_eq!(trainer.floor(named), named - lag, "the step may still use its oldest version");
    }
}

#[test]
fn the_floor_does_not_rise_before_a_version_is_named() {
    let mut trainer = Trainer::new();
    trainer.asks(1);
    assert_eq!(trainer.floor(2), 1);
    assert_eq!(trainer.floor(3), 2);
    trainer.asks(1);
    assert_eq!(trainer.floor(3), 2, "and never falls");
    trainer.asks(5);
    assert_eq!(trainer.floor(3), 3, "nor above what is named");
    assert_eq!(trainer.floor(5), 5);
}

#[test]
fn a_batch_job_that_allows_less_than_thought_lifts_the_floor_at_once() {
    let mut trainer = Trainer::new();
    trainer.asks(2);
    assert_eq!(trainer.floor(6), 2);
    trainer.asks(6);
    assert_eq!(trainer.floor(6), 6);
}

#[test]
fn while_no_batch_job_was_seen_only_the_newest_version_will_do() {
    assert_eq!(Trainer::new().floor(7), 7);
}

const LOADS: LoadScheduleSettings = LoadScheduleSettings {
    assumed_load_duration: Duration::from_millis(500),
    busy_retry_delay: Duration::from_millis(300),
    failed_retry_delay: Duration::from_millis(1_200),
};

fn loads_of(ids: &[&str], method: LoadMethod) -> Vec<Load> {
    let load = |id: &&str| Load { id: (*id).to_owned(), model: "a".to_owned(), version: 2, method };
    ids.iter().map(load).collect()
}

fn started(loads: &mut LoadSchedule, now: u64, ids: &[&str]) -> Vec<String> {
    started_by(loads, now, ids, LoadMethod::Preserve)
}

fn started_by(loads: &mut LoadSchedule, now: u64, ids: &[&str], method: LoadMethod) -> Vec<String> {
    let started = loads.start(Duration::from_millis(now), "s", &loads_of(ids, method));
    started.into_iter().map(|started| started.load.id).collect()
}

/// So many stores load at once while nothing is known.
const NEUTRAL: usize = 6;

fn ids(numbers: std::ops::Range<usize>) -> Vec<String> {
    numbers.map(|number| format!("i-{number:03}")).collect()
}

fn names(ids: &[String]) -> Vec<&str> {
    ids.iter().map(String::as_str).collect()
}

#[test]
fn a_bounded_number_of_stores_loads_at_once() {
    let mut loads = LoadSchedule::new(LOADS);
    let all = ids(0..NEUTRAL + 2);
    assert_eq!(started(&mut loads, 0, &names(&all)), all[..NEUTRAL]);
    assert!(started(&mut loads, 10, &names(&all)).is_empty());
    loads.on_load_ended(Duration::from_millis(20), &all[0], LoadOutcome::Done);
    assert_eq!(started(&mut loads, 20, &names(&all[1..])), all[NEUTRAL..NEUTRAL + 1]);
}

#[test]
fn a_store_that_waits_for_its_requests_to_end_holds_up_no_other_store_for_long() {
    let mut loads = LoadSchedule::new(LOADS);
    let all = ids(0..2 * NEUTRAL + 1);
    let start = |loads: &mut LoadSchedule, now| started_by(loads, now, &names(&all), LoadMethod::Blocking);
    assert_eq!(start(&mut loads, 0), all[..NEUTRAL]);
    assert!(start(&mut loads, 499).is_empty());
    assert_eq!(loads.next_evaluation(), Some(Duration::from_millis(500)));
    assert_eq!(start(&mut loads, 500), all[NEUTRAL..2 * NEUTRAL]);
    assert_eq!(start(&mut loads, 1_000), all[2 * NEUTRAL..]);
    assert_eq!(loads.in_flight_count(), 2 * NEUTRAL + 1, "none of them has ended");
    assert_eq!(loads.next_evaluation(), None, "and none waits");
}

#[test]
fn a_store_that_loads_beside_its_requests_counts_until_it_has_loaded() {
    let mut loads = LoadSchedule::new(LOADS);
    let all = ids(0..NEUTRAL + 1);
    assert_eq!(started(&mut loads, 0, &names(&all)), all[..NEUTRAL]);
    assert!(started(&mut loads, 60_000, &names(&all)).is_empty());
}

/// Stores of which so many load without slowing one another down, and that take so long.
struct Engines {
    beside_one_another: usize,
    load: Duration,
}

impl Engines {
    /// Lets every one of `stores` stores load a version; gives how long that took, and the most that loaded at once.
    fn load_all(&self, loads: &mut LoadSchedule, begin: Duration, stores: usize) -> (Duration, usize) {
        let mut waiting = ids(0..stores);
        let mut loading: Vec<(Duration, String)> = Vec::new();
        let (mut now, mut most) = (begin, 0);
        loop {
            for started in loads.start(now, "s", &loads_of(&names(&waiting), LoadMethod::Preserve)) {
                waiting.retain(|id| *id != started.load.id);
                let crowd = (loading.len() + 1) as f64 / self.beside_one_another as f64;
                loading.push((now + self.load.mul_f64(crowd.max(1.0)), started.load.id));
            }
            most = most.max(loading.len());
            loading.sort();
            if loading.is_empty() {
                assert!(waiting.is_empty());
                return (now - begin, most);
            }
            let (at, id) = loading.remove(0);
            now = at;
            loads.on_load_ended(now, &id, LoadOutcome::Done);
        }
    }
}

#[parameterized(
    few_quick_ones = { 4, 250, 12 }, many_slow_ones = { 15, 400, 45 }, more = { 60, 600, 400 }, one = { 2, 300, 20 }
)]
fn as_many_load_at_once_as_slow_one_another_down_little(beside_one_another: usize, load: u64, stores: usize) {
    let engines = Engines { beside_one_another, load: Duration::from_millis(load) };
    let mut loads = LoadSchedule::new(LOADS);
    let mut now = Duration::ZERO;
    let mut last = (Duration::ZERO, 0);
    for _ in 0..12 {
        last = engines.load_all(&mut loads, now, stores);
        now += last.0 + Duration::from_secs(5);
    }
    let (took, most) = last;
    let least = engines.load.mul_f64(stores as f64 / beside_one_another as f64);
    assert!(took <= least.mul_f64(1.5), "{took:?}, {least:?} at best");
    assert!(most <= beside_one_another * 5 / 2 + 1, "{most} at once");
}

#[test]
fn how_many_load_at_once_follows_the_engines() {
    let mut loads = LoadSchedule::new(LOADS);
    let mut now = Duration::ZERO;
    let mut after = |loads: &mut LoadSchedule, beside_one_another: usize| {
        let engines = Engines { beside_one_another, load: Duration::from_millis(300) };
        for _ in 0..10 {
            now += engines.load_all(loads, now, 120).0 + Duration::from_secs(5);
        }
        loads.limit("s")
    };
    let many = after(&mut loads, 40);
    let few = after(&mut loads, 8);
    let many_again = after(&mut loads, 40);
    assert!(many > 30 && few < 25 && many_again > 30, "{many}, {few}, {many_again}");
}

/// A store that waits for its requests takes long for another reason.
#[test]
fn loads_that_may_have_waited_make_no_others_wait() {
    let mut loads = LoadSchedule::new(LOADS);
    let all = ids(0..40);
    let mut now = 0;
    for id in &all[..4] {
        started(&mut loads, now, &[id]);
        now += 300;
        loads.on_load_ended(Duration::from_millis(now), id, LoadOutcome::Done);
    }
    let before = loads.limit("s");
    for id in &all {
        started_by(&mut loads, now, &[id], LoadMethod::Blocking);
        now += 4_000;
        loads.on_load_ended(Duration::from_millis(now), id, LoadOutcome::Done);
    }
    assert_eq!(loads.limit("s"), before);
}

#[test]
fn services_load_beside_one_another() {
    let mut loads = LoadSchedule::new(LOADS);
    let first = ids(0..NEUTRAL + 1);
    loads.start(Duration::ZERO, "s", &loads_of(&names(&first), LoadMethod::Blocking));
    loads.start(Duration::ZERO, "t", &loads_of(&["j-1"], LoadMethod::Blocking));
    assert_eq!(loads.in_flight_count(), NEUTRAL + 1);
    assert_eq!(loads.next_evaluation(), Some(Duration::from_millis(500)), "a store of the first still waits");
}

#[test]
fn a_store_takes_one_order_at_a_time() {
    let mut loads = LoadSchedule::new(LOADS);
    assert_eq!(started(&mut loads, 0, &["i-1", "i-1"]), ["i-1"]);
}

#[parameterized(busy = { LoadOutcome::Busy, 300 }, failed = { LoadOutcome::Failed, 1_200 })]
fn a_load_that_failed_is_retried_later(end: LoadOutcome, pause: u64) {
    let mut loads = LoadSchedule::new(LOADS);
    started(&mut loads, 0, &["i-1"]);
    loads.on_load_ended(Duration::ZERO, "i-1", end);
    assert_eq!(loads.next_evaluation(), Some(Duration::from_millis(pause)));
    assert!(started(&mut loads, pause - 1, &["i-1"]).is_empty());
    assert_eq!(started(&mut loads, pause, &["i-1"]), ["i-1"]);
}

const STRICT: (&str, &str) = ("strict.example", "/one/");
const LOOSE: (&str, &str) = ("loose.example", "/many/");

fn configuration() -> Configuration {
    let route = |(host, prefix): (&str, &str), single_version: bool| Route {
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        service: "s".to_owned(),
        single_version,
        ..Route::default()
    };
    Configuration { routes: vec![route(STRICT, true), route(LOOSE, false)], ..Configuration::default() }
}

#[parameterized(
    nothing_known = { &[], LoadMethod::Blocking },
    strict_route = { &[STRICT], LoadMethod::Blocking },
    loose_route = { &[LOOSE], LoadMethod::Preserve },
    both = { &[LOOSE, STRICT], LoadMethod::Blocking },
    no_route = { &[("strict.example", "/none/")], LoadMethod::Blocking },
)]
fn running_requests_end_as_the_strictest_route_of_the_model_wants(
    places: &[(&str, &str)],
    expected: LoadMethod,
) {
    let (mut uses, configuration) = (ModelUsage::default(), configuration());
    for (host, prefix) in places {
        uses.on_job_seen(&configuration, "a", host, &format!("{prefix}7c41e0"), 1);
    }
    assert_eq!(uses.method(&configuration, "s", "a"), expected);
    assert_eq!(uses.method(&configuration, "s", "b"), LoadMethod::Blocking, "another model");
    assert_eq!(
        uses.method(&configuration, "other", "b"),
        LoadMethod::Preserve,
        "a service without strict routes"
    );
}

#[test]
fn a_route_that_becomes_strict_or_goes_counts_as_it_is_now() {
    let (mut uses, mut configuration) = (ModelUsage::default(), configuration());
    uses.on_job_seen(&configuration, "a", LOOSE.0, "/many/1", 1);
    configuration.routes[1].single_version = true;
    assert_eq!(uses.method(&configuration, "s", "a"), LoadMethod::Blocking);
    configuration.routes.remove(1);
    assert_eq!(uses.method(&configuration, "s", "a"), LoadMethod::Blocking, "known no more");
}

#[test]
fn model_usage_is_bounded() {
    let (mut uses, mut configuration) = (ModelUsage::default(), configuration());
    for at in 0..MAX_ROUTES + 5 {
        let route = Route { path_prefix: format!("/p{at}/"), ..configuration.routes[1].clone() };
        configuration.routes.push(route);
        uses.on_job_seen(&configuration, "a", LOOSE.0, &format!("/p{at}/x"), 1);
    }
    for at in 0..MAX_MODELS + 5 {
        uses.on_job_seen(&configuration, &format!("m{at}"), LOOSE.0, "/many/1", 1);
    }
    assert_eq!(uses.method(&configuration, "s", "m5"), LoadMethod::Preserve);
    let beyond = format!("m{}", MAX_MODELS + 4);
    assert_eq!(uses.method(&configuration, "s", &beyond), LoadMethod::Blocking);
    assert_eq!(
        uses.floor(&beyond, 9),
        9,
        "of a model that is not remembered only the newest version is sure"
    );
}
