//! Blocks that move, end to end: the broker between clients and stores with real readings.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use gingerledge::service::Broker;
use gingerledge_blocks::{Mode, Span};
use gingerledge_testkit::client::{exchange, get, put, query, until, Got};
use gingerledge_testkit::data;
use gingerledge_testkit::store::Fault;
use gingerledge_testkit::world::{Size, World};
use serde_json::{json, Value};

const SIZE: Size = Size { stores: 6, used: 4, blocks: 8, weighers: 320, work: Duration::from_millis(3) };
const WITHIN: Duration = Duration::from_secs(15);

struct Here {
    executor: Rc<LocalExecutor<'static>>,
    world: World,
    broker: Broker,
    dir: tempfile::TempDir,
}

impl Here {
    fn door(&self) -> SocketAddr {
        self.broker.admin.expect("a door")
    }

    async fn shown(&self) -> Value {
        get(self.door(), "/blocks").await.expect("an answer").json()
    }

    /// Asks for a change and waits for its end; gives the step it ended at.
    async fn change(&self, path: &str, body: Value) -> String {
        let id = self.begin(path, body).await;
        let end = std::time::Instant::now() + WITHIN;
        while std::time::Instant::now() < end {
            let shown = self.shown().await;
            let past = shown["past"].as_array().cloned().unwrap_or_default();
            if let Some(past) = past.iter().find(|past| past["change"] == id) {
                return past["step"].as_str().unwrap_or_default().to_owned();
            }
            Timer::after(Duration::from_millis(5)).await;
        }
        panic!("change {id} does not end: {}", self.shown().await["changes"]);
    }

    async fn begin(&self, path: &str, body: Value) -> u64 {
        let got = put(self.door(), &format!("/blocks/{path}"), &body.to_string()).await.expect("an answer");
        assert_eq!(got.status, 200, "{path} {body}: {}", got.text());
        got.text().strip_prefix("change ").and_then(|id| id.parse().ok()).expect("a number")
    }

    async fn ask(&self, id: &str, class: &str, parts: &[(u32, Option<u64>)]) -> Got {
        exchange(self.broker.platform, &query(id, class, 2400, parts, "entry")).await.expect("an answer")
    }

    /// The block of a weigher as the map says.
    async fn block_of(&self, weigher: u64) -> u32 {
        let shown = self.shown().await;
        let holds =
            |block: &&Value| (block["first"].as_u64()..block["end"].as_u64()).contains(&Some(weigher));
        let blocks = shown["blocks"].as_array().cloned().unwrap_or_default();
        let block = blocks.iter().find(holds).expect("a block for every weigher");
        block["block"].as_u64().expect("a number") as u32
    }

    fn ran(&self, key: &str) -> u32 {
        self.world.runs.borrow().get(key).copied().unwrap_or(0)
    }
}

fn run<F: Future<Output = ()>>(blocks: &str, test: impl FnOnce(Here) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let world = World::start(&executor, SIZE).expect("a world");
        let dir = tempfile::tempdir().expect("a folder");
        let operator = world.operator(&format!("coordinate = true\nstep_ms = 1500\n{blocks}"));
        let broker = world.broker(&executor, "n0", dir.path(), &operator).await.expect("a broker");
        test(Here { executor, world, broker, dir }).await;
    }));
}

/// The values of an answer: which block the client named, and which weighers they are for, checked against the readings.
fn spans(got: &Got) -> Vec<(u64, Span)> {
    let json = got.json();
    assert_eq!(json["total"], true, "{} {}", got.status, got.text());
    let span = |answer: &Value| {
        let blob = answer["blob"].as_str().expect("a value");
        let (first, end) = blob.split(' ').next().and_then(|span| span.split_once('-')).expect("a span");
        let span = Span::new(first.parse().expect("a number"), end.parse().expect("a number"));
        assert_eq!(blob, data::expected(span));
        (answer["range"].as_u64().expect("a number"), span)
    };
    json["answers"].as_array().expect("answers").iter().map(span).collect()
}

