//! Either shape of a deployment runs from a file of our own, whole and without a breach, from lists asked for or pushed.

#![allow(clippy::unwrap_used)]

use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncReadExt;
use gingerledge::http::write_all;
use gingerledge_testkit::client;
use gingerledge_testkit::discovery::View;
use gingerledge_testkit::fleet::ledger::{Deed, Line};
use gingerledge_testkit::fleet::load::Load;
use gingerledge_testkit::fleet::{pause, run, Fleet, Plan};
use gingerledge_testkit::site::{Repeat, Site};
use gingerledge_testkit::store::Fault;
use gingerledge_testkit::world::at;

const LAKES: &str = include_str!("../../../deploy/samples/lakes.toml");
const ARCHIVE: &str = include_str!("../../../deploy/samples/archive.toml");
const WITHIN: Duration = Duration::from_secs(20);

#[test]
fn a_site_that_cannot_be_is_refused_with_key_value_and_way_out() {
    let faulty = [
        (
            ARCHIVE,
            "copies = 2",
            "copies = 4",
            "stores.copies: found 4; give 1 to stores.count and, for sets,",
        ),
        (ARCHIVE, "shards = 12", "shards = 2", "stores.shards: found 2; give as many as there are cells"),
        (ARCHIVE, "memory_ms = 3000.0", "", "class.1.memory_ms: found 0.0; a keyed class, and no other,"),
        (ARCHIVE, "floor = 0.7", "floor = 1.2", "class.0.floor: found 1.2; give a share over 0, up to"),
        (ARCHIVE, "name = \"note\"", "name = \"search\"", "class.1.name: found \"search\"; give each class"),
        (LAKES, "probes = true", "probes = false", "stores.report: found Probe; allow them by rules.probes"),
        (LAKES, "[2.0, 1.5, 0.2]]", "]", "distance_ms: found"),
        (LAKES, "aim_ms = 2000.0", "aim_ms = 6000.0", "class.0.aim_ms: found 6000.0; give an aim"),
        (LAKES, "layout = \"ring\"", "layout = \"heap\"", "expected `ring` or `sets`"),
        (LAKES, "cancel = true", "cancle = true", "unknown field `cancle`"),
    ];
    for (text, sound, fault, said) in faulty {
        assert!(text.contains(sound), "{sound}");
        let error = Site::parse(&text.replacen(sound, fault, 1)).unwrap_err().to_string();
        assert!(error.contains(said), "{fault}: {error}");
    }
}

#[test]
fn shards_lie_as_the_layout_says_and_in_different_zones() {
    for text in [LAKES, ARCHIVE] {
        let site = Site::parse(text).unwrap();
        for shard in 0..site.stores.shards as u32 {
            let holders: Vec<_> = (0..site.stores.count).filter(|store| site.holds(*store, shard)).collect();
            assert_eq!(holders.len(), site.stores.copies);
            assert_ne!(site.zone(holders[0]), site.zone(holders[1]), "shard {shard} of {}", site.name);
        }
    }
}

#[test]
fn an_agent_answers_with_what_it_was_sent_and_is_silent_while_discovery_is_down() {
    at(ARCHIVE, |executor, site| async move {
        let agent =
            gingerledge_testkit::agent::Agent::start(&executor, &site.discovery, View::default()).unwrap();
        let listed = async || client::get(agent.address, "/v1/endpoints").await.unwrap().json();
        assert_eq!(listed().await["instances"].as_array().unwrap().len(), 6);
        let watch = Async::<TcpStream>::connect(agent.address).await.unwrap();
        let call = "GET /v1/endpoints?follow=1&since=0 HTTP/1.1\r\nHost: test\r\n\r\n";
        write_all(&watch, call.as_bytes(), WITHIN).await.unwrap();
        let mut lines = String::new();
        // Reads on until this has come.
        let mut read = async |what: &str| {
            while !lines.contains(what) {
                let mut piece = [0; 4096];
                let n = (&watch).read(&mut piece).await.unwrap();
                lines.push_str(std::str::from_utf8(&piece[..n]).unwrap());
            }
            lines.clone()
        };
        read("\"reset\":true").await;
        site.discovery.down.set(true);
        site.discovery.set_state(2, "removed");
        site.discovery.set_state(3, "draining");
        let silent = futures_lite::future::or(async { Some(listed().await) }, async {
            pause(200).await;
            None
        });
        assert_eq!((silent.await, agent.pushes.get()), (None, 0));
        site.discovery.down.set(false);
        let text = read("\"reset\":false").await;
        let changed =
            &text[text.find("\"generation\":").map_or(0, |_| text.rfind("{\"generation\"").unwrap())..];
        assert!(changed.contains("\"removed\"") && changed.contains("\"draining\""), "{changed}");
        assert!(!changed.contains("\"up\""), "changes alone: {changed}");
        let list = listed().await;
        assert_eq!(list["instances"].as_array().unwrap().len(), 5, "without what is removed");
    });
}

