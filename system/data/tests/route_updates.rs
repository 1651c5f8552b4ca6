//! A table of routes that follows updates finds what one that was made of the whole configuration finds.

use std::sync::Arc;

use gingerledge_data::routing::RouteTable;
use gingerledge_protocol::{
    AppliedUpdate, ConfigurationChange, ConfigurationDocument, ConfigurationFollower,
};
use serde_json::{json, Value};
use yare::parameterized;

fn route(random: &mut fastrand::Rng, name: &str) -> Value {
    let service = ["plain", "engines", "extra"][random.usize(..3)];
    let host = ["a.test", "B.test"][random.usize(..2)];
    let prefix = ["/", "/x/", "/x/y/", "/z/"][random.usize(..4)];
    json!({"name": name, "host": host, "pathPrefix": prefix, "routeKind": "idempotent", "timeoutMs": random.u32(1..9),
           "service": service})
}

fn update(random: &mut fastrand::Rng, version: u64) -> Value {
    let (mut upserted, mut removed) = (Vec::new(), Vec::new());
    for name in ["r0", "r1", "r2", "r3", "r4"] {
        match random.u8(..5) {
            0 => upserted.push(route(random, name)),
            1 => removed.push(name),
            _ => {}
        }
    }
    let engine = random.bool().then(|| json!({"slots": 4, "models": [{"name": "m"}]}));
    let services = if random.u8(..3) == 0 { json!([{"name": "extra", "engine": engine}]) } else { json!([]) };
    json!({"version": version, "upsert": {"routes": upserted, "services": services}, "remove": {"routes": removed}})
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn a_table_that_follows_updates_is_that_of_the_whole(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let services = json!([{"name": "plain"}, {"name": "engines", "engine": {"slots": 4}}, {"name": "extra"}]);
    let whole = json!({"version": 1, "routes": [], "services": services}).to_string();
    let mut document = ConfigurationDocument::from_text(Arc::new(whole.into_bytes()));
    let mut followed = ConfigurationFollower::default();
    let mut table = RouteTable::default();
    let mut sequence = 1;
    let mut updates = 0;
    for number in 0..300 {
        let json = Arc::new(update(&mut random, number + 2).to_string().into_bytes());
        let next = AppliedUpdate { base: sequence, sequence: sequence + 1, json };
        sequence += u64::from(document.apply(next).is_ok());
        if random.u8(..3) > 0 {
            continue;
        }
        let change = followed.apply_document(sequence, &document).expect("readable");
        let configuration = followed.configuration().expect("a configuration");
        match change {
            ConfigurationChange::None => {}
            ConfigurationChange::Replaced => table = RouteTable::from_configuration(configuration),
            ConfigurationChange::Updated(series) => {
                updates += series.len();
                series.iter().for_each(|update| table.apply(configuration, update));
            }
        }
        let expected = RouteTable::from_configuration(configuration);
        for host in ["a.test", "b.test"] {
            for path in ["/", "/x/1", "/x/y/1", "/z/1", "/q"] {
                assert_eq!(table.find(host, path), expected.find(host, path), "{host}{path}, seed {seed}");
            }
        }
    }
    assert!(updates > 50, "{updates}");
}
