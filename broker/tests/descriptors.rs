//! Descriptors: the division under `limits.sockets` holds in every deployment and under two processes, and each side keeps to
//! its part, so that whoever only stands about leaves room for discovery, stores and who asks.
#![allow(clippy::unwrap_used)]

mod common;

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use common::program::Program;
use gingerledge::limits::{Budget, BudgetRequest};
use gingerledge_testkit::scripted::{exchange, get, query, run, until, Mood, Service, World};
use serde_json::json;

/// Every deployment that a draw may make: what it says is divided so that no sum passes the limit, and nobody goes without.
#[test]
fn the_parts_are_within_the_limit_whatever_it_is() {
    let seed = 20_261_202;
    let mut rng = fastrand::Rng::with_seed(seed);
    let fit = |wants: BudgetRequest| {
        let budget = Budget::new(wants);
        let processes = if wants.is_shared { 2 } else { 1 };
        let sum = budget.sum();
        assert!(processes * sum <= wants.sockets, "seed {seed}: {wants:?}: {budget:?}: {sum}");
        assert!(
            sum <= wants.process_limit.unwrap_or(usize::MAX),
            "seed {seed}: {wants:?}: {budget:?}: {sum}"
        );
        let needed = [budget.discovery, budget.platform.soft_limit, budget.stores];
        assert!(needed.iter().all(|part| *part > 0), "seed {seed}: {wants:?}: {budget:?}");
        assert_eq!(budget.admin > 0, wants.has_admin);
        assert_eq!(budget.features.soft_limit > 0, wants.feature_clients.is_some());
        assert_eq!(budget.blocks > 0, wants.has_blocks);
        // The platform's clients count those that they keep, up to a third of the limit.
        assert!(processes * (budget.platform.soft_limit + budget.features.soft_limit) <= wants.sockets / 2);
    };
    let mut draw = |sockets: usize| {
        let own = sockets / 2;
        BudgetRequest {
            sockets,
            process_limit: rng.bool().then(|| rng.usize(32..=own.max(32) * 4)),
            is_shared: rng.bool(),
            feature_clients: rng.bool().then(|| rng.usize(1..=256)),
            has_admin: rng.bool(),
            has_blocks: rng.bool(),
        }
    };
    for sockets in 64..4096 {
        for _ in 0..40 {
            fit(draw(sockets));
        }
    }
    let mut large = fastrand::Rng::with_seed(seed + 1);
    for _ in 0..100_000 {
        fit(draw(large.usize(64..1_000_000)));
    }
}

/// A connection that says nothing.
async fn idle(at: SocketAddr) -> Option<Async<TcpStream>> {
    Async::<TcpStream>::connect(at).await.ok()
}

/// What the broker holds at the most while a future runs.
async fn held<T>(program: &Program, during: impl std::future::Future<Output = T>) -> (usize, T) {
    let most = std::cell::Cell::new(0);
    let watch = async {
        loop {
            most.set(most.get().max(program.descriptors()));
            Timer::after(Duration::from_millis(2)).await;
        }
    };
    let done = futures_lite::future::or(during, watch).await;
    (most.get(), done)
}

const SOCKETS: usize = 64;
/// Nobody is closed for having waited too long: only for want of room.
const PATIENT: [(&str, &str); 2] = [("LB_READ_MS", "600000"), ("LB_IDLE_MS", "600000")];

