//! End-to-end tests of blocks that are moved, split and merged, with a broker between clients and stores that
//! hold real readings.

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
const TIMEOUT: Duration = Duration::from_secs(15);

struct Fixture {
    executor: Rc<LocalExecutor<'static>>,
    world: World,
    broker: Broker,
    dir: tempfile::TempDir,
}

impl Fixture {
    fn admin_address(&self) -> SocketAddr {
        self.broker.admin.expect("an admin address")
    }

    async fn status(&self) -> Value {
        get(self.admin_address(), "/blocks").await.expect("an answer").json()
    }

    /// Requests a change, waits for its end, and returns its last step.
    async fn change(&self, path: &str, body: Value) -> String {
        let id = self.start_change(path, body).await;
        let end = std::time::Instant::now() + TIMEOUT;
        while std::time::Instant::now() < end {
            let status = self.status().await;
            let ended = status["past"].as_array().cloned().unwrap_or_default();
            if let Some(ended) = ended.iter().find(|ended| ended["change"] == id) {
                return ended["step"].as_str().unwrap_or_default().to_owned();
            }
            Timer::after(Duration::from_millis(5)).await;
        }
        panic!("change {id} does not end: {}", self.status().await["changes"]);
    }

    async fn start_change(&self, path: &str, body: Value) -> u64 {
        let got = put(self.admin_address(), &format!("/blocks/{path}"), &body.to_string())
            .await
            .expect("an answer");
        assert_eq!(got.status, 200, "{path} {body}: {}", got.text());
        got.text().strip_prefix("change ").and_then(|id| id.parse().ok()).expect("a number")
    }

    async fn send_query(&self, id: &str, class: &str, parts: &[(u32, Option<u64>)]) -> Got {
        exchange(self.broker.platform, &query(id, class, 2400, parts, "entry")).await.expect("an answer")
    }

    /// Returns the block that contains a weigher according to the map.
    async fn block_of(&self, weigher: u64) -> u32 {
        let status = self.status().await;
        let holds =
            |block: &&Value| (block["first"].as_u64()..block["end"].as_u64()).contains(&Some(weigher));
        let blocks = status["blocks"].as_array().cloned().unwrap_or_default();
        let block = blocks.iter().find(holds).expect("a block for every weigher");
        block["block"].as_u64().expect("a number") as u32
    }

    fn executions(&self, key: &str) -> u32 {
        self.world.runs.borrow().get(key).copied().unwrap_or(0)
    }
}

fn run<F: Future<Output = ()>>(blocks: &str, test: impl FnOnce(Fixture) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(async {
        let world = World::start(&executor, SIZE).expect("a world");
        let dir = tempfile::tempdir().expect("a folder");
        let operator = world.operator(&format!("coordinate = true\nstep_ms = 1500\n{blocks}"));
        let broker = world.broker(&executor, "n0", dir.path(), &operator).await.expect("a broker");
        test(Fixture { executor, world, broker, dir }).await;
    }));
}

/// Returns the block that the client named and the weighers of each value in an answer, after comparing the
/// values with the readings.
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
fn old_block_identifiers_are_answered_after_splits_and_merges() {
    run("", |fixture| async move {
        let whole = spans(&fixture.send_query("a", "yard-compare", &[(0, None), (1, None)]).await);
        assert_eq!(whole, [(0, Span::new(0, 40)), (1, Span::new(40, 80))]);
        assert_eq!(fixture.change("split", json!({ "block": 0, "at": 13 })).await, "Done");
        let split = spans(&fixture.send_query("b", "yard-compare", &[(0, None), (1, None)]).await);
        assert_eq!(split, [(0, Span::new(0, 13)), (0, Span::new(13, 40)), (1, Span::new(40, 80))]);
        // The new blocks are addressed by their own identifiers, with one of them on another store.
        let (low, high) = (fixture.block_of(0).await, fixture.block_of(39).await);
        let moved = json!({ "block": high, "from": "s-0", "to": "s-5" });
        assert_eq!(fixture.change("move", moved).await, "Done");
        let own = spans(&fixture.send_query("c", "yard-compare", &[(high, None), (low, None)]).await);
        assert_eq!(own, [(u64::from(low), Span::new(0, 13)), (u64::from(high), Span::new(13, 40))]);
        // After the merge, the old identifiers of both generations address slices of the new block.
        assert_eq!(
            fixture.change("move", json!({ "block": high, "from": "s-5", "to": "s-0" })).await,
            "Done"
        );
        assert_eq!(fixture.change("merge", json!({ "block": low, "with": high })).await, "Done");
        let merged = spans(&fixture.send_query("d", "yard-compare", &[(high, None), (0, None)]).await);
        assert_eq!(merged, [(0, Span::new(0, 40)), (u64::from(high), Span::new(13, 40))]);
        let unknown = fixture.send_query("e", "yard-compare", &[(4711, None)]).await;
        assert_eq!((unknown.status, unknown.text()), (404, "ranges: no block 4711".to_owned()));
        // A class with a second step fetches from the blocks that answered.
        let report =
            fixture.send_query("f", "flow-report", &[(0, None), (1, None), (2, None), (3, None)]).await;
        assert_eq!(spans(&report).len(), 2);
    });
}

