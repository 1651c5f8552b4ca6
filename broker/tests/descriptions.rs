//! The descriptions against the code: OpenAPI for the feature front, AsyncAPI for frames and datagrams.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use gingerledge::front::features::describe::CONFORMANCE;
use gingerledge::store::frame;
use gingerledge_testkit::scripted::{get, run};
use serde_json::Value;

const ASYNC_API: &str = include_str!("../asyncapi.json");

#[test]
fn every_path_of_the_openapi_description_is_served_as_described() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), Some(world.operator(&[0]))).await;
        let at = broker.features.unwrap();
        let api = get(at, "/api", "").await;
        let kind = api.head.header("Content-Type");
        assert_eq!(kind, Some("application/vnd.oai.openapi+json;version=3.0"));
        let api = api.json();
        assert!(api["openapi"].as_str().unwrap().starts_with("3.0"));
        let example = |name: &str| match name {
            "collectionId" => "yards",
            "featureId" => "yard-001",
            "bbox" => "100,40,120,50",
            "datetime" => "2026-05-01T00:00:00Z",
            "limit" => "1",
            "f" => "json",
            other => panic!("no example of `{other}`"),
        };
        for (path, item) in api["paths"].as_object().unwrap() {
            let operation = &item["get"];
            let (mut target, mut pairs) = (path.clone(), Vec::new());
            for parameter in operation["parameters"].as_array().unwrap() {
                let name = parameter["name"].as_str().unwrap();
                match parameter["in"].as_str().unwrap() {
                    "path" => target = target.replace(&format!("{{{name}}}"), example(name)),
                    // The cursor goes alone; another test follows it.
                    _ if name == "cursor" => {}
                    _ => pairs.push(format!("{name}={}", example(name))),
                }
            }
            let got = get(at, &format!("{target}?{}", pairs.join("&")), "").await;
            let described = operation["responses"]["200"]["content"].as_object().unwrap();
            assert_eq!(got.status, 200, "{target}");
            assert!(described.contains_key(got.head.header("Content-Type").unwrap()), "{target}");
            let bad = get(at, &format!("{target}?no-such-parameter=1"), "").await.status;
            let missing = get(at, &target.replace("yards", "hives"), "").await.status;
            for status in [bad, missing] {
                let described = operation["responses"].get(status.to_string());
                assert!(described.is_some(), "{target}: {status} is not described");
            }
        }
    });
}

#[test]
fn the_landing_page_leads_everywhere_and_declares_what_is_met() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), Some(world.operator(&[]))).await;
        let at = broker.features.unwrap();
        let landing = get(at, "/", "").await;
        for rel in ["self", "service-desc", "conformance", "data"] {
            assert_eq!(get(at, &landing.link(rel).unwrap(), "").await.status, 200, "{rel}");
        }
        let declared = get(at, "/conformance", "").await.json();
        assert_eq!(declared["conformsTo"], Value::from(CONFORMANCE.to_vec()));
        let collections = get(at, "/collections", "").await.json();
        let one = get(at, "/collections/yards", "").await;
        assert_eq!(collections["collections"][0], one.json());
        assert_eq!(get(at, &one.link("items").unwrap(), "").await.status, 200);
        assert_eq!(one.json()["extent"]["spatial"]["bbox"].as_array().unwrap().len(), 3);
    });
}

fn letters(api: &Value, operation: &str) -> BTreeSet<u8> {
    let messages = api["operations"][operation]["messages"].as_array().unwrap();
    let of = |message: &Value| {
        let name = message["$ref"].as_str().unwrap().rsplit('/').next().unwrap();
        api["components"]["messages"][name]["payload"]["properties"]["letter"]["const"].clone()
    };
    messages.iter().map(|message| of(message).as_str().unwrap().as_bytes()[0]).collect()
}

#[test]
fn the_asyncapi_description_names_the_frames_that_the_code_speaks() {
    let api: Value = serde_json::from_str(ASYNC_API).unwrap();
    assert!(api["asyncapi"].as_str().unwrap().starts_with("3."));
    let sent = letters(&api, "sendToStore");
    assert_eq!(sent, [frame::CALL, frame::WITHDRAW].into());
    let received = letters(&api, "receiveFromStore");
    assert_eq!(received, [frame::PROBE, frame::LOAD_PROBE, frame::ANSWER, frame::PROTOCOL_ERROR].into());
    for letter in b'a'..=b'z' {
        let known = frame::parse(letter, b"a.1 good 1 -\n").is_ok() || frame::parse(letter, b"-").is_ok();
        assert_eq!(known, received.contains(&letter), "letter {}", char::from(letter));
    }
    let most = &api["components"]["schemas"]["length"]["maximum"];
    assert_eq!(most.as_u64(), Some(frame::FRAME_MAX as u64));
    for example in api["components"]["messages"]["answer"]["examples"].as_array().unwrap() {
        let rest = example["payload"]["rest"].as_str().unwrap();
        assert!(frame::parse(frame::ANSWER, rest.as_bytes()).is_ok(), "{rest}");
    }
    let calls = &api["components"]["messages"]["call"]["examples"];
    for (call, list) in [(0, "d=240"), (1, "d=240,k=5c0f6e1a2b3d4c59a8b7c6d5e4f30211")] {
        let made = frame::part("9b1f03aa5c7e2d41.3", 3, list, b"c41e77d0");
        assert_eq!(calls[call]["payload"]["rest"].as_str().unwrap().as_bytes(), made);
    }
}

#[test]
fn the_asyncapi_description_has_datagrams_that_no_operation_sends() {
    let api: Value = serde_json::from_str(ASYNC_API).unwrap();
    assert_eq!(api["components"]["messages"]["datagram"]["payload"]["maxLength"], 256);
    let operations = api["operations"].as_object().unwrap();
    let on_peers = |operation: &&Value| operation["channel"]["$ref"] == "#/channels/peers";
    assert_eq!(operations.values().filter(on_peers).count(), 0, "the module asks for none");
    assert!(api["channels"]["peers"].is_object());
}