#[test]
fn idle_clients_that_fill_the_descriptors_leave_room_for_discovery_stores_and_who_asks() {
    run(3, |world| async move {
        world.service.set(Service::Resets);
        let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": world.discovery.to_string(),
            "admin_addr": "127.0.0.1:0", "limits": { "sockets": SOCKETS }, "settings": world.settings() });
        let operator = world.operator(&[0, 1]);
        let program = Program::start("full", &config, Some(&operator), &PATIENT, SOCKETS);
        let platform = program.address("serving on").await;
        let features = program.address("serving features on").await;
        let door = program.address("door at").await;
        let everyone = async {
            let mut crowd = Vec::new();
            for n in 0..300 {
                crowd.push(world.executor.spawn(idle([platform, features, door][n % 3])));
            }
            // Every descriptor that clients may have is theirs, and discovery is called in vain meanwhile.
            let asked = world.asked.get();
            until(|| world.asked.get() >= asked + 3).await;
            world.service.set(Service::Serves);
            while get(platform, "/ready", "").await.status != 200 {
                Timer::after(Duration::from_millis(5)).await;
            }
            for n in 0..20 {
                let text = query(&format!("q{n}"), "yard-compare", 2400, &[0, 1, 2], "x");
                assert_eq!(exchange(platform, &text).await.unwrap().status, 200, "{n}");
            }
            let page = get(features, "/collections/yards/items", "").await;
            assert_eq!(page.status, 200, "{}", page.text());
            assert_eq!(get(door, "/ready", "").await.status, 200);
            drop(crowd);
        };
        let (most, ()) = held(&program, everyone).await;
        assert!((SOCKETS / 2..=SOCKETS).contains(&most), "{most} descriptors");
    });
}

fn many(world: &World) -> Vec<u32> {
    (0..world.listed.borrow().len() as u32).collect()
}

/// What the process holds with a few clients, when its part for stores is used up.
const USED_UP: usize = SOCKETS * 2 / 3;

/// Asks for parts at every store, on both fronts; gives the most descriptors that were held.
async fn ask_all(world: &std::rc::Rc<World>, offering: &[usize]) -> usize {
    let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": world.discovery.to_string(),
        "limits": { "sockets": SOCKETS }, "settings": world.settings() });
    let operator = (!offering.is_empty()).then(|| world.operator(offering));
    let name = format!("stores{}", world.listed.borrow().len());
    let program = Program::start(&name, &config, operator.as_deref(), &PATIENT, SOCKETS);
    let platform = program.address("serving on").await;
    let features = match operator {
        Some(_) => Some(program.address("serving features on").await),
        None => None,
    };
    program.until("lifecycle: ready").await;
    let asking = async {
        for n in 0..5 {
            let text = query(&format!("q{n}"), "yard-compare", 2400, &many(world), "x");
            assert_eq!(exchange(platform, &text).await.unwrap().status, 200, "{n}");
            if let Some(features) = features {
                let page = get(features, "/collections/yards/items?limit=100", "").await;
                assert_eq!(page.status, 200, "{}", page.text());
            }
        }
    };
    held(&program, asking).await.0
}

#[test]
fn connections_to_many_stores_keep_to_their_part_and_all_parts_are_served_in_turn() {
    run(60, |world| async move {
        let most = ask_all(&world, &[]).await;
        assert!(most <= USED_UP, "{most} descriptors");
    });
}

#[test]
fn connections_in_the_feature_form_count_with_the_others() {
    run(18, |world| async move {
        let most = ask_all(&world, &(0..18).collect::<Vec<_>>()).await;
        assert!(most <= USED_UP, "{most} descriptors");
        assert!(world.sent.borrow().iter().any(|sent| sent.features));
        assert!(world.sent.borrow().iter().any(|sent| !sent.features));
    });
}

/// Stores that hang hold their connections: others have to wait, and what waits never ran, and says nothing of its store.
#[test]
fn stores_that_hang_hold_no_more_than_their_part() {
    run(60, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Silent; 60];
        let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": world.discovery.to_string(),
            "limits": { "sockets": SOCKETS }, "settings": world.settings() });
        let mut program = Program::start("hang", &config, None, &PATIENT, SOCKETS);
        let platform = program.address("serving on").await;
        program.until("lifecycle: ready").await;
        let text = query("q0", "yard-compare", 2400, &many(&world), "x");
        let (most, got) = held(&program, exchange(platform, &text)).await;
        assert_ne!(got.unwrap().status, 200);
        assert!(most <= USED_UP, "{most} descriptors");
        program.signal("-TERM");
        let counted = program.until("unreachable=").await;
        assert!(counted.contains(" unreachable=0 "), "{counted}");
        assert_eq!(program.child.wait().unwrap().code(), Some(0));
    });
}
