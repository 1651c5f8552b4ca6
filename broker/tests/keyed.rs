//! Classes whose parts stores tell apart by the client's key: it goes with every attempt of every part, to both fronts
//! and both forms of store, and without a key that can be used nothing is sent.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;

use gingerledge::core::{
    AttemptRequest, Command, Core, CoreEvent, Guard, IdempotencyKey, PartRequest, Query, QueryFormat, KEY_MAX,
};
use gingerledge_dispatch::{Class, ListKind, Outcome, Repeat, ServerEntry, Settings};
use gingerledge_testkit::scripted::{exchange, get, query, run, Mood, World};
use serde_json::{json, Value};

const KEY: &str = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// The settings with these classes keyed.
fn keyed(world: &World, classes: &[usize]) -> Value {
    let mut settings = world.settings();
    for class in classes {
        settings["categories"][class]["repeat"] = json!("keyed");
    }
    settings
}

/// A query's text with more header lines.
fn with(id: &str, class: &str, lines: &[u8]) -> Vec<u8> {
    let text = query(id, class, 2400, &[0, 1, 2], "c41e");
    let at = text.windows(2).position(|pair| pair == b"\r\n").unwrap() + 2;
    [&text[..at], lines, &text[at..]].concat()
}

#[test]
fn the_key_goes_with_every_attempt_of_both_steps() {
    run(3, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Serves, Mood::Errs, Mood::Serves];
        let broker = world.broker(keyed(&world, &[0]), None).await;
        let line = format!("idempotency-key:  {KEY}\t\r\n");
        let got = exchange(broker.platform, &with("q1", "flow-report", line.as_bytes())).await.unwrap();
        assert_eq!(got.status, 200);
        let sent = world.sent.borrow();
        assert!(sent.iter().any(|part| part.id.ends_with(".r")), "a second step");
        assert!(broker.counters.attempts.get() > 5, "more attempts than parts");
        for part in sent.iter() {
            let (first, rest) = part.list.split_once(',').unwrap();
            assert!(first.strip_prefix("d=").is_some_and(|ms| ms.parse::<u64>().is_ok()), "{}", part.list);
            assert!(rest == format!("k={KEY}") || rest.starts_with(&format!("k={KEY},from=")), "{rest}");
        }
    });
}

#[test]
fn a_key_that_is_missing_or_unfit_is_named_and_nothing_is_sent_on() {
    run(3, |world| async move {
        let broker = world.broker(keyed(&world, &[1]), None).await;
        let long = "k".repeat(KEY_MAX + 1);
        let bad: [(&[u8], &str); 10] = [
            (b"", "missing"),
            (b"Idempotency-Key:\r\n", "empty"),
            (b"Idempotency-Key: a,b\r\n", "','"),
            (b"Idempotency-Key: a=b\r\n", "'='"),
            (b"Idempotency-Key: a b\r\n", "' '"),
            (b"Idempotency-Key: a\tb\r\n", "'\\t'"),
            (b"Idempotency-Key: caf\xc3\xa9\r\n", "'\u{e9}'"),
            (b"Idempotency-Key: \xff\r\n", "no text"),
            (b"Idempotency-Key: a\r\nIDEMPOTENCY-KEY: a\r\n", "twice"),
            (&[b"Idempotency-Key: ", long.as_bytes(), b"\r\n"].concat(), "129 characters"),
        ];
        for (lines, what) in bad {
            let got = exchange(broker.platform, &with("q1", "yard-compare", lines)).await.unwrap();
            let text = got.text();
            assert_eq!(got.status, 400, "{text}");
            assert!(text.starts_with("Idempotency-Key: ") && text.contains(what), "{what}: {text}");
        }
        assert_eq!((world.sent.borrow().len(), broker.counters.queries.get()), (0, 0));
        let line = [b"Idempotency-Key: ", &long.as_bytes()[1..], b"\r\n"].concat();
        assert_eq!(exchange(broker.platform, &with("q2", "yard-compare", &line)).await.unwrap().status, 200);
        assert!(world.sent.borrow().iter().all(|part| part.key.as_deref() == Some(&long[1..])));
    });
}

