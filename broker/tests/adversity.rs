//! Bad input and failure by kind, on loopback: whatever discovery, the list it left behind or a store does, every query gets
//! its one answer in time, no rule is broken, and what belongs to the gone is let go.
#![allow(clippy::unwrap_used)]

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gingerledge::service::Broker;
use gingerledge_testkit::broker::free_address;
use gingerledge_testkit::scripted::{exchange, get, query, run, until, Listed, Mood, Service, World};
use serde_json::{json, Value};

/// Where nobody listens, nor will while tests run side by side.
fn closed() -> SocketAddr {
    free_address().unwrap()
}

fn elsewhere(id: &str, at: SocketAddr) -> Listed {
    Listed { id: id.to_owned(), at, state: "up", started: 0 }
}

/// A list of stores long gone, in the place of those that there are.
fn long_gone(stores: usize) -> Value {
    let entry = |n| {
        json!({ "instanceId": format!("old-{n}"), "hostPort": closed().to_string(), "zone": "toledo", "cell": n,
            "lifecycle": "up" })
    };
    json!({ "generation": 40, "reset": true, "instances": (0..stores).map(entry).collect::<Vec<_>>() })
}

/// Asks once in each class; gives the statuses.
async fn ask_all(world: &World, broker: &Broker, name: &str) -> Vec<u16> {
    let blocks: Vec<u32> = (0..world.listed.borrow().len() as u32).collect();
    let mut statuses = Vec::new();
    for (class, timeout) in [("flow-report", 5500), ("yard-compare", 2400), ("harvest-entry", 2900)] {
        let text = query(&format!("{name}-{class}"), class, timeout, &blocks, "x");
        statuses.push(exchange(broker.platform, &text).await.unwrap().status);
    }
    statuses
}

/// What has to hold at the end of any trouble.
fn sound(world: &World, broker: &Broker, troubled: impl std::fmt::Debug) {
    let counted = &broker.counters;
    let ended = counted.answered.get() + counted.refused.get() + counted.failed.get();
    assert_eq!(counted.queries.get(), ended, "{troubled:?}: one end for each query");
    assert_eq!((counted.overdue.get(), counted.finals_dropped.get()), (0, 0), "{troubled:?}");
    assert_eq!(broker.sizes().queries, 0, "{troubled:?}");
    let sent = world.sent.borrow();
    let mut attempts = std::collections::HashMap::new();
    sent.iter().for_each(|sent| *attempts.entry(sent.id.as_str()).or_insert(0) += 1);
    assert!(attempts.values().all(|made| *made <= 3), "{troubled:?}: {attempts:?}");
}

/// The broker has an old list that is right, and the service answers no call.
async fn unheard(world: Rc<World>, service: Service) {
    world.service.set(service);
    *world.known.borrow_mut() = Some(world.list());
    let broker = world.broker(world.settings(), None).await;
    assert_eq!(get(broker.platform, "/ready", "").await.status, 200, "{service:?}: an old list will do");
    assert_eq!(ask_all(&world, &broker, "before").await, [200; 3], "{service:?}");
    until(|| broker.counters.list_failures.get() >= 2).await;
    assert_eq!(ask_all(&world, &broker, "meanwhile").await, [200; 3], "{service:?}: the list stays");
    world.service.set(Service::Serves);
    let lists = broker.counters.lists.get();
    until(|| broker.counters.lists.get() > lists).await;
    world.drain(0, &broker).await;
    let before = world.sent.borrow().len();
    assert_eq!(ask_all(&world, &broker, "after").await, [200; 3], "{service:?}");
    assert!(world.sent.borrow()[before..].iter().all(|sent| sent.store != 0), "{service:?}");
    sound(&world, &broker, service);
}

#[test]
fn a_discovery_that_refuses_every_call_leaves_the_old_list_and_is_called_again() {
    run(3, |world| unheard(world, Service::Refuses));
}

#[test]
fn a_discovery_that_resets_connections_leaves_the_old_list_and_is_called_again() {
    run(3, |world| unheard(world, Service::Resets));
}

#[test]
fn a_discovery_that_hangs_leaves_the_old_list_and_is_called_again() {
    run(3, |world| unheard(world, Service::Hangs));
}

#[test]
fn a_truncated_list_changes_nothing_and_is_requested_again() {
    run(3, |world| unheard(world, Service::Cuts));
}

#[test]
fn an_invalid_list_changes_nothing_and_is_requested_again() {
    run(3, |world| unheard(world, Service::Garbles));
}

#[test]
fn changes_to_a_list_that_is_no_longer_held_take_nothing_out() {
    run(3, |world| async move {
        world.service.set(Service::GoesBack);
        let broker = world.broker(world.settings(), None).await;
        until(|| broker.counters.list_failures.get() >= 1).await;
        assert_eq!(ask_all(&world, &broker, "meanwhile").await, [200; 3]);
        world.service.set(Service::Serves);
        let lists = broker.counters.lists.get();
        until(|| broker.counters.lists.get() > lists).await;
        assert_eq!(ask_all(&world, &broker, "after").await, [200; 3]);
        sound(&world, &broker, "goes back");
    });
}