/// Asks each class in turn, some times, of a broker in this process.
fn serves(text: &str) {
    at(text, |executor, site| async move {
        let dir = tempfile::tempdir().unwrap();
        let broker = site.broker(&executor, dir.path()).await.unwrap();
        let (witness, ledger) = (&site.witness, &site.witness.ledger);
        for (class, of) in witness.site.class.iter().enumerate() {
            for n in 0..4 {
                let name = format!("{}-{n}", of.name);
                let text = witness.ask(&name, class, 3 * n, None, false);
                let got = client::exchange(broker.platform, &text).await.unwrap();
                assert_eq!(got.status, 200, "{name}: {}", got.text());
                assert_eq!(witness.judge(0, &name, &got), Some(true), "{name}: {}", got.text());
                let count = if of.follow_up > 0 { of.follow_up } else { of.parts };
                assert_eq!(got.json()["answers"].as_array().unwrap().len(), count, "{name}");
                // A client that tries again has a new id and its old key.
                if of.repeat == Repeat::Keyed {
                    let retry = witness.ask(&format!("{name}-again"), class, 3 * n, Some(&name), false);
                    let again = client::exchange(broker.platform, &retry).await.unwrap();
                    assert_eq!(again.json(), got.json(), "noted once");
                }
            }
        }
        broker.stop().await;
        assert_eq!(ledger.seen(), Vec::<String>::new());
    });
}

#[test]
fn the_sample_of_a_ring_serves_each_class_whole_and_without_a_breach() {
    serves(LAKES);
}

#[test]
fn the_sample_of_sets_serves_each_class_whole_and_without_a_breach() {
    serves(ARCHIVE);
}

#[test]
fn two_brokers_at_the_sets_give_one_answer_each_and_breach_nothing_while_half_of_each_set_stalls_and_dies() {
    // So short that a part which waited in vain at a store that stalls may not go again once that dies.
    let site = Site::parse(&ARCHIVE.replace("memory_ms = 3000.0", "memory_ms = 100.0")).unwrap();
    let plan = Plan { program: Some(env!("CARGO_BIN_EXE_soak").into()), ..Plan::at(site, 2, 46) };
    run(plan, |fleet| async move {
        let until = std::time::Instant::now() + Duration::from_secs(60);
        (0..3).for_each(|store| fleet.stores[store].set_fault(Fault::Stalled(until)));
        // Nothing has taught the brokers yet which stores those are.
        let (notes, witness) = (LocalExecutor::new(), fleet.witness.clone().unwrap());
        let ask =
            |fleet: Rc<Fleet>, k: u32, text: Vec<u8>| async move { fleet.ask(k as usize % 2, &text).await };
        let asked: Vec<_> = (0..12)
            .map(|k| (k, witness.ask(&format!("n{k}"), 1, k, None, false)))
            .map(|(k, text)| notes.spawn(ask(fleet.clone(), k, text)))
            .collect();
        notes.run(pause(400)).await;
        let stalled = |line: &Line| matches!(line.deed, Deed::Began(0..3, _));
        assert!(fleet.ledger.count(Duration::ZERO, stalled) > 0);
        let load = Load::start(&fleet, |_| 50.0);
        let answered = async |more: u64| {
            let then = load.tally.answered.get();
            assert!(
                fleet.until(|| async { load.tally.answered.get() > then + more }).await,
                "{:?}",
                load.tally
            );
        };
        notes.run(answered(30)).await;
        (0..3).for_each(|store| fleet.stores[store].kill());
        for ask in asked {
            assert!(notes.run(ask).await.is_some(), "no final answer");
        }
        answered(60).await;
        let (from, unix) = (fleet.ledger.now(), std::time::UNIX_EPOCH.elapsed().unwrap());
        (0..3).for_each(|store| fleet.stores[store].restart(unix.as_millis() as u64).unwrap());
        fleet.discovery.changed();
        let back = |line: &Line| matches!(line.deed, Deed::Ran(0..3, _));
        assert!(fleet.until(|| async { fleet.ledger.count(from, back) > 5 }).await, "{:?}", load.tally);
        let tally = load.end().await;
        assert!(tally.lost.borrow().is_empty(), "no final answer: {:?}", tally.lost.borrow());
        let ended = tally.answered.get() + tally.refused.get() + tally.failed.get();
        assert_eq!(tally.asked.get(), ended, "{tally:?}");
        assert_eq!(fleet.ledger.seen(), Vec::<String>::new());
    });
}
