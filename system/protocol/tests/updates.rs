//! Updates of a configuration: which are rejected, what valid ones change, and that following them equals reading the whole.

use std::sync::Arc;

use gingerledge_protocol::{
    read_configuration, read_update, AppliedUpdate, ConfigurationChange, ConfigurationDocument,
    ConfigurationFollower,
};
use serde_json::{json, Value};
use yare::parameterized;

fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({"name": name, "host": "a.example", "pathPrefix": prefix, "routeKind": "idempotent", "timeoutMs": 2000,
           "targetLatencyMs": 400, "priority": 2, "service": service, "maxAttempts": 4, "newField": {"of": "tomorrow"}})
}

fn service(name: &str, limit: u32) -> Value {
    json!({"name": name, "healthPath": "/healthz", "connectionLimit": limit, "protocol": "h1", "tls": false})
}

fn whole() -> Value {
    json!({
        "version": 7,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33_554_432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "routes": [route("x", "/x/", "one"), route("y", "/y/", "two"), route("z", "/z/", "one")],
        "services": [service("one", 160), service("two", 110)],
        "newList": [{"of": "tomorrow"}],
    })
}

fn document() -> ConfigurationDocument {
    ConfigurationDocument::from_text(Arc::new(whole().to_string().into_bytes()))
}

fn applied(base: u64, sequence: u64, update: &Value) -> AppliedUpdate {
    AppliedUpdate { base, sequence, json: Arc::new(update.to_string().into_bytes()) }
}

/// The result of an update of the whole configuration, or why it is rejected. A rejected one has changed nothing.
fn result_of(update: &Value) -> Result<Value, String> {
    let mut document = document();
    match document.apply(applied(1, 2, update)) {
        Ok(()) => Ok(serde_json::from_slice(&document.to_json()).expect("JSON")),
        Err(error) => {
            assert_eq!(document.to_json().as_slice(), whole().to_string().as_bytes());
            Err(error.to_string())
        }
    }
}

