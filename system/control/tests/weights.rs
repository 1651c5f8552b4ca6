//! The planner of weights, and the loads that it leads to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_control::coordinator::loads::{LoadEnd, LoadSettings, Loads};
use gingerledge_control::coordinator::uses::{ModelUses, MAX_MODELS, MAX_PLACES};
use gingerledge_control::coordinator::weights::{
    EngineService, EngineStore, Homes, Load, LoadMethod, WantedModel,
};
use gingerledge_protocol::{Configuration, Route};
use yare::parameterized;

fn stores(count: usize) -> Vec<EngineStore> {
    let store = |at: usize| EngineStore {
        id: format!("i-{at:02}"),
        zone: format!("zone-{}", at % 4),
        versions: BTreeMap::new(),
    };
    (0..count).map(store).collect()
}

/// One service with models at the named versions.
fn world(
    stores: Vec<EngineStore>,
    models: &[(&str, u64)],
    method: LoadMethod,
) -> BTreeMap<String, EngineService> {
    let wanted =
        |(model, version): &(&str, u64)| ((*model).to_owned(), WantedModel { version: *version, method });
    let models = models.iter().map(wanted).collect();
    BTreeMap::from([("s".to_owned(), EngineService { models, stores })])
}

fn homes_of(homes: &Homes, model: &str) -> BTreeSet<String> {
    homes.of("s", model).cloned().unwrap_or_default()
}

fn load_all(services: &mut BTreeMap<String, EngineService>, loads: &[Load]) {
    let stores = services.values_mut().flat_map(|service| &mut service.stores);
    for store in stores {
        for load in loads.iter().filter(|load| load.id == store.id) {
            store.versions.insert(load.model.clone(), load.version);
        }
    }
}

#[parameterized(
    three_models = { 12, &["a", "b", "c"], 5 },
    two_models = { 11, &["a", "b"], 7 },
    after_a_loss = { 11, &["a", "b", "c"], 5 },
    fewer_stores_than_models = { 2, &["a", "b", "c"], 1 },
    one_model = { 4, &["a"], 4 },
    no_stores = { 0, &["a", "b"], 0 },
)]
fn each_model_has_its_share_of_home_stores(count: usize, models: &[&str], share: usize) {
    let models: Vec<(&str, u64)> = models.iter().map(|model| (*model, 1)).collect();
    let mut homes = Homes::default();
    assert!(
        homes.plan(&world(stores(count), &models, LoadMethod::Blocking)).is_empty(),
        "nothing is named yet"
    );
    for (model, _) in models {
        assert_eq!(homes_of(&homes, model).len(), share);
    }
}

#[test]
fn homes_of_different_models_do_not_meet_where_there_is_room() {
    let mut homes = Homes::default();
    homes.plan(&world(stores(12), &[("a", 1), ("b", 1), ("c", 1)], LoadMethod::Blocking));
    let all: BTreeSet<String> = ["a", "b", "c"].iter().flat_map(|model| homes_of(&homes, model)).collect();
    assert_eq!(all.len(), 12);
}

#[test]
fn homes_that_met_while_few_stores_were_known_part_when_more_come() {
    let mut homes = Homes::default();
    let models = [("a", 1), ("b", 1), ("c", 1)];
    for known in 1..=12 {
        homes.plan(&world(stores(known), &models, LoadMethod::Blocking));
    }
    let all: BTreeSet<String> = ["a", "b", "c"].iter().flat_map(|model| homes_of(&homes, model)).collect();
    assert_eq!(all.len(), 12);
}

#[test]
fn homes_that_met_stay_where_parting_would_cost_loads() {
    let mut homes = Homes::default();
    let mut services = world(stores(1), &[("a", 2), ("b", 2), ("c", 2)], LoadMethod::Blocking);
    let loads = homes.plan(&services);
    load_all(&mut services, &loads);
    for service in services.values_mut() {
        service.stores.extend(stores(2).into_iter().skip(1));
    }
    assert!(homes.plan(&services).is_empty());
}

#[test]
fn homes_are_spread_over_zones() {
    let mut homes = Homes::default();
    homes.plan(&world(stores(12), &[("a", 1), ("b", 1), ("c", 1)], LoadMethod::Blocking));
    let zones: BTreeSet<u32> =
        homes_of(&homes, "a").iter().filter_map(|id| id[2..].parse::<u32>().ok()).map(|at| at % 4).collect();
    assert_eq!(zones.len(), 4);
}

#[parameterized(blocking = { LoadMethod::Blocking }, preserve = { LoadMethod::Preserve })]
fn a_named_version_is_loaded_at_the_homes_only(method: LoadMethod) {
    let mut homes = Homes::default();
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], method);
    let loads = homes.plan(&services);
    let loaded: BTreeSet<String> = loads.iter().map(|load| load.id.clone()).collect();
    assert_eq!(loaded, homes_of(&homes, "a"));
    assert!(loads.iter().all(|load| load.model == "a" && load.version == 2 && load.method == method));
    load_all(&mut services, &loads);
    assert!(homes.plan(&services).is_empty(), "what is loaded is not loaded again");
}

#[test]
fn homes_stay_when_versions_rise() {
    let mut homes = Homes::default();
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], LoadMethod::Blocking);
    let first = homes.plan(&services);
    load_all(&mut services, &first);
    let before = homes_of(&homes, "a");
    for version in 3..9 {
        for service in services.values_mut() {
            service.models.insert("a".to_owned(), WantedModel { version, method: LoadMethod::Blocking });
        }
        let loads = homes.plan(&services);
        assert_eq!(loads.len(), 5);
        load_all(&mut services, &loads);
    }
    assert_eq!(homes_of(&homes, "a"), before);
}

