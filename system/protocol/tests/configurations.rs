//! Configurations that are rejected independently of the current one.

use gingerledge_protocol::{read_configuration, InvalidConfiguration};
use serde_json::{json, Value};
use yare::parameterized;

fn valid() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "plain", "host": "a.example", "pathPrefix": "/x/", "routeKind": "idempotent", "timeoutMs": 2000,
             "targetLatencyMs": 400, "priority": 2, "service": "one", "maxAttempts": 4},
            {"name": "split", "host": "a.example", "pathPrefix": "/y/", "routeKind": "non_idempotent", "timeoutMs": 0.5,
             "trafficSplit": [{"service": "one", "weight": 90}, {"service": "two", "weight": 0}]},
            {"name": "lots", "host": "a.example", "pathPrefix": "/z/", "routeKind": "deployment", "service": "two",
             "singleVersion": true, "newField": {"of": "tomorrow"}}
        ],
        "services": [
            {"name": "one", "healthPath": "/healthz", "connectionLimit": 160, "protocol": "h1", "tls": false},
            {"name": "two", "engine": {"slots": 12, "kvCacheTokens": 96212, "linkMbps": 4_400_000.0, "models": [{"name": "m"}]}}
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33_554_432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    })
}

fn read(configuration: &Value) -> Result<gingerledge_protocol::Configuration, InvalidConfiguration> {
    read_configuration(configuration.to_string().as_bytes())
}

#[test]
fn a_valid_configuration_is_parsed() {
    let configuration = read(&valid()).expect("valid");
    assert_eq!(configuration.version, 7);
    assert_eq!(configuration.routes.len(), 3);
    assert_eq!(configuration.route("a.example", "/x/path").map(|route| route.name.as_str()), Some("plain"));
    let engine = configuration.service("two").and_then(|service| service.engine.as_ref()).expect("engine");
    assert_eq!((engine.slots, engine.models[0].name.as_str()), (12, "m"));
    assert!(configuration.routes[2].single_version);
}

#[test]
fn a_configuration_without_routes_is_valid() {
    let mut configuration = valid();
    configuration["routes"] = json!([]);
    assert!(read(&configuration).is_ok());
}

#[parameterized(
    unknown_service = { "/routes/0/service", json!("nobody"), "routes.plain.service: `nobody`" },
    no_service = { "/routes/0/service", json!(""), "routes.plain.service: ``" },
    unknown_in_split = { "/routes/1/trafficSplit/1/service", json!("nobody"), "routes.split.service: `nobody`" },
    same_place = { "/routes/1/pathPrefix", json!("/x/"), "routes.split.pathPrefix" },
    no_weight = { "/routes/1/trafficSplit/0/weight", json!(0), "routes.split.trafficSplit" },
    negative_weight = { "/routes/1/trafficSplit/1/weight", json!(-1), "routes.split.trafficSplit" },
    no_timeout = { "/routes/0/timeoutMs", json!(0), "routes.plain.timeoutMs" },
    zero_timeout_of_jobs = { "/routes/2/timeoutMs", json!(0), "routes.lots.timeoutMs" },
    negative_timeout = { "/routes/0/timeoutMs", json!(-5), "routes.plain.timeoutMs" },
    unknown_kind = { "/routes/0/routeKind", json!("sometimes"), "routes.plain.routeKind: `sometimes`" },
    service_twice = { "/services/1/name", json!("one"), "services: `one`" },
    no_version = { "/version", json!(0), "version: " },
    version_of_words = { "/version", json!("seven"), "configuration: " },
    routes_of_words = { "/routes", json!("all"), "configuration: " },
)]
fn the_error_names_the_invalid_field(place: &str, value: Value, text: &str) {
    let mut configuration = valid();
    match configuration.pointer_mut(place) {
        Some(at) => *at = value,
        None => configuration["routes"][2]["timeoutMs"] = value,
    }
    let error = read(&configuration).expect_err("invalid").to_string();
    assert!(error.starts_with(text), "{error}");
}

#[test]
fn a_truncated_configuration_is_rejected() {
    let whole = valid().to_string();
    for end in 0..whole.len() {
        assert!(
            matches!(
                read_configuration(&whole.as_bytes()[..end]),
                Err(InvalidConfiguration::Unreadable { .. })
            ),
            "{end}"
        );
    }
}

#[test]
fn bytes_after_the_end_are_rejected() {
    let twice = valid().to_string() + "{}";
    assert!(matches!(read_configuration(twice.as_bytes()), Err(InvalidConfiguration::Unreadable { .. })));
}