#[test]
fn a_key_that_comes_in_another_class_goes_no_further() {
    run(3, |world| async move {
        let broker = world.broker(keyed(&world, &[0]), None).await;
        for (n, lines) in [format!("Idempotency-Key: {KEY}\r\n"), "Idempotency-Key: a,b\r\n".to_owned()]
            .into_iter()
            .enumerate()
        {
            let text = with(&format!("q{n}"), "yard-compare", lines.as_bytes());
            assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
        }
        assert!(world.sent.borrow().iter().all(|part| part.key.is_none() && !part.list.contains(',')));
    });
}

#[test]
fn the_feature_front_passes_the_key_to_stores_of_both_forms() {
    run(3, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Serves, Mood::Full, Mood::Serves];
        let broker = world.broker(keyed(&world, &[1]), Some(world.operator(&[0, 1]))).await;
        let at = broker.features.unwrap();
        for target in ["/collections/yards/items", "/collections/yards/items/yard-001"] {
            for (lines, what) in [("", "missing"), ("Idempotency-Key: a,b\r\n", "','")] {
                let got = get(at, target, lines).await;
                let detail = got.json()["detail"].as_str().unwrap().to_owned();
                assert!(detail.starts_with("Idempotency-Key: ") && detail.contains(what), "{detail}");
                assert_eq!(got.status, 400);
            }
            assert_eq!(world.sent.borrow().len(), 0);
            assert_eq!(get(at, target, &format!("Idempotency-Key: {KEY}\r\n")).await.status, 200);
            let sent = std::mem::take(&mut *world.sent.borrow_mut());
            assert!(sent.iter().any(|part| part.features) && sent.iter().any(|part| !part.features));
            assert!(sent.iter().all(|part| part.key.as_deref() == Some(KEY)), "{sent:?}");
        }
        let api = get(at, "/api", "").await.json();
        let parameters = &api["paths"]["/collections/{collectionId}/items"]["get"]["parameters"];
        let mut keys = parameters.as_array().unwrap().iter().filter(|p| p["in"] == "header");
        assert_eq!(
            keys.next().map(|p| (&p["name"], &p["required"])),
            Some((&json!("Idempotency-Key"), &json!(true)))
        );
    });
}

fn orders(commands: Vec<Command>) -> Vec<AttemptRequest> {
    let order = |command| if let Command::Send(order) = command { Some(order) } else { None };
    commands.into_iter().filter_map(order).collect()
}

/// The module is told that stores remember for long and the core that they don't: its guard is the last.
#[test]
fn the_core_refuses_an_attempt_past_what_stores_remember() {
    for (outcome, after, again) in [
        (Outcome::Failure, 90.0, true),
        (Outcome::Failure, 110.0, false),
        // What has never run may run, however late.
        (Outcome::Overloaded, 110.0, true),
    ] {
        let class = Class {
            latency_target_ms: 5000.0,
            deadline_ms: 9000.0,
            value: 1.0,
            late_value_share: 0.3,
            repeat: Repeat::Keyed,
            deduplication_ms: 100.0,
            ..Class::default()
        };
        let mut settings = Settings {
            aggregators: 1,
            turn_ms: 5.0,
            classes: vec![class],
            cells: 3,
            reach: 3,
            shards: 3,
            max_parts_per_call: 1,
            max_attempts: 3,
            ..Settings::default()
        };
        let guard = Guard::new(&settings);
        settings.classes[0].deduplication_ms = 8000.0;
        let mut core = Core::new(7, settings, 0.0).with_guard(guard);
        let entries = (0..3).map(|n| ServerEntry { server: n, cell: n, ..ServerEntry::default() }).collect();
        core.turn(0.0, [CoreEvent::EndpointsListed(ListKind::Complete, entries)]);
        let question = Query {
            name: "q".into(),
            class: 0,
            tenant: None,
            deadline: 9000.0,
            is_retry: false,
            key: Some(IdempotencyKey::new(KEY).unwrap()),
            parts: vec![PartRequest { shard: 0, weight: 1.0, ..PartRequest::default() }],
            text: Rc::from(&b"x"[..]),
            format: QueryFormat::Opaque,
        };
        let first = orders(core.turn(1.0, [CoreEvent::QuerySubmitted(1, question)]));
        let [AttemptRequest { attempt, key: Some(key), .. }] = &first[..] else { panic!("{first:?}") };
        assert_eq!(key.as_str(), KEY);
        let second = orders(core.turn(1.0 + after, [CoreEvent::AttemptEnded(*attempt, outcome.into())]));
        assert_eq!(second.len() == 1, again, "{outcome:?} after {after} ms");
        assert!(second.iter().all(|order| order.key == first[0].key));
    }
}
