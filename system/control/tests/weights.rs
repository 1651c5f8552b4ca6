//! The planner of weights, and the loads that it leads to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gingerledge_control::coordinator::loads::{LoadEnd, LoadSettings, Loads};
use gingerledge_control::coordinator::weights::{EngineService, EngineStore, Homes, Load, LoadMethod};
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
    single_version: bool,
) -> BTreeMap<String, EngineService> {
    let models = models.iter().map(|(model, version)| ((*model).to_owned(), *version)).collect();
    BTreeMap::from([("s".to_owned(), EngineService { models, single_version, stores })])
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
    three_models = { 12, &["a", "b", "c"], 4 },
    two_models = { 11, &["a", "b"], 5 },
    fewer_stores_than_models = { 2, &["a", "b", "c"], 1 },
    one_model = { 4, &["a"], 4 },
    no_stores = { 0, &["a", "b"], 0 },
)]
fn each_model_has_its_share_of_home_stores(count: usize, models: &[&str], share: usize) {
    let models: Vec<(&str, u64)> = models.iter().map(|model| (*model, 1)).collect();
    let mut homes = Homes::default();
    assert!(homes.plan(&world(stores(count), &models, true)).is_empty(), "nothing is named yet");
    for (model, _) in models {
        assert_eq!(homes_of(&homes, model).len(), share);
    }
}

#[test]
fn homes_of_different_models_do_not_meet_where_there_is_room() {
    let mut homes = Homes::default();
    homes.plan(&world(stores(12), &[("a", 1), ("b", 1), ("c", 1)], true));
    let all: BTreeSet<String> = ["a", "b", "c"].iter().flat_map(|model| homes_of(&homes, model)).collect();
    assert_eq!(all.len(), 12);
}

#[test]
fn homes_that_met_while_few_stores_were_known_part_when_more_come() {
    let mut homes = Homes::default();
    let models = [("a", 1), ("b", 1), ("c", 1)];
    for known in 1..=12 {
        homes.plan(&world(stores(known), &models, true));
    }
    let all: BTreeSet<String> = ["a", "b", "c"].iter().flat_map(|model| homes_of(&homes, model)).collect();
    assert_eq!(all.len(), 12);
}

#[test]
fn homes_that_met_stay_where_parting_would_cost_loads() {
    let mut homes = Homes::default();
    let mut services = world(stores(1), &[("a", 2), ("b", 2)], true);
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
    homes.plan(&world(stores(12), &[("a", 1), ("b", 1), ("c", 1)], true));
    let zones: BTreeSet<u32> =
        homes_of(&homes, "a").iter().filter_map(|id| id[2..].parse::<u32>().ok()).map(|at| at % 4).collect();
    assert_eq!(zones.len(), 4);
}

#[parameterized(single = { true, LoadMethod::Blocking }, any = { false, LoadMethod::Preserve })]
fn a_named_version_is_loaded_at_the_homes_only(single_version: bool, method: LoadMethod) {
    let mut homes = Homes::default();
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], single_version);
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
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], true);
    let first = homes.plan(&services);
    load_all(&mut services, &first);
    let before = homes_of(&homes, "a");
    for version in 3..9 {
        for service in services.values_mut() {
            service.models.insert("a".to_owned(), version);
        }
        let loads = homes.plan(&services);
        assert_eq!(loads.len(), 4);
        load_all(&mut services, &loads);
    }
    assert_eq!(homes_of(&homes, "a"), before);
}

#[test]
fn a_new_coordinator_finds_the_homes_by_their_versions() {
    let mut services = world(stores(12), &[("a", 2), ("b", 3), ("c", 2)], true);
    let mut first = Homes::default();
    let loads = first.plan(&services);
    load_all(&mut services, &loads);
    let mut second = Homes::default();
    assert!(second.plan(&services).is_empty(), "a change of the coordinator loads nothing");
    for model in ["a", "b", "c"] {
        assert_eq!(homes_of(&first, model), homes_of(&second, model));
    }
}

#[test]
fn a_lost_home_is_replaced_where_the_version_is_there_already() {
    let mut services = world(stores(12), &[("a", 2), ("b", 1), ("c", 1)], true);
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
    homes.plan(&world(stores(4), &[("a", 1), ("b", 1)], true));
    homes.plan(&world(stores(4), &[("a", 1)], true));
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