#[test]
fn an_entry_for_a_split_block_needs_its_weigher() {
    run("", |fixture| async move {
        assert_eq!(fixture.change("split", json!({ "block": 2, "at": 100 })).await, "Done");
        let got = fixture.send_query("a", "harvest-entry", &[(2, None)]).await;
        assert_eq!(got.status, 409, "{}", got.text());
        assert!(got.text().contains("split into"), "{}", got.text());
        assert_eq!(fixture.executions("a.2"), 0);
        let got = fixture.send_query("b", "harvest-entry", &[(2, Some(110))]).await;
        assert_eq!((got.status, fixture.executions("b.2")), (200, 1), "{}", got.text());
        let got = fixture.send_query("c", "harvest-entry", &[(2, Some(7))]).await;
        assert_eq!((got.status, got.text()), (409, "ranges: block 2 does not hold weigher 7".to_owned()));
    });
}

#[test]
fn paging_across_changes_returns_every_weigher_once() {
    run("", |fixture| async move {
        let at = fixture.broker.features.expect("an address of the features endpoint");
        let mut target = Some("/collections/weighers/items?limit=23".to_owned());
        let (mut ids, mut page) = (Vec::new(), 0);
        while let Some(page_target) = target {
            let got = get(at, &page_target).await.expect("a page");
            assert_eq!(got.status, 200, "{}", got.text());
            let features = got.json()["features"].as_array().cloned().unwrap_or_default();
            ids.extend(features.iter().map(|f| f["id"].as_str().unwrap_or_default().to_owned()));
            target = got.link("next");
            page += 1;
            match page {
                2 => assert_eq!(fixture.change("split", json!({ "block": 3, "at": 130 })).await, "Done"),
                4 => {
                    let (low, high) = (fixture.block_of(125).await, fixture.block_of(140).await);
                    assert_eq!(fixture.change("merge", json!({ "block": low, "with": high })).await, "Done");
                }
                6 => {
                    let moved = json!({ "block": 5, "from": "s-1", "to": "s-4" });
                    assert_eq!(fixture.change("move", moved).await, "Done");
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
fn queries_over_all_blocks_are_complete_while_half_of_them_move() {
    run("", |fixture| async move {
        let mut changes = Vec::new();
        for block in 0..4u32 {
            let (from, to) = (format!("s-{block}"), format!("s-{}", 4 + block % 2));
            changes
                .push(fixture.start_change("move", json!({ "block": block, "from": from, "to": to })).await);
        }
        let all: Vec<(u32, Option<u64>)> = (0..SIZE.blocks as u32).map(|block| (block, None)).collect();
        let mut queries = 0;
        loop {
            let got = fixture.send_query(&format!("q{queries}"), "yard-compare", &all).await;
            assert_eq!(spans(&got).len(), all.len());
            queries += 1;
            if fixture.status().await["changes"].as_array().is_some_and(Vec::is_empty) && queries > 5 {
                break;
            }
        }
        let moved = |n: usize| fixture.world.stores[n].holdings().blocks().count();
        assert_eq!((moved(4), moved(5)), (2, 2));
    });
}

#[test]
fn entries_are_executed_while_a_move_to_a_stalled_store_is_rolled_back() {
    run("", |fixture| async move {
        // The target of the move of block 0 stops responding after the move has begun and before its source is
        // fenced.
        fixture.world.stores[5]
            .set_fault(Fault::Stalled(std::time::Instant::now() + Duration::from_secs(60)));
        fixture.start_change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await;
        // The move does not reach its fence, so both copies are served and entries are executed.
        for n in 0..10 {
            let got = fixture.send_query(&format!("e{n}"), "harvest-entry", &[(0, Some(3))]).await;
            assert_eq!((got.status, fixture.executions(&format!("e{n}.0"))), (200, 1));
        }
        // After its step timeout the move is rolled back, and the block is open at the source again.
        let opens = || {
            let held = fixture.world.stores[0].holdings().block(gingerledge_blocks::BlockId(0)).copied();
            held.is_some_and(|held| held.mode == Mode::Open)
        };
        assert!(until(TIMEOUT, opens).await);
        fixture.world.stores[5].set_fault(Fault::None);
    });
}

#[test]
fn a_move_without_running_holders_waits_or_is_rolled_back_and_queries_end_in_time() {
    run("", |fixture| async move {
        let stored = fixture.send_query("before", "harvest-entry", &[(0, Some(3))]).await;
        assert_eq!(stored.status, 200);
        fixture.world.stores[0].kill();
        fixture.world.stores[1].kill();
        let began = std::time::Instant::now();
        let step = fixture.change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" }));
        let answer = fixture.send_query("during", "yard-compare", &[(0, None)]);
        let (got, step) = futures_lite::future::zip(answer, async {
            Timer::after(Duration::from_millis(2600)).await;
            // The only stores with a copy come back.
            fixture.world.stores[0].restart(0).expect("a start");
            fixture.world.stores[1].restart(0).expect("a start");
            fixture.world.discovery.changed();
            step.await
        })
        .await;
        assert!(matches!(got.status, 429 | 503 | 504), "{}", got.status);
        assert!(began.elapsed() > Duration::from_millis(2600));
        assert!(["Done", "Abandoned"].contains(&step.as_str()), "{step}");
        // The acknowledged entry is still stored at a current holder of the block.
        let status = fixture.status().await;
        let block = &status["blocks"][0];
        let holders: Vec<&str> =
            block["stores"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
        let has = |store: &&Rc<gingerledge_testkit::store::Store>| {
            holders.contains(&store.name.as_str())
                && store.holdings().entries().iter().any(|entry| entry.key == "before.0")
        };
        assert!(fixture.world.stores.iter().any(|store| has(&store)), "{holders:?}");
    });
}

#[test]
fn draining_and_disabled_stores_are_emptied_by_the_planner() {
    run("plan = \"auto\"\nplan_every_ms = 100\nrest_ms = 0", |fixture| async move {
        fixture.world.discovery.set_state(1, "draining");
        let empty = |n: usize| fixture.world.stores[n].holdings().blocks().count() == 0;
        assert!(until(TIMEOUT, || empty(1)).await, "{}", fixture.status().await);
        let out = put(fixture.admin_address(), "/reading-stores/disable", "s-2").await.expect("an answer");
        assert_eq!(out.status, 200);
        assert!(until(TIMEOUT, || empty(2)).await, "{}", fixture.status().await);
        // The plan reports no unresolved blocks, and a query over all blocks is answered completely.
        let plan = get(fixture.admin_address(), "/blocks/plan").await.expect("an answer").json();
        assert_eq!(plan["stranded"], json!([]));
        let all: Vec<(u32, Option<u64>)> = (0..SIZE.blocks as u32).map(|block| (block, None)).collect();
        assert_eq!(spans(&fixture.send_query("q", "yard-compare", &all).await).len(), all.len());
    });
}

#[test]
fn a_follower_serves_and_restarts_with_its_stored_map_without_a_coordinator() {
    run("", |fixture| async move {
        let dir = tempfile::tempdir().expect("a folder");
        let operator = fixture
            .world
            .operator(&format!("coordinators = [\"{}\"]\nfollow_ms = 50", fixture.admin_address()));
        let follower =
            fixture.world.broker(&fixture.executor, "n1", dir.path(), &operator).await.expect("a broker");
        let moved = json!({ "block": 0, "from": "s-0", "to": "s-5" });
        assert_eq!(fixture.change("move", moved).await, "Done");
        assert_eq!(fixture.change("split", json!({ "block": 1, "at": 55 })).await, "Done");
        let send_query = |at: SocketAddr, id: &'static str| async move {
            exchange(at, &query(id, "yard-compare", 2400, &[(0, None), (1, None)], "x"))
                .await
                .expect("an answer")
        };
        assert_eq!(spans(&send_query(follower.platform, "a").await).len(), 3);
        // A broker without its own coordinator rejects changes; only the coordinator's admin endpoint accepts
        // them.
        let no =
            put(follower.admin.expect("an admin address"), "/blocks/pause", "").await.expect("an answer");
        assert_eq!(no.status, 503);
        let is_stored = || is_map_stored(dir.path(), "n1");
        assert!(until(TIMEOUT, is_stored).await);
        Timer::after(Duration::from_millis(700)).await;
        fixture.broker.stop().await;
        let restarted =
            fixture.world.broker(&fixture.executor, "n1", dir.path(), &operator).await.expect("a broker");
        assert_eq!(spans(&send_query(restarted.platform, "b").await).len(), 3);
    });
}

fn is_map_stored(dir: &Path, name: &str) -> bool {
    dir.join(format!("blocks-{name}.map")).exists()
}

#[test]
fn a_restarted_coordinator_continues_its_changes() {
    run("", |fixture| async move {
        // The target is stalled, so the move is still in progress when its coordinator stops.
        fixture.world.stores[5]
            .set_fault(Fault::Stalled(std::time::Instant::now() + Duration::from_millis(900)));
        let id = fixture.start_change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await;
        fixture.broker.stop().await;
        let operator = fixture.world.operator("coordinate = true\nstep_ms = 3000");
        let restarted = fixture
            .world
            .broker(&fixture.executor, "n0", fixture.dir.path(), &operator)
            .await
            .expect("a broker");
        let address = restarted.admin.expect("an admin address");
        let end = std::time::Instant::now() + TIMEOUT;
        loop {
            let status = get(address, "/blocks").await.expect("an answer").json();
            let ended = status["past"].as_array().cloned().unwrap_or_default();
            if ended.iter().any(|ended| ended["change"] == id && ended["step"] == "Done") {
                assert!(status["term"].as_u64() >= Some(2));
                break;
            }
            assert!(std::time::Instant::now() < end, "{status}");
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(fixture.world.stores[5].holdings().blocks().count(), 1);
    });
}

#[test]
fn a_broker_with_an_outdated_map_invents_no_answers_and_catches_up_later() {
    run("", |fixture| async move {
        let dir = tempfile::tempdir().expect("a folder");
        let follow = |address: SocketAddr| {
            fixture.world.operator(&format!("coordinators = [\"{address}\"]\nfollow_ms = 50"))
        };
        let address = fixture.admin_address();
        let before = fixture
            .world
            .broker(&fixture.executor, "n1", dir.path(), &follow(address))
            .await
            .expect("a broker");
        assert!(until(TIMEOUT, || is_map_stored(dir.path(), "n1")).await);
        Timer::after(Duration::from_millis(700)).await;
        before.stop().await;
        // From here on the broker receives no map updates, since nothing listens on the configured address.
        let unused_address = gingerledge_testkit::broker::free_address().expect("an address");
        let disconnected = fixture
            .world
            .broker(&fixture.executor, "n1", dir.path(), &follow(unused_address))
            .await
            .expect("a broker");
        assert_eq!(fixture.change("move", json!({ "block": 0, "from": "s-0", "to": "s-5" })).await, "Done");
        assert_eq!(fixture.change("move", json!({ "block": 0, "from": "s-1", "to": "s-4" })).await, "Done");
        assert_eq!(fixture.change("split", json!({ "block": 1, "at": 55 })).await, "Done");
        let platform = disconnected.platform;
        let send_query = |id: String, class: &'static str, part: (u32, Option<u64>)| async move {
            exchange(platform, &query(&id, class, 1000, &[part], "x")).await.expect("an answer")
        };
        // A block that was not changed is served as before. For changed blocks nothing is executed and no
        // answer is invented.
        assert_eq!(
            spans(&send_query("still".into(), "yard-compare", (3, None)).await),
            [(3, Span::new(120, 160))]
        );
        for (n, part) in [(0, Some(3)), (1, Some(42))].into_iter().enumerate() {
            let read = send_query(format!("r{n}"), "yard-compare", (part.0, None)).await;
            assert!(matches!(read.status, 429 | 503 | 504), "{} {}", read.status, read.text());
            let entry = send_query(format!("e{n}"), "harvest-entry", part).await;
            assert!(matches!(entry.status, 429 | 503 | 504), "{} {}", entry.status, entry.text());
            assert_eq!(fixture.executions(&format!("e{n}.{}", part.0)), 0);
        }
        disconnected.stop().await;
        let reconnected = fixture
            .world
            .broker(&fixture.executor, "n1", dir.path(), &follow(address))
            .await
            .expect("a broker");
        Timer::after(Duration::from_millis(200)).await;
        let parts = [(0, None), (1, None)];
        let got = exchange(reconnected.platform, &query("after", "yard-compare", 2400, &parts, "x")).await;
        let expected = [(0, Span::new(0, 40)), (1, Span::new(40, 55)), (1, Span::new(55, 80))];
        assert_eq!(spans(&got.expect("an answer")), expected);
    });
}

#[test]
fn new_stores_receive_blocks_without_load() {
    run("plan = \"auto\"\nplan_every_ms = 100\nrest_ms = 0", |fixture| async move {
        let blocks = |n: usize| fixture.world.stores[n].holdings().blocks().count();
        assert!(until(TIMEOUT, || blocks(4) >= 2 && blocks(5) >= 2).await, "{}", fixture.status().await);
        // The placement becomes stable once the load of the first queries has decayed.
        let end = std::time::Instant::now() + TIMEOUT;
        loop {
            let before = fixture.status().await;
            Timer::after(Duration::from_millis(600)).await;
            let after = fixture.status().await;
            if before["version"] == after["version"] && after["changes"] == json!([]) {
                break;
            }
            assert!(std::time::Instant::now() < end, "{after}");
        }
    });
}