#[test]
fn old_numbers_are_answered_after_splits_and_merges() {
    run("", |here| async move {
        let whole = spans(&here.ask("a", "yard-compare", &[(0, None), (1, None)]).await);
        assert_eq!(whole, [(0, Span::new(0, 40)), (1, Span::new(40, 80))]);
        assert_eq!(here.change("split", json!({ "block": 0, "at": 13 })).await, "Done");
        let split = spans(&here.ask("b", "yard-compare", &[(0, None), (1, None)]).await);
        assert_eq!(split, [(0, Span::new(0, 13)), (0, Span::new(13, 40)), (1, Span::new(40, 80))]);
        // Its heirs by their own numbers, and one of them on another store.
        let (low, high) = (here.block_of(0).await, here.block_of(39).await);
        let moved = json!({ "block": high, "from": "s-0", "to": "s-5" });
        assert_eq!(here.change("move", moved).await, "Done");
        let own = spans(&here.ask("c", "yard-compare", &[(high, None), (low, None)]).await);
        assert_eq!(own, [(u64::from(low), Span::new(0, 13)), (u64::from(high), Span::new(13, 40))]);
        // Together again: old numbers of both ages are slices of the new block.
        assert_eq!(here.change("move", json!({ "block": high, "from": "s-5", "to": "s-0" })).await, "Done");
        assert_eq!(here.change("merge", json!({ "block": low, "with": high })).await, "Done");
        let merged = spans(&here.ask("d", "yard-compare", &[(high, None), (0, None)]).await);
        assert_eq!(merged, [(0, Span::new(0, 40)), (u64::from(high), Span::new(13, 40))]);
        let unknown = here.ask("e", "yard-compare", &[(4711, None)]).await;
        assert_eq!((unknown.status, unknown.text()), (404, "ranges: no block 4711".to_owned()));
        // A class with a second step fetches from the blocks that answered.
        let report = here.ask("f", "flow-report", &[(0, None), (1, None), (2, None), (3, None)]).await;
        assert_eq!(spans(&report).len(), 2);
    });
}

#[test]
fn an_entry_is_never_guessed_into_one_of_two_heirs() {
    run("", |here| async move {
        assert_eq!(here.change("split", json!({ "block": 2, "at": 100 })).await, "Done");
        let got = here.ask("a", "harvest-entry", &[(2, None)]).await;
        assert_eq!(got.status, 409, "{}", got.text());
        assert!(got.text().contains("split into"), "{}", got.text());
        assert_eq!(here.ran("a.2"), 0);
        let got = here.ask("b", "harvest-entry", &[(2, Some(110))]).await;
        assert_eq!((got.status, here.ran("b.2")), (200, 1), "{}", got.text());
        let got = here.ask("c", "harvest-entry", &[(2, Some(7))]).await;
        assert_eq!((got.status, got.text()), (409, "ranges: block 2 does not hold weigher 7".to_owned()));
    });
}

#[test]
fn pages_followed_across_a_split_a_merge_and_a_move_give_every_weigher_once() {
    run("", |here| async move {
        let at = here.broker.features.expect("a feature front");
        let mut target = Some("/collections/weighers/items?limit=23".to_owned());
        let (mut ids, mut page) = (Vec::new(), 0);
        while let Some(here_target) = target {
            let got = get(at, &here_target).await.expect("a page");
            assert_eq!(got.status, 200, "{}", got.text());
            let features = got.json()["features"].as_array().cloned().unwrap_or_default();
            ids.extend(features.iter().map(|f| f["id"].as_str().unwrap_or_default().to_owned()));
            target = got.link("next");
            page += 1;
            match page {
                2 => assert_eq!(here.change("split", json!({ "block": 3, "at": 130 })).await, "Done"),
                4 => {
                    let (low, high) = (here.block_of(125).await, here.block_of(140).await);
                    assert_eq!(here.change("merge", json!({ "block": low, "with": high })).await, "Done");
                }
                6 => {
                    let moved = json!({ "block": 5, "from": "s-1", "to": "s-4" });
                    assert_eq!(here.change("move", moved).await, "Done");
                }
                _ => {}
            }
        }
        let all: Vec<String> = (0..SIZE.weighers).map(|weigher| format!("w-{weigher:06}")).collect();
        assert_eq!(ids, all);
        let got =
            get(at, "/collections/weighers/items?bbox=-91.8,44,-91.7,45&limit=100").await.expect("a page");
        assert_eq!(got.json()["numberReturned"], 11);
    });
}