#[test]
fn a_new_coordinator_finds_the_homes_by_their_versions() {
    let mut services = world(stores(12), &[("a", 2), ("b", 3), ("c", 2)], LoadMethod::Blocking);
    let mut first = Homes::default();
    let loads = first.plan(&services);
    load_all(&mut services, &loads);
    let mut second = Homes::default();
    assert!(second.plan(&services).is_empty(), "a change of the coordinator loads nothing");
    for model in ["a", "b", "c"] {
        assert_eq!(homes_of(&first, model), homes_of(&second, model));
    }
}

#[parameterized(first = { 0 }, middle = { 4 }, last = { 8 })]
fn a_new_coordinator_takes_whichever_stores_have_the_version(first: usize) {
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], LoadMethod::Blocking);
    let have: BTreeSet<String> = (first..first + 4).map(|at| format!("i-{at:02}")).collect();
    let loaded = services.values_mut().flat_map(|service| &mut service.stores);
    for store in loaded.filter(|store| have.contains(&store.id)) {
        store.versions.insert("a".to_owned(), 2);
    }
    let mut homes = Homes::default();
    homes.plan(&services);
    assert!(have.is_subset(&homes_of(&homes, "a")), "{:?}", homes_of(&homes, "a"));
}

#[test]
fn a_lost_home_is_replaced_where_the_version_is_there_already() {
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], LoadMethod::Blocking);
    let mut homes = Homes::default();
    let loads = homes.plan(&services);
    load_all(&mut services, &loads);
    let lost = homes_of(&homes, "a").pop_first().expect("a home");
    let newest = EngineStore {
        id: "i-new".to_owned(),
        zone: "zone-0".to_owned(),
        versions: BTreeMap::from([("a".to_owned(), 2)]),
    };
    for service in services.values_mut() {
        service.stores.retain(|store| store.id != lost);
        service.stores.push(newest.clone());
    }
    assert!(homes.plan(&services).is_empty());
    assert!(homes_of(&homes, "a").contains("i-new"));
}

#[test]
fn what_the_configuration_drops_has_no_homes() {
    let mut homes = Homes::default();
    homes.plan(&world(stores(4), &[("a", 1), ("b", 1)], LoadMethod::Blocking));
    homes.plan(&world(stores(4), &[("a", 1)], LoadMethod::Blocking));
    assert!(homes.of("s", "b").is_none());
    assert_eq!(homes_of(&homes, "a").len(), 4);
}

const LOADS: LoadSettings = LoadSettings {
    at_once: 2,
    busy_retry: Duration::from_millis(300),
    failed_retry: Duration::from_millis(1_200),
};

fn due(ids: &[&str]) -> Vec<Load> {
    let load = |id: &&str| Load {
        id: (*id).to_owned(),
        model: "a".to_owned(),
        version: 2,
        method: LoadMethod::Blocking,
    };
    ids.iter().map(load).collect()
}

fn started(loads: &mut Loads, now: u64, ids: &[&str]) -> Vec<String> {
    let started = loads.start(Duration::from_millis(now), "s", &due(ids));
    started.into_iter().map(|load| load.id).collect()
}

#[test]
fn a_bounded_number_of_stores_loads_at_once() {
    let mut loads = Loads::new(LOADS);
    assert_eq!(started(&mut loads, 0, &["i-1", "i-2", "i-3"]), ["i-1", "i-2"]);
    assert!(started(&mut loads, 10, &["i-1", "i-2", "i-3"]).is_empty());
    loads.ended(Duration::from_millis(20), "i-1", LoadEnd::Done);
    assert_eq!(started(&mut loads, 20, &["i-2", "i-3"]), ["i-3"]);
}

#[test]
fn a_store_takes_one_order_at_a_time() {
    let mut loads = Loads::new(LOADS);
    assert_eq!(started(&mut loads, 0, &["i-1", "i-1"]), ["i-1"]);
}

#[parameterized(busy = { LoadEnd::Busy, 300 }, failed = { LoadEnd::Failed, 1_200 })]
fn a_store_that_did_not_load_is_asked_again_later(end: LoadEnd, pause: u64) {
    let mut loads = Loads::new(LOADS);
    started(&mut loads, 0, &["i-1"]);
    loads.ended(Duration::ZERO, "i-1", end);
    assert_eq!(loads.next_retry(), Some(Duration::from_millis(pause)));
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
    let (mut uses, configuration) = (ModelUses::default(), configuration());
    for (host, prefix) in places {
        uses.seen(&configuration, "a", host, &format!("{prefix}7c41e0"));
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
    let (mut uses, mut configuration) = (ModelUses::default(), configuration());
    uses.seen(&configuration, "a", LOOSE.0, "/many/1");
    configuration.routes[1].single_version = true;
    assert_eq!(uses.method(&configuration, "s", "a"), LoadMethod::Blocking);
    configuration.routes.remove(1);
    assert_eq!(uses.method(&configuration, "s", "a"), LoadMethod::Blocking, "known no more");
}

#[test]
fn uses_are_bounded() {
    let (mut uses, mut configuration) = (ModelUses::default(), configuration());
    for at in 0..MAX_PLACES + 5 {
        let route = Route { path_prefix: format!("/p{at}/"), ..configuration.routes[1].clone() };
        configuration.routes.push(route);
        uses.seen(&configuration, "a", LOOSE.0, &format!("/p{at}/x"));
    }
    for at in 0..MAX_MODELS + 5 {
        uses.seen(&configuration, &format!("m{at}"), LOOSE.0, "/many/1");
    }
    assert_eq!(uses.method(&configuration, "s", "m5"), LoadMethod::Preserve);
    assert_eq!(uses.method(&configuration, "s", &format!("m{}", MAX_MODELS + 4)), LoadMethod::Blocking);
}