#[parameterized(
    no_json = { r#"{"version":9,"upsert":{"routes":["#, "configuration: EOF" },
    no_version = { r#"{"upsert":{}}"#, "version: must be above 0" },
    unknown_list_of_items = { r#"{"version":9,"upsert":{"tenants":[]}}"#, "unknown field `tenants`" },
    unknown_list_of_names = { r#"{"version":9,"remove":{"limits":[]}}"#, "unknown field `limits`" },
    limits_outside = { r#"{"version":9,"limits":{}}"#, "limits: an update changes named items" },
    routes_outside = { r#"{"version":9,"routes":[]}"#, "routes: an update changes named items" },
    services_outside = { r#"{"version":9,"services":[]}"#, "services: an update changes named items" },
    nameless = { r#"{"version":9,"upsert":{"services":[{"healthPath":"/"}]}}"#, "upsert.services: an item has no name" },
    twice = { r#"{"version":9,"upsert":{"services":[{"name":"s"},{"name":"s"}]}}"#, "upsert.services: `s` stands twice" },
    added_and_removed = {
        r#"{"version":9,"upsert":{"services":[{"name":"s"}]},"remove":{"services":["s"]}}"#,
        "remove.services: `s` stands in `upsert` too"
    },
    no_kind = { r#"{"version":9,"upsert":{"routes":[{"name":"r","service":"one"}]}}"#, "routes.r.routeKind" },
    no_timeout = {
        r#"{"version":9,"upsert":{"routes":[{"name":"r","service":"one","routeKind":"idempotent","timeoutMs":0}]}}"#,
        "routes.r.timeoutMs: must be above 0"
    },
)]
fn an_invalid_update_is_rejected_for_every_configuration(update: &str, reason: &str) {
    let error = read_update(update.as_bytes()).expect_err("it is rejected").to_string();
    assert!(error.contains(reason), "{error}");
}

#[parameterized(
    nothing = { json!({}), json!({}) },
    an_unknown_field = { json!({"comment": "x"}), json!({}) },
    add = { json!({"upsert": {"routes": [route("w", "/w/", "two")]}}), json!({"/routes/3": route("w", "/w/", "two")}) },
    replace_in_place = { json!({"upsert": {"routes": [route("y", "/q/", "one")]}}), json!({"/routes/1": route("y", "/q/", "one")}) },
    replace_service = { json!({"upsert": {"services": [service("one", 5)]}}), json!({"/services/0": service("one", 5)}) },
    removed = { json!({"remove": {"routes": ["y", "z"]}}), json!({"/routes": [route("x", "/x/", "one")]}) },
    removal_of_unknown_names = { json!({"remove": {"routes": ["nobody"], "services": ["nobody"]}}), json!({}) },
    service_with_its_last_route = {
        json!({"remove": {"routes": ["y"], "services": ["two"]}}),
        json!({"/routes": [route("x", "/x/", "one"), route("z", "/z/", "one")], "/services": [service("one", 160)]})
    },
    prefix_that_the_same_update_frees = {
        json!({"upsert": {"routes": [route("w", "/x/", "one")]}, "remove": {"routes": ["x", "y", "z"]}}),
        json!({"/routes": [route("w", "/x/", "one")]})
    },
    two_routes_swap_prefixes = {
        json!({"upsert": {"routes": [route("x", "/y/", "one"), route("y", "/x/", "two")]}}),
        json!({"/routes/0": route("x", "/y/", "one"), "/routes/1": route("y", "/x/", "two")})
    },
    new_service_with_its_route = {
        json!({"upsert": {"routes": [route("w", "/w/", "three")], "services": [service("three", 9)]}}),
        json!({"/routes/3": route("w", "/w/", "three"), "/services/2": service("three", 9)})
    },
)]
fn an_update_changes_exactly_its_items(update: Value, changes: Value) {
    let mut update = update;
    update["version"] = json!(9);
    let mut expected = whole();
    expected["version"] = json!(9);
    for (place, value) in changes.as_object().expect("an object") {
        match expected.pointer_mut(place) {
            Some(known) => *known = value.clone(),
            None => {
                let (list, _) = place.rsplit_once('/').expect("a place");
                expected.pointer_mut(list).and_then(Value::as_array_mut).expect("a list").push(value.clone());
            }
        }
    }
    assert_eq!(result_of(&update), Ok(expected));
}

#[parameterized(
    dangling_new_route = { json!({"upsert": {"routes": [route("w", "/w/", "nobody")]}}), "routes.w.service: `nobody`" },
    dangling_known_route = { json!({"remove": {"services": ["two"]}}), "routes.y.service: `two`" },
    prefix_of_a_known_route = { json!({"upsert": {"routes": [route("w", "/x/", "one")]}}), "routes.x.pathPrefix" },
    one_prefix_twice = {
        json!({"upsert": {"routes": [route("v", "/w/", "one"), route("w", "/w/", "one")]}}), "routes.w.pathPrefix"
    },
)]
fn an_update_with_an_invalid_result_is_rejected(update: Value, reason: &str) {
    let mut update = update;
    update["version"] = json!(9);
    let error = result_of(&update).expect_err("it is rejected");
    assert!(error.contains(reason), "{error}");
}

#[test]
fn routes_with_the_same_name_are_replaced_together() {
    let mut twice = whole();
    twice["routes"][2]["name"] = json!("x");
    let mut document = ConfigurationDocument::from_text(Arc::new(twice.to_string().into_bytes()));
    let update = json!({"version": 9, "upsert": {"routes": [route("x", "/n/", "two")]}});
    document.apply(applied(1, 2, &update)).expect("valid");
    let result: Value = serde_json::from_slice(&document.to_json()).expect("JSON");
    assert_eq!(result["routes"], json!([route("x", "/n/", "two"), route("y", "/y/", "two")]));
}

#[test]
fn unchanged_items_keep_the_text_that_was_sent() {
    let text = r#"{ "version" : 7, "limits":{"maxBodyBytes":1e6}, "routes": [], "services":[{ "name":"s",  "tls":false}]}"#;
    let mut document = ConfigurationDocument::from_text(Arc::new(text.as_bytes().to_vec()));
    document.apply(applied(1, 2, &json!({"version": 8}))).expect("valid");
    let expected =
        r#"{"version":8,"limits":{"maxBodyBytes":1e6},"routes":[],"services":[{ "name":"s",  "tls":false}]}"#;
    assert_eq!(String::from_utf8_lossy(&document.to_json()), expected);
}

/// A drawn update: routes come, go and move, services come and go.
fn drawn_update(random: &mut fastrand::Rng, version: u64) -> Value {
    let mut upserted = Vec::new();
    let mut removed = Vec::new();
    for number in 0..6 {
        let name = format!("r{number}");
        match random.u8(..4) {
            0 => upserted.push(route(
                &name,
                &format!("/{}/", random.u8(..9)),
                ["one", "two", "extra"][random.usize(..3)],
            )),
            1 => removed.push(name),
            _ => {}
        }
    }
    let mut update =
        json!({"version": version, "upsert": {"routes": upserted}, "remove": {"routes": removed}});
    match random.u8(..4) {
        0 => update["upsert"]["services"] = json!([service("extra", random.u32(1..500))]),
        1 => update["remove"]["services"] = json!(["extra"]),
        _ => {}
    }
    update
}

/// Whoever follows update by update, in whatever steps, has the configuration of whoever reads the whole; and an update is taken
/// exactly if the whole that it leads to is valid.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
fn following_updates_equals_reading_the_whole_configuration(seed: u64) {
    const UPDATES: u64 = 400;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut document = document();
    let mut sequence = 1;
    let mut followers: Vec<ConfigurationFollower> = vec![ConfigurationFollower::default(); 4];
    let (mut taken, mut followed, mut whole_reads) = (0, 0, 0);
    for number in 0..UPDATES {
        let update = drawn_update(&mut random, 8 + number);
        let before = document.to_json();
        if document.apply(applied(sequence, sequence + 3, &update)).is_ok() {
            sequence += 3;
            taken += 1;
        } else {
            assert_eq!(document.to_json(), before);
        }
        let read = read_configuration(&document.to_json()).expect("what was taken is valid as a whole");
        for follower in followers.iter_mut().filter(|_| random.u8(..8) == 0) {
            match follower.apply_document(sequence, &document).expect("readable") {
                ConfigurationChange::None => {}
                ConfigurationChange::Replaced => whole_reads += 1,
                ConfigurationChange::Updated(updates) => followed += updates.len(),
            }
            assert_eq!(follower.configuration().map(|configuration| &**configuration), Some(&read));
        }
    }
    assert!(taken > 50 && followed > 100, "{taken} taken, {followed} followed");
    assert_eq!(whole_reads, followers.len(), "each reads the whole once");
}

#[test]
fn only_the_newest_updates_are_retained_and_found_by_their_base() {
    let mut document = document();
    for sequence in 2..200 {
        document.apply(applied(sequence - 1, sequence, &json!({"version": sequence + 9}))).expect("valid");
    }
    let since = |known: u64| {
        document.updates_since(known).map(|series| series.map(|applied| applied.sequence).collect())
    };
    assert_eq!(since(196), Some(vec![197, 198, 199]));
    assert_eq!(since(199), None, "nothing follows");
    assert_eq!(since(3), None, "forgotten");
    assert_eq!(since(0), None);
    assert_eq!(since(135).map(|series: Vec<u64>| series.len()), Some(64));
    assert_eq!(since(134), None);
}

#[test]
fn large_updates_are_not_retained_together() {
    let mut document = document();
    let padding = "x".repeat(700_000);
    for sequence in 2..6 {
        let update = json!({"version": sequence + 9, "comment": padding});
        document.apply(applied(sequence - 1, sequence, &update)).expect("valid");
    }
    assert!(document.updates_since(4).is_some());
    assert!(document.updates_since(3).is_none());
}

#[parameterized(
    from_the_base = { 1, Ok(4) },
    from_the_middle = { 3, Ok(4) },
    known_already = { 4, Ok(4) },
    from_a_change_between = { 2, Err(()) },
)]
fn a_series_is_applied_only_on_its_base(known: u64, expected: Result<u64, ()>) {
    let series = [applied(1, 3, &json!({"version": 8})), applied(3, 4, &json!({"version": 9}))];
    assert_eq!(document().apply_series(known, &series).map_err(|_| ()), expected);
}