#[test]
fn queries_over_all_blocks_are_whole_while_half_of_them_move() {
    run("", |here| async move {
        let mut changes = Vec::new();
        for block in 0..4u32 {
            let (from, to) = (format!("s-{block}"), format!("s-{}", 4 + block % 2));
            changes.push(here.begin("move", json!({ "block": block, "from": from, "to": to })).await);
        }
        let all: Vec<(u32, Option<u64>)> = (0..SIZE.blocks as u32).map(|block| (block, None)).collect();
        let mut asked = 0;
        loop {
            let got = here.ask(&format!("q{asked}"), "yard-compare", &all).await;
            assert_eq!(spans(&got).len(), all.len());
            asked += 1;
            if here.shown().await["changes"].as_array().is_some_and(Vec::is_empty) && asked > 5 {
                break;
            }
        }
        let moved = |n: usize| here.world.stores[n].holdings().blocks().count();
        assert_eq!((moved(4), moved(5)), (2, 2));
    });
}

#[test]
fn an_entry_that_meets_a_fence_nobody_lifts_never_ran_and_says_so() {
    run("", |here| async move {
        // The target of block 0's move falls silent once it has begun, and its source is fenced.
        here.world.stores[5].set_fault(Fault::Stalled(std::time::Instant::now() + Duration::from_secs(60)));
        here.begin("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await;
        // It never comes to the fence: the other copy is served throughout, and so is this one.
        for n in 0..10 {
            let got = here.ask(&format!("e{n}"), "harvest-entry", &[(0, Some(3))]).await;
            assert_eq!((got.status, here.ran(&format!("e{n}.0"))), (200, 1));
        }
        // After its patience the move goes back; nothing is left at the source.
        let opens = || {
            let held = here.world.stores[0].holdings().block(gingerledge_blocks::BlockId(0)).copied();
            held.is_some_and(|held| held.mode == Mode::Open)
        };
        assert!(until(WITHIN, opens).await);
        here.world.stores[5].set_fault(Fault::None);
    });
}

#[test]
fn a_move_begun_while_no_holder_lives_waits_or_goes_back_and_queries_end_in_time() {
    run("", |here| async move {
        let stored = here.ask("before", "harvest-entry", &[(0, Some(3))]).await;
        assert_eq!(stored.status, 200);
        here.world.stores[0].kill();
        here.world.stores[1].kill();
        let began = std::time::Instant::now();
        let step = here.change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" }));
        let asked = here.ask("during", "yard-compare", &[(0, None)]);
        let (got, step) = futures_lite::future::zip(asked, async {
            Timer::after(Duration::from_millis(2600)).await;
            // The last sound copy comes back.
            here.world.stores[0].restart(0).expect("a start");
            here.world.stores[1].restart(0).expect("a start");
            here.world.discovery.changed();
            step.await
        })
        .await;
        assert!(matches!(got.status, 429 | 503 | 504), "{}", got.status);
        assert!(began.elapsed() > Duration::from_millis(2600));
        assert!(["Done", "Abandoned"].contains(&step.as_str()), "{step}");
        // What was acknowledged is still there, at whoever holds the block now.
        let shown = here.shown().await;
        let block = &shown["blocks"][0];
        let holders: Vec<&str> =
            block["stores"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let has = |store: &&Rc<gingerledge_testkit::store::Store>| {
            holders.contains(&store.name.as_str())
                && store.holdings().entries().iter().any(|entry| entry.key == "before.0")
        };
        assert!(here.world.stores.iter().any(|store| has(&store)), "{holders:?}");
    });
}

#[test]
fn a_store_that_drains_or_is_taken_out_by_hand_is_emptied_by_the_plan() {
    run("plan = \"auto\"\nplan_every_ms = 100\nrest_ms = 0", |here| async move {
        here.world.discovery.set_state(1, "draining");
        let empty = |n: usize| here.world.stores[n].holdings().blocks().count() == 0;
        assert!(until(WITHIN, || empty(1)).await, "{}", here.shown().await);
        let out = put(here.door(), "/reading-stores/disable", "s-2").await.expect("an answer");
        assert_eq!(out.status, 200);
        assert!(until(WITHIN, || empty(2)).await, "{}", here.shown().await);
        // Nothing is stranded, every block has two holders again, and all of it is answered.
        let plan = get(here.door(), "/blocks/plan").await.expect("an answer").json();
        assert_eq!(plan["stranded"], json!([]));
        let all: Vec<(u32, Option<u64>)> = (0..SIZE.blocks as u32).map(|block| (block, None)).collect();
        assert_eq!(spans(&here.ask("q", "yard-compare", &all).await).len(), all.len());
    });
}

#[test]
fn a_broker_that_follows_serves_without_a_coordinator_and_comes_up_with_the_map_it_kept() {
    run("", |here| async move {
        let dir = tempfile::tempdir().expect("a folder");
        let operator = here.world.operator(&format!("coordinators = [\"{}\"]\nfollow_ms = 50", here.door()));
        let follower =
            here.world.broker(&here.executor, "n1", dir.path(), &operator).await.expect("a broker");
        let moved = json!({ "block": 0, "from": "s-0", "to": "s-5" });
        assert_eq!(here.change("move", moved).await, "Done");
        assert_eq!(here.change("split", json!({ "block": 1, "at": 55 })).await, "Done");
        let ask = |at: SocketAddr, id: &'static str| async move {
            exchange(at, &query(id, "yard-compare", 2400, &[(0, None), (1, None)], "x"))
                .await
                .expect("an answer")
        };
        assert_eq!(spans(&ask(follower.platform, "a").await).len(), 3);
        // No operator of its own coordinator: only the coordinator's door moves blocks.
        let no = put(follower.admin.expect("a door"), "/blocks/pause", "").await.expect("an answer");
        assert_eq!(no.status, 503);
        let kept = || map_kept(dir.path(), "n1");
        assert!(until(WITHIN, kept).await);
        Timer::after(Duration::from_millis(700)).await;
        here.broker.stop().await;
        let alone = here.world.broker(&here.executor, "n1", dir.path(), &operator).await.expect("a broker");
        assert_eq!(spans(&ask(alone.platform, "b").await).len(), 3);
    });
}

fn map_kept(dir: &Path, name: &str) -> bool {
    dir.join(format!("blocks-{name}.map")).exists()
}

#[test]
fn a_coordinator_that_starts_again_goes_on_where_it_stood() {
    run("", |here| async move {
        // Copies are slow: the move is under way when its coordinator stops.
        here.world.stores[5]
            .set_fault(Fault::Stalled(std::time::Instant::now() + Duration::from_millis(900)));
        let id = here.begin("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await;
        here.broker.stop().await;
        let operator = here.world.operator("coordinate = true\nstep_ms = 3000");
        let again =
            here.world.broker(&here.executor, "n0", here.dir.path(), &operator).await.expect("a broker");
        let door = again.admin.expect("a door");
        let end = std::time::Instant::now() + WITHIN;
        loop {
            let shown = get(door, "/blocks").await.expect("an answer").json();
            let past = shown["past"].as_array().cloned().unwrap_or_default();
            if past.iter().any(|past| past["change"] == id && past["step"] == "Done") {
                assert!(shown["term"].as_u64() >= Some(2));
                break;
            }
            assert!(std::time::Instant::now() < end, "{shown}");
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(here.world.stores[5].holdings().blocks().count(), 1);
    });
}

#[test]
fn a_broker_cut_off_from_the_map_through_several_epochs_is_honest_and_then_learns() {
    run("", |here| async move {
        let dir = tempfile::tempdir().expect("a folder");
        let follow =
            |door: SocketAddr| here.world.operator(&format!("coordinators = [\"{door}\"]\nfollow_ms = 50"));
        let door = here.door();
        let before =
            here.world.broker(&here.executor, "n1", dir.path(), &follow(door)).await.expect("a broker");
        assert!(until(WITHIN, || map_kept(dir.path(), "n1")).await);
        Timer::after(Duration::from_millis(700)).await;
        before.stop().await;
        // From here on it hears nothing of the map; there is nobody at that door.
        let nobody = gingerledge_testkit::broker::free_address().expect("an address");
        let cut =
            here.world.broker(&here.executor, "n1", dir.path(), &follow(nobody)).await.expect("a broker");
        assert_eq!(here.change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await, "Done");
        assert_eq!(here.change("move", json!({ "block": 0, "from": "s-1", "to": "s-4" })).await, "Done");
        assert_eq!(here.change("split", json!({ "block": 1, "at": 55 })).await, "Done");
        let platform = cut.platform;
        let ask = |id: String, class: &'static str, part: (u32, Option<u64>)| async move {
            exchange(platform, &query(&id, class, 1000, &[part], "x")).await.expect("an answer")
        };
        // What did not move is served as ever; of what did, nothing runs and nothing is made up.
        assert_eq!(spans(&ask("still".into(), "yard-compare", (3, None)).await), [(3, Span::new(120, 160))]);
        for (n, part) in [(0, Some(3)), (1, Some(42))].into_iter().enumerate() {
            let read = ask(format!("r{n}"), "yard-compare", (part.0, None)).await;
            assert!(matches!(read.status, 429 | 503 | 504), "{} {}", read.status, read.text());
            let entry = ask(format!("e{n}"), "harvest-entry", part).await;
            assert!(matches!(entry.status, 429 | 503 | 504), "{} {}", entry.status, entry.text());
            assert_eq!(here.ran(&format!("e{n}.{}", part.0)), 0);
        }
        cut.stop().await;
        let back =
            here.world.broker(&here.executor, "n1", dir.path(), &follow(door)).await.expect("a broker");
        Timer::after(Duration::from_millis(200)).await;
        let parts = [(0, None), (1, None)];
        let got = exchange(back.platform, &query("after", "yard-compare", 2400, &parts, "x")).await;
        let expected = [(0, Span::new(0, 40)), (1, Span::new(40, 55)), (1, Span::new(55, 80))];
        assert_eq!(spans(&got.expect("an answer")), expected);
    });
}

#[test]
fn stores_switched_on_fill_up_in_a_quiet_hour_too() {
    run("plan = \"auto\"\nplan_every_ms = 100\nrest_ms = 0", |here| async move {
        let blocks = |n: usize| here.world.stores[n].holdings().blocks().count();
        assert!(until(WITHIN, || blocks(4) >= 2 && blocks(5) >= 2).await, "{}", here.shown().await);
        // It comes to rest, once the first queries' load is forgotten.
        let end = std::time::Instant::now() + WITHIN;
        loop {
            let before = here.shown().await;
            Timer::after(Duration::from_millis(600)).await;
            let after = here.shown().await;
            if before["version"] == after["version"] && after["changes"] == json!([]) {
                break;
            }
            assert!(std::time::Instant::now() < end, "{after}");
        }
    });
}
