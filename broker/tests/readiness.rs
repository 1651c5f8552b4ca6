//! A restarted process is ready within 10 s, whatever discovery does meanwhile: over sockets, at the broker's own waits, with
//! and without a list in its configuration, lists pushed and asked for, at the first, middle and last of a large fleet.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{exchange, get, query, run, until, Service, World};
use serde_json::json;

/// Within so long each has to be ready.
const READY: Duration = Duration::from_secs(10);
const FLEET: [u32; 4] = [0, 100, 200, 299];

fn start(world: &World, pushed: bool) -> Vec<Broker> {
    let broker = |index: &u32| {
        let mut settings = world.settings();
        settings["registry_mode"] = json!(if pushed { "automatic" } else { "subscribe" });
        (settings["replicas_of_me"], settings["index"]) = (json!(300), json!(index));
        world.start(settings, None)
    };
    FLEET.iter().map(broker).collect()
}

async fn status(broker: &Broker) -> u16 {
    get(broker.platform, "/ready", "").await.status
}

async fn ask(broker: &Broker, name: &str) -> u16 {
    exchange(broker.platform, &query(name, "yard-compare", 2000, &[0], "x")).await.unwrap().status
}

/// All are ready in time, and whether the first of them was at once.
async fn ready(brokers: &[Broker], since: Instant) {
    for broker in brokers {
        while status(broker).await != 200 {
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    assert!(since.elapsed() < READY, "ready {:?} after the start", since.elapsed());
}

/// Discovery treats calls so until enough have come, and then serves.
async fn returns(world: Rc<World>, pushed: bool, known: bool, service: Service, calls: usize) {
    *world.known.borrow_mut() = known.then(|| world.list());
    world.service.set(service);
    let (since, brokers) = (Instant::now(), start(&world, pushed));
    until(|| world.asked.get() >= calls).await;
    assert!(known || brokers.iter().all(|broker| broker.counters.lists.get() == 0));
    world.service.set(Service::Serves);
    ready(&brokers, since).await;
    let had = if known { 2 } else { 1 };
    until(|| brokers.iter().all(|broker| broker.counters.lists.get() >= had)).await;
    for broker in &brokers {
        assert_eq!(ask(broker, "told").await, 200, "pushed {pushed}, known {known}, {service:?}");
    }
}

/// Discovery treats all calls so.
async fn stays(world: Rc<World>, pushed: bool, known: bool, service: Service) {
    *world.known.borrow_mut() = known.then(|| world.list());
    world.service.set(service);
    let (since, brokers) = (Instant::now(), start(&world, pushed));
    ready(&brokers, since).await;
    for broker in &brokers {
        let status = if known { 200 } else { 503 };
        assert_eq!(ask(broker, "asked").await, status, "pushed {pushed}, known {known}, {service:?}");
    }
    // And what it has once it can be reached is followed.
    world.service.set(Service::Serves);
    let lists = usize::from(known) as u64 + 1;
    until(|| brokers.iter().all(|broker| broker.counters.lists.get() >= lists)).await;
    assert_eq!(ask(&brokers[0], "told").await, 200);
}

#[test]
fn asked_for_without_a_list_while_discovery_is_busy() {
    run(3, |world| returns(world, false, false, Service::Refuses, 8));
}

#[test]
fn asked_for_without_a_list_while_discovery_is_slow() {
    run(3, |world| returns(world, false, false, Service::Hangs, 4));
}

#[test]
fn asked_for_without_a_list_while_discovery_resets_calls() {
    run(3, |world| returns(world, false, false, Service::Resets, 8));
}

#[test]
fn asked_for_with_a_list_while_discovery_is_busy() {
    run(3, |world| returns(world, false, true, Service::Refuses, 4));
}

#[test]
fn pushed_without_a_list_while_the_agent_is_silent() {
    run(3, |world| returns(world, true, false, Service::Hangs, 20));
}

#[test]
fn pushed_without_a_list_while_the_agent_begins_answers() {
    run(3, |world| returns(world, true, false, Service::Begins, 20));
}

#[test]
fn pushed_with_a_list_while_the_agent_is_silent() {
    run(3, |world| returns(world, true, true, Service::Hangs, 20));
}

#[test]
fn asked_for_without_a_list_and_discovery_stays_down() {
    run(3, |world| stays(world, false, false, Service::Refuses));
}

#[test]
fn asked_for_with_a_list_and_discovery_stays_silent() {
    run(3, |world| stays(world, false, true, Service::Hangs));
}

#[test]
fn pushed_without_a_list_and_the_agent_stays_silent() {
    run(3, |world| stays(world, true, false, Service::Hangs));
}

#[test]
fn pushed_with_a_list_and_the_agent_stays_silent() {
    run(3, |world| stays(world, true, true, Service::Hangs));
}

/// Without a list nobody waits for the turn of a broker that has one.
#[test]
fn without_a_list_the_last_of_a_fleet_calls_within_half_a_period() {
    run(3, |world| async move {
        let mut settings = world.settings();
        (settings["replicas_of_me"], settings["index"]) = (json!(300), json!(299));
        // Nobody has to ask for long, so that the module's turn comes after many seconds.
        settings["invariants"]["ask_every_ms"] = json!(120_000.0);
        let (since, broker) = (Instant::now(), world.start(settings, None));
        until(|| broker.counters.lists.get() > 0).await;
        // 2 s and the call.
        assert!(since.elapsed() < Duration::from_millis(4500), "{:?}", since.elapsed());
    });
}