#[test]
fn a_list_of_a_thousand_stores_is_read_from_a_watch_and_from_a_call() {
    for service in [Service::Serves, Service::NoWatch] {
        run(1, |world| async move {
            world.service.set(service);
            let more = (1..1000).map(|n| elsewhere(&format!("s-{n}"), ([127, 0, 0, 1], 9).into()));
            world.listed.borrow_mut().extend(more);
            let broker = world.broker(world.settings(), None).await;
            assert_eq!(broker.sizes().stores, 1000, "{service:?}");
        });
    }
}

#[test]
fn stale_stores_of_the_old_list_cost_rejections_and_are_removed_by_the_first_list() {
    run(3, |world| async move {
        world.service.set(Service::Refuses);
        *world.known.borrow_mut() = Some(long_gone(3));
        let broker = world.broker(world.settings(), None).await;
        // No part of them ever ran, so that a repeat does no harm in any class.
        assert_eq!(ask_all(&world, &broker, "before").await, [503; 3]);
        assert!(broker.counters.unreachable.get() > 0);
        world.service.set(Service::Serves);
        until(|| broker.counters.lists.get() >= 2).await;
        assert_eq!(ask_all(&world, &broker, "after").await, [200; 3]);
        assert_eq!(broker.sizes().stores, 3);
        until(|| broker.sizes().links <= 3).await;
        sound(&world, &broker, "long gone");
    });
}

#[test]
fn an_empty_old_list_is_no_list_and_the_broker_is_ready_with_the_first_that_comes() {
    run(2, |world| async move {
        world.service.set(Service::Refuses);
        *world.known.borrow_mut() = Some(json!({ "generation": 41, "reset": true, "instances": [] }));
        let broker = world.broker(world.settings(), None).await;
        until(|| broker.counters.list_failures.get() >= 1).await;
        assert_eq!(get(broker.platform, "/ready", "").await.status, 503);
        assert_eq!(ask_all(&world, &broker, "before").await, [503; 3]);
        world.service.set(Service::Serves);
        until(|| broker.counters.lists.get() >= 2).await;
        until_ready(&broker).await;
        assert_eq!(ask_all(&world, &broker, "after").await, [200; 3]);
        sound(&world, &broker, "empty");
    });
}

async fn until_ready(broker: &Broker) {
    while get(broker.platform, "/ready", "").await.status != 200 {
        async_io::Timer::after(Duration::from_millis(5)).await;
    }
}

/// Of every block one holder is well.
#[test]
fn a_store_that_refuses_connections_is_avoided_and_no_unexecuted_query_fails() {
    run(3, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        world.tell(1, elsewhere("s-1", closed()), &broker).await;
        for n in 0..5 {
            assert_eq!(ask_all(&world, &broker, &format!("q{n}")).await, [200; 3]);
        }
        assert!(broker.counters.unreachable.get() > 0, "it was tried");
        assert!(world.sent.borrow().iter().all(|sent| sent.store != 1));
        sound(&world, &broker, "refuses connections");
    });
}

#[test]
fn where_every_store_is_full_each_class_is_refused_since_nothing_ran() {
    run(3, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Full; 3];
        let broker = world.broker(world.settings(), None).await;
        assert_eq!(ask_all(&world, &broker, "full").await, [503; 3]);
        *world.mood.borrow_mut() = vec![Mood::Serves; 3];
        // Stores with room again are used again.
        for n in 0.. {
            if ask_all(&world, &broker, &format!("q{n}")).await == [200; 3] {
                break;
            }
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
        sound(&world, &broker, "full");
    });
}

#[test]
fn a_store_cut_off_without_a_word_fails_only_what_may_have_run_there() {
    run(3, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        assert_eq!(ask_all(&world, &broker, "before").await, [200; 3]);
        world.mood.borrow_mut()[1] = Mood::Silent;
        let before = world.sent.borrow().len();
        let text = query("cut-off", "harvest-entry", 900, &[0, 1, 2], "x");
        let status = exchange(broker.platform, &text).await.unwrap().status;
        let sent = world.sent.borrow()[before..].to_vec();
        let silent: HashSet<&str> = sent.iter().filter(|s| s.store == 1).map(|s| s.id.as_str()).collect();
        let again = sent.iter().filter(|s| s.store != 1 && silent.contains(s.id.as_str())).count();
        assert_eq!(again, 0, "an entry that may have run is sent nowhere else");
        assert_eq!(status, if silent.is_empty() { 200 } else { 504 });
        // What may be repeated is, until the silent one is known.
        let mut n = 0;
        while exchange(broker.platform, &query(&format!("q{n}"), "yard-compare", 2400, &[0, 1, 2], "x"))
            .await
            .unwrap()
            .status
            != 200
        {
            n += 1;
            assert!(n < 20, "the silent store is never gone round");
        }
        until(|| broker.sizes().attempts == 0).await;
        sound(&world, &broker, "cut off");
    });
}

#[test]
fn a_store_under_a_new_id_is_another_and_the_old_one_is_removed() {
    run(2, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        for n in 0..20 {
            assert_eq!(ask_all(&world, &broker, &format!("q{n}")).await, [200; 3]);
            let at = world.listed.borrow()[0].at;
            world.tell(0, elsewhere(&format!("s-0-{n}"), at), &broker).await;
            assert_eq!(broker.sizes().stores, 2, "what it was called before is forgotten");
        }
        // Connections to what has another name now close once they carry nothing.
        until(|| broker.sizes().links <= 2).await;
        sound(&world, &broker, "new ids");
    });
}
